"""Records in force where they come from the log of changes."""

from cairnferry.entry.changelog._change_log_sync import ChangeLogSync
from cairnferry.entry.changelog._configuration import Configuration

__all__ = [
    "Configuration",
    "ChangeLogSync",
]
