"""Records in force where they come from the log of changes."""

from cairnferry.entry.changelog._configuration import Configuration
from cairnferry.entry.changelog._distribution import Distribution

__all__ = [
    "Configuration",
    "Distribution",
]
