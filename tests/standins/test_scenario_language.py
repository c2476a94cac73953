"""Scenario files that are wrong say where."""

import lark
import pytest

from cairnferry.standins import ScenarioFault, ScenarioRun, parse_scenario

HEAD = 'scenario "a"\nsymptom "b"\nevents "c"\ncause "d"\n\n'


def test_a_step_has_words_and_settings():
    scenario = parse_scenario(HEAD + 'load l s rate=5 operations="GET /s 1" # why\n')
    (step,) = scenario.steps
    assert (step.verb, step.words) == ("load", ("l", "s"))
    assert step.settings == {"rate": "5", "operations": "GET /s 1"}
    assert step.line == 6


@pytest.mark.parametrize("text", ["", HEAD, 'scenario "a"\nplatform\n', HEAD + "= x\n"])
def test_what_is_no_scenario_is_refused(text):
    with pytest.raises(lark.exceptions.UnexpectedInput):
        parse_scenario(text)


@pytest.mark.parametrize("line", ["jump e1", "kill nobody", "await sunrise"])
def test_a_step_that_cannot_be_carried_out_names_its_line(system, line):
    with pytest.raises(ScenarioFault, match="line 6"):
        ScenarioRun(system).run(parse_scenario(HEAD + line + "\n"))
