"""Steps that test which entry an agent offers free capacity to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from fulmarscale.agent.capacity_offers import CapacityOffers
from fulmarscale.agent.capacity_offers import EXCLUSIVE_OFFER_S
from fulmarscale.agent.capacity_offers import sum_demands
from fulmarscale.agent.entry_session import EntrySession
from fulmarscale.ids import EntryId
from fulmarscale.runs.messages import ClassDemand
from fulmarscale.runs.messages import EntryMessage

if TYPE_CHECKING:
    from behave.runner import Context

FREED_EVERY_S = 0.1
MILLICORES = 1000


def open_session(
    number: int, demands: tuple[ClassDemand, ...], slack_s: float
) -> EntrySession:
    """Return the stream of an entry with one waiting job."""
    entry = EntryId(f"entry-{number}", 1)
    session = EntrySession(number, entry, 0.0)
    message = EntryMessage(
        entry, 1, None, backlog=MILLICORES, slack_s=slack_s, demands=demands
    )
    session.update_backlog(message, 0.0)
    return session


@given(
    "{entries:d} entries of which {urgent:d} have jobs of priority 0 waiting "
    "and {others:d} of priority 2"
)
def make_classes(
    context: Context, entries: int, urgent: int, others: int
) -> None:
    assert entries == urgent + others
    context.offers = CapacityOffers()
    # The less urgent jobs have to start sooner.
    context.sessions = [
        open_session(
            number, (ClassDemand(priority, MILLICORES, slack_s),), slack_s
        )
        for number, (priority, slack_s) in enumerate(
            [(0, 5.0)] * urgent + [(2, 1.0)] * others
        )
    ]


@given(
    "{entries:d} entries without priorities whose jobs have different latest "
    "starts"
)
def make_entries(context: Context, entries: int) -> None:
    context.offers = CapacityOffers()
    context.sessions = [
        open_session(number, (), float(entries - number))
        for number in range(entries)
    ]


@when("capacity is freed {times:d} times and used at once")
def free_capacity(context: Context, times: int) -> None:
    context.chosen = []
    for number in range(times):
        now = 1.0 + number * FREED_EVERY_S
        session = context.offers.update(context.sessions, now)
        context.chosen.append(session)
        session.offered_at = float("-inf")


@then("priority {priority:d} gets at least {least:d} of the offers")
def check_share(context: Context, priority: int, least: int) -> None:
    offers = [s for s in context.chosen if s.priority == priority]
    assert len(offers) >= least, len(offers)


@then("the entry with the earliest latest start gets all offers")
def check_latest_start(context: Context) -> None:
    assert set(context.chosen) == {context.sessions[-1]}, context.chosen


@when("capacity is freed and the entry that it is offered to is lost")
def lose_entry(context: Context) -> None:
    context.lost = context.offers.update(context.sessions, 1.0)
    context.lost.clear_backlog()


@then("another entry of priority {priority:d} is offered it after 12 ms")
def check_next(context: Context, priority: int) -> None:
    now = 1.0 + EXCLUSIVE_OFFER_S + 0.001
    session = context.offers.update(context.sessions, now)
    assert session is not context.lost
    assert session.priority == priority, session.priority


@then(
    "an entry of priority 0 learns of {own:d} millicores of its class and "
    "{other:d} of the other"
)
def check_demands(context: Context, own: int, other: int) -> None:
    demands = sum_demands(context.sessions[1:])
    assert {each.priority: each.millicores for each in demands} == {
        0: own,
        2: other,
    }
