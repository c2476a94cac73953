"""Ways in which callers use daemons that stop.

Times are seconds after SIGTERM for the rule's own settings; a setup scales them.
"""

import random
import time
from collections.abc import Callable

import attrs
import gevent

EACH_S = 0.03
LATE = (2.2, 3.9)
LONG_WORK_S = (2.4, 2.9)
ANY_WORK_S = (0.05, 2.9)
SHORT_WORK_S = (0.02, 0.3)
BODY_LAST = (2.6, 3.7)
BODY_PAUSE_S = (0.3, 0.9)
BODY_WORK_S = (2.2, 2.2)
PIPELINED = (0.0, 3.9)
# One connection with several requests for three of the other ways.
PIPELINED_EACH_S = 0.09
SERIAL_CALLERS = 12
SERIAL_FROM_S = -0.5
REFUSED_PAUSE_S = 0.25
SIGHUP_AT = (0.3, 2.8)
SECOND_SIGTERM_AT = (0.5, 5.0)


@attrs.define
class Run:
    """What a way needs of the current run.

    Attributes
    ----------
    setup : Setup
        Settings.
    callers : Callers
        Send requests.
    rng : random.Random
        Source of all that is random.
    tasks : list of gevent.Greenlet
        Tasks whose end the run waits for.
    """

    setup: object
    callers: object
    rng: random.Random
    tasks: list = attrs.field(factory=list)

    def at(self, moment, function, *args):
        """Run a function at a monotonic time."""
        delay = max(0.0, moment - time.monotonic())
        self.tasks.append(gevent.spawn_later(delay, function, *args))

    def moment(self, seconds):
        """Return scaled seconds of sending."""
        return seconds * self.setup.scale

    def work(self, bounds):
        """Return random seconds of work."""
        if self.setup.work_s:
            return self.rng.uniform(*self.setup.work_s)
        return self.rng.uniform(*bounds) * self.setup.work_scale

    def moments(self, bounds, each_s):
        """Return scaled seconds of sending, one for each step."""
        count = round((bounds[1] - bounds[0]) / each_s) + 1
        return [self.moment(bounds[0] + number * each_s) for number in range(count)]


@attrs.frozen
class Way:
    """A way in which callers use daemons.

    Attributes
    ----------
    prepare : callable
        Called with the `Run` and a daemon before its stop; returns a function that is
        called with the monotonic time in seconds of SIGTERM, shortly before it.
    stopped, daemons : int
        How many daemons are stopped, 1 s after each other, and how many there are.
    signals : bool
        Whether a SIGHUP and a second SIGTERM are sent inside the stop.
    """

    prepare: Callable
    stopped: int = 1
    daemons: int = 2
    signals: bool = False


def send_history(run, daemon):
    """Send requests with the longest work on each route, and wait for the answers."""
    work_s = run.setup.work_s or [run.setup.work_scale * each for each in LONG_WORK_S]

    def send(is_safe):
        body = b"" if is_safe else b"order"
        sent = run.callers.begin(daemon, is_safe)
        run.callers.connect(daemon).exchange(sent, max(work_s), body)

    count = 2 * run.setup.history
    gevent.joinall([gevent.spawn(send, number % 2 == 0) for number in range(count)])


def prepare_kept(run, daemon):
    """Send each request on an idle connection that has been used."""
    moments = run.moments(LATE, EACH_S)
    conns = [run.callers.connect_used(daemon, number) for number in range(len(moments))]

    def send(conn, work_s):
        conn.exchange(run.callers.begin(daemon, True), work_s)

    def start(stop_at):
        for moment, conn in zip(moments, conns, strict=True):
            run.at(stop_at + moment, send, conn, run.work(LONG_WORK_S))

    return start


def prepare_new(run, daemon):
    """Send each request on a new connection."""

    def send(work_s):
        conn = run.callers.connect(daemon)
        if conn is None:
            run.callers.refused(daemon, True)
            return
        conn.exchange(run.callers.begin(daemon, True), work_s)

    def start(stop_at):
        for moment in run.moments(LATE, EACH_S):
            run.at(stop_at + moment, send, run.work(LONG_WORK_S))

    return start


def prepare_late_bodies(run, daemon):
    """Send bodies whose last byte comes late; every second one on a new connection."""
    moments = run.moments(BODY_LAST, EACH_S)
    kept = {
        number: run.callers.connect_used(daemon, number)
        for number in range(0, len(moments), 2)
    }

    def send(number, work_s, pause_s):
        conn = kept.get(number) or run.callers.connect(daemon)
        if conn is None:
            run.callers.refused(daemon, False)
            return
        sent = run.callers.begin(daemon, False)
        conn.exchange(sent, work_s, b"order", pause_s)

    def start(stop_at):
        for number, moment in enumerate(moments):
            pause_s = run.moment(run.rng.uniform(*BODY_PAUSE_S))
            work_s = run.work(BODY_WORK_S)
            run.at(stop_at + moment - pause_s, send, number, work_s, pause_s)

    return start


def prepare_pipelined(run, daemon):
    """Send two to four requests on each kept connection before the first answer."""
    moments = run.moments(PIPELINED, PIPELINED_EACH_S)
    conns = [run.callers.connect_used(daemon, number) for number in range(len(moments))]

    def send(conn, plan):
        sent = [run.callers.begin(daemon, is_safe) for is_safe, _ in plan]
        for each, (is_safe, work_s) in zip(sent, plan, strict=True):
            conn.send(each, work_s, b"" if is_safe else b"order")
        for each in sent:
            conn.read(each)

    def start(stop_at):
        for moment, conn in zip(moments, conns, strict=True):
            plan = [
                (
                    run.rng.random() < 0.5,
                    run.work(run.rng.choice([SHORT_WORK_S, ANY_WORK_S])),
                )
                for _ in range(run.rng.randint(2, 4))
            ]
            run.at(stop_at + moment, send, conn, plan)

    return start


def prepare_serial(run, daemon):
    """Send one request after the other until the process is gone; retry nothing."""

    def call_on(rng):
        conn = None
        while not daemon.gone.is_set():
            conn = conn if conn and conn.is_open else run.callers.connect(daemon)
            if conn is None:
                run.callers.refused(daemon, True)
                daemon.gone.wait(run.moment(REFUSED_PAUSE_S))
                continue
            is_safe = rng.random() < 0.7
            sent = run.callers.begin(daemon, is_safe)
            work_s = rng.uniform(*(run.setup.work_s or ANY_WORK_S))
            if not run.setup.work_s:
                work_s *= run.setup.work_scale
            conn.exchange(sent, work_s, b"" if is_safe else b"order")

    def start(stop_at):
        for _ in range(SERIAL_CALLERS):
            rng = random.Random(run.rng.random())
            run.at(stop_at + run.moment(SERIAL_FROM_S), call_on, rng)

    return start


def prepare_both(run, daemon):
    """Send on kept connections, once late and once one after the other."""
    starts = [prepare_kept(run, daemon), prepare_serial(run, daemon)]

    def start(stop_at):
        for each in starts:
            each(stop_at)

    return start


WAYS = {
    "kept": Way(prepare_kept),
    "new": Way(prepare_new),
    "late-body": Way(prepare_late_bodies),
    "pipelined": Way(prepare_pipelined),
    "serial": Way(prepare_serial),
    "signals": Way(prepare_kept, signals=True),
    "series": Way(prepare_both, stopped=2, daemons=3),
}
