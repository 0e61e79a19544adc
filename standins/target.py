"""A stand-in for a target: it runs tasks in slots."""

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

from fulmarscale.agent.target import RunAnswer
from fulmarscale.agent.target import RunBody
from fulmarscale.agent.target import TargetAnnouncement
from standins.serving import serve

ECHO_KINDS = ("echo", "dispatch_note", "splice_approval")


class Mode(Enum):
    """How the target behaves."""

    OK = "ok"
    SLOW = "slow"
    FAILING = "failing"
    HUNG = "hung"
    CROSSED = "crossed"
    CUT = "cut"
    GARBAGE = "garbage"
    LEAVING = "leaving"


class ModeBody(msgspec.Struct, forbid_unknown_fields=True):
    """A request to change the mode."""

    mode: Mode
    """The new mode."""
    delay_ms: int = 1000
    """The added run time of each task, for SLOW."""


class SleepPayload(msgspec.Struct):
    """The payload of a task that sleeps."""

    ms: float
    """How long, in milliseconds."""


class Start(msgspec.Struct):
    """A task that the target was made to start."""

    submission_id: str
    """The submission."""
    index: int
    """The task's position in the job."""
    started_at: float
    """Unix time in seconds."""


class TargetService:
    """A target with its slots, modes and record of starts."""

    def __init__(self, slots: int, connections: int) -> None:
        self._announcement = TargetAnnouncement(slots, connections)
        self._slots = asyncio.Semaphore(slots)
        self._mode = ModeBody(Mode.OK)
        self._starts: list[Start] = []

    @property
    def starts(self) -> list[Start]:
        """Everything that the target was made to start."""
        return self._starts

    def set_mode(self, mode: ModeBody) -> None:
        """Change the mode."""
        self._mode = mode

    def announce(self) -> TargetAnnouncement:
        """Tell about the target."""
        return msgspec.structs.replace(
            self._announcement, leaving=self._mode.mode is Mode.LEAVING
        )

    async def run(self, run: RunBody) -> Response[Any] | Stream:
        """Run a task as the mode says."""
        self._starts.append(Start(run.submission_id, run.index, time.time()))
        mode = self._mode
        if mode.mode is Mode.HUNG:
            await asyncio.sleep(3600)
        async with self._slots:
            if mode.mode is Mode.SLOW:
                await asyncio.sleep(mode.delay_ms / 1000)
            answer = await self._work(run)
        return _respond(mode.mode, answer)

    async def _work(self, run: RunBody) -> RunAnswer:
        result = run.payload
        ok = run.kind in ECHO_KINDS
        if run.kind == "sleep":
            payload = msgspec.json.decode(run.payload, type=SleepPayload)
            await asyncio.sleep(payload.ms / 1000)
            ok = True
        return RunAnswer(run.submission_id, run.index, ok, result)


def _respond(mode: Mode, answer: RunAnswer) -> Response[Any] | Stream:
    if mode is Mode.FAILING:
        return Response(b"{}", status_code=500)
    if mode is Mode.GARBAGE:
        return Response(b"\x00\xff{not json", media_type="application/json")
    if mode is Mode.CROSSED:
        answer = msgspec.structs.replace(answer, index=answer.index + 1)
    content = msgspec.json.encode(answer)
    if mode is Mode.CUT:
        headers = {"content-length": str(len(content))}
        return Stream(_cut(content), status_code=200, headers=headers)
    return Response(content, media_type="application/json")


async def _cut(content: bytes) -> AsyncIterator[bytes]:
    yield content[: len(content) // 2]
    raise ConnectionResetError


def make_app(slots: int, connections: int) -> Litestar:
    """Make the application."""
    service = TargetService(slots, connections)

    @get("/announce")
    async def announce() -> Response[bytes]:
        content = msgspec.json.encode(service.announce())
        return Response(content, media_type="application/json")

    @post("/run", status_code=200)
    async def run(request: Request) -> Any:
        body = msgspec.json.decode(await request.body(), type=RunBody)
        return await service.run(body)

    @get("/starts")
    async def show_starts() -> Response[bytes]:
        content = msgspec.json.encode(service.starts)
        return Response(content, media_type="application/json")

    @put("/mode")
    async def set_mode(request: Request) -> Response[bytes]:
        body = msgspec.json.decode(await request.body(), type=ModeBody)
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
    """Serve the stand-in on loopback."""
    serve(make_app(slots, connections), port)


if __name__ == "__main__":
    main()
