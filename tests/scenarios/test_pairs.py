"""Each event alone and in pairs, under load, on one running system.

Guards against requests that are lost, run twice or get another request's response,
against wrong outcomes, and against an old configuration in effect. One event begins, a
second one begins during it, both end in the same order, and the system must recover.
The recovery from one event may depend on a part that the other event breaks.
"""

import itertools

import gevent
import pytest

from cairnferry.standins import LocalSystem, ScenarioRun, parse_scenario

HEAD = 'scenario "x"\nsymptom "x"\nevents "x"\ncause "x"\n'

SETUP = """
platform
target a zone-a
target b zone-a
target c zone-b
target d zone-b
daemon e1 zone-a
daemon e2 zone-b
daemon e3 zone-a
serve
records s targets=a,b,c,d hedging=yes
await revision
"""

# Steps that begin and end each event.
EVENTS = {
    "daemon killed": ("kill e3", "restart e3"),
    "daemon frozen": ("freeze e3", "thaw e3"),
    "daemon cut from peers": ("cut e1 peers", "heal e1 peers"),
    "daemon cut from platform": ("cut e1 platform", "heal e1 platform"),
    "platform down": ("platform outage reset", "platform well"),
    "platform hanging": ("platform outage hang", "platform well"),
    "target frozen": ("freeze a", "thaw a"),
    "target slow": ("set a slow_factor=20", "set a slow_factor=1"),
    "target failing fast": ("set b fault=fail-fast", "set b fault=none"),
    "target cutting": ("set b fault=cut-after-run", "set b fault=none"),
    "target shedding": ("set a shed=yes", "set a shed=no"),
    "target draining": ("set c draining=yes", "set c draining=no"),
    "list calling a target leaving": ("list d leaving", "list d live"),
}

# After both events, requests must be served again and a change must take effect.
RECOVERY = """
await members 3
await {load} ok 40
end {load}
check honest {load}
check retry-after {load}
service s
await revision
check revision
"""

LOAD = 'load {load} s timeout_ms=400 operations="GET /s 3, POST /s 2"\n'
CASES = [(name,) for name in EVENTS] + list(itertools.combinations(EVENTS, 2))


@pytest.fixture(scope="module")
def run(tmp_path_factory):
    with LocalSystem(tmp_path_factory.mktemp("pairs"), relayed=True) as system:
        run = ScenarioRun(system)
        run.run(parse_scenario(HEAD + SETUP))
        yield run
        gevent.killall([load.task for load in run.loads.values()])


@pytest.mark.parametrize("names", CASES, ids=" and ".join)
def test_events(run, names):
    load = f"load{CASES.index(names)}"
    begins = [EVENTS[name][0] for name in names]
    ends = [EVENTS[name][1] for name in names]
    steps = [LOAD.format(load=load)]
    for begin in begins:
        steps += [f"await {load} ok 15", begin]
    steps += [f"await {load} ok 30", *ends]
    text = HEAD + "\n".join(steps) + RECOVERY.format(load=load)
    run.run(parse_scenario(text))
