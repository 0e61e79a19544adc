"""The platform's store of rows over HTTP."""

from __future__ import annotations

import base64
from typing import Any
from typing import Final
from urllib.parse import urlencode

import msgspec

from fulmarscale.entry.kept.rows import CommitAnswer
from fulmarscale.entry.kept.rows import CommitStatus
from fulmarscale.entry.kept.rows import Row
from fulmarscale.entry.kept.rows import RowKey
from fulmarscale.entry.kept.rows import RowTable
from fulmarscale.entry.kept.rows import RowWrite
from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode
from fulmarscale.platform.http_client import Answer
from fulmarscale.platform.http_client import CallError
from fulmarscale.platform.http_client import HttpClient
from fulmarscale.platform.wire import WireParts
from fulmarscale.platform.wire import WireRow
from fulmarscale.platform.wire import WireRowName
from fulmarscale.platform.wire import WireRows
from fulmarscale.platform.wire import WireRowVersion
from fulmarscale.platform.wire import WireRowWrite
from fulmarscale.platform.wire import WireTransaction
from fulmarscale.platform.wire import WireTransactionAnswer

CALL_TIMEOUT_S: Final = 1.0
"""How long one call may take; the platform answers in 5 ms when sound."""

FEED_SLACK_S: Final = 0.8
"""How much longer than asked for an answer to a feed may take."""

MOST_CONNECTIONS: Final = 20
"""Four feeds, a transaction for each of 8 shards, and a few reads."""

OK: Final = 200

CONFLICT: Final = 412
"""A row of a transaction did not have the version that was expected."""

NOTHING_DONE: Final = (429, 503)
"""The store has done nothing, and never will by that call."""

PARTS_PAGE: Final = 1_000
"""Parts in one answer, by the platform's pages."""

GONE: Final = 410
"""The platform no longer has the history asked for."""


class HistoryGoneError(FulmarError):
    """The store no longer has the history that was asked for."""

    def __init__(self) -> None:
        super().__init__(ResultCode.STORE_UNAVAILABLE, "history is gone")


class RowStore(RowTable):
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

    async def read(self, table: str, part: str = "") -> WireRows:
        """Read the rows of one part of a table.

        :raises FulmarError: STORE_UNAVAILABLE.
        """
        found: list[WireRow] = []
        start = ""
        while True:
            query = {"table": table, "part": part, "from": start}
            answer = await self._get(
                "/api/rows-get", query, self._call_timeout_s
            )
            rows = _decode(answer, WireRows)
            found += rows.rows
            if not rows.has_more or not rows.rows:
                return WireRows(rows.ver, tuple(found))
            # The smallest key that comes after the last one read.
            start = rows.rows[-1].key + "\x00"

    async def read_part(self, table: str, part: str) -> tuple[Row, ...]:
        """Read all rows of one part of a table.

        :raises FulmarError: STORE_UNAVAILABLE.
        """
        return decode_rows((await self.read(table, part)).rows)

    async def read_row(self, name: RowKey) -> Row | None:
        """Read one row.

        :returns: none if there is no such row.
        :raises FulmarError: STORE_UNAVAILABLE.
        """
        query = {
            "table": name.table,
            "part": name.part,
            "from": name.key,
            "to": name.key + "\x00",
        }
        answer = await self._get("/api/rows-get", query, self._call_timeout_s)
        rows = decode_rows(_decode(answer, WireRows).rows)
        return rows[0] if rows else None

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """List the parts of a table that hold rows.

        :raises FulmarError: STORE_UNAVAILABLE.
        """
        found: list[str] = []
        while True:
            query = {"table": table}
            if found:
                query["after"] = found[-1]
            answer = await self._get(
                "/api/rows-parts", query, self._call_timeout_s
            )
            parts = _decode(answer, WireParts).parts
            found += parts
            if len(parts) < PARTS_PAGE:
                return tuple(found)

    async def commit(self, writes: tuple[RowWrite, ...]) -> CommitAnswer:
        """Apply all writes or none; all rows are in one part."""
        body = msgspec.json.encode(_encode_transaction(writes))
        try:
            answer = await self._client.call(
                "POST", "/api/rows-tx", body, self._call_timeout_s
            )
        except CallError as error:
            if error.is_sent:
                return CommitAnswer(CommitStatus.UNKNOWN)
            return CommitAnswer(CommitStatus.REFUSED)
        return _read_commit(answer)

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


def _encode_transaction(writes: tuple[RowWrite, ...]) -> WireTransaction:
    conditions = []
    changed = []
    removed = []
    for write in writes:
        name = write.name
        conditions.append(
            WireRowVersion(
                name.table, name.part, name.key, write.expected_version
            )
        )
        if write.value is None:
            removed.append(WireRowName(name.table, name.part, name.key))
            continue
        text = base64.b64encode(write.value).decode()
        changed.append(WireRowWrite(name.table, name.part, name.key, text))
    return WireTransaction(tuple(changed), tuple(conditions), tuple(removed))


def _read_commit(answer: Answer) -> CommitAnswer:
    """Read the answer to a transaction; what can't be read tells nothing."""
    if answer.status in NOTHING_DONE:
        return CommitAnswer(CommitStatus.REFUSED)
    try:
        if answer.status == OK:
            read = msgspec.json.decode(answer.body, type=WireTransactionAnswer)
            return CommitAnswer(CommitStatus.APPLIED, read.ver)
        if answer.status == CONFLICT:
            rows = msgspec.json.decode(answer.body, type=WireRows).rows
            return CommitAnswer(CommitStatus.CONFLICT, 0, decode_rows(rows))
    except (msgspec.MsgspecError, FulmarError):
        return CommitAnswer(CommitStatus.UNKNOWN)
    return CommitAnswer(CommitStatus.UNKNOWN)


def decode_rows(rows: tuple[WireRow, ...]) -> tuple[Row, ...]:
    """Give rows in the product's terms, without those that are gone.

    :raises FulmarError: STORE_UNAVAILABLE if one can't be read.
    """
    found = []
    for row in rows:
        if row.removed or row.ver == 0:
            continue
        name = RowKey(row.table, row.part, row.key)
        try:
            found.append(Row(name, row.read_value(), row.ver))
        except ValueError as error:
            raise _unavailable(str(error)) from error
    return tuple(found)


def _decode(answer: Answer, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(answer.body, type=kind)
    except msgspec.MsgspecError as error:
        raise _unavailable(str(error)) from error


def _unavailable(detail: str) -> FulmarError:
    return FulmarError(ResultCode.STORE_UNAVAILABLE, detail)
