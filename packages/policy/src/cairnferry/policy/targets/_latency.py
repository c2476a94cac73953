"""Streaming estimates of a service's answer times."""

import attrs

MEAN_GAIN = 0.05
QUANTILE_STEP = 0.05
# Samples from which the estimates say what to expect. The first ones may all come from
# one moment at which this process was held up.
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
        Mean in seconds, in which slow answers count little; 0 if unknown.
    high : float
        The quantile in seconds; 0 if unknown.
    samples : int
        Answer times taken in so far.
    """

    quantile: float
    usual: float = 0.0
    high: float = 0.0
    samples: int = 0

    @property
    def expected(self) -> float:
        """Seconds that an answer takes on the whole; 0 while too few were seen."""
        return self.usual if self.samples >= MIN_SAMPLES else 0.0

    @property
    def longest(self) -> float:
        """Seconds that an answer may well take; 0 while too few were seen."""
        return max(self.usual, self.high) if self.samples >= MIN_SAMPLES else 0.0

    def note(self, sample: float) -> None:
        """Take in an answer time in seconds."""
        self.samples += 1
        if self.usual == 0.0:
            self.usual = sample
            self.high = 2 * sample
            return
        # A few very slow answers must not make slow look usual.
        bounded = min(sample, 4 * self.usual)
        self.usual += MEAN_GAIN * (bounded - self.usual)
        step = QUANTILE_STEP * self.high
        if sample > self.high:
            self.high += step * self.quantile
        else:
            self.high -= step * (1 - self.quantile)
