"""Scenario steps that control callers or wait for events."""

import time

import attrs
import gevent

from cairnferry.standins._load import LoadPlan, LoadReport, parse_operations, run_load
from cairnferry.standins._waiting import wait_for

# Requests per second.
DEFAULT_RATE = 60.0
# Longer than any scenario runs.
MAX_LOAD_S = 3600.0


@attrs.define
class BackgroundLoad:
    """Callers that send until the step `end`.

    Attributes
    ----------
    report : LoadReport
        Outcomes so far.
    task : gevent.Greenlet
        Greenlet that sends the requests.
    """

    report: LoadReport
    task: gevent.Greenlet


def start_load(run, name, service, rate=DEFAULT_RATE, operations="", **settings):
    """Start callers in the background, at all running daemons."""
    entries = tuple(
        d.addresses["callers"] for d in run.system.daemons.values() if d.alive
    )
    plan = LoadPlan(
        entries=entries,
        service=service,
        operations=parse_operations(operations or f"GET /{service}"),
        rate=float(rate),
        seconds=MAX_LOAD_S,
        timeout_ms=int(settings.get("timeout_ms", 2000)),
        zone=settings.get("zone", ""),
        seed=int(settings.get("seed", 1)),
        prefix=name,
    )
    report = LoadReport()
    run.loads[name] = BackgroundLoad(report, gevent.spawn(run_load, plan, report))


def stop_load(run, name):
    """Stop callers and wait for their requests in flight."""
    run.loads[name].report.stop_requested = True
    run.loads[name].task.get()


def mark_time(run, name):
    """Record the current time under a name."""
    run.marks[name] = time.monotonic()


def await_event(run, subject, *arguments):
    """Wait for outcomes of callers, or for an event of `_AWAITS`."""
    if subject in run.loads:
        await_outcomes(run, subject, *arguments)
    else:
        _AWAITS[subject](run, *arguments)


def await_outcomes(run, name, outcome, count):
    """Wait until callers observed an outcome `count` more times."""
    report = run.loads[name].report
    expected = report.count(outcome) + int(count)
    wait_for(lambda: report.count(outcome) >= expected)


def await_revision(run, *names):
    """Wait until the last accepted revision is in force at daemons."""
    run.system.await_revision(run.revision, run.select_daemons(names))


def await_members(run, count, *names):
    """Wait until daemons list `count` live members, themselves included."""
    run.system.await_members(int(count), run.select_daemons(names))


def await_draining(run, target, *names):
    """Wait until each daemon shows a target as draining."""
    for process in run.select_daemons(names):
        wait_for(lambda p=process: _shows_draining(p, target))


def _shows_draining(process, target):
    document = process.read("operators", "/v1/dump") or {}
    states = [
        state
        for service in document.get("services", {}).values()
        for state in service["targets"]
    ]
    return any(state["name"] == target and state["draining"] for state in states)


def await_exit(run, name):
    """Wait until a process has exited."""
    wait_for(lambda: not run.process(name).alive)


def await_state(run, name, state, seen_by):
    """Wait until one daemon lists another one in a state."""
    process = run.system.daemons[seen_by]
    wait_for(lambda: _state_of(process, name) == state)


def _state_of(process, name):
    document = process.read("operators", "/v1/status") or {"members": []}
    return {m["name"]: m["state"] for m in document["members"]}.get(name)


def await_unsound(run, name):
    """Wait until a daemon reports that callers should use other daemons."""
    process = run.system.daemons[name]
    wait_for(
        lambda: (process.read("operators", "/v1/status") or {}).get("sound") is False
    )


def await_behind(run, *names):
    """Wait until daemons report a revision that they cannot apply."""
    for process in run.select_daemons(names):
        wait_for(
            lambda p=process: (p.read("operators", "/v1/status") or {}).get("behind")
        )


def await_in_use(run, target, count):
    """Wait until a target has at least `count` requests in progress."""
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

STEPS = {"load": start_load, "end": stop_load, "mark": mark_time, "await": await_event}
