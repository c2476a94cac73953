"""Records from two followed tables: one row with all rules, one row per target."""

import logging
import math
import time
from collections.abc import Callable

import attrs
import gevent
from gevent.event import Event

from cairnferry.coordination import CallContinuity, DocumentNews, Row
from cairnferry.entry._ports import ChangeFeed, DecodeFault, RecordDecoders, Rules
from cairnferry.entry.core import Core
from cairnferry.entry.following._evacuations import EVACUATIONS, Evacuations
from cairnferry.entry.following._following import Follower
from cairnferry.entry.following._handover import Handover, HandoverPages
from cairnferry.entry.following._rules_exchange import (
    DocumentRateLimit,
    RulesExchange,
)
from cairnferry.entry.following._rules_puller import RulesPuller
from cairnferry.entry.following._table import FollowedTable
from cairnferry.entry.following._table_watch import TableWatch
from cairnferry.entry.following._target_installer import TargetInstaller
from cairnferry.entry.following._target_rows import TargetRows
from cairnferry.entry.http import Page
from cairnferry.entry.workspaces import WorkspaceIndex
from cairnferry.peers import PeerLink

# Pause in seconds between two calls for targets. Without it, targets that start one
# after the other would cause one update each at every daemon. A target that leaves may
# still receive requests for two seconds.
TARGETS_COALESCE_S = 0.6

# Seconds between two updates of the age of the confirmed rules, and between two looks
# at all tables: a small part of the 10 s after which a daemon considers itself stale.
MAINTENANCE_S = 0.5
# Minimum seconds between two calls that verify that the store answers, as daemons that
# do not reach it report that again and again.
VERIFY_S = 3.0
# Name of the table of targets in messages between daemons.
TARGETS = "targets"
MS_PER_S = 1000
log = logging.getLogger(__name__)


@attrs.define
class FollowedRecords:
    """Puts the contents of two followed tables in force.

    Parameters
    ----------
    rules_feed, targets_feed : ChangeFeed
        Feeds of the two tables. Daemons exchange the rows of targets, the rules in
        force, and the other rows of the table of rules.
    rules_key : str
        Key of the row that holds all rules.
    decoders : RecordDecoders
        Decoders of the rows.
    core : Core
        Daemon in which the records are put in force.

    Attributes
    ----------
    behind : DecodeFault or None
        Reason for which a newer revision could not be applied.
    in_force : Event
        Set once rules are in force. The first rules come into force together with a
        known state of every table. A daemon with rules alone would send requests to
        evacuated zones, or refuse requests for want of targets.
    tables : dict of str to FollowedTable
        Tables that daemons exchange; others may be added before the start.
    """

    rules_feed: ChangeFeed
    targets_feed: ChangeFeed
    rules_key: str
    decoders: RecordDecoders
    core: Core
    behind: DecodeFault | None = None
    in_force: Event = attrs.field(factory=Event)
    _rules: Rules | None = None
    _has_handover: bool = False
    # Whether the rules that are held could be put in force as a whole.
    _is_installed: bool = False
    _workspaces: WorkspaceIndex = attrs.field(factory=WorkspaceIndex)
    _document: bytes = b""
    _exchange: RulesExchange = attrs.field(init=False)
    _puller: RulesPuller = attrs.field(init=False)
    _handovers: HandoverPages = attrs.field(init=False)
    _targets: TargetRows = attrs.field(init=False)
    _installer: TargetInstaller = attrs.field(init=False)
    tables: dict[str, FollowedTable] = attrs.field(factory=dict)
    _continuity: CallContinuity = attrs.field(factory=CallContinuity)
    _verified_at: float = -math.inf
    _rules_follower: Follower = attrs.field(init=False)
    _followers: list[Follower] = attrs.field(factory=list)
    _watch: TableWatch = attrs.field(init=False)

    def __attrs_post_init__(self):
        rate_limit = DocumentRateLimit(self.core.cfg.peers.link_bytes_per_s)
        self._exchange = RulesExchange(rate_limit)
        self._puller = RulesPuller(
            self._exchange, lambda: self._held_revision, self.apply, self.core.rng
        )
        self._handovers = HandoverPages(self.handover, rate_limit.admit)
        self._targets = TargetRows(
            self.decoders.target, self.core.faulty_rows, self._apply_targets
        )
        self._installer = TargetInstaller(self.core, self._targets)
        self._rules_follower = Follower(
            "rules",
            self.rules_feed,
            self._apply_rules,
            self.core.rng,
            note_call=self.core.metrics.note_store_call,
            is_watcher=self._is_watcher,
            on_failure=self._report_failure,
            continuity=self._continuity,
            is_doubted=self._is_doubted,
        )
        self._followers.append(self._rules_follower)
        self._watch = TableWatch(self._followers)
        self.core.table_ages = lambda: self._watch.ages(time.monotonic())
        self.core.on_store_doubted = self._verify_store
        evacuations = Evacuations(self.decoders.evacuated, self._evacuate)
        # Listed before the targets, so that a starting daemon has the evacuated zones
        # before it has targets.
        secondary = FollowedTable(
            EVACUATIONS, evacuations.apply_rows, self._install_when_complete
        )
        self.tables[EVACUATIONS] = secondary
        self._rules_follower.split(secondary, lambda key: key == self.rules_key)
        self.follow_shared_table(
            TARGETS, self.targets_feed, self._apply_targets, TARGETS_COALESCE_S
        )

    def _evacuate(self, zones, version):
        self.core.evacuate(zones, version)
        self.core.gossip.trigger_round()

    def _is_watcher(self):
        return self.core.watcher_role.is_active()

    def _verify_store(self):
        now = time.monotonic()
        if now >= self._verified_at + VERIFY_S:
            self._verified_at = now
            self._rules_follower.verify()

    def _is_doubted(self):
        return self.core.watcher_role.is_store_doubted()

    def _report_failure(self):
        if self.core.watcher_role.report_store_failure():
            self.core.gossip.trigger_round()

    def follow_shared_table(
        self,
        name: str,
        feed: ChangeFeed,
        on_change: Callable[[dict[str, Row]], None],
        coalesce_s: float,
    ) -> None:
        """Follow one more table, whose updates daemons exchange.

        Parameters
        ----------
        name : str
            Name of the table in logs and in messages between daemons.
        feed : ChangeFeed
            Feed of the table.
        on_change : callable
            Called with all rows by key, whenever they change.
        coalesce_s : float
            Pause in seconds between two calls.
        """
        follower = Follower(
            name,
            feed,
            on_change,
            self.core.rng,
            coalesce_s,
            self.core.metrics.note_store_call,
            self._is_watcher,
            self._report_failure,
            self._continuity,
            self._is_doubted,
        )
        follower.table.on_known = self._install_when_complete
        self._followers.append(follower)
        self.tables[name] = follower.table

    @property
    def revision(self) -> int:
        """Revision of the rules in force; 0 before the first."""
        return self._rules.revision if self.in_force.is_set() else 0

    @property
    def _held_revision(self):
        """Revision of the rules that are in force or wait for tables."""
        return self._rules.revision if self._rules else 0

    @property
    def awaited_tables(self) -> list[str]:
        """Names of the tables without which the first rules do not come into force.

        A handover holds what a daemon needs; it omits the table of instances.
        """
        if self._has_handover:
            return []
        return sorted(name for name, each in self.tables.items() if not each.is_known)

    def tasks(self) -> list[Callable[[], None]]:
        """Return the functions to run for the daemon's lifetime."""
        for follower in self._followers:
            others = [each for each in self._followers if each is not follower]
            follower.partners.extend(others)
        return [self._maintain, *(follower.run for follower in self._followers)]

    def _maintain(self):
        """Report the last confirmation, and look after the tables, periodically."""
        while True:
            gevent.sleep(MAINTENANCE_S)
            self._report_confirmation()
            self._watch.check(time.monotonic())
            for table in (self._rules_follower.table.main, *self.tables.values()):
                table.retry_unapplied()
            if self.in_force.is_set() and not self._is_installed:
                self._install(self.revision)

    def _report_confirmation(self):
        confirmed_at = self._rules_follower.confirmed_at
        if confirmed_at is not None:
            self.core.cluster.confirmation.confirm(confirmed_at)

    # -- rules ------------------------------------------------------------------

    def _apply_rules(self, rows):
        row = rows.get(self.rules_key)
        if row is not None:
            self.apply(row.value)

    def apply(self, document: bytes) -> bool:
        """Accept a document if it is newer; return whether it was.

        A document that cannot be read has no effect. Older rules are ignored, as they
        may come from a late answer or from a peer that lags behind. The first rules
        come into force once all tables are known.

        Parameters
        ----------
        document : bytes
            Document that holds all rules.
        """
        document = self.decoders.redact(document)
        decoded = self.decoders.rules(document).bind(Rules.check_references)
        if decoded.is_error():
            self.behind = decoded.error
            self.core.metrics.faulty_rows["rules"] += 1
            log.error(
                "rules cannot be read",
                extra={"why": str(decoded.error), "in_force": self.revision},
            )
            return False
        rules = decoded.ok
        if rules.revision <= self._held_revision:
            return False
        workspaces = self.core.workspaces.prepare(rules.workspaces)
        if rules.revision <= self._held_revision:
            # Newer rules were applied while the workspaces were indexed.
            return False
        before = self.revision
        self._rules = rules
        self._workspaces = workspaces
        self._document = document
        self.behind = None
        if before:
            self._install(before)
        else:
            self._install_when_complete()
        self._exchange.add(rules.revision, document)
        return True

    def _install_when_complete(self):
        """Put the first rules in force once all tables are known."""
        if self._rules is None or self.in_force.is_set():
            return
        awaited = self.awaited_tables
        if awaited:
            log.info(
                "rules wait for tables",
                extra={"revision": self._rules.revision, "awaited": awaited},
            )
            return
        self.in_force.set()
        self._install(before=0)

    def _install(self, before):
        self._is_installed = False
        # Peers would steer callers away from a daemon that reports no confirmation yet.
        self._report_confirmation()
        rules = self._rules
        services = self.core.services
        self.core.workspaces.install(self._workspaces)
        services.install_rules(rules.revision, rules.services, rules.routes)
        self._installer.install(rules.services)
        self.core.apply_caller_limits(rules.limits)
        self._is_installed = True
        log.info(
            "in force",
            extra={
                "revision": rules.revision,
                "before": before,
                "routes": len(rules.routes),
                "services": len(rules.services),
                "cpu_ms": round(MS_PER_S * time.process_time()),
            },
        )
        self.core.startup_hold.in_force.set()
        self.core.gossip.trigger_round()

    def redecode_rules(self) -> None:
        """Decode the rules in force again, after settings of the decoder changed."""
        decoded = None
        document = None
        while document is not self._document:
            # Newer rules may be applied while these are decoded.
            document = self._document
            decoded = self.decoders.rules(document)
        if self._rules is None or decoded.is_error():
            return
        self._rules = decoded.ok
        if self.in_force.is_set():
            self.core.workspaces.install(self._workspaces)
            self.core.services.install_rules(
                self._rules.revision, self._rules.services, self._rules.routes
            )

    # -- targets ----------------------------------------------------------------

    def _apply_targets(self, rows):
        self._targets.apply_rows(rows)
        if self.in_force.is_set():
            self._installer.install(self._rules.services)

    # -- peers ------------------------------------------------------------------

    def rows_from(self, first: int) -> list:
        """Return no rows: only the newest rules are held, and no change log."""
        return []

    def snapshot(self) -> bytes:
        """Return the rules in force, for a peer of an earlier release."""
        return self._document

    def document_since(self, revision: int) -> DocumentNews:
        """Return the update of the rules for a peer that holds a revision."""
        return self._exchange.update_since(revision)

    def handover(self) -> Handover:
        """Return the records in force, for a daemon that starts in an outage.

        It has no rules if none are in force.
        """
        document = self._document if self.in_force.is_set() else b""
        targets, evacuations = (
            self.tables[name].copy.news_since(0) for name in (TARGETS, EVACUATIONS)
        )
        return Handover(document, targets, evacuations)

    def handover_page(self, url: str) -> Page:
        """Answer a daemon's request for the records in force."""
        return self._handovers.page(url)

    def apply_handover(self, handover: Handover, source: str) -> bool:
        """Apply another daemon's records; return whether rules are in force then.

        Newer records from the store or from peers take precedence.

        Parameters
        ----------
        handover : Handover
            Records of the other daemon.
        source : str
            Address of the other daemon, for logs.
        """
        self.tables[EVACUATIONS].apply_update(handover.evacuations)
        self.tables[TARGETS].apply_update(handover.targets)
        if not self.tables[TARGETS].is_known:
            # A daemon of an earlier release hands over rules before it has targets.
            log.info("handover without targets", extra={"from": source})
            return False
        self._has_handover = True
        self.apply(handover.rules)
        self._install_when_complete()
        if not self.in_force.is_set():
            return False
        log.info(
            "applied a handover from another daemon",
            extra={"from": source, "revision": self.revision},
        )
        return True

    def pull_from(self, link: PeerLink, offered: int) -> None:
        """Fetch newer rules from a peer.

        Parameters
        ----------
        link : PeerLink
            Connection to the peer.
        offered : int
            Revision in force at the peer.

        Raises
        ------
        PeerCallFailed
            If the peer did not answer.
        """
        self._puller.pull(link, offered)

    def dump(self) -> dict:
        """Return the state for a dump, as plain values."""
        age = self.core.cluster.confirmation.age(time.monotonic())
        return {
            "revision": self.revision,
            "targets": len(self._targets.in_force),
            "confirmed_age_s": None if age == float("inf") else round(age, 3),
        }
