"""Experiments with dispatch policies, each against a simple baseline.

Every experiment runs some variants on a simulated site and prints the median
and the range of each figure over the seeds.
"""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from itertools import repeat
from statistics import median
from typing import TYPE_CHECKING

import click
import msgspec

from benches.workload import BenchSite
from benches.workload import COOL_DOWN_S
from benches.workload import MAX_JOB_TASKS
from benches.workload import quantile
from benches.workload import ScenarioName
from benches.workload import SCENARIOS
from benches.workload import submit_load
from fulmarscale.control.configuration import Contract
from fulmarscale.control.configuration import DataCentreState
from fulmarscale.entry.limits import EntryLimits
from fulmarscale.entry.placement import SampledPolicy
from fulmarscale.entry.task_dispatch import TaskDispatcher
from fulmarscale.errors import Outcome
from fulmarscale.wire.messages import CallKind
from standins.virtual.fake_table import TableMode

if TYPE_CHECKING:
    from collections.abc import Callable

DEADLINE_STRETCH = 1e9
"""A stretch so large that jobs are due by their deadlines alone."""

EARLY_DISPATCH = EntryLimits(
    ahead=8, small_job=MAX_JOB_TASKS, stretch=DEADLINE_STRETCH
)
"""Limits that let tasks of all jobs wait at the agents for a slot."""

DEADLINE_DISPATCH = EntryLimits(ahead=0, stretch=DEADLINE_STRETCH)
"""Limits that send tasks only to free slots, in order of deadlines.

The expected time of a job is subtracted from its deadline.
"""

CLOSURE_S = 10.0
"""Duration for which a data centre is closed."""

CLOSED_DATA_CENTRE = "dc-1"
"""The data centre that is closed."""


class VariantFigures(msgspec.Struct):
    """The figures of one variant in one run."""

    variant: str
    """The name of the variant."""
    values: dict[str, float]
    """The figures by name."""


def _response_ratios(
    bench: BenchSite, max_tasks: int = MAX_JOB_TASKS
) -> list[float]:
    return [
        (job.answered_at - job.submitted_at) / bench.ideal_response_s(job)
        for job in bench.jobs
        if job.outcome is Outcome.DONE and len(job.run_times_s) <= max_tasks
    ]


def _make_site(seed: int, scenario: ScenarioName, variant: str) -> BenchSite:
    settings = {
        "random, early": (EARLY_DISPATCH, 1),
        "two choices, early": (EARLY_DISPATCH, 2),
        "least load, late, in order": (DEADLINE_DISPATCH, 0),
        "two choices, late, by due time": (EntryLimits(), 2),
        "least load, late, by due time": (EntryLimits(), 0),
    }
    limits, samples = settings[variant]
    return BenchSite(
        seed,
        SCENARIOS[scenario],
        limits=limits,
        policy=(lambda r: SampledPolicy(r, samples)) if samples else None,
    )


def placement(seed: int, scenario: ScenarioName) -> list[VariantFigures]:
    """Compare response times over the ideal, by policy and load."""
    results = []
    for load in (0.3, 0.5, 0.8, 0.95):
        for variant in (
            "random, early",
            "two choices, early",
            "least load, late, in order",
            "two choices, late, by due time",
            "least load, late, by due time",
        ):
            bench = _make_site(seed, scenario, variant)
            submit_load(bench, load, duration_s=40, deadline_s=60)
            bench.scheduler.run_until(bench.now + 2 * COOL_DOWN_S)
            ratios = _response_ratios(bench)
            values = {
                "median": quantile(ratios, 0.5),
                "p90": quantile(ratios, 0.9),
                "p99": quantile(ratios, 0.99),
                "p99 to 100 tasks": quantile(
                    _response_ratios(bench, 100), 0.99
                ),
                "messages a task": bench.messages_per_task(),
                "wasted share": bench.wasted_message_share(),
            }
            results.append(VariantFigures(f"load {load}: {variant}", values))
    return results


def overload(seed: int, scenario: ScenarioName) -> list[VariantFigures]:
    """Compare the goodput at the capacity and at twice the capacity.

    All jobs have a deadline of 3 s.
    """
    results = []
    for variant in ("least load, late, by due time", "two choices, early"):
        done = {}
        for load in (1.0, 2.0):
            bench = _make_site(seed, scenario, variant)
            began_at = bench.now
            submit_load(bench, load, duration_s=40, deadline_s=3.0)
            bench.scheduler.run_until(bench.now + 45)
            work_s = sum(
                sum(job.run_times_s)
                for job in bench.jobs
                if job.outcome is Outcome.DONE
                and job.answered_at <= began_at + 40
            )
            done[load] = work_s / 40 / bench.total_slots
        values = {
            "goodput at 1.0": done[1.0],
            "goodput at 2.0": done[2.0],
            "goodput at 2.0 over 1.0": done[2.0] / done[1.0],
        }
        results.append(VariantFigures(variant, values))
    return results


def quota(seed: int, scenario: ScenarioName) -> list[VariantFigures]:
    """Measure how much of a contract of 100 tasks a second can be used.

    Jobs are submitted at one entry, or spread over all.
    """
    contract = Contract(
        rate=100,
        burst=50,
        largest_job=50,
        response_time_ms=1000,
        response_share=0.99,
        key_hashes=("0" * 64,),
    )
    results = []
    for variant, entry in (("one entry", 0), ("all entries", None)):
        bench = BenchSite(seed, SCENARIOS[scenario], contract=contract)
        began_at = bench.now
        _submit_steadily(bench, 40, 0.02, entry)
        bench.scheduler.run_until(began_at + 40)
        admitted = len(bench.history.starts)
        values = {"admitted a second over rate": (admitted - 50) / 40 / 100}
        results.append(VariantFigures(variant, values))
    return results


def _submit_steadily(
    bench: BenchSite, duration_s: float, interval_s: float, entry: int | None
) -> None:
    until = bench.now + duration_s

    def submit() -> None:
        if bench.now < until:
            bench.submit_job([0.05] * 5, 5.0, entry=entry)
            bench.scheduler.call_later(interval_s, submit)

    submit()


def fairness(seed: int, scenario: ScenarioName) -> list[VariantFigures]:
    """Measure how one customer's burst slows the jobs of another.

    The burst is ten times the other's load.
    """
    results = []
    for variant in ("no burst", "burst"):
        bench = BenchSite(
            seed, SCENARIOS[scenario], other_customers=("lautoka",)
        )
        submit_load(bench, 0.3, duration_s=40)
        if variant == "burst":
            submit_load(bench, 3.0, duration_s=3, customer="lautoka")
        bench.scheduler.run_until(bench.now + 60)
        ratios = [
            (job.answered_at - job.submitted_at) / bench.ideal_response_s(job)
            for job in bench.jobs
            if job.customer == "fjaervik" and job.outcome is Outcome.DONE
        ]
        values = {
            "p90 of the other": quantile(ratios, 0.9),
            "p99 of the other": quantile(ratios, 0.99),
        }
        results.append(VariantFigures(variant, values))
    return results


def failing(seed: int, scenario: ScenarioName) -> list[VariantFigures]:
    """Measure the tasks lost to a worker that fails all of them.

    It begins to fail after 10 s, with and without quarantine.
    """
    results = []
    for variant in ("quarantine", "no quarantine"):
        bench = BenchSite(seed, SCENARIOS[scenario])
        if variant == "no quarantine":
            _disable_quarantine()
        submit_load(bench, 0.5, duration_s=30)
        began_at = bench.now + 10
        bench.scheduler.call_at(began_at, bench.failing_agents.add, "agent-0")
        bench.scheduler.run_until(bench.now + 40)
        late = [s for s in bench.history.starts if s.time > began_at + 2]
        lost = sum(start.agent == "agent-0" for start in late)
        values = {"tasks lost after 2 s": lost / max(1, len(late))}
        results.append(VariantFigures(variant, values))
        TaskDispatcher._record_agent_health = ORIGINAL_RECORD_AGENT_HEALTH  # type: ignore[method-assign]
    return results


ORIGINAL_RECORD_AGENT_HEALTH = TaskDispatcher._record_agent_health
"""The method that `_disable_quarantine` replaces, for its restoration."""


def _disable_quarantine() -> None:
    """Ignore task failures, so that no agent is quarantined."""
    TaskDispatcher._record_agent_health = (  # type: ignore[method-assign]
        lambda *_: None
    )


def cancellation(seed: int, scenario: ScenarioName) -> list[VariantFigures]:
    """Measure the effect of cancelling half of a long queue at once."""
    bench = BenchSite(seed, SCENARIOS[scenario])
    cancelled_jobs = []
    for _ in range(200):
        bench.submit_job([0.3] * 20, 60.0)
    bench.scheduler.run_until(bench.now + 1)
    before = len(bench.history.starts)
    for node in bench.entries:
        jobs = node.core._records.open_jobs
        cancelled_jobs += [(node, job.submission_id) for job in jobs[::2]]
    for node, submission_id in cancelled_jobs:
        bench.submit(node, submission_id, 20, 2.0, CallKind.CANCEL)
    began_at = bench.now
    bench.scheduler.run_until(began_at + 60)
    cancelled = {submission_id for _, submission_id in cancelled_jobs}
    later = [
        start
        for start in bench.history.starts[before:]
        if start.task.submission_id in cancelled
    ]
    last_answer_s = max(job.answered_at for job in bench.jobs) - began_at
    ideal_s = 20 * (200 - len(cancelled_jobs)) * 0.3 / bench.total_slots
    values = {
        "starts of cancelled tasks": float(len(later)),
        "time to the end over ideal": last_answer_s / ideal_s,
        "breaches": float(len(bench.history.check())),
    }
    return [VariantFigures("half of 200 jobs", values)]


def closure(seed: int, scenario: ScenarioName) -> list[VariantFigures]:
    """Measure the work done while a data centre is closed for 10 s.

    The load is 0.7. The work is compared with a run without the closure.
    """
    baseline = BenchSite(seed, SCENARIOS[scenario])
    changed = BenchSite(seed, SCENARIOS[scenario])
    out_at = baseline.now + 10
    in_at = out_at + CLOSURE_S
    changed.scheduler.call_at(
        out_at, _set_data_centre, changed, DataCentreState.OUT
    )
    changed.scheduler.call_at(
        in_at, _set_data_centre, changed, DataCentreState.IN
    )
    for bench in (baseline, changed):
        submit_load(bench, 0.7, duration_s=40, deadline_s=60)
        bench.scheduler.run_until(in_at + 100)
    open_slots = _count_open_slots(changed)
    possible = sum(
        min(_work_done_s(baseline, second, second + 1), open_slots)
        for second in range(int(out_at), int(in_at))
    )
    after = Counter(
        start.agent
        for start in changed.history.starts
        if in_at <= start.time < in_at + 2
    )
    not_done = sum(job.outcome is not Outcome.DONE for job in changed.jobs)
    values = {
        "work done over possible": _work_done_s(changed, out_at, in_at)
        / possible,
        "jobs not done": float(not_done),
        "busiest over mean, on return": max(after.values())
        / (sum(after.values()) / len(after)),
    }
    return [VariantFigures("out for 10 s", values)]


def _count_open_slots(bench: BenchSite) -> int:
    agents = [a for a in bench.agents if a.data_centre != CLOSED_DATA_CENTRE]
    return len(agents) * bench.scenario.slots


def _work_done_s(bench: BenchSite, low: float, high: float) -> float:
    return sum(run.overlap_s(low, high) for run in bench.runs)


def _set_data_centre(bench: BenchSite, state: DataCentreState) -> None:
    bench.change_data_centre(bench.entries[0], CLOSED_DATA_CENTRE, state)


def outage(seed: int, scenario: ScenarioName) -> list[VariantFigures]:
    """Measure the effect of an outage of the table for 10 minutes.

    The load is 0.5.
    """
    results = []
    for variant in ("table up", "table down for 10 min"):
        bench = BenchSite(seed, SCENARIOS[scenario])
        if variant != "table up":
            bench.table.mode = TableMode.DOWN
        submit_load(bench, 0.5, duration_s=600)
        bench.scheduler.run_until(bench.now + 640)
        outcomes = Counter(job.outcome for job in bench.jobs)
        values = {
            "jobs done": outcomes[Outcome.DONE] / len(bench.jobs),
            "median": quantile(_response_ratios(bench), 0.5),
            "p99": quantile(_response_ratios(bench), 0.99),
        }
        results.append(VariantFigures(variant, values))
    return results


EXPERIMENTS: dict[str, Callable[[int, ScenarioName], list[VariantFigures]]] = {
    "placement": placement,
    "overload": overload,
    "quota": quota,
    "fairness": fairness,
    "failing": failing,
    "cancellation": cancellation,
    "closure": closure,
    "outage": outage,
}
"""The experiments by name; each runs one seed of one scenario."""


def _run_seed(
    name: str, seed: int, scenario: ScenarioName
) -> list[VariantFigures]:
    return EXPERIMENTS[name](seed, scenario)


@click.command()
@click.argument("name", type=click.Choice(list(EXPERIMENTS)))
@click.option(
    "--scenario",
    type=click.Choice([name.value for name in ScenarioName]),
    default=ScenarioName.FJAERVIK.value,
    show_default=True,
)
@click.option("--seeds", default=5, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def main(name: str, scenario: str, seeds: int, as_json: bool) -> None:
    """Run an experiment and print medians and ranges over the seeds."""
    scenario_name = ScenarioName(scenario)
    with ProcessPoolExecutor() as pool:
        runs = list(
            pool.map(
                _run_seed,
                repeat(name),
                range(1, seeds + 1),
                repeat(scenario_name),
            )
        )
    if as_json:
        click.echo(msgspec.json.encode(runs))
        return
    for variants in zip(*runs, strict=True):
        click.echo(variants[0].variant)
        for figure in variants[0].values:
            values = [variant.values[figure] for variant in variants]
            click.echo(
                f"  {figure}: {median(values):.3f}"
                f" ({min(values):.3f} to {max(values):.3f})"
            )


if __name__ == "__main__":
    main()
