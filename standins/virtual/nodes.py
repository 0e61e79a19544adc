"""Processes of a virtual site: entries, and agents with their targets.

A node passes each event to the real decision code (`EntryCore`, `AgentCore`)
and performs the actions that it returns on the simulated network and table.
"""

from __future__ import annotations

from collections import deque
from typing import Any
from typing import TYPE_CHECKING

from fulmarscale.agent.actions import SendToEntry
from fulmarscale.agent.actions import StartTask
from fulmarscale.agent.actions import StopTask
from fulmarscale.agent.actions import SyncEntryStreams
from fulmarscale.agent.core import AgentCore
from fulmarscale.agent.inputs import EntryListRead
from fulmarscale.agent.inputs import TargetAnnounced
from fulmarscale.agent.inputs import TaskCompleted
from fulmarscale.agent.inputs import Tick as AgentTick
from fulmarscale.agent.target_client import START_DELIVERY_LIMIT_S
from fulmarscale.control.actions import AnswerCaller
from fulmarscale.control.actions import AnswerOperator
from fulmarscale.control.actions import CloseSession
from fulmarscale.control.actions import EndProcess
from fulmarscale.control.actions import ReadTable
from fulmarscale.control.actions import SendAgent
from fulmarscale.control.actions import SendPeer
from fulmarscale.control.actions import WriteChange
from fulmarscale.control.actions import WriteEntryList
from fulmarscale.entry.core import EntryCore
from fulmarscale.entry.inputs import ChangeWritten
from fulmarscale.entry.inputs import PeerReceived
from fulmarscale.entry.inputs import TableRead
from fulmarscale.entry.inputs import Tick
from fulmarscale.errors import InvariantError
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode
from fulmarscale.wire.messages import TaskResult
from standins.virtual.history import ObservedAnswer
from standins.virtual.history import ObservedStart

if TYPE_CHECKING:
    from fulmarscale.control.actions import Action
    from fulmarscale.control.entry_list import Member
    from fulmarscale.ids import TaskRef
    from standins.virtual.site import VirtualSite

TICK_S = 0.1
"""Time between two ticks of a node."""

TABLE_NODE = "store"
"""Name of the table as a node of the network."""

WRITE_TIMEOUT_S = 1.0
"""Time after which an entry treats the result of a change as unknown."""


class Node:
    """A simulated process with its own clock; it can be paused and killed."""

    def __init__(self, site: VirtualSite, name: str) -> None:
        self.site = site
        self.name = name
        self.is_alive = True
        self.paused_until = 0.0
        """Virtual time until which the process is paused."""
        self._clock_start_s = site.random.uniform(0, 1000)
        self._clock_rate = site.random.uniform(*site.options.clock_rates)
        self._backlog: deque[tuple[Any, ...]] = deque()
        """Calls, with their arguments, that wait for the pause to end."""

    @property
    def clock(self) -> float:
        """The node's monotonic clock in seconds."""
        return self._clock_start_s + self._clock_rate * self.site.now

    def pause(self, duration_s: float) -> None:
        """Pause the process; a running pause is only ever prolonged."""
        until = self.site.now + duration_s
        if until > self.paused_until:
            self.paused_until = until
            self.site.scheduler.call_at(until, self._resume)

    def receive(self, event: Any) -> None:
        """Handle an event; while the process is paused, queue it."""
        if not self.is_alive:
            return
        if self.paused_until > self.site.now or self._backlog:
            self._backlog.append((self._handle, event))
            return
        self._handle(event)

    def tick(self) -> None:
        """Handle a tick and schedule the next one, until the process ends."""
        if not self.is_alive:
            return
        self.receive(self._make_tick())
        self.site.scheduler.call_later(TICK_S, self.tick)

    def _make_tick(self) -> Any:
        raise NotImplementedError

    def _decide(self, event: Any) -> list[Any]:
        raise NotImplementedError

    def _perform(self, action: Any, decided_at: float) -> None:
        raise NotImplementedError

    def _resume(self) -> None:
        while self._backlog and self.is_alive:
            if self.paused_until > self.site.now:
                return
            call, *args = self._backlog.popleft()
            call(*args)

    def _handle(self, event: Any) -> None:
        decided_at = self.clock
        try:
            actions = self._decide(event)
        except InvariantError as error:
            self.site.history.runtime_violations.append(
                f"{self.name}: {error}"
            )
            self.is_alive = False
            return
        for position, action in enumerate(actions):
            if self.site.draw_pause(action):
                # The process is paused between a decision and its actions.
                remaining = actions[position:]
                for delayed in reversed(remaining):
                    self._backlog.appendleft(
                        (self._perform, delayed, decided_at)
                    )
                self.pause(self.site.draw_pause_s())
                return
            self._perform(action, decided_at)


class EntryNode(Node):
    """An entry process."""

    def __init__(self, site: VirtualSite, member: Member) -> None:
        super().__init__(site, member.entry.name)
        self.core = EntryCore(
            member,
            site.options.timings,
            site.options.limits,
            site.random,
            site.make_policy(),
        )
        self.is_shutting_down = False
        """Whether a graceful shutdown was requested."""
        self._last_configuration_version = 0
        self._last_list_version = 0

    def _make_tick(self) -> Any:
        """Return a tick, after checking the entry's versions."""
        self._check_versions()
        return Tick()

    def _check_versions(self) -> None:
        """Record a violation if a version decreased or a lease is stale."""
        lease = self.core.lease
        version = lease.configuration.version
        if version < self._last_configuration_version:
            self.site.history.runtime_violations.append(
                "the configuration version decreased"
            )
        self._last_configuration_version = version
        if lease.entry_list.version < self._last_list_version:
            self.site.history.runtime_violations.append(
                "the entry list version decreased"
            )
        self._last_list_version = lease.entry_list.version
        # A lease requires the configuration in force 4 s ago, or a newer one.
        minimum = self.site.table.version_at(self.site.now - 4.0)
        if lease.is_held(self.clock) and version < minimum:
            violation = (
                f"{self.name} holds a lease with configuration {version},"
                f" older than {minimum}"
            )
            self.site.history.runtime_violations.append(violation)

    def _decide(self, event: Any) -> list[Any]:
        return list(self.core.handle(event, self.clock))

    def _perform(self, action: Action, decided_at: float) -> None:
        site = self.site
        match action:
            case SendPeer():
                self._send_peer(action)
            case SendAgent():
                site.streams.send_to_agent(action.session, action.message)
            case CloseSession():
                site.streams.break_stream(action.session)
            case ReadTable():
                site.send_to_table(self, lambda: self._read_table(action))
            case WriteEntryList():
                site.send_to_table(
                    self, lambda: self._write_entry_list(action)
                )
            case WriteChange():
                self._write_change(action)
            case AnswerCaller():
                site.record_answer(self, action)
            case AnswerOperator():
                site.record_change_result(action)
            case EndProcess():
                site.replace_stopped_entry(self)

    def _send_peer(self, action: SendPeer) -> None:
        sender = self.core.lease.member
        receiver = action.to.entry

        def deliver(node: Node) -> None:
            node.receive(PeerReceived(sender, receiver, action.message))

        self.site.network.send(self.name, receiver.name, deliver)

    def _read_table(self, action: ReadTable) -> None:
        site = self.site
        snapshot = site.table.read(
            action.started_at, action.configuration_version, site.now
        )
        site.send_table_answer(self, TableRead(snapshot))

    def _write_entry_list(self, action: WriteEntryList) -> None:
        self.site.table.write_entry_list(
            action.expected_version, action.members
        )
        if not self.site.draw_answer_loss():
            known_version = self.core.lease.configuration.version
            self._read_table(ReadTable(self.clock, known_version))

    def _write_change(self, action: WriteChange) -> None:
        site = self.site
        change_id = action.change.change_id
        deliveries: list[bool] = []

        def write() -> None:
            result = site.table.write_change(action.change, site.now)
            written = ChangeWritten(change_id, result)
            if not site.draw_answer_loss():
                deliveries.append(site.send_table_answer(self, written))

        def report_timeout() -> None:
            if not any(deliveries):
                self.receive(ChangeWritten(change_id, None))

        site.send_to_table(self, write)
        site.scheduler.call_later(WRITE_TIMEOUT_S, report_timeout)


class AgentNode(Node):
    """An agent process and its target."""

    def __init__(
        self, site: VirtualSite, name: str, data_centre: str, core: AgentCore
    ) -> None:
        super().__init__(site, name)
        self.data_centre = data_centre
        self.core = core
        self.wanted_entries: set[str] = set()
        """Names of the entries that the agent maintains a stream to."""
        self._running: dict[TaskRef, int] = {}
        """Run number of each task that the target runs."""
        self._last_run_number = 0
        self._last_closure_version = -1

    def discover_target(self) -> None:
        """Report the target to the agent, and start polling the entry list."""
        self.receive(
            TargetAnnounced(self.site.options.slots, is_leaving=False)
        )
        self.receive(EntryListRead(self.site.table.entry_list))
        self._poll_entry_list()

    def _poll_entry_list(self) -> None:
        """Read the entry list once a second while no stream is open."""
        if not self.is_alive:
            return
        if not self.site.streams.of_agent(self.name):
            self.receive(EntryListRead(self.site.table.entry_list))
        self.site.scheduler.call_later(1.0, self._poll_entry_list)

    def _make_tick(self) -> Any:
        """Return a tick, after checking the version of closed data centres."""
        version = self.core.closed_data_centres.version
        if version < self._last_closure_version:
            self.site.history.runtime_violations.append(
                "the version of closed data centres decreased"
            )
        self._last_closure_version = version
        return AgentTick()

    def _decide(self, event: Any) -> list[Any]:
        return list(self.core.handle(event, self.clock))

    def _perform(self, action: Any, decided_at: float) -> None:
        match action:
            case SendToEntry():
                self.site.streams.send_to_entry(action.session, action.message)
            case SyncEntryStreams():
                names = {m.entry.name for m in action.members}
                self.site.streams.set_entries(self, names)
            case StartTask():
                self._start_task(action, decided_at)
            case StopTask():
                self._finish_run(action.task, Outcome.FAILED, 0)

    def _start_task(self, action: StartTask, decided_at: float) -> None:
        """Start a run, unless a pause since the decision was too long."""
        result = TaskResult(
            action.task, Outcome.FAILED, ResultCode.TASK_FAILED, b"", 0.0
        )
        if self.clock - decided_at > START_DELIVERY_LIMIT_S:
            self.receive(TaskCompleted(result, is_target_reached=False))
            self.receive(
                TargetAnnounced(self.site.options.slots, is_leaving=False)
            )
            return
        self.site.history.starts.append(
            ObservedStart(
                self.site.now, action.task, self.name, self.data_centre
            )
        )
        self._last_run_number += 1
        self._running[action.task] = self._last_run_number
        outcome = self.site.draw_outcome(self.name)
        run_s = self.site.run_duration_s(action)
        if run_s > action.deadline_in_s:
            run_s, outcome = action.deadline_in_s, Outcome.OUTCOME_UNKNOWN
        self.site.scheduler.call_later(
            run_s,
            self._finish_run,
            action.task,
            outcome,
            self._last_run_number,
            run_s,
        )

    def _finish_run(
        self,
        task: TaskRef,
        outcome: Outcome,
        run_number: int,
        run_s: float = 0,
    ) -> None:
        """Report the outcome of a run.

        :param task: the task.
        :param outcome: the outcome.
        :param run_number: the run; 0 for the current one, which is stopped.
            A completion of an earlier run is ignored.
        :param run_s: how long it ran.
        """
        current = self._running.get(task)
        if current is None or run_number not in (0, current):
            return
        del self._running[task]
        code = ResultCode.OK
        content = b""
        if outcome is Outcome.DONE:
            content = f'"{task.submission_id}:{task.index}"'.encode()
        elif outcome is Outcome.FAILED:
            code = (
                ResultCode.TASK_FAILED
                if run_number
                else ResultCode.TASK_STOPPED
            )
        else:
            code = ResultCode.TARGET_TIMEOUT
        self.receive(
            TaskCompleted(TaskResult(task, outcome, code, content, run_s))
        )


def make_observed_answer(
    time: float, submission_id: str, action: AnswerCaller
) -> ObservedAnswer:
    """Return the history's record of an answer to a caller."""
    return ObservedAnswer(time, submission_id, action.answer, action.error)
