"""Manages which durable jobs an entry owns, and the records of these jobs.

A job is accepted when its record is stored, and reported as ended when its
final state is stored. The completion of a run is stored before its agent lets
the target discard it, so an entry that takes the job over finds the completion
in the store or at the agent. This module does no I/O and reads no clock: the
time is passed to its methods, which return actions for a driver.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.durable.action_list import ActionList
from fulmarscale.entry.durable.actions import AcknowledgeCompletions
from fulmarscale.entry.durable.actions import ChangeOwnerEpoch
from fulmarscale.entry.durable.actions import ReviewCompletions
from fulmarscale.entry.durable.actions import ScanRecords
from fulmarscale.entry.durable.actions import StartJob
from fulmarscale.entry.durable.actions import StopJob
from fulmarscale.entry.durable.actions import StorageOutcome
from fulmarscale.entry.durable.durable_job import DurableJob
from fulmarscale.entry.durable.durable_job import PendingAck
from fulmarscale.entry.durable.durable_job import task_number
from fulmarscale.entry.durable.first_writes import FIRST_LEASE_WAIT_S
from fulmarscale.entry.durable.first_writes import LATE_WRITE_S
from fulmarscale.entry.durable.first_writes import rejection
from fulmarscale.entry.durable.first_writes import UnresolvedWrites
from fulmarscale.entry.durable.membership import Membership
from fulmarscale.entry.durable.record import decode_record
from fulmarscale.entry.durable.record import DurableJobRecord
from fulmarscale.entry.durable.record import DurableJobState
from fulmarscale.entry.durable.record import encode_row
from fulmarscale.entry.durable.record import fits_row
from fulmarscale.entry.durable.record import JobRow
from fulmarscale.entry.durable.record import record_key
from fulmarscale.entry.durable.record import RecordedCompletion
from fulmarscale.entry.durable.rows import CommitStatus
from fulmarscale.entry.durable.scan_schedule import lost_jobs
from fulmarscale.entry.durable.scan_schedule import ScanSchedule
from fulmarscale.entry.durable.write_queue import INCONCLUSIVE_STATUSES
from fulmarscale.entry.durable.write_queue import WriteQueue
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event
from fulmarscale.runs.messages import CompletionAck

if TYPE_CHECKING:
    from fulmarscale.entry.durable.actions import ManagerAction
    from fulmarscale.entry.durable.record import MemberRow
    from fulmarscale.entry.durable.rows import CommitResult
    from fulmarscale.entry.durable.rows import Row
    from fulmarscale.entry.durable.write_queue import BatchItem
    from fulmarscale.ids import EntryId
    from fulmarscale.runs.crashes import CrashCounts
    from fulmarscale.runs.messages import DurableCompletion
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import JobSpec
    from fulmarscale.runs.site_config import Queue

STATUS_RETENTION_S: Final = 150.0
"""How long the state of an ended job can be queried.

The platform requires 120 s (`status_s`); a quarter is added for the error of
clocks.
"""


class DurableJobManager:
    """Manages the ownership and records of one entry's durable jobs.

    Each method returns the actions that its driver has to perform.
    """

    def __init__(self, entry: EntryId) -> None:
        self._entry = entry
        self._membership = Membership(entry)
        self._write_queue = WriteQueue()
        self._jobs: dict[JobId, DurableJob] = {}
        self._unresolved = UnresolvedWrites()
        self._own_pending: dict[str, int] = {}
        """Own jobs of which no task has started, by queue."""
        self._is_active = False
        """Whether durable jobs exist, so that the entry needs a lease."""
        self._active_since = float("inf")
        self._is_owner = False
        self._is_store_available = True
        """Whether the last write was applied or met a version conflict."""
        self._scans = ScanSchedule(self._membership)
        self._actions = ActionList()

    @property
    def entry(self) -> EntryId:
        """The entry and its incarnation."""
        return self._entry

    @property
    def is_owner(self) -> bool:
        """Whether this entry holds its lease, so that it may own jobs."""
        return self._is_owner

    @property
    def open_jobs(self) -> int:
        """Number of jobs that this entry owns and that have not ended."""
        return sum(job.is_open for job in self._jobs.values())

    def activate(self, now: float) -> list[ManagerAction]:
        """Start to acquire the lease and own jobs, as durable jobs exist."""
        if not self._is_active:
            self._is_active = True
            self._active_since = now
            self._actions.log(Event.KEEPING_STARTED)
        return self._take_actions(now)

    def has_job(self, job_id: JobId) -> bool:
        """Return whether this entry owns a job or is about to."""
        return job_id in self._jobs

    def stored_state(self, job_id: JobId) -> DurableJobState | None:
        """Return the stored state of a job.

        :returns: the state; none if the job isn't stored or isn't owned here.
        """
        job = self._jobs.get(job_id)
        if job is None or job.stored_record is None or not self._is_owner:
            return None
        if job.stored_record.is_tombstone:
            return None
        return job.stored_record.state

    def pending_of(self, queue: str) -> int:
        """Return the number of a queue's accepted jobs that have not started.

        Jobs of all entries are counted, and those of former owners until they
        are taken over.
        """
        others = self._membership.pending_of(queue)
        own = self._membership.reported_pending(self._own_pending)
        return others + own.get(queue, 0)

    def submit_durable(
        self, job_id: JobId, queue: Queue, spec: JobSpec, now: float
    ) -> list[ManagerAction]:
        """Store a job that a caller submits.

        :param job_id: the job.
        :param queue: the queue to which it is submitted.
        :param spec: the tasks to run.
        :param now: the entry's time.
        """
        existing = self._jobs.get(job_id)
        if existing is not None:
            existing.is_awaited = True
            if existing.stored_record is not None:
                self._actions.answer_stored(job_id, existing.stored_record)
            return self._take_actions(now)
        record = DurableJobRecord(self._entry, queue, spec)
        is_storable = fits_row(record)
        # No attempt to store a record that is too long can have succeeded.
        refusal = (
            rejection(
                is_store_available=self._is_store_available,
                is_owner=self._is_owner,
                active_s=now - self._active_since,
                open_jobs=self.open_jobs,
            )
            if is_storable
            else StorageOutcome.REFUSED
        )
        if refusal is not None:
            self._actions.log(
                Event.JOB_NOT_KEPT,
                job=job_id,
                is_owner=self._is_owner,
                is_store_sound=self._is_store_available,
                open_jobs=self.open_jobs,
                is_storable=is_storable,
            )
            self._actions.answer_submitters(job_id, refusal)
            return self._take_actions(now)
        job = DurableJob(job_id, record, 0, now)
        self._jobs[job_id] = job
        self._write_queue.enqueue(job)
        return self._take_actions(now)

    def withdraw(self, job_id: JobId, now: float) -> list[ManagerAction]:
        """Give up a new job for whose first write no caller waits any more.

        Its callers may have cancelled it elsewhere by now, where only a
        stored job is known. One whose write was sent is not given up.
        """
        job = self._jobs.get(job_id)
        if job is not None:
            job.is_awaited = False
            self._drop_unwanted(job)
        return self._take_actions(now)

    def _drop_unwanted(self, job: DurableJob) -> bool:
        """Drop a new job that no caller waits for and no store has.

        :returns: whether it was dropped.
        """
        is_unsent = job.is_new and not job.may_be_stored
        if job.is_awaited or not is_unsent or not job.is_open:
            return False
        del self._jobs[job.job_id]
        self._write_queue.discard(job)
        self._actions.log(Event.JOB_WITHDRAWN, job=job.job_id)
        return True

    def cancel(self, job_id: JobId, now: float) -> list[ManagerAction]:
        """Cancel a job that this entry owns, at a caller's request.

        Its first write may still be pending; the cancellation is then stored
        after it.
        """
        job = self._jobs.get(job_id)
        if job is None:
            self._actions.answer_end_waiters(job_id, StorageOutcome.UNKNOWN)
            return self._take_actions(now)
        if job.is_open:
            self._actions.add(StopJob(job_id))
            job.finalize(DurableJobState.CANCELLED, now)
            self._write_queue.enqueue(job)
            self._actions.log(Event.JOB_REVOKED, job=job_id)
        elif (
            job.stored_record is not None
            and job.stored_record.state is not DurableJobState.OPEN
        ):
            self._actions.answer_end_waiters(job_id, StorageOutcome.STORED)
        return self._take_actions(now)

    def adopt_tombstone(self, row: JobRow, now: float) -> list[ManagerAction]:
        """Own the row of a job that was cancelled before it was stored."""
        if self._is_owner and row.job_id not in self._jobs:
            self._take_over(row, now)
        return self._take_actions(now)

    def stored_code(self, job_id: JobId) -> ResultCode | None:
        """Return why a job has failed; none if it isn't owned here."""
        job = self._jobs.get(job_id)
        if job is None or job.stored_record is None or not self._is_owner:
            return None
        return ResultCode(job.stored_record.code)

    def finalize_job(
        self,
        job_id: JobId,
        state: DurableJobState,
        code: ResultCode,
        now: float,
    ) -> list[ManagerAction]:
        """Store the state in which a job has ended.

        :param job_id: the job.
        :param state: the state.
        :param code: why it has failed.
        :param now: the entry's time.
        """
        job = self._jobs.get(job_id)
        if job is not None and job.is_open:
            job.finalize(state, now, code)
            self._write_queue.enqueue(job)
        return self._take_actions(now)

    def advance_owner_epoch(
        self, job_id: JobId, crashes: CrashCounts, now: float
    ) -> list[ManagerAction]:
        """Store a new owner epoch, so that tasks may be started again.

        :param job_id: the job.
        :param crashes: the crashes under its tasks.
        :param now: the entry's time.
        """
        job = self._jobs.get(job_id)
        if job is not None and job.is_open:
            job.advance_epoch(now, crashes)
            self._write_queue.enqueue(job)
        return self._take_actions(now)

    def process_completion(
        self,
        agent: str,
        completion: DurableCompletion,
        now: float,
        *,
        is_counted: bool,
    ) -> list[ManagerAction]:
        """Process a completion that an agent holds until it is acknowledged.

        :param agent: the agent's name.
        :param completion: the completion.
        :param now: the entry's time.
        :param is_counted: whether it counts as the outcome of its task.
        """
        job = self._jobs.get(completion.task.job_id)
        if job is None:
            # The job is owned by another entry, or is not durable.
            return self._take_actions(now)
        is_stored = job.completions.get(RecordedCompletion.of(completion))
        if is_stored is None and is_counted and job.is_open:
            number = task_number(job.record.spec, completion.task)
            job.record_completion(agent, completion, number)
            job.mark_dirty(now, is_urgent=False)
            self._write_queue.enqueue(job)
        elif is_stored is None:
            self._resolve_unexpected(agent, job, completion, now)
        elif is_stored:
            # The agent has reconnected since the acknowledgement was sent.
            ack = CompletionAck(completion.incarnation, completion.position)
            self._actions.add(AcknowledgeCompletions(agent, (ack,)))
        return self._take_actions(now)

    def update_members(
        self, members: tuple[MemberRow, ...], now: float
    ) -> list[ManagerAction]:
        """Update the lease rows of all entries."""
        if self._membership.update_rows(members, now):
            self._scans.request()
        return self._take_actions(now)

    def apply_cancellation(
        self, job_id: JobId, version: int, now: float
    ) -> list[ManagerAction]:
        """Apply a cancellation that another entry has stored.

        :param job_id: the job.
        :param version: the version of the job's row with the cancellation.
        :param now: the entry's time.
        """
        job = self._jobs.get(job_id)
        if job is None or not job.is_open or version <= job.version:
            return self._take_actions(now)
        if job.stored_record is None:
            # The answer to the write that makes the job this entry's own is
            # still to come.
            job.cancelled_version = max(job.cancelled_version, version)
        else:
            self._apply_cancellation(job, version, now)
        return self._take_actions(now)

    def check_owner(
        self, job_id: JobId, record: DurableJobRecord, now: float
    ) -> list[ManagerAction]:
        """Take over a job that was read for a query if its owner is lost."""
        if job_id not in self._jobs:
            self._scans.request_for_query(record, now)
        return self._take_actions(now)

    def resolve_batch(
        self, shard: str, attempt_number: int, answer: CommitResult, now: float
    ) -> list[ManagerAction]:
        """Process the store's answer to a transaction.

        :param shard: the shard of the job table.
        :param attempt_number: the attempt that was answered.
        :param answer: the answer.
        :param now: the entry's time.
        """
        self._is_store_available = answer.status not in INCONCLUSIVE_STATUSES
        batch = self._write_queue.resolve(shard, attempt_number, answer, now)
        for item in batch:
            if self._jobs.get(item.job.job_id) is not item.job:
                # The job was abandoned in the meantime, or was replaced by
                # another object for the same id.
                continue
            match answer.status:
                case CommitStatus.APPLIED:
                    self._handle_stored(item, answer.version, now)
                case CommitStatus.CONFLICT:
                    self._handle_conflict(item, answer.rows, now)
                case CommitStatus.TOO_LARGE if len(batch) > 1:
                    self._requeue_write(item, now)
                case _:
                    self._handle_refused(item, now)
        return self._take_actions(now)

    def resolve_member_write(
        self, name: str, answer: CommitResult, now: float
    ) -> list[ManagerAction]:
        """Process the store's answer to a write of an entry's row."""
        self._is_store_available = answer.status not in INCONCLUSIVE_STATUSES
        if self._membership.resolve_write(name, answer, now):
            self._actions.log(Event.OWNER_REMOVED, entry=name)
            self._scans.request()
        return self._take_actions(now)

    def process_scan(
        self,
        records: tuple[JobRow, ...],
        members: tuple[MemberRow, ...],
        now: float,
    ) -> list[ManagerAction]:
        """Take over the jobs of owners that no longer hold a lease.

        Jobs whose stored owner is this incarnation are taken back, after it
        had lost its lease.

        :param records: all jobs' rows.
        :param members: all entries' lease rows, read after the jobs' rows: an
            owner without a row has lost its jobs.
        :param now: the entry's time.
        """
        self._scans.finish()
        if self._membership.update_rows(members, now):
            # A job may have been stored since its shard was read.
            self._scans.request()
        lost = [
            row
            for row in lost_jobs(records, members, self._entry)
            if row.job_id not in self._jobs and self._is_owner
        ]
        for row in lost:
            self._take_over(row, now)
        if lost:
            self._actions.add(ReviewCompletions())
        self._actions.log(
            Event.RECORDS_SCANNED, records=len(records), taken=len(lost)
        )
        return self._take_actions(now)

    def fail_scan(self, now: float) -> list[ManagerAction]:
        """Schedule another scan, as the records could not be read."""
        self._scans.fail(now)
        return self._take_actions(now)

    def tick(self, pending: dict[str, int], now: float) -> list[ManagerAction]:
        """Perform periodic work: renew the lease, remove expired rows.

        :param pending: own jobs of which no task has started, by queue.
        :param now: the entry's time.
        """
        self._own_pending = pending
        if not self._is_active:
            return self._take_actions(now)
        self._update_ownership(now)
        has_inherited = self._membership.has_inherited_counts
        if has_inherited and self._is_takeover_complete:
            self._membership.clear_inherited()
        renewal = self._membership.renew_if_due(pending, now)
        if renewal is not None:
            self._actions.add(renewal)
        self._actions.add(*self._membership.remove_expired(now))
        self._expire_ended_jobs(now)
        self._drop_overdue(now)
        return self._take_actions(now)

    def _drop_overdue(self, now: float) -> None:
        """Drop new jobs whose first write was repeated for too long.

        A later scan finds those of which an attempt was applied after all.
        """
        for job in self._write_queue.drop_overdue(now):
            self._drop_unstored(job)
            self._scans.request_at(now + LATE_WRITE_S)

    @property
    def _is_takeover_complete(self) -> bool:
        """Whether all jobs to be taken over are stored as this entry's own.

        New jobs may be on their way to the store at any time.
        """
        return (
            self._is_owner
            and self._scans.is_settled
            and all(
                job.is_new or job.stored_record is not None
                for job in self._jobs.values()
            )
        )

    def _update_ownership(self, now: float) -> None:
        holds_lease = self._membership.holds_lease(now)
        if holds_lease and not self._is_owner:
            self._is_owner = True
            self._scans.request()
            self._actions.log(Event.OWNERSHIP_GAINED)
            self._repeat_first_writes(now)
        if holds_lease:
            return
        if not self._is_owner:
            self._give_up_first_jobs(now)
            return
        self._is_owner = False
        self._actions.log(Event.OWNERSHIP_LOST, jobs=len(self._jobs))
        for job in self._jobs.values():
            if job.is_open:
                self._actions.add(StopJob(job.job_id))
            self._actions.answer_submitters(job.job_id, StorageOutcome.UNKNOWN)
            self._actions.answer_end_waiters(
                job.job_id, StorageOutcome.UNKNOWN
            )
            if job.is_new and (job.may_be_stored or not job.is_open):
                self._unresolved.add(job)
        self._jobs.clear()
        self._write_queue.clear()

    def _give_up_first_jobs(self, now: float) -> None:
        """Give up the jobs that were admitted before the first lease.

        Without it after FIRST_LEASE_WAIT_S, the store is not available to
        this entry; it may serve others, to which callers send a job again.
        """
        if now - self._active_since < FIRST_LEASE_WAIT_S:
            return
        for job in list(self._jobs.values()):
            if job.is_new and job.is_open:
                self._drop_unstored(job)

    def _repeat_first_writes(self, now: float) -> None:
        """Write the jobs whose first write was not resolved."""
        for job in self._unresolved.take(now):
            if job.job_id not in self._jobs:
                self._jobs[job.job_id] = job
                job.mark_dirty(now, is_urgent=True)
                self._write_queue.enqueue(job)

    def _take_over(self, row: JobRow, now: float) -> None:
        record = row.record.taken_over_by(self._entry)
        job = DurableJob(row.job_id, record, row.version, now)
        self._jobs[row.job_id] = job
        job.completions = dict.fromkeys(record.completions, True)
        if not job.is_open:
            job.stored_record = row.record
            job.is_dirty = False
            job.finalized_at = now
            return
        self._write_queue.enqueue(job)
        self._actions.log(
            Event.JOB_TAKEN_OVER,
            job=row.job_id,
            owner=row.record.owner.name,
            version=row.version,
        )

    def _resolve_unexpected(
        self,
        agent: str,
        job: DurableJob,
        completion: DurableCompletion,
        now: float,
    ) -> None:
        """Acknowledge a completion that must not count.

        No start request of this entry is known for it, so the task may have
        been started again; or the job has ended.
        """
        if job.stored_record is None:
            # The takeover is not stored yet, so the job is still the former
            # owner's.
            return
        is_cancelled = job.record.state is DurableJobState.CANCELLED
        if is_cancelled and job.stored_record.state is DurableJobState.OPEN:
            # Acknowledged when the cancellation is stored: until then a new
            # owner may continue the job.
            ack = CompletionAck(completion.incarnation, completion.position)
            job.pending_acks.append(PendingAck(agent, ack))
            job.mark_dirty(now, is_urgent=True)
            self._write_queue.enqueue(job)
            return
        self._actions.log(
            Event.END_VOIDED,
            job=job.job_id,
            agent=agent,
            position=completion.position,
            is_void=not is_cancelled,
        )
        ack = CompletionAck(
            completion.incarnation, completion.position, not is_cancelled
        )
        self._actions.add(AcknowledgeCompletions(agent, (ack,)))

    def _handle_stored(
        self, item: BatchItem, version: int, now: float
    ) -> None:
        job = item.job
        if item.record is None:
            self._jobs.pop(job.job_id, None)
            return
        previous = job.stored_record
        is_first_write = job.is_new
        job.version = version
        job.stored_record = item.record
        self._acknowledge(item.pending_acks, job)
        owner_epoch = item.record.owner_epoch
        if job.is_open and job.cancelled_version > version:
            self._apply_cancellation(job, job.cancelled_version, now)
        elif previous is None and job.is_open:
            self._actions.add(StartJob(job.job_id, item.record))
        elif previous is not None and owner_epoch != previous.owner_epoch:
            self._actions.add(ChangeOwnerEpoch(job.job_id, owner_epoch))
        has_ended = item.record.state is not DurableJobState.OPEN
        if is_first_write:
            self._actions.answer_submitters(job.job_id, StorageOutcome.STORED)
        if has_ended:
            self._actions.answer_end_waiters(job.job_id, StorageOutcome.STORED)
        if is_first_write or has_ended:
            self._actions.log(
                Event.JOB_STORED,
                job=job.job_id,
                state=item.record.state.value,
                version=version,
                waited_s=round(now - job.dirty_at, 3),
            )

    def _acknowledge(
        self, pending_acks: tuple[PendingAck, ...], job: DurableJob
    ) -> None:
        """Acknowledge completions to their agents as stored."""
        acks_by_agent: dict[str, list[CompletionAck]] = {}
        for pending in pending_acks:
            ack = pending.ack
            job.completions[RecordedCompletion.of(ack)] = True
            acks_by_agent.setdefault(pending.agent, []).append(ack)
        for agent, acks in acks_by_agent.items():
            self._actions.add(AcknowledgeCompletions(agent, tuple(acks)))

    def _handle_conflict(
        self, item: BatchItem, rows: tuple[Row, ...], now: float
    ) -> None:
        job = item.job
        key = record_key(job.job_id)
        row = next((row for row in rows if row.row_key == key), None)
        stored_version = 0 if row is None else row.version
        if stored_version == item.expected_version:
            # Another record of the transaction caused the conflict.
            self._requeue_write(item, now)
            return
        if row is None:
            if item.record is not None:
                self._stop_lost_job(job, "the row was removed", stored_version)
            self._jobs.pop(job.job_id, None)
            return
        if item.record is not None and row.value == encode_row(item.record):
            # An earlier attempt of the same write was applied.
            self._handle_stored(item, row.version, now)
            return
        self._reconcile_row(item, row, now)

    def _reconcile_row(self, item: BatchItem, row: Row, now: float) -> None:
        """Handle a row that differs from what this entry wrote last."""
        job = item.job
        record = decode_record(row.value)
        is_own = record is not None and record.owner == self._entry
        if record is None or not is_own or job.is_new:
            self._abandon_job(job, record, row.version, now)
            return
        job.version = row.version
        if record.state is DurableJobState.CANCELLED:
            job.pending_acks = [*item.pending_acks, *job.pending_acks]
            self._apply_cancellation(job, row.version, now)
            return
        has_ended = record.state is not DurableJobState.OPEN
        if job.stored_record is None and (has_ended or job.is_open):
            # A write from before this entry lost its lease was applied late.
            self._take_over(JobRow(job.job_id, record, row.version), now)
            if has_ended:
                self._actions.answer_end_waiters(
                    job.job_id, StorageOutcome.STORED
                )
            return
        self._requeue_write(item, now)

    def _abandon_job(
        self,
        job: DurableJob,
        record: DurableJobRecord | None,
        version: int,
        now: float,
    ) -> None:
        """Discard this entry's record of a job in favour of the stored row."""
        if not job.is_new:
            self._stop_lost_job(
                job, "the row is malformed or has another owner", version
            )
            self._scans.request_if_ownerless(record)
            return
        # An earlier submission of the same job was stored.
        self._jobs.pop(job.job_id)
        self._actions.answer_stored(job.job_id, record)
        # It may have been cancelled here, but is not yet in the store.
        self._actions.answer_end_waiters(job.job_id, StorageOutcome.UNKNOWN)
        if record is not None and record.owner == self._entry:
            # This entry stored it, before it lost its lease.
            row = JobRow(job.job_id, record, version)
            self._take_over(row, now)
        else:
            self._scans.request_if_ownerless(record)

    def _stop_lost_job(
        self, job: DurableJob, reason: str, version: int
    ) -> None:
        self._actions.log(
            Event.JOB_LOST, job=job.job_id, reason=reason, version=version
        )
        if job.is_open:
            self._actions.add(StopJob(job.job_id))
        self._actions.answer_end_waiters(job.job_id, StorageOutcome.UNKNOWN)
        self._jobs.pop(job.job_id, None)

    def _handle_refused(self, item: BatchItem, now: float) -> None:
        """Drop a job that is not stored yet; queue any other write again."""
        if item.job.is_new:
            self._drop_unstored(item.job)
            return
        self._requeue_write(item, now)

    def _drop_unstored(self, job: DurableJob) -> None:
        """Drop a new job whose first write is not known to be applied."""
        if self._jobs.get(job.job_id) is not job:
            return
        del self._jobs[job.job_id]
        self._write_queue.discard(job)
        self._actions.log(
            Event.JOB_NOT_KEPT,
            job=job.job_id,
            is_owner=self._is_owner,
            is_store_sound=False,
            open_jobs=self.open_jobs,
        )
        # This attempt was not stored, but an earlier one may have been.
        self._actions.answer_submitters(job.job_id, StorageOutcome.UNKNOWN)
        self._actions.answer_end_waiters(job.job_id, StorageOutcome.UNKNOWN)

    def _requeue_write(self, item: BatchItem, now: float) -> None:
        """Write a record again that no attempt has stored."""
        job = item.job
        job.may_be_stored = False
        if self._drop_unwanted(job):
            return
        job.pending_acks = [*item.pending_acks, *job.pending_acks]
        job.mark_dirty(now, is_urgent=True)
        self._write_queue.enqueue(job)

    def _apply_cancellation(
        self, job: DurableJob, version: int, now: float
    ) -> None:
        self._actions.add(StopJob(job.job_id))
        self._actions.log(Event.JOB_REVOKED, job=job.job_id, version=version)
        self._acknowledge(tuple(job.pending_acks), job)
        job.pending_acks = []
        job.finalize(DurableJobState.CANCELLED, now)
        job.version = version
        job.stored_record = job.record
        job.is_dirty = False
        self._actions.answer_end_waiters(job.job_id, StorageOutcome.STORED)

    def _expire_ended_jobs(self, now: float) -> None:
        for job in list(self._jobs.values()):
            is_due = now - job.finalized_at > STATUS_RETENTION_S
            if is_due and not job.is_expired:
                job.is_expired = True
                job.mark_dirty(now, is_urgent=False)
                self._write_queue.enqueue(job)

    def _take_actions(self, now: float) -> list[ManagerAction]:
        if self._is_owner:
            self._actions.add(*self._write_queue.flush(now))
            if self._scans.take_due(now):
                self._actions.add(ScanRecords())
        return self._actions.take()
