"""One job at the entry that took it in."""

from __future__ import annotations

from enum import Enum
from statistics import median
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.runs.model import TaskKey

if TYPE_CHECKING:
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import JobSpec
    from fulmarscale.runs.model import Step
    from fulmarscale.runs.site_state import Queue


LEAST_PERCENT: Final = 5
"""Progress below this tells nothing about the time of the whole run."""


class TaskPhase(Enum):
    """Where a task is on its way."""

    BLOCKED = "blocked"
    """Earlier steps are not done yet."""
    WAITING = "waiting"
    """It waits for room."""
    ORDERED = "ordered"
    """An agent has the order to start it."""
    DONE = "done"
    """A run of it has ended well."""


class Task:
    """One task of a job."""

    __slots__ = (
        "agent",
        "failed_on",
        "failures",
        "is_noted_slow",
        "key",
        "ordered_at",
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
        """The agent that has the order."""
        self.ordered_at = 0.0
        self.failures = 0
        """Runs that ended as failed."""
        self.failed_on: set[str] = set()
        """Agents that are avoided, as a run failed there."""
        self.percent = 0
        """Progress of the present run, as reported last."""
        self.progress_at = 0.0
        """When the progress last rose."""
        self.ran_s = 0.0
        """How long the run took that ended well."""
        self.is_noted_slow = False
        """Whether the present run already counts against its target."""
        self.stop_sent = False
        """Whether the present run is being stopped, to be moved."""

    @property
    def whole_run_s(self) -> float | None:
        """Time of a whole run, by the run that is done or its progress."""
        if self.phase is TaskPhase.DONE:
            return self.ran_s
        if self.phase is not TaskPhase.ORDERED:
            return None
        if self.percent < LEAST_PERCENT:
            return None
        elapsed_s = self.progress_at - self.ordered_at
        return elapsed_s * 100 / self.percent


class Job:
    """A job, from its arrival to its answer."""

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
        self._in_phase: dict[TaskPhase, dict[TaskKey, Task]]
        self._in_phase = {phase: {} for phase in TaskPhase}
        for number, step in enumerate(spec.steps):
            for index in range(step.count):
                task = Task(TaskKey(job_id, 0, number, index), step)
                self._tasks.append(task)
                self._by_key[task.key] = task
                self._in_phase[task.phase][task.key] = task
        self.tenure = 0
        """Which ownership of a kept job this is; 0 if it is not kept."""
        self.held_until = arrived_at
        """Before then runs of another owner may not have ended."""
        self.may_have_run = False
        """Whether a run may have begun."""
        self.objective_at = arrived_at
        """When the answer is due by the queue's objective."""
        self.useless_at = arrived_at
        """When an answer is worth nothing any more."""
        self.latest_start_at = arrived_at
        """The latest start that meets the objective."""
        self.unblock()

    @property
    def job_id(self) -> JobId:
        """The caller's name for the job."""
        return self._job_id

    @property
    def queue(self) -> Queue:
        """The queue, as configured when the job came."""
        return self._queue

    @property
    def spec(self) -> JobSpec:
        """What the caller handed in."""
        return self._spec

    @property
    def arrived_at(self) -> float:
        """When the job came, by the entry's clock."""
        return self._arrived_at

    @property
    def deadline_at(self) -> float:
        """Until when the caller waits."""
        return self._deadline_at

    @property
    def tasks(self) -> list[Task]:
        """All tasks."""
        return self._tasks

    @property
    def is_kept(self) -> bool:
        """Whether it is stored, and run to its end whatever it takes."""
        return self.tenure > 0

    @property
    def is_done(self) -> bool:
        """Whether all tasks have ended well."""
        return len(self._in_phase[TaskPhase.DONE]) == len(self._tasks)

    @property
    def waiting(self) -> list[Task]:
        """Tasks that wait for room."""
        return list(self._in_phase[TaskPhase.WAITING].values())

    @property
    def ordered(self) -> list[Task]:
        """Tasks that an agent has."""
        return list(self._in_phase[TaskPhase.ORDERED].values())

    @property
    def is_waiting(self) -> bool:
        """Whether any task waits for room."""
        return bool(self._in_phase[TaskPhase.WAITING])

    @property
    def is_ordered(self) -> bool:
        """Whether an agent has any task."""
        return bool(self._in_phase[TaskPhase.ORDERED])

    @property
    def has_begun(self) -> bool:
        """Whether a run may have begun, or an agent was told to start one."""
        return self.may_have_run or self.is_ordered

    def move(self, task: Task, phase: TaskPhase) -> None:
        """Put a task into another phase."""
        del self._in_phase[task.phase][task.key]
        task.phase = phase
        self._in_phase[phase][task.key] = task

    def restore(
        self, done: tuple[int, ...], failures: tuple[tuple[int, int], ...]
    ) -> None:
        """Take over what an earlier owner stored.

        :param done: numbers of tasks that have ended well.
        :param failures: numbers of tasks, and how many runs failed.
        """
        for number in done:
            self.move(self._tasks[number], TaskPhase.DONE)
        for number, count in failures:
            self._tasks[number].failures = count
        self.unblock()

    def inherits(self, task: Task, tenure: int) -> bool:
        """Tell whether a run of the ownership before may still count.

        Not once the task was ordered again: it may have started again.

        :param task: the task.
        :param tenure: the ownership that ordered the run.
        """
        if tenure == 0 or tenure != self.tenure - 1:
            return False
        return task.phase is TaskPhase.WAITING and task.ordered_at == 0.0

    def find(self, key: TaskKey) -> Task | None:
        """Find a task by its name."""
        return self._by_key.get(key)

    def unblock(self) -> None:
        """Let tasks wait for room whose earlier steps are done."""
        done = {
            number
            for number in range(len(self._spec.steps))
            if all(
                task.phase is TaskPhase.DONE
                for task in self._tasks
                if task.key.step == number
            )
        }
        for task in list(self._in_phase[TaskPhase.BLOCKED].values()):
            if all(earlier in done for earlier in task.step.after):
                self.move(task, TaskPhase.WAITING)

    def peers_s(self, task: Task) -> float | None:
        """Median time of whole runs of the other tasks of a step.

        Tasks of a step are alike, so this tells more than any declaration.
        """
        times = [
            other.whole_run_s
            for other in self._tasks
            if other is not task
            and other.step is task.step
            and other.whole_run_s is not None
        ]
        return median(times) if times else None

    def longest_chain_s(self) -> float:
        """Work on the longest chain of steps, as declared."""
        lengths: list[float] = []
        for step in self._spec.steps:
            before = [
                lengths[earlier]
                for earlier in step.after
                if earlier < len(lengths)
            ]
            lengths.append(step.declared_s + max(before, default=0.0))
        return max(lengths, default=0.0)
