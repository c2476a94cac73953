"""INI settings, validated against a table of keys; all errors are reported at once."""

from cairnferry.settings._faults import SettingFault
from cairnferry.settings._keys import Address, Key, ValueType, parse_address
from cairnferry.settings._reader import Settings, format_key_table, read_settings

__all__ = [
    "Address",
    "Key",
    "SettingFault",
    "Settings",
    "ValueType",
    "format_key_table",
    "parse_address",
    "read_settings",
]
