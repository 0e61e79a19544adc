"""Seeded fault injection on a virtual site of dispatchers and run guards.

A seed fixes the load and the faults. Everything that is drawn at random is
drawn in a fixed order, so that a seed always plays the same run. Run this
module with a seed as its argument to print the history of that seed.
"""

from __future__ import annotations

from random import Random
import sys
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from features.support.run_site import EntryNode
from features.support.run_site import RunSite
from fulmarscale.entry.jobs.actions import JobOutcome

if TYPE_CHECKING:
    from features.support.run_site import AgentNode
    from features.support.run_site import FakeTarget

FAULT_PHASE_S: Final = 30.0
"""Duration of the phase with load and faults."""

RESUBMIT_DELAY_S: Final = 1.3
"""Delay before a caller with a broken connection submits again.

The platform uses the same delay.
"""

PROBE_JOBS: Final = 6
"""Jobs submitted after the faults to check that the site serves again."""

LARGE_SITE_TARGETS: Final = 30
"""Number of targets at which each entry uses only a subset of agents."""

SMALL_SITE_TARGETS: Final = 4
"""Number of targets at which each entry uses all agents."""


class SeedResult(msgspec.Struct):
    """Result of one seed."""

    seed: int
    runs: int
    """Runs that targets started."""
    completed: int
    """Jobs answered as completed."""
    violations: list[str]
    """Violations: concurrent runs of a task, targets over capacity."""
    served_at_end: bool
    """Whether every job submitted after the faults was completed."""


class ChaosRun:
    """Plays the load and the faults of one seed.

    :param seed: seed of all random choices.
    :param targets: number of targets.
    """

    fault_share = 0.25
    """Share of faults among the events."""

    def __init__(self, seed: int, targets: int = SMALL_SITE_TARGETS) -> None:
        self._random = Random(seed)
        self._site = RunSite(3, targets)
        self._is_large = targets > SMALL_SITE_TARGETS
        self._job_count = 0

    def play(self) -> RunSite:
        """Run the phase with load and faults, then one without faults.

        :returns: the site, with its history.
        """
        clock = self._site.clock
        ends_at = clock.now + FAULT_PHASE_S
        while clock.now < ends_at:
            if self._random.random() < 1.0 - self.fault_share:
                self._submit()
            else:
                self._inject_fault()
            self._site.advance(self._random.uniform(0.01, 0.15))
        self._site.advance(15.0)
        return self._site

    def count_completed_probes(self) -> int:
        """Submit probe jobs and return how many were completed."""
        entries = [e for e in self._site.entries if e.is_up]
        for number in range(PROBE_JOBS):
            entry = entries[number % len(entries)]
            entry.submit(f"probe{number}", 2, 200)
        self._site.advance(5.0)
        return sum(
            answer.outcome is JobOutcome.COMPLETED
            for entry in entries
            for job, answer in entry.answers.items()
            if job.startswith("probe")
        )

    def _submit(self) -> None:
        self._job_count += 1
        job = f"job{self._job_count}"
        tasks = self._random.choice((1, 2, 4, 8))
        work_ms = self._random.choice((60, 200, 900, 3000))
        entry = self._random.choice(self._site.entries)
        wait_s = self._random.choice((2.0, 6.0))
        entry.submit(job, tasks, work_ms, wait_s=wait_s)
        if self._random.random() < 0.3:
            self._break_connection(entry, job, tasks, work_ms)

    def _break_connection(
        self, entry: EntryNode, job: str, tasks: int, work_ms: int
    ) -> None:
        """Break the caller's connection; it submits again at some entry."""
        break_delay_s = self._random.uniform(0.0, 0.8)
        other = self._random.choice(self._site.entries)
        clock = self._site.clock
        clock.call_in(break_delay_s, lambda: entry.disconnect_caller(job))
        clock.call_in(
            break_delay_s + RESUBMIT_DELAY_S,
            lambda: other.submit(job, tasks, work_ms),
        )

    def _end_cut(self, entry_name: str, target_name: str) -> None:
        """End a cut between an entry and an agent."""
        pair = (entry_name, target_name)
        self._site.disconnected_pairs.discard(pair)

    def _disconnect_most(self, entry: EntryNode, duration_s: float) -> None:
        """Disconnect an entry from most of the agents that it uses."""
        names = {agent.guard.name: agent.target.name for agent in self._agents}
        for name in sorted(entry.chosen_agents):
            if self._random.random() < 0.8:
                pair = (entry.name, names[name])
                self._site.disconnected_pairs.add(pair)
                self._site.clock.call_in(
                    duration_s,
                    lambda pair=pair: self._site.disconnected_pairs.discard(
                        pair
                    ),
                )

    def _overload(self, entry: EntryNode) -> None:
        """Submit more tasks to an entry than its subset can run at once."""
        for _ in range(12):
            self._job_count += 1
            entry.submit(f"job{self._job_count}", 24, 900, wait_s=6.0)

    @property
    def _agents(self) -> list[AgentNode]:
        return self._site.agents

    def _draw_duration_s(self) -> float:
        return self._random.uniform(0.1, 3.0)

    def _inject_fault(self) -> None:
        """Inject a random fault; does nothing where it does not apply."""
        site = self._site
        clock = site.clock
        entry = self._random.choice(site.entries)
        agent = self._random.choice(site.agents)
        duration_s = self._draw_duration_s()
        faults = ["freeze", "thaw", "streams", "cut", "crash", "late", "agent"]
        if self._is_large:
            faults += ["dark", "rush"]
        match self._random.choice(faults):
            case "dark":
                self._disconnect_most(entry, duration_s)
            case "rush":
                self._overload(entry)
            case "freeze" if not entry.is_paused:
                entry.is_paused = True
                clock.call_in(duration_s, entry.resume)
            case "thaw" if agent.is_up and not agent.is_paused:
                # Pauses an agent, as "freeze" does an entry.
                agent.is_paused = True
                clock.call_in(duration_s, agent.resume)
            case "streams":
                site.disconnect(entry, agent)
                clock.call_in(0.2, lambda: site.connect(entry, agent))
            case "cut":
                # Messages between an entry and an agent are lost.
                pair = (entry.name, agent.target.name)
                site.disconnected_pairs.add(pair)
                clock.call_in(duration_s, lambda: self._end_cut(*pair))
            case "crash" if agent.target.is_up:
                agent.target.crash(duration_s)
            case "late":
                # The next start request arrives late and is not answered.
                agent.target.start_delays_s = [self._random.uniform(2.0, 9.0)]
            case "agent" if agent.is_up and not agent.is_paused:
                site.restart_agent(agent, duration_s)
            case _:
                pass


class OverlapRun(ChaosRun):
    """Plays many short faults, so that several are in effect at once.

    Targets restart before their agents notice, and processes are paused for
    about as long as leases and retries of callers take. The lease of a start
    that is carried out late counts from then.
    """

    fault_share = 0.5

    def __init__(self, seed: int, targets: int = SMALL_SITE_TARGETS) -> None:
        super().__init__(seed, targets)
        for target in self._site.targets:
            target.is_lease_from_arrival = True

    def _end_cut(self, entry_name: str, target_name: str) -> None:
        """End a cut; a stream that has lost messages is opened again."""
        super()._end_cut(entry_name, target_name)
        site = self._site
        for entry in site.entries:
            for agent in list(entry.sessions.values()):
                names = (entry.name, agent.target.name)
                if names != (entry_name, target_name):
                    continue
                site.disconnect(entry, agent)
                site.clock.call_in(
                    0.2, lambda e=entry, a=agent: site.connect(e, a)
                )

    def _draw_duration_s(self) -> float:
        return self._random.choice((0.03, 0.2, 0.5, 0.8, 1.4, 2.2))


class TargetFaultRun(OverlapRun):
    """Adds faults between agents and targets to the short faults.

    Targets restart twice in a row with a late first heartbeat, respond to
    nothing or to no renewal, or reject all requests, while starts are carried
    out late. Streams are held up in one direction.
    """

    def _inject_fault(self) -> None:
        if self._random.random() < 0.4:
            super()._inject_fault()
            return
        site = self._site
        agent = self._random.choice(site.agents)
        entry = self._random.choice(site.entries)
        target = agent.target
        duration_s = self._draw_duration_s()
        match self._random.choice(("flap", "flag", "late", "stall", "pause")):
            case "flap":
                target.heartbeat_delay_s = self._random.choice((0.0, 0.8))
                target.crash(self._random.choice((0.03, 0.2)))
                site.clock.call_in(
                    self._random.uniform(0.25, 0.9),
                    lambda: target.crash(0.03),
                )
            case "flag":
                self._raise_flag(target, duration_s)
            case "late":
                # The starts are carried out while the agent gets no list.
                late_s = self._random.uniform(1.2, 2.2)
                target.start_delays_s = [late_s] * 3
                silent_s = self._random.uniform(1.3, 3.5)
                site.clock.call_in(
                    0.1, lambda: self._raise_flag(target, silent_s)
                )
                site.clock.call_in(silent_s, target.start_delays_s.clear)
            case "stall":
                names = [entry.name, target.name]
                self._random.shuffle(names)
                until = site.clock.now + duration_s
                site.stalls[names[0], names[1]] = until
            case "pause" if agent.is_up and not agent.is_paused:
                agent.is_paused = True
                pause_s = self._random.uniform(0.05, 0.3)
                site.clock.call_in(pause_s, agent.resume)
            case _:
                pass

    def _raise_flag(self, target: FakeTarget, duration_s: float) -> None:
        """Make a target ignore or reject requests for a while."""
        flag = self._random.choice(
            ("is_unresponsive", "is_renewal_silent", "is_unhealthy")
        )
        setattr(target, flag, True)
        self._site.clock.call_in(
            duration_s, lambda: setattr(target, flag, False)
        )


def play_target_fault_seed(seed: int) -> SeedResult:
    """Play one seed with faults between agents and targets."""
    return _judge(seed, TargetFaultRun(seed))


def play_overlap_seed(seed: int) -> SeedResult:
    """Play one seed with many short faults on a small site."""
    return _judge(seed, OverlapRun(seed))


def play_large_site_seed(seed: int) -> SeedResult:
    """Play one seed on a site with more agents than an entry uses."""
    return play_seed(seed, LARGE_SITE_TARGETS)


def play_seed(seed: int, targets: int = SMALL_SITE_TARGETS) -> SeedResult:
    """Play one seed and check its history.

    :param seed: seed of all random choices.
    :param targets: number of targets.
    """
    return _judge(seed, ChaosRun(seed, targets))


def _judge(seed: int, chaos_run: ChaosRun) -> SeedResult:
    """Play a run and check its history."""
    site = chaos_run.play()
    completed_probes = chaos_run.count_completed_probes()
    violations = [
        f"concurrent runs of one task: {pair}"
        for pair in site.concurrent_runs()
    ]
    violations += [
        f"target over capacity: {name}"
        for name in site.targets_over_capacity()
    ]
    violations += site.unfounded_failures()
    completed = sum(
        answer.outcome is JobOutcome.COMPLETED
        for entry in site.entries
        for answer in entry.answers.values()
    )
    return SeedResult(
        seed,
        len(site.history),
        completed,
        violations,
        completed_probes == PROBE_JOBS,
    )


def print_history(seed: int) -> None:
    """Print all runs of one seed in the order of their starts."""
    for run in ChaosRun(seed).play().history:
        print(run)


if __name__ == "__main__":
    print_history(int(sys.argv[1]))
