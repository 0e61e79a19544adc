"""A job is shown as failed after one failed run: its end counts twice."""

from __future__ import annotations

import asyncio
from pathlib import Path
import sys

from review.harness3.site import Record
from review.harness3.site import run_case
from review.harness3.site import Site

JOB = "5c0e7a21d94b36f8"
WORK_MS = 1500
MAX_ATTEMPTS = 2
WATCH_S = 40.0


async def case(record: Record, has_trouble: bool) -> bool:
    """Kill the job's entry as it has stored that a run has failed."""
    site = Site(
        record,
        entries=4,
        agents=8,
        max_attempts=MAX_ATTEMPTS,
        gated=("entry-0",),
    )
    try:
        await site.start()
        step = {"count": 1, "cpu": 1600, "memMb": 64, "estimatedMs": WORK_MS}
        body = {"spec": str(WORK_MS), "steps": [step]}
        status, _ = await site.call("entry-0", "POST", JOB, body)
        if status != 200:
            return True
        runner = await site.wait(
            lambda: next((each for each in site.runners if each.runs), None),
            15,
            "run of the task",
        )
        await asyncio.sleep(0.5)
        if has_trouble:
            site.gates["entry-0"].after_next_job_write(
                lambda: site.kill("entry-0")
            )
        runner.fail_runs()
        record.write(f"the run on {runner.runner_id} ends failed")
        if has_trouble:
            await site.wait(
                lambda: site.processes["entry-0"].poll() is not None,
                10,
                "write of the failed end",
            )
            site.start_process("entry-0")
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + WATCH_S
        state = ""
        while state not in ("completed", "failed") and loop.time() < ends_at:
            await asyncio.sleep(0.5)
            status, content = await site.call("entry-1", "GET", JOB)
            state = content["state"] if status == 200 else ""
        site.write_runs()
        failed = [
            run
            for each in site.runners
            for run in each.runs
            if run.outcome == "failed"
        ]
        record.write(
            f"state: {state}, runs that failed: {len(failed)} of "
            f"{MAX_ATTEMPTS} (maxAttempts)"
        )
        return state != "failed" or len(failed) >= MAX_ATTEMPTS
    finally:
        await site.close()


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
