"""The operators' listener, and changes on their way into the log."""

from cairnferry.entry.operators._operators import OperatorsApp, TokenFile
from cairnferry.entry.operators._submissions import Submissions

__all__ = [
    "OperatorsApp",
    "Submissions",
    "TokenFile",
]
