"""A small site whose entries keep jobs in a store, under virtual time."""

from __future__ import annotations

from typing import Any
from typing import Final

from features.support.fake_rows import FakeRows
from features.support.run_site import AgentNode
from features.support.run_site import EntryNode
from features.support.run_site import HOP_S
from features.support.run_site import QUEUE
from features.support.run_site import RunSite
from features.support.run_site import TASK
from features.support.run_site import TICK_S
from fulmarscale.entry.jobs.actions import CloseKeptJob
from fulmarscale.entry.jobs.actions import JobOutcome
from fulmarscale.entry.jobs.actions import RenewTenure
from fulmarscale.entry.jobs.actions import TakeKeptEnd
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
from fulmarscale.entry.kept.process import read_members
from fulmarscale.entry.kept.process import read_records
from fulmarscale.entry.kept.record import cancel_key
from fulmarscale.entry.kept.record import CANCEL_TABLE
from fulmarscale.entry.kept.record import decode_record
from fulmarscale.entry.kept.record import encode_row
from fulmarscale.entry.kept.record import JobRecord
from fulmarscale.entry.kept.record import KeptState
from fulmarscale.entry.kept.record import MEMBER_TABLE
from fulmarscale.entry.kept.record import record_key
from fulmarscale.entry.kept.record import RECORD_TABLE
from fulmarscale.entry.kept.rows import RowWrite
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import JobSpec
from fulmarscale.runs.model import RunEnd
from fulmarscale.runs.model import Step

FEED_S: Final = 0.2
"""How often an entry takes in what others wrote; the real feed is faster."""

STATES: Final = {
    JobOutcome.COMPLETED: KeptState.COMPLETED,
    JobOutcome.FAILED: KeptState.FAILED,
}


class KeptEntryNode(EntryNode):
    """An entry that keeps jobs."""

    def __init__(self, site: KeptSite, name: str, life: int) -> None:
        super().__init__(site, name, life)
        self._rows = site.rows
        self.keeper = Keeper(self.entry)
        self.kept: dict[str, KeepOutcome] = {}
        """What callers were told who handed a job in; STORED stays."""
        self.ended: dict[str, tuple[KeepOutcome, float]] = {}
        """What callers were told who cancelled a job, and when."""
        self._decide(self.keeper.activate(self._clock.now))
        self._keep_up()

    def perform(self, actions: list[Any]) -> None:
        """Carry out what the dispatcher decided."""
        super().perform(actions)
        for action in actions:
            match action:
                case TakeKeptEnd():
                    self._decide(
                        self.keeper.take_end(
                            action.agent,
                            action.end,
                            self._clock.now,
                            is_counted=action.is_counted,
                        )
                    )
                case RenewTenure():
                    self._decide(
                        self.keeper.renew_tenure(
                            action.job_id, self._clock.now
                        )
                    )
                case CloseKeptJob():
                    state = STATES[action.outcome]
                    self._decide(
                        self.keeper.close_job(
                            action.job_id, state, self._clock.now
                        )
                    )

    def keep(self, job_id: str, counts: tuple[int, ...], work_ms: int) -> None:
        """Hand in a job of steps that follow one another."""
        steps = tuple(
            Step(count, TASK, work_ms / 1000, after=(n - 1,) if n else ())
            for n, count in enumerate(counts)
        )
        spec = JobSpec(str(work_ms), steps, is_kept=True)
        self.do(
            lambda: self._decide(
                self.keeper.keep(JobId(job_id), QUEUE, spec, self._clock.now)
            )
        )

    def cancel_kept(self, job_id: str) -> None:
        """Cancel a job that this entry owns."""
        self.do(
            lambda: self._decide(
                self.keeper.cancel(JobId(job_id), self._clock.now)
            )
        )

    def cancel_elsewhere(self, job_id: str) -> None:
        """Cancel a job that another entry owns, as a caller wishes."""
        row = self._rows.rows[record_key(JobId(job_id))]
        record = decode_record(row.value)
        assert record is not None
        cancelled = encode_row(record.end_as(KeptState.CANCELLED))
        writes = (
            RowWrite(row.name, cancelled, row.version),
            RowWrite(cancel_key(JobId(job_id)), b"", 0),
        )
        self._rows.commit(self.name, writes, lambda answer: None)

    def _decide(self, actions: list[Any]) -> None:
        now = self._clock.now
        for action in actions:
            match action:
                case CommitBatch() | CommitMember():
                    self._commit(action)
                case ScanRecords():
                    self._clock.call_in(HOP_S, lambda: self.do(self._scan))
                case BeginJob():
                    self.perform(
                        self.dispatcher.begin_kept(
                            action.job_id,
                            action.record,
                            now,
                        )
                    )
                case ChangeTenure():
                    self.perform(
                        self.dispatcher.change_tenure(
                            action.job_id, action.tenure, now
                        )
                    )
                case DropJob():
                    self.perform(self.dispatcher.cancel(action.job_id, now))
                case SettleEnds():
                    self.perform(
                        self.dispatcher.settle_ends(
                            action.agent, action.receipts, now
                        )
                    )
                case AnswerCallers():
                    if action.is_end:
                        self.ended[action.job_id] = (action.outcome, now)
                    else:
                        _note(self.kept, action.job_id, action.outcome)
                case LogDecision():
                    self.logs.append(action)

    def _commit(self, action: CommitBatch | CommitMember) -> None:
        if isinstance(action, CommitMember):
            writes: tuple[Any, ...] = (action.write,)
        else:
            writes = action.writes

        def settle(answer: Any) -> None:
            now = self._clock.now
            if isinstance(action, CommitMember):
                self._decide(
                    self.keeper.settle_member(action.name, answer, now)
                )
                return
            self._decide(
                self.keeper.settle_batch(
                    action.shard, action.number, answer, now
                )
            )

        self._rows.commit(
            self.name, writes, lambda answer: self.do(lambda: settle(answer))
        )

    def _scan(self) -> None:
        now = self._clock.now
        if not self._rows.is_readable(self.name):
            self._decide(self.keeper.fail_scan(now))
            return
        records = tuple(read_records(self._rows.read_table(RECORD_TABLE)))
        members = read_members(self._rows.read_table(MEMBER_TABLE))
        self._decide(self.keeper.take_scan(records, members, now))

    def _keep_up(self) -> None:
        def tick() -> None:
            now = self._clock.now
            self._decide(self.keeper.tick(self.dispatcher.pending(), now))
            self._clock.call_in(TICK_S, lambda: self.do(tick))

        def feed() -> None:
            if self._rows.is_readable(self.name):
                self._read_feed()
            self._clock.call_in(FEED_S, lambda: self.do(feed))

        self._clock.call_in(TICK_S, lambda: self.do(tick))
        self._clock.call_in(TICK_S, lambda: self.do(feed))

    def _read_feed(self) -> None:
        now = self._clock.now
        members = read_members(self._rows.read_table(MEMBER_TABLE))
        self._decide(self.keeper.see_members(members, now))
        for row in self._rows.read_table(CANCEL_TABLE):
            job_id = JobId(row.name.key)
            self._decide(self.keeper.see_cancel(job_id, row.version, now))


class KeptSite(RunSite):
    """Entries, agents, targets and a store."""

    def __init__(self, entries: int, targets: int) -> None:
        self.rows: FakeRows
        super().__init__(entries, targets)

    def make_entry(self, name: str, life: int) -> EntryNode:
        """Start an entry."""
        if not hasattr(self, "rows"):
            self.rows = FakeRows(self.clock)
        return KeptEntryNode(self, name, life)

    def restart_entry(self, entry: KeptEntryNode, down_s: float) -> None:
        """Kill an entry and start it again without memory."""
        self.kill_entry(entry)

        def rise() -> None:
            self._life += 1
            fresh = self.make_entry(entry.name, self._life)
            assert isinstance(fresh, KeptEntryNode)
            fresh.kept.update(entry.kept)
            fresh.ended.update(entry.ended)
            self.entries[self.entries.index(entry)] = fresh
            fresh.perform(
                fresh.dispatcher.adopt_site(self.site, self.clock.now)
            )
            self.introduce(fresh)

        self.clock.call_in(down_s, rise)

    def restart_all(self, down_s: float) -> None:
        """Kill all entries and agents and start them again."""
        for entry in list(self.entries):
            assert isinstance(entry, KeptEntryNode)
            if entry.is_up:
                self.restart_entry(entry, down_s)
        for agent in list(self.agents):
            if agent.is_up:
                self.restart_agent(agent, down_s)

    def record_of(self, job_id: str) -> JobRecord | None:
        """Read what the store holds of a job."""
        row = self.rows.rows.get(record_key(JobId(job_id)))
        return None if row is None else decode_record(row.value)

    def outcomes(self) -> dict[str, KeepOutcome]:
        """Tell what callers were told by all entries.

        A job counts as refused if each attempt was refused.
        """
        found: dict[str, KeepOutcome] = {}
        for entry in self.entries:
            assert isinstance(entry, KeptEntryNode)
            for job_id, outcome in entry.kept.items():
                _note(found, job_id, outcome)
        return found

    def breaches(self) -> list[str]:
        """Check the promises on kept jobs against the history."""
        found = [f"twice at once: {pair}" for pair in self.overlaps()]
        found += [f"over capacity: {name}" for name in self.overfull()]
        done_tasks = {
            run.task for run in self.history if run.end is RunEnd.DONE
        }
        begun = {run.task.job_id for run in self.history}
        for job_id, outcome in sorted(self.outcomes().items()):
            if outcome is KeepOutcome.REFUSED and job_id in begun:
                found.append(f"refused and begun: {job_id}")
            record = self.record_of(job_id)
            if outcome is KeepOutcome.STORED and record is None:
                found.append(f"accepted and lost: {job_id}")
        for row in self.rows.read_table(RECORD_TABLE):
            record = decode_record(row.value)
            if record is None or record.state is not KeptState.COMPLETED:
                continue
            done = {t for t in done_tasks if t.job_id == row.name.key}
            if len(done) < len(record.ends):
                found.append(f"completed too early: {row.name.key}")
        return found + self._started_after_noted()

    def _started_after_noted(self) -> list[str]:
        """Find starts after an end that was taken note of, then or later."""
        found = []
        for target in self.targets:
            for noted in target.noted:
                for run in self.history:
                    if run.task != noted.task or run is noted:
                        continue
                    if run.began_at > (noted.ended_at or 0.0):
                        found.append(f"started after its end: {run.task}")
        return found


def _note(
    told: dict[str, KeepOutcome], job_id: str, outcome: KeepOutcome
) -> None:
    """Note what a caller was told; what tells most stays."""
    order = (KeepOutcome.REFUSED, KeepOutcome.UNKNOWN, KeepOutcome.STORED)
    known = told.get(job_id, KeepOutcome.REFUSED)
    told[job_id] = max(known, outcome, key=order.index)


def is_over(agent: AgentNode) -> bool:
    """Tell whether an agent holds nothing."""
    return not agent.guard.runs and not agent.guard.held_ends
