"""The agents that an entry knows, and which of them gets a task."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.admission import Load
from fulmarscale.entry.jobs.agent_view import AgentView
from fulmarscale.runs.limits import SURELY_OVER_S
from fulmarscale.runs.model import TargetState

if TYPE_CHECKING:
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.job import Task
    from fulmarscale.runs.model import TaskKey


NEWS_PER_S: Final = 400
"""Messages that an entry reads a second for news alone.

One takes about 0.1 ms, so they are 4% of a core.
"""


class Fleet:
    """All agents that an entry has heard of."""

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._closed: tuple[str, ...] = ()
        self._agents: dict[str, AgentView] = {}
        self._dirty: set[str] = set()

    @property
    def views(self) -> list[AgentView]:
        """All agents."""
        return list(self._agents.values())

    def close_data_centres(self, names: tuple[str, ...]) -> None:
        """Use no targets in these data centres from now on."""
        self._closed = names

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

    def take_dirty(self) -> list[AgentView]:
        """List the agents that have to be sent something new."""
        names = sorted(self._dirty)
        self._dirty.clear()
        return [self._agents[name] for name in names]

    @property
    def news_pause_s(self) -> float:
        """How often agents should tell their news, in seconds.

        With many agents less often, so that reading stays cheap.
        """
        return len(self._agents) / NEWS_PER_S

    def load(self, job: Job, now: float) -> Load:
        """Tell what serves a job, and what else waits for it.

        Agents that have not been heard for so long that their runs have
        surely ended serve nothing.
        """
        capacity = 0
        free = 0
        others = 0
        for view in self._agents.values():
            target = view.target
            if target is None or target.service != job.queue.service:
                continue
            if target.data_centre in self._closed:
                continue
            if now - view.heard_at > SURELY_OVER_S:
                continue
            if target.state is TargetState.READY:
                capacity += target.capacity.cpu_millicores
                free += max(0, view.room.cpu_millicores)
            others = max(others, view.others_backlog)
        return Load(capacity, free, others)

    def has_room(self, job: Job, now: float) -> bool:
        """Tell whether any of a job's tasks could start now."""
        return any(
            task.step.demand.fits(view.room)
            for view in self.usable(job, now)
            for task in job.waiting
        )

    def usable(self, job: Job, now: float) -> list[AgentView]:
        """List the agents that may be given runs of a job."""
        closed = self._closed
        return [
            view
            for view in self._agents.values()
            if view.is_usable(job.queue.service, closed, now)
        ]

    def has_sound_room(self, job: Job, task: Task, now: float) -> bool:
        """Tell whether a sound target has room for a task that is moved."""
        return any(
            view.name not in task.failed_on
            and view.name != task.agent
            and not view.slowness.is_slow(now)
            and task.step.demand.fits(view.room)
            for view in self.usable(job, now)
        )

    def is_held(self, key: TaskKey) -> bool:
        """Tell whether an agent still answers for a run of a task."""
        return any(key in view.ordered for view in self._agents.values())

    def choose(
        self, job: Job, task: Task, views: list[AgentView], now: float
    ) -> AgentView | None:
        """Choose the agent for a task among those that may have it."""
        best: AgentView | None = None
        best_key: tuple[bool, bool, bool, float, bool] | None = None
        for view in views:
            if not self._may_hold(job, task, view):
                continue
            key = self._rank(task, view, now)
            if best_key is None or key > best_key:
                best, best_key = view, key
        return best

    def _may_hold(self, job: Job, task: Task, view: AgentView) -> bool:
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

    def _rank(
        self, task: Task, view: AgentView, now: float
    ) -> tuple[bool, bool, bool, float, bool]:
        """Rank an agent for a task; the highest is the best."""
        rack = task.step.data_rack
        free = view.room.cpu_millicores / max(view.capacity.cpu_millicores, 1)
        return (
            view.name not in task.failed_on,
            not view.slowness.is_slow(now),
            not rack or view.has_label(rack),
            free,
            view.data_centre == self._data_centre,
        )
