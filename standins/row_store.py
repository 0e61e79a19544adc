"""Stand-in for the platform's store of rows, over its HTTP protocol.

Serves transactions, range reads, lists of parts and changes from memory. Tests
inject faults: see `StoreFault`.
"""

from __future__ import annotations

import asyncio
import base64
from contextlib import suppress
from enum import Enum
from typing import Any
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import msgspec

from standins.http_stub import HttpStub
from standins.http_stub import StubRequest
from standins.http_stub import StubResponse

if TYPE_CHECKING:
    from collections.abc import Awaitable

PAGE_ROWS: Final = 500
"""Maximal number of rows in one response to a read."""


class StoreFault(Enum):
    """Fault that a test injects."""

    NONE = "none"
    """Requests are carried out and answered."""
    BUSY = "busy"
    """Requests are rejected with 503."""
    SILENT = "silent"
    """Requests are neither carried out nor answered."""
    LOSES_ANSWERS = "loses_answers"
    """Requests are carried out but not answered."""


class RowName(NamedTuple):
    """Name of a row; reads return rows in the order of their names."""

    table: str
    part: str
    key: str


class StoredRow(NamedTuple):
    """The stored value and version of a row."""

    value: str
    """Value in base64."""
    ver: int
    """Version of the store at the row's last write."""


class RowStoreStandIn:
    """The stand-in of the store."""

    def __init__(self) -> None:
        self._server = HttpStub(self._respond_to)
        self._rows: dict[RowName, StoredRow] = {}
        self._store_version = 0
        """Number of writes so far; each gives its rows this version."""
        self._removed: dict[RowName, int] = {}
        """The store's version when a row was removed."""
        self._changed = asyncio.Event()
        """Set at the next write, and replaced then."""
        self.fault = StoreFault.NONE
        """The fault in force."""
        self.transactions = 0
        """Number of applied transactions."""
        self._delays_s: list[float] = []
        """How late the next transactions are carried out; see `delay_next`."""

    @property
    def address(self) -> str:
        """Address of the store, as IP:port."""
        return self._server.address

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        await self._server.start()

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    def put(self, table: str, key: str, value: str) -> None:
        """Write a row directly, in place of an operator's tool.

        :param table: the table.
        :param key: the key, in the part with the empty name.
        :param value: the value in base64.
        """
        name = RowName(table, "", key)
        self._write([(name, value)], [])

    def delay_next(self, late_s: float) -> None:
        """Carry the next transaction out late, without an answer.

        :param late_s: how late, in seconds.
        """
        self._delays_s.append(late_s)

    def value(self, table: str, key: str) -> bytes:
        """Return the value of a row in the part with the empty name."""
        row = self._rows[RowName(table, "", key)]
        return base64.b64decode(row.value)

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table in order."""
        return [name.key for name in sorted(self._rows) if name.table == table]

    def _respond_to(
        self, request: StubRequest
    ) -> StubResponse | Awaitable[StubResponse] | None:
        if self.fault is StoreFault.BUSY:
            return StubResponse(503)
        if self.fault is StoreFault.SILENT:
            return None
        parts = urlsplit(request.target)
        query = {
            name: values[0]
            for name, values in parse_qs(
                parts.query, keep_blank_values=True
            ).items()
        }
        match parts.path:
            case "/api/rows-tx" if self._delays_s:
                asyncio.get_running_loop().call_later(
                    self._delays_s.pop(0),
                    self._apply_transaction,
                    msgspec.json.decode(request.body),
                )
                return None
            case "/api/rows-tx":
                answer = self._apply_transaction(
                    msgspec.json.decode(request.body)
                )
            case "/api/rows-get":
                answer = self._read_range(query)
            case "/api/rows-parts":
                answer = self._list_parts(query)
            case "/api/rows-feed":
                return self._wait_for_changes(query)
            case _:
                answer = StubResponse(404)
        is_answer_lost = self.fault is StoreFault.LOSES_ANSWERS
        return None if is_answer_lost else answer

    def _apply_transaction(self, body: dict[str, Any]) -> StubResponse:
        conditions = [
            (_parse_name(row), row["ver"])
            for row in body.get("expectedRev", [])
        ]
        written = [(_parse_name(row), row["value"]) for row in body["setKeys"]]
        removed = [_parse_name(row) for row in body.get("remove", [])]
        named = [name for name, _ in [*conditions, *written]] + removed
        if len({name.part for name in named}) > 1:
            return StubResponse(400)
        if any(self._row_version(name) != ver for name, ver in conditions):
            rows = [
                self._encode_row(name)
                for name, _ in conditions
                if name in self._rows
            ]
            return _respond(412, rows=rows, ver=self._store_version)
        self.transactions += 1
        self._write(written, removed)
        return _respond(200, ver=self._store_version)

    def _write(
        self, written: list[tuple[RowName, str]], removed: list[RowName]
    ) -> None:
        self._store_version += 1
        for name, value in written:
            self._rows[name] = StoredRow(value, self._store_version)
            self._removed.pop(name, None)
        for name in removed:
            if self._rows.pop(name, None) is not None:
                self._removed[name] = self._store_version
        self._changed.set()
        self._changed = asyncio.Event()

    async def _wait_for_changes(self, query: dict[str, str]) -> StubResponse:
        table, after = query["table"], int(query["after"])
        rows = self._list_changes(table, after)
        with suppress(TimeoutError):
            async with asyncio.timeout(int(query["waitMs"]) / 1000):
                while not rows:
                    await self._changed.wait()
                    rows = self._list_changes(table, after)
        return _respond(200, rows=rows, ver=self._store_version)

    def _list_changes(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = [
            self._encode_row(name)
            for name, row in self._rows.items()
            if name.table == table and row.ver > after
        ]
        rows += [
            {**name._asdict(), "ver": ver, "removed": True}
            for name, ver in self._removed.items()
            if name.table == table and ver > after
        ]
        return sorted(rows, key=lambda row: row["ver"])

    def _read_range(self, query: dict[str, str]) -> StubResponse:
        names = [
            name
            for name in sorted(self._rows)
            if name.table == query["table"]
            and name.part == query.get("part", "")
            and name.key >= query.get("from", "")
            and ("to" not in query or name.key < query["to"])
        ]
        return _respond(
            200,
            rows=[self._encode_row(name) for name in names[:PAGE_ROWS]],
            hasMore=len(names) > PAGE_ROWS,
            ver=self._store_version,
        )

    def _list_parts(self, query: dict[str, str]) -> StubResponse:
        parts = {
            name.part for name in self._rows if name.table == query["table"]
        }
        after = query.get("after")
        listed = sorted(p for p in parts if after is None or p > after)
        return _respond(200, parts=listed, ver=self._store_version)

    def _row_version(self, name: RowName) -> int:
        row = self._rows.get(name)
        return 0 if row is None else row.ver

    def _encode_row(self, name: RowName) -> dict[str, Any]:
        row = self._rows[name]
        return {**name._asdict(), "value": row.value, "ver": row.ver}


def _parse_name(row: dict[str, Any]) -> RowName:
    return RowName(row["table"], row["part"], row["key"])


def _respond(status: int, **fields: Any) -> StubResponse:
    return StubResponse(status, msgspec.json.encode(fields))
