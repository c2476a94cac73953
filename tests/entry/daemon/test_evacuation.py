"""Evacuation and restoration of an availability zone by the operators' tool."""

from cairnferry.standins import wait_for


def call(system, name):
    return system.daemons[name].call("callers", "GET", "/s/x")


def test_a_zone_is_evacuated_and_restored_by_the_tool(install):
    system = install(["t1"], {"e1": "zone-a", "e2": "zone-b"}, service_ms=1)
    assert system.run_ctl("evacuate", "zone-a").returncode == 0
    system.await_revision(2)
    for name in ("e1", "e2"):
        reply = call(system, name)
        assert reply.status == 503
        assert b"zones-evacuated" in reply.body
    assert "evacuated zones: zone-a" in system.run_ctl("status").stdout
    again = system.run_ctl("evacuate", "zone-a")
    assert again.returncode == 0, again.stderr
    assert system.run_ctl("restore", "zone-a").returncode == 0
    for name in ("e1", "e2"):
        wait_for(lambda each=name: call(system, each).status == 200)


def test_an_unknown_zone_is_refused_and_known_zones_are_listed(install):
    system = install(["t1"], {"e1": "zone-a"}, service_ms=1)
    done = system.run_ctl("evacuate", "zone-q")
    assert done.returncode == 3
    assert "no target is in a zone 'zone-q'; zones with targets: zone-a" in done.stderr
    done = system.run_ctl("restore", "zone-a")
    assert done.returncode == 4
    assert "zone 'zone-a' is not evacuated" in done.stderr
