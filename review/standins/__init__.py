"""Stand-ins and helpers of the review's cases; they need the standard library only."""

from standins._callers import send
from standins._daemons import Fleet, loopback_host
from standins._http import Message, Response
from standins._manifest import manifest, rule, service_for
from standins._proxy import CuttingProxy
from standins._record import Record, run_case
from standins._store import Store
from standins._upstreams import Upstream

__all__ = [
    "CuttingProxy",
    "Fleet",
    "Message",
    "Record",
    "Response",
    "Store",
    "Upstream",
    "loopback_host",
    "manifest",
    "rule",
    "run_case",
    "send",
    "service_for",
]
