"""Steps that test the order of jobs under load, under virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from features.support.rule_cases import ScriptedSite

if TYPE_CHECKING:
    from behave.runner import Context

SLOTS = 4
RUN_S = 0.01
DEADLINE_S = 30.0
LOAD_S = 8.0


def submit(context: Context, tasks: int) -> list[float]:
    """Submit a job.

    :returns: a list that gets one item at the response: the response time.
    """
    scripted_site = context.scripted_site
    began_at = scripted_site.site.now
    response_s: list[float] = []
    submission_id = scripted_site.mint_id(
        (scripted_site.make_entry_list(0), 0)
    )
    scripted_site.site.submit(
        scripted_site.entry(0),
        submission_id,
        tasks,
        DEADLINE_S,
        on_answer=lambda _: response_s.append(
            scripted_site.site.now - began_at
        ),
    )
    return response_s


@given("a simulated site with 4 slots and tasks of 10 ms")
def make_site(context: Context) -> None:
    context.scripted_site = ScriptedSite(
        entries=1, agents=1, slots=SLOTS, run_s=RUN_S
    )


@when("40 jobs of 20 tasks are followed by a sustained load at full capacity")
def follow_by_load(context: Context) -> None:
    context.first = [submit(context, 20) for _ in range(40)]
    every_s = 20 * RUN_S / SLOTS
    for _ in range(int(LOAD_S / every_s)):
        submit(context, 20)
        context.scripted_site.wait(every_s)
    context.scripted_site.wait(LOAD_S)


@then("the first jobs end within {limit:d} seconds")
def check_first(context: Context, limit: int) -> None:
    # Without later jobs, the first jobs occupy all slots for 2 s.
    slowest_s = max(response_s for (response_s,) in context.first)
    assert slowest_s <= limit, slowest_s


@when("a job of 700 tasks is followed by a job of 1 task")
def follow_by_small(context: Context) -> None:
    submit(context, 20)
    context.scripted_site.wait(1.0)
    submit(context, 700)
    context.scripted_site.wait(0.2)
    context.small = submit(context, 1)
    context.scripted_site.wait(5.0)


@then("the small job ends within {limit:f} seconds")
def check_small(context: Context, limit: float) -> None:
    (response_s,) = context.small
    assert response_s <= limit, response_s
