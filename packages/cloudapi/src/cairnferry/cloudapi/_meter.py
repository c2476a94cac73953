"""Counts of calls to the platform, which has a budget for them."""

import attrs


@attrs.define
class CallMeter:
    """Calls and bytes since the start.

    Attributes
    ----------
    reads, writes, failures : int
        Calls.
    sent, received : int
        Bytes of bodies.
    """

    reads: int = 0
    writes: int = 0
    failures: int = 0
    sent: int = 0
    received: int = 0

    def note(self, *, write: bool, sent: int, received: int, failed: bool) -> None:
        """Count one call."""
        if write:
            self.writes += 1
        else:
            self.reads += 1
        self.failures += failed
        self.sent += sent
        self.received += received
