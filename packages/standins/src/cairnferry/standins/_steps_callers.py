"""Steps of callers, and waiting for events."""

import time

import attrs
import gevent

from cairnferry.standins._load import LoadPlan, LoadReport, parse_operations, run_load
from cairnferry.standins._waiting import wait_for

DEFAULT_RATE = 60.0
FOREVER_S = 3600.0


@attrs.define
class BackgroundLoad:
    """Callers that run until they are told to end.

    Attributes
    ----------
    report : LoadReport
        What they saw so far.
    task : gevent.Greenlet
        The task that sends.
    """

    report: LoadReport
    task: gevent.Greenlet


def load(run, name, service, rate=DEFAULT_RATE, operations="", **settings):
    """Start callers."""
    entries = tuple(
        d.addresses["callers"] for d in run.system.daemons.values() if d.alive
    )
    plan = LoadPlan(
        entries=entries,
        service=service,
        operations=parse_operations(operations or f"GET /{service}"),
        rate=float(rate),
        seconds=FOREVER_S,
        timeout_ms=int(settings.get("timeout_ms", 2000)),
        zone=settings.get("zone", ""),
        seed=int(settings.get("seed", 1)),
        prefix=name,
    )
    report = LoadReport()
    run.loads[name] = BackgroundLoad(report, gevent.spawn(run_load, plan, report))


def end(run, name):
    """Send no more and wait for what is under way."""
    run.loads[name].report.ended = True
    run.loads[name].task.get()


def mark(run, name):
    """Remember this moment."""
    run.marks[name] = time.monotonic()


def await_event(run, subject, *words):
    """Wait for an event."""
    if subject in run.loads:
        await_outcomes(run, subject, *words)
    else:
        _AWAITS[subject](run, *words)


def await_outcomes(run, name, outcome, count):
    """Wait until callers have had so many more of an outcome."""
    report = run.loads[name].report
    wanted = report.count(outcome) + int(count)
    wait_for(lambda: report.count(outcome) >= wanted)


def await_revision(run, *names):
    """Wait until the last accepted revision is in force."""
    run.system.await_revision(run.revision, run.chosen(names))


def await_members(run, count, *names):
    """Wait until daemons know so many live ones."""
    run.system.await_members(int(count), run.chosen(names))


def await_draining(run, target, *names):
    """Wait until each daemon knows that a target is leaving."""
    for process in run.chosen(names):
        wait_for(lambda p=process: _knows_draining(p, target))


def _knows_draining(process, target):
    document = process.read("operators", "/v1/dump") or {}
    states = [
        state
        for service in document.get("services", {}).values()
        for state in service["targets"]
    ]
    return any(state["name"] == target and state["draining"] for state in states)


def await_exit(run, name):
    """Wait until a process has ended."""
    wait_for(lambda: not run.process(name).alive)


def await_state(run, name, state, seen_by):
    """Wait until one daemon sees another in a state."""
    process = run.system.daemons[seen_by]
    wait_for(lambda: _state_of(process, name) == state)


def _state_of(process, name):
    document = process.read("operators", "/v1/status") or {"members": []}
    return {m["name"]: m["state"] for m in document["members"]}.get(name)


def await_unsound(run, name):
    """Wait until a daemon says that callers should go elsewhere."""
    process = run.system.daemons[name]
    wait_for(
        lambda: (process.read("operators", "/v1/status") or {}).get("sound") is False
    )


def await_behind(run, *names):
    """Wait until daemons say that they cannot apply a revision."""
    for process in run.chosen(names):
        wait_for(
            lambda p=process: (p.read("operators", "/v1/status") or {}).get("behind")
        )


def await_in_use(run, target, count):
    """Wait until a target holds so many requests."""
    process = run.system.targets[target]
    wait_for(
        lambda: (process.read("http", "/_control") or {}).get("in_use", 0) >= int(count)
    )


_AWAITS = {
    "revision": await_revision,
    "members": await_members,
    "draining": await_draining,
    "exit": await_exit,
    "state": await_state,
    "unsound": await_unsound,
    "behind": await_behind,
    "in-use": await_in_use,
}

STEPS = {"load": load, "end": end, "mark": mark, "await": await_event}
