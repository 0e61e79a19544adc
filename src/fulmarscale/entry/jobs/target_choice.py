"""Which of the targets with free capacity a task is placed on."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from enum import IntEnum
from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.job import Task
    from fulmarscale.entry.jobs.target_speeds import TargetSpeeds

START_AND_REPORT_S: Final = 0.01
"""Time that the start of a run and the report of its end take."""

ESTIMATE_ERROR: Final = 1.5
"""Factor by which estimated run times are often wrong.

Declared run times are rough, and so is their correction.
"""

SPEED_ERROR: Final = 1.05
"""Factor by which learned speeds are often wrong."""

TASK_SPREAD: Final = 1.15
"""Factor by which a task often takes longer than the others of its step.

Learned speeds are off by less than that.
"""


def free_share(view: AgentView) -> float:
    """Return the free share of a target's processor time."""
    capacity = max(view.capacity.cpu_millicores, 1)
    return view.available.cpu_millicores / capacity


class TargetChoice(ABC):
    """Compares the targets that can run a task of one job."""

    @abstractmethod
    def is_acceptable(self, task: Task, view: AgentView) -> bool:
        """Return whether a task may be placed on a target.

        :param task: the task.
        :param view: the agent of a target that can run it.
        """

    @abstractmethod
    def cost(self, task: Task, view: AgentView) -> float:
        """Return a number that is the lowest for the best target."""


class FreeShareChoice(TargetChoice):
    """Prefers the target with the largest free share."""

    def is_acceptable(self, task: Task, view: AgentView) -> bool:
        """Accept every target."""
        return True

    def cost(self, task: Task, view: AgentView) -> float:
        """Return the free share, negated."""
        return -free_share(view)


class Lateness(IntEnum):
    """How sure it is that a run ends in time for its job's objective."""

    IN_TIME = 0
    """It does, also if its estimated run time is as wrong as usual."""
    LIKELY_IN_TIME = 1
    """It does if its estimated run time is right."""
    LATE = 2


class EndInTimeChoice(TargetChoice):
    """Uses a target only for tasks that it ends in time.

    A task for which only faster targets are in time waits for one of them.
    Once none is, it goes to the one that ends it first.

    :param job: the job.
    :param views: the agents on which its tasks may be placed, full or not.
    :param speeds: the speeds of their targets.
    :param now: the entry's time.
    """

    def __init__(
        self,
        job: Job,
        views: Iterable[AgentView],
        speeds: TargetSpeeds,
        now: float,
    ) -> None:
        self._job = job
        self._speeds = speeds
        self._now = now
        self._top_speed = max(
            (speeds.speed_of(view.name) for view in views), default=1.0
        )
        self._after_s: dict[int, float] = {}
        """Estimated times from a step's end to the job's, by its number."""
        self._known: dict[tuple[int, float], Lateness] = {}
        """The lateness of tasks, by the step's number and the speed."""
        declared_s = job.critical_path_s()
        self._estimate_factor = (
            job.critical_s / declared_s if declared_s > 0 else 1.0
        )
        """The ratio of estimated to declared run times of the job."""

    def is_acceptable(self, task: Task, view: AgentView) -> bool:
        """Return whether a target ends a task in time, if any does."""
        if self._least_lateness(task) is Lateness.LATE:
            return True
        speed = self._speeds.speed_of(view.name)
        return self._lateness(task, speed) is not Lateness.LATE

    def cost(self, task: Task, view: AgentView) -> float:
        """Return the lateness less the free share; a late task's run time."""
        speed = self._speeds.speed_of(view.name)
        if self._least_lateness(task) is Lateness.LATE:
            return self._run_s(task) / speed
        return self._lateness(task, speed) - free_share(view)

    def _least_lateness(self, task: Task) -> Lateness:
        """Return the lateness of a task on the fastest target."""
        return self._lateness(task, self._top_speed)

    def _lateness(self, task: Task, speed: float) -> Lateness:
        """Return the lateness of a task on a target of a speed."""
        key = (task.key.step, speed)
        if key not in self._known:
            self._known[key] = self._evaluate(task, speed)
        return self._known[key]

    def _evaluate(self, task: Task, speed: float) -> Lateness:
        """Compute the lateness of a task on a target of a speed."""
        if not self._ends_in_time(task, speed / SPEED_ERROR, 1.0):
            return Lateness.LATE
        if all(
            self._ends_in_time(task, speed / TASK_SPREAD, factor)
            for factor in (1 / ESTIMATE_ERROR, ESTIMATE_ERROR)
        ):
            return Lateness.IN_TIME
        return Lateness.LIKELY_IN_TIME

    def _ends_in_time(self, task: Task, speed: float, factor: float) -> bool:
        """Return whether a task ends in time for its job's objective.

        :param task: the task.
        :param speed: the speed of the target.
        :param factor: the ratio of the job's run times to the estimated ones;
            its objective depends on them, too.
        """
        queue = self._job.queue
        step = task.key.step
        if step not in self._after_s:
            self._after_s[step] = (
                self._job.declared_s_after(step) * self._estimate_factor
            )
        work_s = self._run_s(task) / speed + self._after_s[step]
        ends_at = self._now + START_AND_REPORT_S + factor * work_s
        objective_s = queue.stretch * factor * self._job.critical_s
        return ends_at <= (
            self._job.arrived_at + objective_s + queue.allowance_s
        )

    def _run_s(self, task: Task) -> float:
        """Return the estimated run time of a task at the mean speed."""
        return task.step.declared_s * self._estimate_factor
