"""Stand-ins for tests and benchmarks: the platform, targets and callers.

The product does not import this package.
"""

from cairnferry.standins._child_processes import start_child
from cairnferry.standins._load import LoadPlan, LoadReport, Operation, run_load
from cairnferry.standins._platform import Outage, PlatformStandin
from cairnferry.standins._ports import free_port, unique_loopback_host
from cairnferry.standins._processes import LocalSystem, Process
from cairnferry.standins._samples import (
    route_v1,
    route_v2,
    service_v1,
    service_v2,
    target_v1,
    target_v2,
    workspace_v1,
    workspace_v2,
)
from cairnferry.standins._scenario import ScenarioRun, run_file
from cairnferry.standins._scenario_fault import ScenarioFault
from cairnferry.standins._scenario_language import Scenario, parse_scenario
from cairnferry.standins._target import Fault, TargetBehaviour, TargetStandin
from cairnferry.standins._waiting import EventTimeout, wait_for

__all__ = [
    "EventTimeout",
    "Fault",
    "LoadPlan",
    "LoadReport",
    "LocalSystem",
    "Operation",
    "Outage",
    "PlatformStandin",
    "Process",
    "Scenario",
    "ScenarioFault",
    "ScenarioRun",
    "TargetBehaviour",
    "TargetStandin",
    "free_port",
    "unique_loopback_host",
    "parse_scenario",
    "route_v1",
    "route_v2",
    "run_file",
    "run_load",
    "start_child",
    "service_v1",
    "service_v2",
    "target_v1",
    "target_v2",
    "wait_for",
    "workspace_v1",
    "workspace_v2",
]
