"""The report of the callers, and their pipelined requests."""

import json
import subprocess
import sys

from cairnferry.standins._load import LoadPlan, Operation, run_load
from cairnferry.standins._pipelined import call_pipelined
from cairnferry.wire import Incomplete, NotSent


def test_latencies_are_written_in_the_hdrhistogram_format(start_target, tmp_path):
    target = start_target(service_ms=0)
    path = tmp_path / "latency.hgrm"
    settings = {
        "entries": f"127.0.0.1:{target.port}",
        "service": "s",
        "operations": "GET /s",
        "rate": 100,
        "seconds": 0.5,
        "steer": "no",
        "report": path,
    }
    command = [sys.executable, "-m", "cairnferry.standins.command", "load"]
    for key, value in settings.items():
        command += ["--set", f"load.{key}={value}"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stderr
    answered = json.loads(done.stdout)["outcomes"]["ok"]
    assert answered
    assert f"TotalCount     = {answered:>8}.000]" in path.read_text()


def test_each_pipelined_request_gets_its_response(
    start_entry, records_for, start_target
):
    target = start_target(service_ms=0, slots=64)
    route = {"idempotentMethods": ["GET"]}
    entry = start_entry(*records_for(target, route=route))
    plan = LoadPlan(
        (f"127.0.0.1:{entry.port}",),
        "s",
        (Operation("GET", "/s/a"), Operation("POST", "/s/b")),
        rate=30,
        seconds=0.5,
        timeout_ms=60_000,
        steer=False,
        pipeline_depth=3,
    )
    report = run_load(plan)
    assert report.outcomes
    assert {outcome for _, outcome in report.outcomes.values()} == {"ok"}
    assert entry.server.lookahead.total


def test_requests_after_connection_close_are_not_sent(serve_bytes):
    closing = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nx"
    port = serve_bytes(closing)
    first, second = call_pipelined(
        ("127.0.0.1", port), [b"GET / HTTP/1.1\r\n\r\n"] * 2, 5
    )
    assert (first.status, first.body) == (200, b"x")
    assert isinstance(second, NotSent)


def test_requests_after_a_truncated_response_are_incomplete(serve_bytes):
    port = serve_bytes(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx")
    outcomes = call_pipelined(("127.0.0.1", port), [b"GET / HTTP/1.1\r\n\r\n"] * 2, 5)
    assert [type(outcome) for outcome in outcomes] == [Incomplete, Incomplete]
