"""Measures the costs of a stand-in site of real processes.

Prints the throughput, the response time, and the processor time and memory of
entries and agents for idle and busy sites of several sizes. The figures of
docs/CAPACITY.md come from it.
"""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
import os
from pathlib import Path
import tempfile
import time
from typing import Any

import click
import httpx
import msgspec

from standins.site import Site
from standins.site import SiteDescription

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
"""Unit of the processor times in /proc."""

CALLER_COUNT = 32
"""Callers that submit at the same time."""

REQUEST_TIMEOUT_S = 90
"""Timeout of a caller's request; longer than the deadline of the jobs."""


class ResourceUsage(msgspec.Struct):
    """Resources that a process has used since its start."""

    cpu_s: float
    """Processor time in seconds."""
    memory_mb: float
    """Resident memory in megabytes."""


def read_usage(pid: int) -> ResourceUsage:
    """Return the resource usage of a process, read from /proc."""
    stat = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu_s = (int(stat[11]) + int(stat[12])) / CLOCK_TICKS_PER_S
    status = Path(f"/proc/{pid}/status").read_text()
    resident = status.split("VmRSS:")[1].split()[0]
    return ResourceUsage(cpu_s, int(resident) / 1024)


class LoadGenerator:
    """Submits jobs to a site from parallel callers and counts done tasks.

    :param state: the site.
    :param tasks: number of tasks of a job.
    :param ms: run time of each task in milliseconds.
    """

    def __init__(self, state: SiteDescription, tasks: int, ms: int) -> None:
        self._state = state
        self._tasks_per_job = tasks
        self._task_ms = ms
        self._client = httpx.Client(
            timeout=REQUEST_TIMEOUT_S,
            limits=httpx.Limits(max_connections=CALLER_COUNT),
        )
        self.done_tasks = 0
        """Number of tasks of the jobs that were done."""
        self.response_times_s: list[float] = []
        """Response time of each job that was done."""

    def run(self, duration_s: float) -> None:
        """Submit jobs from all callers for a duration in seconds."""
        until = time.monotonic() + duration_s
        with ThreadPoolExecutor(CALLER_COUNT) as pool:
            for number in range(CALLER_COUNT):
                pool.submit(self._submit_until, number, until)

    def _submit_until(self, number: int, until: float) -> None:
        entries = self._state.entries
        url = entries[number % len(entries)].url
        key = self._state.customers["fjaervik"]
        headers = {"authorization": f"Bearer {key}"}
        ids: list[str] = []
        payload: Any = {"ms": self._task_ms}
        body = {
            "kind": "sleep",
            "deadline_ms": 60_000,
            "tasks": [{"payload": payload}] * self._tasks_per_job,
        }
        while time.monotonic() < until:
            if not ids:
                reply = self._client.post(
                    f"{url}/v1/submission-ids?count=100", headers=headers
                )
                ids = reply.json()["ids"]
            began_at = time.monotonic()
            answer = self._client.post(
                f"{url}/v1/jobs",
                headers={**headers, "idempotency-key": ids.pop()},
                json=body,
            ).json()
            if answer.get("outcome") == "done":
                self.done_tasks += self._tasks_per_job
                self.response_times_s.append(time.monotonic() - began_at)


def measure(
    name: str,
    entries: int,
    targets: int,
    tasks: int,
    ms: int,
    duration_s: float,
) -> None:
    """Print throughput, response time and resource usage under one load.

    :param name: heading of the printed figures.
    :param entries: number of entries.
    :param targets: number of targets, each with one agent.
    :param tasks: number of tasks of a job; 0 for an idle site.
    :param ms: run time of each task in milliseconds.
    :param duration_s: duration of the load.
    """
    with tempfile.TemporaryDirectory(prefix="fulmarscale-") as folder:
        site = Site(entries, targets, 2, Path(folder))
        try:
            site.start()
            pids = {
                "entry": [entry.pid for entry in site.state.entries],
                "agent": [agent.pid for agent in site.state.agents],
            }
            before = {
                p: read_usage(p) for group in pids.values() for p in group
            }
            load = LoadGenerator(site.state, tasks, ms)
            began_at = time.monotonic()
            if tasks:
                load.run(duration_s)
            else:
                time.sleep(duration_s)
            spent_s = time.monotonic() - began_at
            after = {
                p: read_usage(p) for group in pids.values() for p in group
            }
        finally:
            site.close()
    response_times_s = sorted(load.response_times_s)
    median_ms = (
        response_times_s[len(response_times_s) // 2] * 1000
        if response_times_s
        else 0.0
    )
    click.echo(
        f"{name}: {load.done_tasks / spent_s:.0f} tasks/s, median response"
        f" {median_ms:.1f} ms"
    )
    for role, group in pids.items():
        cpu_s = sum(after[p].cpu_s - before[p].cpu_s for p in group)
        memory = max(after[p].memory_mb for p in group)
        us_per_task = cpu_s / load.done_tasks * 1e6 if load.done_tasks else 0.0
        click.echo(
            f"  {role}: {100 * cpu_s / spent_s / len(group):.2f}% of a core"
            f" each, {us_per_task:.0f} us a task, {memory:.1f} MB"
        )


@click.command()
@click.option("--seconds", default=8.0, show_default=True)
def main(seconds: float) -> None:
    """Measure idle and busy sites of several sizes."""
    measure("idle, 2 entries, 2 agents", 2, 2, 0, 0, seconds)
    measure("idle, 2 entries, 12 agents", 2, 12, 0, 0, seconds)
    measure("idle, 6 entries, 4 agents", 6, 4, 0, 0, seconds)
    measure("jobs of 1 task of 10 ms", 1, 4, 1, 10, seconds)
    measure("jobs of 20 tasks of 10 ms", 1, 4, 20, 10, seconds)
    measure("jobs of 200 tasks of 10 ms", 1, 4, 200, 10, seconds)


if __name__ == "__main__":
    main()
