"""Slopes for docs/CAPACITY.md, measured on the stand-in site."""

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
from standins.site import SiteState

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
CALLERS = 32
WAIT_S = 90


class Usage(msgspec.Struct):
    """What a process has used."""

    cpu_s: float
    """Processor time in seconds."""
    memory_mb: float
    """Resident memory in megabytes."""


def usage(pid: int) -> Usage:
    """Read what a process has used."""
    stat = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    cpu_s = (int(stat[11]) + int(stat[12])) / CLOCK_TICKS
    status = Path(f"/proc/{pid}/status").read_text()
    resident = status.split("VmRSS:")[1].split()[0]
    return Usage(cpu_s, int(resident) / 1024)


class Load:
    """Submits jobs to a site and counts tasks."""

    def __init__(self, state: SiteState, tasks: int, ms: int) -> None:
        self._state = state
        self._tasks = tasks
        self._ms = ms
        self._client = httpx.Client(
            timeout=WAIT_S, limits=httpx.Limits(max_connections=CALLERS)
        )
        self.done = 0
        self.spent_s: list[float] = []

    def run(self, duration_s: float) -> None:
        """Submit jobs side by side for a while."""
        until = time.monotonic() + duration_s
        with ThreadPoolExecutor(CALLERS) as pool:
            for number in range(CALLERS):
                pool.submit(self._submit_until, number, until)

    def _submit_until(self, number: int, until: float) -> None:
        entries = self._state.entries
        url = entries[number % len(entries)].url
        key = self._state.customers["fjaervik"]
        headers = {"authorization": f"Bearer {key}"}
        ids: list[str] = []
        payload: Any = {"ms": self._ms}
        body = {
            "kind": "sleep",
            "deadline_ms": 60_000,
            "tasks": [{"payload": payload}] * self._tasks,
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
                self.done += self._tasks
                self.spent_s.append(time.monotonic() - began_at)


def measure(
    name: str,
    entries: int,
    targets: int,
    tasks: int,
    ms: int,
    duration_s: float,
) -> None:
    """Print what entries and agents use under one load."""
    with tempfile.TemporaryDirectory(prefix="fulmarscale-") as folder:
        site = Site(entries, targets, 2, Path(folder))
        try:
            site.start()
            pids = {
                "entry": [entry.pid for entry in site.state.entries],
                "agent": [agent.pid for agent in site.state.agents],
            }
            before = {p: usage(p) for group in pids.values() for p in group}
            load = Load(site.state, tasks, ms)
            began_at = time.monotonic()
            if tasks:
                load.run(duration_s)
            else:
                time.sleep(duration_s)
            spent_s = time.monotonic() - began_at
            after = {p: usage(p) for group in pids.values() for p in group}
        finally:
            site.close()
    spent = sorted(load.spent_s)
    middle = spent[len(spent) // 2] * 1000 if spent else 0.0
    click.echo(
        f"{name}: {load.done / spent_s:.0f} tasks/s, median response"
        f" {middle:.1f} ms"
    )
    for role, group in pids.items():
        cpu_s = sum(after[p].cpu_s - before[p].cpu_s for p in group)
        memory = max(after[p].memory_mb for p in group)
        a_task = cpu_s / load.done * 1e6 if load.done else 0.0
        click.echo(
            f"  {role}: {100 * cpu_s / spent_s / len(group):.2f}% of a core"
            f" each, {a_task:.0f} us a task, {memory:.1f} MB"
        )


@click.command()
@click.option("--seconds", default=8.0, show_default=True)
def main(seconds: float) -> None:
    """Measure idle and busy sites of a few sizes."""
    measure("idle, 2 entries, 2 agents", 2, 2, 0, 0, seconds)
    measure("idle, 2 entries, 12 agents", 2, 12, 0, 0, seconds)
    measure("idle, 6 entries, 4 agents", 6, 4, 0, 0, seconds)
    measure("jobs of 1 task of 10 ms", 1, 4, 1, 10, seconds)
    measure("jobs of 20 tasks of 10 ms", 1, 4, 20, 10, seconds)
    measure("jobs of 200 tasks of 10 ms", 1, 4, 200, 10, seconds)


if __name__ == "__main__":
    main()
