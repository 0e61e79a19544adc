"""Connects the keeper to the store, callers and the dispatcher."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
import asyncio
from contextlib import suppress
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.desk import KeptJobs
from fulmarscale.entry.kept.actions import AnswerCallers
from fulmarscale.entry.kept.actions import BeginJob
from fulmarscale.entry.kept.actions import ChangeTenure
from fulmarscale.entry.kept.actions import CommitBatch
from fulmarscale.entry.kept.actions import CommitMember
from fulmarscale.entry.kept.actions import DropJob
from fulmarscale.entry.kept.actions import KeepOutcome
from fulmarscale.entry.kept.actions import LogDecision
from fulmarscale.entry.kept.actions import ScanRecords
from fulmarscale.entry.kept.actions import SettleEnds
from fulmarscale.entry.kept.keeper import Keeper
from fulmarscale.entry.kept.ledger import UNSETTLED
from fulmarscale.entry.kept.record import cancel_key
from fulmarscale.entry.kept.record import decode_member
from fulmarscale.entry.kept.record import decode_record
from fulmarscale.entry.kept.record import encode_row
from fulmarscale.entry.kept.record import KeptState
from fulmarscale.entry.kept.record import MEMBER_TABLE
from fulmarscale.entry.kept.record import record_key
from fulmarscale.entry.kept.record import RECORD_TABLE
from fulmarscale.entry.kept.record import SeenMember
from fulmarscale.entry.kept.record import SeenRecord
from fulmarscale.entry.kept.rows import CommitStatus
from fulmarscale.entry.kept.rows import RowWrite
from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event
from fulmarscale.runs.clock import steady_s
from fulmarscale.runs.driver import Driver
from fulmarscale.runs.model import JobId

if TYPE_CHECKING:
    from fulmarscale.entry.kept.actions import KeeperAction
    from fulmarscale.entry.kept.record import JobRecord
    from fulmarscale.entry.kept.rows import Row
    from fulmarscale.entry.kept.rows import RowTable
    from fulmarscale.ids import EntryId
    from fulmarscale.logs import EventLog
    from fulmarscale.runs.messages import EndReceipt
    from fulmarscale.runs.messages import KeptEnd
    from fulmarscale.runs.model import JobSpec
    from fulmarscale.runs.site_state import Queue

TICK_S: Final = 0.05

LOOK_PAUSE_S: Final = 1.0
"""Pause before the store is asked again whether jobs are kept there."""


CANCEL_ATTEMPTS: Final = 5
"""Conflicts with the owner's writes after which a cancel is given up.

An owner writes a job's row a few times in all.
"""

MEMBERS_WAIT_S: Final = 1.0
"""How long a count waits for the other entries' first counts."""

END_WAIT_S: Final = 0.06
"""How long a question for the state of an open job waits for its end.

Callers ask when they expect the end, and again much later; the report of an
end and its transaction take 10 to 50 ms.
"""


class JobRunner(ABC):
    """Runs the jobs that a keeper stores."""

    @abstractmethod
    def begin_kept(self, job_id: JobId, record: JobRecord) -> None:
        """Run a stored job."""

    @abstractmethod
    def change_tenure(self, job_id: JobId, tenure: int) -> None:
        """Go on with a job under a new tenure, which is stored."""

    @abstractmethod
    def drop_kept(self, job_id: JobId) -> None:
        """Stop what runs of a job."""

    @abstractmethod
    def settle_ends(
        self, agent: str, receipts: tuple[EndReceipt, ...]
    ) -> None:
        """Tell an agent what became of ends that it holds."""

    @abstractmethod
    def pending(self) -> dict[str, int]:
        """Count kept jobs of which no task has begun, by queue."""

    @abstractmethod
    def note_kept_jobs(self, *, is_any: bool) -> None:
        """Note whether any jobs are kept at all."""


class KeeperProcess(Driver, KeptJobs):
    """One entry's kept jobs, without HTTP."""

    def __init__(
        self, entry: EntryId, rows: RowTable, runner: JobRunner, log: EventLog
    ) -> None:
        super().__init__(log)
        self._keeper = Keeper(entry)
        self._rows = rows
        self._runner = runner
        self._activated = asyncio.Event()
        self._members_seen = asyncio.Event()
        self._looked_at = float("-inf")
        self._removing: set[str] = set()
        """Cancelled jobs whose rows are being removed."""
        self._keeping: dict[JobId, list[asyncio.Future[KeepOutcome]]] = {}
        self._ending: dict[JobId, list[asyncio.Future[KeepOutcome]]] = {}
        """Those who wait for a job's end, or for its cancelling."""

    @property
    def keeper(self) -> Keeper:
        """The decisions."""
        return self._keeper

    @property
    def activated(self) -> asyncio.Event:
        """Set once there are kept jobs, as far as known here."""
        return self._activated

    def start(self) -> None:
        """Begin to decide."""
        self._spawn(self._tick_forever())
        self._spawn(self._look_for_jobs())

    async def close(self) -> None:
        """End all work."""
        await self._end_tasks()

    def activate(self) -> None:
        """Begin to own kept jobs, as there are some."""
        if not self._activated.is_set():
            self._activated.set()
            self._runner.note_kept_jobs(is_any=True)
            self._decide(self._keeper.activate)
            self._tick()

    def keep(
        self, job_id: JobId, queue: Queue, spec: JobSpec
    ) -> asyncio.Future[KeepOutcome]:
        """Store a job that a caller hands in."""
        self.activate()
        future: asyncio.Future[KeepOutcome] = asyncio.Future()
        self._keeping.setdefault(job_id, []).append(future)
        self._decide(self._keeper.keep, job_id, queue, spec)
        return future

    async def cancel(self, job_id: JobId) -> bool:
        """Cancel a job, whoever owns it.

        :returns: whether there is such a job.
        :raises FulmarError: STORE_UNAVAILABLE; it may have been cancelled.
        """
        if self._keeper.stored_state(job_id) is None:
            return await self._cancel_elsewhere(job_id)
        future: asyncio.Future[KeepOutcome] = asyncio.Future()
        self._ending.setdefault(job_id, []).append(future)
        self._decide(self._keeper.cancel, job_id)
        if await future is KeepOutcome.STORED:
            return True
        return await self._cancel_elsewhere(job_id)

    def owns(self, job_id: JobId) -> bool:
        """Tell whether a job is stored and this entry's to run."""
        return self._keeper.stored_state(job_id) is not None

    async def state_of(self, job_id: JobId) -> KeptState | None:
        """Tell what is stored of a job.

        :returns: none if there is no such job.
        :raises FulmarError: STORE_UNAVAILABLE.
        """
        if self._keeper.stored_state(job_id) is KeptState.OPEN:
            await self._wait_for_end(job_id)
        known = self._keeper.stored_state(job_id)
        if known is not None:
            return known
        record = await self._read_record(job_id)
        return None if record is None else record.state

    async def pending_of(self, queue: str) -> int:
        """Count the accepted jobs of a queue that have not begun.

        Without kept jobs it is 0, which the store is asked for: an entry
        that has seen none may have missed those of others.
        """
        is_old = steady_s() - self._looked_at > LOOK_PAUSE_S
        if not self._activated.is_set() and is_old:
            await self._look()
        if self._activated.is_set():
            with suppress(TimeoutError):
                async with asyncio.timeout(MEMBERS_WAIT_S):
                    await self._members_seen.wait()
        return self._keeper.pending_of(queue)

    def take_end(self, agent: str, end: KeptEnd, *, is_counted: bool) -> None:
        """Take in an end that an agent holds."""

        def take(now: float) -> list[KeeperAction]:
            return self._keeper.take_end(
                agent, end, now, is_counted=is_counted
            )

        self._decide(take)

    def renew_tenure(self, job_id: JobId) -> None:
        """Store that a job's tasks may be ordered once more."""
        self._decide(self._keeper.renew_tenure, job_id)

    def close_job(self, job_id: JobId, state: KeptState) -> None:
        """Store how a job has ended."""
        self._decide(self._keeper.close_job, job_id, state)

    def see_members(self, rows: tuple[Row, ...]) -> None:
        """Take in all entries' rows."""
        self._members_seen.set()
        self._decide(self._keeper.see_members, self._read_members(rows))

    def see_cancels(self, rows: tuple[Row, ...]) -> None:
        """Take in the rows of jobs that other entries cancelled."""
        for row in rows:
            job_id = JobId(row.name.key)
            if self._keeper.stored_state(job_id) is None:
                continue
            self._decide(self._keeper.see_cancel, job_id, row.version)
            if row.name.key not in self._removing:
                self._removing.add(row.name.key)
                self._spawn(self._remove_cancel(row))

    def _tick(self) -> None:
        self._decide(self._keeper.tick, self._runner.pending())

    async def _tick_forever(self) -> None:
        while True:
            self._tick()
            await asyncio.sleep(TICK_S)

    async def _look_for_jobs(self) -> None:
        """Ask the store until it tells whether there are kept jobs."""
        while not self._activated.is_set() and not await self._look():
            await asyncio.sleep(LOOK_PAUSE_S)

    async def _look(self) -> bool:
        """Ask the store whether there are kept jobs.

        :returns: whether it answered.
        """
        try:
            is_any = bool(await self._rows.list_parts(RECORD_TABLE))
        except FulmarError as error:
            self._log.write(
                Event.STORE_LOST, table=RECORD_TABLE, detail=error.detail
            )
            return False
        self._looked_at = steady_s()
        if is_any:
            self.activate()
        elif not self._activated.is_set():
            self._runner.note_kept_jobs(is_any=False)
        return True

    async def _read_record(self, job_id: JobId) -> JobRecord | None:
        """Read a job's row; one that is there shows that jobs are kept."""
        row = await self._rows.read_row(record_key(job_id))
        if row is None:
            return None
        self.activate()
        return self._decode(row)

    def _perform(self, actions: list[KeeperAction]) -> None:
        for action in actions:
            match action:
                case CommitBatch():
                    self._spawn(self._commit(action))
                case CommitMember():
                    self._spawn(self._commit_member(action))
                case ScanRecords():
                    self._spawn(self._scan())
                case BeginJob():
                    self._runner.begin_kept(action.job_id, action.record)
                case ChangeTenure():
                    self._runner.change_tenure(action.job_id, action.tenure)
                case DropJob():
                    self._runner.drop_kept(action.job_id)
                case SettleEnds():
                    self._runner.settle_ends(action.agent, action.receipts)
                case AnswerCallers():
                    self._answer(action)
                case LogDecision():
                    self._log.write(action.event, **action.fields)

    def _answer(self, action: AnswerCallers) -> None:
        waiting = self._ending if action.is_end else self._keeping
        for future in waiting.pop(action.job_id, []):
            if not future.done():
                future.set_result(action.outcome)

    async def _wait_for_end(self, job_id: JobId) -> None:
        """Wait for a moment whether a job ends."""
        future: asyncio.Future[KeepOutcome] = asyncio.Future()
        self._ending.setdefault(job_id, []).append(future)
        await asyncio.wait((future,), timeout=END_WAIT_S)
        waiting = self._ending.get(job_id, [])
        if future in waiting:
            waiting.remove(future)
        if not waiting:
            self._ending.pop(job_id, None)

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
            self._keeper.settle_batch, action.shard, action.number, answer
        )

    async def _commit_member(self, action: CommitMember) -> None:
        answer = await self._rows.commit((action.write,))
        if answer.status is not CommitStatus.APPLIED:
            self._log.write(
                Event.COMMIT_FAILED,
                entry=action.name,
                status=answer.status.value,
            )
        self._decide(self._keeper.settle_member, action.name, answer)
        self._tick()

    async def _scan(self) -> None:
        """Read all records, and only then who may own them."""
        records: list[SeenRecord] = []
        try:
            for part in await self._rows.list_parts(RECORD_TABLE):
                rows = await self._rows.read_part(RECORD_TABLE, part)
                found = read_records(rows)
                records += found
                self._note_unreadable(RECORD_TABLE, len(rows) - len(found))
            rows = await self._rows.read_part(MEMBER_TABLE, "")
        except FulmarError as error:
            self._log.write(Event.SCAN_FAILED, detail=error.detail)
            self._decide(self._keeper.fail_scan)
            return
        members = self._read_members(rows)
        self._decide(self._keeper.take_scan, tuple(records), members)

    def _read_members(self, rows: tuple[Row, ...]) -> tuple[SeenMember, ...]:
        members = read_members(rows)
        self._note_unreadable(MEMBER_TABLE, len(rows) - len(members))
        return members

    def _note_unreadable(self, table: str, count: int) -> None:
        if count:
            detail = f"{table}: {count} rows"
            self._log.write(Event.ROW_UNREADABLE, detail=detail)

    async def _cancel_elsewhere(self, job_id: JobId) -> bool:
        """Cancel a job that another entry owns, or none.

        The owner may be writing the same row; each attempt reads it anew.
        """
        for _ in range(CANCEL_ATTEMPTS):
            row = await self._rows.read_row(record_key(job_id))
            record = None if row is None else self._decode(row)
            if row is None or record is None:
                return False
            self.activate()
            if record.state is not KeptState.OPEN:
                return True
            if await self._write_cancel(row, record):
                self._log.write(
                    Event.JOB_REVOKED, job=job_id, owner=record.owner.name
                )
                return True
        detail = f"cancelling: {CANCEL_ATTEMPTS} conflicts"
        raise FulmarError(ResultCode.STORE_UNAVAILABLE, detail)

    async def _write_cancel(self, row: Row, record: JobRecord) -> bool:
        """Store that a job is cancelled.

        A second row tells the owner, who follows that table.

        :returns: false if the job's row has changed meanwhile.
        :raises FulmarError: STORE_UNAVAILABLE; it may have been cancelled.
        """
        cancelled = record.end_as(KeptState.CANCELLED)
        writes = (
            RowWrite(row.name, encode_row(cancelled), row.version),
            RowWrite(cancel_key(JobId(row.name.key)), b"", 0),
        )
        answer = await self._rows.commit(writes)
        if answer.status in UNSETTLED:
            detail = f"cancelling: {answer.status.value}"
            raise FulmarError(ResultCode.STORE_UNAVAILABLE, detail)
        return answer.status is CommitStatus.APPLIED

    def _decode(self, row: Row) -> JobRecord | None:
        """Read a job's row; one that can't be read is noted."""
        record = decode_record(row.value)
        if record is None:
            self._log.write(Event.ROW_UNREADABLE, detail=row.name.key)
        return record

    async def _remove_cancel(self, row: Row) -> None:
        """Remove the row of a cancelled job that its owner has seen.

        If that fails the row stays; it does no harm beyond its room.
        """
        answer = await self._rows.commit(
            (RowWrite(row.name, None, row.version),)
        )
        self._removing.discard(row.name.key)
        if answer.status is not CommitStatus.APPLIED:
            self._log.write(
                Event.COMMIT_FAILED,
                row=row.name.key,
                status=answer.status.value,
            )


def read_members(rows: tuple[Row, ...]) -> tuple[SeenMember, ...]:
    """Read entries' rows; those that can't be read name no entry."""
    found = []
    for row in rows:
        member = decode_member(row.value)
        if member is not None:
            found.append(SeenMember(row.name.key, member, row.version))
    return tuple(found)


def read_records(rows: tuple[Row, ...]) -> list[SeenRecord]:
    """Read jobs' rows; those that can't be read are no jobs."""
    found = []
    for row in rows:
        record = decode_record(row.value)
        if record is not None:
            job_id = JobId(row.name.key)
            found.append(SeenRecord(job_id, record, row.version))
    return found
