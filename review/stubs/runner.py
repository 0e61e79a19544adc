"""Stand-in for a runner, a process of its own.

It follows the page "PROTOCOL", sections "Running tasks" and "Service
discovery". A task works for the milliseconds that its `spec` names. Each
start, end and order is written to a log, with the machine's steady clock.

    python3 -m stubs.runner SETTINGS.json
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
import json
from pathlib import Path
import random
import sys
import time
from typing import Any

from stubs.web import call
from stubs.web import Reply
from stubs.web import Request
from stubs.web import SILENCE
from stubs.web import WebServer

HOLD_MAX_S = 1.0
"""The longest lease (`holdMaxMs`)."""

HEARTBEAT_S = 1.5
"""Interval of heartbeats (`heartbeatMs`)."""

BEAT_RETRY_S = 0.2
"""Pause before a heartbeat that was not acknowledged is sent again."""

LISTED_ENDS = 500
"""The most ends in one list."""


class Runner:
    """One life of a runner."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self._settings = settings
        self._born = int(time.time() * 1000) - settings["clock_ms"]
        self._started_at = time.monotonic()
        self._fence = 0
        self._lease_until_ms = -1
        self._running: dict[str, tuple[int, float, float]] = {}
        """Run, start and length in seconds, by task."""
        self._highest: dict[str, int] = {}
        """The highest run of each task that ended or was stopped."""
        self._ended: list[list[Any]] = []
        self._ends = 0
        self._has_ended = asyncio.Event()
        self._log = Path(settings["log"])
        self._server = WebServer(self._handle)
        self._beats = 0
        self._is_known = False
        self._orders = 0
        self._late_orders: set[asyncio.Task[None]] = set()

    @property
    def _clock_ms(self) -> int:
        age_ms = (time.monotonic() - self._started_at) * 1000
        return int(self._settings["clock_ms"] + age_ms)

    def _write(self, event: str, **fields: Any) -> None:
        record = {
            "at": round(time.monotonic(), 4),
            "runner": self._settings["machine"],
            "born": self._born,
            "event": event,
            **fields,
        }
        with self._log.open("a") as log:
            log.write(json.dumps(record) + "\n")

    async def run(self) -> None:
        """Serve until the process is killed."""
        self._write("up", id=self._settings["id"])
        host, _, port = self._settings["address"].rpartition(":")
        await self._server.start(host, int(port))
        watch = asyncio.create_task(self._watch_leases())
        await asyncio.sleep(self._settings.get("first_beat_s", 0.0))
        while not watch.done():
            is_acknowledged = await self._beat()
            pause_s = HEARTBEAT_S if is_acknowledged else BEAT_RETRY_S
            await asyncio.sleep(pause_s)

    async def _beat(self) -> bool:
        self._beats += 1
        content = {
            "service": self._settings["service"],
            "address": self._settings["address"],
            "zone": self._settings["zone"],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "capacity": {"cpu": 16000, "memMb": 65536, "gpu": 0},
            "labels": self._settings.get("labels", ["a", "r1-1"]),
            "clockMs": self._clock_ms,
            "callSeq": self._beats,
            "born": self._born,
            "machine": self._settings["machine"],
        }
        status, _ = await call(
            self._settings["control"],
            "POST",
            f"/api/Instances.Heartbeat/{self._settings['id']}",
            content,
            timeout_s=1.0,
        )
        if status == 200 and not self._is_known:
            self._is_known = True
            self._write("first_beat")
        return status == 200

    async def _watch_leases(self) -> None:
        while True:
            await asyncio.sleep(0.002)
            if self._running and self._clock_ms > self._lease_until_ms:
                self._write("lapse")
                for task in list(self._running):
                    self._end(task, "lapsed")
            now = time.monotonic()
            for task, (_, since, length_s) in list(self._running.items()):
                if now - since >= length_s:
                    self._end(task, "done")

    def _end(self, task: str, how: str) -> None:
        run, _, _ = self._running.pop(task)
        self._highest[task] = max(self._highest.get(task, 0), run)
        self._ends += 1
        self._ended.append([self._ends, task, run, how, ""])
        self._write("end", task=task, run=run, how=how, n=self._ends)
        self._has_ended.set()

    def _extend(self, until_ms: int) -> None:
        until_ms = min(until_ms, self._clock_ms + int(HOLD_MAX_S * 1000))
        self._lease_until_ms = max(self._lease_until_ms, until_ms)

    async def _handle(self, request: Request) -> Reply | None:
        answer_s = self._settings.get("answer_s", 0.0)
        if answer_s:
            await asyncio.sleep(random.uniform(0.5, 1.5) * answer_s)
        body = request.json()
        self._orders += 1
        if self._is_late(request.path, body):
            task = asyncio.create_task(self._carry_out_late(request, body))
            self._late_orders.add(task)
            return SILENCE
        return await self._carry_out(request, body)

    def _is_late(self, path: str, body: dict[str, Any]) -> bool:
        """Return whether an order is left unanswered and carried out late."""
        prefix = self._settings.get("late_job")
        if not prefix or self._late_orders or path != "/api/run-start":
            return False
        return body["task"].startswith(prefix)

    async def _carry_out_late(
        self, request: Request, body: dict[str, Any]
    ) -> None:
        """Carry out an order later; its lease counts from then."""
        self._write(
            "unanswered",
            task=body["task"],
            run=body["run"],
            order=self._orders,
        )
        lease_ms = body["untilMs"] - self._clock_ms
        await asyncio.sleep(self._settings["late_s"])
        late_body = {**body, "untilMs": self._clock_ms + lease_ms}
        reply = await self._carry_out(request, late_body)
        self._write("carried_out_late", status=reply.status)

    async def _carry_out(
        self, request: Request, body: dict[str, Any]
    ) -> Reply:
        if request.headers.get("target-instance") != self._settings["id"]:
            return Reply(421)
        if body["fencingToken"] < self._fence:
            self._write(
                "fenced", path=request.path, token=body["fencingToken"]
            )
            return self._conflict("fence")
        self._fence = body["fencingToken"]
        match request.path:
            case "/api/run-start":
                return self._start(body)
            case "/api/run-stop":
                return self._stop(body)
            case "/api/hold":
                return await self._hold(body)
        return Reply(404)

    def _start(self, body: dict[str, Any]) -> Reply:
        task, run = body["task"], body["run"]
        present = self._running.get(task)
        if present is not None and present[0] == run:
            return self._answer({})
        if run <= self._highest.get(task, 0) or present is not None:
            self._extend(body["untilMs"])
            return self._conflict("old")
        if body["untilMs"] <= self._clock_ms:
            return self._conflict("late")
        self._extend(body["untilMs"])
        length_s = int(body["spec"]) / 1000
        self._running[task] = (run, time.monotonic(), length_s)
        self._write("start", task=task, run=run)
        return self._answer({})

    def _stop(self, body: dict[str, Any]) -> Reply:
        task, run = body["task"], body["run"]
        present = self._running.get(task)
        if present is not None and present[0] <= run:
            self._end(task, "stopped")
        self._highest[task] = max(self._highest.get(task, 0), run)
        return self._answer({})

    async def _hold(self, body: dict[str, Any]) -> Reply:
        seen = body["lastSeen"]
        if self._ended and self._ended[0][0] <= seen:
            self._write("noted", up_to=seen)
        self._ended = [row for row in self._ended if row[0] > seen]
        if "untilMs" in body:
            self._extend(body["untilMs"])
        wait_s = body.get("waitMs", 0) / 1000
        if wait_s and not self._ended:
            self._has_ended.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._has_ended.wait()
        now = time.monotonic()
        running = [
            [task, run, "", min(99, int((now - since) / length_s * 100)), 100]
            for task, (run, since, length_s) in self._running.items()
        ]
        ended = self._ended[:LISTED_ENDS]
        return self._answer({"running": running, "ended": ended})

    def _answer(self, content: dict[str, Any]) -> Reply:
        content |= {"clockMs": self._clock_ms, "born": self._born}
        return Reply(200, content)

    def _conflict(self, reason: str) -> Reply:
        content = {"clockMs": self._clock_ms, "born": self._born}
        return Reply(409, {**content, "reason": reason})


if __name__ == "__main__":
    settings_path = Path(sys.argv[1])
    asyncio.run(Runner(json.loads(settings_path.read_bytes())).run())
