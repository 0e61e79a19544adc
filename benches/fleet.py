"""Counts messages, pairs and wake-ups of fleets under virtual time.

    python -m benches.fleet --entries 12 --agents 66 --load 0.7

The real dispatchers and run guards on fake targets, as in the features.
"""

from __future__ import annotations

from collections import Counter
from random import Random
import time
from typing import Final
from typing import TYPE_CHECKING

import click

from features.support.run_site import RunSite
from features.support.run_site import TASK
from fulmarscale.entry.jobs.actions import JobOutcome

if TYPE_CHECKING:
    from features.support.run_site import AgentNode
    from features.support.run_site import EntryNode
    from fulmarscale.agent.run_actions import SendMessage
    from fulmarscale.entry.jobs.actions import SendOrders

KINDS: Final = ((155, 8, 120), (28, 4, 1800), (450, 2, 400))
"""The large site's jobs: how many of 633, their tasks, milliseconds each."""

HOT_WEIGHT: Final = 4
"""Jobs of each fifth entry for one of another, with uneven entries."""

IN_TIME_S: Final = 0.06
"""The wait for the last start that the users aim at."""


class FleetCounts:
    """Counts what a site's processes send."""

    def __init__(self, site: RunSite) -> None:
        self._site = site
        self._to_entry = site.to_entry
        self._to_agent = site.to_agent
        self.sent: Counter[str] = Counter()
        site.to_entry = self._count_agent
        site.to_agent = self._count_entry

    def _count_agent(self, agent: AgentNode, action: SendMessage) -> None:
        message = action.message
        kind = "agent, reports" if message.reports else "agent, other"
        if message.is_promised and not message.reports:
            kind = "agent, room that is offered to another"
        self.sent[kind] += 1
        self._to_entry(agent, action)

    def _count_entry(self, entry: EntryNode, action: SendOrders) -> None:
        message = action.message
        if message.starts:
            kind = "entry, orders"
        elif message.stops:
            kind = "entry, stops"
        elif message.asks:
            kind = "entry, questions"
        elif message.backlog == 0 and not message.echo:
            kind = "entry, no echo"
        else:
            kind = "entry, other"
        self.sent[kind] += 1
        self._to_agent(entry, action)


class Load:
    """Hands in jobs at random times."""

    def __init__(
        self, site: RunSite, share: float, seed: int, *, is_uneven: bool
    ) -> None:
        self._site = site
        self._random = Random(seed)
        self._number = 0
        weights = [
            HOT_WEIGHT if is_uneven and number % 5 == 0 else 1
            for number in range(len(site.entries))
        ]
        self._entries = [
            entry
            for entry, weight in zip(site.entries, weights, strict=True)
            for _ in range(weight)
        ]
        slots = sum(
            target.capacity.cpu_millicores // TASK.cpu_millicores
            for target in site.targets
        )
        jobs = sum(count for count, _, _ in KINDS)
        work_s = sum(n * tasks * ms / 1000 for n, tasks, ms in KINDS) / jobs
        self.jobs_per_s = share * slots / work_s
        self.handed_in: list[tuple[EntryNode, str, int]] = []

    def play(self, span_s: float) -> None:
        """Hand in jobs for a while."""
        ends_at = self._site.clock.now + span_s
        while self._site.clock.now < ends_at:
            self._site.run(self._random.expovariate(self.jobs_per_s))
            counts = [count for count, _, _ in KINDS]
            _, tasks, work_ms = self._random.choices(KINDS, counts)[0]
            entry = self._random.choice(self._entries)
            self._number += 1
            name = f"job{self._number}"
            entry.submit(name, tasks, work_ms)
            self.handed_in.append((entry, name, tasks))

    def waits(self) -> list[float]:
        """List the waits for the last start; infinite if it never came."""
        began: dict[str, list[float]] = {}
        for run in self._site.history:
            began.setdefault(run.task.job_id, []).append(run.began_at)
        found = []
        for entry, name, tasks in self.handed_in:
            starts = began.get(name, [])
            if len(starts) < tasks:
                found.append(float("inf"))
                continue
            found.append(max(starts) - entry.submitted_at[name])
        return sorted(found)

    def refused(self) -> int:
        """Count jobs that were refused."""
        return sum(
            name in entry.answers
            and entry.answers[name].outcome is JobOutcome.NOT_RUN
            for entry, name, _ in self.handed_in
        )


@click.command()
@click.option("--entries", default=12)
@click.option("--agents", default=66)
@click.option("--load", default=0.7, help="Share of the capacity; 0 idle.")
@click.option("--seconds", default=3.0)
@click.option("--seed", default=1)
@click.option("--uneven", is_flag=True)
def main(
    entries: int,
    agents: int,
    load: float,
    seconds: float,
    seed: int,
    uneven: bool,
) -> None:
    """Print the counts of one fleet."""
    site = RunSite(entries, agents)
    work = Load(site, load, seed, is_uneven=uneven) if load > 0 else None
    if work is not None:
        work.play(1.0)
    counts = FleetCounts(site)
    wakes = sum(node.wakes for node in (*site.entries, *site.agents))
    began_runs = len(site.history)
    began = time.process_time()
    if work is None:
        site.run(seconds)
    else:
        work.play(seconds)
    took_s = time.process_time() - began
    total = sum(counts.sent.values())
    starts = len(site.history) - began_runs
    wakes = sum(node.wakes for node in (*site.entries, *site.agents)) - wakes
    pairs = sum(len(entry.sessions) for entry in site.entries)
    click.echo(f"{entries} x {agents}, load {load}: {pairs} pairs")
    click.echo(f"messages a second: {total / seconds:.0f}")
    for kind, count in sorted(counts.sent.items()):
        click.echo(f"  {kind}: {count / seconds:.0f}")
    nodes = entries + agents
    click.echo(f"ticks a second and process: {wakes / seconds / nodes:.1f}")
    click.echo(f"decisions: {took_s / seconds:.2f} s a second")
    if work is None:
        return
    site.run(3.0)
    click.echo(f"messages a start: {total / max(starts, 1):.2f}")
    waits = work.waits()
    in_time = sum(wait <= IN_TIME_S for wait in waits) / len(waits)
    click.echo(
        f"jobs: {len(waits)}, last start within 60 ms: {in_time:.3f}, "
        f"median {waits[len(waits) // 2] * 1000:.1f} ms, "
        f"95 of 100 {waits[len(waits) * 95 // 100] * 1000:.1f} ms, "
        f"refused {work.refused()}"
    )


if __name__ == "__main__":
    main()
