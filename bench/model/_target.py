"""A target whose machine has busy neighbours."""

import random
from collections import deque
from collections.abc import Callable

import attrs

from cairnferry.policy import LoadReport

# Share of slots in use from which a request that begins takes longer, and how much
# longer. Those that run already are not slowed.
KNEE = 0.8
KNEE_FACTOR = 1.7


@attrs.frozen
class Noise:
    """Neighbours of targets on their machines.

    Attributes
    ----------
    share : float
        Part of the targets that are slowed.
    factor : float
        By how much.
    seconds : float
        For how long.
    """

    share: float = 0.25
    factor: float = 4.0
    seconds: float = 0.3


@attrs.define(eq=False)
class Job:
    """One request at a target.

    Attributes
    ----------
    left : float
        Seconds of work left at the usual pace.
    deadline : float
        Time in seconds at which the target stops.
    done : callable
        Called with whether the work was done.
    """

    left: float
    deadline: float
    done: Callable[[bool], None]
    cut: bool = False


@attrs.define(eq=False)
class ModelTarget:
    """A target.

    Parameters
    ----------
    name, zone : str
        Names.
    clock : Clock
        Simulated time.
    rng : random.Random
        Source of randomness.
    slots, queue : int
        Requests that it runs at the same time, and that wait for these.
    noise : Noise
        Its neighbours.

    Attributes
    ----------
    slow : float
        How many times longer its work takes.
    failing, shedding, losing : float
        Parts of the requests that fail, are refused whatever room there is, or run
        and lose their answer.
    """

    name: str
    zone: str
    clock: object
    rng: random.Random
    slots: int
    queue: int
    noise: Noise
    slow: float = 1.0
    failing: float = 0.0
    shedding: float = 0.0
    losing: float = 0.0
    pace: float = 1.0
    refused: int = 0
    _running: list[Job] = attrs.field(factory=list)
    _held: deque[Job] = attrs.field(factory=deque)
    _moved_at: float = 0.0
    _version: int = 0

    def start(self) -> None:
        """Let the neighbours come and go."""
        self._shift()

    def _shift(self):
        self._move()
        noise = self.noise
        self.pace = noise.factor if self.rng.random() < noise.share else 1.0
        self._plan()
        self.clock.after(noise.seconds, self._shift)

    def report(self) -> LoadReport:
        """Give what it says of its load."""
        return LoadReport(len(self._running) + len(self._held), self.pace * self.slow)

    def offer(self, job: Job) -> bool:
        """Take a request, or refuse it."""
        if self.shedding and self.rng.random() < self.shedding:
            self.refused += 1
            return False
        if len(self._running) < self.slots:
            self._move()
            self._begin(job)
            self._plan()
            return True
        if len(self._held) >= self.queue:
            self.refused += 1
            return False
        self._held.append(job)
        return True

    def cancel(self, job: Job) -> None:
        """Drop a request that nobody waits for."""
        job.cut = True
        self._move()
        self._running = [each for each in self._running if each is not job]
        self._fill()

    def _begin(self, job):
        self._running.append(job)
        if len(self._running) / self.slots > KNEE:
            job.left *= KNEE_FACTOR

    def _speed(self):
        return 1 / (self.pace * self.slow)

    def _move(self):
        """Count down the work up to now."""
        now = self.clock.now
        done = (now - self._moved_at) * self._speed()
        for job in self._running:
            job.left -= done
        self._moved_at = now

    def _plan(self):
        """Come back when the next piece of work is done or its time is up."""
        self._version += 1
        if not self._running:
            return
        now = self.clock.now
        first = min(job.left for job in self._running) / self._speed()
        last = min(job.deadline for job in self._running) - now
        wait = max(0.0, min(first, last))
        version = self._version
        self.clock.after(wait + 1e-9, lambda: self._wake(version))

    def _wake(self, version):
        if version != self._version:
            return
        self._move()
        now = self.clock.now
        ended = [j for j in self._running if j.left <= 1e-6 or j.deadline <= now]
        self._running = [job for job in self._running if job not in ended]
        self._fill()
        for job in ended:
            job.done(job.left <= 1e-6 and self.rng.random() >= self.failing)

    def _fill(self):
        while self._held and len(self._running) < self.slots:
            job = self._held.popleft()
            if job.cut:
                continue
            self._begin(job)
        self._plan()
