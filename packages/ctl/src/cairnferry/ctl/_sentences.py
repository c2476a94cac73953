"""Sentences that state why a request was refused, from its log line."""

from collections.abc import Iterable

from cairnferry.ctl._explain import LogLine

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
