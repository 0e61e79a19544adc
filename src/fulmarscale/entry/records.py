"""The records of the submissions that an entry owns or owned."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarscale.entry.job import OwnedJob
from fulmarscale.errors import check_invariant
from fulmarscale.ids import submission_time_s
from fulmarscale.wire.messages import AnsweredRecord

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fulmarscale.control.timings import Timings
    from fulmarscale.ids import SubmissionId


class SubmissionRecords:
    """Open and answered jobs by submission id.

    An answered job is removed once its id is too old to be accepted again.

    :param timings: the durations that all processes of the site share.
    :param limit: the number of records from which the store is full.
    """

    def __init__(self, timings: Timings, limit: int) -> None:
        self._timings = timings
        self._limit = limit
        self._jobs: dict[SubmissionId, OwnedJob] = {}
        self._open: dict[SubmissionId, OwnedJob] = {}
        """The jobs without a final answer."""

    def __len__(self) -> int:
        return len(self._jobs)

    @property
    def is_full(self) -> bool:
        """Whether no new submission may be accepted.

        Recovered and handed-over records are added even so.
        """
        return len(self._jobs) >= self._limit

    @property
    def open_jobs(self) -> list[OwnedJob]:
        """The jobs without a final answer."""
        return list(self._open.values())

    def find(self, submission_id: SubmissionId) -> OwnedJob | None:
        """Return the record of a submission, if there is one."""
        return self._jobs.get(submission_id)

    def add(self, job: OwnedJob) -> None:
        """Add a record."""
        check_invariant(
            job.submission_id not in self._jobs,
            "a record must not be replaced",
        )
        self._jobs[job.submission_id] = job
        if not job.is_answered:
            self._open[job.submission_id] = job

    def close(self, job: OwnedJob) -> None:
        """Remove a job that has its final answer from the open jobs."""
        self._open.pop(job.submission_id, None)

    def clear(self) -> None:
        """Drop all records when a new incarnation begins."""
        self._jobs.clear()
        self._open.clear()

    def add_handed_over(self, record: AnsweredRecord, now: float) -> None:
        """Add an answered record that another entry handed over."""
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

    def answered_records(self) -> Iterator[AnsweredRecord]:
        """Return all answered records, for a hand-over."""
        for job in self._jobs.values():
            answer = job.answer
            if answer is not None:
                yield AnsweredRecord(job.customer, job.digest, answer)

    def is_too_old(
        self, submission_id: SubmissionId, wall_time_s: float
    ) -> bool:
        """Return whether the record of an id may have been removed already."""
        age_s = wall_time_s - submission_time_s(submission_id)
        return age_s > self._timings.retention_s

    def expire(self, wall_time_s: float) -> None:
        """Remove answered records whose ids are rejected as too old."""
        slack_s = self._timings.skew_s + 2 * self._timings.wall_error_s
        retained_s = self._timings.retention_s + slack_s
        for submission_id in list(self._jobs):
            age_s = wall_time_s - submission_time_s(submission_id)
            # Records are added roughly in the order of their ids' times,
            # so the rest is younger.
            if age_s <= retained_s:
                break
            if submission_id not in self._open:
                del self._jobs[submission_id]
