"""Experiments with the policy: each against the simplest baseline."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from itertools import repeat
from statistics import median
from typing import TYPE_CHECKING

import click
import msgspec

from benches.workload import Bench
from benches.workload import COOL_DOWN_S
from benches.workload import LARGEST_JOB
from benches.workload import play
from benches.workload import quantile
from benches.workload import ScenarioName
from benches.workload import SCENARIOS
from fulmarscale.control.configuration import Contract
from fulmarscale.control.configuration import DataCentreState
from fulmarscale.entry.gather import Gatherer
from fulmarscale.entry.limits import EntryLimits
from fulmarscale.entry.place import SampledPolicy
from fulmarscale.errors import Outcome
from fulmarscale.wire.messages import CallKind
from standins.virtual.fake_table import TableMode

if TYPE_CHECKING:
    from collections.abc import Callable

NO_DUE_TIME = 1e9
EARLY = EntryLimits(ahead=8, small_job=LARGEST_JOB, stretch=NO_DUE_TIME)
IN_ORDER = EntryLimits(ahead=0, stretch=NO_DUE_TIME)
CHANGE_S = 10.0
CLOSED = "dc-1"


class Figures(msgspec.Struct):
    """What one run of one variant showed."""

    variant: str
    """What was tried."""
    values: dict[str, float]
    """The figures by name."""


def _ratios(bench: Bench, largest: int = LARGEST_JOB) -> list[float]:
    return [
        (job.answered_at - job.submitted_at) / bench.ideal_s(job)
        for job in bench.jobs
        if job.outcome is Outcome.DONE and len(job.run_times_s) <= largest
    ]


def _bench(seed: int, scenario: ScenarioName, variant: str) -> Bench:
    settings = {
        "random, early": (EARLY, 1),
        "two choices, early": (EARLY, 2),
        "least load, late, in order": (IN_ORDER, 0),
        "two choices, late, by due time": (EntryLimits(), 2),
        "least load, late, by due time": (EntryLimits(), 0),
    }
    limits, samples = settings[variant]
    return Bench(
        seed,
        SCENARIOS[scenario],
        limits=limits,
        policy=(lambda r: SampledPolicy(r, samples)) if samples else None,
    )


def placement(seed: int, scenario: ScenarioName) -> list[Figures]:
    """Response time over the ideal, by policy and load."""
    found = []
    for load in (0.3, 0.5, 0.8, 0.95):
        for variant in (
            "random, early",
            "two choices, early",
            "least load, late, in order",
            "two choices, late, by due time",
            "least load, late, by due time",
        ):
            bench = _bench(seed, scenario, variant)
            play(bench, load, duration_s=40, deadline_s=60)
            bench.scheduler.run_until(bench.now + 2 * COOL_DOWN_S)
            ratios = _ratios(bench)
            values = {
                "median": quantile(ratios, 0.5),
                "p90": quantile(ratios, 0.9),
                "p99": quantile(ratios, 0.99),
                "p99 to 100 tasks": quantile(_ratios(bench, 100), 0.99),
                "messages a task": bench.messages_a_task(),
                "wasted share": bench.wasted_share(),
            }
            found.append(Figures(f"load {load}: {variant}", values))
    return found


def overload(seed: int, scenario: ScenarioName) -> list[Figures]:
    """Goodput at capacity and at twice the capacity, deadline 3 s."""
    found = []
    for variant in ("least load, late, by due time", "two choices, early"):
        done = {}
        for load in (1.0, 2.0):
            bench = _bench(seed, scenario, variant)
            began_at = bench.now
            play(bench, load, duration_s=40, deadline_s=3.0)
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
            "share kept": done[2.0] / done[1.0],
        }
        found.append(Figures(variant, values))
    return found


def quota(seed: int, scenario: ScenarioName) -> list[Figures]:
    """Use of a contract of 100 tasks a second, all through one entry."""
    contract = Contract(
        rate=100,
        burst=50,
        largest_job=50,
        response_time_ms=1000,
        response_share=0.99,
        key_hashes=("0" * 64,),
    )
    found = []
    for variant, entry in (("one entry", 0), ("all entries", None)):
        bench = Bench(seed, SCENARIOS[scenario], contract=contract)
        began_at = bench.now
        _submit_steadily(bench, 40, 0.02, entry)
        bench.scheduler.run_until(began_at + 40)
        admitted = len(bench.history.starts)
        values = {"admitted a second over rate": (admitted - 50) / 40 / 100}
        found.append(Figures(variant, values))
    return found


def _submit_steadily(
    bench: Bench, duration_s: float, every_s: float, entry: int | None
) -> None:
    until = bench.now + duration_s

    def submit() -> None:
        if bench.now < until:
            bench.submit_job([0.05] * 5, 5.0, entry=entry)
            bench.scheduler.after(every_s, submit)

    submit()


def fairness(seed: int, scenario: ScenarioName) -> list[Figures]:
    """One customer's burst of ten times its load, and another's p99."""
    found = []
    for variant in ("no burst", "burst"):
        bench = Bench(seed, SCENARIOS[scenario], others=("lautoka",))
        play(bench, 0.3, duration_s=40)
        if variant == "burst":
            play(bench, 3.0, duration_s=3, customer="lautoka")
        bench.scheduler.run_until(bench.now + 60)
        ratios = [
            (job.answered_at - job.submitted_at) / bench.ideal_s(job)
            for job in bench.jobs
            if job.customer == "fjaervik" and job.outcome is Outcome.DONE
        ]
        values = {
            "p90 of the other": quantile(ratios, 0.9),
            "p99 of the other": quantile(ratios, 0.99),
        }
        found.append(Figures(variant, values))
    return found


def failing(seed: int, scenario: ScenarioName) -> list[Figures]:
    """A worker that fails at once all that it starts, from 10 s on."""
    found = []
    for variant in ("quarantine", "no quarantine"):
        bench = Bench(seed, SCENARIOS[scenario])
        if variant == "no quarantine":
            _forget_failures()
        play(bench, 0.5, duration_s=30)
        began_at = bench.now + 10
        bench.scheduler.at(began_at, bench.failing.add, "agent-0")
        bench.scheduler.run_until(bench.now + 40)
        late = [s for s in bench.history.starts if s.time > began_at + 2]
        lost = sum(start.agent == "agent-0" for start in late)
        values = {"tasks lost after 2 s": lost / max(1, len(late))}
        found.append(Figures(variant, values))
        Gatherer._note_health = NOTE_HEALTH  # type: ignore[method-assign]
    return found


NOTE_HEALTH = Gatherer._note_health


def _forget_failures() -> None:
    Gatherer._note_health = (  # type: ignore[method-assign]
        lambda *_: None
    )


def cancellation(seed: int, scenario: ScenarioName) -> list[Figures]:
    """Half of a long queue is cancelled at once."""
    bench = Bench(seed, SCENARIOS[scenario])
    ids = []
    for _ in range(200):
        bench.submit_job([0.3] * 20, 60.0)
    bench.scheduler.run_until(bench.now + 1)
    before = len(bench.history.starts)
    for node in bench.entries:
        jobs = node.core._records.open_jobs
        ids += [(node, job.submission_id) for job in jobs[::2]]
    for node, made in ids:
        bench.submit(node, made, 20, 2.0, CallKind.CANCEL)
    began_at = bench.now
    bench.scheduler.run_until(began_at + 60)
    cancelled = {made for _, made in ids}
    later = [
        start
        for start in bench.history.starts[before:]
        if start.task.submission_id in cancelled
    ]
    ended = max(job.answered_at for job in bench.jobs) - began_at
    left = 20 * (200 - len(ids)) * 0.3 / bench.total_slots
    values = {
        "starts of cancelled tasks": float(len(later)),
        "time to the end over ideal": ended / left,
        "breaches": float(len(bench.history.check())),
    }
    return [Figures("half of 200 jobs", values)]


def closure(seed: int, scenario: ScenarioName) -> list[Figures]:
    """A data centre leaves for 10 s and returns, at load 0.7."""
    plain = Bench(seed, SCENARIOS[scenario])
    changed = Bench(seed, SCENARIOS[scenario])
    out_at = plain.now + 10
    in_at = out_at + CHANGE_S
    changed.scheduler.at(out_at, _operate, changed, DataCentreState.OUT)
    changed.scheduler.at(in_at, _operate, changed, DataCentreState.IN)
    for bench in (plain, changed):
        play(bench, 0.7, duration_s=40, deadline_s=60)
        bench.scheduler.run_until(in_at + 100)
    open_slots = _open_slots(changed)
    possible = sum(
        min(_work(plain, second, second + 1), open_slots)
        for second in range(int(out_at), int(in_at))
    )
    after = Counter(
        start.agent
        for start in changed.history.starts
        if in_at <= start.time < in_at + 2
    )
    not_done = sum(job.outcome is not Outcome.DONE for job in changed.jobs)
    values = {
        "work done over possible": _work(changed, out_at, in_at) / possible,
        "jobs not done": float(not_done),
        "busiest over mean, on return": max(after.values())
        / (sum(after.values()) / len(after)),
    }
    return [Figures("out for 10 s", values)]


def _open_slots(bench: Bench) -> int:
    agents = [a for a in bench.agents if a.data_centre != CLOSED]
    return len(agents) * bench.scenario.slots


def _work(bench: Bench, low: float, high: float) -> float:
    return sum(seen.within(low, high) for seen in bench.work)


def _operate(bench: Bench, state: DataCentreState) -> None:
    bench.change_data_centre(bench.entries[0], CLOSED, state)


def outage(seed: int, scenario: ScenarioName) -> list[Figures]:
    """The table is down for 10 minutes, at load 0.5."""
    found = []
    for variant in ("table up", "table down for 10 min"):
        bench = Bench(seed, SCENARIOS[scenario])
        if variant != "table up":
            bench.table.mode = TableMode.DOWN
        play(bench, 0.5, duration_s=600)
        bench.scheduler.run_until(bench.now + 640)
        outcomes = Counter(job.outcome for job in bench.jobs)
        values = {
            "jobs done": outcomes[Outcome.DONE] / len(bench.jobs),
            "median": quantile(_ratios(bench), 0.5),
            "p99": quantile(_ratios(bench), 0.99),
        }
        found.append(Figures(variant, values))
    return found


EXPERIMENTS: dict[str, Callable[[int, ScenarioName], list[Figures]]] = {
    "placement": placement,
    "overload": overload,
    "quota": quota,
    "fairness": fairness,
    "failing": failing,
    "cancellation": cancellation,
    "closure": closure,
    "outage": outage,
}
"""The experiments by name."""


def _run_one(name: str, seed: int, scenario: ScenarioName) -> list[Figures]:
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
    """Run an experiment and print medians and the spread over seeds."""
    chosen = ScenarioName(scenario)
    with ProcessPoolExecutor() as pool:
        runs = list(
            pool.map(
                _run_one, repeat(name), range(1, seeds + 1), repeat(chosen)
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
