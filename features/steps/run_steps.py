"""Steps that test dispatchers and run guards under virtual time."""

from __future__ import annotations

from collections import Counter
from concurrent.futures import ProcessPoolExecutor
import os
import subprocess
import sys
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import msgspec

from features.support.run_chaos import play_large_site_seed
from features.support.run_chaos import play_overlap_seed
from features.support.run_chaos import play_seed
from features.support.run_chaos import play_target_fault_seed
from features.support.run_site import EntryNode
from features.support.run_site import QUEUE
from features.support.run_site import RunSite
from features.support.run_site import TASK
from fulmarscale.agent.completions import UnacknowledgedCompletions
from fulmarscale.agent.run import ListedCompletion
from fulmarscale.agent.run import RunList
from fulmarscale.agent.run_guard import RunGuard
from fulmarscale.entry.jobs.actions import JobOutcome
from fulmarscale.entry.jobs.capacity_prober import CapacityProber
from fulmarscale.entry.jobs.fleet import Fleet
from fulmarscale.entry.jobs.job import Job
from fulmarscale.events import Event
from fulmarscale.runs.limits import ECHO_GAP_S
from fulmarscale.runs.limits import MAX_STATE_AGE_S
from fulmarscale.runs.messages import RunEnd
from fulmarscale.runs.messages import RunReport
from fulmarscale.runs.model import EndCause
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import JobSpec
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import RunOutcome
from fulmarscale.runs.model import Step
from fulmarscale.runs.model import TargetState
from fulmarscale.runs.model import TaskKey
from fulmarscale.runs.site_config import SiteConfig
from fulmarscale.wire.codec import MessagePackCodec

if TYPE_CHECKING:
    from behave.runner import Context

    from features.support.run_site import AgentNode
    from fulmarscale.agent.run_actions import SendMessage
    from fulmarscale.entry.jobs.actions import SendEntryMessage

WORKERS = 3


@given(
    "a simulated site of {entries:d} entries and {targets:d} targets of"
    " {cores:d} cores"
)
def make_site(
    context: Context, entries: int, targets: int, cores: int
) -> None:
    context.run_site = RunSite(entries, targets, cores)
    context.submitted = []


@given(
    "the next {count:d} start requests to target {number:d} are executed"
    " {late_s:f} s late"
)
def delay_start_requests(
    context: Context, count: int, number: int, late_s: float
) -> None:
    target = context.run_site.targets[number]
    target.start_delays_s = [late_s] * count
    target.is_lease_from_arrival = True


@when(
    "{jobs:d} jobs of {tasks:d} tasks of {work_ms:d} ms are submitted at once"
)
def submit_at_once(
    context: Context, jobs: int, tasks: int, work_ms: int
) -> None:
    entries = context.run_site.entries
    for number in range(jobs):
        entry = entries[number % len(entries)]
        entry.submit(f"job{number}", tasks, work_ms)
        context.submitted.append((entry, f"job{number}"))


@when(
    'job "{job}" of {tasks:d} tasks of {work_ms:d} ms is submitted to entry'
    " {number:d}"
)
def submit_one(
    context: Context, number: int, job: str, tasks: int, work_ms: int
) -> None:
    entry = context.run_site.entries[number]
    entry.submit(job, tasks, work_ms)
    context.submitted.append((entry, job))


@when(
    'job "{job}" of {tasks:d} tasks of {work_ms:d} ms is submitted to entry'
    " {number:d}, whose caller waits {wait_s:d} s"
)
def submit_with_wait(
    context: Context,
    number: int,
    job: str,
    tasks: int,
    work_ms: int,
    wait_s: int,
) -> None:
    entry = context.run_site.entries[number]
    entry.submit(job, tasks, work_ms, wait_s=wait_s)


@given("completions {first:d} to {last:d} that a target has listed")
def list_completions(context: Context, first: int, last: int) -> None:
    context.completions = UnacknowledgedCompletions()
    context.listed = [
        ListedCompletion(
            position, TaskKey(JobId("a"), 0, 0, position), 1, RunOutcome.DONE
        )
        for position in range(first, last + 1)
    ]
    for item in context.listed:
        context.completions.record_position(item.position)


@when("a list without them is received, and then one with them")
def receive_lists(context: Context) -> None:
    context.completions.record_list(())
    context.completions.record_list(context.listed)


@then("the target may forget completions up to {position:d}")
def check_forgettable(context: Context, position: int) -> None:
    assert context.completions.forgettable_position == position


@given(
    "an agent whose target has just listed a completion at position"
    " {position:d}"
)
def make_listed_guard(context: Context, position: int) -> None:
    target = RunSite(1, 1).targets[0].report()
    context.guard = RunGuard("agent", "here", 1)
    context.guard.record_heartbeat(target, 1, 0.0)
    task = TaskKey(JobId("a"), 0, 0, 0)
    completion = ListedCompletion(position, task, 1, RunOutcome.LAPSED)
    listed = RunList(target.incarnation, (), (completion,), 1)
    context.guard.update_runs(listed, 0.0, 0.0)


@when("a renewal gets no response")
def fail_renewal(context: Context) -> None:
    context.guard.record_failed_renewal()


@then("the agent lets the target forget completions up to {position:d}")
def check_sent_position(context: Context, position: int) -> None:
    assert context.guard.forgettable_position(0.0) == position


@given("runs on simulated target {number:d} never finish")
def hang_runs(context: Context, number: int) -> None:
    context.run_site.targets[number].is_hung = True


@when("simulated target {number:d} stops sending responses")
def silence_target(context: Context, number: int) -> None:
    context.run_site.targets[number].is_unresponsive = True


@when("simulated target {number:d} stops responding to renewals")
def silence_renewals(context: Context, number: int) -> None:
    context.run_site.targets[number].is_renewal_silent = True


@when("simulated target {number:d} sends responses again")
def end_silence(context: Context, number: int) -> None:
    context.run_site.targets[number].is_unresponsive = False


@when("simulated target {number:d} rejects all requests for {duration_s:f} s")
def reject_requests(context: Context, number: int, duration_s: float) -> None:
    target = context.run_site.targets[number]
    target.is_unhealthy = True
    context.run_site.clock.call_in(
        duration_s, lambda: setattr(target, "is_unhealthy", False)
    )


@given("every run on simulated target {number:d} fails")
def fail_runs(context: Context, number: int) -> None:
    context.run_site.targets[number].is_failing = True


@when("runs on simulated target {number:d} succeed again")
def end_failures(context: Context, number: int) -> None:
    context.run_site.targets[number].is_failing = False


@given("simulated target {number:d} runs tasks {factor:g} times slower")
def slow_runs(context: Context, number: int, factor: float) -> None:
    context.run_site.targets[number].work_factor = factor


@when(
    "{jobs:d} jobs of {tasks:d} tasks of {work_ms:d} ms are submitted"
    " {gap_ms:d} ms apart"
)
def submit_at_intervals(
    context: Context, jobs: int, tasks: int, work_ms: int, gap_ms: int
) -> None:
    entries = context.run_site.entries
    for number in range(jobs):
        entry = entries[number % len(entries)]
        entry.submit(f"job{number}", tasks, work_ms)
        context.submitted.append((entry, f"job{number}"))
        context.run_site.advance(gap_ms / 1000)


@given(
    "a simulated site of {entries:d} entries and {targets:d} targets of"
    " {cores:d} cores that has just started"
)
def make_new_site(
    context: Context, entries: int, targets: int, cores: int
) -> None:
    context.run_site = RunSite(entries, targets, cores, warm_up_s=0.0)
    context.submitted = []


@given(
    "a simulated site of {entries:d} entries and {targets:d} targets of"
    " {cores:d} cores whose first heartbeats come {gap_s:g} s apart"
)
def make_gradual_site(
    context: Context, entries: int, targets: int, cores: int, gap_s: float
) -> None:
    context.run_site = RunSite(
        entries, targets, cores, warm_up_s=0.0, heartbeat_gap_s=gap_s
    )
    context.submitted = []


@when(
    'job "{job}" of {tasks:d} tasks of {work_ms:d} ms, declared as'
    " {declared_ms:d} ms, is submitted to entry {number:d}"
)
def submit_declared(
    context: Context,
    number: int,
    job: str,
    tasks: int,
    work_ms: int,
    declared_ms: int,
) -> None:
    entry = context.run_site.entries[number]
    entry.submit(job, tasks, work_ms, declared_ms=declared_ms)
    context.submitted.append((entry, job))


@when(
    'job "{job}" of {tasks:d} tasks of {work_ms:d} ms, at most {most:d} on one'
    " target, is submitted to entry {number:d}"
)
def submit_limited_per_target(
    context: Context,
    number: int,
    job: str,
    tasks: int,
    work_ms: int,
    most: int,
) -> None:
    entry = context.run_site.entries[number]
    entry.submit(job, tasks, work_ms, max_tasks_per_target=most)
    context.submitted.append((entry, job))


@when("{span_s:g} s pass")
def pass_time(context: Context, span_s: float) -> None:
    context.run_site.advance(span_s)


@when(
    "{jobs:d} jobs of {tasks:d} tasks of {work_ms:d} ms are submitted to entry"
    " {number:d}, {gap_ms:d} ms apart"
)
def submit_to_one(
    context: Context,
    jobs: int,
    tasks: int,
    work_ms: int,
    number: int,
    gap_ms: int,
) -> None:
    entry = context.run_site.entries[number]
    for count in range(jobs):
        entry.submit(f"job{count}", tasks, work_ms)
        context.submitted.append((entry, f"job{count}"))
        context.run_site.advance(gap_ms / 1000)


@when("all agents that entry {number:d} uses become unreachable from it")
def cut_subset(context: Context, number: int) -> None:
    site = context.run_site
    entry = site.entries[number]
    for agent in site.agents:
        if agent.guard.name in entry.chosen_agents:
            site.disconnected_pairs.add((entry.name, agent.target.name))


@given(
    'only targets that entry {number:d} does not use have the label "{label}"'
)
def label_others(context: Context, number: int, label: str) -> None:
    site = context.run_site
    entry = site.entries[number]
    for agent in site.agents:
        if agent.guard.name not in entry.chosen_agents:
            agent.target.labels = (label,)
    site.report_agents(entry)
    site.advance(1.0)


@when(
    'job "{job}" of {tasks:d} tasks of {work_ms:d} ms that need label'
    ' "{label}" is submitted to entry {number:d}'
)
def submit_labelled(
    context: Context,
    number: int,
    job: str,
    tasks: int,
    work_ms: int,
    label: str,
) -> None:
    entry = context.run_site.entries[number]
    entry.submit(job, tasks, work_ms, required_label=label)
    context.submitted.append((entry, job))


@when(
    "{jobs:d} jobs that each need a different label that no target has are"
    " submitted to entry {number:d}"
)
def submit_unknown_labels(context: Context, jobs: int, number: int) -> None:
    entry = context.run_site.entries[number]
    for count in range(jobs):
        entry.submit(f"job{count}", 1, 200, required_label=f"none-{count}")


@when(
    'job "{job}" of {tasks:d} tasks of {work_ms:d} ms that demand only memory'
    " is submitted to entry {number:d}"
)
def submit_memory_only(
    context: Context, job: str, tasks: int, work_ms: int, number: int
) -> None:
    demand = Resources(0, 30_000, 0)
    context.run_site.entries[number].submit(job, tasks, work_ms, demand=demand)


@given("a capacity prober without agents that has probed {times:d} times")
def probe_without_agents(context: Context, times: int) -> None:
    context.prober = CapacityProber(Fleet("here"))
    spec = JobSpec("200", (Step(1, TASK, 0.2),))
    job = Job(JobId("a"), QUEUE, spec, 0.0, 10.0)
    for number in range(times):
        context.prober.probe([job], number * 0.01)


@then("its next round of probes goes to at most {most:d} agents")
def check_probe_count(context: Context, most: int) -> None:
    assert context.prober.min_probes <= most


@then("entry {number:d} tracks no requested label")
def check_labels(context: Context, number: int) -> None:
    subset = context.run_site.entries[number].dispatcher.subset
    assert subset.requested_label_count == 0, subset.requested_label_count


@then("each entry has streams to at most {most:d} agents")
def check_streams(context: Context, most: int) -> None:
    counts = [len(entry.sessions) for entry in context.run_site.entries]
    assert 0 < min(counts) <= max(counts) <= most, counts


@when("entry {number:d} is overloaded for {span_s:g} s")
def overload_entry(context: Context, number: int, span_s: float) -> None:
    site = context.run_site
    # The timers of an overloaded entry fire late.
    site.entries[number].timer_delay_s = 0.15
    site.advance(span_s)


@when("entry {number:d} is no longer overloaded")
def relieve_entry(context: Context, number: int) -> None:
    context.run_site.entries[number].timer_delay_s = 0.0


@when("entry {number:d} is killed")
def kill_entry(context: Context, number: int) -> None:
    context.run_site.kill_entry(context.run_site.entries[number])


@when("agent {number:d} is killed and restarts after {down_s:g} s")
def kill_agent(context: Context, number: int, down_s: float) -> None:
    site = context.run_site
    site.restart_agent(site.agents[number], down_s)


@when("entry {number:d} is paused for {span_s:g} s")
def pause_entry(context: Context, number: int, span_s: float) -> None:
    entry = context.run_site.entries[number]
    entry.is_paused = True
    context.run_site.clock.call_in(span_s, entry.resume)


@when('the caller of job "{job}" disconnects from entry {number:d}')
def disconnect_caller(context: Context, job: str, number: int) -> None:
    context.run_site.entries[number].disconnect_caller(job)


@when("target {number:d} crashes and restarts after {down_s:g} s")
def crash_target(context: Context, number: int, down_s: float) -> None:
    context.run_site.targets[number].crash(down_s)


@when(
    "target {number:d} crashes and restarts after {down_s:g} s with {cores:d}"
    " cores"
)
def shrink_target(
    context: Context, number: int, down_s: float, cores: int
) -> None:
    site = context.run_site
    target = site.targets[number]
    target.crash(down_s)

    def shrink() -> None:
        target.capacity = Resources(cores * 1000, 65536, 0)
        target.peak_running = 0

    site.clock.call_in(down_s / 2, shrink)


@then(
    "no target ran more than {most:d} tasks at once in its second incarnation"
)
def check_second_incarnation(context: Context, most: int) -> None:
    for target in context.run_site.targets:
        assert 0 < target.peak_running <= most, target.peak_running


@when("target {number:d} reports that it is draining")
def drain_target(context: Context, number: int) -> None:
    context.run_site.targets[number].state = TargetState.DRAINING


@when("all streams of entry {number:d} are disconnected for {span_s:g} s")
def break_streams(context: Context, number: int, span_s: float) -> None:
    site = context.run_site
    entry = site.entries[number]
    for agent in site.agents:
        site.disconnect(entry, agent)
        site.clock.call_in(
            span_s, lambda agent=agent: site.connect(entry, agent)
        )


@when("entry {number:d} abandons all jobs")
def abandon_all(context: Context, number: int) -> None:
    entry = context.run_site.entries[number]
    now = context.run_site.clock.now
    entry.perform(entry.dispatcher.abandon_all(now))


@when(
    "random faults with seeds {first:d} to {last:d} are injected into small"
    " simulated sites"
)
def run_small_sites(context: Context, first: int, last: int) -> None:
    with ProcessPoolExecutor(WORKERS) as pool:
        context.chaos_results = list(
            pool.map(play_seed, range(first, last + 1))
        )
    runs = sum(result.runs for result in context.chaos_results)
    done = sum(result.completed for result in context.chaos_results)
    print(f"{runs} runs, {done} jobs completed")


@when(
    "faults between agents and targets with seeds {first:d} to {last:d}"
    " overlap on small simulated sites"
)
def run_target_faults(context: Context, first: int, last: int) -> None:
    with ProcessPoolExecutor(max_workers=WORKERS) as pool:
        seeds = range(first, last + 1)
        context.chaos_results = list(pool.map(play_target_fault_seed, seeds))


@when(
    "short faults with seeds {first:d} to {last:d} overlap on small simulated"
    " sites"
)
def run_overlapping_faults(context: Context, first: int, last: int) -> None:
    seeds = range(first, last + 1)
    with ProcessPoolExecutor(WORKERS) as pool:
        context.chaos_results = list(pool.map(play_overlap_seed, seeds))


@when(
    "random faults with seeds {first:d} to {last:d} are injected into large"
    " simulated sites"
)
def run_large_sites(context: Context, first: int, last: int) -> None:
    with ProcessPoolExecutor(WORKERS) as pool:
        seeds = range(first, last + 1)
        context.chaos_results = list(pool.map(play_large_site_seed, seeds))


@then("no simulated site violated an invariant")
def check_invariants(context: Context) -> None:
    broken = [
        (r.seed, r.violations[:2])
        for r in context.chaos_results
        if r.violations
    ]
    assert not broken, broken[:3]


@then("every simulated site completed jobs after the faults ended")
def check_completed_at_end(context: Context) -> None:
    failed = [r.seed for r in context.chaos_results if not r.served_at_end]
    assert not failed, failed


@then("no target ever exceeded its capacity")
def check_capacity(context: Context) -> None:
    assert not context.run_site.targets_over_capacity(), (
        context.run_site.targets_over_capacity()
    )


@then("no task ever had two runs at the same time")
def check_overlaps(context: Context) -> None:
    assert not context.run_site.concurrent_runs(), (
        context.run_site.concurrent_runs()[:2]
    )


@then("every job got a response")
def check_responses(context: Context) -> None:
    missing = [
        job for entry, job in context.submitted if job not in entry.answers
    ]
    assert not missing, missing


@then('job "{job}" is {outcome} at entry {number:d}')
def check_outcome(
    context: Context, job: str, outcome: str, number: int
) -> None:
    answer = context.run_site.entries[number].answers.get(job)
    assert answer is not None, "no answer"
    expected = outcome.replace(" ", "_")
    assert answer.outcome.value == expected, answer


@then('no task of job "{job}" was ever started')
def check_none_started(context: Context, job: str) -> None:
    runs = [run for run in context.run_site.history if run.task.job_id == job]
    assert not runs, runs


@then("simulated target {number:d} started no run")
def check_target_unused(context: Context, number: int) -> None:
    history = context.run_site.targets[number].history
    assert not history, history[:2]


@then("{count:d} runs were started")
def check_runs(context: Context, count: int) -> None:
    assert len(context.run_site.history) == count, context.run_site.history


@then("every job is completed")
def check_all_completed(context: Context) -> None:
    bad = [
        (job, entry.answers.get(job))
        for entry, job in context.submitted
        if job not in entry.answers
        or entry.answers[job].outcome is not JobOutcome.COMPLETED
    ]
    assert not bad, bad[:3]


@then('the response to job "{job}" took at most {span_s:g} s')
def check_response_time(context: Context, job: str, span_s: float) -> None:
    for entry, name in context.submitted:
        if name == job:
            took_s = entry.answered_at[job] - entry.submitted_at[job]
            assert took_s <= span_s, took_s


@then("at least {share:d} % of the rejections came within {span_s:g} s")
def check_rejections(context: Context, share: int, span_s: float) -> None:
    response_times = [
        entry.answered_at[job] - entry.submitted_at[job]
        for entry, job in context.submitted
        if job in entry.answers
        and entry.answers[job].outcome is JobOutcome.NOT_RUN
    ]
    early = sum(took_s <= span_s for took_s in response_times)
    assert early * 100 >= share * len(response_times), (
        early,
        len(response_times),
    )


@then("at least {count:d} jobs are completed within their objective")
def check_in_objective(context: Context, count: int) -> None:
    met = 0
    for entry, job in context.submitted:
        answer = entry.answers.get(job)
        if answer is None or answer.outcome is not JobOutcome.COMPLETED:
            continue
        took_s = entry.answered_at[job] - entry.submitted_at[job]
        met += took_s <= entry.objectives_s[job]
    assert met >= count, met


@then("no target ever ran more than {most:d} tasks at once")
def check_concurrency(context: Context, most: int) -> None:
    for target in context.run_site.targets:
        assert target.peak_running <= most, target.peak_running


@when('job "{job}" is cancelled at entry {number:d}')
def cancel_job(context: Context, job: str, number: int) -> None:
    entry = context.run_site.entries[number]
    now = context.run_site.clock.now
    entry.perform(entry.dispatcher.cancel_job(JobId(job), now))


@then("no target has a running task")
def check_idle(context: Context) -> None:
    running = [target.running for target in context.run_site.targets]
    assert not any(running), running


@when("targets {first:d} to {last:d} become unreachable from entry {number:d}")
def cut_targets(context: Context, first: int, last: int, number: int) -> None:
    site = context.run_site
    for target in site.targets[first : last + 1]:
        site.disconnected_pairs.add((site.entries[number].name, target.name))


@when(
    "targets {first:d} to {last:d} become reachable from entry {number:d}"
    " again"
)
def heal_targets(context: Context, first: int, last: int, number: int) -> None:
    site = context.run_site
    for target in site.targets[first : last + 1]:
        site.disconnected_pairs.discard(
            (site.entries[number].name, target.name)
        )


@when(
    "all processes read a site configuration of {queues:d} queues from the"
    " store"
)
def read_site_configuration(context: Context, queues: int) -> None:
    site = context.run_site
    adopt_site_configuration(site, [*site.entries, *site.agents], queues)


@when(
    "all processes except entry {entry:d} and agent {agent:d} read a site"
    " configuration of {queues:d} queues from the store"
)
def read_site_configuration_except(
    context: Context, entry: int, agent: int, queues: int
) -> None:
    site = context.run_site
    nodes = [*site.entries, *site.agents]
    nodes.remove(site.entries[entry])
    nodes.remove(site.agents[agent])
    adopt_site_configuration(site, nodes, queues)


def adopt_site_configuration(
    site: RunSite, nodes: list[EntryNode | AgentNode], queues: int
) -> None:
    """Make some processes adopt a new site configuration."""
    new_queues = tuple(
        msgspec.structs.replace(QUEUE, path_prefix=f"/q{number}/")
        for number in range(queues)
    )
    configuration = SiteConfig(2, 2, new_queues)
    for node in nodes:
        core = node.dispatcher if isinstance(node, EntryNode) else node.guard
        node.perform(core.adopt_site_config(configuration, site.clock.now))


@then("no message carried the site configuration")
def check_no_site_messages(context: Context) -> None:
    assert context.site_config_messages[0] == 0, context.site_config_messages


@then("at most {most:d} messages carried the site configuration")
def check_site_messages(context: Context, most: int) -> None:
    assert context.site_config_messages[0] <= most, (
        context.site_config_messages
    )


@then("all processes have the site configuration of {queues:d} queues")
def check_site_adopted(context: Context, queues: int) -> None:
    site = context.run_site
    adopted = [entry.dispatcher.site for entry in site.entries]
    adopted += [agent.guard.site_config for agent in site.agents]
    assert all(len(site_config.queues) == queues for site_config in adopted)


def count_messages(context: Context) -> list[int]:
    """Count from now on messages to entries and site configurations sent.

    :returns: a list whose only item is the number of messages to entries.
        `context.site_config_messages` is such a list for the messages to
        entries and agents that carry a site configuration.
    """
    site = context.run_site
    deliver_to_entry = site.deliver_to_entry
    deliver_to_agent = site.deliver_to_agent
    received = [0]
    site_config_messages = [0]

    def count_to_entry(agent: AgentNode, action: SendMessage) -> None:
        received[0] += 1
        site_config_messages[0] += action.message.site is not None
        deliver_to_entry(agent, action)

    def count_to_agent(entry: EntryNode, action: SendEntryMessage) -> None:
        site_config_messages[0] += action.message.site is not None
        deliver_to_agent(entry, action)

    site.deliver_to_entry = count_to_entry
    site.deliver_to_agent = count_to_agent
    context.site_config_messages = site_config_messages
    return received


@when("{span_s:g} s pass while messages to agents are recorded")
def record_messages(context: Context, span_s: float) -> None:
    site = context.run_site
    deliver = site.deliver_to_agent
    context.messages = {}
    context.recorded_s = span_s

    def record(entry: EntryNode, action: SendEntryMessage) -> None:
        pair = (entry.name, entry.sessions[action.session].guard.name)
        context.messages.setdefault(pair, []).append(action.message)
        deliver(entry, action)

    site.deliver_to_agent = record
    site.advance(span_s)
    site.deliver_to_agent = deliver


@then('fewer than {most:d} tasks of job "{job}" have started')
def check_started(context: Context, most: int, job: str) -> None:
    site = context.run_site
    started = {r.task for r in site.history if r.task.job_id == job}
    assert 0 < len(started) < most, len(started)
    assert not any(JobId(job) in entry.answers for entry in site.entries)


@then("messages that carry no orders keep the limits of echoes and probes")
def check_message_rates(context: Context) -> None:
    # An echo answers a token that is newer by ECHO_GAP_S, a probe replaces a
    # state older than MAX_STATE_AGE_S; one of each may fall on the edge.
    most = 2 + context.recorded_s * (1 / ECHO_GAP_S + 1 / MAX_STATE_AGE_S)
    counts = {
        pair: sum(not (m.starts or m.stops or m.acks) for m in messages)
        for pair, messages in context.messages.items()
    }
    assert max(counts.values()) <= most, (most, counts)


@when("{span_s:g} s pass while messages are counted")
def count_while_waiting(context: Context, span_s: float) -> None:
    site = context.run_site
    received = count_messages(context)
    nodes = [*site.entries, *site.agents]
    timer_firings = sum(node.timer_firings for node in nodes)
    site.advance(span_s)
    timer_firings = sum(node.timer_firings for node in nodes) - timer_firings
    context.timer_firings_per_s = timer_firings / span_s / len(nodes)
    entries = len(site.entries)
    context.messages_per_s = received[0] / span_s / entries


@when(
    "{jobs:d} jobs of {tasks:d} tasks of {work_ms:d} ms are submitted"
    " {gap_ms:d} ms apart while messages are counted"
)
def count_under_load(
    context: Context, jobs: int, tasks: int, work_ms: int, gap_ms: int
) -> None:
    received = count_messages(context)
    submit_at_intervals(context, jobs, tasks, work_ms, gap_ms)
    span_s = jobs * gap_ms / 1000
    entries = len(context.run_site.entries)
    context.messages_per_s = received[0] / span_s / entries
    context.run_site.advance(2.0)


@then("entries received on average at most {most:d} messages a second")
def check_messages(context: Context, most: int) -> None:
    assert context.messages_per_s <= most, context.messages_per_s


@then("timers fired on average at most {most:d} times a second per process")
def check_timers(context: Context, most: int) -> None:
    assert context.timer_firings_per_s <= most, context.timer_firings_per_s


@when(
    "random faults with seed {seed:d} are simulated in two processes with"
    " different hash seeds"
)
def simulate_twice(context: Context, seed: int) -> None:
    # Different hash seeds give sets of strings different orders.
    command = [sys.executable, "-m", "features.support.run_chaos", str(seed)]
    context.histories = [
        subprocess.run(
            command,
            check=True,
            capture_output=True,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        ).stdout
        for hash_seed in ("1", "2")
    ]


@then("both simulations record the same history")
def check_histories(context: Context) -> None:
    first, second = context.histories
    assert first == second
    assert first.count(b"\n") > 100, first


@then(
    "the log of entry {number:d} names all second runs, after {end} by {cause}"
)
def check_restarts(
    context: Context, number: int, end: str, cause: str
) -> None:
    site = context.run_site
    starts = Counter(run.task for run in site.history)
    second = {
        (task.step, task.index) for task, count in starts.items() if count > 1
    }
    assert second
    ends = {}
    restarted = set()
    for line in site.entries[number].logs:
        key = (line.fields.get("step"), line.fields.get("task"))
        if line.event is Event.RUN_CUT_SHORT:
            ends[key] = line.fields
            found = line.fields["end"], line.fields.get("cause", "no report")
            assert found == (end, cause), found
        if line.event is Event.TASK_RESTARTED:
            restarted.add(key)
            assert line.fields["former_end"] == end
            assert line.fields["former_agent"] == ends[key]["agent"]
            assert line.fields["request"] > 0
            assert line.fields["since_s"] >= 0.0
    assert restarted == second, (restarted, second)


@then("a report without its last field, or with one more, is read")
def check_report_versions(context: Context) -> None:
    codec = MessagePackCodec()
    report = RunReport(
        TaskKey(JobId("a"), 0, 0, 0),
        1,
        1,
        RunOutcome.LAPSED,
        end=RunEnd(EndCause.TARGET_RESTARTED, True, 0.25),
    )
    fields = msgspec.msgpack.decode(codec.encode(report, RunReport))
    former = codec.decode(codec.encode(fields[:-1], list), RunReport)
    assert former == msgspec.structs.replace(report, end=None)
    later = codec.decode(codec.encode([*fields, "more"], list), RunReport)
    assert later == report


@when('the deadline of job "{job}" ends')
def pass_deadline(context: Context, job: str) -> None:
    context.run_site.advance(1.0)


@then(
    "the log of entry {number:d} shows the failure with code {code:d},"
    " failures {failures:d}, attempts {attempts:d} and crashes {crashes:d}"
)
def check_failure_line(
    context: Context,
    number: int,
    code: int,
    failures: int,
    attempts: int,
    crashes: int,
) -> None:
    ends = [
        line.fields
        for line in context.run_site.entries[number].logs
        if line.event is Event.JOB_ENDED
    ]
    names = ("code", "failures", "attempts", "crashes")
    shown = [tuple(end[name] for name in names) for end in ends]
    assert shown == [(code, failures, attempts, crashes)], ends
