"""The platform's list of instances, in Prometheus' HTTP discovery format."""

import json

import attrs
from expression import Error, Ok, Result

from cairnferry.cloudapi._meter import CallMeter
from cairnferry.coordination import TableUnavailable
from cairnferry.wire import Client, Reply, describe_outcome

HTTP_OK = 200
LEAVING = "leaving"


@attrs.frozen
class Instance:
    """One instance as the platform sees it, some time ago.

    Attributes
    ----------
    name, zone : str
        Names of the instance and of its availability zone.
    role : str
        "entry" for entry instances, "target" for targets.
    address : str
        "IP:port"; the peer address of an entry instance.
    leaving : bool
        Whether it is about to be taken away.
    """

    name: str
    zone: str
    role: str
    address: str
    leaving: bool


@attrs.define
class InstanceList:
    """Client of the list, which lags.

    Parameters
    ----------
    client : Client
        Connection to the service.
    path : str
        Path of the list.
    timeout : float
        Seconds for one call.
    """

    client: Client
    path: str
    timeout: float
    meter: CallMeter = attrs.field(factory=CallMeter)

    def fetch(self) -> Result[list[Instance], TableUnavailable]:
        """Read the list."""
        outcome = self.client.call(
            "GET", self.path, timeout=self.timeout, idempotent=True
        )
        good = isinstance(outcome, Reply) and outcome.status == HTTP_OK
        received = len(outcome.body) if isinstance(outcome, Reply) else 0
        self.meter.note(write=False, sent=0, received=received, failed=not good)
        if not good:
            return Error(TableUnavailable(describe_outcome(outcome)))
        try:
            return Ok(_parse(json.loads(outcome.body)))
        except (ValueError, KeyError, TypeError, IndexError):
            return Error(TableUnavailable("instance list is malformed"))


def _parse(groups):
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
