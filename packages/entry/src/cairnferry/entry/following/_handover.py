"""Handover of records to a daemon that starts while the store is unreachable.

A daemon has no persistent state. One that is restarted during an outage of the
platform's store would refuse every request until its end, although the other daemons
hold all records. It usually joins through a seed and fetches them from its peers. A
handover also serves a daemon that cannot join, or whose peers are lost before it has
fetched everything. It contains no shared key.
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
from expression import Result

from cairnferry.coordination import Row, TableUpdate
from cairnferry.decoding import decode, decompress, is_text, load_lenient_json
from cairnferry.entry._ports import DecodeFault
from cairnferry.entry.http import JSON, Page
from cairnferry.settings import Address
from cairnferry.wire import Client, Reply, describe_outcome

HANDOVER_PATH = "/handover"
# Query that requests the compressed form; earlier releases ignore it.
COMPRESSED = "packed"
# Field that marks contents as text. Contents in base64 hardly compress.
AS_TEXT = "as_text"
# Seconds before the first request: many times what a healthy store takes to answer.
INITIAL_DELAY_S = 0.4
# Seconds between two rounds of requests to other daemons.
ROUND_S = 0.5
# Timeout of one request in seconds. The answer is immediate, and a round of three
# unreachable seeds ends within 2 s.
TIMEOUT_S = 0.5
OK_STATUS = 200

log = logging.getLogger(__name__)


@attrs.frozen
class Handover:
    """Rules, targets and evacuations as the platform wrote them.

    Attributes
    ----------
    rules : bytes
        The document that holds all rules.
    targets, evacuations : TableUpdate
        All rows of targets and of evacuated zones, with the versions of the tables.
    """

    rules: bytes
    targets: TableUpdate
    evacuations: TableUpdate = TableUpdate(True, (), 0)

    def write(self) -> bytes:
        """Return the handover as JSON, for a daemon of an earlier release."""
        return json.dumps(self._document(_to_base64)).encode()

    def compress(self) -> bytes:
        """Return the handover compressed, so that it does not fill the links."""
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
        """Decode the output of `write` or `compress`."""
        decoded = decode(lambda: cls._read(data))
        return decoded.map_error(lambda exc: DecodeFault("handover", exc.reason))

    @classmethod
    def _read(cls, data):
        text = data if data.startswith(b"{") else decompress(data)
        document = load_lenient_json(text)
        decode_value = _from_text if document.get(AS_TEXT) else base64.b64decode
        return cls(
            decode_value(document["rules"]),
            _read_rows(document["targets"], document["version"], decode_value),
            # Daemons of earlier releases send no evacuations.
            _read_rows(
                document.get("evacuations", ()),
                document.get("evacuations_version", 0),
                decode_value,
            ),
        )


def _to_base64(data):
    return base64.b64encode(data).decode()


def _to_text(data):
    return data.decode("latin-1")


def _from_text(text):
    return text.encode("latin-1")


def _write_rows(update, encode):
    return [[row.key, encode(row.value), row.version] for row in update.rows]


def _read_rows(entries, version, decode_value):
    # Daemons of earlier releases pass on rows whose keys cannot be encoded.
    rows = tuple(
        Row(key, decode_value(value), int(written))
        for key, value, written in entries
        if is_text(key)
    )
    return TableUpdate(True, rows, int(version))


@attrs.define
class HandoverPages:
    """Serves the records in force, up to the rate limit of the link.

    After a power failure all daemons request a handover at once. A daemon that is
    rejected requests it from another one.

    Parameters
    ----------
    handover : callable
        Returns the records in force.
    admit : callable
        Returns whether a number of bytes may be sent at a monotonic time in seconds.
    """

    handover: Callable[[], Handover]
    admit: Callable[[int, float], bool]
    _compressed: tuple[Handover, bytes] | None = None

    def page(self, url: str) -> Page:
        """Answer the request of a daemon that starts."""
        handover = self.handover()
        if not handover.rules:
            return _unavailable("no rules yet")
        is_compressed = url.partition("?")[2] == COMPRESSED
        body = self._compress(handover) if is_compressed else handover.write()
        if not self.admit(len(body), time.monotonic()):
            return _unavailable("ask again")
        return Page(
            "200 OK", body, "application/octet-stream" if is_compressed else JSON
        )

    def _compress(self, handover):
        if self._compressed is None or self._compressed[0] != handover:
            self._compressed = (handover, handover.compress())
        return self._compressed[1]


def _unavailable(reason):
    return Page.of("503 Service Unavailable", {"error": reason})


@attrs.define
class HandoverClient:
    """Requests a handover from other daemons until rules are in force.

    Parameters
    ----------
    records : FollowedRecords
        Applies the handover.
    seeds : tuple of Address
        Daemons to call; they may be lost, or this daemon itself.
    rng : random.Random
        Random numbers for the order of calls and for jitter.
    """

    records: object
    seeds: tuple[Address, ...]
    rng: random.Random

    def run(self) -> None:
        """Send requests until rules are in force, from any source."""
        if not self.seeds:
            return
        gevent.sleep(INITIAL_DELAY_S)
        while not self.records.revision:
            for seed in self.rng.sample(self.seeds, len(self.seeds)):
                if self._request(seed):
                    return
            gevent.sleep(ROUND_S * (0.5 + self.rng.random()))

    def _request(self, seed):
        client = Client(seed.host, seed.port)
        try:
            path = f"{HANDOVER_PATH}?{COMPRESSED}"
            outcome = client.call("GET", path, timeout=TIMEOUT_S)
        finally:
            client.close()
        if not isinstance(outcome, Reply) or outcome.status != OK_STATUS:
            log.info(
                "handover request failed",
                extra={"from": str(seed), "why": describe_outcome(outcome)},
            )
            return False
        read = Handover.read(outcome.body)
        if read.is_error():
            log.warning(
                "handover cannot be read",
                extra={"from": str(seed), "why": str(read.error)},
            )
            return False
        return self.records.apply_handover(read.ok, str(seed))
