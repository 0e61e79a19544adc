"""Random faults on a site of dispatchers and run guards."""

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

LENGTH_S: Final = 30.0
"""How long faults go on."""

RESEND_S: Final = 1.3
"""When a caller tries again after a broken attempt, as on the platform."""

PROBES: Final = 6

FLEET: Final = 30
"""Targets of a site on which entries use a subset."""

SMALL: Final = 4
"""Targets of a site on which entries use all agents."""


class Played(msgspec.Struct):
    """What became of one seed."""

    seed: int
    runs: int
    completed: int
    breaches: list[str]
    served_at_end: bool


class Chaos:
    """Plays one seed."""

    def __init__(self, seed: int, targets: int = SMALL) -> None:
        self._random = Random(seed)
        self._site = RunSite(3, targets)
        self._is_fleet = targets > SMALL
        self._number = 0

    def play(self) -> RunSite:
        """Play load and faults, then let all heal."""
        clock = self._site.clock
        ends_at = clock.now + LENGTH_S
        while clock.now < ends_at:
            if self._random.random() < 0.75:
                self._submit()
            else:
                self._hurt()
            self._site.run(self._random.uniform(0.01, 0.15))
        self._site.run(15.0)
        return self._site

    def probe(self) -> int:
        """Hand in jobs after healing and count those completed."""
        entries = [e for e in self._site.entries if e.is_up]
        for number in range(PROBES):
            entry = entries[number % len(entries)]
            entry.submit(f"probe{number}", 2, 200)
        self._site.run(5.0)
        return sum(
            answer.outcome is JobOutcome.COMPLETED
            for entry in entries
            for job, answer in entry.answers.items()
            if job.startswith("probe")
        )

    def _submit(self) -> None:
        self._number += 1
        job = f"job{self._number}"
        tasks = self._random.choice((1, 2, 4, 8))
        work_ms = self._random.choice((60, 200, 900, 3000))
        entry = self._random.choice(self._site.entries)
        wait_s = self._random.choice((2.0, 6.0))
        entry.submit(job, tasks, work_ms, wait_s=wait_s)
        if self._random.random() < 0.3:
            self._lose_answer(entry, job, tasks, work_ms)

    def _lose_answer(
        self, entry: EntryNode, job: str, tasks: int, work_ms: int
    ) -> None:
        """Break the caller's connection; it tries again elsewhere."""
        broken_in = self._random.uniform(0.0, 0.8)
        other = self._random.choice(self._site.entries)
        clock = self._site.clock
        clock.call_in(broken_in, lambda: entry.cancel(job))
        clock.call_in(
            broken_in + RESEND_S, lambda: other.submit(job, tasks, work_ms)
        )

    def _cut_many(self, entry: EntryNode, span_s: float) -> None:
        """Cut an entry off from most of the agents that it uses."""
        names = {agent.guard.name: agent.target.name for agent in self._agents}
        for name in sorted(entry.chosen):
            if self._random.random() < 0.8:
                pair = (entry.name, names[name])
                self._site.cut.add(pair)
                self._site.clock.call_in(
                    span_s, lambda pair=pair: self._site.cut.discard(pair)
                )

    def _rush(self, entry: EntryNode) -> None:
        """Hand in more at one entry than its subset can do at once."""
        for _ in range(12):
            self._number += 1
            entry.submit(f"job{self._number}", 24, 900, wait_s=6.0)

    @property
    def _agents(self) -> list[AgentNode]:
        return self._site.agents

    def _hurt(self) -> None:
        site = self._site
        clock = site.clock
        entry = self._random.choice(site.entries)
        agent = self._random.choice(site.agents)
        span_s = self._random.uniform(0.1, 3.0)
        faults = ["freeze", "thaw", "streams", "cut", "crash", "late", "agent"]
        if self._is_fleet:
            faults += ["dark", "rush"]
        match self._random.choice(faults):
            case "dark":
                self._cut_many(entry, span_s)
            case "rush":
                self._rush(entry)
            case "freeze" if not entry.is_frozen:
                entry.is_frozen = True
                clock.call_in(span_s, entry.thaw)
            case "thaw" if agent.is_up and not agent.is_frozen:
                agent.is_frozen = True
                clock.call_in(span_s, agent.thaw)
            case "streams":
                site.disconnect(entry, agent)
                clock.call_in(0.2, lambda: site.connect(entry, agent))
            case "cut":
                pair = (entry.name, agent.target.name)
                site.cut.add(pair)
                clock.call_in(span_s, lambda: site.cut.discard(pair))
            case "crash" if agent.target.is_up:
                agent.target.crash(span_s)
            case "late":
                agent.target.late_orders = [self._random.uniform(2.0, 9.0)]
            case "agent" if agent.is_up and not agent.is_frozen:
                site.restart_agent(agent, span_s)
            case _:
                pass


def play_fleet_seed(seed: int) -> Played:
    """Play one seed on a site with more agents than an entry uses."""
    return play_seed(seed, FLEET)


def play_seed(seed: int, targets: int = SMALL) -> Played:
    """Play one seed and check it."""
    chaos = Chaos(seed, targets)
    site = chaos.play()
    served = chaos.probe()
    breaches = [f"twice at once: {pair}" for pair in site.overlaps()]
    breaches += [f"over capacity: {name}" for name in site.overfull()]
    completed = sum(
        answer.outcome is JobOutcome.COMPLETED
        for entry in site.entries
        for answer in entry.answers.values()
    )
    return Played(
        seed, len(site.history), completed, breaches, served == PROBES
    )


def print_history(seed: int) -> None:
    """Print all runs of one seed, as they were."""
    for run in Chaos(seed).play().history:
        print(run)


if __name__ == "__main__":
    print_history(int(sys.argv[1]))
