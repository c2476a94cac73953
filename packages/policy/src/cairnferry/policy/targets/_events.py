"""Changes in what the policy believes of a target, for those who log them."""

import enum
from collections import deque

import attrs

# Events kept until they are taken; a driver takes them after each result.
MAX_KEPT = 256


class TargetCondition(enum.StrEnum):
    """What is believed from now on."""

    EJECTED = "ejected"
    RETURNED = "returned"
    SILENT = "silent"
    RESPONSIVE = "heard again"
    BACKING_OFF = "asks for rest"
    LEAVING = "is leaving"


@attrs.frozen
class TargetEvent:
    """A change.

    Attributes
    ----------
    target : str
        Name of the target.
    belief : TargetCondition
        What is believed now.
    inputs : dict
        What decided it.
    """

    target: str
    condition: TargetCondition
    inputs: dict


@attrs.define
class EventLog:
    """Events in their order; the oldest are dropped if nobody takes them."""

    _events: deque[TargetEvent] = attrs.field(factory=lambda: deque(maxlen=MAX_KEPT))

    def note(self, target: str, condition: TargetCondition, **inputs) -> None:
        """Add an event."""
        self._events.append(TargetEvent(target, condition, inputs))

    def take(self) -> list[TargetEvent]:
        """Give the events since the last call."""
        taken = list(self._events)
        self._events.clear()
        return taken
