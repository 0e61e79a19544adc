"""Predicts when a job can start, so that what can't be served is refused."""

from __future__ import annotations

from bisect import bisect_right
from itertools import accumulate
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarscale.entry.jobs.estimates import RunTimes
    from fulmarscale.entry.jobs.job import Job

ADMITTED_SHARE: Final = 0.5
"""The longest predicted wait, as a share of the wait that is on time.

More urgent jobs that come later, and the time that starts and reports take,
are not part of the prediction.
"""

LATE_SHARE: Final = 0.4
"""A job that has become late is kept if it ends this far into its use.

The prediction is rough, and a job that is given up later has waited in vain.
"""


class Load(NamedTuple):
    """What serves jobs and what else waits, in thousandths of a core."""

    capacity: int
    """What all usable targets of the service have."""
    free: int
    """What is free of it."""
    others: int
    """What tasks ask for that wait at other entries."""


def waiting_demand(job: Job) -> int:
    """Tell what a job's waiting tasks ask for, in thousandths of a core."""
    return sum(task.step.demand.cpu_millicores for task in job.waiting)


class Forecast:
    """Predicts waits from the jobs that wait at one moment.

    Jobs with an earlier latest start go first. Other entries' jobs are taken
    to be spread like this entry's own.
    """

    def __init__(self, waiting: Iterable[Job], run_times: RunTimes) -> None:
        jobs = sorted(waiting, key=lambda job: job.latest_start_at)
        self._starts = [job.latest_start_at for job in jobs]
        demands = (waiting_demand(job) for job in jobs)
        self._cumulative = list(accumulate(demands))
        self._run_times = run_times

    def wait_s(self, job: Job, load: Load) -> float:
        """Predict how long a job's last task waits for room.

        Room comes free at the rate at which runs end: all of it once in the
        mean time of a run.

        :param job: one of the jobs that wait.
        :param load: what serves the jobs and what else waits.
        :returns: seconds.
        """
        if load.capacity <= 0:
            return float("inf")
        position = bisect_right(self._starts, job.latest_start_at)
        ahead = self._cumulative[position - 1] if position else 0
        total = self._cumulative[-1] if self._cumulative else 0
        share = ahead / total if total > 0 else 1.0
        lacking = ahead + share * load.others - load.free
        mean_s = self._run_times.mean_s or job.longest_chain_s()
        return max(0.0, lacking) * mean_s / load.capacity


def is_servable(job: Job, wait_s: float) -> bool:
    """Tell whether a job that has just come is likely to be on time.

    :param job: a job that has just come.
    :param wait_s: the predicted wait.
    """
    slack_s = job.latest_start_at - job.arrived_at
    return wait_s <= ADMITTED_SHARE * slack_s


def is_hopeless(
    job: Job, wait_s: float, run_times: RunTimes, now: float
) -> bool:
    """Tell whether a job would end too late to be of use.

    :param job: a job of which nothing has been ordered yet.
    :param wait_s: the predicted wait.
    :param run_times: how long tasks really take.
    :param now: the entry's time.
    """
    if now + wait_s <= job.latest_start_at:
        return False
    chain_s = run_times.expect_s(job.queue.name, job.longest_chain_s())
    use_s = job.useless_at - job.arrived_at
    ends_at = now + wait_s + chain_s
    return ends_at > job.arrived_at + LATE_SHARE * use_s
