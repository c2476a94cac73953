"""A request that ends targets, at many daemons in simulated time."""

import attrs

from bench.model._fleet import Fleet
from cairnferry.entry.targets import InterruptedRequest
from cairnferry.policy import Call, RequestIdentity

# Seconds for which a target runs the request before it ends, and attempts at a daemon.
RUN_S = 0.1
ATTEMPTS = 2


@attrs.define
class Storm:
    """A request that ends each target that runs it, and what it did.

    Parameters
    ----------
    fleet : Fleet
        Gets it at any daemon that is up.
    others : int
        Other requests in hand at each target, each at another daemon.
    path : str
        Path of the request.

    Attributes
    ----------
    ends : list of float
        Times at which targets ended.
    """

    fleet: Fleet
    others: int
    path: str
    ends: list[float] = attrs.field(factory=list)
    refused: int = 0
    _innocents: int = 0

    @classmethod
    def begin(
        cls,
        fleet: Fleet,
        per_s: float,
        seconds: float,
        others: int = 0,
        path: str = "/poison",
    ) -> "Storm":
        """Let a request come so often, for so long, at any daemon."""
        storm = cls(fleet, others, path)
        for _ in range(round(per_s * seconds)):
            fleet.after(fleet.rng.random() * seconds, storm.arrive)
        return storm

    def arrive(self) -> None:
        """Let it come at some daemon."""
        daemon = self.fleet.rng.choice(self.fleet.up())
        identity = RequestIdentity("GET", "shop", self.path, b"", "10.0.0.1")
        call = Call(self.fleet.now, self.fleet.now + 9, True, identity=identity)
        if daemon.guard.admit(call) is not None:
            self.refused += 1
            return
        self.fleet.after(RUN_S, self._end, daemon, call, 1)

    def _end(self, daemon, call, attempt):
        """End a target, and with it whatever it has in hand."""
        fleet = self.fleet
        self.ends.append(fleet.now)
        target = f"i-{len(self.ends)} of {self.path}"
        began = fleet.now - RUN_S
        in_hand = [(daemon, call.identity)]
        for _ in range(self.others):
            self._innocents += 1
            path = f"/page/{self._innocents} beside {self.path}"
            innocent = RequestIdentity("GET", "shop", path, b"", "10.0.0.2")
            in_hand.append((fleet.rng.choice(fleet.up()), innocent))
        for holder, identity in in_hand:
            run = InterruptedRequest(identity, None, "s", target, began, fleet.now)
            holder.guard.note_crash(run)
        daemon.guard.recheck(call)
        if attempt < ATTEMPTS and call.may_retry and daemon.is_up:
            fleet.after(RUN_S, self._end, daemon, call, attempt + 1)
        else:
            daemon.guard.finish(call)

    def ends_after_third(self, seconds: float) -> int:
        """Count the ends that came later than that after the third one."""
        ends = sorted(self.ends)
        return sum(end > ends[2] + seconds for end in ends[3:])
