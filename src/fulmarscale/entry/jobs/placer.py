"""Places waiting tasks on agents and requests their starts.

A job that is suspected of a crash of its target is run on trial: on one
target at a time, where nothing else starts meanwhile, and few jobs at a time.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.bulkheads import Partition
from fulmarscale.entry.jobs.free_room import FreeRoom
from fulmarscale.entry.jobs.job import TaskPhase
from fulmarscale.entry.jobs.limited_jobs import LimitedJobs
from fulmarscale.entry.jobs.reserved_target import ReservedTarget
from fulmarscale.entry.jobs.unplaceable_jobs import UnplaceableJobs
from fulmarscale.events import Event
from fulmarscale.runs.messages import StartRequest

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.entry.jobs.beginning import BeginningRule
    from fulmarscale.entry.jobs.crash_history import CrashHistory
    from fulmarscale.entry.jobs.fleet import Fleet
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.job import Task
    from fulmarscale.entry.jobs.locality import Locality
    from fulmarscale.entry.jobs.open_jobs import OpenJobs
    from fulmarscale.entry.jobs.run_monitor import DecisionLog
    from fulmarscale.entry.jobs.urgency import Urgency
    from fulmarscale.entry.jobs.waiting_order import WaitingOrder
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import QueueName
    from fulmarscale.runs.model import ServiceName
    from fulmarscale.runs.model import TaskKey

MAX_HELD_JOBS: Final = 3
"""Jobs that may not begin for want of room, from which no later one begins.

Smaller or less urgent jobs would take the room that the first ones wait for,
each time that a part of it is freed.
"""

PROBATION_S: Final = 0.05
"""Longest time that a confined queue's job has a target for itself at first.

Most tasks that crash their targets do so soon after their start. The time is
shorter for small jobs, so that a full target still completes as many. It grows
with the share of the part that is down: crashes slow down the starts, which
cause them, and take fewer other runs with them.
"""

MIN_UP_SHARE: Final = 0.6
"""Share of the part that counts as up at least, which bounds the pause.

With fewer targets up, a longer one would leave them idle.
"""

MAX_TRIALS: Final = {Partition.OPEN: 1, Partition.CONFINED: 2}
"""Most jobs of an entry that run on trial at once, by partition.

Each trial may cost its target; the confined part is there for that.
"""


class Placer:
    """Places the tasks of one entry.

    :param fleet: the entry's agents.
    :param order: the order in which jobs get free capacity.
    :param beginning: decides which jobs may begin.
    :param urgency: is told the tasks that are placed.
    :param locality: decides which targets a job's tasks wait for.
    :param open_jobs: the entry's open jobs.
    :param crashes: the known crashes of targets.
    :param log: writes a line about a decision.
    """

    def __init__(
        self,
        fleet: Fleet,
        order: WaitingOrder,
        beginning: BeginningRule,
        urgency: Urgency,
        locality: Locality,
        open_jobs: OpenJobs,
        crashes: CrashHistory,
        log: DecisionLog,
    ) -> None:
        self._fleet = fleet
        self._order = order
        self._beginning = beginning
        self._urgency = urgency
        self._locality = locality
        self._open = open_jobs
        self._crashes = crashes
        self._log = log
        self._unplaceable = UnplaceableJobs(fleet, open_jobs, log)
        self._limited = LimitedJobs()
        self._reserved = ReservedTarget(fleet, urgency)
        self._trials: dict[JobId, Partition] = {}
        """Jobs that run on trial, and where."""
        self._last_start_number = 0
        """The number of the last start request."""
        self._confined_up_share = 1.0
        """The share of the confined part that is up, at least MIN_UP_SHARE."""

    def place(self, waiting: Iterable[Job], now: float) -> None:
        """Place waiting tasks on agents, in the order of their jobs.

        :param waiting: jobs with tasks that wait for capacity.
        :param now: the entry's time.
        """
        self._unplaceable.update(now)
        self._confined_up_share = max(
            MIN_UP_SHARE, self._fleet.confined_up_share(now)
        )
        ready = [
            job
            for job in self._order.sort(waiting, now)
            if now >= job.earliest_start_at
        ]
        suspects = [
            job for job in ready if self._crashes.is_suspect(job.job_id)
        ]
        # The sooner a trial shows that a queue's tasks crash targets, the
        # fewer of the targets that are open to all queues are lost.
        partition_of = self._fleet.bulkheads.partition_of
        self._run_trial(
            [job for job in suspects if partition_of(job) is Partition.OPEN],
            now,
        )
        excluded = {job.job_id for job in suspects}
        self._place_jobs(
            [job for job in ready if job.job_id not in excluded], now
        )
        self._run_trial(
            [
                job
                for job in suspects
                if partition_of(job) is Partition.CONFINED
            ],
            now,
        )

    def _place_jobs(self, jobs: list[Job], now: float) -> None:
        """Place the tasks of jobs, the first job's first."""
        rooms: dict[tuple[ServiceName, Partition], FreeRoom] = {}
        queue_rooms: dict[tuple[QueueName, ServiceName], FreeRoom] = {}
        unexpired: set[TaskKey] | None = None
        bulkheads = self._fleet.bulkheads
        self._limited.begin_pass({job.job_id for job in jobs})
        self._reserved.update(jobs, now)
        for job in jobs:
            queue = job.queue
            room = queue_rooms.get((queue.name, queue.service))
            if room is None:
                partition = bulkheads.partition_of(job)
                key = (queue.service, partition)
                if key not in rooms:
                    views = self._fleet.usable(job, now)
                    rooms[key] = FreeRoom(
                        self._reserved.without_reserved(views)
                    )
                room = queue_rooms[queue.name, queue.service] = rooms[key]
            if job.job_id == self._reserved.job_id:
                room = FreeRoom(self._fleet.usable(job, now))
            # Other jobs may fail where this one has its runs on probation.
            is_exempt = bulkheads.is_confined(job) and job.is_assigned
            steps = job.waiting_steps
            if not self._limited.may_try(job):
                steps = tuple(
                    step for step in steps if not step.max_tasks_per_target
                )
            if not is_exempt and not room.may_fit_any(steps):
                continue
            if not job.is_started and room.held_jobs >= MAX_HELD_JOBS:
                continue
            views = self._fleet.in_time(job, room.views, now)
            if not self._beginning.may_begin(job, views, now):
                room.held_jobs += 1
                continue
            if unexpired is None:
                unexpired = self._fleet.unexpired_tasks(now)
            self._place_job(job, room, unexpired, now)

    def _run_trial(self, suspects: list[Job], now: float) -> None:
        """Start the tasks of the most suspected jobs that can be tried.

        Jobs that had fewer trials go first, so that one whose trials do not
        end leaves the others their turn.

        :param suspects: jobs that may only be run on trial.
        :param now: the entry's time.
        """
        self._trials = {
            job_id: partition
            for job_id, partition in self._trials.items()
            if job_id in self._open.jobs
            and self._open.jobs[job_id].is_assigned
        }
        for job in sorted(
            suspects,
            key=lambda job: (
                job.trial_count,
                -self._crashes.suspicion_of(job.job_id).level,
            ),
        ):
            if job.is_assigned or self._crashes.must_hold(job, now):
                continue
            if self.has_fresh_jobs(job):
                continue
            partition = self._fleet.bulkheads.partition_of(job)
            running = list(self._trials.values()).count(partition)
            if running >= MAX_TRIALS[partition]:
                return
            if self._try_job(job, now):
                self._trials[job.job_id] = partition

    def has_fresh_jobs(self, suspect: Job) -> bool:
        """Return whether other jobs wait for a confined suspect's targets.

        A trial is likely to cost its target, so the others go first.
        """
        partition_of = self._fleet.bulkheads.partition_of
        if partition_of(suspect) is Partition.OPEN:
            return False
        return any(
            partition_of(job) is Partition.CONFINED
            and not self._crashes.is_suspect(job.job_id)
            for job in self._open.waiting.values()
        )

    def _try_job(self, job: Job, now: float) -> bool:
        """Start a job's tasks on trial, on the target with the fewest runs.

        :param job: the job.
        :param now: the entry's time.
        :returns: whether any task was placed.
        """
        tasks = [
            task
            for task in job.waiting
            if not self._fleet.has_unexpired_run(task.key, now)
        ]
        if not tasks:
            return False
        view = self._fleet.least_used(job, tasks[0], now)
        if view is None:
            return False
        placed = [
            task
            for task in tasks
            if self._start_on_trial(job, task, view, now)
        ]
        job.trial_count += 1
        self._log(
            Event.JOB_ON_TRIAL,
            job=job.job_id,
            queue=job.queue.name,
            agent=view.name,
            tasks=len(placed),
            crashes=self._crashes.suspicion_of(job.job_id).max_count,
            suspicion=round(self._crashes.suspicion_of(job.job_id).level, 3),
        )
        return True

    def _start_on_trial(
        self, job: Job, task: Task, view: AgentView, now: float
    ) -> bool:
        """Start a task on trial if the target can run it.

        :returns: whether it was placed.
        """
        if not self._fleet.can_run(job, task, view, now):
            return False
        self._request_start(job, task, view, now, is_exclusive=True)
        return True

    def _place_job(
        self, job: Job, room: FreeRoom, unexpired: set[TaskKey], now: float
    ) -> None:
        """Request starts of as many of a job's waiting tasks as possible.

        :param job: the job.
        :param room: the agents on which its tasks may be placed.
        :param unexpired: tasks with an earlier run that may not have ended.
        :param now: the entry's time.
        """
        choice = self._locality.choice(job, room.views, now)
        placement = self._fleet.placement(job, choice, room.views, now)
        failed: set[int] = set()
        """Steps of which no further task can be placed."""
        has_reached_limit = False
        for task in job.waiting:
            if task.key.step in failed or task.key in unexpired:
                continue
            view = placement.choose(task)
            if view is None:
                failed.add(task.key.step)
                if placement.has_declined:
                    continue
                is_limited = task.step.max_tasks_per_target > 0 and any(
                    other.step is task.step for other in job.assigned
                )
                if room.record_failure(task.step, is_limited=is_limited):
                    has_reached_limit = True
                continue
            self._request_start(job, task, view, now)
        self._limited.record(job, has_reached_limit=has_reached_limit)

    def _request_start(
        self,
        job: Job,
        task: Task,
        view: AgentView,
        now: float,
        *,
        is_exclusive: bool = False,
    ) -> None:
        """Assign a task to an agent and queue its start request.

        :param job: the job.
        :param task: the task.
        :param view: the agent.
        :param now: the entry's time.
        :param is_exclusive: whether nothing else may start beside the run.
        """
        self._open.set_phase(job, task, TaskPhase.ASSIGNED)
        if not self._fleet.bulkheads.is_confined(job):
            # A confined queue takes no capacity from other classes.
            self._urgency.record_placed(job, task, now)
        task.agent = view.name
        task.assigned_at = now
        task.percent = 0
        task.progress_at = now
        task.stop_sent = False
        task.is_slowness_recorded = False
        self._last_start_number += 1
        former = task.former_run
        if former is not None:
            self._log(
                Event.TASK_RESTARTED,
                job=job.job_id,
                step=task.key.step,
                task=task.key.index,
                agent=view.name,
                request=self._last_start_number,
                former_agent=former.agent,
                former_end=former.end,
                since_s=round(now - former.ended_at, 3),
            )
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
                is_exclusive=is_exclusive,
                probation_s=self._probation_s(job, view),
            ),
            now,
        )

    def _probation_s(self, job: Job, view: AgentView) -> float:
        """Return how long nothing else may start beside a job's first runs.

        :param job: the job.
        :param view: the agent of the target.
        :returns: seconds; 0 for jobs of queues that are not confined, and for
            those that have begun and are not suspected, as they have outlived
            their probation.
        """
        if job.may_have_run or not self._fleet.bulkheads.is_confined(job):
            return 0.0
        # The interval at which such jobs end on a target full of them.
        interval_s = job.critical_s * job.millicores
        interval_s /= max(1, view.capacity.cpu_millicores)
        return min(PROBATION_S, interval_s) / self._confined_up_share
