"""Callers with API keys: authentication, revocation, and what targets are sent."""

import json
import logging
from unittest import mock

import gevent
import pytest
from gevent.event import Event
from hypothesis import given, settings
from hypothesis import strategies as st

from cairnferry.entry.callers._callers import STEERING_PATH
from cairnferry.entry.callers._hedging import REVOKED_RETRY_AFTER_S, HedgedAttempts
from cairnferry.entry.http import Problem, without_identity
from cairnferry.policy import Cause, GiveUp
from cairnferry.records import Change, Put, RecordSet
from cairnferry.standins import wait_for, workspace_v2
from cairnferry.wire import ConnectionPool, connect

from ._recording import REFUSAL, RecordingTarget

ACME_KEY = "acme-s3cret-key"
OTHER_KEY = "other-s3cret-key"
ACME = workspace_v2("acme", ACME_KEY, rank=3)
OTHER = workspace_v2("other", OTHER_KEY)


@pytest.fixture
def target():
    target = RecordingTarget()
    yield target
    target.stop()


@pytest.fixture
def start(start_entry, records_for, target):
    """Return a function that starts a listener with workspaces; default two."""

    def start(*workspaces, targets=None, route=None, **limits):
        records = records_for(*(targets or [target]), route=route)
        return start_entry(*records, *(workspaces or [ACME, OTHER]), **limits)

    return start


@pytest.fixture
def entry(start):
    return start()


def install(entry, *workspaces):
    edits = tuple(Put(document, 0) for document in workspaces)
    records = RecordSet()
    if edits:
        records = records.apply(1, (Change("c", edits),)).ok
    entry.install_workspaces(records)


def bearer(key):
    return ("Authorization", f"Bearer {key}")


def call(entry, *headers, path="/s/x", **options):
    return entry.call(path=path, headers=list(headers), **options)


def cause(reply):
    document = json.loads(reply.body)
    assert document["outcome"] == "not-run"
    return reply.status, document["cause"]


def request(path, key, method="GET", body=b"", more=""):
    length = f"Content-Length: {len(body)}\r\n" if body else ""
    head = f"{method} {path} HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer {key}\r\n"
    return f"{head}{length}{more}\r\n".encode() + body


def dial(entry):
    return connect(("127.0.0.1", entry.port), 5).sock


# -- admission ----------------------------------------------------------------------


def test_target_learns_the_workspace_and_not_the_key(entry, target):
    assert call(entry, bearer(ACME_KEY)).status == 200
    ((_, headers),) = target.seen
    assert dict(headers)["cairnferry-workspace"] == "acme"
    assert ACME_KEY not in str(headers)


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ([], "key-missing"),
        ([("Authorization", "Basic x")], "key-malformed"),
        ([bearer(ACME_KEY), bearer(ACME_KEY)], "key-repeated"),
        ([bearer("other")], "key-unknown"),
    ],
)
def test_request_without_a_held_key_is_refused(entry, target, headers, expected):
    reply = call(entry, *headers)
    assert cause(reply) == (401, expected)
    assert reply.header("www-authenticate") == "Bearer"
    assert entry.metrics.causes[expected] == 1
    assert target.seen == []


@pytest.mark.parametrize(
    ("headers", "status", "workspace"),
    [
        ([], 200, None),
        ([("cairnferry_workspace", "acme")], 200, None),
        ([bearer(ACME_KEY)], 200, "acme"),
        ([bearer("revoked")], 401, None),
        ([("Authorization", "Digest x")], 401, None),
    ],
)
def test_anonymous_route_needs_no_key_but_refuses_a_wrong_one(
    start, target, headers, status, workspace
):
    entry = start(route={"anonymous": True})
    assert call(entry, *headers).status == status
    sent = [dict(each) for _, each in target.seen]
    assert len(sent) == (status == 200)
    for each in sent:
        assert each.get("cairnferry-workspace") == workspace
        assert {"authorization", "cairnferry_workspace"}.isdisjoint(each)


def test_deployment_without_workspaces_passes_both_fields(start_entry, records_for):
    """Guards against a change for the deployments that have no workspaces."""
    target = RecordingTarget()
    entry = start_entry(*records_for(target))
    claim = ("Cairnferry-Workspace", "mine")
    assert call(entry, bearer("theirs"), claim).status == 200
    ((_, headers),) = target.seen
    assert ("authorization", "Bearer theirs") in headers
    assert ("cairnferry-workspace", "mine") in headers
    target.stop()


CLAIMS = st.lists(
    st.tuples(
        st.sampled_from(["cairnferry-workspace", "authorization", "x-other"]).flatmap(
            lambda name: (
                st.tuples(*(st.sampled_from([c.lower(), c.upper()]) for c in name)).map(
                    lambda letters: "".join(letters).replace("-", "_")
                )
                | st.tuples(
                    *(st.sampled_from([c.lower(), c.upper()]) for c in name)
                ).map("".join)
            )
        ),
        st.text(),
    )
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(CLAIMS)
def test_claim_of_a_workspace_is_dropped_in_every_spelling(pairs):
    """Guards against a target that takes a caller's own claim for the workspace."""
    kept = without_identity(pairs)
    assert kept == [
        (name, value)
        for name, value in pairs
        if name.lower().replace("_", "-") == "x-other"
    ]


def test_repeated_claims_are_replaced_at_the_target(entry, target):
    claims = [
        ("CAIRNFERRY-Workspace", "other"),
        ("cairnferry-workspace", "other"),
        ("Cairnferry_Workspace", "other"),
    ]
    assert call(entry, *claims, bearer(ACME_KEY)).status == 200
    ((_, headers),) = target.seen
    found = [v for n, v in headers if n.replace("_", "-") == "cairnferry-workspace"]
    assert found == ["acme"]


@pytest.mark.parametrize(("key", "rank"), [(ACME_KEY, 3), (OTHER_KEY, 0)])
def test_policy_learns_workspace_and_rank(entry, key, rank):
    """Guards against an identity by the key, which blocks would show to others."""
    app = entry.server.application
    forwarder = mock.Mock(wraps=app.forwarder)
    with mock.patch.object(app._limited_forwarder, "forwarder", forwarder):
        assert call(entry, bearer(key)).status == 200
    req, made, _ = forwarder.forward.call_args.args
    assert key not in repr((req.headers, req.head, made))
    assert made.rank == rank
    assert made.identity.caller == made.workspace
    assert made.workspace == ("acme" if key == ACME_KEY else "other")


# -- before the body ----------------------------------------------------------------


@pytest.mark.parametrize(
    "length", ["Content-Length: 50000", "Content-Length: 65000000"]
)
@pytest.mark.parametrize("more", ["", "Expect: 100-continue\r\n"])
def test_sender_of_only_a_head_gets_its_answer(entry, read_until, length, more):
    """Guards against bodies that are read for requests that are refused anyway."""
    with dial(entry) as sock:
        sock.sendall(request("/s", "wrong", "POST", more=f"{length}\r\n{more}"))
        received = read_until(sock, b"key-unknown")
    assert received.startswith(b"HTTP/1.1 401 ")


@pytest.mark.parametrize("chunked", [False, True])
def test_connection_stays_open_after_a_refused_body(entry, read_until, chunked):
    """Guards against other requests on the connection that lose their answers."""
    refused = request("/s", "wrong", "POST", b"x" * 30_000)
    if chunked:
        refused = request("/s", "wrong", "POST", more="Transfer-Encoding: chunked\r\n")
        refused += b"3\r\nabc\r\n0\r\n\r\n"
    with dial(entry) as sock:
        sock.sendall(refused + request("/s/next", ACME_KEY))
        received = read_until(sock, b"\r\n\r\nok")
    assert received.startswith(b"HTTP/1.1 401 ")
    assert received.count(b"HTTP/1.1 200 ") == 1


def test_connection_ends_after_a_refused_body_without_end(entry, read_to_end):
    """Guards against a refused sender that occupies the connection for ever."""
    chunk = b"ffff\r\n" + b"x" * 0xFFFF + b"\r\n"
    head = request("/s", "wrong", "POST", more="Transfer-Encoding: chunked\r\n")
    with dial(entry) as sock:
        sock.sendall(head + 4 * chunk)
        sock.shutdown(1)
        assert read_to_end(sock).count(b"HTTP/1.1 ") == 1


def test_key_revoked_while_the_body_arrives(entry, target, read_until):
    with dial(entry) as sock:
        sock.sendall(request("/s", ACME_KEY, "POST", more="Content-Length: 4\r\n"))
        sock.sendall(b"ab")
        wait_for(lambda: entry.server.busy)
        install(entry, OTHER)
        sock.sendall(b"cd")
        assert b"401 Unauthorized" in read_until(sock, b"key-unknown")
        sock.sendall(request("/s/next", OTHER_KEY))
        read_until(sock, b"\r\n\r\nok")
    assert target.paths == ["/s/next"]


# -- while it waits -----------------------------------------------------------------


def test_keys_on_one_connection_are_checked_one_by_one(entry, target, read_until):
    sent = [ACME_KEY, "wrong", OTHER_KEY, "", ACME_KEY]
    with dial(entry) as sock:
        for number, key in enumerate(sent):
            sock.sendall(request(f"/s/{number}", key))
        received = b""
        while received.count(b"HTTP/1.1 ") < len(sent) or received[-2:] != b"ok":
            received += sock.recv(65536)
    statuses = [part[:3] for part in received.split(b"HTTP/1.1 ")[1:]]
    assert statuses == [b"200", b"401", b"200", b"401", b"200"]
    assert sorted(target.paths) == ["/s/0", "/s/2", "/s/4"]


def held_first(entry, target, sock, second):
    """Send a request that the target holds, and a second one behind it."""
    gate = Event()
    target.behave = lambda path: gate if path == "/s/first" else None
    sock.sendall(request("/s/first", OTHER_KEY, "POST", b"1") + second)
    target.arrived.wait()
    # The second request waits for its turn, as neither may run twice.
    wait_for(lambda: entry.server.lookahead.total > 0)
    return gate


def test_key_revoked_while_the_request_waits_for_its_turn(entry, target, read_until):
    with dial(entry) as sock:
        second = request("/s/second", ACME_KEY, "POST", b"2")
        gate = held_first(entry, target, sock, second)
        install(entry, OTHER)
        gate.set()
        read_until(sock, b"key-unknown")
    assert target.paths == ["/s/first"]


def test_key_added_while_the_request_waits_for_its_turn(entry, target, read_until):
    """Guards against a 401 for a request that the rules in force allow."""
    with dial(entry) as sock:
        second = request("/s/second", "added", "DELETE", more="X: y\r\n")
        gate = held_first(entry, target, sock, second)
        install(entry, OTHER, workspace_v2("acme", "added"))
        gate.set()
        assert b"401" not in read_until(sock, b"ok")
        wait_for(lambda: target.paths == ["/s/first", "/s/second"])


def queued_call(entry, target, *headers):
    """Occupy the only slot; return the gate and a task whose request is queued."""
    gate = Event()
    target.behave = lambda path: gate if path == "/s/first" else None
    first = gevent.spawn(call, entry, bearer(OTHER_KEY), path="/s/first")
    target.arrived.wait()
    second = gevent.spawn(call, entry, *headers, path="/s/second")
    waiting = entry.services.runtime("s")._waiting
    wait_for(lambda: len(waiting) == 1)
    return gate, first, second


@pytest.fixture
def busy(start):
    """Return an entry with one target of one slot, and the target."""
    target = RecordingTarget(slots=1)
    yield start(targets=[target]), target
    target.stop()


def test_key_revoked_while_the_request_waits_for_capacity(busy):
    entry, target = busy
    gate, first, second = queued_call(entry, target, bearer(ACME_KEY))
    install(entry, OTHER)
    gate.set()
    assert cause(second.get()) == (401, "key-unknown")
    assert first.get().status == 200
    assert target.paths == ["/s/first"]
    # The slot that the refused request was granted is free again.
    assert call(entry, bearer(OTHER_KEY)).status == 200


def test_key_of_another_workspace_by_then(busy):
    """Guards against a target that takes the request for the former workspace's."""
    entry, target = busy
    gate, _, second = queued_call(entry, target, bearer(ACME_KEY))
    install(entry, OTHER, workspace_v2("new", ACME_KEY))
    gate.set()
    assert second.get().status == 200
    assert dict(target.seen[1][1])["cairnferry-workspace"] == "new"


def test_workspaces_are_configured_while_a_request_waits(busy):
    """Guards against credentials that are forwarded although workspaces exist."""
    entry, target = busy
    install(entry)
    gate, _, second = queued_call(entry, target, bearer(ACME_KEY))
    install(entry, ACME)
    gate.set()
    assert second.get().status == 200
    headers = dict(target.seen[1][1])
    assert headers["cairnferry-workspace"] == "acme"
    assert "authorization" not in headers


def test_key_revoked_before_a_retry_of_a_refused_request(start, target):
    second = RecordingTarget()
    entry = start(targets=[target, second])

    def refuse(path):
        install(entry, OTHER)
        return REFUSAL

    target.behave = second.behave = refuse
    reply = call(entry, bearer(ACME_KEY))
    assert cause(reply) == (401, "key-unknown")
    assert len(target.seen) + len(second.seen) == 1
    second.stop()


def test_key_revoked_after_an_attempt_that_may_have_run(start, target):
    """Guards against `not-run` for a request that a target may have run."""
    second = RecordingTarget()
    entry = start(targets=[target, second])

    def lose(path):
        install(entry, OTHER)
        return b""

    target.behave = second.behave = lose
    reply = call(entry, bearer(ACME_KEY))
    document = json.loads(reply.body)
    assert (reply.status, document["outcome"]) == (502, "unknown")
    assert document["cause"] == "key-unknown"
    assert len(target.seen) + len(second.seen) == 1
    second.stop()


def test_key_revoked_while_a_connection_is_opened(entry, target):
    acquire = ConnectionPool.acquire

    def acquire_late(pool, *args):
        conn = acquire(pool, *args)
        if str(target.port) in str(pool):
            install(entry, OTHER)
        return conn

    with mock.patch.object(ConnectionPool, "acquire", acquire_late):
        assert cause(call(entry, bearer(ACME_KEY))) == (401, "key-unknown")
    assert target.seen == []


def test_request_that_outwaits_its_deadline_and_its_key(busy):
    """Guards against a Retry-After for a key that is refused anyway."""
    entry, target = busy
    headers = [bearer(ACME_KEY), ("Cairnferry-Timeout", "400")]
    gate, _, second = queued_call(entry, target, *headers)
    install(entry, OTHER)
    assert cause(second.get()) == (401, "key-unknown")
    gate.set()


def test_no_hedge_is_sent_with_a_revoked_key():
    """Guards against a second run of a request that is no longer allowed."""
    checked, answered = Event(), Event()

    def find_problem():
        checked.set()
        return Problem.KEY_UNKNOWN

    def send(req, attempt):
        answered.wait()
        return "reply"

    runtime, upstreams = mock.Mock(), mock.Mock(send=send)
    conclude = mock.Mock(return_value=("decision", "reply"))
    req = mock.Mock(find_problem=find_problem)
    attempts = HedgedAttempts(upstreams, None, conclude, req, runtime)
    task = gevent.spawn(attempts.run, mock.Mock(), 0.001)
    checked.wait()
    answered.set()
    assert task.get() == ("decision", "reply")
    runtime.policy.hedge.assert_not_called()


def test_revoked_request_whose_only_attempt_was_retired_is_given_up():
    """Guards against a request that waits for ever after its hanging target."""
    revoked = Event()
    attempt = mock.Mock()
    runtime = mock.Mock()
    runtime.policy.hanging_attempts.return_value = [attempt]
    runtime.policy.hedge.side_effect = lambda *_: revoked.set()
    runtime.policy.repeats_hedge_check = True
    upstreams = mock.Mock(send=lambda req, attempt: Event().wait())
    req = mock.Mock(find_problem=lambda: revoked.is_set() or None)
    attempts = HedgedAttempts(upstreams, None, mock.Mock(), req, runtime)
    decision, _ = attempts.run(attempt, 0.001)
    assert decision == GiveUp(Cause.KEY_UNKNOWN, REVOKED_RETRY_AFTER_S)
    runtime.retire.assert_called_once_with(attempt)


def test_steering_answers_need_no_key(start_entry, target, records_for):
    """Guards against callers that cannot learn where to send their key."""
    service, route, *others = records_for(target)
    route["spec"]["match"]["pathPrefix"] = "/"
    entry = start_entry(service, route, *others, ACME)
    answer = {"ttl_ms": 1000}
    app = entry.server.application
    with mock.patch.object(app, "steering", mock.Mock(answer=lambda *_: answer)):
        for options in ({}, {"method": "POST", "body": b"x"}):
            assert call(entry, path=STEERING_PATH, **options).status == 200
    assert call(entry, path="/other").status == 401


# -- what operators see -------------------------------------------------------------


def test_log_lines_name_the_workspace_and_no_key(entry, target, caplog):
    caplog.set_level(logging.INFO)
    target.behave = lambda path: b"" if "lost" in path else None
    call(entry, bearer(ACME_KEY))
    call(entry, bearer(ACME_KEY), path="/s/lost", method="POST", body=b"x")
    call(entry, bearer("wrong-s3cret"))
    lines = [record.__dict__ for record in caplog.records]
    named = {line["message"] for line in lines if line.get("workspace") == "acme"}
    assert {"request answered", "request given up"} <= named
    rejected = [line for line in lines if line["message"] == "request rejected"]
    assert rejected[0]["cause"] == "key-unknown"
    assert "s3cret" not in str(lines)
