"""What targets, rows and rules say of targets that are cold."""

import json

import pytest

from cairnferry.standins import wait_for
from cairnferry.wire import Reply
from hosting._configuration import ConfigurationDecoder
from hosting._settings import read_host_settings
from hosting._targets import HostedTargets

from ._standins import configuration, target_row
from .conftest import settings_text


def decoded(clusters):
    cfg = read_host_settings(settings_text(1)).ok
    document = configuration(5) | {"clusters": clusters}
    return ConfigurationDecoder(cfg).decode(json.dumps(document).encode())


CLUSTER = {"name": "svc", "health_path": "/health"}


def test_the_rate_of_cold_targets_is_in_the_rules():
    (service,) = decoded([CLUSTER | {"warmup_per_s": 3.1}]).ok.services
    assert service.warmup_per_s == 3.1
    (service,) = decoded([CLUSTER]).ok.services
    assert service.warmup_per_s == 0


@pytest.mark.parametrize("rate", ["3.1", -1, None, True])
def test_a_rate_that_is_no_number_is_a_fault(rate):
    assert "warmup_per_s" in str(decoded([CLUSTER | {"warmup_per_s": rate}]).error)


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("2500", 2.5), ("0", 0.0), (" 12.5 ", 0.0125), ("soon", None), (None, None)],
)
def test_a_check_says_how_long_a_target_stays_cold(text, seconds):
    headers = [] if text is None else [("Cairnferry-Warmup-Ms", text)]

    class Target:
        name = "i-1"

    result = HostedTargets().read_check(Reply(200, headers, b""), Target())
    assert result.warmup_s == seconds


def test_a_row_that_says_so_makes_a_target_cold_until_its_time_is_over(
    store, start_daemon
):
    """Guards against a target that starts cold and is sent as much as a warm one."""
    clusters = [CLUSTER | {"warmup_per_s": 3.1}]
    store.put("op", "config", configuration(5) | {"clusters": clusters})
    store.put("servers", "i-1", target_row(1, warmup_left="60s"))
    daemon = start_daemon()
    cold = daemon.core.services.limits.cold
    wait_for(lambda: cold.get("i-1"))
    assert cold.get("i-1").per_s == 3.1
    store.put("servers", "i-1", target_row(1, warmup_left="0ms", sequence=9))
    wait_for(lambda: daemon.core.services.targets()[0].warmup_s == 0)
    # The row may be older than what is known: it does not make the target warm.
    assert cold.get("i-1")
    daemon.core.limiter.cold.note_check(
        daemon.core.services.targets()[0],
        0.0,
        daemon.core.services.runtime("svc").policy.service,
        0.0,
    )
    assert not cold.get("i-1")
