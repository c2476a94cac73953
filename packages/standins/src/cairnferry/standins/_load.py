"""Open-loop load generator.

Arrival times do not depend on responses, and latency counts from the planned arrival.
A stall therefore shows in the latency of all requests that it delays.
"""

import collections
import json
import random
import time
import urllib.parse

import attrs
import gevent
from gevent.pool import Group
from hdrh.histogram import HdrHistogram

from cairnferry.standins._pipelined import call_pipelined
from cairnferry.standins._target import ID_HEADER, is_own_response
from cairnferry.wire import Client, Incomplete, NotSent, Reply, encode_request

STEERING_PATH = "/.well-known/cairnferry/entries"
STEERING_TIMEOUT_S = 1.0
OUTCOME_HEADER = "cairnferry-outcome"
MICROSECONDS_PER_S = 1_000_000
# Reported quantiles of latencies, in percent.
QUANTILES = (50, 90, 99, 99.9)


@attrs.frozen
class Operation:
    """A kind of request.

    Attributes
    ----------
    method, path : str
        Method and path of the request line.
    weight : float
        Relative share of the requests.
    headers : tuple of (str, str)
        Additional headers.
    """

    method: str
    path: str
    weight: float = 1.0
    headers: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class LoadPlan:
    """Parameters of a load run.

    Attributes
    ----------
    entries : tuple of str
        "IP:port" of the daemons whose steering endpoint is queried for addresses.
    service : str
        Service to request addresses for.
    operations : tuple of Operation
        Kinds of requests.
    rate : float
        Mean arrivals per second; arrival times are a Poisson process.
    seconds : float
        Length of the run in seconds.
    timeout_ms : int
        Deadline of each request, in milliseconds.
    zone : str
        Availability zone of the callers.
    seed : int
        Seed for arrival times and for the choice of operations and addresses.
    prefix : str
        Prefix of the request IDs.
    steer : bool
        Whether to use the steering endpoint; otherwise each request goes to a random
        one of `entries`.
    pipeline_depth : int
        Number of GET requests that are pipelined on one connection per arrival.
    """

    entries: tuple[str, ...]
    service: str
    operations: tuple[Operation, ...]
    rate: float
    seconds: float
    timeout_ms: int = 1000
    zone: str = ""
    seed: int = 1
    prefix: str = "r"
    steer: bool = True
    pipeline_depth: int = 1


@attrs.define
class LoadReport:
    """Outcomes and latencies that the callers observed.

    Attributes
    ----------
    outcomes : dict of str to (str, str)
        Method and outcome by request ID. The outcome is "ok", "not-sent", "cut" (no
        complete response, by a closed connection or a timeout), "foreign" (a response
        that is corrupt or belongs to another request), a value of the header
        Cairnferry-Outcome such as "not-run" or "unknown", or "status-N".
    timeline : list of (float, float, str)
        Planned arrival since the start of the run, time from there to the response
        (both in seconds), and outcome.
    histogram : HdrHistogram
        Time from the planned arrival to the response of "ok" requests, in
        microseconds.
    refusal_us : HdrHistogram
        The same for "not-run" requests, in microseconds.
    without_retry_after : int
        Responses with the header Cairnferry-Outcome that lack Retry-After.
    started_at : float
        Start of the run, as `time.monotonic` in seconds.
    stop_requested : bool
        If set, no further requests are sent.
    """

    outcomes: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    timeline: list[tuple[float, float, str]] = attrs.field(factory=list)
    histogram: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, 600 * MICROSECONDS_PER_S, 3)
    )
    refusal_us: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, 600 * MICROSECONDS_PER_S, 3)
    )
    without_retry_after: int = 0
    started_at: float = 0.0
    stop_requested: bool = False

    def count(self, outcome: str) -> int:
        """Return the number of requests that had this outcome so far."""
        return sum(observed == outcome for _, observed in self.outcomes.values())

    def summary(self) -> dict:
        """Return counts and latency quantiles as a dict that can be written as JSON."""
        counts = collections.Counter(o for _, o in self.outcomes.values())
        return {
            "sent": len(self.outcomes),
            "outcomes": dict(sorted(counts.items())),
            "latency_us": _quantiles(self.histogram),
            "refused_us": _quantiles(self.refusal_us),
            "given_up_without_retry_after": self.without_retry_after,
        }


def _quantiles(histogram):
    if not histogram.get_total_count():
        return {}
    return {f"p{q:g}": histogram.get_value_at_percentile(q) for q in QUANTILES} | {
        "max": histogram.get_max_value()
    }


class _AddressCache:
    """Addresses of daemons, cached for the time to live of the steering answer."""

    def __init__(self, plan, rng):
        self._plan = plan
        self._rng = rng
        self._clients: dict[str, Client] = {}
        self._addresses = [(address, 1.0) for address in plan.entries]
        self._valid_until = 0.0
        self._refreshing = False

    def choose_client(self) -> Client:
        """Return the client of an address chosen at random by weight."""
        if self._plan.steer and time.monotonic() >= self._valid_until:
            self._refresh()
        addresses = [address for address, _ in self._addresses]
        weights = [weight for _, weight in self._addresses]
        return self._client_for(self._rng.choices(addresses, weights)[0])

    def invalidate(self) -> None:
        """Refresh the addresses before the next request, as one did not respond."""
        self._valid_until = 0.0

    def _client_for(self, address):
        client = self._clients.get(address)
        if client is None:
            host, _, port = address.partition(":")
            client = self._clients[address] = Client(host, int(port))
        return client

    def _refresh(self):
        if self._refreshing:
            return
        self._refreshing = True
        try:
            for address in self._rng.sample(
                self._plan.entries, len(self._plan.entries)
            ):
                if self._refresh_from(address):
                    return
        finally:
            self._refreshing = False

    def _refresh_from(self, address):
        query = urllib.parse.urlencode(
            {"service": self._plan.service, "zone": self._plan.zone}
        )
        outcome = self._client_for(address).call(
            "GET",
            f"{STEERING_PATH}?{query}",
            timeout=STEERING_TIMEOUT_S,
            idempotent=True,
        )
        if not isinstance(outcome, Reply) or outcome.status != 200:
            return False
        document = json.loads(outcome.body)
        self._valid_until = time.monotonic() + document["ttl_ms"] / 1000
        entries = document["entries"]
        near = [e for e in entries if e["zone"] == self._plan.zone] or entries
        self._addresses = [(e["address"], e["weight"]) for e in near]
        return True


def parse_operations(text: str) -> tuple[Operation, ...]:
    """Parse operations in the form "GET /a 9, POST /b 1".

    Raises
    ------
    ValueError
        If a part is not a method, a path and an optional weight.
    """
    operations = []
    for part in text.split(","):
        method, path, *weight = part.split()
        operations.append(Operation(method, path, float(weight[0]) if weight else 1.0))
    return tuple(operations)


def run_load(plan: LoadPlan, report: LoadReport | None = None) -> LoadReport:
    """Send all requests of a plan and wait until each has its outcome.

    Parameters
    ----------
    plan : LoadPlan
        Requests to send.
    report : LoadReport, optional
        Updated during the run; setting its `stop_requested` stops the sending.

    Returns
    -------
    LoadReport
        The report, complete.
    """
    rng = random.Random(plan.seed)
    report = report or LoadReport()
    address_cache = _AddressCache(plan, rng)
    group = Group()
    start = report.started_at = time.monotonic()
    arrival = 0.0
    number = 0
    weights = [operation.weight for operation in plan.operations]
    while not report.stop_requested:
        arrival += rng.expovariate(plan.rate)
        if arrival >= plan.seconds:
            break
        operation = rng.choices(plan.operations, weights)[0]
        delay = start + arrival - time.monotonic()
        gevent.sleep(max(0.0, delay))
        count = plan.pipeline_depth if operation.method == "GET" else 1
        ids = [f"{plan.prefix}-{number + index + 1}" for index in range(count)]
        number += count
        sender = _Sender(plan, report, address_cache, operation, start + arrival)
        group.start(gevent.Greenlet(sender.send, ids))
    group.join()
    return report


@attrs.define
class _Sender:
    """Sends the requests of one arrival: a single one, or several pipelined ones."""

    plan: LoadPlan
    report: LoadReport
    address_cache: _AddressCache
    operation: Operation
    planned_at: float

    def send(self, ids):
        """Send the requests with these IDs and record their outcomes."""
        client = self.address_cache.choose_client()
        timeout = self.plan.timeout_ms / 1000 + 1
        if len(ids) == 1:
            self._record(ids[0], self._call(client, ids[0], timeout))
            return
        operation = self.operation
        payloads = [
            encode_request(
                operation.method,
                operation.path,
                client.authority,
                self._headers(i),
                b"",
            )
            for i in ids
        ]
        outcomes = call_pipelined((client.host, client.port), payloads, timeout)
        for request_id, outcome in zip(ids, outcomes, strict=True):
            if isinstance(outcome, NotSent):
                # The server did not read the request, as no connection was opened or
                # an earlier response closed it. Retry on a separate connection.
                outcome = self._call(
                    self.address_cache.choose_client(), request_id, timeout
                )
            self._record(request_id, outcome)

    def _call(self, client, request_id, timeout):
        return client.call(
            self.operation.method,
            self.operation.path,
            timeout=timeout,
            headers=self._headers(request_id),
            body=self._body(request_id),
            idempotent=self.operation.method == "GET",
        )

    def _headers(self, request_id):
        return [
            (ID_HEADER, request_id),
            ("Cairnferry-Timeout", str(self.plan.timeout_ms)),
            *self.operation.headers,
        ]

    def _body(self, request_id):
        return request_id.encode() if self.operation.method in ("POST", "PUT") else b""

    def _record(self, request_id, outcome):
        report = self.report
        elapsed = time.monotonic() - self.planned_at
        body = self._body(request_id)
        name = _classify(report, outcome, self.operation, body, request_id)
        report.outcomes[request_id] = (self.operation.method, name)
        report.timeline.append((self.planned_at - report.started_at, elapsed, name))
        if name == "ok":
            report.histogram.record_value(max(1, int(elapsed * MICROSECONDS_PER_S)))
        elif name == "not-run":
            report.refusal_us.record_value(max(1, int(elapsed * MICROSECONDS_PER_S)))
        elif name == "cut":
            self.address_cache.invalidate()


def _classify(report, outcome, operation, body, request_id):
    match outcome:
        case NotSent():
            return "not-sent"
        case Incomplete():
            return "cut"
        case Reply(status=200) as reply:
            own = is_own_response(
                reply.body, operation.method, operation.path, body, request_id
            )
            return "ok" if own or operation.method == "HEAD" else "foreign"
        case Reply() as reply:
            given_up = reply.header(OUTCOME_HEADER)
            if given_up and reply.header("retry-after") is None:
                report.without_retry_after += 1
            return given_up or f"status-{reply.status}"
