"""Small WSGI application that serves pages by path."""

import json
from collections.abc import Callable

import attrs

from cairnferry.entry.http._http_server import HANDLER_KEY, BadRequest

JSON = "application/json"
# Maximum size in bytes of a POST body, which holds a row of an instance, and maximum
# time in seconds for it to arrive.
MAX_FORM_BYTES = 65536
FORM_BODY_S = 5.0
TEXT = "text/plain; version=0.0.4"


@attrs.frozen
class Page:
    """An answer of a small application.

    Attributes
    ----------
    status : str
        Status code and reason phrase.
    body : bytes
        The whole body.
    content_type : str
        Media type of the body.
    """

    status: str
    body: bytes
    content_type: str

    @classmethod
    def of(cls, status: str, document) -> "Page":
        """Return a page with a document as JSON."""
        return cls(status, json.dumps(document).encode(), JSON)


@attrs.frozen
class PagesApp:
    """Serves pages by path.

    Parameters
    ----------
    pages : dict of str to callable
        Functions that return the page of a path; called with the path and query as
        received.
    forms : dict of str to callable, optional
        Functions that answer a POST to a path; called with its body.
    """

    pages: dict[str, Callable[[str], Page]]
    forms: dict[str, Callable[[bytes], Page]] = attrs.field(factory=dict)

    def __call__(self, environ, start_response):
        """Answer one request."""
        handler = environ[HANDLER_KEY]
        url = handler.path
        path = url.partition("?")[0]
        if handler.command == "POST" and path in self.forms:
            page = self._answer_form(self.forms[path], handler)
        elif path in self.pages:
            page = self.pages[path](url)
        else:
            page = Page.of("404 Not Found", {"error": "no such path"})
        if not handler.hold_answer(len(page.body)):
            page = Page.of("503 Service Unavailable", {"error": "memory is used up"})
        headers = [
            ("Content-Type", page.content_type),
            ("Content-Length", str(len(page.body))),
        ]
        start_response(page.status, headers)
        return [page.body]

    def _answer_form(self, answer, handler):
        try:
            return answer(handler.read_body(MAX_FORM_BYTES, FORM_BODY_S))
        except BadRequest as exc:
            return Page.of("400 Bad Request", {"error": str(exc)})
