"""Command line of the daemon: faults in the settings are reported, one per line."""

import json
import signal
import socket
import subprocess
import sys

import pytest

from cairnferry.standins import free_port, start_child, wait_for

MODULE = "cairnferry.entry.command"


def run(*arguments):
    return subprocess.run(
        [sys.executable, "-m", MODULE, *arguments],
        capture_output=True,
        text=True,
        check=False,
    )


@pytest.fixture
def settings(tmp_path):
    (tmp_path / "keys").write_text("ab" * 16 + "\n")
    ports = {name: free_port() for name in ("callers", "operators", "peers")}
    lines = ["[instance]", "name = e1", "zone = z"]
    for name, port in ports.items():
        lines += [f"[{name}]", f"listen = 127.0.0.1:{port}"]
    lines.append(f"key_file = {tmp_path / 'keys'}")
    lines += ["[platform]"]
    lines += [f"{k} = 127.0.0.1:9" for k in ("table", "objects", "instances")]
    path = tmp_path / "d.ini"
    path.write_text("\n".join(lines) + "\n")
    return str(path), ports


def test_each_fault_in_settings_is_reported_in_one_line(settings):
    path, _ = settings
    done = run("--config", path, "--set", "callers.idle_s=x", "--set", "a.b=1")
    assert done.returncode == 2
    assert done.stderr.splitlines() == [
        "cairnferryd: options: [a] b: no such key",
        "cairnferryd: options: [callers] idle_s: "
        "expected a number from 0.1 to 3600 (s), not 'x'",
    ]


def test_check_accepts_valid_settings(settings):
    done = run("--config", settings[0], "--check")
    assert (done.returncode, done.stdout) == (0, "settings are good\n")


def test_missing_key_file_is_reported_in_one_line(settings, tmp_path):
    (tmp_path / "keys").unlink()
    done = run("--config", settings[0])
    assert done.returncode == 2
    assert str(tmp_path / "keys") in done.stderr
    assert len(done.stderr.splitlines()) == 1


def test_address_in_use_is_reported(settings):
    path, ports = settings
    with socket.create_server(("127.0.0.1", ports["callers"])):
        done = run("--config", path)
    assert done.returncode == 2
    assert "cannot listen" in done.stderr.splitlines()[-1]


def test_keys_option_prints_table():
    done = run("--keys")
    assert done.returncode == 0
    assert "| peers | fanout | whole number | - | 3 | 1 to 20 |" in done.stdout


def test_sigusr1_dumps_state_and_sigterm_stops_daemon(settings, tmp_path):
    log = tmp_path / "log"
    options = ["--set", "callers.answer_ttl_s=0.1", "--set", "drain.margin_s=0"]
    with log.open("w") as file:
        command = [sys.executable, "-m", MODULE, "--config", settings[0], *options]
        process = start_child(command, stderr=file)
    wait_for(lambda: '"serving"' in log.read_text())
    process.send_signal(signal.SIGUSR1)
    wait_for(lambda: '"dump": {' in log.read_text())
    process.send_signal(signal.SIGTERM)
    assert process.wait() == 0
    assert '"every_request_answered": true' in log.read_text()


def test_request_that_a_stop_cuts_is_logged_before_the_exit(settings, tmp_path):
    """Guards against a stop after which nothing tells which requests it has cut."""
    path, ports = settings
    log = tmp_path / "log"
    changes = ("callers.answer_ttl_s=0.1", "drain.margin_s=0", "drain.limit_s=0.3")
    options = [part for change in changes for part in ("--set", change)]
    with log.open("w") as file:
        command = [sys.executable, "-m", MODULE, "--config", path, *options]
        process = start_child(command, stderr=file)
    wait_for(lambda: '"serving"' in log.read_text())
    with socket.create_connection(("127.0.0.1", ports["callers"])) as caller:
        # The answer to the first request shows that the daemon has got the second one.
        caller.sendall(
            b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
            b"POST /a HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: 9\r\n\r\nabc"
        )
        assert caller.recv(100).startswith(b"HTTP/1.1 503")
        process.send_signal(signal.SIGTERM)
        assert process.wait() == 1
    lines = [json.loads(text) for text in log.read_text().splitlines()]
    (cut,) = [line for line in lines if line["message"] == "request cut by a stop"]
    assert (cut["level"], cut["stage"]) == ("WARNING", "reading")
    # Callers of this interface assign no IDs.
    assert (cut["request_id"], cut["at_work"]) == (None, [])
    assert cut["since_stop_s"] > 0
    (left,) = [line for line in lines if line["message"] == "left"]
    assert (left["level"], left["cut"]) == ("WARNING", {"reading": 1})


@pytest.mark.parametrize(
    ("command", "line"),
    [
        (
            ["platform"],
            "options: [platform] listen: is missing: expected IP:port",
        ),
        (
            ["target", "--set", "target.listen=here", "--set", "target.slots=0"],
            "options: [target] slots: expected a whole number from 1 to 10000, not '0'",
        ),
        (
            ["load", "--set", "load.rate=fast"],
            "options: [load] rate: expected a number from 0.1 to 100000 (1/s), "
            "not 'fast'",
        ),
    ],
)
def test_standins_check_their_settings(command, line):
    done = subprocess.run(
        [sys.executable, "-m", "cairnferry.standins.command", *command],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 2
    assert f"cairnferry-standin: {line}" in done.stderr.splitlines()
