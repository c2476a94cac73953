"""Workspaces: authentication of callers by API keys."""

from cairnferry.entry.workspaces._authentication import KeyFault, authenticate
from cairnferry.entry.workspaces._registry import WorkspaceIndex, WorkspaceRegistry

__all__ = ["KeyFault", "WorkspaceIndex", "WorkspaceRegistry", "authenticate"]
