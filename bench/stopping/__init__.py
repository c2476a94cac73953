"""Real daemons that are stopped while callers use them, and what the callers get."""

from bench.stopping._counting import FAULTS, Counts
from bench.stopping._experiment import Result, run_stop
from bench.stopping._setup import Setup
from bench.stopping._ways import WAYS

__all__ = ["FAULTS", "WAYS", "Counts", "Result", "Setup", "run_stop"]
