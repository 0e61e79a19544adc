"""Steps of starts at agents that entries have lost, under virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import when

if TYPE_CHECKING:
    from behave.runner import Context


@when("agent {number:d} loses power for good")
def cut_power(context: Context, number: int) -> None:
    # Its streams stay open, as nothing closes them.
    context.run_site.agents[number].is_up = False


@when("agent {number:d} is paused for {span_s:g} s")
def pause_agent(context: Context, number: int, span_s: float) -> None:
    agent = context.run_site.agents[number]
    agent.is_paused = True
    context.run_site.clock.call_in(span_s, agent.resume)


@when(
    "messages of target {target:d} to entry {number:d} are held back for"
    " {span_s:g} s"
)
def hold_back(
    context: Context, target: int, number: int, span_s: float
) -> None:
    site = context.run_site
    key = (site.targets[target].name, site.entries[number].name)
    site.stalls[key] = site.clock.now + span_s


@when(
    "streams of entry {number:d} to all agents that are up are disconnected"
    " for {span_s:g} s"
)
def break_open_streams(context: Context, number: int, span_s: float) -> None:
    site = context.run_site
    entry = site.entries[number]
    for agent in site.agents:
        if not agent.is_up:
            continue
        site.disconnect(entry, agent)
        site.clock.call_in(
            span_s, lambda agent=agent: site.connect(entry, agent)
        )
