"""A bound: one scheduler without message delays that knows all run times.

Places tasks in order of the latest start that still meets the objective; jobs
that can't meet it any more come last. No faults.
"""

from __future__ import annotations

from heapq import heappop
from heapq import heappush
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from features.support.dispatch_workload import JobDraw
    from features.support.dispatch_workload import Workload


def omniscient_completions(
    workload: Workload, jobs: list[JobDraw]
) -> dict[str, float]:
    """Return when each job completes, in seconds from the first job."""
    free = [1000 * cores for cores in workload.cores]
    to_start = {job.name: sorted(job.runs_s) for job in jobs}
    running = {job.name: len(job.runs_s) for job in jobs}
    latest_start = {
        job.name: job.arrives_s + job.objective_s(workload) - job.longest_run_s
        for job in jobs
    }
    waiting: list[JobDraw] = []
    ends: list[tuple[float, int, int, JobDraw]] = []
    completed: dict[str, float] = {}
    arrivals = iter([*jobs, None])
    upcoming = next(arrivals)
    started = 0
    while upcoming is not None or ends:
        if ends and (upcoming is None or ends[0][0] <= upcoming.arrives_s):
            now, _, target, job = heappop(ends)
            free[target] += job.millicores
            running[job.name] -= 1
            if running[job.name] == 0:
                completed[job.name] = now
        else:
            assert upcoming is not None
            now = upcoming.arrives_s
            waiting.append(upcoming)
            upcoming = next(arrivals)
        waiting.sort(
            key=lambda job: (
                now > latest_start[job.name]
                and len(to_start[job.name]) == len(job.runs_s),
                latest_start[job.name],
                job.name,
            )
        )
        for job in list(waiting):
            runs = to_start[job.name]
            while runs:
                target = max(range(len(free)), key=free.__getitem__)
                if free[target] < job.millicores:
                    break
                free[target] -= job.millicores
                # The number breaks ties, as jobs have no order.
                started += 1
                heappush(ends, (now + runs.pop(), started, target, job))
            if not runs:
                waiting.remove(job)
    return completed
