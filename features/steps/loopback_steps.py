"""Steps that use real streams and sockets on loopback."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from unittest import mock

from behave import given
from behave import then
from behave import when

from features.support.loopback import Loopback
from features.support.loopback import make_queue
from features.support.loopback import ScriptedRunner
from fulmarscale.entry.durable.record import cancel_key
from fulmarscale.entry.durable.record import DurableJobRecord
from fulmarscale.entry.durable.record import DurableJobState
from fulmarscale.entry.durable.record import encode_row
from fulmarscale.entry.durable.record import record_key
from fulmarscale.entry.durable.record import RECORD_TABLE
from fulmarscale.entry.durable.rows import RowKey
from fulmarscale.entry.durable.rows import RowWrite
from fulmarscale.entry.jobs.actions import JobOutcome
from fulmarscale.entry.jobs.dispatcher import Dispatcher
from fulmarscale.errors import FulmarError
from fulmarscale.errors import ResultCode
from fulmarscale.ids import EntryId
from fulmarscale.platform.store import RowStoreClient
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import JobSpec
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import Step
from standins.row_store import RowStoreStandIn
from standins.row_store import StoreFault

if TYPE_CHECKING:
    from behave.runner import Context


SPEC = JobSpec("text", (Step(1, Resources(1600), 20.0),), is_durable=True)


@given("an entry, an agent and a scripted runner on loopback")
def make_loopback(context: Context) -> None:
    context.runner = ScriptedRunner()


@when("a job of {tasks:d} tasks is submitted to the entry")
def submit_on_loopback(context: Context, tasks: int) -> None:
    step = Step(tasks, Resources(1600), 20.0)

    async def run() -> None:
        spec = JobSpec("text", (step,))
        async with Loopback(context.runner) as site, asyncio.timeout(20):
            future = site.entry.submit(
                JobId("0011"), make_queue("/quick/"), spec, 20.0
            )
            context.answer = await future
            await site.agent.shut_down()
            context.remaining_runs = site.agent.guard.run_count

    asyncio.run(run())


@when("a durable job of {tasks:d} tasks is submitted to the entry")
def submit_durable_on_loopback(context: Context, tasks: int) -> None:
    step = Step(tasks, Resources(1600), 20.0)
    job_id = JobId("0011")

    async def run() -> None:
        spec = JobSpec("text", (step,), is_durable=True)
        async with Loopback(context.runner) as site, asyncio.timeout(20):
            queue = make_queue("/quick/")
            context.answer = await site.entry.submit_durable(
                job_id, queue, spec, 20.0
            )
            while True:
                context.state = await site.entry.durable_jobs.state_of(job_id)
                if context.state is not DurableJobState.OPEN:
                    break
            await site.agent.shut_down()
            context.unacknowledged = site.agent.guard.unacknowledged_count
            context.keys = site.store.keys(RECORD_TABLE)

    asyncio.run(run())


@when(
    "a durable job that is {state} is submitted while no job can meet its"
    " objective"
)
def submit_durable_under_load(context: Context, state: str) -> None:
    step = Step(1, Resources(1600), 20.0)
    spec = JobSpec("text", (step,), is_durable=True)

    async def run() -> None:
        async with Loopback(context.runner) as site, asyncio.timeout(20):
            queue = make_queue("/quick/")
            job_id = JobId("0011")
            if state == "stored already":
                await site.entry.submit_durable(job_id, queue, spec, 20.0)
            if state == "in an unknown state":
                site.store.fault = StoreFault.BUSY
            no_capacity = mock.patch.object(
                Dispatcher, "too_late_wait_s", return_value=3.0
            )
            with no_capacity:
                answer = await site.entry.submit_durable(
                    job_id, queue, spec, 20.0
                )
            context.outcome_received = answer.outcome

    asyncio.run(run())


@then("its caller gets the outcome {outcome}")
def check_outcome_received(context: Context, outcome: str) -> None:
    assert context.outcome_received is JobOutcome(outcome), (
        context.outcome_received
    )


@then("it is stored, then completed after start requests for {count:d} tasks")
def check_durable_path(context: Context, count: int) -> None:
    assert context.answer.outcome is JobOutcome.STORED, context.answer
    assert context.state is DurableJobState.COMPLETED, context.state
    assert len(set(context.runner.started)) == count, context.runner.started
    assert context.unacknowledged == 0, context.unacknowledged
    assert context.keys == ["0011"], context.keys


@when(
    "a caller queries an entry without durable jobs for a queue's pending jobs"
)
def query_count(context: Context) -> None:
    async def run() -> None:
        async with Loopback(context.runner) as site, asyncio.timeout(20):
            durable_jobs = site.entry.durable_jobs
            context.pending = await durable_jobs.pending_of("/quick/")
            context.was_active = durable_jobs.activated.is_set()
            context.state = await durable_jobs.state_of(JobId("0044"))
            context.rows = site.store.keys("entries")

    asyncio.run(run())


@then("the count is {count:d} and the entry holds no lease in the store")
def check_count(context: Context, count: int) -> None:
    assert context.pending == count, context.pending
    assert context.state is None, context.state
    assert not context.was_active
    assert not context.rows, context.rows


@when("a job whose row is {state} is cancelled")
def cancel_row(context: Context, state: str) -> None:
    job_id = JobId("0055")
    record = DurableJobRecord(EntryId("gone", 1), make_queue("/quick/"), SPEC)
    value = encode_row(record) if state != "malformed" else b"\xff"

    async def run() -> None:
        async with Loopback(context.runner) as site, asyncio.timeout(20):
            rows = RowStoreClient(site.store.address)
            await rows.commit((RowWrite(record_key(job_id), value, 0),))
            if state == "already cancelled":
                # An existing cancellation row makes the transaction conflict.
                await rows.commit((RowWrite(cancel_key(job_id), b"", 0),))
            try:
                context.cancelled = await site.entry.durable_jobs.cancel(
                    job_id
                )
            except FulmarError as error:
                context.cancelled = error.code
            await rows.close()

    asyncio.run(run())


@then("the cancellation ends with {result}")
def check_cancel(context: Context, result: str) -> None:
    expected = {
        "success": True,
        "no such job": False,
        "store unavailable": ResultCode.STORE_UNAVAILABLE,
    }
    assert context.cancelled == expected[result], context.cancelled


ROW = RowKey("jobs", "s1", "a")


@when("a transaction is sent to a store that {state}")
def send_transaction(context: Context, state: str) -> None:
    async def run() -> None:
        store = RowStoreStandIn()
        await store.start()
        rows = RowStoreClient(store.address, call_timeout_s=0.3)
        write = RowWrite(ROW, b"text", 0)
        if state == "has the row already":
            await rows.commit((write,))
        elif state != "is healthy":
            store.fault = StoreFault(state.removeprefix("is in mode ").strip())
        context.commit = await rows.commit((write,))
        store.fault = StoreFault.NONE
        row = await rows.read_row(ROW)
        context.row_value = None if row is None else row.value
        await rows.close()
        await store.close()

    asyncio.run(run())


@then("the transaction is {status} and the row contains {value}")
def check_transaction(context: Context, status: str, value: str) -> None:
    assert context.commit.status.value == status, context.commit
    expected = None if value == "nothing" else value.encode()
    assert context.row_value == expected, context.row_value


@then(
    "it is completed and the runner received start requests for {count:d}"
    " tasks"
)
def check_path(context: Context, count: int) -> None:
    assert context.answer.outcome is JobOutcome.COMPLETED, context.answer
    # On a busy machine a run may end early and be retried, so this counts
    # tasks, not runs.
    started = set(context.runner.started)
    assert len(started) == count, context.runner.started


@then("the agent has no runs after its graceful shutdown")
def check_no_runs_left(context: Context) -> None:
    assert context.remaining_runs == 0, context.remaining_runs
