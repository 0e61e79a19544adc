"""Steps that test how long tasks wait for the rack of their data."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from features.steps.load_steps import COOL_DOWN_S
from features.support.dispatch_score import score_jobs
from features.support.dispatch_site import BenchEntry
from features.support.dispatch_site import DispatchSite
from features.support.dispatch_workload import draw_jobs
from fulmarscale.entry.jobs.job import Job
from fulmarscale.entry.jobs.placement_wait import AlwaysWait
from fulmarscale.entry.jobs.placement_wait import NeverWait
from fulmarscale.entry.jobs.placement_wait import PlacementWait
from fulmarscale.entry.jobs.placement_wait import RackForecast
from fulmarscale.entry.jobs.placement_wait import START_S
from fulmarscale.entry.jobs.placement_wait import WaitWhileSooner
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import JobSpec
from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import ServiceName
from fulmarscale.runs.model import Step
from fulmarscale.runs.site_config import Queue

if TYPE_CHECKING:
    from behave.runner import Context

SEED: Final = 1
NOW: Final = 10.0
RUN_S: Final = 0.4
FAR_FACTOR: Final = 2.0
LOST_RACK: Final = "rack-0"
DOWN_S: Final = 60.0


class WaitingSite(DispatchSite):
    """A site whose entries wait for racks by a given rule."""

    wait: PlacementWait

    def make_entry(self, name: str, incarnation: int) -> BenchEntry:
        """Start an entry that waits by the rule."""
        entry = super().make_entry(name, incarnation)
        entry.dispatcher.fleet.placement_wait = self.wait
        return entry


@when('it is played with tasks that wait "never", "sooner" and "always"')
def play_rules(context: Context) -> None:
    context.worth = {}
    context.sites = []
    workload = context.workload
    jobs = draw_jobs(workload, context.load, SEED)
    rules = {
        "never": NeverWait(),
        "sooner": WaitWhileSooner(workload.far_factor),
        "always": AlwaysWait(),
    }
    for name, rule in rules.items():
        site_class = type("Site", (WaitingSite,), {"wait": rule})
        site = site_class(workload, jobs, SEED)
        site.advance(workload.length_s + COOL_DOWN_S)
        scores = score_jobs(workload, jobs, site.completed_at)
        context.worth[name] = scores["worth"]
        context.sites.append(site)


@then(
    'waiting "{rule}" serves at least {more:f} more of the worth than'
    ' "{other}"'
)
def check_more(context: Context, rule: str, more: float, other: str) -> None:
    worth = context.worth
    assert worth[rule] >= worth[other] + more, worth


@then('waiting "{rule}" serves no less of the worth than "{other}"')
def check_no_less(context: Context, rule: str, other: str) -> None:
    assert context.worth[rule] >= context.worth[other], context.worth


@given("the targets of the first rack are lost from {at_s:d} s on")
def lose_rack(context: Context, at_s: int) -> None:
    context.lost_at_s = float(at_s)


@when("the workload is played with that loss")
def play_loss(context: Context) -> None:
    workload = context.workload
    jobs = draw_jobs(workload, context.load, SEED)
    site = DispatchSite(workload, jobs, SEED)
    site.advance(context.lost_at_s)
    for target in site.targets:
        if LOST_RACK in target.labels:
            target.crash(DOWN_S, is_dark=True)
    site.advance(workload.length_s - context.lost_at_s + COOL_DOWN_S)
    context.sites = [site]


@then(
    "every job is answered, and most jobs with data on the lost rack are"
    " completed"
)
def check_loss(context: Context) -> None:
    (site,) = context.sites
    answered = site.completed_at.keys() | site.rejected_at.keys()
    answered |= site.failed
    assert all(job.name in answered for job in site.jobs)
    affected = [
        job.name
        for job in site.jobs
        if job.rack == LOST_RACK and job.arrives_s > context.lost_at_s + 1.0
    ]
    completed = [name for name in affected if name in site.completed_at]
    assert len(completed) > len(affected) / 2, (completed, affected)


@given(
    "a job whose latest start is in {slack_ms:d} ms and that has waited"
    " {age_ms:d} ms"
)
def make_job(context: Context, slack_ms: int, age_ms: int) -> None:
    queue = Queue(QueueName("q"), "host", "/q/", ServiceName("service"))
    spec = JobSpec("", (Step(1, Resources(1000), RUN_S),))
    arrived_at = NOW - age_ms / 1000
    job = Job(JobId("job"), queue, spec, arrived_at, float("inf"))
    job.latest_start_at = NOW + slack_ms / 1000
    context.job = job


@then("waiting {wait_ms:d} ms for its rack pays: {answer}")
def check_pays(context: Context, wait_ms: int, answer: str) -> None:
    # A rack whose capacity is freed once in that time, less the start.
    forecast = RackForecast(1000, 1000, wait_ms / 1000 - START_S)
    rule = WaitWhileSooner(FAR_FACTOR)
    pays = rule.pays(context.job, RUN_S, forecast, NOW)
    assert pays is (answer == "yes"), forecast
