"""Thrift protocol between daemons: heartbeats and the changes of the log."""

from cairnferry.peers._client import PeerCallFailed, PeerLink, PeerLinks
from cairnferry.peers._keys import MIN_KEY_BYTES, KeyFileFault, KeyRing, SharedKey
from cairnferry.peers._messages import Heartbeat, TableState
from cairnferry.peers._server import PeerHandler, PeerServer
from cairnferry.peers._transport import ByteMeter

__all__ = [
    "MIN_KEY_BYTES",
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
    "TableState",
]
