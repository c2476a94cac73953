"""Use of the network link of this instance by the daemon's own transfers."""

import math

import attrs

# Seconds that one piece of a large request takes on the link. Other data, such as a
# status check, waits for at most about two pieces.
PIECE_S = 0.008
# Smallest piece in bytes; smaller ones cost more processor time than they save.
MIN_PIECE_BYTES = 4096
# Largest estimate of a backlog in seconds. A remote side that reads slowly holds back
# data in the buffers of its socket, and this data does not occupy the link.
MAX_BACKLOG_S = 1.0


@attrs.define(eq=False)
class Link:
    """Estimate of how long this daemon's data occupies its link.

    Data that was handed to a socket leaves at the rate of the link, so that whatever is
    sent next waits for it, on any connection. Received data has passed the link before
    it is read.

    Parameters
    ----------
    rate : float
        Bytes per second in each direction; infinite if unknown, and then all estimates
        are zero.
    """

    rate: float = math.inf
    _transfer_s: float = 0.0
    _free_at: float = -math.inf

    def note_sent(self, size: int, now: float) -> None:
        """Record that data is handed to a socket.

        Parameters
        ----------
        size : int
            Size in bytes.
        now : float
            Time in seconds.
        """
        begins = max(now, self._free_at)
        ends = min(begins + size / self.rate, now + MAX_BACKLOG_S)
        self._transfer_s += max(0.0, ends - begins)
        self._free_at = max(begins, ends)

    def note_received(self, size: int) -> None:
        """Record that data was received; the size is in bytes."""
        self._transfer_s += size / self.rate

    def backlog(self, now: float) -> float:
        """Return the seconds until the data sent so far has left."""
        return max(0.0, self._free_at - now)

    def busy_seconds(self, now: float) -> float:
        """Return for how many seconds up to now data occupied the link, in total."""
        return self._transfer_s - self.backlog(now)

    @property
    def piece_bytes(self) -> float:
        """Largest size in bytes of what is sent at once; infinite if unlimited."""
        return max(MIN_PIECE_BYTES, self.rate * PIECE_S)

    def delay(self, now: float) -> float:
        """Return the seconds to wait before the next piece of a large request."""
        return max(0.0, self.backlog(now) - PIECE_S)
