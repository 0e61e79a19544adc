"""Steps that test what one durable job, call or entry may cost others."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING
from unittest.mock import Mock

from behave import given
from behave import step
from behave import then
from behave import when
import msgspec

from features.support.memory_rows import MemoryRows
from features.support.run_site import QUEUE
from features.support.run_site import TASK
from features.support.run_site import TICK_S
from fulmarscale.entry.durable.actions import CommitBatch
from fulmarscale.entry.durable.actions import CommitMember
from fulmarscale.entry.durable.actions import ScanRecords
from fulmarscale.entry.durable.actions import StartJob
from fulmarscale.entry.durable.actions import StorageOutcome
from fulmarscale.entry.durable.driver import DurableJobDriver
from fulmarscale.entry.durable.manager import DurableJobManager
from fulmarscale.entry.durable.record import cancel_key
from fulmarscale.entry.durable.record import CANCEL_TABLE
from fulmarscale.entry.durable.record import decode_member
from fulmarscale.entry.durable.record import DurableJobRecord
from fulmarscale.entry.durable.record import encode_row
from fulmarscale.entry.durable.record import JobRow
from fulmarscale.entry.durable.record import MemberRecord
from fulmarscale.entry.durable.record import MemberRow
from fulmarscale.entry.durable.record import record_key
from fulmarscale.entry.durable.record import shard_of
from fulmarscale.entry.durable.rows import CommitResult
from fulmarscale.entry.durable.rows import CommitStatus
from fulmarscale.entry.durable.rows import Row
from fulmarscale.entry.durable.rows import RowKey
from fulmarscale.entry.durable.rows import RowWrite
from fulmarscale.entry.durable.unowned_ends import UnownedEndReview
from fulmarscale.events import Event
from fulmarscale.ids import EntryId
from fulmarscale.platform.http_client import HttpResponse
from fulmarscale.platform.store import decode_commit
from fulmarscale.platform.store import encode_transaction
from fulmarscale.runs.messages import DurableCompletion
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import JobSpec
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import Step
from fulmarscale.runs.model import TargetIncarnation
from fulmarscale.runs.model import TaskKey

if TYPE_CHECKING:
    from collections.abc import Callable

    from behave.runner import Context

ORDINARY = "ordinary"
"""Prefix of the ids of the jobs that must not be affected."""

ODD_STEPS = {
    "needs a label that no target has": ("none", TASK),
    "needs labels that no target has": ("none{number}", TASK),
    "needs more memory than any target has": (
        "",
        msgspec.structs.replace(TASK, memory_mb=10**9),
    ),
    'needs the label "rare"': ("rare", TASK),
}
"""Label and demand of the last step of jobs that can't be placed."""


@step('target {number:d} is the only one with the label "{label}"')
def set_label(context: Context, number: int, label: str) -> None:
    context.run_site.targets[number].labels = (label,)
    context.run_site.advance(1.0)


@when(
    'durable job "{job}" of {tasks:d} tasks of {ms:d} ms needs the label'
    ' "{label}" at entry {number:d}'
)
def submit_labelled(
    context: Context, job: str, tasks: int, ms: int, label: str, number: int
) -> None:
    entry = context.run_site.entries[number]
    entry.submit_durable(job, (tasks,), ms, last_label=label)
    context.run_site.advance(0.1)


@when("{odd:d} jobs are submitted to entry {number:d} whose last step {why}")
def submit_odd(context: Context, odd: int, number: int, why: str) -> None:
    label, demand = ODD_STEPS[why]
    for job in range(odd):
        context.run_site.entries[number].submit_durable(
            f"odd{job}", (1, 1), 20, label.format(number=job), demand
        )


def submit_step(context: Context, job: str, step_: Step) -> None:
    """Submit a durable job of one step to the first entry."""
    entry, clock = context.run_site.entries[0], context.run_site.clock
    spec = JobSpec(f"{step_.declared_s * 1000:.0f}", (step_,), is_durable=True)
    entry.call_or_defer(
        lambda: entry._perform_storage(
            entry.manager.submit_durable(JobId(job), QUEUE, spec, clock.now)
        )
    )
    context.run_site.advance(0.005)


@when(
    "{jobs:d} jobs are submitted to entry 0 whose tasks run once on"
    " each target"
)
def submit_limited(context: Context, jobs: int) -> None:
    context.run_site.advance(1.0)
    limited = Step(6, Resources(1, 1, 0), 60.0, max_tasks_per_target=1)
    for number in range(jobs):
        submit_step(context, f"j{number}", limited)


@when(
    "{jobs:d} jobs are submitted to entry 0 whose tasks all demand"
    " other amounts"
)
def submit_distinct(context: Context, jobs: int) -> None:
    site = context.run_site
    site.advance(1.0)
    # Two targets are left without memory, the others without cores.
    for number in range(2):
        for demand in (Resources(200, 65000, 0), Resources(15900, 64, 0)):
            name = f"first{number}.{demand.memory_mb}"
            submit_step(context, name, Step(1, demand, 60.0))
            site.advance(0.2)
    for number in range(jobs):
        demand = Resources(1600, 1000 + number, 0)
        submit_step(context, f"j{number}", Step(1, demand, 60.0))


@when(
    "{jobs:d} jobs of one task of {cores:g} cores join an overload of small"
    " ones for {span_s:d} s"
)
def overload(context: Context, jobs: int, cores: float, span_s: int) -> None:
    site = context.run_site
    site.advance(1.0)
    wide = Step(1, Resources(round(1000 * cores), 64, 0), 0.5)
    # Both targets run 20 tasks a second.
    for number in range(24 * span_s):
        if number == 48:
            for job in range(jobs):
                submit_step(context, f"wide{job}", wide)
        submit_step(context, f"small{number}", Step(1, TASK, 1.0))
        site.advance(1 / 24 - 0.005)


@then("no placement pass of {span_s:g} s tries more than {most:d} of them")
def check_attempts(context: Context, span_s: float, most: int) -> None:
    site, tried = context.run_site, []
    site.advance(1.0)
    placer = site.entries[0].dispatcher._placer
    place, place_job = placer.place, placer._place_job

    def count_pass(*args: Any) -> None:
        tried.append(0)
        place(*args)

    def count_job(*args: Any) -> None:
        tried[-1] += 1
        place_job(*args)

    placer.place, placer._place_job = count_pass, count_job
    site.advance(span_s)
    assert tried, tried
    assert max(tried) <= most, tried


@when(
    "{jobs:d} durable jobs of {tasks:d} tasks of {ms:d} ms are submitted to"
    " entry {number:d}, {gap:d} ms apart"
)
def submit_ordinary(
    context: Context, jobs: int, tasks: int, ms: int, number: int, gap: int
) -> None:
    for job in range(jobs):
        context.run_site.entries[number].submit_durable(
            f"{ORDINARY}{job}", (tasks,), ms
        )
        context.run_site.advance(gap / 1000)


@then("every accepted ordinary job is stored as completed")
def check_ordinary(context: Context) -> None:
    site = context.run_site
    accepted = [
        job
        for job, outcome in site.submission_outcomes().items()
        if job.startswith(ORDINARY) and outcome is StorageOutcome.STORED
    ]
    assert accepted
    states = {job: site.record_of(job).state.value for job in accepted}
    bad = {job: state for job, state in states.items() if state != "completed"}
    assert not bad, (len(bad), list(bad.items())[:3])


@then("no agent is told of waiting tasks")
def check_backlog(context: Context) -> None:
    for entry in context.run_site.entries:
        told = [
            view.name
            for view in entry.dispatcher.fleet.views
            if view.has_reported_backlog
        ]
        assert not told, told


@then("entry {number:d} has set no jobs apart")
def check_none_apart(context: Context, number: int) -> None:
    logs = context.run_site.entries[number].logs
    assert not [each for each in logs if each.event is Event.JOB_SET_APART]


def make_owner() -> DurableJobManager:
    """Return the manager of an entry that holds its lease."""
    manager = DurableJobManager(EntryId("e1", 1))
    manager.activate(0.0)
    manager.tick({}, 0.0)
    applied = CommitResult(CommitStatus.APPLIED, 6)
    manager.resolve_member_write("e1", applied, 0.0)
    manager.tick({}, 0.1)
    return manager


@given(
    "an entry that takes over {jobs:d} jobs of one part, in rows of {size:d}"
    " bytes"
)
def take_over_jobs(context: Context, jobs: int, size: int) -> None:
    ids = [JobId(f"{number:016x}") for number in range(100 * jobs)]
    ids = [job_id for job_id in ids if shard_of(job_id) == "s0"][:jobs]
    spec = JobSpec("x" * size, (Step(1, TASK, 9.0),), is_durable=True)
    record = DurableJobRecord(EntryId("e0", 1), QUEUE, spec)
    rows = tuple(JobRow(job_id, record, 5) for job_id in ids)
    context.manager = make_owner()
    context.job_ids = ids
    context.actions = context.manager.process_scan(rows, (), 0.2)


def answer_calls(
    context: Context, answer: Callable[[CommitBatch], CommitResult]
) -> None:
    """Answer the entry's calls for 10 s of its time."""
    context.commits, context.started = [], set()
    actions = list(context.actions)
    for number in range(2000):
        now = 0.2 + 0.005 * number
        actions += context.manager.update_members((), now)
        while actions:
            action = actions.pop(0)
            if isinstance(action, StartJob):
                context.started.add(action.job_id)
            if not isinstance(action, CommitBatch):
                continue
            context.commits.append(action)
            actions += context.manager.resolve_batch(
                action.shard, action.attempt_number, answer(action), now
            )


def accept(commit: CommitBatch) -> CommitResult:
    """Return the answer to a call that the store applies."""
    return CommitResult(CommitStatus.APPLIED, 7)


@when("the store answers its calls")
def answer_all(context: Context) -> None:
    answer_calls(context, accept)


@when(
    "the store answers its calls, those of over {records:d} records with"
    " status {status:d}"
)
def reject_large(context: Context, records: int, status: int) -> None:
    def answer(commit: CommitBatch) -> CommitResult:
        if len(commit.writes) > records:
            return decode_commit(HttpResponse(status, b""))
        return accept(commit)

    answer_calls(context, answer)


@when(
    "the store answers its calls, those with the first job with status"
    " {status:d}"
)
def reject_first(context: Context, status: int) -> None:
    first = context.job_ids[0]

    def answer(commit: CommitBatch) -> CommitResult:
        if any(write.row_key.key == first for write in commit.writes):
            return decode_commit(HttpResponse(status, b""))
        return accept(commit)

    answer_calls(context, answer)


@then("each call has at most {entries:d} entries and {size:d} bytes as sent")
def check_calls(context: Context, entries: int, size: int) -> None:
    calls = [encode_transaction(commit.writes) for commit in context.commits]
    sizes = [len(msgspec.json.encode(call)) for call in calls]
    assert max(sizes) <= size, sizes
    # Few enough of them that they aren't much smaller than they may be.
    assert sum(sizes) / len(sizes) > size / 2, sizes
    counts = [
        len(call.set_keys) + len(call.expected_rev) + len(call.remove)
        for call in calls
    ]
    assert max(counts) <= entries, counts


@then("all {jobs:d} jobs are stored and started")
def check_all_started(context: Context, jobs: int) -> None:
    assert len(context.started) == jobs, len(context.started)


@then("all jobs but the first are stored and started")
def check_others_started(context: Context) -> None:
    missing = set(context.job_ids) - context.started
    assert missing == {context.job_ids[0]}, len(missing)
    assert len(context.commits) < 200, len(context.commits)


@then("at most {most:d} calls hold the first job alone")
def check_few_calls(context: Context, most: int) -> None:
    keys = [
        [write.row_key.key for write in commit.writes]
        for commit in context.commits
    ]
    count = keys.count([context.job_ids[0]])
    assert count <= most, count


@given("an entry that has found no durable jobs in the store")
def make_driver(context: Context) -> None:
    context.rows = ListedRows()


class ListedRows:
    """A store of which only the parts of the job table are read."""

    def __init__(self) -> None:
        self.parts: tuple[str, ...] = ()
        self.reads = 0

    async def list_parts(self, table: str) -> tuple[str, ...]:
        """Return the parts."""
        self.reads += 1
        return self.parts


@when("another entry stores one and {span_s:g} s of real time pass")
def search(context: Context, span_s: float) -> None:
    async def run() -> None:
        runner = Mock(pending=dict)
        driver = DurableJobDriver(
            EntryId("e1", 1), context.rows, runner, Mock()
        )
        driver.start()
        await asyncio.sleep(0.1)
        assert not driver.activated.is_set()
        context.rows.parts = ("s0",)
        await asyncio.sleep(span_s)
        context.is_activated = driver.activated.is_set()
        await driver.close()

    asyncio.run(run())


@then("the entry knows that durable jobs exist")
def check_activated(context: Context) -> None:
    assert context.is_activated


@then("it has made at most {count:d} calls to find out")
def check_reads(context: Context, count: int) -> None:
    assert context.rows.reads <= count, context.rows.reads


@when("a caller asks for a job whose stored owner has no lease")
def ask_for_lost_job(context: Context) -> None:
    spec = JobSpec("9000", (Step(1, TASK, 9.0),), is_durable=True)
    record = DurableJobRecord(EntryId("e0", 1), QUEUE, spec)
    context.manager.process_scan((), (), 20.0)
    context.actions = context.manager.check_owner(JobId("new"), record, 20.0)


@when("the owner starts again")
def restart_owner(context: Context) -> None:
    context.members = (MemberRow("e0", MemberRecord(2, 1, {}), 9),)
    context.manager.update_members(context.members, 0.3)


@when("callers ask {queries:d} times in {span_s:g} s for {which}")
def ask_often(
    context: Context, queries: int, span_s: float, which: str
) -> None:
    spec = JobSpec("9000", (Step(1, TASK, 9.0),), is_durable=True)
    record = DurableJobRecord(EntryId("e0", 1), QUEUE, spec)
    is_own = which == "a job that is being taken over"
    began_at = context.asked_until = getattr(context, "asked_until", 0.3)
    context.scans = 0
    for number in range(queries):
        now = context.asked_until = began_at + number * span_s / queries
        job_id = context.job_ids[0] if is_own else JobId(f"new{number}")
        manager = context.manager
        actions = manager.check_owner(job_id, record, now)
        if any(isinstance(action, ScanRecords) for action in actions):
            context.scans += 1
            members = getattr(context, "members", ())
            actions = manager.process_scan((), members, now)
            assert ScanRecords() not in actions


@then("the entry scans the records at most {most:d} times")
def check_few_scans(context: Context, most: int) -> None:
    assert context.scans <= most, context.scans


@then("the entry scans the records once")
def check_some_scan(context: Context) -> None:
    assert context.scans == 1, context.scans


@given("two entries that hold their leases in one store")
def hold_leases(context: Context) -> None:
    shared: dict[RowKey, Row] = {}
    context.shared_rows = shared
    context.doors = [MemoryRows(shared) for _ in range(2)]
    context.cancelled_at = None


@when(
    "a job is submitted to entry {number:d}, which gets no answers from the"
    " store"
)
def note_submission(context: Context, number: int) -> None:
    context.submitted_at = number


@when("the job that is not stored yet is cancelled at entry {number:d}")
def note_cancellation(context: Context, number: int) -> None:
    context.cancelled_at = number


@when("the store answers entry {number:d} again")
def play_cancellation(context: Context, number: int) -> None:
    async def run() -> None:
        runners = [Mock(pending=dict) for _ in context.doors]
        drivers = [
            DurableJobDriver(EntryId(f"e{n}", 1), door, runners[n], Mock())
            for n, door in enumerate(context.doors)
        ]
        for driver in drivers:
            driver.start()
            driver.activate()
        await asyncio.sleep(0.3)
        job_id = JobId("a")
        spec = JobSpec("9000", (Step(1, TASK, 9.0),), is_durable=True)
        context.doors[context.submitted_at].is_silent = True
        drivers[context.submitted_at].submit_durable(job_id, QUEUE, spec)
        await asyncio.sleep(0.1)
        cancelling = asyncio.create_task(
            drivers[context.cancelled_at].cancel(job_id)
        )
        await asyncio.sleep(0.1)
        context.doors[number].is_silent = False
        await asyncio.sleep(1.0)
        context.is_acknowledged = cancelling.done()
        context.starts = [
            call
            for runner in runners
            for call in runner.start_durable_job.mock_calls
        ]
        context.state = await drivers[1].state_of(job_id)
        cancelling.cancel()
        for driver in drivers:
            await driver.close()

    asyncio.run(run())


@then("the cancellation is acknowledged")
def check_acknowledged(context: Context) -> None:
    assert context.is_acknowledged


@then("the job is not started")
def check_no_start(context: Context) -> None:
    assert not context.starts, context.starts


@then("a query at entry 1 shows {state}")
def check_shown(context: Context, state: str) -> None:
    shown = context.state.value if context.state else "no job"
    assert shown == state, shown


@then(
    "each entry that has read the lease rows reports at least {least:d}"
    " pending jobs for {span_s:g} s"
)
def check_always_pending(context: Context, least: int, span_s: float) -> None:
    site = context.run_site
    began_at = site.clock.now
    known_since: dict[EntryId, float] = {}
    while site.clock.now < began_at + span_s:
        site.advance(0.002)
        for entry in site.entries:
            since = known_since.setdefault(entry.entry, site.clock.now)
            # A process reads the rows first at its first tick.
            if not entry.is_up or site.clock.now < since + 1.1 * TICK_S:
                continue
            count = entry.manager.pending_of(QUEUE.name)
            passed_s = site.clock.now - began_at
            assert count >= least, (entry.name, count, round(passed_s, 3))


@given("an entry with a pending job in each of {queues:d} queues")
def count_queues(context: Context, queues: int) -> None:
    pending = dict.fromkeys((f"queue-of-{n:012d}" for n in range(queues)), 1)
    manager = DurableJobManager(EntryId("e1", 1))
    manager.activate(0.0)
    actions = manager.tick(pending, 0.0)
    commits = [a for a in actions if isinstance(a, CommitMember)]
    context.lease_row = commits[0].write.value


@then(
    "its lease row has at most {size:d} bytes and counts at least {n:d} queues"
)
def check_lease_row(context: Context, size: int, n: int) -> None:
    assert len(context.lease_row) <= size, len(context.lease_row)
    member = decode_member(context.lease_row)
    assert member is not None
    assert len(member.pending) >= n, len(member.pending)


@when("{rows:d} cancellations of jobs of one part are read by entry {n:d}")
def read_cancellations(context: Context, rows: int, n: int) -> None:
    door = context.doors[n]
    context.calls, context.at_once = [], []

    async def commit(writes: tuple[RowWrite, ...]) -> CommitResult:
        if writes[0].row_key.table != CANCEL_TABLE:
            return CommitResult(CommitStatus.APPLIED, 7)
        context.at_once.append(1)
        context.calls.append((len(writes), len(context.at_once)))
        await asyncio.sleep(0.01)
        context.at_once.pop()
        return CommitResult(CommitStatus.APPLIED, 7)

    async def run() -> None:
        door.commit = commit
        runner = Mock(pending=dict)
        driver = DurableJobDriver(EntryId("e0", 1), door, runner, Mock())
        driver.start()
        driver.activate()
        await asyncio.sleep(0.2)
        ids = [JobId(f"{number:016x}") for number in range(100 * rows)]
        ids = [job_id for job_id in ids if shard_of(job_id) == "s0"][:rows]
        spec = JobSpec("9000", (Step(1, TASK, 9.0),), is_durable=True)
        for job_id in ids:
            driver.submit_durable(job_id, QUEUE, spec)
        await asyncio.sleep(0.2)
        cancels = tuple(Row(cancel_key(job_id), b"", 9) for job_id in ids)
        driver.apply_cancellations(cancels)
        await asyncio.sleep(0.3)
        await driver.close()

    asyncio.run(run())


@then("their rows are removed in at most {count:d} calls, one after another")
def check_removals(context: Context, count: int) -> None:
    assert sum(rows for rows, _ in context.calls) == 120, context.calls
    assert len(context.calls) <= count, len(context.calls)
    assert max(at_once for _, at_once in context.calls) == 1, context.calls


@given("each part of the table holds a job of a lost owner")
def fill_parts(context: Context) -> None:
    spec = JobSpec("9000", (Step(1, TASK, 9.0),), is_durable=True)
    value = encode_row(DurableJobRecord(EntryId("e9", 1), QUEUE, spec))
    by_part = {shard_of(JobId(f"j{n}")): f"j{n}" for n in range(200)}
    for version, job in enumerate(by_part.values(), 1):
        key = record_key(JobId(job))
        context.shared_rows[key] = Row(key, value, version)


@when('entry {number:d} starts while part "{part}" can\'t be read')
def start_without_part(context: Context, number: int, part: str) -> None:
    async def run() -> None:
        door = context.doors[number]
        door.unreadable_part = part
        runner = Mock(pending=dict)
        driver = DurableJobDriver(EntryId("e0", 1), door, runner, Mock())
        driver.start()
        await asyncio.sleep(0.5)
        await driver.close()
        context.started = runner.start_durable_job.call_count

    asyncio.run(run())


@then("it runs the jobs of the {count:d} other parts")
def check_other_parts(context: Context, count: int) -> None:
    assert context.started == count, context.started


@when('part "{part}" can\'t be read')
def block_part(context: Context, part: str) -> None:
    context.doors[0].unreadable_part = part


@when(
    "{ends:d} ends of other jobs and one of each of these are given to entry 0"
)
def give_ends(context: Context, ends: int) -> None:
    async def run() -> None:
        door = context.doors[0]
        calls = context.calls = []
        for name in ("read_row", "read_part"):
            read = getattr(door, name)

            async def count(*args: str, read: Any = read) -> Any:
                calls.append(args)
                return await read(*args)

            setattr(door, name, count)
        context.acked = set()
        review = UnownedEndReview(
            "e0",
            door,
            is_active=lambda: True,
            poll=Mock(),
            owns=lambda _: False,
            acknowledge=lambda _, acks: context.acked.update(
                ack.position for ack in acks
            ),
        )
        stored = [JobId(key.key) for key in context.shared_rows]
        other = [JobId(f"other{number}") for number in range(ends)]
        context.given = dict(enumerate([*stored, *other], 1))
        for position, job_id in context.given.items():
            incarnation = TargetIncarnation("t0", 1)
            task = TaskKey(job_id, 0, 0, 0)
            review.add(
                "a0", DurableCompletion(incarnation, position, task, True)
            )
        running = asyncio.create_task(review.run())
        await asyncio.sleep(5.0)
        running.cancel()

    asyncio.run(run())


def unacknowledged(context: Context) -> set[JobId]:
    """Return the jobs whose ends have not been acknowledged."""
    return {
        job_id
        for position, job_id in context.given.items()
        if position not in context.acked
    }


@then("all but those of the stored jobs are acknowledged within 5 s")
def check_ends(context: Context) -> None:
    stored = {key.key for key in context.shared_rows}
    assert unacknowledged(context) == stored, len(unacknowledged(context))


@then("at most {most:d} calls to the store have been made")
def check_call_count(context: Context, most: int) -> None:
    assert len(context.calls) <= most, len(context.calls)


@then('all but those of part "{part}" and of the stored jobs are acknowledged')
def check_readable_ends(context: Context, part: str) -> None:
    stored = {key.key for key in context.shared_rows}
    unread = {job for job in context.given.values() if shard_of(job) == part}
    assert unacknowledged(context) == stored | unread
