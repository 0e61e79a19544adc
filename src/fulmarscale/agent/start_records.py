"""Records of the tasks that this agent started, and of their results.

Part of the agent for the project's own protocol (see `core`). They keep a task
from being started twice, and let an entry that takes a job over recover its
state.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from fulmarscale.errors import check_invariant
from fulmarscale.ids import CustomerName
from fulmarscale.wire.messages import RecoveredJob

if TYPE_CHECKING:
    from fulmarscale.ids import EntryId
    from fulmarscale.ids import SubmissionId
    from fulmarscale.ids import TaskRef
    from fulmarscale.wire.messages import JobDispatch
    from fulmarscale.wire.messages import TaskResult
    from fulmarscale.wire.messages import TaskSpec


class StartRecord:
    """The start record of one task."""

    __slots__ = ("entry", "is_reported", "result", "started_at", "task")

    def __init__(self, task: TaskRef, entry: EntryId, now: float) -> None:
        self.task = task
        self.entry = entry
        """The entry that the result is reported to."""
        self.started_at = now
        self.result: TaskResult | None = None
        """None while the task runs."""
        self.is_reported = False
        """Whether the result was queued for an entry.

        Not set for a result queued for a job that was dispatched again.
        """


class JobRecord:
    """The record of one job whose tasks an agent received."""

    __slots__ = (
        "added_at",
        "customer",
        "digest",
        "kind",
        "starts",
        "task_count",
    )

    def __init__(self, dispatch: JobDispatch, now: float) -> None:
        self.added_at = now
        self.customer = dispatch.customer
        self.kind = dispatch.kind
        self.task_count = dispatch.task_count
        self.digest = dispatch.digest
        """The digest of the job's body."""
        self.starts: dict[int, StartRecord] = {}
        """Start records by the task's position in the job."""


class StartRecords:
    """All start records of one incarnation of an agent."""

    def __init__(self, retention_s: float, max_records: int) -> None:
        self._retention_s = retention_s
        self._max_records = max_records
        self._jobs: dict[SubmissionId, JobRecord] = {}
        self._by_start_time: deque[StartRecord] = deque()
        """All start records, oldest first."""

    @property
    def is_full(self) -> bool:
        """Whether the limit is reached, so that no further job is accepted."""
        return len(self._by_start_time) >= self._max_records

    def find_job(self, submission_id: SubmissionId) -> JobRecord | None:
        """Return the record of a job, or none."""
        return self._jobs.get(submission_id)

    def add_job(self, dispatch: JobDispatch, now: float) -> None:
        """Add a job's record before its first task is queued."""
        if dispatch.submission_id not in self._jobs:
            self._jobs[dispatch.submission_id] = JobRecord(dispatch, now)

    def find(self, task: TaskRef) -> StartRecord | None:
        """Return the start record of a task, or none."""
        job = self._jobs.get(task.submission_id)
        return job.starts.get(task.index) if job is not None else None

    def record_start(self, task: TaskRef, entry: EntryId, now: float) -> None:
        """Record a start before the task is sent to the target."""
        job = self._jobs[task.submission_id]
        check_invariant(task.index not in job.starts, "no task starts twice")
        record = StartRecord(task, entry, now)
        job.starts[task.index] = record
        self._by_start_time.append(record)

    def remove_unstarted(self, record: StartRecord) -> None:
        """Remove the record of a task that never reached the target."""
        job = self._jobs[record.task.submission_id]
        del job.starts[record.task.index]
        self._by_start_time.remove(record)

    def recover(
        self,
        submission_id: SubmissionId,
        entry: EntryId,
        dropped: tuple[TaskSpec, ...],
    ) -> RecoveredJob:
        """Return all records of a submission and assign it to another entry.

        From now on the results of its tasks are reported to that entry, which
        recovers the submission.

        :param submission_id: the submission.
        :param entry: the entry that recovers it.
        :param dropped: tasks of it that were queued and will not start here.
        """
        job = self._jobs.get(submission_id)
        if job is None:
            return _make_empty_recovery(submission_id)
        running = []
        results = []
        for index in sorted(job.starts):
            record = job.starts[index]
            record.entry = entry
            if record.result is None:
                running.append(index)
            else:
                record.is_reported = True
                results.append(record.result)
        return RecoveredJob(
            submission_id=submission_id,
            customer=job.customer,
            kind=job.kind,
            task_count=job.task_count,
            digest=job.digest,
            running=tuple(running),
            results=tuple(results),
            returned=dropped,
        )

    def expire(self, now: float) -> None:
        """Remove records of submissions too old for entries to accept."""
        while self._by_start_time:
            record = self._by_start_time[0]
            if now - record.started_at <= self._retention_s:
                break
            if record.result is None:
                break
            self._by_start_time.popleft()
            del self._jobs[record.task.submission_id].starts[record.task.index]
        for submission_id in list(self._jobs):
            job = self._jobs[submission_id]
            if now - job.added_at <= self._retention_s:
                break
            if not job.starts:
                del self._jobs[submission_id]

    def count_unreported(self) -> int:
        """Return the number of results that no entry was sent."""
        return sum(
            record.result is not None and not record.is_reported
            for record in self._by_start_time
        )


def _make_empty_recovery(submission_id: SubmissionId) -> RecoveredJob:
    return RecoveredJob(
        submission_id=submission_id,
        customer=CustomerName(""),
        kind="",
        task_count=0,
        digest=b"",
        running=(),
        results=(),
        returned=(),
    )
