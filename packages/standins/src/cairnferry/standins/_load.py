"""Open-loop callers: arrival times are fixed beforehand, so a stall is counted."""

import collections
import json
import random
import time
import urllib.parse

import attrs
import gevent
from gevent.pool import Group
from hdrh.histogram import HdrHistogram

from cairnferry.standins._ahead import call_ahead
from cairnferry.standins._target import ID_HEADER, is_own_answer
from cairnferry.wire import Client, Incomplete, NotSent, Reply, encode_request

STEERING_PATH = "/.well-known/cairnferry/entries"
STEERING_TIMEOUT_S = 1.0
OUTCOME_HEADER = "cairnferry-outcome"
US_PER_S = 1_000_000
QUANTILES = (50, 90, 99, 99.9)


@attrs.frozen
class Operation:
    """A sort of request.

    Attributes
    ----------
    method, path : str
        Request line.
    weight : float
        Share of the requests.
    headers : tuple of (str, str)
        Further headers.
    """

    method: str
    path: str
    weight: float = 1.0
    headers: tuple[tuple[str, str], ...] = ()


@attrs.frozen
class LoadPlan:
    """What callers do.

    Attributes
    ----------
    entries : tuple of str
        "IP:port" of daemons that are asked for addresses.
    service : str
        Service that is asked for.
    operations : tuple of Operation
        Sorts of requests.
    rate : float
        Requests a second.
    seconds : float
        Length of the run.
    timeout_ms : int
        Deadline of each request, in milliseconds.
    zone : str
        Availability zone of the callers.
    seed : int
        Seed of arrival times and choices.
    prefix : str
        Prefix of request IDs.
    steer : bool
        Whether to ask for addresses; otherwise `entries` are used in turn.
    ahead : int
        GET requests that a caller sends at once on a connection, before any answer.
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
    ahead: int = 1


@attrs.define
class LoadReport:
    """What callers saw.

    Attributes
    ----------
    outcomes : dict of str to (str, str)
        Method and outcome by request ID: "ok", "not-run", "unknown", "cut",
        "foreign" (not whole or another's), or "status-N".
    timeline : list of (float, float, str)
        Planned arrival from the start, time to the answer (both in seconds) and
        outcome.
    histogram : HdrHistogram
        Microseconds from the planned arrival to the answer, of "ok" requests.
    refusal_us : HdrHistogram
        The same for "not-run".
    """

    outcomes: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    timeline: list[tuple[float, float, str]] = attrs.field(factory=list)
    histogram: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, 600 * US_PER_S, 3)
    )
    refusal_us: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, 600 * US_PER_S, 3)
    )
    without_retry_after: int = 0
    started: float = 0.0
    ended: bool = False

    def count(self, outcome: str) -> int:
        """Count the requests with an outcome so far."""
        return sum(told == outcome for _, told in self.outcomes.values())

    def summary(self) -> dict:
        """Give counts and quantiles, as plain values."""
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


class _Steering:
    """A caller's memory of the addresses to use."""

    def __init__(self, plan, rng):
        self._plan = plan
        self._rng = rng
        self._clients: dict[str, Client] = {}
        self._addresses = [(address, 1.0) for address in plan.entries]
        self._valid_until = 0.0
        self._asking = False

    def client(self) -> Client:
        """Choose an address for one request."""
        if self._plan.steer and time.monotonic() >= self._valid_until:
            self._ask()
        addresses = [address for address, _ in self._addresses]
        weights = [weight for _, weight in self._addresses]
        return self._to(self._rng.choices(addresses, weights)[0])

    def forget(self) -> None:
        """Ask again before the next request: an address did not answer."""
        self._valid_until = 0.0

    def _to(self, address):
        client = self._clients.get(address)
        if client is None:
            host, _, port = address.partition(":")
            client = self._clients[address] = Client(host, int(port))
        return client

    def _ask(self):
        if self._asking:
            return
        self._asking = True
        try:
            for address in self._rng.sample(
                self._plan.entries, len(self._plan.entries)
            ):
                if self._ask_at(address):
                    return
        finally:
            self._asking = False

    def _ask_at(self, address):
        query = urllib.parse.urlencode(
            {"service": self._plan.service, "zone": self._plan.zone}
        )
        outcome = self._to(address).call(
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
    """Read operations written as "GET /a 9, POST /b 1".

    Raises
    ------
    ValueError
        If a part is not a method, a path and perhaps a weight.
    """
    operations = []
    for part in text.split(","):
        method, path, *weight = part.split()
        operations.append(Operation(method, path, float(weight[0]) if weight else 1.0))
    return tuple(operations)


def run_load(plan: LoadPlan, report: LoadReport | None = None) -> LoadReport:
    """Send all requests of a plan and wait for their ends.

    Parameters
    ----------
    plan : LoadPlan
        What to send.
    report : LoadReport, optional
        Filled while the run goes on; its `ended` stops the sending.
    """
    rng = random.Random(plan.seed)
    report = report or LoadReport()
    steering = _Steering(plan, rng)
    group = Group()
    start = report.started = time.monotonic()
    arrival = 0.0
    number = 0
    weights = [operation.weight for operation in plan.operations]
    while not report.ended:
        arrival += rng.expovariate(plan.rate)
        if arrival >= plan.seconds:
            break
        operation = rng.choices(plan.operations, weights)[0]
        delay = start + arrival - time.monotonic()
        gevent.sleep(max(0.0, delay))
        count = plan.ahead if operation.method == "GET" else 1
        ids = [f"{plan.prefix}-{number + index + 1}" for index in range(count)]
        number += count
        sender = _Sender(plan, report, steering, operation, start + arrival)
        group.start(gevent.Greenlet(sender.send, ids))
    group.join()
    return report


@attrs.define
class _Sender:
    """A caller with one request, or with some that it sends at once."""

    plan: LoadPlan
    report: LoadReport
    steering: _Steering
    operation: Operation
    planned: float

    def send(self, ids):
        """Send the requests with these IDs, and note their ends."""
        client = self.steering.client()
        timeout = self.plan.timeout_ms / 1000 + 1
        if len(ids) == 1:
            self._note(ids[0], self._call(client, ids[0], timeout))
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
        outcomes = call_ahead((client.host, client.port), payloads, timeout)
        for request_id, outcome in zip(ids, outcomes, strict=True):
            if isinstance(outcome, NotSent):
                # Behind an answer that closed the connection: to be sent anew.
                outcome = self._call(self.steering.client(), request_id, timeout)
            self._note(request_id, outcome)

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

    def _note(self, request_id, outcome):
        report = self.report
        elapsed = time.monotonic() - self.planned
        body = self._body(request_id)
        name = _judge(report, outcome, self.operation, body, request_id)
        report.outcomes[request_id] = (self.operation.method, name)
        report.timeline.append((self.planned - report.started, elapsed, name))
        if name == "ok":
            report.histogram.record_value(max(1, int(elapsed * US_PER_S)))
        elif name == "not-run":
            report.refusal_us.record_value(max(1, int(elapsed * US_PER_S)))
        elif name == "cut":
            self.steering.forget()


def _judge(report, outcome, operation, body, request_id):
    match outcome:
        case NotSent():
            return "not-sent"
        case Incomplete():
            return "cut"
        case Reply(status=200) as reply:
            own = is_own_answer(
                reply.body, operation.method, operation.path, body, request_id
            )
            return "ok" if own or operation.method == "HEAD" else "foreign"
        case Reply() as reply:
            given_up = reply.header(OUTCOME_HEADER)
            if given_up and reply.header("retry-after") is None:
                report.without_retry_after += 1
            return given_up or f"status-{reply.status}"
