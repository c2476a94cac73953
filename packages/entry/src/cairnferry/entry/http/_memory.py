"""Memory that callers make a daemon hold: its limit, and who gives it back.

All kinds have one limit, because the memory of an instance is one. If it is used up,
the connections that hold most and move least end, so that callers which only hold do
not use up what the others need.
"""

import enum
import logging
import math
import time
from collections.abc import Callable

import attrs
from gevent.event import Event

from cairnferry.entry.http._accounts import Account, Kind
from cairnferry.entry.telemetry import RateLimit

# Bytes up to which a connection is small, and the share of the limit that is kept for
# small ones, so that a few large requests do not refuse all others.
SMALL_BYTES = 128 * 1024
RESERVED_SHARE = 1 / 8
# Share of the limit for heads. They consist of many small objects, whose memory the
# process keeps for other small objects when they are gone.
HEADS_SHARE = 1 / 4
# A connection is slow if it takes this time in seconds, or more, to move what it holds.
SLOW_S = 5.0
# Seconds between two searches for slow connections, which look at all of them.
SEARCH_S = 0.05
# Share of the limit that is freed beyond what is needed, so that searches are rare.
HEADROOM_SHARE = 1 / 32
# Seconds in which connections that were told to end free their memory, also on a busy
# instance. It is waited for that long in any case.
FREEING_S = 0.2
# Seconds after a lack of memory in which requests of one connection run one by one.
SHORTAGE_S = 5.0

log = logging.getLogger(__name__)


class Closing(enum.StrEnum):
    """Why the connection of a caller was ended."""

    MEMORY = "memory"
    LISTENER_FULL = "listener-full"
    UNREAD = "unread"


def _nothing():
    """Do nothing: the connection has ended."""


def _finite(limit):
    return limit if limit < math.inf else None


def _count_by_kind():
    return dict.fromkeys(Kind, 0)


@attrs.define(eq=False)
class Memory:
    """Memory that a daemon holds for callers, and its limit.

    Attributes
    ----------
    limit : float
        Most bytes of all kinds together; infinite for no limit.
    body_limit : float
        Most bytes of request bodies; infinite for no limit of their own.
    held : dict of Kind to int
        Bytes held at the moment.
    peak : int
        Most bytes held so far, of all kinds together.
    refused : dict of Kind to int
        How often there was no memory.
    closed : dict of Closing to int
        Connections that were ended, by cause.
    """

    limit: float = math.inf
    body_limit: float = math.inf
    held: dict[Kind, int] = attrs.field(factory=_count_by_kind)
    peak: int = 0
    refused: dict[Kind, int] = attrs.field(factory=_count_by_kind)
    closed: dict[Closing, int] = attrs.field(factory=lambda: dict.fromkeys(Closing, 0))
    _log_limit: RateLimit = attrs.field(factory=RateLimit)
    _total: int = 0
    _most: int = 0
    # Bytes of the connections that were told to end.
    _ending: int = 0
    _accounts: set[Account] = attrs.field(factory=set)
    _search_at: float = -math.inf
    _short_until: float = -math.inf
    _given_back: Event = attrs.field(factory=Event)

    def open(self, evict: Callable[[], None]) -> Account:
        """Return the account of a new connection; see `Account`."""
        account = Account(self, evict)
        self._accounts.add(account)
        return account

    def close(self, account: Account) -> None:
        """Forget the account of a connection that has ended."""
        self._accounts.discard(account)
        # The handler refers to the account, so that both would be kept until the next
        # full garbage collection.
        account.evict = _nothing

    @property
    def is_short(self) -> bool:
        """Whether memory was lacking a short time ago."""
        return time.monotonic() < self._short_until

    def snapshot(self) -> dict:
        """Return the counts for the state dump."""
        return {
            "limit": _finite(self.limit),
            "body_limit": _finite(self.body_limit),
            "held": {str(kind): size for kind, size in self.held.items()},
            "peak": self.peak,
            "refused": {str(kind): count for kind, count in self.refused.items()},
            "closed": {str(cause): count for cause, count in self.closed.items()},
        }

    def take(
        self, account: Account, kind: Kind, size: int, patience_s: float = 0.0
    ) -> bool:
        """Count memory for a connection; return False if there is none.

        Parameters
        ----------
        account : Account
            Account of the connection.
        kind : Kind
            What it is for.
        size : int
            Number of bytes.
        patience_s : float, optional
            Seconds to wait until memory becomes free.
        """
        if self._fits(account, kind, size):
            self.count(account, kind, size)
            return True
        now = time.monotonic()
        self._short_until = now + SHORTAGE_S
        ends_at = now + patience_s
        while not account.is_evicted:
            is_freeing = self._evict_slow(account, kind, size)
            if time.monotonic() >= ends_at + (FREEING_S if is_freeing else 0.0):
                break
            self._given_back.clear()
            self._given_back.wait(SEARCH_S)
            if not account.is_evicted and self._fits(account, kind, size):
                self.count(account, kind, size)
                return True
        self.refused[kind] += 1
        return False

    def give_back(self, account: Account, kind: Kind, size: int) -> None:
        """Subtract memory that is no longer held."""
        account.size -= size
        account.sizes[kind] -= size
        self.held[kind] -= size
        self._total -= size
        if account.is_evicted:
            self._ending -= size
        self._given_back.set()

    def take_decrease(self) -> int:
        """Return how many bytes less are held than at most since the last call."""
        decrease, self._most = self._most - self._total, self._total
        return decrease

    def count(self, account: Account, kind: Kind, size: int) -> None:
        """Count memory that is taken in any case, also beyond the limit."""
        account.size += size
        account.sizes[kind] += size
        self.held[kind] += size
        self._total += size
        if account.is_evicted:
            self._ending += size
        self._most = max(self._most, self._total)
        self.peak = max(self.peak, self._total)

    def _fits(self, account, kind, size):
        return self._lacking(account, kind, size) <= 0

    def _lacking(self, account, kind, size):
        """Return how many bytes have to become free."""
        limit = self.limit
        if not self._is_small(account, size):
            limit -= RESERVED_SHARE * limit if limit < math.inf else 0
        return max(self._total + size - limit, self._lacking_of(kind, size))

    def _lacking_of(self, kind, size):
        """Return how many bytes of a kind have to become free."""
        match kind:
            case Kind.BODY:
                return self.held[kind] + size - self.body_limit
            case Kind.HEAD:
                return self.held[kind] + size - HEADS_SHARE * self.limit
        return -math.inf

    def _is_small(self, account, size):
        return account.size + size <= SMALL_BYTES

    def _evict_slow(self, account, kind, size):
        """End the connections that hold most and move least; return whether any ends.

        A large request does not end small connections: they are many, and free little.
        If a limit of one kind is reached, only connections that hold this kind end.
        """
        wanted = self._lacking(account, kind, size) + HEADROOM_SHARE * self._total
        wanted -= self._ending
        if wanted <= 0:
            return True
        now = time.monotonic()
        if now < self._search_at:
            return self._ending > 0
        least = 0 if self._is_small(account, size) else SMALL_BYTES
        is_kind_full = self._lacking_of(kind, size) > 0
        slow = []
        for each in self._accounts:
            seconds = each.seconds_to_free(now)
            held = each.sizes[kind] if is_kind_full else each.size
            if seconds >= SLOW_S and held > least and each is not account:
                slow.append((seconds, held, each))
        slow.sort(key=lambda found: found[:2])
        if not slow:
            self._search_at = now + SEARCH_S
        while slow and wanted > 0:
            _, held, victim = slow.pop()
            if not victim.is_evicted:
                wanted -= held
                self._evict(victim)
        return self._ending > 0

    def _evict(self, victim):
        victim.is_evicted = True
        self._ending += victim.size
        self.note_closed(Closing.MEMORY, victim)
        victim.evict()

    def note_closed(self, cause: Closing, account: Account) -> None:
        """Count and log a connection that is ended.

        Parameters
        ----------
        cause : Closing
            Why it is ended.
        account : Account
            Its account.
        """
        self.closed[cause] += 1
        if self._log_limit.allows():
            facts = {
                "cause": str(cause),
                "held": account.size,
                "held_by_all": self._total,
                "left_out": self._log_limit.take_suppressed(),
            }
            log.info("connection ended", extra=facts)
