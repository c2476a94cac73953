"""Model of one service in simulated time, to compare policies within seconds.

The model does not simulate machines or networks. Its targets have slots, a varying
speed, a short queue, load shedding, load reports and status checks; its callers have
deadlines and retries. Each instance drives its own `ServicePolicy`, as the daemon does.
"""

from bench.model._crest import CrestResult, play_crest
from bench.model._crest_sites import CREST_SITES, CrestSite
from bench.model._disruptions import DisruptedWorld, excess_retries
from bench.model._dissemination import Dissemination, TransferOptions
from bench.model._fleet import Fleet
from bench.model._limited_service import LimitableTarget, LimitedService
from bench.model._loads import LOADS, SITES, Load, Site
from bench.model._query_of_death import QueryOfDeath
from bench.model._result import Outcome, Result
from bench.model._world import World, play

__all__ = [
    "CREST_SITES",
    "CrestResult",
    "CrestSite",
    "DisruptedWorld",
    "Fleet",
    "LOADS",
    "SITES",
    "Load",
    "LimitedService",
    "LimitableTarget",
    "Outcome",
    "Result",
    "Site",
    "Dissemination",
    "QueryOfDeath",
    "TransferOptions",
    "World",
    "excess_retries",
    "play",
    "play_crest",
]
