"""Answers for every cause for which a request fails."""

import pytest

from cairnferry.entry.http import not_run_answer, unknown_answer
from cairnferry.policy import Cause


@pytest.mark.parametrize("cause", Cause)
def test_each_cause_has_an_answer(cause):
    """Guards against a connection that is closed without an answer."""
    refused = not_run_answer(cause, 0.5)
    statuses = {Cause.WORKSPACE_LIMIT: "429", Cause.KEY_UNKNOWN: "401"}
    assert refused.status[:3] == statuses.get(cause, "503")
    assert str(cause).encode() in refused.body
    assert unknown_answer(cause, 0.5).status[:3] in ("502", "504")
