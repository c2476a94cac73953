"""Requests that are sent on one connection before any of them was answered."""

import time

from cairnferry.wire import ConnectFailed, Failure, Incomplete, NotSent, Reply, connect


def call_ahead(
    address: tuple[str, int], payloads: list[bytes], timeout: float
) -> list[Reply | NotSent | Incomplete]:
    """Send all requests at once; give the answers in the order of the requests.

    Parameters
    ----------
    address : tuple of (str, int)
        Where to send them.
    payloads : list of bytes
        Encoded requests, none of them a HEAD.
    timeout : float
        Seconds for all of them.

    Notes
    -----
    What was sent behind an answer that closes the connection was not read.
    """
    conn = connect(address, timeout)
    if isinstance(conn, ConnectFailed):
        return [NotSent(Failure.CONNECT)] * len(payloads)
    deadline = time.monotonic() + timeout
    outcomes = []
    try:
        conn.sock.settimeout(timeout)
        conn.sock.sendall(b"".join(payloads))
        with conn.sock.makefile("rb") as file:
            for _ in payloads:
                conn.sock.settimeout(max(0.001, deadline - time.monotonic()))
                reply = _read_reply(file)
                outcomes.append(reply)
                if reply.header("connection") == "close":
                    break
    except TimeoutError:
        outcomes.append(Incomplete(Failure.TIMEOUT))
    except (OSError, ValueError):
        outcomes.append(Incomplete(Failure.CUT_SHORT))
    finally:
        conn.close()
    # A connection that ends early tells nothing of those behind.
    closed = outcomes and isinstance(outcomes[-1], Reply)
    rest = NotSent(Failure.RESET) if closed else Incomplete(Failure.CUT_SHORT)
    return outcomes + [rest] * (len(payloads) - len(outcomes))


def _read_reply(file):
    """Read an answer whose length is told; ValueError or OSError if there is none."""
    line = file.readline()
    if not line:
        raise ConnectionResetError
    status = int(line[9:12])
    headers = []
    while (line := file.readline()) != b"\r\n":
        name, separator, value = line.decode("latin-1").partition(":")
        if not separator:
            raise ValueError(line)
        headers.append((name, value.strip()))
    reply = Reply(status, headers, b"")
    length = int(reply.header("content-length") or 0)
    body = file.read(length)
    if len(body) < length:
        raise ConnectionResetError
    return Reply(status, headers, body)
