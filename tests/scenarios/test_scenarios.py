"""Runs each scenario file in this folder."""

import pathlib

import pytest

from cairnferry.standins import parse_scenario, run_file

FILES = sorted(pathlib.Path(__file__).parent.glob("*.scenario"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_scenario(path, tmp_path):
    run_file(path, tmp_path)


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_the_head_is_complete(path):
    scenario = parse_scenario(path.read_text(encoding="utf-8"))
    assert all([scenario.title, scenario.symptom, scenario.events, scenario.cause])
