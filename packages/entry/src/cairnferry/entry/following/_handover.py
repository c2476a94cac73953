"""What a daemon gives to one that starts while the platform's store is away.

A daemon keeps nothing. One that is restarted in an outage would refuse every request
to the end of it, although the others hold all that it needs. It gets no shared key this
way: it serves callers, and joins the others once the store is back.
"""

import base64
import json
import logging
import random
import time
import zlib
from collections.abc import Callable

import attrs
import gevent
from expression import Error, Ok, Result

from cairnferry.coordination import Row, TableUpdate
from cairnferry.entry._ports import DecodeFault
from cairnferry.entry.http import JSON, Page
from cairnferry.settings import Address
from cairnferry.wire import Client, Reply, describe_outcome

HANDOVER_PATH = "/handover"
# Query by which the compressed form is asked for; earlier releases pass it over.
PACKED = "packed"
# Field that tells that contents stand as text, not in base64, which hardly shrinks.
AS_TEXT = "as_text"
# Seconds that the store is given first, many times what it needs when it is well, and
# between two rounds of asking others; seconds for one answer of another daemon, which
# has nothing to wait for: a round of three dead seeds ends within 2 s.
PATIENCE_S = 0.4
ROUND_S = 0.5
TIMEOUT_S = 0.5
OK_STATUS = 200

log = logging.getLogger(__name__)


@attrs.frozen
class Handover:
    """Rules and targets as the platform wrote them.

    Attributes
    ----------
    rules : bytes
        The document that holds all rules.
    targets, evacuations : TableUpdate
        All rows of targets, and those that evacuate zones, and the versions at which
        they are exact.
    """

    rules: bytes
    targets: TableUpdate
    evacuations: TableUpdate = TableUpdate(True, (), 0)

    def write(self) -> bytes:
        """Write it as JSON, for a daemon of an earlier release."""
        return json.dumps(self._document(_to_base64)).encode()

    def pack(self) -> bytes:
        """Write it compressed: a large one would fill the link of either side."""
        document = {AS_TEXT: True, **self._document(_to_text)}
        return zlib.compress(json.dumps(document).encode())

    def _document(self, encode):
        return {
            "rules": encode(self.rules),
            "targets": _write_rows(self.targets, encode),
            "version": self.targets.version,
            "evacuations": _write_rows(self.evacuations, encode),
            "evacuations_version": self.evacuations.version,
        }

    @classmethod
    def read(cls, data: bytes) -> Result["Handover", DecodeFault]:
        """Read what `write` or `pack` wrote."""
        try:
            text = data if data.startswith(b"{") else zlib.decompress(data)
            document = json.loads(text)
            decode = _from_text if document.get(AS_TEXT) else base64.b64decode
            rules = decode(document["rules"])
            targets = _read_rows(document["targets"], document["version"], decode)
            # Daemons of earlier releases give none.
            evacuations = _read_rows(
                document.get("evacuations", ()),
                document.get("evacuations_version", 0),
                decode,
            )
        except (
            ValueError,
            TypeError,
            LookupError,
            AttributeError,
            RecursionError,
            zlib.error,
        ) as exc:
            return Error(DecodeFault("handover", f"{type(exc).__name__}: {exc}"))
        return Ok(cls(rules, targets, evacuations))


def _to_base64(data):
    return base64.b64encode(data).decode()


def _to_text(data):
    return data.decode("latin-1")


def _from_text(text):
    return text.encode("latin-1")


def _write_rows(news, encode):
    return [[row.key, encode(row.value), row.version] for row in news.rows]


def _read_rows(entries, version, decode):
    rows = tuple(
        Row(str(key), decode(value), int(written)) for key, value, written in entries
    )
    return TableUpdate(True, rows, int(version))


@attrs.define
class HandoverPages:
    """Hands over what is in force, as fast as the link allows.

    After a loss of power all daemons ask at once. One that is told to ask again gets it
    from another meanwhile.

    Parameters
    ----------
    handover : callable
        Gives what is in force.
    has_room : callable
        Tells whether so many bytes may be given at a monotonic time in seconds.
    """

    handover: Callable[[], Handover]
    has_room: Callable[[int, float], bool]
    _packed: tuple[Handover, bytes] | None = None

    def page(self, url: str) -> Page:
        """Answer a daemon that starts."""
        handover = self.handover()
        if not handover.rules:
            return _later("no rules yet")
        is_packed = url.partition("?")[2] == PACKED
        body = self._pack(handover) if is_packed else handover.write()
        if not self.has_room(len(body), time.monotonic()):
            return _later("ask again")
        return Page("200 OK", body, "application/octet-stream" if is_packed else JSON)

    def _pack(self, handover):
        if self._packed is None or self._packed[0] != handover:
            self._packed = (handover, handover.pack())
        return self._packed[1]


def _later(reason):
    return Page.of("503 Service Unavailable", {"error": reason})


@attrs.define
class HandoverClient:
    """Asks others for what is in force, until it is known.

    Parameters
    ----------
    records : FollowedRecords
        Takes it over.
    seeds : tuple of Address
        Others to ask; they may be gone, or this daemon itself.
    rng : random.Random
        For the order.
    """

    records: object
    seeds: tuple[Address, ...]
    rng: random.Random

    def run(self) -> None:
        """Ask until rules are in force, from wherever they come."""
        if not self.seeds:
            return
        gevent.sleep(PATIENCE_S)
        while not self.records.revision:
            for seed in self.rng.sample(self.seeds, len(self.seeds)):
                if self._ask(seed):
                    return
            gevent.sleep(ROUND_S * (0.5 + self.rng.random()))

    def _ask(self, seed):
        client = Client(seed.host, seed.port)
        try:
            path = f"{HANDOVER_PATH}?{PACKED}"
            outcome = client.call("GET", path, timeout=TIMEOUT_S)
        finally:
            client.close()
        if not isinstance(outcome, Reply) or outcome.status != OK_STATUS:
            log.info(
                "no handover",
                extra={"from": str(seed), "why": describe_outcome(outcome)},
            )
            return False
        read = Handover.read(outcome.body)
        if read.is_error():
            log.warning("handover", extra={"from": str(seed), "why": str(read.error)})
            return False
        return self.records.take_over(read.ok, str(seed))
