"""Decides which kept jobs an entry owns, and what is stored of them.

A job is accepted when its record is stored, and shown as ended when that is
stored. An end of a run is stored before its agent lets the target forget it,
so whoever takes the job over finds it either here or there. It holds no
socket and no clock.
"""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.entry.kept.actions import AnswerCallers
from fulmarscale.entry.kept.actions import BeginJob
from fulmarscale.entry.kept.actions import ChangeTenure
from fulmarscale.entry.kept.actions import DropJob
from fulmarscale.entry.kept.actions import KeepOutcome
from fulmarscale.entry.kept.actions import LogDecision
from fulmarscale.entry.kept.actions import ScanRecords
from fulmarscale.entry.kept.actions import SettleEnds
from fulmarscale.entry.kept.kept_job import HeldEnd
from fulmarscale.entry.kept.kept_job import KeptJob
from fulmarscale.entry.kept.kept_job import number_of
from fulmarscale.entry.kept.ledger import Ledger
from fulmarscale.entry.kept.ledger import UNSETTLED
from fulmarscale.entry.kept.membership import Membership
from fulmarscale.entry.kept.record import decode_record
from fulmarscale.entry.kept.record import encode_row
from fulmarscale.entry.kept.record import JobRecord
from fulmarscale.entry.kept.record import KeptState
from fulmarscale.entry.kept.record import NotedEnd
from fulmarscale.entry.kept.record import record_key
from fulmarscale.entry.kept.record import SeenRecord
from fulmarscale.entry.kept.rows import CommitStatus
from fulmarscale.events import Event
from fulmarscale.runs.messages import EndReceipt

if TYPE_CHECKING:
    from fulmarscale.entry.kept.actions import KeeperAction
    from fulmarscale.entry.kept.ledger import BatchItem
    from fulmarscale.entry.kept.record import SeenMember
    from fulmarscale.entry.kept.rows import CommitAnswer
    from fulmarscale.entry.kept.rows import Row
    from fulmarscale.ids import EntryId
    from fulmarscale.runs.messages import KeptEnd
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import JobSpec
    from fulmarscale.runs.site_state import Queue

STATUS_S: Final = 150.0
"""How long the state of a job that has ended can be asked for.

The platform asks for 120 s (`status_s`); a quarter more for clocks.
"""

MOST_JOBS: Final = 5_000
"""Open jobs of one entry; further ones are refused.

At 10 kB a job they take 50 MB of the 200 MB of the smallest entry VM.
"""

JOIN_S: Final = 1.0
"""How long the first jobs wait for this entry's first lease.

Two calls to the store, of at most a second together when it is sound.
"""

SCAN_RETRY_S: Final = 0.5
"""Pause after a look through the records that failed."""


class Keeper:
    """The decisions of one entry about kept jobs."""

    def __init__(self, entry: EntryId) -> None:
        self._entry = entry
        self._membership = Membership(entry)
        self._ledger = Ledger()
        self._jobs: dict[JobId, KeptJob] = {}
        self._pending: dict[str, int] = {}
        self._is_active = False
        self._active_since = float("inf")
        self._is_owner = False
        self._is_store_sound = True
        self._must_scan = False
        self._scan_at = float("-inf")
        self._is_scanning = False
        self._actions: list[KeeperAction] = []

    @property
    def is_owner(self) -> bool:
        """Whether this entry may own jobs at present."""
        return self._is_owner

    @property
    def open_jobs(self) -> int:
        """Jobs that this entry owns and that have not ended."""
        return sum(job.is_open for job in self._jobs.values())

    def activate(self, now: float) -> list[KeeperAction]:
        """Begin to own kept jobs, as there are some."""
        if not self._is_active:
            self._is_active = True
            self._active_since = now
            self._log(Event.KEEPING_STARTED)
        return self._finish(now)

    def stored_state(self, job_id: JobId) -> KeptState | None:
        """Tell what is stored of a job, if this entry owns it."""
        job = self._jobs.get(job_id)
        if job is None or job.stored is None or not self._is_owner:
            return None
        return job.stored.state

    def pending_of(self, queue: str) -> int:
        """Count the accepted jobs of a queue that have not begun."""
        others = self._membership.pending_of(queue)
        return others + self._pending.get(queue, 0)

    def keep(
        self, job_id: JobId, queue: Queue, spec: JobSpec, now: float
    ) -> list[KeeperAction]:
        """Store a job that a caller hands in."""
        known = self._jobs.get(job_id)
        if known is not None:
            if known.stored is not None:
                self._answer(job_id, KeepOutcome.STORED)
            return self._finish(now)
        refusal = self._refusal(now)
        if refusal is not None:
            self._log(
                Event.JOB_NOT_KEPT,
                job=job_id,
                is_owner=self._is_owner,
                is_store_sound=self._is_store_sound,
                open_jobs=self.open_jobs,
            )
            self._answer(job_id, refusal)
            return self._finish(now)
        record = JobRecord(self._entry, queue, spec)
        job = KeptJob(job_id, record, 0, now)
        self._jobs[job_id] = job
        self._ledger.add(job)
        return self._finish(now)

    def cancel(self, job_id: JobId, now: float) -> list[KeeperAction]:
        """Cancel a job that this entry owns, at a caller's wish."""
        job = self._jobs.get(job_id)
        if job is None:
            self._answer_end(job_id, KeepOutcome.UNKNOWN)
            return self._finish(now)
        if job.is_open:
            self._actions.append(DropJob(job_id))
            job.close(KeptState.CANCELLED, now)
            self._ledger.add(job)
            self._log(Event.JOB_REVOKED, job=job_id)
        elif job.stored == job.record:
            self._answer_end(job_id, KeepOutcome.STORED)
        return self._finish(now)

    def close_job(
        self, job_id: JobId, state: KeptState, now: float
    ) -> list[KeeperAction]:
        """Store how a job has ended."""
        job = self._jobs.get(job_id)
        if job is not None and job.is_open:
            job.close(state, now)
            self._ledger.add(job)
        return self._finish(now)

    def renew_tenure(self, job_id: JobId, now: float) -> list[KeeperAction]:
        """Store that a job's tasks may be ordered once more."""
        job = self._jobs.get(job_id)
        if job is not None and job.is_open:
            job.renew_tenure(now)
            self._ledger.add(job)
        return self._finish(now)

    def take_end(
        self, agent: str, end: KeptEnd, now: float, *, is_counted: bool
    ) -> list[KeeperAction]:
        """Take in an end that an agent holds.

        :param agent: the agent's name.
        :param end: the end.
        :param now: the entry's time.
        :param is_counted: whether the task was waiting for just this end.
        """
        job = self._jobs.get(end.task.job_id)
        if job is None:
            # Another entry's, or none of a kept job.
            return self._finish(now)
        noted = NotedEnd(end.life, end.position)
        is_stored = job.noted.get(noted)
        if is_stored is None and is_counted and job.is_open:
            number = number_of(job.record.spec, end.task)
            job.note_end(agent, end, number)
            job.mark_dirty(now, is_urgent=False)
            self._ledger.add(job)
        elif is_stored is None:
            self._settle_stray(agent, job, end, now)
        elif is_stored:
            # The agent has connected anew since it was told.
            receipt = EndReceipt(end.life, end.position)
            self._actions.append(SettleEnds(agent, (receipt,)))
        return self._finish(now)

    def see_members(
        self, members: tuple[SeenMember, ...], now: float
    ) -> list[KeeperAction]:
        """Take in all entries' rows."""
        self._membership.see(members, now)
        return self._finish(now)

    def see_cancel(
        self, job_id: JobId, version: int, now: float
    ) -> list[KeeperAction]:
        """Take in that another entry cancelled a job.

        :param job_id: the job.
        :param version: the version of its record since then.
        :param now: the entry's time.
        """
        job = self._jobs.get(job_id)
        if job is not None and job.is_open and version > job.version:
            self._note_cancelled(job, version, now)
        return self._finish(now)

    def settle_batch(
        self, shard: str, number: int, answer: CommitAnswer, now: float
    ) -> list[KeeperAction]:
        """Take in the store's answer to a transaction."""
        self._is_store_sound = answer.status not in UNSETTLED
        batch = self._ledger.settle(shard, number, answer, now)
        for item in batch:
            if self._jobs.get(item.job.job_id) is not item.job:
                # It was given up meanwhile, or is another's.
                continue
            match answer.status:
                case CommitStatus.APPLIED:
                    self._note_stored(item, answer.version, now)
                case CommitStatus.CONFLICT:
                    self._note_conflict(item, answer.rows, now)
                case _:
                    self._note_refused(item, now)
        return self._finish(now)

    def settle_member(
        self, name: str, answer: CommitAnswer, now: float
    ) -> list[KeeperAction]:
        """Take in the store's answer to a write of an entry's row."""
        self._is_store_sound = answer.status not in UNSETTLED
        if self._membership.settle(name, answer, now):
            self._log(Event.OWNER_REMOVED, entry=name)
            self._must_scan = True
        return self._finish(now)

    def take_scan(
        self,
        records: tuple[SeenRecord, ...],
        members: tuple[SeenMember, ...],
        now: float,
    ) -> list[KeeperAction]:
        """Take over jobs whose owners are gone.

        :param records: all jobs' rows.
        :param members: all entries' rows, read after the jobs' rows.
        :param now: the entry's time.
        """
        self._is_scanning = False
        self._membership.see(members, now)
        live = {(seen.name, seen.member.incarnation) for seen in members}
        taken = 0
        for seen in records:
            owner = seen.record.owner
            is_live = (owner.name, owner.incarnation) in live
            if seen.job_id in self._jobs or not self._is_owner:
                continue
            if is_live and owner != self._entry:
                continue
            taken += 1
            self._take_over(seen, now)
        self._log(Event.RECORDS_SCANNED, records=len(records), taken=taken)
        return self._finish(now)

    def fail_scan(self, now: float) -> list[KeeperAction]:
        """Note that the records could not be read."""
        self._is_scanning = False
        self._must_scan = True
        self._scan_at = now + SCAN_RETRY_S
        return self._finish(now)

    def tick(self, pending: dict[str, int], now: float) -> list[KeeperAction]:
        """Note that time has passed.

        :param pending: own jobs of which no task has started, by queue.
        :param now: the entry's time.
        """
        self._pending = pending
        if not self._is_active:
            return self._finish(now)
        self._check_lease(now)
        if self._membership.has_inherited and self._is_settled:
            self._membership.note_taken_over()
        renewal = self._membership.renew(pending, now)
        if renewal is not None:
            self._actions.append(renewal)
        self._actions += self._membership.remove_expired(now)
        self._expire(now)
        return self._finish(now)

    @property
    def _is_settled(self) -> bool:
        """Whether all jobs that fall to this entry are its own."""
        is_scanned = not self._must_scan and not self._is_scanning
        return (
            self._is_owner
            and is_scanned
            and all(job.stored is not None for job in self._jobs.values())
        )

    def _refusal(self, now: float) -> KeepOutcome | None:
        """Tell what the caller of a new job is told if it can't be stored.

        With the store away an earlier attempt may have been stored by
        another entry, so nobody can say here that the job will not run.
        """
        is_joining = now - self._active_since < JOIN_S
        if not self._is_store_sound:
            return KeepOutcome.UNKNOWN
        if not self._is_owner and not is_joining:
            return KeepOutcome.UNKNOWN
        return KeepOutcome.REFUSED if self.open_jobs >= MOST_JOBS else None

    def _check_lease(self, now: float) -> None:
        holds = self._membership.holds_lease(now)
        if holds and not self._is_owner:
            self._is_owner = True
            self._must_scan = True
            self._log(Event.OWNERSHIP_GAINED)
        if holds or not self._is_owner:
            return
        self._is_owner = False
        self._log(Event.OWNERSHIP_LOST, jobs=len(self._jobs))
        for job in self._jobs.values():
            if job.is_open:
                self._actions.append(DropJob(job.job_id))
            self._answer(job.job_id, KeepOutcome.UNKNOWN)
            self._answer_end(job.job_id, KeepOutcome.UNKNOWN)
        self._jobs.clear()
        self._ledger.clear()

    def _take_over(self, seen: SeenRecord, now: float) -> None:
        record = msgspec.structs.replace(
            seen.record,
            owner=self._entry,
            tenure=seen.record.tenure + 1,
        )
        job = KeptJob(seen.job_id, record, seen.version, now)
        self._jobs[seen.job_id] = job
        job.noted = dict.fromkeys(record.ends, True)
        if not job.is_open:
            job.stored = seen.record
            job.is_dirty = False
            job.closed_at = now
            return
        self._ledger.add(job)
        self._log(
            Event.JOB_TAKEN_OVER,
            job=seen.job_id,
            owner=seen.record.owner.name,
            version=seen.version,
        )

    def _settle_stray(
        self, agent: str, job: KeptJob, end: KeptEnd, now: float
    ) -> None:
        """Release an end that no order of this entry is known for.

        The task may have been started again, so the end must not count.
        """
        if job.stored is None:
            # Not yet taken over: its owner decides.
            return
        is_cancelled = job.record.state is KeptState.CANCELLED
        if is_cancelled and job.stored.state is KeptState.OPEN:
            # Released when the cancel is stored: until then a new owner
            # may go on with the job.
            receipt = EndReceipt(end.life, end.position)
            job.held.append(HeldEnd(agent, receipt))
            job.mark_dirty(now, is_urgent=True)
            self._ledger.add(job)
            return
        self._log(
            Event.END_VOIDED,
            job=job.job_id,
            agent=agent,
            position=end.position,
            is_void=not is_cancelled,
        )
        receipt = EndReceipt(end.life, end.position, not is_cancelled)
        self._actions.append(SettleEnds(agent, (receipt,)))

    def _note_stored(self, item: BatchItem, version: int, now: float) -> None:
        job = item.job
        if item.record is None:
            self._jobs.pop(job.job_id, None)
            return
        stored = job.stored
        was_new = job.is_new
        job.version = version
        job.stored = item.record
        self._release(item.held, job)
        tenure = item.record.tenure
        if stored is None and job.is_open:
            self._actions.append(BeginJob(job.job_id, item.record))
        elif stored is not None and tenure != stored.tenure:
            self._actions.append(ChangeTenure(job.job_id, tenure))
        is_over = item.record.state is not KeptState.OPEN
        if was_new:
            self._answer(job.job_id, KeepOutcome.STORED)
        if is_over:
            self._answer_end(job.job_id, KeepOutcome.STORED)
        if was_new or is_over:
            self._log(
                Event.JOB_STORED,
                job=job.job_id,
                state=item.record.state.value,
                version=version,
                waited_s=round(now - job.dirty_at, 3),
            )

    def _release(self, held: tuple[HeldEnd, ...], job: KeptJob) -> None:
        """Tell agents that ends are stored."""
        by_agent: dict[str, list[EndReceipt]] = {}
        for end in held:
            receipt = end.receipt
            job.noted[NotedEnd(receipt.life, receipt.position)] = True
            by_agent.setdefault(end.agent, []).append(receipt)
        for agent, receipts in by_agent.items():
            self._actions.append(SettleEnds(agent, tuple(receipts)))

    def _note_conflict(
        self, item: BatchItem, rows: tuple[Row, ...], now: float
    ) -> None:
        job = item.job
        key = record_key(job.job_id)
        row = next((row for row in rows if row.name == key), None)
        found = 0 if row is None else row.version
        if found == item.expected_version:
            # Another record of the transaction was in the way.
            self._write_again(item, now)
            return
        if row is None:
            if item.record is not None:
                self._lose(job, "the row is gone", found)
            self._jobs.pop(job.job_id, None)
            return
        if item.record is not None and row.value == encode_row(item.record):
            # An earlier attempt of the same write took effect.
            self._note_stored(item, row.version, now)
            return
        self._take_row(item, row, now)

    def _take_row(self, item: BatchItem, row: Row, now: float) -> None:
        """Go on from a row that is not as this entry wrote it last."""
        job = item.job
        record = decode_record(row.value)
        is_own = record is not None and record.owner == self._entry
        if record is None or not is_own or job.is_new:
            self._give_up(job, record, row.version, now)
            return
        job.version = row.version
        if record.state is KeptState.CANCELLED:
            job.held = [*item.held, *job.held]
            self._note_cancelled(job, row.version, now)
            return
        self._write_again(item, now)

    def _give_up(
        self, job: KeptJob, record: JobRecord | None, version: int, now: float
    ) -> None:
        """Leave a job to the owner that its row names."""
        if not job.is_new:
            self._lose(job, "the row has changed", version)
            return
        # The caller's earlier attempt was stored.
        self._jobs.pop(job.job_id)
        self._answer(job.job_id, KeepOutcome.STORED)
        if record is not None and record.owner == self._entry:
            # By this entry, before it lost its lease.
            seen = SeenRecord(job.job_id, record, version)
            self._take_over(seen, now)

    def _lose(self, job: KeptJob, reason: str, version: int) -> None:
        self._log(
            Event.JOB_LOST, job=job.job_id, reason=reason, version=version
        )
        if job.is_open:
            self._actions.append(DropJob(job.job_id))
        self._answer_end(job.job_id, KeepOutcome.UNKNOWN)
        self._jobs.pop(job.job_id, None)

    def _note_refused(self, item: BatchItem, now: float) -> None:
        """Give up what was to be new, and write the rest again."""
        job = item.job
        if job.is_new:
            self._jobs.pop(job.job_id)
            self._log(
                Event.JOB_NOT_KEPT,
                job=job.job_id,
                is_owner=True,
                is_store_sound=False,
                open_jobs=self.open_jobs,
            )
            # This attempt was not stored; an earlier one may have been.
            self._answer(job.job_id, KeepOutcome.UNKNOWN)
            return
        self._write_again(item, now)

    def _write_again(self, item: BatchItem, now: float) -> None:
        job = item.job
        job.held = [*item.held, *job.held]
        job.mark_dirty(now, is_urgent=True)
        self._ledger.add(job)

    def _note_cancelled(self, job: KeptJob, version: int, now: float) -> None:
        self._actions.append(DropJob(job.job_id))
        self._log(Event.JOB_REVOKED, job=job.job_id, version=version)
        self._release(tuple(job.held), job)
        job.held = []
        job.close(KeptState.CANCELLED, now)
        job.version = version
        job.stored = job.record
        job.is_dirty = False
        self._answer_end(job.job_id, KeepOutcome.STORED)

    def _expire(self, now: float) -> None:
        for job in list(self._jobs.values()):
            if now - job.closed_at > STATUS_S and not job.is_expired:
                job.is_expired = True
                job.mark_dirty(now, is_urgent=False)
                self._ledger.add(job)

    def _answer(self, job_id: JobId, outcome: KeepOutcome) -> None:
        self._actions.append(AnswerCallers(job_id, outcome, False))

    def _answer_end(self, job_id: JobId, outcome: KeepOutcome) -> None:
        self._actions.append(AnswerCallers(job_id, outcome, True))

    def _finish(self, now: float) -> list[KeeperAction]:
        if self._is_owner:
            self._actions += self._ledger.flush(now)
        may_scan = self._is_owner and not self._is_scanning
        if self._must_scan and may_scan and now >= self._scan_at:
            self._must_scan = False
            self._is_scanning = True
            self._actions.append(ScanRecords())
        actions = self._actions
        self._actions = []
        return actions

    def _log(self, event: Event, **fields: Any) -> None:
        self._actions.append(LogDecision(event, fields))
