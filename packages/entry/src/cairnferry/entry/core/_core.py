"""Parts and life cycle of the daemon that do not depend on the platform."""

import logging
import random
import signal
import time
from collections.abc import Callable

import gevent
import gevent.socket
from gevent.event import Event

from cairnferry.coordination import Note, NoteRegistry, lowest_ranked
from cairnferry.entry._ports import CallerLimits, Records
from cairnferry.entry._restarting_task import RestartingTask
from cairnferry.entry.callers import (
    CrashGuard,
    CutLog,
    StartupHold,
    quarantine_note_registry,
)
from cairnferry.entry.core._allocator import (
    return_free_memory,
    return_large_blocks,
)
from cairnferry.entry.core._caller_apps import callers_app, detour_server
from cairnferry.entry.core._core_settings import Conventions, CoreSettings
from cairnferry.entry.core._state_view import StateView
from cairnferry.entry.core._workspace_limits import build_workspace_limits
from cairnferry.entry.detours import DetourClient
from cairnferry.entry.http import (
    HttpServer,
    ListenerLimits,
    Memory,
    PipelinedServer,
)
from cairnferry.entry.members import (
    STORE_UNREACHABLE,
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
    limit_note_registry,
)
from cairnferry.entry.telemetry import FaultyRowLog, Metrics
from cairnferry.entry.workspaces import WorkspaceRegistry
from cairnferry.peers import ByteMeter, KeyRing, PeerLinks, PeerServer, SharedKey
from cairnferry.policy import (
    ANSWER_S,
    Cause,
    Departure,
    DrainSource,
    LeavingTimes,
    PeerChoice,
)
from cairnferry.settings import Address
from cairnferry.wire import Link

# Seconds between two updates of this instance's share of common budgets. After
# instances are lost or added, the sum of all shares is wrong for this time, in
# proportion to their number.
SHARE_UPDATE_S = 1.0
# Seconds between two looks whether callers hold less than before, and the decrease in
# bytes from which free memory is returned to the system.
RETURN_MEMORY_S = 1.0
RETURNED_BYTES = 16 * 1024 * 1024
# Timeout of a call to a peer in seconds. Zones are some milliseconds apart, but a busy
# peer answers late.
PEER_TIMEOUT_S = 0.8
# Seconds for which callers' idle connections are kept once the listener is closed. A
# caller that does not notice the end of a connection gets an answer instead.
KEEP_IDLE_S = 0.5
# Seconds for which the listeners of pages finish their requests when the daemon leaves.
PAGES_FINISH_S = 0.3

MS_PER_S = 1000

log = logging.getLogger(__name__)


class Core:
    """The parts of a daemon that are the same on every platform.

    Parameters
    ----------
    cfg : CoreSettings
        Checked settings.
    conventions : Conventions
        Protocols of callers and targets.
    keys : KeyRing or SharedKey
        Keys by which peers authenticate.
    """

    def __init__(
        self, cfg: CoreSettings, conventions: Conventions, keys: KeyRing | SharedKey
    ):
        self.cfg = cfg
        self.rng = random.Random(cfg.seed or time.time_ns())
        self.metrics = Metrics()
        self.faulty_rows = FaultyRowLog(self.metrics)
        self.services = Services(cfg.zone, self.rng, self._apply_notes, cfg.policy)
        self.workspaces = WorkspaceRegistry()
        self.link = Link(cfg.peers.link_bytes_per_s)
        self.memory = Memory(cfg.memory_bytes, cfg.bodies_bytes)
        self.upstreams = Upstreams(
            cfg.connect_s, cfg.max_answer_bytes, conventions.targets, self.link
        )
        self.limiter = Limiter(self.services.limits, self.metrics, self._spread_limit)
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
        self.guard = CrashGuard(
            self.metrics, self._spread_suspicion, self._is_responsible_for
        )
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
        self._requests_finished = Event()
        self.departure = Departure(cfg.leaving)
        self.cut_log = CutLog(self.metrics)
        self.leave_hooks: list[Callable[[], None]] = []
        self.table_ages: Callable[[], dict[str, float]] = dict
        self.on_store_doubted: Callable[[], None] = lambda: None
        self.reload = Event()
        self.startup_hold = StartupHold(Event(), time.monotonic() + cfg.hold_s)

    # -- parts ------------------------------------------------------------------

    def build_cluster(self, records: Records, configuration) -> None:
        """Build the parts that communicate with peers.

        Parameters
        ----------
        records : Records
            Source of revisions.
        configuration : Configuration or Records
            Reports the revision in force.
        """
        cfg = self.cfg
        membership = new_membership(
            cfg.name, cfg.zone, cfg.peers.advertise, str(cfg.callers)
        )
        self.cluster = Cluster(membership, configuration, self.notes, self._spare_share)
        self.cluster.tables = records.tables
        self.cluster.on_listed = self.update_shares
        self.cluster.suspicions = quarantine_note_registry(self.guard.receive)
        self.cluster.block_notes = self.guard.block_notes
        self.cluster.limits = limit_note_registry(self.limiter.receive)
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
        self._build_permits(links)
        self.detours = DetourClient(
            self.cluster,
            PeerChoice(cfg.zone, self.rng),
            self.keys,
            cfg.max_answer_bytes,
            self.link,
        )
        self.cluster.is_cut_off = self._is_cut_off
        self.workspace_limits = build_workspace_limits(
            cfg, self.cluster, self.gossip, self.services, self.workspaces, links
        )
        self.peer_server = PeerServer(
            cfg.peers.listen.as_tuple(),
            self.gossip,
            self.keys,
            self.peer_meter,
            cfg.peers.max_connections,
        )
        self.steering = Steering(self.cluster, cfg.zone, cfg.answer_ttl_s, cfg.shard)

    def _build_permits(self, links):
        """Build the parts that request and issue permits."""
        issuers = PermitIssuers(self.cluster)
        issuer = LocalPermitIssuer(self.limiter, issuers, self.rng)
        self.gossip.permits = issuer.issue
        self.permits = PermitRequester(
            self.cfg.name, self.services, self.limiter, issuers, issuer, links
        )

    def listen_for_callers(
        self, serve_steering: bool, listener: gevent.socket.socket | None = None
    ) -> HttpServer:
        """Build the callers' listener.

        Parameters
        ----------
        serve_steering : bool
            Whether the listener also serves steering answers.
        listener : gevent.socket.socket, optional
            Socket that listens on the callers' address already.
        """
        cfg = self.cfg
        app = callers_app(self, self.steering if serve_steering else None)
        self.callers_app = app
        self.detour_server = detour_server(self)
        self.detour_server.on_cut = self.cut_log.observe(self.detour_server.application)
        self.peer_server.on_requests = self.detour_server.handle
        address = cfg.callers.as_tuple()
        self.callers_server = PipelinedServer(
            address, app, cfg.caller_limits, self.link, self.memory, listener
        )
        self.callers_server.on_cut = self.cut_log.observe(app)
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
            self.workspaces,
            self.workspace_limits.limiter,
            self.memory,
            lambda: self.table_ages(),
        )
        return self.callers_server

    def listen(
        self,
        address: Address,
        app,
        limits: ListenerLimits,
        listener: gevent.socket.socket | None = None,
    ) -> HttpServer:
        """Build a further listener, which runs for the daemon's lifetime.

        Parameters
        ----------
        address : Address
            Address to listen on.
        app : callable
            WSGI application.
        limits : ListenerLimits
            Limits of its connections.
        listener : gevent.socket.socket, optional
            Socket that listens on the address already.
        """
        server = HttpServer(address.as_tuple(), app, limits, listener, self.memory)
        self._listeners.append(server)
        return server

    # -- life cycle -------------------------------------------------------------

    def run(self, tasks: list[Callable[[], None]]) -> int:
        """Serve until the daemon leaves; return the exit code.

        Parameters
        ----------
        tasks : list of callable
            Functions to run for the daemon's lifetime, in addition to the core's own.
        """
        return_large_blocks()
        gevent.signal_handler(signal.SIGTERM, self.leave)
        gevent.signal_handler(signal.SIGINT, self.leave)
        gevent.signal_handler(signal.SIGHUP, self.reload.set)
        gevent.signal_handler(signal.SIGUSR1, self.state_view.log_dump)
        self.start(tasks)
        return self.run_to_end()

    def run_to_end(self) -> int:
        """Wait for the signal to leave, drain, and return the exit code."""
        self._leaving.wait()
        return self._drain()

    def start(self, tasks: list[Callable[[], None]]) -> None:
        """Start the listeners and the tasks."""
        self.peer_server.start()
        for server in self._listeners:
            server.start()
        for task in (
            self.gossip.run,
            self._update_shares_forever,
            self._return_memory_forever,
            self.guard.maintain,
            self.permits.run,
            self.workspace_limits.owner.run,
            *tasks,
        ):
            self.spawn(task)
        log.info(
            "serving",
            extra={
                "callers": str(self.cfg.callers),
                "cpu_ms": round(MS_PER_S * time.process_time()),
            },
        )

    def stop(self) -> None:
        """Stop all tasks, listeners and connections at once."""
        for task in self._tasks:
            task.stop()
        for server in self._listeners:
            server.stop(timeout=0)
        self.detour_server.cut()
        self.peer_server.stop()
        self.upstreams.close()

    def spawn(self, function: Callable[[], None]) -> None:
        """Run a function for the daemon's lifetime, or until it returns."""
        task = RestartingTask(function, self.metrics.note_task_restart)
        self._tasks.append(task)
        task.ensure_running()

    def _update_shares_forever(self):
        while True:
            self.update_shares()
            gevent.sleep(SHARE_UPDATE_S)

    def _return_memory_forever(self):
        while True:
            gevent.sleep(RETURN_MEMORY_S)
            if self.memory.take_decrease() >= RETURNED_BYTES:
                return_free_memory()

    def update_shares(self) -> None:
        """Update this instance's shares of the budgets common to all instances."""
        self.instances = self.cluster.count_instances()
        targets = self.services.targets()
        self.checks.set_instances(self.instances, len(targets))
        self.limiter.forget_unlisted(targets)
        self.advisory_recorder.maintain(targets)
        for runtime in self.services.active().values():
            runtime.policy.set_instances(self.instances, self._relative_rank())
        self.detours.close_unused()
        if self.workspaces.is_required:
            self.workspace_limits.maintain()

    def _is_cut_off(self):
        """Return whether peers serve requests whose targets this daemon lacks."""
        now = time.monotonic()
        return any(
            runtime.policy.paths.are_impaired()
            and self.detours.choice.is_served_elsewhere(name, now)
            for name, runtime in self.services.active().items()
        )

    def _spread_limit(self, note: Note, again: bool):
        if self.cluster.post_limit(note, again) or again:
            self.gossip.trigger_round()

    def _relative_rank(self):
        """Return the rank in the zone as a fraction, 0 to 1; None while leaving."""
        membership = self.cluster.membership
        names = membership.own_zone_names()
        if membership.me.name not in names:
            return None
        return names.index(membership.me.name) / len(names)

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here: it has rules and is not leaving."""
        return bool(self.services.revision) and not self._leaving.is_set()

    def leave(self) -> None:
        """Start to leave; further calls have no effect."""
        self.departure.begin(time.monotonic())
        self.cut_log.note_stop()
        self._leaving.set()

    def _drain(self):
        """Leave without interrupting a request; return the exit code.

        Callers cache a steering answer for its time to live. The daemon therefore
        continues to serve for that time after the answers no longer list it. What it
        takes during that time is decided by `Departure`.
        """
        log.info("leaving")
        self.cluster.membership.leave()
        self.gossip.trigger_round()
        self.callers_server.start_closing()
        self.detour_server.start_closing()
        for hook in self.leave_hooks:
            # The hooks run concurrently, so that no hook delays the shutdown.
            self.spawn(hook)
        self._wait_until(self.departure.serves_until)
        self.spawn(self._give_up_requests)
        pages = gevent.spawn(self._finish_pages)
        all_answered = self.callers_server.finish(self._time_to_finish(), KEEP_IDLE_S)
        all_answered &= self.detour_server.finish(self._time_to_finish())
        # No other task has run since, so that no request of a peer is in progress.
        self.departure.end()
        self._requests_finished.set()
        pages.join()
        all_answered &= not self.metrics.cut
        self.stop()
        self.cut_log.log_end(all_answered)
        return 0 if all_answered else 1

    def _time_to_finish(self):
        """Return the seconds that are left, also after a stall of the process."""
        return max(ANSWER_S, self.departure.ends_at - time.monotonic())

    def _finish_pages(self):
        """Finish the pages with the last request, or in time before the end."""
        left = self.departure.ends_at - PAGES_FINISH_S - time.monotonic()
        self._requests_finished.wait(max(0.0, left))
        pages = [each for each in self._listeners if each is not self.callers_server]
        gevent.joinall([gevent.spawn(each.finish, PAGES_FINISH_S) for each in pages])

    def _wait_until(self, moment):
        gevent.sleep(max(0.0, moment - time.monotonic()))

    def _give_up_requests(self):
        """Answer the requests that would be cut when the daemon ends."""
        self._wait_until(self.departure.ends_at - ANSWER_S)
        for runtime in self.services.active().values():
            runtime.give_up_waiting(Cause.LEAVING)
        self.callers_server.give_up()
        self.detour_server.give_up()

    def set_leaving_times(self, times: LeavingTimes) -> None:
        """Change the phases of a departure that has not begun."""
        if not self.departure.has_begun:
            self.departure.times = times

    def apply_caller_limits(self, limits: CallerLimits) -> None:
        """Put the limits of callers in force."""
        connections = self.cfg.caller_limits
        connections.head_s = limits.head_s
        connections.idle_s = limits.idle_s
        connections.head_bytes = limits.head_bytes
        self.cfg.bodies.size = limits.body_bytes

    # -- events -----------------------------------------------------------------

    def evacuate(self, zones: frozenset[str], version: int) -> None:
        """Stop sending requests to the targets of evacuated availability zones.

        Parameters
        ----------
        zones : frozenset of str
            All evacuated zones.
        version : int
            Version of the record or row that evacuates them, for the log.
        """
        before = self.services.evacuated
        if zones == before:
            return
        for zone in sorted(zones - before):
            log.info("zone evacuated", extra={"evacuated": zone, "version": version})
        for zone in sorted(before - zones):
            log.info("zone restored", extra={"restored": zone, "version": version})
        self.services.evacuate(zones)
        target_zones = {target.zone for target in self.services.targets()}
        without_targets = sorted(zones - target_zones) if target_zones else []
        if without_targets:
            log.warning(
                "no target in an evacuated zone", extra={"zones": without_targets}
            )

    def _note_draining(self, identity, source, until):
        if source == STORE_UNREACHABLE:
            # The note is on a daemon, not on a target; `WatcherRole` reads it.
            if identity != self.cfg.name:
                self.on_store_doubted()
            return
        for runtime in self.services.active().values():
            runtime.policy.note_draining(identity, DrainSource(source), until)

    def _apply_notes(self, policy):
        now = time.monotonic()
        policy.set_instances(self.instances, self._relative_rank())
        for note in self.notes.active_notes(now):
            if note.source == STORE_UNREACHABLE:
                continue
            source = DrainSource(note.source)
            policy.note_draining(note.subject, source, now + note.remaining)

    def _spread_suspicion(self, note: Note, again: bool):
        if self.cluster.post_suspicion(note, again) or again:
            self.gossip.trigger_round()

    def _is_responsible_for(self, content):
        """Return whether this daemon acts for its zone on a request's block."""
        names = self.cluster.membership.own_zone_names()
        return lowest_ranked(content, names, 1) == [self.cfg.name]

    def _spare_share(self):
        runtimes = self.services.active().values()
        return min((runtime.policy.spare for runtime in runtimes), default=1.0)
