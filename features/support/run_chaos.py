"""Random faults on a site of dispatchers and run guards."""

from __future__ import annotations

from random import Random
import sys
from typing import Final

import msgspec

from features.support.run_site import EntryNode
from features.support.run_site import RunSite
from fulmarscale.entry.jobs.actions import JobOutcome

LENGTH_S: Final = 30.0
"""How long faults go on."""

RESEND_S: Final = 1.3
"""When a caller tries again after a broken attempt, as on the platform."""

PROBES: Final = 6


class Played(msgspec.Struct):
    """What became of one seed."""

    seed: int
    runs: int
    completed: int
    breaches: list[str]
    served_at_end: bool


class Chaos:
    """Plays one seed."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._site = RunSite(3, 4)
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

    def _hurt(self) -> None:
        site = self._site
        clock = site.clock
        entry = self._random.choice(site.entries)
        agent = self._random.choice(site.agents)
        span_s = self._random.uniform(0.1, 3.0)
        match self._random.choice(
            ("freeze", "thaw", "streams", "cut", "crash", "late", "agent")
        ):
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


def play_seed(seed: int) -> Played:
    """Play one seed and check it."""
    chaos = Chaos(seed)
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
