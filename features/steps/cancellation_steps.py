"""Steps that test cancellations of durable jobs that are not stored yet."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import TYPE_CHECKING
from unittest.mock import Mock

from behave import given
from behave import then
from behave import when

from features.support.loopback import LOG
from features.support.memory_rows import MemoryRows
from features.support.run_site import QUEUE
from features.support.run_site import TASK
from fulmarscale.agent.run_actions import SendMessage
from fulmarscale.agent.run_guard import RunGuard
from fulmarscale.entry.durable.actions import AnswerCallers
from fulmarscale.entry.durable.actions import CommitBatch
from fulmarscale.entry.durable.actions import CommitMember
from fulmarscale.entry.durable.actions import ScanRecords
from fulmarscale.entry.durable.driver import DurableJobDriver
from fulmarscale.entry.durable.manager import DurableJobManager
from fulmarscale.entry.durable.record import CANCEL_TABLE
from fulmarscale.entry.durable.record import DurableJobState
from fulmarscale.entry.durable.rows import CommitResult
from fulmarscale.entry.durable.rows import CommitStatus
from fulmarscale.entry.jobs.process import DispatchProcess
from fulmarscale.ids import EntryId
from fulmarscale.runs.messages import AgentMessage
from fulmarscale.runs.messages import EntryMessage
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import JobSpec
from fulmarscale.runs.model import Step
from fulmarscale.wire.messages import AgentToken

if TYPE_CHECKING:
    from behave.runner import Context

    from fulmarscale.entry.durable.rows import Row
    from fulmarscale.entry.durable.rows import RowKey

JOB: Final = JobId("a")
SPEC: Final = JobSpec("9000", (Step(1, TASK, 9.0),), is_durable=True)
TICKS_PER_S: Final = 20

FEED_S: Final = 0.1
"""Time between reads of the table of cancellations."""


class EntryPair:
    """Two entries on one store, with their real drivers of durable jobs."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.rows: dict[RowKey, Row] = {}
        self.clients = [MemoryRows(self.rows) for _ in range(2)]
        self.runners = [Mock(pending=dict) for _ in range(2)]
        self.drivers = [
            DurableJobDriver(
                EntryId(f"e{n}", 1), client, self.runners[n], Mock()
            )
            for n, client in enumerate(self.clients)
        ]
        self.acknowledgements: list[bool] = []
        """For each cancellation, whether there was such a job."""

    def start(self) -> None:
        """Start both entries."""
        self.loop.run_until_complete(self._start())

    async def _start(self) -> None:
        for driver in self.drivers:
            driver.start()
        self._feed = asyncio.create_task(self._follow_cancellations())
        await asyncio.sleep(0.2)

    def close(self) -> None:
        """Stop both entries."""
        self._feed.cancel()
        for driver in self.drivers:
            self.loop.run_until_complete(driver.close())
        self.loop.close()

    def wait(self, duration_s: float) -> None:
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(duration_s))

    def submit(self, number: int) -> asyncio.Future:
        """Submit the job to an entry."""

        async def run() -> asyncio.Future:
            return self.drivers[number].submit_durable(JOB, QUEUE, SPEC)

        future = self.loop.run_until_complete(run())
        self.wait(0.1)
        return future

    def cancel(self, number: int, job_id: JobId = JOB) -> None:
        """Cancel a job at an entry."""
        cancelling = self.drivers[number].cancel(job_id)
        self.acknowledgements.append(self.loop.run_until_complete(cancelling))

    async def _follow_cancellations(self) -> None:
        while True:
            rows = tuple(
                row
                for key, row in self.rows.items()
                if key.table == CANCEL_TABLE
            )
            for driver in self.drivers:
                driver.apply_cancellations(rows)
            await asyncio.sleep(FEED_S)


@given("two entries on one store that know of no durable jobs")
def make_pair(context: Context) -> None:
    context.pair = EntryPair()
    context.pair.start()
    context.add_cleanup(context.pair.close)


@when("entry {number:d} gets no answers from the store")
def silence_store(context: Context, number: int) -> None:
    context.pair.clients[number].is_silent = True


@when("entry {number:d} gets answers from the store again")
def restore_store(context: Context, number: int) -> None:
    context.pair.clients[number].is_silent = False


@when("a job is submitted to entry {number:d}")
def submit_job(context: Context, number: int) -> None:
    context.submission = context.pair.submit(number)


@when("its caller {conduct}")
def let_caller_act(context: Context, conduct: str) -> None:
    if conduct == "leaves":
        context.submission.cancel()
    context.pair.wait(0.01)


@when("the unstored job is cancelled at entry {number:d}")
def cancel_job(context: Context, number: int) -> None:
    context.pair.cancel(number)


@when("{count:d} unknown jobs are cancelled at entry {number:d}")
def cancel_unknown_jobs(context: Context, count: int, number: int) -> None:
    for other in range(count):
        context.pair.cancel(number, JobId(f"{other:016x}"))


@when("entry {number:d} is told by an agent that durable jobs exist")
def tell_entry(context: Context, number: int) -> None:
    context.pair.loop.call_soon(context.pair.drivers[number].activate)
    context.pair.wait(0.1)


@when("it learns {source} that durable jobs exist")
def learn_of_jobs(context: Context, source: str) -> None:
    """Tell entry 1, or leave it to its own search of the store."""
    if source == "from an agent":
        tell_entry(context, 1)


@then("each cancellation is acknowledged as of no such job")
def check_acknowledged(context: Context) -> None:
    assert context.pair.acknowledgements
    assert not any(context.pair.acknowledgements)


@then("the job is not started within {duration_s:g} s")
def check_never_started(context: Context, duration_s: float) -> None:
    context.pair.wait(duration_s)
    starts = context.pair.runners[0].start_durable_job.mock_calls
    assert not starts, starts


@then("the job is stopped within {duration_s:g} s")
def check_stopped(context: Context, duration_s: float) -> None:
    context.pair.wait(duration_s)
    runner = context.pair.runners[0]
    assert runner.stop_durable_job.mock_calls, runner.mock_calls
    state = context.pair.loop.run_until_complete(
        context.pair.drivers[0].state_of(JOB)
    )
    assert state is DurableJobState.CANCELLED, state


@then("the job's submission is answered with {outcome}")
def check_submission(context: Context, outcome: str) -> None:
    context.pair.wait(0.1)
    assert context.submission.done()
    assert context.submission.result().value == outcome, context.submission


@then("entry {number:d} has sent {count:d} transactions")
def check_commits(context: Context, number: int, count: int) -> None:
    commits = context.pair.clients[number].commits
    assert commits == count, commits


@given("an entry that holds its lease")
def hold_lease(context: Context) -> None:
    context.manager = DurableJobManager(EntryId("e0", 1))
    context.manager.activate(0.0)


@when("the first write of a job gets no answer for {duration_s:d} s")
def repeat_first_write(context: Context, duration_s: int) -> None:
    """Answer renewals of the lease at once, and record writes not at all."""
    manager = context.manager
    context.sent_at, context.scanned_at = [], []
    ends_at = duration_s * TICKS_PER_S
    for tick in range(ends_at):
        now = tick / TICKS_PER_S
        actions = manager.tick({}, now)
        if tick == TICKS_PER_S:
            actions += manager.submit_durable(JOB, QUEUE, SPEC, now)
        for action in actions:
            match action:
                case CommitMember():
                    answer = CommitResult(CommitStatus.APPLIED, tick + 1)
                    manager.resolve_member_write(action.name, answer, now)
                case CommitBatch():
                    context.sent_at.append(now)
                    answer = CommitResult(CommitStatus.UNKNOWN)
                    manager.resolve_batch(
                        action.shard, action.attempt_number, answer, now
                    )
                case ScanRecords():
                    context.scanned_at.append(now)
                    manager.process_scan((), (), now)


@then("the first write was last sent after at most {limit_s:g} s")
def check_last_attempt(context: Context, limit_s: float) -> None:
    assert context.sent_at, "the job was not sent"
    assert context.sent_at[-1] <= limit_s, context.sent_at[-1]


@then("the entry has scanned the records after the last attempt")
def check_scanned(context: Context) -> None:
    assert context.scanned_at[-1] > context.sent_at[-1], context.scanned_at


@given("an entry that has just learnt of durable jobs")
def learn_of_durable_jobs(context: Context) -> None:
    context.manager = DurableJobManager(EntryId("e0", 1))
    context.manager.activate(0.0)


@when(
    "a job is submitted to it and its lease gets no answer for {duration_s:d}"
    " s"
)
def wait_for_lease(context: Context, duration_s: int) -> None:
    """Answer no write of the lease, then grant it."""
    manager = context.manager
    context.answers, context.batches = [], []
    actions = manager.submit_durable(JOB, QUEUE, SPEC, 0.0)
    for tick in range((duration_s + 2) * TICKS_PER_S):
        now = tick / TICKS_PER_S
        actions += manager.tick({}, now)
        is_granted = now > duration_s
        answer = CommitResult(
            CommitStatus.APPLIED if is_granted else CommitStatus.UNKNOWN,
            tick + 1,
        )
        for action in actions:
            match action:
                case CommitMember():
                    manager.resolve_member_write(action.name, answer, now)
                case CommitBatch():
                    context.batches.append(action)
                case AnswerCallers(is_for_end_waiters=False):
                    context.answers.append((now, action.outcome.value))
        actions = []
    assert manager.is_owner


@then("the caller got the outcome {outcome} within {limit_s:g} s")
def check_early_answer(context: Context, outcome: str, limit_s: float) -> None:
    assert len(context.answers) == 1, context.answers
    assert context.answers[0][0] <= limit_s, context.answers
    assert context.answers[0][1] == outcome, context.answers


@then("the job is not sent once the lease is granted")
def check_not_sent(context: Context) -> None:
    assert not context.batches, context.batches


@given("an agent with streams to two entries")
def make_agent(context: Context) -> None:
    context.entries = [EntryId(f"e{number}", 1) for number in range(2)]
    context.guard = RunGuard("agent", "here", 1)
    for number, entry in enumerate(context.entries):
        context.guard.open_session(number, entry, 0.0)


@when("entry {number:d} tells the agent that it knows of durable jobs")
def tell_agent(context: Context, number: int) -> None:
    message = EntryMessage(
        context.entries[number], 1, None, knows_durable_jobs=True
    )
    context.actions = context.guard.receive(number, message, 1.0)


@then("the agent tells entry {number:d} at once that durable jobs exist")
def check_told(context: Context, number: int) -> None:
    told = [
        action.session
        for action in context.actions
        if isinstance(action, SendMessage)
        and action.message.durable_jobs_exist
    ]
    assert number in told, context.actions


@given("an entry that knows of no durable jobs")
def make_entry(context: Context) -> None:
    context.store = MemoryRows({})


@when("an agent's message says that durable jobs exist: {exist}")
def tell_process(context: Context, exist: str) -> None:
    async def run() -> None:
        process = DispatchProcess("e0", "here", context.store, LOG)
        session = process.open_agent(Mock(), "agent")
        message = AgentMessage(
            "agent",
            AgentToken(1, 0.0),
            "here",
            durable_jobs_exist=exist == "yes",
        )
        process.receive_agent(session, message)
        context.is_active = process.durable_jobs.activated.is_set()
        await process.close()

    asyncio.run(run())


@then("the entry takes part in running durable jobs: {expected}")
def check_active(context: Context, expected: str) -> None:
    assert context.is_active == (expected == "yes")
