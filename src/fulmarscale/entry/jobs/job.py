"""A job and its tasks, at the entry that runs it."""

from __future__ import annotations

from enum import Enum
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from fulmarscale.runs.model import TaskKey

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarscale.entry.durable.record import RecordedCompletion
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import JobSpec
    from fulmarscale.runs.model import Step
    from fulmarscale.runs.site_config import Queue


MIN_PERCENT: Final = 5
"""Least progress from which the duration of a whole run is estimated."""


class TaskPhase(Enum):
    """The state of a task at its entry."""

    BLOCKED = "blocked"
    """Steps that it depends on are not done."""
    WAITING = "waiting"
    """It waits for free capacity."""
    ASSIGNED = "ordered"
    """Its start has been requested from an agent."""
    DONE = "done"
    """A run of it has succeeded."""


class FormerRun(NamedTuple):
    """A run of a task that ended without a result that counts as done."""

    agent: str
    """The agent's name."""
    end: str
    """How it ended, for the log."""
    ended_at: float
    """When the entry concluded that it had ended."""


class Task:
    """A task of a job of the users' platform, with its current run's state."""

    __slots__ = (
        "agent",
        "assigned_at",
        "failed_on",
        "failures",
        "former_run",
        "is_slowness_recorded",
        "key",
        "percent",
        "phase",
        "progress_at",
        "ran_s",
        "step",
        "stop_sent",
    )

    def __init__(self, key: TaskKey, step: Step) -> None:
        self.key = key
        self.step = step
        self.phase = TaskPhase.BLOCKED
        self.agent = ""
        """The agent of the current run; of the last one while it waits."""
        self.assigned_at = 0.0
        """When the current run was requested; 0 before the first request."""
        self.former_run: FormerRun | None = None
        """The last run that ended or may have begun; none if none has."""
        self.failures = 0
        """The number of failed runs."""
        self.failed_on: set[str] = set()
        """Agents to avoid, as a run failed there or was moved away."""
        self.percent = 0
        """The last reported progress of the current run."""
        self.progress_at = 0.0
        """When the progress last rose."""
        self.ran_s: float | None = None
        """The duration of the successful run; none if it wasn't measured."""
        self.is_slowness_recorded = False
        """Whether the slowness of the current run has been recorded."""
        self.stop_sent = False
        """Whether the current run is being stopped to be moved."""

    @property
    def whole_run_s(self) -> float | None:
        """Duration of a whole run, measured or estimated from progress.

        None while it can't be estimated.
        """
        if self.phase is TaskPhase.DONE:
            return self.ran_s
        if self.phase is not TaskPhase.ASSIGNED:
            return None
        if self.percent < MIN_PERCENT:
            return None
        elapsed_s = self.progress_at - self.assigned_at
        return elapsed_s * 100 / self.percent


class Job:
    """A job, from its arrival to its completion."""

    def __init__(
        self,
        job_id: JobId,
        queue: Queue,
        spec: JobSpec,
        arrived_at: float,
        deadline_at: float,
    ) -> None:
        self._job_id = job_id
        self._queue = queue
        self._spec = spec
        self._arrived_at = arrived_at
        self._deadline_at = deadline_at
        self._tasks: list[Task] = []
        self._by_key: dict[TaskKey, Task] = {}
        self._by_phase: dict[TaskPhase, dict[TaskKey, Task]]
        self._by_phase = {phase: {} for phase in TaskPhase}
        self._waiting_counts: dict[int, int] = {}
        """The number of waiting tasks of each step that has any."""
        self.waiting_steps: tuple[Step, ...] = ()
        """The steps with tasks that wait for free capacity."""
        for number, step in enumerate(spec.steps):
            for index in range(step.count):
                task = Task(TaskKey(job_id, 0, number, index), step)
                self._tasks.append(task)
                self._by_key[task.key] = task
                self._by_phase[task.phase][task.key] = task
        self.owner_epoch = 0
        """The owner epoch of a durable job, a fencing number; 0 otherwise."""
        self.earliest_start_at = arrived_at
        """When its tasks may be placed.

        Until then the runs of a previous owner may not have ended, or a new
        owner epoch is not stored yet.
        """
        self.counted_completions: set[RecordedCompletion] = set()
        """The completions that count in the state of the tasks.

        Agents report a completion again until it is acknowledged as stored.
        """
        self.may_have_run = False
        """Whether a run that may have started has ended or was abandoned.

        `is_started` also covers assigned tasks.
        """
        self.trial_count = 0
        """How often it was run on trial, as it is suspected of a crash."""
        self.objective_at = arrived_at
        """When the answer is due by the queue's objective."""
        self.useful_until = arrived_at
        """When an answer is no longer of use to the caller."""
        self.latest_start_at = arrived_at
        """The latest start that meets the objective."""
        self.unblock()

    @property
    def job_id(self) -> JobId:
        """The job's identifier, chosen by the caller."""
        return self._job_id

    @property
    def queue(self) -> Queue:
        """The queue, as configured when the job arrived."""
        return self._queue

    @property
    def spec(self) -> JobSpec:
        """The job as the caller submitted it."""
        return self._spec

    @property
    def arrived_at(self) -> float:
        """When the job arrived, by the entry's clock."""
        return self._arrived_at

    @property
    def deadline_at(self) -> float:
        """When the caller stops waiting; infinite for a durable job."""
        return self._deadline_at

    @property
    def tasks(self) -> list[Task]:
        """All tasks, in the order of their steps."""
        return self._tasks

    @property
    def is_durable(self) -> bool:
        """Whether the job is durable: stored, and run until it completes."""
        return self.owner_epoch > 0

    @property
    def critical_s(self) -> float:
        """The estimated run time of the critical path, in seconds."""
        return self.objective_at - self.latest_start_at

    @property
    def millicores(self) -> int:
        """The demand of all tasks, in thousandths of a core."""
        return sum(task.step.demand.cpu_millicores for task in self._tasks)

    @property
    def is_done(self) -> bool:
        """Whether all tasks have succeeded."""
        return len(self._by_phase[TaskPhase.DONE]) == len(self._tasks)

    @property
    def waiting(self) -> list[Task]:
        """The tasks that wait for free capacity."""
        return list(self._by_phase[TaskPhase.WAITING].values())

    @property
    def assigned(self) -> list[Task]:
        """The tasks that are assigned to an agent."""
        return list(self._by_phase[TaskPhase.ASSIGNED].values())

    @property
    def max_failures(self) -> int:
        """The most failed runs of one task."""
        return max((task.failures for task in self._tasks), default=0)

    @property
    def is_waiting(self) -> bool:
        """Whether any task waits for free capacity."""
        return bool(self._by_phase[TaskPhase.WAITING])

    @property
    def is_assigned(self) -> bool:
        """Whether any task is assigned to an agent."""
        return bool(self._by_phase[TaskPhase.ASSIGNED])

    @property
    def is_started(self) -> bool:
        """Whether a run may have started or its start has been requested."""
        return self.may_have_run or self.is_assigned

    def set_phase(self, task: Task, phase: TaskPhase) -> None:
        """Move a task to another phase."""
        del self._by_phase[task.phase][task.key]
        if task.phase is TaskPhase.WAITING:
            self._count_waiting(task.key.step, -1)
        task.phase = phase
        self._by_phase[phase][task.key] = task
        if phase is TaskPhase.WAITING:
            self._count_waiting(task.key.step, 1)

    def _count_waiting(self, step: int, change: int) -> None:
        """Update the number of waiting tasks of a step.

        :param step: the step's number.
        :param change: 1 or -1.
        """
        counts = self._waiting_counts
        before = counts.get(step, 0)
        counts[step] = before + change
        if before == 0 or not counts[step]:
            self.waiting_steps = tuple(
                self._spec.steps[number] for number in counts if counts[number]
            )

    def restore(
        self,
        done: tuple[int, ...],
        failures: tuple[tuple[int, int], ...],
        completions: Iterable[RecordedCompletion],
    ) -> None:
        """Restore the progress of a durable job from its stored record.

        :param done: numbers of the tasks that have succeeded.
        :param failures: numbers of tasks with their counts of failed runs.
        :param completions: the completions that both of these count.
        """
        self.counted_completions.update(completions)
        for number in done:
            self.set_phase(self._tasks[number], TaskPhase.DONE)
        for number, count in failures:
            self._tasks[number].failures = count
        self.unblock()

    def is_inherited_run(self, task: Task, owner_epoch: int) -> bool:
        """Return whether a run of the previous owner still counts.

        It doesn't once this owner has requested a start of the task, which
        may then have run again.

        :param task: the task.
        :param owner_epoch: the owner epoch under which the run was requested.
        """
        if owner_epoch == 0 or owner_epoch != self.owner_epoch - 1:
            return False
        return task.phase is TaskPhase.WAITING and task.assigned_at == 0.0

    def find(self, key: TaskKey) -> Task | None:
        """Return the task with a key; none if the job has no such task."""
        return self._by_key.get(key)

    def unblock(self) -> None:
        """Move blocked tasks to WAITING if all preceding steps are done."""
        done = {
            number
            for number in range(len(self._spec.steps))
            if all(
                task.phase is TaskPhase.DONE
                for task in self._tasks
                if task.key.step == number
            )
        }
        for task in list(self._by_phase[TaskPhase.BLOCKED].values()):
            if all(earlier in done for earlier in task.step.after):
                self.set_phase(task, TaskPhase.WAITING)

    def peer_runs_s(self, task: Task) -> list[tuple[str, float]]:
        """Return the agents and whole-run durations of a task's peers.

        Peers are the other tasks of its step on other targets. They are alike,
        so these are a better estimate than the declared run time. Those on the
        same target would hide that the target is slow.

        :returns: durations in seconds; empty if no peer has an estimate.
        """
        return [
            (other.agent, whole_run_s)
            for other in self._tasks
            if other.agent != task.agent
            and other.step is task.step
            and (whole_run_s := other.whole_run_s) is not None
        ]

    def critical_path_s(self) -> float:
        """Return the declared run time of the critical path through the steps.

        :returns: seconds.
        """
        path_lengths_s: list[float] = []
        for step in self._spec.steps:
            preceding_s = [
                path_lengths_s[earlier]
                for earlier in step.after
                if earlier < len(path_lengths_s)
            ]
            path_lengths_s.append(
                step.declared_s + max(preceding_s, default=0.0)
            )
        return max(path_lengths_s, default=0.0)

    def declared_s_after(self, step: int) -> float:
        """Return the declared run time of the longest path after a step.

        :param step: the number of the step.
        :returns: seconds.
        """
        steps = self._spec.steps
        after_s = [0.0] * len(steps)
        for number in reversed(range(len(steps))):
            for earlier in steps[number].after:
                path_s = steps[number].declared_s + after_s[number]
                after_s[earlier] = max(after_s[earlier], path_s)
        return after_s[step]
