"""Runner of scenario files."""

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

MAX_FAILURES_SHOWN = 5


@attrs.define
class ScenarioRun:
    """State shared by the steps of one scenario.

    Attributes
    ----------
    system : LocalSystem
        Processes of the scenario.
    loads : dict of str to BackgroundLoad
        Callers by name.
    marks : dict of str to float
        Times recorded by the step `mark`, as `time.monotonic` in seconds.
    revision : int
        Last accepted revision.
    daemon_settings : dict of str to dict
        Settings that each daemon was started with, by its name.
    serving_since : float
        Time since which all daemons are serving, as `time.monotonic` in seconds.
    """

    system: LocalSystem
    loads: dict[str, BackgroundLoad] = attrs.field(factory=dict)
    marks: dict[str, float] = attrs.field(factory=dict)
    revision: int = 0
    daemon_settings: dict[str, dict] = attrs.field(factory=dict)
    serving_since: float = 0.0

    def run(self, scenario: Scenario) -> None:
        """Run all steps.

        Raises
        ------
        ScenarioFault
            If a step fails; the message has its line, and a note describes the system.
            Later steps are not run.
        """
        for step in scenario.steps:
            action = _STEPS.get(step.verb)
            if action is None:
                raise ScenarioFault(f"line {step.line}: unknown step {step.verb!r}")
            try:
                action(self, *step.arguments, **step.settings)
            except Exception as exc:
                text = " ".join([step.verb, *step.arguments])
                fault = ScenarioFault(f"line {step.line}: {text}: {exc!r}")
                fault.add_note(self.system.describe())
                raise fault from exc

    def process(self, name: str) -> Process:
        """Return the process with this name: the platform, a target or a daemon."""
        if name == "platform":
            return self.system.platform
        return self.system.targets.get(name) or self.system.daemons[name]

    def find_daemon(self, name: str | None) -> Process:
        """Return a daemon by name; without a name, the first one that is running."""
        if name is not None:
            return self.system.daemons[name]
        return next(d for d in self.system.daemons.values() if d.alive)

    def select_daemons(self, names) -> list[Process]:
        """Return daemons by name; without names, all that are running."""
        if names:
            return [self.system.daemons[name] for name in names]
        return [d for d in self.system.daemons.values() if d.alive]

    def mark_serving(self) -> None:
        """Record that all daemons are serving from now on."""
        self.serving_since = time.monotonic()


def check(run, name, *arguments, **settings):
    """Run a check; raise `ScenarioFault` with its first failures, if any."""
    failures = CHECKS[name](run, *arguments, **settings)
    if failures:
        raise ScenarioFault("; ".join(failures[:MAX_FAILURES_SHOWN]))


_STEPS = {
    **_steps_processes.STEPS,
    **_steps_operators.STEPS,
    **_steps_callers.STEPS,
    "check": check,
}


def run_file(path: pathlib.Path, folder: pathlib.Path) -> None:
    """Run one scenario file.

    Parameters
    ----------
    path : pathlib.Path
        The scenario file.
    folder : pathlib.Path
        Empty folder for settings, keys and logs of the processes.

    Raises
    ------
    ScenarioFault
        If a step fails.
    """
    scenario = parse_scenario(path.read_text(encoding="utf-8"))
    with LocalSystem(folder, relayed=True) as system:
        run = ScenarioRun(system)
        try:
            run.run(scenario)
        finally:
            gevent.killall([load.task for load in run.loads.values()])
