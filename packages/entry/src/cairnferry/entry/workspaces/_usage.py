"""Use of the limits of workspaces at this daemon, for operators."""

import time
from collections import Counter

import attrs

from cairnferry.entry.telemetry import Durations
from cairnferry.entry.workspaces._registry import WorkspaceRegistry
from cairnferry.entry.workspaces._token_owner import TokenOwner

# Workspaces with metrics of their own; the others are summed. Each adds some series at
# each daemon.
MAX_LABELS = 100
# Workspaces whose use is recorded; the others are summed.
MAX_RECORDED = 10_000
OTHER = "other"


@attrs.define
class WorkspaceUse:
    """Requests of one workspace at this daemon.

    Attributes
    ----------
    outcomes : Counter
        Number of requests by outcome.
    owner : str or None
        Daemon that answered the last query.
    level : float
        Tokens in its bucket at that time.
    replied_at : float or None
        Monotonic time in seconds of its reply.
    """

    outcomes: Counter = attrs.field(factory=Counter)
    owner: str | None = None
    level: float = 0.0
    replied_at: float | None = None


@attrs.define
class LimitUsage:
    """Requests by workspace and outcome, and the time that they waited for tokens."""

    waits: Durations = attrs.field(factory=Durations)
    _uses: dict[str, WorkspaceUse] = attrs.field(factory=dict)

    def note(self, workspace: str, outcome: str) -> None:
        """Count a request by its outcome."""
        self._use(workspace).outcomes[outcome] += 1

    def note_reply(self, workspace: str, owner: str, level: float) -> None:
        """Record the reply of a workspace's owner."""
        use = self._use(workspace)
        use.owner, use.level, use.replied_at = owner, level, time.monotonic()

    def _use(self, workspace):
        use = self._uses.get(workspace)
        if use is None:
            name = workspace if len(self._uses) < MAX_RECORDED else OTHER
            use = self._uses.setdefault(name, WorkspaceUse())
        return use

    def counts(self) -> list[dict]:
        """Return the requests by workspace and outcome, for metrics."""
        counts = Counter()
        for number, (name, use) in enumerate(self._uses.items()):
            label = name if number < MAX_LABELS else OTHER
            for outcome, count in use.outcomes.items():
                counts[label, outcome] += count
        return [
            {"workspace": workspace, "outcome": outcome, "count": count}
            for (workspace, outcome), count in sorted(counts.items())
        ]

    def rows(self, registry: WorkspaceRegistry, owner_of) -> list[dict]:
        """Return the limited workspaces and their use here, as plain values.

        Parameters
        ----------
        registry : WorkspaceRegistry
            Workspaces in force.
        owner_of : callable
            Returns the name of a workspace's owner in this daemon's view.
        """
        limited = [each for each in registry.all() if each.rate_per_s]
        return [self._row(each, owner_of) for each in limited]

    def _row(self, workspace, owner_of):
        use = self._uses.get(workspace.name, WorkspaceUse())
        age = None if use.replied_at is None else time.monotonic() - use.replied_at
        return {
            "workspace": workspace.name,
            "rate_per_s": workspace.rate_per_s,
            "burst": workspace.burst,
            "requests": dict(sorted(use.outcomes.items())),
            "owner": use.owner or owner_of(workspace.name),
            "level": None if age is None else round(use.level, 2),
            "age_s": None if age is None else round(age, 1),
        }


def owned_rows(owner: TokenOwner) -> list[dict]:
    """Return the workspaces that a daemon owns, as plain values."""
    now = time.monotonic()
    return [
        {
            "workspace": name,
            "rate_per_s": owned.limit.rate_per_s,
            "burst": owned.limit.burst,
            "share": round(owned.bucket.limit.share, 3),
            "level": round(owned.bucket.level, 2),
            "granted": owned.bucket.granted,
            "refused": owned.bucket.refused,
            "since_s": round(now - owned.since, 1),
        }
        for name, owned in sorted(owner.owned.items())
    ]
