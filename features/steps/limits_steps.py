"""Steps that test the limits of an entry's memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from features.support.rule_cases import ScriptedSite
from fulmarscale.entry.limits import EntryLimits
from fulmarscale.errors import Outcome

if TYPE_CHECKING:
    from behave.runner import Context

    from fulmarscale.ids import SubmissionId
    from fulmarscale.wire.messages import JobAnswer

DEADLINE_S = 3.0


def submit(
    context: Context, submission_id: SubmissionId, tasks: int
) -> JobAnswer | None:
    """Submit a job and return its response."""
    scripted_site = context.scripted_site
    answers: list[JobAnswer | None] = []
    scripted_site.site.submit(
        scripted_site.entry(0),
        submission_id,
        tasks,
        DEADLINE_S,
        on_answer=lambda action: answers.append(action.answer),
    )
    scripted_site.wait(1.0)
    (answer,) = answers
    return answer


def make_site(context: Context, limits: EntryLimits) -> None:
    context.scripted_site = ScriptedSite(entries=1, agents=1, limits=limits)


@given("a simulated site whose entry stores at most {count:d} records")
def make_site_with_record_limit(context: Context, count: int) -> None:
    make_site(context, EntryLimits(records=count))


@given("a simulated site whose entry queues at most {count:d} tasks")
def make_site_with_queue_limit(context: Context, count: int) -> None:
    make_site(context, EntryLimits(queued_tasks=count))


@when("{count:d} jobs of 1 task are submitted one after another")
def submit_several(context: Context, count: int) -> None:
    owner = (context.scripted_site.make_entry_list(0), 0)
    context.answers = [
        submit(context, context.scripted_site.mint_id(owner), 1)
        for _ in range(count)
    ]


@when("a job of {count:d} tasks is submitted")
def submit_one(context: Context, count: int) -> None:
    context.submission_id = context.scripted_site.mint_id(
        (context.scripted_site.make_entry_list(0), 0)
    )
    context.tasks = count
    context.rejection = submit(context, context.submission_id, count)


@when("the same job is submitted again")
def submit_same(context: Context) -> None:
    context.rejection = submit(context, context.submission_id, context.tasks)


@then(
    "{done:d} jobs are done and {unknown:d} end as outcome_unknown with code"
    " 3005"
)
def check_outcomes(context: Context, done: int, unknown: int) -> None:
    actual = [(a.outcome, a.code.value) for a in context.answers]
    expected = [(Outcome.DONE, 0)] * done
    expected += [(Outcome.OUTCOME_UNKNOWN, 3005)] * unknown
    assert actual == expected, actual


@then("it ends as not_run with code {code:d}")
def check_not_run(context: Context, code: int) -> None:
    answer = context.rejection
    assert answer.outcome is Outcome.NOT_RUN, answer
    assert answer.code.value == code, answer


@then("{count:d} tasks were started")
def check_starts(context: Context, count: int) -> None:
    assert len(context.scripted_site.site.history.starts) == count
    assert context.scripted_site.site.history.check() == []
