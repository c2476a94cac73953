"""Request and issue permits to send requests to limited targets."""

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
    PermitQuery,
    PermitReply,
)
from cairnferry.policy import (
    ISSUER_HOLD_OFF_S,
    AdvertisedLimit,
    ColdPeriod,
    PermitRequest,
    PermitSchedule,
)

# Seconds between two rounds of requesting permits while any target has a limit: a part
# of the time for which permits are issued in advance.
ROUND_S = 0.05
# Maximum number of concurrent calls to issuers.
MAX_CALLS = 16
# Seconds after which permits are requested again if the called daemon is not the issuer
# or did not answer. This is some rounds of heartbeats, after which the daemons agree on
# the membership again.
RETRY_ELSEWHERE_S = 0.2
# Seconds between two broadcasts of a limit that is still in effect.
ANNOUNCE_INTERVAL_S = 5.0
# Seconds after which a schedule without requests is dropped.
UNUSED_S = 30.0

log = logging.getLogger(__name__)


@attrs.define
class _IssuedTarget:
    """A target for which this daemon issues permits."""

    schedule: PermitSchedule
    per_s: float
    requested_at: float
    announced_at: float


@attrs.define
class LocalPermitIssuer:
    """Issues permits for the targets that are assigned to this daemon.

    One daemon counts the permits of a target for all daemons. If each daemon had an
    equal part of the limit instead, the parts of daemons without requests would remain
    unused, and a limit below one request per second and daemon could not be divided.

    Parameters
    ----------
    limiter : Limiter
        Holds the limits.
    issuers : PermitIssuers
        Determines which targets are assigned to this daemon, and which share of their
        limits.
    rng : random.Random
        Spreads the retries of daemons that request permits.
    """

    limiter: Limiter
    issuers: PermitIssuers
    rng: random.Random
    _schedules: dict[str, _IssuedTarget] = attrs.field(factory=dict)

    def issue(self, requester: str, requested: list[PermitQuery]) -> list[PermitReply]:
        """Return the permits granted to a daemon that requests some.

        Parameters
        ----------
        requester : str
            Name of the daemon.
        requested : list of PermitQuery
            Targets and the number of permits for each.
        """
        now = time.monotonic()
        return [self._issue_one(requester, each, now) for each in requested]

    def _issue_one(self, requester, requested, now):
        target = requested.limit.target
        _merge(self.limiter, requested.limit, now, by="one that asks")
        rate = self.limiter.limits.rate(target)
        if rate is None:
            self._schedules.pop(target, None)
            return PermitReply(self._state(target, now), (), RETRY_ELSEWHERE_S)
        if not self.issuers.is_issuer(target, requested.zone):
            return PermitReply(self._state(target, now), (), RETRY_ELSEWHERE_S)
        issued = self._schedule(target, rate, now)
        share = rate * self.issuers.visible_share(requested.zone)
        issued.schedule.return_unused(requested.returned, share)
        grant = issued.schedule.grant(requester, share, requested.count, now)
        return PermitReply(self._state(target, now), grant.delays, grant.retry_s)

    def _schedule(self, target, rate, now):
        issued = self._schedules.get(target)
        if issued is None:
            schedule = PermitSchedule.begin(
                now, self.rng, self._hold_off_s(target, now)
            )
            issued = self._schedules[target] = _IssuedTarget(schedule, rate, now, now)
        if issued.per_s != rate:
            issued.per_s = rate
            issued.schedule.restart(rate, now)
        issued.requested_at = now
        is_advertised = self.limiter.limits.advertised.rate(target) is not None
        if is_advertised and now - issued.announced_at > ANNOUNCE_INTERVAL_S:
            issued.announced_at = now
            self.limiter.announce_again(target)
        return issued

    def _hold_off_s(self, target, now):
        """Return the seconds for which another issuer's permits may still be used.

        No daemon has issued any for a target that became cold only within this time.
        """
        cold = self.limiter.limits.cold.get(target)
        is_new = cold is not None and now - cold.since < ISSUER_HOLD_OFF_S
        is_advertised = self.limiter.limits.advertised.rate(target) is not None
        return 0.0 if is_new and not is_advertised else ISSUER_HOLD_OFF_S

    def _state(self, target, now):
        return limit_state(self.limiter, target, now)

    def drop_unused(self, now: float) -> None:
        """Drop schedules of targets for which no daemon requests permits any more.

        Parameters
        ----------
        now : float
            Monotonic time in seconds.
        """
        since = now - UNUSED_S
        kept = {
            t: issued
            for t, issued in self._schedules.items()
            if issued.requested_at > since
        }
        self._schedules = kept


@attrs.define
class PermitRequester:
    """Requests the permits that the next requests may use.

    Permits are requested in advance, so that no request waits for a message between
    daemons.

    Parameters
    ----------
    name : str
        Name of this daemon.
    services : Services
        Services whose requests use the permits.
    limiter : Limiter
        Holds the limits and the permits.
    issuers : PermitIssuers
        Determines the issuer for each target.
    issuer : LocalPermitIssuer
        Issuer for the targets that are assigned to this daemon itself.
    links : PeerLinks
        Connections to the other daemons.
    """

    name: str
    services: Services
    limiter: Limiter
    issuers: PermitIssuers
    issuer: LocalPermitIssuer
    links: PeerLinks
    _not_before: dict[str, float] = attrs.field(factory=dict)
    _returned: dict[str, int] = attrs.field(factory=dict)
    _pending: set[str] = attrs.field(factory=set)
    _calls: Pool = attrs.field(factory=lambda: Pool(MAX_CALLS))

    def run(self) -> None:
        """Request permits in rounds while any target has a limit."""
        while True:
            self.limiter.is_needed.wait()
            self.one_round()
            gevent.sleep(ROUND_S)

    def one_round(self) -> None:
        """Request all permits that are needed now."""
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
        for peer, requested in self._by_issuer(self._needed(now)).items():
            if peer.name == self.name:
                self._request_locally(requested, now)
            elif not self._calls.full():
                self._pending.update(each.target.identity for each in requested)
                self._calls.spawn(self._request, peer, requested)

    def _needed(self, now) -> Iterable[PermitRequest]:
        excluded = self._not_before.keys() | self._pending
        for runtime in self.services.active().values():
            yield from runtime.policy.permits_to_request(excluded, now)

    def _by_issuer(self, requested) -> dict[PermitIssuer, list[PermitRequest]]:
        grouped = defaultdict(list)
        for each in requested:
            peer = self.issuers.issuer_for(each.target.identity, each.target.zone)
            if peer is not None:
                grouped[peer].append(each)
        return grouped

    def _request_locally(self, requested, now):
        messages = [self._message(each, now) for each in requested]
        self._apply_grants(self.issuer.issue(self.name, messages), now)

    def _request(self, peer, requested):
        now = time.monotonic()
        is_cross_zone = peer.zone != self.services.zone
        try:
            link = self.links.link_to(peer.peer_address, is_cross_zone)
            messages = tuple(self._message(each, now) for each in requested)
            granted = link.request_permits(self.name, messages)
            self._apply_grants(granted, time.monotonic())
        except PeerCallFailed as exc:
            self.issuers.mark_unresponsive(peer.name)
            for each in requested:
                self._not_before[each.target.identity] = now + RETRY_ELSEWHERE_S
            extra = {"peer": peer.name, "why": exc.reason}
            log.info("no answer to a request for permits", extra=extra)
        finally:
            self._pending.difference_update(each.target.identity for each in requested)

    def _message(self, requested, now):
        target = requested.target
        returned = self._returned.pop(target.identity, 0)
        state = limit_state(self.limiter, target.identity, now)
        return PermitQuery(state, target.zone, requested.count, returned)

    def _apply_grants(self, granted, now):
        limits = self.limiter.limits
        for each in granted:
            target = each.limit.target
            _merge(self.limiter, each.limit, now, by="the one that gives permits")
            if each.limit.per_s == limits.advertised.get(target).per_s:
                limits.add_permits(target, [now + delay for delay in each.delays])
            self._not_before[target] = now + each.retry_s
        for runtime in self.services.active().values():
            runtime.release_waiting()


def _merge(limiter, reported, now, by):
    """Merge what another daemon reports of a target's limit and warm-up."""
    limiter.merge(
        reported.target, AdvertisedLimit(reported.per_s, now - reported.age), by
    )
    if reported.cold_s:
        cold = ColdPeriod(now, now + reported.cold_s, reported.cold_per_s)
        limiter.cold.merge(reported.target, cold, by)


def limit_state(limiter: Limiter, target: str, now: float) -> LimitState:
    """Return this daemon's state of a target's limit, for another daemon.

    Parameters
    ----------
    limiter : Limiter
        Holds the limits.
    target : str
        Identity of the target's start.
    now : float
        Monotonic time in seconds.
    """
    limit = limiter.limits.advertised.get(target)
    state = LimitState(target, limit.per_s, now - limit.at)
    cold = limiter.limits.cold.get(target)
    if cold is None or cold.until <= now:
        return state
    return attrs.evolve(state, cold_s=cold.until - now, cold_per_s=cold.per_s)
