"""Requesting and issuing permits between daemons."""

import random
from types import SimpleNamespace

import attrs
import pytest

from cairnferry.entry.members import PermitIssuer
from cairnferry.entry.targets import (
    Limiter,
    LocalPermitIssuer,
    PermitRequester,
    Services,
)
from cairnferry.entry.telemetry import Metrics
from cairnferry.peers import LimitState, PeerCallFailed, PermitQuery
from cairnferry.policy import NO_LIMIT, AdvertisedLimit, Call, settings_for
from cairnferry.records import Lifecycle, Service, Target

SERVICE = Service("s", 1000, 0.2, False, 8, retry_slack=6, retry_window_s=10.0)
TARGETS = [
    Target(f"i-{n}", "s", "hall", "10.0.0.1", 80, 4, Lifecycle.ACTIVE, "/h", None)
    for n in range(2)
]


@pytest.fixture
def clock(monkeypatch):
    """Return a clock that stands still until it is set."""
    clock = SimpleNamespace(now=100.0)
    monkeypatch.setattr("time.monotonic", lambda: clock.now)
    return clock


@attrs.define
class Issuers:
    """One issuer for all targets, which may issue `share` of their limits."""

    name: str = "giver"
    is_mine: bool = True
    share: float = 1.0
    unresponsive: list = attrs.field(factory=list)

    def issuer_for(self, target, zone):
        return PermitIssuer(self.name, "hall", f"{self.name}:1")

    def is_issuer(self, target, zone):
        return self.is_mine

    def visible_share(self, zone):
        return self.share

    def mark_unresponsive(self, name):
        self.unresponsive.append(name)


class Link:
    """Connection to an issuer that can lose the answer."""

    def __init__(self, issuer):
        self.issuer = issuer
        self.requests = []
        self.lost = False

    def link_to(self, address, is_cross_zone):
        return self

    def request_permits(self, requester, requested):
        self.requests.append(requested)
        granted = self.issuer.issue(requester, list(requested))
        if self.lost:
            raise PeerCallFailed("giver:1", "timeout")
        return granted


class Daemon:
    """A daemon that requests permits for two targets."""

    def __init__(self, name, link, issuers):
        self.services = Services(
            "hall", random.Random(1), lambda policy: None, settings_for("ask-first")
        )
        self.services.install_rules(1, [SERVICE], [])
        self.services.install_targets(TARGETS)
        self.policy = self.services.runtime("s").policy
        self.limiter = Limiter(self.services.limits, Metrics())
        self.requester = PermitRequester(
            name, self.services, self.limiter, issuers, link.issuer, link
        )

    def arrive(self, count, now):
        for _ in range(count):
            self.policy.arrive(Call(now, now + 1, True), now)

    def request_permits(self):
        self.requester.one_round()
        self.requester._calls.join()

    def held(self):
        return [self.limiter.limits.held(target.identity) for target in TARGETS]


@pytest.fixture
def issuer():
    limiter = Limiter(Services("hall", random.Random(2), None).limits, Metrics())
    return LocalPermitIssuer(limiter, Issuers(), random.Random(3))


@pytest.fixture
def link(issuer):
    return Link(issuer)


@pytest.fixture
def daemon(link, clock):
    daemon = Daemon("d", link, Issuers())
    daemon.limiter.note_check("i-0", 4.0, 99.0)
    return daemon


def query_for(target, per_s=4.0, age=0.1, count=1, returned=0):
    return PermitQuery(LimitState(target, per_s, age), "hall", count, returned)


def test_no_permits_are_requested_without_requests(daemon, link):
    daemon.request_permits()
    assert link.requests == []


def test_permits_are_requested_once_and_in_advance(daemon, link, clock):
    daemon.arrive(2, clock.now)
    daemon.request_permits()
    daemon.request_permits()
    assert len(link.requests) == 1
    # The permit is valid only later, as another issuer may have issued some before.
    assert daemon.held() == [1, 0]
    assert not daemon.limiter.limits.admits("i-0", clock.now)
    clock.now += 0.5
    assert daemon.limiter.limits.admits("i-0", clock.now)


def test_the_issuer_gets_the_limit_from_the_request_for_permits(daemon, issuer, clock):
    daemon.arrive(2, clock.now)
    daemon.request_permits()
    assert issuer.limiter.limits.advertised.rate("i-0") == 4.0


def test_the_answer_reports_a_lifted_limit_to_the_requester(daemon, issuer, clock):
    issuer.limiter.merge("i-0", AdvertisedLimit(NO_LIMIT, clock.now + 0.1), by="test")
    daemon.arrive(2, clock.now)
    daemon.request_permits()
    assert not daemon.limiter.limits
    assert daemon.held() == [0, 0]


def test_a_daemon_that_is_not_the_issuer_grants_no_permits(issuer, clock):
    issuer.issuers.is_mine = False
    (granted,) = issuer.issue("d", [query_for("i-0")])
    assert granted.delays == ()
    assert granted.retry_s > 0


def test_a_request_without_an_answer_is_retried_after_a_delay(daemon, link, clock):
    link.lost = True
    daemon.arrive(2, clock.now)
    daemon.request_permits()
    daemon.request_permits()
    assert len(link.requests) == 1
    assert daemon.requester.issuers.unresponsive == ["giver"]
    assert daemon.held() == [0, 0]
    clock.now += 0.3
    daemon.request_permits()
    assert len(link.requests) == 2


def test_unused_permits_are_returned_with_the_next_request(daemon, link, clock):
    daemon.arrive(1, clock.now)
    daemon.request_permits()
    clock.now += 2.0
    daemon.arrive(1, clock.now)
    daemon.request_permits()
    ((first,), (second,)) = link.requests
    assert first.returned == 0
    assert second.returned == 1


def test_an_issuer_grants_no_more_than_its_visible_share(issuer, clock):
    issuer.issuers.share = 0.25
    issuer.issue("d", [query_for("i-0")])
    clock.now += 2.0
    starts = []
    for _ in range(200):
        clock.now += 0.05
        (granted,) = issuer.issue("d", [query_for("i-0", count=8)])
        starts += [clock.now + delay for delay in granted.delays]
    assert len(starts) <= 10.0 * 4.0 * 0.25 + 2


def test_a_limit_in_effect_is_announced_again_at_long_intervals(issuer, clock):
    announced = []
    issuer.limiter.broadcast = lambda note, again: announced.append(again)
    for _ in range(120):
        clock.now += 0.1
        issuer.issue("d", [query_for("i-0")])
    assert announced == [True, True]


def test_schedules_without_requests_are_dropped(issuer, clock):
    issuer.issue("d", [query_for("i-0")])
    issuer.drop_unused(clock.now + 10.0)
    assert len(issuer._schedules) == 1
    issuer.drop_unused(clock.now + 60.0)
    assert len(issuer._schedules) == 0
