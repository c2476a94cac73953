"""Measure the processor time of a start against an earlier commit: `make startup`."""

import os
import pathlib
import shutil
import socket
import subprocess
import sys
import tarfile
import tempfile
import tomllib

import attrs

ROOT = pathlib.Path(__file__).parents[1]
# The least of this many starts counts: other processes only add to the time.
RUNS = 7
DEPENDENCIES = "target/deps"
# Without the interpreter's own end, which a daemon that starts does not reach.
IMPORTS = ("-c", "import hosting.__main__, os; os._exit(0)")
DAEMON = ("-m", "hosting")
# Log line after which all listeners accept connections.
LISTENING = b'"serving"'
SETTINGS = """\
node_name=front-1
zone=hall
region=there
listen.front=127.0.0.1:{0}
listen.ready=127.0.0.1:{1}
listen.directory=127.0.0.1:{2}
listen.control=127.0.0.1:{3}
seeds=
port_range={4},{4}
limits.max_fds=4100
bounds.drain=2000ms
bounds.grace=6s
bounds.config_apply=2000ms
bounds.ttl_max=5s
bounds.retry_budget_ratio=0.2
bounds.retry_budget_slack=64
bounds.retry_window=10s
bounds.probes_per_s=60
platform.address=127.0.0.1:{5}
"""


@attrs.define
class Layout:
    """A tree of the sources, built as for a deployment.

    Parameters
    ----------
    name : str
        Name in the table.
    root : pathlib.Path
        Root of the tree.
    seconds : dict of str to list of float
        Processor times in seconds by what was started.
    """

    name: str
    root: pathlib.Path
    seconds: dict[str, list[float]] = attrs.field(factory=dict)

    def build(self) -> None:
        """Run the command by which the platform builds."""
        system = tomllib.loads((self.root / "deploy/system.toml").read_text())
        subprocess.run(["sh", "-c", system["build"]], cwd=self.root, check=True)

    def measure(self, folder: pathlib.Path) -> None:
        """Start once until all is imported, and once until the daemon listens."""
        self._note("imported", self._start(IMPORTS, folder, None))
        self._note("listening", self._start(DAEMON, folder, LISTENING))

    def _note(self, what, seconds):
        self.seconds.setdefault(what, []).append(seconds)

    def _start(self, arguments, folder, last_line):
        """Return the processor time of a process up to its end or to a log line."""
        settings = folder / "boot.conf"
        settings.write_text(SETTINGS.format(*_free_ports(6)))
        process = subprocess.Popen(
            [sys._base_executable, *arguments],
            cwd=folder,
            stdout=subprocess.PIPE,
            env={
                "PATH": os.environ["PATH"],
                "PYTHONPATH": str(self.root / DEPENDENCIES),
                "PYTHONDONTWRITEBYTECODE": "1",
                "CAIRNFERRY_CONFIG": str(settings),
            },
        )
        for line in process.stdout:
            if last_line is not None and last_line in line:
                process.kill()
                break
        _, status, usage = os.wait4(process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(status)
        process.stdout.close()
        if last_line is None and process.returncode:
            raise SystemExit(f"{self.name}: the start failed")
        return usage.ru_utime + usage.ru_stime


def _free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def main() -> int:
    """Measure the tree and an earlier commit in turn, and print a table."""
    ref = sys.argv[1]
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        layouts = [_unpack(ref, folder / "earlier"), Layout("now", ROOT)]
        # The current tree is built first, as the other one takes over its libraries.
        for layout in reversed(layouts):
            layout.build()
            if layout.root == ROOT:
                _copy_libraries(layouts[0].root)
        for _ in range(RUNS):
            for layout in layouts:
                layout.measure(folder)
    _print_table(*layouts)
    return 0


def _unpack(ref, folder):
    """Return the tree of a commit."""
    archive = subprocess.run(
        ["git", "archive", ref], cwd=ROOT, stdout=subprocess.PIPE, check=True
    ).stdout
    folder.mkdir()
    packed = folder.parent / "packed.tar"
    packed.write_bytes(archive)
    with tarfile.open(packed) as tar:
        tar.extractall(folder, filter="data")
    return Layout(ref, folder)


def _copy_libraries(root):
    """Use the libraries of the current tree if the commit needs the same ones."""
    requirements = "deploy/requirements.txt"
    if (root / requirements).read_text() == (ROOT / requirements).read_text():
        shutil.copytree(ROOT / DEPENDENCIES, root / DEPENDENCIES)


def _print_table(earlier, now):
    print(f"| processor seconds until | {earlier.name} | now | ratio |")
    print("| --- | --- | --- | --- |")
    for what, values in earlier.seconds.items():
        before, after = min(values), min(now.seconds[what])
        print(f"| {what} | {before:.3f} | {after:.3f} | {after / before:.2f} |")


if __name__ == "__main__":
    sys.exit(main())
