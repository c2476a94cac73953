"""Thrift protocol between daemons: heartbeats, log rows, rules, tables and permits."""

from cairnferry.peers._client import PeerCallFailed, PeerLink, PeerLinks
from cairnferry.peers._keys import MIN_KEY_BYTES, KeyFileFault, KeyRing, SharedKey
from cairnferry.peers._messages import (
    Heartbeat,
    LimitState,
    PermitQuery,
    PermitReply,
    TableState,
)
from cairnferry.peers._request_pool import PeerRequestPool
from cairnferry.peers._server import PeerHandler, PeerServer
from cairnferry.peers._token_messages import (
    TokenQuery,
    TokenReply,
)
from cairnferry.peers._transport import ByteMeter

__all__ = [
    "MIN_KEY_BYTES",
    "ByteMeter",
    "Heartbeat",
    "KeyFileFault",
    "KeyRing",
    "LimitState",
    "PeerCallFailed",
    "PeerHandler",
    "PeerLink",
    "PeerLinks",
    "PeerRequestPool",
    "PeerServer",
    "PermitQuery",
    "PermitReply",
    "SharedKey",
    "TableState",
    "TokenQuery",
    "TokenReply",
]
