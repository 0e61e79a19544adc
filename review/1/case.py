"""The jobs of an entry that is lost for good stay with nobody.

An entry accepts jobs and its machine is removed for good. A new machine comes
at another address. Another entry removes the lost one's lease row, and the
answer to that one write is lost. The accepted jobs must go on.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
import time
from typing import Any
from typing import TYPE_CHECKING

from stubs.site import BROKEN
from stubs.site import HELD
from stubs.site import NOT_RUN
from stubs.site import run_case
from stubs.store import Fault

if TYPE_CHECKING:
    from stubs.site import Site

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption is played."""

RUNNERS = 4
STALL_S = 25.0
"""The takeover begins 8 s after the loss; then 14 s (`finish_s`) and 3 s."""

STEPS = 12
JOBS = [f"00000000000000b{number}" for number in range(3)]
JOB = {
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


class LostAnswer:
    """Loses the answer to the removal of an entry's lease row, once."""

    def __init__(self, site: Site, entry: str) -> None:
        self._site = site
        self._entry = entry
        self._is_used = False
        self.writes: list[float] = []
        """When transactions arrived."""
        self.lost_at = float("inf")

    def __call__(self, body: dict[str, Any]) -> Fault | None:
        """Decide on a transaction."""
        self.writes.append(time.monotonic())
        removed = [(row["table"], row["key"]) for row in body["remove"]]
        if self._is_used or removed != [("entries", self._entry)]:
            return None
        self._is_used = True
        self.lost_at = time.monotonic()
        self._site.note(f"the store removes {removed} and its answer is lost")
        return Fault()


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
    for job in JOBS:
        if (await site.ask("front-1", "POST", job, JOB))[0] != 200:
            return NOT_RUN
    await asyncio.sleep(2.0)
    fault = LostAnswer(site, "front-1")
    if HAS_TROUBLE:
        site.store.fault = fault
        site.kill("front-1")
        await asyncio.sleep(2.0)
        site.start_entry("front-3", "vest-c")
    quiet_since = time.monotonic()
    while time.monotonic() - quiet_since < STALL_S:
        if all(site.done(job) == STEPS for job in JOBS):
            site.note("held: all accepted jobs are done")
            return HELD
        if any(site.running(job) for job in JOBS):
            quiet_since = time.monotonic()
        await asyncio.sleep(0.1)
    near = [at for at in fault.writes if abs(at - fault.lost_at) < 4.5 / 2]
    site.note(f"1 of {len(near)} writes within 4.5 s had its answer lost")
    for job in JOBS:
        for entry in ("front-2", "front-3"):
            await site.ask(entry, "GET", job)
    done = [site.done(job) for job in JOBS]
    site.note(
        f"broken: nothing of the accepted jobs has run for {STALL_S} s; "
        f"{done} of {STEPS} steps are done, {RUNNERS} runners are idle"
    )
    return BROKEN


run_case(Path(__file__).parent, scenario)
