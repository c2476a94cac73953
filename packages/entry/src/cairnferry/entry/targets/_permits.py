"""Permits to send to limited targets: asking for them, and giving them."""

import logging
import random
import time
from collections import defaultdict
from collections.abc import Iterable

import attrs
import gevent
from gevent.pool import Pool

from cairnferry.entry.members import PermitIssuer, PermitIssuers
from cairnferry.entry.targets._limiter import Limiter
from cairnferry.entry.targets._services import Services
from cairnferry.peers import (
    LimitState,
    PeerCallFailed,
    PeerLinks,
    PermitsGiven,
    PermitsWanted,
)
from cairnferry.policy import (
    ISSUER_HOLD_OFF_S,
    AdvertisedLimit,
    ColdPeriod,
    PermitRequest,
    PermitSchedule,
)

# Seconds between two rounds of asking, while any target names a limit: a part of the
# time for which permits are given ahead.
ROUND_S = 0.05
# Calls at the same time.
MAX_CALLS = 16
# Seconds after which one that is told that another daemon gives the permits, or gets no
# answer, asks again: some rounds of heartbeats, after which views are alike again.
ELSEWHERE_S = 0.2
# Seconds between two reminders of a limit that holds.
REMIND_S = 5.0
# Seconds after which a schedule that nobody asked is dropped.
UNUSED_S = 30.0

log = logging.getLogger(__name__)


@attrs.define
class _Given:
    """A target for which this daemon gives permits."""

    schedule: PermitSchedule
    per_s: float
    asked_at: float
    reminded_at: float


@attrs.define
class LocalPermitIssuer:
    """Gives permits for the targets that fall to this daemon.

    One counts for all. Equal parts would leave unused what falls to daemons without
    requests, and could not be had of a limit below one request a second and daemon.

    Parameters
    ----------
    limiter : Limiter
        Knows the limits.
    givers : PermitIssuers
        Says which targets fall to this daemon, and which part of their limits.
    rng : random.Random
        Spreads those that come again.
    """

    limiter: Limiter
    givers: PermitIssuers
    rng: random.Random
    _given: dict[str, _Given] = attrs.field(factory=dict)

    def issue(self, asker: str, wanted: list[PermitsWanted]) -> list[PermitsGiven]:
        """Answer a daemon that asks."""
        now = time.monotonic()
        return [self._give_one(asker, each, now) for each in wanted]

    def _give_one(self, asker, wanted, now):
        target = wanted.limit.target
        _learn(self.limiter, wanted.limit, now, by="one that asks")
        rate = self.limiter.limits.rate(target)
        if rate is None:
            self._given.pop(target, None)
            return PermitsGiven(self._state(target, now), (), ELSEWHERE_S)
        if not self.givers.is_issuer(target, wanted.zone):
            return PermitsGiven(self._state(target, now), (), ELSEWHERE_S)
        given = self._schedule(target, rate, now)
        part = rate * self.givers.visible_share(wanted.zone)
        given.schedule.return_unused(wanted.returned, part)
        grant = given.schedule.grant(asker, part, wanted.count, now)
        return PermitsGiven(self._state(target, now), grant.delays, grant.retry_s)

    def _schedule(self, target, rate, now):
        given = self._given.get(target)
        if given is None:
            schedule = PermitSchedule.begin(now, self.rng, self._hold_s(target, now))
            given = self._given[target] = _Given(schedule, rate, now, now)
        if given.per_s != rate:
            given.per_s = rate
            given.schedule.restart(rate, now)
        given.asked_at = now
        is_named = self.limiter.limits.advertised.rate(target) is not None
        if is_named and now - given.reminded_at > REMIND_S:
            given.reminded_at = now
            self.limiter.remind(target)
        return given

    def _hold_s(self, target, now):
        """Give the seconds for which another one's permits may still be used.

        Nobody has given any for a target that has been cold for less than that.
        """
        cold = self.limiter.limits.cold.get(target)
        is_new = cold is not None and now - cold.since < ISSUER_HOLD_OFF_S
        is_named = self.limiter.limits.advertised.rate(target) is not None
        return 0.0 if is_new and not is_named else ISSUER_HOLD_OFF_S

    def _state(self, target, now):
        return state_of(self.limiter, target, now)

    def drop_unused(self, now: float) -> None:
        """Forget targets that nobody asks about any more."""
        since = now - UNUSED_S
        kept = {t: given for t, given in self._given.items() if given.asked_at > since}
        self._given = kept


@attrs.define
class PermitRequester:
    """Asks for the permits that the next requests may use.

    They are there before the requests, so that none of these waits for a message.

    Parameters
    ----------
    name : str
        Name of this daemon.
    services : Services
        Whose requests use them.
    limiter : Limiter
        Knows the limits, and holds the permits.
    givers : PermitIssuers
        Says whom to ask.
    giving : LocalPermitIssuer
        Asked for targets that fall to this daemon itself.
    links : PeerLinks
        Connections to the others.
    """

    name: str
    services: Services
    limiter: Limiter
    givers: PermitIssuers
    issuer: LocalPermitIssuer
    links: PeerLinks
    _not_before: dict[str, float] = attrs.field(factory=dict)
    _returned: dict[str, int] = attrs.field(factory=dict)
    _asking: set[str] = attrs.field(factory=set)
    _calls: Pool = attrs.field(factory=lambda: Pool(MAX_CALLS))

    def run(self) -> None:
        """Ask, round after round, while any target names a limit."""
        while True:
            self.limiter.is_needed.wait()
            self.one_round()
            gevent.sleep(ROUND_S)

    def one_round(self) -> None:
        """Ask once for all that is wanted."""
        now = time.monotonic()
        self.issuer.drop_unused(now)
        self.limiter.cold.drop_warm()
        limits = self.limiter.limits
        self._returned = {
            target: count
            for target, count in self._returned.items()
            if limits.is_limited(target)
        }
        for target, count in limits.pop_expired(now).items():
            self._returned[target] = self._returned.get(target, 0) + count
        self._not_before = {t: at for t, at in self._not_before.items() if at > now}
        for giver, wanted in self._by_giver(self._wanted(now)).items():
            if giver.name == self.name:
                self._ask_here(wanted, now)
            elif not self._calls.full():
                self._asking.update(each.target.identity for each in wanted)
                self._calls.spawn(self._ask, giver, wanted)

    def _wanted(self, now) -> Iterable[PermitRequest]:
        barred = self._not_before.keys() | self._asking
        for runtime in self.services.active().values():
            yield from runtime.policy.permits_to_request(barred, now)

    def _by_giver(self, wanted) -> dict[PermitIssuer, list[PermitRequest]]:
        grouped = defaultdict(list)
        for each in wanted:
            giver = self.givers.issuer_for(each.target.identity, each.target.zone)
            if giver is not None:
                grouped[giver].append(each)
        return grouped

    def _ask_here(self, wanted, now):
        messages = [self._message(each, now) for each in wanted]
        self._take(self.issuer.issue(self.name, messages), now)

    def _ask(self, giver, wanted):
        now = time.monotonic()
        is_far = giver.zone != self.services.zone
        link = self.links.to(giver.peer_address, is_far)
        messages = tuple(self._message(each, now) for each in wanted)
        try:
            given = link.ask_permits(self.name, messages)
            self._take(given, time.monotonic())
        except PeerCallFailed as exc:
            self.givers.mark_unresponsive(giver.name)
            for each in wanted:
                self._not_before[each.target.identity] = now + ELSEWHERE_S
            extra = {"peer": giver.name, "why": exc.reason}
            log.info("no answer on permits", extra=extra)
        finally:
            self._asking.difference_update(each.target.identity for each in wanted)

    def _message(self, wanted, now):
        target = wanted.target
        returned = self._returned.pop(target.identity, 0)
        state = state_of(self.limiter, target.identity, now)
        return PermitsWanted(state, target.zone, wanted.count, returned)

    def _take(self, given, now):
        limits = self.limiter.limits
        for each in given:
            target = each.limit.target
            _learn(self.limiter, each.limit, now, by="the one that gives permits")
            if each.limit.per_s == limits.advertised.get(target).per_s:
                limits.add_permits(target, [now + delay for delay in each.delays])
            self._not_before[target] = now + each.retry_s
        for runtime in self.services.active().values():
            runtime.settle_waiting()


def _learn(limiter, told, now, by):
    """Take in what another daemon knows of a target's limit."""
    limiter.learn(told.target, AdvertisedLimit(told.per_s, now - told.age), by)
    if told.cold_s:
        cold = ColdPeriod(now, now + told.cold_s, told.cold_per_s)
        limiter.cold.learn(told.target, cold, by)


def state_of(limiter: Limiter, target: str, now: float) -> LimitState:
    """Give what is known here of a target's limit, for another daemon."""
    limit = limiter.limits.advertised.get(target)
    state = LimitState(target, limit.per_s, now - limit.at)
    cold = limiter.limits.cold.get(target)
    if cold is None or cold.until <= now:
        return state
    return attrs.evolve(state, cold_s=cold.until - now, cold_per_s=cold.per_s)
