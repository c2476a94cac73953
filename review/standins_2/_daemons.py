"""Daemons as separate processes, with the settings of a small deployment."""

import asyncio
import os
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
MEMORY_MB = 300
PORTS = ("front", "ready", "control", "directory", "peer")
SETTINGS = """\
node_name={name}
role=entry
machine_class=front
serves=front,directory,control
ip={host}
zone={zone}
region=new-england
zones.worcester-hall=new-england
zones.lowell-hall=new-england
listen.front={host}:{front}
listen.ready={host}:{ready}
listen.control={host}:{control}
listen.directory={host}:{directory}
port_range={peer},{peer}
seeds={seeds}
bootstrap=true
loss_counts=false
limits.cpu_share=0.86
limits.cpu_cores=1
limits.memory_mb={memory_mb}
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=directory
heartbeat=1500ms
contracts=base,drain,config,cost,retry,recover,health,platform
fault_tolerance.nodes=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag=3s
bounds.addr_reuse=2s
bounds.contact=3000ms
bounds.ack=4000ms
bounds.sync_time=4s
bounds.drain=2000ms
bounds.grace=6s
bounds.lost_slack=200ms
bounds.config_apply=2000ms
bounds.rollback_slack=250ms
bounds.max_stretch=5000ms
bounds.retry_budget_ratio=0.2
bounds.retry_window=10s
bounds.retry_budget_slack=64
bounds.recover=15s
bounds.ttl_max=5s
bounds.probes_per_s=60
platform.address={store}
platform.form=table
platform.writes_per_s=400
platform.reads_per_s=2000
platform.tx=5ms
platform.partition_writes_s=200
platform.row_bytes=65536
platform.across=false
platform.history=20s
platform.blob_bytes=8388608
platform.blob=25ms
platform.blob_mb_s=80.0
"""


def loopback_host(number: int) -> str:
    """Return a loopback address that other runs do not use."""
    return f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250 + 1}.{number}"


def _free_ports(host, count):
    held = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in held]
    for each in held:
        each.close()
    return ports


class Daemon:
    """One machine of the system: its settings, and its process."""

    def __init__(self, record, folder, name, zone, number, store, seeds, **options):
        self.name = name
        self.host = loopback_host(number)
        self.ports = dict(zip(PORTS, _free_ports(self.host, len(PORTS)), strict=True))
        self.memory_mb = options.get("memory_mb", MEMORY_MB)
        self.process = None
        self._record = record
        self._log = folder / f"{name}.log"
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                host=self.host,
                store=store.address,
                seeds=",".join(seeds or [self.control]),
                memory_mb=self.memory_mb,
                **self.ports,
            )
        )

    @property
    def control(self) -> str:
        """Address for other daemons that start."""
        return f"{self.host}:{self.ports['control']}"

    @property
    def front(self) -> tuple[str, int]:
        """Address for requesters."""
        return self.host, self.ports["front"]

    def start(self) -> None:
        """Start the process, with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with open(self._log, "a") as output:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "CAIRNFERRY_CONFIG": str(self._settings),
                },
            )
        self._record.note("start", daemon=self.name, pid=self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._record.note("signal", daemon=self.name, signal=number.name)
        self.process.send_signal(number)

    def stop(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def memory_bytes(self) -> int:
        """Return the memory that the process holds; 0 if it has ended."""
        try:
            status = Path("/proc", str(self.process.pid), "status").read_text()
        except OSError:
            return 0
        found = re.search(r"^VmRSS:\s+(\d+) kB", status, re.MULTILINE)
        return int(found[1]) * 1024 if found else 0

    async def wait_until_ready(self, seconds: float = 15.0) -> bool:
        """Wait until the readiness check is answered with 200; return whether it is."""
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            if await self._is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def _is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ports["ready"]
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in await asyncio.wait_for(reader.readline(), 1.0)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()


def require_build() -> None:
    """End with code 2 if the deploy file's build is missing."""
    if not (ROOT / "target" / "deps" / "hosting").is_dir():
        print("no build: run the build line of deploy/system.toml first")
        sys.exit(2)
