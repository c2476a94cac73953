"""Fixture that starts daemons with one service, as separate processes."""

import json

import pytest

from cairnferry.standins import route_v2, service_v2, target_v2, wait_for


@pytest.fixture
def install(system, tmp_path):
    """Return a function that starts targets and daemons and puts records in force.

    Its parameters are the names of the targets, which are all in one zone, the
    daemons' zones by name, and a target's time in milliseconds for one request.
    """

    def start(targets, daemons, service_ms):
        platform = system.start_platform()
        wait_for(lambda: platform.read("http", "/_control"))
        for name in targets:
            system.start_target(name, "zone-a", service_ms=service_ms)
        for name, zone in daemons.items():
            system.start_daemon(name, zone)
        system.publish_instances()
        system.await_serving()
        system.await_members(len(daemons))
        records = [service_v2("s"), route_v2("r", "/s", "s")]
        for name in targets:
            address = system.targets[name].addresses["http"]
            records.append(target_v2(name, "s", "zone-a", address))
        path = tmp_path / "records.json"
        path.write_text(json.dumps(records))
        done = system.run_ctl("submit", str(path))
        assert done.returncode == 0, done.stderr
        system.await_revision(1)
        return system

    return start
