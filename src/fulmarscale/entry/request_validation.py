"""Authenticates and validates HTTP requests before they are processed."""

from __future__ import annotations

import hashlib
import hmac
from typing import Annotated
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode
from fulmarscale.ids import parse_submission_id
from fulmarscale.wire.messages import JobRequest

if TYPE_CHECKING:
    from fulmarscale.control.configuration import Configuration
    from fulmarscale.control.configuration import ContractRow
    from fulmarscale.ids import SubmissionId
    from fulmarscale.settings import InputLimits

Kind = Annotated[str, msgspec.Meta(pattern="^[a-z0-9_.-]{1,64}$")]

DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""Exceptions raised on decoding invalid input."""

NULL_PAYLOAD = msgspec.Raw(b"null")
"""The payload of a task that has none."""


class TaskBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One task in the request body."""

    payload: msgspec.Raw = NULL_PAYLOAD
    """Any JSON value, passed to the target unchanged."""


class JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The request body of a submission."""

    kind: Kind
    """The kind of all its tasks."""
    tasks: Annotated[tuple[TaskBody, ...], msgspec.Meta(min_length=1)]
    """The tasks."""
    idempotent: bool = False
    """Whether the caller declares that the tasks may run more than once."""
    deadline_ms: Annotated[int, msgspec.Meta(gt=0)] = 5000
    """Time until the answer is due, in milliseconds."""


def parse_bearer_key(header: str | None) -> bytes:
    """Return the key in an Authorization header.

    :raises FulmarError: KEY_INVALID if it has no bearer key.
    """
    scheme, _, key = (header or "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise FulmarError(
            ResultCode.KEY_INVALID,
            "the Authorization header must have a bearer key",
        )
    return key.strip().encode()


def find_contract_by_key(
    key: bytes, configuration: Configuration
) -> ContractRow:
    """Return the contract that has the hash of a key.

    :raises FulmarError: KEY_INVALID if no contract has it.
    """
    digest = hashlib.sha256(key).hexdigest()
    matching_row = None
    # Every hash is compared, each in constant time, so that the duration
    # reveals nothing about the key.
    for row in configuration.contracts:
        for key_hash in row.contract.key_hashes:
            if hmac.compare_digest(key_hash, digest):
                matching_row = row
    if matching_row is None:
        raise FulmarError(
            ResultCode.KEY_INVALID, "the key does not belong to any customer"
        )
    return matching_row


def verify_operator_key(key: bytes, hashes: tuple[str, ...]) -> None:
    """Verify that a key belongs to an operator.

    :raises FulmarError: KEY_INVALID if it does not.
    """
    digest = hashlib.sha256(key).hexdigest()
    matches = [hmac.compare_digest(key_hash, digest) for key_hash in hashes]
    if not any(matches):
        raise FulmarError(
            ResultCode.KEY_INVALID, "the key does not belong to an operator"
        )


def validate_submission_id(text: str | None) -> SubmissionId:
    """Validate a submission id.

    :raises FulmarError: ID_INVALID if it is not a canonical UUIDv7.
    """
    try:
        return parse_submission_id(text or "")
    except ValueError as error:
        raise FulmarError(
            ResultCode.ID_INVALID,
            "the submission id must be a UUIDv7 in lower case",
        ) from error


def parse_job(
    submission_id: SubmissionId,
    body: bytes,
    row: ContractRow,
    limits: InputLimits,
) -> JobRequest:
    """Parse and validate the body of a submission.

    :param submission_id: the id that the caller chose.
    :param body: the request's body.
    :param row: the customer's contract.
    :param limits: the limits of the body.
    :returns: the validated job.
    :raises FulmarError: BODY_INVALID, BODY_TOO_LARGE or
        KIND_NOT_IDEMPOTENT. No task has been started.
    """
    try:
        job = msgspec.json.decode(body, type=JobBody)
    except DECODE_ERRORS as error:
        raise FulmarError(ResultCode.BODY_INVALID, str(error)) from error
    if len(job.tasks) > limits.tasks:
        detail = f"a job may have at most {limits.tasks} tasks"
        raise FulmarError(ResultCode.BODY_TOO_LARGE, detail)
    if job.deadline_ms > limits.longest_deadline_ms:
        detail = f"deadline_ms must be at most {limits.longest_deadline_ms}"
        raise FulmarError(ResultCode.BODY_INVALID, detail)
    if job.idempotent and job.kind in row.contract.non_idempotent_kinds:
        detail = f"tasks of kind {job.kind} are not idempotent by the contract"
        raise FulmarError(ResultCode.KIND_NOT_IDEMPOTENT, detail)
    payloads = tuple(bytes(task.payload) for task in job.tasks)
    if max(map(len, payloads)) > limits.payload_bytes:
        detail = f"a payload may have at most {limits.payload_bytes} bytes"
        raise FulmarError(ResultCode.BODY_TOO_LARGE, detail)
    return JobRequest(
        submission_id=submission_id,
        customer=row.name,
        kind=job.kind,
        deadline_in_s=job.deadline_ms / 1000,
        digest=_digest(job, payloads),
        payloads=payloads,
    )


def _digest(job: JobBody, payloads: tuple[bytes, ...]) -> bytes:
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{job.kind}\0{job.idempotent}\0".encode())
    for payload in payloads:
        digest.update(len(payload).to_bytes(4, "big"))
        digest.update(payload)
    return digest.digest()
