"""Client of the platform's instance list in the HTTP discovery format of Prometheus."""

import attrs
from expression import Error, Result

from cairnferry.cloudapi._meter import CallMeter
from cairnferry.coordination import TableUnavailable
from cairnferry.decoding import decode, load_json
from cairnferry.wire import Client, Reply, describe_outcome

HTTP_OK = 200
LEAVING = "leaving"


@attrs.frozen
class Instance:
    """One instance of the platform's list, which may be outdated.

    Attributes
    ----------
    name, zone : str
        Names of the instance and its availability zone.
    role : str
        "entry" for entry instances, "target" for targets.
    address : str
        "IP:port"; the peer address of an entry instance.
    leaving : bool
        Whether the instance is about to be terminated.
    """

    name: str
    zone: str
    role: str
    address: str
    leaving: bool


@attrs.define
class InstanceList:
    """Client of the instance list; the list lags behind the actual state.

    Parameters
    ----------
    client : Client
        HTTP client of the service.
    path : str
        Path of the list.
    timeout : float
        Timeout of one call in seconds.
    meter : CallMeter, optional
        Counts the calls.
    """

    client: Client
    path: str
    timeout: float
    meter: CallMeter = attrs.field(factory=CallMeter)

    def fetch(self) -> Result[list[Instance], TableUnavailable]:
        """Return the instances of the list."""
        outcome = self.client.call(
            "GET", self.path, timeout=self.timeout, idempotent=True
        )
        is_ok = isinstance(outcome, Reply) and outcome.status == HTTP_OK
        received = len(outcome.body) if isinstance(outcome, Reply) else 0
        self.meter.record(write=False, sent=0, received=received, failed=not is_ok)
        if not is_ok:
            return Error(TableUnavailable(describe_outcome(outcome)))
        decoded = decode(lambda: _parse_groups(load_json(outcome.body)))
        return decoded.map_error(
            lambda exc: TableUnavailable(f"instance list is malformed: {exc}")
        )


def _parse_groups(groups):
    instances = []
    for group in groups:
        labels = group["labels"]
        instance = Instance(
            name=labels["__meta_name"],
            zone=labels["__meta_zone"],
            role=labels["__meta_role"],
            address=group["targets"][0],
            leaving=labels.get("__meta_state") == LEAVING,
        )
        instances.append(instance)
    return instances
