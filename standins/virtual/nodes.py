"""Entries and agents as nodes under virtual time."""

from __future__ import annotations

from collections import deque
from typing import Any
from typing import TYPE_CHECKING

from fulmarscale.agent.actions import FollowEntries
from fulmarscale.agent.actions import SendEntry
from fulmarscale.agent.actions import StartTask
from fulmarscale.agent.actions import StopTask
from fulmarscale.agent.core import AgentCore
from fulmarscale.agent.inputs import ListRead
from fulmarscale.agent.inputs import TargetSeen
from fulmarscale.agent.inputs import TaskEnded
from fulmarscale.agent.inputs import Tick as AgentTick
from fulmarscale.agent.target import HAND_TO_TARGET_LIMIT_S
from fulmarscale.control.actions import AnswerCaller
from fulmarscale.control.actions import AnswerOperator
from fulmarscale.control.actions import CloseSession
from fulmarscale.control.actions import Left
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
from standins.virtual.history import AnswerSeen
from standins.virtual.history import StartSeen

if TYPE_CHECKING:
    from fulmarscale.control.actions import Action
    from fulmarscale.control.entry_list import Member
    from fulmarscale.ids import TaskRef
    from standins.virtual.site import VirtualSite

TICK_S = 0.1
STORE = "store"
WRITE_TIMEOUT_S = 1.0


class Node:
    """A process with its own clock; it can be frozen and killed."""

    def __init__(self, site: VirtualSite, name: str) -> None:
        self.site = site
        self.name = name
        self.is_alive = True
        self.frozen_until = 0.0
        self._clock_offset_s = site.random.uniform(0, 1000)
        self._clock_rate = site.random.uniform(*site.options.clock_rates)
        self._backlog: deque[tuple[Any, ...]] = deque()

    @property
    def clock(self) -> float:
        """The node's monotonic time."""
        return self._clock_offset_s + self._clock_rate * self.site.now

    def freeze(self, duration_s: float) -> None:
        """Stop the node for a while."""
        until = self.site.now + duration_s
        if until > self.frozen_until:
            self.frozen_until = until
            self.site.scheduler.at(until, self._thaw)

    def receive(self, event: Any) -> None:
        """Take in an event, after thawing if the node is frozen."""
        if not self.is_alive:
            return
        if self.frozen_until > self.site.now or self._backlog:
            self._backlog.append((self._handle, event))
            return
        self._handle(event)

    def tick(self) -> None:
        """Tick for as long as the node lives."""
        if not self.is_alive:
            return
        self.receive(self._tick_event())
        self.site.scheduler.after(TICK_S, self.tick)

    def _tick_event(self) -> Any:
        raise NotImplementedError

    def _decide(self, event: Any) -> list[Any]:
        raise NotImplementedError

    def _perform(self, action: Any, decided_at: float) -> None:
        raise NotImplementedError

    def _thaw(self) -> None:
        while self._backlog and self.is_alive:
            if self.frozen_until > self.site.now:
                return
            call, *args = self._backlog.popleft()
            call(*args)

    def _handle(self, event: Any) -> None:
        decided_at = self.clock
        try:
            actions = self._decide(event)
        except InvariantError as error:
            self.site.history.faults.append(f"{self.name}: {error}")
            self.is_alive = False
            return
        for position, action in enumerate(actions):
            if self.site.freezes_before(action):
                # Frozen between the decision and what follows from it.
                rest = actions[position:]
                for late in reversed(rest):
                    self._backlog.appendleft((self._perform, late, decided_at))
                self.freeze(self.site.freeze_time_s())
                return
            self._perform(action, decided_at)


class EntryNode(Node):
    """An entry."""

    def __init__(self, site: VirtualSite, member: Member) -> None:
        super().__init__(site, member.entry.name)
        self.core = EntryCore(
            member,
            site.options.timings,
            site.options.limits,
            site.random,
            site.make_policy(),
        )
        self.is_leaving = False
        self._config_version = 0
        self._list_version = 0

    def _tick_event(self) -> Any:
        self._check_configuration()
        return Tick()

    def _check_configuration(self) -> None:
        lease = self.core.lease
        version = lease.configuration.version
        if version < self._config_version:
            self.site.history.faults.append("the configuration reverted")
        self._config_version = version
        if lease.entry_list.version < self._list_version:
            self.site.history.faults.append("the entry list reverted")
        self._list_version = lease.entry_list.version
        old = self.site.table.version_at(self.site.now - 4.0)
        if lease.is_held(self.clock) and version < old:
            fault = f"{self.name} acts on configuration {version} < {old}"
            self.site.history.faults.append(fault)

    def _decide(self, event: Any) -> list[Any]:
        return list(self.core.handle(event, self.clock))

    def _perform(self, action: Action, decided_at: float) -> None:
        site = self.site
        match action:
            case SendPeer():
                self._send_peer(action)
            case SendAgent():
                site.streams.send_down(action.session, action.message)
            case CloseSession():
                site.streams.break_stream(action.session)
            case ReadTable():
                site.call_table(self, lambda: self._read(action))
            case WriteEntryList():
                site.call_table(self, lambda: self._write_list(action))
            case WriteChange():
                self._write_change(action)
            case AnswerCaller():
                site.note_answer(self, action)
            case AnswerOperator():
                site.note_change(action)
            case Left():
                site.end_leave(self)

    def _send_peer(self, action: SendPeer) -> None:
        sender = self.core.lease.member
        to = action.to.entry

        def deliver(node: Node) -> None:
            node.receive(PeerReceived(sender, to, action.message))

        self.site.network.send(self.name, to.name, deliver)

    def _read(self, action: ReadTable) -> None:
        site = self.site
        reading = site.table.read(
            action.started_at, action.configuration_version, site.now
        )
        site.answer_from_table(self, TableRead(reading))

    def _write_list(self, action: WriteEntryList) -> None:
        self.site.table.write_entry_list(
            action.expected_version, action.members
        )
        if not self.site.loses_answer():
            known = self.core.lease.configuration.version
            self._read(ReadTable(self.clock, known))

    def _write_change(self, action: WriteChange) -> None:
        site = self.site
        change_id = action.change.change_id
        answered: list[bool] = []

        def write() -> None:
            result = site.table.write_change(action.change, site.now)
            written = ChangeWritten(change_id, result)
            if not site.loses_answer():
                answered.append(site.answer_from_table(self, written))

        def time_out() -> None:
            if not any(answered):
                self.receive(ChangeWritten(change_id, None))

        site.call_table(self, write)
        site.scheduler.after(WRITE_TIMEOUT_S, time_out)


class AgentNode(Node):
    """An agent and the target beside it."""

    def __init__(
        self, site: VirtualSite, name: str, data_centre: str, core: AgentCore
    ) -> None:
        super().__init__(site, name)
        self.data_centre = data_centre
        self.core = core
        self.wanted: set[str] = set()
        self._runs: dict[TaskRef, int] = {}
        self._run_number = 0
        self._closed_version = -1

    def announce_target(self) -> None:
        """See the target for the first time."""
        self.receive(TargetSeen(self.site.options.slots, leaving=False))
        self.receive(ListRead(self.site.table.entry_list))
        self._bootstrap()

    def _bootstrap(self) -> None:
        if not self.is_alive:
            return
        if not self.site.streams.of_agent(self.name):
            self.receive(ListRead(self.site.table.entry_list))
        self.site.scheduler.after(1.0, self._bootstrap)

    def _tick_event(self) -> Any:
        version = self.core.closed.version
        if version < self._closed_version:
            self.site.history.faults.append("a closure reverted")
        self._closed_version = version
        return AgentTick()

    def _decide(self, event: Any) -> list[Any]:
        return list(self.core.handle(event, self.clock))

    def _perform(self, action: Any, decided_at: float) -> None:
        match action:
            case SendEntry():
                self.site.streams.send_up(action.session, action.message)
            case FollowEntries():
                names = {m.entry.name for m in action.members}
                self.site.streams.follow(self, names)
            case StartTask():
                self._start(action, decided_at)
            case StopTask():
                self._end(action.task, Outcome.FAILED, 0)

    def _start(self, action: StartTask, decided_at: float) -> None:
        result = TaskResult(
            action.task, Outcome.FAILED, ResultCode.TASK_FAILED, b"", 0.0
        )
        if self.clock - decided_at > HAND_TO_TARGET_LIMIT_S:
            self.receive(TaskEnded(result, reached=False))
            self.receive(TargetSeen(self.site.options.slots, leaving=False))
            return
        self.site.history.starts.append(
            StartSeen(self.site.now, action.task, self.name, self.data_centre)
        )
        self._run_number += 1
        self._runs[action.task] = self._run_number
        outcome = self.site.draw_outcome(self.name)
        run_s = self.site.run_time_s(action)
        if run_s > action.deadline_in_s:
            run_s, outcome = action.deadline_in_s, Outcome.OUTCOME_UNKNOWN
        self.site.scheduler.after(
            run_s, self._end, action.task, outcome, self._run_number, run_s
        )

    def _end(
        self, task: TaskRef, outcome: Outcome, number: int, run_s: float = 0
    ) -> None:
        known = self._runs.get(task)
        if known is None or number not in (0, known):
            return
        del self._runs[task]
        code = ResultCode.OK
        text = b""
        if outcome is Outcome.DONE:
            text = f'"{task.submission_id}:{task.index}"'.encode()
        elif outcome is Outcome.FAILED:
            code = (
                ResultCode.TASK_FAILED if number else ResultCode.TASK_STOPPED
            )
        else:
            code = ResultCode.TARGET_TIMEOUT
        self.receive(TaskEnded(TaskResult(task, outcome, code, text, run_s)))


def make_answer(
    time: float, submission_id: str, action: AnswerCaller
) -> AnswerSeen:
    """Note an answer."""
    return AnswerSeen(time, submission_id, action.answer, action.error)
