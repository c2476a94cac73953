"""The daemon for the project's own platform interface, built from its parts."""

from cairnferry.entry.daemon._daemon import Daemon

__all__ = [
    "Daemon",
]
