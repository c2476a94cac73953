"""Advisories of targets to this daemon, and their expiry times."""

import math

import attrs

# Seconds for which an entry is kept after its target was last listed. The target's row
# may be missing for as long as the platform's store is unavailable.
ADVISORY_RETENTION_S = 3600.0


@attrs.define
class ExpiryRegistry:
    """Expiry times of one kind of advisory, by target identity.

    The entries are stored apart from other target state, which is dropped when a row or
    a service disappears for a moment. The target that sent the advisory still exists.
    """

    _until: dict[str, float] = attrs.field(factory=dict)
    _unlisted_since: dict[str, float] = attrs.field(factory=dict)

    def note(self, identity: str, until: float) -> bool:
        """Extend an entry to a time in seconds; return whether it was earlier.

        A later advisory for a shorter time does not shorten an earlier one.
        """
        is_longer = until > self.until(identity)
        if is_longer:
            self._until[identity] = until
        return is_longer

    def until(self, identity: str) -> float:
        """Return the expiry time in seconds; minus infinity if there is no entry."""
        return self._until.get(identity, -math.inf)

    def in_force(self, now: float) -> dict[str, float]:
        """Return the expiry times of the entries in effect, by target identity."""
        return {name: until for name, until in self._until.items() if until > now}

    def pop_expired(self, now: float) -> list[str]:
        """Remove expired entries, and return their targets."""
        expired = [name for name, until in self._until.items() if until <= now]
        for name in expired:
            del self._until[name]
        return expired

    def forget_unlisted(self, listed: set[str], now: float) -> None:
        """Remove targets that have not been listed for `ADVISORY_RETENTION_S`."""
        since = self._unlisted_since
        self._unlisted_since = {
            name: since.get(name, now) for name in self._until if name not in listed
        }
        for name, at in self._unlisted_since.items():
            if now - at > ADVISORY_RETENTION_S:
                del self._until[name]


@attrs.define
class AdvisoryRegistry:
    """Advisories of targets to this daemon.

    Attributes
    ----------
    back_offs : ExpiryRegistry
        Targets that requested a back-off, with the time at which it ends.
    leaving : ExpiryRegistry
        Targets that announced that they are leaving, with the time at which the
        announcement expires.
    """

    back_offs: ExpiryRegistry = attrs.field(factory=ExpiryRegistry)
    leaving: ExpiryRegistry = attrs.field(factory=ExpiryRegistry)
