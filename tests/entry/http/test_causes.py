"""Every cause for which a request is given up can be told to its caller."""

import pytest

from cairnferry.entry.http import not_run, unknown
from cairnferry.policy import Cause


@pytest.mark.parametrize("cause", Cause)
def test_each_cause_has_an_answer(cause):
    """Guards against a refusal that ends as a closed connection without an answer."""
    refused = not_run(cause, 0.5)
    assert refused.status.startswith("503")
    assert str(cause).encode() in refused.body
    assert unknown(cause, 0.5).status[:3] in ("502", "504")
