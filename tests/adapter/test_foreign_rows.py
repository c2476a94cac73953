"""Malformed rows of other writers: each is skipped, and the other rows are used."""

import json

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnferry.entry.adapter import DecodeFault, EntryRow, Row, Rules
from cairnferry.entry.following import _followed, _target_rows
from cairnferry.entry.following._handover import Handover
from cairnferry.records import Target
from cairnferry.standins import wait_for
from hosting import _registry
from hosting._configuration import ConfigurationDecoder
from hosting._discovery import decode_target
from hosting._settings import read_host_settings
from hosting._store import _page

from ._standins import configuration, target_row
from .conftest import settings_text

SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
DEEPLY_NESTED = b"[" * 100_000


def corrupted(document):
    """Return a strategy for copies of a document with one part missing or replaced."""
    paths = list(_paths(document))
    return st.builds(
        lambda path, value, drop: _changed(document, path, value, drop),
        st.sampled_from(paths),
        VALUES,
        st.booleans(),
    ).map(lambda changed: json.dumps(changed).encode())


def _paths(part, path=()):
    if path:
        yield path
    entries = part.items() if isinstance(part, dict) else enumerate(part)
    for key, value in entries:
        if isinstance(value, dict | list):
            yield from _paths(value, (*path, key))
        else:
            yield (*path, key)


def _changed(document, path, value, drop):
    changed = json.loads(json.dumps(document))
    part = changed
    for key in path[:-1]:
        part = part[key]
    if drop:
        del part[path[-1]]
    else:
        part[path[-1]] = value
    return changed


def arbitrary_data(document):
    return (
        st.binary() | VALUES.map(lambda v: json.dumps(v).encode()) | corrupted(document)
    )


def decode_rules(data):
    cfg = read_host_settings(settings_text(1)).ok
    return ConfigurationDecoder(cfg).decode(data)


@settings(deadline=None, max_examples=300)
@given(arbitrary_data(target_row(8080, born=1_764_000_000_000)))
def test_arbitrary_target_row_decodes_to_target_or_fault(data):
    decoded = decode_target("i-1", data)
    found = decoded.ok if decoded.is_ok() else decoded.error
    assert isinstance(found, Target | DecodeFault)
    if isinstance(found, Target):
        # The code uses these as keys and concatenates them with strings.
        assert {type(found.service), type(found.zone), type(found.host)} == {str}
        assert {type(found.slots), type(found.started_ms)} == {int}


@settings(deadline=None, max_examples=300)
@given(arbitrary_data(configuration()))
def test_arbitrary_configuration_decodes_to_rules_or_fault(data):
    decoded = decode_rules(data)
    found = decoded.ok if decoded.is_ok() else decoded.error
    assert isinstance(found, Rules | DecodeFault)
    if isinstance(found, Rules):
        for route in found.routes:
            assert {type(route.host), type(route.path_prefix)} == {str}
            assert all(isinstance(name, str) for name in route.service_names())


ENTRY = {
    "name": "front-2",
    "zone": "hall",
    "peer_address": "10.0.0.1:7000",
    "caller_address": "10.0.0.1:8000",
    "leaving": False,
}


@settings(deadline=None, max_examples=300)
@given(arbitrary_data(ENTRY))
def test_arbitrary_instance_row_is_decoded_or_skipped(data):
    rows = (Row("a", data, 1), Row(_registry.KEY_ROW.key, b"k" * 32, 2))
    enrolled = _registry._decode_enrolled(type("Batch", (), {"items": rows})).ok
    assert enrolled.key == b"k" * 32
    for entry in enrolled.entries:
        assert isinstance(entry, EntryRow)
        assert {type(entry.name), type(entry.zone), type(entry.peer_address)} == {str}


@settings(deadline=None, max_examples=200)
@given(arbitrary_data({"rules": "e30=", "targets": [["i-1", "e30=", 3]]}))
def test_arbitrary_handover_decodes_to_handover_or_fault(data):
    read = Handover.read(data)
    assert isinstance(read.ok if read.is_ok() else read.error, Handover | DecodeFault)


@pytest.mark.parametrize("decode", [decode_rules, lambda d: decode_target("i", d)])
def test_deeply_nested_document_is_rejected(decode):
    assert decode(DEEPLY_NESTED).is_error()


@pytest.mark.parametrize("value", ["?", "é", 5, []])
def test_content_that_is_not_base64_affects_only_its_row(value):
    rows = [
        {"key": "a", "value": value, "ver": 1},
        {"key": "b", "value": "eA==", "ver": 2},
    ]
    bad, good = _page({"rows": rows, "ver": 2}, era=0).rows
    assert decode_target("a", bad.value).is_error()
    assert good.value == b"x"


@pytest.mark.parametrize("born", [1.5, "1764000000000", None, True])
def test_start_time_that_is_not_an_integer_is_rejected(born):
    data = json.dumps(target_row(8080, born=born)).encode()
    assert "born" in str(decode_target("i-1", data).error)


@pytest.fixture
def short_coalescing(monkeypatch):
    monkeypatch.setattr(_followed, "TARGETS_COALESCE_S", 0.001)


FOREIGN = [
    b"\xff\xfe",
    b"[]",
    {"service": ["svc"]},
    target_row(1, state="sleeping"),
    target_row(1, service=["svc"]),
    target_row("x"),
    {k: v for k, v in target_row(1).items() if k != "zone"},
]


def test_malformed_rows_do_not_affect_other_rows(
    daemon, store, start_target, wait_for_targets, short_coalescing, caplog
):
    """Guards against a daemon that receives no further targets.

    The first row that could not be decoded ended the task that reads all rows.
    """
    for number, row in enumerate(FOREIGN):
        store.put("servers", f"x-{number}", row)
    store.put("servers", "x-unknown", target_row(1, service="nobody"))
    start_target()
    wait_for_targets(daemon, "i-1")
    assert daemon.call().status == 200
    assert daemon.core.metrics.faulty_rows["targets"] == len(FOREIGN)
    lines = [r for r in caplog.records if r.message == "row cannot be read"]
    assert 0 < len(lines) <= len(FOREIGN)


def test_restarted_target_is_used_at_its_new_address(
    daemon, store, start_target, wait_for_targets, short_coalescing, monkeypatch
):
    """Guards against requests to the address of a target before its restart.

    A target restarts under its name, and a write from before the restart is applied
    only afterwards. The row with the higher version is then that of the earlier start.
    """
    monkeypatch.setattr(_target_rows, "EARLIER_START_S", 1000.0)
    first = start_target()
    second = start_target()
    old = target_row(first.port, born=1000)
    store.put("servers", "i-1", target_row(second.port, born=2000))

    def used():
        return {t.started_ms for t in daemon.core.services.targets()}

    wait_for(lambda: used() == {2000})
    store.put("servers", "i-1", old)
    store.put("servers", "i-2", target_row(1, state="draining"))
    wait_for(lambda: "i-2" in {t.name for t in daemon.core.services.targets()})
    assert used() == {2000, 0}
    gevent.sleep(0)
    assert daemon.call().status == 200
    assert (len(first.seen), len(second.seen)) == (0, 1)


def test_target_whose_clock_was_set_back_is_eventually_used(
    daemon, store, start_target, wait_for_targets, short_coalescing, monkeypatch
):
    """Guards against a restarted target that is never used.

    Its clock was ahead at its first start, so the later start looks like an earlier
    one.
    """
    monkeypatch.setattr(_target_rows, "EARLIER_START_S", 0.05)
    target = start_target()
    store.put("servers", "i-1", target_row(1, born=9000))
    wait_for(lambda: {t.started_ms for t in daemon.core.services.targets()} == {9000})
    store.put("servers", "i-1", target_row(target.port, born=5000))
    wait_for(lambda: {t.started_ms for t in daemon.core.services.targets()} == {5000})
    assert daemon.call().status == 200
