"""Summarise the log lines of all instances over time."""

import collections
import math
from datetime import datetime

import attrs

from cairnferry.ctl._explain import Log, LogLine

# Maximum number of steps; more of them cannot be told apart in a chart.
MAX_STEPS = 120
# Messages on completed requests, and their labels in the chart.
OUTCOME_BY_MESSAGE = {
    "request answered": "answered",
    "request sent more than once": "sent more than once",
    "request given up": "given up",
    "request rejected": "rejected",
    "caller gone": "caller gone",
}


@attrs.define
class Step:
    """Summary of one step of time.

    Attributes
    ----------
    outcomes : Counter
        Completed requests by outcome. Requests whose lines were skipped are counted
        too, in the step of the line that reports their number.
    durations_ms : list of float
        Durations of the requests that have a line, in milliseconds.
    serving : int
        Instances that serve and are not leaving, at the end of the step.
    revisions : tuple of int
        Lowest and highest revision in force at these instances; empty if there are
        none.
    """

    outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    durations_ms: list[float] = attrs.field(factory=list)
    serving: int = 0
    revisions: tuple[int, ...] = ()


@attrs.frozen
class Timeline:
    """Summary of a log in steps of equal length.

    Attributes
    ----------
    begin : datetime
        Start of the first step.
    step_s : float
        Length of a step in seconds.
    steps : list of Step
        All steps, including those without log lines.
    """

    begin: datetime
    step_s: float
    steps: list[Step]


@attrs.define
class _Instances:
    """Tracks the instances that serve, and the revision in force at each."""

    revisions: dict[str, int] = attrs.field(factory=dict)

    def apply(self, line: LogLine) -> None:
        match line.message:
            case "serving":
                # A new process has no rules yet, even if an earlier process had.
                self.revisions.pop(line.instance, None)
            case "in force":
                self.revisions[line.instance] = line.fields["revision"]
            case "leaving":
                self.revisions.pop(line.instance, None)

    def fill(self, step: Step) -> None:
        step.serving = len(self.revisions)
        if self.revisions:
            known = self.revisions.values()
            step.revisions = (min(known), max(known))


def build_timeline(log: Log) -> Timeline | None:
    """Summarise the lines by steps of time; return None if there are no lines."""
    if not log.lines:
        return None
    begin = log.lines[0].time
    length = (log.lines[-1].time - begin).total_seconds()
    step_s = max(1.0, math.ceil(length / MAX_STEPS))
    steps = [Step() for _ in range(int(length / step_s) + 1)]
    instances = _Instances()
    by_step = collections.defaultdict(list)
    for line in log.lines:
        by_step[int((line.time - begin).total_seconds() / step_s)].append(line)
    for index, step in enumerate(steps):
        for line in by_step[index]:
            instances.apply(line)
            _count(step, line)
        instances.fill(step)
    return Timeline(begin, step_s, steps)


def _count(step, line):
    outcome = OUTCOME_BY_MESSAGE.get(line.message)
    if outcome is None:
        return
    step.outcomes[outcome] += 1 + line.fields.get("left_out", 0)
    if "after_ms" in line.fields:
        step.durations_ms.append(line.fields["after_ms"])
