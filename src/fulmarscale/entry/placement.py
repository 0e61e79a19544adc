"""Schedules queued tasks: which task is next, and which agent runs it.

Customers are served round robin. Within a customer's queue, tasks are ordered
by the due times of their jobs. A `PlacementPolicy` chooses the agent.
"""

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

    from fulmarscale.entry.connected_agents import ConnectedAgent
    from fulmarscale.entry.job import OwnedJob
    from fulmarscale.entry.job import Task
    from fulmarscale.ids import CustomerName


MAX_SKIPPED_TASKS = 32
"""A placement round ends after more tasks than this had no suitable agent."""


class Candidate(NamedTuple):
    """An agent with free capacity."""

    view: ConnectedAgent
    """The agent."""
    capacity: int
    """The number of tasks that may be sent to it."""


class Placement(NamedTuple):
    """The assignment of a task to an agent."""

    job: OwnedJob
    """The task's job."""
    task: Task
    """The task."""
    view: ConnectedAgent
    """The agent."""


class PlacementPolicy(ABC):
    """Chooses the agent for each task of a placement round."""

    @abstractmethod
    def begin_round(self, candidates: list[Candidate]) -> None:
        """Begin a placement round with the agents that have free capacity."""

    @abstractmethod
    def choose(self, kind: str) -> ConnectedAgent | None:
        """Choose the agent for one task and count it against its capacity.

        :param kind: the task's kind.
        :returns: an agent with free capacity, or none.
        """


class LeastLoadedPolicy(PlacementPolicy):
    """Chooses the agent with the least load per slot.

    Agents with equal load are chosen at random.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._heap: list[tuple[float, float, int]] = []
        self._candidates: list[Candidate] = []
        self._assigned: list[int] = []
        """Tasks assigned in this round, by position of the candidate."""

    def begin_round(self, candidates: list[Candidate]) -> None:
        """Begin a placement round with the agents that have free capacity."""
        self._candidates = candidates
        self._assigned = [0] * len(candidates)
        self._heap = [
            (c.view.load / c.view.slots, self._random.random(), position)
            for position, c in enumerate(candidates)
        ]
        heapq.heapify(self._heap)

    def choose(self, kind: str) -> ConnectedAgent | None:
        """Choose the least loaded agent that serves the kind."""
        skipped = []
        chosen = None
        while self._heap and chosen is None:
            heap_item = heapq.heappop(self._heap)
            position = heap_item[2]
            candidate = self._candidates[position]
            if not candidate.view.serves(kind):
                skipped.append(heap_item)
                continue
            chosen = candidate.view
            self._record_assignment(position)
        for heap_item in skipped:
            heapq.heappush(self._heap, heap_item)
        return chosen

    def _record_assignment(self, position: int) -> None:
        candidate = self._candidates[position]
        self._assigned[position] += 1
        assigned = self._assigned[position]
        if assigned >= candidate.capacity:
            return
        load = (candidate.view.load + assigned) / candidate.view.slots
        heap_item = (load, self._random.random(), position)
        heapq.heappush(self._heap, heap_item)


class SampledPolicy(PlacementPolicy):
    """Chooses the least loaded of a few agents drawn at random.

    Only the benchmarks use it, to compare it with `LeastLoadedPolicy`.
    """

    def __init__(self, random: Random, samples: int) -> None:
        self._random = random
        self._samples = samples
        self._free_capacity: dict[ConnectedAgent, int] = {}

    def begin_round(self, candidates: list[Candidate]) -> None:
        """Begin a placement round with the agents that have free capacity."""
        self._free_capacity = {c.view: c.capacity for c in candidates}

    def choose(self, kind: str) -> ConnectedAgent | None:
        """Choose the least loaded of the agents drawn that serve the kind."""
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
    """A task waiting at the entry, ordered by the due time of its job.

    It is in its customer's queue.
    """

    due_at: float
    """Monotonic time at which its job is due."""
    sequence: int
    """The order in which tasks were queued; it breaks ties."""
    job: OwnedJob
    """Its job."""
    task: Task
    """The task."""


class CustomerQueue:
    """One customer's queued tasks, in separate heaps by size of job."""

    def __init__(self) -> None:
        self._small: list[QueuedTask] = []
        self._large: list[QueuedTask] = []

    @property
    def is_empty(self) -> bool:
        """Whether no task is queued."""
        return not self._small and not self._large

    def push(self, item: QueuedTask, *, is_small: bool) -> None:
        """Queue a task."""
        heapq.heappush(self._small if is_small else self._large, item)

    def pop(self, *, only_small: bool) -> QueuedTask | None:
        """Remove and return the task that is due first.

        :param only_small: whether to pass over the tasks of large jobs.
        """
        if only_small or not self._large:
            return heapq.heappop(self._small) if self._small else None
        if not self._small or self._large[0] < self._small[0]:
            return heapq.heappop(self._large)
        return heapq.heappop(self._small)


class TaskQueue:
    """Tasks waiting at the entry: a queue per customer, served round robin.

    Within a customer's queue, tasks are ordered by due time.
    """

    def __init__(self, small_job: int) -> None:
        self._small_job = small_job
        self._queues: dict[CustomerName, CustomerQueue] = {}
        self._customer_order: deque[CustomerName] = deque()
        """Customers with queued tasks, the next one to be served first."""
        self._last_sequence = 0
        self._queued_count = 0

    @property
    def queued_count(self) -> int:
        """The number of queued tasks, as an upper bound.

        Tasks cancelled or expired since they were queued are included.
        """
        return self._queued_count

    def push(self, job: OwnedJob, task: Task) -> None:
        """Queue a task."""
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
        """Remove and return the next task of the customer whose turn it is.

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
            # Cancelled and expired tasks stay in the queue until popped.
            if item.task.state is TaskState.QUEUED:
                return item
        return None


class TaskScheduler:
    """Assigns queued tasks to agents with free capacity.

    Tasks stay queued here until a slot at an agent is known to be free.
    Only tasks of small jobs may also wait at an agent. While another entry's
    large job keeps all slots of an agent busy, a slot that becomes free is
    taken again before this entry learns of it, so that a task that did not
    wait there would not start.

    :param policy: chooses the agent for each task.
    :param ahead: tasks of small jobs that may wait at an agent beyond its
        free slots.
    :param small_job: the largest number of tasks of a small job.
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
        """The number of tasks queued at this entry, as an upper bound."""
        return self._queue.queued_count

    def clear(self) -> None:
        """Drop all tasks when a new incarnation begins."""
        self._queue = TaskQueue(self._small_job)

    def push(self, job: OwnedJob, task: Task) -> None:
        """Queue a task."""
        self._queue.push(job, task)

    def place(
        self, views: list[ConnectedAgent], now: float
    ) -> list[Placement]:
        """Assign as many tasks as there is capacity for.

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
            Candidate(c.view, c.capacity - assigned[c.view])
            for c in _find_candidates(views, now, self._ahead)
            if c.capacity > assigned[c.view]
        ]
        return placements + self._place_on(queueable, only_small=True)

    def _place_on(
        self, candidates: list[Candidate], *, only_small: bool
    ) -> list[Placement]:
        """Assign tasks to candidates until their capacity is used up.

        :param candidates: the agents with free capacity.
        :param only_small: whether to assign tasks of small jobs only.
        """
        free_capacity = sum(candidate.capacity for candidate in candidates)
        if free_capacity == 0:
            return []
        self._policy.begin_round(candidates)
        placements: list[Placement] = []
        skipped: list[QueuedTask] = []
        while free_capacity > 0 and len(skipped) <= MAX_SKIPPED_TASKS:
            item = self._queue.pop(only_small=only_small)
            if item is None:
                break
            view = self._policy.choose(item.job.kind)
            if view is None:
                skipped.append(item)
                continue
            free_capacity -= 1
            placements.append(Placement(item.job, item.task, view))
        for item in skipped:
            self._queue.push(item.job, item.task)
        return placements


def _find_candidates(
    views: list[ConnectedAgent], now: float, ahead: int
) -> list[Candidate]:
    candidates = [
        Candidate(view, view.free_capacity(now, ahead)) for view in views
    ]
    return [candidate for candidate in candidates if candidate.capacity > 0]
