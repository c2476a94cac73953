"""Model of one service in simulated time, to compare policies in seconds.

No simulator of machines or networks: targets have slots, a pace that shifts, a short
queue, shedding, reports and status checks; callers have deadlines and retries. Each
instance drives a `ServicePolicy` of its own, as the daemon does.
"""

from bench.model._disruptions import DisruptedWorld, excess_of_repeats
from bench.model._fleet import Fleet
from bench.model._loads import LOADS, SITES, Load, Site
from bench.model._need import Need, NeedyTarget
from bench.model._result import Outcome, Result
from bench.model._spread import Spread, Way
from bench.model._storm import Storm
from bench.model._world import World, play

__all__ = [
    "DisruptedWorld",
    "Fleet",
    "LOADS",
    "SITES",
    "Load",
    "Need",
    "NeedyTarget",
    "Outcome",
    "Result",
    "Site",
    "Spread",
    "Storm",
    "Way",
    "World",
    "excess_of_repeats",
    "play",
]
