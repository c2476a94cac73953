"""Complete local system of separate processes, for the demo, tests and benchmarks."""

import json
import pathlib
import secrets
import signal
import subprocess
import sys

import attrs

from cairnferry.settings import parse_address
from cairnferry.standins._child_processes import start_child
from cairnferry.standins._description import describe_process
from cairnferry.standins._ports import HOST, free_port
from cairnferry.standins._relay import Relay
from cairnferry.standins._target import read_journal
from cairnferry.standins._waiting import wait_for
from cairnferry.wire import Client, Reply

CONTROL_TIMEOUT_S = 5.0


@attrs.define(eq=False)
class Process:
    """A process that was started here.

    Attributes
    ----------
    name : str
        Name of the instance.
    zone : str
        Availability zone.
    addresses : dict of str to str
        "IP:port" by purpose, such as "callers", "operators" or "http".
    popen : subprocess.Popen
        Handle of the process.
    """

    name: str
    zone: str
    addresses: dict[str, str]
    popen: subprocess.Popen
    _clients: dict[str, Client] = attrs.field(factory=dict)

    def call(self, purpose, method, path, document=None, headers=()):
        """Send a request to one of the listeners and return its outcome.

        Parameters
        ----------
        purpose : str
            Key of `addresses`.
        method, path : str
            Method and path of the request line.
        document : dict, optional
            Sent as JSON.
        headers : sequence of (str, str), optional
            Additional headers.

        Returns
        -------
        Reply, NotSent or Incomplete
            Outcome of the exchange.
        """
        client = self._clients.get(purpose)
        if client is None:
            host, _, port = self.addresses[purpose].partition(":")
            client = self._clients[purpose] = Client(host, int(port))
        body = b"" if document is None else json.dumps(document).encode()
        return client.call(
            method, path, timeout=CONTROL_TIMEOUT_S, headers=headers, body=body
        )

    def read(self, purpose, path, document=None) -> dict | None:
        """Send a GET, or a POST with a document, and return the JSON of the response.

        Returns None if there is no response, or its status is 300 or more.
        """
        method = "GET" if document is None else "POST"
        outcome = self.call(purpose, method, path, document)
        if not isinstance(outcome, Reply) or outcome.status >= 300:
            return None
        return json.loads(outcome.body)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(number)

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self.popen.poll() is None


@attrs.define
class LocalSystem:
    """Starts the processes of a system, and kills all of them at the end.

    Use it as a context manager.

    Parameters
    ----------
    folder : pathlib.Path
        Folder for settings, keys, journals and logs.
    relayed : bool, optional
        Whether daemons reach the platform and each other through relays in this
        process, so that connections can be cut.

    Attributes
    ----------
    platform : Process or None
        The platform's stand-in.
    targets, daemons : dict of str to Process
        Targets and daemons by name.
    leaving : set of str
        Instances that `publish_instances` lists as leaving.
    platform_relays, peer_relays : dict of str to Relay
        Relays by the daemon's name: to the platform, and from peers to the daemon.
    peer_key : str
        Hexadecimal key that all daemons share.
    """

    folder: pathlib.Path
    platform: Process | None = None
    targets: dict[str, Process] = attrs.field(factory=dict)
    daemons: dict[str, Process] = attrs.field(factory=dict)
    leaving: set[str] = attrs.field(factory=set)
    relayed: bool = False
    platform_relays: dict[str, Relay] = attrs.field(factory=dict)
    peer_relays: dict[str, Relay] = attrs.field(factory=dict)
    peer_key: str = attrs.field(default="", repr=False)
    _processes: list[Process] = attrs.field(factory=list)

    def __enter__(self):
        self.peer_key = secrets.token_hex(32)
        return self

    def __exit__(self, *exc_info):
        self.kill_all()

    # -- starting ---------------------------------------------------------------

    def start_platform(self) -> Process:
        """Start the stand-in of the platform."""
        address = f"{HOST}:{free_port()}"
        arguments = ["platform", "--set", f"platform.listen={address}"]
        popen = self._popen("platform", "cairnferry.standins.command", arguments)
        self.platform = self._register(
            Process("platform", "-", {"http": address}, popen)
        )
        return self.platform

    def start_target(self, name, zone, **settings) -> Process:
        """Start a target; `settings` are keys of the section "target"."""
        address = f"{HOST}:{free_port()}"
        settings = {"listen": address, "name": name} | settings
        settings["journal"] = self.journal_path(name)
        arguments = ["target"]
        for key, value in settings.items():
            arguments += ["--set", f"target.{key}={value}"]
        self.journal_path(name).touch()
        popen = self._popen(name, "cairnferry.standins.command", arguments)
        process = self._register(Process(name, zone, {"http": address}, popen))
        self.targets[name] = process
        return process

    def journal_path(self, name) -> pathlib.Path:
        """Return the file in which a target records its requests."""
        return self.folder / f"{name}.journal"

    def start_daemon(self, name, zone, **settings) -> Process:
        """Start a daemon.

        A daemon that was started before under the same name keeps its addresses.

        Parameters
        ----------
        name : str
            Name of the instance.
        zone : str
            Availability zone.
        **settings
            Settings as SECTION__KEY=value.
        """
        previous = self.daemons.get(name)
        addresses = previous.addresses if previous else self._new_addresses(name)
        self.write_key(name, self.peer_key)
        path = self.folder / f"{name}.ini"
        path.write_text(self._settings_text(name, zone, addresses, settings))
        popen = self._popen(name, "cairnferry.entry.command", ["--config", str(path)])
        process = self._register(Process(name, zone, addresses, popen))
        self.daemons[name] = process
        return process

    def _new_addresses(self, name):
        purposes = ("callers", "operators", "peers")
        addresses = {p: f"{HOST}:{free_port()}" for p in purposes}
        addresses["platform"] = self.platform.addresses["http"]
        if self.relayed:
            relay = Relay(parse_address(addresses["platform"]).as_tuple())
            self.platform_relays[name] = relay
            addresses["platform"] = relay.address
            relay = Relay(parse_address(addresses["peers"]).as_tuple())
            self.peer_relays[name] = relay
            addresses["advertised"] = relay.address
        return addresses

    def write_key(self, name: str, key: str) -> None:
        """Write the key file of one daemon, which reloads the file when it changes."""
        (self.folder / f"{name}.keys").write_text(key + "\n")

    def _settings_text(self, name, zone, addresses, settings):
        platform = addresses["platform"]
        sections = {
            "instance": {"name": name, "zone": zone},
            "callers": {"listen": addresses["callers"], "answer_ttl_s": "2"},
            "operators": {"listen": addresses["operators"]},
            "peers": {
                "listen": addresses["peers"],
                "advertise": addresses.get("advertised", addresses["peers"]),
                "key_file": str(self.folder / f"{name}.keys"),
            },
            "platform": {
                "table": platform,
                "objects": platform,
                "instances": platform,
            },
            "policy": {"seed": "7"},
        }
        for compound_key, value in settings.items():
            section, _, key = compound_key.partition("__")
            sections.setdefault(section, {})[key] = str(value)
        lines = []
        for section, keys in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in keys.items()]
        return "\n".join(lines) + "\n"

    def start_load(self, outcomes: pathlib.Path, **settings) -> subprocess.Popen:
        """Start callers; the process prints a summary on standard output.

        Parameters
        ----------
        outcomes : pathlib.Path
            File for the outcome of each request.
        **settings
            Keys of the section "load".
        """
        arguments = ["load", "--set", f"load.outcomes={outcomes}"]
        for key, value in settings.items():
            arguments += ["--set", f"load.{key}={value}"]
        popen = start_child(
            [sys.executable, "-m", "cairnferry.standins.command", *arguments],
            stdout=subprocess.PIPE,
            text=True,
        )
        self._processes.append(Process("load", "-", {}, popen))
        return popen

    def _popen(self, name, module, arguments):
        log = open(self.folder / f"{name}.log", "ab")  # noqa: SIM115 - closed below
        with log:
            return start_child(
                [sys.executable, "-m", module, *arguments], stdout=log, stderr=log
            )

    def _register(self, process):
        self._processes.append(process)
        return process

    # -- waiting and reading ----------------------------------------------------

    def await_serving(self) -> None:
        """Wait until the platform, all targets and all daemons respond."""
        for process in [self.platform, *self.targets.values()]:
            wait_for(lambda p=process: p.read("http", "/_control") is not None)
        for process in self.daemons.values():
            wait_for(lambda p=process: p.read("operators", "/v1/status") is not None)

    def await_revision(self, revision: int, daemons=None) -> None:
        """Wait until a revision, or a later one, is in force at each daemon."""
        for process in daemons or self.daemons.values():
            wait_for(lambda p=process: self.revision_of(p) >= revision)

    def revision_of(self, daemon: Process) -> int:
        """Return the revision in force at a daemon; -1 if it does not respond."""
        document = daemon.read("operators", "/v1/status")
        return -1 if document is None else document["revision"]

    def await_members(self, count: int, daemons=None) -> None:
        """Wait until each daemon lists `count` live members, itself included."""
        for process in daemons or self.daemons.values():
            wait_for(lambda p=process: self.live_members(p) == count)

    def live_members(self, daemon: Process) -> int:
        """Return the number of live members that a daemon lists."""
        document = daemon.read("operators", "/v1/status")
        members = document["members"] if document else []
        return sum(member["state"] == "alive" for member in members)

    # -- changing -----------------------------------------------------------------

    def publish_instances(self) -> None:
        """Write all daemons and targets to the platform's list of instances."""
        groups = []
        purpose = "advertised" if self.relayed else "peers"
        roles = [("entry", purpose, self.daemons), ("target", "http", self.targets)]
        for role, purpose, processes in roles:
            for process in processes.values():
                labels = {
                    "__meta_name": process.name,
                    "__meta_zone": process.zone,
                    "__meta_role": role,
                }
                if process.name in self.leaving:
                    labels["__meta_state"] = "leaving"
                address = process.addresses[purpose]
                groups.append({"targets": [address], "labels": labels})
        self.platform.read("http", "/_control", {"instances": groups})

    def set_faults(self, **faults) -> None:
        """Change faults of the platform; the keys are those of `PlatformFaults`."""
        self.platform.read("http", "/_control", {"faults": faults})

    def set_target(self, name: str, **behaviour) -> None:
        """Change the behaviour of a target; the keys are those of `TargetBehaviour`."""
        self.targets[name].read("http", "/_control", behaviour)

    def run_ctl(self, *arguments, daemon=None) -> subprocess.CompletedProcess:
        """Run the operators' command-line tool, by default at the first daemon."""
        server = (daemon or next(iter(self.daemons.values()))).addresses["operators"]
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "cairnferry.ctl.command",
                "--server",
                server,
                *arguments,
            ],
            capture_output=True,
            text=True,
            check=False,
        )

    def target_events(self, name: str) -> dict[str, list[tuple[float, str, str]]]:
        """Return the requests that a target received and ran, as by `read_journal`.

        The target may have exited.
        """
        return read_journal(self.journal_path(name))

    def describe(self) -> str:
        """Return the state of all processes and the ends of their logs."""
        return "\n".join(
            describe_process(process, self.folder) for process in self._processes
        )

    # -- stopping ---------------------------------------------------------------

    def kill_all(self) -> None:
        """Kill every process that was started, and stop the relays."""
        for process in self._processes:
            if process.alive:
                process.signal(signal.SIGCONT)
                process.popen.kill()
        for process in self._processes:
            process.popen.wait()
        for relay in [*self.platform_relays.values(), *self.peer_relays.values()]:
            relay.stop()
