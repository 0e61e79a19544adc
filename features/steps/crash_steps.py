"""Steps that test tasks that crash their targets, under virtual time."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from behave import given
from behave import then

from features.support.dispatch_score import score_jobs

if TYPE_CHECKING:
    from behave.runner import Context


@given('task {index:d} of job "{job}" crashes each target that starts it')
def make_task_crash_targets(context: Context, index: int, job: str) -> None:
    context.run_site.make_task_crash_targets(job, index)


@then('task {index:d} of job "{job}" was started at most {most:d} times')
def check_starts(context: Context, index: int, job: str, most: int) -> None:
    starts = context.run_site.starts_of(job, index)
    assert 0 < len(starts) <= most, starts


@then(
    'at least {share:f} of the worth of kinds "{first}" and "{second}" is'
    " served"
)
def check_worth_of_kinds(
    context: Context, share: float, first: str, second: str
) -> None:
    for site in context.sites:
        jobs = [job for job in site.jobs if job.kind.name in (first, second)]
        figures = score_jobs(site.workload, jobs, site.completed_at)
        assert figures["worth"] >= share, (site.seed, figures)


@then("no task was started more than {most:d} times by crashes")
def check_all_starts(context: Context, most: int) -> None:
    for site in context.sites:
        starts = Counter(
            run.task
            for run in site.history
            if run.task.job_id in site.crashing_jobs and run.task.index == 0
        )
        assert max(starts.values()) <= most, starts.most_common(3)


@then("no job that can be done is answered as failed")
def check_failed(context: Context) -> None:
    for site in context.sites:
        assert site.failed <= site.crashing_jobs, (
            site.seed,
            site.failed - site.crashing_jobs,
        )
