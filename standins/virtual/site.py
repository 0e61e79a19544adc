"""A site of real decision code under virtual time."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.agent.actions import StartTask
from fulmarscale.agent.core import AgentCore
from fulmarscale.agent.inputs import DrainRequested
from fulmarscale.control.actions import RowChange
from fulmarscale.control.actions import SendAgent
from fulmarscale.control.configuration import Contract
from fulmarscale.control.configuration import DataCentreState
from fulmarscale.control.entry_list import Member
from fulmarscale.control.timings import Timings
from fulmarscale.entry.inputs import CallReceived
from fulmarscale.entry.inputs import ChangeRequested
from fulmarscale.entry.inputs import LeaveRequested
from fulmarscale.entry.limits import EntryLimits
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode
from fulmarscale.ids import AgentId
from fulmarscale.ids import AgentName
from fulmarscale.ids import CustomerName
from fulmarscale.ids import DataCentreName
from fulmarscale.ids import EntryId
from fulmarscale.ids import RequestId
from fulmarscale.wire.messages import CallKind
from fulmarscale.wire.messages import JobRequest
from standins.virtual.fake_table import FakeTable
from standins.virtual.fake_table import TableMode
from standins.virtual.history import DrainSeen
from standins.virtual.history import History
from standins.virtual.network import Network
from standins.virtual.network import Streams
from standins.virtual.nodes import AgentNode
from standins.virtual.nodes import EntryNode
from standins.virtual.nodes import make_answer
from standins.virtual.nodes import Node
from standins.virtual.nodes import STORE
from standins.virtual.scheduler import Scheduler

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.control.actions import AnswerCaller
    from fulmarscale.control.actions import AnswerOperator
    from fulmarscale.entry.place import PlacementPolicy
    from fulmarscale.ids import SubmissionId

INCARNATION_BITS = 48


class VirtualOptions(msgspec.Struct, kw_only=True, frozen=True):
    """Sizes and fault rates of a virtual site."""

    entries: int = 3
    """Entries at the start."""
    agents: int = 3
    """Agents, each with its target."""
    data_centres: int = 3
    """Data centres, filled in turn."""
    slots: int = 4
    """Slots of each target."""
    clock_rates: tuple[float, float] = (0.97, 1.03)
    """Rates of the nodes' clocks."""
    delay_s: tuple[float, float] = (0.0005, 0.02)
    """The usual time that a message takes."""
    late_share: float = 0.05
    """The share of messages that take up to a second."""
    loss_share: float = 0.02
    """The share of lost messages between entries and to the table."""
    break_share: float = 0.0005
    """The share of stream messages at which the stream breaks."""
    break_notice_s: float = 2.0
    """How late a node notices a broken stream."""
    freeze_share: float = 0.0002
    """The share of actions before which the node freezes."""
    start_freeze_share: float = 0.002
    """The same, for actions that lead to starts."""
    freeze_s: float = 2.0
    """The mean time that a node is frozen."""
    run_s: tuple[float, float] = (0.02, 0.6)
    """Run times of tasks."""
    fail_share: float = 0.02
    """The share of tasks that the target fails."""
    timings: Timings = Timings()
    """Spans that the safety rules rest on."""
    limits: EntryLimits = EntryLimits()
    """Limits of the entries."""
    customer: CustomerName = CustomerName("fjaervik")
    """The customer of all jobs that name no other."""
    others: tuple[CustomerName, ...] = ()
    """Further customers, under equal contracts."""
    contract: Contract = Contract(
        rate=100_000,
        burst=100_000,
        largest_job=1_000,
        response_time_ms=1_000,
        response_share=0.99,
        key_hashes=("0" * 64,),
    )
    """Its contract."""


class VirtualSite:
    """Entries, agents, a table and callers under virtual time."""

    def __init__(
        self,
        seed: int,
        options: VirtualOptions,
        policy: Callable[[Random], PlacementPolicy] | None = None,
    ) -> None:
        self.random = Random(seed)
        self.options = options
        self.scheduler = Scheduler()
        self.history = History()
        self.table = FakeTable(self.history)
        self.network = Network(self)
        self.streams = Streams(self)
        self.nodes: dict[str, Node] = {}
        self.faults_on = True
        self._policy = policy
        self._request = 0
        self._asked: dict[RequestId, SubmissionId] = {}
        self._answered: dict[RequestId, Callable[[AnswerCaller], None]] = {}
        self.accepted_changes = 0
        self._set_up()

    @property
    def now(self) -> float:
        """The present virtual time in seconds."""
        return self.scheduler.now

    @property
    def entries(self) -> list[EntryNode]:
        """The entries that live."""
        return [
            n
            for n in self.nodes.values()
            if isinstance(n, EntryNode) and n.is_alive
        ]

    @property
    def agents(self) -> list[AgentNode]:
        """The agents that live."""
        return [
            n
            for n in self.nodes.values()
            if isinstance(n, AgentNode) and n.is_alive
        ]

    def make_policy(self) -> PlacementPolicy | None:
        """Make the placement policy of one entry; none for the usual."""
        return self._policy(self.random) if self._policy else None

    def data_centre_of(self, number: int) -> str:
        """Name the data centre of the nth node."""
        return f"dc-{number % self.options.data_centres}"

    def start_entry(self, name: str, data_centre: str) -> None:
        """Start an entry process without memory."""
        number = self.random.getrandbits(INCARNATION_BITS)
        member = Member(
            entry=EntryId(name, number),
            address=name,
            url=name,
            data_centre=DataCentreName(data_centre),
        )
        node = EntryNode(self, member)
        self.nodes[name] = node
        self.scheduler.after(self.random.random() * 0.3, node.tick)

    def start_agent(self, name: str, data_centre: str) -> None:
        """Start an agent process without memory."""
        number = self.random.getrandbits(INCARNATION_BITS)
        core = AgentCore(
            AgentId(AgentName(name), number),
            DataCentreName(data_centre),
            self.options.timings,
        )
        node = AgentNode(self, name, data_centre, core)
        self.nodes[name] = node
        self.scheduler.after(self.random.random() * 0.1, node.tick)
        node.announce_target()

    def kill(self, node: Node) -> None:
        """End a process without warning."""
        node.is_alive = False
        self.streams.break_all_of(node)
        for drain in self.history.drains:
            if drain.agent == node.name:
                drain.until = min(drain.until, self.now)

    def restart(self, node: Node) -> None:
        """Start a process at a dead node's address."""
        if isinstance(node, EntryNode):
            data_centre = node.core.lease.member.data_centre
            self.start_entry(node.name, data_centre)
        elif isinstance(node, AgentNode):
            self.start_agent(node.name, node.data_centre)

    def leave(self, node: EntryNode) -> None:
        """Tell an entry to leave as planned."""
        node.is_leaving = True
        node.receive(LeaveRequested())

    def end_leave(self, node: EntryNode) -> None:
        """End an entry that has left, and start its replacement."""
        self.kill(node)
        self.scheduler.after(self.random.uniform(0.5, 3), self.restart, node)

    def drain(self, node: AgentNode, for_s: float) -> None:
        """Tell an agent to stop; replace it after a while."""
        until = self.now + for_s
        self.history.drains.append(DrainSeen(self.now, node.name, until))
        node.receive(DrainRequested())

        def replace() -> None:
            if node.is_alive:
                self.kill(node)
                self.restart(node)

        self.scheduler.after(for_s, replace)

    def submit(
        self,
        node: EntryNode,
        submission_id: SubmissionId,
        tasks: int,
        deadline_s: float,
        call: CallKind = CallKind.SUBMIT,
        answered: Callable[[AnswerCaller], None] | None = None,
        kind: str = "echo",
        payloads: tuple[bytes, ...] | None = None,
        customer: CustomerName | None = None,
    ) -> None:
        """Play a caller of an entry."""
        customer = customer or self.options.customer
        self._request += 1
        request = RequestId(self._request)
        self._asked[request] = submission_id
        if answered is not None:
            self._answered[request] = answered
        self.history.task_counts[submission_id] = tasks
        job = None
        if call is CallKind.SUBMIT:
            job = JobRequest(
                submission_id=submission_id,
                customer=customer,
                kind=kind,
                deadline_in_s=deadline_s,
                digest=submission_id.encode()[:8],
                payloads=payloads or (b"1",) * tasks,
            )
        node.receive(
            CallReceived(
                request,
                call,
                submission_id,
                customer,
                deadline_s,
                job,
            )
        )

    def note_answer(self, node: EntryNode, action: AnswerCaller) -> None:
        """Note an answer that reached its caller."""
        if not node.is_alive:
            return
        asked = self._asked.pop(action.request, None)
        if asked is None:
            self.history.faults.append(f"answered twice: {action}")
            return
        answered = self._answered.pop(action.request, None)
        if answered is not None:
            answered(action)
        self.history.answers.append(make_answer(self.now, asked, action))

    def change_data_centre(
        self, node: EntryNode, name: str, state: DataCentreState
    ) -> None:
        """Play an operator who changes a data centre at an entry."""
        row = node.core.lease.configuration.data_centre(DataCentreName(name))
        self._request += 1
        change = RowChange(
            change_id=f"change-{self._request}",
            data_centre=DataCentreName(name),
            state=state,
            expected_version=row.version if row is not None else 0,
        )
        node.receive(ChangeRequested(RequestId(self._request), change))

    def note_change(self, action: AnswerOperator) -> None:
        """Note what an operator was told."""
        if action.result.code is ResultCode.OK:
            self.accepted_changes += 1

    def call_table(self, node: Node, work: Callable[[], None]) -> None:
        """Bring a request to the table, if it gets there."""
        mode = self.table.mode
        if mode is TableMode.DOWN or not self.network.reaches(
            node.name, STORE
        ):
            return
        if self.random.random() < self.options.loss_share:
            return
        delay_s = self.network.delay_s()
        if mode is TableMode.SLOW:
            delay_s += self.random.uniform(0.1, 2.5)
        self.scheduler.after(delay_s, work)

    def answer_from_table(self, node: Node, event: object) -> bool:
        """Bring the table's answer back; false if it does not get there."""
        if not self.network.reaches(STORE, node.name):
            return False
        delay_s = self.network.delay_s()
        if self.table.mode is TableMode.SLOW:
            delay_s += self.random.uniform(0.1, 1.0)
        self.scheduler.after(delay_s, node.receive, event)
        return True

    def loses_answer(self) -> bool:
        """Draw whether a write's answer is lost."""
        mode = self.table.mode
        return mode is TableMode.LOSE_ANSWERS or (
            self.faults_on and self.random.random() < self.options.loss_share
        )

    def freezes_before(self, action: object) -> bool:
        """Draw whether a node freezes before its next action."""
        if not self.faults_on:
            return False
        share = self.options.freeze_share
        is_dispatch = isinstance(action, SendAgent) and action.message.jobs
        if is_dispatch or isinstance(action, StartTask):
            share = self.options.start_freeze_share
        return self.random.random() < share

    def freeze_time_s(self) -> float:
        """Draw how long a node is frozen."""
        return self.random.expovariate(1 / self.options.freeze_s)

    def draw_outcome(self, agent: str) -> Outcome:
        """Draw what becomes of a task."""
        if self.random.random() < self.options.fail_share:
            return Outcome.FAILED
        return Outcome.DONE

    def run_time_s(self, start: StartTask) -> float:
        """Draw how long a task runs."""
        return self.random.uniform(*self.options.run_s)

    def heal(self) -> None:
        """End all faults."""
        self.faults_on = False
        for row in self.table.configuration.data_centres:
            change = RowChange(
                change_id=f"heal-{row.name}",
                data_centre=row.name,
                state=DataCentreState.IN,
                expected_version=row.version,
            )
            self.table.write_change(change, self.now)
        self.table.mode = TableMode.UP
        self.network.heal()
        self.options = msgspec.structs.replace(
            self.options, late_share=0.0, loss_share=0.0, break_share=0.0
        )

    def _set_up(self) -> None:
        for customer in (self.options.customer, *self.options.others):
            contract = RowChange(
                change_id=f"contract-{customer}",
                customer=customer,
                contract=self.options.contract,
                expected_version=0,
            )
            self.table.write_change(contract, 0.0)
        for number in range(self.options.data_centres):
            data_centre = RowChange(
                change_id=f"dc-{number}",
                data_centre=DataCentreName(f"dc-{number}"),
                state=DataCentreState.IN,
                expected_version=0,
            )
            self.table.write_change(data_centre, 0.0)
        for number in range(self.options.entries):
            name = f"entry-{number}"
            self.start_entry(name, self.data_centre_of(number))
        for number in range(self.options.agents):
            name = f"agent-{number}"
            self.start_agent(name, self.data_centre_of(number))
