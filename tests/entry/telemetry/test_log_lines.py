"""Log lines that nobody reads for a while."""

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
            continue  # The test has closed it.


@pytest.fixture
def handler(pipe):
    made = LineHandler(pipe[1])
    made.setFormatter(logging.Formatter("%(levelname)s %(message)s"))
    yield made
    made.close()


def say(handler, text, level=logging.INFO):
    handler.emit(logging.LogRecord("t", level, "", 0, text, (), None))


def read_all(fd):
    """Read until there is nothing more for the moment."""
    data = b""
    while True:
        gevent.sleep(0)
        try:
            data += os.read(fd, 1 << 20)
        except BlockingIOError:
            return data


def test_lines_are_written_in_their_order(pipe, handler):
    for number in range(100):
        say(handler, f"{number}")
    gevent.sleep(0)
    lines = read_all(pipe[0]).decode().splitlines()
    assert lines == [f"INFO {number}" for number in range(100)]


def test_lines_wait_while_nobody_reads_and_none_is_torn(pipe, handler):
    texts = [f"{number} " + "x" * 1000 for number in range(300)]
    for text in texts:
        say(handler, text)
        gevent.sleep(0)
    data = b""
    while data.count(b"\n") < len(texts):
        data += read_all(pipe[0])
    assert data.decode().splitlines() == [f"INFO {text}" for text in texts]
    assert handler.dropped == 0


def test_without_room_successes_are_dropped_before_failures(pipe, handler, monkeypatch):
    monkeypatch.setattr(_log_lines, "MAX_SUCCESS_BYTES", 100_000)
    monkeypatch.setattr(_log_lines, "MAX_WAITING_BYTES", 200_000)
    for _ in range(200):
        say(handler, "x" * 1000)
    assert handler.dropped > 0
    before = handler.dropped
    say(handler, "a failure", logging.WARNING)
    assert handler.dropped == before
    assert handler._waiting <= 200_000
    data = b""
    while b"a failure" not in data:
        data += read_all(pipe[0])


def test_what_was_dropped_is_told_once_there_is_room(pipe, handler, monkeypatch):
    monkeypatch.setattr(_log_lines, "MAX_SUCCESS_BYTES", 10)
    told = []
    monkeypatch.setattr(
        _log_lines.log, "warning", lambda message, extra: told.append((message, extra))
    )
    say(handler, "too long for the room")
    say(handler, "too long as well")
    say(handler, "seen", logging.ERROR)
    gevent.sleep(0)
    assert read_all(pipe[0]) == b"ERROR seen\n"
    assert told == [("log lines dropped", {"count": 2})]


def test_a_reader_that_went_away_ends_nothing(pipe, handler):
    """Symptom: the daemon ends as its collector of logs is restarted."""
    os.close(pipe[0])
    while not handler.dropped:
        # gevent closes a descriptor in a later turn of its loop.
        say(handler, "one")
        gevent.sleep(0)
    before = handler.dropped
    say(handler, "two")
    gevent.sleep(0)
    assert handler.dropped == before + 1
    assert not handler._task.dead


def test_a_file_takes_lines_too(tmp_path):
    with open(tmp_path / "log", "wb") as file:
        handler = LineHandler(file.fileno())
        handler.setFormatter(logging.Formatter(json.dumps({"m": "%(message)s"})))
        say(handler, "hello")
        handler.close()
    assert json.loads((tmp_path / "log").read_text()) == {"m": "hello"}
