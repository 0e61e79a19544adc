"""The actions that a manager of durable jobs has decided on."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from fulmarscale.entry.durable.actions import AnswerCallers
from fulmarscale.entry.durable.actions import LogDurableDecision
from fulmarscale.entry.durable.actions import StorageOutcome

if TYPE_CHECKING:
    from fulmarscale.entry.durable.actions import ManagerAction
    from fulmarscale.entry.durable.record import DurableJobRecord
    from fulmarscale.events import Event
    from fulmarscale.runs.model import JobId


class ActionList:
    """Collects actions until they are taken."""

    def __init__(self) -> None:
        self._actions: list[ManagerAction] = []

    def add(self, *actions: ManagerAction) -> None:
        """Add actions."""
        self._actions += actions

    def answer_stored(
        self, job_id: JobId, record: DurableJobRecord | None
    ) -> None:
        """Answer submitters of a job that has a row already."""
        is_tombstone = record is not None and record.is_tombstone
        self.answer_submitters(
            job_id,
            StorageOutcome.REFUSED if is_tombstone else StorageOutcome.STORED,
        )

    def answer_submitters(
        self, job_id: JobId, outcome: StorageOutcome
    ) -> None:
        """Answer the callers that wait for a job to be stored."""
        self._actions.append(AnswerCallers(job_id, outcome, False))

    def answer_end_waiters(
        self, job_id: JobId, outcome: StorageOutcome
    ) -> None:
        """Answer the callers that wait for a job's end or cancellation."""
        self._actions.append(AnswerCallers(job_id, outcome, True))

    def log(self, event: Event, **fields: Any) -> None:
        """Log a decision."""
        self._actions.append(LogDurableDecision(event, fields))

    def take(self) -> list[ManagerAction]:
        """Return the actions and clear the list."""
        actions, self._actions = self._actions, []
        return actions
