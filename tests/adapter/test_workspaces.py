"""Workspaces in the configuration document: decoding, keys, and the rules in force."""

import gc
import json
import zlib

import gevent
import pytest
from gevent.event import Event
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnferry.coordination import Row
from cairnferry.entry import _steps
from cairnferry.entry.adapter import DecodeFault
from cairnferry.entry.workspaces import WorkspaceRegistry
from cairnferry.records import Workspace, digest_key
from cairnferry.standins import wait_for
from hosting import _json_steps
from hosting._configuration import ConfigurationDecoder
from hosting._json_steps import load_in_steps
from hosting._settings import read_host_settings
from hosting._workspaces import redact_keys

from ._standins import configuration, rule
from .conftest import POST, outcome, settings_text

SECRET = "s3cret-"
KEY = SECRET + "one"
ACME = {
    "name": "Acme Ltd.",
    "api_keys": [KEY, SECRET + "two"],
    "priority": 1,
    "rate_per_s": 2.5,
    "burst": 8,
}
DECODER = ConfigurationDecoder(read_host_settings(settings_text(1)).ok)


def bearer(key):
    return ("Authorization", f"Bearer {key}")


def write(document):
    return document if isinstance(document, bytes) else json.dumps(document).encode()


def decode(document):
    """Decode a document on the way that it takes from the store."""
    return DECODER.decode(redact_keys(write(document)))


# -- decoding -----------------------------------------------------------------------


def test_workspaces_are_decoded():
    other = {"name": "other", "api_keys": []}
    decoded = decode(configuration(tenants=[ACME, other])).ok
    digests = frozenset(map(digest_key, ACME["api_keys"]))
    assert decoded.workspaces == (
        Workspace("Acme Ltd.", digests, 1, 2.5, 8.0),
        Workspace("other", frozenset(), None, 0.0, 0.0),
    )


def test_missing_and_empty_lists_differ():
    """Guards against an open deployment after the last workspace was removed."""
    assert decode(configuration()).ok.workspaces is None
    assert decode(configuration(tenants=[])).ok.workspaces == ()


def test_rule_can_be_anonymous():
    rules = [rule() | {"anonymous": True}, rule("r-2", "/b/")]
    first, second = decode(configuration(rules=rules)).ok.routes
    assert (first.anonymous, second.anonymous) == (True, False)
    faulty = configuration(rules=[rule() | {"anonymous": "yes"}])
    assert "anonymous is not true or false" in str(decode(faulty).error)


@pytest.mark.parametrize(
    ("tenants", "expected"),
    [
        ({"name": "a"}, "tenants is not a list"),
        (None, "tenants is not a list"),
        (["a"], "tenants[0]: TypeError: is not an object"),
        ([{"api_keys": []}], "tenants[0]: KeyError: 'name'"),
        ([{"name": "a\r\nb"}], "name is empty, too long"),
        ([{"name": ""}], "name is empty, too long"),
        ([{"name": "a", "api_keys": KEY}], "api_keys is not a list of texts"),
        ([{"name": "a", "api_keys": [KEY, 7]}], "api_keys is not a list of texts"),
        ([{"name": "a", "api_keys": [KEY, ""]}], "api_keys is not a list of texts"),
        ([{"name": "a", "api_keys": {KEY: 1}}], "api_keys is not a list of texts"),
        ([{"name": "a", "api_keys": None}], "api_keys is not a list of texts"),
        ([{"name": "a", "api_keys": [KEY + "\ud800"]}], "api_keys is not a list"),
        ([{"name": "a", "key_digests": [KEY]}], "api_keys is not a list of texts"),
        ([{"name": "a", "rate_per_s": -1}], "rate_per_s is out of range"),
        ([{"name": "a", "priority": True}], "priority is not a number"),
        ([{"name": "a", "burst": "many"}], "burst is not a number"),
        ([{"name": "a"}, {"name": "a"}], "tenants[1]: another has the same name"),
        (
            [{"name": "a", "api_keys": [KEY]}, {"name": "b", "api_keys": [KEY]}],
            "tenants[1]: another has the same key",
        ),
    ],
)
def test_fault_says_what_is_wrong_without_a_key(tenants, expected):
    error = decode({**configuration(), "tenants": tenants}).error
    assert isinstance(error, DecodeFault)
    assert expected in str(error)
    assert SECRET not in str(error)


# -- keys ---------------------------------------------------------------------------


@pytest.mark.parametrize(
    "document",
    [
        configuration(),
        configuration(rules=[rule("api_keys"), rule("\u00e4", "/b/")]),
        configuration(tenants=[{"name": "a", "key_digests": [digest_key(KEY)]}]),
        b' {"version" : "r1", "odd": "\\u00e4", "again": 1, "again": 2} ',
    ],
)
def test_document_without_keys_is_unchanged(document):
    """Guards against deltas between daemons that cover the complete document."""
    assert redact_keys(write(document)) == write(document)


def test_keys_are_replaced_by_digests_once():
    redacted = redact_keys(write(configuration(tenants=[ACME])))
    (entry,) = json.loads(redacted)["tenants"]
    assert entry.pop("key_digests") == sorted(map(digest_key, ACME["api_keys"]))
    assert entry == {name: ACME[name] for name in ACME if name != "api_keys"}
    assert redact_keys(redacted) is redacted


@pytest.mark.parametrize(
    "document",
    [
        write(configuration(tenants=[ACME]))[:-1],
        write(configuration(tenants=[ACME])).replace(b"api_keys", b"api\\u005fkeys"),
        json.dumps(configuration(tenants=[ACME])).encode("utf-16"),
        write(configuration(tenants=[ACME, {"name": "b", "api_keys": [7]}])),
        write(configuration(tenants={"api_keys": [KEY], "in": [ACME]})),
        write({**configuration(), "extra": {"deep": [{"api_keys": KEY}]}}),
        write([configuration(tenants=[ACME])]),
        b'{"a":' * 5000 + b'{"api_keys":["' + KEY.encode() + b'"]}' + b"}" * 5000,
    ],
    ids=range(8),
)
def test_keys_of_faulty_and_unusual_documents_are_replaced(document):
    """Guards against keys in the memory and the messages of daemons.

    A document that cannot be decoded is kept as a row, too.
    """
    redacted = redact_keys(document)
    assert SECRET.encode() not in redacted
    assert SECRET.encode("utf-16-le") not in redacted


def test_fault_of_an_unreadable_document_is_kept():
    document = write(configuration(tenants=[ACME]))[:-1]
    assert "Expecting" in str(decode(document).error)


SECRETS = st.text(max_size=5).map(lambda text: SECRET + text)
ODD = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3)
KEYS = st.lists(SECRETS, max_size=3) | st.lists(SECRETS | ODD, max_size=3) | ODD
TENANT = st.fixed_dictionaries(
    {},
    optional={
        "name": st.sampled_from(["a", "b", "c", "d"]) | ODD,
        "api_keys": KEYS,
        "key_digests": KEYS | st.just([digest_key("x")]),
        "priority": ODD,
        "rate_per_s": ODD,
        "burst": ODD,
    },
)


@settings(max_examples=400, derandomize=True, deadline=None)
@given(st.lists(TENANT | ODD, max_size=4) | ODD)
def test_any_workspaces_are_decoded_or_a_typed_fault(tenants):
    """Guards against a key in an error text, and an exception in the rules' task."""
    document = {**configuration(), "tenants": tenants}
    redacted = redact_keys(write(document))
    has_digests = "key_digests" in str(tenants)
    assert has_digests or SECRET.encode() not in redacted
    decoded = DECODER.decode(redacted)
    if decoded.is_error():
        assert isinstance(decoded.error, DecodeFault)
        assert SECRET not in str(decoded.error)
        return
    held = [digest for each in decoded.ok.workspaces for digest in each.key_digests]
    assert len(held) == len(set(held))
    for entry in tenants:
        for key in entry.get("api_keys", ()):
            assert digest_key(key) in held


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
)
OBJECTS = st.dictionaries(st.sampled_from(["tenants", "a", ""]), JSON)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(OBJECTS, st.sampled_from([None, 1]), st.booleans(), st.integers(0, 200))
def test_steps_give_the_same_object_as_one_pass(document, indent, cut, length):
    """Guards against rules that depend on the size of their document."""
    data = json.dumps(document, indent=indent).encode()
    if cut:
        data = data[:length]
    found = _outcome(lambda: load_in_steps(data, "tenants", lambda: None))
    expected = _outcome(lambda: json.loads(data))
    assert found == expected


def _outcome(parse):
    at_once = _json_steps.AT_ONCE_BYTES
    _json_steps.AT_ONCE_BYTES = -1
    try:
        return parse()
    except ValueError:
        return ValueError
    finally:
        _json_steps.AT_ONCE_BYTES = at_once


# -- in force -----------------------------------------------------------------------


@pytest.fixture
def serving(store, start_daemon, start_target, wait_for_targets):
    """Return a daemon with one workspace, and its target."""
    rules = [rule(), rule("r-2", "/open/") | {"anonymous": True}]
    store.put("op", "config", configuration(3, rules=rules, tenants=[ACME]))
    daemon = start_daemon()
    target = start_target()
    wait_for_targets(daemon, "i-1")
    return daemon, target


def test_target_learns_the_workspace(serving):
    daemon, target = serving
    claims = [("cairnferry-tenant-id", "b"), ("CAIRNFERRY_TENANT_ID", "b")]
    assert daemon.call(headers=[bearer(KEY), *claims]).status == 200
    assert daemon.call("/open/x", headers=claims).status == 200
    first, second = (headers for _, _, headers, _ in target.seen)
    assert first["cairnferry-tenant-id"] == "Acme Ltd."
    assert "cairnferry-tenant-id" not in second
    for headers in (first, second):
        assert {"authorization", "cairnferry_tenant_id"}.isdisjoint(headers)


def test_request_without_a_held_key_is_refused(serving):
    daemon, target = serving
    reply = daemon.call(headers=[bearer("wrong")])
    assert (reply.status, outcome(reply)) == (401, "not-run")
    assert json.loads(reply.body)["cause"] == "key-unknown"
    assert reply.header("www-authenticate") == "Bearer"
    assert daemon.call(**POST).status == 401
    assert target.seen == []
    dump = daemon.core.state_view.dump()
    assert dump["workspaces"] == {"count": 1, "required": True}
    assert dump["metrics"]["causes"] == {"key-missing": 1, "key-unknown": 1}


@pytest.mark.parametrize(
    "faulty",
    [
        configuration(4, tenants=[ACME, ACME]),
        configuration(4, tenants=[{"name": "b", "api_keys": [SECRET, 1]}]),
        write(configuration(4, tenants=[ACME]))[:-1],
    ],
    ids=["same-key", "no-text", "cut"],
)
def test_last_good_rules_stay_in_force(serving, store, caplog, faulty):
    daemon, _ = serving
    store.put("op", "config", faulty)
    wait_for(lambda: daemon.core.metrics.faulty_rows["rules"] == 1)
    assert daemon.call(headers=[bearer(KEY)]).status == 200
    assert daemon.call(headers=[bearer("wrong")]).status == 401
    state = daemon.core.state_view.dump()
    assert state["behind"]
    assert SECRET not in str(state)
    assert SECRET not in str([record.__dict__ for record in caplog.records])
    store.put("op", "config", configuration(5, tenants=[]))
    wait_for(lambda: daemon.core.services.revision == 5)
    assert daemon.call(headers=[bearer(KEY)]).status == 401


def test_deployment_without_workspaces_passes_both_fields(
    daemon, start_target, wait_for_targets
):
    """Guards against a change for the deployments that have no workspaces."""
    target = start_target()
    wait_for_targets(daemon, "i-1")
    claim = ("Cairnferry-Tenant-Id", "mine")
    assert daemon.call(headers=[bearer("theirs"), claim]).status == 200
    ((_, _, headers, _),) = target.seen
    assert headers["authorization"] == "Bearer theirs"
    assert headers["cairnferry-tenant-id"] == "mine"


def test_daemon_without_rules_answers_503_not_401(start_daemon):
    """Guards against callers that give up a valid key because of a restart."""
    daemon = start_daemon(wait=False)
    assert daemon.call(headers=[bearer(KEY)]).status == 503
    assert daemon.call(**POST).status == 503


def test_keys_from_a_peer_of_an_earlier_release_are_replaced(serving):
    """Guards against keys that a daemon without redaction passes on in an upgrade."""
    daemon, _ = serving
    records = daemon.core.cluster.configuration
    assert records.apply(write(configuration(9, tenants=[ACME])))
    assert daemon.call(headers=[bearer(KEY)]).status == 200
    assert SECRET.encode() not in records.snapshot()
    assert SECRET.encode() not in records.handover().write()
    update = records.document_since(0)
    assert SECRET.encode() not in zlib.decompress(update.packed)
    assert digest_key(KEY).encode() in zlib.decompress(update.packed)


def test_no_copy_of_the_table_of_rules_holds_a_key(serving):
    """Guards against keys in memory, from which a later change could send them."""
    daemon, _ = serving
    gc.collect()
    held = [each for each in gc.get_objects() if isinstance(each, Row)]
    assert any(digest_key(KEY).encode() in (row.value or b"") for row in held)
    assert not any(SECRET.encode() in (row.value or b"") for row in held)


def test_older_rules_are_dropped_while_newer_ones_come_into_force(serving, monkeypatch):
    """Guards against a revoked key that comes back.

    Rules with many keys are indexed in steps. Newer rules arrive from a peer meanwhile.
    """
    prepare = WorkspaceRegistry.prepare
    indexed, resume = Event(), Event()

    def prepare_late(registry, workspaces):
        index = prepare(registry, workspaces)
        if len(workspaces) > 1:
            indexed.set()
            resume.wait()
        return index

    monkeypatch.setattr(WorkspaceRegistry, "prepare", prepare_late)
    daemon, _ = serving
    records = daemon.core.cluster.configuration
    many = [{"name": f"w{n}", "api_keys": [f"{KEY}{n}"]} for n in range(2)]
    older = gevent.spawn(records.apply, write(configuration(10, tenants=many)))
    indexed.wait()
    assert records.apply(write(configuration(11, tenants=[ACME])))
    resume.set()
    assert older.get() is False
    assert records.revision == 11
    assert daemon.call(headers=[bearer(f"{KEY}0")]).status == 401
    assert daemon.call(headers=[bearer(KEY)]).status == 200
    assert records.document_since(0).revision == 11


def test_reload_keeps_newer_rules(serving, monkeypatch):
    """Guards against settings that bring older rules back."""
    monkeypatch.setattr(_steps, "STEP_S", 0.0)
    daemon, _ = serving
    records = daemon.core.cluster.configuration
    reload = gevent.spawn(records.redecode_rules)
    gevent.sleep(0)
    assert records.apply(write(configuration(11, tenants=[])))
    reload.get()
    assert daemon.call(headers=[bearer(KEY)]).status == 401
    assert daemon.core.services.revision == 11
