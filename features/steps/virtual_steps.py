"""Steps that simulate the decision code under virtual time."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from itertools import repeat
from typing import TYPE_CHECKING

from behave import then
from behave import when

from features.support.rule_cases import CASES
from features.support.rule_removals import RULE_REMOVALS
from features.support.rule_removals import run_seed_without
from features.support.rule_removals import without_rule
from standins.virtual.chaos import PROBE_COUNT
from standins.virtual.chaos import ProfileName
from standins.virtual.chaos import run_seed

if TYPE_CHECKING:
    from behave.runner import Context

WORKERS = 8


@when('seeds {first:d} to {last:d} are simulated with "{profile:w}" faults')
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


@then("no simulation violates an invariant")
def check_invariants(context: Context) -> None:
    broken = [r for r in context.results if r.violations]
    assert not broken, [(r.seed, r.violations[:3]) for r in broken[:3]]


@then(
    "after the faults end at least half of the probes are done in every"
    " simulation"
)
def check_done_after_faults(context: Context) -> None:
    failed = [
        r.seed for r in context.results if r.served_probes < PROBE_COUNT // 2
    ]
    assert not failed, failed


@when('the scripted run for "{rule}" is simulated')
def run_case(context: Context, rule: str) -> None:
    context.case_violations = CASES[rule]()


@when('the scripted run for "{rule}" is simulated without the rule')
def run_case_without(context: Context, rule: str) -> None:
    with without_rule(rule):
        context.case_violations = CASES[rule]()


@then("no invariant is violated")
def check_no_violation(context: Context) -> None:
    assert not context.case_violations, context.case_violations[:3]


@then("an invariant is violated")
def check_violation(context: Context) -> None:
    assert context.case_violations


@when(
    'seeds {first:d} to {last:d} are simulated with "{profile:w}" faults and'
    ' without the rule "{rule}"'
)
def run_seeds_without(
    context: Context, first: int, last: int, profile: str, rule: str
) -> None:
    seeds = range(first, last + 1)
    name = ProfileName(profile)
    with ProcessPoolExecutor(WORKERS) as pool:
        context.results = list(
            pool.map(run_seed_without, seeds, repeat(name), repeat(rule))
        )
    context.rule = rule


@then("some simulation violates an invariant or completes no probe")
def check_some_violation(context: Context) -> None:
    assert any(r.violations or not r.served_probes for r in context.results)


@then("each rule has a scripted run or random simulations")
def check_all_rules_tested(context: Context) -> None:
    tested = {
        row["rule"]
        for scenario in context.feature.scenarios
        for examples in getattr(scenario, "examples", [])
        for row in examples.table
    }
    assert tested == set(RULE_REMOVALS), tested ^ set(RULE_REMOVALS)
