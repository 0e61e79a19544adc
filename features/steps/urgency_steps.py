"""Steps that judge how queues of different priority are served."""

from __future__ import annotations

from collections import Counter
from random import Random
from statistics import fmean
from typing import Final
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from features.support.dispatch_score import score_jobs
from features.support.dispatch_score import score_windows
from features.support.dispatch_score import WINDOW_S
from features.support.dispatch_site import DispatchSite
from features.support.dispatch_workload import draw_jobs
from fulmarscale.entry.jobs.actions import JobOutcome
from fulmarscale.entry.jobs.job import Job
from fulmarscale.entry.jobs.returning import ReturnByUrgency
from fulmarscale.entry.jobs.urgency import Urgency
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import JobSpec
from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import ServiceName
from fulmarscale.runs.model import Step
from fulmarscale.runs.site_config import Queue
from fulmarscale.runs.site_config import SiteConfig

if TYPE_CHECKING:
    from behave.runner import Context

SEED: Final = 1

COOL_DOWN_S: Final = 8.0
"""Time after the last job in which all jobs end."""


def shares(site: DispatchSite) -> list[float]:
    """Return the share of each queue's worth, the most urgent one first."""
    figures = score_jobs(site.workload, site.jobs, site.completed_at)
    kinds = sorted(site.workload.kinds, key=lambda kind: kind.priority)
    return [figures[f"kind {kind.name}"] for kind in kinds]


@then("no queue is served better than a more urgent one")
def check_order(context: Context) -> None:
    served = shares(context.sites[0])
    assert served == sorted(served, reverse=True), served


@then("no queue is served better than a more urgent one after {at:d} s")
def check_order_after(context: Context, at: int) -> None:
    site: DispatchSite = context.sites[0]
    jobs = [job for job in site.jobs if job.arrives_s >= at]
    figures = score_jobs(site.workload, jobs, site.completed_at)
    kinds = sorted(site.workload.kinds, key=lambda kind: kind.priority)
    served = [figures[f"kind {kind.name}"] for kind in kinds]
    assert served == sorted(served, reverse=True), served


@then(
    "at least {share:f} of the worth is served in each {window:d} s after"
    " {at:d} s"
)
def check_windows_after(
    context: Context, share: float, window: int, at: int
) -> None:
    site: DispatchSite = context.sites[0]
    assert window == WINDOW_S
    served = score_windows(site.workload, site.jobs, site.completed_at)
    later = {each: served[each] for each in served if each >= at / WINDOW_S}
    assert all(value >= share for value in later.values()), served


@then("the most urgent queue is served at least {share:f} of its worth")
def check_most_urgent(context: Context, share: float) -> None:
    served = shares(context.sites[0])
    assert served[0] >= share, served


@then("every queue is served in every 2 s")
def check_starvation(context: Context) -> None:
    site: DispatchSite = context.sites[0]
    windows = int(site.workload.length_s / WINDOW_S)
    served = {
        (job.kind.name, int(job.arrives_s / WINDOW_S))
        for job in site.jobs
        if job.name in site.completed_at
    }
    missing = [
        (kind.name, window)
        for kind in site.workload.kinds
        for window in range(windows)
        if (kind.name, window) not in served
    ]
    assert not missing, missing


@then("no caller waits until its deadline in vain")
def check_held(context: Context) -> None:
    assert not context.sites[0].held_jobs, context.sites[0].held_jobs


@then("every job is answered by its caller's deadline")
def check_answered(context: Context) -> None:
    site: DispatchSite = context.sites[0]
    open_jobs = [name for entry in site.entries for name in entry.open_jobs]
    assert not open_jobs, open_jobs


@then("no job of which a task ran is answered as not run")
def check_rejections(context: Context) -> None:
    site: DispatchSite = context.sites[0]
    ran = {run.task.job_id for run in site.history}
    wrong = sorted(site.rejected_at.keys() & ran)
    assert not wrong, wrong


@when("0.4, 0.55, 0.7, 0.85 and 1.0 of its jobs are played")
def play_curve(context: Context) -> None:
    """Play growing parts of the same jobs."""
    jobs = draw_jobs(context.workload, context.load, SEED)
    random = Random(SEED)
    ranks = {job.name: random.random() for job in jobs}
    context.earned = []
    for part in (0.4, 0.55, 0.7, 0.85, 1.0):
        chosen = [job for job in jobs if ranks[job.name] <= part]
        site = DispatchSite(context.workload, chosen, SEED)
        site.advance(context.workload.length_s + COOL_DOWN_S)
        figures = score_jobs(context.workload, chosen, site.completed_at)
        owed = sum(job.worth for job in chosen)
        context.earned.append(figures["worth"] * owed)


@then("the worth served never falls as the load rises")
def check_curve(context: Context) -> None:
    earned = context.earned
    assert earned == sorted(earned), earned


def make_job(name: str, priority: int, cores: int) -> Job:
    """Return a job of one task of a queue."""
    queue = Queue(
        QueueName(f"p{priority}"), "host", "/", ServiceName("pool"), priority
    )
    step = Step(1, Resources(1000 * cores), 0.5)
    return Job(JobId(name), queue, JobSpec("", (step,)), 0.0, 60.0)


@given(
    "queues of priority 0 and 2, of which an entry starts {urgent:d} and"
    " {other:d} cores a second"
)
def start_tasks(context: Context, urgent: int, other: int) -> None:
    context.urgency = Urgency()
    queues = tuple(make_job("", each, 1).queue for each in (0, 2))
    context.urgency.configure(SiteConfig(queues=queues))
    for tenth in range(200):
        for priority, cores in ((0, urgent), (2, other)):
            job = make_job("run", priority, cores // 10)
            context.urgency.record_placed(job, job.tasks[0], tenth / 10)
    context.now = 20.0


@when("{count:d} jobs of {cores:d} cores of each are rejected at once")
def reject_jobs(context: Context, count: int, cores: int) -> None:
    rule = ReturnByUrgency(context.urgency)
    context.delays = {
        priority: [
            rule.delay_s(
                make_job(f"{priority}-{number}", priority, cores),
                JobOutcome.NOT_RUN,
                0.1,
                context.now,
            )
            for number in range(count)
        ]
        for priority in (0, 2)
    }


@then(
    "each second from 1 to 4 s gets {least:d} to {most:d} of the urgent ones"
)
def check_spread(context: Context, least: int, most: int) -> None:
    counts = Counter(context.delays[0])
    assert all(least <= counts[each] <= most for each in range(1, 5)), counts


@then("the mean delay is shorter for the urgent ones")
def check_return_order(context: Context) -> None:
    means = {each: fmean(context.delays[each]) for each in (0, 2)}
    assert means[0] < means[2], means
