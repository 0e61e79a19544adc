"""Decides which tasks an agent starts, for the project's own protocol.

The agent checks every condition for a start at the moment of the start, not
when the task is received. The decisions do no input or output and use neither
a clock nor randomness: `process` passes events and the time in, and performs
the actions that come back.

`run_guard` is the counterpart for the users' platform.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from fulmarscale.agent.actions import Drained
from fulmarscale.agent.actions import Log
from fulmarscale.agent.actions import SendToEntry
from fulmarscale.agent.actions import StartTask
from fulmarscale.agent.actions import StopTask
from fulmarscale.agent.actions import SyncEntryStreams
from fulmarscale.agent.entry_streams import EntryStreams
from fulmarscale.agent.entry_streams import EntryStreamState
from fulmarscale.agent.inputs import EntryClosed
from fulmarscale.agent.inputs import EntryListRead
from fulmarscale.agent.inputs import EntryOpened
from fulmarscale.agent.inputs import EntryReceived
from fulmarscale.agent.inputs import StopRequested
from fulmarscale.agent.inputs import TargetAnnounced
from fulmarscale.agent.inputs import TargetUnavailable
from fulmarscale.agent.inputs import TaskCompleted
from fulmarscale.agent.inputs import Tick
from fulmarscale.agent.start_records import StartRecords
from fulmarscale.agent.task_queue import QueuedTask
from fulmarscale.agent.task_queue import TaskQueue
from fulmarscale.control.counters import Count
from fulmarscale.control.counters import Counters
from fulmarscale.control.entry_list import EntryList
from fulmarscale.events import Event
from fulmarscale.ids import TaskRef
from fulmarscale.wire.messages import AgentLoad
from fulmarscale.wire.messages import AgentState
from fulmarscale.wire.messages import AgentToken
from fulmarscale.wire.messages import ClosedDataCentres
from fulmarscale.wire.messages import FromAgent
from fulmarscale.wire.messages import NotStartedReason

if TYPE_CHECKING:
    from fulmarscale.agent.actions import AgentAction
    from fulmarscale.agent.inputs import AgentInput
    from fulmarscale.control.timings import Timings
    from fulmarscale.ids import AgentId
    from fulmarscale.ids import CustomerName
    from fulmarscale.ids import DataCentreName
    from fulmarscale.ids import EntryId
    from fulmarscale.ids import SubmissionId
    from fulmarscale.wire.messages import JobDispatch
    from fulmarscale.wire.messages import ToAgent

ECHO_REQUEST_INTERVAL_S = 0.25
"""Interval between requests for a newer echo on one stream."""

UNREPORTED_RESULTS_TIMEOUT_S = 3.0
"""How long after a stop request an agent waits to report results."""

MAX_START_RECORDS = 200_000
"""The default limit on the number of an agent's start records."""


class AgentCore:
    """The decisions of one agent about the tasks of its target."""

    def __init__(
        self,
        agent: AgentId,
        data_centre: DataCentreName,
        timings: Timings,
        max_records: int = MAX_START_RECORDS,
    ) -> None:
        self._agent = agent
        self._data_centre = data_centre
        self._timings = timings
        self._counters = Counters()
        self._records = StartRecords(
            timings.retention_s + timings.age_allowance_s, max_records
        )
        self._queue = TaskQueue()
        self._streams = EntryStreams()
        self._running: set[TaskRef] = set()
        self._running_by_customer: Counter[CustomerName] = Counter()
        """The number of running tasks of each customer."""
        self._entry_list = EntryList(0, ())
        self._closed_data_centres = ClosedDataCentres(-1, ())
        """The closed data centres, in which nothing may start."""
        self._echoes: dict[EntryId, float] = {}
        """When the newest token that each entry echoed was made."""
        self._slots = 0
        """The number of tasks that the target runs at once."""
        self._is_target_up = False
        self._is_target_leaving = False
        self._is_drain_requested = False
        """Whether an entry passed on an operator's request to drain."""
        self._is_stopping = False
        """Whether the process was asked to stop."""
        self._stopping_since = 0.0
        self._is_drained = False
        """Whether `Drained` was returned."""
        self._actions: list[AgentAction] = []

    @property
    def agent(self) -> AgentId:
        """The name and incarnation of this agent."""
        return self._agent

    @property
    def counters(self) -> Counters:
        """The agent's event counters."""
        return self._counters

    @property
    def closed_data_centres(self) -> ClosedDataCentres:
        """The newest list of closed data centres that was received."""
        return self._closed_data_centres

    @property
    def running(self) -> int:
        """The number of running tasks."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """The number of queued tasks."""
        return len(self._queue)

    @property
    def state(self) -> AgentState:
        """Whether the agent accepts new tasks."""
        if self._is_target_up and not self._is_draining:
            return AgentState.SERVING
        return AgentState.DRAINING

    @property
    def _is_draining(self) -> bool:
        return (
            self._is_stopping
            or self._is_target_leaving
            or self._is_drain_requested
        )

    def handle(self, event: AgentInput, now: float) -> list[AgentAction]:
        """Handle an event.

        :param event: the event.
        :param now: monotonic time in seconds.
        :returns: the actions to perform, in order.
        """
        before = self.state
        match event:
            case Tick():
                self._records.expire(now)
            case EntryOpened():
                self._open_stream(event)
            case EntryReceived():
                self._receive(event, now)
            case EntryClosed():
                self._streams.close(event.session)
            case EntryListRead():
                self._adopt_entry_list(event.entry_list)
            case TaskCompleted():
                self._complete_task(event, now)
            case TargetAnnounced():
                self._update_target(event)
            case TargetUnavailable():
                self._mark_target_unreachable()
            case StopRequested():
                self._begin_stopping(now)
        self._reject_unstartable(now)
        self._start_queued(now)
        if self.state is not before:
            self._streams.mark_all_for_sending()
        self._send_pending(now)
        self._check_drained(now)
        actions = self._actions
        self._actions = []
        return actions

    def _open_stream(self, event: EntryOpened) -> None:
        self._streams.open(event.session, event.address)

    def _receive(self, event: EntryReceived, now: float) -> None:
        stream = self._streams.find(event.session)
        if stream is None:
            return
        message = event.message
        stream.entry = message.entry
        # Adopts a newer entry list or closure before the echo in the same
        # message takes effect.
        if message.entry_list is not None:
            self._adopt_entry_list(message.entry_list)
        if message.closed_data_centres is not None:
            self._adopt_closed_data_centres(message.closed_data_centres)
        self._record_echo(message)
        if message.wants_token:
            stream.must_send = True
        if message.drain is not None:
            self._is_drain_requested = message.drain
            self._log(Event.AGENT_DRAINING)
        if self._is_fenced(message.entry):
            self._reject_fenced(stream, message)
            return
        for submission_id in message.recover:
            self._recover(stream, submission_id)
        for submission_id in message.cancel:
            self._cancel(submission_id)
        for job in message.jobs:
            self._accept_job(stream, message.entry, job, now)

    def _record_echo(self, message: ToAgent) -> None:
        echo = message.echo
        if echo is None or echo.incarnation != self._agent.incarnation:
            return
        echoed_at = self._echoes.get(message.entry, float("-inf"))
        self._echoes[message.entry] = max(echoed_at, echo.time_s)

    def _adopt_entry_list(self, entry_list: EntryList) -> None:
        if entry_list.version <= self._entry_list.version:
            return
        self._entry_list = entry_list
        members = {member.entry for member in entry_list.members}
        for entry in sorted(set(self._echoes) - members):
            del self._echoes[entry]
        self._actions.append(SyncEntryStreams(entry_list.members))

    def _adopt_closed_data_centres(self, closed: ClosedDataCentres) -> None:
        if closed.version > self._closed_data_centres.version:
            self._closed_data_centres = closed

    def _is_fenced(self, entry: EntryId) -> bool:
        return self._entry_list.find(entry) is None

    def _reject_fenced(
        self, stream: EntryStreamState, message: ToAgent
    ) -> None:
        for job in message.jobs:
            self._counters.add(Count.FENCED_TASKS, len(job.tasks))
            indexes = [task.index for task in job.tasks]
            stream.add_not_started(
                job.submission_id, indexes, NotStartedReason.FENCED
            )

    def _accept_job(
        self,
        stream: EntryStreamState,
        entry: EntryId,
        job: JobDispatch,
        now: float,
    ) -> None:
        if self._records.is_full:
            indexes = [task.index for task in job.tasks]
            reason = NotStartedReason.RECORDS_FULL
            stream.add_not_started(job.submission_id, indexes, reason)
            return
        self._records.add_job(job, now)
        for spec in job.tasks:
            ref = TaskRef(job.submission_id, spec.index)
            record = self._records.find(ref)
            if record is not None:
                record.entry = entry
                if record.result is not None:
                    stream.results.append(record.result)
                continue
            self._queue.push(
                QueuedTask(
                    ref=ref,
                    spec=spec,
                    customer=job.customer,
                    kind=job.kind,
                    entry=entry,
                    deadline_at=now + job.deadline_in_s,
                )
            )

    def _recover(
        self, stream: EntryStreamState, submission_id: SubmissionId
    ) -> None:
        removed = self._queue.remove_submission(submission_id)
        dropped = tuple(item.spec for item in removed)
        if stream.entry is None:
            return
        recovered = self._records.recover(submission_id, stream.entry, dropped)
        stream.recovered.append(recovered)

    def _cancel(self, submission_id: SubmissionId) -> None:
        for item in self._queue.remove_submission(submission_id):
            self._report_not_started(item, NotStartedReason.CANCELLED)
        for ref in sorted(self._running):
            if ref.submission_id == submission_id:
                self._actions.append(StopTask(ref))

    def _complete_task(self, event: TaskCompleted, now: float) -> None:
        result = event.result
        record = self._records.find(result.task)
        if record is None or record.result is not None:
            return
        self._running.discard(result.task)
        self._decrement_customer(result.task)
        stream = self._streams.find_by_entry(record.entry)
        if not event.is_target_reached:
            # No byte reached the target, so the task cannot have started.
            self._records.remove_unstarted(record)
            self._is_target_up = False
            self._log(Event.TARGET_UNREACHABLE)
            if stream is not None:
                stream.add_not_started(
                    result.task.submission_id,
                    [result.task.index],
                    NotStartedReason.TARGET_UNREACHABLE,
                )
            return
        record.result = result
        if stream is not None:
            record.is_reported = True
            stream.results.append(result)

    def _decrement_customer(self, task: TaskRef) -> None:
        job = self._records.find_job(task.submission_id)
        if job is not None:
            self._running_by_customer[job.customer] -= 1

    def _update_target(self, event: TargetAnnounced) -> None:
        if event.is_leaving and not self._is_target_leaving:
            self._log(Event.TARGET_LEAVING)
        self._is_target_up = True
        self._is_target_leaving = event.is_leaving
        self._slots = event.slots

    def _mark_target_unreachable(self) -> None:
        if self._is_target_up:
            self._log(Event.TARGET_UNREACHABLE)
        self._is_target_up = False

    def _begin_stopping(self, now: float) -> None:
        if self._is_stopping:
            return
        self._is_stopping = True
        self._stopping_since = now
        self._log(Event.STOP_REQUESTED)

    def _reject_unstartable(self, now: float) -> None:
        """Remove queued tasks that can't start here and report them back."""
        reason = self._rejection_reason()
        for item in self._queue.items():
            if reason is not None:
                self._queue.remove(item)
                self._report_not_started(item, reason)
            elif now >= item.deadline_at:
                self._queue.remove(item)
                self._report_not_started(item, NotStartedReason.DEADLINE)

    def _rejection_reason(self) -> NotStartedReason | None:
        if self._data_centre in self._closed_data_centres.names:
            return NotStartedReason.DATA_CENTRE_OUT
        if self._is_draining:
            return NotStartedReason.DRAINING
        if not self._is_target_up:
            return NotStartedReason.TARGET_UNREACHABLE
        return None

    def _start_queued(self, now: float) -> None:
        if not len(self._queue) or len(self._running) >= self._slots:
            return
        for item in self._queue.in_fair_order(self._running_by_customer):
            if len(self._running) >= self._slots:
                return
            if self._is_fenced(item.entry):
                # Stays queued until its deadline, so that the new owner can
                # recover it.
                continue
            if not self._is_fresh(item.entry, now):
                self._counters.add(Count.STALE_STARTS_HELD)
                self._request_echo(item.entry, now)
                continue
            self._queue.remove(item)
            self._start(item, now)

    def _is_fresh(self, entry: EntryId, now: float) -> bool:
        echoed_at = self._echoes.get(entry, float("-inf"))
        return now - echoed_at <= self._timings.freshness_s

    def _request_echo(self, entry: EntryId, now: float) -> None:
        stream = self._streams.find_by_entry(entry)
        if (
            stream is None
            or now - stream.echo_requested_at < ECHO_REQUEST_INTERVAL_S
        ):
            return
        stream.echo_requested_at = now
        stream.wants_echo = True

    def _start(self, item: QueuedTask, now: float) -> None:
        self._records.record_start(item.ref, item.entry, now)
        self._running.add(item.ref)
        self._running_by_customer[item.customer] += 1
        self._counters.add(Count.TASKS_STARTED)
        self._actions.append(
            StartTask(
                task=item.ref,
                kind=item.kind,
                payload=item.spec.payload,
                deadline_in_s=item.deadline_at - now,
            )
        )

    def _report_not_started(
        self, item: QueuedTask, reason: NotStartedReason
    ) -> None:
        stream = self._streams.find_by_entry(item.entry)
        if stream is not None:
            ref = item.ref
            stream.add_not_started(ref.submission_id, [ref.index], reason)

    def _send_pending(self, now: float) -> None:
        token = AgentToken(self._agent.incarnation, now)
        busy = len(self._running) + len(self._queue)
        for stream in self._streams.list_pending():
            entry_tasks = self._count_tasks_of(stream)
            message = FromAgent(
                token=token,
                load=AgentLoad(self._slots, busy, entry_tasks),
                state=self.state,
                wants_echo=stream.wants_echo,
                results=tuple(stream.results),
                not_started=stream.list_not_started(),
                recovered=tuple(stream.recovered),
            )
            stream.clear()
            self._actions.append(SendToEntry(stream.session, message))

    def _count_tasks_of(self, stream: EntryStreamState) -> int:
        if stream.entry is None:
            return 0
        queued = self._queue.count(stream.entry)
        return queued + sum(
            1
            for ref in self._running
            if self._is_started_for(ref, stream.entry)
        )

    def _is_started_for(self, ref: TaskRef, entry: EntryId) -> bool:
        record = self._records.find(ref)
        return record is not None and record.entry == entry

    def _check_drained(self, now: float) -> None:
        if not self._is_stopping or self._is_drained or self._running:
            return
        waited_s = now - self._stopping_since
        if (
            self._records.count_unreported()
            and waited_s < UNREPORTED_RESULTS_TIMEOUT_S
        ):
            return
        self._is_drained = True
        self._actions.append(Drained())

    def _log(self, event: Event) -> None:
        self._actions.append(Log(event, {"agent": self._agent.name}))
