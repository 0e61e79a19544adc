"""Virtual site whose entries run durable jobs out of a shared row store.

Entries run the real dispatcher and the real manager of durable jobs. The
store is a fake. Targets record their runs themselves, so that the
guarantees are checked independently of the code under test.
"""

from __future__ import annotations

from collections import Counter
from typing import Any
from typing import Final

from features.support.fake_row_store import FakeRowStore
from features.support.run_site import AgentNode
from features.support.run_site import EntryNode
from features.support.run_site import HOP_DELAY_S
from features.support.run_site import QUEUE
from features.support.run_site import RunSite
from features.support.run_site import TASK
from features.support.run_site import TICK_S
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
from fulmarscale.entry.durable.manager import DurableJobManager
from fulmarscale.entry.durable.record import cancel_key
from fulmarscale.entry.durable.record import CANCEL_TABLE
from fulmarscale.entry.durable.record import decode_record
from fulmarscale.entry.durable.record import DurableJobRecord
from fulmarscale.entry.durable.record import DurableJobState
from fulmarscale.entry.durable.record import encode_row
from fulmarscale.entry.durable.record import MEMBER_TABLE
from fulmarscale.entry.durable.record import record_key
from fulmarscale.entry.durable.record import RECORD_TABLE
from fulmarscale.entry.durable.row_decoding import decode_job_rows
from fulmarscale.entry.durable.row_decoding import decode_member_rows
from fulmarscale.entry.durable.rows import RowWrite
from fulmarscale.entry.jobs.actions import AdvanceOwnerEpoch
from fulmarscale.entry.jobs.actions import CloseDurableJob
from fulmarscale.entry.jobs.actions import JobOutcome
from fulmarscale.entry.jobs.actions import StoreCompletion
from fulmarscale.errors import ResultCode
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import JobSpec
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import RunOutcome
from fulmarscale.runs.model import Step

CHANGE_POLL_S: Final = 0.2
"""Time between reads of rows that other entries wrote.

The change feed of the real store is faster.
"""

STATE_BY_OUTCOME: Final = {
    JobOutcome.COMPLETED: DurableJobState.COMPLETED,
    JobOutcome.FAILED: DurableJobState.FAILED,
}
"""State to store for each outcome that the dispatcher reports."""


class DurableEntryNode(EntryNode):
    """Entry process that stores durable jobs and runs those that it owns.

    :param site: the site that the entry belongs to.
    :param name: name of the entry; it stays the same over restarts.
    :param incarnation: incarnation of this process.
    """

    def __init__(self, site: DurableSite, name: str, incarnation: int) -> None:
        super().__init__(site, name, incarnation)
        self._rows = site.rows
        self.manager = DurableJobManager(self.entry)
        self.submit_outcomes: dict[str, StorageOutcome] = {}
        """Most definite outcome returned to submitters of each job."""
        self.cancel_outcomes: dict[str, tuple[StorageOutcome, float]] = {}
        """Last outcome returned to cancellers of each job, and its time."""
        self._perform_storage(self.manager.activate(self._clock.now))
        self._start_timers()

    def perform(self, actions: list[Any]) -> None:
        """Perform actions of the dispatcher, also those on durable jobs."""
        super().perform(actions)
        for action in actions:
            match action:
                case StoreCompletion():
                    self._perform_storage(
                        self.manager.process_completion(
                            action.agent,
                            action.completion,
                            self._clock.now,
                            is_counted=action.is_counted,
                        )
                    )
                case AdvanceOwnerEpoch():
                    self._perform_storage(
                        self.manager.advance_owner_epoch(
                            action.job_id, action.crashes, self._clock.now
                        )
                    )
                case CloseDurableJob():
                    state = STATE_BY_OUTCOME[action.outcome]
                    self._perform_storage(
                        self.manager.finalize_job(
                            action.job_id, state, action.code, self._clock.now
                        )
                    )

    def submit_durable(
        self,
        job_id: str,
        task_counts: tuple[int, ...],
        work_ms: int,
        last_label: str = "",
        last_demand: Resources = TASK,
    ) -> None:
        """Submit a durable job whose steps run one after another.

        :param job_id: id of the job.
        :param task_counts: number of tasks of each step.
        :param work_ms: work of each task.
        :param last_label: label that the last step needs; empty for none.
        :param last_demand: demand of each task of the last step.
        """
        last = len(task_counts) - 1
        steps = tuple(
            Step(
                count,
                last_demand if n == last else TASK,
                work_ms / 1000,
                after=(n - 1,) if n else (),
                required_label=last_label if n == last else "",
            )
            for n, count in enumerate(task_counts)
        )
        spec = JobSpec(str(work_ms), steps, is_durable=True)
        self._site.task_counts[job_id] = sum(task_counts)
        self.call_or_defer(
            lambda: self._perform_storage(
                self.manager.submit_durable(
                    JobId(job_id), QUEUE, spec, self._clock.now
                )
            )
        )

    def cancel_durable(self, job_id: str) -> None:
        """Cancel a durable job that this entry owns."""
        self.call_or_defer(
            lambda: self._perform_storage(
                self.manager.cancel(JobId(job_id), self._clock.now)
            )
        )

    def cancel_through_store(self, job_id: str) -> None:
        """Cancel a job that another entry owns, by writing to the store."""
        row = self._rows.rows[record_key(JobId(job_id))]
        record = decode_record(row.value)
        assert record is not None
        cancelled = encode_row(record.ended_as(DurableJobState.CANCELLED))
        writes = (
            RowWrite(row.row_key, cancelled, row.version),
            RowWrite(cancel_key(JobId(job_id)), b"", 0),
        )
        self._rows.commit(self.name, writes, lambda answer: None)

    def _perform_storage(self, actions: list[Any]) -> None:
        """Perform actions of the manager of durable jobs."""
        now = self._clock.now
        for action in actions:
            match action:
                case CommitBatch() | CommitMember():
                    self._commit(action)
                case ScanRecords():
                    self._clock.call_in(
                        HOP_DELAY_S, lambda: self.call_or_defer(self._scan)
                    )
                case StartJob():
                    self.perform(
                        self.dispatcher.start_durable_job(
                            action.job_id,
                            action.record,
                            now,
                        )
                    )
                case ChangeOwnerEpoch():
                    self.perform(
                        self.dispatcher.change_owner_epoch(
                            action.job_id, action.owner_epoch, now
                        )
                    )
                case StopJob():
                    self.perform(
                        self.dispatcher.remove_job(action.job_id, now)
                    )
                case AcknowledgeCompletions():
                    self.perform(
                        self.dispatcher.acknowledge_completions(
                            action.agent, action.acks, now
                        )
                    )
                case ReviewCompletions():
                    self.perform(self.dispatcher.review_completions(now))
                case AnswerCallers():
                    if action.is_for_end_waiters:
                        self.cancel_outcomes[action.job_id] = (
                            action.outcome,
                            now,
                        )
                    else:
                        _record_outcome(
                            self.submit_outcomes, action.job_id, action.outcome
                        )
                case LogDurableDecision():
                    self.logs.append(action)

    def _commit(self, action: CommitBatch | CommitMember) -> None:
        """Send a transaction to the store and handle its answer."""
        if isinstance(action, CommitMember):
            writes: tuple[Any, ...] = (action.write,)
        else:
            writes = action.writes

        def handle_answer(answer: Any) -> None:
            now = self._clock.now
            if isinstance(action, CommitMember):
                self._perform_storage(
                    self.manager.resolve_member_write(action.name, answer, now)
                )
                return
            self._perform_storage(
                self.manager.resolve_batch(
                    action.shard, action.attempt_number, answer, now
                )
            )

        self._rows.commit(
            self.name,
            writes,
            lambda answer: self.call_or_defer(lambda: handle_answer(answer)),
        )

    def _scan(self) -> None:
        """Read all records and members, as after a start."""
        now = self._clock.now
        if not self._rows.is_readable(self.name):
            self._perform_storage(self.manager.fail_scan(now))
            return
        records = tuple(decode_job_rows(self._rows.read_table(RECORD_TABLE)))
        members = decode_member_rows(self._rows.read_table(MEMBER_TABLE))
        self._perform_storage(self.manager.process_scan(records, members, now))

    def _start_timers(self) -> None:
        """Start the timers of the manager and of reads from the store."""

        def tick() -> None:
            now = self._clock.now
            self._perform_storage(
                self.manager.tick(self.dispatcher.pending(), now)
            )
            self._clock.call_in(TICK_S, lambda: self.call_or_defer(tick))

        def poll_changes() -> None:
            if self._rows.is_readable(self.name):
                self._read_changes()
            self._clock.call_in(
                CHANGE_POLL_S, lambda: self.call_or_defer(poll_changes)
            )

        self._clock.call_in(TICK_S, lambda: self.call_or_defer(tick))
        self._clock.call_in(TICK_S, lambda: self.call_or_defer(poll_changes))

    def _read_changes(self) -> None:
        """Update the manager with members and cancellations in the store."""
        now = self._clock.now
        members = decode_member_rows(self._rows.read_table(MEMBER_TABLE))
        self._perform_storage(self.manager.update_members(members, now))
        for row in self._rows.read_table(CANCEL_TABLE):
            job_id = JobId(row.row_key.key)
            self._perform_storage(
                self.manager.apply_cancellation(job_id, row.version, now)
            )


class DurableSite(RunSite):
    """Entries, agents, targets and a row store.

    :param entries: number of entries.
    :param targets: number of targets, each with an agent.
    """

    def __init__(self, entries: int, targets: int) -> None:
        self.rows: FakeRowStore
        self.task_counts: dict[str, int] = {}
        """Number of tasks of each job that was submitted."""
        super().__init__(entries, targets)

    def make_entry(self, name: str, incarnation: int) -> EntryNode:
        """Start an entry; the first one creates the store."""
        if not hasattr(self, "rows"):
            self.rows = FakeRowStore(self.clock)
        return DurableEntryNode(self, name, incarnation)

    def restart_entry(self, entry: DurableEntryNode, down_s: float) -> None:
        """Kill an entry and start a new process of that name.

        Only the recorded outcomes of calls are carried over.
        """
        self.kill_entry(entry)

        def start_again() -> None:
            self._last_incarnation += 1
            new_entry = self.make_entry(entry.name, self._last_incarnation)
            assert isinstance(new_entry, DurableEntryNode)
            new_entry.submit_outcomes.update(entry.submit_outcomes)
            new_entry.cancel_outcomes.update(entry.cancel_outcomes)
            self.entries[self.entries.index(entry)] = new_entry
            new_entry.perform(
                new_entry.dispatcher.adopt_site_config(
                    self.site_config, self.clock.now
                )
            )
            self.report_agents(new_entry)

        self.clock.call_in(down_s, start_again)

    def restart_all(self, down_s: float) -> None:
        """Kill all entries and agents and start new processes."""
        for entry in list(self.entries):
            assert isinstance(entry, DurableEntryNode)
            if entry.is_up:
                self.restart_entry(entry, down_s)
        for agent in list(self.agents):
            if agent.is_up:
                self.restart_agent(agent, down_s)

    def record_of(self, job_id: str) -> DurableJobRecord | None:
        """Return the stored record of a job; none without one."""
        row = self.rows.rows.get(record_key(JobId(job_id)))
        return None if row is None else decode_record(row.value)

    def submission_outcomes(self) -> dict[str, StorageOutcome]:
        """Return the outcome of each submission over all entries.

        A job counts as rejected only if every attempt was rejected.
        """
        outcomes: dict[str, StorageOutcome] = {}
        for entry in self.entries:
            assert isinstance(entry, DurableEntryNode)
            for job_id, outcome in entry.submit_outcomes.items():
                _record_outcome(outcomes, job_id, outcome)
        return outcomes

    def violations(self) -> list[str]:
        """Return violations of the guarantees on durable jobs.

        A task never runs twice at once and targets stay within capacity. A
        rejected job never starts, an accepted one is never lost, a job is
        only completed once all its tasks are done, and it only fails for
        lack of attempts once they are used up.
        """
        descriptions = [
            f"concurrent runs of one task: {pair}"
            for pair in self.concurrent_runs()
        ]
        descriptions += [
            f"target over capacity: {name}"
            for name in self.targets_over_capacity()
        ]
        descriptions += self.tasks_over_budget()
        done_tasks = {
            run.task for run in self.history if run.outcome is RunOutcome.DONE
        }
        started_jobs = {run.task.job_id for run in self.history}
        for job_id, outcome in sorted(self.submission_outcomes().items()):
            if outcome is StorageOutcome.REFUSED and job_id in started_jobs:
                descriptions.append(f"job rejected but started: {job_id}")
            record = self.record_of(job_id)
            if outcome is StorageOutcome.STORED and record is None:
                descriptions.append(f"job accepted but not stored: {job_id}")
        for row in self.rows.read_table(RECORD_TABLE):
            record = decode_record(row.value)
            if record is None or record.state is not DurableJobState.COMPLETED:
                continue
            done = {t for t in done_tasks if t.job_id == row.row_key.key}
            if len(done) < self.task_counts[row.row_key.key]:
                descriptions.append(
                    f"job completed before all its tasks: {row.row_key.key}"
                )
        descriptions += self._failed_too_early()
        return descriptions + self._started_after_completion()

    def _failed_too_early(self) -> list[str]:
        """Return jobs that are failed for attempts that they have left."""
        failed_runs = Counter(
            run.task
            for run in self.history
            if run.outcome is RunOutcome.FAILED
        )
        most = Counter[str]()
        for task, count in failed_runs.items():
            most[task.job_id] = max(most[task.job_id], count)
        return [
            f"job failed after {most[row.row_key.key]} failed runs of a task:"
            f" {row.row_key.key}"
            for row in self.rows.read_table(RECORD_TABLE)
            if (record := decode_record(row.value)) is not None
            and record.code == ResultCode.ATTEMPTS_USED_UP
            and most[row.row_key.key] < record.queue.max_attempts
        ]

    def _started_after_completion(self) -> list[str]:
        """Return runs started after an acknowledged completion of their task.

        What counts is when that run ended, even if its completion was only
        acknowledged later.
        """
        descriptions = []
        for target in self.targets:
            for completed in target.acknowledged:
                for run in self.history:
                    if run.task != completed.task or run is completed:
                        continue
                    if run.started_at > (completed.ended_at or 0.0):
                        descriptions.append(
                            f"run started after its task completed: {run.task}"
                        )
        return descriptions


def _record_outcome(
    outcomes: dict[str, StorageOutcome], job_id: str, outcome: StorageOutcome
) -> None:
    """Record an outcome unless a more definite one is recorded."""
    precedence = (
        StorageOutcome.REFUSED,
        StorageOutcome.UNKNOWN,
        StorageOutcome.STORED,
    )
    recorded = outcomes.get(job_id, StorageOutcome.REFUSED)
    outcomes[job_id] = max(recorded, outcome, key=precedence.index)


def is_idle(agent: AgentNode) -> bool:
    """Return whether an agent has no runs and no pending completions."""
    return not agent.guard.run_count and not agent.guard.unacknowledged_count
