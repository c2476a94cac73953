"""Model of a target whose machine runs other workloads."""

import random
from collections import deque
from collections.abc import Callable

import attrs

from cairnferry.policy import LoadReport

# Share of slots in use above which a starting request takes longer, and the factor.
# Requests that already run are not slowed.
KNEE = 0.8
KNEE_FACTOR = 1.7


@attrs.frozen
class Noise:
    """Effect of other workloads on the targets' machines.

    Attributes
    ----------
    share : float
        Share of the targets that are slowed at a time.
    factor : float
        Factor by which their work takes longer.
    seconds : float
        Seconds after which a target's speed is drawn anew.
    """

    share: float = 0.25
    factor: float = 4.0
    seconds: float = 0.3


@attrs.define(eq=False)
class Job:
    """One request at a target.

    Attributes
    ----------
    work_left : float
        Seconds of work left at the usual speed.
    deadline : float
        Time in seconds at which the target stops the work.
    done : callable
        Called with whether the work succeeded.
    is_cancelled : bool
        Whether the request was cancelled.
    """

    work_left: float
    deadline: float
    done: Callable[[bool], None]
    is_cancelled: bool = False


@attrs.define(eq=False)
class ModelTarget:
    """A target with slots and a queue.

    Parameters
    ----------
    name, zone : str
        Names of the target and of its availability zone.
    clock : Clock
        Simulated time.
    rng : random.Random
        Source of randomness.
    slots, queue : int
        Maximum number of requests that it runs at a time, and that wait for a slot.
    noise : Noise
        Effect of other workloads on its machine.

    Attributes
    ----------
    slow : float
        Permanent factor by which its work takes longer.
    slowdown : float
        Present factor by which other workloads slow its work.
    failing, shedding, losing : float
        Shares of the requests that fail, that are refused at any load, and that run
        and lose their response.
    refused : int
        Number of refused requests.
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
    slowdown: float = 1.0
    refused: int = 0
    _running: list[Job] = attrs.field(factory=list)
    _queued: deque[Job] = attrs.field(factory=deque)
    _advanced_at: float = 0.0
    _version: int = 0

    def start(self) -> None:
        """Start the changes of speed caused by other workloads."""
        self._change_noise()

    def _change_noise(self):
        self._advance()
        noise = self.noise
        self.slowdown = noise.factor if self.rng.random() < noise.share else 1.0
        self._schedule_wakeup()
        self.clock.after(noise.seconds, self._change_noise)

    def report(self) -> LoadReport:
        """Return the load report of the target."""
        return LoadReport(
            len(self._running) + len(self._queued), self.slowdown * self.slow
        )

    def accept(self, job: Job) -> bool:
        """Accept a request; return False if it is refused."""
        if self.shedding and self.rng.random() < self.shedding:
            self.refused += 1
            return False
        if len(self._running) < self.slots:
            self._advance()
            self._begin(job)
            self._schedule_wakeup()
            return True
        if len(self._queued) >= self.queue:
            self.refused += 1
            return False
        self._queued.append(job)
        return True

    def cancel(self, job: Job) -> None:
        """Cancel a request whose caller no longer waits."""
        job.is_cancelled = True
        self._advance()
        self._running = [each for each in self._running if each is not job]
        self._fill()

    def _begin(self, job):
        self._running.append(job)
        if len(self._running) / self.slots > KNEE:
            job.work_left *= KNEE_FACTOR

    def _speed(self):
        return 1 / (self.slowdown * self.slow)

    def _advance(self):
        """Advance the running work to the present time."""
        now = self.clock.now
        done = (now - self._advanced_at) * self._speed()
        for job in self._running:
            job.work_left -= done
        self._advanced_at = now

    def _schedule_wakeup(self):
        """Schedule the next event: work that is done, or a deadline that expires."""
        self._version += 1
        if not self._running:
            return
        now = self.clock.now
        first = min(job.work_left for job in self._running) / self._speed()
        last = min(job.deadline for job in self._running) - now
        wait = max(0.0, min(first, last))
        version = self._version
        self.clock.after(wait + 1e-9, lambda: self._wake(version))

    def _wake(self, version):
        if version != self._version:
            return
        self._advance()
        now = self.clock.now
        ended = [j for j in self._running if j.work_left <= 1e-6 or j.deadline <= now]
        self._running = [job for job in self._running if job not in ended]
        self._fill()
        for job in ended:
            job.done(job.work_left <= 1e-6 and self.rng.random() >= self.failing)

    def _fill(self):
        while self._queued and len(self._running) < self.slots:
            job = self._queued.popleft()
            if job.is_cancelled:
                continue
            self._begin(job)
        self._schedule_wakeup()
