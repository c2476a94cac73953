"""The daemon on its own interface: the parts put together."""

from cairnferry.entry.daemon._daemon import Daemon

__all__ = [
    "Daemon",
]
