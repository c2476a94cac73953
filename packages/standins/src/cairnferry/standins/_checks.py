"""Checks of scenarios: what targets ran against what callers were told."""

import collections
import time

START_ALLOWANCE = 20
# What a caller may be told, and how often the request may have run then.
_FEWEST_RUNS = {"ok": 1}
_MOST_RUNS = {"not-run": 0, "not-sent": 0}


def count_runs(system) -> collections.Counter:
    """Count the runs of each request over all targets."""
    runs = collections.Counter()
    for name in system.targets:
        for _, method, request_id in system.target_events(name)["ran"]:
            runs[method, request_id] += 1
    return runs


def check_honest(run, load, once="POST") -> list[str]:
    """Compare what callers were told with what ran.

    An "ok" ran, "not-run" ran nowhere, a method named in `once` ran at most once
    whatever was told, and nobody got another's or a part of an answer.
    """
    runs = count_runs(run.system)
    methods = once.split(",")
    faults = []
    for request_id, (method, told) in run.loads[load].report.outcomes.items():
        count = runs[method, request_id]
        fault = _fault(method, told, count, methods)
        if fault:
            faults.append(f"{method} {request_id}: told {told}, {fault}")
    return faults


def _fault(method, told, count, once):
    if told == "foreign":
        return "not its own answer"
    if count < _FEWEST_RUNS.get(told, 0):
        return "ran nowhere"
    if count > _MOST_RUNS.get(told, count):
        return f"ran {count} times"
    if method in once and count > 1:
        return f"ran {count} times"
    return None


def check_all_ok(run, load) -> list[str]:
    """Check that each request got its answer."""
    outcomes = run.loads[load].report.outcomes
    return [
        f"{method} {request_id}: told {told}"
        for request_id, (method, told) in outcomes.items()
        if told != "ok"
    ]


def check_told(run, load, *allowed) -> list[str]:
    """Check that callers were told nothing but the given outcomes."""
    outcomes = run.loads[load].report.outcomes
    return [
        f"{method} {request_id}: told {told}"
        for request_id, (method, told) in outcomes.items()
        if told not in allowed
    ]


def check_some(run, load, outcome) -> list[str]:
    """Check that an outcome occurred, so that a scenario tests what it says."""
    count = run.loads[load].report.count(outcome)
    return [] if count else [f"no caller was told {outcome}"]


def check_quiet(run, target, mark) -> list[str]:
    """Check that a target got no new work after a mark."""
    after = run.marks[mark]
    late = [
        (at - after, request_id)
        for at, _, request_id in run.system.target_events(target)["seen"]
        if at > after
    ]
    return [f"{request_id} came {seconds:.2f} s after" for seconds, request_id in late]


def check_retry_after(run, load) -> list[str]:
    """Check that whatever was given up said when to come back."""
    count = run.loads[load].report.without_retry_after
    return [f"{count} answers lack Retry-After"] if count else []


def check_exit_code(run, name, code="0") -> list[str]:
    """Check the exit code of a process that ended."""
    process = run.system.daemons.get(name) or run.system.targets[name]
    found = process.popen.returncode
    return [] if found == int(code) else [f"{name} exited with {found}"]


def check_revision(run, *names) -> list[str]:
    """Check that the last accepted revision is in force at daemons."""
    faults = []
    for name in names or list(run.system.daemons):
        revision = run.system.revision_of(run.system.daemons[name])
        if revision != run.revision:
            faults.append(f"{name} has revision {revision}, not {run.revision}")
    return faults


def check_probe_rate(run, target, most) -> list[str]:
    """Check the probes a second that a target got since all served."""
    probes = run.system.targets[target].read("http", "/_control")["probes"]
    return _rate_faults(run, f"probes of {target}", probes, float(most))


def check_platform_rate(run, most) -> list[str]:
    """Check the calls a second that the platform got since all served."""
    calls = run.system.platform.read("http", "/_control")["calls"]
    return _rate_faults(run, "calls of the platform", calls, float(most))


def _rate_faults(run, what, count, most):
    # What came while the daemons started counts too, as a few at the most.
    allowed = START_ALLOWANCE + most * (time.monotonic() - run.serving_since)
    return [f"{count} {what}, {allowed:.0f} allowed"] if count > allowed else []


CHECKS = {
    "honest": check_honest,
    "all-ok": check_all_ok,
    "told": check_told,
    "some": check_some,
    "quiet": check_quiet,
    "retry-after": check_retry_after,
    "exit-code": check_exit_code,
    "revision": check_revision,
    "probe-rate": check_probe_rate,
    "platform-rate": check_platform_rate,
}
