"""Stand-in for the platform's store of rows.

It follows the page "PROTOCOL", section "The platform's metadata store". A
fault function decides on each transaction whether its answer is lost, and
whether it is carried out late: the page allows both.
"""

from __future__ import annotations

import asyncio
import base64
import json
import time
from typing import Any
from typing import NamedTuple

from stubs.web import Reply
from stubs.web import Request
from stubs.web import SILENCE
from stubs.web import WebServer

TRANSACTION_S = 0.005
"""How long a transaction takes (`txMs`)."""

PAGE_ROWS = 500
"""The most rows of one answer to a read."""

ROW_BYTES = 65_536
"""The longest value of a row (`rowBytes`)."""

CALL_ENTRIES = 100
CALL_BYTES = 1_000_000
"""What one transaction may hold at most."""


class Fault(NamedTuple):
    """What happens to a transaction whose answer is lost."""

    late_s: float = 0.0
    """It is carried out that much later, if its condition still holds."""


class Store:
    """The store, in memory; loses nothing that it has acknowledged."""

    def __init__(self) -> None:
        self._server = WebServer(self._handle)
        self._rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self._ver = 0
        self._history: list[dict[str, Any]] = []
        self._changed = asyncio.Event()
        self.fault: Any = lambda body: None
        """Gets a transaction; returns a Fault, or none."""
        self.on_refused: Any = lambda size: None
        """Gets the size of the longest value of a call that is too large."""
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        await self._server.start(host, port)

    def put(self, table: str, key: str, content: Any) -> None:
        """Write a row as the operator does."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self._write([((table, "", key), value)], [])

    def rows(self, table: str) -> list[tuple[str, bytes, int]]:
        """Return key, value and version of all rows of a table."""
        return [
            (name[2], base64.b64decode(value), ver)
            for name, (value, ver) in sorted(self._rows.items())
            if name[0] == table
        ]

    async def _handle(self, request: Request) -> Reply | None:
        match request.path:
            case "/api/rows-tx":
                if len(request.body) > CALL_BYTES:
                    return Reply(400)
                return await self._transact(request.json())
            case "/api/rows-get":
                return self._get(request.query)
            case "/api/rows-parts":
                return self._parts(request.query)
            case "/api/rows-feed":
                return await self._feed(request.query)
        return Reply(404)

    async def _transact(self, body: dict[str, Any]) -> Reply | None:
        await asyncio.sleep(TRANSACTION_S)
        lists = ("expectedRev", "setKeys", "remove")
        entries = sum(len(body.get(name, [])) for name in lists)
        sizes = [len(base64.b64decode(r["value"])) for r in body["setKeys"]]
        if entries > CALL_ENTRIES or max(sizes, default=0) > ROW_BYTES:
            self.on_refused(max(sizes, default=0))
            return Reply(400)
        fault = self.fault(body)
        if fault is None:
            return self._apply(body)
        if fault.late_s:
            task = asyncio.create_task(self._apply_late(body, fault.late_s))
            self._tasks.add(task)
        else:
            self._apply(body)
        return SILENCE

    async def _apply_late(self, body: dict[str, Any], late_s: float) -> None:
        await asyncio.sleep(late_s)
        self._apply(body)

    def _apply(self, body: dict[str, Any]) -> Reply:
        expected = [(_name(row), row["ver"]) for row in body["expectedRev"]]
        if any(self._version(name) != ver for name, ver in expected):
            rows = [
                self._describe(name)
                for name, _ in expected
                if name in self._rows
            ]
            return Reply(412, self._stamp({"rows": rows}))
        written = [(_name(row), row["value"]) for row in body["setKeys"]]
        removed = [_name(row) for row in body["remove"]]
        if len({name[1] for name, _ in expected + written}) > 1:
            return Reply(400)
        self._write(written, removed)
        return Reply(200, self._stamp({}))

    def _write(
        self,
        written: list[tuple[tuple[str, str, str], str]],
        removed: list[tuple[str, str, str]],
    ) -> None:
        self._ver += 1
        for name, value in written:
            self._rows[name] = (value, self._ver)
            self._history.append(self._describe(name))
        for name in removed:
            self._rows.pop(name, None)
            table, part, key = name
            self._history.append(
                {
                    "table": table,
                    "part": part,
                    "key": key,
                    "ver": self._ver,
                    "removed": True,
                }
            )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _get(self, query: dict[str, str]) -> Reply:
        names = [
            name
            for name in sorted(self._rows)
            if name[:2] == (query["table"], query.get("part", ""))
            and name[2] >= query.get("from", "")
            and ("to" not in query or name[2] < query["to"])
        ]
        content = {
            "rows": [self._describe(name) for name in names[:PAGE_ROWS]],
            "hasMore": len(names) > PAGE_ROWS,
        }
        return Reply(200, self._stamp(content))

    def _parts(self, query: dict[str, str]) -> Reply:
        parts = {name[1] for name in self._rows if name[0] == query["table"]}
        after = query.get("after")
        listed = sorted(p for p in parts if after is None or p > after)
        return Reply(200, self._stamp({"parts": listed[:1000]}))

    async def _feed(self, query: dict[str, str]) -> Reply:
        table, after = query["table"], int(query["after"])
        deadline_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self._changed
            newest = {
                (row["part"], row["key"]): row
                for row in self._history
                if row["table"] == table and row["ver"] > after
            }
            left_s = deadline_at - time.monotonic()
            if newest or left_s <= 0:
                rows = sorted(newest.values(), key=lambda row: row["ver"])
                return Reply(200, self._stamp({"rows": rows}))
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue

    def _version(self, name: tuple[str, str, str]) -> int:
        return self._rows[name][1] if name in self._rows else 0

    def _describe(self, name: tuple[str, str, str]) -> dict[str, Any]:
        value, ver = self._rows[name]
        table, part, key = name
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "ver": ver,
        }

    def _stamp(self, content: dict[str, Any]) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1000)
        return {**content, "ver": self._ver, "nowMs": now_ms}


def _name(row: dict[str, Any]) -> tuple[str, str, str]:
    return row["table"], row["part"], row["key"]
