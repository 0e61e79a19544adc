"""All decisions of an agent, free of input and output, clock and chance.

The agent has the last word on starting a task. It checks every condition
at the moment of the start, not when the task is received.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from fulmarscale.agent.actions import Drained
from fulmarscale.agent.actions import FollowEntries
from fulmarscale.agent.actions import Log
from fulmarscale.agent.actions import SendEntry
from fulmarscale.agent.actions import StartTask
from fulmarscale.agent.actions import StopTask
from fulmarscale.agent.inputs import DrainRequested
from fulmarscale.agent.inputs import EntryClosed
from fulmarscale.agent.inputs import EntryOpened
from fulmarscale.agent.inputs import EntryReceived
from fulmarscale.agent.inputs import ListRead
from fulmarscale.agent.inputs import TargetLost
from fulmarscale.agent.inputs import TargetSeen
from fulmarscale.agent.inputs import TaskEnded
from fulmarscale.agent.inputs import Tick
from fulmarscale.agent.links import EntryLink
from fulmarscale.agent.links import Links
from fulmarscale.agent.records import StartRecords
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

ECHO_ASK_S = 0.25
"""Time between asks for a fresher echo on one stream."""

REPORT_WAIT_S = 3.0
"""How long a draining agent holds results that no entry has taken."""

RECORD_LIMIT = 200_000
"""Start records that an agent keeps."""


class AgentCore:
    """The decisions of one agent."""

    def __init__(
        self,
        agent: AgentId,
        data_centre: DataCentreName,
        timings: Timings,
        record_limit: int = RECORD_LIMIT,
    ) -> None:
        self._agent = agent
        self._data_centre = data_centre
        self._timings = timings
        self._counters = Counters()
        self._records = StartRecords(
            timings.retention_s + timings.age_allowance_s, record_limit
        )
        self._queue = TaskQueue()
        self._links = Links()
        self._running: set[TaskRef] = set()
        self._customers: Counter[CustomerName] = Counter()
        self._entry_list = EntryList(0, ())
        self._closed = ClosedDataCentres(-1, ())
        self._echoes: dict[EntryId, float] = {}
        self._slots = 0
        self._is_target_up = False
        self._is_target_leaving = False
        self._is_drain_ordered = False
        self._is_stopping = False
        self._stopping_since = 0.0
        self._is_drained = False
        self._actions: list[AgentAction] = []

    @property
    def agent(self) -> AgentId:
        """This agent's present life."""
        return self._agent

    @property
    def counters(self) -> Counters:
        """Counts of what happened."""
        return self._counters

    @property
    def closed(self) -> ClosedDataCentres:
        """The data centres that the agent knows to be out."""
        return self._closed

    @property
    def running(self) -> int:
        """Tasks that run now."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Tasks that wait here."""
        return len(self._queue)

    @property
    def state(self) -> AgentState:
        """Whether the agent takes new tasks."""
        if self._is_target_up and not self._is_leaving:
            return AgentState.SERVING
        return AgentState.DRAINING

    @property
    def _is_leaving(self) -> bool:
        return (
            self._is_stopping
            or self._is_target_leaving
            or self._is_drain_ordered
        )

    def handle(self, event: AgentInput, now: float) -> list[AgentAction]:
        """Decide on what happened.

        :param event: what happened.
        :param now: monotonic time in seconds.
        :returns: the actions to carry out, in order.
        """
        before = self.state
        match event:
            case Tick():
                self._records.expire(now)
            case EntryOpened():
                self._open(event)
            case EntryReceived():
                self._receive(event, now)
            case EntryClosed():
                self._links.close(event.session)
            case ListRead():
                self._adopt_list(event.entry_list)
            case TaskEnded():
                self._end_task(event, now)
            case TargetSeen():
                self._see_target(event)
            case TargetLost():
                self._lose_target()
            case DrainRequested():
                self._request_drain(now)
        self._return_unstartable(now)
        self._start_ready(now)
        if self.state is not before:
            self._links.mark_all()
        self._flush(now)
        self._end_drain(now)
        actions = self._actions
        self._actions = []
        return actions

    def _open(self, event: EntryOpened) -> None:
        self._links.open(event.session, event.address)

    def _receive(self, event: EntryReceived, now: float) -> None:
        link = self._links.find(event.session)
        if link is None:
            return
        message = event.message
        link.entry = message.entry
        # A newer list or closure counts before the echo that follows it.
        if message.entry_list is not None:
            self._adopt_list(message.entry_list)
        if message.closed is not None:
            self._adopt_closed(message.closed)
        self._take_echo(message)
        if message.wants_token:
            link.must_send = True
        if message.drain is not None:
            self._is_drain_ordered = message.drain
            self._log(Event.AGENT_DRAINING)
        if self._is_fenced(message.entry):
            self._refuse_fenced(link, message)
            return
        for submission_id in message.recover:
            self._recover(link, submission_id)
        for submission_id in message.cancel:
            self._cancel(submission_id)
        for job in message.jobs:
            self._take_job(link, message.entry, job, now)

    def _take_echo(self, message: ToAgent) -> None:
        echo = message.echo
        if echo is None or echo.incarnation != self._agent.incarnation:
            return
        known = self._echoes.get(message.entry, float("-inf"))
        self._echoes[message.entry] = max(known, echo.time_s)

    def _adopt_list(self, entry_list: EntryList) -> None:
        if entry_list.version <= self._entry_list.version:
            return
        self._entry_list = entry_list
        members = {member.entry for member in entry_list.members}
        for entry in sorted(set(self._echoes) - members):
            del self._echoes[entry]
        self._actions.append(FollowEntries(entry_list.members))

    def _adopt_closed(self, closed: ClosedDataCentres) -> None:
        if closed.version > self._closed.version:
            self._closed = closed

    def _is_fenced(self, entry: EntryId) -> bool:
        return self._entry_list.find(entry) is None

    def _refuse_fenced(self, link: EntryLink, message: ToAgent) -> None:
        for job in message.jobs:
            self._counters.add(Count.FENCED_TASKS, len(job.tasks))
            indexes = [task.index for task in job.tasks]
            link.give_back(job.submission_id, indexes, NotStartedReason.FENCED)

    def _take_job(
        self, link: EntryLink, entry: EntryId, job: JobDispatch, now: float
    ) -> None:
        if self._records.is_full:
            indexes = [task.index for task in job.tasks]
            reason = NotStartedReason.RECORDS_FULL
            link.give_back(job.submission_id, indexes, reason)
            return
        self._records.note_job(job, now)
        for spec in job.tasks:
            ref = TaskRef(job.submission_id, spec.index)
            record = self._records.find(ref)
            if record is not None:
                record.entry = entry
                if record.result is not None:
                    link.results.append(record.result)
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

    def _recover(self, link: EntryLink, submission_id: SubmissionId) -> None:
        taken = self._queue.take(submission_id)
        dropped = tuple(item.spec for item in taken)
        if link.entry is None:
            return
        found = self._records.recover(submission_id, link.entry, dropped)
        link.recovered.append(found)

    def _cancel(self, submission_id: SubmissionId) -> None:
        for item in self._queue.take(submission_id):
            self._give_back(item, NotStartedReason.CANCELLED)
        for ref in sorted(self._running):
            if ref.submission_id == submission_id:
                self._actions.append(StopTask(ref))

    def _end_task(self, event: TaskEnded, now: float) -> None:
        result = event.result
        record = self._records.find(result.task)
        if record is None or record.result is not None:
            return
        self._running.discard(result.task)
        self._note_end(result.task)
        link = self._links.of(record.entry)
        if not event.reached:
            # No byte reached the target: the task provably did not start.
            self._records.withdraw(record)
            self._is_target_up = False
            self._log(Event.TARGET_UNREACHABLE)
            if link is not None:
                link.give_back(
                    result.task.submission_id,
                    [result.task.index],
                    NotStartedReason.TARGET_UNREACHABLE,
                )
            return
        record.result = result
        if link is not None:
            record.is_reported = True
            link.results.append(result)

    def _note_end(self, task: TaskRef) -> None:
        job = self._records.job(task.submission_id)
        if job is not None:
            self._customers[job.customer] -= 1

    def _see_target(self, event: TargetSeen) -> None:
        if event.leaving and not self._is_target_leaving:
            self._log(Event.TARGET_LEAVING)
        self._is_target_up = True
        self._is_target_leaving = event.leaving
        self._slots = event.slots

    def _lose_target(self) -> None:
        if self._is_target_up:
            self._log(Event.TARGET_UNREACHABLE)
        self._is_target_up = False

    def _request_drain(self, now: float) -> None:
        if self._is_stopping:
            return
        self._is_stopping = True
        self._stopping_since = now
        self._log(Event.STOP_REQUESTED)

    def _return_unstartable(self, now: float) -> None:
        """Give back queued tasks that can't start here any more."""
        reason = self._refusal()
        for item in self._queue.items():
            if reason is not None:
                self._queue.remove(item)
                self._give_back(item, reason)
            elif now >= item.deadline_at:
                self._queue.remove(item)
                self._give_back(item, NotStartedReason.DEADLINE)

    def _refusal(self) -> NotStartedReason | None:
        if self._data_centre in self._closed.names:
            return NotStartedReason.DATA_CENTRE_OUT
        if self._is_leaving:
            return NotStartedReason.DRAINING
        if not self._is_target_up:
            return NotStartedReason.TARGET_UNREACHABLE
        return None

    def _start_ready(self, now: float) -> None:
        if not len(self._queue) or len(self._running) >= self._slots:
            return
        for item in self._queue.in_turn(self._customers):
            if len(self._running) >= self._slots:
                return
            if self._is_fenced(item.entry):
                # Kept for the new owner to recover, until its deadline.
                continue
            if not self._is_fresh(item.entry, now):
                self._counters.add(Count.STALE_STARTS_HELD)
                self._want_echo(item.entry, now)
                continue
            self._queue.remove(item)
            self._start(item, now)

    def _is_fresh(self, entry: EntryId, now: float) -> bool:
        echo_at = self._echoes.get(entry, float("-inf"))
        return now - echo_at <= self._timings.freshness_s

    def _want_echo(self, entry: EntryId, now: float) -> None:
        link = self._links.of(entry)
        if link is None or now - link.asked_echo_at < ECHO_ASK_S:
            return
        link.asked_echo_at = now
        link.wants_echo = True

    def _start(self, item: QueuedTask, now: float) -> None:
        self._records.start(item.ref, item.entry, now)
        self._running.add(item.ref)
        self._customers[item.customer] += 1
        self._counters.add(Count.TASKS_STARTED)
        self._actions.append(
            StartTask(
                task=item.ref,
                kind=item.kind,
                payload=item.spec.payload,
                deadline_in_s=item.deadline_at - now,
            )
        )

    def _give_back(self, item: QueuedTask, reason: NotStartedReason) -> None:
        link = self._links.of(item.entry)
        if link is not None:
            ref = item.ref
            link.give_back(ref.submission_id, [ref.index], reason)

    def _flush(self, now: float) -> None:
        token = AgentToken(self._agent.incarnation, now)
        busy = len(self._running) + len(self._queue)
        for link in self._links.ready():
            own = self._count_own(link)
            message = FromAgent(
                token=token,
                load=AgentLoad(self._slots, busy, own),
                state=self.state,
                wants_echo=link.wants_echo,
                results=tuple(link.results),
                not_started=link.take_given_back(),
                recovered=tuple(link.recovered),
            )
            link.clear()
            self._actions.append(SendEntry(link.session, message))

    def _count_own(self, link: EntryLink) -> int:
        if link.entry is None:
            return 0
        queued = self._queue.count(link.entry)
        return queued + sum(
            1 for ref in self._running if self._is_record_of(ref, link.entry)
        )

    def _is_record_of(self, ref: TaskRef, entry: EntryId) -> bool:
        record = self._records.find(ref)
        return record is not None and record.entry == entry

    def _end_drain(self, now: float) -> None:
        if not self._is_stopping or self._is_drained or self._running:
            return
        waited_s = now - self._stopping_since
        if self._records.unreported() and waited_s < REPORT_WAIT_S:
            return
        self._is_drained = True
        self._actions.append(Drained())

    def _log(self, event: Event) -> None:
        self._actions.append(Log(event, {"agent": self._agent.name}))
