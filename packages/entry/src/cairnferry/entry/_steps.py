"""Long computations in steps, between which other tasks run."""

import time

import attrs
import gevent

# Seconds of computation after which other tasks run. A request that arrives meanwhile
# waits for at most about this time.
STEP_S = 0.005
# Seconds of a pause. With a pause of 0, the hub runs up to 50 steps before it looks for
# input and for timers that are due.
PAUSE_S = 1e-5


@attrs.define
class Steps:
    """Lets other tasks run between the steps of a long computation.

    A computation that is shorter than one step is not interrupted.
    """

    _started: float = attrs.field(factory=time.perf_counter)

    def pause(self) -> None:
        """Let other tasks run if the current step has lasted long enough."""
        if time.perf_counter() - self._started > STEP_S:
            gevent.sleep(PAUSE_S)
            self._started = time.perf_counter()
