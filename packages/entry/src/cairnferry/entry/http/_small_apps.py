"""Small WSGI applications beside the one that serves requests."""

import json
from collections.abc import Callable

import attrs

from cairnferry.entry.http._http_server import HANDLER_KEY

JSON = "application/json"
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
    """

    pages: dict[str, Callable[[str], Page]]

    def __call__(self, environ, start_response):
        """Answer one request."""
        url = environ[HANDLER_KEY].path
        make = self.pages.get(url.partition("?")[0])
        if make is None:
            page = Page.of("404 Not Found", {"error": "no such path"})
        else:
            page = make(url)
        headers = [
            ("Content-Type", page.content_type),
            ("Content-Length", str(len(page.body))),
        ]
        start_response(page.status, headers)
        return [page.body]
