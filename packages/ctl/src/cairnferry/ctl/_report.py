"""What happened over time, summed up from the log lines of all instances."""

import collections
import math
from datetime import datetime

import attrs

from cairnferry.ctl._explain import Log, LogLine

# Steps in all; more cannot be told apart in a chart.
MOST_STEPS = 120
# Messages on requests that ended, and what they are called in the chart.
ENDED = {
    "request answered": "answered",
    "request sent more than once": "sent more than once",
    "request given up": "given up",
    "request rejected": "rejected",
    "caller gone": "caller gone",
}


@attrs.define
class Step:
    """What happened in one step of time.

    Attributes
    ----------
    ended : Counter
        Requests by how they ended; lines that were left out are counted too, in the
        step of the line that tells of them.
    times_ms : list of float
        Milliseconds of the requests that have a line.
    serving : int
        Instances that serve and do not leave, at the end of the step.
    revisions : tuple of int
        The lowest and the highest revision in force there; empty if there is none.
    """

    ended: collections.Counter = attrs.field(factory=collections.Counter)
    times_ms: list[float] = attrs.field(factory=list)
    serving: int = 0
    revisions: tuple[int, ...] = ()


@attrs.frozen
class Timeline:
    """Steps of equal length.

    Attributes
    ----------
    begin : datetime
        Time at which the first one begins.
    step_s : float
        Length in seconds.
    steps : list of Step
        All steps, also those in which nothing happened.
    """

    begin: datetime
    step_s: float
    steps: list[Step]


@attrs.define
class _Instances:
    """Which instances serve, and at which revision."""

    revisions: dict[str, int] = attrs.field(factory=dict)

    def take(self, line: LogLine) -> None:
        match line.message:
            case "serving":
                # It has no rules yet, whatever an earlier process had.
                self.revisions.pop(line.instance, None)
            case "in force":
                self.revisions[line.instance] = line.facts["revision"]
            case "leaving":
                self.revisions.pop(line.instance, None)

    def show(self, step: Step) -> None:
        step.serving = len(self.revisions)
        if self.revisions:
            known = self.revisions.values()
            step.revisions = (min(known), max(known))


def timeline(log: Log) -> Timeline | None:
    """Sum the lines up by steps of time; None if there are no lines."""
    if not log.lines:
        return None
    begin = log.lines[0].time
    length = (log.lines[-1].time - begin).total_seconds()
    step_s = max(1.0, math.ceil(length / MOST_STEPS))
    steps = [Step() for _ in range(int(length / step_s) + 1)]
    instances = _Instances()
    by_step = collections.defaultdict(list)
    for line in log.lines:
        by_step[int((line.time - begin).total_seconds() / step_s)].append(line)
    for index, step in enumerate(steps):
        for line in by_step[index]:
            instances.take(line)
            _count(step, line)
        instances.show(step)
    return Timeline(begin, step_s, steps)


def _count(step, line):
    ended = ENDED.get(line.message)
    if ended is None:
        return
    step.ended[ended] += 1 + line.facts.get("left_out", 0)
    if "after_ms" in line.facts:
        step.times_ms.append(line.facts["after_ms"])
