"""Seeded fault injection on a virtual site that runs durable jobs.

A seed fixes the load and the faults. Everything that is drawn at random is
drawn in a fixed order, so that a seed always plays the same run.
"""

from __future__ import annotations

from random import Random
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from features.support.durable_site import DurableEntryNode
from features.support.durable_site import DurableSite
from features.support.fake_row_store import StoreMode
from fulmarscale.entry.durable.actions import StorageOutcome
from fulmarscale.entry.durable.record import DurableJobState

if TYPE_CHECKING:
    from features.support.run_site import AgentNode

FAULT_PHASE_S: Final = 30.0
"""Duration of the phase with load and faults."""

RECOVERY_PHASE_S: Final = 45.0
"""Duration of the phase without faults that follows.

In this time leases lapse, discarded runs are repeated, and every job ends.
"""


class DurableSeedResult(msgspec.Struct):
    """Result of one seed."""

    seed: int
    runs: int
    """Runs that targets started."""
    completed: int
    """Jobs that the store records as completed."""
    violations: list[str]
    """Violations of the guarantees on durable jobs."""
    open_jobs: list[str]
    """Accepted jobs that the store still records as open."""


class DurableChaosRun:
    """Plays the load and the faults of one seed.

    :param seed: seed of all random choices.
    :param crashing_share: share of the jobs with a task that crashes targets.
    """

    works_ms = (60, 200, 900, 2000)
    """Durations of tasks, in milliseconds."""

    def __init__(self, seed: int, crashing_share: float = 0.0) -> None:
        self._random = Random(seed)
        self._crashing_share = crashing_share
        self._crashing_random = Random(f"{seed}/crashing")
        self.site = DurableSite(3, 4)
        self._job_count = 0

    def play(self) -> None:
        """Run the phase with load and faults, then the one without faults."""
        clock = self.site.clock
        ends_at = clock.now + FAULT_PHASE_S
        while clock.now < ends_at:
            if self._random.random() < 0.75:
                self._submit()
            else:
                self._inject_fault()
            self.site.advance(self._random.uniform(0.02, 0.25))
        self.site.rows.mode = StoreMode.HEALTHY
        self.site.rows.disconnected_entries.clear()
        self.site.advance(RECOVERY_PHASE_S)

    def _choose_entry(self) -> DurableEntryNode:
        entry = self._random.choice(self.site.entries)
        assert isinstance(entry, DurableEntryNode)
        return entry

    def _submit(self) -> None:
        self._job_count += 1
        job = f"job{self._job_count}"
        task_counts = self._random.choice(
            ((1,), (2,), (4,), (2, 3), (1, 1, 1))
        )
        work_ms = self._random.choice(self.works_ms)
        entry = self._choose_entry()
        if self._crashing_random.random() < self._crashing_share:
            self.site.make_task_crash_targets(job, 0)
        entry.submit_durable(job, task_counts, work_ms)
        clock = self.site.clock
        if self._random.random() < 0.2:
            # The caller submits again at another entry, even if answered.
            other = self._choose_entry()
            delay_s = self._random.uniform(0.0, 2.0)
            clock.call_in(
                delay_s,
                lambda: self._resubmit(other.name, job, task_counts, work_ms),
            )
        if self._random.random() < 0.1:
            delay_s = self._random.uniform(0.0, 1.0)
            clock.call_in(delay_s, lambda: entry.cancel_durable(job))

    def _resubmit(
        self, name: str, job: str, task_counts: tuple[int, ...], work_ms: int
    ) -> None:
        """Submit a job again, unless it was rejected."""
        if self.site.submission_outcomes().get(job) is StorageOutcome.REFUSED:
            return
        for entry in self.site.entries:
            assert isinstance(entry, DurableEntryNode)
            if entry.name == name:
                entry.submit_durable(job, task_counts, work_ms)

    def _inject_fault(self) -> None:
        """Inject a random fault; does nothing where it does not apply."""
        site = self.site
        clock = site.clock
        entry = self._choose_entry()
        agent = self._random.choice(site.agents)
        duration_s = self._random.uniform(0.1, 3.0)
        match self._random.choice(
            (
                "freeze",
                "thaw",
                "streams",
                "cut",
                "crash",
                "late",
                "agent",
                "entry",
                "store",
                "core_cut",
                "long_freeze",
                "all",
            )
        ):
            case "freeze" if entry.is_up and not entry.is_paused:
                entry.is_paused = True
                clock.call_in(duration_s, entry.resume)
            case "long_freeze" if entry.is_up and not entry.is_paused:
                entry.is_paused = True
                clock.call_in(4 * duration_s, entry.resume)
            case "thaw" if agent.is_up and not agent.is_paused:
                # Pauses an agent, as "freeze" does an entry.
                agent.is_paused = True
                clock.call_in(duration_s, agent.resume)
            case "streams" if entry.is_up and agent.is_up:
                site.disconnect(entry, agent)
                clock.call_in(0.2, lambda: self._reopen_stream(entry, agent))
            case "cut":
                # Messages between an entry and an agent are lost.
                pair = (entry.name, agent.target.name)
                site.disconnected_pairs.add(pair)
                clock.call_in(duration_s, lambda: self._reconnect_pair(pair))
            case "crash" if agent.target.is_up:
                agent.target.crash(duration_s)
            case "late":
                # The next start request arrives late and is not answered.
                agent.target.start_delays_s = [self._random.uniform(2.0, 9.0)]
            case "agent" if agent.is_up and not agent.is_paused:
                site.restart_agent(agent, duration_s)
            case "entry" if entry.is_up and not entry.is_paused:
                site.restart_entry(entry, duration_s)
            case "store" if site.rows.mode is StoreMode.HEALTHY:
                site.rows.mode = self._random.choice(list(StoreMode))
                clock.call_in(2 * duration_s, self._restore_store)
            case "core_cut":
                # An entry gets no answer from the store.
                site.rows.disconnected_entries.add(entry.name)
                clock.call_in(
                    4 * duration_s,
                    lambda: site.rows.disconnected_entries.discard(entry.name),
                )
            case "all" if (
                self._random.random() < 0.3 and self._is_none_paused()
            ):
                site.restart_all(0.5)
            case _:
                pass

    def _reconnect_pair(self, pair: tuple[str, str]) -> None:
        """Let an entry and an agent reach one another again.

        Messages were lost on every stream between them, so all of these are
        replaced, also those of processes that started in the meantime.
        """
        self.site.disconnected_pairs.discard(pair)
        for entry in self.site.entries:
            for agent in self.site.agents:
                is_pair = (entry.name, agent.target.name) == pair
                if is_pair and entry.is_up and agent.is_up:
                    self.site.disconnect(entry, agent)
                    self.site.connect(entry, agent)

    def _is_none_paused(self) -> bool:
        nodes = [*self.site.entries, *self.site.agents]
        return not any(node.is_paused for node in nodes)

    def _restore_store(self) -> None:
        self.site.rows.mode = StoreMode.HEALTHY

    def _reopen_stream(
        self, entry: DurableEntryNode, agent: AgentNode
    ) -> None:
        """Open a stream again if both processes still run."""
        if entry.is_up and entry in self.site.entries:
            for other in self.site.agents:
                if other is agent and other.is_up:
                    self.site.connect(entry, other)


class RestartRun(DurableChaosRun):
    """Plays short tasks on targets that restart before their agents notice."""

    works_ms = (60, 100, 200)

    def _inject_fault(self) -> None:
        target = self._random.choice(self.site.targets)
        target.crash(self._random.choice((0.02, 0.03, 0.05, 0.2)))


class FailingRun(DurableChaosRun):
    """Adds targets that fail all runs for a while to the usual faults."""

    def _inject_fault(self) -> None:
        if self._random.random() < 0.5:
            super()._inject_fault()
            return
        span_s = self._random.uniform(0.1, 1.0)
        for target in self.site.targets:
            target.is_failing = True
        self.site.clock.call_in(span_s, self._end_failures)

    def _end_failures(self) -> None:
        for target in self.site.targets:
            target.is_failing = False


def play_failing_seed(seed: int) -> DurableSeedResult:
    """Play one seed in which targets fail the runs of some moments."""
    return _judge(seed, FailingRun(seed))


def play_restart_seed(seed: int) -> DurableSeedResult:
    """Play one seed of short tasks on targets that restart."""
    return _judge(seed, RestartRun(seed))


CRASHING_SHARE: Final = 0.05
"""Share of jobs with a task that crashes targets, in runs with such jobs."""


def play_crashing_seed(seed: int) -> DurableSeedResult:
    """Play one seed in which some jobs have a task that crashes targets."""
    return play_durable_seed(seed, CRASHING_SHARE)


def play_durable_seed(
    seed: int, crashing_share: float = 0.0
) -> DurableSeedResult:
    """Play one seed and check the guarantees on durable jobs.

    :param seed: seed of all random choices.
    :param crashing_share: share of the jobs with a task that crashes targets.
    """
    return _judge(seed, DurableChaosRun(seed, crashing_share))


def _judge(seed: int, chaos_run: DurableChaosRun) -> DurableSeedResult:
    """Play a run and check the guarantees on durable jobs."""
    chaos_run.play()
    site = chaos_run.site
    outcomes = site.submission_outcomes()
    stored_jobs = [
        job
        for job, outcome in outcomes.items()
        if outcome is StorageOutcome.STORED
    ]
    completed = 0
    open_jobs = []
    for job in stored_jobs:
        record = site.record_of(job)
        if record is None:
            continue
        completed += record.state is DurableJobState.COMPLETED
        if record.state is DurableJobState.OPEN:
            open_jobs.append(job)
    return DurableSeedResult(
        seed, len(site.history), completed, site.violations(), open_jobs
    )
