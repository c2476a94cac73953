"""Runs scenario files."""

import pathlib
import time

import attrs
import gevent

from cairnferry.standins import _steps_callers, _steps_operators, _steps_processes
from cairnferry.standins._checks import CHECKS
from cairnferry.standins._processes import LocalSystem, Process
from cairnferry.standins._scenario_fault import ScenarioFault
from cairnferry.standins._scenario_language import Scenario, parse_scenario
from cairnferry.standins._steps_callers import BackgroundLoad

MOST_FAULTS_SHOWN = 5


@attrs.define
class ScenarioRun:
    """What the steps of one scenario share.

    Attributes
    ----------
    system : LocalSystem
        The processes.
    loads : dict of str to BackgroundLoad
        Callers by name.
    marks : dict of str to float
        Remembered moments.
    revision : int
        Last accepted revision.
    daemon_settings : dict of str to dict
        Settings that daemons were started with.
    serving_since : float
        Moment from which all daemons served.
    """

    system: LocalSystem
    loads: dict[str, BackgroundLoad] = attrs.field(factory=dict)
    marks: dict[str, float] = attrs.field(factory=dict)
    revision: int = 0
    daemon_settings: dict[str, dict] = attrs.field(factory=dict)
    serving_since: float = 0.0

    def run(self, scenario: Scenario) -> None:
        """Carry out all steps.

        Raises
        ------
        ScenarioFault
            At the first step that fails, with its line.
        """
        for step in scenario.steps:
            action = _STEPS.get(step.verb)
            if action is None:
                raise ScenarioFault(f"line {step.line}: no verb {step.verb!r}")
            try:
                action(self, *step.words, **step.settings)
            except Exception as exc:
                text = " ".join([step.verb, *step.words])
                raise ScenarioFault(f"line {step.line}: {text}: {exc!r}") from exc

    def process(self, name: str) -> Process:
        """Give a process by its name."""
        if name == "platform":
            return self.system.platform
        return self.system.targets.get(name) or self.system.daemons[name]

    def daemon_named(self, name: str | None) -> Process:
        """Give a daemon; the first one that lives without a name."""
        if name is not None:
            return self.system.daemons[name]
        return next(d for d in self.system.daemons.values() if d.alive)

    def chosen(self, names) -> list[Process]:
        """Give the daemons named; all that live without names."""
        if names:
            return [self.system.daemons[name] for name in names]
        return [d for d in self.system.daemons.values() if d.alive]

    def mark_start(self) -> None:
        """Remember that all daemons serve."""
        self.serving_since = time.monotonic()


def check(run, name, *words, **settings):
    """Apply a check and fail with the first of its faults."""
    faults = CHECKS[name](run, *words, **settings)
    if faults:
        raise ScenarioFault("; ".join(faults[:MOST_FAULTS_SHOWN]))


_STEPS = {
    **_steps_processes.STEPS,
    **_steps_operators.STEPS,
    **_steps_callers.STEPS,
    "check": check,
}


def run_file(path: pathlib.Path, folder: pathlib.Path) -> None:
    """Carry out one scenario file in a folder of its own."""
    scenario = parse_scenario(path.read_text(encoding="utf-8"))
    with LocalSystem(folder, relayed=True) as system:
        run = ScenarioRun(system)
        try:
            run.run(scenario)
        finally:
            gevent.killall([load.task for load in run.loads.values()])
