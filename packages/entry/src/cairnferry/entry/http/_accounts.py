"""What is held for a connection, its requests and their answers."""

import collections
import enum
import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

import attrs

from cairnferry.entry.http._transfer import Transfer

if TYPE_CHECKING:
    from cairnferry.entry.http._memory import Memory

# Memory in bytes of a connection without a request, of a request besides its head and
# body, and of a header field besides its text.
CONNECTION_BYTES = 20 * 1024
REQUEST_BYTES = 8 * 1024
FIELD_BYTES = 160
# Memory in bytes of an attempt besides the body of its answer.
ATTEMPT_BYTES = 48 * 1024
# Seconds for which small requests, and answers, wait until memory is given back.
# Answers keep a slot of their target meanwhile.
PATIENCE_S = 0.5
# Memory of a buffer that grows, as a multiple of its content.
GROWTH = 9 / 8


class Kind(enum.StrEnum):
    """What memory is held for."""

    CONNECTION = "connection"
    HEAD = "head"
    BODY = "body"
    ANSWER = "answer"


@attrs.define(eq=False)
class Account:
    """Memory that is held for one connection.

    Parameters
    ----------
    memory : Memory
        Memory of the daemon.
    evict : callable
        Ends the connection, so that its memory becomes free.

    Attributes
    ----------
    size : int
        Bytes held.
    sizes : Counter of Kind
        Bytes held of each kind.
    is_evicted : bool
        Whether the connection was told to end; it gets no more memory.
    """

    memory: "Memory"
    evict: Callable[[], None]
    size: int = attrs.field(default=0, init=False)
    sizes: collections.Counter = attrs.field(factory=collections.Counter, init=False)
    is_evicted: bool = attrs.field(default=False, init=False)
    _transfers: list[Transfer] = attrs.field(factory=list, init=False)

    @contextmanager
    def transfer(self) -> Iterator[Transfer]:
        """Measure in the context how fast the caller takes or sends data."""
        transfer = Transfer()
        self._transfers.append(transfer)
        try:
            yield transfer
        finally:
            self._transfers.remove(transfer)

    def seconds_to_free(self, now: float) -> float:
        """Return the seconds until the caller has moved what is held; 0 if unknown."""
        return max(
            (transfer.seconds_for(self.size, now) for transfer in self._transfers),
            default=0.0,
        )


@attrs.define(eq=False)
class Hold:
    """Memory that is held for one purpose, until it is released.

    Parameters
    ----------
    account : Account
        Account of the connection.
    """

    account: Account
    _sizes: collections.Counter = attrs.field(factory=collections.Counter, init=False)
    _parts: list["Hold"] = attrs.field(factory=list, init=False)
    _is_released: bool = attrs.field(default=False, init=False)

    def add(self, kind: Kind, size: int, patience_s: float = 0.0) -> bool:
        """Hold more memory; return False if there is none.

        Parameters
        ----------
        kind : Kind
            What it is for.
        size : int
            Number of bytes.
        patience_s : float, optional
            Seconds to wait until memory becomes free.
        """
        if not self.account.memory.take(self.account, kind, size, patience_s):
            return False
        if self._is_released:
            # Released while this call waited.
            self.account.memory.give_back(self.account, kind, size)
            return False
        self._sizes[kind] += size
        return True

    def count(self, kind: Kind, size: int) -> None:
        """Hold memory that is taken in any case, also beyond the limit."""
        if not self._is_released:
            self.account.memory.count(self.account, kind, size)
            self._sizes[kind] += size

    def reduce(self, kind: Kind, size: int) -> None:
        """Release what is held for a kind, down to a number of bytes."""
        surplus = self._sizes[kind] - size
        if surplus > 0 and not self._is_released:
            self._sizes[kind] = size
            self.account.memory.give_back(self.account, kind, surplus)

    def size(self, kind: Kind) -> int:
        """Return the bytes held for a kind."""
        return self._sizes[kind]

    def part(self) -> "Hold":
        """Return a hold of its own that is released with this one at the latest."""
        part = Hold(self.account)
        part._is_released = self._is_released
        self._parts.append(part)
        return part

    def release(self) -> None:
        """Release the memory; a second call does nothing."""
        if self._is_released:
            return
        self._is_released = True
        for kind, size in self._sizes.items():
            self.account.memory.give_back(self.account, kind, size)
        for part in self._parts:
            part.release()


@attrs.define(eq=False)
class AnswerRoom:
    """Memory for the answer of one attempt, which grows as the answer arrives.

    Parameters
    ----------
    request : Hold
        Memory of the request, with which this memory is released at the latest.
    """

    request: Hold
    _hold: Hold = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._hold = self.request.part()
        self._hold.count(Kind.ANSWER, ATTEMPT_BYTES)

    def add(self, size: int) -> bool:
        """Hold memory for further bytes of a body; return False if there is none."""
        needed = math.ceil(size * GROWTH)
        return self._hold.add(Kind.ANSWER, needed, PATIENCE_S)

    def release(self) -> None:
        """Release the memory of an answer that is not used."""
        self._hold.release()
