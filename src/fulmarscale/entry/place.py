"""Choice of the next task and of the agent that gets it."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections import deque
import heapq
from typing import NamedTuple
from typing import TYPE_CHECKING

from fulmarscale.entry.job import TaskState

if TYPE_CHECKING:
    from random import Random

    from fulmarscale.entry.agents import AgentView
    from fulmarscale.entry.job import Job
    from fulmarscale.entry.job import Task
    from fulmarscale.ids import CustomerName


class Candidate(NamedTuple):
    """An agent that may be given tasks."""

    view: AgentView
    """The agent."""
    room: int
    """The number of tasks it may be given."""


class Placement(NamedTuple):
    """A task and the agent that it goes to."""

    job: Job
    """The task's job."""
    task: Task
    """The task."""
    view: AgentView
    """The agent."""


class PlacementPolicy(ABC):
    """Chooses agents for tasks, one after another."""

    @abstractmethod
    def open(self, candidates: list[Candidate]) -> None:
        """Begin a round with the agents that have room."""

    @abstractmethod
    def choose(self, kind: str) -> AgentView | None:
        """Choose the agent for the next task.

        :param kind: the task's kind.
        :returns: an agent with room, or none.
        """


class LeastLoad(PlacementPolicy):
    """The agent with the least known load for its slots."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._heap: list[tuple[float, float, int]] = []
        self._candidates: list[Candidate] = []
        self._given: list[int] = []

    def open(self, candidates: list[Candidate]) -> None:
        """Begin a round with the agents that have room."""
        self._candidates = candidates
        self._given = [0] * len(candidates)
        self._heap = [
            (c.view.load / c.view.slots, self._random.random(), position)
            for position, c in enumerate(candidates)
        ]
        heapq.heapify(self._heap)

    def choose(self, kind: str) -> AgentView | None:
        """Choose the least loaded agent that serves the kind."""
        skipped = []
        chosen = None
        while self._heap and chosen is None:
            entry = heapq.heappop(self._heap)
            position = entry[2]
            candidate = self._candidates[position]
            if not candidate.view.serves(kind):
                skipped.append(entry)
                continue
            chosen = candidate.view
            self._push_again(position)
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return chosen

    def _push_again(self, position: int) -> None:
        candidate = self._candidates[position]
        self._given[position] += 1
        given = self._given[position]
        if given >= candidate.room:
            return
        load = (candidate.view.load + given) / candidate.view.slots
        entry = (load, self._random.random(), position)
        heapq.heappush(self._heap, entry)


class SampledPolicy(PlacementPolicy):
    """The least loaded of a few agents drawn at random."""

    def __init__(self, random: Random, samples: int) -> None:
        self._random = random
        self._samples = samples
        self._room: dict[AgentView, int] = {}

    def open(self, candidates: list[Candidate]) -> None:
        """Begin a round with the agents that have room."""
        self._room = {c.view: c.room for c in candidates}

    def choose(self, kind: str) -> AgentView | None:
        """Choose among agents that serve the kind."""
        able = [view for view in self._room if view.serves(kind)]
        if not able:
            return None
        drawn = [self._random.choice(able) for _ in range(self._samples)]
        chosen = min(drawn, key=lambda view: view.load / view.slots)
        self._room[chosen] -= 1
        if self._room[chosen] <= 0:
            del self._room[chosen]
        return chosen


class QueuedTask(NamedTuple):
    """A task in a customer's queue, ordered by deadline."""

    deadline_at: float
    """The deadline of its job."""
    number: int
    """The order of arrival."""
    job: Job
    """Its job."""
    task: Task
    """The task."""


class TaskQueue:
    """Queued tasks, by deadline in each customer, customers in turn."""

    def __init__(self) -> None:
        self._queues: dict[CustomerName, list[QueuedTask]] = {}
        self._turns: deque[CustomerName] = deque()
        self._number = 0
        self._waiting = 0

    @property
    def waiting(self) -> int:
        """The number of tasks that wait, an upper bound."""
        return self._waiting

    def push(self, job: Job, task: Task) -> None:
        """Add a queued task."""
        queue = self._queues.get(job.customer)
        if queue is None:
            queue = self._queues[job.customer] = []
            self._turns.append(job.customer)
        self._number += 1
        item = QueuedTask(job.deadline_at, self._number, job, task)
        heapq.heappush(queue, item)
        self._waiting += 1

    def pop(self) -> QueuedTask | None:
        """Take the next task of the customer whose turn it is."""
        while self._turns:
            customer = self._turns.popleft()
            item = self._pop_queued(self._queues[customer])
            if item is None:
                del self._queues[customer]
                continue
            self._turns.append(customer)
            return item
        return None

    def _pop_queued(self, queue: list[QueuedTask]) -> QueuedTask | None:
        while queue:
            item = heapq.heappop(queue)
            self._waiting -= 1
            # Cancelled and expired tasks stay in the heap until here.
            if item.task.state is TaskState.QUEUED:
                return item
        return None


class Placer:
    """Gives queued tasks to agents with room, late."""

    def __init__(self, policy: PlacementPolicy, ahead: int) -> None:
        self._policy = policy
        self._ahead = ahead
        self._queue = TaskQueue()

    @property
    def waiting(self) -> int:
        """The number of tasks that wait here, an upper bound."""
        return self._queue.waiting

    def clear(self) -> None:
        """Forget all tasks, as a new incarnation does."""
        self._queue = TaskQueue()

    def push(self, job: Job, task: Task) -> None:
        """Add a queued task."""
        self._queue.push(job, task)

    def place(self, views: list[AgentView], now: float) -> list[Placement]:
        """Place as many tasks as there is room for.

        :param views: agents that may be given tasks.
        :param now: monotonic time.
        """
        if self._queue.waiting == 0:
            return []
        candidates = []
        for view in views:
            room = view.room(now, self._ahead)
            if room > 0:
                candidates.append(Candidate(view, room))
        if not candidates:
            return []
        self._policy.open(candidates)
        free = sum(candidate.room for candidate in candidates)
        return self._fill(free)

    def _fill(self, free: int) -> list[Placement]:
        placements: list[Placement] = []
        unplaced: list[QueuedTask] = []
        while free > 0:
            item = self._queue.pop()
            if item is None:
                break
            view = self._policy.choose(item.job.kind)
            if view is None:
                unplaced.append(item)
                if len(unplaced) > len(placements) + free:
                    break
                continue
            free -= 1
            placements.append(Placement(item.job, item.task, view))
        for item in unplaced:
            self._queue.push(item.job, item.task)
        return placements
