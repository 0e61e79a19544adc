"""HTTP interface of an entry for the platform's callers and balancer."""

from __future__ import annotations

import asyncio
from contextlib import suppress
import math
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.decoding import decode_json
from fulmarscale.entry.durable.record import DurableJobState
from fulmarscale.entry.jobs.actions import JobOutcome
from fulmarscale.entry.jobs.actions import JobState
from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event
from fulmarscale.listeners.http_connection import has_client_left
from fulmarscale.listeners.request_scope import hold_more
from fulmarscale.platform.asgi import DisconnectedError
from fulmarscale.platform.asgi import NoRoomError
from fulmarscale.platform.asgi import read_body
from fulmarscale.platform.asgi import respond
from fulmarscale.platform.job_size import count_tasks
from fulmarscale.platform.job_size import decoded_bytes
from fulmarscale.platform.job_size import MAX_JOB_ID_CHARACTERS
from fulmarscale.platform.job_size import MAX_TASKS
from fulmarscale.platform.wire import WireJob
from fulmarscale.runs.model import JobId

if TYPE_CHECKING:
    from fulmarscale.entry.jobs.actions import AnswerJob
    from fulmarscale.entry.jobs.job_service import JobService
    from fulmarscale.logs import EventLog
    from fulmarscale.runs.site_config import Queue

READY_PATH: Final = "/api/ready"

DEADLINE_HEADER: Final = b"deadline-ms"
"""Header with the time that a caller waits, in milliseconds."""

MAX_SITE_AGE_S: Final = 1.8
"""Age of the configuration up to which a route that it lacks doesn't exist.

A change has to be in force within 2 s, and the store confirms the
configuration every 1.5 s while it responds.
"""

EARLY_BODY_BYTES: Final = 16 << 10
"""Limit of a body that is collected before its request has a queue."""

MAX_LOGGED_CHARACTERS: Final = 256
"""The most characters of a path or a reason in a line of the log."""

UNAVAILABLE: Final = 503
GONE: Final = 410

MAX_WAIT_S: Final = 60.0
"""Default and upper bound of a caller's wait for its response."""

STATUS_BY_OUTCOME: Final = {
    JobOutcome.COMPLETED: 200,
    JobOutcome.STORED: 200,
    JobOutcome.FAILED: 200,
    JobOutcome.NOT_RUN: 503,
    JobOutcome.CANCELLED: 200,
    JobOutcome.UNFINISHED: 504,
}
"""HTTP status of each outcome.

503 states that nothing has run; on 504 callers retry.
"""


class ReadinessApp:
    """ASGI application for the load balancer's readiness check."""

    def __init__(self, job_service: JobService) -> None:
        self._job_service = job_service

    async def __call__(
        self, scope: dict[str, Any], receive: Any, send: Any
    ) -> None:
        """Handle a request."""
        if scope["path"] != READY_PATH:
            await respond(send, 404)
            return
        await respond(send, 200 if self._job_service.is_ready else 503)


class IngressApp:
    """ASGI application on which callers submit, query and cancel jobs."""

    def __init__(self, job_service: JobService, log: EventLog) -> None:
        self._job_service = job_service
        self._log = log

    async def __call__(
        self, scope: dict[str, Any], receive: Any, send: Any
    ) -> None:
        """Handle a request."""
        headers = dict(scope["headers"])
        queue = self._find_queue(scope, headers)
        bodies: list[bytes | None] = []
        if queue is None:
            # The route may be added while a body arrives.
            try:
                bodies.append(await _read_early(scope, receive, headers))
            except DisconnectedError:
                return
            queue = self._find_queue(scope, headers)
        if queue is None:
            await self._reject_without_queue(send, scope)
            return
        name = scope["path"].removeprefix(queue.path_prefix)
        method = scope["method"]
        if method == "GET" and not name:
            pending = await self._job_service.durable_jobs.pending_of(
                queue.name
            )
            await respond(send, 200, msgspec.json.encode({"pending": pending}))
        elif len(name) > MAX_JOB_ID_CHARACTERS:
            await self._reject(send, scope, 400, "the job's id is too long")
        elif method in ("GET", "DELETE"):
            await self._query_or_cancel(scope, send, JobId(name))
        elif method != "POST" or not name:
            await self._reject(
                send, scope, 405, "the method is not allowed on this path"
            )
        elif bodies == [None]:
            await self._reject(
                send, scope, UNAVAILABLE, "the route was added too late"
            )
        else:
            await self._submit(scope, receive, send, queue, headers, bodies)

    def _find_queue(
        self, scope: dict[str, Any], headers: dict[bytes, bytes]
    ) -> Queue | None:
        """Return a request's queue; none if there is none."""
        site = self._job_service.site
        host = headers.get(b"host", b"").decode("latin-1").partition(":")[0]
        return site.find_queue(host, scope["path"]) if site.is_known else None

    async def _reject_without_queue(
        self, send: Any, scope: dict[str, Any]
    ) -> None:
        """Respond to a request for which there is no queue."""
        if self._job_service.site.is_known:
            await self._reject_unknown_queue(send, scope)
            return
        await self._reject(
            send, scope, 503, "the site's configuration is not known yet"
        )

    async def _reject_unknown_queue(
        self, send: Any, scope: dict[str, Any]
    ) -> None:
        """Respond to a request that no queue of the configuration matches.

        While a newer configuration may exist, the caller has to try again.
        """
        if self._job_service.site_age_s > MAX_SITE_AGE_S:
            await self._reject(
                send, scope, UNAVAILABLE, "the configuration may be outdated"
            )
            return
        await self._reject(
            send, scope, 404, "no queue matches the host and path"
        )

    async def _query_or_cancel(
        self, scope: dict[str, Any], send: Any, job_id: JobId
    ) -> None:
        """Respond to a query of a job's state, or to its cancellation."""
        is_cancel = scope["method"] == "DELETE"
        state = self._job_service.state_of(job_id)
        if state is not None and is_cancel:
            # This ends a best-effort job; a durable one is cancelled in the
            # store by the call below.
            self._job_service.cancel_job(job_id)
        try:
            state_name = await self._resolve_state(
                job_id, state, is_cancel=is_cancel
            )
        except FulmarError as error:
            await self._reject(send, scope, UNAVAILABLE, str(error))
            return
        self._log.write(
            Event.JOB_SHOWN, job=job_id, state=state_name, cancel=is_cancel
        )
        if not state_name:
            await respond(send, GONE)
            return
        content = await self._describe_state(job_id, state_name)
        await respond(send, 200, msgspec.json.encode(content))

    async def _describe_state(
        self, job_id: JobId, state_name: str
    ) -> dict[str, str | int]:
        """Return a response's content: the state, and why a job has failed."""
        content: dict[str, str | int] = {"state": state_name}
        if state_name != DurableJobState.FAILED.value:
            return content
        with suppress(FulmarError):
            code = await self._job_service.durable_jobs.code_of(job_id)
            content["code"] = code.value
        return content

    async def _resolve_state(
        self, job_id: JobId, state: JobState | None, *, is_cancel: bool
    ) -> str:
        """Return a job's state, after cancelling the job if requested.

        :param job_id: the job.
        :param state: its state in this entry; none if it is unknown here.
        :param is_cancel: whether the caller cancels the job.
        :returns: the state's name; empty if there is no such job.
        :raises FulmarError: STORE_UNAVAILABLE.
        """
        durable_jobs = self._job_service.durable_jobs
        if is_cancel:
            if state is not None and not durable_jobs.owns(job_id):
                # It was a best-effort job and is cancelled already.
                return DurableJobState.CANCELLED.value
            is_known = await durable_jobs.cancel(job_id) or state is not None
            return DurableJobState.CANCELLED.value if is_known else ""
        if state is not None and not durable_jobs.owns(job_id):
            return state.value
        stored_state = await durable_jobs.state_of(job_id)
        if stored_state is None:
            return ""
        if stored_state is DurableJobState.OPEN:
            # Only the entry that owns the job knows whether it is queued or
            # running; other entries report it as running.
            return (state or JobState.RUNNING).value
        return stored_state.value

    async def _submit(
        self,
        scope: dict[str, Any],
        receive: Any,
        send: Any,
        queue: Queue,
        headers: dict[bytes, bytes],
        bodies: list[bytes | None],
    ) -> None:
        """Receive a job's body, submit the job, respond with its outcome.

        A body that was received before is in its list, and is taken out of
        it, so that nothing holds it while the job runs.

        A best-effort job is cancelled once all its callers have disconnected.
        A durable one is stored before the response; until it is sent to the
        store, it is given up with its callers. Neither is begun if its caller
        has left before the request was read.
        """
        if not bodies:
            site = self._job_service.site
            try:
                body = await read_body(scope, receive, site.max_body_bytes)
            except DisconnectedError:
                return
            except NoRoomError:
                await self._reject(
                    send, scope, UNAVAILABLE, "there is no room for the body"
                )
                return
            if self._job_service.site is not site:
                # The configuration has changed while the body arrived.
                changed = self._find_queue(scope, headers)
                if changed is None:
                    await self._reject_without_queue(send, scope)
                    return
                queue = changed
            if body is None:
                await self._reject(
                    send,
                    scope,
                    413,
                    "the request body exceeds the configured limit",
                )
                return
            bodies.append(body)
            del body
        job_id = JobId(scope["path"].removeprefix(queue.path_prefix))
        if not job_id:
            await self._reject(
                send, scope, 405, "the method is not allowed on this path"
            )
            return
        wait_s = _parse_wait_s(headers.get(DEADLINE_HEADER))
        try:
            wire_job = decode_json(bodies.pop(), WireJob)
            spec = wire_job.decode()
            if count_tasks(spec) > MAX_TASKS:
                raise ValueError(f"a job has at most {MAX_TASKS} tasks")
        except (msgspec.MsgspecError, ValueError) as error:
            await self._reject(send, scope, 400, str(error))
            return
        unsupported_reason = wire_job.unsupported_reason
        if queue.needs_advice:
            unsupported_reason = (
                "queues that need placement advice are not supported yet"
            )
        if unsupported_reason:
            await self._reject(send, scope, UNAVAILABLE, unsupported_reason)
            return
        more_bytes = decoded_bytes(spec)
        if more_bytes > 0 and not hold_more(scope, more_bytes):
            await self._reject(
                send, scope, UNAVAILABLE, "there is no room for the tasks"
            )
            return
        if has_client_left(scope):
            # It may have sent the job to another entry by now.
            self._log.write(Event.CALLER_LEFT, job=job_id, queue=queue.name)
            await _wait_for_disconnect(receive)
            return
        future: asyncio.Future[AnswerJob]
        if spec.is_durable:
            future = asyncio.create_task(
                self._job_service.submit_durable(job_id, queue, spec, wait_s)
            )
        else:
            future = self._job_service.submit(job_id, queue, spec, wait_s)
        try:
            await _wait_for_answer(future, receive)
            if future.done():
                await self._respond_outcome(send, future.result())
            elif not spec.is_durable:
                self._job_service.withdraw_caller(job_id, future)
        finally:
            if spec.is_durable and not future.done():
                future.cancel()
                await asyncio.wait((future,))

    async def _respond_outcome(self, send: Any, answer: AnswerJob) -> None:
        """Respond with a job's outcome."""
        status = STATUS_BY_OUTCOME[answer.outcome]
        headers = self._connection_headers()
        if answer.outcome is JobOutcome.NOT_RUN:
            seconds = max(1, math.ceil(answer.retry_after_s))
            headers += ((b"retry-after", str(seconds).encode()),)
        content: dict[str, str | int] = {"state": answer.outcome.value}
        if answer.code is not ResultCode.OK:
            content["code"] = answer.code.value
        body = msgspec.json.encode(content)
        await respond(send, status, body, headers)

    def _connection_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Return a header to close the connection if the entry is stopping."""
        if self._job_service.is_stopping:
            return ((b"connection", b"close"),)
        return ()

    @property
    def _site_age_s(self) -> float | None:
        """The age of the configuration, for the log; none if not known."""
        age_s = self._job_service.site_age_s
        return None if math.isinf(age_s) else round(age_s, 3)

    async def _reject(
        self, send: Any, scope: dict[str, Any], status: int, reason: str
    ) -> None:
        """Log a rejected request and respond with an error status."""
        self._log.write(
            Event.JOB_REJECTED,
            path=scope["path"][:MAX_LOGGED_CHARACTERS],
            status=status,
            reason=reason[:MAX_LOGGED_CHARACTERS],
            version=self._job_service.site.configuration_version,
            site_age_s=self._site_age_s,
        )
        headers = self._connection_headers()
        if status == UNAVAILABLE:
            headers += ((b"retry-after", b"1"),)
        await respond(send, status, b"{}", headers)


async def _read_early(
    scope: dict[str, Any], receive: Any, headers: dict[bytes, bytes]
) -> bytes | None:
    """Read the body of a request that has no queue yet, if it is small.

    :returns: the body; none if it is too large or there is no room.
    :raises DisconnectedError: if the client disconnected.
    """
    declared = headers.get(b"content-length", b"0")
    if not declared.isdigit() or int(declared) > EARLY_BODY_BYTES:
        return None
    try:
        return await read_body(scope, receive, EARLY_BODY_BYTES)
    except NoRoomError:
        return None


async def _wait_for_answer(
    future: asyncio.Future[AnswerJob], receive: Any
) -> None:
    """Wait until a job's answer is known or its caller disconnects."""
    disconnect = asyncio.create_task(_wait_for_disconnect(receive))
    try:
        await asyncio.wait(
            (future, disconnect), return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        disconnect.cancel()


async def _wait_for_disconnect(receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _parse_wait_s(value: bytes | None) -> float:
    """Parse the deadline header; returns seconds within 0 and MAX_WAIT_S."""
    try:
        wait_s = float(value or b"") / 1000
    except ValueError:
        return MAX_WAIT_S
    if math.isnan(wait_s):
        return MAX_WAIT_S
    return min(max(wait_s, 0.0), MAX_WAIT_S)
