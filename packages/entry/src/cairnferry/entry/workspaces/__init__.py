"""Workspaces: authentication of callers by API keys, and limits of requests."""

from cairnferry.entry.workspaces._authentication import KeyFault, authenticate
from cairnferry.entry.workspaces._limiter import Admitted, OverLimit, WorkspaceLimiter
from cairnferry.entry.workspaces._registry import WorkspaceRegistry
from cairnferry.entry.workspaces._token_calls import TokenCalls
from cairnferry.entry.workspaces._token_owner import TokenOwner

__all__ = [
    "Admitted",
    "KeyFault",
    "OverLimit",
    "TokenCalls",
    "TokenOwner",
    "WorkspaceLimiter",
    "WorkspaceRegistry",
    "authenticate",
]
