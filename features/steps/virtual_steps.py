"""Steps that run the decision code under virtual time."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from itertools import repeat
from typing import TYPE_CHECKING

from behave import then
from behave import when

from standins.virtual.chaos import PROBES
from standins.virtual.chaos import ProfileName
from standins.virtual.chaos import run_seed

if TYPE_CHECKING:
    from behave.runner import Context

WORKERS = 8


@when('seeds {first:d} to {last:d} run with "{profile}" faults')
def run_seeds(context: Context, first: int, last: int, profile: str) -> None:
    seeds = range(first, last + 1)
    with ProcessPoolExecutor(WORKERS) as pool:
        name = ProfileName(profile)
        context.results = list(pool.map(run_seed, seeds, repeat(name)))
    outcomes: Counter[str] = Counter()
    for result in context.results:
        outcomes.update(result.outcomes)
    starts = sum(result.starts for result in context.results)
    print(f"{profile}: {starts} starts, {dict(sorted(outcomes.items()))}")


@then("no rule is broken in any run")
def check_rules(context: Context) -> None:
    broken = [r for r in context.results if r.breaches]
    assert not broken, [(r.seed, r.breaches[:3]) for r in broken[:3]]


@then("after healing every run serves new submissions")
def check_served(context: Context) -> None:
    unserved = [r.seed for r in context.results if r.served < PROBES // 2]
    assert not unserved, unserved
