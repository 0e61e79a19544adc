"""Experiments with the dispatcher of the users' platform.

    python -m benches.dispatch benches/workloads/fifteen.json --load 1.4 \
        --seeds 20 --out base.json
    python -m benches.dispatch benches/workloads/fifteen.json --load 1.4 \
        --seeds 20 --against base.json \
        --set fulmarscale.entry.jobs.admission.ADMITTED_SHARE=0.25

Plays a workload under virtual time, each seed on the same arrivals, and prints
the figures of all seeds. With `--against`, prints the paired differences to
an earlier run and their 95% confidence intervals. `--bound` prints what one
scheduler without message delays achieves that knows all run times.
"""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from functools import partial
import importlib
from pathlib import Path
from statistics import fmean
from typing import Final
from typing import TYPE_CHECKING

import click
import msgspec
from scipy import stats

from benches.dispatch_bound import omniscient_completions
from features.support.dispatch_score import score_jobs
from features.support.dispatch_site import DispatchSite
from features.support.dispatch_workload import draw_jobs
from features.support.dispatch_workload import load_workload

if TYPE_CHECKING:
    from features.support.dispatch_workload import Workload

CONFIDENCE: Final = 0.95

PROCESSES: Final = 3
"""Seeds that are played at the same time."""


class Figures(msgspec.Struct):
    """The figures of one seed."""

    seed: int
    values: dict[str, float]


def play(
    workload: Workload,
    load: float,
    settings: tuple[str, ...],
    is_bound: bool,
    seed: int,
) -> Figures:
    """Play one seed and return its figures."""
    for setting in settings:
        path, _, value = setting.partition("=")
        module, _, name = path.rpartition(".")
        setattr(importlib.import_module(module), name, float(value))
    jobs = draw_jobs(workload, load, seed)
    if is_bound:
        return Figures(
            seed,
            score_jobs(workload, jobs, omniscient_completions(workload, jobs)),
        )
    site = DispatchSite(workload, jobs, seed)
    site.advance(workload.length_s + 8.0)
    values = score_jobs(workload, jobs, site.completed_at)
    values["rejected"] = len(site.rejected_at) / len(jobs)
    values["served"] = len(site.completed_at) / len(jobs)
    values["held"] = len(site.held_jobs)
    starts = sum(len(target.history) for target in site.targets)
    lost_s = sum(
        (run.ended_at or run.started_at) - run.started_at
        for run in site.history
        if run.outcome is not None and run.outcome.value != "done"
    )
    values["refused starts"] = site.refused_starts / max(starts, 1)
    values["messages a start"] = site.messages / max(starts, 1)
    values["wasted run seconds"] = lost_s
    values["concurrent runs"] = len(site.concurrent_runs())
    return Figures(seed, values)


def _print_figures(figures: list[Figures]) -> None:
    for name in figures[0].values:
        values = [each.values[name] for each in figures]
        click.echo(
            f"{name:20} {fmean(values):9.4f}   "
            f"{min(values):9.4f} to {max(values):9.4f}"
        )


def _print_differences(figures: list[Figures], against: list[Figures]) -> None:
    """Print the paired differences with their confidence intervals."""
    former = {each.seed: each.values for each in against}
    pairs = [(e.values, former[e.seed]) for e in figures if e.seed in former]
    click.echo(f"difference to the earlier run, {len(pairs)} seeds")
    for name in figures[0].values:
        changes = [new[name] - old[name] for new, old in pairs if name in old]
        if not changes:
            continue
        mean = fmean(changes)
        error = float(stats.sem(changes)) if len(changes) > 1 else 0.0
        reach = error * float(
            stats.t.ppf((1 + CONFIDENCE) / 2, max(len(changes) - 1, 1))
        )
        click.echo(f"{name:20} {mean:+9.4f}   +-{reach:.4f}")


@click.command()
@click.argument("workload_file", type=click.Path(exists=True, path_type=Path))
@click.option("--load", default=1.0, help="Factor on all rates of the file.")
@click.option("--seeds", default=6, help="Number of seeds, from 1.")
@click.option("--out", type=click.Path(path_type=Path))
@click.option("--against", type=click.Path(exists=True, path_type=Path))
@click.option("--set", "settings", multiple=True, metavar="MODULE.NAME=VALUE")
@click.option("--bound", is_flag=True, help="Play the omniscient scheduler.")
def main(
    workload_file: Path,
    load: float,
    seeds: int,
    out: Path | None,
    against: Path | None,
    settings: tuple[str, ...],
    bound: bool,
) -> None:
    """Play a workload and print its figures."""
    workload = load_workload(workload_file)
    with ProcessPoolExecutor(PROCESSES) as pool:
        one = partial(play, workload, load, settings, bound)
        figures = list(pool.map(one, range(1, seeds + 1)))
    _print_figures(figures)
    if out is not None:
        out.write_bytes(msgspec.json.encode(figures))
    if against is not None:
        former = msgspec.json.decode(against.read_bytes(), type=list[Figures])
        _print_differences(figures, former)


if __name__ == "__main__":
    main()
