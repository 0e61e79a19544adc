"""A stand-in for the platform's transactional table service."""

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
from fulmarscale.platform.http_table import TransactionAnswer
from standins.serving import serve

WRITES_A_SECOND: Final = 500
READS_A_SECOND: Final = 2000
SYNCED_WRITE_S: Final = 0.004


class Mode(Enum):
    """How the service behaves."""

    UP = "up"
    DOWN = "down"
    SLOW = "slow"
    LOSE_ANSWERS = "lose_answers"


class ModeBody(msgspec.Struct, forbid_unknown_fields=True):
    """A request to change the mode."""

    mode: Mode
    """The new mode."""
    delay_ms: int = 800
    """The delay of each answer, for SLOW."""


class RateLimit:
    """Counts requests in each second."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._second = 0
        self._count = 0

    def take(self, now: float) -> bool:
        """Count a request; false if it is one too many."""
        if int(now) != self._second:
            self._second = int(now)
            self._count = 0
        self._count += 1
        return self._count <= self._limit


class Rows:
    """Versioned rows with transactions that compare versions."""

    def __init__(self) -> None:
        self._rows: dict[str, TableRow] = {}

    def transact(
        self, transaction: Transaction, now: float
    ) -> TransactionAnswer:
        """Carry out a transaction."""
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
            if _is_read(key, transaction.reads)
        ]
        return TransactionAnswer(now, committed, tuple(rows))

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row is not None else 0


def _is_read(key: str, reads: tuple[str, ...]) -> bool:
    return any(
        key.startswith(read) if read.endswith("/") else key == read
        for read in reads
    )


class TableService:
    """The table service with its modes and limits."""

    def __init__(self) -> None:
        self._rows = Rows()
        self._mode = ModeBody(Mode.UP)
        self._writes = RateLimit(WRITES_A_SECOND)
        self._reads = RateLimit(READS_A_SECOND)

    def set_mode(self, mode: ModeBody) -> None:
        """Change the mode."""
        self._mode = mode

    async def transact(self, body: bytes) -> Response[bytes]:
        """Answer a request as the mode says."""
        mode = self._mode
        if mode.mode is Mode.DOWN:
            return Response(b"", status_code=503)
        if mode.mode is Mode.SLOW:
            await asyncio.sleep(mode.delay_ms / 1000)
        transaction = msgspec.json.decode(body, type=Transaction)
        limit = self._writes if transaction.writes else self._reads
        if not limit.take(time.time()):
            return Response(b"", status_code=429)
        answer = self._rows.transact(transaction, time.time())
        if transaction.writes:
            await asyncio.sleep(SYNCED_WRITE_S)
        if mode.mode is Mode.LOSE_ANSWERS and transaction.writes:
            return Response(b"", status_code=504)
        return Response(
            msgspec.json.encode(answer), media_type="application/json"
        )


def make_app() -> Litestar:
    """Make the application."""
    service = TableService()

    @post("/v1/transactions", status_code=200)
    async def transact(request: Request) -> Response[bytes]:
        return await service.transact(await request.body())

    @put("/mode")
    async def set_mode(request: Request) -> Response[bytes]:
        body = msgspec.json.decode(await request.body(), type=ModeBody)
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
    """Serve the stand-in on loopback."""
    serve(make_app(), port, tls_folder)


if __name__ == "__main__":
    main()
