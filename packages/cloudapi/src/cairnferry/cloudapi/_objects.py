"""Client of an object store with the REST protocol of Amazon S3."""

import attrs
from expression import Error, Ok, Result

from cairnferry.cloudapi._meter import CallMeter
from cairnferry.cloudapi._signing import Signer
from cairnferry.wire import Client, Reply, describe_outcome

HTTP_OK = 200
HTTP_NOT_FOUND = 404


@attrs.frozen
class ObjectStoreUnavailable:
    """The object store returned no usable response."""

    reason: str


@attrs.define
class ObjectStore:
    """Client of one bucket.

    Parameters
    ----------
    client : Client
        HTTP client of the service.
    bucket : str
        Name of the bucket.
    signer : Signer
        Signs each request.
    timeout : float
        Timeout of one call in seconds.
    meter : CallMeter, optional
        Counts the calls.
    """

    client: Client
    bucket: str
    signer: Signer
    timeout: float
    meter: CallMeter = attrs.field(factory=CallMeter)

    def get(self, name: str) -> Result[bytes | None, ObjectStoreUnavailable]:
        """Return the content of an object, or None if it does not exist."""
        outcome = self._call("GET", name, b"")
        match outcome:
            case Reply(status=status, body=body) if status == HTTP_OK:
                return Ok(body)
            case Reply(status=status) if status == HTTP_NOT_FOUND:
                return Ok(None)
            case _:
                return Error(ObjectStoreUnavailable(describe_outcome(outcome)))

    def put(self, name: str, body: bytes) -> Result[None, ObjectStoreUnavailable]:
        """Write the complete content of an object."""
        outcome = self._call("PUT", name, body)
        if isinstance(outcome, Reply) and outcome.status == HTTP_OK:
            return Ok(None)
        return Error(ObjectStoreUnavailable(describe_outcome(outcome)))

    def _call(self, method, name, body):
        path = f"/{self.bucket}/{name}"
        headers = self.signer.sign(method, self.client.authority, path, [], body)
        outcome = self.client.call(
            method, path, timeout=self.timeout, headers=headers, body=body
        )
        self.meter.record(
            write=method == "PUT",
            sent=len(body),
            received=len(outcome.body) if isinstance(outcome, Reply) else 0,
            failed=not isinstance(outcome, Reply),
        )
        return outcome
