"""Records in force at a daemon that reads them from the change log."""

from cairnferry.entry.changelog._change_log_sync import ChangeLogSync
from cairnferry.entry.changelog._configuration import Configuration

__all__ = [
    "ChangeLogSync",
    "Configuration",
]
