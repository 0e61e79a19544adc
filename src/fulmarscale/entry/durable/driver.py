"""Performs the actions that the manager of durable jobs returns.

The driver connects `DurableJobManager`, which decides without I/O, to the
store of rows, to the callers that wait for answers, and to the dispatcher that
runs jobs.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
import asyncio
from contextlib import suppress
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.durable.actions import AcknowledgeCompletions
from fulmarscale.entry.durable.actions import AnswerCallers
from fulmarscale.entry.durable.actions import ChangeOwnerEpoch
from fulmarscale.entry.durable.actions import CommitBatch
from fulmarscale.entry.durable.actions import CommitMember
from fulmarscale.entry.durable.actions import LogDurableDecision
from fulmarscale.entry.durable.actions import ReviewCompletions
from fulmarscale.entry.durable.actions import ScanRecords
from fulmarscale.entry.durable.actions import StartJob
from fulmarscale.entry.durable.actions import StopJob
from fulmarscale.entry.durable.actions import StorageOutcome
from fulmarscale.entry.durable.job_search import DurableJobSearch
from fulmarscale.entry.durable.manager import DurableJobManager
from fulmarscale.entry.durable.record import DurableJobState
from fulmarscale.entry.durable.record import JobRow
from fulmarscale.entry.durable.record import MEMBER_TABLE
from fulmarscale.entry.durable.record import MemberRow
from fulmarscale.entry.durable.record import record_key
from fulmarscale.entry.durable.record import RECORD_TABLE
from fulmarscale.entry.durable.row_decoding import decode_job_record
from fulmarscale.entry.durable.row_decoding import decode_job_rows
from fulmarscale.entry.durable.row_decoding import decode_member_rows
from fulmarscale.entry.durable.rows import CommitStatus
from fulmarscale.entry.durable.stored_cancellations import StoredCancellations
from fulmarscale.entry.durable.unowned_ends import UnownedEndReview
from fulmarscale.entry.jobs.job_service import DurableJobs
from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event
from fulmarscale.runs.driver import Driver
from fulmarscale.runs.model import JobId

if TYPE_CHECKING:
    from fulmarscale.entry.durable.actions import ManagerAction
    from fulmarscale.entry.durable.record import DurableJobRecord
    from fulmarscale.entry.durable.rows import Row
    from fulmarscale.entry.durable.rows import RowTable
    from fulmarscale.ids import EntryId
    from fulmarscale.logs import EventLog
    from fulmarscale.runs.crashes import CrashCounts
    from fulmarscale.runs.messages import CompletionAck
    from fulmarscale.runs.messages import DurableCompletion
    from fulmarscale.runs.model import JobSpec
    from fulmarscale.runs.site_config import Queue

TICK_S: Final = 0.05
"""Time between ticks of the manager, for decisions that depend on the time."""

MEMBER_ROWS_WAIT_S: Final = 1.0
"""How long a query for pending jobs waits for the first read of lease rows."""

JOB_END_WAIT_S: Final = 0.06
"""How long a query for the state of an open job waits for its end.

Callers query when they expect the end, and next time much later. The report
of a completion and the transaction for it take 10 to 50 ms.
"""


class JobRunner(ABC):
    """The interface to the dispatcher, which runs the stored jobs."""

    @abstractmethod
    def start_durable_job(
        self, job_id: JobId, record: DurableJobRecord
    ) -> None:
        """Start to run a stored job."""

    @abstractmethod
    def change_owner_epoch(self, job_id: JobId, owner_epoch: int) -> None:
        """Continue a job in a new owner epoch, which is stored."""

    @abstractmethod
    def stop_durable_job(self, job_id: JobId) -> None:
        """Stop all runs of a job and start no more."""

    @abstractmethod
    def acknowledge_completions(
        self, agent: str, acks: tuple[CompletionAck, ...]
    ) -> None:
        """Acknowledge completions that an agent holds."""

    @abstractmethod
    def review_completions(self) -> None:
        """Process the completions again that agents hold for other jobs."""

    @abstractmethod
    def pending(self) -> dict[str, int]:
        """Return the number of durable jobs not yet started, by queue."""

    @abstractmethod
    def set_durable_jobs_exist(self, *, exist: bool) -> None:
        """Set whether durable jobs exist at the site at all."""


class DurableJobDriver(Driver, DurableJobs):
    """One entry's service for durable jobs, without HTTP."""

    def __init__(
        self, entry: EntryId, rows: RowTable, runner: JobRunner, log: EventLog
    ) -> None:
        super().__init__(log)
        self._manager = DurableJobManager(entry)
        self._rows = rows
        self._runner = runner
        self._activated = asyncio.Event()
        self._members_read = asyncio.Event()
        self._search = DurableJobSearch(rows, self._handle_search, log)
        self._cancellations = StoredCancellations(
            entry,
            rows,
            log,
            is_active=self._activated.is_set,
            activate=self.activate,
            adopt=self._adopt_tombstone,
        )
        self._store_waiters: dict[
            JobId, list[asyncio.Future[StorageOutcome]]
        ] = {}
        """Callers that wait for a job to be stored."""
        self._end_waiters: dict[
            JobId, list[asyncio.Future[StorageOutcome]]
        ] = {}
        """Callers that wait for a job's end, or for its cancellation."""
        self._unowned_ends = UnownedEndReview(
            entry.name,
            rows,
            is_active=self._activated.is_set,
            poll=self._search.query,
            owns=self._manager.has_job,
            acknowledge=runner.acknowledge_completions,
        )

    @property
    def manager(self) -> DurableJobManager:
        """The manager, which makes the decisions."""
        return self._manager

    @property
    def activated(self) -> asyncio.Event:
        """Set once this entry knows that durable jobs exist."""
        return self._activated

    def start(self) -> None:
        """Start the periodic decisions and the search for durable jobs."""
        self._tasks.run_forever(self._tick_forever)
        self._tasks.run_forever(self._search.run)
        self._tasks.run_forever(self._unowned_ends.run)

    async def close(self) -> None:
        """Stop all background tasks."""
        await self._tasks.close()

    def activate(self) -> None:
        """Start to acquire the lease and own jobs, as durable jobs exist."""
        if not self._activated.is_set():
            self._activated.set()
            self._search.stop()
            self._runner.set_durable_jobs_exist(exist=True)
            self._decide(self._manager.activate)
            self._tick()
            self._tasks.run_forever(self._cancellations.store_held)

    def submit_durable(
        self, job_id: JobId, queue: Queue, spec: JobSpec
    ) -> asyncio.Future[StorageOutcome]:
        """Store a job that a caller submits.

        :param job_id: the job.
        :param queue: the queue to which it is submitted.
        :param spec: the tasks to run.
        :returns: a future that is resolved when the outcome is known. The
            job may be given up once all its futures are cancelled.
        """
        self.activate()
        future: asyncio.Future[StorageOutcome] = asyncio.Future()
        if self._cancellations.holds(job_id):
            future.set_result(StorageOutcome.REFUSED)
            return future
        future.add_done_callback(
            lambda done: self._withdraw_submitter(job_id, done)
        )
        self._store_waiters.setdefault(job_id, []).append(future)
        self._decide(self._manager.submit_durable, job_id, queue, spec)
        return future

    async def cancel(self, job_id: JobId) -> bool:
        """Cancel a job, whichever entry owns it.

        :returns: whether the job exists.
        :raises FulmarError: STORE_UNAVAILABLE; it may have been cancelled.
        """
        if not self._manager.has_job(job_id):
            return await self._cancellations.cancel(job_id)
        future: asyncio.Future[StorageOutcome] = asyncio.Future()
        self._end_waiters.setdefault(job_id, []).append(future)
        self._decide(self._manager.cancel, job_id)
        if await future is StorageOutcome.STORED:
            return True
        return await self._cancellations.cancel(job_id)

    def owns(self, job_id: JobId) -> bool:
        """Return whether a job is stored and owned by this entry."""
        return self._manager.stored_state(job_id) is not None

    async def state_of(self, job_id: JobId) -> DurableJobState | None:
        """Return the stored state of a job, whichever entry owns it.

        If this entry owns the job and it is open, its end is awaited for
        JOB_END_WAIT_S. Another entry's job is read from the store at once.

        :returns: the state; none if there is no such job.
        :raises FulmarError: STORE_UNAVAILABLE.
        """
        if self._manager.stored_state(job_id) is DurableJobState.OPEN:
            await self._wait_for_end(job_id)
        state = self._manager.stored_state(job_id)
        if state is not None:
            return state
        record = await self._read_record(job_id)
        if record is None or record.is_tombstone:
            return None
        return record.state

    async def code_of(self, job_id: JobId) -> ResultCode:
        """Return why a job has failed, whichever entry owns it.

        :raises FulmarError: STORE_UNAVAILABLE.
        """
        code = self._manager.stored_code(job_id)
        if code is not None:
            return code
        record = await self._read_record(job_id)
        return ResultCode.OK if record is None else ResultCode(record.code)

    async def pending_of(self, queue: str) -> int:
        """Return the number of a queue's accepted jobs that have not started.

        An entry that knows of no durable jobs queries the store first, as
        other entries may have accepted some.
        """
        if not self._activated.is_set():
            await self._search.query_if_stale()
        if self._activated.is_set():
            with suppress(TimeoutError):
                async with asyncio.timeout(MEMBER_ROWS_WAIT_S):
                    await self._members_read.wait()
        return self._manager.pending_of(queue)

    def process_completion(
        self, agent: str, completion: DurableCompletion, *, is_counted: bool
    ) -> None:
        """Process a completion that an agent holds until it is acknowledged.

        :param agent: the agent's name.
        :param completion: the completion.
        :param is_counted: whether it counts as the outcome of its task.
        """

        def apply_completion(now: float) -> list[ManagerAction]:
            return self._manager.process_completion(
                agent, completion, now, is_counted=is_counted
            )

        self._decide(apply_completion)
        if not self._manager.has_job(completion.task.job_id):
            self._unowned_ends.add(agent, completion)

    def advance_owner_epoch(self, job_id: JobId, crashes: CrashCounts) -> None:
        """Store a new owner epoch, so that tasks may be started again.

        :param job_id: the job.
        :param crashes: the crashes under its tasks.
        """
        self._decide(self._manager.advance_owner_epoch, job_id, crashes)

    def finalize_job(
        self, job_id: JobId, state: DurableJobState, code: ResultCode
    ) -> None:
        """Store the state in which a job has ended, and why it has failed."""
        self._decide(self._manager.finalize_job, job_id, state, code)

    def update_members(self, rows: tuple[Row, ...]) -> None:
        """Update the lease rows of all entries."""
        self._members_read.set()
        self._decide(self._manager.update_members, self._decode_members(rows))

    def apply_cancellations(self, rows: tuple[Row, ...]) -> None:
        """Apply the cancellations that other entries have stored."""
        own = [
            row
            for row in rows
            if self._manager.has_job(JobId(row.row_key.key))
        ]
        for row in own:
            job_id = JobId(row.row_key.key)
            self._decide(self._manager.apply_cancellation, job_id, row.version)
        for batch in self._cancellations.claim_notices(own):
            self._tasks.run_once(self._cancellations.remove_notices(batch))

    def _withdraw_submitter(
        self, job_id: JobId, future: asyncio.Future[StorageOutcome]
    ) -> None:
        """Stop waiting for a caller; give the job up with the last one."""
        if not future.cancelled():
            return
        waiters = self._store_waiters.get(job_id, [])
        if future in waiters:
            waiters.remove(future)
        if not waiters:
            self._store_waiters.pop(job_id, None)
            self._decide(self._manager.withdraw, job_id)

    def _adopt_tombstone(self, row: JobRow) -> None:
        self._decide(self._manager.adopt_tombstone, row)

    def _tick(self) -> None:
        self._decide(self._manager.tick, self._runner.pending())

    async def _tick_forever(self) -> None:
        while True:
            self._tick()
            await asyncio.sleep(TICK_S)

    def _handle_search(self, jobs_exist: bool) -> None:
        """Handle the store's answer to whether durable jobs exist."""
        if jobs_exist:
            self.activate()
        else:
            self._runner.set_durable_jobs_exist(exist=False)

    async def _read_record(self, job_id: JobId) -> DurableJobRecord | None:
        """Return a job's stored record, read from the store."""
        row = await self._rows.read_row(record_key(job_id))
        if row is None:
            return None
        # The row shows that durable jobs exist.
        self.activate()
        record = decode_job_record(row, self._log)
        if record is not None:
            self._decide(self._manager.check_owner, job_id, record)
        return record

    def _perform(self, actions: list[ManagerAction]) -> None:
        for action in actions:
            match action:
                case CommitBatch():
                    self._tasks.run_once(self._commit(action))
                case CommitMember():
                    self._tasks.run_once(self._commit_member(action))
                case ScanRecords():
                    self._tasks.run_once(self._scan())
                case StartJob():
                    self._runner.start_durable_job(
                        action.job_id, action.record
                    )
                case ChangeOwnerEpoch():
                    self._runner.change_owner_epoch(
                        action.job_id, action.owner_epoch
                    )
                case StopJob():
                    self._runner.stop_durable_job(action.job_id)
                case AcknowledgeCompletions():
                    self._runner.acknowledge_completions(
                        action.agent, action.acks
                    )
                case ReviewCompletions():
                    self._runner.review_completions()
                case AnswerCallers():
                    self._resolve_waiters(action)
                case LogDurableDecision():
                    self._log.write(action.event, **action.fields)

    def _resolve_waiters(self, action: AnswerCallers) -> None:
        waiters = (
            self._end_waiters
            if action.is_for_end_waiters
            else self._store_waiters
        )
        for future in waiters.pop(action.job_id, []):
            if not future.done():
                future.set_result(action.outcome)

    async def _wait_for_end(self, job_id: JobId) -> None:
        """Wait up to JOB_END_WAIT_S for the end of a job."""
        future: asyncio.Future[StorageOutcome] = asyncio.Future()
        self._end_waiters.setdefault(job_id, []).append(future)
        await asyncio.wait((future,), timeout=JOB_END_WAIT_S)
        waiters = self._end_waiters.get(job_id, [])
        if future in waiters:
            waiters.remove(future)
        if not waiters:
            self._end_waiters.pop(job_id, None)

    async def _commit(self, action: CommitBatch) -> None:
        answer = await self._rows.commit(action.writes)
        if answer.status is not CommitStatus.APPLIED:
            self._log.write(
                Event.COMMIT_FAILED,
                shard=action.shard,
                records=len(action.writes),
                status=answer.status.value,
            )
        self._decide(
            self._manager.resolve_batch,
            action.shard,
            action.attempt_number,
            answer,
        )

    async def _commit_member(self, action: CommitMember) -> None:
        answer = await self._rows.commit((action.write,))
        if answer.status is not CommitStatus.APPLIED:
            self._log.write(
                Event.COMMIT_FAILED,
                entry=action.name,
                status=answer.status.value,
            )
        self._decide(self._manager.resolve_member_write, action.name, answer)
        self._tick()

    async def _scan(self) -> None:
        """Read all records, and after them the lease rows of all entries.

        In this order, an owner without a row holds no lease on any of the
        records that were read.
        """
        records: list[JobRow] = []
        unread: list[str] = []
        try:
            for part in await self._rows.list_parts(RECORD_TABLE):
                try:
                    records += await self._read_records(part)
                except FulmarError as error:
                    unread.append(f"{part}: {error.detail}")
            rows = await self._rows.read_part(MEMBER_TABLE, "")
        except FulmarError as error:
            self._log.write(Event.SCAN_FAILED, detail=error.detail)
            self._decide(self._manager.fail_scan)
            return
        members = self._decode_members(rows)
        self._decide(self._manager.process_scan, tuple(records), members)
        if unread:
            self._log.write(Event.SCAN_FAILED, detail="; ".join(unread))
            self._decide(self._manager.fail_scan)

    async def _read_records(self, part: str) -> list[JobRow]:
        """Read the records of one part of the job table.

        :raises FulmarError: STORE_UNAVAILABLE.
        """
        rows = await self._rows.read_part(RECORD_TABLE, part)
        decoded = decode_job_rows(rows)
        self._log_unreadable(RECORD_TABLE, len(rows) - len(decoded))
        return decoded

    def _decode_members(self, rows: tuple[Row, ...]) -> tuple[MemberRow, ...]:
        members = decode_member_rows(rows)
        self._log_unreadable(MEMBER_TABLE, len(rows) - len(members))
        return members

    def _log_unreadable(self, table: str, count: int) -> None:
        if count:
            detail = f"{table}: {count} rows"
            self._log.write(Event.ROW_UNREADABLE, detail=detail)
