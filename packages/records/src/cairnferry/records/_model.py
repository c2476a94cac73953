"""The internal form that every schema version is turned into."""

import enum

import attrs


class Kind(enum.StrEnum):
    """Kind of a record."""

    SERVICE = "service"
    TARGET = "target"
    ROUTE = "route"


class Lifecycle(enum.StrEnum):
    """Whether a target may be given new work."""

    ACTIVE = "active"
    DRAINING = "draining"


class Priority(enum.StrEnum):
    """Class of the requests of a route.

    Background requests take only the capacity that interactive ones leave.
    """

    INTERACTIVE = "interactive"
    BACKGROUND = "background"


@attrs.frozen(order=True)
class RecordKey:
    """Name of a record, unique within its kind."""

    kind: Kind
    name: str

    def __str__(self):
        return f"{self.kind}/{self.name}"


@attrs.frozen
class RefusalContract:
    """How a target says that it did not run a request.

    Both have to be present in an answer; a status alone proves nothing.

    Attributes
    ----------
    status : int
        HTTP status of the refusal.
    header : str
        Lower-case name of the header that a refusal carries.
    """

    status: int
    header: str


@attrs.frozen
class Service:
    """Targets that serve the same requests, and what is common to them.

    Attributes
    ----------
    name : str
        Name of the service.
    deadline_ms : int
        Default time for a request, from its arrival, in milliseconds.
    retry_ratio : float
        Retries and hedges as a share of first attempts, 0 to 1.
    hedging : bool
        Whether idempotent requests may be sent a second time early.
    queue_limit : int
        Requests that may wait for a target at one entry instance.
    """

    name: str
    deadline_ms: int
    retry_ratio: float
    hedging: bool
    queue_limit: int

    @property
    def key(self):
        """Key of the record."""
        return RecordKey(Kind.SERVICE, self.name)


@attrs.frozen
class Target:
    """One upstream of a service.

    Attributes
    ----------
    name, service, zone : str
        Names of the target, of its service and of its availability zone.
    host : str
        IP address.
    port : int
        TCP port.
    slots : int
        Requests that the target runs at the same time.
    lifecycle : Lifecycle
        Whether new work may go there.
    health_path : str
        Path of the health endpoint.
    refusal : RefusalContract or None
        How the target says that it did not run a request.
    """

    name: str
    service: str
    zone: str
    host: str
    port: int
    slots: int
    lifecycle: Lifecycle
    health_path: str
    refusal: RefusalContract | None

    @property
    def key(self):
        """Key of the record."""
        return RecordKey(Kind.TARGET, self.name)

    @property
    def address(self):
        """Address as (host, port)."""
        return (self.host, self.port)


@attrs.frozen
class Route:
    """Rule that sends a path prefix to a service.

    Attributes
    ----------
    name : str
        Name of the route.
    path_prefix : str
        Longest matching prefix wins.
    service : str
        Service that answers.
    idempotent_methods : frozenset of str
        Methods that may be sent more than once.
    deadline_ms : int or None
        Time for a request in milliseconds; None takes the service's.
    priority : Priority
        Class of the requests.
    """

    name: str
    path_prefix: str
    service: str
    idempotent_methods: frozenset[str]
    deadline_ms: int | None
    priority: Priority

    @property
    def key(self):
        """Key of the record."""
        return RecordKey(Kind.ROUTE, self.name)


Record = Service | Target | Route
