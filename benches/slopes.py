"""Measures the decision code alone, without processes and network.

Prints memory, processor time and sizes of messages at several numbers of
agents; docs/CAPACITY.md takes the growth per agent and task from them.
"""

from __future__ import annotations

import time
import tracemalloc

import click
import msgspec

from benches.workload import BenchSite
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
from fulmarscale.wire.messages import LeasePromise
from fulmarscale.wire.messages import LeasePromiseRequest
from fulmarscale.wire.messages import TaskResult
from fulmarscale.wire.messages import ToAgent

TASKS_PER_JOB = 20
"""Number of tasks of each job."""

JOB_COUNT = 400
"""Number of jobs in a measurement."""

RESULT = b'{"stock":12345678}'
"""Result of each task."""


def make_site(agents: int) -> BenchSite:
    """Return a simulated site with one entry."""
    return BenchSite(
        1, Scenario("slopes", agents, 1, 0.0005, 0.001), entries=1
    )


def measure_agents(agents: int) -> None:
    """Print the memory of all nodes and the time of an idle entry's tick."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    bench = make_site(agents)
    used_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    entry = bench.entries[0]
    tick_count = 200
    began_at = time.perf_counter()
    for _ in range(tick_count):
        entry.core.handle(Tick(), entry.clock)
    tick_us = (time.perf_counter() - began_at) / tick_count * 1e6
    click.echo(
        f"{agents} agents: {used_bytes / 1e6:.2f} MB for all nodes,"
        f" {tick_us:.0f} us a tick of the entry"
    )


def measure_jobs(agents: int) -> None:
    """Print an entry's decision time per task and the size of its records.

    Dispatches are intercepted and answered at once, so that only decisions
    take time.
    """
    bench = make_site(agents)
    entry = bench.entries[0]
    sent = _intercept_dispatches(entry)
    decision_s = 0.0
    for _ in range(JOB_COUNT):
        bench.submit_job([0.1] * TASKS_PER_JOB, 10.0)
        began_at = time.perf_counter()
        bench.scheduler.run_until(bench.now + 0.0011)
        for action in sent:
            entry.core.handle(
                AgentReceived(action.session, _make_results(action)),
                entry.clock,
            )
        decision_s += time.perf_counter() - began_at
        sent.clear()
    encoded_records = [
        msgspec.msgpack.encode(record)
        for record in entry.core._records.answered_records()
    ]
    task_us = decision_s / JOB_COUNT / TASKS_PER_JOB * 1e6
    size_bytes = sum(map(len, encoded_records)) / max(1, len(encoded_records))
    click.echo(
        f"{agents} agents: {task_us:.0f} us of decisions a task,"
        f" {size_bytes:.0f} bytes for a record of {TASKS_PER_JOB} tasks"
        " as it is handed over"
    )


def _intercept_dispatches(entry: object) -> list[SendAgent]:
    sent: list[SendAgent] = []
    perform = entry._perform  # type: ignore[attr-defined]

    def intercept(action: object, decided_at: float) -> None:
        if isinstance(action, SendAgent) and action.message.jobs:
            sent.append(action)
        else:
            perform(action, decided_at)

    entry._perform = intercept  # type: ignore[attr-defined]
    return sent


def _make_results(action: SendAgent) -> FromAgent:
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
    """Print the encoded sizes of messages, without the transport's framing."""
    bench = make_site(1)
    member = bench.entries[0].core.lease.member
    token = AgentToken(1 << 47, 123456.789)
    token_request = ToAgent(entry=member.entry, echo=token, wants_token=True)
    reply = FromAgent(token, AgentLoad(8, 8, 3), AgentState.SERVING)
    promise_request = LeasePromiseRequest(123456.789, 1200, 1400)
    lease_promise = LeasePromise(member.entry, 123456.789, True, 1200)
    entries = EntryList(1200, (member,) * 10)
    for name, message in (
        ("token request", token_request),
        ("token", reply),
        ("promise request", promise_request),
        ("lease promise", lease_promise),
        ("list of 10 entries", entries),
    ):
        size_bytes = len(msgspec.msgpack.encode(message))
        click.echo(f"{name}: {size_bytes} bytes")


@click.command()
def main() -> None:
    """Measure at three numbers of agents each, and print message sizes."""
    for agents in (10, 100, 820):
        measure_agents(agents)
    for agents in (40, 200, 820):
        measure_jobs(agents)
    measure_messages()


if __name__ == "__main__":
    main()
