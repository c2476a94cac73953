"""Command-line tool for operators."""

from cairnferry.ctl._api import Api, ApiError, Unreachable

__all__ = ["Api", "ApiError", "Unreachable"]
