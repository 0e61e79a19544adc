"""Predicts how long jobs wait, to reject those that would end too late."""

from __future__ import annotations

from bisect import bisect_right
from itertools import accumulate
from types import MappingProxyType
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from fulmarscale.entry.jobs.estimates import RunTimes
    from fulmarscale.entry.jobs.job import Job

ADMITTED_SHARE: Final = 0.5
"""The longest predicted wait of a new job, as a share of its slack.

The prediction leaves out more urgent jobs that arrive later and the time
that starts and reports take.
"""

LATE_SHARE: Final = 0.4
"""Share of its useful time within which a late job must be predicted to end.

The prediction is rough, and a job that is rejected later has waited for
nothing.
"""


class Load(NamedTuple):
    """A service's capacity and other demand, in thousandths of a core."""

    capacity: int
    """Total capacity of all usable targets of the service."""
    free: int
    """The free part of it."""
    others: int
    """Demand of tasks that wait at other entries, over all services."""
    others_by_priority: Mapping[int, int] = MappingProxyType({})
    """The same by the priority of their queues; empty if not known."""


def waiting_demand(job: Job) -> int:
    """Return the demand of a job's waiting tasks, in thousandths of a core."""
    return sum(task.step.demand.cpu_millicores for task in job.waiting)


class Forecast:
    """Predicts waiting times from the jobs that wait at one moment.

    The jobs are those that wait for the same targets. Jobs with an earlier
    latest start are placed first. The backlog of other entries is assumed to
    be distributed over latest starts like this entry's.
    """

    def __init__(self, waiting: Iterable[Job], run_times: RunTimes) -> None:
        jobs = sorted(waiting, key=lambda job: job.latest_start_at)
        self._latest_starts = [job.latest_start_at for job in jobs]
        """Latest starts of the waiting jobs, the earliest first."""
        demands = (waiting_demand(job) for job in jobs)
        self._cumulative = list(accumulate(demands))
        """Demand up to and including each of these jobs."""
        self._run_times = run_times

    def wait_s(self, job: Job, load: Load) -> float:
        """Predict how long a job's last task waits for free capacity.

        Capacity is freed at the rate at which runs end: all of it once per
        mean run time.

        :param job: one of the waiting jobs.
        :param load: its service's capacity and the other entries' backlog.
        :returns: seconds; infinite if no target is usable.
        """
        if load.capacity <= 0:
            return float("inf")
        position = bisect_right(self._latest_starts, job.latest_start_at)
        ahead = self._cumulative[position - 1] if position else 0
        total = self._cumulative[-1] if self._cumulative else 0
        share = ahead / total if total > 0 else 1.0
        shortfall = ahead + share * load.others - load.free
        mean_s = self._run_times.mean_s or job.critical_path_s()
        return max(0.0, shortfall) * mean_s / load.capacity


def is_satisfiable(job: Job, wait_s: float) -> bool:
    """Return whether a new job is likely to meet its objective.

    :param job: a job that has just arrived.
    :param wait_s: the predicted wait, in seconds.
    """
    slack_s = job.latest_start_at - job.arrived_at
    return wait_s <= ADMITTED_SHARE * slack_s


def ends_too_late(
    job: Job, wait_s: float, run_times: RunTimes, now: float
) -> bool:
    """Return whether a waiting job would end too late.

    It does if it can't start in time for its objective and is predicted to
    end after LATE_SHARE of its useful time.

    :param job: a job without any started task.
    :param wait_s: the predicted wait, in seconds.
    :param run_times: the measured run times of tasks.
    :param now: the entry's time.
    """
    if now + wait_s <= job.latest_start_at:
        return False
    critical_path_s = run_times.estimate_s(
        job.queue.name, job.critical_path_s()
    )
    useful_s = job.useful_until - job.arrived_at
    ends_at = now + wait_s + critical_path_s
    return ends_at > job.arrived_at + LATE_SHARE * useful_s
