"""Places waiting tasks on agents and requests their starts."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.job import TaskPhase
from fulmarscale.runs.messages import StartRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.entry.jobs.fleet import Fleet
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.job import Task
    from fulmarscale.entry.jobs.open_jobs import OpenJobs
    from fulmarscale.entry.jobs.waiting_order import WaitingOrder
    from fulmarscale.runs.model import ServiceName

MAX_UNPLACED_JOBS: Final = 3
"""Number of jobs not placed in full after which a placement pass ends.

Capacity that doesn't suffice for the most urgent jobs may still suffice for
a smaller one.
"""


class Placer:
    """Places the tasks of one entry.

    :param fleet: the entry's agents.
    :param order: the order in which jobs get free capacity.
    :param open_jobs: the entry's open jobs.
    """

    def __init__(
        self, fleet: Fleet, order: WaitingOrder, open_jobs: OpenJobs
    ) -> None:
        self._fleet = fleet
        self._order = order
        self._open = open_jobs
        self._last_start_number = 0
        """The number of the last start request."""

    def place(self, waiting: Iterable[Job], now: float) -> None:
        """Place waiting tasks on agents, in the order of their jobs.

        :param waiting: jobs with tasks that wait for capacity.
        :param now: the entry's time.
        """
        unplaced = 0
        usable: dict[ServiceName, list[AgentView]] = {}
        for job in self._order.sort(waiting, now):
            if now < job.earliest_start_at:
                continue
            service = job.queue.service
            if service not in usable:
                usable[service] = self._fleet.usable(job, now)
            views = usable[service]
            if not views:
                continue
            if not self._place_job(job, views, now):
                unplaced += 1
            if unplaced >= MAX_UNPLACED_JOBS:
                return

    def _place_job(self, job: Job, views: list[AgentView], now: float) -> bool:
        """Request starts of as many of a job's waiting tasks as possible.

        :param job: the job.
        :param views: the agents on which its tasks may be placed.
        :param now: the entry's time.
        :returns: whether all waiting tasks were placed.
        """
        is_complete = True
        placement = self._fleet.placement(job, views, now)
        for task in job.waiting:
            if self._fleet.has_unexpired_run(task.key):
                # An earlier run of the task may not have ended yet.
                is_complete = False
                continue
            view = placement.choose(task)
            if view is None:
                is_complete = False
                continue
            self._request_start(job, task, view, now)
        return is_complete

    def _request_start(
        self, job: Job, task: Task, view: AgentView, now: float
    ) -> None:
        """Assign a task to an agent and queue its start request."""
        self._open.set_phase(job, task, TaskPhase.ASSIGNED)
        task.agent = view.name
        task.assigned_at = now
        task.percent = 0
        task.progress_at = now
        task.stop_sent = False
        task.is_slowness_recorded = False
        self._last_start_number += 1
        view.add_start(
            StartRequest(
                task=task.key,
                service=job.queue.service,
                demand=task.step.demand,
                payload=job.spec.payload,
                request_number=self._last_start_number,
                required_label=task.step.required_label,
                owner_epoch=job.owner_epoch,
                queue=job.queue.name,
            )
        )
