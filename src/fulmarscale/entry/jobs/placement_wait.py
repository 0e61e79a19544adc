"""Decides how long a task waits for a target near its data.

On any other rack a task takes `far_factor` times as long, so a short wait for
the rack that holds its data may end it sooner.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.target_choice import TargetChoice

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.job import Task

START_S: Final = 0.01
"""Time from the report of freed room to the start of a task there."""


class RackForecast(NamedTuple):
    """What is known of the rack that holds a task's data."""

    capacity: int
    """Capacity of its usable targets, in thousandths of a core."""
    ahead: int
    """Waiting demand for it, up to and including the job's."""
    mean_run_s: float
    """Time in which all of its capacity is freed once."""

    @property
    def wait_s(self) -> float:
        """The predicted wait until the job's tasks fit, in seconds.

        Infinite without usable targets.
        """
        if self.capacity <= 0:
            return float("inf")
        return START_S + self.ahead * self.mean_run_s / self.capacity


class RackDemand(NamedTuple):
    """A waiting job's demand for targets of one rack."""

    latest_start_at: float
    """The latest start that meets the job's objective."""
    millicores: int
    """What its waiting tasks demand, in thousandths of a core."""


class PlacementWait(ABC):
    """Decides whether a wait for the rack of a task's data pays."""

    @abstractmethod
    def pays(
        self, job: Job, run_s: float, forecast: RackForecast, now: float
    ) -> bool:
        """Return whether a task waits rather than runs on another rack now.

        :param job: its job.
        :param run_s: the expected run time near its data, in seconds.
        :param forecast: the forecast of the rack.
        :param now: the entry's time.
        """


class NeverWait(PlacementWait):
    """Tasks run on any rack that has room."""

    def pays(
        self, job: Job, run_s: float, forecast: RackForecast, now: float
    ) -> bool:
        """Return that no wait pays."""
        return False


class AlwaysWait(PlacementWait):
    """Tasks run only near their data, as long as the rack has targets."""

    def pays(
        self, job: Job, run_s: float, forecast: RackForecast, now: float
    ) -> bool:
        """Return whether the rack has targets."""
        return forecast.capacity > 0


class WaitWhileSooner(PlacementWait):
    """A task waits while it is then predicted to end sooner.

    It never waits beyond the latest start of its job, nor for longer in all
    than a run on another rack would cost: if the forecast is wrong, waiting
    costs at most as much again.

    :param far_factor: the ratio of the run time on other racks to that near
        the data.
    """

    def __init__(self, far_factor: float) -> None:
        self._far_factor = far_factor

    def pays(
        self, job: Job, run_s: float, forecast: RackForecast, now: float
    ) -> bool:
        """Return whether the task ends sooner if it waits."""
        cost_s = (self._far_factor - 1.0) * run_s
        if now + forecast.wait_s > job.latest_start_at:
            return False
        if now - job.arrived_at > cost_s:
            return False
        return forecast.wait_s < cost_s


class NearDataChoice(TargetChoice):
    """Leaves out the targets of other racks while a wait pays.

    :param inner: compares the targets that remain.
    :param wait: decides whether a wait pays.
    :param job: the job.
    :param views: the agents on which its tasks may be placed, full or not.
    :param demands: what waits for each rack, by the rack's label.
    :param mean_run_s: the mean run time of all tasks, in seconds.
    :param now: the entry's time.
    """

    def __init__(
        self,
        inner: TargetChoice,
        wait: PlacementWait,
        job: Job,
        views: Collection[AgentView],
        demands: Mapping[str, list[RackDemand]],
        mean_run_s: float,
        now: float,
    ) -> None:
        self._inner = inner
        self._wait = wait
        self._job = job
        self._views = views
        self._demands = demands
        self._mean_run_s = mean_run_s
        self._now = now
        declared_s = job.critical_path_s()
        self._estimate_factor = (
            job.critical_s / declared_s if declared_s > 0 else 1.0
        )
        """The ratio of estimated to declared run times of the job."""
        self._must_wait: dict[int, bool] = {}
        """Whether the tasks of a step wait, by its number."""

    def is_acceptable(self, task: Task, view: AgentView) -> bool:
        """Return whether a task may be placed on a target."""
        if not self._inner.is_acceptable(task, view):
            return False
        rack = task.step.data_rack
        if not rack or view.has_label(rack):
            return True
        step = task.key.step
        if step not in self._must_wait:
            self._must_wait[step] = self._evaluate(task)
        return not self._must_wait[step]

    def cost(self, task: Task, view: AgentView) -> float:
        """Return a number that is the lowest for the best target."""
        return self._inner.cost(task, view)

    def _evaluate(self, task: Task) -> bool:
        """Return whether the tasks of a task's step wait for their rack."""
        rack = task.step.data_rack
        capacity = sum(
            view.capacity.cpu_millicores
            for view in self._views
            if view.has_label(rack) and not view.slowness.is_slow(self._now)
        )
        ahead = sum(
            demand.millicores
            for demand in self._demands.get(rack, ())
            if demand.latest_start_at <= self._job.latest_start_at
        )
        run_s = task.step.declared_s * self._estimate_factor
        forecast = RackForecast(capacity, ahead, self._mean_run_s or run_s)
        return self._wait.pays(self._job, run_s, forecast, self._now)
