"""Decides whether a job may begin: whether its first task may be placed."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.room import fitting_tasks
from fulmarscale.entry.jobs.room import largest_demand

if TYPE_CHECKING:
    from collections.abc import Collection

    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.entry.jobs.estimates import RunTimes
    from fulmarscale.entry.jobs.fleet import Fleet
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.urgency import Urgency

NEAR_SHARE: Final = 1.0
"""Part of the time to its latest start in which a job's room must be free."""


class BeginningRule(ABC):
    """Decides which jobs may begin."""

    @abstractmethod
    def may_begin(
        self, job: Job, views: Collection[AgentView], now: float
    ) -> bool:
        """Return whether tasks of a job may be placed.

        :param job: a job with waiting tasks.
        :param views: the agents on which its tasks may be placed.
        :param now: the entry's time.
        """


class BeginWithRoomForAll(BeginningRule):
    """A job begins when the room for all its waiting tasks is there or near.

    Jobs that have begun with too little room hold what they have and keep
    each other from ending. Applies to services with classes only.

    :param fleet: the entry's agents.
    :param run_times: the measured run times of tasks.
    :param urgency: the classes.
    """

    def __init__(
        self, fleet: Fleet, run_times: RunTimes, urgency: Urgency
    ) -> None:
        self._fleet = fleet
        self._run_times = run_times
        self._urgency = urgency

    def may_begin(
        self, job: Job, views: Collection[AgentView], now: float
    ) -> bool:
        """Return whether tasks of a job may be placed."""
        if job.is_started or not self._urgency.applies_to(job):
            return True
        demand = largest_demand(job)
        missing = len(job.waiting) - fitting_tasks(
            demand, (view.free for view in views)
        )
        if missing <= 0:
            return True
        left_s = job.latest_start_at - now
        if left_s <= 0:
            # A durable job is never rejected, so it must begin at some time.
            return job.is_durable
        if len(job.waiting) > fitting_tasks(
            demand, (view.capacity for view in views)
        ):
            # It can only run in waves.
            return True
        load = self._fleet.load(job, now)
        if load.capacity <= 0:
            return False
        mean_s = self._run_times.mean_s or job.critical_s
        wait_s = missing * demand.cpu_millicores * mean_s / load.capacity
        return wait_s <= NEAR_SHARE * left_s
