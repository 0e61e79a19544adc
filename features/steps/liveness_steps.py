"""Steps that test recovery within time limits, under virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from features.support.rule_cases import ScriptedSite
from fulmarscale.control.configuration import Contract
from fulmarscale.control.configuration import DataCentreState
from fulmarscale.entry.inputs import EntryForgotten
from fulmarscale.errors import Outcome
from fulmarscale.wire.messages import CallKind
from standins.virtual.fake_table import TableMode

if TYPE_CHECKING:
    from behave.runner import Context

    from fulmarscale.control.entry_list import EntryList
    from fulmarscale.ids import SubmissionId
    from standins.virtual.nodes import EntryNode

PROBE_EVERY_S = 0.25
PROBE_DEADLINE_S = 2.0
RATE = 50
BURST = 50


@given("a simulated site of 3 entries in steady state")
def make_site(context: Context) -> None:
    context.scripted_site = ScriptedSite(entries=3, agents=4)


@when("simulated entry 0 is killed permanently")
def kill_entry(context: Context) -> None:
    context.former_list = context.scripted_site.make_entry_list(0, 1, 2)
    context.scripted_site.site.kill(context.scripted_site.entry(0))


def probe(
    context: Context, entry: EntryNode, submission_id: SubmissionId
) -> list[bool]:
    """Submit a job.

    :returns: a list that gets one item at the response: whether it is done.
    """
    results: list[bool] = []
    context.scripted_site.site.submit(
        entry,
        submission_id,
        1,
        PROBE_DEADLINE_S,
        on_answer=lambda action: results.append(
            action.answer is not None and action.answer.outcome is Outcome.DONE
        ),
    )
    return results


def last_failed_s(
    context: Context,
    duration_s: float,
    owners: tuple[tuple[EntryList, int], ...] = (),
) -> float:
    """Submit jobs at intervals until a duration has passed.

    :returns: when the last job that was not done was submitted, in seconds
        from the start; 0 if all were done.
    """
    scripted_site = context.scripted_site
    began_at = scripted_site.site.now
    probes = []
    while scripted_site.site.now < began_at + duration_s:
        entry = scripted_site.site.random.choice(scripted_site.site.entries)
        submission_id = scripted_site.mint_id(*owners)
        submitted_at = scripted_site.site.now - began_at
        probes.append((submitted_at, probe(context, entry, submission_id)))
        scripted_site.wait(PROBE_EVERY_S)
    scripted_site.wait(PROBE_DEADLINE_S + 2)
    return max(
        (at for at, results in probes if results != [True]), default=0.0
    )


@then("new submissions for its keys are done again within {limit:d} seconds")
def check_keys_done_again(context: Context, limit: int) -> None:
    owners = ((context.former_list, 0),)
    last_s = last_failed_s(context, 12.0, owners=owners)
    assert last_s <= limit, last_s
    assert context.scripted_site.site.history.check() == []


@then("new submissions are done again within {limit:d} seconds")
def check_done_again(context: Context, limit: int) -> None:
    last_s = last_failed_s(context, limit + 6.0)
    assert last_s <= limit, last_s
    assert context.scripted_site.site.history.check() == []


@when("a data centre is taken out of service at simulated entry 1")
def take_out(context: Context) -> None:
    scripted_site = context.scripted_site
    scripted_site.site.change_data_centre(
        scripted_site.entry(1), "dc-0", DataCentreState.OUT
    )


@then("every entry and agent adopts the change within {limit:d} seconds")
def check_adopted(context: Context, limit: int) -> None:
    scripted_site = context.scripted_site

    def is_adopted() -> bool:
        version = scripted_site.site.table.configuration.version
        return all(
            node.core.lease.configuration.version == version
            for node in scripted_site.site.entries
        ) and all(
            agent.core.closed_data_centres.names == ("dc-0",)
            for agent in scripted_site.site.agents
        )

    scripted_site.wait_for(is_adopted, limit)


@when("all simulated entries are killed and restarted")
def restart_all(context: Context) -> None:
    scripted_site = context.scripted_site
    for node in scripted_site.site.entries:
        scripted_site.site.kill(node)
    for number in range(3):
        scripted_site.site.restart(scripted_site.entry(number))


@when("all simulated entries are killed and replaced under new names")
def replace_by_others(context: Context) -> None:
    scripted_site = context.scripted_site
    for node in scripted_site.site.entries:
        scripted_site.site.kill(node)
    for number in range(3):
        scripted_site.site.start_entry(f"other-{number}", "dc-0")


@then("no new entry has a lease after {seconds:d} seconds")
@then("no entry has a lease {seconds:d} seconds later")
def check_no_lease(context: Context, seconds: int) -> None:
    scripted_site = context.scripted_site
    scripted_site.wait(seconds)
    assert not any(
        node.core.lease.is_held(node.clock)
        for node in scripted_site.site.entries
    )


@when("the operator confirms that the old entries are gone")
def confirm_old_gone(context: Context) -> None:
    for node in context.scripted_site.site.entries:
        for number in range(3):
            node.receive(EntryForgotten(f"entry-{number}"))


@when("the simulated platform table is down")
def table_down(context: Context) -> None:
    context.scripted_site.site.table.mode = TableMode.DOWN
    context.scripted_site.wait(2.0)


@when("the simulated platform table is up")
def table_up(context: Context) -> None:
    context.scripted_site.site.table.mode = TableMode.UP


@when("the simulated platform table is down for {seconds:d} seconds")
def table_down_for(context: Context, seconds: int) -> None:
    context.scripted_site.site.table.mode = TableMode.DOWN
    context.last_failed_s = last_failed_s(context, float(seconds))


@then("every submission during the outage was done")
def check_all_done(context: Context) -> None:
    assert context.last_failed_s == 0.0, context.last_failed_s


@given("a simulated site with a contract of 50 tasks a second")
def make_limited_site(context: Context) -> None:
    contract = Contract(
        rate=RATE,
        burst=BURST,
        largest_job=BURST,
        response_time_ms=1000,
        response_share=0.99,
        key_hashes=("0" * 64,),
    )
    context.scripted_site = ScriptedSite(
        entries=3, agents=4, contract=contract
    )


@when(
    "load above the contract is submitted while entries shut down gracefully"
    " and restart"
)
def exceed_contract(context: Context) -> None:
    scripted_site = context.scripted_site
    site = scripted_site.site
    context.began_at = site.now
    for step in range(600):
        if step % 150 == 75:
            site.shut_down_entry(site.random.choice(site.entries))
        ready = [n for n in site.entries if n.core.is_ready(n.clock)]
        if ready:
            node = site.random.choice(ready)
            submission_id = node.core.mint(1, node.clock)[0]
            site.submit(node, submission_id, 5, 4.0, CallKind.SUBMIT)
        scripted_site.wait(0.05)
    context.ended_at = site.now
    scripted_site.wait(6.0)


@then("starts never exceeded the rate and burst of the contract")
def check_contract_rate(context: Context) -> None:
    # Quota grants conform to the contract's token bucket. A start follows
    # its grant by at most the wait for a free slot.
    slack_s = 1.0
    times = sorted(s.time for s in context.scripted_site.site.history.starts)
    for first, start in enumerate(times):
        for last in range(first, len(times), 10):
            span_s = times[last] - start + slack_s
            allowed = BURST + RATE * span_s
            assert last - first + 1 <= allowed, (start, times[last])


@then("at least {share:d} % of the contract's rate was used")
def check_used(context: Context, share: int) -> None:
    span_s = context.ended_at - context.began_at
    starts = len(context.scripted_site.site.history.starts)
    assert starts >= share / 100 * RATE * span_s, (starts, span_s)


@when(
    "the record of a submission is handed over to an entry that is recovering"
    " it"
)
def hand_over_during_recovery(context: Context) -> None:
    scripted_site = context.scripted_site
    submission_id = scripted_site.mint_id(
        (scripted_site.make_entry_list(0, 1, 2), 0)
    )
    scripted_site.submit(0, submission_id)
    scripted_site.wait(1.0)
    (record,) = scripted_site.entry(0).core._records.answered_records()
    recovering = scripted_site.entry(1)
    recovering.core._recovery.start(submission_id, recovering.clock)
    for action in recovering.core._actions.drain():
        recovering._perform(action, recovering.clock)
    recovering.core._records.add_handed_over(record, recovering.clock)
    context.handed_over = record
    scripted_site.wait(3.0)


@then("the entry keeps the response that was handed over")
def check_record_unchanged(context: Context) -> None:
    scripted_site = context.scripted_site
    assert scripted_site.site.history.check() == []
    (actual,) = scripted_site.entry(1).core._records.answered_records()
    assert actual == context.handed_over, (actual, context.handed_over)
