"""Stand-in for the platform's transactional table service.

Rows are kept in memory and served over HTTP. Tests change how the service
behaves with `PUT /mode`.
"""

from __future__ import annotations

import asyncio
from enum import Enum
from pathlib import Path
import time
from typing import Final

import click
from litestar import get
from litestar import Litestar
from litestar import post
from litestar import put
from litestar import Request
from litestar import Response
import msgspec

from fulmarscale.platform.http_table import TableRow
from fulmarscale.platform.http_table import Transaction
from fulmarscale.platform.http_table import TransactionResponse
from standins.serving import serve

MAX_WRITES_PER_S: Final = 500
"""Writing transactions that the service accepts in a second."""

MAX_READS_PER_S: Final = 2000
"""Transactions without writes that the service accepts in a second."""

WRITE_SYNC_S: Final = 0.004
"""Added time of a write, for its sync to storage."""


class Mode(Enum):
    """Availability of the service."""

    UP = "up"
    """Requests are answered."""
    DOWN = "down"
    """Requests are rejected with 503."""
    SLOW = "slow"
    """Requests are carried out after a delay."""
    LOSE_ANSWERS = "lose_answers"
    """Writes are carried out and answered with 504."""


class ModeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A request to change the mode."""

    mode: Mode
    """The new mode."""
    delay_ms: int = 800
    """The delay of each request in mode SLOW."""


class RateLimit:
    """Limits the number of requests in each second of the clock."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._second = 0
        self._count = 0

    def try_acquire(self, now: float) -> bool:
        """Count a request and return whether it is within the limit."""
        if int(now) != self._second:
            self._second = int(now)
            self._count = 0
        self._count += 1
        return self._count <= self._limit


class VersionedRows:
    """Versioned rows, written by transactions that check versions."""

    def __init__(self) -> None:
        self._rows: dict[str, TableRow] = {}

    def transact(
        self, transaction: Transaction, now: float
    ) -> TransactionResponse:
        """Apply a transaction if all its checks hold, and read rows.

        :param transaction: checks of row versions, writes, and the keys to
            read; a key that ends with `/` stands for all keys below it.
        :param now: Unix time in seconds.
        :returns: whether the writes were applied, and the rows read.
        """
        committed = all(
            self._version(check.key) == check.version
            for check in transaction.checks
        )
        if committed:
            for write in transaction.writes:
                version = self._version(write.key) + 1
                row = TableRow(write.key, version, write.value)
                self._rows[write.key] = row
        rows = [
            row
            for key, row in sorted(self._rows.items())
            if _matches_any(key, transaction.reads)
        ]
        return TransactionResponse(now, committed, tuple(rows))

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row is not None else 0


def _matches_any(key: str, patterns: tuple[str, ...]) -> bool:
    return any(
        key.startswith(pattern) if pattern.endswith("/") else key == pattern
        for pattern in patterns
    )


class TableService:
    """The table service with its mode and rate limits."""

    def __init__(self) -> None:
        self._rows = VersionedRows()
        self._mode = ModeRequest(Mode.UP)
        self._writes = RateLimit(MAX_WRITES_PER_S)
        self._reads = RateLimit(MAX_READS_PER_S)

    def set_mode(self, mode: ModeRequest) -> None:
        """Change the mode."""
        self._mode = mode

    async def transact(self, body: bytes) -> Response[bytes]:
        """Answer a request for a transaction, as the mode prescribes."""
        mode = self._mode
        if mode.mode is Mode.DOWN:
            return Response(b"", status_code=503)
        if mode.mode is Mode.SLOW:
            await asyncio.sleep(mode.delay_ms / 1000)
        transaction = msgspec.json.decode(body, type=Transaction)
        limit = self._writes if transaction.writes else self._reads
        if not limit.try_acquire(time.time()):
            return Response(b"", status_code=429)
        answer = self._rows.transact(transaction, time.time())
        if transaction.writes:
            await asyncio.sleep(WRITE_SYNC_S)
        if mode.mode is Mode.LOSE_ANSWERS and transaction.writes:
            return Response(b"", status_code=504)
        return Response(
            msgspec.json.encode(answer), media_type="application/json"
        )


def make_app() -> Litestar:
    """Return the HTTP application of the service."""
    service = TableService()

    @post("/v1/transactions", status_code=200)
    async def transact(request: Request) -> Response[bytes]:
        return await service.transact(await request.body())

    @put("/mode")
    async def set_mode(request: Request) -> Response[bytes]:
        body = msgspec.json.decode(await request.body(), type=ModeRequest)
        service.set_mode(body)
        return Response(b"{}", media_type="application/json")

    @get("/healthz")
    async def show_health() -> Response[bytes]:
        return Response(b"{}", media_type="application/json")

    return Litestar(
        route_handlers=[transact, set_mode, show_health],
        logging_config=None,
        openapi_config=None,
    )


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--tls-folder", type=click.Path(path_type=Path))
def main(port: int, tls_folder: Path | None) -> None:
    """Serve the stand-in of the platform's table on loopback."""
    serve(make_app(), port, tls_folder)


if __name__ == "__main__":
    main()
