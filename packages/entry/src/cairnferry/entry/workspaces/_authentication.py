"""Authentication of a request by its head."""

import re

from expression import Error, Ok, Result

from cairnferry.entry.workspaces._faults import KeyFault
from cairnferry.entry.workspaces._registry import WorkspaceRegistry
from cairnferry.records import Workspace, digest_key

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
    key = _read_key(authorizations[0])
    return Error(KeyFault.MALFORMED) if key is None else registry.find(key)


def digest_of(authorizations: list[str]) -> str:
    """Return the digest of a caller's key; empty if it sent none that can be read.

    Parameters
    ----------
    authorizations : list of str
        Values of all Authorization fields of the request.
    """
    key = _read_key(authorizations[0]) if len(authorizations) == 1 else None
    return "" if key is None else digest_key(key)


def _read_key(authorization):
    scheme, _, key = authorization.partition(" ")
    key = key.strip(" ")
    is_key = scheme.lower() == SCHEME and _KEY.fullmatch(key)
    return key if is_key else None
