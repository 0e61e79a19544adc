"""Client of the platform's row store over HTTP."""

from __future__ import annotations

import base64
from typing import Any
from typing import Final
from urllib.parse import urlencode

import msgspec

from fulmarscale.decoding import decode_json
from fulmarscale.entry.durable.rows import CommitResult
from fulmarscale.entry.durable.rows import CommitStatus
from fulmarscale.entry.durable.rows import Row
from fulmarscale.entry.durable.rows import RowKey
from fulmarscale.entry.durable.rows import RowTable
from fulmarscale.entry.durable.rows import RowWrite
from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode
from fulmarscale.platform.http_client import HttpClient
from fulmarscale.platform.http_client import HttpResponse
from fulmarscale.platform.http_client import RequestError
from fulmarscale.platform.wire import WireParts
from fulmarscale.platform.wire import WireRow
from fulmarscale.platform.wire import WireRowKey
from fulmarscale.platform.wire import WireRows
from fulmarscale.platform.wire import WireRowVersion
from fulmarscale.platform.wire import WireRowWrite
from fulmarscale.platform.wire import WireTransaction
from fulmarscale.platform.wire import WireTransactionResponse

CALL_TIMEOUT_S: Final = 1.0
"""Timeout of one request; a healthy store responds within 5 ms."""

FEED_SLACK_S: Final = 0.8
"""Time that a change feed may take beyond the wait that it requests."""

MAX_CONNECTIONS: Final = 20
"""Enough for four feeds, a transaction of each of 8 shards, a few reads."""

OK: Final = 200

PRECONDITION_FAILED: Final = 412
"""Status of a transaction if a row did not have the expected version."""

NOT_APPLIED_STATUSES: Final = (429, 503)
"""Statuses that state that a request was not and will not be applied."""

TOO_LARGE_STATUSES: Final = (400, 413)
"""Statuses of a transaction over a limit of the store.

The platform names no status for it.
"""

PARTS_PAGE_SIZE: Final = 1_000
"""The platform's page size in a list of parts."""

GONE: Final = 410
"""Status of a feed if the store no longer has the requested history."""


class HistoryGoneError(FulmarError):
    """The store no longer has the changes that a feed requested."""

    def __init__(self) -> None:
        super().__init__(
            ResultCode.STORE_UNAVAILABLE,
            "the store no longer has the requested history",
        )


class RowStoreClient(RowTable):
    """Client of the platform's row store; caches nothing."""

    def __init__(
        self, address: str, call_timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        self._call_timeout_s = call_timeout_s
        self._client = HttpClient(
            address, MAX_CONNECTIONS, distrusts_idle=True
        )

    def set_address(self, address: str) -> None:
        """Send further requests to another address.

        :param address: IP:port.
        """
        self._client.set_address(address)

    async def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def read(self, table: str, part: str = "") -> WireRows:
        """Read all pages of one part of a table.

        :raises FulmarError: STORE_UNAVAILABLE.
        """
        all_rows: list[WireRow] = []
        first_key = ""
        while True:
            query = {"table": table, "part": part, "from": first_key}
            response = await self._get(
                "/api/rows-get", query, self._call_timeout_s
            )
            rows = _decode(response, WireRows)
            all_rows += rows.rows
            if not rows.has_more or not rows.rows:
                return WireRows(rows.ver, tuple(all_rows))
            # The smallest key greater than the last one read.
            first_key = rows.rows[-1].key + "\x00"

    async def read_part(self, table: str, part: str) -> tuple[Row, ...]:
        """Read all rows of one part of a table.

        :raises FulmarError: STORE_UNAVAILABLE.
        """
        return decode_rows((await self.read(table, part)).rows)

    async def read_row(self, name: RowKey) -> Row | None:
        """Read one row.

        :returns: the row; none if it does not exist.
        :raises FulmarError: STORE_UNAVAILABLE.
        """
        query = {
            "table": name.table,
            "part": name.part,
            "from": name.key,
            "to": name.key + "\x00",
        }
        response = await self._get(
            "/api/rows-get", query, self._call_timeout_s
        )
        rows = decode_rows(_decode(response, WireRows).rows)
        return rows[0] if rows else None

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """List the parts of a table that hold rows.

        :raises FulmarError: STORE_UNAVAILABLE.
        """
        names: list[str] = []
        while True:
            query = {"table": table}
            if names:
                query["after"] = names[-1]
            response = await self._get(
                "/api/rows-parts", query, self._call_timeout_s
            )
            parts = _decode(response, WireParts).parts
            names += parts
            if len(parts) < PARTS_PAGE_SIZE:
                return tuple(names)

    async def commit(self, writes: tuple[RowWrite, ...]) -> CommitResult:
        """Apply all writes or none.

        All rows must be in parts of the same name.
        """
        body = msgspec.json.encode(encode_transaction(writes))
        try:
            response = await self._client.call(
                "POST", "/api/rows-tx", body, self._call_timeout_s
            )
        except RequestError as error:
            if error.may_be_sent:
                return CommitResult(CommitStatus.UNKNOWN)
            return CommitResult(CommitStatus.REFUSED)
        return decode_commit(response)

    async def read_changes(
        self, table: str, after: int, wait_s: float
    ) -> WireRows:
        """Return changes of a table, waiting for the first one.

        :param table: the table.
        :param after: the store's revision after which changes are returned.
        :param wait_s: how long the store may wait for a change, in seconds.
        :raises HistoryGoneError: if the store no longer has the changes
            since that revision.
        :raises FulmarError: STORE_UNAVAILABLE.
        """
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(round(wait_s * 1000)),
        }
        timeout_s = wait_s + FEED_SLACK_S
        response = await self._get("/api/rows-feed", query, timeout_s)
        return _decode(response, WireRows)

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> HttpResponse:
        request_target = f"{path}?{urlencode(query)}"
        return await self._call("GET", request_target, b"", timeout_s)

    async def _call(
        self, method: str, request_target: str, body: bytes, timeout_s: float
    ) -> HttpResponse:
        try:
            response = await self._client.call(
                method, request_target, body, timeout_s
            )
        except RequestError as error:
            raise _unavailable_error(error.detail) from error
        _raise_for_status(response)
        return response


def _raise_for_status(response: HttpResponse) -> None:
    if response.status == GONE:
        raise HistoryGoneError
    if response.status != OK:
        raise _unavailable_error(f"status {response.status}")


def encode_transaction(writes: tuple[RowWrite, ...]) -> WireTransaction:
    """Convert writes to a transaction that checks each row's version."""
    conditions = []
    changed = []
    removed = []
    for write in writes:
        name = write.row_key
        conditions.append(
            WireRowVersion(
                name.table, name.part, name.key, write.expected_version
            )
        )
        if write.value is None:
            removed.append(WireRowKey(name.table, name.part, name.key))
            continue
        encoded_value = base64.b64encode(write.value).decode()
        changed.append(
            WireRowWrite(name.table, name.part, name.key, encoded_value)
        )
    return WireTransaction(tuple(changed), tuple(conditions), tuple(removed))


def decode_commit(response: HttpResponse) -> CommitResult:
    """Decode the response to a transaction; UNKNOWN if it is malformed."""
    if response.status in NOT_APPLIED_STATUSES:
        return CommitResult(CommitStatus.REFUSED)
    if response.status in TOO_LARGE_STATUSES:
        return CommitResult(CommitStatus.TOO_LARGE)
    try:
        if response.status == OK:
            decoded = decode_json(response.body, WireTransactionResponse)
            return CommitResult(CommitStatus.APPLIED, decoded.ver)
        if response.status == PRECONDITION_FAILED:
            rows = decode_json(response.body, WireRows).rows
            return CommitResult(CommitStatus.CONFLICT, 0, decode_rows(rows))
    except (msgspec.MsgspecError, FulmarError):
        return CommitResult(CommitStatus.UNKNOWN)
    return CommitResult(CommitStatus.UNKNOWN)


def decode_rows(rows: tuple[WireRow, ...]) -> tuple[Row, ...]:
    """Convert rows to the internal type, without those that were removed.

    :raises FulmarError: STORE_UNAVAILABLE if a value can't be decoded.
    """
    decoded = []
    for row in rows:
        if row.removed or row.ver == 0:
            continue
        name = RowKey(row.table, row.part, row.key)
        try:
            decoded.append(Row(name, row.read_value(), row.ver))
        except ValueError as error:
            raise _unavailable_error(str(error)) from error
    return tuple(decoded)


def _decode(response: HttpResponse, message_type: type[Any]) -> Any:
    try:
        return decode_json(response.body, message_type)
    except msgspec.MsgspecError as error:
        raise _unavailable_error(str(error)) from error


def _unavailable_error(detail: str) -> FulmarError:
    return FulmarError(ResultCode.STORE_UNAVAILABLE, detail)
