"""Stand-in for the platform's store: rows in tables, a feed, and transactions."""

import asyncio
import base64
import json
import time
import urllib.parse

from ._http import address_of, answer, read_message

ANSWER_S = 0.004
PAGE_ROWS = 500
READ_ONLY = ("op", "servers")


class Store:
    """The store; the operator and the upstreams write to it with `put` and `drop`."""

    def __init__(self):
        self._rows = {}
        self._removed = {}
        self._ver = 1
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, host: str) -> None:
        """Listen on a free port of an address."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = address_of(self._server)

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row in a transaction of its own."""
        self._apply({(table, key): value})

    def drop(self, table: str, key: str) -> None:
        """Remove a row in a transaction of its own."""
        self._apply({(table, key): None})

    def _apply(self, changes):
        self._ver += 1
        for row, value in changes.items():
            if value is None:
                self._rows.pop(row, None)
                self._removed[row] = self._ver
            else:
                self._removed.pop(row, None)
                self._rows[row] = (value, self._ver)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message.start.split()
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                status, document = await self._call(method, url.path, query, message)
                now = f"{int(time.monotonic() * 1000)}ms"
                document = {"ver": self._ver, "now": now, **document}
                await asyncio.sleep(ANSWER_S)
                headers = {"Content-Type": "application/json", "Store-Era": "1"}
                body = json.dumps(document).encode()
                await self._send(writer, answer(status, headers, body))
        except OSError:
            pass
        finally:
            writer.close()

    async def _send(self, writer, data):
        writer.write(data)
        await writer.drain()

    async def _call(self, method, path, query, message):
        match method, path:
            case "GET", "/api/rows-get":
                return 200, self._page(query)
            case "GET", "/api/rows-feed":
                return 200, await self._feed(query)
            case "POST", "/api/rows-tx":
                return self._transact(json.loads(message.body))
        return 404, {}

    def _page(self, query):
        table, limit = query["table"], min(PAGE_ROWS, int(query.get("limit", 500)))
        start, end = query.get("from", ""), query.get("to")
        keys = sorted(
            key
            for name, key in self._rows
            if name == table and key >= start and (end is None or key < end)
        )
        rows = [self._row(table, key) for key in keys[:limit]]
        return {"rows": rows, "has_more": len(keys) > limit}

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        ends = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            changed = [
                (ver, key)
                for (name, key), (_, ver) in self._rows.items()
                if name == table and ver > after
            ]
            changed += [
                (ver, key)
                for (name, key), ver in self._removed.items()
                if name == table and ver > after
            ]
            left = ends - time.monotonic()
            if changed or left <= 0:
                return {"rows": [self._row(table, key) for _, key in sorted(changed)]}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                pass

    def _row(self, table, key):
        found = {"table": table, "part": "", "key": key}
        if (table, key) in self._removed:
            return {**found, "removed": True, "ver": self._removed[table, key]}
        value, ver = self._rows[table, key]
        return {**found, "value": base64.b64encode(value).decode(), "ver": ver}

    def _transact(self, document):
        entries = [*document.get("set_keys", ()), *document.get("delete_keys", ())]
        if any(entry["table"] in READ_ONLY for entry in entries):
            return 403, {}
        conditions = {
            (each["table"], each["key"]): each["ver"]
            for each in document.get("precondition", ())
        }
        if any(self._rows.get(row, (b"", 0))[1] != v for row, v in conditions.items()):
            rows = [self._row(*row) for row in conditions if row in self._rows]
            return 412, {"rows": rows}
        changes = {
            (each["table"], each["key"]): base64.b64decode(each["value"])
            for each in document.get("set_keys", ())
        }
        for each in document.get("delete_keys", ()):
            changes[each["table"], each["key"]] = None
        self._apply(changes)
        return 200, {}
