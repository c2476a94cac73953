"""Requests of one connection that run side by side, and the order of their answers.

A caller may send further requests before the first one was answered. Read one after
the other, each would wait for the answer of the one before it, though another target
could run it meanwhile: the median of a class whose callers do so was 3 to 6 ms higher,
of some 120 (docs/design/0012-pipelining.md).
"""

import errno
import time
from collections import deque

import attrs
import gevent
from gevent.event import Event

# Requests of one connection that are read and not answered yet. A caller that sends
# more, or does not read its answers, is not read from until some are answered, so that
# it stalls itself alone.
MAX_UNANSWERED = 32
# Bytes of heads and bodies that these may hold together.
MAX_UNANSWERED_BYTES = 256 * 1024
# The same for all connections of a listener, beside the first request of each. An
# instance has some 200 MB and a thousand connections.
MAX_AHEAD = 2000
MAX_AHEAD_BYTES = 16 * 1024 * 1024


class CallerGone(Exception):
    """The caller closed its connection before it had its answer."""


class ConnectionEnds(BaseException):
    """Ends the reading of a connection of which the last answer was written."""


class AnswerNotSent(OSError):
    """An answer cannot be sent: its connection ended with an earlier one."""

    def __init__(self):
        super().__init__(errno.EPIPE, "the connection has ended")


@attrs.define
class Lookahead:
    """Requests that a listener has read while earlier ones of a connection run.

    Without a common limit many callers that each send a few would fill the memory
    of a small instance, which ends all its connections at once.

    Attributes
    ----------
    requests, size : int
        How many there are, and their bytes.
    total : int
        How many there have been since the start.
    """

    requests: int = 0
    size: int = 0
    total: int = 0

    def has_room(self) -> bool:
        """Tell whether one more may be read."""
        return self.requests < MAX_AHEAD and self.size < MAX_AHEAD_BYTES

    def take(self, size: int) -> None:
        """Count a request that was read ahead."""
        self.requests += 1
        self.size += size
        self.total += 1

    def give_back(self, size: int) -> None:
        """Count one that ended."""
        self.requests -= 1
        self.size -= size


@attrs.define(eq=False)
class Exchange:
    """One request of a connection, and its answer.

    Attributes
    ----------
    handler : Handler
        Runs the request and writes the answer.
    may_run_beside : bool
        Whether it may run while others of its connection do.
    size : int
        Bytes of its head and body.
    is_ahead : bool
        Whether it was read while an earlier one was not answered.
    is_cancellable : bool
        Whether `CallerGone` may be raised in its task at this moment.
    turn : Event
        Set once all earlier requests are over.
    task : Greenlet or None
        Runs it; None before it is started.
    """

    handler: object
    may_run_concurrently: bool
    size: int
    is_ahead: bool = False
    is_cancellable: bool = False
    turn: Event = attrs.field(factory=Event)
    task: gevent.Greenlet | None = None


class Pipeline:
    """The unanswered requests of one connection, in the order in which they came.

    Idempotent ones run side by side. Any other waits until those before it are
    answered, and those behind it wait for it: their order may matter to the caller.

    Parameters
    ----------
    lookahead : Lookahead
        What all connections have read ahead.

    Attributes
    ----------
    idle_since : float
        Monotonic time in seconds of the last answer, or of the connection's start.
    has_left : bool
        Whether the caller is gone, so that nothing more is started.
    has_ended : bool
        Whether the last answer of the connection was written.
    was_used : bool
        Whether the caller has sent a request ahead of an answer.
    """

    def __init__(self, lookahead: Lookahead):
        self._lookahead = lookahead
        self._exchanges: deque[Exchange] = deque()
        self._size = 0
        self._reader = gevent.getcurrent()
        # Only the reader waits for it, so that it may be cleared before each wait.
        self._removed = Event()
        self.idle_since = time.monotonic()
        self.has_left = False
        self.has_ended = False
        self.was_used = False

    # -- the reader's side --------------------------------------------------------

    @property
    def is_idle(self) -> bool:
        """Whether every request that was read is over."""
        return not self._exchanges

    def wait_for_room(self) -> None:
        """Wait until one more request may be read."""
        while not self._has_room():
            self._wait_for_removal()

    def wait_until_idle(self) -> None:
        """Wait until every request that was read is over."""
        while self._exchanges:
            self._wait_for_removal()

    def _has_room(self):
        if not self._exchanges:
            return True
        if len(self._exchanges) >= MAX_UNANSWERED or self._size >= MAX_UNANSWERED_BYTES:
            return False
        return self._lookahead.has_room()

    def _wait_for_removal(self):
        self._removed.clear()
        self._removed.wait()

    def add(self, exchange: Exchange) -> None:
        """Take in the next request, and start it if it may run now."""
        if self._exchanges:
            exchange.is_ahead = self.was_used = True
            self._lookahead.take(exchange.size)
        else:
            exchange.turn.set()
        self._size += exchange.size
        self._exchanges.append(exchange)
        self._start_next()

    def cancel(self) -> None:
        """Give up all requests, as the caller has left.

        Answers that are ready are still written: a caller may have closed its sending
        side alone.
        """
        self.has_left = True
        self._drop_waiting()
        loop = gevent.get_hub().loop
        for exchange in self._exchanges:
            loop.run_callback(_cancel, exchange)

    def close(self) -> None:
        """End what is left when the connection is closed."""
        self.has_left = self.has_ended = True
        self._drop_waiting()
        for exchange in self._exchanges:
            exchange.task.kill(block=False)

    # -- the requests' side -------------------------------------------------------

    def wait_for_turn(self, exchange: Exchange) -> None:
        """Wait until all earlier requests are over.

        Raises
        ------
        AnswerNotSent
            If the connection ended with one of them.
        """
        exchange.turn.wait()
        if self.has_ended:
            raise AnswerNotSent

    def is_last_started(self) -> bool:
        """Tell whether no request behind the first one was started."""
        return len(self._exchanges) == 1 or self._exchanges[1].task is None

    def _start_next(self):
        """Start what may run now."""
        for index, exchange in enumerate(self._exchanges):
            if exchange.task is None:
                if not self._may_start(index, exchange):
                    return
                exchange.task = gevent.spawn(self._run, exchange)
            if not exchange.may_run_concurrently:
                return

    def _may_start(self, index, exchange):
        if self.has_left or self.has_ended:
            return False
        # A listener that ends starts nothing behind a request in progress: the
        # answer of that one can then be the last, and the caller sends the rest anew.
        may_run_concurrently = (
            exchange.may_run_concurrently and not exchange.handler.server.closing
        )
        return index == 0 or may_run_concurrently

    def _run(self, exchange):
        try:
            exchange.handler.handle_one_response()
            exchange.turn.wait()
        finally:
            self._finish(exchange)

    def _finish(self, exchange):
        self.idle_since = time.monotonic()
        self._remove(exchange)
        if exchange.handler.close_connection and not self.has_ended:
            self.has_ended = True
            self.cancel()
            self._reader.kill(ConnectionEnds, block=False)
        self._start_next()

    def _remove(self, exchange):
        self._exchanges.remove(exchange)
        self._size -= exchange.size
        if exchange.is_ahead:
            self._lookahead.give_back(exchange.size)
        if self._exchanges:
            self._exchanges[0].turn.set()
        self._removed.set()

    def _drop_waiting(self):
        """Forget the requests that were not started: callers send them anew."""
        for exchange in list(self._exchanges):
            if exchange.task is None:
                self._remove(exchange)


def _cancel(exchange):
    """Raise `CallerGone` in a request's task; runs in the hub.

    Looked at only here, since the task may have gone on meanwhile: raised while it
    writes its answer, it would be taken for a fault of the program.
    """
    if exchange.is_cancellable:
        exchange.task.throw(CallerGone)
