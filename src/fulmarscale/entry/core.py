"""The state machine of an entry, without I/O, clock or own randomness.

A driver passes in events with the monotonic time, and carries out the
actions that are returned. The same code runs in the processes and under
virtual time in the tests. It serves the project's own HTTP interface
(`/v1/jobs`); the dispatcher for the users' platform is in `entry.jobs`.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.control.actions import SendPeer
from fulmarscale.control.counters import Count
from fulmarscale.control.counters import Counters
from fulmarscale.control.lease import LeaseManager
from fulmarscale.control.submission_history import HistoryAction
from fulmarscale.control.submission_history import HistoryManager
from fulmarscale.entry.action_buffer import ActionBuffer
from fulmarscale.entry.admission import AdmissionControl
from fulmarscale.entry.call_routing import CallRouter
from fulmarscale.entry.configuration_change import ChangeManager
from fulmarscale.entry.graceful_shutdown import GracefulShutdown
from fulmarscale.entry.graceful_shutdown import ShutdownState
from fulmarscale.entry.inputs import AgentAnnounced
from fulmarscale.entry.inputs import AgentClosed
from fulmarscale.entry.inputs import AgentReceived
from fulmarscale.entry.inputs import CallReceived
from fulmarscale.entry.inputs import ChangeRequested
from fulmarscale.entry.inputs import ChangeWritten
from fulmarscale.entry.inputs import DrainRequested
from fulmarscale.entry.inputs import EntryForgotten
from fulmarscale.entry.inputs import PeerReceived
from fulmarscale.entry.inputs import ShutdownRequested
from fulmarscale.entry.inputs import TableRead
from fulmarscale.entry.inputs import Tick
from fulmarscale.entry.placement import LeastLoadedPolicy
from fulmarscale.entry.placement import PlacementPolicy
from fulmarscale.entry.placement import TaskScheduler
from fulmarscale.entry.quota import QuotaManager
from fulmarscale.entry.records import SubmissionRecords
from fulmarscale.entry.recovery import JobRecovery
from fulmarscale.entry.run_times import RunTimes
from fulmarscale.entry.task_dispatch import TaskDispatcher
from fulmarscale.events import Event
from fulmarscale.ids import EntryId
from fulmarscale.ids import generate_submission_id
from fulmarscale.wire.messages import ForwardRequest
from fulmarscale.wire.messages import ForwardResponse
from fulmarscale.wire.messages import HandOver
from fulmarscale.wire.messages import HandOverAck
from fulmarscale.wire.messages import HistoryQuery
from fulmarscale.wire.messages import HistoryResponse
from fulmarscale.wire.messages import JoinAck
from fulmarscale.wire.messages import JoinRequest
from fulmarscale.wire.messages import LeasePromise
from fulmarscale.wire.messages import LeasePromiseRequest
from fulmarscale.wire.messages import QuotaGrant
from fulmarscale.wire.messages import QuotaLevelQuery
from fulmarscale.wire.messages import QuotaLevelResponse
from fulmarscale.wire.messages import QuotaRequest

if TYPE_CHECKING:
    from random import Random

    from fulmarscale.control.actions import Action
    from fulmarscale.control.entry_list import Member
    from fulmarscale.control.timings import Timings
    from fulmarscale.entry.inputs import EntryInput
    from fulmarscale.entry.job import OwnedJob
    from fulmarscale.entry.limits import EntryLimits
    from fulmarscale.ids import SubmissionId

MAX_MINT_ATTEMPTS = 64
"""The most ids drawn to find one that this entry can start at once."""


class EntryCore:
    """The state machine of one entry.

    :param member: this entry's row in the entry list.
    :param timings: the durations that all processes of the site share.
    :param limits: limits of memory and of queueing.
    :param random: the source of random numbers.
    :param policy: chooses the agent for a task; by default the agent with
        the least load per slot.
    """

    def __init__(
        self,
        member: Member,
        timings: Timings,
        limits: EntryLimits,
        random: Random,
        policy: PlacementPolicy | None = None,
    ) -> None:
        self._timings = timings
        self._random = random
        self._counters = Counters()
        self._actions = ActionBuffer(self._counters)
        self._lease = LeaseManager(member, timings, random)
        self._submission_history = HistoryManager(self._lease, timings)
        self._quota = QuotaManager(
            self._lease, self._submission_history, timings, self._actions
        )
        self._records = SubmissionRecords(timings, limits.records)
        self._run_times = RunTimes()
        self._scheduler = TaskScheduler(
            policy or LeastLoadedPolicy(random), limits.ahead, limits.small_job
        )
        self._changes = ChangeManager(self._lease, self._actions)
        self._dispatcher = TaskDispatcher(
            lease=self._lease,
            records=self._records,
            scheduler=self._scheduler,
            run_times=self._run_times,
            actions=self._actions,
            counters=self._counters,
            finish=self._finish_job,
        )
        self._recovery = JobRecovery(
            records=self._records,
            dispatcher=self._dispatcher,
            scheduler=self._scheduler,
            timings=timings,
            actions=self._actions,
            counters=self._counters,
        )
        self._admission = AdmissionControl(
            lease=self._lease,
            quota=self._quota,
            dispatcher=self._dispatcher,
            scheduler=self._scheduler,
            run_times=self._run_times,
            limits=limits,
            actions=self._actions,
            finish=self._finish_job,
        )
        self._call_router = CallRouter(
            lease=self._lease,
            submission_history=self._submission_history,
            admission=self._admission,
            records=self._records,
            recovery=self._recovery,
            dispatcher=self._dispatcher,
            timings=timings,
            actions=self._actions,
            counters=self._counters,
        )
        self._shutdown = GracefulShutdown(
            lease=self._lease,
            submission_history=self._submission_history,
            quota=self._quota,
            records=self._records,
            call_router=self._call_router,
            changes=self._changes,
            actions=self._actions,
        )
        self._received_parts: dict[HandOverKey, set[int]]
        self._received_parts = defaultdict(set)
        """The numbers of the parts received of each hand-over."""
        self._current_entry = member.entry
        """The incarnation that the state above belongs to."""
        self._had_lease = False

    @property
    def lease(self) -> LeaseManager:
        """The entry's lease, with its entry list and configuration."""
        return self._lease

    @property
    def counters(self) -> Counters:
        """The event counters."""
        return self._counters

    @property
    def dispatcher(self) -> TaskDispatcher:
        """The sessions with agents, for status and metrics."""
        return self._dispatcher

    @property
    def queued_tasks(self) -> int:
        """The number of tasks queued for an agent, as an upper bound."""
        return self._scheduler.queued_count

    @property
    def record_count(self) -> int:
        """The number of submissions that the entry has a record of."""
        return len(self._records)

    def is_ready(self, now: float) -> bool:
        """Return whether the load balancer may send callers to this entry."""
        if self._shutdown.state is not ShutdownState.SERVING:
            return False
        closed = self._lease.configuration.closed_data_centres
        if self._lease.member.data_centre in closed:
            return False
        return self._lease.is_held(now)

    def mint(self, count: int, now: float) -> list[SubmissionId]:
        """Make submission ids, if possible ones this entry can start at once.

        :param count: the number of ids.
        :param now: monotonic time.
        :returns: the ids; an empty list before the platform's time is known.
        """
        wall_time_s = self._lease.wall_time_s(now)
        if wall_time_s is None:
            return []
        return [self._mint_id(wall_time_s, now) for _ in range(count)]

    def handle(self, event: EntryInput, now: float) -> list[Action]:
        """Process an event.

        :param event: the event.
        :param now: monotonic time in seconds.
        :returns: the actions to carry out, in order.
        """
        match event:
            case Tick():
                self._tick(now)
            case TableRead():
                self._receive_snapshot(event, now)
            case PeerReceived():
                self._receive_peer(event, now)
            case AgentAnnounced():
                self._dispatcher.open_session(
                    event.session, event.announce, now
                )
            case AgentReceived():
                self._receive_agent(event, now)
            case AgentClosed():
                self._dispatcher.close_session(event.session)
            case CallReceived():
                self._call_router.receive_call(event, now)
            case ChangeRequested():
                self._changes.request(event, now)
            case ChangeWritten():
                self._changes.receive_written(event, now)
            case ShutdownRequested():
                self._shutdown.begin()
            case DrainRequested():
                self._dispatcher.set_draining(
                    event.agent, now, draining=event.draining
                )
            case EntryForgotten():
                self._lease.skip_join_ack(event.name)
        self._apply_lease_changes(now)
        return self._actions.drain()

    def _tick(self, now: float) -> None:
        self._actions.extend(self._lease.tick(now))
        self._changes.tick(now)
        self._call_router.tick(now)
        self._shutdown.tick(now)
        self._dispatcher.echo_refresher.tick(now)
        self._dispatcher.place(now)

    def _receive_snapshot(self, event: TableRead, now: float) -> None:
        self._actions.extend(self._lease.receive_snapshot(event.snapshot, now))

    def _receive_agent(self, event: AgentReceived, now: float) -> None:
        view = self._dispatcher.view(event.session)
        self._dispatcher.receive(event.session, event.message, now)
        if view is not None:
            for recovered_job in event.message.recovered:
                self._recovery.receive(view, recovered_job, now)
        self._dispatcher.place(now)

    def _receive_peer(self, event: PeerReceived, now: float) -> None:
        message = event.message
        if isinstance(message, JoinRequest):
            actions = self._lease.receive_join_request(message, now)
            self._actions.extend(actions)
            return
        if event.to != self._lease.entry:
            self._counters.add(Count.WASTED_PEER)
            return
        sender = event.sender
        match message:
            case LeasePromiseRequest():
                self._actions.add(
                    self._lease.receive_promise_request(sender, message, now)
                )
            case LeasePromise():
                self._actions.extend(self._lease.receive_promise(message, now))
            case JoinAck():
                self._lease.receive_join_ack(message)
            case ForwardRequest():
                self._call_router.receive_forward(sender, message, now)
            case ForwardResponse():
                self._call_router.receive_forward_response(message, now)
            case HistoryQuery():
                self._call_router.receive_history_query(sender, message, now)
            case HistoryResponse():
                self._call_router.receive_history_response(message, now)
            case HandOver():
                self._receive_hand_over(sender, message, now)
            case HandOverAck():
                self._shutdown.receive_ack(message)
            case QuotaRequest():
                self._admission.receive_quota_request(sender, message, now)
            case QuotaGrant():
                self._admission.receive_quota_grant(message, now)
            case QuotaLevelQuery():
                self._quota.receive_level_query(sender, message, now)
            case QuotaLevelResponse():
                self._quota.receive_level_response(message)

    def _receive_hand_over(
        self, sender: Member, message: HandOver, now: float
    ) -> None:
        for record in message.records:
            self._records.add_handed_over(record, now)
        key = HandOverKey(message.departing, message.list_version)
        parts = self._received_parts[key]
        parts.add(message.part)
        if len(parts) < message.part_count:
            return
        self._submission_history.receive_hand_over(
            message.departing, message.list_version, message.known_since_s
        )
        self._quota.receive_levels(message.list_version, message.quotas)
        self._actions.log(
            Event.HAND_OVER_RECEIVED, entry=message.departing.name
        )
        ack = HandOverAck(
            message.departing, message.list_version, self._lease.entry
        )
        self._actions.add(SendPeer(sender, ack))

    def _apply_lease_changes(self, now: float) -> None:
        """Apply changes of the lease, entry list and configuration."""
        if self._lease.entry != self._current_entry:
            self._begin_incarnation(now)
        self._dispatcher.propagate_changes(now)
        self._dispatcher.echo_refresher.send_due_echoes(now)
        has_lease = self._lease.is_held(now)
        if has_lease != self._had_lease:
            event = Event.LEASE_GAINED if has_lease else Event.LEASE_LOST
            self._actions.log(event, entry=self._lease.entry.name)
            self._had_lease = has_lease

    def _begin_incarnation(self, now: float) -> None:
        self._current_entry = self._lease.entry
        self._records.clear()
        self._scheduler.clear()
        self._submission_history.clear()
        self._quota.clear()
        self._recovery.clear()
        self._call_router.clear()
        self._received_parts.clear()
        self._dispatcher.clear(now)

    def _finish_job(self, job: OwnedJob, now: float) -> None:
        self._call_router.answer_callers(job, now)

    def _mint_id(self, wall_time_s: float, now: float) -> SubmissionId:
        submission_id = generate_submission_id(wall_time_s, self._random)
        for _ in range(MAX_MINT_ATTEMPTS):
            decision = self._submission_history.decide(submission_id, now)
            if decision.action is HistoryAction.NEVER_STARTED:
                break
            submission_id = generate_submission_id(wall_time_s, self._random)
        return submission_id


class HandOverKey(msgspec.Struct, frozen=True):
    """The key of a hand-over whose parts are being received."""

    departing: EntryId
    """The entry that is shutting down."""
    list_version: int
    """The version of the entry list without that entry."""
