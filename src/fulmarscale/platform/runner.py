"""Client of the platform's runner, the target on the agent's machine."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.agent.response_timeout import MAX_TIMEOUT_S
from fulmarscale.agent.response_timeout import MIN_TIMEOUT_S
from fulmarscale.agent.response_timeout import ResponseTimeout
from fulmarscale.agent.run import ListedCompletion
from fulmarscale.agent.run import ListedRun
from fulmarscale.agent.run import RunList
from fulmarscale.agent.run import StartResponse
from fulmarscale.agent.run_target_client import RunTargetClient
from fulmarscale.agent.run_target_client import TargetUnreachableError
from fulmarscale.decoding import decode_json
from fulmarscale.decoding import MAX_INTEGER
from fulmarscale.decoding import NonNegativeInt
from fulmarscale.events import Event
from fulmarscale.platform.http_client import CONNECT_TIMEOUT_S
from fulmarscale.platform.http_client import HttpClient
from fulmarscale.platform.http_client import RequestError
from fulmarscale.platform.wire import format_task
from fulmarscale.platform.wire import OUTCOMES_BY_NAME
from fulmarscale.platform.wire import parse_task
from fulmarscale.platform.wire import WireRenewRequest
from fulmarscale.platform.wire import WireRunList
from fulmarscale.platform.wire import WireRunResponse
from fulmarscale.platform.wire import WireStartRequest
from fulmarscale.platform.wire import WireStopRequest
from fulmarscale.runs.clock import boottime_s
from fulmarscale.runs.limits import LEASE_S
from fulmarscale.runs.model import RunOutcome
from fulmarscale.runs.model import TargetIncarnation

if TYPE_CHECKING:
    from fulmarscale.logs import EventLog
    from fulmarscale.platform.http_client import HttpResponse
    from fulmarscale.runs.model import TaskKey

MAX_CONNECTIONS: Final = 48
"""Limit of connections, below the 64 that a runner accepts."""

TOKEN_RESERVE: Final = 1000
"""How far the token of an earlier process may exceed the one that is stored.

It rises by one with each restart of the runner, before it can be stored.
"""

TOKEN_GROWTH: Final = 2
"""Factor between fencing tokens that are tried while none is known."""

OK: Final = 200
CONFLICT: Final = 409


class RunnerTimeouts(msgspec.Struct, frozen=True):
    """Bounds of the timeouts of requests to a runner, in seconds."""

    min_s: float = MIN_TIMEOUT_S
    """The shortest timeout of a request."""
    max_s: float = MAX_TIMEOUT_S
    """The longest timeout of a request."""
    connect_s: float = CONNECT_TIMEOUT_S
    """For opening a connection."""


DEFAULT_TIMEOUTS: Final = RunnerTimeouts()


class RunnerClient(RunTargetClient):
    """Client of one runner; tracks its clock and the fencing token."""

    def __init__(
        self, log: EventLog, timeouts: RunnerTimeouts = DEFAULT_TIMEOUTS
    ) -> None:
        self._log = log
        self._timeout = ResponseTimeout(timeouts.min_s, timeouts.max_s)
        self._client = HttpClient("", MAX_CONNECTIONS, timeouts.connect_s)
        self._incarnation: TargetIncarnation | None = None
        self._clock_offset_ms = float("-inf")
        """The runner's clock minus the local clock; a lower bound."""
        self._fencing_token = 0
        """Sent with each request; the runner rejects decreasing tokens."""

    def supersede(self, token: int) -> None:
        """Use higher fencing tokens than an earlier process of this agent.

        :param token: the last one that it stored; 0 if it isn't known.
        """
        if token > 0:
            token = min(token + TOKEN_RESERVE, MAX_INTEGER)
            self._fencing_token = max(self._fencing_token, token)

    def resume_target(
        self, incarnation: TargetIncarnation, address: str
    ) -> None:
        """Use the runner that an earlier process of this agent used.

        The runner's clock becomes known from its first response.
        """
        self._client.set_address(address)
        self._incarnation = incarnation

    def update_from_heartbeat(
        self, incarnation: TargetIncarnation, address: str, clock_ms: int
    ) -> None:
        """Update the client from a runner's heartbeat.

        The fencing token is the runner's clock at the first heartbeat of its
        incarnation that this process receives. It thus increases across
        restarts of the agent, unless the runner has started again between
        them, for which the agent's row holds the last token. A runner's clock
        starts anew with its incarnation, but the token never falls: requests
        to the previous incarnation may still arrive at this one, and have to
        be rejected.
        """
        self._client.set_address(address)
        if incarnation == self._incarnation:
            return
        self._incarnation = incarnation
        self._clock_offset_ms = float("-inf")
        self._fencing_token = max(self._fencing_token + 1, clock_ms)
        self._update_clock_offset(clock_ms)

    @property
    def fencing_token(self) -> int:
        """The token that is sent with each request."""
        return self._fencing_token

    @property
    def timeout(self) -> ResponseTimeout:
        """The timeout of requests to the runner."""
        return self._timeout

    async def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def start(
        self,
        incarnation: TargetIncarnation,
        task: TaskKey,
        number: int,
        payload: str,
        leased_at: float,
    ) -> StartResponse:
        """Start a run."""
        body = WireStartRequest(
            task=format_task(task),
            run=number,
            spec=payload,
            until_ms=self._lease_end_ms(leased_at),
            fencing_token=self._fencing_token,
        )
        try:
            response = await self._call("/api/run-start", incarnation, body)
        except RequestError as error:
            self._log_failure("start", task, number, error.detail)
            if not error.may_be_sent:
                return StartResponse.REJECTED
            return StartResponse.UNKNOWN
        if response.status == OK:
            self._read_reason(response)
            return StartResponse.STARTED
        reason = self._handle_conflict(response)
        self._log_failure("start", task, number, f"{response.status} {reason}")
        if reason == "old":
            return StartResponse.NUMBER_TOO_LOW
        return StartResponse.REJECTED

    async def stop(
        self, incarnation: TargetIncarnation, task: TaskKey, number: int
    ) -> bool:
        """Stop a run, or prevent its start."""
        body = WireStopRequest(
            task=format_task(task),
            run=number,
            fencing_token=self._fencing_token,
        )
        try:
            response = await self._call("/api/run-stop", incarnation, body)
        except RequestError as error:
            self._log_failure("stop", task, number, error.detail)
            return False
        if response.status == OK:
            return True
        reason = self._handle_conflict(response)
        self._log_failure("stop", task, number, f"{response.status} {reason}")
        return False

    async def renew(
        self,
        incarnation: TargetIncarnation,
        forgettable_position: int,
        wait_s: float,
        leased_at: float | None,
    ) -> RunList:
        """Return all runs, waiting for completions; may extend the lease."""
        body = WireRenewRequest(
            fencing_token=self._fencing_token,
            last_seen=forgettable_position,
            wait_ms=round(wait_s * 1000),
            until_ms=(
                msgspec.UNSET
                if leased_at is None or not self._is_clock_known
                else self._lease_end_ms(leased_at)
            ),
        )
        try:
            response = await self._call("/api/hold", incarnation, body, wait_s)
        except RequestError as error:
            raise TargetUnreachableError(
                error.detail, is_refused=error.is_refused
            ) from error
        if response.status != OK:
            reason = self._handle_conflict(response)
            raise TargetUnreachableError(f"{response.status} {reason}")
        try:
            run_list = decode_json(response.body, WireRunList)
            self._update_clock_offset(run_list.clock_ms)
            decoded = _decode_run_list(incarnation, run_list)
        except (msgspec.MsgspecError, ValueError) as error:
            raise TargetUnreachableError(str(error)) from error
        if decoded.incarnation != incarnation:
            self._follow_restart(decoded.incarnation)
        return decoded

    def _follow_restart(self, incarnation: TargetIncarnation) -> None:
        """Raise the token for an incarnation that only its list shows yet.

        It rejects requests to the former one from then on.
        """
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self._fencing_token += 1

    async def _call(
        self,
        path: str,
        incarnation: TargetIncarnation,
        body: WireStartRequest | WireStopRequest | WireRenewRequest,
        wait_s: float = 0.0,
    ) -> HttpResponse:
        """Send a request to the runner.

        :param wait_s: how long the runner may wait before it responds.
        :raises RequestError: if no response was received.
        """
        sent_at = boottime_s()
        try:
            response = await self._client.call(
                "POST",
                path,
                msgspec.json.encode(body),
                wait_s + self._timeout.timeout_s,
                f"Target-Instance: {incarnation.target}\r\n",
            )
        except RequestError as error:
            if error.is_timeout:
                self._timeout.record_loss(boottime_s())
            raise
        if wait_s == 0:
            self._timeout.record_response(boottime_s() - sent_at)
        return response

    @property
    def _is_clock_known(self) -> bool:
        return self._clock_offset_ms > float("-inf")

    def _lease_end_ms(self, leased_at: float) -> int:
        """Return when a lease expires, by the runner's clock.

        :param leased_at: when it begins, by the agent's time. The request
            may be sent later, as the agent may be suspended before.
        """
        begin_ms = leased_at * 1000 + self._clock_offset_ms
        return round(begin_ms + LEASE_S * 1000)

    def _update_clock_offset(self, clock_ms: int) -> None:
        """Record a sample of the runner's clock that has just arrived."""
        # The message took time to arrive, so the runner's clock is at least
        # this now. The newest sample replaces older ones as clocks drift.
        self._clock_offset_ms = clock_ms - boottime_s() * 1000

    def _read_reason(self, response: HttpResponse) -> str:
        """Return the reason in a response and record the runner's clock."""
        try:
            decoded = decode_json(response.body, WireRunResponse)
        except msgspec.MsgspecError:
            return "unreadable"
        self._update_clock_offset(decoded.clock_ms)
        return decoded.reason

    def _handle_conflict(self, response: HttpResponse) -> str:
        """Update the token or clock estimate that the runner rejected.

        :returns: the runner's reason; empty if the status is no conflict.
        """
        if response.status != CONFLICT:
            return ""
        reason = self._read_reason(response)
        if reason == "fence":
            self._raise_fencing_token()
        if reason == "late":
            # The lease in the request had expired by the runner's clock: the
            # estimate of that clock was too low.
            self._log.write(Event.TARGET_CLOCK_REREAD)
        return reason

    def _raise_fencing_token(self) -> None:
        """Raise the token, as an earlier process of this agent had a higher.

        It is at most the runner's time, unless that process had used it with
        an earlier incarnation of the runner. Then it isn't known, and is
        approached in growing steps.
        """
        now_ms = round(boottime_s() * 1000 + self._clock_offset_ms)
        if now_ms <= self._fencing_token:
            now_ms = min(TOKEN_GROWTH * self._fencing_token, MAX_INTEGER)
        self._fencing_token = max(self._fencing_token + 1, now_ms)

    def _log_failure(
        self, operation: str, task: TaskKey, number: int, detail: str
    ) -> None:
        self._log.write(
            Event.ORDER_FAILED,
            order=operation,
            task=format_task(task),
            run=number,
            detail=detail,
        )


def _decode_run_list(
    incarnation: TargetIncarnation, run_list: WireRunList
) -> RunList:
    running = []
    for row in run_list.running:
        name, number, _, progress = row[:4]
        percent = min(100.0, max(0.0, decode_json(progress, float)))
        running.append(
            ListedRun(
                task=parse_task(decode_json(name, str)),
                number=decode_json(number, NonNegativeInt),
                percent=round(percent),
            )
        )
    ended = [
        ListedCompletion(
            position, parse_task(name), number, _decode_outcome(outcome_name)
        )
        for position, name, number, outcome_name, _ in run_list.ended
    ]
    responder = TargetIncarnation(incarnation.target, run_list.born)
    return RunList(responder, tuple(running), tuple(ended), run_list.clock_ms)


def _decode_outcome(outcome_name: str) -> RunOutcome:
    outcome = OUTCOMES_BY_NAME.get(outcome_name)
    if outcome is None:
        raise ValueError(f"unknown outcome of a run: {outcome_name}")
    return outcome
