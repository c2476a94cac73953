"""The program as the platform runs it: start, signals, settings and exit."""

import fcntl
import json
import os
import pathlib
import signal
import subprocess
import sys

import gevent
import gevent.select
import pytest
from gevent.event import Event

from cairnferry.standins import start_child, unique_loopback_host, wait_for
from cairnferry.wire import Client, Reply
from hosting._settings import read_host_settings

from ._standins import configuration
from ._started import STARTED
from .conftest import settings_text

ROOT = pathlib.Path(__file__).parents[2]
# The program serves metrics on a fixed port of its instance's address, so each process
# of a test run needs its own address.
INSTANCE = unique_loopback_host(1)

# Size of the smallest pipe buffer that the kernel allows.
SMALLEST_PIPE_BYTES = 4096
DUMPS = 12
# Requests whose log lines exceed the pipe's buffer.
CUT = 8
MS_PER_S = 1000
DUMP_MESSAGE = b'"dump"'


class Program:
    """A process of the program, and its output."""

    def __init__(self, folder, text, output=None):
        self.settings = folder / "boot.conf"
        self.settings.write_text(text)
        self.output = open(output or folder / "out", "wb" if output else "w+")
        self.process = start_child(
            [sys.executable, "-m", "hosting"],
            cwd=folder,
            stdout=self.output,
            stderr=subprocess.STDOUT,
            env={
                **os.environ,
                "PYTHONPATH": str(ROOT / "platform"),
                "CAIRNFERRY_CONFIG": str(self.settings),
            },
        )
        STARTED.add(self.process, folder / "out")

    def text(self):
        self.output.flush()
        return (pathlib.Path(self.output.name)).read_text()

    def logged(self, message):
        lines = [line for line in self.text().splitlines() if line.startswith("{")]
        return [doc for doc in map(json.loads, lines) if doc["message"] == message]

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.output.close()


@pytest.fixture
def start(tmp_path):
    programs = []

    def start(text):
        program = Program(tmp_path, text)
        programs.append(program)
        return program

    yield start
    for program in programs:
        program.stop()


@pytest.fixture
def serving(store, start):
    """Return a program with rules in force, and its settings."""
    store.put("op", "config", configuration())
    text = settings_text(store.port, host=INSTANCE)
    program = start(text)
    wait_for(lambda: program.logged("in force"))
    return program, read_host_settings(text).ok


def send_request(cfg, request_id="r"):
    headers = [
        ("Cairnferry-Request-Id", request_id),
        ("Cairnferry-Deadline-Ms", "20000"),
    ]
    client = Client(INSTANCE, cfg.callers.port, host_name="shop.example")
    return client.call("GET", "/a/x", timeout=30, headers=headers)


def test_request_in_flight_is_answered_after_sigterm(serving, start_target, store):
    """Guards against orders that fail in a rolling restart of the instances."""
    program, cfg = serving
    gate = Event()
    target = start_target(behave=lambda number: gate)
    wait_for(lambda: program.logged("targets"))
    caller = gevent.spawn(send_request, cfg)
    target.arrived.wait()
    program.process.send_signal(signal.SIGTERM)
    wait_for(lambda: program.logged("leaving"))
    ready = Client(INSTANCE, cfg.ready.port).call("GET", "/api/ready", timeout=10)
    assert ready.status == 503
    gate.set()
    reply = caller.get()
    assert isinstance(reply, Reply)
    assert reply.status == 200
    wait_for(lambda: program.process.poll() is not None)
    assert program.process.returncode == 0
    assert program.logged("left")[0]["every_request_answered"] is True


def shortened(text):
    """Return settings with which a stop is short."""
    short = text.replace("bounds.grace=6s", "bounds.grace=2s")
    return short.replace("bounds.ttl_max=5s", "bounds.ttl_max=200ms")


def read_to_end(fd):
    """Return what is written to a pipe until all its writers are gone."""
    os.set_blocking(fd, False)
    text = b""
    while True:
        gevent.select.select([fd], [], [])
        part = os.read(fd, 65536)
        if not part:
            return text.decode()
        text += part


def test_request_that_a_stop_cuts_is_logged_before_the_exit(
    store, tmp_path, start_target
):
    """Guards against a stop after which nothing tells which requests it has cut.

    The pipe is small, so that most lines are still queued as the process ends.
    """
    store.put("op", "config", configuration())
    targets = [start_target(f"i-{n}", lambda number: Event()) for n in range(CUT)]
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, SMALLEST_PIPE_BYTES)
    text = shortened(settings_text(store.port, host=INSTANCE))
    cfg = read_host_settings(text).ok
    program = Program(tmp_path, text, writing)
    try:
        output = gevent.spawn(read_to_end, reading)
        ready = Client(INSTANCE, cfg.ready.port)
        wait_for(lambda: is_ready(ready))
        callers = [gevent.spawn(send_request, cfg, f"r-{n}") for n in range(CUT)]
        wait_for(lambda: sum(len(target.seen) for target in targets) == CUT)
        program.process.send_signal(signal.SIGTERM)
        program.output.close()
        lines = [json.loads(line) for line in output.get().splitlines()]
        assert program.process.wait() == 1
        assert not any(isinstance(each.get(), Reply) for each in callers)
    finally:
        program.stop()
        os.close(reading)
    cut = [line for line in lines if line["message"] == "request cut by a stop"]
    assert sorted(line["request_id"] for line in cut) == sorted(
        f"r-{n}" for n in range(CUT)
    )
    for line in cut:
        assert line["level"] == "WARNING"
        assert line["stage"] == "at-target"
        assert line["at_work"][0].startswith("i-")
        assert line["after_ms"] >= MS_PER_S * line["since_stop_s"]
    (left,) = [line for line in lines if line["message"] == "left"]
    assert left["level"] == "WARNING"
    assert left["cut"] == {"at-target": CUT}
    assert left["every_request_answered"] is False


def is_ready(client):
    reply = client.call("GET", "/api/ready", timeout=10)
    return isinstance(reply, Reply) and reply.status == 200


def test_stalled_log_reader_blocks_no_requests(store, tmp_path, start_target):
    """Guards against instances that stop answering when the log collector hangs.

    Standard output is not read, and its pipe fills up. A blocking write of a log line
    would then wait for space in the pipe.
    """
    store.put("op", "config", configuration())
    start_target()
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, SMALLEST_PIPE_BYTES)
    text = settings_text(store.port, host=INSTANCE)
    cfg = read_host_settings(text).ok
    program = Program(tmp_path, text, writing)
    try:
        wait_for(lambda: is_serving(cfg))
        # Each dump of the state is longer than the free space in the pipe.
        for _ in range(DUMPS):
            program.process.send_signal(signal.SIGUSR1)
            assert send_request(cfg).status == 200
        os.set_blocking(reading, False)
        written = b""
        while DUMP_MESSAGE not in written:
            gevent.select.select([reading], [], [], 10)
            written += os.read(reading, 65536)
    finally:
        program.stop()
        os.close(reading)


def is_serving(cfg):
    """Return whether the program answers a request."""
    reply = send_request(cfg)
    return isinstance(reply, Reply) and reply.status == 200


def test_reload_applies_changed_settings_and_rejects_faulty_ones(serving):
    program, cfg = serving
    text = program.settings.read_text()
    changed = text.replace("probes_per_s=60", "probes_per_s=30")
    program.settings.write_text(changed)
    program.process.send_signal(signal.SIGHUP)
    wait_for(lambda: program.logged("reload"))
    assert program.logged("reload")[0]["changed"] == ["bounds.probes_per_s=30"]
    program.settings.write_text(changed.replace("bounds.grace=6s", "bounds.grace=x"))
    program.process.send_signal(signal.SIGHUP)
    wait_for(lambda: program.logged("settings kept"))
    assert "grace" in program.logged("settings kept")[0]["why"][0]
    ready = Client(INSTANCE, cfg.ready.port).call("GET", "/api/ready", timeout=10)
    assert ready.status == 200


def test_program_exits_and_reports_all_faults_in_settings(start):
    program = start(settings_text(1).replace("zone=hall", "").replace("=6s", "=six"))
    assert program.process.wait() == 2
    assert "zone" in program.text()
    assert "grace" in program.text()
