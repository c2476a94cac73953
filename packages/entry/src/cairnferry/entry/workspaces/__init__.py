"""Workspaces: authentication of callers by API keys, and limits of requests."""

from cairnferry.entry.workspaces._authentication import authenticate, digest_of
from cairnferry.entry.workspaces._faults import KeyFault
from cairnferry.entry.workspaces._limiter import Admitted, OverLimit, WorkspaceLimiter
from cairnferry.entry.workspaces._registry import WorkspaceIndex, WorkspaceRegistry
from cairnferry.entry.workspaces._token_calls import TokenCalls
from cairnferry.entry.workspaces._token_owner import TokenOwner

__all__ = [
    "Admitted",
    "KeyFault",
    "OverLimit",
    "TokenCalls",
    "TokenOwner",
    "WorkspaceIndex",
    "WorkspaceLimiter",
    "WorkspaceRegistry",
    "authenticate",
    "digest_of",
]
