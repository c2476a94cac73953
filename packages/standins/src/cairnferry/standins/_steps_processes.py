"""Steps that act on processes, connections, targets and the platform."""

import secrets
import signal

from cairnferry.standins._scenario_fault import ScenarioFault
from cairnferry.standins._waiting import wait_for

KEY_BYTES = 32


def platform(run, word=None, value=None):
    """Start the platform, or switch one of its faults."""
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
            raise ScenarioFault(f"no such fault: {word}")


def target(run, name, zone, **settings):
    """Start a target."""
    run.system.start_target(name, zone, **settings)


def daemon(run, name, zone, seeds="", **settings):
    """Start a daemon; `seeds` names daemons whose addresses it gets."""
    dotted = {key.replace("_", "__", 1): text for key, text in settings.items()}
    if seeds:
        chosen = [run.system.daemons[seed] for seed in seeds.split(",")]
        addresses = [process.addresses["advertised"] for process in chosen]
        dotted["peers__seeds"] = ", ".join(addresses)
    run.daemon_settings[name] = dotted
    run.system.start_daemon(name, zone, **dotted)


def serve(run):
    """Publish the instances; wait until all know each other."""
    run.system.publish_instances()
    run.system.await_serving()
    run.system.await_members(len(run.system.daemons))
    run.mark_start()


def kill(run, name):
    """End a process without notice."""
    process = run.process(name)
    process.popen.kill()
    process.popen.wait()


def stop(run, name):
    """Tell a process to leave."""
    run.process(name).signal(signal.SIGTERM)


def freeze(run, name):
    """Pause a process."""
    run.process(name).signal(signal.SIGSTOP)


def thaw(run, name):
    """Let a paused process go on."""
    run.process(name).signal(signal.SIGCONT)


def restart(run, name):
    """Start a daemon again under its name and addresses."""
    zone = run.system.daemons[name].zone
    run.system.start_daemon(name, zone, **run.daemon_settings[name])


def cut(run, name, what):
    """Cut a daemon from the platform, or from all its peers."""
    if what == "platform":
        run.system.platform_relays[name].cut()
        return
    run.system.write_key(name, secrets.token_hex(KEY_BYTES))
    for relay in run.system.peer_relays.values():
        relay.drop()


def heal(run, name, what):
    """Undo `cut` and `hold`."""
    if what == "platform":
        run.system.platform_relays[name].heal()
        return
    run.system.write_key(name, run.system.peer_key)


def hold(run, name):
    """Let nothing pass between a daemon and the platform."""
    run.system.platform_relays[name].hold()


def change_target(run, name, **behaviour):
    """Change the behaviour of a target."""
    values = {key: _value(text) for key, text in behaviour.items()}
    run.system.set_target(name, **values)


def change_list(run, name, state):
    """Change what the platform's list says of an instance."""
    if state == "leaving":
        run.system.leaving.add(name)
    else:
        run.system.leaving.discard(name)
    run.system.publish_instances()


def _value(text):
    """Read a behaviour's value: yes, no, a number or a word."""
    if text in ("yes", "no"):
        return text == "yes"
    try:
        number = float(text)
    except ValueError:
        return text
    return int(number) if number.is_integer() else number


STEPS = {
    "platform": platform,
    "target": target,
    "daemon": daemon,
    "serve": serve,
    "kill": kill,
    "stop": stop,
    "freeze": freeze,
    "thaw": thaw,
    "restart": restart,
    "cut": cut,
    "heal": heal,
    "hold": hold,
    "set": change_target,
    "list": change_list,
}
