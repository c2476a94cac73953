"""Operators take an availability zone out of use, and back, on the own interface."""

from cairnferry.standins import wait_for


def call(system, name):
    return system.daemons[name].call("callers", "GET", "/s/x")


def test_a_zone_is_evacuated_and_restored_by_the_tool(install):
    system = install(["t1"], {"e1": "zone-a", "e2": "zone-b"}, service_ms=1)
    assert system.tool("evacuate", "zone-a").returncode == 0
    system.await_revision(2)
    for name in ("e1", "e2"):
        reply = call(system, name)
        assert reply.status == 503
        assert b"zones-evacuated" in reply.body
    assert "evacuated zones: zone-a" in system.tool("status").stdout
    again = system.tool("evacuate", "zone-a")
    assert again.returncode == 0, again.stderr
    assert system.tool("restore", "zone-a").returncode == 0
    for name in ("e1", "e2"):
        wait_for(lambda each=name: call(system, each).status == 200)


def test_a_misspelt_zone_is_refused_with_those_that_there_are(install):
    system = install(["t1"], {"e1": "zone-a"}, service_ms=1)
    done = system.tool("evacuate", "zone-q")
    assert done.returncode == 3
    assert "no target is in a zone 'zone-q'; zones with targets: zone-a" in done.stderr
    done = system.tool("restore", "zone-a")
    assert done.returncode == 4
    assert "zone 'zone-a' is not evacuated" in done.stderr
