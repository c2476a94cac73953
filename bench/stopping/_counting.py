"""Count by the rule LOST what callers got."""

import attrs

from bench.stopping._setup import LOST_SLACK_S

# What breaks the rules: a run with one of these fails.
FAULTS = (
    "lost",
    "own_answer_lost",
    "read_lost",
    "unsafe_twice",
    "refused_but_begun",
    "late_exit",
)
# Statuses that promise that the request has not run.
PROMISES = (408, 421, 429, 503)


@attrs.define
class Counts:
    """Requests of a run, by what became of them; each is in one of the first fields.

    Attributes
    ----------
    sent : int
        All requests, also those that found no connection.
    served : int
        Answered whole by a target with 2xx.
    lost, excused : int
        Begun by a target and ended without an answer, outside and within the rule's
        excuse.
    own_answer_lost, own_answer_excused : int
        Begun by a target and answered with a 5xx of the daemon's own that promises
        nothing, while the target was at work or its answer was given up; the same.
    refused_but_begun : int
        Answered with a status that promises that it has not run, but begun by a target.
    unrun : int
        Answered with such a status and not begun.
    own_unrun : int
        Any other answer without a run.
    read_lost : int
        Read whole, not begun, and closed later than 0.2 s after the last byte.
    late_unread : int
        The same, but the daemon was never seen to have taken it whole.
    unread : int
        Not begun, and the connection ended within 0.2 s of the last byte or before.
    closed : int
        Not sent, as the kept connection was closed before.
    refused : int
        Not sent, as no connection could be opened.
    left : int
        Not begun when the caller left at the end of its time.
    unsafe_twice : int
        Unsafe requests that were begun more than once; counted besides.
    excused_by_first_byte : int
        Part of `lost` that would be excused if the first byte of the request counted
        as its sending in place of the last one.
    late_exit : int
        Processes that had to be killed at the end of the grace.
    """

    sent: int = 0
    served: int = 0
    lost: int = 0
    excused: int = 0
    own_answer_lost: int = 0
    own_answer_excused: int = 0
    refused_but_begun: int = 0
    unrun: int = 0
    own_unrun: int = 0
    read_lost: int = 0
    late_unread: int = 0
    unread: int = 0
    closed: int = 0
    refused: int = 0
    left: int = 0
    unsafe_twice: int = 0
    excused_by_first_byte: int = 0
    late_exit: int = 0

    def add(self, other) -> None:
        """Add the counts of another run."""
        for name in attrs.fields_dict(Counts):
            setattr(self, name, getattr(self, name) + getattr(other, name))

    @property
    def faults(self) -> int:
        """Number of faults."""
        return sum(getattr(self, name) for name in FAULTS)


class Judge:
    """Judges each request of a run.

    Parameters
    ----------
    setup : Setup
        Settings of the run.
    runs : list of dict
        What the targets ran.
    """

    def __init__(self, setup, runs):
        self._setup = setup
        self._runs = {}
        for run in runs:
            self._runs.setdefault(run["id"], []).append(run)

    def runs_of(self, sent) -> list[dict]:
        """Return what targets ran of a request."""
        return self._runs.get(sent.request_id, [])

    def judge(self, sent) -> str:
        """Return the name of the count in which a request belongs."""
        runs = self.runs_of(sent)
        if sent.end == "answer":
            return self._judge_answer(sent, runs)
        if runs:
            return "excused" if self.is_excused(sent, sent.last_at) else "lost"
        if sent.end in ("closed", "refused", "left"):
            return sent.end
        if sent.slack_from is None or sent.ended_at - sent.slack_from <= LOST_SLACK_S:
            return "unread"
        return "late_unread" if sent.read_at is None else "read_lost"

    def _judge_answer(self, sent, runs):
        if sent.is_targets and 200 <= sent.status < 300:
            return "served"
        if sent.status in PROMISES:
            return "refused_but_begun" if runs else "unrun"
        if not runs:
            return "own_unrun"
        is_excused = self.is_excused(sent, sent.last_at)
        return "own_answer_excused" if is_excused else "own_answer_lost"

    def is_excused(self, sent, sent_at) -> bool:
        """Return whether the rule excuses the end of a request that was begun.

        Parameters
        ----------
        sent : Sent
            The request.
        sent_at : float
            Monotonic time in seconds that counts as its sending.
        """
        limit_s = min(self._setup.caller_time_s, self._setup.route_timeout_s)
        if sent.ended_at - sent.first_at >= limit_s:
            return True
        told_at = sent.daemon.told_at
        works_from = told_at + self._setup.excused_from_s
        is_at_work = any(
            run.get("ended", sent.ended_at) >= works_from for run in self.runs_of(sent)
        )
        return is_at_work and sent_at <= told_at + self._setup.serve_s

    def is_repeated(self, sent) -> bool:
        """Return whether an unsafe request was begun more than once."""
        return not sent.is_safe and len(self.runs_of(sent)) > 1
