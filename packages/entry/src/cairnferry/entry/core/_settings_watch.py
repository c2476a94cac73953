"""Taking in settings that change while the daemon runs."""

import logging
from collections.abc import Callable

import attrs
from expression import Result
from gevent.event import Event

# Seconds between two looks at the file, which may change without a signal.
LOOK_S = 2.0

log = logging.getLogger(__name__)


@attrs.define
class SettingsWatch:
    """Reads a settings file again when told to, and now and then.

    Parameters
    ----------
    path : str
        The file.
    read : callable
        Reads its text; gives the settings, or every fault found.
    apply : callable
        Puts settings in force.
    told : Event
        Set when the file is said to have changed.
    text : str
        What is in force.
    """

    path: str
    read: Callable[[str], Result[object, list]]
    apply: Callable[[object], None]
    told: Event
    text: str

    def run(self) -> None:
        """Look for ever."""
        while True:
            self.told.wait(LOOK_S)
            was_told = self.told.is_set()
            self.told.clear()
            self.look(was_told)

    def look(self, was_told: bool) -> None:
        """Look once; settings that cannot be read change nothing."""
        try:
            with open(self.path, encoding="utf-8") as file:
                text = file.read()
        except (OSError, UnicodeDecodeError) as exc:
            log.error("settings kept", extra={"path": self.path, "why": str(exc)})
            return
        if text == self.text:
            if was_told:
                log.info("reload", extra={"changed": []})
            return
        settings = self.read(text)
        if settings.is_error():
            faults = [str(fault) for fault in settings.error]
            log.error("settings kept", extra={"path": self.path, "why": faults})
            return
        before = set(self.text.splitlines())
        changed = [line for line in text.splitlines() if line not in before]
        self.text = text
        self.apply(settings.ok)
        log.info("reload", extra={"changed": changed})
