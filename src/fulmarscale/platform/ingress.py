"""Takes in callers' jobs in the platform's terms."""

from __future__ import annotations

import asyncio
import math
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.entry.jobs.actions import JobOutcome
from fulmarscale.entry.jobs.actions import JobState
from fulmarscale.entry.kept.record import KeptState
from fulmarscale.errors import FulmarError
from fulmarscale.events import Event
from fulmarscale.platform.http import DisconnectedError
from fulmarscale.platform.http import read_body
from fulmarscale.platform.http import respond
from fulmarscale.platform.wire import WireJob
from fulmarscale.runs.model import JobId

if TYPE_CHECKING:
    from fulmarscale.entry.jobs.actions import AnswerJob
    from fulmarscale.entry.jobs.desk import JobDesk
    from fulmarscale.logs import EventLog
    from fulmarscale.runs.site_state import Queue

READY_PATH: Final = "/api/ready"
DEADLINE_HEADER: Final = b"deadline-ms"

UNAVAILABLE: Final = 503
GONE: Final = 410

LONGEST_WAIT_S: Final = 60.0
"""The wait of a caller that states none, and the longest that counts."""

STATUSES: Final = {
    JobOutcome.COMPLETED: 200,
    JobOutcome.STORED: 200,
    JobOutcome.FAILED: 200,
    JobOutcome.NOT_RUN: 503,
    JobOutcome.CANCELLED: 200,
    JobOutcome.UNFINISHED: 504,
}
"""503 tells callers that nothing has run; after 504 they try again."""


class ReadyApp:
    """An ASGI application that tells the balancer whether to send callers."""

    def __init__(self, desk: JobDesk) -> None:
        self._desk = desk

    async def __call__(
        self, scope: dict[str, Any], receive: Any, send: Any
    ) -> None:
        """Serve a request."""
        if scope["path"] != READY_PATH:
            await respond(send, 404)
            return
        await respond(send, 200 if self._desk.is_ready else 503)


class IngressApp:
    """An ASGI application for callers."""

    def __init__(self, desk: JobDesk, log: EventLog) -> None:
        self._desk = desk
        self._log = log

    async def __call__(
        self, scope: dict[str, Any], receive: Any, send: Any
    ) -> None:
        """Serve a request."""
        site = self._desk.site
        try:
            body = await read_body(receive, site.longest_body_bytes)
        except DisconnectedError:
            return
        headers = dict(scope["headers"])
        host = headers.get(b"host", b"").decode("latin-1").partition(":")[0]
        if not site.is_known:
            await self._reject(send, scope, 503, "no configuration yet")
            return
        queue = site.find_queue(host, scope["path"])
        if queue is None:
            await self._reject(send, scope, 404, "no such queue")
            return
        name = scope["path"].removeprefix(queue.path_prefix)
        method = scope["method"]
        if method == "GET" and not name:
            pending = await self._desk.keeper.pending_of(queue.name)
            await respond(send, 200, msgspec.json.encode({"pending": pending}))
        elif method in ("GET", "DELETE"):
            await self._show(scope, send, JobId(name))
        elif method != "POST" or not name:
            await self._reject(send, scope, 405, "no such call")
        elif body is None:
            await self._reject(send, scope, 413, "the body is too long")
        else:
            wait_s = _read_wait_s(headers.get(DEADLINE_HEADER))
            await self._submit(
                scope, receive, send, queue, JobId(name), body, wait_s
            )

    async def _show(
        self, scope: dict[str, Any], send: Any, job_id: JobId
    ) -> None:
        """Tell a job's state, or cancel it."""
        is_cancel = scope["method"] == "DELETE"
        state = self._desk.state_of(job_id)
        if state is not None and is_cancel:
            # A best-effort job ends here; one that is kept goes on below.
            self._desk.revoke(job_id)
        try:
            found = await self._find(job_id, state, is_cancel=is_cancel)
        except FulmarError as error:
            await self._reject(send, scope, UNAVAILABLE, str(error))
            return
        self._log.write(
            Event.JOB_SHOWN, job=job_id, state=found, cancel=is_cancel
        )
        if not found:
            await respond(send, GONE)
            return
        await respond(send, 200, msgspec.json.encode({"state": found}))

    async def _find(
        self, job_id: JobId, state: JobState | None, *, is_cancel: bool
    ) -> str:
        """Find a job's state, and cancel it if that is wished.

        :returns: the word for it; empty if there is no such job.
        :raises FulmarError: STORE_UNAVAILABLE.
        """
        keeper = self._desk.keeper
        if is_cancel:
            is_known = await keeper.cancel(job_id) or state is not None
            return KeptState.CANCELLED.value if is_known else ""
        if state is not None and not keeper.owns(job_id):
            return state.value
        kept = await keeper.state_of(job_id)
        if kept is None:
            return ""
        if kept is KeptState.OPEN:
            # Its tasks are known to the entry that owns it.
            return (state or JobState.RUNNING).value
        return kept.value

    async def _submit(
        self,
        scope: dict[str, Any],
        receive: Any,
        send: Any,
        queue: Queue,
        job_id: JobId,
        body: bytes,
        wait_s: float,
    ) -> None:
        try:
            wire = msgspec.json.decode(body, type=WireJob)
            spec = wire.decode()
        except (msgspec.MsgspecError, ValueError) as error:
            await self._reject(send, scope, 400, str(error))
            return
        unserved = wire.unserved
        if queue.needs_advice:
            unserved = "queues with advice are not served yet"
        if unserved:
            await self._reject(send, scope, UNAVAILABLE, unserved)
            return
        if spec.is_kept:
            answer = await self._desk.keep(job_id, queue, spec, wait_s)
            await self._answer(send, answer)
            return
        future = self._desk.submit(job_id, queue, spec, wait_s)
        leaving = asyncio.create_task(_wait_disconnect(receive))
        await asyncio.wait(
            (future, leaving), return_when=asyncio.FIRST_COMPLETED
        )
        if not future.done():
            self._desk.leave(job_id, future)
            return
        leaving.cancel()
        await self._answer(send, future.result())

    async def _answer(self, send: Any, answer: AnswerJob) -> None:
        status = STATUSES[answer.outcome]
        headers = self._connection_headers()
        if answer.outcome is JobOutcome.NOT_RUN:
            seconds = max(1, math.ceil(answer.retry_after_s))
            headers += ((b"retry-after", str(seconds).encode()),)
        body = msgspec.json.encode({"state": answer.outcome.value})
        await respond(send, status, body, headers)

    def _connection_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """End the connection after this answer if the entry is stopping."""
        if self._desk.is_stopping:
            return ((b"connection", b"close"),)
        return ()

    async def _reject(
        self, send: Any, scope: dict[str, Any], status: int, reason: str
    ) -> None:
        self._log.write(
            Event.JOB_REJECTED,
            path=scope["path"],
            status=status,
            reason=reason,
            version=self._desk.site.configuration_version,
        )
        headers = self._connection_headers()
        if status == UNAVAILABLE:
            headers += ((b"retry-after", b"1"),)
        await respond(send, status, b"{}", headers)


async def _wait_disconnect(receive: Any) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _read_wait_s(value: bytes | None) -> float:
    try:
        wait_s = float(value or b"") / 1000
    except ValueError:
        return LONGEST_WAIT_S
    return min(max(wait_s, 0.0), LONGEST_WAIT_S)
