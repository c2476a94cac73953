"""HTTP server side: listeners, headers, pipelining, local answers and small pages."""

from cairnferry.entry.http._accounts import AnswerRoom, Kind
from cairnferry.entry.http._answers import (
    Answer,
    Problem,
    not_run_answer,
    problem_answer,
    unknown_answer,
)
from cairnferry.entry.http._headers import (
    ATTEMPT_HEADER,
    AUTHORIZATION,
    TIMEOUT_HEADER,
    WORKSPACE_HEADER,
    BadDeadline,
    FieldNames,
    RequestHead,
    answer_headers,
    end_to_end_headers,
    read_request_head,
    without_identity,
)
from cairnferry.entry.http._http_server import (
    HANDLER_KEY,
    BadRequest,
    HttpServer,
    ListenerLimits,
)
from cairnferry.entry.http._memory import Memory
from cairnferry.entry.http._pipeline import CallerGone, StopReached
from cairnferry.entry.http._pipelined_server import (
    AdoptedServer,
    PipelinedHandler,
    PipelinedServer,
)
from cairnferry.entry.http._progress import Progress
from cairnferry.entry.http._small_apps import JSON, TEXT, Page, PagesApp

__all__ = [
    "ATTEMPT_HEADER",
    "AdoptedServer",
    "AUTHORIZATION",
    "Answer",
    "AnswerRoom",
    "BadDeadline",
    "BadRequest",
    "CallerGone",
    "FieldNames",
    "HANDLER_KEY",
    "HttpServer",
    "JSON",
    "Kind",
    "ListenerLimits",
    "Memory",
    "Page",
    "PagesApp",
    "PipelinedHandler",
    "PipelinedServer",
    "Problem",
    "Progress",
    "RequestHead",
    "StopReached",
    "TEXT",
    "TIMEOUT_HEADER",
    "WORKSPACE_HEADER",
    "answer_headers",
    "end_to_end_headers",
    "not_run_answer",
    "problem_answer",
    "read_request_head",
    "unknown_answer",
    "without_identity",
]
