"""Explain the outcome of one request from the log lines of all instances."""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta

import attrs

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
# Fields that every line has; all other fields are specific to the message.
COMMON_FIELDS = ("time", "level", "part", "message", "instance", "request_id")
# Messages on an instance's state, which affects later requests.
STATE_MESSAGES = (
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
    "table is old",
    "table is no longer old",
    "rows cannot be applied",
    "task failed",
    "era of the store",
    "the store came back from a copy",
    "serving",
    "leaving",
    "log lines dropped",
)
# Messages on a request that crashes targets, from any caller. They identify the
# request by its digest.
QUARANTINE_MESSAGES = (
    "request suspected",
    "request blocked",
    "request tried again",
    "request let through again",
    "target ended under requests",
)
# Messages on limits that targets declare. A limit is in effect until another line
# changes or ends it.
LIMIT_MESSAGES = ("limit named", "limit changed", "limit lifted", "limit forgotten")
# Messages on targets that request back-off. The back-off is in effect for the time
# that the line states.
BACK_OFF_MESSAGES = ("target asks for rest", "target has rested")
# Messages on zones that operators evacuated or restored. They show which targets were
# not available to a request.
ZONE_MESSAGES = ("zone evacuated", "zone restored")
# Messages on the paths of an instance to the targets of a service. They are in effect
# until the next one.
PATH_MESSAGES = ("no target reachable", "targets reachable")
# Message on a request that the end of an instance cut, and those on its stop.
CUT_MESSAGE = "request cut by a stop"
STOP_MESSAGES = ("leaving", "left")
# Seconds around a stop within which its lines are looked for.
STOP_MARGIN_S = 5.0
# Cause in the line of a request for which all targets were throttled by their limits.
THROTTLED_CAUSE = "target-limit"
# Cause in the line of a request for which all targets were backing off.
BACK_OFF_CAUSE = "targets-resting"
# Messages that explain each of these causes.
MESSAGES_BY_CAUSE = {THROTTLED_CAUSE: LIMIT_MESSAGES, BACK_OFF_CAUSE: BACK_OFF_MESSAGES}
# Sentences that state why a request was refused, by cause; fields of its line fill the
# gaps.
SENTENCES = {
    "workspace-limit": (
        "Refused because workspace {workspace} was over its limit of {rate} requests "
        "per second and a burst of {burst}: its owner {owner}, asked {age_ms} ms "
        "before, had {tokens} tokens left."
    ),
    "limit-unverified": (
        "Refused because {instance} reached no daemon that counts the requests of "
        "workspace {workspace} (its owner is {owner}); nothing says that the workspace "
        "was over its limit."
    ),
}
# Fields that contain names of targets.
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
        Time of the line by the clock of its instance.
    instance, message : str
        Name of the instance that wrote the line, and the message.
    request_id : str or None
        ID of the request that the line is about.
    fields : dict
        All other fields of the line.
    """

    time: datetime
    instance: str
    message: str
    request_id: str | None
    fields: dict

    def digests(self) -> set[str]:
        """Return the digests of the requests that the line is about."""
        in_hand = {text.split(" ")[0] for text in self.fields.get("in_hand", ())}
        return in_hand | {self.fields.get("content", "")} - {""}

    def is_stop_of(self, cut: "LogLine") -> bool:
        """Return whether the line is about the stop that cut a request."""
        if self.message not in STOP_MESSAGES or self.instance != cut.instance:
            return False
        begin = cut.time - timedelta(seconds=cut.fields.get("since_stop_s") or 0.0)
        margin = timedelta(seconds=STOP_MARGIN_S)
        return begin - margin <= self.time <= cut.time + margin

    def target_names(self) -> set[str]:
        """Return the names of the targets that the line is about."""
        found = set()
        for field in TARGET_FIELDS:
            value = self.fields.get(field, ())
            found.update([value] if isinstance(value, str) else value)
        return found


@attrs.define
class Log:
    """Log lines of all instances.

    Attributes
    ----------
    lines : list of LogLine
        Lines, sorted by time.
    unreadable : int
        Number of lines that are not log lines of an instance.
    """

    lines: list[LogLine] = attrs.field(factory=list)
    unreadable: int = 0


def read_log(texts: Iterable[str]) -> Log:
    """Parse log lines; any text before the JSON object of a line is ignored.

    Parameters
    ----------
    texts : iterable of str
        Lines of any number of instances, in any order.

    Returns
    -------
    Log
        The parsed lines, sorted by time.
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
    _, brace, json_tail = text.partition("{")
    try:
        document = json.loads(brace + json_tail)
        when = datetime.strptime(document["time"], TIME_FORMAT)
        instance, message = document["instance"], document["message"]
    except (ValueError, KeyError, TypeError):
        return None
    fields = {k: v for k, v in document.items() if k not in COMMON_FIELDS}
    return LogLine(when, instance, message, document.get("request_id"), fields)


def explain(log: Log, request_id: str, before_s: float) -> list[LogLine]:
    """Select the log lines that explain the outcome of a request.

    Parameters
    ----------
    log : Log
        Log lines of all instances.
    request_id : str
        ID that the caller assigned to the request.
    before_s : float
        Seconds before the request for which state changes are included: changes that
        its instance logged on rules and feeds, and on the targets that were checked
        or tried. Lines of any instance on targets that crashed
        during a request with the same content are included whatever their age.

    Returns
    -------
    list of LogLine
        Lines, sorted by time; empty if no line is about the request.
    """
    own = [line for line in log.lines if line.request_id == request_id]
    if not own:
        return []
    instances = {line.instance for line in own}
    digests = set().union(*(line.digests() for line in own))
    targets = set().union(*(_targets_of(line) for line in own))
    causes = {line.fields.get("cause") for line in own}
    services = {line.fields.get("service") for line in own}
    cuts = [line for line in own if line.message == CUT_MESSAGE]
    begin = min(_arrival_time(line) for line in own) - timedelta(seconds=before_s)
    end = max(line.time for line in own)

    def is_relevant(line):
        if line.message in QUARANTINE_MESSAGES:
            # Include all instances and any age: a request is blocked after three
            # crashes, which other instances may have seen.
            return line.time <= end and bool(line.digests() & digests)
        if line.request_id is not None or line.instance not in instances:
            return line.request_id == request_id
        if any(line.is_stop_of(cut) for cut in cuts):
            return True
        if line.message in ZONE_MESSAGES:
            return line.time <= end
        if line.message in PATH_MESSAGES:
            return line.time <= end and line.fields.get("service") in services
        for cause, messages in MESSAGES_BY_CAUSE.items():
            if line.message in messages and line.time <= end:
                # Include lines of any age. If all targets were throttled or backing
                # off, no line names the targets that the request could have used.
                return cause in causes or bool(line.target_names() & targets)
        if line.message not in STATE_MESSAGES or not begin <= line.time <= end:
            return False
        names = line.target_names()
        return not names or bool(names & targets)

    return [line for line in log.lines if is_relevant(line)]


def _targets_of(line):
    """Return the checked and the tried targets; an attempt is "kind target ..."."""
    tried = {text.split(" ")[1] for text in line.fields.get("attempts", ())}
    return tried.union(line.fields.get("asked", ()))


def _arrival_time(line):
    return line.time - timedelta(milliseconds=line.fields.get("after_ms", 0))


def format_lines(lines: list[LogLine]) -> Iterator[str]:
    """Yield one text for each line; a "*" marks lines on the request itself."""
    for line in lines:
        mark = "*" if line.request_id is not None else " "
        when = line.time.strftime("%H:%M:%S.%f")[:-3]
        fields = "  ".join(
            f"{key}={_format_value(v)}" for key, v in line.fields.items()
        )
        yield f"{mark} {when}  {line.instance}  {line.message}  {fields}".rstrip()


def sentences(lines: list[LogLine]) -> Iterator[str]:
    """Yield a sentence for each refusal that the limit of a workspace explains."""
    for line in lines:
        template = SENTENCES.get(line.fields.get("cause"))
        if template is not None and "workspace" in line.fields:
            yield template.format(instance=line.instance, **line.fields)


def _format_value(value):
    if isinstance(value, list):
        return ", ".join(str(each) for each in value) or "none"
    return str(value)
