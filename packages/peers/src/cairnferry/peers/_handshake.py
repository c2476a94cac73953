"""Mutual proof of a shared key, before any frame is read.

The side that connects sends: magic, identifier of its key, nonce. The other
answers: its nonce, and a keyed hash over both. The first proves itself by a
second hash. Every message has a fixed size, so that nothing of unknown length
is read from a side that has not proved itself.
"""

import hashlib
import hmac
import os

import attrs

from cairnferry.peers._keys import KEY_ID_BYTES, KeyRing, identify

MAGIC = b"CFP1"
NONCE_BYTES = 32
MAC_BYTES = 32
# Bytes of a whole greeting, both ways.
GREETING_BYTES = len(MAGIC) + KEY_ID_BYTES + 2 * NONCE_BYTES + 2 * MAC_BYTES
_SERVER_LABEL = b"server"
_CLIENT_LABEL = b"client"


@attrs.frozen
class HandshakeFailed(Exception):
    """The other side is not a peer, or holds other keys."""

    reason: str


def greet(sock, keys: KeyRing) -> None:
    """Authenticate as the side that connects.

    Raises
    ------
    HandshakeFailed
        If the other side does not prove the key.
    """
    key = keys.own()
    mine = os.urandom(NONCE_BYTES)
    sock.sendall(MAGIC + identify(key) + mine)
    answer = _read_exactly(sock, NONCE_BYTES + MAC_BYTES)
    theirs = answer[:NONCE_BYTES]
    if not hmac.compare_digest(answer[NONCE_BYTES:], _mac(key, mine, theirs, True)):
        raise HandshakeFailed("the other side holds another key")
    sock.sendall(_mac(key, mine, theirs, False))


def welcome(sock, keys: KeyRing) -> None:
    """Authenticate as the side that is connected to.

    Raises
    ------
    HandshakeFailed
        If the other side does not prove a known key.
    """
    greeting = _read_exactly(sock, len(MAGIC) + KEY_ID_BYTES + NONCE_BYTES)
    if not greeting.startswith(MAGIC):
        raise HandshakeFailed("not the peer protocol")
    key_id = greeting[len(MAGIC) : len(MAGIC) + KEY_ID_BYTES]
    key = keys.find(key_id)
    if key is None:
        raise HandshakeFailed("unknown key")
    theirs = greeting[-NONCE_BYTES:]
    mine = os.urandom(NONCE_BYTES)
    sock.sendall(mine + _mac(key, theirs, mine, True))
    proof = _read_exactly(sock, MAC_BYTES)
    if not hmac.compare_digest(proof, _mac(key, theirs, mine, False)):
        raise HandshakeFailed("wrong proof")


def _mac(key, connecting_nonce, connected_nonce, from_server):
    # Without the label a proof could be reflected to the side that made it.
    label = _SERVER_LABEL if from_server else _CLIENT_LABEL
    message = label + connecting_nonce + connected_nonce
    return hmac.new(key, message, hashlib.sha256).digest()


def _read_exactly(sock, size):
    data = b""
    while len(data) < size:
        part = sock.recv(size - len(data))
        if not part:
            raise HandshakeFailed("closed")
        data += part
    return data
