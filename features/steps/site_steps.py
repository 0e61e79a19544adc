"""Steps that use a site of separate processes."""

from __future__ import annotations

from collections import Counter
import signal
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from standins.site import wait_until

if TYPE_CHECKING:
    from behave.runner import Context


def submit(context: Context, entry: int) -> None:
    """Submit the prepared job and wait for the response."""
    context.answer = context.driver.submit(
        context.submission_id, context.payloads, entry=entry
    )


def prepare_job(context: Context, count: int, ms: int, entry: int) -> None:
    """Mint a submission id at an entry and set the tasks of a job."""
    context.payloads = [{"ms": ms}] * count
    context.submission_id = context.driver.mint_ids(entry)[0]


@when("a job of {count:d} tasks of {ms:d} ms is submitted to entry {entry:d}")
def submit_job(context: Context, count: int, ms: int, entry: int) -> None:
    prepare_job(context, count, ms, entry)
    submit(context, entry)


@given(
    "a job of {count:d} tasks of {ms:d} ms is in progress at entry {entry:d}"
)
def start_job(context: Context, count: int, ms: int, entry: int) -> None:
    prepare_job(context, count, ms, entry)
    context.job_in_progress = context.driver.call_in_background(
        context.driver.submit,
        context.submission_id,
        context.payloads,
        entry=entry,
    )
    submission_id = context.submission_id
    wait_until(lambda: context.driver.started_indexes(submission_id), 10)


@when("the same job is submitted to entry {entry:d}")
def submit_again(context: Context, entry: int) -> None:
    context.first_answer = getattr(context, "answer", None)
    submit(context, entry)


@then('its outcome is "{outcome}" with {count:d} results')
def check_outcome(context: Context, outcome: str, count: int) -> None:
    answer = context.answer
    assert answer.status == 200, answer
    assert answer.outcome == outcome, answer.body
    results = [task["result"] for task in answer.body["tasks"]]
    assert results == context.payloads, answer.body
    assert len(results) == count


@then('its outcome is "{outcome}"')
def check_plain_outcome(context: Context, outcome: str) -> None:
    assert context.answer.outcome == outcome, context.answer.body


@then("it gets the same response")
def check_same_answer(context: Context) -> None:
    assert context.answer.body == context.first_answer.body


@then("no task was started twice")
def check_no_double_start(context: Context) -> None:
    started = Counter(
        (start.submission_id, start.index) for start in context.driver.starts()
    )
    twice = [task for task, number in started.items() if number > 1]
    assert not twice, twice


@when('the operator takes data centre "{name}" out of service')
def take_out(context: Context, name: str) -> None:
    assert context.driver.set_data_centre(name, "out").status == 200
    context.changed_at = time.time()


@when('the operator brings data centre "{name}" back into service')
def bring_in(context: Context, name: str) -> None:
    assert context.driver.set_data_centre(name, "in").status == 200
    context.changed_at = time.time()


@when("{seconds:d} seconds pass")
def let_time_pass(context: Context, seconds: int) -> None:
    time.sleep(seconds)


def starts_in(context: Context, name: str) -> int:
    """Return how many tasks of the job started in a data centre."""
    return sum(
        start.data_centre == name
        and start.submission_id == context.submission_id
        for start in context.driver.starts()
    )


@then('no task of the job started in data centre "{name}"')
def check_none_started_in(context: Context, name: str) -> None:
    assert starts_in(context, name) == 0


@then('some task of the job started in data centre "{name}"')
def check_some_started_in(context: Context, name: str) -> None:
    assert starts_in(context, name) > 0


@when('"{name}" is sent SIGTERM')
def send_sigterm(context: Context, name: str) -> None:
    context.driver.send_signal(name, signal.SIGTERM)


@then('the job in progress ends as "{outcome}" with {count:d} results')
def check_job_in_progress(context: Context, outcome: str, count: int) -> None:
    context.answer = context.job_in_progress.result(60)
    check_outcome(context, outcome, count)


@then('"{name}" exits with code {code:d}')
def check_exit_code(context: Context, name: str, code: int) -> None:
    assert context.driver.site.wait(name, 60) == code
