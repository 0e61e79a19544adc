"""Workloads of the two users, and a site that plays them."""

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
    from fulmarscale.entry.place import PlacementPolicy

WARM_UP_S = 8.0
COOL_DOWN_S = 40.0
MEASURED_S = 60.0
LARGEST_JOB = 770


class Scenario(msgspec.Struct, frozen=True):
    """The size of a user's site."""

    name: str
    """The user."""
    agents: int
    """Runners."""
    slots: int
    """Slots of each runner."""
    between_s: float
    """One-way latency between data centres."""
    client_s: float
    """One-way latency to clients."""


class ScenarioName(Enum):
    """The built-in scenarios."""

    FJAERVIK = "fjaervik"
    AUTHORITY = "authority"


SCENARIOS = {
    ScenarioName.FJAERVIK: Scenario("fjaervik", 11, 8, 0.0005, 0.003),
    ScenarioName.AUTHORITY: Scenario("authority", 11, 8, 0.001, 0.001),
}


class JobSeen(msgspec.Struct):
    """A job of an experiment."""

    customer: str
    """Who submitted it."""
    submitted_at: float
    """Virtual time."""
    run_times_s: list[float]
    """The run time of each task."""
    answered_at: float = 0.0
    """Virtual time of the answer; 0 without one."""
    outcome: Outcome = Outcome.OUTCOME_UNKNOWN
    """What became of it."""


class WorkSeen(msgspec.Struct):
    """A task that ran in an experiment."""

    started_at: float
    """Virtual time."""
    run_s: float
    """How long it ran."""

    def within(self, low: float, high: float) -> float:
        """Give the part of the run that lies within a span."""
        ended_at = self.started_at + self.run_s
        return max(0.0, min(high, ended_at) - max(low, self.started_at))


class Bench(VirtualSite):
    """A virtual site without faults that measures jobs."""

    def __init__(
        self,
        seed: int,
        scenario: Scenario,
        *,
        entries: int = 3,
        limits: EntryLimits | None = None,
        contract: Contract | None = None,
        policy: Callable[[Random], PlacementPolicy] | None = None,
        others: tuple[str, ...] = (),
    ) -> None:
        self.scenario = scenario
        self.jobs: list[JobSeen] = []
        self.work: list[WorkSeen] = []
        self.seed = seed
        self.failing: set[str] = set()
        self.slow_factor: dict[str, float] = {}
        options = VirtualOptions(
            entries=entries,
            agents=scenario.agents,
            data_centres=4,
            slots=scenario.slots,
            clock_rates=(1.0, 1.0),
            delay_s=(scenario.between_s, scenario.between_s),
            late_share=0.0,
            loss_share=0.0,
            break_share=0.0,
            freeze_share=0.0,
            start_freeze_share=0.0,
            fail_share=0.0,
            limits=limits or EntryLimits(),
            others=tuple(CustomerName(name) for name in others),
        )
        if contract is not None:
            options = msgspec.structs.replace(options, contract=contract)
        super().__init__(seed, options, policy)
        self.scheduler.run_until(WARM_UP_S)

    @property
    def total_slots(self) -> int:
        """Slots of the whole site."""
        return self.scenario.agents * self.scenario.slots

    def run_time_s(self, start: StartTask) -> float:
        """Give the run time that the payload names."""
        run_s = float(start.payload)
        self.work.append(WorkSeen(self.now, run_s))
        return run_s

    def draw_outcome(self, agent: str) -> Outcome:
        """Fail what a failing agent starts."""
        return Outcome.FAILED if agent in self.failing else Outcome.DONE

    def submit_job(
        self,
        run_times_s: list[float],
        deadline_s: float,
        customer: str = "fjaervik",
        entry: int | None = None,
        kind: str = "sleep",
    ) -> JobSeen:
        """Submit a job at an entry, by an id of that entry's."""
        nodes = self.entries
        node = nodes[entry] if entry is not None else nodes[0]
        if entry is None:
            node = self.random.choice(nodes)
        made = node.core.mint(1, node.clock)[0]
        seen = JobSeen(customer, self.now, run_times_s)
        self.jobs.append(seen)

        def note(action: AnswerCaller) -> None:
            seen.answered_at = self.now + self.scenario.client_s
            if action.answer is not None:
                seen.outcome = action.answer.outcome

        payloads = tuple(b"%.4f" % run_s for run_s in run_times_s)
        self.scheduler.after(
            self.scenario.client_s,
            lambda: self.submit(
                node,
                made,
                len(run_times_s),
                deadline_s,
                answered=note,
                kind=kind,
                payloads=payloads,
                customer=CustomerName(customer),
            ),
        )
        return seen

    def ideal_s(self, job: JobSeen) -> float:
        """Give the response time on an idle site."""
        work_s = sum(job.run_times_s) / self.total_slots
        network_s = 2 * (self.scenario.client_s + self.scenario.between_s)
        return max(max(job.run_times_s), work_s) + network_s

    def messages_a_task(self) -> float:
        """Count messages between entries and agents for each task."""
        sent = received = tasks = 0
        for node in self.entries:
            counts = node.core.counters.counts
            sent += counts.get(Count.MESSAGES_TO_AGENTS, 0)
            received += counts.get(Count.MESSAGES_FROM_AGENTS, 0)
            tasks += counts.get(Count.TASKS_SENT, 0)
        return (sent + received) / max(1, tasks)

    def wasted_share(self) -> float:
        """Give the share of messages that moved no task or result."""
        wasted = total = 0
        for node in self.entries:
            counts = node.core.counters.counts
            total += counts.get(Count.MESSAGES_TO_AGENTS, 0)
            total += counts.get(Count.MESSAGES_FROM_AGENTS, 0)
            wasted += counts.get(Count.TASKS_BOUNCED, 0)
            wasted += counts.get(Count.WASTED_RESULT, 0)
        return wasted / max(1, total)


def draw_run_time_s(random: Random) -> float:
    """Draw a task's run time: 50 ms to 1 s, a tail of seconds."""
    if random.random() < 0.01:
        return random.uniform(1.0, 4.0)
    return min(1.0, max(0.05, random.lognormvariate(-1.9, 0.7)))


def draw_job_size(random: Random) -> int:
    """Draw a job's number of tasks: mostly few, at times hundreds."""
    draw = random.random()
    if draw < 0.5:
        return 1
    if draw < 0.9:
        return random.randint(2, 20)
    if draw < 0.99:
        return random.randint(21, 100)
    return random.randint(101, LARGEST_JOB)


def mean_work_s(random: Random) -> float:
    """Estimate the mean work of a job in slot seconds."""
    sizes = [draw_job_size(random) for _ in range(20_000)]
    times = [draw_run_time_s(random) for _ in range(20_000)]
    return sum(sizes) / len(sizes) * sum(times) / len(times)


def play(
    bench: Bench,
    load: float,
    *,
    duration_s: float = MEASURED_S,
    deadline_s: float = 20.0,
    customer: str = "fjaervik",
) -> None:
    """Submit jobs at random for a while, at a share of the capacity."""
    # Its own source, so that every policy gets the same jobs.
    random = Random(f"{bench.seed} {customer}")
    rate = load * bench.total_slots / mean_work_s(random)
    until = bench.now + duration_s

    def submit() -> None:
        if bench.now >= until:
            return
        bench.scheduler.after(random.expovariate(rate), submit)
        size = draw_job_size(random)
        times = [draw_run_time_s(random) for _ in range(size)]
        bench.submit_job(times, deadline_s, customer)

    submit()


def quantile(values: list[float], share: float) -> float:
    """Give a quantile; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
