"""Steps that cause failures of real processes."""

from __future__ import annotations

from collections import Counter
import signal
import threading
import time
from typing import Any
from typing import TYPE_CHECKING

from behave import given
from behave import step
from behave import then
from behave import when
import httpx

from features.steps.site_steps import prepare_job
from standins.site import wait_until

if TYPE_CHECKING:
    from behave.runner import Context

    from features.support.site_driver import HttpAnswer
    from features.support.site_driver import SiteDriver

LOAD_TASKS = 4
LOAD_TASK_MS = 40
LOAD_PAUSE_S = 0.05
LOAD_DEADLINE_MS = 8000
CALL_TRIES = 40


class Load:
    """Submits jobs continuously, as callers behind a load balancer do.

    A caller uses the next entry that is ready. It sends a submission again
    only if the connection was refused.
    """

    def __init__(self, driver: SiteDriver) -> None:
        self._driver = driver
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(4)
        ]
        self.answers: list[tuple[str, HttpAnswer]] = []
        self.interrupted: list[str] = []
        """Submissions whose connection broke after the request was sent."""

    def start(self) -> None:
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number: int) -> None:
        while not self._stop.is_set():
            self._submit_one(number)
            time.sleep(LOAD_PAUSE_S)

    def _submit_one(self, number: int) -> None:
        entry = self._ready_entry(number)
        if entry is None:
            return
        try:
            submission_id = self._driver.mint_ids(entry)[0]
        except httpx.HTTPError:
            return
        for _ in range(CALL_TRIES):
            entry = self._ready_entry(number)
            if entry is None:
                continue
            try:
                answer = self._driver.submit(
                    submission_id,
                    [{"ms": LOAD_TASK_MS}] * LOAD_TASKS,
                    entry=entry,
                    deadline_ms=LOAD_DEADLINE_MS,
                )
            except httpx.ConnectError:
                continue
            except httpx.HTTPError:
                # The connection broke after the request may have been sent.
                self.interrupted.append(submission_id)
                return
            self.answers.append((submission_id, answer))
            return

    def _ready_entry(self, number: int) -> int | None:
        count = len(self._driver.site.state.entries)
        for offset in range(count):
            entry = (number + offset) % count
            url = f"{self._driver.entry_url(entry)}/readyz"
            try:
                if httpx.get(url, timeout=2).status_code == 200:
                    return entry
            except httpx.HTTPError:
                continue
        time.sleep(0.1)
        return None


@given("jobs are submitted continuously")
def start_load(context: Context) -> None:
    context.load = Load(context.driver)
    context.load.start()
    context.add_cleanup(context.load.stop)
    time.sleep(1)


@when("the continuous load stops")
def stop_load(context: Context) -> None:
    context.load.stop()
    assert len(context.load.answers) > 20, len(context.load.answers)


@when('"{name}" is killed')
def kill_process(context: Context, name: str) -> None:
    context.driver.kill(name)


@when('"{name}" is restarted')
def restart(context: Context, name: str) -> None:
    context.driver.site.restart(name)


@when('"{name}" is paused for {seconds:d} seconds')
def pause_process(context: Context, name: str, seconds: int) -> None:
    context.driver.send_signal(name, signal.SIGSTOP)
    time.sleep(seconds)
    context.driver.send_signal(name, signal.SIGCONT)


@when('"{name}" is restarted gracefully')
def restart_gracefully(context: Context, name: str) -> None:
    context.driver.send_signal(name, signal.SIGTERM)
    assert context.driver.site.wait(name, 60) == 0
    context.driver.site.restart(name)
    kind, number = name.split("-")
    if kind == "entry":
        context.driver.wait_until_ready(int(number))
    context.driver.wait_for_agents(len(context.driver.site.state.agents))
    time.sleep(1)


@step('the platform is in mode "{mode}"')
def set_platform(context: Context, mode: str) -> None:
    context.driver.set_platform_mode(mode)


@given('target {number:d} is in mode "{mode}"')
def set_target(context: Context, number: int, mode: str) -> None:
    context.driver.set_target_mode(number, mode)


@when("entry {entry:d} completes jobs again")
def wait_until_jobs_done(context: Context, entry: int) -> None:
    context.driver.wait_until_ready(entry)

    def is_job_done() -> bool:
        submission_id = context.driver.mint_ids(entry)[0]
        answer = context.driver.submit(
            submission_id, [{"ms": 10}], entry=entry
        )
        return answer.outcome == "done"

    wait_until(is_job_done, 30)


@then("entry {entry:d} is ready again")
def check_ready(context: Context, entry: int) -> None:
    context.driver.wait_until_ready(entry)


@when("200 jobs of 3 tasks are each submitted to both entries at once")
def submit_to_both(context: Context) -> None:
    driver = context.driver
    context.pairs = []
    ids = driver.mint_ids(0, 100) + driver.mint_ids(1, 100)
    for start in range(0, 200, 20):
        batch = [
            [
                driver.call_in_background(
                    driver.submit, submission_id, [{"ms": 5}] * 3, entry=entry
                )
                for entry in (0, 1)
            ]
            for submission_id in ids[start : start + 20]
        ]
        context.pairs += [[f.result(60) for f in pair] for pair in batch]


@then("both submissions of each job got the same response")
def check_pairs(context: Context) -> None:
    for first, second in context.pairs:
        assert first.body == second.body, (first, second)


@then("every job is done")
def check_all_done(context: Context) -> None:
    outcomes = Counter(first.outcome for first, _ in context.pairs)
    assert outcomes == {"done": len(context.pairs)}, outcomes


def check_consistent(
    body: dict[str, Any], started: set[tuple[str, int]]
) -> None:
    """Check a response against all starts that the targets recorded.

    A task that is reported as not run must not have started, and one that is
    reported as done must have.

    :param body: the response's body.
    :param started: submission id and index of each started task.
    """
    submission_id = body["submission_id"]
    started_indices = {
        index for other, index in started if other == submission_id
    }
    if body["outcome"] == "not_run":
        assert not started_indices, body
    for task in body["tasks"]:
        if task["outcome"] == "not_run":
            assert task["index"] not in started_indices, body
        if task["outcome"] == "done":
            assert task["index"] in started_indices, body


def started_tasks(context: Context) -> set[tuple[str, int]]:
    """Return submission id and index of all tasks that targets started."""
    return {(s.submission_id, s.index) for s in context.driver.starts()}


@then("every response is consistent with the recorded starts")
def check_all_consistent(context: Context) -> None:
    started = started_tasks(context)
    for submission_id, answer in context.load.answers:
        assert answer.body.get("submission_id") == submission_id, answer
        check_consistent(answer.body, started)


@then("the job's response is consistent with the recorded starts")
def check_response_consistent(context: Context) -> None:
    check_consistent(context.answer.body, started_tasks(context))


@then("no connection broke during a submission and every job is done")
def check_uninterrupted(context: Context) -> None:
    assert not context.load.interrupted, context.load.interrupted
    outcomes = Counter(a.outcome for _, a in context.load.answers)
    codes = Counter(a.body.get("code") for _, a in context.load.answers)
    assert set(outcomes) == {"done"}, (outcomes, codes)


@then('the job in progress ends as "{outcome}"')
def check_job_in_progress(context: Context, outcome: str) -> None:
    context.answer = context.job_in_progress.result(60)
    assert context.answer.outcome == outcome, context.answer.body


@then('its outcome is one of "{outcomes}"')
def check_one_of(context: Context, outcomes: str) -> None:
    assert context.answer.outcome in outcomes.split(", "), context.answer


@when(
    "a job of {count:d} tasks of {ms:d} ms is submitted to entry {entry:d}"
    " with a new id and a short deadline"
)
def submit_new_id(context: Context, count: int, ms: int, entry: int) -> None:
    prepare_job(context, count, ms, entry)
    context.answer = context.driver.submit(
        context.submission_id,
        context.payloads,
        entry=entry,
        deadline_ms=3000,
    )


@when(
    "a job of {count:d} tasks of {ms:d} ms is submitted to entry {entry:d}"
    " with a deadline of {seconds:d} second"
)
@when(
    "a job of {count:d} tasks of {ms:d} ms is submitted to entry {entry:d}"
    " with a deadline of {seconds:d} seconds"
)
def submit_with_deadline(
    context: Context, count: int, ms: int, entry: int, seconds: int
) -> None:
    prepare_job(context, count, ms, entry)
    context.answer = context.driver.submit(
        context.submission_id,
        context.payloads,
        entry=entry,
        deadline_ms=seconds * 1000,
    )


@when("the job is cancelled at entry {entry:d}")
def cancel(context: Context, entry: int) -> None:
    driver = context.driver
    url = f"{driver.entry_url(entry)}/v1/jobs/{context.submission_id}"
    key = driver.site.state.customers["fjaervik"]
    headers = {"authorization": f"Bearer {key}"}
    answer = driver.send_request("DELETE", url, headers=headers)
    assert answer.status == 200, answer


@then('each of its tasks is "{outcome}" with code {code:d}')
def check_tasks(context: Context, outcome: str, code: int) -> None:
    actual = {(t["outcome"], t["code"]) for t in context.answer.body["tasks"]}
    assert actual == {(outcome, code)}, context.answer.body


@then("no task of the job was started")
def check_none_started(context: Context) -> None:
    assert not context.driver.started_indexes(context.submission_id)


@then("target {number:d} started no task")
def check_target_idle(context: Context, number: int) -> None:
    url = context.driver.site.state.targets[number].url
    assert httpx.get(f"{url}/starts").json() == []


@then(
    'no task started in data centre "{name}" more than {seconds:d} seconds'
    " after the change"
)
def check_no_late_start(context: Context, name: str, seconds: int) -> None:
    limit = context.changed_at + seconds
    late = [
        start
        for start in context.driver.starts()
        if start.data_centre == name and start.started_at > limit
    ]
    assert not late, late


@when('the operator begins to take data centre "{name}" out of service')
def begin_take_out(context: Context, name: str) -> None:
    context.change = context.driver.call_in_background(
        context.driver.set_data_centre, name, "out"
    )


@then("the operator's change is accepted exactly once")
def check_accepted_once(context: Context) -> None:
    answer = context.change.result(30)
    assert answer.status == 200, answer
    assert answer.headers["etag"] == '"2"', answer


@when(
    'two operators change data centre "{name}" from the same version at once'
)
def change_concurrently(context: Context, name: str) -> None:
    driver = context.driver
    path = f"/v1/data-centres/{name}"
    version = driver.send_as_operator("GET", path).headers["etag"]
    futures = [
        driver.call_in_background(
            driver.send_as_operator,
            "PUT",
            path,
            entry,
            version,
            {"state": state},
        )
        for entry, state in ((0, "out"), (1, "in"))
    ]
    context.concurrent_changes = [future.result(30) for future in futures]


@then("one change is accepted and the other gets a conflict")
def check_one_conflict(context: Context) -> None:
    statuses = sorted(answer.status for answer in context.concurrent_changes)
    assert statuses == [200, 412], context.concurrent_changes
    loser = next(a for a in context.concurrent_changes if a.status == 412)
    assert loser.body["code"] == 5001, loser
    assert loser.body["current_version"] == 2, loser
