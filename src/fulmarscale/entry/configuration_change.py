"""Writes operators' configuration changes to the table.

While a change is pending, this entry gives its peers no lease promises. A
peer that needs them to confirm its lease therefore can't act on the old
configuration for longer than that lease. A change whose response is lost is
written again, which is idempotent, until the table reports its result.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from fulmarscale.control.actions import AnswerOperator
from fulmarscale.control.actions import ChangeResult
from fulmarscale.control.actions import WriteChange
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event

if TYPE_CHECKING:
    from fulmarscale.control.actions import RowChange
    from fulmarscale.control.lease import LeaseManager
    from fulmarscale.entry.action_buffer import ActionBuffer
    from fulmarscale.entry.inputs import ChangeRequested
    from fulmarscale.entry.inputs import ChangeWritten
    from fulmarscale.ids import RequestId

OPERATOR_TIMEOUT_S = 5.0
"""Time after which an operator is told that the result is unknown."""

REWRITE_INTERVAL_S = 0.3
"""Time before a change whose response was lost is written again."""


class ChangeState(Enum):
    """The state of a pending change."""

    WRITING = "writing"
    """The write was sent and has no response yet."""
    RESPONSE_LOST = "lost"
    """The response was lost and the change has to be written again."""


class PendingChange:
    """One change without a result.

    :param request: the operator's request; none once it was answered.
    :param change: the change.
    :param now: monotonic time of the request.
    """

    def __init__(
        self, request: RequestId, change: RowChange, now: float
    ) -> None:
        self.request: RequestId | None = request
        self.change = change
        self.state = ChangeState.WRITING
        self.requested_at = now
        self.state_changed_at = now


class ChangeManager:
    """Writes operators' changes and reports their results.

    The configuration that a change leads to is adopted before promises are
    given again.
    """

    def __init__(self, lease: LeaseManager, actions: ActionBuffer) -> None:
        self._lease = lease
        self._actions = actions
        self._pending: dict[str, PendingChange] = {}

    @property
    def pending_count(self) -> int:
        """The number of changes without a result."""
        return len(self._pending)

    def request(self, requested: ChangeRequested, now: float) -> None:
        """Start a change, or reject it if the table is unavailable."""
        if not self._lease.is_table_fresh(now):
            result = ChangeResult(ResultCode.STORE_UNAVAILABLE, 0)
            self._actions.add(AnswerOperator(requested.request, result))
            return
        change = requested.change
        pending = PendingChange(requested.request, change, now)
        self._pending[change.change_id] = pending
        self._lease.suspend_promises()
        self._actions.add(WriteChange(change))

    def receive_written(self, written: ChangeWritten, now: float) -> None:
        """Process the table's response, or the loss of the response."""
        pending = self._pending.get(written.change_id)
        if pending is None:
            return
        if written.result is None:
            pending.state = ChangeState.RESPONSE_LOST
            pending.state_changed_at = now
            return
        self._finish_change(written.change_id, pending, written.result)

    def tick(self, now: float) -> None:
        """Rewrite changes without a response, and time out operators."""
        for pending in list(self._pending.values()):
            if pending.state is ChangeState.RESPONSE_LOST:
                self._rewrite(pending, now)
            waited_s = now - pending.requested_at
            if pending.request is not None and waited_s > OPERATOR_TIMEOUT_S:
                result = ChangeResult(ResultCode.CHANGE_UNKNOWN, 0)
                self._actions.add(AnswerOperator(pending.request, result))
                pending.request = None

    def _rewrite(self, pending: PendingChange, now: float) -> None:
        if now - pending.state_changed_at < REWRITE_INTERVAL_S:
            return
        pending.state = ChangeState.WRITING
        pending.state_changed_at = now
        self._actions.add(WriteChange(pending.change))

    def _finish_change(
        self, change_id: str, pending: PendingChange, result: ChangeResult
    ) -> None:
        # Adopted before promises are given again. If the table failed now,
        # the entry would otherwise promise by the old configuration.
        if result.configuration is not None:
            configuration = result.configuration
            self._actions.extend(
                self._lease.adopt_configuration(configuration)
            )
        del self._pending[change_id]
        self._lease.resume_promises()
        accepted = result.code is ResultCode.OK
        event = Event.CHANGE_ACCEPTED if accepted else Event.CHANGE_REFUSED
        self._actions.log(
            event,
            change_id=change_id,
            code=result.code.value,
            row_version=result.row_version,
        )
        if pending.request is not None:
            self._actions.add(AnswerOperator(pending.request, result))
