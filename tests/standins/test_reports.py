"""What a failed wait or scenario tells about the system."""

import pytest

from cairnferry.standins import ScenarioFault, ScenarioRun, parse_scenario, wait_for
from cairnferry.standins._waiting import EventTimeout

HEAD = 'scenario "a"\nsymptom "b"\nevents "c"\ncause "d"\n\n'


def test_a_missing_event_is_named_with_its_last_value():
    """Guards against failures that do not tell what was awaited."""
    seen = []
    with pytest.raises(EventTimeout, match=r"lambda: seen.*; last value \[\] of 1 "):
        wait_for(lambda: seen, timeout=0.0)


def test_a_missing_event_without_source_is_named():
    with pytest.raises(EventTimeout, match=r"list; last value \[\]"):
        wait_for(list, timeout=0.0)


def test_a_failed_scenario_describes_its_processes(system):
    """Guards against failures that do not tell which process is gone."""
    steps = "platform\ntarget a z\nkill a\nawait sunrise\n"
    with pytest.raises(ScenarioFault) as failure:
        ScenarioRun(system).run(parse_scenario(HEAD + steps))
    (note,) = failure.value.__notes__
    assert "platform (process" in note
    assert f"a (process {system.targets['a'].popen.pid}): ended with -9" in note
