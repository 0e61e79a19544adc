"""The agents of an entry, and the placement of tasks on them."""

from __future__ import annotations

from collections import Counter
from heapq import heapify
from heapq import heappop
from heapq import heapreplace
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.admission import Load
from fulmarscale.entry.jobs.admission import waiting_demand
from fulmarscale.entry.jobs.agent_view import AgentView
from fulmarscale.entry.jobs.bulkheads import Bulkheads
from fulmarscale.entry.jobs.open_load import OpenLoad
from fulmarscale.entry.jobs.placement_wait import NeverWait
from fulmarscale.entry.jobs.placement_wait import PlacementWait
from fulmarscale.entry.jobs.placement_wait import WaitWhileSooner
from fulmarscale.entry.jobs.target_choice import EndInTimeChoice
from fulmarscale.entry.jobs.target_choice import FreeShareChoice
from fulmarscale.entry.jobs.target_speeds import TargetSpeeds
from fulmarscale.runs.limits import MAX_STATE_AGE_S
from fulmarscale.runs.limits import STREAM_TIMEOUT_S
from fulmarscale.runs.lost_agent_starts import LostAgentStart
from fulmarscale.runs.lost_agent_starts import LostAgentStarts
from fulmarscale.runs.model import TargetState

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from fulmarscale.entry.jobs.bulkheads import Partition
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.job import Task
    from fulmarscale.entry.jobs.target_choice import TargetChoice
    from fulmarscale.runs.messages import AgentMessage
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import ServiceName
    from fulmarscale.runs.model import TaskKey


MAX_SLOW_SHARE: Final = 0.4
"""Share of the targets up to which slow ones are left out."""


class Rank(NamedTuple):
    """The sort key of an agent for a task; the lowest is the best."""

    has_failed: bool
    """Whether a run of the task failed on the target."""
    is_slow: bool
    """Whether recent runs on the target took far longer than expected."""
    is_other_part: bool
    """Whether the target is in the part of the other queues."""
    is_off_rack: bool
    """Whether the task's data is on another rack."""
    cost: float
    """What the choice among equal targets goes by; see `TargetChoice`."""
    is_remote: bool
    """Whether the target is in another data centre than the entry."""


class Fleet:
    """All agents that an entry has had a stream to."""

    def __init__(self, data_centre: str, far_factor: float = 1.0) -> None:
        self._data_centre = data_centre
        """The entry's data centre."""
        self.placement_wait: PlacementWait = NeverWait()
        """Decides how long tasks wait for the rack of their data."""
        if far_factor > 1.0:
            self.placement_wait = WaitWhileSooner(far_factor)
        self._closed_data_centres: tuple[str, ...] = ()
        self.bulkheads = Bulkheads()
        """Which queues are confined to which of the targets."""
        self.speeds = TargetSpeeds()
        """The learned speeds of the targets."""
        self._open_loads: dict[ServiceName, OpenLoad] = {}
        """The load of the queues that are not confined, by service."""
        self._agents: dict[str, AgentView] = {}
        """All agents, by name."""
        self._connected: dict[str, AgentView] = {}
        """The agents with an open stream, by name."""
        self._on_trial: set[str] = set()
        """Names of the agents of slow targets that only get trial runs."""
        self._dirty: set[str] = set()
        """Names of the agents with a message due."""
        self._assigned_by_job: Counter[JobId] = Counter()
        """Number of the tasks of each job whose runs may not have ended."""
        self._lost_agent_starts = LostAgentStarts()
        """Starts of other entries at agents that these have lost."""
        self._shared_starts = LostAgentStarts()
        """Starts of this entry that the others have been told of."""

    @property
    def views(self) -> list[AgentView]:
        """All agents, with or without an open stream."""
        return list(self._agents.values())

    def set_closed_data_centres(self, names: tuple[str, ...]) -> None:
        """Replace the data centres in which no tasks are placed."""
        self._closed_data_centres = names

    def is_agent_available(self, name: str, now: float) -> bool:
        """Return whether an agent responds and its target accepts runs."""
        view = self._agents.get(name)
        if view is None or view.target is None or view.is_unresponsive(now):
            return False
        return view.serves(view.target.service, self._closed_data_centres)

    def confined_up_share(self, now: float) -> float:
        """Return the share of the confined part whose targets accept runs.

        :param now: the entry's time.
        """
        members = self.bulkheads.members & self._connected.keys()
        if not members:
            return 1.0
        up = sum(self.is_agent_available(name, now) for name in members)
        return up / len(members)

    def find(self, name: str) -> AgentView | None:
        """Return the agent of a name; none if it is unknown."""
        return self._agents.get(name)

    def find_or_add(self, name: str, now: float) -> AgentView:
        """Return the agent of a name, added if it is unknown."""
        view = self._agents.get(name)
        if view is None:
            view = AgentView(name, now, self._dirty, self._assigned_by_job)
            self._agents[name] = view
        return view

    @property
    def connected(self) -> Collection[AgentView]:
        """The agents with an open stream."""
        return self._connected.values()

    def connect(self, view: AgentView, session: int, now: float) -> None:
        """Mark an agent as connected.

        :param view: the agent.
        :param session: the number of its stream.
        :param now: the entry's time.
        """
        view.session = session
        view.lost_agent_starts += self._shared_starts.left(now)
        self._connected[view.name] = view

    def disconnect(self, view: AgentView) -> None:
        """Mark an agent as disconnected."""
        view.session = None
        self._connected.pop(view.name, None)

    def pop_dirty(self) -> list[AgentView]:
        """Return the agents with a message due, and clear the list."""
        names = sorted(self._dirty)
        self._dirty.clear()
        return [self._agents[name] for name in names]

    @property
    def open_loads(self) -> dict[ServiceName, float]:
        """The known peak load of each service's queues that are open."""
        return {
            name: load.peak
            for name, load in self._open_loads.items()
            if load.peak is not None
        }

    def update_open_loads(
        self,
        agents: dict[ServiceName, list[str]],
        waiting: Iterable[Job],
        now: float,
    ) -> None:
        """Measure the load of the queues that are not confined.

        :param agents: the names of each service's agents.
        :param waiting: the jobs with waiting tasks.
        :param now: the entry's time.
        """
        if not self.bulkheads.queues:
            self._open_loads.clear()
            return
        demands: Counter[ServiceName] = Counter()
        for job in waiting:
            if not self.bulkheads.is_confined(job):
                demands[job.queue.service] += waiting_demand(job)
        for service, names in agents.items():
            views = [
                self._connected[name]
                for name in names
                if name in self._connected
            ]
            load = self._open_loads.setdefault(service, OpenLoad())
            load.update(views, self.bulkheads.queues, demands[service], now)

    def load(self, job: Job, now: float) -> Load:
        """Return the capacity for a job and the demand of other entries.

        Agents that left a probe unanswered or whose streams are due to time
        out count as without capacity.
        """
        capacity = 0
        free = 0
        others = 0
        by_priority: dict[int, int] = {}
        for view in self._connected.values():
            target = view.target
            if target is None or target.service != job.queue.service:
                continue
            if target.data_centre in self._closed_data_centres:
                continue
            if not self.bulkheads.allows(job, view):
                continue
            if (
                view.is_unresponsive(now)
                or now - view.last_message_at > STREAM_TIMEOUT_S
            ):
                continue
            if target.state is TargetState.READY and not (
                view.slowness.is_slow(now)
            ):
                speed = self.speeds.speed_of(view.name)
                capacity += round(target.capacity.cpu_millicores * speed)
                free += max(0, view.free.cpu_millicores)
            if now - view.last_message_at <= MAX_STATE_AGE_S:
                others = max(others, view.others_backlog)
                for priority, demand in view.others_by_priority.items():
                    known = by_priority.get(priority, 0)
                    by_priority[priority] = max(known, demand)
        return Load(capacity, free, others, by_priority)

    def is_capacity_known(self, job: Job, now: float) -> bool:
        """Return whether every agent that may run a job has reported lately.

        Agents that left a probe unanswered count as without capacity.
        """
        return not any(
            view.needs_probe(now) or view.is_probe_pending(now)
            for view in self.serving(job.queue.service)
            if self.bulkheads.allows(job, view)
        )

    def has_capacity(self, job: Job, now: float) -> bool:
        """Return whether there is free capacity for any of a job's tasks.

        Capacity that is offered to another entry first counts, as it is
        likely to be free soon.
        """
        return any(
            task.step.demand.fits(view.free)
            for view in self.usable(job, now)
            for task in job.waiting
        )

    def serving(self, service: ServiceName) -> list[AgentView]:
        """Return the connected agents that can be given runs of a service.

        Their targets, by their last report, accept runs of the service.
        """
        return [
            view
            for view in self._connected.values()
            if view.serves(service, self._closed_data_centres)
        ]

    def parts_of(
        self, jobs: Iterable[Job]
    ) -> dict[ServiceName, set[Partition]]:
        """Return the parts in which tasks of jobs may run, by service."""
        parts: dict[ServiceName, set[Partition]] = {}
        for job in jobs:
            partition = self.bulkheads.partition_of(job)
            parts.setdefault(job.queue.service, set()).add(partition)
        return parts

    def usable(self, job: Job, now: float) -> list[AgentView]:
        """Return the agents on which tasks of a job may be placed now.

        Slow targets only get trial runs. If too many seem slow, the expected
        run times are wrong and the targets are not at fault.
        """
        closed = self._closed_data_centres
        views = [
            view
            for view in self._connected.values()
            if self.bulkheads.allows(job, view)
            and view.is_usable(job.queue.service, closed, now)
        ]
        slow = {view.name for view in views if view.slowness.is_slow(now)}
        if len(slow) > MAX_SLOW_SHARE * len(views):
            slow.clear()
        self._on_trial = slow
        return [
            view
            for view in views
            if view.name not in slow or view.is_trial_due(now)
        ]

    def has_healthy_capacity(self, job: Job, task: Task, now: float) -> bool:
        """Return whether another healthy target can take over a running task.

        Agents without recent messages count by their last report; they are
        probed before the task is placed there.
        """
        return self.top_healthy_speed(job, task, now) is not None

    def top_healthy_speed(
        self, job: Job, task: Task, now: float
    ) -> float | None:
        """Return the top speed of the targets that can take over a run.

        :returns: a factor of the mean speed; none if there is no such target.
        """
        return max(
            (
                self.speeds.speed_of(view.name)
                for view in self.serving(job.queue.service)
                if self.bulkheads.allows(job, view)
                and view.name not in task.failed_on
                and view.name != task.agent
                and not view.is_unresponsive(now)
                and not view.is_quarantined
                and not view.slowness.is_slow(now)
                and task.step.demand.fits(view.available)
            ),
            default=None,
        )

    def least_used(self, job: Job, task: Task, now: float) -> AgentView | None:
        """Return the healthy agent with the fewest runs that can run a task.

        Only agents in the part of the job's queue are returned.

        :param job: the job.
        :param task: one of its tasks.
        :param now: the entry's time.
        :returns: none if no target can run it now.
        """
        candidates = [
            view
            for view in self.usable(job, now)
            if self.bulkheads.is_own_part(job, view.name)
            and self.can_run(job, task, view, now)
        ]
        return min(
            candidates,
            key=lambda view: (
                view.name in task.failed_on,
                view.slowness.is_slow(now),
                view.capacity.cpu_millicores - view.free.cpu_millicores,
                view.name,
            ),
            default=None,
        )

    def has_unexpired_run(self, key: TaskKey, now: float) -> bool:
        """Return whether an earlier run of a task may not have ended yet.

        :param key: the task.
        :param now: the entry's time.
        """
        if key in self._lost_agent_starts.tasks(now):
            return True
        return any(
            view.has_unexpired_run(key, now) for view in self._agents.values()
        )

    def unexpired_tasks(self, now: float) -> set[TaskKey]:
        """Return all tasks with an earlier run that may not have ended yet.

        :param now: the entry's time.
        """
        return self._lost_agent_starts.tasks(now) | self._reported_tasks(now)

    def record_lost_agent_starts(
        self, message: AgentMessage, now: float
    ) -> None:
        """Record what an agent tells of the starts at lost agents.

        :param message: the agent's message, which may show that it is back.
        :param now: the entry's time.
        """
        if message.lost_agent_starts:
            own = self._shared_starts
            others = [
                start
                for start in message.lost_agent_starts
                if start.left_s <= 0.0 or own.news((start,), now)
            ]
            self._lost_agent_starts.record(others, now)
        if message.target is None:
            return
        for starts in (self._lost_agent_starts, self._shared_starts):
            if starts:
                starts.record_return(message.name, message.token, now)

    def has_run_of(self, job_id: JobId, now: float) -> bool:
        """Return whether a run of a job may go on, or begin, on any target.

        :param job_id: a job that this or another entry may have had before.
        :param now: the entry's time.
        """
        if job_id in self._assigned_by_job:
            return True
        lost = self._lost_agent_starts.tasks(now)
        if any(task.job_id == job_id for task in lost):
            return True
        return any(
            view.reports_start_of(job_id, now)
            for view in self._agents.values()
        )

    def share_lost_agent_starts(
        self, now: float, *, is_stopping: bool = False
    ) -> tuple[LostAgentStart, ...]:
        """Tell the other entries of starts at the agents that are lost.

        A caller may send a job to any of them, which must not run a task
        that a lost agent's target may still begin. The agents pass it on.

        They are told as well once such a start is ruled out.

        :param now: the entry's time.
        :param is_stopping: whether the entry can't tell later of agents that
            are lost already, but have not been silent for long.
        :returns: the starts that are told of for the first time.
        """
        withdrawn: tuple[LostAgentStart, ...] = ()
        for known in (self._lost_agent_starts, self._shared_starts):
            if known:
                known.expire(now)
                withdrawn += known.withdraw(self._reported_tasks(now), now)
        starts = [
            start
            for view in self._agents.values()
            for start in view.open_starts(
                now,
                is_own_lost=bool(view.assigned)
                and (is_stopping or view.is_lost(now)),
            )
            if self._must_share(start, now)
        ]
        news = self._shared_starts.record(starts, now)
        if news or withdrawn:
            for view in self.connected:
                view.lost_agent_starts += news + withdrawn
                view.mark_dirty()
        return news

    def _must_share(self, start: LostAgentStart, now: float) -> bool:
        """Return whether the others may not know that a start is open."""
        if not self._lost_agent_starts.news((start,), now):
            return False
        return self._shared_starts.is_closed_or_later(start, now)

    def _reported_tasks(self, now: float) -> set[TaskKey]:
        """Return the tasks whose runs agents report as not ruled out."""
        tasks: set[TaskKey] = set()
        for view in self._agents.values():
            view.add_unexpired_tasks(tasks, now)
        return tasks

    def in_time(
        self, job: Job, views: list[AgentView], now: float
    ) -> list[AgentView]:
        """Return the agents whose targets end a job's tasks in time.

        :param job: a job with waiting tasks.
        :param views: the agents on which its tasks may be placed.
        :param now: the entry's time.
        :returns: all of them if the speeds don't differ, or if none does.
        """
        if not self.speeds.is_uneven or not views:
            return views
        task = max(job.waiting, key=lambda task: task.step.declared_s)
        choice = EndInTimeChoice(job, views, self.speeds, now)
        return [view for view in views if choice.is_acceptable(task, view)]

    def choice(
        self, job: Job, views: list[AgentView], now: float
    ) -> TargetChoice:
        """Return what the targets for a job's tasks are compared by.

        :param job: the job.
        :param views: the agents on which its tasks may be placed.
        :param now: the entry's time.
        """
        if self.speeds.is_uneven:
            return EndInTimeChoice(job, views, self.speeds, now)
        return FreeShareChoice()

    def placement(
        self,
        job: Job,
        choice: TargetChoice,
        views: list[AgentView],
        now: float,
    ) -> PlacementPass:
        """Return a placement pass that chooses agents for a job's tasks.

        :param job: the job.
        :param choice: compares the targets.
        :param views: the agents on which its tasks may be placed.
        :param now: the entry's time.
        """
        return PlacementPass(self, choice, job, views, now)

    def can_run(
        self, job: Job, task: Task, view: AgentView, now: float
    ) -> bool:
        """Return whether a target satisfies a task's demand and constraints.

        A quarantined or slow target gets one run at a time.

        :param job: the job.
        :param task: one of its tasks.
        :param view: the target's agent.
        :param now: the entry's time.
        """
        if view.is_on_probation(job.job_id, now):
            return False
        step = task.step
        if view.target is None or not step.demand.fits(view.available):
            return False
        is_on_trial = view.is_quarantined or view.name in self._on_trial
        if is_on_trial and view.assigned:
            return False
        if step.required_label and not view.has_label(step.required_label):
            return False
        if step.max_tasks_per_target == 0:
            return True
        placed = sum(
            other.agent == view.name and other.step is step
            for other in job.assigned
        )
        return placed < step.max_tasks_per_target

    def rank(
        self,
        choice: TargetChoice,
        job: Job,
        task: Task,
        view: AgentView,
        now: float,
    ) -> Rank:
        """Return the rank of an agent for a task; the lowest is the best."""
        rack = task.step.data_rack
        return Rank(
            has_failed=view.name in task.failed_on,
            is_slow=view.slowness.is_slow(now),
            is_other_part=not self.bulkheads.is_own_part(job, view.name),
            is_off_rack=bool(rack) and not view.has_label(rack),
            cost=choice.cost(task, view),
            is_remote=view.data_centre != self._data_centre,
        )


MIN_BATCH_TASKS: Final = 2
"""Consecutive tasks that one agent may get, however few the step has.

They are sent in one message.
"""

MAX_BATCH_SHARE: Final = 0.5
"""Largest share of a step's tasks that one agent gets before others do.

If a target is slow or lost, only half of the job is affected, and the run
times of the other half show that the target is at fault.
"""


class RankedAgent(NamedTuple):
    """An item of the heap of agents that can run a step's tasks."""

    rank: Rank
    """The agent's rank when it was last computed."""
    position: int
    """The tie-breaker between equal ranks."""
    view: AgentView
    """The agent."""


class PlacementPass:
    """Chooses agents for the tasks of one job in one pass.

    Starts that are requested during the pass only reduce free capacity, so an
    agent's rank only gets worse, and an agent that can't run a task is
    dropped for the whole step.
    """

    def __init__(
        self,
        fleet: Fleet,
        choice: TargetChoice,
        job: Job,
        views: list[AgentView],
        now: float,
    ) -> None:
        self._fleet = fleet
        self._choice = choice
        self._job = job
        # Most agents of a busy fleet are full; ranking them is wasted work.
        min_millicores = min(
            (task.step.demand.cpu_millicores for task in job.waiting),
            default=0,
        )
        self._views = [
            view
            for view in views
            if view.available.cpu_millicores >= min_millicores
        ]
        self._now = now
        self._heaps: dict[int, list[RankedAgent]] = {}
        """Heaps of candidates, by the number of the step."""
        self._last_agent: AgentView | None = None
        """The agent chosen for the previous task."""
        self._batch_size = 0
        """Number of consecutive tasks for which it was chosen."""
        self._has_declined = False

    @property
    def has_declined(self) -> bool:
        """Whether a target had room for a task that waits for a better one.

        Such a task shows nothing about the room for other jobs.
        """
        return self._has_declined

    def choose(self, task: Task) -> AgentView | None:
        """Return the best agent for a task; none if no target can run it."""
        if task.failed_on:
            # The ranks depend on where this task failed, so the heap that
            # the tasks of its step share doesn't apply.
            return self._best_candidate(self._rank_candidates(task), task)
        last = self._last_agent
        if last is not None and self._can_batch(task, last):
            self._batch_size += 1
            return last
        self._last_agent = self._choose_best(task)
        self._batch_size = 1
        return self._last_agent

    def _can_batch(self, task: Task, last: AgentView) -> bool:
        """Return whether a task goes to the same agent as the previous one."""
        max_batch = max(
            MIN_BATCH_TASKS, int(MAX_BATCH_SHARE * task.step.count)
        )
        if self._batch_size >= max_batch or last.slowness.is_slow(self._now):
            return False
        return self._can_place(task, last)

    def _can_place(self, task: Task, view: AgentView) -> bool:
        """Return whether a target can run a task and is chosen for it."""
        if not self._fleet.can_run(self._job, task, view, self._now):
            return False
        if self._choice.is_acceptable(task, view):
            return True
        self._has_declined = True
        return False

    def _rank(self, task: Task, view: AgentView) -> Rank:
        """Return the rank of an agent for a task."""
        return self._fleet.rank(self._choice, self._job, task, view, self._now)

    def _choose_best(self, task: Task) -> AgentView | None:
        """Return the best agent for any task of a task's step."""
        step = task.key.step
        if step not in self._heaps:
            self._heaps[step] = self._rank_candidates(task)
        return self._best_candidate(self._heaps[step], task)

    def _rank_candidates(self, task: Task) -> list[RankedAgent]:
        """Return a heap of the agents that can run a task, by rank."""
        candidates = [
            RankedAgent(
                self._rank(task, view),
                position,
                view,
            )
            for position, view in enumerate(self._views)
            if self._can_place(task, view)
        ]
        heapify(candidates)
        return candidates

    def _best_candidate(
        self, heap: list[RankedAgent], task: Task
    ) -> AgentView | None:
        """Return the best agent of a heap, after updating outdated ranks."""
        while heap:
            first = heap[0]
            view = first.view
            if not self._can_place(task, view):
                heappop(heap)
                continue
            rank = self._rank(task, view)
            if rank == first.rank:
                return view
            heapreplace(heap, RankedAgent(rank, first.position, view))
        return None
