"""Keeps one target free for a late durable job with large tasks.

In a lasting overload, tasks that fill most of a target never find it free:
smaller ones take each part of it that is freed. A durable job is never
rejected, so it must begin at some time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.room import fitting_tasks
from fulmarscale.entry.jobs.target_choice import free_share

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.entry.jobs.fleet import Fleet
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.urgency import Urgency
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import Resources


class ReservedTarget:
    """The target that other jobs of the entry must leave alone.

    Services with priority classes reserve none: there, jobs that may not
    begin hold up others.

    :param fleet: the entry's agents.
    :param urgency: the classes.
    """

    def __init__(self, fleet: Fleet, urgency: Urgency) -> None:
        self._fleet = fleet
        self._urgency = urgency
        self._job_id: JobId | None = None
        self._agent = ""

    @property
    def job_id(self) -> JobId | None:
        """The job for which a target is reserved; none if none is."""
        return self._job_id

    def update(self, ready: list[Job], now: float) -> None:
        """Choose the job and its target, or keep them.

        :param ready: jobs whose tasks may be placed, the first job first.
        :param now: the entry's time.
        """
        capacities = {view.capacity for view in self._fleet.connected}
        late = [
            job
            for job in ready
            if self._is_starved(job, now) and _fills_any(job, capacities)
        ]
        # Keeps the target while it gets free.
        late.sort(key=lambda job: job.job_id != self._job_id)
        former, self._job_id = self._agent, None
        for job in late:
            views = self._able(job, now)
            if views:
                best = max(
                    views,
                    key=lambda view: (view.name == former, free_share(view)),
                )
                self._job_id, self._agent = job.job_id, best.name
                return

    def without_reserved(self, views: list[AgentView]) -> list[AgentView]:
        """Return the agents on which other jobs' tasks may be placed."""
        if self._job_id is None:
            return views
        return [view for view in views if view.name != self._agent]

    def _is_starved(self, job: Job, now: float) -> bool:
        """Return whether a job is late and hasn't begun."""
        return (
            job.is_durable
            and now > job.latest_start_at
            and not job.is_started
            and not self._urgency.applies_to(job)
        )

    def _able(self, job: Job, now: float) -> list[AgentView]:
        """Return the agents whose targets have room for one such task only."""
        labels = {step.required_label for step in job.waiting_steps} - {""}
        return [
            view
            for view in self._fleet.usable(job, now)
            if _fills_any(job, (view.capacity,))
            and all(view.has_label(label) for label in labels)
        ]


def _fills_any(job: Job, capacities: Iterable[Resources]) -> bool:
    """Return whether a target would have room for one of the tasks only.

    :param job: a job with waiting tasks.
    :param capacities: the capacities of targets.
    """
    demands = {step.demand for step in job.waiting_steps}
    return any(
        all(demand.fits(capacity) for demand in demands)
        and any(fitting_tasks(demand, (capacity,)) == 1 for demand in demands)
        for capacity in capacities
    )
