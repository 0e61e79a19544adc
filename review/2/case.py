"""Agents that start again after their runners did are fenced off.

Six runners have been up for some minutes when their agents start. Then each
runner crashes once, one at a time, and starts again under its id: its clock
begins anew. Jobs still run. Then the agents are stopped and started in turn,
while an accepted job is at work. It must go on: all runners are up and idle.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
import time
from typing import TYPE_CHECKING

from stubs.site import BROKEN
from stubs.site import HELD
from stubs.site import NOT_RUN
from stubs.site import run_case

if TYPE_CHECKING:
    from stubs.site import Site

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption is played."""

RUNNERS = 6
UPTIME_MS = 482_113
"""The clock in the page's example of a heartbeat."""
STALL_S = 17.0
"""A job with nothing running for 3 s, `finish_s` (14) after the traffic."""

SHORT_JOB = {
    "spec": "300",
    "steps": [{"count": 4, "cpu": 1600, "memMb": 64, "estimatedMs": 300}],
}
STEPS = 24
LONG_JOB = {
    "spec": "700",
    "steps": [
        {
            "count": 1,
            "cpu": 1600,
            "memMb": 64,
            "estimatedMs": 700,
            **({"after": [number - 1]} if number else {}),
        }
        for number in range(STEPS)
    ],
}


async def scenario(site: Site) -> int:
    """Play the case."""
    machines = [f"runner-{number}" for number in range(RUNNERS)]
    agents = [f"agent-{number}" for number in range(RUNNERS)]
    for agent in agents:
        site.start_agent(agent)
    for machine, agent in zip(machines, agents, strict=True):
        site.start_runner(machine, agent, f"i-{machine}", clock_ms=UPTIME_MS)
    site.start_entry("front-1")
    if not await site.until(lambda: site.ready("front-1"), 10):
        return NOT_RUN
    if not await run_job(site, "00000000000000a1"):
        return NOT_RUN
    if HAS_TROUBLE:
        for machine, agent in zip(machines, agents, strict=True):
            site.kill(machine)
            await asyncio.sleep(1.0)
            site.start_runner(machine, agent, f"i-{machine}")
            await asyncio.sleep(1.0)
    if not await run_job(site, "00000000000000a2"):
        site.note("the job before the agents' restart did not end")
        return NOT_RUN
    job = "00000000000000a3"
    if (await site.ask("front-1", "POST", job, LONG_JOB))[0] != 200:
        return NOT_RUN
    for agent in agents:
        await site.terminate(agent)
        site.start_agent(agent)
        await asyncio.sleep(1.0)
    quiet_since = time.monotonic()
    while time.monotonic() - quiet_since < STALL_S:
        if site.done(job) == STEPS:
            site.note(f"held: all {STEPS} steps of the job are done")
            return HELD
        if site.running(job):
            quiet_since = time.monotonic()
        await asyncio.sleep(0.1)
    await site.ask("front-1", "GET", job)
    up = sum(site.is_up(machine) for machine in machines)
    site.note(
        f"broken: nothing of the accepted job has run for {STALL_S} s, with "
        f"{site.done(job)} of {STEPS} steps done and {up} runners up and idle"
    )
    return BROKEN


async def run_job(site: Site, job: str) -> bool:
    """Hand a short job in and wait for its end; returns whether it ended."""
    status, _ = await site.ask("front-1", "POST", job, SHORT_JOB)
    is_done = await site.until(lambda: site.done(job) == 4, 8)
    site.note(f"{job}: {site.done(job)} of 4 tasks done")
    return status == 200 and is_done


run_case(Path(__file__).parent, scenario)
