"""The operations behind an entry's HTTP interface.

The routes are in `entry.routes`. Callers, operators and the load balancer
use them; the users' platform has an interface of its own.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from litestar import Request
from litestar import Response
from litestar.exceptions import HTTPException
import msgspec

from fulmarscale.entry.request_validation import find_contract_by_key
from fulmarscale.entry.request_validation import parse_bearer_key
from fulmarscale.entry.request_validation import parse_job
from fulmarscale.entry.request_validation import validate_submission_id
from fulmarscale.entry.request_validation import verify_operator_key
from fulmarscale.entry.response_bodies import encode_answer
from fulmarscale.entry.response_bodies import http_status
from fulmarscale.errors import FulmarError
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event
from fulmarscale.listeners.request_scope import begin_body
from fulmarscale.listeners.request_scope import is_body_too_large
from fulmarscale.wire.messages import CallKind

if TYPE_CHECKING:
    from fulmarscale.control.actions import RowChange
    from fulmarscale.control.configuration import Configuration
    from fulmarscale.control.configuration import ContractRow
    from fulmarscale.entry.process import EntryProcess
    from fulmarscale.logs import EventLog
    from fulmarscale.metrics import EntryMetrics
    from fulmarscale.settings import EntrySettings
    from fulmarscale.wire.messages import JobAnswer

JSON: Final = "application/json"
"""The media type of answers."""

PROBLEM_JSON: Final = "application/problem+json"
"""The media type of errors."""

MAX_IDS_PER_REQUEST: Final = 1000
"""The largest number of submission ids made for one request."""

QUERY_TIMEOUT_S: Final = 5.0
"""Time in which a request to show or cancel a job is answered."""


class HttpApi:
    """Checks requests, runs their operations and makes the responses.

    All route handlers share one instance.
    """

    def __init__(
        self,
        process: EntryProcess,
        settings: EntrySettings,
        log: EventLog,
    ) -> None:
        self._process = process
        self._settings = settings
        self._metrics = process.metrics
        self._log = log

    @property
    def process(self) -> EntryProcess:
        """The entry process."""
        return self._process

    @property
    def metrics(self) -> EntryMetrics:
        """The entry's metrics."""
        return self._metrics

    @property
    def configuration(self) -> Configuration:
        """The newest configuration that the entry has adopted."""
        return self._process.core.lease.configuration

    def authenticate_customer(self, request: Request) -> ContractRow:
        """Return the contract of the customer that sent a request.

        :raises FulmarError: KEY_INVALID if the key is not a customer's.
        """
        key = parse_bearer_key(request.headers.get("authorization"))
        return find_contract_by_key(key, self.configuration)

    def authenticate_operator(self, request: Request) -> None:
        """Verify that an operator sent a request.

        :raises FulmarError: KEY_INVALID if the key is not an operator's.
        """
        key = parse_bearer_key(request.headers.get("authorization"))
        verify_operator_key(key, self._settings.operator_key_hashes)

    async def read_body(self, request: Request) -> bytes:
        """Return a request's body, read within the limits of size and time.

        :raises FulmarError: BODY_TOO_LARGE or BODY_INVALID.
        """
        limits = self._settings.input
        declared = request.headers.get("content-length", "0")
        if declared.isdigit() and int(declared) > limits.body_bytes:
            raise self._body_too_large()
        if is_body_too_large(request.scope):
            raise self._body_too_large()
        if not begin_body(request.scope):
            raise FulmarError(
                ResultCode.TOO_MANY_REQUESTS,
                "there is no room for the request body",
            )
        body = bytearray()
        try:
            async with asyncio.timeout(limits.body_timeout_s):
                async for chunk in request.stream():
                    body += chunk
                    if len(body) > limits.body_bytes or is_body_too_large(
                        request.scope
                    ):
                        raise self._body_too_large()
        except TimeoutError as error:
            raise FulmarError(
                ResultCode.BODY_INVALID,
                "the request body was not received in time",
            ) from error
        return bytes(body)

    async def submit(
        self, row: ContractRow, submission_id: str | None, body: bytes
    ) -> Response[bytes]:
        """Submit a job and return its answer.

        :param row: the customer's contract.
        :param submission_id: the id that the caller chose.
        :param body: the request body.
        :raises FulmarError: if the submission is rejected.
        """
        if self._process.waiting_caller_count >= self._settings.input.calls:
            raise FulmarError(
                ResultCode.TOO_MANY_REQUESTS,
                "too many requests are waiting for an answer",
            )
        checked_id = validate_submission_id(submission_id)
        job = parse_job(checked_id, body, row, self._settings.input)
        began_at = time.monotonic()
        answer = await self._process.call(
            CallKind.SUBMIT, checked_id, row.name, job.deadline_in_s, job
        )
        self._record_answer(row, answer, time.monotonic() - began_at)
        return _answer_response(answer)

    async def show_or_cancel(
        self, operation: CallKind, row: ContractRow, submission_id: str
    ) -> Response[bytes]:
        """Show or cancel a submission and return its answer.

        :param operation: SHOW or CANCEL.
        :param row: the customer's contract.
        :param submission_id: the submission.
        :raises FulmarError: if the request is rejected.
        """
        checked_id = validate_submission_id(submission_id)
        answer = await self._process.call(
            operation, checked_id, row.name, QUERY_TIMEOUT_S
        )
        return _answer_response(answer)

    async def apply_change(self, change: RowChange) -> int:
        """Apply an operator's change of the configuration.

        :returns: the row's new version.
        :raises FulmarError: if it was rejected or its result is unknown.
        """
        result = await self._process.change(change)
        if result.code is ResultCode.VERSION_CONFLICT:
            raise VersionConflictError(result.row_version)
        if result.code is not ResultCode.OK:
            raise FulmarError(
                result.code, "the table did not confirm the change"
            )
        return result.row_version

    @property
    def in_force_ms(self) -> int:
        """Time until an accepted change is in force in all entries."""
        return int(1000 * self._settings.timings.takeover_wait_s)

    def mint(self, count: int) -> list[str]:
        """Make submission ids, if possible ones this entry can start at once.

        :raises FulmarError: BODY_INVALID for a count out of range, or
            NO_LEASE before the platform's time is known.
        """
        if not 1 <= count <= MAX_IDS_PER_REQUEST:
            raise FulmarError(
                ResultCode.BODY_INVALID,
                f"count must be 1 to {MAX_IDS_PER_REQUEST}",
            )
        ids = self._process.core.mint(count, time.monotonic())
        if not ids:
            raise FulmarError(
                ResultCode.NO_LEASE,
                "the platform's time is not known yet; try again",
            )
        return [str(submission_id) for submission_id in ids]

    def handle_error(
        self, request: Request, error: Exception
    ) -> Response[bytes]:
        """Return the problem document for an error, with its result code."""
        fulmar_error = self._to_fulmar_error(error)
        self._metrics.record_rejection(fulmar_error.code.value)
        problem: dict[str, Any] = {
            "type": "about:blank",
            "title": fulmar_error.code.name.lower().replace("_", " "),
            "status": http_status(fulmar_error.code),
            "code": fulmar_error.code.value,
            "detail": fulmar_error.detail,
        }
        headers = {}
        if isinstance(fulmar_error, VersionConflictError):
            problem["current_version"] = fulmar_error.version
            headers["etag"] = f'"{fulmar_error.version}"'
        return Response(
            content=msgspec.json.encode(problem),
            status_code=http_status(fulmar_error.code),
            media_type=PROBLEM_JSON,
            headers=headers,
        )

    def _to_fulmar_error(self, error: Exception) -> FulmarError:
        if isinstance(error, FulmarError):
            return error
        if isinstance(error, HTTPException):
            return _from_http_error(error)
        self._log.write_error(Event.UNEXPECTED_ERROR, error)
        return FulmarError(ResultCode.INTERNAL, type(error).__name__)

    def _record_answer(
        self, row: ContractRow, answer: JobAnswer, response_s: float
    ) -> None:
        max_response_s = row.contract.response_time_ms / 1000
        is_in_time = (
            answer.outcome is Outcome.DONE and response_s <= max_response_s
        )
        self._metrics.record_answer(
            row.name,
            self._settings.data_centre,
            answer.outcome.value,
            response_s,
            met=is_in_time,
        )

    def _body_too_large(self) -> FulmarError:
        limit = self._settings.input.body_bytes
        detail = f"a request body may have at most {limit} bytes"
        return FulmarError(ResultCode.BODY_TOO_LARGE, detail)


class VersionConflictError(FulmarError):
    """The row has another version than the operator's change expects."""

    def __init__(self, version: int) -> None:
        super().__init__(
            ResultCode.VERSION_CONFLICT, f"the row is at version {version}"
        )
        self._version = version

    @property
    def version(self) -> int:
        """The current version of the row."""
        return self._version


def _answer_response(answer: JobAnswer) -> Response[bytes]:
    headers = {}
    if answer.retry_after_s > 0:
        headers["retry-after"] = str(max(1, round(answer.retry_after_s)))
    return Response(
        content=encode_answer(answer), media_type=JSON, headers=headers
    )


def _from_http_error(error: HTTPException) -> FulmarError:
    if error.status_code == 413:
        return FulmarError(ResultCode.BODY_TOO_LARGE, error.detail)
    if error.status_code in (404, 405):
        return FulmarError(ResultCode.ROUTE_NOT_FOUND, error.detail)
    if error.status_code < 500:
        return FulmarError(ResultCode.BODY_INVALID, error.detail)
    return FulmarError(ResultCode.INTERNAL, "internal error")
