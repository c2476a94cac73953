"""What targets have asked of this daemon, and up to when that holds."""

import math

import attrs

# Seconds for which a target's word is kept after it was last listed: its row may be
# gone for as long as the platform's store is away.
KEPT_S = 3600.0


@attrs.define
class ExpiryRegistry:
    """Times up to which something holds, by the names of targets' starts.

    Kept apart from what is learnt of targets, which is dropped with a row or a service
    that is gone for a moment: the target that has asked is still there.
    """

    _until: dict[str, float] = attrs.field(factory=dict)
    _unlisted_since: dict[str, float] = attrs.field(factory=dict)

    def note(self, identity: str, until: float) -> bool:
        """Let it hold up to a time in seconds; tell whether that is longer than before.

        An earlier word stands to its end: a later one for a shorter time does not take
        it back.
        """
        is_longer = until > self.until(identity)
        if is_longer:
            self._until[identity] = until
        return is_longer

    def until(self, identity: str) -> float:
        """Give the time in seconds up to which it holds; minus infinity for never."""
        return self._until.get(identity, -math.inf)

    def in_force(self, now: float) -> dict[str, float]:
        """Give the targets of which it holds, and the times up to which it does."""
        return {name: until for name, until in self._until.items() if until > now}

    def pop_expired(self, now: float) -> list[str]:
        """Forget what holds no more; give the targets."""
        ended = [name for name, until in self._until.items() if until <= now]
        for name in ended:
            del self._until[name]
        return ended

    def forget_unlisted(self, listed: set[str], now: float) -> None:
        """Forget targets that are not listed for long."""
        since = self._unlisted_since
        self._unlisted_since = {
            name: since.get(name, now) for name in self._until if name not in listed
        }
        for name, at in self._unlisted_since.items():
            if now - at > KEPT_S:
                del self._until[name]


@attrs.define
class AdvisoryRegistry:
    """What targets have asked of this daemon.

    Attributes
    ----------
    rests : ExpiryRegistry
        Those that want no requests for a time.
    leaving : ExpiryRegistry
        Those that are leaving by their own word.
    """

    back_offs: ExpiryRegistry = attrs.field(factory=ExpiryRegistry)
    leaving: ExpiryRegistry = attrs.field(factory=ExpiryRegistry)
