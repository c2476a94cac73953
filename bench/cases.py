"""Sizes and cases of the benchmark."""

import attrs

# Seconds of load in a run, of its warm-up, and up to the first event.
RUN_S = 5.0
WARM_UP_S = 1.0
EVENT_AT_S = 1.0
# In a case with events, the measurement starts this many seconds after the start of the
# load, which is one second after EVENT_AT_S.
MEASURED_FROM_S = 2.0


@attrs.frozen
class Size:
    """Model of a user's service, scaled to one machine.

    Attributes
    ----------
    name : str
        Name of the user whose service is modelled.
    targets, slots : int
        Number of targets, and number of slots of each target.
    service_ms : float
        Service time of a request in milliseconds. It is longer than the user's, so
        that all slots are busy at a request rate that eight cores can handle.
    """

    name: str
    targets: int
    slots: int
    service_ms: float

    @property
    def capacity(self) -> float:
        """Requests a second that keep all slots busy."""
        return self.targets * self.slots / (self.service_ms / 1000)


GRANITE_REEL = Size("granite-reel", targets=16, slots=6, service_ms=100.0)
MORETON = Size("moreton", targets=14, slots=4, service_ms=80.0)
SIZES = (GRANITE_REEL, MORETON)


@attrs.frozen
class Event:
    """A change of the behaviour of some targets during a run.

    Attributes
    ----------
    at : float
        Seconds from the start of the load.
    targets : slice
        Targets that change, as a slice of all targets sorted by name.
    behaviour : dict
        Settings of the target stand-in that change, and their new values.
    """

    at: float
    targets: slice
    behaviour: dict


@attrs.frozen
class Case:
    """A load and the events during it.

    Attributes
    ----------
    name : str
        Name in the results.
    load : float
        Requests a second, as a share of the capacity.
    events : tuple of Event
        Events, sorted by time.
    background : float
        Additional requests a second of background priority, as a share of the
        capacity.
    """

    name: str
    load: float
    events: tuple[Event, ...] = ()
    background: float = 0.0


ALL = slice(None)
ONE = slice(0, 1)
TWO = slice(0, 2)
# `Bench.start_targets` places every second target in zone-a, beginning with the first.
ZONE_A = slice(0, None, 2)


def _slow_pulses():
    """Return events that make one target ten times slower for 200 ms, every 600 ms."""
    events = []
    at = EVENT_AT_S
    while at < RUN_S:
        events.append(Event(at, ONE, {"slow_factor": 10}))
        events.append(Event(at + 0.2, ONE, {"slow_factor": 1}))
        at += 0.6
    return tuple(events)


CASES = (
    Case("steady 50 %", 0.5),
    Case("steady 70 %", 0.7),
    Case("steady 85 %", 0.85),
    Case("slow pulses", 0.6, _slow_pulses()),
    Case("slow target", 0.6, (Event(EVENT_AT_S, ONE, {"slow_factor": 10}),)),
    Case("noise", 0.7, (Event(0, ALL, {"noise_ms": 30, "noise_share": 0.1}),)),
    Case("reports 100 ms old", 0.7, (Event(0, ALL, {"report_lag_ms": 100}),)),
    Case("reports 1 s old", 0.7, (Event(0, ALL, {"report_lag_ms": 1000}),)),
    Case(
        "reports wrong",
        0.7,
        (
            Event(0, ZONE_A, {"report_error": 3}),
            Event(0, slice(1, None, 2), {"report_error": 0}),
        ),
    ),
    Case("failing fast", 0.6, (Event(EVENT_AT_S, ONE, {"fault": "fail-fast"}),)),
    Case("draining", 0.6, (Event(EVENT_AT_S, TWO, {"refuse_work": True}),)),
    Case(
        "cold starts",
        0.6,
        (
            Event(0, TWO, {"slow_factor": 5}),
            Event(3.0, TWO, {"slow_factor": 1}),
        ),
    ),
    Case("catalogue alone", 0.5),
    Case("archive flood", 0.5, background=0.8),
    Case("all 100 %", 1.0),
    Case("all 130 %", 1.3),
    Case("zone lost", 0.35, (Event(EVENT_AT_S, ZONE_A, {"fault": "hang"}),)),
    Case("all failing", 0.5, (Event(EVENT_AT_S, ALL, {"fault": "cut-before-run"}),)),
)

# Behaviour that each target is reset to before a run.
HEALTHY_BEHAVIOUR = {
    "slow_factor": 1,
    "noise_ms": 0,
    "noise_share": 0,
    "report_lag_ms": 0,
    "report_error": 1,
    "fault": "none",
    "refuse_work": False,
}
