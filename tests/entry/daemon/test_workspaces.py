"""Workspaces by the operators' tool, with daemons in processes of their own."""

import json
import signal

import pytest

from cairnferry.records import digest_key
from cairnferry.standins import (
    LocalSystem,
    route_v2,
    service_v2,
    target_v2,
    wait_for,
    workspace_v1,
    workspace_v2,
)
from cairnferry.wire import Reply, connect

SECRET = "s3cret-"
KEY = SECRET + "acme"
OTHER_KEY = SECRET + "other"
REVOKED = SECRET + "revoked"


def bearer(key):
    return ("Authorization", f"Bearer {key}")


def status(daemon, *headers, path="/s/x"):
    reply = daemon.call("callers", "GET", path, headers=headers)
    return reply.status if isinstance(reply, Reply) else None


def run(system, *arguments, exit_code=0, **options):
    done = system.run_ctl(*arguments, **options)
    assert done.returncode == exit_code, done.stderr
    return done


@pytest.fixture
def relayed(tmp_path):
    """Return a system whose daemons reach the platform and peers through relays."""
    with LocalSystem(tmp_path, relayed=True) as system:
        yield system


def start(system, tmp_path, daemons):
    """Start one target and daemons, and put workspaces in force."""
    platform = system.start_platform()
    wait_for(lambda: platform.read("http", "/_control"))
    system.start_target("t1", "zone-a", service_ms=1)
    for name, zone in daemons.items():
        system.start_daemon(name, zone)
    system.publish_instances()
    system.await_serving()
    system.await_members(len(daemons))
    address = system.targets["t1"].addresses["http"]
    records = [
        service_v2("s"),
        route_v2("r", "/s", "s"),
        route_v2("open", "/s/open", "s", anonymous=True),
        target_v2("t1", "s", "zone-a", address),
        workspace_v1("acme", KEY, REVOKED),
        workspace_v2("other", OTHER_KEY),
    ]
    path = tmp_path / "records.json"
    path.write_text(json.dumps(records))
    run(system, "submit", str(path))
    system.await_revision(1)
    for daemon in system.daemons.values():
        wait_for(lambda each=daemon: status(each, bearer(KEY)) == 200)


def test_operator_changes_workspaces_by_the_tool(install):
    system = install(["t1"], {"e1": "zone-a"}, service_ms=1)
    e1 = system.daemons["e1"]
    assert status(e1) == 200
    added = run(system, "workspace", "add", "acme", "--rate", "5", "--burst", "9")
    assert "callers need a key from now on" in added.stderr
    wait_for(lambda: status(e1) == 401)
    made = json.loads(run(system, "workspace", "add-key", "acme", "--json").stdout)
    key, digest = made["key"], made["digest"]
    assert digest == digest_key(key)
    wait_for(lambda: status(e1, bearer(key)) == 200)
    run(system, "workspace", "set-rank", "acme", "2")
    run(system, "workspace", "set-limit", "acme", "2.5", "7")
    shown = run(system, "workspace", "show", "acme", "--json").stdout
    limit = {"ratePerSecond": 2.5, "burst": 7.0}
    spec = {"keyDigests": [digest], "rank": 2, "limit": limit}
    assert json.loads(shown)["spec"] == spec
    assert digest in run(system, "workspace", "show", "acme").stdout
    assert "acme" in run(system, "workspace", "list").stdout
    run(system, "workspace", "set-rank", "acme", "none")
    run(system, "workspace", "revoke-key", "acme", digest[:12])
    wait_for(lambda: status(e1, bearer(key)) == 401)
    refused = run(system, "workspace", "remove", "acme", exit_code=3)
    assert "--allow-open" in refused.stderr
    run(system, "workspace", "remove", "acme", "--allow-open")
    wait_for(lambda: status(e1) == 200)
    assert key not in "".join(path.read_text() for path in system.folder.glob("*.log"))


def test_faulty_arguments_are_refused(install):
    system = install(["t1"], {"e1": "zone-a"}, service_ms=1)
    run(system, "workspace", "show", "acme", exit_code=4)
    run(system, "workspace", "add-key", "acme", exit_code=4)
    run(system, "workspace", "add", "WITH-CAPITALS", exit_code=3)
    run(system, "workspace", "add", "acme")
    run(system, "workspace", "add", "acme", exit_code=4)
    run(system, "workspace", "set-rank", "acme", "high", exit_code=2)
    run(system, "workspace", "set-limit", "acme", "-1", exit_code=3)
    run(system, "workspace", "revoke-key", "acme", "ab", exit_code=2)
    run(system, "workspace", "revoke-key", "acme", "ab" * 8, exit_code=4)


def test_key_in_place_of_a_digest_is_refused_without_showing_it(install, tmp_path):
    system = install(["t1"], {"e1": "zone-a"}, service_ms=1)
    faulty = workspace_v2("acme", keyDigests=[KEY])
    path = tmp_path / "faulty.json"
    path.write_text(json.dumps(faulty))
    assert SECRET not in run(system, "submit", str(path), exit_code=3).stderr
    change = {"change_id": "c", "edits": [{"op": "submit", "record": faulty}]}
    reply = system.daemons["e1"].call("operators", "POST", "/v1/changes", change)
    assert reply.status == 422
    assert SECRET.encode() not in reply.body


def test_daemon_without_records_answers_503_not_401(system):
    """Guards against callers that give up a valid key because of a restart."""
    platform = system.start_platform()
    wait_for(lambda: platform.read("http", "/_control"))
    e1 = system.start_daemon("e1", "zone-a")
    wait_for(lambda: status(e1, bearer(KEY)) == 503)


def test_sender_of_only_a_head_gets_its_answer(system, tmp_path, read_until):
    """Guards against bodies that are read for requests that are refused anyway."""
    start(system, tmp_path, {"e1": "zone-a"})
    host, _, port = system.daemons["e1"].addresses["callers"].partition(":")
    with connect((host, int(port)), 5).sock as sock:
        sock.sendall(b"POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n")
        assert read_until(sock, b"key-missing").startswith(b"HTTP/1.1 401 ")


def test_no_key_is_shown_logged_or_sent(system, tmp_path):
    """Guards against keys in what operators read and in what the platform stores."""
    start(system, tmp_path, {"e1": "zone-a", "e2": "zone-a"})
    for daemon in system.daemons.values():
        for key in (KEY, SECRET + "unknown", SECRET + "x" * 600, SECRET + "\t"):
            status(daemon, bearer(key))
            status(daemon, bearer(key), path="/s/open")
            status(daemon, bearer(key), path="/nowhere")
        daemon.signal(signal.SIGUSR1)
    logs = [tmp_path / f"{name}.log" for name in system.daemons]
    for log in logs:
        wait_for(lambda each=log: '"message": "dump"' in each.read_text())
        text = log.read_text()
        assert '"workspace": "acme"' in text
        assert '"cause": "key-unknown"' in text
        assert SECRET not in text
    pages = ["/v1/dump", "/v1/records", "/v1/status", "/metrics"]
    for daemon in system.daemons.values():
        for page in pages:
            body = daemon.call("operators", "GET", page).body
            assert SECRET.encode() not in body
        dump = daemon.read("operators", "/v1/dump")
        assert dump["workspaces"] == {"count": 2, "required": True}
        metrics = daemon.call("operators", "GET", "/metrics").body
        assert b'given_up_total{cause="key-unknown"}' in metrics


def test_daemon_cut_off_from_the_platform_hears_of_a_revocation(relayed, tmp_path):
    """Guards against a revoked key that a daemon without the platform still serves."""
    start(relayed, tmp_path, {"e1": "zone-a", "e2": "zone-b"})
    e1, e2 = relayed.daemons["e1"], relayed.daemons["e2"]
    relayed.platform_relays["e2"].cut()
    run(relayed, "workspace", "revoke-key", "acme", digest_key(KEY), daemon=e1)
    wait_for(lambda: status(e2, bearer(KEY)) == 401)
    assert status(e2, bearer(OTHER_KEY)) == 200


def test_daemon_that_starts_in_an_outage_knows_revoked_keys(system, tmp_path):
    """Guards against a restart that brings a revoked key back."""
    start(system, tmp_path, {"e1": "zone-a", "e2": "zone-b"})
    revoked = digest_key(REVOKED)
    run(system, "workspace", "revoke-key", "acme", revoked)
    for daemon in system.daemons.values():
        wait_for(lambda each=daemon: status(each, bearer(REVOKED)) == 401)
    system.set_faults(outage="error")
    e2 = system.daemons["e2"]
    e2.popen.kill()
    e2.popen.wait()
    seeds = system.daemons["e1"].addresses["peers"]
    e2 = system.start_daemon("e2", "zone-b", peers__seeds=seeds)
    wait_for(lambda: status(e2, bearer(KEY)) == 200)
    assert status(e2, bearer(REVOKED)) == 401
    assert status(e2) == 401
