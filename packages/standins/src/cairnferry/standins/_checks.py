"""Checks of scenarios: outcomes of callers against requests that targets ran."""

import collections
import time

# Additional calls or probes that are allowed while daemons start.
START_ALLOWANCE = 20
# Minimum and maximum number of runs that an outcome allows.
_MIN_RUNS = {"ok": 1}
_MAX_RUNS = {"not-run": 0, "not-sent": 0}


def count_runs(system) -> collections.Counter:
    """Return the number of runs of each (method, request ID), over all targets."""
    runs = collections.Counter()
    for name in system.targets:
        for _, method, request_id in system.target_events(name)["ran"]:
            runs[method, request_id] += 1
    return runs


def check_honest(run, load, once="POST") -> list[str]:
    """Check the outcomes of callers against the requests that targets ran.

    An "ok" request ran, a "not-run" or "not-sent" one did not, and one with a method in
    `once` ran at most once whatever its outcome. No caller got an incomplete response
    or the response to another request.

    Returns
    -------
    list of str
        One description per failure, as with all checks.
    """
    runs = count_runs(run.system)
    methods = once.split(",")
    failures = []
    for request_id, (method, outcome) in run.loads[load].report.outcomes.items():
        count = runs[method, request_id]
        failure = _find_failure(method, outcome, count, methods)
        if failure:
            failures.append(f"{method} {request_id}: outcome {outcome}, {failure}")
    return failures


def _find_failure(method, outcome, count, once):
    if outcome == "foreign":
        return "response is corrupt or of another request"
    if count < _MIN_RUNS.get(outcome, 0):
        return "did not run at any target"
    if count > _MAX_RUNS.get(outcome, count):
        return f"ran {count} times"
    if method in once and count > 1:
        return f"ran {count} times"
    return None


def check_all_ok(run, load) -> list[str]:
    """Check that each request has the outcome "ok"."""
    outcomes = run.loads[load].report.outcomes
    return [
        f"{method} {request_id}: outcome {outcome}"
        for request_id, (method, outcome) in outcomes.items()
        if outcome != "ok"
    ]


def check_outcomes(run, load, *allowed) -> list[str]:
    """Check that only the given outcomes occurred."""
    outcomes = run.loads[load].report.outcomes
    return [
        f"{method} {request_id}: outcome {outcome}"
        for request_id, (method, outcome) in outcomes.items()
        if outcome not in allowed
    ]


def check_occurred(run, load, outcome) -> list[str]:
    """Check that an outcome occurred, so that the scenario tests what it claims to."""
    count = run.loads[load].report.count(outcome)
    return [] if count else [f"outcome {outcome} did not occur"]


def check_quiet(run, target, mark) -> list[str]:
    """Check that a target received no requests after a mark."""
    after = run.marks[mark]
    late = [
        (at - after, request_id)
        for at, _, request_id in run.system.target_events(target)["seen"]
        if at > after
    ]
    return [
        f"{request_id} arrived {seconds:.2f} s after the mark"
        for seconds, request_id in late
    ]


def check_retry_after(run, load) -> list[str]:
    """Check that responses to requests that were given up have Retry-After."""
    count = run.loads[load].report.without_retry_after
    return [f"{count} responses lack Retry-After"] if count else []


def check_exit_code(run, name, code="0") -> list[str]:
    """Check the exit code of a process that exited."""
    process = run.system.daemons.get(name) or run.system.targets[name]
    found = process.popen.returncode
    return [] if found == int(code) else [f"{name} exited with {found}"]


def check_revision(run, *names) -> list[str]:
    """Check that the last accepted revision is in force at daemons."""
    failures = []
    for name in names or list(run.system.daemons):
        revision = run.system.revision_of(run.system.daemons[name])
        if revision != run.revision:
            failures.append(f"{name} has revision {revision}, not {run.revision}")
    return failures


def check_probe_rate(run, target, most) -> list[str]:
    """Check the probes per second at a target since all daemons were serving."""
    probes = run.system.targets[target].read("http", "/_control")["probes"]
    return _find_rate_failures(run, f"probes of {target}", probes, float(most))


def check_platform_rate(run, most) -> list[str]:
    """Check the calls per second at the platform since all daemons were serving."""
    calls = run.system.platform.read("http", "/_control")["calls"]
    return _find_rate_failures(run, "calls of the platform", calls, float(most))


def _find_rate_failures(run, subject, count, max_per_s):
    allowed = START_ALLOWANCE + max_per_s * (time.monotonic() - run.serving_since)
    return [f"{count} {subject}, {allowed:.0f} allowed"] if count > allowed else []


CHECKS = {
    "honest": check_honest,
    "all-ok": check_all_ok,
    "told": check_outcomes,
    "some": check_occurred,
    "quiet": check_quiet,
    "retry-after": check_retry_after,
    "exit-code": check_exit_code,
    "revision": check_revision,
    "probe-rate": check_probe_rate,
    "platform-rate": check_platform_rate,
}
