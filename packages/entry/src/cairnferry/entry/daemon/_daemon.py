"""The daemon for the default platform interface: change log, objects, operators."""

import json
import logging
import math
import signal

import attrs
import gevent

from cairnferry.cloudapi import (
    InstanceList,
    ObjectStore,
    Signer,
    TableClient,
    read_credentials,
)
from cairnferry.coordination import ChangeLog
from cairnferry.entry._ports import EntryRow
from cairnferry.entry.callers import BodyLimits
from cairnferry.entry.changelog import ChangeLogSync, Configuration
from cairnferry.entry.core import (
    Conventions,
    Core,
    CoreSettings,
    PeerSettings,
    default_memory_bytes,
)
from cairnferry.entry.daemon._blocked import TableBlocks
from cairnferry.entry.daemon._listing import LeavingTargets, ListedRegistry
from cairnferry.entry.http import ListenerLimits
from cairnferry.entry.members import Enrolment
from cairnferry.entry.operators import OperatorsApp, Submissions, TokenFile
from cairnferry.entry.targets import HealthProber
from cairnferry.entry.telemetry import render_metrics
from cairnferry.peers import KeyRing
from cairnferry.policy import LeavingTimes, LimitTolerance, settings_for
from cairnferry.records import Kind
from cairnferry.settings import Settings
from cairnferry.wire import Client

# Maximum number of operators' connections.
OPERATOR_CONNECTIONS = 64
# Interval between two polls of the list of instances, as a multiple of the interval
# between two polls of the head.
LIST_POLL_FACTOR = 2
# Seconds between two attempts to read the platform at the start.
START_RETRY_S = 0.2
# Pause in seconds before a write is retried, multiplied by the number of the attempt.
WRITE_PAUSE_S = 0.03
# Seconds between two rounds of probes.
PROBE_ROUND_S = 0.1
# Rounds of probes between two assignments of targets to this daemon.
ASSIGNMENT_ROUNDS = 10
# Seconds between two reads of the blocked requests while there are any. Otherwise they
# are read at the start only, and other daemons report new ones. A trial of a blocked
# request may be late by this time.
BLOCKED_POLL_S = 10.0

log = logging.getLogger(__name__)


class Daemon:
    """The daemon's parts, which all run in one process.

    Parameters
    ----------
    cfg : Settings
        Checked settings.
    """

    def __init__(self, cfg: Settings):
        self._cfg = cfg
        keys = KeyRing(cfg.get("peers", "key_file"))
        keys.load()
        self.core = core = Core(_core_settings(cfg), Conventions(), keys)
        self.configuration = Configuration(self._install)
        self._build_platform()
        self.blocked = TableBlocks(self.table)
        core.guard.table.rows = self.blocked
        self.change_log_sync = ChangeLogSync(
            ChangeLog(self.table, self._pause),
            self.objects,
            self.configuration,
            None,
            core.rng,
        )
        core.build_cluster(self.change_log_sync, self.configuration)
        self.change_log_sync.cluster = core.cluster
        leaving = LeavingTargets(core.cluster, core.gossip, core.services)
        self.enrolment = Enrolment(
            ListedRegistry(self.instances, leaving.report),
            EntryRow(
                core.cfg.name,
                core.cfg.zone,
                core.cfg.peers.advertise,
                str(core.cfg.callers),
            ),
            keys,
            core.cluster,
            core.gossip,
            core.rng,
        )
        self.prober = HealthProber(
            core.cluster, core.services, core.metrics, core.gossip.trigger_round
        )
        core.listen_for_callers(serve_steering=True)
        self._build_operators()

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

    def _build_operators(self):
        cfg = self._cfg
        self.submissions = Submissions(
            self.change_log_sync, self.configuration, self.core.gossip.trigger_round
        )
        operators = OperatorsApp(
            self.configuration,
            self.submissions,
            TokenFile(cfg.get("operators", "token_file")),
            self.core.state_view.status,
            self.dump,
            lambda: render_metrics(self.dump()),
            self.core.leave,
            self.core.guard.snapshot,
            self.core.guard.lift,
            self.core.workspace_limits.limiter.rows,
        )
        address = cfg.get("operators", "listen")
        limits = self.core.cfg.page_limits
        self.operators_server = self.core.listen(address, operators, limits)

    # -- life cycle -------------------------------------------------------------

    def run(self) -> int:
        """Serve until the daemon leaves; return the exit code."""
        gevent.signal_handler(signal.SIGUSR1, self._log_dump)
        tasks = [
            self._acquire_configuration,
            self.submissions.run,
            self._poll_head,
            self._poll_instances,
            self._poll_blocked,
            self._probe,
        ]
        return self.core.run(tasks)

    def _acquire_configuration(self):
        """Get the first configuration from the platform or from peers.

        Blocked requests are read before, as they would be sent otherwise.
        """
        while self.configuration.revision == 0:
            if self._read_blocked() and self.change_log_sync.refresh().is_ok():
                return
            # While the platform is unreachable, a peer sends the configuration after a
            # heartbeat.
            gevent.sleep(START_RETRY_S)

    def _poll_head(self):
        interval = self._cfg.get("platform", "poll_s")
        while True:
            gevent.sleep(interval * (0.9 + 0.2 * self.core.rng.random()))
            if not self.change_log_sync.should_poll():
                continue
            before = self.configuration.revision
            self.change_log_sync.refresh()
            if self.configuration.revision > before:
                self.core.gossip.trigger_round()
            self.change_log_sync.save_snapshot()

    def _poll_instances(self):
        interval = self._cfg.get("platform", "poll_s") * LIST_POLL_FACTOR
        self.enrolment.refresh()
        while True:
            gevent.sleep(interval * (0.9 + 0.2 * self.core.rng.random()))
            if self.change_log_sync.is_poller():
                self.enrolment.refresh()

    def _poll_blocked(self):
        """Read the requests that were blocked before this daemon started."""
        was_read = False
        while True:
            if not was_read or self.core.guard.snapshot():
                was_read = self._read_blocked() or was_read
            pause = BLOCKED_POLL_S if was_read else START_RETRY_S
            gevent.sleep(pause * (0.5 + self.core.rng.random()))

    def _read_blocked(self):
        """Apply the stored blocks; return whether they could be read."""
        read = self.blocked.read()
        if read.is_ok():
            self.core.guard.apply_rows(read.ok)
        return read.is_ok()

    def _probe(self):
        rounds = 0
        while True:
            if rounds % ASSIGNMENT_ROUNDS == 0:
                self.prober.assign_targets()
            self.prober.one_round()
            rounds += 1
            gevent.sleep(PROBE_ROUND_S)

    # -- events -----------------------------------------------------------------

    def _install(self, records):
        services = self.core.services
        # A deployment without any workspace serves callers without keys.
        workspaces = records.of_kind(Kind.WORKSPACE) or None
        index = self.core.workspaces.prepare(workspaces)
        if records is not self.configuration.records:
            # A newer revision was put in force while the workspaces were indexed.
            return
        self.core.workspaces.install(index)
        services.install(records)
        zones = records.of_kind(Kind.ZONE)
        evacuated = frozenset(zone.name for zone in zones if zone.evacuated)
        self.core.evacuate(evacuated, records.revision)
        self.core.upstreams.keep_only(services.targets())

    def _pause(self, attempt):
        gevent.sleep(WRITE_PAUSE_S * attempt * (0.5 + self.core.rng.random()))
        return True

    # -- state ------------------------------------------------------------------

    def dump(self) -> dict:
        """Return this daemon's state, as plain values without secrets."""
        document = self.core.state_view.dump()
        document["connections"]["operators"] = self.operators_server.connections
        return document | {
            "records": len(self.configuration.records.entries),
            "poller": self.change_log_sync.is_poller(),
            "platform": {
                "table": attrs.asdict(self.table.meter),
                "objects": attrs.asdict(self.objects.meter),
                "instances": attrs.asdict(self.instances.meter),
            },
        }

    def _log_dump(self):
        log.info("dump", extra={"dump": json.loads(json.dumps(self.dump()))})


def _core_settings(cfg: Settings) -> CoreSettings:
    listen = cfg.get("peers", "listen")
    idle_s = cfg.get("callers", "idle_s")
    head_s = cfg.get("callers", "head_s")
    ttl = cfg.get("callers", "answer_ttl_s")
    return CoreSettings(
        name=cfg.get("instance", "name"),
        zone=cfg.get("instance", "zone"),
        callers=cfg.get("callers", "listen"),
        caller_limits=ListenerLimits(
            cfg.get("callers", "max_connections"), idle_s, head_s
        ),
        page_limits=ListenerLimits(OPERATOR_CONNECTIONS, idle_s, head_s),
        bodies=BodyLimits(
            cfg.get("callers", "max_body_bytes"), cfg.get("callers", "body_s")
        ),
        answer_ttl_s=ttl,
        shard=cfg.get("callers", "shard"),
        peers=PeerSettings(
            listen,
            str(cfg.get("peers", "advertise") or listen),
            cfg.get("peers", "interval_s"),
            cfg.get("peers", "fanout"),
            tuple(str(address) for address in cfg.get("peers", "seeds")),
            cfg.get("instance", "link_bytes_per_s") or math.inf,
        ),
        connect_s=cfg.get("targets", "connect_s"),
        max_answer_bytes=cfg.get("targets", "max_answer_bytes"),
        policy=settings_for(cfg.get("policy", "strategy")),
        checks_per_s=0.0,
        leaving=LeavingTimes(
            ttl + cfg.get("drain", "margin_s"), cfg.get("drain", "limit_s")
        ),
        workspace_limits=LimitTolerance(
            cfg.get("workspaces", "limit_window_s"),
            cfg.get("workspaces", "limit_over"),
            cfg.get("workspaces", "limit_slack"),
        ),
        memory_bytes=cfg.get("callers", "memory_bytes") or default_memory_bytes(None),
        bodies_bytes=cfg.get("callers", "bodies_bytes") or math.inf,
        seed=cfg.get("policy", "seed"),
    )
