"""WSGI application for operators: JSON over HTTP."""

import hmac
import json
import urllib.parse
from collections.abc import Callable

import attrs

from cairnferry.coordination import (
    Appended,
    ChangeIdReused,
    HeadMoved,
    LogTooLarge,
    OutcomeUnknown,
    TableUnavailable,
)
from cairnferry.decoding import decode, load_json
from cairnferry.entry.callers import BodyLimits
from cairnferry.entry.changelog import Configuration
from cairnferry.entry.http import HANDLER_KEY, Answer, BadRequest, Problem
from cairnferry.entry.operators._submissions import Submissions
from cairnferry.records import (
    Change,
    DuplicateKeyDigest,
    Kind,
    MalformedChange,
    MalformedRecord,
    RecordExists,
    RecordKey,
    RevisionConflict,
    UnknownReference,
    UnknownSchemaVersion,
)

# Seconds after which the outcome of a submitted change is reported as unknown.
SUBMIT_TIMEOUT_S = 10.0
BODY_LIMITS = BodyLimits(size=4 * 1024 * 1024, seconds=10.0)
MAX_TOKEN_FILE_BYTES = 65536

_STATUS_BY_ERROR = {
    MalformedChange: "400 Bad Request",
    MalformedRecord: "422 Unprocessable Content",
    UnknownSchemaVersion: "422 Unprocessable Content",
    UnknownReference: "422 Unprocessable Content",
    DuplicateKeyDigest: "422 Unprocessable Content",
    LogTooLarge: "413 Content Too Large",
    RecordExists: "409 Conflict",
    RevisionConflict: "409 Conflict",
    ChangeIdReused: "409 Conflict",
    HeadMoved: "503 Service Unavailable",
    TableUnavailable: "503 Service Unavailable",
    OutcomeUnknown: "504 Gateway Timeout",
}


@attrs.define
class TokenFile:
    """File with operators' tokens, one per line; read again for each request.

    Parameters
    ----------
    path : str or None
        Path of the file; None admits everyone.
    """

    path: str | None

    def admits(self, header: str | None) -> bool:
        """Return whether an Authorization header contains a known token."""
        if self.path is None:
            return True
        scheme, _, token = (header or "").partition(" ")
        if scheme.lower() != "bearer":
            return False
        received = token.strip().encode()
        return any(hmac.compare_digest(received, known) for known in self._tokens())

    def _tokens(self):
        try:
            with open(self.path, "rb") as file:
                lines = file.read(MAX_TOKEN_FILE_BYTES).splitlines()
        except OSError:
            # If the file cannot be read, the listener admits nobody.
            return []
        return [line.strip() for line in lines if line.strip()]


@attrs.define
class OperatorsApp:
    """Serves operators.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force at this daemon.
    submissions : Submissions
        Queue of submitted changes.
    tokens : TokenFile
        Tokens of the operators that are admitted.
    status : callable
        Returns this daemon's view of the whole system, as plain values.
    dump : callable
        Returns this daemon's state, as plain values.
    metrics : callable
        Returns the metrics as text.
    drain : callable
        Makes this daemon leave.
    blocked : callable
        Returns the blocked requests, as plain values.
    unblock : callable
        Lifts the block of a request, by its digest; returns whether it was blocked.
    workspaces : callable
        Returns the limited workspaces and their use, as plain values.
    """

    configuration: Configuration
    submissions: Submissions
    tokens: TokenFile
    status: Callable[[], dict]
    dump: Callable[[], dict]
    metrics: Callable[[], str]
    drain: Callable[[], None]
    blocked: Callable[[], list[dict]]
    unblock: Callable[[str], bool]
    workspaces: Callable[[], list[dict]]

    def __call__(self, environ, start_response):
        """Answer one request."""
        handler = environ[HANDLER_KEY]
        try:
            answer = self._answer(handler)
        except BadRequest as exc:
            name = exc.problem.value[2]
            answer = _json_answer(exc.problem.status_line, {"error": name})
        headers = [*answer.headers, ("Content-Length", str(len(answer.body)))]
        start_response(answer.status, headers)
        return [answer.body] if handler.command != "HEAD" else []

    def _answer(self, handler):
        if not self.tokens.admits(handler.headers.get("authorization")):
            return _json_answer("401 Unauthorized", {"error": "unauthorized"})
        url = urllib.parse.urlsplit(handler.path)
        parts = tuple(urllib.parse.unquote(p) for p in url.path.split("/")[1:])
        match handler.command, parts:
            case "POST", ("v1", "changes"):
                return self._submit(handler)
            case "GET", ("v1", "changes", change_id):
                return self._change_status(change_id)
            case "GET", ("v1", "records"):
                return self._records(url.query)
            case "GET", ("v1", "records", kind, name):
                return self._record(kind, name)
            case "GET", ("v1", "status"):
                return _json_answer("200 OK", self.status())
            case "GET", ("v1", "dump"):
                return _json_answer("200 OK", self.dump())
            case "GET", ("metrics",):
                headers = [("Content-Type", "text/plain; version=0.0.4")]
                return Answer("200 OK", headers, self.metrics().encode())
            case "GET", ("v1", "blocked"):
                return _json_answer("200 OK", {"blocked": self.blocked()})
            case "GET", ("v1", "workspaces"):
                return _json_answer("200 OK", {"workspaces": self.workspaces()})
            case "POST", ("v1", "blocked", content, "lift"):
                if self.unblock(content):
                    return _json_answer("200 OK", {"state": "let through"})
                return _json_answer("404 Not Found", {"error": "not-blocked"})
            case "POST", ("v1", "drain"):
                self.drain()
                return _json_answer("202 Accepted", {"state": "leaving"})
        return _json_answer("404 Not Found", {"error": "no-such-page"})

    def _submit(self, handler):
        body = handler.read_body(BODY_LIMITS.size, BODY_LIMITS.seconds)
        decoded = decode(lambda: load_json(body))
        if decoded.is_error():
            raise BadRequest(Problem.MALFORMED)
        parsed = Change.from_json(decoded.ok)
        if parsed.is_error():
            return _error_answer(parsed.error, None)
        change = parsed.ok
        result = self.submissions.submit(change, SUBMIT_TIMEOUT_S)
        if result.is_error():
            return _error_answer(result.error, change.change_id)
        match result.ok:
            case Appended(revision):
                document = {
                    "outcome": "accepted",
                    "revision": revision,
                    "change_id": change.change_id,
                }
                return _json_answer("201 Created", document)

    def _change_status(self, change_id):
        found = self.submissions.change_log_sync.changes.status(change_id)
        if found.is_error():
            return _error_answer(OutcomeUnknown(found.error.reason), change_id)
        revision = found.ok.revision
        outcome = "accepted" if revision is not None else "not-accepted-so-far"
        document = {
            "change_id": change_id,
            "outcome": outcome,
            "revision": revision,
            "in_force_here": revision is not None
            and self.configuration.revision >= revision,
        }
        return _json_answer("200 OK", document)

    def _records(self, query):
        kind = urllib.parse.parse_qs(query).get("kind", [None])[0]
        entries = sorted(self.configuration.records.entries.items())
        document = {
            "revision": self.configuration.revision,
            "records": [
                _record_json(key, entry)
                for key, entry in entries
                if kind is None or key.kind == kind
            ],
        }
        return _json_answer("200 OK", document)

    def _record(self, kind, name):
        if kind not in tuple(Kind):
            return _json_answer("404 Not Found", {"error": "no-such-kind"})
        key = RecordKey(Kind(kind), name)
        entry = self.configuration.records.entries.get(key)
        if entry is None:
            return _json_answer("404 Not Found", {"error": "no-such-record"})
        return _json_answer("200 OK", _record_json(key, entry))


def _record_json(key, entry):
    return {
        "kind": str(key.kind),
        "name": key.name,
        "revision": entry.revision,
        "schema": entry.document["schema"],
        "record": entry.document,
    }


def _error_answer(error, change_id):
    document = {
        "outcome": "unknown" if isinstance(error, OutcomeUnknown) else "refused",
        "error": type(error).__name__,
        "message": str(error),
        "change_id": change_id,
    }
    if hasattr(error, "field"):
        document["field"] = error.field
    return _json_answer(_STATUS_BY_ERROR[type(error)], document)


def _json_answer(status, document):
    body = json.dumps(document, indent=1).encode() + b"\n"
    return Answer(status, [("Content-Type", "application/json")], body)
