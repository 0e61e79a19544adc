"""A cancelled job runs: no durable job was known where it was cancelled."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

from review.harness3.site import Record
from review.harness3.site import run_case
from review.harness3.site import Site

JOB = "5c0e7a21d94b36f8"
WORK_MS = 3600
STEPS = 3
DEADLINE_S = 1.5
AWAY_S = 6.0
CANCEL_S = 3.0
CONTACT_S = 3.0
WATCH_S = 16.0


async def case(record: Record, has_trouble: bool) -> bool:
    """Cancel a job whose entry was turned away by the store."""
    site = Site(record, entries=4, agents=8, gated=("entry-0",))
    try:
        await site.start()
        loop = asyncio.get_running_loop()
        gate = site.gates["entry-0"]
        steps = [
            {
                "count": 2,
                "cpu": 1600,
                "memMb": 64,
                "estimatedMs": WORK_MS,
                "after": [number - 1] if number else [],
            }
            for number in range(STEPS)
        ]
        away_until = loop.time()
        if has_trouble:
            record.write("the store turns entry-0 away")
            gate.turn_away()
            away_until += AWAY_S
            loop.call_at(away_until, gate.admit)
            await asyncio.sleep(0.5)
        body = {"spec": str(WORK_MS), "steps": steps}
        await site.call("entry-0", "POST", JOB, body, DEADLINE_S)
        status, _ = await site.call("entry-1", "DELETE", JOB)
        if status not in (200, 410):
            return True
        ends_at = loop.time() + CANCEL_S
        if has_trouble:
            ends_at = max(ends_at, away_until + CONTACT_S)
        await asyncio.sleep(max(0.0, away_until - loop.time()))
        record.write("entry-0 reaches the store")
        await asyncio.sleep(WATCH_S)
        for number in range(4):
            await site.call(f"entry-{number}", "GET", JOB)
        late = [
            run
            for runner in site.runners
            for run in runner.runs
            if run.began_at > ends_at
        ]
        site.write_runs()
        record.write(
            f"starts over {CANCEL_S} s after the job's cancelling, and over "
            f"{CONTACT_S} s after the disruption: {len(late)}"
        )
        return not late
    finally:
        await site.close()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
