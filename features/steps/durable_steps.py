"""Steps that test durable jobs under virtual time."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec

from features.support.durable_chaos import play_crashing_seed
from features.support.durable_chaos import play_durable_seed
from features.support.durable_chaos import play_failing_seed
from features.support.durable_chaos import play_restart_seed
from features.support.durable_site import DurableSite
from features.support.durable_site import is_idle
from features.support.fake_row_store import StoreMode
from features.support.run_site import HOP_DELAY_S
from features.support.run_site import QUEUE
from features.support.run_site import TASK
from fulmarscale.entry.durable.actions import CommitBatch
from fulmarscale.entry.durable.actions import CommitMember
from fulmarscale.entry.durable.actions import ScanRecords
from fulmarscale.entry.durable.actions import StartJob
from fulmarscale.entry.durable.actions import StorageOutcome
from fulmarscale.entry.durable.manager import DurableJobManager
from fulmarscale.entry.durable.record import DurableJobRecord
from fulmarscale.entry.durable.record import DurableJobState
from fulmarscale.entry.durable.record import encode_row
from fulmarscale.entry.durable.record import JobRow
from fulmarscale.entry.durable.record import MemberRecord
from fulmarscale.entry.durable.record import MemberRow
from fulmarscale.entry.durable.record import record_key
from fulmarscale.entry.durable.record import RECORD_TABLE
from fulmarscale.entry.durable.rows import CommitResult
from fulmarscale.entry.durable.rows import CommitStatus
from fulmarscale.entry.durable.rows import Row
from fulmarscale.ids import EntryId
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import JobSpec
from fulmarscale.runs.model import RunOutcome
from fulmarscale.runs.model import Step

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

    from features.support.durable_chaos import DurableSeedResult

WORKERS = 3


@given(
    "a simulated site of {entries:d} entries, {targets:d} targets and a store"
)
def make_site(context: Context, entries: int, targets: int) -> None:
    context.run_site = DurableSite(entries, targets)
    context.durable_job_ids = []


def submit(
    context: Context, number: int, job: str, counts: tuple[int, ...], ms: int
) -> None:
    """Submit a durable job.

    :param context: holds the site.
    :param number: the entry.
    :param job: the job's id.
    :param counts: how many tasks each step has; steps run in sequence.
    :param ms: the work of each task.
    """
    context.run_site.entries[number].submit_durable(job, counts, ms)
    context.durable_job_ids.append(job)


@when(
    'durable job "{job}" of {tasks:d} tasks of {ms:d} ms is submitted to entry'
    " {number:d}"
)
def submit_one(
    context: Context, number: int, job: str, tasks: int, ms: int
) -> None:
    submit(context, number, job, (tasks,), ms)


@when(
    'durable job "{job}" with steps of {a:d}, {b:d} and {c:d} tasks of {ms:d}'
    " ms is submitted to entry {number:d}"
)
def submit_steps(
    context: Context, number: int, job: str, a: int, b: int, c: int, ms: int
) -> None:
    submit(context, number, job, (a, b, c), ms)


@when(
    "{jobs:d} durable jobs of {tasks:d} tasks of {ms:d} ms are submitted"
    " {gap:d} ms apart"
)
def submit_at_intervals(
    context: Context, jobs: int, tasks: int, ms: int, gap: int
) -> None:
    entries = context.run_site.entries
    for number in range(jobs):
        submit(context, number % len(entries), f"job{number}", (tasks,), ms)
        context.run_site.advance(gap / 1000)


@when(
    'the store rejects all calls for {span_s:g} s after durable job "{job}" of'
    " {tasks:d} tasks of {ms:d} ms is submitted to entry {number:d}"
)
def submit_before_outage(
    context: Context,
    span_s: float,
    number: int,
    job: str,
    tasks: int,
    ms: int,
) -> None:
    submit(context, number, job, (tasks,), ms)
    context.run_site.advance(0.05)
    set_store_mode(context, StoreMode.REJECTS, span_s)


def advance_until(
    site: DurableSite, is_met: Callable[[], bool], limit_s: float = 5.0
) -> None:
    """Let time pass until a condition is met, to less than a hop's delay.

    :param site: the site.
    :param is_met: the condition.
    :param limit_s: the time within which it has to be met, in seconds.
    """
    ends_at = site.clock.now + limit_s
    while not is_met():
        assert site.clock.now < ends_at, "the condition was not met in time"
        site.advance(HOP_DELAY_S / 2)


def set_store_mode(context: Context, mode: StoreMode, span_s: float) -> None:
    """Let the store fail in a mode for a duration."""
    rows = context.run_site.rows
    rows.mode = mode

    def restore() -> None:
        rows.mode = StoreMode.HEALTHY

    context.run_site.clock.call_in(span_s, restore)


@given("the answer to the next removal of a lease row is lost")
def lose_removal(context: Context) -> None:
    context.run_site.rows.loses_next_removal = True


@given("the next write of a job's record is applied {late_s:g} s late")
def delay_record(context: Context, late_s: float) -> None:
    context.run_site.rows.next_record_delay_s = late_s


@given("an entry whose removal of a lost entry's lease row got no answer")
def remove_without_answer(context: Context) -> None:
    manager = DurableJobManager(EntryId("e1", 1))
    manager.activate(0.0)
    manager.update_members((MemberRow("e0", MemberRecord(1), 5),), 0.0)
    removed = set()
    for second in range(10):
        for action in manager.tick({}, float(second)):
            if not isinstance(action, CommitMember):
                continue
            is_own = action.name == "e1"
            status = CommitStatus.APPLIED if is_own else CommitStatus.UNKNOWN
            answer = CommitResult(status, second + 6)
            manager.resolve_member_write(action.name, answer, float(second))
            removed.add(action.name)
    assert "e0" in removed, removed
    context.manager = manager


@when("a scan that began before the removal shows that the row is gone")
def finish_scan(context: Context) -> None:
    context.actions = context.manager.process_scan((), (), 10.0)


@then("the entry scans the records again")
def check_scan(context: Context) -> None:
    scans = [a for a in context.actions if isinstance(a, ScanRecords)]
    assert scans, context.actions


@given("an entry that takes over the job of a lost owner")
def take_over_lost(context: Context) -> None:
    take_over(context, EntryId("e0", 1))


@given("an entry that takes its own job back after it had lost its lease")
def take_over_own(context: Context) -> None:
    take_over(context, EntryId("e1", 1))


def take_over(context: Context, owner: EntryId) -> None:
    """Let entry e1 take over an open job that it reads in a scan.

    :param context: gets the manager, the takeover and the record.
    :param owner: the stored owner of the job.
    """
    manager = DurableJobManager(EntryId("e1", 1))
    manager.activate(0.0)
    manager.tick({}, 0.0)
    applied = CommitResult(CommitStatus.APPLIED, 6)
    manager.resolve_member_write("e1", applied, 0.0)
    manager.tick({}, 0.1)
    spec = JobSpec("9000", (Step(2, TASK, 9.0),), is_durable=True)
    record = DurableJobRecord(owner, QUEUE, spec)
    row = JobRow(JobId("a"), record, 5)
    actions = manager.process_scan((row,), (), 0.2)
    commits = [a for a in actions if isinstance(a, CommitBatch)]
    context.manager, context.commit = manager, commits[0]
    context.record = record


@when("the answer shows that a write of the lost owner was applied meanwhile")
def apply_late_write(context: Context) -> None:
    resolve_conflict(
        context, msgspec.structs.replace(context.record, done=(0,))
    )


@when(
    "the answer shows that its earlier write of the job's end was applied"
    " meanwhile"
)
def apply_late_end(context: Context) -> None:
    resolve_conflict(
        context, context.record.ended_as(DurableJobState.COMPLETED)
    )


def resolve_conflict(context: Context, late: DurableJobRecord) -> None:
    """Answer the takeover with a row that was written meanwhile."""
    commit = context.commit
    row = Row(record_key(JobId("a")), encode_row(late), 7)
    answer = CommitResult(CommitStatus.CONFLICT, 7, (row,))
    context.actions = context.manager.resolve_batch(
        commit.shard, commit.attempt_number, answer, 0.3
    )


@given("an entry whose first write of a job is not answered yet")
def submit_without_answer(context: Context) -> None:
    manager = DurableJobManager(EntryId("e1", 1))
    manager.activate(0.0)
    manager.tick({}, 0.0)
    applied = CommitResult(CommitStatus.APPLIED, 6)
    manager.resolve_member_write("e1", applied, 0.0)
    manager.tick({}, 0.1)
    spec = JobSpec("9000", (Step(1, TASK, 9.0),), is_durable=True)
    actions = manager.submit_durable(JobId("a"), QUEUE, spec, 0.2)
    commits = [a for a in actions if isinstance(a, CommitBatch)]
    context.manager, context.commit = manager, commits[0]


@when("another entry's cancellation of the job is read before the answer")
def cancel_before_answer(context: Context) -> None:
    manager, commit = context.manager, context.commit
    context.actions = manager.apply_cancellation(JobId("a"), 8, 0.3)
    context.actions += manager.resolve_batch(
        commit.shard,
        commit.attempt_number,
        CommitResult(CommitStatus.APPLIED, 7),
        0.4,
    )


@then("the job is {expected} and never started")
def check_not_started(context: Context, expected: str) -> None:
    actions = [*context.actions, *context.manager.tick({}, 1.0)]
    unwanted = [a for a in actions if isinstance(a, StartJob | CommitBatch)]
    assert not unwanted, unwanted
    state = context.manager.stored_state(JobId("a"))
    assert state is DurableJobState(expected), state


@when("the store rejects all calls for {span_s:g} s")
def reject_all(context: Context, span_s: float) -> None:
    set_store_mode(context, StoreMode.REJECTS, span_s)


@when("the store fails in mode {mode} for {span_s:g} s")
def fail_store(context: Context, mode: str, span_s: float) -> None:
    set_store_mode(context, StoreMode(mode), span_s)


@when("entry {number:d} cannot reach the store for {span_s:g} s")
def cut_off_from_store(context: Context, number: int, span_s: float) -> None:
    rows = context.run_site.rows
    name = context.run_site.entries[number].name
    rows.disconnected_entries.add(name)
    context.run_site.clock.call_in(
        span_s, lambda: rows.disconnected_entries.discard(name)
    )


@when("entry {number:d} is killed and restarts after {down_s:g} s")
def restart_entry(context: Context, number: int, down_s: float) -> None:
    site = context.run_site
    site.restart_entry(site.entries[number], down_s)


@when(
    'entry {number:d} is killed at the moment that job "{job}" is stored as'
    " completed"
)
def kill_at_end(context: Context, number: int, job: str) -> None:
    site = context.run_site

    def is_completed() -> bool:
        record = site.record_of(job)
        return bool(record) and record.state is DurableJobState.COMPLETED

    advance_until(site, is_completed)
    site.kill_entry(site.entries[number])


@when(
    "entry {number:d} is killed as the store records {count:d} failed runs of"
    ' job "{job}"'
)
def kill_at_failure(
    context: Context, number: int, count: int, job: str
) -> None:
    site = context.run_site

    def is_recorded() -> bool:
        record = site.record_of(job)
        return bool(record) and (0, count) in record.failures

    advance_until(site, is_recorded)
    site.kill_entry(site.entries[number])


@when('entry {number:d} is killed as the store records a crash of job "{job}"')
def kill_at_crash(context: Context, number: int, job: str) -> None:
    site = context.run_site

    def is_recorded() -> bool:
        record = site.record_of(job)
        return bool(record and record.crashes)

    advance_until(site, is_recorded)
    site.kill_entry(site.entries[number])


@when("entry {number:d} restarts after {down_s:g} s")
def start_entry_again(context: Context, number: int, down_s: float) -> None:
    site = context.run_site
    site.restart_entry(site.entries[number], down_s)


@when('entry {number:d} takes over job "{job}"')
def wait_for_takeover(context: Context, number: int, job: str) -> None:
    site = context.run_site

    def is_taken_over() -> bool:
        entry = site.entries[number]
        return (
            entry.is_up and entry.manager.stored_state(JobId(job)) is not None
        )

    advance_until(site, is_taken_over)


@when("all entries and agents are killed and restart after {down_s:g} s")
def restart_all(context: Context, down_s: float) -> None:
    context.run_site.restart_all(down_s)


@when('durable job "{job}" is cancelled at entry {number:d}')
def cancel(context: Context, job: str, number: int) -> None:
    context.run_site.entries[number].cancel_durable(job)


@when('job "{job}", owned by another entry, is cancelled at entry {number:d}')
def cancel_elsewhere(context: Context, job: str, number: int) -> None:
    context.run_site.entries[number].cancel_through_store(job)


@then('the caller of job "{job}" got the outcome {outcome}')
def check_caller_outcome(context: Context, job: str, outcome: str) -> None:
    actual = context.run_site.submission_outcomes().get(job)
    assert actual is StorageOutcome(outcome), actual


@then("{span_s:g} s pass")
def pass_more_time(context: Context, span_s: float) -> None:
    context.run_site.advance(span_s)


@then('the store records job "{job}" as {state}')
def check_recorded(context: Context, job: str, state: str) -> None:
    record = context.run_site.record_of(job)
    assert record is not None, "no record"
    assert record.state.value == state, record


@then("the store records every accepted job as completed")
def check_all_recorded(context: Context) -> None:
    site = context.run_site
    bad = []
    for job, outcome in site.submission_outcomes().items():
        record = site.record_of(job)
        if outcome is StorageOutcome.STORED and (
            record is None or record.state.value != "completed"
        ):
            bad.append((job, record))
    assert not bad, bad[:2]


@then("no guarantee for durable jobs is violated")
def check_guarantees(context: Context) -> None:
    violations = context.run_site.violations()
    assert not violations, violations[:2]


@then("the agents have no runs and no unacknowledged completions")
def check_agents(context: Context) -> None:
    site = context.run_site
    bad = [agent.target.name for agent in site.agents if not is_idle(agent)]
    assert not bad, bad


@then("the job record was written in {count:d} transactions")
def check_transactions(context: Context, count: int) -> None:
    rows = context.run_site.rows.read_table(RECORD_TABLE)
    actual = context.run_site.rows.write_counts[rows[0].row_key]
    assert actual == count, actual


def play_seeds(
    context: Context,
    play: Callable[[int], DurableSeedResult],
    first: int,
    last: int,
) -> None:
    """Play a range of seeds of random faults in several processes."""
    with ProcessPoolExecutor(WORKERS) as pool:
        seeds = range(first, last + 1)
        context.chaos_results = list(pool.map(play, seeds))


@when(
    "random faults with seeds {first:d} to {last:d} are injected into"
    " simulated sites with a store"
)
def run_sites_with_store(context: Context, first: int, last: int) -> None:
    play_seeds(context, play_durable_seed, first, last)
    runs = sum(result.runs for result in context.chaos_results)
    done = sum(result.completed for result in context.chaos_results)
    print(f"{runs} runs, {done} jobs completed")


@when(
    "random faults with seeds {first:d} to {last:d} are injected beside"
    " crashing tasks"
)
def run_sites_with_crashes(context: Context, first: int, last: int) -> None:
    play_seeds(context, play_crashing_seed, first, last)


@when(
    "random faults with seeds {first:d} to {last:d} are injected beside"
    " targets that fail runs"
)
def run_sites_with_failures(context: Context, first: int, last: int) -> None:
    play_seeds(context, play_failing_seed, first, last)


@when(
    "targets restart at random, with seeds {first:d} to {last:d}, under short"
    " durable jobs"
)
def run_sites_with_restarts(context: Context, first: int, last: int) -> None:
    play_seeds(context, play_restart_seed, first, last)


@then('no task of job "{job}" was done more than once')
def check_done_once(context: Context, job: str) -> None:
    counts = Counter(
        run.task
        for run in context.run_site.history
        if run.task.job_id == job and run.outcome is RunOutcome.DONE
    )
    repeated = {task: n for task, n in counts.items() if n > 1}
    assert counts, context.run_site.history[:2]
    assert not repeated, (len(repeated), list(repeated.items())[:3])


@then("no simulated site violated a guarantee for durable jobs")
def check_random_guarantees(context: Context) -> None:
    broken = [
        (r.seed, r.violations[:2])
        for r in context.chaos_results
        if r.violations
    ]
    assert not broken, broken[:3]


@then("every accepted job of the simulated sites has ended")
def check_ended(context: Context) -> None:
    unended = [
        (r.seed, r.open_jobs[:3]) for r in context.chaos_results if r.open_jobs
    ]
    assert not unended, unended[:5]


@then("entry {number:d} reports {count:d} pending jobs")
def check_pending(context: Context, number: int, count: int) -> None:
    durable_jobs = context.run_site.entries[number].manager
    assert durable_jobs.pending_of(QUEUE.name) == count, (
        durable_jobs.pending_of(QUEUE.name)
    )


@then("entry {number:d} reports at least {least:d} pending jobs")
def check_least_pending(context: Context, number: int, least: int) -> None:
    durable_jobs = context.run_site.entries[number].manager
    actual = durable_jobs.pending_of(QUEUE.name)
    assert actual >= least, actual
