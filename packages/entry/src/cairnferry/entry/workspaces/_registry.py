"""Workspaces in force at this daemon."""

import operator
from collections.abc import Iterable

import attrs
from expression import Error, Ok, Result

from cairnferry.entry._steps import Steps
from cairnferry.entry.workspaces._faults import KeyFault
from cairnferry.records import Workspace, digest_key

_UNKNOWN = Error(KeyFault.UNKNOWN)


def _are_same(workspaces, others):
    """Return whether two tuples hold the same objects, without comparing their keys."""
    if others is None or len(workspaces) != len(others):
        return False
    return all(map(operator.is_, workspaces, others))


@attrs.frozen
class WorkspaceIndex:
    """Workspaces of one revision, by the digests of their keys.

    Attributes
    ----------
    workspaces : tuple of Workspace or None
        The workspaces; None if callers need not authenticate.
    by_name, by_digest : dict of str to Workspace
        The workspaces by name, and by the digest of each key.
    results : dict of str to Ok of Workspace
        Results of authentication by the name of the workspace, created at first use.
        Creating one for each request takes 5 us.
    """

    workspaces: tuple[Workspace, ...] | None = None
    by_name: dict[str, Workspace] = attrs.field(factory=dict)
    by_digest: dict[str, Workspace] = attrs.field(factory=dict)
    results: dict[str, Result[Workspace, KeyFault]] = attrs.field(factory=dict)


@attrs.define
class WorkspaceRegistry:
    """Workspaces in force.

    Attributes
    ----------
    generation : int
        Number of times that rules were put in force.
    """

    generation: int = 0
    _index: WorkspaceIndex = attrs.field(factory=WorkspaceIndex)

    @property
    def is_required(self) -> bool:
        """Whether callers have to authenticate."""
        return self._index.workspaces is not None

    def prepare(self, workspaces: Iterable[Workspace] | None) -> WorkspaceIndex:
        """Index workspaces, in steps between which other tasks run.

        Parameters
        ----------
        workspaces : iterable of Workspace or None
            All workspaces; None if callers need not authenticate.
        """
        if workspaces is None:
            return WorkspaceIndex()
        workspaces = tuple(workspaces)
        if _are_same(workspaces, self._index.workspaces):
            return self._index
        by_name, by_digest = {}, {}
        steps = Steps()
        for workspace in workspaces:
            by_name[workspace.name] = workspace
            for digest in workspace.key_digests:
                by_digest[digest] = workspace
            steps.pause()
        return WorkspaceIndex(workspaces, by_name, by_digest)

    def install(self, index: WorkspaceIndex) -> None:
        """Put prepared workspaces in force, as a whole."""
        self._index = index
        self.generation += 1

    def find(self, key: str) -> Result[Workspace, KeyFault]:
        """Return the workspace that holds an API key, or the fault that none does.

        The digest is looked up, not the key. The time of the look-up thus reveals
        nothing about keys that are similar to a given one.
        """
        return self.find_digest(digest_key(key))

    def find_digest(self, digest: str) -> Result[Workspace, KeyFault]:
        """Return the workspace that holds the key of a digest, or the fault."""
        index = self._index
        workspace = index.by_digest.get(digest)
        if workspace is None:
            return _UNKNOWN
        result = index.results.get(workspace.name)
        if result is None:
            result = index.results[workspace.name] = Ok(workspace)
        return result

    def get(self, name: str) -> Workspace | None:
        """Return a workspace by its name."""
        return self._index.by_name.get(name)

    def snapshot(self) -> dict:
        """Return the state for a dump, as plain values."""
        return {"count": len(self), "required": self.is_required}

    def all(self) -> list[Workspace]:
        """Return all workspaces, by name."""
        return sorted(self._index.by_name.values(), key=lambda each: each.name)

    def __len__(self):
        return len(self._index.by_name)
