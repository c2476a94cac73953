"""Asking for permits, and giving them, between daemons."""

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
from cairnferry.peers import LimitState, PeerCallFailed, PermitsWanted
from cairnferry.policy import NO_LIMIT, AdvertisedLimit, Call, settings_for
from cairnferry.records import Lifecycle, Service, Target

SERVICE = Service("s", 1000, 0.2, False, 8, retry_slack=6, retry_window_s=10.0)
TARGETS = [
    Target(f"i-{n}", "s", "hall", "10.0.0.1", 80, 4, Lifecycle.ACTIVE, "/h", None)
    for n in range(2)
]


@pytest.fixture
def clock(monkeypatch):
    """Give a clock that stands until it is set."""
    clock = SimpleNamespace(now=100.0)
    monkeypatch.setattr("time.monotonic", lambda: clock.now)
    return clock


@attrs.define
class Givers:
    """One giver for all targets; `part` is what is in its view."""

    name: str = "giver"
    mine: bool = True
    part: float = 1.0
    doubted: list = attrs.field(factory=list)

    def issuer_for(self, target, zone):
        return PermitIssuer(self.name, "hall", f"{self.name}:1")

    def is_issuer(self, target, zone):
        return self.mine

    def visible_share(self, zone):
        return self.part

    def mark_unresponsive(self, name):
        self.doubted.append(name)


class Link:
    """Brings what is asked to a giver; may lose the answer."""

    def __init__(self, issuer):
        self.issuer = issuer
        self.asked = []
        self.lost = False

    def to(self, address, is_far):
        return self

    def ask_permits(self, asker, wanted):
        self.asked.append(wanted)
        given = self.issuer.issue(asker, list(wanted))
        if self.lost:
            raise PeerCallFailed("giver:1", "timeout")
        return given


class Daemon:
    """One that asks, with two targets and their limits."""

    def __init__(self, name, link, givers):
        self.services = Services(
            "hall", random.Random(1), lambda policy: None, settings_for("ask-first")
        )
        self.services.install_rules(1, [SERVICE], [])
        self.services.install_targets(TARGETS)
        self.policy = self.services.runtime("s").policy
        self.limiter = Limiter(self.services.limits, Metrics())
        self.asking = PermitRequester(
            name, self.services, self.limiter, givers, link.issuer, link
        )

    def arrive(self, count, now):
        for _ in range(count):
            self.policy.arrive(Call(now, now + 1, True), now)

    def ask(self):
        self.asking.one_round()
        self.asking._calls.join()

    def held(self):
        return [self.limiter.limits.held(target.identity) for target in TARGETS]


@pytest.fixture
def issuer():
    limiter = Limiter(Services("hall", random.Random(2), None).limits, Metrics())
    return LocalPermitIssuer(limiter, Givers(), random.Random(3))


@pytest.fixture
def link(issuer):
    return Link(issuer)


@pytest.fixture
def daemon(link, clock):
    daemon = Daemon("d", link, Givers())
    daemon.limiter.note_check("i-0", 4.0, 99.0)
    return daemon


def wanted(target, per_s=4.0, age=0.1, count=1, returned=0):
    return PermitsWanted(LimitState(target, per_s, age), "hall", count, returned)


def test_nothing_is_asked_without_requests(daemon, link):
    daemon.ask()
    assert link.asked == []


def test_permits_come_ahead_of_requests_and_are_not_asked_for_twice(
    daemon, link, clock
):
    daemon.arrive(2, clock.now)
    daemon.ask()
    daemon.ask()
    assert len(link.asked) == 1
    # After the hold: the one that gave them before may have been another one.
    assert daemon.held() == [1, 0]
    assert not daemon.limiter.limits.admits("i-0", clock.now)
    clock.now += 0.5
    assert daemon.limiter.limits.admits("i-0", clock.now)


def test_the_one_that_gives_permits_learns_the_limit_by_the_question(
    daemon, issuer, clock
):
    daemon.arrive(2, clock.now)
    daemon.ask()
    assert issuer.limiter.limits.advertised.rate("i-0") == 4.0


def test_the_question_brings_the_end_of_a_limit_to_the_one_that_asks(
    daemon, issuer, clock
):
    issuer.limiter.learn("i-0", AdvertisedLimit(NO_LIMIT, clock.now + 0.1), by="test")
    daemon.arrive(2, clock.now)
    daemon.ask()
    assert not daemon.limiter.limits
    assert daemon.held() == [0, 0]


def test_one_that_is_not_the_giver_gives_nothing(issuer, clock):
    issuer.givers.mine = False
    (given,) = issuer.issue("d", [wanted("i-0")])
    assert given.delays == ()
    assert given.retry_s > 0


def test_a_question_without_an_answer_is_put_to_another_one_a_little_later(
    daemon, link, clock
):
    link.lost = True
    daemon.arrive(2, clock.now)
    daemon.ask()
    daemon.ask()
    assert len(link.asked) == 1
    assert daemon.asking.givers.doubted == ["giver"]
    assert daemon.held() == [0, 0]
    clock.now += 0.3
    daemon.ask()
    assert len(link.asked) == 2


def test_permits_that_were_not_used_come_back_with_the_next_question(
    daemon, link, clock
):
    daemon.arrive(1, clock.now)
    daemon.ask()
    clock.now += 2.0
    daemon.arrive(1, clock.now)
    daemon.ask()
    ((first,), (second,)) = link.asked
    assert first.returned == 0
    assert second.returned == 1


def test_what_is_in_view_of_a_part_is_all_that_it_gives(issuer, clock):
    issuer.givers.part = 0.25
    issuer.issue("d", [wanted("i-0")])
    clock.now += 2.0
    starts = []
    for _ in range(200):
        clock.now += 0.05
        (given,) = issuer.issue("d", [wanted("i-0", count=8)])
        starts += [clock.now + delay for delay in given.delays]
    assert len(starts) <= 10.0 * 4.0 * 0.25 + 2


def test_a_limit_that_holds_is_told_again_and_again_but_seldom(issuer, clock):
    told = []
    issuer.limiter.tell = lambda note, again: told.append(again)
    for _ in range(120):
        clock.now += 0.1
        issuer.issue("d", [wanted("i-0")])
    assert told == [True, True]


def test_targets_that_nobody_asks_about_are_forgotten(issuer, clock):
    issuer.issue("d", [wanted("i-0")])
    issuer.drop_unused(clock.now + 10.0)
    assert len(issuer._given) == 1
    issuer.drop_unused(clock.now + 60.0)
    assert len(issuer._given) == 0
