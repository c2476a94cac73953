"""Warm-up of targets, as status checks, rows and rules describe it."""

import json

import pytest

from cairnferry.standins import wait_for
from cairnferry.wire import Reply
from hosting._configuration import ConfigurationDecoder
from hosting._settings import read_host_settings
from hosting._targets import HostedTargetConvention

from ._standins import configuration, target_row
from .conftest import settings_text


def decoded(clusters):
    cfg = read_host_settings(settings_text(1)).ok
    document = configuration(5) | {"clusters": clusters}
    return ConfigurationDecoder(cfg).decode(json.dumps(document).encode())


CLUSTER = {"name": "svc", "health_path": "/health"}


def test_rules_contain_warm_up_rate_of_cold_targets():
    (service,) = decoded([CLUSTER | {"warmup_per_s": 3.1}]).ok.services
    assert service.warmup_per_s == 3.1
    (service,) = decoded([CLUSTER]).ok.services
    assert service.warmup_per_s == 0


@pytest.mark.parametrize("rate", ["3.1", -1, None, True])
def test_non_numeric_warm_up_rate_is_rejected(rate):
    assert "warmup_per_s" in str(decoded([CLUSTER | {"warmup_per_s": rate}]).error)


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("2500", 2.5), ("0", 0.0), (" 12.5 ", 0.0125), ("soon", None), (None, None)],
)
def test_status_check_reports_remaining_warm_up(text, seconds):
    headers = [] if text is None else [("Cairnferry-Warmup-Ms", text)]

    class Target:
        name = "i-1"

    result = HostedTargetConvention().read_check(Reply(200, headers, b""), Target())
    assert result.warmup_s == seconds


def test_row_with_warm_up_time_makes_target_cold(store, start_daemon):
    """Guards against a cold target that gets as many requests as a warm one."""
    clusters = [CLUSTER | {"warmup_per_s": 3.1}]
    store.put("op", "config", configuration(5) | {"clusters": clusters})
    store.put("servers", "i-1", target_row(1, warmup_left="60s"))
    daemon = start_daemon()
    cold = daemon.core.services.limits.cold
    wait_for(lambda: cold.get("i-1"))
    assert cold.get("i-1").per_s == 3.1
    store.put("servers", "i-1", target_row(1, warmup_left="0ms", sequence=9))
    wait_for(lambda: daemon.core.services.targets()[0].warmup_s == 0)
    # A row may be out of date, so it does not end the warm-up; a status check does.
    assert cold.get("i-1")
    daemon.core.limiter.cold.note_check(
        daemon.core.services.targets()[0],
        0.0,
        daemon.core.services.runtime("svc").policy.service,
        0.0,
    )
    assert not cold.get("i-1")
