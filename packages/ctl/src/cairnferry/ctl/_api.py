"""Client for the operators' listener of a daemon."""

import json

import attrs
from expression import Error, Ok, Result

from cairnferry.decoding import decode, load_json
from cairnferry.wire import Client, Incomplete, NotSent, Reply

TIMEOUT_S = 15.0
MIN_ERROR_STATUS = 400


@attrs.frozen
class ApiError:
    """Error response of the daemon.

    Attributes
    ----------
    status : int
        HTTP status.
    document : dict
        Body of the response.
    """

    status: int
    document: dict


@attrs.frozen
class Unreachable:
    """The daemon did not return a complete response.

    Attributes
    ----------
    address : str
        "IP:port" of the daemon.
    sent : bool
        Whether the daemon may have received the request.
    reason : str
        Name of the failure.
    """

    address: str
    sent: bool
    reason: str


@attrs.define
class Api:
    """Client for one daemon.

    Parameters
    ----------
    client : Client
        HTTP client for the operators' listener.
    token : str or None
        Token of the operator; None to send none.
    """

    client: Client
    token: str | None = attrs.field(default=None, repr=False)

    def get(self, path: str) -> Result[dict, ApiError | Unreachable]:
        """Return the document at a path."""
        return self._call("GET", path, b"")

    def post(self, path: str, document: dict) -> Result[dict, ApiError | Unreachable]:
        """Post a document to a path, and return the document in the response."""
        return self._call("POST", path, json.dumps(document).encode())

    def _call(self, method, path, body):
        headers = [("Content-Type", "application/json")]
        if self.token:
            headers.append(("Authorization", f"Bearer {self.token}"))
        outcome = self.client.call(
            method, path, timeout=TIMEOUT_S, headers=headers, body=body
        )
        match outcome:
            case Reply(status=status, body=response_body):
                return _decode(status, response_body)
            case NotSent(failure):
                return Error(Unreachable(self.client.authority, False, str(failure)))
            case Incomplete(failure):
                return Error(Unreachable(self.client.authority, True, str(failure)))


def _decode(status, body):
    decoded = decode(lambda: load_json(body))
    document = decoded.default_value({"message": "the response is not JSON"})
    if status >= MIN_ERROR_STATUS:
        return Error(ApiError(status, document))
    return Ok(document)
