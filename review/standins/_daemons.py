"""Daemons of the deploy file, each in a process of its own."""

import asyncio
import os
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path

from standins._callers import send

ROOT = Path(__file__).resolve().parents[2]
ROLE = "entry"
START_S = 20.0
SETTINGS = """\
node_name={name}
role=entry
machine_class=front
serves=front,directory,control
ip={host}
zone={zone}
region=here
{zones}
listen.front={host}:{front}
listen.ready={host}:{ready}
listen.directory={host}:{directory}
listen.control={host}:{control}
port_range={first_port},{last_port}
seeds={seeds}
bootstrap=true
loss_counts=false
limits.cpu_share=0.86
limits.cpu_cores=1
limits.memory_mb=300
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
bounds.retry_budget_slack=60
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
PORTS = ("front", "ready", "directory", "control", "first_port")
_NETWORK = [random.randrange(16, 240), random.randrange(1, 250)]


def loopback_host(number: int) -> str:
    """Return a loopback address of this run; the number is from 1 to 250."""
    return f"127.{_NETWORK[0]}.{_NETWORK[1]}.{number}"


@dataclass
class Daemon:
    """A running daemon.

    Attributes
    ----------
    name, zone : str
        Name and zone of its machine.
    front, ready, control : tuple of (str, int)
        Addresses for requesters, for the readiness check, and of the seed.
    process : subprocess.Popen
        The process.
    """

    name: str
    zone: str
    front: tuple[str, int]
    ready: tuple[str, int]
    control: tuple[str, int]
    process: subprocess.Popen


class Fleet:
    """Starts daemons and ends them.

    Parameters
    ----------
    zones : list of str
        Zone of each daemon.
    """

    def __init__(self, zones: list[str]):
        self.zones = zones
        self.daemons: list[Daemon] = []
        self._folder = tempfile.TemporaryDirectory()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._command = shlex.split(deploy["roles"][ROLE]["run"])

    async def start(self, store_of) -> None:
        """Start all daemons and wait until each is ready.

        Parameters
        ----------
        store_of : callable
            Returns the address of the store for a daemon, given its number.
        """
        hosts = [loopback_host(number + 1) for number in range(len(self.zones))]
        ports = dict(zip(PORTS, _free_ports(hosts, len(PORTS)), strict=True))
        seeds = [(host, ports["control"]) for host in hosts[:3]]
        for number, host in enumerate(hosts):
            self._start_one(number, host, ports, seeds, store_of(number))
        async with asyncio.timeout(START_S):
            for daemon in self.daemons:
                while not await self._is_ready(daemon):
                    await asyncio.sleep(0.05)

    def _start_one(self, number, host, ports, seeds, store):
        name, zone = f"front-{number + 1}", self.zones[number]
        zones = "\n".join(f"zones.{each}=here" for each in sorted(set(self.zones)))
        text = SETTINGS.format(
            name=name,
            host=host,
            zone=zone,
            zones=zones,
            last_port=ports["first_port"] + 1,
            seeds=",".join(f"{each}:{port}" for each, port in seeds),
            store=f"{store[0]}:{store[1]}",
            **ports,
        )
        folder = Path(self._folder.name)
        settings = folder / f"{name}.conf"
        settings.write_text(text)
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CAIRNFERRY_CONFIG": str(settings),
        }
        with open(folder / f"{name}.log", "w") as log:
            process = subprocess.Popen(
                self._command, cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT
            )
        front, ready, control = (
            (host, ports[each]) for each in ("front", "ready", "control")
        )
        self.daemons.append(Daemon(name, zone, front, ready, control, process))

    async def _is_ready(self, daemon):
        if daemon.process.poll() is not None:
            raise RuntimeError(f"{daemon.name} ended: {self.log_of(daemon)[-2000:]}")
        sent = await send(daemon.ready, "GET", "ready", "/api/ready", deadline_ms=500)
        return sent.status == 200

    def log_of(self, daemon: Daemon) -> str:
        """Return what a daemon has written."""
        return (Path(self._folder.name) / f"{daemon.name}.log").read_text()

    def stop(self) -> None:
        """End all daemons."""
        for daemon in self.daemons:
            if daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGKILL)
        for daemon in self.daemons:
            daemon.process.wait()
        self._folder.cleanup()


def _free_ports(hosts, count):
    """Return ports that are free on all of these addresses, each with the next one."""
    found = []
    while len(found) < count:
        port = random.randrange(15000, 30000)
        if port not in found and all(_is_free(host, port) for host in hosts):
            found.append(port)
    return found


def _is_free(host, port):
    for each in (port, port + 1):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((host, each))
            except OSError:
                return False
    return True
