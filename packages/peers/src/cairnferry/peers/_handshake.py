"""Mutual authentication by a shared key, before any frame is read.

The client sends magic bytes that name the protocol to speak afterwards, the identifier
of its key and a nonce. The server
answers with its own nonce and a keyed hash (HMAC) over both nonces. The client then
sends a second keyed hash. Every message has a fixed size, so that no data of unknown
length is read from a peer that is not authenticated.
"""

import hashlib
import hmac
import os

import attrs

from cairnferry.peers._keys import KEY_ID_BYTES, KeyRing, identify

# Protocols that a connection may be opened for: calls between daemons, or requests of
# callers that a daemon passes on.
CALLS = b"CFP1"
REQUESTS = b"CFQ1"
PROTOCOLS = (CALLS, REQUESTS)
NONCE_BYTES = 32
MAC_BYTES = 32
# Bytes of a whole handshake, in both directions.
HANDSHAKE_BYTES = len(CALLS) + KEY_ID_BYTES + 2 * NONCE_BYTES + 2 * MAC_BYTES
_SERVER_LABEL = b"server"
_CLIENT_LABEL = b"client"


@attrs.frozen
class HandshakeFailed(Exception):
    """The other side is not a peer or has other keys.

    Attributes
    ----------
    reason : str
        Which step of the handshake failed.
    """

    reason: str


def authenticate_to_server(sock, keys: KeyRing, protocol: bytes = CALLS) -> None:
    """Perform the handshake as the client.

    Raises
    ------
    HandshakeFailed
        If the server does not prove that it has the key.
    KeyFileFault
        If there is no key.
    """
    key = keys.own_key()
    own_nonce = os.urandom(NONCE_BYTES)
    sock.sendall(protocol + identify(key) + own_nonce)
    answer = _read_exactly(sock, NONCE_BYTES + MAC_BYTES)
    peer_nonce = answer[:NONCE_BYTES]
    if not hmac.compare_digest(
        answer[NONCE_BYTES:], _mac(key, own_nonce, peer_nonce, True, protocol)
    ):
        raise HandshakeFailed("the server has another key")
    sock.sendall(_mac(key, own_nonce, peer_nonce, False, protocol))


def authenticate_client(sock, keys: KeyRing) -> bytes:
    """Perform the handshake as the server; return the protocol to speak afterwards.

    Raises
    ------
    HandshakeFailed
        If the client does not prove that it has one of the keys.
    KeyFileFault
        If there is no key.
    """
    hello = _read_exactly(sock, len(CALLS) + KEY_ID_BYTES + NONCE_BYTES)
    protocol = hello[: len(CALLS)]
    if protocol not in PROTOCOLS:
        raise HandshakeFailed("not the peer protocol")
    key_id = hello[len(CALLS) : len(CALLS) + KEY_ID_BYTES]
    key = keys.find_key(key_id)
    if key is None:
        raise HandshakeFailed("unknown key")
    peer_nonce = hello[-NONCE_BYTES:]
    own_nonce = os.urandom(NONCE_BYTES)
    sock.sendall(own_nonce + _mac(key, peer_nonce, own_nonce, True, protocol))
    client_mac = _read_exactly(sock, MAC_BYTES)
    expected = _mac(key, peer_nonce, own_nonce, False, protocol)
    if not hmac.compare_digest(client_mac, expected):
        raise HandshakeFailed("wrong keyed hash")
    return protocol


def _mac(key, client_nonce, server_nonce, from_server, protocol):
    # The label differs by side. Without it, the hash of one side could be sent back
    # to that side as a valid answer (reflection attack).
    label = _SERVER_LABEL if from_server else _CLIENT_LABEL
    # Earlier releases speak one protocol only, and do not name it in the hash.
    named = b"" if protocol == CALLS else protocol
    message = label + named + client_nonce + server_nonce
    return hmac.new(key, message, hashlib.sha256).digest()


def _read_exactly(sock, size):
    data = b""
    while len(data) < size:
        part = sock.recv(size - len(data))
        if not part:
            raise HandshakeFailed("closed")
        data += part
    return data
