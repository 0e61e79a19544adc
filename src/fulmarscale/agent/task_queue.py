"""Tasks that wait at an agent for a free slot or a newer echo.

Part of the agent for the project's own protocol (see `core`).
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.ids import CustomerName
    from fulmarscale.ids import EntryId
    from fulmarscale.ids import SubmissionId
    from fulmarscale.ids import TaskRef
    from fulmarscale.wire.messages import TaskSpec


class QueuedTask(NamedTuple):
    """A task waiting at the agent to be started."""

    ref: TaskRef
    """The task."""
    spec: TaskSpec
    """Its position and payload."""
    customer: CustomerName
    """The customer that submitted its job."""
    kind: str
    """Its kind."""
    entry: EntryId
    """The entry that dispatched it."""
    deadline_at: float
    """Its job's deadline, by the agent's monotonic clock."""


class TaskQueue:
    """Tasks waiting at the agent, in order of arrival."""

    def __init__(self) -> None:
        self._items: dict[TaskRef, QueuedTask] = {}

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: QueuedTask) -> None:
        """Add a task unless it is queued already."""
        self._items.setdefault(item.ref, item)

    def remove(self, item: QueuedTask) -> None:
        """Remove a task."""
        del self._items[item.ref]

    def items(self) -> list[QueuedTask]:
        """Return all tasks, oldest first."""
        return list(self._items.values())

    def in_fair_order(
        self, running: Counter[CustomerName]
    ) -> list[QueuedTask]:
        """Return all tasks, those of customers with the fewest tasks first.

        The running tasks of a customer and its tasks that were queued earlier
        count.

        :param running: the number of running tasks of each customer.
        """
        tasks_ahead = Counter(running)
        ranked = []
        for item in self._items.values():
            ranked.append((tasks_ahead[item.customer], item))
            tasks_ahead[item.customer] += 1
        ranked.sort(key=lambda pair: pair[0])
        return [item for _, item in ranked]

    def remove_submission(
        self, submission_id: SubmissionId
    ) -> list[QueuedTask]:
        """Remove all tasks of a submission and return them."""
        removed = [
            item
            for item in self._items.values()
            if item.ref.submission_id == submission_id
        ]
        for item in removed:
            del self._items[item.ref]
        return removed

    def count(self, entry: EntryId) -> int:
        """Return the number of tasks that an entry dispatched."""
        return sum(1 for i in self._items.values() if i.entry == entry)
