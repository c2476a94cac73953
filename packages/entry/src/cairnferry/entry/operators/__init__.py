"""Operators' HTTP interface, and the queue of submitted changes."""

from cairnferry.entry.operators._operators import OperatorsApp, TokenFile
from cairnferry.entry.operators._submissions import Submissions

__all__ = [
    "OperatorsApp",
    "Submissions",
    "TokenFile",
]
