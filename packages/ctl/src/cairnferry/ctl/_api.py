"""Calls to the operators' listener of any daemon."""

import json

import attrs
from expression import Error, Ok, Result

from cairnferry.wire import Client, Incomplete, NotSent, Reply

TIMEOUT_S = 15.0
HTTP_ERROR = 400


@attrs.frozen
class ApiError:
    """The daemon answered with an error.

    Attributes
    ----------
    status : int
        HTTP status.
    document : dict
        Body of the answer.
    """

    status: int
    document: dict


@attrs.frozen
class Unreachable:
    """No answer came.

    Attributes
    ----------
    address : str
        The daemon.
    sent : bool
        Whether the request may have arrived.
    reason : str
        Name of the failure.
    """

    address: str
    sent: bool
    reason: str


@attrs.define
class Api:
    """Client of one daemon.

    Parameters
    ----------
    client : Client
        Connection to the operators' listener.
    token : str or None
        Token of the operator.
    """

    client: Client
    token: str | None = attrs.field(default=None, repr=False)

    def get(self, path: str) -> Result[dict, ApiError | Unreachable]:
        """Read a page."""
        return self._call("GET", path, b"")

    def post(self, path: str, document: dict) -> Result[dict, ApiError | Unreachable]:
        """Send a document."""
        return self._call("POST", path, json.dumps(document).encode())

    def _call(self, method, path, body):
        headers = [("Content-Type", "application/json")]
        if self.token:
            headers.append(("Authorization", f"Bearer {self.token}"))
        outcome = self.client.call(
            method, path, timeout=TIMEOUT_S, headers=headers, body=body
        )
        match outcome:
            case Reply(status=status, body=answer):
                return _decoded(status, answer)
            case NotSent(failure):
                return Error(Unreachable(self.client.authority, False, str(failure)))
            case Incomplete(failure):
                return Error(Unreachable(self.client.authority, True, str(failure)))


def _decoded(status, body):
    try:
        document = json.loads(body)
    except ValueError:
        document = {"message": "the answer is not JSON"}
    if status >= HTTP_ERROR:
        return Error(ApiError(status, document))
    return Ok(document)
