"""INI settings, checked against a table of keys, all faults told at once."""

from cairnferry.settings._faults import SettingFault
from cairnferry.settings._keys import Address, Key, Sort, parse_address
from cairnferry.settings._reader import Settings, describe, read_settings

__all__ = [
    "Address",
    "Key",
    "SettingFault",
    "Settings",
    "Sort",
    "describe",
    "parse_address",
    "read_settings",
]
