"""The life of one request, told from the log lines of all instances."""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta

import attrs

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
# Fields that each line has; all others are what the line tells.
COMMON_FIELDS = ("time", "level", "part", "message", "instance", "request_id")
# Lines on what an instance believes, which decide about requests that come after.
BELIEFS = (
    "in force",
    "rules cannot be read",
    "targets",
    "target silent",
    "target heard again",
    "target ejected",
    "target returned",
    "target is leaving",
    "feed lost",
    "feed is back",
    "history lost",
    "era of the store",
    "the store came back from a copy",
    "serving",
    "leaving",
    "log lines dropped",
)
# Lines on a request that ends targets, whoever sent it: they tell of it by its digest.
SUSPICIONS = (
    "request suspected",
    "request blocked",
    "request tried again",
    "request let through again",
    "target ended under requests",
)
# Lines on limits that targets name. A limit holds until another line ends it.
LIMITS = ("limit named", "limit changed", "limit lifted", "limit forgotten")
# Lines on targets that asked for rest. It holds for the time that the line tells.
RESTS = ("target asks for rest", "target has rested")
# Lines on zones that operators took out of use or back: these say which targets it
# could not have.
ZONES = ("zone evacuated", "zone restored")
# Cause of a request for which all targets were kept back by their limits.
KEPT_BY_LIMITS = "target-limit"
# Cause of a request for which all targets rested.
KEPT_BY_RESTS = "targets-resting"
# Lines that tell why requests were kept back for a cause.
LASTING = {KEPT_BY_LIMITS: LIMITS, KEPT_BY_RESTS: RESTS}
# Names of targets in a belief's line.
TARGET_FIELDS = (
    "target",
    "came",
    "went",
    "lifecycle",
    "keys",
    "lost",
    "older",
    "back",
)


@attrs.frozen
class LogLine:
    """One line of a log.

    Attributes
    ----------
    time : datetime
        When it was written, by the clock of its instance.
    instance, message : str
        Who wrote it, and what about.
    request_id : str or None
        The request that it is about.
    facts : dict
        What else it tells.
    """

    time: datetime
    instance: str
    message: str
    request_id: str | None
    facts: dict

    def contents(self) -> set[str]:
        """Give the digests of requests that the line is about."""
        in_hand = {text.split(" ")[0] for text in self.facts.get("in_hand", ())}
        return in_hand | {self.facts.get("content", "")} - {""}

    def names(self) -> set[str]:
        """Give the targets that the line is about."""
        found = set()
        for field in TARGET_FIELDS:
            value = self.facts.get(field, ())
            found.update([value] if isinstance(value, str) else value)
        return found


@attrs.define
class Log:
    """Lines of all instances.

    Attributes
    ----------
    lines : list of LogLine
        In the order of their times.
    unreadable : int
        Lines that are none of an instance's.
    """

    lines: list[LogLine] = attrs.field(factory=list)
    unreadable: int = 0


def read_log(texts: Iterable[str]) -> Log:
    """Read lines; what stands before the JSON object of a line is passed over.

    Parameters
    ----------
    texts : iterable of str
        Lines as they were written, of any number of instances in any order.
    """
    log = Log()
    for text in texts:
        line = _read_line(text)
        if line is not None:
            log.lines.append(line)
        elif text.strip():
            log.unreadable += 1
    log.lines.sort(key=lambda line: line.time)
    return log


def _read_line(text):
    _, brace, rest = text.partition("{")
    try:
        document = json.loads(brace + rest)
        when = datetime.strptime(document["time"], TIME_FORMAT)
        instance, message = document["instance"], document["message"]
    except (ValueError, KeyError, TypeError):
        return None
    facts = {k: v for k, v in document.items() if k not in COMMON_FIELDS}
    return LogLine(when, instance, message, document.get("request_id"), facts)


def explain(log: Log, request_id: str, before_s: float) -> list[LogLine]:
    """Choose the lines that tell what became of a request, and why.

    Parameters
    ----------
    log : Log
        Lines of all instances.
    request_id : str
        The ID that its caller gave it.
    before_s : float
        Seconds before it for which changes of belief are told: those of its instance
        on rules and feeds, and on the targets that were asked or tried. What any
        instance said of targets that ended under a request like it is told in any case.

    Returns
    -------
    list of LogLine
        In the order of their times; empty if no line is about the request.
    """
    own = [line for line in log.lines if line.request_id == request_id]
    if not own:
        return []
    instances = {line.instance for line in own}
    contents = set().union(*(line.contents() for line in own))
    targets = set().union(*(_targets_of(line) for line in own))
    causes = {line.facts.get("cause") for line in own}
    begin = min(_arrived(line) for line in own) - timedelta(seconds=before_s)
    end = max(line.time for line in own)

    def tells(line):
        if line.message in SUSPICIONS:
            # Of all instances and however long ago: three ends elsewhere decide.
            return line.time <= end and bool(line.contents() & contents)
        if line.request_id is not None or line.instance not in instances:
            return line.request_id == request_id
        if line.message in ZONES:
            return line.time <= end
        for cause, messages in LASTING.items():
            if line.message in messages and line.time <= end:
                # However long ago it was said. Of a request that was kept back by all
                # targets, no line says which of them it might have had.
                return cause in causes or bool(line.names() & targets)
        if line.message not in BELIEFS or not begin <= line.time <= end:
            return False
        names = line.names()
        return not names or bool(names & targets)

    return [line for line in log.lines if tells(line)]


def _targets_of(line):
    """Give the targets that were asked or tried; an attempt is "kind target ..."."""
    tried = {text.split(" ")[1] for text in line.facts.get("attempts", ())}
    return tried.union(line.facts.get("asked", ()))


def _arrived(line):
    return line.time - timedelta(milliseconds=line.facts.get("after_ms", 0))


def told(lines: list[LogLine]) -> Iterator[str]:
    """Give one text for each line; those on the request itself are marked."""
    for line in lines:
        mark = "*" if line.request_id is not None else " "
        when = line.time.strftime("%H:%M:%S.%f")[:-3]
        facts = "  ".join(f"{key}={_short(v)}" for key, v in line.facts.items())
        yield f"{mark} {when}  {line.instance}  {line.message}  {facts}".rstrip()


def _short(value):
    if isinstance(value, list):
        return ", ".join(str(each) for each in value) or "none"
    return str(value)
