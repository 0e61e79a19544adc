"""Steps that test how an agent keeps its row in the store."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec

from features.support.loopback import LOG
from features.support.loopback import TARGET_INCARNATION
from fulmarscale.platform.agent_registration import AGENT_TABLE
from fulmarscale.platform.agent_registration import AgentRegistrar
from fulmarscale.platform.agent_registration import decode_agent_row
from fulmarscale.platform.store import RowStoreClient
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import ServiceName
from fulmarscale.runs.model import TargetReport
from fulmarscale.runs.model import TargetState
from standins.row_store import RowStoreStandIn

if TYPE_CHECKING:
    from behave.runner import Context

    from fulmarscale.entry.durable.rows import CommitResult
    from fulmarscale.entry.durable.rows import RowWrite

NAME: Final = "a"
"""The agent's name."""

FORMER_TARGET: Final = TargetReport(
    TARGET_INCARNATION,
    ServiceName("press"),
    "here",
    TargetState.DRAINING,
    Resources(16000),
)
"""The agent's target as it is reported before the agent starts again."""

TARGET: Final = msgspec.structs.replace(FORMER_TARGET, state=TargetState.READY)
"""The agent's target as it is reported afterwards."""

CALL_TIMEOUT_S: Final = 0.2


class FailingClient(RowStoreClient):
    """A client of the store whose second transaction ends with an error."""

    transactions = 0

    async def commit(self, writes: tuple[RowWrite, ...]) -> CommitResult:
        """Apply all writes or none."""
        self.transactions += 1
        if self.transactions == 2:
            raise ValueError("unexpected")
        return await super().commit(writes)


async def run_agent(
    store: RowStoreStandIn,
    target: TargetReport | None,
    for_s: float,
    client_type: type[RowStoreClient] = RowStoreClient,
) -> None:
    """Keep an agent's row for a while, as a process that is then killed.

    :param store: the store.
    :param target: the target that is reported; none if none is.
    :param for_s: for how long, in seconds.
    :param client_type: the client of the store.
    """
    client = client_type(store.address, CALL_TIMEOUT_S)
    registrar = AgentRegistrar(client, NAME, "127.0.0.1:1", LOG)
    await registrar.read_previous_row()
    registrar.start()
    if target is not None:
        await asyncio.sleep(0.05)
        registrar.update_target(target, "127.0.0.1:2", 7)
    await asyncio.sleep(for_s)
    await registrar.close()
    await client.close()


def play(context: Context, target: TargetReport | None, for_s: float) -> None:
    """Run the agent's processes one after the other, and read its row.

    :param context: holds which of the agent's writes is applied late.
    :param target: the target that is reported to the last process.
    :param for_s: how long that one runs, in seconds.
    """

    async def run() -> None:
        store = RowStoreStandIn()
        await store.start()
        if context.write != "first write":
            await run_agent(store, FORMER_TARGET, 0.2)
        if context.late_s:
            store.delay_next(context.late_s)
        if context.write == "last write before a restart":
            await run_agent(store, None, 0.02)
        await run_agent(store, target, for_s, context.client_type)
        row = decode_agent_row(store.value(AGENT_TABLE, NAME))
        context.stored_target = row.target
        await store.close()

    asyncio.run(run())


@given(
    "an agent whose {write} gets no answer and is applied {late_s:g} s late"
)
def choose_late_write(context: Context, write: str, late_s: float) -> None:
    context.write, context.late_s = write, late_s
    context.client_type = RowStoreClient


@given("an agent whose write of its target ends with an unexpected error")
def choose_failing_client(context: Context) -> None:
    context.write, context.late_s = "first write", 0.0
    context.client_type = FailingClient


@given("an agent that has written its row")
def choose_no_late_write(context: Context) -> None:
    context.write, context.late_s = None, 0.0
    context.client_type = RowStoreClient


@when("its target is reported and {for_s:g} s pass")
def report_target(context: Context, for_s: float) -> None:
    play(context, TARGET, for_s)


@when("it starts again and no target is reported for {for_s:g} s")
def report_no_target(context: Context, for_s: float) -> None:
    play(context, None, for_s)


@then("its row names the reported target")
def check_reported_target(context: Context) -> None:
    assert context.stored_target == TARGET, context.stored_target


@then("its row names the target of before")
def check_former_target(context: Context) -> None:
    assert context.stored_target == FORMER_TARGET, context.stored_target
