"""A job never runs: an agent's late write has hidden the agent for good."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

from review.harness3.site import CaseError
from review.harness3.site import Record
from review.harness3.site import run_case
from review.harness3.site import Site

JOB = "5c0e7a21d94b36f8"
AGENTS = 10
AGENT = "agent-9"
RACK = "r1-4"
WORK_MS = 300
LATE_S = 4.0
LOSS_S = 4.5
MAX_LOST_SHARE = 0.35
CALM_S = 18.0
FINISH_S = 14.0
IDLE_S = 3.0
WATCH_S = 30.0


async def case(record: Record, has_trouble: bool) -> bool:
    """Submit a job for the rack of an agent that was started again."""
    site = Site(record, entries=2, agents=AGENTS, gated=(AGENT,))
    try:
        await site.start()
        loop = asyncio.get_running_loop()
        rack = [runner for runner in site.runners if runner.rack == RACK]
        record.write(f"runners in rack {RACK}: {len(rack)}")
        earlier = {
            "count": 1,
            "cpu": 1600,
            "memMb": 64,
            "estimatedMs": WORK_MS,
        }
        body = {"spec": str(WORK_MS), "steps": [earlier]}
        for number, entry in enumerate(("entry-0", "entry-1")):
            await site.call(entry, "POST", f"{number:016x}", body)
        await asyncio.sleep(3.0)
        if has_trouble:
            writes = site.store.transactions
            site.kill(AGENT)
            site.gates[AGENT].lose_next_write(LATE_S)
            site.start_process(AGENT)
            await asyncio.sleep(LOSS_S)
            writes = site.store.transactions - writes
            record.write(f"lost answers: 1 of {writes} writes")
            if writes * MAX_LOST_SHARE < 1:
                raise CaseError("more answers were lost than is allowed")
        await asyncio.sleep(CALM_S)
        step = {
            "count": 2,
            "cpu": 1600,
            "memMb": 64,
            "estimatedMs": WORK_MS,
            "constraints": RACK,
        }
        body = {"spec": str(WORK_MS), "steps": [step]}
        status, _ = await site.call("entry-0", "POST", JOB, body)
        if status != 200:
            return True
        sent_at = seen_at = loop.time()
        state, idle_s = "", 0.0
        while state not in ("completed", "failed") and idle_s < IDLE_S:
            await asyncio.sleep(0.2)
            now = loop.time()
            is_idle = not any(
                not run.outcome
                for runner in site.runners
                for run in runner.runs
            )
            is_due = is_idle and now >= sent_at + FINISH_S
            idle_s = idle_s + now - seen_at if is_due else 0.0
            seen_at = now
            if now >= sent_at + WATCH_S:
                break
            status, content = await site.call("entry-0", "GET", JOB)
            state = content["state"] if status == 200 else ""
        site.write_runs()
        record.write(f"state: {state}, nothing has run for {idle_s:.1f} s")
        return idle_s < IDLE_S
    finally:
        await site.close()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
