"""Steps that test what one durable job, call or entry may cost others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from behave import step
from behave import then
from behave import when
import msgspec

from features.support.run_site import TASK
from fulmarscale.entry.durable.actions import StorageOutcome

if TYPE_CHECKING:
    from behave.runner import Context

ORDINARY = "ordinary"
"""Prefix of the ids of the jobs that must not be affected."""

ODD_STEPS = {
    "needs a label that no target has": ("none", TASK),
    "needs labels that no target has": ("none{number}", TASK),
    "needs more memory than any target has": (
        "",
        msgspec.structs.replace(TASK, memory_mb=10**9),
    ),
    'needs the label "rare"': ("rare", TASK),
}
"""Label and demand of the last step of jobs that can't be placed."""


@step('target {number:d} is the only one with the label "{label}"')
def set_label(context: Context, number: int, label: str) -> None:
    context.run_site.targets[number].labels = (label,)
    context.run_site.advance(1.0)


@when(
    'durable job "{job}" of {tasks:d} tasks of {ms:d} ms needs the label'
    ' "{label}" at entry {number:d}'
)
def submit_labelled(
    context: Context, job: str, tasks: int, ms: int, label: str, number: int
) -> None:
    entry = context.run_site.entries[number]
    entry.submit_durable(job, (tasks,), ms, last_label=label)
    context.run_site.advance(0.1)


@when("{odd:d} jobs are submitted to entry {number:d} whose last step {why}")
def submit_odd(context: Context, odd: int, number: int, why: str) -> None:
    label, demand = ODD_STEPS[why]
    for job in range(odd):
        context.run_site.entries[number].submit_durable(
            f"odd{job}", (1, 1), 20, label.format(number=job), demand
        )


@when(
    "{jobs:d} durable jobs of {tasks:d} tasks of {ms:d} ms are submitted to"
    " entry {number:d}, {gap:d} ms apart"
)
def submit_ordinary(
    context: Context, jobs: int, tasks: int, ms: int, number: int, gap: int
) -> None:
    for job in range(jobs):
        context.run_site.entries[number].submit_durable(
            f"{ORDINARY}{job}", (tasks,), ms
        )
        context.run_site.advance(gap / 1000)


@then("every accepted ordinary job is stored as completed")
def check_ordinary(context: Context) -> None:
    site = context.run_site
    accepted = [
        job
        for job, outcome in site.submission_outcomes().items()
        if job.startswith(ORDINARY) and outcome is StorageOutcome.STORED
    ]
    assert accepted
    states = {job: site.record_of(job).state.value for job in accepted}
    bad = {job: state for job, state in states.items() if state != "completed"}
    assert not bad, (len(bad), list(bad.items())[:3])


@then("no agent is told of waiting tasks")
def check_backlog(context: Context) -> None:
    for entry in context.run_site.entries:
        told = [
            view.name
            for view in entry.dispatcher.agents
            if view.has_reported_backlog
        ]
        assert not told, told
