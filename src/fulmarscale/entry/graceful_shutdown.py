"""Graceful shutdown of an entry.

The entry finishes its open jobs, hands its records and quota levels over to
the entries that will own them, and then removes itself from the entry list.
"""

from __future__ import annotations

from collections import defaultdict
from enum import Enum
from typing import TYPE_CHECKING

from fulmarscale.control.actions import EndProcess
from fulmarscale.control.actions import SendPeer
from fulmarscale.control.entry_list import EntryList
from fulmarscale.events import Event
from fulmarscale.wire.messages import HandOver

if TYPE_CHECKING:
    from fulmarscale.control.entry_list import Member
    from fulmarscale.control.lease import LeaseManager
    from fulmarscale.control.submission_history import HistoryManager
    from fulmarscale.entry.action_buffer import ActionBuffer
    from fulmarscale.entry.call_routing import CallRouter
    from fulmarscale.entry.configuration_change import ChangeManager
    from fulmarscale.entry.quota import QuotaManager
    from fulmarscale.entry.records import SubmissionRecords
    from fulmarscale.ids import EntryId
    from fulmarscale.wire.messages import AnsweredRecord
    from fulmarscale.wire.messages import HandOverAck
    from fulmarscale.wire.messages import QuotaLevel

RECORDS_PER_PART = 500
"""The number of records in one part of a hand-over."""

RESEND_S = 0.5
"""Time between attempts to hand over or to leave the entry list."""

HAND_OVER_TIMEOUT_S = 5.0
"""Time that successors have to acknowledge the hand-over.

After it the entry leaves the list without their acknowledgements.
"""


class ShutdownState(Enum):
    """The phase of a graceful shutdown."""

    SERVING = "serving"
    """No shutdown was requested."""
    FINISHING = "finishing"
    """Open jobs and configuration changes are being finished."""
    HANDING_OVER = "handing_over"
    """Records are being handed over, then remaining calls answered."""
    LEFT = "left"
    """The entry has left the list and the process may end."""


class GracefulShutdown:
    """Takes this entry out of service after its open requests are answered.

    Requests still open 2 x HAND_OVER_TIMEOUT_S after the hand-over began are
    dropped.
    """

    def __init__(
        self,
        lease: LeaseManager,
        submission_history: HistoryManager,
        quota: QuotaManager,
        records: SubmissionRecords,
        call_router: CallRouter,
        changes: ChangeManager,
        actions: ActionBuffer,
    ) -> None:
        self._lease = lease
        self._submission_history = submission_history
        self._quota = quota
        self._records = records
        self._call_router = call_router
        self._changes = changes
        self._actions = actions
        self._state = ShutdownState.SERVING
        self._next_list_version = 0
        """The version of the entry list without this entry."""
        self._acknowledged_by: set[EntryId] = set()
        self._hand_over_began_at = 0.0
        self._sent_at = float("-inf")

    @property
    def state(self) -> ShutdownState:
        """The phase of the shutdown."""
        return self._state

    def begin(self) -> None:
        """Start the shutdown and stop accepting jobs."""
        if self._state is not ShutdownState.SERVING:
            return
        self._state = ShutdownState.FINISHING
        self._lease.begin_shutdown()
        self._call_router.stop_accepting()

    def receive_ack(self, ack: HandOverAck) -> None:
        """Record a successor's acknowledgement of the hand-over."""
        if (
            ack.departing == self._lease.entry
            and ack.list_version == self._next_list_version
        ):
            self._acknowledged_by.add(ack.receiver)

    def tick(self, now: float) -> None:
        """Advance the shutdown."""
        if self._state is ShutdownState.FINISHING:
            self._wait_for_open_work(now)
        if self._state is ShutdownState.HANDING_OVER:
            self._hand_over(now)

    def _wait_for_open_work(self, now: float) -> None:
        if self._records.open_jobs or self._changes.pending_count:
            return
        self._state = ShutdownState.HANDING_OVER
        self._quota.stop()
        self._hand_over_began_at = now

    def _hand_over(self, now: float) -> None:
        if not self._lease.is_member:
            self._stop_when_calls_end(now)
            return
        current = self._lease.entry_list
        if current.version + 1 != self._next_list_version:
            self._next_list_version = current.version + 1
            self._acknowledged_by.clear()
            self._sent_at = float("-inf")
        if now - self._sent_at < RESEND_S and not self._is_acknowledged(
            current
        ):
            return
        is_overdue = now - self._hand_over_began_at > HAND_OVER_TIMEOUT_S
        if self._is_acknowledged(current) or is_overdue:
            if now - self._sent_at >= RESEND_S or not is_overdue:
                self._sent_at = now
                self._actions.extend(self._lease.leave_list())
            return
        self._sent_at = now
        self._send_records(current, now)

    def _is_acknowledged(self, current: EntryList) -> bool:
        successors = current.without(self._lease.entry)
        return all(
            member.entry in self._acknowledged_by for member in successors
        )

    def _stop_when_calls_end(self, now: float) -> None:
        is_overdue = now - self._hand_over_began_at > 2 * HAND_OVER_TIMEOUT_S
        if self._call_router.open_call_count and not is_overdue:
            return
        self._state = ShutdownState.LEFT
        self._actions.log(Event.ENTRY_LEFT, entry=self._lease.entry.name)
        self._actions.add(EndProcess())

    def _send_records(self, current: EntryList, now: float) -> None:
        members = current.without(self._lease.entry)
        next_list = EntryList(self._next_list_version, members)
        by_owner: dict[Member, list[AnsweredRecord]] = defaultdict(list)
        for record in self._records.answered_records():
            owner = next_list.owner(record.answer.submission_id)
            if owner is not None:
                by_owner[owner].append(record)
        for member in members:
            quotas = tuple(
                quota_level
                for quota_level in self._quota.levels(now)
                if self._quota.holder(quota_level.customer, next_list)
                == member
            )
            self._send_parts(member, by_owner[member], quotas)

    def _send_parts(
        self,
        to: Member,
        records: list[AnsweredRecord],
        quotas: tuple[QuotaLevel, ...],
    ) -> None:
        part_count = max(1, -(-len(records) // RECORDS_PER_PART))
        known_since_s = self._submission_history.known_since_for_all_s()
        for part in range(part_count):
            first = part * RECORDS_PER_PART
            message = HandOver(
                departing=self._lease.entry,
                list_version=self._next_list_version,
                known_since_s=known_since_s,
                records=tuple(records[first : first + RECORDS_PER_PART]),
                quotas=quotas,
                part=part,
                part_count=part_count,
            )
            self._actions.add(SendPeer(to, message))
