"""Scenario steps for processes, connections, targets and the platform."""

import secrets
import signal

from cairnferry.standins._scenario_fault import ScenarioFault
from cairnferry.standins._waiting import wait_for

KEY_BYTES = 32


def control_platform(run, word=None, value=None):
    """Start the platform, or change one of its faults."""
    system = run.system
    match word:
        case None:
            system.start_platform()
            wait_for(lambda: system.platform.read("http", "/_control") is not None)
        case "well":
            system.set_faults(outage="none", delay_ms=0, lose_answers=0, list_lag_s=0)
        case "outage":
            system.set_faults(outage=value)
        case "delay":
            system.set_faults(delay_ms=float(value))
        case "lose-answers":
            system.set_faults(lose_answers=int(value))
        case "lag":
            system.set_faults(list_lag_s=float(value))
        case _:
            raise ScenarioFault(f"unknown fault of the platform: {word}")


def start_target(run, name, zone, **settings):
    """Start a target; `settings` are keys of the section "target"."""
    run.system.start_target(name, zone, **settings)


def start_daemon(run, name, zone, seeds="", **settings):
    """Start a daemon.

    `seeds` names the daemons that are its seed peers, separated by commas; `settings`
    are settings as SECTION_KEY=value.
    """
    daemon_settings = {
        key.replace("_", "__", 1): text for key, text in settings.items()
    }
    if seeds:
        seed_daemons = [run.system.daemons[seed] for seed in seeds.split(",")]
        addresses = [process.addresses["advertised"] for process in seed_daemons]
        daemon_settings["peers__seeds"] = ", ".join(addresses)
    run.daemon_settings[name] = daemon_settings
    run.system.start_daemon(name, zone, **daemon_settings)


def await_serving(run):
    """Publish the instance list and wait until all processes serve.

    Each daemon must list all daemons as live members.
    """
    run.system.publish_instances()
    run.system.await_serving()
    run.system.await_members(len(run.system.daemons))
    run.mark_serving()


def kill_process(run, name):
    """Kill a process with SIGKILL."""
    process = run.process(name)
    process.popen.kill()
    process.popen.wait()


def stop_process(run, name):
    """Ask a process to drain and exit, with SIGTERM."""
    run.process(name).signal(signal.SIGTERM)


def suspend_process(run, name):
    """Suspend a process with SIGSTOP."""
    run.process(name).signal(signal.SIGSTOP)


def resume_process(run, name):
    """Resume a suspended process with SIGCONT."""
    run.process(name).signal(signal.SIGCONT)


def restart_daemon(run, name):
    """Start a daemon again with the same name, addresses and settings."""
    zone = run.system.daemons[name].zone
    run.system.start_daemon(name, zone, **run.daemon_settings[name])


def cut_connections(run, name, what):
    """Cut a daemon off from the platform, or from all its peers.

    To cut it off from its peers, the daemon gets another peer key and all connections
    between peers are closed.
    """
    if what == "platform":
        run.system.platform_relays[name].cut()
        return
    run.system.write_key(name, secrets.token_hex(KEY_BYTES))
    for relay in run.system.peer_relays.values():
        relay.drop()


def restore_connections(run, name, what):
    """Undo the steps `cut` and `hold`."""
    if what == "platform":
        run.system.platform_relays[name].restore()
        return
    run.system.write_key(name, run.system.peer_key)


def stall_connections(run, name):
    """Stall all traffic between a daemon and the platform, with connections open."""
    run.system.platform_relays[name].stall()


def change_target(run, name, **behaviour):
    """Change the behaviour of a target; the keys are those of `TargetBehaviour`."""
    values = {key: _parse_value(text) for key, text in behaviour.items()}
    run.system.set_target(name, **values)


def change_instance_state(run, name, state):
    """Change the state of an instance in the platform's list."""
    if state == "leaving":
        run.system.leaving.add(name)
    else:
        run.system.leaving.discard(name)
    run.system.publish_instances()


def _parse_value(text):
    """Parse a value of a behaviour: yes, no, a number or any other text."""
    if text in ("yes", "no"):
        return text == "yes"
    try:
        number = float(text)
    except ValueError:
        return text
    return int(number) if number.is_integer() else number


STEPS = {
    "platform": control_platform,
    "target": start_target,
    "daemon": start_daemon,
    "serve": await_serving,
    "kill": kill_process,
    "stop": stop_process,
    "freeze": suspend_process,
    "thaw": resume_process,
    "restart": restart_daemon,
    "cut": cut_connections,
    "heal": restore_connections,
    "hold": stall_connections,
    "set": change_target,
    "list": change_instance_state,
}
