"""Workloads of the two users, and a simulated site that runs them."""

from __future__ import annotations

from enum import Enum
from random import Random
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.control.counters import Count
from fulmarscale.entry.limits import EntryLimits
from fulmarscale.errors import Outcome
from fulmarscale.ids import CustomerName
from standins.virtual.site import VirtualOptions
from standins.virtual.site import VirtualSite

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.agent.actions import StartTask
    from fulmarscale.control.actions import AnswerCaller
    from fulmarscale.control.configuration import Contract
    from fulmarscale.entry.placement import PlacementPolicy

WARM_UP_S = 8.0
"""Time from the start of a site to its first job."""

COOL_DOWN_S = 40.0
"""Time for jobs to end after a load, before the figures are taken."""

LOAD_DURATION_S = 60.0
"""Default duration of a load."""

MAX_JOB_TASKS = 770
"""Number of tasks of the largest jobs."""


class Scenario(msgspec.Struct, frozen=True):
    """The size and latencies of a user's site."""

    name: str
    """Name of the user."""
    agents: int
    """Number of agents, each with one target."""
    slots: int
    """Slots of each target."""
    node_latency_s: float
    """One-way latency between nodes; the same within a data centre."""
    caller_latency_s: float
    """One-way latency between callers and entries."""


class ScenarioName(Enum):
    """The built-in scenarios."""

    FJAERVIK = "fjaervik"
    AUTHORITY = "authority"


SCENARIOS = {
    ScenarioName.FJAERVIK: Scenario("fjaervik", 11, 8, 0.0005, 0.003),
    ScenarioName.AUTHORITY: Scenario("authority", 11, 8, 0.001, 0.001),
}


class MeasuredJob(msgspec.Struct):
    """A submitted job and its result."""

    customer: str
    """The customer."""
    submitted_at: float
    """Virtual time at which the caller sent it."""
    run_times_s: list[float]
    """The run time of each task."""
    answered_at: float = 0.0
    """Virtual time at which the caller got the answer; 0 without one."""
    outcome: Outcome = Outcome.OUTCOME_UNKNOWN
    """The outcome; unknown as long as there is no answer."""


class MeasuredRun(msgspec.Struct):
    """A run of a task at a target."""

    started_at: float
    """Virtual time of the start."""
    run_s: float
    """Its run time."""

    def overlap_s(self, low: float, high: float) -> float:
        """Return the part of the run that lies in an interval, in seconds.

        :param low: virtual time at which the interval begins.
        :param high: virtual time at which it ends.
        """
        end_at = self.started_at + self.run_s
        return max(0.0, min(high, end_at) - max(low, self.started_at))


class BenchSite(VirtualSite):
    """A virtual site without faults that measures jobs.

    The payload of each task is its run time in seconds.

    :param seed: the seed of all randomness.
    :param scenario: size and latencies.
    :param entries: number of entries.
    :param limits: limits of the entries; by default `EntryLimits()`.
    :param contract: contract of each customer; by default an ample one.
    :param policy: makes each entry's placement policy; none for the default.
    :param other_customers: customers beside the default one.
    """

    def __init__(
        self,
        seed: int,
        scenario: Scenario,
        *,
        entries: int = 3,
        limits: EntryLimits | None = None,
        contract: Contract | None = None,
        policy: Callable[[Random], PlacementPolicy] | None = None,
        other_customers: tuple[str, ...] = (),
    ) -> None:
        self.scenario = scenario
        self.jobs: list[MeasuredJob] = []
        """All submitted jobs, in order."""
        self.runs: list[MeasuredRun] = []
        """All runs of tasks, in order of their starts."""
        self.seed = seed
        self.failing_agents: set[str] = set()
        """Agents at whose targets all tasks fail."""
        self.slow_factor: dict[str, float] = {}
        options = VirtualOptions(
            entries=entries,
            agents=scenario.agents,
            data_centres=4,
            slots=scenario.slots,
            clock_rates=(1.0, 1.0),
            delay_s=(scenario.node_latency_s, scenario.node_latency_s),
            late_share=0.0,
            loss_share=0.0,
            break_share=0.0,
            pause_share=0.0,
            start_pause_share=0.0,
            fail_share=0.0,
            limits=limits or EntryLimits(),
            other_customers=tuple(
                CustomerName(name) for name in other_customers
            ),
        )
        if contract is not None:
            options = msgspec.structs.replace(options, contract=contract)
        super().__init__(seed, options, policy)
        self.scheduler.run_until(WARM_UP_S)

    @property
    def total_slots(self) -> int:
        """Number of slots of all targets."""
        return self.scenario.agents * self.scenario.slots

    def run_duration_s(self, start: StartTask) -> float:
        """Return the run time in the payload, and record the run."""
        run_s = float(start.payload)
        self.runs.append(MeasuredRun(self.now, run_s))
        return run_s

    def draw_outcome(self, agent: str) -> Outcome:
        """Return that a task is done, or has failed at a failing agent."""
        return Outcome.FAILED if agent in self.failing_agents else Outcome.DONE

    def submit_job(
        self,
        run_times_s: list[float],
        deadline_s: float,
        customer: str = "fjaervik",
        entry: int | None = None,
        kind: str = "sleep",
    ) -> MeasuredJob:
        """Submit a job with an id that its entry makes.

        :param run_times_s: the run time of each task.
        :param deadline_s: the deadline of the job.
        :param customer: the customer.
        :param entry: position of the entry; by default a random one.
        :param kind: the kind of the tasks.
        :returns: the job, updated when the answer arrives.
        """
        nodes = self.entries
        node = nodes[entry] if entry is not None else nodes[0]
        if entry is None:
            node = self.random.choice(nodes)
        submission_id = node.core.mint(1, node.clock)[0]
        job = MeasuredJob(customer, self.now, run_times_s)
        self.jobs.append(job)

        def update_job(action: AnswerCaller) -> None:
            job.answered_at = self.now + self.scenario.caller_latency_s
            if action.answer is not None:
                job.outcome = action.answer.outcome

        payloads = tuple(b"%.4f" % run_s for run_s in run_times_s)
        self.scheduler.call_later(
            self.scenario.caller_latency_s,
            lambda: self.submit(
                node,
                submission_id,
                len(run_times_s),
                deadline_s,
                on_answer=update_job,
                kind=kind,
                payloads=payloads,
                customer=CustomerName(customer),
            ),
        )
        return job

    def ideal_response_s(self, job: MeasuredJob) -> float:
        """Return the shortest possible response time of a job.

        On an idle site, a job takes the run time of its longest task, or its
        work divided by all slots if that is longer, and two round trips.
        """
        work_s = sum(job.run_times_s) / self.total_slots
        network_s = 2 * (
            self.scenario.caller_latency_s + self.scenario.node_latency_s
        )
        return max(max(job.run_times_s), work_s) + network_s

    def messages_per_task(self) -> float:
        """Return the messages between entries and agents per sent task."""
        sent = received = tasks = 0
        for node in self.entries:
            counts = node.core.counters.counts
            sent += counts.get(Count.MESSAGES_TO_AGENTS, 0)
            received += counts.get(Count.MESSAGES_FROM_AGENTS, 0)
            tasks += counts.get(Count.TASKS_SENT, 0)
        return (sent + received) / max(1, tasks)

    def wasted_message_share(self) -> float:
        """Return the share of messages that moved no task and no result."""
        wasted = total = 0
        for node in self.entries:
            counts = node.core.counters.counts
            total += counts.get(Count.MESSAGES_TO_AGENTS, 0)
            total += counts.get(Count.MESSAGES_FROM_AGENTS, 0)
            wasted += counts.get(Count.TASKS_BOUNCED, 0)
            wasted += counts.get(Count.WASTED_RESULT, 0)
        return wasted / max(1, total)


def draw_run_time_s(random: Random) -> float:
    """Return a random run time: 50 ms to 1 s, and 1 % of 1 s to 4 s."""
    if random.random() < 0.01:
        return random.uniform(1.0, 4.0)
    return min(1.0, max(0.05, random.lognormvariate(-1.9, 0.7)))


def draw_job_size(random: Random) -> int:
    """Return a random number of tasks: mostly few, rarely hundreds."""
    draw = random.random()
    if draw < 0.5:
        return 1
    if draw < 0.9:
        return random.randint(2, 20)
    if draw < 0.99:
        return random.randint(21, 100)
    return random.randint(101, MAX_JOB_TASKS)


def estimate_mean_work_s(random: Random) -> float:
    """Return an estimate of the mean work of a job in slot seconds."""
    sizes = [draw_job_size(random) for _ in range(20_000)]
    times = [draw_run_time_s(random) for _ in range(20_000)]
    return sum(sizes) / len(sizes) * sum(times) / len(times)


def submit_load(
    bench: BenchSite,
    load: float,
    *,
    duration_s: float = LOAD_DURATION_S,
    deadline_s: float = 20.0,
    customer: str = "fjaervik",
) -> None:
    """Submit random jobs at a given share of the site's capacity.

    Jobs are submitted while the simulation runs on; this function returns at
    once.

    :param bench: the site.
    :param load: the load as a share of the capacity of all slots.
    :param duration_s: how long jobs are submitted.
    :param deadline_s: the deadline of the jobs.
    :param customer: the customer.
    """
    # A separate random source gives every policy the same jobs.
    random = Random(f"{bench.seed} {customer}")
    rate = load * bench.total_slots / estimate_mean_work_s(random)
    until = bench.now + duration_s

    def submit() -> None:
        if bench.now >= until:
            return
        bench.scheduler.call_later(random.expovariate(rate), submit)
        size = draw_job_size(random)
        times = [draw_run_time_s(random) for _ in range(size)]
        bench.submit_job(times, deadline_s, customer)

    submit()


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of values; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
