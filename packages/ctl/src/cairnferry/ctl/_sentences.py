"""Sentences that state why a request failed, from its log line."""

from collections.abc import Iterable

from cairnferry.ctl._explain import CUT_MESSAGE, LogLine

# Sentence by cause. A sentence may contain fields of the line in braces.
SENTENCES = {
    "key-missing": "it has no Authorization header, and its route is not anonymous",
    "key-malformed": "its Authorization header is not `Bearer` with one key of up to "
    "512 visible ASCII characters",
    "key-repeated": "it has more than one Authorization header",
    "key-unknown": "no workspace holds its key by the rules of revision {revision}: "
    "the key is wrong or was revoked, or this instance had older rules",
}
_REVOKED = (
    "its key was revoked or its workspace {workspace} was removed while it waited, "
    "by the rules of revision {revision}"
)
_MAY_HAVE_RUN = _REVOKED + "; an earlier attempt may have run"

_CUT = (
    "{instance} ended{since_stop} and cut it, as {why}; it "
    "had arrived {arrival}{at_work}, and its caller got no whole answer of a "
    "target"
)
_OUTCOMES = {
    "reading": "it did not run",
    "waiting": "nothing was at work on it at the end",
    "at-target": "it may have run",
    "at-peer": "the line of the peer, with the same ID, says more",
    "answering": "it has run, or was refused",
}
MS_PER_S = 1000


def explain_cuts(lines: Iterable[LogLine]) -> list[str]:
    """Return a sentence for each line on a request that the end of an instance cut.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines on one request.
    """
    return [_cut_sentence(line) for line in lines if line.message == CUT_MESSAGE]


def _cut_sentence(line):
    fields = {"since_stop_s": None, "why": "it was unanswered", **line.fields}
    targets = ", ".join(fields.get("at_work", ()))
    since_s = fields["since_stop_s"]
    sentence = _CUT.format(
        instance=line.instance,
        arrival=_describe_arrival(fields),
        at_work=f", was at work at {targets}" if targets else "",
        since_stop=f" {since_s} s after its stop began" if since_s else "",
        why=fields["why"],
    )
    outcome = _OUTCOMES.get(fields.get("stage"))
    if fields.get("attempts") and not targets:
        outcome = "an earlier attempt may have run"
    return f"{sentence}: {outcome}" if outcome else sentence


def _describe_arrival(fields):
    """Return when a request arrived, counted from the beginning of the stop."""
    after_s = fields.get("after_ms", 0.0) / MS_PER_S
    if fields["since_stop_s"] is None:
        return f"{after_s:.1f} s before its end"
    since_s = fields["since_stop_s"] - after_s
    if since_s < 0:
        return f"{-since_s:.1f} s before the stop"
    return f"{since_s:.1f} s after the beginning of the stop"


def explain_refusals(lines: Iterable[LogLine]) -> list[str]:
    """Return a sentence for each line on a request that was refused for its key.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines on one request.
    """
    found = []
    for line in lines:
        sentence = _sentence(line)
        if line.request_id is not None and sentence is not None:
            facts = {"revision": "unknown", **line.fields}
            found.append(f"{line.instance} refused it: {sentence.format(**facts)}")
    return found


def _sentence(line):
    cause = line.fields.get("cause")
    if cause == "key-unknown" and "workspace" in line.fields:
        has_run = line.fields.get("outcome") == "unknown"
        return _MAY_HAVE_RUN if has_run else _REVOKED
    return SENTENCES.get(cause)
