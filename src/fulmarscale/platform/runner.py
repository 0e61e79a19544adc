"""The platform's runner, called over HTTP from its own machine."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.agent.run import ListedEnd
from fulmarscale.agent.run import ListedRun
from fulmarscale.agent.run import RunList
from fulmarscale.agent.run import StartAnswer
from fulmarscale.agent.run_target import RunTarget
from fulmarscale.agent.run_target import TargetUnreachableError
from fulmarscale.events import Event
from fulmarscale.platform.http_client import CallError
from fulmarscale.platform.http_client import CONNECT_TIMEOUT_S
from fulmarscale.platform.http_client import HttpClient
from fulmarscale.platform.wire import ENDS
from fulmarscale.platform.wire import format_task
from fulmarscale.platform.wire import parse_task
from fulmarscale.platform.wire import WireHold
from fulmarscale.platform.wire import WireRunAnswer
from fulmarscale.platform.wire import WireRunList
from fulmarscale.platform.wire import WireStart
from fulmarscale.platform.wire import WireStop
from fulmarscale.runs.clock import steady_s
from fulmarscale.runs.limits import LEASE_S
from fulmarscale.runs.model import RunEnd
from fulmarscale.runs.model import TargetLife

if TYPE_CHECKING:
    from fulmarscale.logs import EventLog
    from fulmarscale.platform.http_client import Answer
    from fulmarscale.runs.model import TaskKey

ORDER_TIMEOUT_S: Final = 0.2
"""How long the answer to an order may take.

A sound runner answers within milliseconds; without an answer the order may
be carried out up to 12 s later.
"""

RENEW_SLACK_S: Final = 0.15
"""How much longer than asked for the answer to a renewal may take.

An unanswered renewal and two more tries fit in the lease.
"""

MOST_CONNECTIONS: Final = 48
"""Below the 64 connections that a runner accepts."""

OK: Final = 200
CONFLICT: Final = 409


class RunnerTimeouts(msgspec.Struct, frozen=True):
    """How long a runner may take, in seconds."""

    order_s: float = ORDER_TIMEOUT_S
    """For the answer to an order."""
    renew_slack_s: float = RENEW_SLACK_S
    """For the answer to a renewal, beyond the wait that it asks for."""
    connect_s: float = CONNECT_TIMEOUT_S
    """For a connection to open."""


DEFAULT_TIMEOUTS: Final = RunnerTimeouts()


class Runner(RunTarget):
    """Calls one runner."""

    def __init__(
        self, log: EventLog, timeouts: RunnerTimeouts = DEFAULT_TIMEOUTS
    ) -> None:
        self._log = log
        self._timeouts = timeouts
        self._client = HttpClient("", MOST_CONNECTIONS, timeouts.connect_s)
        self._life: TargetLife | None = None
        self._clock_offset_ms = float("-inf")
        """The runner's clock less ours, never too high."""
        self._fencing_token = 0

    def resume(self, life: TargetLife, address: str) -> None:
        """Call a runner that a former life of this agent knew.

        Its clock is read from its first answer, which refuses the token 0
        if the former life had a higher one.
        """
        self._client.move(address)
        self._life = life

    def meet(self, life: TargetLife, address: str, clock_ms: int) -> None:
        """Take in a runner's heartbeat.

        The fencing token is the runner's own clock at the time that the
        agent first hears of it: it rises over the agent's lives without a
        store and without the time of day.
        """
        self._client.move(address)
        if life == self._life:
            return
        self._life = life
        self._clock_offset_ms = float("-inf")
        self._fencing_token = clock_ms
        self._note_clock(clock_ms)

    async def close(self) -> None:
        """End all connections."""
        self._client.close()

    async def start(
        self, life: TargetLife, task: TaskKey, number: int, payload: str
    ) -> StartAnswer:
        """Start a run."""
        body = WireStart(
            task=format_task(task),
            run=number,
            spec=payload,
            until_ms=self._lease_end_ms(),
            fencing_token=self._fencing_token,
        )
        try:
            answer = await self._call("/api/run-start", life, body)
        except CallError as error:
            self._note_failure("start", task, number, error.detail)
            if not error.is_sent:
                return StartAnswer.REJECTED
            return StartAnswer.UNKNOWN
        if answer.status == OK:
            self._read_clock(answer)
            return StartAnswer.STARTED
        reason = self._read_conflict(answer)
        self._note_failure("start", task, number, f"{answer.status} {reason}")
        if reason == "old":
            return StartAnswer.NUMBER_TOO_LOW
        return StartAnswer.REJECTED

    async def stop(self, life: TargetLife, task: TaskKey, number: int) -> bool:
        """Stop a run, or see that it never starts."""
        body = WireStop(
            task=format_task(task),
            run=number,
            fencing_token=self._fencing_token,
        )
        try:
            answer = await self._call("/api/run-stop", life, body)
        except CallError as error:
            self._note_failure("stop", task, number, error.detail)
            return False
        if answer.status == OK:
            return True
        reason = self._read_conflict(answer)
        self._note_failure("stop", task, number, f"{answer.status} {reason}")
        return False

    async def renew(
        self,
        life: TargetLife,
        last_seen: int,
        wait_s: float,
        *,
        extend: bool,
    ) -> RunList:
        """Look at all runs, wait for ends and extend the lease."""
        is_extended = extend and self._is_clock_known
        body = WireHold(
            fencing_token=self._fencing_token,
            last_seen=last_seen,
            wait_ms=round(wait_s * 1000),
            until_ms=self._lease_end_ms() if is_extended else msgspec.UNSET,
        )
        try:
            answer = await self._call(
                "/api/hold", life, body, wait_s + self._timeouts.renew_slack_s
            )
        except CallError as error:
            raise TargetUnreachableError(error.detail) from error
        if answer.status != OK:
            reason = self._read_conflict(answer)
            raise TargetUnreachableError(f"{answer.status} {reason}")
        try:
            listed = msgspec.json.decode(answer.body, type=WireRunList)
            self._note_clock(listed.clock_ms)
            return _decode_list(life, listed)
        except (msgspec.MsgspecError, ValueError) as error:
            raise TargetUnreachableError(str(error)) from error

    async def _call(
        self,
        path: str,
        life: TargetLife,
        body: WireStart | WireStop | WireHold,
        timeout_s: float | None = None,
    ) -> Answer:
        return await self._client.call(
            "POST",
            path,
            msgspec.json.encode(body),
            self._timeouts.order_s if timeout_s is None else timeout_s,
            f"Target-Instance: {life.target}\r\n",
        )

    @property
    def _is_clock_known(self) -> bool:
        return self._clock_offset_ms > float("-inf")

    def _lease_end_ms(self) -> int:
        now_ms = steady_s() * 1000 + self._clock_offset_ms
        return round(now_ms + LEASE_S * 1000)

    def _note_clock(self, clock_ms: int) -> None:
        # The answer was under way for a while, so this is at most the
        # runner's time now. The newest counts: the clocks drift apart.
        self._clock_offset_ms = clock_ms - steady_s() * 1000

    def _read_clock(self, answer: Answer) -> str:
        try:
            read = msgspec.json.decode(answer.body, type=WireRunAnswer)
        except msgspec.MsgspecError:
            return "unreadable"
        self._note_clock(read.clock_ms)
        return read.reason

    def _read_conflict(self, answer: Answer) -> str:
        if answer.status != CONFLICT:
            return ""
        reason = self._read_clock(answer)
        if reason == "fence":
            # An earlier agent's token came from a later time.
            now_ms = round(steady_s() * 1000 + self._clock_offset_ms)
            self._fencing_token = max(self._fencing_token + 1, now_ms)
        if reason == "late":
            # The estimate of the runner's clock was too low.
            self._log.write(Event.TARGET_CLOCK_REREAD)
        return reason

    def _note_failure(
        self, order: str, task: TaskKey, number: int, detail: str
    ) -> None:
        self._log.write(
            Event.ORDER_FAILED,
            order=order,
            task=format_task(task),
            run=number,
            detail=detail,
        )


def _decode_list(life: TargetLife, listed: WireRunList) -> RunList:
    running = []
    for row in listed.running:
        name, number, _, percent = row[:4]
        running.append(
            ListedRun(
                task=parse_task(msgspec.json.decode(name, type=str)),
                number=msgspec.json.decode(number, type=int),
                percent=round(msgspec.json.decode(percent, type=float)),
            )
        )
    ended = [
        ListedEnd(position, parse_task(name), number, _decode_end(how))
        for position, name, number, how, _ in listed.ended
    ]
    answered = TargetLife(life.target, listed.born)
    return RunList(answered, tuple(running), tuple(ended))


def _decode_end(how: str) -> RunEnd:
    end = ENDS.get(how)
    if end is None:
        raise ValueError(f"unknown end of a run: {how}")
    return end
