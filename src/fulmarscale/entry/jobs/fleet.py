"""The agents that an entry knows, and which of them gets a task."""

from __future__ import annotations

from heapq import heapify
from heapq import heappop
from heapq import heapreplace
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.admission import Load
from fulmarscale.entry.jobs.agent_view import AgentView
from fulmarscale.runs.limits import STREAM_SILENT_S
from fulmarscale.runs.limits import USABLE_S
from fulmarscale.runs.model import TargetState

if TYPE_CHECKING:
    from collections.abc import Collection

    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.job import Task
    from fulmarscale.runs.model import ServiceName
    from fulmarscale.runs.model import TaskKey


class Rank(NamedTuple):
    """How well an agent suits a task; what counts most comes first."""

    has_failed: bool
    """Whether a run of the task failed there."""
    is_slow: bool
    """Whether runs take far longer there of late."""
    is_off_rack: bool
    """Whether the task's data is on another rack."""
    used: float
    """What is free, negated, as a share of the target's capacity."""
    is_remote: bool
    """Whether it is in another data centre than the entry."""


class Fleet:
    """All agents that an entry has heard of."""

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._closed: tuple[str, ...] = ()
        self._agents: dict[str, AgentView] = {}
        self._connected: dict[str, AgentView] = {}
        """Those with an open stream."""
        self._dirty: set[str] = set()

    @property
    def views(self) -> list[AgentView]:
        """All agents."""
        return list(self._agents.values())

    def close_data_centres(self, names: tuple[str, ...]) -> None:
        """Use no targets in these data centres from now on."""
        self._closed = names

    def is_usable(self, name: str, now: float) -> bool:
        """Tell whether an agent answers and its target takes runs."""
        view = self._agents.get(name)
        if view is None or view.target is None or view.is_mute(now):
            return False
        return view.serves(view.target.service, self._closed)

    def find(self, name: str) -> AgentView | None:
        """Find an agent by its name."""
        return self._agents.get(name)

    def open(self, name: str, now: float) -> AgentView:
        """Find an agent, or begin to know it."""
        known = self._agents.get(name)
        if known is None:
            known = AgentView(name, now, self._dirty)
            self._agents[name] = known
        return known

    @property
    def connected(self) -> Collection[AgentView]:
        """The agents with an open stream."""
        return self._connected.values()

    def connect(self, view: AgentView, session: int) -> None:
        """Note that an agent has an open stream."""
        view.session = session
        self._connected[view.name] = view

    def disconnect(self, view: AgentView) -> None:
        """Note that an agent's stream has ended."""
        view.session = None
        self._connected.pop(view.name, None)

    def take_dirty(self) -> list[AgentView]:
        """List the agents that have to be sent something new."""
        names = sorted(self._dirty)
        self._dirty.clear()
        return [self._agents[name] for name in names]

    def load(self, job: Job, now: float) -> Load:
        """Tell what serves a job, and what else waits for it.

        Agents that did not answer, or whose streams should have ended by
        now, serve nothing.
        """
        capacity = 0
        free = 0
        others = 0
        for view in self._connected.values():
            target = view.target
            if target is None or target.service != job.queue.service:
                continue
            if target.data_centre in self._closed:
                continue
            if view.is_mute(now) or now - view.heard_at > STREAM_SILENT_S:
                continue
            if target.state is TargetState.READY:
                capacity += target.capacity.cpu_millicores
                free += max(0, view.free.cpu_millicores)
            if now - view.heard_at <= USABLE_S:
                others = max(others, view.others_backlog)
        return Load(capacity, free, others)

    def is_surveyed(self, job: Job, now: float) -> bool:
        """Tell whether the room of all agents that may serve a job is known.

        Those that did not answer have none.
        """
        return not any(
            view.is_asleep(now) or view.is_answering(now)
            for view in self.serving(job.queue.service)
        )

    def has_room(self, job: Job, now: float) -> bool:
        """Tell whether there is room for any of a job's tasks.

        What is offered to another entry first counts: it is free soon.
        """
        return any(
            task.step.demand.fits(view.free)
            for view in self.usable(job, now)
            for task in job.waiting
        )

    def serving(self, service: ServiceName) -> list[AgentView]:
        """List the agents whose targets took runs when last heard."""
        return [
            view
            for view in self._connected.values()
            if view.serves(service, self._closed)
        ]

    def usable(self, job: Job, now: float) -> list[AgentView]:
        """List the agents that may be given runs of a job."""
        closed = self._closed
        return [
            view
            for view in self._connected.values()
            if view.is_usable(job.queue.service, closed, now)
        ]

    def has_sound_room(self, job: Job, task: Task, now: float) -> bool:
        """Tell whether a sound target has room for a task that is moved.

        Agents that sleep count as they were heard last; they are asked
        before they get the task.
        """
        return any(
            view.name not in task.failed_on
            and view.name != task.agent
            and not view.is_mute(now)
            and not view.is_quarantined
            and not view.slowness.is_slow(now)
            and task.step.demand.fits(view.room)
            for view in self.serving(job.queue.service)
        )

    def is_held(self, key: TaskKey) -> bool:
        """Tell whether an agent still answers for a run of a task."""
        return any(key in view.ordered for view in self._agents.values())

    def placement(
        self, job: Job, views: list[AgentView], now: float
    ) -> Placement:
        """Begin to choose agents for a job's tasks.

        :param job: the job.
        :param views: the agents that may be given its runs.
        :param now: the entry's time.
        """
        return Placement(self, job, views, now)

    def may_hold(self, job: Job, task: Task, view: AgentView) -> bool:
        """Tell whether an agent's target may run a task and has room."""
        step = task.step
        if view.target is None or not step.demand.fits(view.room):
            return False
        if view.is_quarantined and view.ordered:
            return False
        if step.required_label and not view.has_label(step.required_label):
            return False
        if step.most_per_target == 0:
            return True
        held = sum(
            other.agent == view.name and other.step is step
            for other in job.ordered
        )
        return held < step.most_per_target

    def rank(self, task: Task, view: AgentView, now: float) -> Rank:
        """Rank an agent for a task; the lowest is the best."""
        rack = task.step.data_rack
        free = view.room.cpu_millicores / max(view.capacity.cpu_millicores, 1)
        return Rank(
            has_failed=view.name in task.failed_on,
            is_slow=view.slowness.is_slow(now),
            is_off_rack=bool(rack) and not view.has_label(rack),
            used=-free,
            is_remote=view.data_centre != self._data_centre,
        )


MOST_PACKED: Final = 2
"""Tasks of a step that one agent gets at least before others get some.

One message carries them all.
"""

PACKED_SHARE: Final = 0.5
"""Share of a step's tasks that one agent gets at most if others have room.

A target that is slow or lost costs half of a job, and the other half shows
that it is the target's fault.
"""


class Candidate(NamedTuple):
    """An agent that may get a task, in the order of choice."""

    rank: Rank
    """As it was when it was looked at last."""
    position: int
    """Decides between equals."""
    view: AgentView
    """The agent."""


class Placement:
    """Chooses agents for the tasks of one job, at one moment.

    What is ordered meanwhile only takes room, so an agent's rank only gets
    worse and one that can't hold a task is out for its whole step.
    """

    def __init__(
        self, fleet: Fleet, job: Job, views: list[AgentView], now: float
    ) -> None:
        self._fleet = fleet
        self._job = job
        # Most agents of a busy fleet are full: they need no rank.
        least = min(
            (task.step.demand.cpu_millicores for task in job.waiting),
            default=0,
        )
        self._views = [
            view for view in views if view.room.cpu_millicores >= least
        ]
        self._now = now
        self._heaps: dict[int, list[Candidate]] = {}
        self._last: AgentView | None = None
        """The agent that got the task before."""
        self._packed = 0
        """How many tasks it got in a row."""

    def choose(self, task: Task) -> AgentView | None:
        """Choose the agent for a task; none if none has room."""
        if task.failed_on:
            # Such a task ranks agents in its own way.
            return self._first(self._rank_all(task), task)
        last = self._last
        if last is not None and self._may_pack(task, last):
            self._packed += 1
            return last
        self._last = self._choose_anew(task)
        self._packed = 1
        return self._last

    def _may_pack(self, task: Task, last: AgentView) -> bool:
        """Tell whether the agent that got the last task gets this one too."""
        most = max(MOST_PACKED, int(PACKED_SHARE * task.step.count))
        if self._packed >= most or last.slowness.is_slow(self._now):
            return False
        return self._fleet.may_hold(self._job, task, last)

    def _choose_anew(self, task: Task) -> AgentView | None:
        step = task.key.step
        if step not in self._heaps:
            self._heaps[step] = self._rank_all(task)
        return self._first(self._heaps[step], task)

    def _rank_all(self, task: Task) -> list[Candidate]:
        found = [
            Candidate(self._fleet.rank(task, view, self._now), position, view)
            for position, view in enumerate(self._views)
            if self._fleet.may_hold(self._job, task, view)
        ]
        heapify(found)
        return found

    def _first(self, heap: list[Candidate], task: Task) -> AgentView | None:
        while heap:
            first = heap[0]
            view = first.view
            if not self._fleet.may_hold(self._job, task, view):
                heappop(heap)
                continue
            rank = self._fleet.rank(task, view, self._now)
            if rank == first.rank:
                return view
            heapreplace(heap, Candidate(rank, first.position, view))
        return None
