"""Whether this daemon's paths to a service work, and which peers may serve instead."""

from cairnferry.policy.paths._evidence import PathChange, ServicePaths
from cairnferry.policy.paths._peer_choice import Peer, PeerChoice

__all__ = ["PathChange", "Peer", "PeerChoice", "ServicePaths"]
