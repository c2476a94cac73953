"""Records that come from two followed tables: rules in one row, a row each target."""

import logging
import time
from collections.abc import Callable

import attrs
import gevent
from gevent.event import Event

from cairnferry.coordination import DocumentNews, Row
from cairnferry.entry._ports import ChangeFeed, DecodeFault, RecordDecoders, Rules
from cairnferry.entry.core import Core
from cairnferry.entry.following._evacuations import EVACUATIONS, Evacuations
from cairnferry.entry.following._following import Follower
from cairnferry.entry.following._handover import Handover, HandoverPages
from cairnferry.entry.following._rules_exchange import (
    BUSY_RETRY_S,
    MAX_BUSY_RETRIES,
    DocumentRateLimit,
    RulesExchange,
)
from cairnferry.entry.following._table import FollowedTable
from cairnferry.entry.following._target_rows import TargetRows
from cairnferry.entry.http import Page
from cairnferry.peers import PeerCallFailed, PeerLink

# Seconds between two calls for targets. Targets that start one after the other would
# else be heard of one by one, at every daemon; a target that leaves may be given work
# for two seconds more.
TARGETS_COALESCE_S = 0.6

# Seconds between two looks at how old the knowledge of the rules is: a small part of
# the 10 s from which a daemon calls itself stale.
CONFIRM_S = 0.5
# What the table of targets is called among daemons.
TARGETS = "targets"
log = logging.getLogger(__name__)


@attrs.define
class FollowedRecords:
    """Puts in force what two followed tables hold.

    Parameters
    ----------
    rules_feed, targets_feed : ChangeFeed
        The tables. The second is also told from daemon to daemon; of the first, peers
        give the rules in force, and tell the rows beside them.
    rules_key : str
        Row that holds all rules.
    decoders : RecordDecoders
        Turn rows into the internal form.
    core : Core
        The daemon in which they are put in force.

    Attributes
    ----------
    tables : dict of str to FollowedTable
        Tables that daemons tell each other; others may be added before the start.
    """

    rules_feed: ChangeFeed
    targets_feed: ChangeFeed
    rules_key: str
    decoders: RecordDecoders
    core: Core
    behind: DecodeFault | None = None
    in_force: Event = attrs.field(factory=Event)
    _rules: Rules | None = None
    _document: bytes = b""
    _exchange: RulesExchange = attrs.field(init=False)
    _handovers: HandoverPages = attrs.field(init=False)
    _targets: TargetRows = attrs.field(init=False)
    tables: dict[str, FollowedTable] = attrs.field(factory=dict)
    _rules_follower: Follower = attrs.field(init=False)
    _followers: list[Follower] = attrs.field(factory=list)

    def __attrs_post_init__(self):
        pace = DocumentRateLimit(self.core.cfg.peers.link_bytes_per_s)
        self._exchange = RulesExchange(pace)
        self._handovers = HandoverPages(self.handover, pace.admit)
        self._targets = TargetRows(
            self.decoders.target, self.core.faulty_rows, self._take_targets
        )
        self._rules_follower = Follower(
            "rules",
            self.rules_feed,
            self._take_rules,
            self.core.rng,
            note_call=self.core.metrics.note_store_call,
            on_duty=self._is_on_duty,
            on_failure=self._tell_failure,
        )
        self._followers.append(self._rules_follower)
        evacuations = Evacuations(self.decoders.evacuated, self._evacuate)
        # Told first: a daemon that starts learns whom to spare before it has targets.
        beside = FollowedTable(EVACUATIONS, evacuations.apply_rows)
        self.tables[EVACUATIONS] = beside
        self._rules_follower.split(beside, lambda key: key == self.rules_key)
        self.follow_shared_table(
            TARGETS, self.targets_feed, self._take_targets, TARGETS_COALESCE_S
        )

    def _evacuate(self, zones, version):
        self.core.evacuate(zones, version)
        self.core.gossip.trigger_round()

    def _is_on_duty(self):
        return self.core.watcher_role.is_active()

    def _tell_failure(self):
        if self.core.watcher_role.report_store_failure():
            self.core.gossip.trigger_round()

    def follow_shared_table(
        self,
        name: str,
        feed: ChangeFeed,
        on_change: Callable[[dict[str, Row]], None],
        coalesce_s: float,
    ) -> None:
        """Follow a table of which daemons tell each other.

        Parameters
        ----------
        name : str
            What it is called in logs and among daemons.
        feed : ChangeFeed
            The table.
        on_change : callable
            Called with all rows by key, whenever they differ.
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
            self._is_on_duty,
            self._tell_failure,
        )
        self._followers.append(follower)
        self.tables[name] = follower.table

    @property
    def revision(self) -> int:
        """Revision of the rules in force; 0 before the first."""
        return self._rules.revision if self._rules else 0

    def tasks(self) -> list[Callable[[], None]]:
        """Give the functions that run as long as the daemon does."""
        for follower in self._followers:
            others = [each for each in self._followers if each is not follower]
            follower.partners.extend(others)
        return [self._confirm, *(follower.run for follower in self._followers)]

    def _confirm(self):
        """Tell the cluster now and then how old the knowledge of the rules is."""
        follower = self._rules_follower
        while True:
            gevent.sleep(CONFIRM_S)
            if follower.confirmed_at is not None:
                self.core.cluster.confirmation.confirm(follower.confirmed_at)

    # -- rules ------------------------------------------------------------------

    def _take_rules(self, rows):
        row = rows.get(self.rules_key)
        if row is not None:
            self.apply(row.value)

    def apply(self, document: bytes) -> bool:
        """Put a document in force if it is newer; what cannot be read changes nothing.

        A late answer, or a peer that lags, must not bring back older rules.
        """
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
        if rules.revision <= self.revision:
            return False
        before = self.revision
        self._rules = rules
        self._document = document
        self._exchange.history.add(rules.revision, document)
        self.behind = None
        services = self.core.services
        services.install_rules(rules.revision, rules.services, rules.routes)
        self._install_targets()
        self.core.limit_callers(rules.limits)
        self.in_force.set()
        log.info(
            "in force",
            extra={
                "revision": rules.revision,
                "before": before,
                "routes": len(rules.routes),
                "services": len(rules.services),
            },
        )
        self.core.gossip.trigger_round()
        return True

    def redecode_rules(self) -> None:
        """Put the rules in force once more, as what they are read with has changed."""
        decoded = self.decoders.rules(self._document)
        if self._rules is None or decoded.is_error():
            return
        self._rules = decoded.ok
        self.core.services.install_rules(
            self._rules.revision, self._rules.services, self._rules.routes
        )

    # -- targets ----------------------------------------------------------------

    def _take_targets(self, rows):
        self._targets.apply_rows(rows)
        self._install_targets()

    def _install_targets(self):
        if self._rules is None:
            return
        paths = {service.name: service.health_path for service in self._rules.services}
        targets = [
            attrs.evolve(target, health_path=paths[target.service])
            for target in self._targets.in_force.values()
            if paths.get(target.service)
        ]
        self.core.services.install_targets(targets)
        self._note_cold()
        self.core.upstreams.keep_only(targets)
        self.core.share_out()

    def _note_cold(self):
        services = {service.name: service for service in self._rules.services}
        for key, warm_at in self._targets.warm_at.items():
            target = self._targets.in_force[key]
            service = services.get(target.service)
            if service is not None:
                self.core.limiter.cold.note_row(target, service, warm_at)

    # -- peers ------------------------------------------------------------------

    def rows_from(self, first: int) -> list:
        """Give none: there is no log, only the newest rules."""
        return []

    def snapshot(self) -> bytes:
        """Give the rules in force, for a peer of an earlier release."""
        return self._document

    def document_since(self, revision: int) -> DocumentNews:
        """Give what a peer lacks of the rules that holds a revision."""
        return self._exchange.give(revision)

    def handover(self) -> Handover:
        """Give what is in force, for a daemon that starts in an outage."""
        targets, evacuations = (
            self.tables[name].copy.news_since(0) for name in (TARGETS, EVACUATIONS)
        )
        return Handover(self._document, targets, evacuations)

    def handover_page(self, url: str) -> Page:
        """Answer a daemon that asks for what is in force."""
        return self._handovers.page(url)

    def take_over(self, handover: Handover, source: str) -> bool:
        """Put in force what another daemon gave; tell whether that was done.

        What the store tells goes before it.
        """
        self.tables[EVACUATIONS].apply_update(handover.evacuations)
        if not self.apply(handover.rules):
            return False
        self.tables[TARGETS].apply_update(handover.targets)
        log.info("taken over", extra={"from": source, "revision": self.revision})
        return True

    def pull_from(self, link: PeerLink, offered: int, asked: int = 0) -> None:
        """Take over a peer's rules: it reaches the store, or did so later.

        Parameters
        ----------
        link : PeerLink
            Connection to the peer.
        offered : int
            Revision that the peer has.
        asked : int, optional
            How often the peer has had no room to give them so far.

        Raises
        ------
        PeerCallFailed
            If the peer did not answer.
        """
        turns = self._exchange.turns
        if self.revision >= offered or not turns.begin(link.address, time.monotonic()):
            return
        try:
            document = self._exchange.fetch(link, self.revision)
        finally:
            turns.end(link.address)
        if document is not None:
            self.apply(document)
        elif asked < MAX_BUSY_RETRIES:
            pause = BUSY_RETRY_S * (0.5 + self.core.rng.random())
            gevent.spawn_later(pause, self._ask_again, link, offered, asked + 1)

    def _ask_again(self, link, offered, asked):
        try:
            self.pull_from(link, offered, asked)
        except PeerCallFailed as exc:
            log.info("pull failed", extra={"peer": exc.address, "why": exc.reason})

    def dump(self) -> dict:
        """Give the state for a dump, as plain values."""
        age = self.core.cluster.confirmation.age(time.monotonic())
        return {
            "revision": self.revision,
            "targets": len(self._targets.in_force),
            "confirmed_age_s": None if age == float("inf") else round(age, 3),
        }
