"""Stand-in for a target that crashes when it runs a marked request."""

import gevent

from ._standins import HostedTarget, target_row


class CrashingTarget:
    """A target that crashes as it begins to run a marked request, and restarts later.

    Each start has its own name and row, as targets of the platform do.
    """

    MARK = "poison"
    DOWN_S = 1.0

    def __init__(self, store, name, service="svc"):
        self.store = store
        self.name = name
        self.service = service
        self.crashes = 0
        self.ran = []
        self._starts = 0
        self._port = 0
        self._timer = None
        self._start()

    def _start(self):
        self._starts += 1
        name = f"{self.name}-{self._starts}"
        self._target = HostedTarget(name, self._behave, port=self._port)
        self._port = self._target.port
        self.store.put("servers", name, target_row(self._port, self.service))

    def _behave(self, number):
        _, path, _, body = self._target.seen[-1]
        self.ran.append(path)
        if self.MARK not in path and self.MARK.encode() not in body[:100]:
            return
        self.crashes += 1
        self._target.crash()
        self._timer = gevent.spawn_later(self.DOWN_S, self._restart)
        raise ConnectionAbortedError

    def _restart(self):
        self.store.drop("servers", self._target.name)
        self._start()

    def register(self):
        """Write the row again and remove those of earlier starts, after a restore."""
        for start in range(1, self._starts):
            self.store.drop("servers", f"{self.name}-{start}")
        row = target_row(self._port, self.service)
        self.store.put("servers", self._target.name, row)

    def stop(self):
        if self._timer is not None:
            self._timer.kill()
        self._target.stop()
