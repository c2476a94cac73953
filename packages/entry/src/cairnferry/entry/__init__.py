"""The daemon of an entry instance."""

from cairnferry.entry._keys import KEYS

__all__ = ["KEYS"]
