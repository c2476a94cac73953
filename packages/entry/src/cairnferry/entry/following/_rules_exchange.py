"""How daemons give each other the document that holds the rules.

A document of thousands of rules fills an instance's link for as long as several
requests take. Each daemon fetches it from one peer at a time, and gives it to others at
a rate that leaves most of its link to requests; those that come too soon ask others
meanwhile, so that it goes from those that have it to ever more.
"""

import logging
import math
import time

import attrs

from cairnferry.coordination import (
    NO_DOCUMENT_NEWS,
    DocumentFault,
    DocumentHistory,
    DocumentNews,
    TokenBucket,
)
from cairnferry.peers import PeerCallFailed, PeerLink

# Part of the link's rate at which documents are given.
LINK_SHARE = 0.4
# Seconds of that rate that may be given at once.
BURST_S = 0.2
# Bytes up to which news is always given: that of one changed rule has some hundred.
SMALL_BYTES = 2048
# Seconds after which a peer that still has not answered is no reason to wait for it,
# and fetches at the same time.
PATIENCE_S = 0.3
MAX_FETCHES = 2
# Seconds after which a peer that had no room is asked again.
BUSY_RETRY_S = 0.15
# How often: one that lost its rules meanwhile has none to give, and another will offer.
MAX_BUSY_RETRIES = 8
# How a call ends that a peer of an earlier release does not know.
NO_SUCH_CALL = "TApplicationException"

log = logging.getLogger(__name__)


@attrs.define
class DocumentRateLimit:
    """Decides whether there is room on the link to give a document now.

    Parameters
    ----------
    link_bytes_per_s : float
        Rate of this instance's link; infinite if it is not known.
    """

    link_bytes_per_s: float = math.inf
    _bucket: TokenBucket | None = None

    def admit(self, size: int, now: float) -> bool:
        """Tell whether a document may be given now; if so, count it.

        Parameters
        ----------
        size : int
            Its bytes.
        now : float
            Monotonic time in seconds.
        """
        if size <= SMALL_BYTES or self.link_bytes_per_s == math.inf:
            return True
        rate = LINK_SHARE * self.link_bytes_per_s
        # One that is larger than the burst goes out whenever the bucket is full.
        burst = max(BURST_S * rate, size)
        if self._bucket is None:
            self._bucket = TokenBucket(rate, burst, now, tokens=burst)
        self._bucket.rate, self._bucket.burst = rate, burst
        return self._bucket.take(now, size)


@attrs.define
class FetchSlots:
    """Decides whether to fetch from a peer that offers something newer."""

    _begun: dict[str, float] = attrs.field(factory=dict)

    def begin(self, address: str, now: float) -> bool:
        """Tell whether to fetch from a peer now; to be followed by `end`."""
        is_patient = any(at > now - PATIENCE_S for at in self._begun.values())
        if address in self._begun or is_patient or len(self._begun) >= MAX_FETCHES:
            return False
        self._begun[address] = now
        return True

    def end(self, address: str) -> None:
        """Take in that a fetch is over."""
        self._begun.pop(address, None)


@attrs.define
class RulesExchange:
    """Versions of the document, and the turns in which they are fetched and given."""

    pace: DocumentRateLimit = attrs.field(factory=DocumentRateLimit)
    turns: FetchSlots = attrs.field(factory=FetchSlots)
    history: DocumentHistory = attrs.field(factory=DocumentHistory)

    def fetch(self, link: PeerLink, revision: int) -> bytes | None:
        """Fetch newer rules than a revision; None if the peer has no room for that.

        Raises
        ------
        PeerCallFailed
            If the peer did not answer, or with what cannot be read.
        """
        try:
            news = link.document_since(revision)
        except PeerCallFailed as exc:
            if exc.reason != NO_SUCH_CALL:
                raise
            return link.snapshot() or None
        if news == NO_DOCUMENT_NEWS:
            return None
        try:
            return self.history.read(news)
        except DocumentFault as exc:
            log.warning(
                "rules of a peer", extra={"peer": link.address, "why": str(exc)}
            )
            raise PeerCallFailed(link.address, "rules") from exc

    def give(self, revision: int) -> DocumentNews:
        """Give what a peer lacks that holds a revision; nothing if there is no room."""
        news = self.history.news_since(revision)
        has_room = self.pace.admit(len(news.packed), time.monotonic())
        return news if has_room else NO_DOCUMENT_NEWS
