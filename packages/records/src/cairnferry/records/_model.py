"""Internal form of records, common to all schema versions."""

import enum
import hashlib

import attrs


class Kind(enum.StrEnum):
    """Kind of a record."""

    SERVICE = "service"
    TARGET = "target"
    ROUTE = "route"
    ZONE = "zone"
    WORKSPACE = "workspace"


class Lifecycle(enum.StrEnum):
    """Whether a target accepts new requests."""

    ACTIVE = "active"
    DRAINING = "draining"


class Priority(enum.StrEnum):
    """Priority class of the requests of a route.

    Background requests use only the capacity that interactive requests leave free.
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
    """Response by which a target declares that it did not run a request.

    A refusal must have both the status and the header; the status alone proves nothing.

    Attributes
    ----------
    status : int
        HTTP status of a refusal.
    header : str
        Lower-case name of the header that a refusal carries.
    """

    status: int
    header: str


@attrs.frozen
class Service:
    """Targets that serve the same requests, and their common settings.

    Attributes
    ----------
    name : str
        Name of the service.
    deadline_ms : int
        Default deadline of a request in milliseconds from its arrival.
    retry_ratio : float
        Maximum ratio of retries and hedges to first attempts, 0 to 1.
    hedging : bool
        Whether an idempotent request may be hedged.
    queue_limit : int
        Maximum number of requests that wait for a target at one entry instance.
    retry_slack : float
        Number of retries and hedges in one window that all entry instances together may
        send beyond that ratio.
    retry_window_s : float or None
        Length of the sliding window in seconds over which retries and hedges are
        counted; None uses a budget that first attempts earn and retries spend.
    health_path : str or None
        Path of the targets' health endpoint if their own records do not define it.
    warmup_per_s : float
        Requests per second that a cold target accepts from all entry instances
        together; 0 if there is no such limit.
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
        Names of the target, its service and its availability zone.
    host : str
        IP address.
    port : int
        TCP port.
    slots : int
        Number of requests that the target runs concurrently.
    lifecycle : Lifecycle
        Whether the target accepts new requests.
    health_path : str
        Path of the health endpoint.
    refusal : RefusalContract or None
        Response by which the target declares that it did not run a request.
    warmup_s : float
        Remaining warm-up time of the target in seconds, from the time at which the
        record was created.
    started_ms : int
        Start time of the target in milliseconds since 1970; 0 if the platform does not
        report it because each start has a name of its own.
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
        """Name that is unique for this start of the target.

        A target that restarts under its name has lost its state. All observations of a
        target are stored under this identity, so that a late message from an earlier
        start, such as a notice that the target is leaving, does not affect the new one.
        """
        return f"{self.name}@{self.started_ms}" if self.started_ms else self.name

    @property
    def address(self):
        """Address as (host, port)."""
        return (self.host, self.port)


@attrs.frozen
class Backend:
    """Service that receives a share of a route's requests.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Share of the requests, relative to the weights of the other services.
    """

    service: str
    weight: float


class PathMatch(enum.StrEnum):
    """What it means that a path prefix begins a path.

    Attributes
    ----------
    SEGMENTS
        The prefix is one or more whole path segments, with or without a final slash:
        "/a" and "/a/" both begin "/a" and "/a/b", but not "/ab".
    TEXT
        The path starts with the text of the prefix: "/a/" begins "/a/b", but not "/a".
    """

    SEGMENTS = "segments"
    TEXT = "text"


@attrs.frozen(cache_hash=True)
class RouteIdentity:
    """What selects a route, and so tells it apart from all others.

    Names of routes need not be unique, and a route may change everything else.

    Attributes
    ----------
    host : str or None
        Host of the requests, without the dot of an absolute name; None matches any
        host.
    path_match : PathMatch
        How the prefix is compared with a path.
    prefix : str
        Text with which a compared path has to start.
    """

    host: str | None
    path_match: PathMatch
    prefix: str

    def __str__(self):
        return f"{'*' if self.host is None else self.host}{self.prefix}"


def _identify(route):
    host = route.host and route.host.removesuffix(".")
    match route.path_match:
        case PathMatch.TEXT:
            prefix = route.path_prefix
        case PathMatch.SEGMENTS:
            prefix = route.path_prefix.rstrip("/") + "/"
    return RouteIdentity(host, route.path_match, prefix)


@attrs.frozen
class Route:
    """Rule that sends a path prefix to a service.

    Attributes
    ----------
    name : str
        Name of the route.
    path_prefix : str
        Path prefix of the requests; the longest matching prefix is used.
    service : str
        Service that receives the requests.
    idempotent_methods : frozenset of str
        Methods that may be sent more than once.
    deadline_ms : int or None
        Deadline of a request in milliseconds; None uses that of the service.
    priority : Priority
        Priority class of the requests.
    host : str or None
        Host of the requests, in lower case; None matches any host.
    idempotent : bool or None
        Whether the requests may be sent more than once; None decides by the method.
    backends : tuple of Backend
        Services that share the requests by weight; if empty, `service` receives all.
    max_attempts : int or None
        Maximum number of targets that one request is sent to; None leaves the choice
        to the policy.
    objective_ms : int or None
        Latency objective in milliseconds: a later response is of less value.
    rank : int
        Rank among requests that wait for the same service; 0 is served first.
    max_deadline_ms : int or None
        Maximum deadline of a request in milliseconds, even if its caller allows more.
    anonymous : bool
        Whether a request needs no key although workspaces are configured.
    path_match : PathMatch
        How the prefix is compared with a path.
    identity : RouteIdentity
        What tells the route apart from others, also in other revisions.
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
    anonymous: bool = False
    path_match: PathMatch = PathMatch.SEGMENTS
    identity: RouteIdentity = attrs.field(
        init=False,
        eq=False,
        repr=False,
        default=attrs.Factory(_identify, takes_self=True),
    )

    def service_names(self) -> list[str]:
        """List the services that may receive the requests."""
        return [backend.service for backend in self.backends] or [self.service]

    def may_resend(self, method: str) -> bool:
        """Return whether a request with this method may be sent more than once."""
        if self.idempotent is not None:
            return self.idempotent
        return method in self.idempotent_methods

    @property
    def key(self):
        """Key of the record."""
        return RecordKey(Kind.ROUTE, self.name)


@attrs.frozen
class Zone:
    """Settings of an availability zone by operators.

    Attributes
    ----------
    name : str
        Name of the zone, as in the records of targets and instances.
    evacuated : bool
        Whether the targets of the zone receive no requests.
    """

    name: str
    evacuated: bool

    @property
    def key(self):
        """Key of the record."""
        return RecordKey(Kind.ZONE, self.name)


@attrs.frozen
class Workspace:
    """Customer whose callers authenticate by API keys.

    Attributes
    ----------
    name : str
        Name of the workspace.
    key_digests : frozenset of str
        Digests of its keys, as `digest_key` returns them.
    rank : int or None
        Rank of its requests; None leaves the rank of the route.
    rate_per_s : float
        Requests per second that all entry instances together accept; 0 if unlimited.
    burst : float
        Requests that may exceed that rate at once.
    """

    name: str
    key_digests: frozenset[str]
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def key(self):
        """Key of the record."""
        return RecordKey(Kind.WORKSPACE, self.name)


def digest_key(key: str) -> str:
    """Return the digest under which an API key is stored and looked up.

    A fast digest is sufficient because keys are long random strings, which cannot be
    guessed from it.
    """
    return hashlib.sha256(key.encode()).hexdigest()


Record = Service | Target | Route | Zone | Workspace
