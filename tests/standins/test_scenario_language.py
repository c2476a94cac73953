"""Parsing of scenario files, and the line number in errors."""

import lark
import pytest

from cairnferry.standins import ScenarioFault, ScenarioRun, parse_scenario

HEAD = 'scenario "a"\nsymptom "b"\nevents "c"\ncause "d"\n\n'


def test_a_step_has_arguments_and_settings():
    scenario = parse_scenario(HEAD + 'load l s rate=5 operations="GET /s 1" # why\n')
    (step,) = scenario.steps
    assert (step.verb, step.arguments) == ("load", ("l", "s"))
    assert step.settings == {"rate": "5", "operations": "GET /s 1"}
    assert step.line == 6


@pytest.mark.parametrize("text", ["", HEAD, 'scenario "a"\nplatform\n', HEAD + "= x\n"])
def test_a_malformed_scenario_is_rejected(text):
    with pytest.raises(lark.exceptions.UnexpectedInput):
        parse_scenario(text)


@pytest.mark.parametrize("line", ["jump e1", "kill nobody", "await sunrise"])
def test_the_error_of_a_failed_step_has_its_line(system, line):
    with pytest.raises(ScenarioFault, match="line 6"):
        ScenarioRun(system).run(parse_scenario(HEAD + line + "\n"))
