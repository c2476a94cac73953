"""Joining through another instance, so that not each daemon queries the store."""

import base64
import json
import logging
import random
import time

import attrs
import gevent
from expression import Result

from cairnferry.decoding import decode_object
from cairnferry.entry._ports import DecodeFault, EntryRow
from cairnferry.peers import MIN_KEY_BYTES
from cairnferry.settings import Address
from cairnferry.wire import Client, Reply, describe_outcome

JOIN_PATH = "/join"
# Timeout of one call in seconds. The answer is immediate, but hundreds of instances may
# call the same one when all start.
TIMEOUT_S = 1.0
# First and longest pause in seconds between two rounds of calls. The called instances
# start at the same moment and enrol themselves shortly after they listen, unless the
# store is unreachable. Callers are refused until then. A connection that is refused
# costs the called instance nothing; an answer that it is not enrolled yet does.
ROUND_S = 0.05
MAX_ROUND_S = 0.2
MAX_NOT_READY_ROUND_S = 0.4
# Seconds for which other instances are called before the store is used.
MAX_JOIN_S = 2.0
# The same if an instance answers that it is not enrolled yet, because it will be soon.
# With the shorter time all instances would query the store at the end of an outage.
MAX_JOIN_NOT_READY_S = 6.0
OK_STATUS = 200
UNAVAILABLE_STATUS = 503

log = logging.getLogger(__name__)


@attrs.frozen
class JoinReply:
    """Reply of an enrolled instance to an instance that joins.

    Attributes
    ----------
    key : bytes
        Shared key of the daemons.
    entries : tuple of EntryRow
        Some of the other instances, the responder first.
    responder : str
        "IP:port" of the instance that replied, for other daemons.
    instances : int
        Number of instances that the responder knows, itself and the joining one
        included.
    """

    key: bytes
    entries: tuple[EntryRow, ...]
    responder: str
    instances: int

    def to_json(self) -> dict:
        """Return the reply as plain values."""
        return {
            "key": base64.b64encode(self.key).decode(),
            "entries": [attrs.asdict(entry) for entry in self.entries],
            "told_by": self.responder,
            "instances": self.instances,
        }

    @classmethod
    def read(cls, data: bytes) -> Result["JoinReply", DecodeFault]:
        """Decode a reply from the JSON text of `to_json`."""
        decoded = decode_object(data, cls._read)
        return decoded.map_error(lambda exc: DecodeFault("welcome", exc.reason))

    @classmethod
    def _read(cls, document):
        key = base64.b64decode(document["key"], validate=True)
        entries = tuple(EntryRow(**entry) for entry in document["entries"])
        if not entries:
            raise ValueError("no entries")
        if len(key) < MIN_KEY_BYTES:
            raise ValueError("key is missing or too short")
        return cls(key, entries, str(document["told_by"]), int(document["instances"]))


@attrs.define
class Joiner:
    """Requests to join from the instances known from the settings.

    Parameters
    ----------
    others : tuple of Address
        Addresses for requests to join; the instances may be lost.
    is_first : bool
        Whether this instance is among those through which all others join. Such an
        instance queries the store without calling the others first.
    rng : random.Random
        Random numbers for the order of calls and for jitter.
    """

    others: tuple[Address, ...]
    is_first: bool
    rng: random.Random
    _was_requested: bool = False

    def __attrs_post_init__(self):
        self.is_first = self.is_first or not self.others

    def request(self, me: EntryRow) -> JoinReply | None:
        """Request to join, with retries; return None if the store is to be used."""
        if not self.others or (self.is_first and not self._was_requested):
            self._was_requested = True
            return None
        begin = time.monotonic()
        # After a failure of the store, one round of calls precedes the next attempt.
        time_limit = 0.0 if self._was_requested else MAX_JOIN_S
        time_limit *= 0.8 + 0.4 * self.rng.random()
        self._was_requested = True
        pause, max_pause = ROUND_S, MAX_ROUND_S
        while True:
            for other in self.rng.sample(self.others, len(self.others)):
                match self._request_from(other, me):
                    case JoinReply() as reply:
                        return reply
                    case answer if answer == UNAVAILABLE_STATUS and time_limit:
                        time_limit = MAX_JOIN_NOT_READY_S
                        max_pause = MAX_NOT_READY_ROUND_S
            if time.monotonic() - begin >= time_limit:
                return None
            gevent.sleep(pause * (0.5 + self.rng.random()))
            pause = min(max_pause, 1.6 * pause)

    def _request_from(self, other, me):
        """Return the reply, the status of another response, or None on a failure."""
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
                "join request failed",
                extra={"by": str(other), "why": describe_outcome(outcome)},
            )
            return None
        if outcome.status != OK_STATUS:
            return outcome.status
        reply = JoinReply.read(outcome.body)
        if reply.is_error():
            log.warning(
                "reply to a join request cannot be read",
                extra={"by": str(other), "why": str(reply.error)},
            )
            return None
        return reply.ok
