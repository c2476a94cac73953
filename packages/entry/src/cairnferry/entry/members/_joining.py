"""Joining the others by one of them, so that not each daemon asks the store."""

import base64
import json
import logging
import random
import time

import attrs
import gevent
from expression import Error, Ok, Result

from cairnferry.entry._ports import DecodeFault, EntryRow
from cairnferry.peers import MIN_KEY_BYTES
from cairnferry.settings import Address
from cairnferry.wire import Client, Reply, describe_outcome

JOIN_PATH = "/join"
# Seconds for one answer: there is nothing to wait for, but the one who is asked may be
# asked by hundreds that start with it.
TIMEOUT_S = 1.0
# Seconds between the first two rounds, and at most. Those who are asked start at the
# same moment, and have enrolled themselves shortly after they listen, unless the store
# is away; callers are refused until then.
ROUND_S = 0.05
MAX_ROUND_S = 0.4
# Seconds for which others are asked before the store is. One that answers but has not
# enrolled itself yet is about to: without the longer time all would ask the store at
# the end of an outage.
PATIENCE_S = 2.0
LONG_PATIENCE_S = 6.0
OK_STATUS = 200
NOT_YET = 503

log = logging.getLogger(__name__)


@attrs.frozen
class Welcome:
    """What an instance gives to one that joins.

    Attributes
    ----------
    key : bytes
        Shared key of the daemons.
    entries : tuple of EntryRow
        Some of the others.
    told_by : str
        "IP:port" for other daemons of the one that answered.
    instances : int
        How many instances there are.
    """

    key: bytes
    entries: tuple[EntryRow, ...]
    told_by: str
    instances: int

    def to_json(self) -> dict:
        """Write it as plain values."""
        return {
            "key": base64.b64encode(self.key).decode(),
            "entries": [attrs.asdict(entry) for entry in self.entries],
            "told_by": self.told_by,
            "instances": self.instances,
        }

    @classmethod
    def read(cls, data: bytes) -> Result["Welcome", DecodeFault]:
        """Read what `to_json` gave, encoded."""
        try:
            document = json.loads(data)
            key = base64.b64decode(document["key"], validate=True)
            entries = tuple(EntryRow(**entry) for entry in document["entries"])
            if not entries:
                return Error(DecodeFault("welcome", "nobody is named"))
            if len(key) < MIN_KEY_BYTES:
                return Error(DecodeFault("welcome", "no key, or one that is too short"))
            told_by, instances = str(document["told_by"]), int(document["instances"])
            return Ok(cls(key, entries, told_by, instances))
        except (ValueError, TypeError, LookupError, RecursionError) as exc:
            return Error(DecodeFault("welcome", f"{type(exc).__name__}: {exc}"))


@attrs.define
class Joiner:
    """Asks those that are known from the start to let this instance join.

    Parameters
    ----------
    others : tuple of Address
        Where they take in others; they may be gone.
    is_first : bool
        Whether this instance is among those that all others ask. It asks the store
        itself at once: somebody has to.
    rng : random.Random
        For the order, and for jitter.
    """

    others: tuple[Address, ...]
    is_first: bool
    rng: random.Random
    _asked_before: bool = False

    def __attrs_post_init__(self):
        self.is_first = self.is_first or not self.others

    def ask(self, me: EntryRow) -> Welcome | None:
        """Ask for as long as it is worth it; None if the store is to be asked."""
        if not self.others or (self.is_first and not self._asked_before):
            self._asked_before = True
            return None
        begin = time.monotonic()
        # Asked again after the store failed: one round, then the store once more.
        patience = 0.0 if self._asked_before else PATIENCE_S
        patience *= 0.8 + 0.4 * self.rng.random()
        self._asked_before = True
        pause = ROUND_S
        while True:
            for other in self.rng.sample(self.others, len(self.others)):
                match self._ask_one(other, me):
                    case Welcome() as welcome:
                        return welcome
                    case answer if answer == NOT_YET and patience:
                        patience = LONG_PATIENCE_S
            if time.monotonic() - begin >= patience:
                return None
            gevent.sleep(pause * (0.5 + self.rng.random()))
            pause = min(MAX_ROUND_S, 1.6 * pause)

    def _ask_one(self, other, me):
        """Give the welcome, the status of another answer, or None for no answer."""
        client = Client(other.host, other.port)
        body = json.dumps(attrs.asdict(me)).encode()
        headers = [("Content-Type", "application/json")]
        try:
            outcome = client.call(
                "POST", JOIN_PATH, timeout=TIMEOUT_S, headers=headers, body=body
            )
        finally:
            client.close()
        if not isinstance(outcome, Reply):
            log.debug(
                "not joined", extra={"by": str(other), "why": describe_outcome(outcome)}
            )
            return None
        if outcome.status != OK_STATUS:
            return outcome.status
        welcome = Welcome.read(outcome.body)
        if welcome.is_error():
            log.warning("welcome", extra={"by": str(other), "why": str(welcome.error)})
            return None
        return welcome.ok
