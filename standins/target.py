"""Stand-in for a target: runs tasks in slots and records their starts.

Tests change how it behaves with `PUT /mode` and read the starts with
`GET /starts`.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from enum import Enum
import time
from typing import Any

import click
from litestar import get
from litestar import Litestar
from litestar import post
from litestar import put
from litestar import Request
from litestar import Response
from litestar.response import Stream
import msgspec

from fulmarscale.agent.target_client import RunRequest
from fulmarscale.agent.target_client import RunResponse
from fulmarscale.agent.target_client import TargetAnnouncement
from standins.serving import serve

ECHO_KINDS = ("echo", "dispatch_note", "splice_approval")
"""Kinds of tasks that return their payload at once."""


class Mode(Enum):
    """How the target behaves; tests select a mode."""

    OK = "ok"
    """Tasks run and are answered."""
    SLOW = "slow"
    """Each task takes longer."""
    FAILING = "failing"
    """Each run is answered with 500."""
    HUNG = "hung"
    """Tasks are started but don't end within an hour."""
    CROSSED = "crossed"
    """Each answer names another task of the job."""
    CUT = "cut"
    """The connection breaks in the middle of each answer."""
    GARBAGE = "garbage"
    """Each answer is no valid JSON."""
    LEAVING = "leaving"
    """The target announces that it shuts down."""


class ModeRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A request to change the mode."""

    mode: Mode
    """The new mode."""
    delay_ms: int = 1000
    """The added run time of each task in mode SLOW."""


class SleepPayload(msgspec.Struct):
    """The payload of a task that sleeps."""

    ms: float
    """Duration in milliseconds."""


class StartRecord(msgspec.Struct):
    """The record of a started task."""

    submission_id: str
    """The submission."""
    index: int
    """The task's position in the job."""
    started_at: float
    """Unix time of the start in seconds."""


class TargetService:
    """A target with slots, a mode and the records of its starts."""

    def __init__(self, slots: int, connections: int) -> None:
        self._announcement = TargetAnnouncement(slots, connections)
        self._slots = asyncio.Semaphore(slots)
        self._mode = ModeRequest(Mode.OK)
        self._starts: list[StartRecord] = []

    @property
    def starts(self) -> list[StartRecord]:
        """The records of all starts, in order."""
        return self._starts

    def set_mode(self, mode: ModeRequest) -> None:
        """Change the mode."""
        self._mode = mode

    def announce(self) -> TargetAnnouncement:
        """Return the announcement that agents poll."""
        return msgspec.structs.replace(
            self._announcement, leaving=self._mode.mode is Mode.LEAVING
        )

    async def run(self, run: RunRequest) -> Response[Any] | Stream:
        """Run a task and answer, as the mode prescribes."""
        self._starts.append(
            StartRecord(run.submission_id, run.index, time.time())
        )
        mode = self._mode
        if mode.mode is Mode.HUNG:
            await asyncio.sleep(3600)
        async with self._slots:
            if mode.mode is Mode.SLOW:
                await asyncio.sleep(mode.delay_ms / 1000)
            answer = await self._work(run)
        return _respond(mode.mode, answer)

    async def _work(self, run: RunRequest) -> RunResponse:
        result = run.payload
        ok = run.kind in ECHO_KINDS
        if run.kind == "sleep":
            payload = msgspec.json.decode(run.payload, type=SleepPayload)
            await asyncio.sleep(payload.ms / 1000)
            ok = True
        return RunResponse(run.submission_id, run.index, ok, result)


def _respond(mode: Mode, answer: RunResponse) -> Response[Any] | Stream:
    if mode is Mode.FAILING:
        return Response(b"{}", status_code=500)
    if mode is Mode.GARBAGE:
        return Response(b"\x00\xff{not json", media_type="application/json")
    if mode is Mode.CROSSED:
        answer = msgspec.structs.replace(answer, index=answer.index + 1)
    content = msgspec.json.encode(answer)
    if mode is Mode.CUT:
        headers = {"content-length": str(len(content))}
        return Stream(
            _send_truncated(content), status_code=200, headers=headers
        )
    return Response(content, media_type="application/json")


async def _send_truncated(content: bytes) -> AsyncIterator[bytes]:
    yield content[: len(content) // 2]
    raise ConnectionResetError


def make_app(slots: int, connections: int) -> Litestar:
    """Return the HTTP application of the target."""
    service = TargetService(slots, connections)

    @get("/announce")
    async def announce() -> Response[bytes]:
        content = msgspec.json.encode(service.announce())
        return Response(content, media_type="application/json")

    @post("/run", status_code=200)
    async def run(request: Request) -> Any:
        body = msgspec.json.decode(await request.body(), type=RunRequest)
        return await service.run(body)

    @get("/starts")
    async def show_starts() -> Response[bytes]:
        content = msgspec.json.encode(service.starts)
        return Response(content, media_type="application/json")

    @put("/mode")
    async def set_mode(request: Request) -> Response[bytes]:
        body = msgspec.json.decode(await request.body(), type=ModeRequest)
        service.set_mode(body)
        return Response(b"{}", media_type="application/json")

    return Litestar(
        route_handlers=[announce, run, show_starts, set_mode],
        logging_config=None,
        openapi_config=None,
    )


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--slots", type=int, default=8, show_default=True)
@click.option("--connections", type=int, default=64, show_default=True)
def main(port: int, slots: int, connections: int) -> None:
    """Serve the stand-in of a target on loopback."""
    serve(make_app(slots, connections), port)


if __name__ == "__main__":
    main()
