"""The table of submissions that an entry has a record of."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarscale.entry.job import OwnedJob
from fulmarscale.errors import require
from fulmarscale.ids import submission_time_s
from fulmarscale.wire.messages import KeptRecord

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fulmarscale.control.timings import Timings
    from fulmarscale.ids import SubmissionId


class Records:
    """Jobs under way and answered, until their ids are too old."""

    def __init__(self, timings: Timings, limit: int) -> None:
        self._timings = timings
        self._limit = limit
        self._jobs: dict[SubmissionId, OwnedJob] = {}
        self._open: dict[SubmissionId, OwnedJob] = {}

    def __len__(self) -> int:
        return len(self._jobs)

    @property
    def is_full(self) -> bool:
        """Whether no further record may be made."""
        return len(self._jobs) >= self._limit

    @property
    def open_jobs(self) -> list[OwnedJob]:
        """Jobs without a final answer."""
        return list(self._open.values())

    def find(self, submission_id: SubmissionId) -> OwnedJob | None:
        """Find a record."""
        return self._jobs.get(submission_id)

    def add(self, job: OwnedJob) -> None:
        """Add a record."""
        require(
            job.submission_id not in self._jobs,
            "a record must not be replaced",
        )
        self._jobs[job.submission_id] = job
        if not job.is_answered:
            self._open[job.submission_id] = job

    def close(self, job: OwnedJob) -> None:
        """Note that a job has its final answer."""
        self._open.pop(job.submission_id, None)

    def clear(self) -> None:
        """Forget all, as a new incarnation does."""
        self._jobs.clear()
        self._open.clear()

    def keep(self, record: KeptRecord, now: float) -> None:
        """Add an answered record from another entry."""
        if record.answer.submission_id in self._jobs:
            return
        job = OwnedJob(
            submission_id=record.answer.submission_id,
            customer=record.customer,
            kind="",
            digest=record.digest,
            payloads=(),
            received_at=now,
            deadline_at=now,
        )
        job.adopt_answer(record.answer)
        self.add(job)

    def answered(self) -> Iterator[KeptRecord]:
        """Give all answered records, for a hand-over."""
        for job in self._jobs.values():
            answer = job.answer
            if answer is not None:
                yield KeptRecord(job.customer, job.digest, answer)

    def is_too_old(
        self, submission_id: SubmissionId, wall_time_s: float
    ) -> bool:
        """Tell whether an id's record may have been forgotten."""
        age_s = wall_time_s - submission_time_s(submission_id)
        return age_s > self._timings.retention_s

    def expire(self, wall_time_s: float) -> None:
        """Forget answered records whose ids are refused for their age."""
        slack_s = self._timings.skew_s + 2 * self._timings.wall_error_s
        kept_s = self._timings.retention_s + slack_s
        for submission_id in list(self._jobs):
            age_s = wall_time_s - submission_time_s(submission_id)
            # Records are added about in the order of their ids.
            if age_s <= kept_s:
                break
            if submission_id not in self._open:
                del self._jobs[submission_id]
