"""Stand-in for the platform's runner, over its HTTP protocol.

A task runs for as many milliseconds as its payload says. Tests restart a
runner under its id, take it down, and read what has run on it.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.platform.http_client import HttpClient
from fulmarscale.platform.http_client import RequestError
from standins.http_stub import HttpStub
from standins.http_stub import StubRequest
from standins.http_stub import StubResponse

if TYPE_CHECKING:
    from collections.abc import Callable

HEARTBEAT_S: Final = 1.5
"""Interval of heartbeats."""

HEARTBEAT_RETRY_S: Final = 0.2
"""Pause before a heartbeat that was not acknowledged is sent again."""

MAX_LEASE_MS: Final = 1000
"""Longest lease; a longer one is shortened."""

CAPACITY: Final = {"cpu": 16000, "memMb": 65536, "gpu": 0}


class RunRecord(msgspec.Struct):
    """A run and its end."""

    runner: str
    """The runner's id."""
    born: int
    """The runner's incarnation."""
    task: str
    number: int
    began_at: float
    """By the event loop's time, in seconds."""
    due_at: float
    """When its task is done."""
    ended_at: float = float("inf")
    outcome: str = ""
    """How it ended; `down` if the runner went down."""
    position: int = 0
    """Position of its end in the runner's list."""
    is_noted: bool = False
    """Whether an agent has acknowledged its end under the same lease."""
    has_lapsed: bool = False
    """Whether the lease has lapsed since its end."""

    def percent(self, now: float) -> int:
        """Return its progress at a time of the event loop."""
        length_s = self.due_at - self.began_at
        return min(99, int((now - self.began_at) / length_s * 100))


class _Incarnation:
    """The state of a runner that ends with its process."""

    def __init__(self, born: int) -> None:
        self.born = born
        self.loop = asyncio.get_running_loop()
        self.since = self.loop.time()
        self.fencing_token = 0
        self.lease_end_ms = 0
        self.running: dict[str, RunRecord] = {}
        self.timers: dict[str, asyncio.TimerHandle] = {}
        self.highest: dict[str, int] = {}
        """The highest run of each task that ended or was stopped."""
        self.ended: list[RunRecord] = []
        """Ends that no agent has acknowledged."""
        self.end_count = 0
        self.has_ended = asyncio.Event()
        self.lease_timer: asyncio.TimerHandle | None = None

    @property
    def clock_ms(self) -> int:
        """The steady clock."""
        return int((self.loop.time() - self.since) * 1000)

    def begin(self, run: RunRecord) -> None:
        """Begin a run, which is done after its time."""
        self.running[run.task] = run
        self.timers[run.task] = self.loop.call_at(
            run.due_at, self.end, run.task, "done"
        )

    def end(self, task: str, outcome: str) -> None:
        """End a run and list its end."""
        run = self.running.pop(task)
        self.timers.pop(task).cancel()
        run.ended_at = self.loop.time()
        run.outcome = outcome
        self.end_count += 1
        run.position = self.end_count
        self.highest[task] = max(self.highest.get(task, 0), run.number)
        self.ended.append(run)
        self.has_ended.set()

    def acknowledge(self, position: int) -> None:
        """Forget the ends up to a position."""
        for run in self.ended:
            if run.position <= position and not run.has_lapsed:
                run.is_noted = True
        self.ended = [run for run in self.ended if run.position > position]

    def extend_lease(self, end_ms: int) -> None:
        """Extend the lease of all runs; never shortens it."""
        latest_ms = min(end_ms, self.clock_ms + MAX_LEASE_MS)
        if latest_ms <= self.lease_end_ms:
            return
        self.lease_end_ms = latest_ms
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        expires_at = self.since + (latest_ms + 1) / 1000
        self.lease_timer = self.loop.call_at(expires_at, self.lapse)

    def lapse(self) -> None:
        """End all runs, as their lease has expired."""
        for run in self.ended:
            run.has_lapsed = True
        for task in list(self.running):
            self.end(task, "lapsed")

    def close(self) -> None:
        """End all runs without a trace, as the process has ended."""
        for run in self.running.values():
            run.ended_at = self.loop.time()
            run.outcome = "down"
        for timer in self.timers.values():
            timer.cancel()
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        self.running.clear()


class RunnerStandIn:
    """A runner that keeps its id and address over restarts.

    :param runner_id: its id.
    :param service: the service whose tasks it runs.
    :param zone: its data centre.
    :param control_address: where its agent receives heartbeats.
    :param port: where it listens.
    """

    def __init__(
        self,
        runner_id: str,
        service: str,
        zone: str,
        control_address: str,
        port: int,
    ) -> None:
        self.runner_id = runner_id
        self.runs: list[RunRecord] = []
        """The runs of all incarnations, in the order of their starts."""
        self.idle_polls = 0
        """Requests for the list of runs while there were none."""
        self.lists = 0
        """Requests for the list of runs."""
        self.response_s: Callable[[], float] = lambda: 0.0
        """Returns the time that a request takes, in seconds."""
        self.late_s: Callable[[], float | None] = lambda: None
        """Returns how late a start is carried out; none: at once.

        A late one gets no response.
        """
        self.is_silent = False
        """Whether requests get no response and, starts aside, no effect."""
        self.published_address = ""
        """The address in heartbeats; empty for the runner's own."""
        self._service = service
        self._zone = zone
        self._control = HttpClient(control_address, 1)
        self._server = HttpStub(self._respond_to)
        self._port = port
        self._incarnation: _Incarnation | None = None
        self._born = 0
        self._heartbeats: asyncio.Task[None] | None = None
        self._late_starts: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Its address, as IP:port."""
        return f"127.0.0.1:{self._port}"

    @property
    def is_up(self) -> bool:
        """Whether its process runs."""
        return self._incarnation is not None

    @property
    def listed_ends(self) -> list[RunRecord]:
        """The ends that its agent has not let it forget."""
        return [] if self._incarnation is None else self._incarnation.ended

    async def start(self, first_heartbeat_s: float = 0.0) -> None:
        """Begin an incarnation, which listens at once.

        :param first_heartbeat_s: the time until its first heartbeat.
        """
        self._begin_incarnation(first_heartbeat_s)
        await self._server.start(self._port)

    def restart(self, first_heartbeat_s: float) -> None:
        """End the incarnation and begin the next one at once."""
        self._end_incarnation()
        self._begin_incarnation(first_heartbeat_s)

    async def stop(self) -> None:
        """End the incarnation and refuse connections."""
        self._end_incarnation()
        await self._server.close()

    def _begin_incarnation(self, first_heartbeat_s: float) -> None:
        self._born += 1
        self._incarnation = _Incarnation(self._born)
        self._heartbeats = asyncio.create_task(
            self._send_heartbeats(self._incarnation, first_heartbeat_s)
        )

    def _end_incarnation(self) -> None:
        if self._incarnation is None:
            return
        self._server.abort_connections()
        self._incarnation.close()
        self._incarnation = None
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for start in self._late_starts:
            start.cancel()
        self._control.close()

    async def _send_heartbeats(
        self, incarnation: _Incarnation, first_s: float
    ) -> None:
        await asyncio.sleep(first_s)
        sequence = 0
        while True:
            sequence += 1
            is_acknowledged = await self._send_heartbeat(incarnation, sequence)
            pause_s = HEARTBEAT_S if is_acknowledged else HEARTBEAT_RETRY_S
            await asyncio.sleep(pause_s)

    async def _send_heartbeat(
        self, incarnation: _Incarnation, sequence: int
    ) -> bool:
        report = {
            "service": self._service,
            "address": self.published_address or self.address,
            "zone": self._zone,
            "state": "ready",
            "capacity": CAPACITY,
            "labels": ["a", "r1-1"],
            "clockMs": incarnation.clock_ms,
            "callSeq": sequence,
            "born": incarnation.born,
        }
        path = f"/api/Instances.Heartbeat/{self.runner_id}"
        try:
            response = await self._control.call(
                "POST", path, msgspec.json.encode(report), 1.0
            )
        except RequestError:
            return False
        return response.status == 200

    async def _respond_to(self, request: StubRequest) -> StubResponse | None:
        await asyncio.sleep(self.response_s())
        incarnation = self._incarnation
        if incarnation is None:
            return None
        if request.headers.get("target-instance") != self.runner_id:
            return StubResponse(421)
        body = msgspec.json.decode(request.body)
        if request.target == "/api/run-start":
            late_s = self.late_s()
            if late_s is not None:
                self._start_late(incarnation, body, late_s)
                return None
        if self.is_silent:
            return None
        return await self._carry_out(incarnation, request.target, body)

    def _start_late(
        self, incarnation: _Incarnation, body: dict[str, Any], late_s: float
    ) -> None:
        lease_ms = body["untilMs"] - incarnation.clock_ms

        async def start() -> None:
            await asyncio.sleep(late_s)
            # The lease counts from the time at which the start arrives.
            body["untilMs"] = incarnation.clock_ms + lease_ms
            await self._carry_out(incarnation, "/api/run-start", body)

        task = asyncio.create_task(start())
        self._late_starts.add(task)
        task.add_done_callback(self._late_starts.discard)

    async def _carry_out(
        self, incarnation: _Incarnation, path: str, body: dict[str, Any]
    ) -> StubResponse:
        if body["fencingToken"] < incarnation.fencing_token:
            return _conflict(incarnation, "fence")
        incarnation.fencing_token = body["fencingToken"]
        match path:
            case "/api/run-start":
                return self._start(incarnation, body)
            case "/api/run-stop":
                return self._stop(incarnation, body)
            case "/api/hold":
                return await self._list_runs(incarnation, body)
        return StubResponse(404)

    def _start(
        self, incarnation: _Incarnation, body: dict[str, Any]
    ) -> StubResponse:
        task, number = body["task"], body["run"]
        present = incarnation.running.get(task)
        if present is not None and present.number == number:
            return _respond(incarnation)
        is_old = number <= incarnation.highest.get(task, 0)
        if is_old or present is not None:
            incarnation.extend_lease(body["untilMs"])
            return _conflict(incarnation, "old")
        if body["untilMs"] <= incarnation.clock_ms:
            return _conflict(incarnation, "late")
        incarnation.extend_lease(body["untilMs"])
        now = asyncio.get_running_loop().time()
        run = RunRecord(
            runner=self.runner_id,
            born=incarnation.born,
            task=task,
            number=number,
            began_at=now,
            due_at=now + int(body["spec"]) / 1000,
        )
        self.runs.append(run)
        incarnation.begin(run)
        return _respond(incarnation)

    def _stop(
        self, incarnation: _Incarnation, body: dict[str, Any]
    ) -> StubResponse:
        task, number = body["task"], body["run"]
        present = incarnation.running.get(task)
        if present is not None and present.number <= number:
            incarnation.end(task, "stopped")
        highest = incarnation.highest.get(task, 0)
        incarnation.highest[task] = max(highest, number)
        return _respond(incarnation)

    async def _list_runs(
        self, incarnation: _Incarnation, body: dict[str, Any]
    ) -> StubResponse:
        self.lists += 1
        incarnation.acknowledge(body["lastSeen"])
        if "untilMs" in body:
            incarnation.extend_lease(body["untilMs"])
        if not incarnation.running and not incarnation.ended:
            self.idle_polls += 1
        wait_s = body.get("waitMs", 0) / 1000
        if wait_s and not incarnation.ended:
            incarnation.has_ended.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await incarnation.has_ended.wait()
        now = asyncio.get_running_loop().time()
        running = [
            [run.task, run.number, "", run.percent(now), 100]
            for run in incarnation.running.values()
        ]
        ended = [
            [run.position, run.task, run.number, run.outcome, ""]
            for run in incarnation.ended[:500]
        ]
        return _respond(incarnation, running=running, ended=ended)


def _respond(
    incarnation: _Incarnation, status: int = 200, **fields: Any
) -> StubResponse:
    fields |= {"clockMs": incarnation.clock_ms, "born": incarnation.born}
    return StubResponse(status, msgspec.json.encode(fields))


def _conflict(incarnation: _Incarnation, reason: str) -> StubResponse:
    return _respond(incarnation, 409, reason=reason)
