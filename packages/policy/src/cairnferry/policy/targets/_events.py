"""Events that report changes in the assumed condition of targets, for logging."""

import enum
from collections import deque

import attrs

# Maximum number of events kept. A driver takes them after each result.
MAX_KEPT = 256


class TargetCondition(enum.StrEnum):
    """Condition of a target that the policy assumes from now on."""

    EJECTED = "ejected"
    RETURNED = "returned"
    SILENT = "silent"
    HANGING = "hangs"
    RESPONSIVE = "heard again"
    BACKING_OFF = "asks for rest"
    LEAVING = "is leaving"


@attrs.frozen
class TargetEvent:
    """A change in the condition of a target.

    Attributes
    ----------
    target : str
        Name of the target.
    condition : TargetCondition
        New condition.
    inputs : dict
        Values on which the decision is based, for the log.
    """

    target: str
    condition: TargetCondition
    inputs: dict


@attrs.define
class EventLog:
    """Queue of events in order; the oldest ones are dropped if it is full."""

    _events: deque[TargetEvent] = attrs.field(factory=lambda: deque(maxlen=MAX_KEPT))

    def note(self, target: str, condition: TargetCondition, **inputs) -> None:
        """Add an event."""
        self._events.append(TargetEvent(target, condition, inputs))

    def take(self) -> list[TargetEvent]:
        """Return the events since the last call, and remove them."""
        taken = list(self._events)
        self._events.clear()
        return taken
