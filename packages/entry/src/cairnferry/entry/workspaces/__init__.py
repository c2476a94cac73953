"""Workspaces: authentication of callers by API keys."""

from cairnferry.entry.workspaces._authentication import authenticate
from cairnferry.entry.workspaces._faults import KeyFault
from cairnferry.entry.workspaces._registry import WorkspaceIndex, WorkspaceRegistry

__all__ = ["KeyFault", "WorkspaceIndex", "WorkspaceRegistry", "authenticate"]
