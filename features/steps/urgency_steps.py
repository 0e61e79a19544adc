"""Steps that judge how queues of different priority are served."""

from __future__ import annotations

from random import Random
from typing import Final
from typing import TYPE_CHECKING

from behave import then
from behave import when

from features.support.dispatch_score import score_jobs
from features.support.dispatch_score import WINDOW_S
from features.support.dispatch_site import DispatchSite
from features.support.dispatch_workload import draw_jobs

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
