"""What every daemon consists of, whatever platform it runs on: its parts and life."""

import logging
import random
import signal
import time
from collections.abc import Callable

import gevent
from gevent.event import Event

from cairnferry.coordination import Note, NoteRegistry, lowest_ranked
from cairnferry.entry._ports import CallerLimits, Records
from cairnferry.entry.callers import (
    CallersApp,
    CrashGuard,
    Forwarder,
    StartupRetry,
    quarantine_board,
)
from cairnferry.entry.core._core_settings import Conventions, CoreSettings
from cairnferry.entry.core._state_view import StateView
from cairnferry.entry.http import HttpServer, Limits, PipelinedServer
from cairnferry.entry.members import (
    NO_STORE,
    Cluster,
    Gossip,
    PermitIssuers,
    Steering,
    WatcherRole,
    new_membership,
)
from cairnferry.entry.targets import (
    AdvisoryRecorder,
    CrashDetector,
    Limiter,
    LocalPermitIssuer,
    PermitRequester,
    Services,
    StatusChecks,
    Upstreams,
    limit_board,
)
from cairnferry.entry.telemetry import FaultyRows, Metrics
from cairnferry.peers import ByteMeter, KeyRing, PeerLinks, PeerServer, SharedKey
from cairnferry.policy import DrainSource
from cairnferry.settings import Address

# Seconds between two looks at how many instances there are: the shares are wrong for
# that long after some were lost or came, in sum by the part of those.
SHARE_UPDATE_S = 1.0
# Seconds for a call to a peer; zones are some milliseconds apart, a busy one is late.
PEER_TIMEOUT_S = 0.8
# Seconds after which a task that failed unforeseen begins again: one that fails at once
# each time fills neither the processor nor the log.
TASK_RETRY_S = 1.0

log = logging.getLogger(__name__)


class Core:
    """The parts of a daemon that are the same on every platform.

    Parameters
    ----------
    cfg : CoreSettings
        Checked settings.
    conventions : Conventions
        How callers and targets are spoken to.
    keys : KeyRing or SharedKey
        What peers prove themselves by.
    """

    def __init__(
        self, cfg: CoreSettings, conventions: Conventions, keys: KeyRing | SharedKey
    ):
        self.cfg = cfg
        self.rng = random.Random(cfg.seed or time.time_ns())
        self.metrics = Metrics()
        self.faulty_rows = FaultyRows(self.metrics)
        self.services = Services(cfg.zone, self.rng, self._tell_known, cfg.policy)
        self.upstreams = Upstreams(
            cfg.connect_s, cfg.max_answer_bytes, conventions.targets
        )
        self.limiter = Limiter(self.services.limits, self.metrics, self._tell_limit)
        self.advisory_recorder = AdvisoryRecorder(
            self.metrics, self.services.advisories
        )
        self.checks = StatusChecks(
            self.upstreams,
            self.metrics,
            cfg.checks_per_s,
            self.limiter,
            self.advisory_recorder,
        )
        self.guard = CrashGuard(self.metrics, self._accuse, self._is_first_for)
        self.crash_detector = CrashDetector(
            self.upstreams, self.metrics, self.guard.note_crash
        )
        self.notes = NoteRegistry(self._note_draining)
        self.keys = keys
        self.peer_meter = ByteMeter()
        self.conventions = conventions
        self.cluster = None
        self.instances = 1
        self._listeners = []
        self._tasks = []
        self._leaving = Event()
        self.leave_hooks: list[Callable[[], None]] = []
        self.reload = Event()

    # -- parts ------------------------------------------------------------------

    def build_cluster(self, records: Records, configuration) -> None:
        """Make the parts that speak to peers.

        Parameters
        ----------
        records : Records
            Where revisions come from.
        configuration : Configuration or Records
            Tells the revision in force.
        """
        cfg = self.cfg
        membership = new_membership(
            cfg.name, cfg.zone, cfg.peers.advertise, str(cfg.callers)
        )
        self.cluster = Cluster(membership, configuration, self.notes, self._spare)
        self.cluster.tables = records.tables
        self.cluster.on_listed = self.share_out
        self.cluster.suspicions = quarantine_board(self.guard.receive)
        self.cluster.limits = limit_board(self.limiter.receive)
        self.watcher_role = WatcherRole(self.cluster)
        links = PeerLinks(self.keys, self.peer_meter, PEER_TIMEOUT_S)
        self.gossip = Gossip(
            self.cluster,
            records,
            links,
            cfg.peers.interval_s,
            cfg.peers.fanout,
            cfg.peers.seeds,
        )
        self._share_limits(links)
        self.peer_server = PeerServer(
            cfg.peers.listen.as_tuple(), self.gossip, self.keys, self.peer_meter
        )
        self.steering = Steering(self.cluster, cfg.zone, cfg.answer_ttl_s, cfg.shard)

    def _share_limits(self, links):
        """Make the parts that ask for permits and give them."""
        givers = PermitIssuers(self.cluster)
        issuer = LocalPermitIssuer(self.limiter, givers, self.rng)
        self.gossip.permits = issuer.issue
        self.permits = PermitRequester(
            self.cfg.name, self.services, self.limiter, givers, issuer, links
        )

    def listen_for_callers(self, serve_steering: bool) -> HttpServer:
        """Make the callers' listener.

        Parameters
        ----------
        steer_on_it : bool
            Whether it also says which entry instances to use.
        """
        cfg = self.cfg
        app = CallersApp(
            self.services,
            Forwarder(
                self.upstreams,
                self.checks,
                self.crash_detector,
                self.guard,
                self.limiter,
                self.advisory_recorder,
            ),
            self.steering if serve_steering else None,
            self.metrics,
            cfg.bodies,
            self.conventions.callers,
            StartupRetry(time.monotonic(), self.cluster.others_have_rules),
        )
        self.callers_app = app
        address = cfg.callers.as_tuple()
        self.callers_server = PipelinedServer(address, app, cfg.caller_limits)
        self._listeners.append(self.callers_server)
        self.state_view = StateView(
            self.cluster,
            self.gossip,
            self.callers_server,
            self.upstreams,
            self.services,
            self.peer_meter,
            self.metrics,
            self.guard,
            self.limiter,
            self.advisory_recorder,
        )
        return self.callers_server

    def listen(self, address: Address, app, limits: Limits) -> HttpServer:
        """Make a further listener, which lives as long as the daemon."""
        server = HttpServer(address.as_tuple(), app, limits)
        self._listeners.append(server)
        return server

    # -- life -------------------------------------------------------------------

    def run(self, tasks: list[Callable[[], None]]) -> int:
        """Serve until told to leave; give the exit code.

        Parameters
        ----------
        tasks : list of callable
            Run beside the core's own ones as long as the daemon does.
        """
        gevent.signal_handler(signal.SIGTERM, self.leave)
        gevent.signal_handler(signal.SIGINT, self.leave)
        gevent.signal_handler(signal.SIGHUP, self.reload.set)
        gevent.signal_handler(signal.SIGUSR1, self.state_view.log_dump)
        self.start(tasks)
        return self.run_to_end()

    def run_to_end(self) -> int:
        """Wait until told to leave, leave, and give the exit code."""
        self._leaving.wait()
        return self._finish()

    def start(self, tasks: list[Callable[[], None]]) -> None:
        """Start the listeners and the tasks."""
        self.peer_server.start()
        for server in self._listeners:
            server.start()
        for task in (
            self.gossip.run,
            self._keep_house,
            self.guard.maintain,
            self.permits.run,
            *tasks,
        ):
            self.spawn(task)
        log.info("serving", extra={"callers": str(self.cfg.callers)})

    def stop(self) -> None:
        """End everything at once."""
        gevent.killall(self._tasks)
        for server in self._listeners:
            server.stop(timeout=0)
        self.peer_server.stop()
        self.upstreams.close()

    def spawn(self, function: Callable[[], None]) -> None:
        """Run a task as long as the daemon does."""
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
                name = getattr(function, "__qualname__", str(function))
                log.exception("task failed", extra={"task": name})
                gevent.sleep(TASK_RETRY_S)

    def _keep_house(self):
        while True:
            self.share_out()
            gevent.sleep(SHARE_UPDATE_S)

    def share_out(self) -> None:
        """Work out this instance's part of what all share."""
        self.instances = self.cluster.count_instances()
        targets = self.services.targets()
        self.checks.set_instances(self.instances, len(targets))
        self.limiter.forget_unlisted(targets)
        self.advisory_recorder.maintain(targets)
        for runtime in self.services.active().values():
            runtime.policy.set_instances(self.instances, self._place())

    def _tell_limit(self, note: Note, again: bool):
        if self.cluster.post_limit(note, again) or again:
            self.gossip.trigger_round()

    def _place(self):
        """Give where this instance stands among those of its zone; None if leaving."""
        membership = self.cluster.membership
        names = membership.own_zone_names()
        if membership.me.name not in names:
            return None
        return names.index(membership.me.name) / len(names)

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here: rules are known, and it stays."""
        return bool(self.services.revision) and not self._leaving.is_set()

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
        self.gossip.trigger_round()
        self.callers_server.announce_end()
        for farewell in self.leave_hooks:
            # None of them may hold up the end; it comes whether they are done or not.
            self.spawn(farewell)
        gevent.sleep(self.cfg.leaving.serve_s)
        whole = self.callers_server.finish(self.cfg.leaving.limit_s)
        for server in self._listeners:
            if server is not self.callers_server:
                server.finish(1.0)
        self.stop()
        log.info("left", extra={"every_request_answered": whole})
        return 0 if whole else 1

    def limit_callers(self, limits: CallerLimits) -> None:
        """Put limits of callers in force."""
        connections = self.cfg.caller_limits
        connections.head_s = limits.head_s
        connections.idle_s = limits.idle_s
        connections.head_bytes = limits.head_bytes
        self.cfg.bodies.size = limits.body_bytes

    # -- what happens -----------------------------------------------------------

    def evacuate(self, zones: frozenset[str], version: int) -> None:
        """Send no more requests to the targets of some availability zones.

        Parameters
        ----------
        zones : frozenset of str
            All zones that are evacuated.
        version : int
            Version of the record or row that says so, for the log.
        """
        before = self.services.evacuated
        if zones == before:
            return
        for zone in sorted(zones - before):
            log.info("zone evacuated", extra={"evacuated": zone, "version": version})
        for zone in sorted(before - zones):
            log.info("zone restored", extra={"restored": zone, "version": version})
        self.services.evacuate(zones)
        known = {target.zone for target in self.services.targets()}
        unknown = sorted(zones - known) if known else []
        if unknown:
            log.warning("no target in an evacuated zone", extra={"zones": unknown})

    def _note_draining(self, identity, source, until):
        if source == NO_STORE:
            # Of a daemon, not of a target; the duty to watch looks it up.
            return
        for runtime in self.services.active().values():
            runtime.policy.note_draining(identity, DrainSource(source), until)

    def _tell_known(self, policy):
        now = time.monotonic()
        policy.set_instances(self.instances, self._place())
        for note in self.notes.active_notes(now):
            if note.source == NO_STORE:
                continue
            source = DrainSource(note.source)
            policy.note_draining(note.subject, source, now + note.remaining)

    def _accuse(self, note: Note, again: bool):
        if self.cluster.post_suspicion(note, again) or again:
            self.gossip.trigger_round()

    def _is_first_for(self, content):
        """Tell whether this daemon acts for its zone on what concerns a request."""
        names = self.cluster.membership.own_zone_names()
        return lowest_ranked(content, names, 1) == [self.cfg.name]

    def _spare(self):
        runtimes = self.services.active().values()
        return min((runtime.policy.spare for runtime in runtimes), default=1.0)
