"""A request that crashes targets, with many daemons in simulated time."""

import attrs

from bench.model._fleet import Fleet
from cairnferry.entry.targets import InterruptedRequest
from cairnferry.policy import Call, RequestIdentity

# Seconds for which a target runs the request before it crashes, and maximum attempts of
# a daemon.
RUN_S = 0.1
ATTEMPTS = 2


@attrs.define
class QueryOfDeath:
    """A request that crashes each target that runs it.

    Parameters
    ----------
    fleet : Fleet
        Daemons; each request arrives at a random one of those that are up.
    others : int
        Other requests in flight at each target, each from a random daemon.
    path : str
        Path of the request.

    Attributes
    ----------
    crashes : list of float
        Times in seconds at which targets crashed.
    refused : int
        Number of refusals of the request.
    """

    fleet: Fleet
    others: int
    path: str
    crashes: list[float] = attrs.field(factory=list)
    refused: int = 0
    _harmless_count: int = 0

    @classmethod
    def start(
        cls,
        fleet: Fleet,
        per_s: float,
        seconds: float,
        others: int = 0,
        path: str = "/poison",
    ) -> "QueryOfDeath":
        """Start a request that arrives `per_s` times a second, at random daemons.

        Parameters
        ----------
        fleet : Fleet
            The daemons.
        per_s, seconds : float
            Requests per second, and seconds for which they arrive.
        others : int, optional
            Other requests in flight at each target.
        path : str, optional
            Path of the request.
        """
        query = cls(fleet, others, path)
        for _ in range(round(per_s * seconds)):
            fleet.after(fleet.rng.random() * seconds, query.arrive)
        return query

    def arrive(self) -> None:
        """Handle an arrival of the request at a random daemon."""
        daemon = self.fleet.rng.choice(self.fleet.up())
        identity = RequestIdentity("GET", "shop", self.path, b"", "10.0.0.1")
        call = Call(self.fleet.now, self.fleet.now + 9, True, identity=identity)
        if daemon.guard.admit(call) is not None:
            self.refused += 1
            return
        self.fleet.after(RUN_S, self._crash_target, daemon, call, 1)

    def _crash_target(self, daemon, call, attempt):
        """Crash a target with all requests in flight there."""
        fleet = self.fleet
        self.crashes.append(fleet.now)
        target = f"i-{len(self.crashes)} of {self.path}"
        began = fleet.now - RUN_S
        in_flight = [(daemon, call.identity)]
        for _ in range(self.others):
            self._harmless_count += 1
            path = f"/page/{self._harmless_count} beside {self.path}"
            harmless = RequestIdentity("GET", "shop", path, b"", "10.0.0.2")
            in_flight.append((fleet.rng.choice(fleet.up()), harmless))
        for runner, identity in in_flight:
            run = InterruptedRequest(identity, None, "s", target, began, fleet.now)
            runner.guard.note_crash(run)
        daemon.guard.recheck(call)
        if attempt < ATTEMPTS and call.may_retry and daemon.is_up:
            fleet.after(RUN_S, self._crash_target, daemon, call, attempt + 1)
        else:
            daemon.guard.finish(call)

    def crashes_after_third(self, seconds: float) -> int:
        """Return the number of crashes more than `seconds` after the third one."""
        crashes = sorted(self.crashes)
        return sum(crash > crashes[2] + seconds for crash in crashes[3:])
