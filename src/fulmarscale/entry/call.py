"""The state of a caller's request until it is answered."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from fulmarscale.errors import ResultCode

if TYPE_CHECKING:
    from fulmarscale.control.entry_list import Member
    from fulmarscale.entry.job import Caller
    from fulmarscale.ids import CustomerName
    from fulmarscale.ids import SubmissionId
    from fulmarscale.wire.messages import CallKind
    from fulmarscale.wire.messages import JobRequest


class CallStage(Enum):
    """What a call is waiting for."""

    ROUTING = "routing"
    """A lease, an owner, or the submission's history after a take-over."""
    FORWARDED = "forwarded"
    """The response of the owner, or of a prior owner that has the record."""
    JOINED = "joined"
    """The final answer of the job, which has a record here."""


class Call:
    """One request of a caller that this entry has yet to answer.

    :param reply_to: the caller, here or at another entry.
    :param operation: whether to submit, show or cancel the submission.
    :param submission_id: the submission.
    :param customer: the customer that makes the request.
    :param job: the job, for SUBMIT.
    :param now: monotonic time of the receipt.
    :param expires_at: monotonic time at which an answer is due.
    """

    def __init__(
        self,
        reply_to: Caller,
        operation: CallKind,
        submission_id: SubmissionId,
        customer: CustomerName,
        job: JobRequest | None,
        now: float,
        expires_at: float,
    ) -> None:
        self.reply_to = reply_to
        self.operation = operation
        self.submission_id = submission_id
        self.customer = customer
        self.job = job
        self.received_at = now
        self.expires_at = expires_at
        self.stage = CallStage.ROUTING
        self.forwarded_to: Member | None = None
        self.forwarded_at = 0.0
        self.forward_number = 0
        """The number of the last forward; 0 if never forwarded."""
        self.timeout_code = ResultCode.NO_LEASE
        """The result code if the call expires before it joins a job."""
