"""Steps that test tasks that crash their targets, under virtual time."""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
import time
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
from click.testing import CliRunner
import msgspec

from features.support.dispatch_score import score_jobs
from features.support.run_site import TASK
from fulmarscale.cli.crashes import main as list_crashes
from fulmarscale.decoding import decode_msgpack
from fulmarscale.entry.durable.record import decode_record
from fulmarscale.entry.durable.record import encode_row
from fulmarscale.entry.durable.record import make_tombstone
from fulmarscale.entry.jobs.crash_history import CrashHistory
from fulmarscale.events import Event
from fulmarscale.ids import EntryId
from fulmarscale.listeners.http_server import AsgiServer
from fulmarscale.logs import EventLog
from fulmarscale.platform.asgi import CRASHES_PATH
from fulmarscale.platform.asgi import MetricsApp
from fulmarscale.runs.crashes import CrashedRun
from fulmarscale.runs.crashes import CrashState
from fulmarscale.runs.crashes import TargetCrash
from fulmarscale.runs.limits import BUSY_TICK_S
from fulmarscale.runs.metrics import ProcessMetrics
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import TargetId
from fulmarscale.runs.model import TargetIncarnation
from fulmarscale.runs.model import TargetState
from fulmarscale.runs.model import TaskKey
from standins.ports import PortPicker

if TYPE_CHECKING:
    from behave.runner import Context

    from features.support.dispatch_site import DispatchSite
    from features.support.run_site import FakeTarget

DOWN_S = 5.0
"""Time for which targets are down that lose power or leave."""

LATE_START_S = 2.0
"""How late targets begin runs that crash before they do."""

START_AGE_S = 0.05
"""Age of a start request up to which such a target crashes."""

START_WAIT_S = 10.0
"""Longest time until enough targets were asked to start a task."""

CONNECT_RETRY_S = 0.05
"""Pause before a server that does not listen yet is tried again."""

RESTART_S = 3.3
"""Time after a crash at which a target is up again."""

HEARTBEAT_WAIT_S = 0.6
"""Time after which a change of a target is known to its agent."""


@given('task {index:d} of job "{job}" crashes each target that starts it')
def make_task_crash_targets(context: Context, index: int, job: str) -> None:
    context.run_site.make_task_crash_targets(job, index)


@when('task {index:d} of job "{job}" crashes no target any more')
def end_crashes(context: Context, index: int, job: str) -> None:
    for target in context.run_site.targets:
        target.crashing_tasks.discard((job, index))


@then('task {index:d} of job "{job}" has crashed {count:d} targets')
def check_crash_count(
    context: Context, index: int, job: str, count: int
) -> None:
    crashes = [
        at
        for target in context.run_site.targets
        for task, times in target.crash_times.items()
        if (task.job_id, task.index) == (job, index)
        for at in times
    ]
    assert len(crashes) == count, crashes


@when(
    "messages from agents to entry {number:d} arrive in {delay_s:g} s at the"
    " earliest"
)
def stall_messages(context: Context, number: int, delay_s: float) -> None:
    site = context.run_site
    until = site.clock.now + delay_s
    for agent in site.agents:
        pair = (agent.target.name, site.entries[number].name)
        site.stalls[pair] = until


@given(
    "targets that crash reset connections for {s:g} s before they refuse them"
)
def set_reset_time(context: Context, s: float) -> None:
    for target in context.run_site.targets:
        target.resets_for_s = s


@then('task {index:d} of job "{job}" was started at most {most:d} times')
def check_starts(context: Context, index: int, job: str, most: int) -> None:
    starts = context.run_site.starts_of(job, index)
    assert 0 < len(starts) <= most, starts


@then(
    'at least {share:f} of the worth of kinds "{first}" and "{second}" is'
    " served"
)
def check_worth_of_kinds(
    context: Context, share: float, first: str, second: str
) -> None:
    for site in context.sites:
        jobs = [job for job in site.jobs if job.kind.name in (first, second)]
        figures = score_jobs(site.workload, jobs, site.completed_at)
        assert figures["worth"] >= share, (site.seed, figures)


def completed_share(
    site: DispatchSite, since_s: float, until_s: float, kind: str = ""
) -> float:
    """Return the share of the jobs that arrive in a time and are completed.

    :param site: the site.
    :param since_s: start of the time, in seconds from the first job.
    :param until_s: its end.
    :param kind: the kind of jobs; empty for all.
    """
    jobs = [
        job.name
        for job in site.jobs
        if since_s <= job.arrives_s < until_s and kind in ("", job.kind.name)
    ]
    return sum(name in site.completed_at for name in jobs) / len(jobs)


@then(
    "at least {share:f} of the jobs that arrive from {since_s:g} to"
    " {until_s:g} s are completed"
)
def check_completed(
    context: Context, share: float, since_s: float, until_s: float
) -> None:
    for site in context.sites:
        completed = completed_share(site, since_s, until_s)
        assert completed >= share, (site.seed, completed)


@then(
    'at least {share:f} of the jobs of kind "{kind}" from {since_s:g} to'
    " {until_s:g} s are completed"
)
def check_completed_of_kind(
    context: Context, share: float, kind: str, since_s: float, until_s: float
) -> None:
    for site in context.sites:
        completed = completed_share(site, since_s, until_s, kind)
        assert completed >= share, (site.seed, completed)


@then("no task was started more than {most:d} times by crashes")
def check_all_starts(context: Context, most: int) -> None:
    for site in context.sites:
        starts = Counter(
            run.task
            for run in site.history
            if run.task.job_id in site.crashing_jobs and run.task.index == 0
        )
        assert max(starts.values()) <= most, starts.most_common(3)


@then("no job that can be done is answered as failed")
def check_failed(context: Context) -> None:
    for site in context.sites:
        assert site.failed <= site.crashing_jobs, (
            site.seed,
            site.failed - site.crashing_jobs,
        )


@then("no agent outside the part of the confined queue was probed")
def check_probed(context: Context) -> None:
    site = context.run_site
    confined = {
        agent
        for entry in site.entries
        for log in entry.logs
        if log.event is Event.QUEUES_CONFINED
        for agent in log.fields["agents"]
    }
    assert 0 < len(confined) < len(site.agents), confined
    probes = Counter(
        pair
        for pair, messages in context.messages.items()
        for message in messages
        if message.is_probe and pair[1] not in confined
    )
    assert not probes, probes


def find_target_of(context: Context, job: str) -> FakeTarget:
    """Return the target that runs a task of a job."""
    for target in context.run_site.targets:
        if any(task.job_id == job for task in target.running):
            return target
    raise AssertionError(f"no target runs a task of job {job}")


@when(
    'the target that runs job "{job}" loses power, {times:d} times'
    " {gap_s:g} s apart"
)
def lose_power(context: Context, job: str, times: int, gap_s: float) -> None:
    for _ in range(times):
        context.run_site.advance(gap_s)
        find_target_of(context, job).crash(DOWN_S, is_dark=True)


@when(
    'the target that runs job "{job}" crashes by itself, {times:d} times'
    " {gap_s:g} s apart"
)
def crash_under(context: Context, job: str, times: int, gap_s: float) -> None:
    for _ in range(times):
        context.run_site.advance(gap_s)
        find_target_of(context, job).crash(DOWN_S)


@when(
    "the target that is asked to start it crashes before it does,"
    " {times:d} times"
)
def crash_before_start(context: Context, times: int) -> None:
    site = context.run_site
    for target in site.targets:
        target.start_delays_s = [LATE_START_S]
    crashed: list[FakeTarget] = []
    for _ in range(round(START_WAIT_S / START_AGE_S)):
        site.advance(START_AGE_S)
        for target in site.targets:
            if not target.start_delays_s and target not in crashed:
                target.crash(DOWN_S)
                crashed.append(target)
        if len(crashed) >= times:
            break
    assert len(crashed) == times, crashed
    for target in site.targets:
        target.start_delays_s.clear()


@then(
    "the store records {count:d} certain crashes under task {index:d} of job"
    ' "{job}"'
)
def check_certain_crashes(
    context: Context, count: int, index: int, job: str
) -> None:
    record = context.run_site.record_of(job)
    assert dict(record.certain_crashes).get(index) == count, record


@given("a stored record and a crashed run of the format without certainty")
def make_earlier_format(context: Context) -> None:
    record = msgspec.structs.replace(
        make_tombstone(EntryId("entry0", 1)),
        crashes=((0, 2),),
        certain_crashes=((0, 1),),
    )
    row = msgspec.msgpack.decode(encode_row(record))
    context.row = msgspec.msgpack.encode(row[:-1])
    crashed = CrashedRun(
        TaskKey(JobId("a"), 0, 0, 0), QueueName("q"), 0.1, is_certain=True
    )
    run = msgspec.msgpack.decode(msgspec.msgpack.encode(crashed))
    context.crashed_run = msgspec.msgpack.encode(run[:-1])


@then("the record has its crashes, none of them certain")
def check_earlier_record(context: Context) -> None:
    record = decode_record(context.row)
    assert record is not None
    assert record.crashes == ((0, 2),), record
    assert record.certain_crashes == (), record


@then("the run is not certain")
def check_earlier_run(context: Context) -> None:
    run = decode_msgpack(context.crashed_run, CrashedRun)
    assert not run.is_certain, run


@when(
    'the target that runs job "{job}" drains and leaves, {times:d} times'
    " {gap_s:g} s apart"
)
def drain_and_leave(
    context: Context, job: str, times: int, gap_s: float
) -> None:
    site = context.run_site
    for _ in range(times):
        site.advance(gap_s - HEARTBEAT_WAIT_S)
        target = find_target_of(context, job)
        target.state = TargetState.DRAINING
        site.advance(HEARTBEAT_WAIT_S)
        target.crash(DOWN_S)
        target.state = TargetState.READY


def draw_crashed_runs(random: Random, count: int) -> tuple[CrashedRun, ...]:
    """Return runs of different jobs of three queues, the youngest first."""
    runs = [
        CrashedRun(
            TaskKey(JobId(f"{random.getrandbits(64):016x}"), 0, 0, 0),
            QueueName(f"queue-{random.randrange(3)}"),
            random.random(),
        )
        for _ in range(count)
    ]
    return tuple(sorted(runs, key=lambda run: run.age_s))


@when(
    "{rate:d} crashes a second with {count:d} runs each are reported for"
    " {duration_s:d} s"
)
def report_crashes(
    context: Context, rate: int, count: int, duration_s: int
) -> None:
    """Report crashes as agents do, with the successes of later runs.

    Each crash is confirmed once its target is up again. The processor time
    of the last second is measured.
    """
    random = Random(1)
    history = CrashHistory()
    ticks = round(1 / BUSY_TICK_S)
    crashes: list[TargetCrash] = []
    pending: list[tuple[float, TaskKey]] = []
    waiting = [JobId(f"{random.getrandbits(64):016x}") for _ in range(50)]
    used_s = 0.0
    for tick in range(duration_s * ticks):
        now = tick * BUSY_TICK_S
        is_crash_due = tick % (ticks // rate) == 0
        if is_crash_due:
            target = TargetIncarnation(TargetId(f"t{tick}"), tick)
            runs = draw_crashed_runs(random, count)
            crashes.append(
                TargetCrash(target, CrashState.SUSPECTED, 0.02, runs)
            )
            pending += [(now + 1 + run.age_s, run.task) for run in runs]
        began_s = time.process_time()
        if is_crash_due:
            history.update("agent", (crashes[-1],), now)
            restarted = len(crashes) - 1 - round(RESTART_S * rate)
            if restarted >= 0:
                crash = msgspec.structs.replace(
                    crashes[restarted], state=CrashState.CONFIRMED
                )
                history.update("agent", (crash,), now)
        for due_at, task in pending:
            if due_at <= now:
                history.record_success(task, now)
        history.refresh(now)
        for job_id in waiting:
            history.is_suspect(job_id)
        if now >= duration_s - 1:
            used_s += time.process_time() - began_s
        pending = [item for item in pending if item[0] > now]
    context.attribution_s = used_s


@then(
    "finding their causes took at most {limit_s:f} s of processor time in the"
    " last second"
)
def check_attribution_cost(context: Context, limit_s: float) -> None:
    assert context.attribution_s <= limit_s, context.attribution_s


@when(
    "the capacity of target {number:d} shrinks to {cores:d} cores for {s:g} s"
)
def shrink_capacity(
    context: Context, number: int, cores: int, s: float
) -> None:
    site = context.run_site
    target = site.targets[number]
    former = target.capacity
    target.capacity = Resources(cores * 1000, former.memory_mb, 0)
    context.shrunk = (site.clock.now + HEARTBEAT_WAIT_S, site.clock.now + s)

    def grow() -> None:
        target.capacity = former

    site.clock.call_in(s, grow)


@then(
    "no task started on target {number:d} beyond {cores:d} cores while it had"
    " shrunk"
)
def check_shrunk(context: Context, number: int, cores: int) -> None:
    history = context.run_site.targets[number].history
    since, until = context.shrunk
    started = [run for run in history if since <= run.started_at < until]
    assert started, "nothing started on the shrunk target"
    for run in started:
        running = [
            other
            for other in history
            if other.started_at <= run.started_at
            and (other.ended_at or run.started_at) >= run.started_at
        ]
        used = TASK.cpu_millicores * len(running)
        assert used <= cores * 1000, (run, used)


@then("entry {number:d} has quarantined no target")
def check_quarantine(context: Context, number: int) -> None:
    views = context.run_site.entries[number].dispatcher.fleet.views
    assert not any(view.is_quarantined for view in views)


async def is_listening(port: int) -> bool:
    """Return whether a port of loopback accepts connections."""
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionRefusedError:
        return False
    writer.close()
    return True


async def run_list_crashes(document: bytes) -> str:
    """Serve a document as an entry does, and run fulmar-crashes on it.

    :returns: what it prints.
    """
    metrics = ProcessMetrics(EventLog("test", "test"), dict, ())
    app = MetricsApp(metrics, {CRASHES_PATH: lambda: document})
    port = PortPicker().pick()
    server = AsgiServer(app, "127.0.0.1", port)
    server.start()
    try:
        while not await is_listening(port):
            await asyncio.sleep(CONNECT_RETRY_S)
        result = await asyncio.to_thread(
            CliRunner().invoke, list_crashes, [f"127.0.0.1:{port}"]
        )
    finally:
        await server.close()
    assert result.exit_code == 0, result.output
    return result.output


@then(
    'fulmar-crashes lists {count:d} crashes by task "{task}" of queue'
    ' "{queue}" at entry {number:d}'
)
def check_listed_crashes(
    context: Context, count: int, task: str, queue: str, number: int
) -> None:
    site = context.run_site
    reports = site.entries[number].dispatcher.crash_reports(site.clock.now)
    output = asyncio.run(run_list_crashes(msgspec.json.encode(reports)))
    rows = [line.split() for line in output.splitlines()]
    listed = [row for row in rows if task in row and queue in row]
    assert len(listed) == count, output
