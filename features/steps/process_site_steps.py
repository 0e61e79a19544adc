"""Steps that use a site whose entries and agents are processes."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Final
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when

from features.support.process_site import make_job
from features.support.process_site import ProcessSite
from features.support.process_site import wait_for

if TYPE_CHECKING:
    from behave.runner import Context

    from standins.runner import RunRecord

JOB: Final = "00000000000000d1"

NOTED_WITHIN_S: Final = 1.0
"""How long after its response a job's ends may be acknowledged."""

LIMIT_S: Final = 18.0

FORGOTTEN_WITHIN_S: Final = 1.0
"""How long after an agent's first list its target may keep ends."""

BEGINNING_S: Final = 0.2
"""How long after the first start of kept jobs their owner is killed."""

RESTARTED_JOBS_S: Final = 5.0
"""How long a restarted owner may take to start its jobs again."""

ATTEMPTS: Final = 3


@given("a site of {entries:d} entry processes and {agents:d} agent processes")
def make_site(context: Context, entries: int, agents: int) -> None:
    context.site = ProcessSite(Path(context.folder), entries, agents)


@when(
    "runner {number:d} restarts between two polls, with its first heartbeat"
    " after {beat_s:g} s"
)
def choose_restart(context: Context, number: int, beat_s: float) -> None:
    context.number = number
    context.first_heartbeat_s = beat_s


@when("a job of {tasks:d} tasks of {work_ms:d} ms is submitted at once")
def choose_job(context: Context, tasks: int, work_ms: int) -> None:
    context.tasks = tasks
    context.work_ms = work_ms


@when("runner {number:d} stays up")
def play_up(context: Context, number: int) -> None:
    play(context, number, goes_down=False)


@when("runner {number:d} goes down when a run ended")
def play_down(context: Context, number: int) -> None:
    play(context, number, goes_down=True)


def play(context: Context, number: int, *, goes_down: bool) -> None:
    """Restart an idle runner, submit a job, and wait for its response.

    Again if the entry placed no task there, as its agent was slow to respond.
    """
    site = context.site

    async def run() -> None:
        async with asyncio.timeout(ATTEMPTS * LIMIT_S), site:
            await site.settle()
            for attempt in range(ATTEMPTS):
                job_id = f"{attempt:08x}{JOB[8:]}"
                context.runs = await play_once(job_id)
                if context.runs:
                    return

    async def play_once(job_id: str) -> list[RunRecord]:
        runner = site.runners[number]
        polls = runner.idle_polls
        await wait_for(lambda: runner.idle_polls > polls + 1)
        runner.restart(context.first_heartbeat_s)

        def runs() -> list[RunRecord]:
            return [run for run in runner.runs if run.task.startswith(job_id)]

        job = asyncio.create_task(
            site.submit(
                site.entries[0],
                job_id,
                make_job(context.tasks, context.work_ms),
                8.0,
            )
        )
        await wait_for(
            lambda: job.done() or any(run.outcome for run in runs())
        )
        if goes_down and runs():
            await runner.stop()
        context.status = await job
        await asyncio.sleep(NOTED_WITHIN_S)
        return runs()

    asyncio.run(run())


@when(
    "runner {number:d} answers nothing for {silent_s:g} s and carries out"
    " starts {late_s:g} s late"
)
def play_late(
    context: Context, number: int, silent_s: float, late_s: float
) -> None:
    site = context.site

    async def run() -> None:
        async with asyncio.timeout(ATTEMPTS * LIMIT_S), site:
            await site.settle()
            for attempt in range(ATTEMPTS):
                job_id = f"{attempt:08x}{JOB[8:]}"
                context.runs = await play_once(job_id)
                if context.runs:
                    return

    async def play_once(job_id: str) -> list[RunRecord]:
        runner = site.runners[number]
        polls = runner.idle_polls
        await wait_for(lambda: runner.idle_polls > polls + 1)
        runner.late_s = lambda: late_s
        job = asyncio.create_task(
            site.submit(
                site.entries[0],
                job_id,
                make_job(context.tasks, context.work_ms),
                10.0,
            )
        )
        runner.is_silent = True
        await asyncio.sleep(silent_s)
        runner.is_silent = False
        runner.late_s = lambda: None
        context.status = await job
        return [run for run in runner.runs if run.task.startswith(job_id)]

    asyncio.run(run())


@then("runner {number:d} began runs of the job")
def check_any_began(context: Context, number: int) -> None:
    assert context.runs


@then("runner {number:d} began runs of the job after its restart")
def check_began(context: Context, number: int) -> None:
    assert any(run.born > 1 for run in context.runs), context.runs


@then("no task had two runs at the same time")
def check_no_overlap(context: Context) -> None:
    overlaps = context.site.overlaps()
    assert not overlaps, overlaps


@then("the job was completed")
def check_completed(context: Context) -> None:
    assert context.status == 200, context.status


@when(
    "{jobs:d} kept jobs of {tasks:d} tasks of {work_ms:d} ms are submitted to"
    " entry 0"
)
def choose_kept_jobs(
    context: Context, jobs: int, tasks: int, work_ms: int
) -> None:
    job = {**make_job(tasks, work_ms), "bestEffort": False}
    context.jobs = [job] * jobs


@when(
    "entry 0 is down for {down_s:g} s, and an agent with ends for a moment of"
    " it"
)
def play_dark_owner(context: Context, down_s: float) -> None:
    site = context.site

    async def run() -> None:
        async with asyncio.timeout(LIMIT_S), site:
            await site.settle()
            begun = sum(len(runner.runs) for runner in site.runners)
            jobs = [
                site.submit(site.entries[0], f"{index:08x}{JOB[8:]}", job, 1.5)
                for index, job in enumerate(context.jobs)
            ]
            submitted = asyncio.gather(*jobs)
            await wait_for(
                lambda: sum(len(each.runs) for each in site.runners) > begun
            )
            await asyncio.sleep(BEGINNING_S)
            site.kill(site.entries[0])
            await submitted
            await asyncio.sleep(down_s / 3)
            runner = max(site.runners, key=lambda each: len(each.listed_ends))
            agent = site.agents[site.runners.index(runner)]
            site.kill(agent)
            context.found = list(runner.listed_ends)
            site.start_process(agent)
            await asyncio.sleep(down_s * 2 / 3)
            site.start_process(site.entries[0])
            await asyncio.sleep(RESTARTED_JOBS_S)

    asyncio.run(run())


@when(
    "agent {number:d} is killed while a job of {tasks:d} tasks of"
    " {work_ms:d} ms is run"
)
def play_killed_agent(
    context: Context, number: int, tasks: int, work_ms: int
) -> None:
    site = context.site

    async def run() -> None:
        async with asyncio.timeout(LIMIT_S), site:
            await site.settle()
            runner = site.runners[number]
            begun = len(runner.runs)
            job = asyncio.create_task(
                site.submit(
                    site.entries[0], JOB, make_job(tasks, work_ms), 5.0
                )
            )
            await wait_for(lambda: len(runner.runs) > begun)
            site.kill(site.agents[number])
            await wait_for(lambda: runner.listed_ends)
            context.found = list(runner.listed_ends)
            polls = runner.lists
            site.start_process(site.agents[number])
            await wait_for(lambda: runner.lists > polls)
            await asyncio.sleep(FORGOTTEN_WITHIN_S)
            context.left = list(runner.listed_ends)
            await job

    asyncio.run(run())


@then("the agent found ends after its restart")
def check_found(context: Context) -> None:
    assert any(run.outcome == "done" for run in context.found), context.found


@then("its runner has no ends left to forget after 1 s")
def check_none_left(context: Context) -> None:
    assert not context.left, context.left


@then("no task started after an end that was taken note of")
def check_noted_ends(context: Context) -> None:
    again = [
        (one, two)
        for one, two in context.site.pairs_of_runs()
        if one.outcome == "done" and one.is_noted
    ]
    assert not again, again
