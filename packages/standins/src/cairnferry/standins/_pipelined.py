"""HTTP pipelining: several requests on one connection before the first response."""

import time

from cairnferry.wire import ConnectFailed, Failure, Incomplete, NotSent, Reply, connect


def call_pipelined(
    address: tuple[str, int], payloads: list[bytes], timeout: float
) -> list[Reply | NotSent | Incomplete]:
    """Send all requests at once; return the outcomes in the order of the requests.

    Parameters
    ----------
    address : tuple of (str, int)
        Host and port to connect to.
    payloads : list of bytes
        Encoded requests, none of them a HEAD.
    timeout : float
        Time limit for all of them, in seconds.

    Returns
    -------
    list of Reply, NotSent or Incomplete
        One outcome per request.

    Notes
    -----
    The server does not read requests that follow a response with "Connection: close",
    so their outcome is `NotSent`.
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
    # If the connection ends within a response, the later requests may have been read
    # and run.
    closed = outcomes and isinstance(outcomes[-1], Reply)
    remaining = NotSent(Failure.RESET) if closed else Incomplete(Failure.CUT_SHORT)
    return outcomes + [remaining] * (len(payloads) - len(outcomes))


def _read_reply(file):
    """Read a response with Content-Length; raise ValueError or OSError if malformed."""
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
