"""A durable job is shown as failed though none of its runs has failed."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

from review.harness3.site import Record
from review.harness3.site import run_case
from review.harness3.site import Site

JOB = "5c0e7a21d94b36f8"
WORK_MS = 3600
CRASHES = 3
DOWN_S = 2.0


async def case(record: Record, has_trouble: bool) -> bool:
    """Crash the runner of the job's only task three times."""
    site = Site(record, entries=2, agents=8)
    try:
        await site.start()
        step = {"count": 1, "cpu": 1600, "memMb": 64, "estimatedMs": WORK_MS}
        body = {"spec": str(WORK_MS), "steps": [step]}
        status, _ = await site.call("entry-0", "POST", JOB, body)
        if status != 200:
            return True
        for _ in range(CRASHES if has_trouble else 0):
            runner = await site.wait(
                lambda: _busy_runner(site), 15, "run of the task"
            )
            await asyncio.sleep(1.0)
            if not _busy_runner(site):
                continue
            record.write(f"runner {runner.runner_id} crashes")
            await runner.stop()
            await asyncio.sleep(DOWN_S)
            await runner.start()
            record.write(f"runner {runner.runner_id} is back")
        state = ""
        for _ in range(25):
            await asyncio.sleep(1.0)
            status, content = await site.call("entry-0", "GET", JOB)
            state = content["state"] if status == 200 else ""
            if state in ("completed", "failed"):
                break
        site.write_runs()
        failed = [
            run
            for runner in site.runners
            for run in runner.runs
            if run.outcome == "failed"
        ]
        record.write(f"state: {state}, runs that failed: {len(failed)}")
        return state != "failed"
    finally:
        await site.close()


def _busy_runner(site: Site):
    for runner in site.runners:
        if runner.is_up and any(not run.outcome for run in runner.runs):
            return runner
    return None


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
