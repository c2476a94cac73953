"""Evidence on whether any path from this daemon to a service's targets works.

A daemon that is partitioned from the targets sees what it would see if all of them
had crashed. It cannot tell the two apart by itself, so the state here is only that no
path works from this daemon. Whether the targets serve is for other daemons to say.
"""

import math
from collections.abc import Collection

import attrs

# Number of targets without an answer, since the last answer of any, from which no path
# counts as working; all targets if there are fewer. One round of status checks asks so
# many, so that one round tells.
MIN_UNANSWERED = 4
# Seconds without an answer from any target before that. It exceeds the usual time
# between two answers, so that some targets that crash together do not count as all.
MIN_QUIET_S = 0.15
# Share of the targets that do not answer from which the paths count as impaired: other
# daemons may reach targets with room that this one does not.
IMPAIRED_SHARE = 0.25


@attrs.frozen
class PathChange:
    """The paths to a service have stopped working, or work again.

    Attributes
    ----------
    works : bool
        Whether a path works now.
    inputs : dict
        Values on which the decision is based, for the log.
    """

    works: bool
    inputs: dict


@attrs.define
class ServicePaths:
    """State of the paths from this daemon to the targets of one service.

    Attributes
    ----------
    targets : int
        Number of targets of the service.
    answered_at : float
        Time in seconds of the last answer of any target; minus infinity if there was
        none.
    broken_since : float or None
        Time in seconds since which no path works; None if one may work.
    """

    targets: int = 0
    answered_at: float = -math.inf
    broken_since: float | None = None
    _unanswered: dict[str, float] = attrs.field(factory=dict)
    _silent: set[str] = attrs.field(factory=set)
    _changes: list[PathChange] = attrs.field(factory=list)

    def note_answer(self, target: str, now: float) -> None:
        """Record that a target sent an answer of any kind.

        Parameters
        ----------
        target : str
            Identity of one run of the target's process.
        now : float
            Time in seconds.
        """
        self.answered_at = now
        self._unanswered.clear()
        self._silent.discard(target)
        if self.broken_since is not None:
            inputs = {"after_s": round(now - self.broken_since, 3), "by": target}
            self._changes.append(PathChange(True, inputs))
            self.broken_since = None
            # What did not answer before says nothing of the paths that work again.
            self._silent.clear()

    def note_no_answer(self, target: str, began: float) -> None:
        """Record that a target did not answer: silence, a refusal or a reset.

        Parameters
        ----------
        target : str
            Identity of one run of the target's process.
        began : float
            Time in seconds at which the exchange began. One that began before the last
            answer of any target says nothing about the time since.
        """
        self._silent.add(target)
        if began >= self.answered_at:
            self._unanswered.setdefault(target, began)

    def are_broken(self, now: float) -> bool:
        """Return whether no path to the service's targets works.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        if self.broken_since is not None:
            return True
        if not self.targets or now - self.answered_at < MIN_QUIET_S:
            return False
        if len(self._unanswered) < min(MIN_UNANSWERED, self.targets):
            return False
        self.broken_since = now
        quiet = now - self.answered_at
        self._changes.append(
            PathChange(
                False,
                {
                    "unanswered": sorted(self._unanswered),
                    "targets": self.targets,
                    "quiet_s": None if math.isinf(quiet) else round(quiet, 3),
                },
            )
        )
        return True

    def are_impaired(self) -> bool:
        """Return whether a large part of the targets do not answer this daemon."""
        return len(self._silent) >= max(1.0, IMPAIRED_SHARE * self.targets)

    def keep_only(self, targets: Collection[str]) -> None:
        """Set the targets of the service, and forget all others."""
        self.targets = len(targets)
        self._silent.intersection_update(targets)
        for name in self._unanswered.keys() - set(targets):
            del self._unanswered[name]

    def take_changes(self) -> list[PathChange]:
        """Return the changes since the last call, and remove them."""
        taken, self._changes = self._changes, []
        return taken

    def snapshot(self, now: float) -> dict:
        """Return the state as plain values for a dump."""
        quiet = now - self.answered_at
        broken = self.broken_since
        return {
            "broken_s": None if broken is None else round(now - broken, 3),
            "quiet_s": None if math.isinf(quiet) else round(quiet, 3),
            "unanswered": sorted(self._unanswered),
            "silent": sorted(self._silent),
        }
