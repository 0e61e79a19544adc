"""The platform's store of rows over HTTP."""

from __future__ import annotations

import base64
from typing import Any
from typing import Final
from urllib.parse import urlencode

import msgspec

from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode
from fulmarscale.platform.http_client import Answer
from fulmarscale.platform.http_client import CallError
from fulmarscale.platform.http_client import HttpClient
from fulmarscale.platform.wire import WireRow
from fulmarscale.platform.wire import WireRows
from fulmarscale.platform.wire import WireRowWrite
from fulmarscale.platform.wire import WireTransaction
from fulmarscale.platform.wire import WireTransactionAnswer

CALL_TIMEOUT_S: Final = 1.0
"""How long one call may take; the platform answers in 5 ms when sound."""

FEED_SLACK_S: Final = 0.8
"""How much longer than asked for an answer to a feed may take."""

MOST_CONNECTIONS: Final = 8
"""Two feeds and a few calls at once."""

OK: Final = 200

GONE: Final = 410
"""The platform no longer has the history asked for."""


class HistoryGoneError(FulmarError):
    """The store no longer has the history that was asked for."""

    def __init__(self) -> None:
        super().__init__(ResultCode.STORE_UNAVAILABLE, "history is gone")


class RowStore:
    """Calls the platform's store; holds no state of its own."""

    def __init__(
        self, address: str, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._call_timeout_s = call_timeout_s
        self._client = HttpClient(address, MOST_CONNECTIONS)

    def move(self, address: str) -> None:
        """Call the store at another address from now on.

        :param address: IP:port.
        """
        self._client.move(address)

    async def close(self) -> None:
        """End all connections."""
        self._client.close()

    async def read(self, table: str) -> WireRows:
        """Read a table's rows in its empty part.

        :raises FulmarError: STORE_UNAVAILABLE.
        """
        found: list[WireRow] = []
        start = ""
        while True:
            query = {"table": table, "part": "", "from": start}
            answer = await self._get(
                "/api/rows-get", query, self._call_timeout_s
            )
            rows = _decode(answer, WireRows)
            found += rows.rows
            if not rows.has_more or not rows.rows:
                return WireRows(rows.ver, tuple(found))
            # The smallest key that comes after the last one read.
            start = rows.rows[-1].key + "\x00"

    async def read_value(self, table: str, key: str) -> bytes | None:
        """Read one row's value.

        :returns: the value; none if there is no such row.
        :raises FulmarError: STORE_UNAVAILABLE.
        """
        query = {"table": table, "part": "", "from": key, "to": key + "\x00"}
        answer = await self._get("/api/rows-get", query, self._call_timeout_s)
        rows = _decode(answer, WireRows).rows
        try:
            return rows[0].read_value() if rows else None
        except ValueError as error:
            raise _unavailable(str(error)) from error

    async def follow(self, table: str, after: int, wait_s: float) -> WireRows:
        """Wait for changes of a table.

        :param table: the table.
        :param after: the version from which on changes are wanted.
        :param wait_s: how long the store may wait for one, in seconds.
        :raises HistoryGoneError: if the store has forgotten that version.
        :raises FulmarError: STORE_UNAVAILABLE.
        """
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(round(wait_s * 1000)),
        }
        timeout_s = wait_s + FEED_SLACK_S
        answer = await self._get("/api/rows-feed", query, timeout_s)
        return _decode(answer, WireRows)

    async def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row whatever it held.

        :returns: the row's version.
        :raises FulmarError: STORE_UNAVAILABLE; the write may have been done.
        """
        text = base64.b64encode(value).decode()
        body = WireTransaction((WireRowWrite(table, "", key, text),))
        answer = await self._call(
            "POST",
            "/api/rows-tx",
            msgspec.json.encode(body),
            self._call_timeout_s,
        )
        return _decode(answer, WireTransactionAnswer).ver

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> Answer:
        target = f"{path}?{urlencode(query)}"
        return await self._call("GET", target, b"", timeout_s)

    async def _call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> Answer:
        try:
            answer = await self._client.call(method, target, body, timeout_s)
        except CallError as error:
            raise _unavailable(error.detail) from error
        _check(answer)
        return answer


def _check(answer: Answer) -> None:
    if answer.status == GONE:
        raise HistoryGoneError
    if answer.status != OK:
        raise _unavailable(f"status {answer.status}")


def _decode(answer: Answer, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise _unavailable(str(error)) from error


def _unavailable(detail: str) -> FulmarError:
    return FulmarError(ResultCode.STORE_UNAVAILABLE, detail)
