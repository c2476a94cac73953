"""What a daemon gives to one that starts while the platform's store is away.

A daemon keeps nothing. One that is restarted in an outage would refuse every request
to the end of it, although the others hold all that it needs. It gets no shared key this
way: it serves callers, and joins the others once the store is back.
"""

import base64
import json
import logging
import random

import attrs
import gevent
from expression import Error, Ok, Result

from cairnferry.coordination import News, Row
from cairnferry.entry._ports import DecodeFault
from cairnferry.entry.http import Page
from cairnferry.settings import Address
from cairnferry.wire import Client, Reply, describe

HANDOVER_PATH = "/handover"
# Seconds that the store is given first, many times what it needs when it is well, and
# between two rounds of asking others; seconds for one answer of another daemon, which
# has nothing to wait for. Chosen so that a round of three dead seeds ends within 2 s.
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
    targets, evacuations : News
        All rows of targets, and those that evacuate zones, and the versions at which
        they are exact.
    """

    rules: bytes
    targets: News
    evacuations: News = News(True, (), 0)

    def to_page(self) -> Page:
        """Write it as JSON."""
        if not self.rules:
            return Page.of("503 Service Unavailable", {"error": "no rules yet"})
        document = {
            "rules": _encode(self.rules),
            "targets": _write_rows(self.targets),
            "version": self.targets.version,
            "evacuations": _write_rows(self.evacuations),
            "evacuations_version": self.evacuations.version,
        }
        return Page.of("200 OK", document)

    @classmethod
    def read(cls, data: bytes) -> Result["Handover", DecodeFault]:
        """Read what `to_page` wrote."""
        try:
            document = json.loads(data)
            rules = base64.b64decode(document["rules"])
            targets = _read_rows(document["targets"], document["version"])
            # Daemons of earlier releases give none.
            evacuations = _read_rows(
                document.get("evacuations", ()), document.get("evacuations_version", 0)
            )
        except (
            ValueError,
            TypeError,
            LookupError,
            AttributeError,
            RecursionError,
        ) as exc:
            return Error(DecodeFault("handover", f"{type(exc).__name__}: {exc}"))
        return Ok(cls(rules, targets, evacuations))


def _encode(data):
    return base64.b64encode(data).decode()


def _write_rows(news):
    return [[row.key, _encode(row.value), row.version] for row in news.rows]


def _read_rows(entries, version):
    rows = tuple(
        Row(str(key), base64.b64decode(value), int(written))
        for key, value, written in entries
    )
    return News(True, rows, int(version))


@attrs.define
class Newcomer:
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
            outcome = client.call("GET", HANDOVER_PATH, timeout=TIMEOUT_S)
        finally:
            client.close()
        if not isinstance(outcome, Reply) or outcome.status != OK_STATUS:
            log.info("no handover", extra={"from": str(seed), "why": describe(outcome)})
            return False
        read = Handover.read(outcome.body)
        if read.is_error():
            log.warning("handover", extra={"from": str(seed), "why": str(read.error)})
            return False
        return self.records.take_over(read.ok, str(seed))
