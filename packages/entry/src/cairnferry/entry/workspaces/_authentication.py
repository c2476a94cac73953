"""Authentication of a request by its head."""

import re

from expression import Error, Ok, Result

from cairnferry.entry.workspaces._faults import KeyFault
from cairnferry.entry.workspaces._registry import WorkspaceRegistry
from cairnferry.records import Workspace

SCHEME = "bearer"
# A key consists of visible characters. Longer ones are rejected before they are hashed.
_KEY = re.compile(r"[!-~]{1,512}")


def authenticate(
    authorizations: list[str], anonymous: bool, registry: WorkspaceRegistry
) -> Result[Workspace | None, KeyFault]:
    """Return the workspace of a caller.

    Parameters
    ----------
    authorizations : list of str
        Values of all Authorization fields of the request.
    anonymous : bool
        Whether the request needs no key.
    registry : WorkspaceRegistry
        Workspaces in force.

    Returns
    -------
    Result of Workspace or None
        None if the request needs no key and has none.
    """
    if not authorizations:
        return Ok(None) if anonymous else Error(KeyFault.MISSING)
    if len(authorizations) > 1:
        return Error(KeyFault.REPEATED)
    scheme, _, key = authorizations[0].partition(" ")
    key = key.strip(" ")
    if scheme.lower() != SCHEME or not _KEY.fullmatch(key):
        return Error(KeyFault.MALFORMED)
    return registry.find(key)
