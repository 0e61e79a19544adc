"""Checks what callers send, before anything is decided on it."""

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
"""What decoding raises for a text that is not what it should be."""

NULL_PAYLOAD = msgspec.Raw(b"null")
"""The payload of a task that gives none."""


class TaskBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One task as the caller sends it."""

    payload: msgspec.Raw = NULL_PAYLOAD
    """Any JSON value, passed through to the target."""


class JobBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job as the caller sends it."""

    kind: Kind
    """The kind of all tasks."""
    tasks: Annotated[tuple[TaskBody, ...], msgspec.Meta(min_length=1)]
    """The tasks."""
    idempotent: bool = False
    """Whether the caller holds that the tasks may be run again."""
    deadline_ms: Annotated[int, msgspec.Meta(gt=0)] = 5000
    """When the answer is owed, in milliseconds from now."""


def parse_bearer_key(header: str | None) -> bytes:
    """Take the key out of an Authorization header.

    :raises FulmarError: KEY_INVALID if there is none.
    """
    scheme, _, key = (header or "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise FulmarError(ResultCode.KEY_INVALID, "a bearer key is needed")
    return key.strip().encode()


def find_contract_by_key(
    key: bytes, configuration: Configuration
) -> ContractRow:
    """Find the contract that names a key.

    :raises FulmarError: KEY_INVALID if none does.
    """
    digest = hashlib.sha256(key).hexdigest()
    found = None
    # All are compared, in constant time each: the time tells nothing.
    for row in configuration.contracts:
        for known in row.contract.key_hashes:
            if hmac.compare_digest(known, digest):
                found = row
    if found is None:
        raise FulmarError(ResultCode.KEY_INVALID, "the key is not known")
    return found


def verify_operator_key(key: bytes, hashes: tuple[str, ...]) -> None:
    """Check an operator's key.

    :raises FulmarError: KEY_INVALID if it is not one.
    """
    digest = hashlib.sha256(key).hexdigest()
    matches = [hmac.compare_digest(known, digest) for known in hashes]
    if not any(matches):
        raise FulmarError(ResultCode.KEY_INVALID, "not the key of an operator")


def validate_submission_id(text: str | None) -> SubmissionId:
    """Check a submission id.

    :raises FulmarError: ID_INVALID if it is not a canonical UUIDv7.
    """
    try:
        return parse_submission_id(text or "")
    except ValueError as error:
        raise FulmarError(
            ResultCode.ID_INVALID,
            "the id must be a UUIDv7 in lower case",
        ) from error


def parse_job(
    submission_id: SubmissionId,
    body: bytes,
    row: ContractRow,
    limits: InputLimits,
) -> JobRequest:
    """Check a job.

    :param submission_id: the caller's id.
    :param body: the request's body.
    :param row: the customer's contract.
    :param limits: limits of the input.
    :returns: the checked job.
    :raises FulmarError: BODY_INVALID, BODY_TOO_LARGE or
        KIND_NOT_IDEMPOTENT; nothing was started.
    """
    try:
        job = msgspec.json.decode(body, type=JobBody)
    except DECODE_ERRORS as error:
        raise FulmarError(ResultCode.BODY_INVALID, str(error)) from error
    if len(job.tasks) > limits.tasks:
        detail = f"a job has at most {limits.tasks} tasks"
        raise FulmarError(ResultCode.BODY_TOO_LARGE, detail)
    if job.deadline_ms > limits.longest_deadline_ms:
        detail = f"deadline_ms is at most {limits.longest_deadline_ms}"
        raise FulmarError(ResultCode.BODY_INVALID, detail)
    if job.idempotent and job.kind in row.contract.non_idempotent_kinds:
        detail = f"the contract says that {job.kind} is not idempotent"
        raise FulmarError(ResultCode.KIND_NOT_IDEMPOTENT, detail)
    payloads = tuple(bytes(task.payload) for task in job.tasks)
    if max(map(len, payloads)) > limits.payload_bytes:
        detail = f"a payload has at most {limits.payload_bytes} bytes"
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
