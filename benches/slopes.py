"""Slopes of the decision code alone, for docs/CAPACITY.md."""

from __future__ import annotations

import time
import tracemalloc

import click
import msgspec

from benches.workload import Bench
from benches.workload import Scenario
from fulmarscale.control.actions import SendAgent
from fulmarscale.control.entry_list import EntryList
from fulmarscale.entry.inputs import AgentReceived
from fulmarscale.entry.inputs import Tick
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode
from fulmarscale.ids import TaskRef
from fulmarscale.wire.messages import AgentLoad
from fulmarscale.wire.messages import AgentState
from fulmarscale.wire.messages import AgentToken
from fulmarscale.wire.messages import FromAgent
from fulmarscale.wire.messages import LeaseAsk
from fulmarscale.wire.messages import LeasePromise
from fulmarscale.wire.messages import TaskResult
from fulmarscale.wire.messages import ToAgent

TASKS = 20
JOBS = 400
RESULT = b'{"stock":12345678}'


def site_of(agents: int) -> Bench:
    """Make a site of one entry and some agents."""
    return Bench(1, Scenario("slopes", agents, 1, 0.0005, 0.001), entries=1)


def measure_agents(agents: int) -> None:
    """Print an entry's memory and idle time for a number of agents."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    bench = site_of(agents)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    entry = bench.entries[0]
    rounds = 200
    began_at = time.perf_counter()
    for _ in range(rounds):
        entry.core.handle(Tick(), entry.clock)
    tick_us = (time.perf_counter() - began_at) / rounds * 1e6
    click.echo(
        f"{agents} agents: {used / 1e6:.2f} MB for all nodes,"
        f" {tick_us:.0f} us a tick of the entry"
    )


def measure_jobs(agents: int) -> None:
    """Print an entry's time and memory for jobs of 20 tasks."""
    bench = site_of(agents)
    entry = bench.entries[0]
    sent = _catch_dispatches(entry)
    spent_s = 0.0
    for _ in range(JOBS):
        bench.submit_job([0.1] * TASKS, 10.0)
        began_at = time.perf_counter()
        bench.scheduler.run_until(bench.now + 0.0011)
        for action in sent:
            entry.core.handle(
                AgentReceived(action.session, _results(action)), entry.clock
            )
        spent_s += time.perf_counter() - began_at
        sent.clear()
    kept = [
        msgspec.msgpack.encode(record)
        for record in entry.core._records.answered()
    ]
    a_task = spent_s / JOBS / TASKS * 1e6
    size = sum(map(len, kept)) / max(1, len(kept))
    click.echo(
        f"{agents} agents: {a_task:.0f} us of decisions a task, {size:.0f}"
        f" bytes for a record of {TASKS} tasks as it is handed over"
    )


def _catch_dispatches(entry: object) -> list[SendAgent]:
    sent: list[SendAgent] = []
    perform = entry._perform  # type: ignore[attr-defined]

    def catch(action: object, decided_at: float) -> None:
        if isinstance(action, SendAgent) and action.message.jobs:
            sent.append(action)
        else:
            perform(action, decided_at)

    entry._perform = catch  # type: ignore[attr-defined]
    return sent


def _results(action: SendAgent) -> FromAgent:
    results = tuple(
        TaskResult(
            TaskRef(job.submission_id, task.index),
            Outcome.DONE,
            ResultCode.OK,
            RESULT,
            0.1,
        )
        for job in action.message.jobs
        for task in job.tasks
    )
    return FromAgent(
        token=AgentToken(action.agent.incarnation, time.monotonic()),
        load=AgentLoad(1, 0, 0),
        state=AgentState.SERVING,
        results=results,
    )


def measure_messages() -> None:
    """Print the sizes of messages, without the transport's framing."""
    bench = site_of(1)
    member = bench.entries[0].core.lease.member
    token = AgentToken(1 << 47, 123456.789)
    ping = ToAgent(entry=member.entry, echo=token, wants_token=True)
    reply = FromAgent(token, AgentLoad(8, 8, 3), AgentState.SERVING)
    ask = LeaseAsk(123456.789, 1200, 1400)
    promise = LeasePromise(member.entry, 123456.789, True, 1200)
    entries = EntryList(1200, (member,) * 10)
    for name, message in (
        ("token request", ping),
        ("token", reply),
        ("lease ask", ask),
        ("lease promise", promise),
        ("list of 10 entries", entries),
    ):
        size = len(msgspec.msgpack.encode(message))
        click.echo(f"{name}: {size} bytes")


@click.command()
def main() -> None:
    """Measure at two or three sizes each."""
    for agents in (10, 100, 820):
        measure_agents(agents)
    for agents in (40, 200, 820):
        measure_jobs(agents)
    measure_messages()


if __name__ == "__main__":
    main()
