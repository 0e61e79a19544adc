"""Steps that play random faults on processes."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from features.support.process_chaos import play
from features.support.process_chaos import STORE_FAULTS

if TYPE_CHECKING:
    from behave.runner import Context


@given(
    "{entries:d} entry processes, {agents:d} agent processes and {callers:d}"
    " callers"
)
def choose_site(
    context: Context, entries: int, agents: int, callers: int
) -> None:
    context.sizes = {
        "entries": entries,
        "agents": agents,
        "callers": callers,
    }


@when("random faults with seed {seed:d} are played for {length_s:g} s")
def play_faults(context: Context, seed: int, length_s: float) -> None:
    folder = Path(context.folder)
    context.chaos, _ = asyncio.run(
        play(folder, seed, length_s, **context.sizes)
    )


@when(
    "random faults and late writes with seed {seed:d} are played for"
    " {length_s:g} s, and {percent:d} % of the durable jobs are cancelled"
)
def play_store_faults(
    context: Context, seed: int, length_s: float, percent: int
) -> None:
    context.chaos, _ = asyncio.run(
        play(
            Path(context.folder),
            seed,
            length_s,
            faults=STORE_FAULTS,
            cancel_share=percent / 100,
            **context.sizes,
        )
    )


@then("at least {count:d} jobs were completed or stored")
def check_progress(context: Context, count: int) -> None:
    assert context.chaos.completed >= count, context.chaos.completed


@then("no start broke a guarantee")
def check_starts(context: Context) -> None:
    violations = context.chaos.violations()
    assert not violations, "\n".join(violations + context.chaos.trace)
