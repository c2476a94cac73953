"""The callers' report."""

import json
import subprocess
import sys


def test_the_latencies_are_written_as_hdrhistogram_writes_them(start_target, tmp_path):
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
