"""Concurrent requests of one connection, and the order of their answers.

A caller may send further requests before the first one is answered. If they were read
only after that answer, each would wait for the one before it although another target
could run it: the median latency of a class whose callers do so was 3 to 6 ms higher,
of some 120 ms (docs/design/0012-pipelining.md).
"""

import errno
import time
from collections import deque

import attrs
import gevent
from gevent.event import Event

from cairnferry.entry.http._accounts import Hold
from cairnferry.entry.http._answers import Problem
from cairnferry.entry.http._progress import Progress

# Requests of one connection that are read and not yet answered. Reading from a caller
# that sends more, or that does not read its answers, stops until some are answered, so
# that such a caller delays only itself.
MAX_UNANSWERED = 32
# Total size in bytes of the heads and bodies of these requests.
MAX_UNANSWERED_BYTES = 256 * 1024
# The same limits for all connections of a listener together, not counting the first
# request of each. An instance has some 200 MB of memory and a thousand connections.
MAX_REQUESTS_AHEAD = 2000
MAX_BYTES_AHEAD = 16 * 1024 * 1024


class CallerGone(Exception):
    """The caller closed its connection before it received its answer."""


class StopReached(Exception):
    """The time of a stop is used up, and the request is not answered."""


class ConnectionEnds(BaseException):
    """Ends the reading of a connection whose last answer was written."""


class AnswerNotSent(OSError):
    """An answer cannot be sent, because the connection ended with an earlier one."""

    def __init__(self):
        super().__init__(errno.EPIPE, "the connection has ended")


@attrs.define
class Lookahead:
    """Requests that a listener has read while earlier ones of their connection run.

    Without a common limit, many callers that send a few requests each could exhaust
    the memory of a small instance, which would end all of its connections at once.

    Attributes
    ----------
    requests, size : int
        Current number of such requests, and their total size in bytes.
    total : int
        Number of such requests since the start.
    """

    requests: int = 0
    size: int = 0
    total: int = 0

    def has_capacity(self) -> bool:
        """Return whether one more request may be read."""
        return self.requests < MAX_REQUESTS_AHEAD and self.size < MAX_BYTES_AHEAD

    def add(self, size: int) -> None:
        """Count a request that was read ahead."""
        self.requests += 1
        self.size += size
        self.total += 1

    def remove(self, size: int) -> None:
        """Subtract a finished request from the count."""
        self.requests -= 1
        self.size -= size


@attrs.define(eq=False)
class Exchange:
    """One request of a connection, and its answer.

    Attributes
    ----------
    handler : Handler
        Runs the request and writes the answer.
    may_run_concurrently : bool
        Whether the request may run while others of its connection do.
    size : int
        Size of its head and body in bytes.
    is_ahead : bool
        Whether it was read while an earlier request was unanswered.
    is_cancellable : bool
        Whether `CallerGone` may currently be raised in its task.
    held : Hold or None
        Memory of the request and its answer, released once the request is finished.
    turn : Event
        Set once all earlier requests are finished.
    task : Greenlet or None
        Task that runs the request; None before it is started.
    """

    handler: object
    may_run_concurrently: bool
    size: int
    is_ahead: bool = False
    is_cancellable: bool = False
    held: Hold | None = None
    turn: Event = attrs.field(factory=Event)
    task: gevent.Greenlet | None = None

    @property
    def progress(self) -> Progress:
        """How far the request is: whether its answer is known."""
        return Progress.ANSWERING if self.handler.status else Progress.WAITING

    def release_after(self, task: gevent.Greenlet) -> None:
        """Release the memory of the request, whose task has ended."""
        self.release()

    def release(self) -> None:
        """Release the memory of the request; a second call does nothing."""
        if self.held is not None:
            self.held.release()


class Pipeline:
    """The unanswered requests of one connection, in the order of their arrival.

    Idempotent requests run concurrently while the daemon has memory for answers that
    wait for earlier ones. Any other request waits until those before it are answered,
    and those after it wait for it, because the order may matter to the caller.

    Parameters
    ----------
    lookahead : Lookahead
        Requests that all connections have read ahead.

    Attributes
    ----------
    reader : Greenlet
        Task that reads the requests.
    idle_since : float
        Monotonic time in seconds of the last answer, or of the connection's start.
    is_caller_gone : bool
        Whether the caller is gone, so that no further request is started.
    is_ending : bool
        Whether an answer is being or was written that ends the connection. No request
        that is read after that may run, as the caller sends it again.
    is_finished : bool
        Whether the last answer of the connection was written.
    is_reader_waiting : bool
        Whether the reader waits until it may read one more request.
    was_pipelined : bool
        Whether the caller has sent a request before an earlier one was answered.
    """

    def __init__(self, lookahead: Lookahead):
        self._lookahead = lookahead
        self._exchanges: deque[Exchange] = deque()
        self._size = 0
        self.reader = gevent.getcurrent()
        # Only the reader waits for this event, so it may be cleared before each wait.
        self._removed = Event()
        self.idle_since = time.monotonic()
        self.is_caller_gone = False
        self.is_ending = False
        self.is_finished = False
        self.is_reader_waiting = False
        self.was_pipelined = False

    # -- called by the reader -----------------------------------------------------

    @property
    def is_idle(self) -> bool:
        """Whether every request that was read is finished."""
        return not self._exchanges

    @property
    def has_accepted(self) -> bool:
        """Whether a request that was not rejected or refused as it was read is left."""
        return any(exchange.handler.problem is None for exchange in self._exchanges)

    def unanswered(self) -> list[Exchange]:
        """Return the requests that were read and are not finished."""
        return list(self._exchanges)

    def wait_for_capacity(self) -> None:
        """Wait until one more request may be read."""
        self.is_reader_waiting = True
        while not self._has_capacity():
            self._wait_for_removal()
        self.is_reader_waiting = False

    def wait_until_idle(self) -> None:
        """Wait until every request that was read is finished."""
        while self._exchanges:
            self._wait_for_removal()

    def wait_until_writable(self) -> None:
        """Wait until the reader itself may write, behind all answers.

        If the last answer was written, `ConnectionEnds` is on its way to the reader,
        which would otherwise write behind that answer.
        """
        while self._exchanges or self.is_finished:
            self._wait_for_removal()

    def _has_capacity(self):
        if not self._exchanges:
            return True
        if len(self._exchanges) >= MAX_UNANSWERED or self._size >= MAX_UNANSWERED_BYTES:
            return False
        return self._lookahead.has_capacity()

    def _wait_for_removal(self):
        self._removed.clear()
        self._removed.wait()

    def add(self, exchange: Exchange) -> None:
        """Append the next request, and start it if it may run now."""
        if self._exchanges:
            exchange.is_ahead = self.was_pipelined = True
            self._lookahead.add(exchange.size)
        else:
            exchange.turn.set()
        self._size += exchange.size
        self._exchanges.append(exchange)
        self._start_next()

    def cancel(self) -> None:
        """Cancel all requests, because the caller is gone.

        Answers that are ready are still written, because the caller may have closed
        only its sending side.
        """
        self.is_caller_gone = True
        self._discard_unstarted()
        loop = gevent.get_hub().loop
        for exchange in self._exchanges:
            loop.run_callback(_cancel, exchange, CallerGone)

    def give_up(self) -> None:
        """Answer all requests at once, because the listener ends."""
        loop = gevent.get_hub().loop
        for exchange in self._exchanges:
            if exchange.task is None:
                exchange.handler.problem = exchange.handler.problem or Problem.LEAVING
            else:
                loop.run_callback(_cancel, exchange, StopReached)

    def close(self) -> None:
        """Discard or kill the remaining requests when the connection is closed."""
        self.is_caller_gone = self.is_finished = True
        self._discard_unstarted()
        for exchange in self._exchanges:
            # A task that has not begun yet does not finish the exchange. Its memory is
            # given back once it has ended: until then, it refers to the answer.
            exchange.task.rawlink(exchange.release_after)
            exchange.task.kill(block=False)

    # -- called by the requests' tasks --------------------------------------------

    def wait_for_turn(self, exchange: Exchange) -> None:
        """Wait until all earlier requests are finished.

        Raises
        ------
        AnswerNotSent
            If the connection ended with one of them.
        """
        exchange.turn.wait()
        if self.is_finished:
            raise AnswerNotSent

    def is_last_read(self) -> bool:
        """Return whether no request after the first one was read."""
        return len(self._exchanges) == 1

    def _start_next(self):
        """Start the requests that may run now."""
        for index, exchange in enumerate(self._exchanges):
            if exchange.task is None:
                if not self._may_start(index, exchange):
                    return
                exchange.task = gevent.spawn(self._run, exchange)
            if not exchange.may_run_concurrently:
                return

    def _may_start(self, index, exchange):
        if self.is_caller_gone or self.is_finished:
            return False
        return index == 0 or (
            exchange.may_run_concurrently and exchange.handler.may_run_early()
        )

    def _run(self, exchange):
        try:
            exchange.handler.handle_one_response()
            exchange.turn.wait()
        finally:
            self._finish(exchange)

    def _finish(self, exchange):
        self.idle_since = time.monotonic()
        self._remove(exchange)
        if exchange.handler.close_connection and not self.is_finished:
            self.is_finished = True
            self.cancel()
            self.reader.kill(ConnectionEnds, block=False)
        self._start_next()

    def _remove(self, exchange):
        self._exchanges.remove(exchange)
        exchange.release()
        # Both refer to the exchange. What they hold would otherwise be kept until the
        # next full garbage collection.
        exchange.task = None
        exchange.handler.forget()
        self._size -= exchange.size
        if exchange.is_ahead:
            self._lookahead.remove(exchange.size)
        if self._exchanges:
            self._exchanges[0].turn.set()
        self._removed.set()

    def _discard_unstarted(self):
        """Discard the requests that were not started; callers resend them."""
        for exchange in list(self._exchanges):
            if exchange.task is None:
                self._remove(exchange)


def _cancel(exchange, error):
    """Raise an error in a request's task; runs in the hub.

    The flag is checked only here, because the task may have continued in the meantime.
    An exception while it writes its answer would be treated as a program error.
    """
    if exchange.is_cancellable:
        exchange.task.throw(error)
