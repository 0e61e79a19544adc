"""Choice of the next task and of the agent that gets it."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections import Counter
from collections import deque
import heapq
from typing import NamedTuple
from typing import TYPE_CHECKING

from fulmarscale.entry.job import TaskState

if TYPE_CHECKING:
    from random import Random

    from fulmarscale.entry.agents import AgentView
    from fulmarscale.entry.job import OwnedJob
    from fulmarscale.entry.job import Task
    from fulmarscale.ids import CustomerName


MAX_SKIPPED_TASKS = 32
"""Tasks passed over in one round before it ends."""


class Candidate(NamedTuple):
    """An agent that may be given tasks."""

    view: AgentView
    """The agent."""
    capacity: int
    """The number of tasks it may be given."""


class Placement(NamedTuple):
    """A task and the agent that it goes to."""

    job: OwnedJob
    """The task's job."""
    task: Task
    """The task."""
    view: AgentView
    """The agent."""


class PlacementPolicy(ABC):
    """Chooses agents for tasks, one after another."""

    @abstractmethod
    def begin_round(self, candidates: list[Candidate]) -> None:
        """Begin a round with the agents that have room."""

    @abstractmethod
    def choose(self, kind: str) -> AgentView | None:
        """Choose the agent for the next task.

        :param kind: the task's kind.
        :returns: an agent with room, or none.
        """


class LeastLoadedPolicy(PlacementPolicy):
    """The agent with the least known load for its slots."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._heap: list[tuple[float, float, int]] = []
        self._candidates: list[Candidate] = []
        self._assigned: list[int] = []

    def begin_round(self, candidates: list[Candidate]) -> None:
        """Begin a round with the agents that have room."""
        self._candidates = candidates
        self._assigned = [0] * len(candidates)
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
            self._requeue(position)
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        return chosen

    def _requeue(self, position: int) -> None:
        candidate = self._candidates[position]
        self._assigned[position] += 1
        assigned = self._assigned[position]
        if assigned >= candidate.capacity:
            return
        load = (candidate.view.load + assigned) / candidate.view.slots
        entry = (load, self._random.random(), position)
        heapq.heappush(self._heap, entry)


class SampledPolicy(PlacementPolicy):
    """The least loaded of a few agents drawn at random."""

    def __init__(self, random: Random, samples: int) -> None:
        self._random = random
        self._samples = samples
        self._free_capacity: dict[AgentView, int] = {}

    def begin_round(self, candidates: list[Candidate]) -> None:
        """Begin a round with the agents that have room."""
        self._free_capacity = {c.view: c.capacity for c in candidates}

    def choose(self, kind: str) -> AgentView | None:
        """Choose among agents that serve the kind."""
        serving = [view for view in self._free_capacity if view.serves(kind)]
        if not serving:
            return None
        drawn = [self._random.choice(serving) for _ in range(self._samples)]
        chosen = min(drawn, key=lambda view: view.load / view.slots)
        self._free_capacity[chosen] -= 1
        if self._free_capacity[chosen] <= 0:
            del self._free_capacity[chosen]
        return chosen


class QueuedTask(NamedTuple):
    """A task in a customer's queue, ordered by when its job is due."""

    due_at: float
    """When its job is due."""
    sequence: int
    """The order of arrival."""
    job: OwnedJob
    """Its job."""
    task: Task
    """The task."""


class CustomerQueue:
    """One customer's queued tasks, those of small jobs apart."""

    def __init__(self) -> None:
        self._small: list[QueuedTask] = []
        self._large: list[QueuedTask] = []

    @property
    def is_empty(self) -> bool:
        """Whether no task waits."""
        return not self._small and not self._large

    def push(self, item: QueuedTask, *, is_small: bool) -> None:
        """Add a task."""
        heapq.heappush(self._small if is_small else self._large, item)

    def pop(self, *, only_small: bool) -> QueuedTask | None:
        """Take the task that is due first."""
        if only_small or not self._large:
            return heapq.heappop(self._small) if self._small else None
        if not self._small or self._large[0] < self._small[0]:
            return heapq.heappop(self._large)
        return heapq.heappop(self._small)


class TaskQueue:
    """Queued tasks, by due time in each customer, customers in turn."""

    def __init__(self, small_job: int) -> None:
        self._small_job = small_job
        self._queues: dict[CustomerName, CustomerQueue] = {}
        self._customer_order: deque[CustomerName] = deque()
        self._last_sequence = 0
        self._queued_count = 0

    @property
    def queued_count(self) -> int:
        """The number of tasks that wait, an upper bound."""
        return self._queued_count

    def push(self, job: OwnedJob, task: Task) -> None:
        """Add a queued task."""
        queue = self._queues.get(job.customer)
        if queue is None:
            queue = self._queues[job.customer] = CustomerQueue()
            self._customer_order.append(job.customer)
        self._last_sequence += 1
        item = QueuedTask(job.due_at, self._last_sequence, job, task)
        is_small = len(job.tasks) <= self._small_job
        queue.push(item, is_small=is_small)
        self._queued_count += 1

    def pop(self, *, only_small: bool) -> QueuedTask | None:
        """Take the next task of the customer whose turn it is.

        :param only_small: whether to pass over the tasks of large jobs.
        """
        for _ in range(len(self._customer_order)):
            customer = self._customer_order.popleft()
            queue = self._queues[customer]
            item = self._pop_queued(queue, only_small=only_small)
            if queue.is_empty:
                del self._queues[customer]
            else:
                self._customer_order.append(customer)
            if item is not None:
                return item
        return None

    def _pop_queued(
        self, queue: CustomerQueue, *, only_small: bool
    ) -> QueuedTask | None:
        while (item := queue.pop(only_small=only_small)) is not None:
            self._queued_count -= 1
            # Cancelled and expired tasks stay in the queue until here.
            if item.task.state is TaskState.QUEUED:
                return item
        return None


class TaskScheduler:
    """Gives queued tasks to agents with room, late.

    Tasks go where a slot is known to be free. Only jobs of few tasks may
    also wait at an agent: another entry's large job can keep every slot
    busy, and its slots are free for a moment that this entry doesn't see.
    """

    def __init__(
        self, policy: PlacementPolicy, ahead: int, small_job: int
    ) -> None:
        self._policy = policy
        self._ahead = ahead
        self._small_job = small_job
        self._queue = TaskQueue(small_job)

    @property
    def queued_count(self) -> int:
        """The number of tasks that wait here, an upper bound."""
        return self._queue.queued_count

    def clear(self) -> None:
        """Forget all tasks, as a new incarnation does."""
        self._queue = TaskQueue(self._small_job)

    def push(self, job: OwnedJob, task: Task) -> None:
        """Add a queued task."""
        self._queue.push(job, task)

    def place(self, views: list[AgentView], now: float) -> list[Placement]:
        """Place as many tasks as there is room for.

        :param views: agents that may be given tasks.
        :param now: monotonic time.
        """
        if self._queue.queued_count == 0:
            return []
        placements = self._place_on(
            _find_candidates(views, now, 0), only_small=False
        )
        if self._ahead == 0 or self._queue.queued_count == 0:
            return placements
        assigned = Counter(placement.view for placement in placements)
        queueable = [
            Candidate(found.view, found.capacity - assigned[found.view])
            for found in _find_candidates(views, now, self._ahead)
            if found.capacity > assigned[found.view]
        ]
        return placements + self._place_on(queueable, only_small=True)

    def _place_on(
        self, candidates: list[Candidate], *, only_small: bool
    ) -> list[Placement]:
        """Place tasks in turn until there is no room.

        :param candidates: the agents with room.
        :param only_small: whether to place tasks of small jobs only.
        """
        free = sum(candidate.capacity for candidate in candidates)
        if free == 0:
            return []
        self._policy.begin_round(candidates)
        placements: list[Placement] = []
        skipped: list[QueuedTask] = []
        while free > 0 and len(skipped) <= MAX_SKIPPED_TASKS:
            item = self._queue.pop(only_small=only_small)
            if item is None:
                break
            view = self._policy.choose(item.job.kind)
            if view is None:
                skipped.append(item)
                continue
            free -= 1
            placements.append(Placement(item.job, item.task, view))
        for item in skipped:
            self._queue.push(item.job, item.task)
        return placements


def _find_candidates(
    views: list[AgentView], now: float, ahead: int
) -> list[Candidate]:
    candidates = [
        Candidate(view, view.free_capacity(now, ahead)) for view in views
    ]
    return [candidate for candidate in candidates if candidate.capacity > 0]
