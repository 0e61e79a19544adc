"""The HTTP client of a target, for the project's own protocol.

`run_target_client` is the counterpart for the users' platform.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import httpx
import msgspec

from fulmarscale.agent.inputs import TargetAnnounced
from fulmarscale.agent.inputs import TargetUnavailable
from fulmarscale.agent.inputs import TaskCompleted
from fulmarscale.decoding import decode_json
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode
from fulmarscale.wire.messages import TaskResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.agent.actions import StartTask

ANNOUNCE_PATH: Final = "/announce"
RUN_PATH: Final = "/run"
ANNOUNCE_TIMEOUT_S: Final = 1.0

START_DELIVERY_LIMIT_S: Final = 0.25
"""How long after the decision a task may still be sent to the target.

After a longer pause of the process the conditions of the start may have
changed.
"""


class TargetAnnouncement(msgspec.Struct, frozen=True):
    """A target's description of itself."""

    slots: int
    """The number of tasks that it runs at once."""
    connections: int
    """The number of connections that it accepts."""
    leaving: bool = False
    """Whether it is about to shut down."""


class RunRequest(msgspec.Struct, frozen=True):
    """The body of a request to run a task."""

    submission_id: str
    """The submission."""
    index: int
    """The task's position in the job."""
    kind: str
    """The task's kind."""
    payload: msgspec.Raw
    """The payload."""


class RunResponse(msgspec.Struct, frozen=True):
    """The body of the response to a request to run a task."""

    submission_id: str
    """The submission, as in the request."""
    index: int
    """The task's position, as in the request."""
    ok: bool
    """Whether the task succeeded."""
    result: msgspec.Raw = msgspec.Raw(b"null")
    """The result."""


class TargetClient:
    """The client of one target.

    Tasks are sent through httpx's transport directly. The client class above
    it used a third of the agent's processor time for redirects and cookies,
    which targets don't use.
    """

    def __init__(
        self, url: str, result_bytes: int, clock: Callable[[], float]
    ) -> None:
        self._url = url
        self._result_bytes = result_bytes
        self._clock = clock
        self._run_url = httpx.URL(f"{url}{RUN_PATH}")
        self._headers = httpx.Headers(
            {
                "host": self._run_url.netloc.decode(),
                "content-type": "application/json",
            }
        )
        self._transport: httpx.AsyncHTTPTransport | None = None
        """Sends tasks; none until the target announced its connections."""
        self._announce_client: httpx.AsyncClient | None = None
        """Polls the target's announcement."""

    async def start(self) -> None:
        """Create the client that polls the target."""
        self._announce_client = httpx.AsyncClient(
            base_url=self._url, timeout=ANNOUNCE_TIMEOUT_S
        )

    async def close(self) -> None:
        """Close all connections."""
        if self._transport is not None:
            await self._transport.aclose()
        if self._announce_client is not None:
            await self._announce_client.aclose()

    async def fetch_announcement(self) -> TargetAnnouncement:
        """Request the target's announcement.

        The first one also sets the limits of the connections for tasks.

        :raises httpx.HTTPError: if the target does not respond.
        :raises msgspec.MsgspecError: if the response can't be decoded.
        """
        assert self._announce_client is not None
        response = await self._announce_client.get(ANNOUNCE_PATH)
        response.raise_for_status()
        announcement = decode_json(response.content, TargetAnnouncement)
        if self._transport is None:
            # Reserves one connection for the announcement.
            limits = httpx.Limits(
                max_connections=max(1, announcement.connections - 1),
                max_keepalive_connections=announcement.slots,
            )
            self._transport = httpx.AsyncHTTPTransport(limits=limits)
        return announcement

    async def poll(self) -> TargetAnnounced | TargetUnavailable:
        """Poll the target for its capacity and state."""
        try:
            announcement = await self.fetch_announcement()
        except (httpx.HTTPError, msgspec.MsgspecError):
            return TargetUnavailable()
        return TargetAnnounced(announcement.slots, announcement.leaving)

    async def run(self, start: StartTask, decided_at: float) -> TaskCompleted:
        """Run a task on the target and return its outcome.

        :param start: the task.
        :param decided_at: monotonic time of the decision to start it.
        """
        began_at = self._clock()
        if self._transport is None or (
            began_at - decided_at > START_DELIVERY_LIMIT_S
        ):
            # The process stalled since the decision, so its conditions may
            # have changed; or the target has not announced itself yet.
            return self._not_reached(start)
        try:
            return await self._send_run(start, began_at)
        except (httpx.ConnectError, httpx.ConnectTimeout):
            return self._not_reached(start)
        except httpx.TimeoutException:
            return self._outcome_unknown(
                start, ResultCode.TARGET_TIMEOUT, began_at
            )
        except httpx.HTTPError:
            code = ResultCode.TARGET_CONNECTION_LOST
            return self._outcome_unknown(start, code, began_at)

    async def _send_run(
        self, start: StartTask, began_at: float
    ) -> TaskCompleted:
        assert self._transport is not None
        body = RunRequest(
            submission_id=start.task.submission_id,
            index=start.task.index,
            kind=start.kind,
            payload=msgspec.Raw(start.payload),
        )
        timeout_s = max(0.001, start.deadline_in_s)
        request = httpx.Request(
            "POST",
            self._run_url,
            headers=self._headers,
            content=msgspec.json.encode(body),
            extensions={
                "timeout": {
                    "connect": timeout_s,
                    "read": timeout_s,
                    "write": timeout_s,
                    "pool": None,
                }
            },
        )
        response = await self._transport.handle_async_request(request)
        content = bytearray()
        try:
            async for chunk in response.aiter_bytes():
                content += chunk
                if len(content) > self._result_bytes:
                    code = ResultCode.ANSWER_TOO_LARGE
                    return self._outcome_unknown(start, code, began_at)
        finally:
            await response.aclose()
        if response.status_code != httpx.codes.OK:
            return self._completed(
                start, Outcome.FAILED, ResultCode.TASK_FAILED, b"", began_at
            )
        return self._decode_response(start, bytes(content), began_at)

    def _decode_response(
        self, start: StartTask, content: bytes, began_at: float
    ) -> TaskCompleted:
        try:
            response = decode_json(content, RunResponse)
        except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
            code = ResultCode.TARGET_BAD_ANSWER
            return self._outcome_unknown(start, code, began_at)
        matches = (
            response.submission_id == start.task.submission_id
            and response.index == start.task.index
        )
        if not matches:
            # The response belongs to another request, so the outcome of this
            # one is unknown.
            code = ResultCode.TARGET_BAD_ANSWER
            return self._outcome_unknown(start, code, began_at)
        if not response.ok:
            return self._completed(
                start, Outcome.FAILED, ResultCode.TASK_FAILED, b"", began_at
            )
        result = bytes(response.result)
        return self._completed(
            start, Outcome.DONE, ResultCode.OK, result, began_at
        )

    def _outcome_unknown(
        self, start: StartTask, code: ResultCode, began_at: float
    ) -> TaskCompleted:
        return self._completed(
            start, Outcome.OUTCOME_UNKNOWN, code, b"", began_at
        )

    def _completed(
        self,
        start: StartTask,
        outcome: Outcome,
        code: ResultCode,
        result: bytes,
        began_at: float,
    ) -> TaskCompleted:
        run_s = self._clock() - began_at
        return TaskCompleted(
            TaskResult(start.task, outcome, code, result, run_s)
        )

    def _not_reached(self, start: StartTask) -> TaskCompleted:
        result = TaskResult(
            start.task,
            Outcome.FAILED,
            ResultCode.TARGET_CONNECTION_LOST,
            b"",
            0.0,
        )
        return TaskCompleted(result, is_target_reached=False)
