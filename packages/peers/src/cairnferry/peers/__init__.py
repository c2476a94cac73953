"""Thrift protocol between daemons: heartbeats and the changes of the log."""

from cairnferry.peers._client import PeerCallFailed, PeerLink, PeerLinks
from cairnferry.peers._keys import KeyFileFault, KeyRing, SharedKey
from cairnferry.peers._messages import Heartbeat
from cairnferry.peers._server import PeerHandler, PeerServer
from cairnferry.peers._transport import ByteMeter

__all__ = [
    "ByteMeter",
    "Heartbeat",
    "KeyFileFault",
    "KeyRing",
    "PeerCallFailed",
    "PeerHandler",
    "PeerLink",
    "PeerLinks",
    "PeerServer",
    "SharedKey",
]
