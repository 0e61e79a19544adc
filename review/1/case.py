"""Jobs that can never be done cut their entry off from all agents.

An entry has accepted jobs that are at work. Among others it then accepts three
jobs that no runner can hold. From then on it can't encode a message to any
agent, as the sum of what waits exceeds 64 bits: the jobs at work are stopped
and never go on.
"""

from __future__ import annotations

import asyncio
from pathlib import Path
import time
from typing import TYPE_CHECKING

from stubs.site import BROKEN
from stubs.site import HELD
from stubs.site import NOT_RUN
from stubs.site import run_case

if TYPE_CHECKING:
    from stubs.site import Site

RUNNERS = 4
STALL_S = 25.0
"""Over 8 s for a takeover, 14 s (`finish_s`) and 3 s."""

STEPS = 12
JOBS = [f"00000000000000a{number}" for number in range(3)]
POISON = [f"00000000000000f{number}" for number in range(3)]
TASKS = 700
"""The users' letter speaks of jobs of up to 770 tasks."""

MESSAGES = 60
"""Messages in 3 s; 3 of them are a share of 0.05."""

SPREAD_S = 3.0


def step(count: int, cpu: int, work_ms: float) -> dict[str, object]:
    """Return a step."""
    return {
        "count": count,
        "cpu": cpu,
        "memMb": 64,
        "estimatedMs": work_ms,
    }


JOB = {
    "spec": "700",
    "steps": [
        {**step(1, 1600, 700), **({"after": [number - 1]} if number else {})}
        for number in range(STEPS)
    ],
}
USUAL = {"spec": "100", "bestEffort": True, "steps": [step(2, 1600, 100)]}
NEVER = {"spec": "700", "steps": [step(TASKS, 2**53 - 1, 1e18)]}


async def scenario(site: Site) -> int:
    """Play the case."""
    for number in range(RUNNERS):
        site.start_agent(f"agent-{number}")
    for number in range(RUNNERS):
        site.start_runner(f"runner-{number}", f"agent-{number}", f"i-{number}")
    site.start_entry("front-1")
    site.start_entry("front-2", "vest-b")
    for entry in ("front-1", "front-2"):
        if not await site.until(lambda name=entry: site.ready(name), 10):
            return NOT_RUN
    await asyncio.sleep(2.0)
    for job in JOBS:
        if (await site.ask("front-1", "POST", job, JOB))[0] != 200:
            return NOT_RUN
    await asyncio.sleep(2.0)
    await send_messages(site)
    quiet_since = time.monotonic()
    while time.monotonic() - quiet_since < STALL_S:
        if all(site.done(job) == STEPS for job in JOBS):
            site.note("held: all accepted jobs are done")
            return HELD
        if any(site.running(job) for job in JOBS):
            quiet_since = time.monotonic()
        await asyncio.sleep(0.1)
    for entry in ("front-1", "front-2"):
        site.note(f"{entry} is ready: {await site.ready(entry)}")
        for job in JOBS:
            await site.ask(entry, "GET", job)
    done = [site.done(job) for job in JOBS]
    site.note(
        f"broken: nothing of the accepted jobs has run for {STALL_S} s; "
        f"{done} of {STEPS} steps are done, {RUNNERS} runners are idle"
    )
    return BROKEN


async def send_messages(site: Site) -> None:
    """Hand in usual jobs, and a share of jobs that can never be done."""
    sends = []
    poison = list(POISON)
    for number in range(MESSAGES):
        job, content = f"{number + 1:016x}", USUAL
        if site.has_trouble and number % 20 == 19:
            job, content = poison.pop(0), NEVER
        send = site.ask("front-1", "POST", job, content)
        sends.append(asyncio.create_task(send))
        await asyncio.sleep(SPREAD_S / MESSAGES)
    await asyncio.gather(*sends)


run_case(Path(__file__).parent, scenario)
