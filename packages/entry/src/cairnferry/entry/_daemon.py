"""The daemon: its parts, its tasks, its start and its end."""

import json
import logging
import random
import signal
import time

import attrs
import gevent
from gevent.event import Event

from cairnferry.coordination import ChangeLog, NoteBoard
from cairnferry.entry import _exposition
from cairnferry.entry._callers import BodyLimits, CallersApp
from cairnferry.entry._cluster import Cluster, new_membership
from cairnferry.entry._configuration import Configuration
from cairnferry.entry._distribution import Distribution
from cairnferry.entry._forward import Forwarder
from cairnferry.entry._gossip import Gossip
from cairnferry.entry._http_server import HttpServer
from cairnferry.entry._listing import Listing
from cairnferry.entry._metrics import Metrics
from cairnferry.entry._operators import OperatorsApp, TokenFile
from cairnferry.entry._probing import Probing
from cairnferry.entry._services import Services
from cairnferry.entry._steering import Steering
from cairnferry.entry._submissions import Submissions
from cairnferry.entry._upstreams import Upstreams
from cairnferry.peers import ByteMeter, KeyRing, PeerLinks, PeerServer
from cairnferry.platform import (
    InstanceList,
    ObjectStore,
    Signer,
    TableClient,
    read_credentials,
)
from cairnferry.policy import DrainSource, settings_for
from cairnferry.settings import Settings
from cairnferry.wire import Client

OPERATOR_CONNECTIONS = 64
LIST_POLL_FACTOR = 2
HOUSEKEEPING_S = 0.1
SHARE_OUT_ROUNDS = 10
START_RETRY_S = 0.2
PEER_TIMEOUT_S = 0.8
WRITE_PAUSE_S = 0.03

log = logging.getLogger(__name__)


@attrs.frozen
class Limits:
    """Limits of a listener.

    Attributes
    ----------
    max_connections : int
        Connections at the same time.
    idle_s, head_s : float
        Seconds between requests, and for a head to arrive.
    """

    max_connections: int
    idle_s: float
    head_s: float


class Daemon:
    """Everything that runs in one process.

    Parameters
    ----------
    cfg : Settings
        Checked settings.
    """

    def __init__(self, cfg: Settings):
        self._cfg = cfg
        seed = cfg.get("policy", "seed") or time.time_ns()
        self._rng = random.Random(seed)
        self.metrics = Metrics()
        self.services = Services(
            cfg.get("instance", "zone"),
            self._rng,
            self._tell_known,
            settings_for(cfg.get("policy", "strategy")),
        )
        self.upstreams = Upstreams(
            cfg.get("targets", "connect_s"), cfg.get("targets", "max_answer_bytes")
        )
        self.configuration = Configuration(self._install)
        self.notes = NoteBoard(self._note_draining)
        self._build_platform()
        self._build_peers()
        self._build_listeners()
        self._leaving = Event()
        self._tasks = []

    # -- parts ------------------------------------------------------------------

    def _build_platform(self):
        cfg = self._cfg
        path = cfg.get("platform", "credentials_file")
        credentials = read_credentials(path) if path else None
        region = cfg.get("platform", "region")
        timeout = cfg.get("platform", "timeout_s")
        self.table = TableClient(
            self._client("platform", "table"),
            cfg.get("platform", "table_name"),
            Signer(credentials, "dynamodb", region),
            timeout,
        )
        self.objects = ObjectStore(
            self._client("platform", "objects"),
            cfg.get("platform", "bucket"),
            Signer(credentials, "s3", region),
            timeout,
        )
        client = self._client("platform", "instances")
        self.instances = InstanceList(client, "/instances", timeout)

    def _client(self, section, name):
        address = self._cfg.get(section, name)
        return Client(address.host, address.port)

    def _build_peers(self):
        cfg = self._cfg
        membership = new_membership(
            cfg.get("instance", "name"),
            cfg.get("instance", "zone"),
            str(cfg.get("peers", "advertise") or cfg.get("peers", "listen")),
            str(cfg.get("callers", "listen")),
        )
        self.cluster = Cluster(membership, self.configuration, self.notes, self._spare)
        self.distribution = Distribution(
            ChangeLog(self.table, self._pause),
            self.objects,
            self.configuration,
            self.cluster,
            self._rng,
        )
        keys = KeyRing(cfg.get("peers", "key_file"))
        keys.load()
        self.peer_meter = ByteMeter()
        seeds = tuple(str(address) for address in cfg.get("peers", "seeds"))
        self.gossip = Gossip(
            self.cluster,
            self.distribution,
            PeerLinks(keys, self.peer_meter, PEER_TIMEOUT_S),
            cfg.get("peers", "interval_s"),
            cfg.get("peers", "fanout"),
            seeds,
        )
        address = cfg.get("peers", "listen").as_tuple()
        self.peer_server = PeerServer(address, self.gossip, keys, self.peer_meter)
        self.listing = Listing(self.instances, self.cluster, self.gossip, self.services)
        self.probing = Probing(
            self.cluster, self.services, self.metrics, self.gossip.hurry
        )

    def _build_listeners(self):
        cfg = self._cfg
        steering = Steering(
            self.cluster,
            cfg.get("instance", "zone"),
            cfg.get("callers", "answer_ttl_s"),
            cfg.get("callers", "shard"),
        )
        callers = CallersApp(
            self.services,
            Forwarder(self.upstreams),
            steering,
            self.metrics,
            BodyLimits(
                cfg.get("callers", "max_body_bytes"), cfg.get("callers", "body_s")
            ),
        )
        idle_s = cfg.get("callers", "idle_s")
        head_s = cfg.get("callers", "head_s")
        limits = Limits(cfg.get("callers", "max_connections"), idle_s, head_s)
        address = cfg.get("callers", "listen").as_tuple()
        self.callers_server = HttpServer(address, callers, limits)
        self.submissions = Submissions(
            self.distribution, self.configuration, self.gossip.hurry
        )
        operators = OperatorsApp(
            self.configuration,
            self.submissions,
            TokenFile(cfg.get("operators", "token_file")),
            self.status,
            self.dump,
            lambda: _exposition.render(self.dump()),
            self.leave,
        )
        limits = Limits(OPERATOR_CONNECTIONS, idle_s, head_s)
        address = cfg.get("operators", "listen").as_tuple()
        self.operators_server = HttpServer(address, operators, limits)

    # -- life -------------------------------------------------------------------

    def run(self) -> int:
        """Serve until told to leave; give the exit code."""
        self._start_listeners()
        gevent.signal_handler(signal.SIGTERM, self.leave)
        gevent.signal_handler(signal.SIGINT, self.leave)
        gevent.signal_handler(signal.SIGUSR1, self._print_dump)
        self._spawn(self.gossip.run)
        self._spawn(self._acquire_configuration)
        self._spawn(self.submissions.run)
        self._spawn(self._poll_head)
        self._spawn(self._poll_list)
        self._spawn(self._keep_house)
        log.info("serving", extra={"callers": str(self._cfg.get("callers", "listen"))})
        self._leaving.wait()
        return self._finish()

    def _start_listeners(self):
        self.peer_server.start()
        self.operators_server.start()
        self.callers_server.start()

    def _spawn(self, function):
        self._tasks.append(gevent.spawn(self._guard, function))

    def _guard(self, function):
        """Run a task for ever; an unforeseen error is logged and it goes on.

        A task that died unseen would leave a daemon that serves and looks well,
        but learns of no change any more.
        """
        while True:
            try:
                function()
                return
            except Exception:
                log.exception("task failed", extra={"task": function.__name__})
                gevent.sleep(1.0)

    def _acquire_configuration(self):
        """Get a first configuration: from the platform, else from peers."""
        while self.configuration.revision == 0:
            if self.distribution.refresh().is_ok():
                return
            # With the platform down, heartbeats bring it from a peer.
            gevent.sleep(START_RETRY_S)

    def _poll_head(self):
        interval = self._cfg.get("platform", "poll_s")
        while True:
            gevent.sleep(interval * (0.9 + 0.2 * self._rng.random()))
            if not self.distribution.should_poll():
                continue
            before = self.configuration.revision
            self.distribution.refresh()
            if self.configuration.revision > before:
                self.gossip.hurry()
            self.distribution.save_snapshot()

    def _poll_list(self):
        interval = self._cfg.get("platform", "poll_s") * LIST_POLL_FACTOR
        self.listing.refresh()
        while True:
            gevent.sleep(interval * (0.9 + 0.2 * self._rng.random()))
            if self.distribution.is_poller():
                self.listing.refresh()

    def _keep_house(self):
        rounds = 0
        while True:
            if rounds % SHARE_OUT_ROUNDS == 0:
                self.probing.share_out()
            self.probing.one_round()
            rounds += 1
            gevent.sleep(HOUSEKEEPING_S)

    def leave(self) -> None:
        """Begin to leave; a second call does nothing."""
        self._leaving.set()

    def _finish(self):
        """Leave without cutting a request.

        Callers keep a steering answer for its time to live. So this daemon
        serves on for that time after it dropped out of the answers.
        """
        log.info("leaving")
        self.cluster.membership.leave()
        self.gossip.hurry()
        ttl = self._cfg.get("callers", "answer_ttl_s")
        gevent.sleep(ttl + self._cfg.get("drain", "margin_s"))
        limit = self._cfg.get("drain", "limit_s")
        whole = self.callers_server.finish(limit)
        self.operators_server.finish(1.0)
        gevent.killall(self._tasks)
        self.peer_server.stop()
        self.upstreams.close()
        log.info("left", extra={"every_request_answered": whole})
        return 0 if whole else 1

    # -- what happens -----------------------------------------------------------

    def _install(self, records):
        self.services.install(records)
        self.upstreams.keep_only({t.address for t in self.services.targets()})

    def _note_draining(self, target_name, source, until):
        for runtime in self.services.active().values():
            runtime.policy.note_draining(target_name, DrainSource(source), until)

    def _tell_known(self, policy):
        now = time.monotonic()
        for note in self.notes.in_force(now):
            source = DrainSource(note.source)
            policy.note_draining(note.subject, source, now + note.remaining)

    def _pause(self, attempt):
        gevent.sleep(WRITE_PAUSE_S * attempt * (0.5 + self._rng.random()))
        return True

    def _spare(self):
        runtimes = self.services.active().values()
        return min((runtime.policy.spare for runtime in runtimes), default=1.0)

    # -- what is shown ----------------------------------------------------------

    def status(self) -> dict:
        """Give this daemon's view of all daemons, as plain values."""
        me = self.cluster.membership.me
        return {
            "instance": me.name,
            "zone": me.zone,
            "state": me.state.name.lower(),
            "revision": self.configuration.revision,
            "behind": str(self.configuration.behind.fault)
            if self.configuration.behind
            else None,
            **self.cluster.snapshot(),
        }

    def dump(self) -> dict:
        """Give this daemon's state, as plain values without secrets."""
        now = time.monotonic()
        meter = self.peer_meter
        return {
            **self.status(),
            "records": len(self.configuration.records.entries),
            "poller": self.distribution.is_poller(),
            "connections": {
                "callers": self.callers_server.connections,
                "callers_busy": self.callers_server.busy,
                "callers_refused": self.callers_server.refused_connections,
                "operators": self.operators_server.connections,
                "targets": self.upstreams.counts(),
            },
            "platform": {
                "table": attrs.asdict(self.table.meter),
                "objects": attrs.asdict(self.objects.meter),
                "instances": attrs.asdict(self.instances.meter),
            },
            "peers": {
                "sent_bytes": meter.sent,
                "received_bytes": meter.received,
                "messages": meter.messages,
                "rounds": self.gossip.rounds,
            },
            "services": {
                name: runtime.policy.snapshot(now)
                for name, runtime in self.services.active().items()
            },
            "metrics": self.metrics.snapshot(),
        }

    def _print_dump(self):
        log.info("dump", extra={"dump": json.loads(json.dumps(self.dump()))})
