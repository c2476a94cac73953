"""The internal form that every schema version is turned into."""

import enum

import attrs


class Kind(enum.StrEnum):
    """Kind of a record."""

    SERVICE = "service"
    TARGET = "target"
    ROUTE = "route"
    ZONE = "zone"


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
    retry_slack : float
        Retries and hedges in one window beyond that share, over all instances.
    retry_window_s : float or None
        Length of the sliding window in seconds in which they are counted; None
        counts them against what was earned and not yet spent.
    health_path : str or None
        Path of the targets' health endpoint, where their own records do not tell.
    warmup_per_s : float
        Requests a second that a cold target takes from all entry instances; 0 if there
        is no such limit.
    """

    name: str
    deadline_ms: int
    retry_ratio: float
    hedging: bool
    queue_limit: int
    retry_slack: float = 0
    retry_window_s: float | None = None
    health_path: str | None = None
    warmup_per_s: float = 0.0

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
    warmup_s : float
        Seconds for which the target is still slow after its start, from the time
        at which the record was made.
    started_ms : int
        Time of the target's start in milliseconds since 1970; 0 if its platform does
        not tell it, as each start has a name of its own there.
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
    warmup_s: float = 0.0
    started_ms: int = 0

    @property
    def key(self):
        """Key of the record."""
        return RecordKey(Kind.TARGET, self.name)

    @property
    def identity(self) -> str:
        """Name of this start of the target.

        A target that starts again under its name knows nothing of before. What is
        believed of it is kept by this name, so that what comes late from the earlier
        start, such as the word that it is leaving, does not hit the later one.
        """
        return f"{self.name}@{self.started_ms}" if self.started_ms else self.name

    @property
    def address(self):
        """Address as (host, port)."""
        return (self.host, self.port)


@attrs.frozen
class Backend:
    """A service that gets a part of a route's requests.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Its part, in proportion to the weights of the others.
    """

    service: str
    weight: float


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
    host : str or None
        Host that the request must name, in lower case; None takes any.
    idempotent : bool or None
        Whether its requests may be sent more than once; None goes by the method.
    backends : tuple of Backend
        Services that share the requests by weight; empty sends all to `service`.
    max_attempts : int or None
        Most targets that one request may be sent to; None leaves it to the policy.
    objective_ms : int or None
        Time within which an answer is of full use, in milliseconds.
    rank : int
        Order among requests that wait for the same service; 0 goes first.
    limit_ms : int or None
        Longest time for a request in milliseconds, whatever its caller gives it.
    """

    name: str
    path_prefix: str
    service: str
    idempotent_methods: frozenset[str]
    deadline_ms: int | None
    priority: Priority
    host: str | None = None
    idempotent: bool | None = None
    backends: tuple[Backend, ...] = ()
    max_attempts: int | None = None
    objective_ms: int | None = None
    rank: int = 0
    max_deadline_ms: int | None = None

    def service_names(self) -> list[str]:
        """List the services that may get its requests."""
        return [backend.service for backend in self.backends] or [self.service]

    def may_resend(self, method: str) -> bool:
        """Tell whether a request with this method may be sent more than once."""
        if self.idempotent is not None:
            return self.idempotent
        return method in self.idempotent_methods

    @property
    def key(self):
        """Key of the record."""
        return RecordKey(Kind.ROUTE, self.name)


@attrs.frozen
class Zone:
    """What operators say of an availability zone.

    Attributes
    ----------
    name : str
        Name of the zone, as targets and instances have it.
    evacuated : bool
        Whether its targets are to be sent nothing.
    """

    name: str
    evacuated: bool

    @property
    def key(self):
        """Key of the record."""
        return RecordKey(Kind.ZONE, self.name)


Record = Service | Target | Route | Zone
