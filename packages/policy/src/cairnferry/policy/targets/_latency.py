"""Streaming estimates of a service's response times."""

import attrs

# Weight of a new sample in the mean, 0 to 1.
MEAN_GAIN = 0.05
# Step of the quantile estimate, as a share of its value.
QUANTILE_STEP = 0.05
# Samples from which the estimates are used. The first ones may all come from one moment
# at which this process was delayed.
MIN_SAMPLES = 8


@attrs.define
class LatencyEstimate:
    """Mean and one quantile, without keeping samples.

    Parameters
    ----------
    quantile : float
        Share of samples below the second estimate, 0 to 1.

    Attributes
    ----------
    usual : float
        Mean in seconds, in which the weight of slow responses is limited; 0 if unknown.
    high : float
        The quantile in seconds; 0 if unknown.
    samples : int
        Number of response times added so far.
    """

    quantile: float
    usual: float = 0.0
    high: float = 0.0
    samples: int = 0

    @property
    def expected(self) -> float:
        """Mean response time in seconds; 0 with fewer than `MIN_SAMPLES` samples."""
        return self.usual if self.samples >= MIN_SAMPLES else 0.0

    @property
    def longest(self) -> float:
        """Longest usual response time in seconds; 0 with fewer than `MIN_SAMPLES`."""
        return max(self.usual, self.high) if self.samples >= MIN_SAMPLES else 0.0

    def note(self, sample: float) -> None:
        """Add a response time in seconds."""
        self.samples += 1
        if self.usual == 0.0:
            self.usual = sample
            self.high = 2 * sample
            return
        # Limits the effect of a few very slow responses on the mean.
        bounded = min(sample, 4 * self.usual)
        self.usual += MEAN_GAIN * (bounded - self.usual)
        step = QUANTILE_STEP * self.high
        if sample > self.high:
            self.high += step * self.quantile
        else:
            self.high -= step * (1 - self.quantile)
