"""Steps that play workloads on a virtual site and judge the answers."""

from __future__ import annotations

from pathlib import Path
from random import Random
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
from fulmarscale.entry.jobs.estimates import RunTimes
from fulmarscale.runs.model import QueueName

if TYPE_CHECKING:
    from behave.runner import Context

    from features.support.dispatch_workload import Workload

WORKLOADS_FOLDER: Final = Path(__file__).parents[2] / "benches" / "workloads"

COOL_DOWN_S: Final = 8.0
"""Time after the last job in which all jobs end."""

QUEUE: Final = QueueName("quick")

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


@given(
    'the workload "{name}" at load {load:f} for {length:d} s without faults'
)
def load_workload_without_faults(
    context: Context, name: str, load: float, length: int
) -> None:
    load_named_workload(context, name, load, length)
    context.workload = msgspec.structs.replace(context.workload, faults=[])


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


@given(
    "{runs:d} runs of about {ran_s:f} s whose callers declared {low_s:f} to"
    " {high_s:f} s at random"
)
def record_random_runs(
    context: Context, runs: int, ran_s: float, low_s: float, high_s: float
) -> None:
    random = Random(SEED)
    context.run_times = RunTimes()
    for _ in range(runs):
        context.run_times.record(
            QUEUE,
            random.uniform(low_s, high_s),
            ran_s * random.uniform(0.9, 1.1),
        )


@given("{runs:d} runs of half the declared run time")
def record_proportional_runs(context: Context, runs: int) -> None:
    random = Random(SEED)
    context.run_times = RunTimes()
    for _ in range(runs):
        declared_s = random.uniform(0.1, 2.5)
        context.run_times.record(QUEUE, declared_s, declared_s / 2)


@then(
    "a declared run time of {declared_s:f} s is taken for {low_s:f} to"
    " {high_s:f} s"
)
def check_estimate(
    context: Context, declared_s: float, low_s: float, high_s: float
) -> None:
    estimate_s = context.run_times.estimate_s(QUEUE, declared_s)
    assert low_s <= estimate_s <= high_s, estimate_s


@then(
    "slow targets start at most {most:d} tasks a second and entry from"
    " {since_s:d} to {until_s:d} s"
)
def check_slow_starts(
    context: Context, most: int, since_s: int, until_s: int
) -> None:
    site: DispatchSite = context.sites[0]
    starts = [
        run
        for run in site.history
        if run.target in site.slowed_targets
        and since_s <= run.started_at - site.began_at < until_s
    ]
    limit = most * (until_s - since_s) * site.workload.entries
    assert len(starts) <= limit * len(site.slowed_targets), len(starts)
