"""Tests of the platform clients against a stand-in with injected faults."""

import pytest

from cairnferry.cloudapi import (
    Credentials,
    CredentialsFault,
    Instance,
    InstanceList,
    ObjectStore,
    ObjectStoreUnavailable,
    Signer,
    TableClient,
    read_credentials,
)
from cairnferry.coordination import (
    ConditionFailed,
    Item,
    TableUnavailable,
    Write,
    WriteUnknown,
)
from cairnferry.standins import Outage, PlatformStandin
from cairnferry.wire import Client

TIMEOUT_S = 0.2
UNSIGNED = Signer(None, "dynamodb", "r")


@pytest.fixture
def standin():
    standin = PlatformStandin(("127.0.0.1", 0))
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def client(standin):
    return Client("127.0.0.1", standin.port)


@pytest.fixture
def table(client):
    return TableClient(client, "t", UNSIGNED, TIMEOUT_S)


def put(key, version, expected=None, body=""):
    return Write(Item(key, version, body), expected)


def test_transaction_is_atomic(table):
    assert table.transact((put("head", 1), put("log/1", 1, body="é"))).is_ok()
    refused = table.transact((put("head", 2, 1), put("log/1", 2)))
    assert refused.error == ConditionFailed(("log/1",))
    assert table.read("head").ok.version == 1
    assert table.read("log/1").ok.body == "é"
    assert table.read("nothing").ok is None


def test_conditions_compare_versions(table):
    table.transact((put("head", 1),))
    assert table.transact((put("head", 3, 2),)).error == ConditionFailed(("head",))
    assert table.transact((put("head", 2, 1),)).is_ok()


def test_range_is_read_in_order_across_pages(table):
    for number in range(1, 13):
        table.transact((put(f"log/{number}", number, body="x" * 150_000),))
    rows = table.read_range("log", 2, 11).ok
    assert [row.version for row in rows] == list(range(2, 12))


@pytest.mark.parametrize(
    ("outage", "write_error"),
    [
        (Outage.RESET, WriteUnknown),
        (Outage.HANG, WriteUnknown),
        (Outage.ERROR, WriteUnknown),
    ],
)
def test_outage_makes_writes_unknown_and_reads_unavailable(
    standin, table, outage, write_error
):
    standin.faults.outage = outage
    assert isinstance(table.transact((put("a", 1),)).error, write_error)
    assert isinstance(table.read("a").error, TableUnavailable)
    assert isinstance(table.read_range("a", 1, 2).error, TableUnavailable)
    assert table.meter.failures == 3


def test_refused_connection_proves_that_nothing_was_written(standin, table):
    standin.stop()
    assert isinstance(table.transact((put("a", 1),)).error, TableUnavailable)


def test_lost_response_is_unknown_and_the_write_took_effect(standin, table):
    standin.faults.lose_answers = 1
    assert isinstance(table.transact((put("a", 1),)).error, WriteUnknown)
    assert table.read("a").ok.version == 1


def test_refused_transaction_was_not_written(table):
    too_large = put("a", 1, body="x" * 500_000)
    error = table.transact((too_large,)).error
    assert error == TableUnavailable("ValidationException")


def test_objects_are_written_and_read(standin, client):
    store = ObjectStore(client, "b", Signer(None, "s3", "r"), TIMEOUT_S)
    assert store.get("x/y").ok is None
    assert store.put("x/y", b"\x00\xff").is_ok()
    assert store.get("x/y").ok == b"\x00\xff"
    standin.faults.outage = Outage.ERROR
    assert isinstance(store.get("x/y").error, ObjectStoreUnavailable)
    assert isinstance(store.put("x/y", b"").error, ObjectStoreUnavailable)


def discovery_groups(*states):
    return [
        {
            "targets": [f"10.0.0.{i}:1"],
            "labels": {
                "__meta_name": f"i{i}",
                "__meta_zone": "z",
                "__meta_role": "entry",
                "__meta_state": state,
            },
        }
        for i, state in enumerate(states)
    ]


def test_instance_list_lags(standin, client):
    instances = InstanceList(client, "/instances", TIMEOUT_S)
    standin.instances.write(discovery_groups("live", "leaving"))
    expected = [
        Instance("i0", "z", "entry", "10.0.0.0:1", False),
        Instance("i1", "z", "entry", "10.0.0.1:1", True),
    ]
    assert instances.fetch().ok == expected
    standin.faults.list_lag_s = 1000
    assert instances.fetch().ok == []


@pytest.mark.parametrize("document", [[{"targets": []}], [1], {"a": 1}])
def test_malformed_instance_list_is_an_error(standin, client, document):
    standin.instances.write(document)
    fetched = InstanceList(client, "/instances", TIMEOUT_S).fetch()
    assert isinstance(fetched.error, TableUnavailable)


def test_requests_are_signed_and_the_secret_stays_hidden():
    credentials = Credentials("AKID", "very-secret")
    signer = Signer(credentials, "dynamodb", "r")
    headers = dict(signer.sign("POST", "10.0.0.1:1", "/", [("X-A", "b")], b"{}"))
    assert headers["X-A"] == "b"
    assert headers["Authorization"].startswith("AWS4-HMAC-SHA256 Credential=AKID/")
    assert "very-secret" not in repr(signer) + str(headers)


def test_credentials_are_read_and_errors_hide_them(tmp_path):
    path = tmp_path / "c.ini"
    path.write_text("[credentials]\naccess_key = a\nsecret_key = s3cret\n")
    assert read_credentials(str(path)).secret_key == "s3cret"
    for text in ("s3cret\n", "[credentials]\nsecret_key = s3cret\n"):
        path.write_text(text)
        with pytest.raises(CredentialsFault) as caught:
            read_credentials(str(path))
        assert "s3cret" not in str(caught.value)
