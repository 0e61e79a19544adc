"""Chooses what the targets of a job are compared by, its data included."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.placement_wait import NearDataChoice
from fulmarscale.entry.jobs.placement_wait import NeverWait
from fulmarscale.entry.jobs.placement_wait import RackDemand

if TYPE_CHECKING:
    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.entry.jobs.estimates import RunTimes
    from fulmarscale.entry.jobs.fleet import Fleet
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.open_jobs import OpenJobs
    from fulmarscale.entry.jobs.target_choice import TargetChoice


class Locality:
    """Leaves out targets far from a job's data while a wait pays.

    :param fleet: the entry's agents.
    :param open_jobs: the entry's open jobs.
    :param run_times: the measured run times of tasks.
    """

    def __init__(
        self, fleet: Fleet, open_jobs: OpenJobs, run_times: RunTimes
    ) -> None:
        self._fleet = fleet
        self._open = open_jobs
        self._run_times = run_times
        self._demands: dict[str, list[RackDemand]] = {}
        """What waits for each rack, by its label."""
        self._updated_at = float("-inf")
        """When that was determined."""

    def choice(
        self, job: Job, views: list[AgentView], now: float
    ) -> TargetChoice:
        """Return what the targets for a job's tasks are compared by.

        :param job: the job.
        :param views: the agents on which its tasks may be placed.
        :param now: the entry's time.
        """
        choice = self._fleet.choice(job, views, now)
        wait = self._fleet.placement_wait
        if isinstance(wait, NeverWait) or not any(
            step.data_rack for step in job.waiting_steps
        ):
            return choice
        return NearDataChoice(
            choice,
            wait,
            job,
            self._fleet.serving(job.queue.service),
            self._waiting_demands(now),
            self._run_times.mean_s,
            now,
        )

    def _waiting_demands(self, now: float) -> dict[str, list[RackDemand]]:
        """Return what waits for each rack, determined once a pass."""
        if now == self._updated_at:
            return self._demands
        self._updated_at = now
        self._demands = {}
        for job in self._open.waiting.values():
            for task in job.waiting:
                rack = task.step.data_rack
                if rack:
                    demand = RackDemand(
                        job.latest_start_at, task.step.demand.cpu_millicores
                    )
                    self._demands.setdefault(rack, []).append(demand)
        return self._demands
