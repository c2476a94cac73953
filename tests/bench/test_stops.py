"""Short stops of real daemons while callers use them, by seeds."""

import pytest

from bench.stopping import FAULTS, WAYS, Setup, run_stop

# The times of callers follow that of the stop.
GRACE_S = 2.0
MAX_TTL_S = 0.2
SEED = 1


@pytest.mark.parametrize("way", WAYS)
def test_stop_loses_no_request(way):
    """Guards against requests that a stop takes and cuts, or reads and drops."""
    result = run_stop(Setup(way, SEED, GRACE_S, MAX_TTL_S, None, None, None))
    counts = result.document()["counts"]
    assert {name: counts[name] for name in FAULTS} == dict.fromkeys(FAULTS, 0), (
        result.document()["faults"]
    )
    assert counts["sent"]
