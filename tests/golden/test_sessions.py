"""Compare whole sessions with golden files; `make golden` updates the files."""

import json
import re

import pytest
from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TFramedTransport, TMemoryBuffer

from cairnferry.coordination import LogRow, Member, MemberState, Note, Row, TableUpdate
from cairnferry.peers import Heartbeat, TableState
from cairnferry.peers._generated.peer import Peer
from cairnferry.peers._messages import (
    heartbeat_to_wire,
    row_to_wire,
    table_update_to_wire,
)
from cairnferry.standins import route_v2, service_v1, service_v2, target_v1, wait_for

# Patterns of text that differs between runs, and their placeholders.
VOLATILE = [
    (re.compile(r"\b[0-9a-f]{32}\b"), "<change-id>"),
    (re.compile(r"127\.0\.0\.1:[0-9]+"), "<address>"),
    (re.compile(r"Date: [^\r\n]+"), "Date: <date>"),
    (re.compile(r"head confirmed [^\n]+"), "head confirmed <age>"),
    (re.compile(r"( +)\n"), "\n"),
]


class TextExtension(SingleFileSnapshotExtension):
    _write_mode = WriteMode.TEXT
    file_extension = "txt"


@pytest.fixture
def golden(snapshot):
    return snapshot.use_extension(TextExtension)


def normalised(text):
    for pattern, replacement in VOLATILE:
        text = pattern.sub(replacement, text)
    return text


def write(folder, name, document):
    path = folder / name
    path.write_text(json.dumps(document))
    return str(path)


def test_a_session_of_an_operator(system, tmp_path, golden):
    """Check, submit, list, conflict, cut over, lose an answer and withdraw."""
    system.start_platform()
    system.start_daemon("e1", "zone-a")
    system.await_serving()
    old = service_v1("booking")
    first = [old, route_v2("r", "/booking", "booking")]
    first.append(target_v1("t", "booking", "zone-a", "10.0.0.1:80"))
    faulty = [service_v1("UPPER"), service_v1("x") | {"schema": 3}, {"schema": 2}]
    files = {
        "first.json": write(tmp_path, "first.json", first),
        "faulty.json": write(tmp_path, "faulty.json", faulty),
        "new.json": write(tmp_path, "new.json", service_v2("booking", 300)),
        "stale.json": write(
            tmp_path, "stale.json", {"revision": 1, "record": service_v2("booking")}
        ),
        "lone.json": write(tmp_path, "lone.json", route_v2("lone", "/l", "nowhere")),
    }
    transcript = []

    def run_ctl(*arguments):
        done = system.run_ctl(
            *[files.get(argument, argument) for argument in arguments]
        )
        transcript.append(f"$ cairnferry {' '.join(arguments)}\n")
        text = done.stdout + done.stderr
        for name, path in files.items():
            text = text.replace(path, name)
        transcript.append(text + f"[exit {done.returncode}]\n\n")

    run_ctl("check", "first.json")
    run_ctl("check", "faulty.json")
    run_ctl("list")
    run_ctl("submit", "first.json", "--change-id", "first")
    run_ctl("submit", "first.json", "--change-id", "first")
    run_ctl("submit", "new.json", "--change-id", "first")
    run_ctl("submit", "first.json")
    run_ctl("submit", "lone.json")
    run_ctl("diff", "new.json", "lone.json")
    run_ctl("replace", "new.json", "--change-id", "cutover")
    run_ctl("replace", "stale.json")
    run_ctl("show", "service/booking")
    run_ctl("list")
    run_ctl("change", "show", "cutover")
    run_ctl("change", "show", "never")
    run_ctl("status", "--wait", "2")
    run_ctl("withdraw", "service/booking")
    run_ctl("withdraw", "route/r", "target/t", "service/booking", "--change-id", "end")
    system.set_faults(outage="reset")
    run_ctl("submit", "first.json", "--change-id", "later")
    run_ctl("change", "show", "end")
    system.set_faults(outage="none")
    run_ctl("submit", "first.json", "--change-id", "later")
    run_ctl("list")
    assert normalised("".join(transcript)) == golden


def test_a_session_of_a_caller(start_entry, start_target, records_for, golden):
    """Compare relayed answers, errors generated here and refusals byte by byte."""
    target = start_target("t", service_ms=0, reports=False)
    route = {"idempotentMethods": ["GET"]}
    entry = start_entry(*records_for(target, route=route), max_body=10)
    transcript = []

    def exchange(text):
        transcript.append("".join(f"> {line}\n" for line in text.splitlines()))
        data = text.replace("\n", "\r\n").encode()
        answer = entry.raw(data).decode("latin-1")
        transcript.append("".join(f"< {line}\n" for line in answer.splitlines()) + "\n")

    close = "Host: h\nConnection: close\n"
    exchange(f"GET /s/a?b=c HTTP/1.1\n{close}X-Request-Id: one\n\n")
    exchange(f"HEAD /s HTTP/1.1\n{close}X-Request-Id: two\n\n")
    exchange(f"POST /s HTTP/1.1\n{close}X-Request-Id: three\nContent-Length: 2\n\nhi")
    exchange("GET /s HTTP/1.0\nX-Request-Id: four\n\n")
    exchange(f"GET /elsewhere HTTP/1.1\n{close}\n")
    exchange(f"GET /s HTTP/1.1\n{close}Cairnferry-Timeout: soon\n\n")
    exchange(f"POST /s HTTP/1.1\n{close}Content-Length: 99\n\n")
    exchange(f"GET /s HTTP/1.1\n{close}Content-Length: 1\nContent-Length: 2\n\n")
    target.behaviour.draining = target.behaviour.refuse_draining = True
    exchange(f"POST /s HTTP/1.1\n{close}Content-Length: 0\n\n")
    target.stop()
    wait_for(lambda: not target.in_use)
    assert normalised("".join(transcript)) == golden


def test_an_unknown_outcome(start_entry, start_target, records_for, golden):
    target = start_target("t", fault="cut-after-run")
    entry = start_entry(*records_for(target))
    answer = entry.raw(b"POST /s HTTP/1.1\r\nConnection: close\r\n\r\n")
    assert normalised(answer.decode()).replace("\r\n", "\n") == golden


def test_frames_between_peers(golden):
    """Compare the bytes of messages; a difference makes releases incompatible."""
    member = Member(
        "e1", "z", "10.0.0.1:1", "10.0.0.1:2", 1764670000000, MemberState.ALIVE
    )
    leaving = Member("e2", "z", "10.0.0.2:1", "10.0.0.2:2", 7, MemberState.LEAVING)
    heartbeat = Heartbeat(member, 9, 1.5, 800, (leaving,), (Note("t", "health", 2.0),))
    calls = {
        "heartbeat": lambda client: client.send_heartbeat(heartbeat_to_wire(heartbeat)),
        "pull": lambda client: client.send_pull(10),
        "snapshot": lambda client: client.send_snapshot(),
    }
    lines = []
    for name, call in calls.items():
        lines.append(f"{name} call {_frame(call)}\n")
    rows = Peer.pull_result(success=[row_to_wire(LogRow(10, ({"change_id": "c"},)))])
    lines.append(f"pull answer {_frame(lambda client: rows.write(client._oprot))}\n")
    assert "".join(lines) == golden


def _frame(call):
    buffer = TMemoryBuffer()
    transport = TFramedTransport(buffer)
    client = Peer.Client(TCompactProtocolAcceleratedFactory().getProtocol(transport))
    call(client)
    transport.flush()
    return buffer.getvalue().hex()


def test_frames_that_tell_of_tables(golden):
    """Compare the bytes of messages on tables, as in the previous test."""
    member = Member(
        "e1", "z", "10.0.0.1:1", "10.0.0.1:2", 1764670000000, MemberState.ALIVE
    )
    tables = (TableState("targets", 1234, 1.5),)
    heartbeat = Heartbeat(member, 9, 1.5, 800, (), (), tables)
    frame = _frame(lambda client: client.send_heartbeat(heartbeat_to_wire(heartbeat)))
    lines = [f"heartbeat call {frame}\n"]
    frame = _frame(lambda client: client.send_news_since("targets", 1200, None))
    lines.append(f"news call {frame}\n")
    rows = (Row("i-1", b"{}", 1230), Row("i-2", None, 1234))
    answer = Peer.news_since_result(
        success=table_update_to_wire(TableUpdate(False, rows, 1234))
    )
    lines.append(f"news answer {_frame(lambda client: answer.write(client._oprot))}\n")
    assert "".join(lines) == golden
