"""Rows of other writers with odd keys, versions and values."""

import base64
import json

import pytest

from cairnferry.entry.adapter import FeedUnavailable
from cairnferry.entry.following import _followed
from cairnferry.standins import wait_for
from hosting._registry import TABLE as INSTANCES_TABLE
from hosting._store import _page

from ._standins import configuration, rule, target_row

LONE = "i-\ud800"
ODD_KEYS = ["i-\ud800", "\udfff", "i-\ud800\ud800", "i-1\udbff\x00", "z\udc00"]
UNUSUAL_KEYS = ["", "\0", "i-\u00e9", "i-\U0001f600", "a\nb", " ", "k" * 20_000]


@pytest.fixture(autouse=True)
def short_coalescing(monkeypatch):
    monkeypatch.setattr(_followed, "TARGETS_COALESCE_S", 0.001)


def serves(daemon, requests=20):
    """Return the statuses of some requests."""
    return {daemon.call(request_id=f"r-{n}").status for n in range(requests)}


@pytest.mark.parametrize("key", ODD_KEYS + UNUSUAL_KEYS, ids=ascii)
@pytest.mark.parametrize("comes", ["before", "after"])
def test_a_row_of_a_target_with_an_odd_key_affects_no_request(
    key, comes, store, start_daemon, start_target, wait_for_targets
):
    """Guards against requests that end in an exception while such a row is there."""
    store.put("op", "config", configuration())
    target = start_target()
    if comes == "before":
        store.put("servers", key, target_row(target.port))
    daemon = start_daemon()
    if comes == "after":
        wait_for_targets(daemon, "i-1")
        store.put("servers", key, target_row(target.port))
    start_target("i-2")
    wait_for(lambda: "i-2" in {t.name for t in daemon.core.services.targets()})
    assert serves(daemon) == {200}
    known = {target.name for target in daemon.core.services.targets()}
    assert (key in known) == (key in UNUSUAL_KEYS)
    faulty = daemon.core.metrics.faulty_rows["targets"]
    assert (faulty == 0) == (key in UNUSUAL_KEYS)
    text = daemon.core.state_view.metrics_page("/metrics").body.decode()
    assert "cairnferry_revision 3" in text


@pytest.mark.parametrize("table", ["op", "servers", INSTANCES_TABLE])
def test_daemons_learn_from_each_other_beside_odd_keys(
    table, store, start_daemon, start_target, wait_for_targets
):
    """Guards against daemons that learn no more from others, as one row has no text."""
    store.put("op", "config", configuration())
    for key in ODD_KEYS:
        store.put(table, key, target_row(1))
    first = start_daemon()
    second = start_daemon("front-2", seeds=[first.cfg.handover])
    start_target()
    for daemon in (first, second):
        wait_for_targets(daemon, "i-1")
    store.put("op", "config", configuration(4, rules=[rule(prefix="/b/")]))
    for daemon in (first, second):
        wait_for(lambda d=daemon: d.core.services.revision == 4)
        assert daemon.call("/b/x").status == 200
    for key in ODD_KEYS:
        store.drop(table, key)
    start_target("i-2")
    for daemon in (first, second):
        wait_for_targets(daemon, "i-1", "i-2")


def test_odd_keys_at_the_ends_of_pages_hide_no_row(client, store):
    """Guards against rows that a listing leaves out behind a key that has no text."""
    texts = [f"{letter}{number}" for letter in "aiz" for number in range(4)]
    texts += ["i-\ue000", "i-\uffff", "i-\U0001f600"]
    for key in [
        *texts,
        *ODD_KEYS,
        "a1\ud800",
        "a1\udfff",
        "a1\ud800\ud801",
        "a1\ud900",
    ]:
        store.put("servers", key, b"x")
    seen = []
    client.on_faulty_row = lambda table, key, why: seen.append(key)
    listed = client.rows("servers").ok
    assert sorted(row.key for row in listed.items) == sorted(texts)
    assert ascii(LONE) in seen
    assert listed.version == store.ver


def row(key="a", ver=1, **more):
    return {"key": key, "value": "eA==", "ver": ver, **more}


ODD_ROWS = {
    "no key": {"value": "eA==", "ver": 1},
    "key is a number": row(5),
    "key is null": row(None),
    "key is a list": row([]),
    "no version": {"key": "a", "value": "eA=="},
    "version is a text": row(ver="1"),
    "version is a fraction": row(ver=1.5),
    "version is infinite": row(ver=float("inf")),
    "version is true": row(ver=True),
    "version is negative": row(ver=-1),
    "version of 4,000 digits": row(ver=int("9" * 4000)),
    "no object": 7,
    "null": None,
}


@pytest.mark.parametrize("odd", ODD_ROWS.values(), ids=ODD_ROWS)
def test_an_odd_row_of_an_answer_leaves_the_others(odd):
    """Guards against an answer of the store that is lost by one of its rows."""
    page = _page({"rows": [row("b"), odd, row("c")], "ver": 9}, era=0)
    assert [each.key for each in page.rows] == ["b", "c"]
    assert len(page.faults) == 1


ODD_ANSWERS = {
    "nested deeply": b"[" * 1_000_000,
    "nested rows": b'{"rows": [' + b'{"a":' * 300_000,
    "number of 100,000 digits": b'{"ver": ' + b"9" * 100_000 + b"}",
    "no version": b'{"rows": []}',
    "rows are a number": b'{"rows": 5, "ver": 3}',
    "no text": b"\xff\xfe",
    "no rows on a page": b'{"rows": [], "has_more": true, "ver": 3}',
}


@pytest.mark.parametrize("answer", ODD_ANSWERS.values(), ids=ODD_ANSWERS)
def test_an_answer_of_the_store_that_cannot_be_read_is_a_failure(
    answer, store, client, monkeypatch
):
    """Guards against a task that ends by an answer of the store."""
    store.put("servers", "a", b"x")
    monkeypatch.setattr(json, "dumps", lambda document: answer.decode("latin-1"))
    for call in (
        lambda: client.rows("servers"),
        lambda: client.changes("servers", 1, 0.0),
    ):
        result = call()
        if result.is_error():
            assert isinstance(result.error, FeedUnavailable)
    assert client.rows("servers").is_error()


ODD_VALUES = {
    "capacity of 1e308": {"max_concurrency": 1e308},
    "capacity of 100 digits": {"max_concurrency": 10**100},
    "no capacity": {"max_concurrency": 0},
    "warm-up of a year": {"warmup_left": "31536000s"},
    "warm-up of 300 digits": {"warmup_left": "9" * 300 + "s"},
    "warm-up of 400 digits": {"warmup_left": "9" * 400 + "s"},
    "start of 100 digits": {"born": 10**100},
    "negative start": {"born": -5},
    "zone of 20,000 characters": {"zone": "z" * 20_000},
    "zone with a line feed": {"zone": "a\nb"},
    "zone that is no text": {"zone": "\ud800"},
    "service that is no text": {"service": "\udfff"},
    "version that is no text": {"version": "\udfff"},
    "port of 99999": {"address": "127.0.0.1:99999"},
    "negative port": {"address": "127.0.0.1:-1"},
    "port of 5,000 digits": {"address": "127.0.0.1:" + "9" * 5000},
    "address that is a name": {"address": "localhost:80"},
    "address with a line feed": {"address": "127.0.0.1\n:80"},
    "address that is no text": {"address": "\ud800:80"},
}


@pytest.mark.parametrize("odd", ODD_VALUES.values(), ids=ODD_VALUES)
def test_odd_values_of_a_target_affect_no_other(
    odd, store, daemon, start_target, wait_for_targets
):
    """Guards against requests that fail by a value of a target that they don't need."""
    target = start_target()
    wait_for_targets(daemon, "i-1")
    long_key = "i-" + "9" * 5000
    for key in ("i-0", long_key):
        store.put("servers", key, {**target_row(target.port), **odd})
    start_target("i-2")
    wait_for(lambda: "i-2" in {t.name for t in daemon.core.services.targets()})
    assert serves(daemon) == {200}
    for key in ("i-0", long_key):
        store.drop("servers", key)
    wait_for_targets(daemon, "i-1", "i-2")
    assert serves(daemon) == {200}
    assert not daemon.core.metrics.task_restarts


ODD_LOADS = {
    "not a number": "nan,0,4,100",
    "infinite": "inf,0,4,100",
    "huge": "1e308,1e308,4,100",
    "500 digits": "9" * 500 + ",0,4,100",
    "slowdown of 1e308": "1,0,4,1e308",
    "slowdown of 1e-320": "1,0,4,1e-320",
    "infinite slowdown": "1,0,4,inf",
}


@pytest.mark.parametrize("load", ODD_LOADS.values(), ids=ODD_LOADS)
def test_an_odd_report_of_load_affects_no_other_target(
    load, daemon, start_target, wait_for_targets
):
    """Guards against requests that fail by a number that is no load."""
    start_target("i-0", load=load)
    start_target("i-1")
    wait_for_targets(daemon, "i-0", "i-1")
    assert serves(daemon, requests=40) == {200}


def test_odd_rows_of_blocked_requests_affect_no_request(
    store, daemon, start_target, wait_for_targets
):
    """Guards against a daemon that ends by a row of its own that another wrote over."""
    start_target()
    wait_for_targets(daemon, "i-1")
    values = [b"[" * 100_000, b"5", b"\xff", b'{"at": 1e999, "span_s": 0, "trials": 1}']
    for number, value in enumerate(values):
        store.put(INSTANCES_TABLE, f" blocked {number} x", value)
    store.put(INSTANCES_TABLE, "front-9", base64.b64decode("gICA"))
    start_target("i-2")
    wait_for_targets(daemon, "i-1", "i-2")
    assert serves(daemon) == {200}
    assert not daemon.core.metrics.task_restarts
