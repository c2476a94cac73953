"""The daemon for the default platform interface."""

from cairnferry.entry.daemon._daemon import Daemon

__all__ = [
    "Daemon",
]
