"""Counters of calls to the platform, which limits them by a budget."""

import attrs


@attrs.define
class CallMeter:
    """Calls and bytes since the start of the daemon.

    Attributes
    ----------
    reads, writes, failures : int
        Number of read calls, write calls and failed calls.
    sent, received : int
        Bytes of request and response bodies.
    """

    reads: int = 0
    writes: int = 0
    failures: int = 0
    sent: int = 0
    received: int = 0

    def record(self, *, write: bool, sent: int, received: int, failed: bool) -> None:
        """Count one call."""
        if write:
            self.writes += 1
        else:
            self.reads += 1
        self.failures += failed
        self.sent += sent
        self.received += received
