"""Reload of settings that change while the daemon runs."""

import logging
from collections.abc import Callable

import attrs
from expression import Result
from gevent.event import Event

# Seconds between two checks of the file, which may change without a signal.
POLL_S = 2.0

log = logging.getLogger(__name__)


@attrs.define
class SettingsWatch:
    """Reloads a settings file on request and when it has changed.

    Parameters
    ----------
    path : str
        Path of the file.
    read : callable
        Parses the text of the file; returns the settings, or all faults in them.
    apply : callable
        Puts settings in force.
    reload_requested : Event
        Set to request a reload.
    text : str
        Text of the settings in force.
    """

    path: str
    read: Callable[[str], Result[object, list]]
    apply: Callable[[object], None]
    reload_requested: Event
    text: str

    def run(self) -> None:
        """Check the file forever, periodically and on request."""
        while True:
            self.reload_requested.wait(POLL_S)
            is_requested = self.reload_requested.is_set()
            self.reload_requested.clear()
            self.check(is_requested)

    def check(self, is_requested: bool) -> None:
        """Check the file once; settings that cannot be read have no effect.

        Parameters
        ----------
        is_requested : bool
            Whether the reload was requested, so that an unchanged file is logged too.
        """
        try:
            with open(self.path, encoding="utf-8") as file:
                text = file.read()
        except (OSError, UnicodeDecodeError) as exc:
            log.error("settings kept", extra={"path": self.path, "why": str(exc)})
            return
        if text == self.text:
            if is_requested:
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
