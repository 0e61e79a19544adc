"""JSON bodies and HTTP statuses of the answers to callers."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.errors import ResultCode

if TYPE_CHECKING:
    from fulmarscale.wire.messages import JobAnswer
    from fulmarscale.wire.messages import TaskAnswer

NULL_RESULT: Final = msgspec.Raw(b"null")
"""The result of a task that has none."""

HTTP_STATUSES: Final = {
    ResultCode.BODY_INVALID: 400,
    ResultCode.BODY_TOO_LARGE: 413,
    ResultCode.ID_INVALID: 400,
    ResultCode.ID_IN_FUTURE: 425,
    ResultCode.ID_REUSED: 409,
    ResultCode.KEY_INVALID: 401,
    ResultCode.SUBMISSION_NOT_FOUND: 404,
    ResultCode.KIND_NOT_IDEMPOTENT: 422,
    ResultCode.TOO_MANY_REQUESTS: 429,
    ResultCode.VERSION_CONFLICT: 412,
    ResultCode.VERSION_MISSING: 428,
    ResultCode.CONTRACT_INVALID: 422,
    ResultCode.ROW_NOT_FOUND: 404,
    ResultCode.STORE_UNAVAILABLE: 503,
    ResultCode.CHANGE_UNKNOWN: 504,
    ResultCode.NO_LEASE: 503,
    ResultCode.ROUTE_NOT_FOUND: 404,
}
"""The HTTP status of each result code; 500 for codes not listed."""


class TaskAnswerBody(msgspec.Struct, frozen=True):
    """One task in the body of an answer."""

    index: int
    """The position of the task in the job."""
    outcome: str
    """The outcome of the task."""
    code: int
    """The result code."""
    result: msgspec.Raw
    """The result, or null unless the whole job is done."""


class AnswerBody(msgspec.Struct, frozen=True):
    """The body of an answer."""

    submission_id: str
    """The submission."""
    outcome: str
    """The outcome of the job."""
    code: int
    """The result code."""
    tasks: tuple[TaskAnswerBody, ...]
    """One item for each task, by index."""


def encode_answer(answer: JobAnswer) -> bytes:
    """Return an answer encoded as JSON."""
    body = AnswerBody(
        submission_id=answer.submission_id,
        outcome=answer.outcome.value,
        code=answer.code.value,
        tasks=tuple(_make_task_body(task) for task in answer.tasks),
    )
    return msgspec.json.encode(body)


def http_status(code: ResultCode) -> int:
    """Return the HTTP status for the result code of an error."""
    return HTTP_STATUSES.get(code, 500)


def _make_task_body(task: TaskAnswer) -> TaskAnswerBody:
    return TaskAnswerBody(
        index=task.index,
        outcome=task.outcome.value,
        code=task.code.value,
        result=msgspec.Raw(task.result) if task.result else NULL_RESULT,
    )
