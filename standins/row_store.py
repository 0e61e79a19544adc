"""A stand-in of the platform's store of rows, by its protocol.

Serves transactions, reads, parts and feeds over HTTP from memory. What it is
told to do wrong it does wrong: see `StoreFault`.
"""

from __future__ import annotations

from enum import Enum
from typing import Any
from typing import Final
from typing import NamedTuple
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import msgspec

from standins.http_stub import HttpStub
from standins.http_stub import StubAnswer
from standins.http_stub import StubRequest

PAGE: Final = 500
"""Rows in one answer."""


class StoreFault(Enum):
    """What is wrong with the store."""

    NONE = "none"
    BUSY = "busy"
    """It does nothing and says so."""
    SILENT = "silent"
    """It does nothing and does not answer."""
    LOSES_ANSWERS = "loses_answers"
    """It does what it is told and does not answer."""


class RowName(NamedTuple):
    """Names a row; rows are in this order."""

    table: str
    part: str
    key: str


class StoredRow(NamedTuple):
    """A row."""

    value: str
    """Base64."""
    ver: int


class RowStoreStandIn:
    """The store."""

    def __init__(self) -> None:
        self._server = HttpStub(self._answer)
        self._rows: dict[RowName, StoredRow] = {}
        self._version = 0
        self.fault = StoreFault.NONE
        self.transactions = 0
        """Transactions that were applied."""

    @property
    def address(self) -> str:
        """IP:port of the store."""
        return self._server.address

    async def start(self) -> None:
        """Listen on loopback."""
        await self._server.start()

    async def close(self) -> None:
        """Stop listening."""
        await self._server.close()

    def put(self, table: str, key: str, value: str) -> None:
        """Write a row as the operator does.

        :param table: the table.
        :param key: the key in its empty part.
        :param value: base64.
        """
        self._version += 1
        name = RowName(table, "", key)
        self._rows[name] = StoredRow(value, self._version)

    def keys(self, table: str) -> list[str]:
        """List the keys of a table."""
        return [name.key for name in sorted(self._rows) if name.table == table]

    def _answer(self, request: StubRequest) -> StubAnswer | None:
        if self.fault is StoreFault.BUSY:
            return StubAnswer(503)
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
            case "/api/rows-tx":
                answer = self._apply(msgspec.json.decode(request.body))
            case "/api/rows-get":
                answer = self._read(query)
            case "/api/rows-parts":
                answer = self._list_parts(query)
            case _:
                answer = StubAnswer(404)
        loses = self.fault is StoreFault.LOSES_ANSWERS
        return None if loses else answer

    def _apply(self, body: dict[str, Any]) -> StubAnswer:
        conditions = [
            (_name(row), row["ver"]) for row in body.get("expectedRev", [])
        ]
        changed = [(_name(row), row["value"]) for row in body["setKeys"]]
        removed = [_name(row) for row in body.get("remove", [])]
        touched = [name for name, _ in [*conditions, *changed]] + removed
        if len({name.part for name in touched}) > 1:
            return StubAnswer(400)
        if any(self._ver(name) != ver for name, ver in conditions):
            rows = [
                self._show(name)
                for name, _ in conditions
                if name in self._rows
            ]
            return _respond(412, rows=rows, ver=self._version)
        self._version += 1
        self.transactions += 1
        for name, value in changed:
            self._rows[name] = StoredRow(value, self._version)
        for name in removed:
            self._rows.pop(name, None)
        return _respond(200, ver=self._version)

    def _read(self, query: dict[str, str]) -> StubAnswer:
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
            rows=[self._show(name) for name in names[:PAGE]],
            hasMore=len(names) > PAGE,
            ver=self._version,
        )

    def _list_parts(self, query: dict[str, str]) -> StubAnswer:
        parts = {
            name.part for name in self._rows if name.table == query["table"]
        }
        after = query.get("after")
        found = sorted(p for p in parts if after is None or p > after)
        return _respond(200, parts=found, ver=self._version)

    def _ver(self, name: RowName) -> int:
        row = self._rows.get(name)
        return 0 if row is None else row.ver

    def _show(self, name: RowName) -> dict[str, Any]:
        row = self._rows[name]
        return {**name._asdict(), "value": row.value, "ver": row.ver}


def _name(row: dict[str, Any]) -> RowName:
    return RowName(row["table"], row["part"], row["key"])


def _respond(status: int, **fields: Any) -> StubAnswer:
    return StubAnswer(status, msgspec.json.encode(fields))
