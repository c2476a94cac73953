"""One run: start daemons, stop them while callers use them, and count."""

import pathlib
import random
import signal
import tempfile
import time

import attrs
import gevent

from bench.stopping._callers import Callers
from bench.stopping._counting import FAULTS, Counts, Judge
from bench.stopping._setup import Setup
from bench.stopping._system import running_system
from bench.stopping._ways import SECOND_SIGTERM_AT, SIGHUP_AT, WAYS, Run, send_history
from cairnferry.standins import unique_loopback_host

# Seconds between the opening of connections and SIGTERM, and between two SIGTERMs.
LEAD_S = 0.7
SERIES_S = 1.0
# Faults that a result describes one by one.
DESCRIBED = 20


@attrs.define
class Result:
    """What a run gave.

    Attributes
    ----------
    setup : Setup
        Its settings.
    counts : Counts
        Counts by the rule.
    exits : list of dict
        Name, exit code and seconds from SIGTERM to the end of each stopped process.
    faults : list of dict
        The first faults.
    """

    setup: Setup
    counts: Counts
    exits: list
    faults: list

    def document(self) -> dict:
        """Return the result for JSON."""
        return {
            "way": self.setup.way,
            "seed": self.setup.seed,
            "setup": attrs.asdict(self.setup),
            "counts": attrs.asdict(self.counts),
            "exits": self.exits,
            "faults": self.faults,
        }


def run_stop(setup: Setup, first_host: int = 1, keep: pathlib.Path | None = None):
    """Run an experiment and return its `Result`.

    The process must have been patched by gevent.

    Parameters
    ----------
    setup : Setup
        Its settings.
    first_host : int, optional
        Number of the first of four loopback addresses for this process.
    keep : pathlib.Path, optional
        Existing folder for settings and logs; a temporary one by default.
    """
    way = WAYS[setup.way]
    hosts = [unique_loopback_host(first_host + number) for number in range(4)]
    with tempfile.TemporaryDirectory() as folder:
        folder = keep or pathlib.Path(folder)
        with running_system(setup, folder, hosts, way.daemons) as (targets, daemons):
            run = Run(setup, Callers(setup.caller_time_s), random.Random(setup.seed))
            stopped = daemons[: way.stopped]
            looking = gevent.spawn(run.callers.look_forever)
            try:
                _stop_all(run, way, stopped)
            finally:
                looking.kill()
            return _count(setup, run.callers, targets.end(), stopped)


def _stop_all(run, way, stopped):
    for daemon in stopped:
        send_history(run, daemon)
    starts = [way.prepare(run, daemon) for daemon in stopped]
    first_at = time.monotonic() + LEAD_S * max(1.0, run.setup.scale)
    for number, (daemon, start) in enumerate(zip(stopped, starts, strict=True)):
        stop_at = first_at + number * run.moment(SERIES_S)
        start(stop_at)
        run.at(stop_at, daemon.stop, run.setup.grace_s)
        if way.signals:
            hup_at = stop_at + run.moment(run.rng.uniform(*SIGHUP_AT))
            again_at = stop_at + run.moment(run.rng.uniform(*SECOND_SIGTERM_AT))
            run.at(hup_at, daemon.change_settings)
            run.at(again_at, daemon.signal, signal.SIGTERM)
    for daemon in stopped:
        daemon.gone.wait()
    gevent.joinall(run.tasks, raise_error=True)


def _count(setup, callers, runs, stopped):
    judge = Judge(setup, runs)
    counts = Counts()
    faults = []
    for sent in callers.sent:
        names = [judge.judge(sent)]
        if judge.is_repeated(sent):
            names.append("unsafe_twice")
        for name in ("sent", *names):
            setattr(counts, name, getattr(counts, name) + 1)
        if names[0] == "lost" and judge.is_excused(sent, sent.first_at):
            counts.excused_by_first_byte += 1
        found = [name for name in names if name in FAULTS]
        if found and len(faults) < DESCRIBED:
            faults.append(_describe(sent, judge.runs_of(sent), found))
    exits = [_exit(daemon) for daemon in stopped]
    counts.late_exit = sum(each["code"] == -signal.SIGKILL for each in exits)
    return Result(setup, counts, exits, faults)


def _exit(daemon):
    return {
        "name": daemon.name,
        "code": daemon.process.returncode,
        "after_s": round(daemon.gone_at - daemon.told_at, 3),
    }


def _describe(sent, runs, faults):
    """Describe a request; times are seconds after SIGTERM."""

    def after(moment):
        return None if moment is None else round(moment - sent.daemon.told_at, 3)

    return {
        "faults": faults,
        "id": sent.request_id,
        "daemon": sent.daemon.name,
        "safe": sent.is_safe,
        "first_byte": after(sent.first_at),
        "last_byte": after(sent.last_at),
        "read": after(sent.read_at),
        "ended": after(sent.ended_at),
        "end": sent.end,
        "status": sent.status,
        "runs": [
            [
                run["target"],
                after(run["begun"]),
                after(run.get("ended")),
                run.get("end"),
            ]
            for run in runs
        ],
    }
