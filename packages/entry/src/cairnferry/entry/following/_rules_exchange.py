"""Exchange of the document with all rules between daemons.

A document of thousands of rules occupies an instance's link for the duration of several
requests. Each daemon fetches it from one peer at a time, and sends it to others at a
rate that leaves most of its link to requests. Peers that exceed the rate fetch it from
other daemons, so that the number of sources grows.
"""

import logging
import math
import time
import zlib

import attrs

from cairnferry.coordination import (
    NO_DOCUMENT_NEWS,
    DocumentFault,
    DocumentHistory,
    DocumentNews,
    TokenBucket,
)
from cairnferry.entry._steps import Steps
from cairnferry.peers import PeerCallFailed, PeerLink

# Share of the link's rate that may be used to send documents.
LINK_SHARE = 0.4
# Size of a burst, in seconds of that rate.
BURST_S = 0.2
# Bytes up to which an update is always sent: the update of one changed rule takes some
# hundred bytes.
SMALL_BYTES = 2048
# Seconds after which a second fetch may start although a peer has not answered yet.
SLOW_FETCH_S = 0.3
# Fetches in progress at the same time.
MAX_FETCHES = 2
# Pause in seconds before a peer that has reached its rate limit is called again.
BUSY_RETRY_S = 0.15
# Maximum number of such retries. A peer that was restarted meanwhile has no rules to
# send; another peer offers them.
MAX_BUSY_RETRIES = 8
# Reason of a failed call whose method a peer of an earlier release does not know.
UNKNOWN_METHOD = "TApplicationException"

# Size in bytes of the parts in which a document is compressed.
COMPRESSED_AT_ONCE = 64 * 1024

log = logging.getLogger(__name__)


def compress_in_steps(document: bytes) -> bytes:
    """Compress a document by zlib, in steps between which other tasks run."""
    steps = Steps()
    compressor = zlib.compressobj()
    parts = []
    for start in range(0, len(document), COMPRESSED_AT_ONCE):
        parts.append(compressor.compress(document[start : start + COMPRESSED_AT_ONCE]))
        steps.pause()
    return b"".join([*parts, compressor.flush()])


@attrs.define
class DocumentRateLimit:
    """Limits the rate at which documents are sent.

    Parameters
    ----------
    link_bytes_per_s : float
        Rate of this instance's link in bytes per second; infinite if unknown.
    """

    link_bytes_per_s: float = math.inf
    _bucket: TokenBucket | None = None

    def admit(self, size: int, now: float) -> bool:
        """Return whether a document may be sent now; if so, count its bytes.

        Parameters
        ----------
        size : int
            Size of the document in bytes.
        now : float
            Monotonic time in seconds.
        """
        if size <= SMALL_BYTES or self.link_bytes_per_s == math.inf:
            return True
        rate = LINK_SHARE * self.link_bytes_per_s
        # A document that is larger than the burst is sent when the bucket is full.
        burst = max(BURST_S * rate, size)
        if self._bucket is None:
            self._bucket = TokenBucket(rate, burst, now, tokens=burst)
        self._bucket.rate, self._bucket.burst = rate, burst
        return self._bucket.take(now, size)


@attrs.define
class FetchSlots:
    """Bounds the fetches in progress, to one per peer and `MAX_FETCHES` in all."""

    _begun: dict[str, float] = attrs.field(factory=dict)

    def begin(self, address: str, now: float) -> bool:
        """Return whether to fetch from a peer now; if so, `end` must be called.

        Parameters
        ----------
        address : str
            Address of the peer.
        now : float
            Monotonic time in seconds.
        """
        is_waiting = any(at > now - SLOW_FETCH_S for at in self._begun.values())
        if address in self._begun or is_waiting or len(self._begun) >= MAX_FETCHES:
            return False
        self._begun[address] = now
        return True

    def end(self, address: str) -> None:
        """Record the end of a fetch from a peer."""
        self._begun.pop(address, None)


@attrs.define
class RulesExchange:
    """Fetches the document from peers and sends it to them.

    Attributes
    ----------
    rate_limit : DocumentRateLimit
        Rate limit of sending.
    slots : FetchSlots
        Fetches in progress.
    history : DocumentHistory
        Recent versions of the document.
    """

    rate_limit: DocumentRateLimit = attrs.field(factory=DocumentRateLimit)
    slots: FetchSlots = attrs.field(factory=FetchSlots)
    history: DocumentHistory = attrs.field(factory=DocumentHistory)

    def add(self, revision: int, document: bytes) -> None:
        """Add a newer version of the document, unless a later one was added meanwhile.

        Peers are sent the version from then on.

        Parameters
        ----------
        revision : int
            Revision of the document.
        document : bytes
            The document.
        """
        packed = compress_in_steps(document)
        if revision > self.history.revision:
            self.history.add(revision, document, packed)

    def fetch(self, link: PeerLink, revision: int) -> bytes | None:
        """Fetch newer rules than a revision; None if the peer sends none now.

        Parameters
        ----------
        link : PeerLink
            Connection to the peer.
        revision : int
            Revision in force at this daemon.

        Raises
        ------
        PeerCallFailed
            If the peer did not answer, or its answer cannot be read.
        """
        try:
            update = link.document_since(revision)
        except PeerCallFailed as exc:
            if exc.reason != UNKNOWN_METHOD:
                raise
            return link.snapshot() or None
        if update == NO_DOCUMENT_NEWS:
            return None
        try:
            return self.history.read(update)
        except DocumentFault as exc:
            log.warning(
                "rules from a peer cannot be read",
                extra={"peer": link.address, "why": str(exc)},
            )
            raise PeerCallFailed(link.address, "rules") from exc

    def update_since(self, revision: int) -> DocumentNews:
        """Return the update since a revision; none above the rate limit."""
        update = self.history.news_since(revision)
        is_admitted = self.rate_limit.admit(len(update.packed), time.monotonic())
        return update if is_admitted else NO_DOCUMENT_NEWS
