"""Workspaces in force at this daemon."""

from collections.abc import Iterable

import attrs

from cairnferry.records import Workspace, digest_key


@attrs.define
class WorkspaceRegistry:
    """Workspaces in force, by name and by the digests of their keys.

    Attributes
    ----------
    is_required : bool
        Whether callers have to authenticate.
    """

    is_required: bool = False
    _by_name: dict[str, Workspace] = attrs.field(factory=dict)
    _by_digest: dict[str, Workspace] = attrs.field(factory=dict)

    def install(self, workspaces: Iterable[Workspace] | None) -> None:
        """Put workspaces in force; with None, callers need not authenticate."""
        self.is_required = workspaces is not None
        by_name = {workspace.name: workspace for workspace in workspaces or ()}
        self._by_digest = {
            digest: workspace
            for workspace in by_name.values()
            for digest in workspace.key_digests
        }
        self._by_name = by_name

    def find(self, key: str) -> Workspace | None:
        """Return the workspace that holds an API key.

        The digest is looked up, not the key. The time of the look-up thus reveals
        nothing about keys that are similar to a given one.
        """
        return self._by_digest.get(digest_key(key))

    def get(self, name: str) -> Workspace | None:
        """Return a workspace by its name."""
        return self._by_name.get(name)

    def all(self) -> list[Workspace]:
        """Return all workspaces, by name."""
        return sorted(self._by_name.values(), key=lambda each: each.name)

    def __len__(self):
        return len(self._by_name)
