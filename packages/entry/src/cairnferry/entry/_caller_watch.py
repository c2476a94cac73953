"""Notice when a caller goes away while its request is worked on."""

import socket

import gevent

READ_EVENT = 1


class CallerGone(Exception):
    """The caller closed its connection before it had its answer."""


class CallerWatch:
    """Context in which `CallerGone` is raised once the caller closes.

    Without it a request whose caller gave up would hold a target's slot to its
    end, just when slots are short. A caller that closes its sending side alone
    is taken for gone.

    Parameters
    ----------
    sock : gevent.socket.socket
        The caller's connection.
    """

    def __init__(self, sock):
        self._sock = sock._sock
        self._watcher = gevent.get_hub().loop.io(sock.fileno(), READ_EVENT)
        self._greenlet = None

    def __enter__(self):
        self._greenlet = gevent.getcurrent()
        self._watcher.start(self._on_readable)
        return self

    def __exit__(self, *exc_info):
        self._watcher.stop()
        self._watcher.close()

    def _on_readable(self):
        # Runs in the hub, like the timer of a gevent.Timeout.
        self._watcher.stop()
        try:
            data = self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._greenlet.throw(CallerGone)
