"""Core of the daemon, which does not depend on the platform."""

from cairnferry.entry.core._core import Core
from cairnferry.entry.core._core_settings import (
    Conventions,
    CoreSettings,
    PeerSettings,
    default_memory_bytes,
)
from cairnferry.entry.core._ephemeral import (
    answer_ttl_s,
    ephemeral_instance_settings,
    leaving_times,
)
from cairnferry.entry.core._settings_watch import SettingsWatch

__all__ = [
    "Conventions",
    "Core",
    "CoreSettings",
    "PeerSettings",
    "SettingsWatch",
    "default_memory_bytes",
    "answer_ttl_s",
    "ephemeral_instance_settings",
    "leaving_times",
]
