"""HTTP towards callers: listeners, heads, pipelines, own answers and small pages."""

from cairnferry.entry.http._answers import (
    Answer,
    Problem,
    not_run,
    problem_answer,
    unknown,
)
from cairnferry.entry.http._headers import (
    ATTEMPT_HEADER,
    TIMEOUT_HEADER,
    BadDeadline,
    FieldNames,
    RequestHead,
    answer_headers,
    read_request_head,
)
from cairnferry.entry.http._http_server import (
    HANDLER_KEY,
    BadRequest,
    HttpServer,
    Limits,
)
from cairnferry.entry.http._pipeline import CallerGone
from cairnferry.entry.http._pipelined_server import PipelinedHandler, PipelinedServer
from cairnferry.entry.http._small_apps import JSON, TEXT, Page, PagesApp

__all__ = [
    "ATTEMPT_HEADER",
    "Answer",
    "BadDeadline",
    "BadRequest",
    "CallerGone",
    "FieldNames",
    "HANDLER_KEY",
    "HttpServer",
    "JSON",
    "Limits",
    "Page",
    "PagesApp",
    "PipelinedHandler",
    "PipelinedServer",
    "Problem",
    "RequestHead",
    "TEXT",
    "TIMEOUT_HEADER",
    "answer_headers",
    "not_run",
    "problem_answer",
    "read_request_head",
    "unknown",
]
