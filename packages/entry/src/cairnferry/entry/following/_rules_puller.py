"""Fetching of newer rules from peers, with retries while they are busy."""

import logging
import random
import time
from collections.abc import Callable

import attrs
import gevent

from cairnferry.entry.following._rules_exchange import (
    BUSY_RETRY_S,
    MAX_BUSY_RETRIES,
    RulesExchange,
)
from cairnferry.peers import PeerCallFailed, PeerLink

log = logging.getLogger(__name__)


@attrs.define
class RulesPuller:
    """Fetches rules from peers that offer a newer revision.

    Parameters
    ----------
    exchange : RulesExchange
        Fetches the document.
    held_revision : callable
        Returns the revision of the rules that this daemon holds, in force or not.
    apply : callable
        Called with each document that was fetched.
    rng : random.Random
        Random numbers for jitter.
    """

    exchange: RulesExchange
    held_revision: Callable[[], int]
    apply: Callable[[bytes], bool]
    rng: random.Random

    def pull(self, link: PeerLink, offered: int, retries: int = 0) -> None:
        """Fetch newer rules from a peer.

        Parameters
        ----------
        link : PeerLink
            Connection to the peer.
        offered : int
            Revision in force at the peer.
        retries : int, optional
            Number of earlier calls that the peer's rate limit rejected.

        Raises
        ------
        PeerCallFailed
            If the peer did not answer.
        """
        slots = self.exchange.slots
        held = self.held_revision()
        if held >= offered or not slots.begin(link.address, time.monotonic()):
            return
        try:
            document = self.exchange.fetch(link, held)
        finally:
            slots.end(link.address)
        if document is not None:
            self.apply(document)
        elif retries < MAX_BUSY_RETRIES:
            pause = BUSY_RETRY_S * (0.5 + self.rng.random())
            gevent.spawn_later(pause, self._retry, link, offered, retries + 1)

    def _retry(self, link, offered, retries):
        try:
            self.pull(link, offered, retries)
        except PeerCallFailed as exc:
            log.info(
                "pull from a peer failed",
                extra={"peer": exc.address, "why": exc.reason},
            )
