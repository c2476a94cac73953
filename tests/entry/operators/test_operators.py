"""Operators' HTTP interface of a complete daemon in the process of the test."""

import base64
import contextlib
import json
import random
import zlib

import gevent
import pytest

from cairnferry.entry import KEYS, _steps
from cairnferry.entry.daemon._daemon import Daemon
from cairnferry.records import (
    Change,
    Put,
    RecordSet,
    Withdraw,
    Workspace,
    digest_key,
)
from cairnferry.settings import read_settings
from cairnferry.standins import PlatformStandin, free_port, service_v1, workspace_v2
from cairnferry.wire import Client

TOKEN = "0123456789abcdef"
PEER_KEY = "5ec2e7" * 8
FUZZ_ROUNDS = 200


@pytest.fixture
def platform():
    standin = PlatformStandin(("127.0.0.1", 0))
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def daemon(platform, tmp_path):
    (tmp_path / "keys").write_text(PEER_KEY + "\n")
    (tmp_path / "tokens").write_text(TOKEN + "\n")
    address = f"127.0.0.1:{platform.port}"
    overrides = {
        "instance.name": "e1",
        "instance.zone": "z",
        "peers.key_file": str(tmp_path / "keys"),
        "operators.token_file": str(tmp_path / "tokens"),
    }
    for key in ("platform.table", "platform.objects", "platform.instances"):
        overrides[key] = address
    for section in ("callers", "operators", "peers"):
        overrides[f"{section}.listen"] = f"127.0.0.1:{free_port()}"
    daemon = Daemon(read_settings(KEYS, None, overrides).ok)
    daemon.operators_server.start()
    committer = gevent.spawn(daemon.submissions.run)
    yield daemon
    committer.kill()
    daemon.operators_server.stop(timeout=0)


@pytest.fixture
def call(daemon):
    client = Client("127.0.0.1", daemon.operators_server.server_port)

    def call(method, path, body=b"", token=TOKEN):
        headers = [("Authorization", f"Bearer {token}")] if token else []
        return client.call(method, path, timeout=20, headers=headers, body=body)

    return call


HELD = workspace_v2("held", "key", "s3cret-held")


def change(change_id="c", record=None, **edit):
    edit = {"op": "submit", "record": record or service_v1("s")} | edit
    return json.dumps({"change_id": change_id, "edits": [edit]}).encode()


@pytest.mark.parametrize("token", [None, "", "wrong", TOKEN + "x"])
def test_unknown_token_cannot_read_or_change_anything(call, daemon, token):
    pages = [("GET", "/v1/dump"), ("GET", "/metrics"), ("POST", "/v1/drain")]
    for method, path in [*pages, ("POST", "/v1/changes"), ("GET", "/nowhere")]:
        reply = call(method, path, token=token)
        assert reply.status == 401
        assert json.loads(reply.body) == {"error": "unauthorized"}
    assert daemon.configuration.revision == 0


def test_token_file_is_reread_without_restart(call, tmp_path):
    (tmp_path / "tokens").write_text(f"{TOKEN}\nnew-token\n")
    assert call("GET", "/v1/status").status == 200
    assert call("GET", "/v1/status", token="new-token").status == 200
    (tmp_path / "tokens").write_text("new-token\n")
    assert call("GET", "/v1/status").status == 401
    (tmp_path / "tokens").unlink()
    assert call("GET", "/v1/status", token="new-token").status == 401


def test_accepted_change_is_listed(call, daemon):
    reply = call("POST", "/v1/changes", change())
    assert (reply.status, json.loads(reply.body)["revision"]) == (201, 1)
    listed = json.loads(call("GET", "/v1/records").body)
    assert [record["name"] for record in listed["records"]] == ["s"]
    assert json.loads(call("GET", "/v1/changes/c").body)["revision"] == 1


@pytest.mark.parametrize(
    ("body", "status", "error", "field"),
    [
        (
            change(record={"schema": 1, "kind": "service"}),
            422,
            "MalformedRecord",
            "name",
        ),
        (change(record={"schema": 7}), 422, "UnknownSchemaVersion", "schema"),
        (change(op="destroy"), 400, "MalformedChange", "edits.0.op"),
        (
            change(op="replace", expected_revision=3),
            409,
            "RevisionConflict",
            "expected_revision",
        ),
        (b"[]", 400, "MalformedChange", "(document)"),
    ],
)
def test_faulty_change_gets_typed_error_with_its_field(
    call, body, status, error, field
):
    reply = call("POST", "/v1/changes", body)
    document = json.loads(reply.body)
    assert (reply.status, document["error"]) == (status, error)
    assert document["field"] == field
    assert document["outcome"] == "refused"


def test_key_that_another_workspace_holds_is_refused(call):
    assert call("POST", "/v1/changes", change(record=HELD)).status == 201
    body = change("d", workspace_v2("other", "key"))
    document = json.loads(call("POST", "/v1/changes", body).body)
    assert document["error"] == "DuplicateKeyDigest"
    assert document["field"] == "key_digests"
    assert "workspace/other" in document["message"]


def test_change_log_rows_and_snapshots_hold_digests_alone(call, daemon, platform):
    """Guards against keys in what the platform stores and daemons send each other."""
    assert call("POST", "/v1/changes", change(record=HELD)).status == 201
    for number, key in enumerate(["s3cret-key", ["s3cret-key"]]):
        faulty = workspace_v2("w", keyDigests=[key], api_keys=[key])
        reply = call("POST", "/v1/changes", change(f"f{number}", faulty))
        assert reply.status == 422
        assert b"s3cret" not in reply.body
    rows = platform.table.rows
    assert rows
    stored = b"".join(_unpack(value) for value in _texts(rows))
    sent = zlib.decompress(daemon.configuration.records.to_snapshot())
    held = digest_key("s3cret-held").encode()
    for data in (stored, sent):
        assert held in data
        assert b"s3cret" not in data


def test_older_records_are_dropped_while_newer_ones_are_installed(daemon, monkeypatch):
    """Guards against a revoked key that comes back.

    Many workspaces are indexed in steps. A newer revision arrives meanwhile.
    """
    monkeypatch.setattr(_steps, "STEP_S", 0.0)
    many = [Put(workspace_v2(f"w{n}", f"key-{n}"), 0) for n in range(50)]
    older = RecordSet().apply(1, (Change("a", tuple(many)),)).ok
    gone = tuple(Withdraw(each.record.key, 1) for each in older.entries.values())
    kept = Put(workspace_v2("kept", "key"), 0)
    newer = older.apply(2, (Change("b", (*gone, kept)),)).ok
    first = gevent.spawn(daemon.configuration.install_snapshot, older.to_snapshot())
    gevent.sleep(0)
    daemon.configuration.install_snapshot(newer.to_snapshot())
    first.join()
    assert daemon.configuration.revision == 2
    assert daemon.core.workspaces.find("key").is_ok()
    assert daemon.core.workspaces.find("key-0").is_error()
    assert daemon.core.services.revision == 2


def _texts(value):
    """Yield all texts in the rows of the table."""
    if isinstance(value, dict):
        for each in value.values():
            yield from _texts(each)
    elif isinstance(value, str):
        yield value


def _unpack(text):
    with contextlib.suppress(ValueError, zlib.error):
        return zlib.decompress(base64.b64decode(text, validate=True))
    return text.encode()


def test_change_during_outage_is_refused_and_not_unknown(call, platform):
    platform.faults.outage = "error"
    reply = call("POST", "/v1/changes", change())
    assert reply.status == 503
    assert json.loads(reply.body)["outcome"] == "refused"
    platform.faults.outage = "none"
    assert call("POST", "/v1/changes", change()).status == 201


def test_random_body_gets_typed_answer(call):
    """Fuzz test with a fixed seed: mutated changes."""
    rng = random.Random(17)
    for number in range(FUZZ_ROUNDS):
        body = bytearray(change(f"f{number}"))
        for _ in range(rng.randrange(1, 5)):
            position = rng.randrange(len(body))
            body[position : position + rng.randrange(4)] = rng.randbytes(
                rng.randrange(3)
            )
        reply = call("POST", "/v1/changes", bytes(body))
        assert reply.status in (201, 400, 409, 422)
        document = json.loads(reply.body)
        assert document.get("outcome") == "accepted" or document["error"]


def test_dump_and_metrics_contain_no_secret(call):
    call("POST", "/v1/changes", change())
    dump = call("GET", "/v1/dump").body.decode()
    metrics = call("GET", "/metrics").body.decode()
    for text in (dump, metrics):
        assert TOKEN not in text
        assert PEER_KEY not in text
    assert json.loads(dump)["revision"] == 1
    assert "cairnferry_revision 1" in metrics.splitlines()


def test_deeply_nested_body_is_rejected(call):
    reply = call("POST", "/v1/changes", b"[" * 100_000)
    assert reply.status == 400


def test_limited_workspaces_are_listed(call, daemon):
    red = Workspace("red", frozenset(), rate_per_s=8.0, burst=16.0)
    registry = daemon.core.workspaces
    registry.install(registry.prepare([red, Workspace("free", frozenset())]))
    reply = call("GET", "/v1/workspaces")
    (row,) = json.loads(reply.body)["workspaces"]
    assert (row["workspace"], row["rate_per_s"], row["burst"]) == ("red", 8.0, 16.0)
    assert row["owner"] == "e1"
