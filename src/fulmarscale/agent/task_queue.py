"""Tasks that wait at an agent for a slot or a fresher echo."""

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
    """A task that waits."""

    ref: TaskRef
    """The task."""
    spec: TaskSpec
    """Its payload."""
    customer: CustomerName
    """The customer that submitted its job."""
    kind: str
    """Its kind."""
    entry: EntryId
    """The entry that sent it."""
    deadline_at: float
    """Monotonic time of its job's deadline."""


class TaskQueue:
    """Waiting tasks in the order of their arrival."""

    def __init__(self) -> None:
        self._items: dict[TaskRef, QueuedTask] = {}

    def __len__(self) -> int:
        return len(self._items)

    def push(self, item: QueuedTask) -> None:
        """Add a task; one that waits already is not added twice."""
        self._items.setdefault(item.ref, item)

    def remove(self, item: QueuedTask) -> None:
        """Take a task out."""
        del self._items[item.ref]

    def items(self) -> list[QueuedTask]:
        """List all tasks, oldest first."""
        return list(self._items.values())

    def in_fair_order(
        self, running: Counter[CustomerName]
    ) -> list[QueuedTask]:
        """List all tasks, those of the least busy customers first.

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
        """Take out all tasks of a submission."""
        taken = [
            item
            for item in self._items.values()
            if item.ref.submission_id == submission_id
        ]
        for item in taken:
            del self._items[item.ref]
        return taken

    def count(self, entry: EntryId) -> int:
        """Count the tasks that an entry sent."""
        return sum(1 for i in self._items.values() if i.entry == entry)
