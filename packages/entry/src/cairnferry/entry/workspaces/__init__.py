"""Workspaces: authentication of callers by API keys."""

from cairnferry.entry.workspaces._authentication import KeyFault, authenticate
from cairnferry.entry.workspaces._registry import WorkspaceRegistry

__all__ = ["KeyFault", "WorkspaceRegistry", "authenticate"]
