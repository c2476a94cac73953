"""The peer protocol: proof of the key first, bounded frames, one answer a call."""

import random
import struct

import attrs
import gevent
import pytest
from gevent import socket

from cairnferry.coordination import LogRow, Member, MemberState, Note
from cairnferry.peers import (
    ByteMeter,
    Heartbeat,
    KeyFileFault,
    KeyRing,
    LimitState,
    PeerCallFailed,
    PeerLink,
    PeerServer,
    PermitsGiven,
    PermitsWanted,
)
from cairnferry.peers._handshake import greet
from cairnferry.standins import wait_for

OLD = "11" * 16
NEW = "22" * 16
MEMBER = Member("a", "z", "10.0.0.1:1", "10.0.0.1:2", 7, MemberState.LEAVING)
HEARTBEAT = Heartbeat(MEMBER, 9, 1.5, 800, (MEMBER,), (Note("t", "health", 2.0),))
FUZZ_ROUNDS = 200


@attrs.define
class Handler:
    """Echoes heartbeats; may be slow."""

    pause: float = 0.0
    rows: list = attrs.field(factory=list)
    heard: list = attrs.field(factory=list)

    def heartbeat(self, theirs):
        self.heard.append(theirs)
        gevent.sleep(self.pause)
        return attrs.evolve(theirs, revision=len(self.heard))

    def rows_from(self, first):
        return [row for row in self.rows if row.revision >= first]

    def snapshot(self):
        return b"\x00\xff" * 10

    def issue_permits(self, asker, wanted):
        self.heard.append((asker, wanted))
        return [PermitsGiven(each.limit, (0.0, 0.25), 0.1) for each in wanted]


@pytest.fixture
def keys(tmp_path):
    def make(name, *lines):
        path = tmp_path / name
        path.write_text("\n".join(lines) + "\n")
        ring = KeyRing(str(path))
        ring.load()
        return ring

    return make


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def server(handler, keys):
    server = PeerServer(("127.0.0.1", 0), handler, keys("server", OLD), ByteMeter())
    server.start()
    yield server
    server.stop()


def link_to(server, ring, timeout=5.0):
    return PeerLink(f"127.0.0.1:{server.port}", ring, ByteMeter(), timeout)


def test_heartbeats_go_both_ways_unchanged(server, handler, keys):
    link = link_to(server, keys("client", OLD))
    answer = link.heartbeat(HEARTBEAT)
    assert handler.heard == [HEARTBEAT]
    assert answer == attrs.evolve(HEARTBEAT, revision=1)


def test_heartbeats_carry_notes_on_limits(server, keys):
    notes = (Note("i-1", "limit 2.6", 3599.5),)
    link = link_to(server, keys("client", OLD))
    assert link.heartbeat(attrs.evolve(HEARTBEAT, limits=notes)).limits == notes


def test_permits_are_asked_for_and_given(server, handler, keys):
    limited = PermitsWanted(LimitState("i-1", 2.6, 0.5), "z", 3, 1)
    lifted = PermitsWanted(LimitState("i-2", float("inf"), 0.0), "z", 1)
    link = link_to(server, keys("client", OLD))
    given = link.ask_permits("a", (limited, lifted))
    assert handler.heard == [("a", [limited, lifted])]
    assert [each.limit for each in given] == [limited.limit, lifted.limit]
    assert given[0].delays == (0.0, 0.25)


def test_a_limit_that_is_no_number_ends_the_call(server, handler, keys):
    odd = PermitsWanted(LimitState("i-1", float("nan"), 0.0), "z", 1)
    link = link_to(server, keys("client", OLD))
    with pytest.raises(PeerCallFailed):
        link.ask_permits("a", (odd,))
    assert handler.heard == []


def test_an_age_that_is_unknown_stays_so(server, keys):
    link = link_to(server, keys("client", OLD))
    answer = link.heartbeat(attrs.evolve(HEARTBEAT, confirmed_age=float("inf")))
    assert answer.confirmed_age == float("inf")


def test_rows_come_in_frames_that_are_bounded(server, handler, keys):
    handler.rows = [LogRow(i, ({"text": "x" * 300_000},)) for i in range(1, 8)]
    link = link_to(server, keys("client", OLD))
    first = link.pull(1)
    assert [row.revision for row in first] == [1, 2, 3]
    assert link.pull(4)[0] == handler.rows[3]
    assert link.pull(8) == []
    assert link.snapshot() == b"\x00\xff" * 10


def test_another_key_is_refused_before_any_frame(server, handler, keys):
    with pytest.raises(PeerCallFailed):
        link_to(server, keys("client", NEW)).heartbeat(HEARTBEAT)
    assert handler.heard == []


def test_a_server_that_does_not_prove_the_key_is_not_believed(keys):
    """Symptom: a stranger feeds a daemon its configuration.

    Events: something else listens at a peer's address. Cause: only the side
    that connects was asked for proof.
    """

    def pretend(sock, address):
        sock.recv(100)
        sock.sendall(b"\x00" * 64)

    stranger = gevent.server.StreamServer(("127.0.0.1", 0), pretend)
    stranger.start()
    link = PeerLink(
        f"127.0.0.1:{stranger.server_port}", keys("client", OLD), ByteMeter(), 5
    )
    with pytest.raises(PeerCallFailed) as caught:
        link.heartbeat(HEARTBEAT)
    stranger.stop()
    assert caught.value.reason == "HandshakeFailed"


def test_keys_rotate_without_a_restart(server, handler, keys, tmp_path):
    old, new = keys("old", OLD), keys("new", NEW, OLD)
    (tmp_path / "server").write_text(f"{OLD}\n{NEW}\n")
    for ring in (old, new):
        link_to(server, ring).heartbeat(HEARTBEAT)
    (tmp_path / "server").write_text(f"{NEW}\n")
    with pytest.raises(PeerCallFailed):
        link_to(server, old).heartbeat(HEARTBEAT)
    link_to(server, new).heartbeat(HEARTBEAT)
    assert len(handler.heard) == 3


@pytest.mark.parametrize("text", ["", "zz\n", "1122\n", "\n\n"])
def test_a_faulty_key_file_is_told_without_its_content(tmp_path, text):
    path = tmp_path / "keys"
    path.write_text(text)
    with pytest.raises(KeyFileFault) as caught:
        KeyRing(str(path)).load()
    assert str(path) in str(caught.value)
    assert "1122" not in str(caught.value)


def test_a_key_file_that_vanishes_leaves_the_keys_in_use(keys, tmp_path):
    ring = keys("client", OLD)
    (tmp_path / "client").unlink()
    assert ring.own() == bytes.fromhex(OLD)
    assert OLD not in repr(ring)


def test_a_late_answer_is_not_taken_for_the_next_call(server, handler, keys):
    """Symptom: a daemon believes an old state of its peer.

    Events: a call runs into its timeout; its answer comes while the next call
    waits. Cause: the connection was kept.
    """
    link = link_to(server, keys("client", OLD), timeout=0.05)
    handler.pause = 0.1
    with pytest.raises(PeerCallFailed):
        link.heartbeat(HEARTBEAT)
    handler.pause = 0.0
    link.timeout = 5.0
    wait_for(lambda: handler.heard)
    assert link.heartbeat(attrs.evolve(HEARTBEAT, spare=1)).spare == 1


def fuzz_cases():
    rng = random.Random(3)
    yield struct.pack("!i", 2**31 - 1)
    yield struct.pack("!i", -1)
    yield struct.pack("!i", 0)
    for _ in range(FUZZ_ROUNDS):
        body = rng.randbytes(rng.randrange(1, 60))
        yield struct.pack("!i", len(body)) + body


def test_any_frame_after_the_handshake_leaves_the_server_sound(
    server, handler, keys, read_to_end
):
    ring = keys("client", OLD)
    for data in fuzz_cases():
        with socket.create_connection(("127.0.0.1", server.port)) as sock:
            greet(sock, ring)
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            read_to_end(sock)
    assert link_to(server, ring).heartbeat(HEARTBEAT)
    wait_for(lambda: server.connections <= 1)


@pytest.mark.parametrize("data", [b"", b"CFP1", b"GET / HTTP/1.1\r\n\r\n" + b"x" * 99])
def test_anything_but_the_handshake_is_closed(server, handler, data, read_to_end):
    with socket.create_connection(("127.0.0.1", server.port)) as sock:
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        assert read_to_end(sock) == b""
    assert handler.heard == []
