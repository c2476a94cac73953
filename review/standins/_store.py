"""Stand-in for the platform's metadata store: rows, transactions and the feed."""

import asyncio
import base64
import json
import time
import urllib.parse
from dataclasses import dataclass

from standins import _http

PAGE_ROWS = 500


@dataclass
class _Row:
    value: bytes | None
    ver: int


class Store:
    """Rows by table and key with one version counter; the part is always empty."""

    def __init__(self):
        self._rows: dict[str, dict[str, _Row]] = {}
        self._ver = 0
        self._changed = asyncio.Event()
        self.address = None

    async def start(self, host: str) -> None:
        """Listen on a loopback address."""
        server = await _http.serve(host, self._handle)
        self.address = (host, _http.port_of(server))

    def put(self, table: str, key: str, document) -> float:
        """Write a row as the operator or an upstream does; return the time of the ack.

        The time is monotonic, in seconds.
        """
        self._write(table, key, json.dumps(document).encode())
        return time.monotonic()

    def remove(self, table: str, key: str) -> float:
        """Remove a row; return the time of the ack as `put` does."""
        self._write(table, key, None)
        return time.monotonic()

    def _write(self, table, key, value):
        self._ver += 1
        self._rows.setdefault(table, {})[key] = _Row(value, self._ver)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, request, reader, writer):
        url = urllib.parse.urlsplit(request.first[1])
        query = dict(urllib.parse.parse_qsl(url.query))
        match url.path:
            case "/api/rows-get":
                return self._answer(200, self._get(query))
            case "/api/rows-feed":
                return await self._feed(query)
            case "/api/rows-tx":
                return self._transact(json.loads(request.body))
        return self._answer(404, {})

    def _answer(self, status, document):
        body = {
            **document,
            "ver": self._ver,
            "now": f"{time.monotonic_ns() // 10**6}ms",
        }
        headers = {"Content-Type": "application/json"}
        return _http.Response(status, headers, json.dumps(body).encode())

    def _get(self, query):
        table = query["table"]
        keys = sorted(
            key
            for key, row in self._rows.get(table, {}).items()
            if row.value is not None
            and key >= query.get("from", "")
            and ("to" not in query or key < query["to"])
        )
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        rows = [self._describe(table, key) for key in keys[:limit]]
        return {"rows": rows, "has_more": len(keys) > limit}

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        if after > self._ver:
            return self._answer(410, {})
        ends = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            changed = self._changed
            rows = self._rows.get(table, {})
            found = sorted(
                (row.ver, key) for key, row in rows.items() if row.ver > after
            )
            left = ends - time.monotonic()
            if found or left <= 0:
                described = [self._describe(table, key) for _, key in found]
                return self._answer(200, {"rows": described})
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, document):
        for each in document.get("precondition", ()):
            row = self._rows.get(each["table"], {}).get(each["key"])
            is_present = row is not None and row.value is not None
            if (row.ver if is_present else 0) != each["ver"]:
                rows = (
                    [self._describe(each["table"], each["key"])] if is_present else []
                )
                return self._answer(412, {"rows": rows})
        for each in document.get("set_keys", ()):
            value = base64.b64decode(each["value"])
            self._write(each["table"], each["key"], value)
        for each in document.get("delete_keys", ()):
            self._write(each["table"], each["key"], None)
        return self._answer(200, {})

    def _describe(self, table, key):
        row = self._rows[table][key]
        described = {"table": table, "part": "", "key": key, "ver": row.ver}
        if row.value is None:
            return {**described, "removed": True}
        return {**described, "value": base64.b64encode(row.value).decode()}
