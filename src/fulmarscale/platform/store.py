"""The platform's store of rows over HTTP."""

from __future__ import annotations

import base64
from typing import Any
from typing import Final

import httpx
import msgspec

from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode
from fulmarscale.platform.wire import WireRow
from fulmarscale.platform.wire import WireRows
from fulmarscale.platform.wire import WireTransactionAnswer

CALL_TIMEOUT_S: Final = 1.0
"""How long one call may take; the platform answers in 5 ms when sound."""

FEED_SLACK_S: Final = 0.8
"""How much longer than asked for an answer to a feed may take."""

GONE: Final = 410
"""The platform no longer has the history asked for."""


class HistoryGoneError(FulmarError):
    """The store no longer has the history that was asked for."""

    def __init__(self) -> None:
        super().__init__(ResultCode.STORE_UNAVAILABLE, "history is gone")


class RowStore:
    """Calls the platform's store; holds no state of its own."""

    def __init__(self, address: str) -> None:
        self._client = httpx.AsyncClient(
            base_url=f"http://{address}",
            timeout=CALL_TIMEOUT_S,
            trust_env=False,
        )

    def move(self, address: str) -> None:
        """Call the store at another address from now on.

        :param address: IP:port.
        """
        self._client.base_url = httpx.URL(f"http://{address}")

    async def close(self) -> None:
        """End all connections."""
        await self._client.aclose()

    async def read(self, table: str) -> WireRows:
        """Read a table's rows in its empty part.

        :raises FulmarError: STORE_UNAVAILABLE.
        """
        found: list[WireRow] = []
        start = ""
        while True:
            query = {"table": table, "part": "", "from": start}
            answer = await self._get("/api/rows-get", query, CALL_TIMEOUT_S)
            rows = _decode(answer, WireRows)
            found += rows.rows
            if not rows.has_more or not rows.rows:
                return WireRows(rows.ver, tuple(found))
            # The smallest key that comes after the last one read.
            start = rows.rows[-1].key + "\x00"

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
        row = {"table": table, "part": "", "key": key, "value": text}
        body = {"expectedRev": [], "setKeys": [row], "remove": []}
        try:
            answer = await self._client.post(
                "/api/rows-tx",
                content=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
            )
        except httpx.HTTPError as error:
            raise _unavailable(repr(error)) from error
        _check(answer)
        return _decode(answer, WireTransactionAnswer).ver

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> httpx.Response:
        try:
            answer = await self._client.get(
                path, params=query, timeout=timeout_s
            )
        except httpx.HTTPError as error:
            raise _unavailable(repr(error)) from error
        _check(answer)
        return answer


def _check(answer: httpx.Response) -> None:
    if answer.status_code == GONE:
        raise HistoryGoneError
    if answer.status_code != httpx.codes.OK:
        raise _unavailable(f"status {answer.status_code}")


def _decode(answer: httpx.Response, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(answer.content, type=kind)
    except msgspec.MsgspecError as error:
        raise _unavailable(str(error)) from error


def _unavailable(detail: str) -> FulmarError:
    return FulmarError(ResultCode.STORE_UNAVAILABLE, detail)
