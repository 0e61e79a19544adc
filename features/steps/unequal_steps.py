"""Steps that test how entries use targets of unequal speed."""

from __future__ import annotations

from itertools import cycle
from itertools import islice
from random import Random
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from fulmarscale.entry.jobs.target_speeds import StepRun
from fulmarscale.entry.jobs.target_speeds import TargetSpeeds
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import RunOutcome
from fulmarscale.runs.model import ServiceName
from fulmarscale.runs.model import TargetId
from fulmarscale.runs.model import TargetIncarnation
from fulmarscale.runs.model import TargetReport
from fulmarscale.runs.model import TargetState

if TYPE_CHECKING:
    from behave.runner import Context

    from features.support.dispatch_site import DispatchSite

SEED = 1
STEP_INTERVAL_S = 0.05
TASK_SPREAD = 0.15


def _report(number: int, speed: float, born_ms: int) -> TargetReport:
    return TargetReport(
        TargetIncarnation(TargetId(f"t{number}"), born_ms),
        ServiceName("press"),
        "here",
        TargetState.READY,
        Resources(16000, 65536, 0),
        (f"kind-{speed}",),
    )


@then("at most {share:f} of the work is thrown away")
def check_work_thrown_away(context: Context, share: float) -> None:
    site: DispatchSite = context.sites[0]
    ran_s = {
        is_done: sum(
            run.ended_at - run.started_at
            for run in site.history
            if run.ended_at is not None
            and (run.outcome is RunOutcome.DONE) == is_done
        )
        for is_done in (True, False)
    }
    assert ran_s[False] <= share * sum(ran_s.values()), ran_s


@then(
    'at most {share:f} of the tasks of "{kind}" jobs start on the slowest'
    " targets from {since_s:d} s on"
)
def check_slowest(
    context: Context, share: float, kind: str, since_s: int
) -> None:
    site: DispatchSite = context.sites[0]
    slowest = min(site.workload.speeds)
    speeds = {target.name: target.speed for target in site.targets}
    starts = [
        speeds[run.target] == slowest
        for run in site.history
        if run.task.job_id.startswith(kind)
        and run.started_at - site.began_at >= since_s
    ]
    assert starts
    assert sum(starts) <= share * len(starts), (sum(starts), len(starts))


def _speeds_of_entries(context: Context) -> list[TargetSpeeds]:
    return [
        entry.dispatcher.fleet.speeds for entry in context.sites[0].entries
    ]


@then("every entry knows the speeds of its targets")
def check_known(context: Context) -> None:
    targets = context.sites[0].targets
    for speeds in _speeds_of_entries(context):
        assert speeds.is_uneven
        assert len(speeds.known_speeds) == len(targets), speeds.known_speeds


@then("no entry takes its targets for unequal")
def check_even(context: Context) -> None:
    for speeds in _speeds_of_entries(context):
        assert speeds.known_speeds
        assert not speeds.is_uneven, sorted(speeds.known_speeds)


@given("{count:d} targets with speeds 0.6, 1.0 and 1.6 in turn")
def make_targets(context: Context, count: int) -> None:
    context.real_speeds = list(islice(cycle((0.6, 1.0, 1.6)), count))
    context.speeds = TargetSpeeds()
    for number, speed in enumerate(context.real_speeds):
        report = _report(number, speed, born_ms=1)
        context.speeds.observe_target(f"agent-{number}", report)


@when(
    "{steps:d} steps of {tasks:d} tasks end, whatever their callers declared"
)
def end_steps(context: Context, steps: int, tasks: int) -> None:
    random = Random(SEED)
    for number in range(steps):
        work_s = random.lognormvariate(0, 1)
        chosen = random.sample(range(len(context.real_speeds)), tasks)
        runs = [
            StepRun(
                f"agent-{target}",
                work_s
                * max(0.3, random.gauss(1, TASK_SPREAD))
                / context.real_speeds[target],
            )
            for target in chosen
        ]
        now = number * STEP_INTERVAL_S
        context.speeds.record_step(runs, now)


@when("target {number:d} comes back as another incarnation")
def come_back(context: Context, number: int) -> None:
    report = _report(number, context.real_speeds[number], born_ms=2)
    context.speeds.observe_target(f"agent-{number}", report)


def _mean_speed(speeds: list[float]) -> float:
    product = 1.0
    for speed in speeds:
        product *= speed
    return float(product ** (1 / len(speeds)))


@then("the learned speeds are within {share:f} of the real ones")
def check_learned(context: Context, share: float) -> None:
    for number, speed in enumerate(context.real_speeds):
        check_speed(context, number, share, speed)


@then("the speed of target {number:d} is within {share:f} of {speed:f}")
def check_speed(
    context: Context, number: int, share: float, speed: float
) -> None:
    learned = context.speeds.speed_of(f"agent-{number}")
    learned *= _mean_speed(context.real_speeds)
    assert abs(learned / speed - 1) <= share, (number, learned, speed)
