"""What else may cut, keep or lose a request while a daemon stops."""

import time

from cairnferry.policy import LeavingTimes

# -- the end ---------------------------------------------------------------------------


def test_stall_in_a_stop_does_not_move_its_end(daemon, monkeypatch):
    """Guards against a daemon that is killed by the platform before its requests end.

    The failure occurs if the time to finish counts from the moment at which the daemon
    notices that it has served for long enough.
    """
    server = daemon.core.callers_server
    seconds = []

    def finish(limit_s, keep_idle_s):
        seconds.append(limit_s)
        return True

    monkeypatch.setattr(server, "finish", finish)
    daemon.core.set_leaving_times(LeavingTimes(60.0, 60.0))
    daemon.core.departure.begin(time.monotonic() - 90.0)
    daemon.core.leave()
    assert daemon.core.run_to_end() == 0
    assert 0 < seconds[0] <= 30.0
