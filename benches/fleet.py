"""Counts messages, connected pairs and ticks of a simulated site.

    python -m benches.fleet --entries 12 --agents 66 --load 0.7

The site runs the real dispatchers and run guards on fake targets under virtual
time (`features.support.run_site`). Printed are the messages by kind, the
processor time of the decisions, and how long jobs wait for their last start.
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
    from fulmarscale.entry.jobs.actions import SendEntryMessage

JOB_MIX: Final = ((155, 8, 120), (28, 4, 1800), (450, 2, 400))
"""The job mix of the large site.

For each kind of job: its number among 633 jobs, the number of its tasks, and
the run time of each task in milliseconds.
"""

BUSY_ENTRY_WEIGHT: Final = 4
"""Weight of every fifth entry with --uneven; the others have 1."""

START_OBJECTIVE_S: Final = 0.06
"""The users' objective for the wait until the last task starts."""


class MessageCounter:
    """Counts the messages that entries and agents send, by kind.

    :param site: the site, whose delivery functions are wrapped.
    """

    def __init__(self, site: RunSite) -> None:
        self._site = site
        self._send_to_entry = site.deliver_to_entry
        self._send_to_agent = site.deliver_to_agent
        self.sent: Counter[str] = Counter()
        """Number of messages by kind."""
        site.deliver_to_entry = self._count_to_entry
        site.deliver_to_agent = self._count_to_agent

    def _count_to_entry(self, agent: AgentNode, action: SendMessage) -> None:
        message = action.message
        kind = "agent, reports" if message.reports else "agent, other"
        if message.is_offered_elsewhere and not message.reports:
            kind = "agent, capacity offered to another entry"
        self.sent[kind] += 1
        self._send_to_entry(agent, action)

    def _count_to_agent(
        self, entry: EntryNode, action: SendEntryMessage
    ) -> None:
        message = action.message
        if message.starts:
            kind = "entry, start requests"
        elif message.stops:
            kind = "entry, stops"
        elif message.is_probe:
            kind = "entry, capacity probes"
        elif message.backlog == 0 and not message.echo:
            kind = "entry, no echo"
        else:
            kind = "entry, other"
        self.sent[kind] += 1
        self._send_to_agent(entry, action)


class LoadGenerator:
    """Submits jobs of the mix at random times.

    :param site: the site.
    :param share: the load as a share of the site's capacity.
    :param seed: the seed of times, jobs and entries.
    :param is_uneven: whether every fifth entry gets more jobs.
    """

    def __init__(
        self, site: RunSite, share: float, seed: int, *, is_uneven: bool
    ) -> None:
        self._site = site
        self._random = Random(seed)
        self._number = 0
        weights = [
            BUSY_ENTRY_WEIGHT if is_uneven and number % 5 == 0 else 1
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
        jobs = sum(count for count, _, _ in JOB_MIX)
        work_s = sum(n * tasks * ms / 1000 for n, tasks, ms in JOB_MIX) / jobs
        self.jobs_per_s = share * slots / work_s
        self.submitted: list[tuple[EntryNode, str, int]] = []
        """Entry, name and number of tasks of each job."""

    def submit_for(self, duration_s: float) -> None:
        """Submit jobs for a duration in seconds."""
        ends_at = self._site.clock.now + duration_s
        while self._site.clock.now < ends_at:
            self._site.advance(self._random.expovariate(self.jobs_per_s))
            counts = [count for count, _, _ in JOB_MIX]
            _, tasks, work_ms = self._random.choices(JOB_MIX, counts)[0]
            entry = self._random.choice(self._entries)
            self._number += 1
            name = f"job{self._number}"
            entry.submit(name, tasks, work_ms)
            self.submitted.append((entry, name, tasks))

    def last_start_waits_s(self) -> list[float]:
        """Return each job's wait until its last task started, in order.

        The wait is infinite if not all tasks have started.
        """
        starts_by_job: dict[str, list[float]] = {}
        for run in self._site.history:
            starts_by_job.setdefault(run.task.job_id, []).append(
                run.started_at
            )
        waits_s = []
        for entry, name, tasks in self.submitted:
            starts = starts_by_job.get(name, [])
            if len(starts) < tasks:
                waits_s.append(float("inf"))
                continue
            waits_s.append(max(starts) - entry.submitted_at[name])
        return sorted(waits_s)

    def count_rejected(self) -> int:
        """Return the number of rejected jobs."""
        return sum(
            name in entry.answers
            and entry.answers[name].outcome is JobOutcome.NOT_RUN
            for entry, name, _ in self.submitted
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
    """Print the figures of one simulated site."""
    site = RunSite(entries, agents)
    generator = (
        LoadGenerator(site, load, seed, is_uneven=uneven) if load > 0 else None
    )
    if generator is not None:
        generator.submit_for(1.0)
    counts = MessageCounter(site)
    ticks = sum(node.timer_firings for node in (*site.entries, *site.agents))
    earlier_runs = len(site.history)
    cpu_before_s = time.process_time()
    if generator is None:
        site.advance(seconds)
    else:
        generator.submit_for(seconds)
    cpu_s = time.process_time() - cpu_before_s
    total = sum(counts.sent.values())
    starts = len(site.history) - earlier_runs
    ticks = (
        sum(node.timer_firings for node in (*site.entries, *site.agents))
        - ticks
    )
    pairs = sum(len(entry.sessions) for entry in site.entries)
    click.echo(f"{entries} x {agents}, load {load}: {pairs} pairs")
    click.echo(f"messages a second: {total / seconds:.0f}")
    for kind, count in sorted(counts.sent.items()):
        click.echo(f"  {kind}: {count / seconds:.0f}")
    nodes = entries + agents
    click.echo(f"ticks a second and process: {ticks / seconds / nodes:.1f}")
    click.echo(f"decisions: {cpu_s / seconds:.2f} s a second")
    if generator is None:
        return
    site.advance(3.0)
    click.echo(f"messages a start: {total / max(starts, 1):.2f}")
    waits_s = generator.last_start_waits_s()
    in_time = sum(wait_s <= START_OBJECTIVE_S for wait_s in waits_s) / len(
        waits_s
    )
    click.echo(
        f"jobs: {len(waits_s)}, last start within 60 ms: {in_time:.3f}, "
        f"median {waits_s[len(waits_s) // 2] * 1000:.1f} ms, "
        f"95 of 100 {waits_s[len(waits_s) * 95 // 100] * 1000:.1f} ms, "
        f"rejected {generator.count_rejected()}"
    )


if __name__ == "__main__":
    main()
