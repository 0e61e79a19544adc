"""A caller's request under way at an entry."""

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
    """What a call waits for."""

    ROUTING = "routing"
    """A lease, an owner, or the end of a take-over."""
    FORWARDED = "forwarded"
    """The owner's answer."""
    JOINED = "joined"
    """The end of the job at this entry."""


class Call:
    """One caller's request under way at this entry."""

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
        self.timeout_code = ResultCode.NO_LEASE
