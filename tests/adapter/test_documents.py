"""Decoding of values, settings, configuration documents and rows of targets."""

import json

import pytest

from cairnferry.records import Backend, Lifecycle
from hosting._configuration import ConfigurationDecoder
from hosting._discovery import decode_target
from hosting._settings import read_host_settings
from hosting._units import (
    read_count,
    read_milliseconds,
    read_number,
    read_seconds,
    read_version,
    write_seconds,
)

from ._standins import configuration, rule, target_row
from .conftest import settings_text


@pytest.fixture
def decode():
    cfg = read_host_settings(settings_text(1)).ok
    return lambda document: ConfigurationDecoder(cfg).decode(
        json.dumps(document).encode()
    )


@pytest.mark.parametrize(
    ("text", "seconds"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0), ("30s", 30)]
)
def test_durations_are_read_with_unit(text, seconds):
    assert read_seconds(text) == seconds
    assert read_milliseconds(text) == seconds * 1000


@pytest.mark.parametrize("text", ["", "5", "5m", "-1s", "ms", "1e3ms", " 1s", 5, None])
def test_malformed_duration_is_rejected(text):
    with pytest.raises(ValueError, match="is not a duration"):
        read_seconds(text)


def test_durations_are_written_with_unit():
    assert read_seconds(write_seconds(1.0)) == 1.0


@pytest.mark.parametrize(
    ("text", "number"),
    [
        ("64", 64),
        ("22.933333333333334", 22.933333333333334),
        ("4e3", 4000),
        ("+.5", 0.5),
    ],
)
def test_numbers_are_read_as_decimals(text, number):
    assert read_number(text) == number
    assert read_count(text) == int(number)


@pytest.mark.parametrize(
    "text", ["", " 1", "1 ", "1_000", "x", "nan", "inf", "1e999", "-1", "0x10", 5, None]
)
def test_malformed_number_is_rejected(text):
    with pytest.raises(ValueError, match="is not a number|is out of range"):
        read_number(text)


@pytest.mark.parametrize("text", ["12", "r", "r-1", "R1", "r1.5", 12, None])
def test_malformed_version_is_rejected(text):
    with pytest.raises(ValueError, match="is not a version"):
        read_version(text)


def test_versions_compare_as_numbers():
    assert read_version("r9") < read_version("r12")


# -- settings ---------------------------------------------------------------------


def test_settings_are_read_and_unknown_fields_ignored():
    cfg = read_host_settings(settings_text(4711)).ok
    assert cfg.name == "front-1"
    assert cfg.store.port == 4711
    assert cfg.stop_s == 6.0
    assert cfg.retry_slack == 64


def test_every_missing_or_malformed_setting_is_reported():
    text = settings_text(1).replace("bounds.grace=6s", "bounds.grace=soon")
    text = text.replace("zone=hall", "zone=")
    faults = read_host_settings(text).error
    assert [fault.key for fault in faults] == ["zone", "bounds.grace"]
    assert "soon" in str(faults[1])


NUMBERS = {
    "bounds.retry_budget_ratio": "0.2",
    "bounds.retry_budget_slack": "64",
    "bounds.probes_per_s": "60",
    "limits.max_fds": "4100",
}


@pytest.mark.parametrize(("key", "value"), NUMBERS.items())
@pytest.mark.parametrize("odd", ["22.933333333333334", "7.5e1", "+80.0", "99999999999"])
def test_numeric_settings_accept_fractions(key, value, odd):
    """Guards against a daemon that does not start with a bound such as 22.93."""
    text = settings_text(1).replace(f"{key}={value}", f"{key}={odd}")
    assert read_host_settings(text).is_ok()


@pytest.mark.parametrize(("key", "value"), NUMBERS.items())
@pytest.mark.parametrize("wrong", ["-1", "many", "nan", "1e999"])
def test_malformed_numeric_setting_is_reported_with_its_value(key, value, wrong):
    text = settings_text(1).replace(f"{key}={value}", f"{key}={wrong}")
    (fault,) = read_host_settings(text).error
    assert fault.key == key
    assert repr(wrong) in str(fault)


# -- configuration ------------------------------------------------------------------


def test_configuration_is_decoded_into_rules(decode):
    parts = [{"service": "svc", "weight": 90}, {"service": "two", "weight": 10}]
    rules = [
        rule(kind="unsafe", attempts=3),
        rule("r-2", "/b/", backends=parts, timeout="900ms"),
    ]
    decoded = decode(configuration(12, rules=rules, clusters=("svc", "two"))).ok
    first, second = decoded.routes
    assert decoded.revision == 12
    assert (first.host, first.path_prefix) == ("shop.example", "/a/")
    assert not first.may_resend("GET")
    assert (first.max_attempts, first.max_deadline_ms, first.objective_ms) == (
        3,
        5000,
        300,
    )
    assert second.may_resend("POST")
    assert second.backends == (Backend("svc", 90), Backend("two", 10))
    assert [service.name for service in decoded.services] == ["svc", "two"]
    assert decoded.services[0].health_path == "/health"
    assert decoded.services[0].retry_window_s == 10
    assert decoded.limits.head_s == 3.0
    assert decoded.limits.idle_s == 15.0


def test_unknown_fields_are_ignored(decode):
    document = configuration() | {"later": {"x": 1}}
    document["listeners"][0]["rules"][0]["later"] = 1
    assert decode(document).is_ok()


def _without(*path):
    document = configuration()
    part = document
    for name in path[:-1]:
        part = part[name]
    del part[path[-1]]
    return document


@pytest.mark.parametrize(
    "document",
    [
        [],
        {},
        None,
        _without("version"),
        _without("limits", "idle_timeout"),
        _without("listeners", 0, "host"),
        _without("listeners", 0, "rules", 0, "match"),
        _without("listeners", 0, "rules", 0, "action", "timeout"),
        _without("listeners", 0, "rules", 0, "action", "service"),
        _without("clusters", 0, "name"),
        configuration(rules=[rule(timeout="5")]),
    ],
)
def test_malformed_configuration_is_rejected_with_reason(decode, document):
    fault = decode(document).error
    assert str(fault)


def test_invalid_json_is_rejected():
    cfg = read_host_settings(settings_text(1)).ok
    assert ConfigurationDecoder(cfg).decode(b'{"version":').is_error()
    assert ConfigurationDecoder(cfg).decode(b"\xff").is_error()


# -- targets -------------------------------------------------------------------------


def row(**more):
    return json.dumps(target_row(8080, **more)).encode()


def test_row_is_decoded_into_target():
    target = decode_target("i-7", row(state="draining", warmup_left="2.5s")).ok
    assert (target.name, target.service, target.zone) == ("i-7", "svc", "hall")
    assert target.address == ("127.0.0.1", 8080)
    assert target.slots == 4
    assert target.lifecycle is Lifecycle.DRAINING
    assert target.warmup_s == 2.5


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        row(state="sleeping"),
        row(address="here"),
        row(max_concurrency="many"),
        row(warmup_left="soon"),
    ],
)
def test_malformed_row_is_rejected_with_name_of_target(data):
    assert "i-7" in str(decode_target("i-7", data).error)


@pytest.mark.parametrize(("slots", "read"), [(2.0, 2), (2.5, 2), (0.5, 1), (1e3, 1000)])
def test_fractional_slots_are_rounded_down(slots, read):
    row = target_row(8080, max_concurrency=slots)
    assert decode_target("i-1", json.dumps(row).encode()).ok.slots == read


@pytest.mark.parametrize("slots", [-1, float("inf"), float("nan"), "2", None, True])
def test_malformed_slots_are_rejected(slots):
    row = target_row(8080, max_concurrency=slots)
    fault = decode_target("i-1", json.dumps(row).encode()).error
    assert "max_concurrency" in str(fault)


def test_weights_accept_fractions(decode):
    parts = [{"service": "svc", "weight": 90.5}, {"service": "svc", "weight": 9.5}]
    rules = [rule(backends=parts)]
    (route,) = decode(configuration(5, rules=rules)).ok.routes
    assert [part.weight for part in route.backends] == [90.5, 9.5]
