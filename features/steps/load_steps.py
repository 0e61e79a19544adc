"""Steps that play workloads on a virtual site and judge the answers."""

from __future__ import annotations

from pathlib import Path
from typing import Final
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec

from features.support.dispatch_score import score_jobs
from features.support.dispatch_site import DispatchSite
from features.support.dispatch_workload import draw_jobs
from features.support.dispatch_workload import load_workload

if TYPE_CHECKING:
    from behave.runner import Context

    from features.support.dispatch_workload import Workload

WORKLOADS_FOLDER: Final = Path(__file__).parents[2] / "benches" / "workloads"

COOL_DOWN_S: Final = 8.0
"""Time after the last job in which all jobs end."""

SEED: Final = 1
"""Seed of scenarios that play one."""


def _play(workload: Workload, load: float, seed: int) -> DispatchSite:
    site = DispatchSite(workload, draw_jobs(workload, load, seed), seed)
    site.advance(workload.length_s + COOL_DOWN_S)
    return site


@given('the workload "{name}" at load {load:f} for {length:d} s')
def load_named_workload(
    context: Context, name: str, load: float, length: int
) -> None:
    workload = load_workload(WORKLOADS_FOLDER / f"{name}.json")
    context.workload = msgspec.structs.replace(
        workload, length_s=float(length)
    )
    context.load = load


@when("the workload is played")
def play_workload(context: Context) -> None:
    site = _play(context.workload, context.load, SEED)
    context.sites = [site]


@when("seeds {first:d} to {last:d} of the workload are played")
def play_seeds(context: Context, first: int, last: int) -> None:
    context.sites = [
        _play(context.workload, context.load, seed)
        for seed in range(first, last + 1)
    ]


@when("the same jobs are played without faults")
def play_without_faults(context: Context) -> None:
    bursts = [
        fault for fault in context.workload.faults if fault.kind == "burst"
    ]
    workload = msgspec.structs.replace(context.workload, faults=bursts)
    context.sound_site = _play(workload, context.load, SEED)


@then("at most {share:f} less of the jobs are served than without faults")
def check_served(context: Context, share: float) -> None:
    served = context.sites[0].served_share
    sound = context.sound_site.served_share
    assert served >= sound - share, (served, sound)


@then(
    "a task whose start got no response starts again within {limit:d} ms "
    "in the median"
)
def check_restart(context: Context, limit: int) -> None:
    median_s = context.sites[0].median_restart_s()
    assert median_s <= limit / 1000, median_s


@then("no task ever had two runs at once")
def check_concurrent_runs(context: Context) -> None:
    pairs = [pair for site in context.sites for pair in site.concurrent_runs()]
    assert not pairs, pairs[:3]


@then("at least {share:f} of the worth is served")
def check_worth(context: Context, share: float) -> None:
    site = context.sites[0]
    figures = score_jobs(site.workload, site.jobs, site.completed_at)
    assert figures["worth"] >= share, figures


@then(
    'the last task of job "{earlier}" starts before the first of job "{later}"'
)
def check_order(context: Context, earlier: str, later: str) -> None:
    starts: dict[str, list[float]] = {}
    for run in context.run_site.history:
        starts.setdefault(run.task.job_id, []).append(run.started_at)
    assert max(starts[earlier]) <= min(starts[later]), starts
