"""Decides which jobs are rejected because they would end too late."""

from __future__ import annotations

from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.admission import ends_too_late
from fulmarscale.entry.jobs.admission import Forecast
from fulmarscale.entry.jobs.admission import is_satisfiable
from fulmarscale.entry.jobs.bulkheads import Partition
from fulmarscale.entry.jobs.class_admission import ClassForecast
from fulmarscale.entry.jobs.class_admission import is_admitted
from fulmarscale.entry.jobs.class_admission import may_wait
from fulmarscale.events import Event
from fulmarscale.runs.model import TargetState

if TYPE_CHECKING:
    from collections.abc import Mapping

    from fulmarscale.entry.jobs.estimates import RunTimes
    from fulmarscale.entry.jobs.fleet import Fleet
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.run_monitor import DecisionLog
    from fulmarscale.entry.jobs.urgency import Urgency
    from fulmarscale.runs.model import JobId

LATEST_USEFUL_FACTOR: Final = 3.0
"""Multiple of the objective after which an answer is useless to a caller."""

STARTUP_S: Final = 1.0
"""Time after a start in which not all agents and targets may be known.

After a power loss of all machines, targets answer 0.3 to 0.9 s after the
entries have started.
"""


class PartitionForecast(NamedTuple):
    """The forecasts for the targets of one partition."""

    by_start: Forecast
    """For services whose queues have the same priority."""
    by_class: ClassForecast
    """For services with classes."""


Forecasts = dict[Partition, PartitionForecast]


class AdmissionControl:
    """Predicts whether jobs that haven't started can still be on time.

    :param fleet: the entry's agents.
    :param run_times: the measured run times of tasks.
    :param waiting: the open jobs with waiting tasks, kept up to date.
    :param urgency: the classes of the services that have any.
    :param chosen: the agents that the entry keeps streams to, kept up to date.
    :param log: writes a line for each rejection.
    """

    def __init__(
        self,
        fleet: Fleet,
        run_times: RunTimes,
        waiting: dict[JobId, Job],
        urgency: Urgency,
        chosen: Mapping[str, str],
        log: DecisionLog,
    ) -> None:
        self._fleet = fleet
        self._run_times = run_times
        self._waiting = waiting
        self._urgency = urgency
        self._chosen = chosen
        self._log = log
        self._undecided: dict[JobId, Job] = {}
        """New jobs that may be rejected once all free capacity is known."""
        self._started_at = float("-inf")
        """When the entry started."""

    def start(self, now: float) -> None:
        """Record the entry's start."""
        self._started_at = now

    def set_objective(self, job: Job) -> None:
        """Set the times of a job that follow from its queue's objective."""
        queue = job.queue
        critical_path_s = self._run_times.estimate_s(
            queue.name, job.critical_path_s()
        )
        objective_s = queue.stretch * critical_path_s + queue.allowance_s
        job.objective_at = job.arrived_at + objective_s
        job.latest_start_at = job.objective_at - critical_path_s
        job.useful_until = job.arrived_at + LATEST_USEFUL_FACTOR * objective_s

    def add(self, job: Job) -> None:
        """Add a new job, to be decided once free capacity is known."""
        if not self._fleet.bulkheads.is_confined(job):
            # A confined queue takes no capacity from other classes.
            self._urgency.record_asked(job, job.arrived_at)
        self._undecided[job.job_id] = job

    def discard(self, job_id: JobId) -> None:
        """Forget a job that is closed or removed."""
        self._undecided.pop(job_id, None)

    def forecasts(self, now: float) -> Forecasts:
        """Return forecasts from the jobs that wait now, by partition."""
        return {
            partition: self._forecast(partition, now)
            for partition in Partition
        }

    def _forecast(
        self, partition: Partition, now: float, *extra: Job
    ) -> PartitionForecast:
        """Return forecasts for the targets of one partition.

        :param partition: the partition.
        :param now: the entry's time.
        :param extra: jobs that wait beside those that are open.
        """
        partition_of = self._fleet.bulkheads.partition_of
        waiting = [
            job
            for job in (*self._waiting.values(), *extra)
            if partition_of(job) is partition
        ]
        return PartitionForecast(
            Forecast(waiting, self._run_times),
            ClassForecast(
                waiting,
                self._fleet,
                self._run_times,
                self._urgency,
                now,
                self._known_share() if self._is_starting_up(now) else 1.0,
            ),
        )

    def take_decidable(self, now: float) -> list[Job]:
        """Return and remove the new jobs whose free capacity is known.

        Agents without recent messages are probed first, as their capacity may
        suffice. Jobs that have been started need no decision.
        """
        decidable = []
        for job_id, job in list(self._undecided.items()):
            if job.is_started:
                del self._undecided[job_id]
            elif self._fleet.is_capacity_known(job, now):
                del self._undecided[job_id]
                decidable.append(job)
        return decidable

    def check_new(
        self, job: Job, forecasts: Forecasts, now: float
    ) -> float | None:
        """Return the wait of a new job that is unlikely to be on time.

        :param job: a job that has just arrived.
        :param forecasts: the forecasts, one of which predicts its wait.
        :param now: the entry's time.
        :returns: seconds; none if the job is admitted.
        """
        if self._urgency.applies_to(job):
            return self._check_class(job, forecasts, now, is_new=True)
        if self._fleet.has_capacity(job, now):
            return None
        wait_s = self._predict_wait_s(job, forecasts, now)
        if is_satisfiable(job, wait_s):
            return None
        self._log_hopeless(job, wait_s, now)
        return wait_s

    def check_waiting(
        self, job: Job, forecasts: Forecasts, now: float
    ) -> float | None:
        """Return the wait of a waiting job that would end too late.

        It can't start in time for its objective and is predicted to end after
        LATE_SHARE of its useful time.

        :param job: a job without any started task.
        :param forecasts: the forecasts, one of which predicts its wait.
        :param now: the entry's time.
        :returns: seconds; none if the job may stay.
        """
        if job.job_id in self._undecided:
            return None
        if self._urgency.applies_to(job):
            return self._check_class(job, forecasts, now, is_new=False)
        if self._fleet.has_capacity(job, now):
            return None
        wait_s = self._predict_wait_s(job, forecasts, now)
        if not ends_too_late(job, wait_s, self._run_times, now):
            return None
        self._log_hopeless(job, wait_s, now)
        return wait_s

    def _check_class(
        self, job: Job, forecasts: Forecasts, now: float, *, is_new: bool
    ) -> float | None:
        """Return the wait of a job that more urgent demand makes late.

        :param job: a job without any started task.
        :param forecasts: the forecasts, one of which predicts its wait.
        :param now: the entry's time.
        :param is_new: whether it has just arrived.
        :returns: seconds; none if the job may stay.
        """
        partition = self._fleet.bulkheads.partition_of(job)
        forecast = forecasts[partition].by_class
        if not forecast.is_room_known:
            return None
        if is_new:
            may_stay, wait_s = is_admitted(job, forecast)
        else:
            may_stay, wait_s = may_wait(job, forecast, now)
        if may_stay:
            return None
        self._log_hopeless(job, wait_s, now)
        return wait_s

    def too_late_wait_s(self, job: Job, now: float) -> float | None:
        """Return the wait of a job that would end too late to be useful.

        :param job: a job that isn't accepted yet.
        :param now: the entry's time.
        :returns: seconds; none if the job would end in time.
        """
        if self._fleet.has_capacity(job, now) or self._is_starting_up(now):
            return None
        partition = self._fleet.bulkheads.partition_of(job)
        forecast = self._forecast(partition, now, job)
        wait_s = forecast.by_start.wait_s(job, self._fleet.load(job, now))
        ends_at = now + wait_s + job.critical_s
        return None if ends_at <= job.useful_until else wait_s

    def _known_share(self) -> float:
        """Return the share of the chosen agents whose targets are known."""
        known = sum(
            view.target is not None and view.target.state is TargetState.READY
            for view in self._fleet.connected
        )
        return known / max(known, len(self._chosen), 1)

    def _is_starting_up(self, now: float) -> bool:
        """Return whether agents may still be missing after the start."""
        return now - self._started_at < STARTUP_S

    def _predict_wait_s(
        self, job: Job, forecasts: Forecasts, now: float
    ) -> float:
        """Return a job's predicted wait, in seconds."""
        if self._is_starting_up(now):
            # Not all targets are known yet; they are assumed to be available.
            return 0.0
        forecast = forecasts[self._fleet.bulkheads.partition_of(job)]
        return forecast.by_start.wait_s(job, self._fleet.load(job, now))

    def _log_hopeless(self, job: Job, wait_s: float, now: float) -> None:
        load = self._fleet.load(job, now)
        self._log(
            Event.JOB_HOPELESS,
            job=job.job_id,
            queue=job.queue.name,
            priority=job.queue.priority,
            wait_s=round(wait_s, 3),
            granted=round(self._urgency.granted_share(job), 3),
            capacity=load.capacity,
            free=load.free,
            others=load.others,
            waiting=len(self._waiting),
        )
