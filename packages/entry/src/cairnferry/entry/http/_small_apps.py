"""Small WSGI applications beside the one that serves requests."""

import json
from collections.abc import Callable

import attrs

from cairnferry.entry.http._http_server import HANDLER_KEY, BadRequest

JSON = "application/json"
# Longest body of a form, and seconds for it to arrive: a row of an instance.
MAX_FORM_BYTES = 65536
FORM_S = 5.0
TEXT = "text/plain; version=0.0.4"


@attrs.frozen
class Page:
    """An answer of a small application.

    Attributes
    ----------
    status : str
        Status and phrase.
    body : bytes
        Whole body.
    content_type : str
        Its type.
    """

    status: str
    body: bytes
    content_type: str

    @classmethod
    def of(cls, status: str, document) -> "Page":
        """Write a document as JSON."""
        return cls(status, json.dumps(document).encode(), JSON)


@attrs.frozen
class PagesApp:
    """Serves pages by their path.

    Parameters
    ----------
    pages : dict of str to callable
        From a path to what makes its page; called with the path and query as
        received.
    forms : dict of str to callable, optional
        From a path to what answers a POST there; called with its body.
    """

    pages: dict[str, Callable[[str], Page]]
    forms: dict[str, Callable[[bytes], Page]] = attrs.field(factory=dict)

    def __call__(self, environ, start_response):
        """Answer one request."""
        handler = environ[HANDLER_KEY]
        url = handler.path
        path = url.partition("?")[0]
        if handler.command == "POST" and path in self.forms:
            page = self._take_form(self.forms[path], handler)
        elif path in self.pages:
            page = self.pages[path](url)
        else:
            page = Page.of("404 Not Found", {"error": "no such path"})
        headers = [
            ("Content-Type", page.content_type),
            ("Content-Length", str(len(page.body))),
        ]
        start_response(page.status, headers)
        return [page.body]

    def _take_form(self, answer, handler):
        try:
            return answer(handler.read_body(MAX_FORM_BYTES, FORM_S))
        except BadRequest as exc:
            return Page.of("400 Bad Request", {"error": str(exc)})
