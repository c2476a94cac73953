"""Log lines while their reader stalls or is gone."""

import json
import logging
import os

import gevent
import pytest

from cairnferry.entry.telemetry import _log_lines
from cairnferry.entry.telemetry._log_lines import LineHandler


@pytest.fixture
def pipe():
    reading, writing = os.pipe()
    os.set_blocking(reading, False)
    yield reading, writing
    for fd in (reading, writing):
        try:
            os.close(fd)
        except OSError:
            continue  # The test has already closed it.


@pytest.fixture
def handler(pipe):
    line_handler = LineHandler(pipe[1])
    line_handler.setFormatter(logging.Formatter("%(levelname)s %(message)s"))
    yield line_handler
    line_handler.close()


def emit(handler, text, level=logging.INFO):
    handler.emit(logging.LogRecord("t", level, "", 0, text, (), None))


def read_all(fd):
    """Read until no more data is available at the moment."""
    data = b""
    while True:
        gevent.sleep(0)
        try:
            data += os.read(fd, 1 << 20)
        except BlockingIOError:
            return data


def test_lines_are_written_in_order(pipe, handler):
    for number in range(100):
        emit(handler, f"{number}")
    gevent.sleep(0)
    lines = read_all(pipe[0]).decode().splitlines()
    assert lines == [f"INFO {number}" for number in range(100)]


def test_lines_wait_for_a_stalled_reader_and_stay_whole(pipe, handler):
    texts = [f"{number} " + "x" * 1000 for number in range(300)]
    for text in texts:
        emit(handler, text)
        gevent.sleep(0)
    data = b""
    while data.count(b"\n") < len(texts):
        data += read_all(pipe[0])
    assert data.decode().splitlines() == [f"INFO {text}" for text in texts]
    assert handler.dropped == 0


def test_full_queue_drops_successes_before_failures(pipe, handler, monkeypatch):
    monkeypatch.setattr(_log_lines, "MAX_SUCCESS_BYTES", 100_000)
    monkeypatch.setattr(_log_lines, "MAX_WAITING_BYTES", 200_000)
    for _ in range(200):
        emit(handler, "x" * 1000)
    assert handler.dropped > 0
    before = handler.dropped
    emit(handler, "a failure", logging.WARNING)
    assert handler.dropped == before
    assert handler._waiting_bytes <= 200_000
    data = b""
    while b"a failure" not in data:
        data += read_all(pipe[0])


def test_dropped_lines_are_reported(pipe, handler, monkeypatch):
    monkeypatch.setattr(_log_lines, "MAX_SUCCESS_BYTES", 10)
    logged = []
    monkeypatch.setattr(
        _log_lines.log,
        "warning",
        lambda message, extra: logged.append((message, extra)),
    )
    emit(handler, "too long for the queue")
    emit(handler, "too long as well")
    emit(handler, "seen", logging.ERROR)
    gevent.sleep(0)
    assert read_all(pipe[0]) == b"ERROR seen\n"
    assert logged == [("log lines dropped", {"count": 2})]


def test_handler_survives_the_end_of_its_reader(pipe, handler):
    """Guards against a daemon that crashes when the log collector restarts."""
    writer = handler._task._greenlet
    os.close(pipe[0])
    while not handler.dropped:
        # gevent closes a descriptor in a later turn of its loop.
        emit(handler, "one")
        gevent.sleep(0)
    before = handler.dropped
    emit(handler, "two")
    gevent.sleep(0)
    assert handler.dropped == before + 1
    assert handler._task._greenlet is writer
    assert not writer.dead


def test_lines_are_written_to_a_file(tmp_path):
    with open(tmp_path / "log", "wb") as file:
        handler = LineHandler(file.fileno())
        handler.setFormatter(logging.Formatter(json.dumps({"m": "%(message)s"})))
        emit(handler, "hello")
        handler.close()
    assert json.loads((tmp_path / "log").read_text()) == {"m": "hello"}
