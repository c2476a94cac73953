"""Processes that a test has started, for the report of its failure."""

import attrs

# Lines of each log in a report.
LOG_LINES = 15


@attrs.define
class StartedProcesses:
    """Processes of the current test, with their logs."""

    _started: list = attrs.field(factory=list)

    def add(self, popen, log):
        self._started.append((popen, log))

    def clear(self):
        self._started.clear()

    def describe(self):
        return "\n".join(self._describe(*started) for started in self._started)

    def _describe(self, popen, log):
        code = popen.poll()
        state = "running" if code is None else f"ended with {code}"
        lines = log.read_text(errors="replace").splitlines() if log.exists() else []
        head = f"{log} (process {popen.pid}): {state}"
        return "\n".join([head, *(f"  {line}" for line in lines[-LOG_LINES:])])


STARTED = StartedProcesses()
