"""A virtual site: real decision code, a simulated network, table and targets.

All times are virtual and all randomness comes from one seeded source, so that
a run can be repeated by its seed.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.agent.actions import StartTask
from fulmarscale.agent.core import AgentCore
from fulmarscale.agent.inputs import StopRequested
from fulmarscale.control.actions import RowChange
from fulmarscale.control.actions import SendAgent
from fulmarscale.control.configuration import Contract
from fulmarscale.control.configuration import DataCentreState
from fulmarscale.control.entry_list import Member
from fulmarscale.control.timings import Timings
from fulmarscale.entry.inputs import CallReceived
from fulmarscale.entry.inputs import ChangeRequested
from fulmarscale.entry.inputs import ShutdownRequested
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
from standins.virtual.history import History
from standins.virtual.history import ObservedDrain
from standins.virtual.network import Network
from standins.virtual.network import StreamRegistry
from standins.virtual.nodes import AgentNode
from standins.virtual.nodes import EntryNode
from standins.virtual.nodes import make_observed_answer
from standins.virtual.nodes import Node
from standins.virtual.nodes import TABLE_NODE
from standins.virtual.scheduler import Scheduler

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.control.actions import AnswerCaller
    from fulmarscale.control.actions import AnswerOperator
    from fulmarscale.entry.placement import PlacementPolicy
    from fulmarscale.ids import SubmissionId

INCARNATION_BITS = 48


class VirtualOptions(msgspec.Struct, kw_only=True, frozen=True):
    """Sizes and fault rates of a virtual site."""

    entries: int = 3
    """Number of entries at the start."""
    agents: int = 3
    """Number of agents, each with one target."""
    data_centres: int = 3
    """Number of data centres; nodes are assigned to them in turn."""
    slots: int = 4
    """Slots of each target: tasks that it runs at the same time."""
    clock_rates: tuple[float, float] = (0.97, 1.03)
    """Range of the rates of the nodes' clocks."""
    delay_s: tuple[float, float] = (0.0005, 0.02)
    """Range of the usual delay of a message."""
    late_share: float = 0.05
    """Share of messages that are delayed by up to a second."""
    loss_share: float = 0.02
    """Share of losses: messages between entries, requests to the table and
    answers to writes there."""
    break_share: float = 0.0005
    """Share of stream messages that break their stream."""
    break_notice_s: float = 2.0
    """Longest delay until a node is notified of a broken stream."""
    pause_share: float = 0.0002
    """Share of actions before which the process is paused."""
    start_pause_share: float = 0.002
    """The same share for dispatches of tasks and starts at a target."""
    pause_s: float = 2.0
    """Mean duration of a pause."""
    run_s: tuple[float, float] = (0.02, 0.6)
    """Range of the run times of tasks."""
    fail_share: float = 0.02
    """Share of tasks that fail at the target."""
    timings: Timings = Timings()
    """Durations that the safety rules depend on."""
    limits: EntryLimits = EntryLimits()
    """Limits of the entries."""
    customer: CustomerName = CustomerName("fjaervik")
    """Customer of all jobs submitted without a customer."""
    other_customers: tuple[CustomerName, ...] = ()
    """Further customers, under the same contract."""
    contract: Contract = Contract(
        rate=100_000,
        burst=100_000,
        largest_job=1_000,
        response_time_ms=1_000,
        response_share=0.99,
        key_hashes=("0" * 64,),
    )
    """The contract of each customer."""


class VirtualSite:
    """Entries, agents, a table and callers under virtual time.

    :param seed: the seed of all randomness.
    :param options: sizes and fault rates.
    :param policy: makes each entry's placement policy; none for the default.
    """

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
        self.streams = StreamRegistry(self)
        self.nodes: dict[str, Node] = {}
        self.are_faults_enabled = True
        """Whether answers may get lost and processes be paused at random."""
        self._policy_factory = policy
        self._last_request = 0
        """Number of the last request of a caller or operator."""
        self._pending: dict[RequestId, SubmissionId] = {}
        """Submission of each request that has no answer yet."""
        self._answer_callbacks: dict[
            RequestId, Callable[[AnswerCaller], None]
        ] = {}
        self.accepted_changes = 0
        """Number of operators' changes that were accepted."""
        self._start_all()

    @property
    def now(self) -> float:
        """The current virtual time in seconds."""
        return self.scheduler.now

    @property
    def entries(self) -> list[EntryNode]:
        """The live entries."""
        return [
            n
            for n in self.nodes.values()
            if isinstance(n, EntryNode) and n.is_alive
        ]

    @property
    def agents(self) -> list[AgentNode]:
        """The live agents."""
        return [
            n
            for n in self.nodes.values()
            if isinstance(n, AgentNode) and n.is_alive
        ]

    def make_policy(self) -> PlacementPolicy | None:
        """Return a placement policy for one entry; none for the default."""
        return (
            self._policy_factory(self.random) if self._policy_factory else None
        )

    def data_centre_of(self, number: int) -> str:
        """Return the name of the data centre of the nth node of a kind."""
        return f"dc-{number % self.options.data_centres}"

    def start_entry(self, name: str, data_centre: str) -> None:
        """Start an entry process with a new incarnation and empty state."""
        number = self.random.getrandbits(INCARNATION_BITS)
        member = Member(
            entry=EntryId(name, number),
            address=name,
            url=name,
            data_centre=DataCentreName(data_centre),
        )
        node = EntryNode(self, member)
        self.nodes[name] = node
        self.scheduler.call_later(self.random.random() * 0.3, node.tick)

    def start_agent(self, name: str, data_centre: str) -> None:
        """Start an agent process with a new incarnation and empty state."""
        number = self.random.getrandbits(INCARNATION_BITS)
        core = AgentCore(
            AgentId(AgentName(name), number),
            DataCentreName(data_centre),
            self.options.timings,
        )
        node = AgentNode(self, name, data_centre, core)
        self.nodes[name] = node
        self.scheduler.call_later(self.random.random() * 0.1, node.tick)
        node.discover_target()

    def kill(self, node: Node) -> None:
        """End a process without a graceful shutdown."""
        node.is_alive = False
        self.streams.break_streams_of(node)
        for drain in self.history.drains:
            if drain.agent == node.name:
                drain.ends_at = min(drain.ends_at, self.now)

    def restart(self, node: Node) -> None:
        """Start a new process in place of one that has ended."""
        if isinstance(node, EntryNode):
            data_centre = node.core.lease.member.data_centre
            self.start_entry(node.name, data_centre)
        elif isinstance(node, AgentNode):
            self.start_agent(node.name, node.data_centre)

    def shut_down_entry(self, node: EntryNode) -> None:
        """Request the graceful shutdown of an entry."""
        node.is_shutting_down = True
        node.receive(ShutdownRequested())

    def replace_stopped_entry(self, node: EntryNode) -> None:
        """End an entry after its graceful shutdown, and replace it later."""
        self.kill(node)
        self.scheduler.call_later(
            self.random.uniform(0.5, 3), self.restart, node
        )

    def drain(self, node: AgentNode, duration_s: float) -> None:
        """Drain an agent, and replace its process after a while.

        :param node: the agent.
        :param duration_s: the time until its process is replaced.
        """
        ends_at = self.now + duration_s
        self.history.drains.append(ObservedDrain(self.now, node.name, ends_at))
        node.receive(StopRequested())

        def replace() -> None:
            if node.is_alive:
                self.kill(node)
                self.restart(node)

        self.scheduler.call_later(duration_s, replace)

    def submit(
        self,
        node: EntryNode,
        submission_id: SubmissionId,
        tasks: int,
        deadline_s: float,
        call: CallKind = CallKind.SUBMIT,
        on_answer: Callable[[AnswerCaller], None] | None = None,
        kind: str = "echo",
        payloads: tuple[bytes, ...] | None = None,
        customer: CustomerName | None = None,
    ) -> None:
        """Send a caller's request about a submission to an entry.

        :param node: the entry.
        :param submission_id: the submission.
        :param tasks: the number of its tasks.
        :param deadline_s: the deadline of the job; the caller waits as long.
        :param call: what is requested; only SUBMIT carries the job.
        :param on_answer: called with the answer.
        :param kind: the kind of the tasks.
        :param payloads: one payload a task; by default a constant.
        :param customer: the customer; by default that of the options.
        """
        customer = customer or self.options.customer
        self._last_request += 1
        request = RequestId(self._last_request)
        self._pending[request] = submission_id
        if on_answer is not None:
            self._answer_callbacks[request] = on_answer
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

    def record_answer(self, node: EntryNode, action: AnswerCaller) -> None:
        """Record an answer to a caller, unless the entry has ended.

        A second answer to the same request is a violation.
        """
        if not node.is_alive:
            return
        submission_id = self._pending.pop(action.request, None)
        if submission_id is None:
            self.history.runtime_violations.append(f"answered twice: {action}")
            return
        on_answer = self._answer_callbacks.pop(action.request, None)
        if on_answer is not None:
            on_answer(action)
        self.history.answers.append(
            make_observed_answer(self.now, submission_id, action)
        )

    def change_data_centre(
        self, node: EntryNode, name: str, state: DataCentreState
    ) -> None:
        """Send an operator's change of a data centre's state to an entry."""
        row = node.core.lease.configuration.data_centre(DataCentreName(name))
        self._last_request += 1
        change = RowChange(
            change_id=f"change-{self._last_request}",
            data_centre=DataCentreName(name),
            state=state,
            expected_version=row.version if row is not None else 0,
        )
        node.receive(ChangeRequested(RequestId(self._last_request), change))

    def record_change_result(self, action: AnswerOperator) -> None:
        """Count an operator's change if it was accepted."""
        if action.result.code is ResultCode.OK:
            self.accepted_changes += 1

    def send_to_table(
        self, node: Node, apply_request: Callable[[], None]
    ) -> None:
        """Send a request to the table; it may get lost.

        :param node: the sender.
        :param apply_request: called when the request reaches the table.
        """
        mode = self.table.mode
        if mode is TableMode.DOWN or not self.network.is_reachable(
            node.name, TABLE_NODE
        ):
            return
        if self.random.random() < self.options.loss_share:
            return
        delay_s = self.network.draw_delay_s()
        if mode is TableMode.SLOW:
            delay_s += self.random.uniform(0.1, 2.5)
        self.scheduler.call_later(delay_s, apply_request)

    def send_table_answer(self, node: Node, event: object) -> bool:
        """Send the table's answer to a node.

        :param node: the receiver.
        :param event: the answer, as an event of the node.
        :returns: whether the table can reach the node.
        """
        if not self.network.is_reachable(TABLE_NODE, node.name):
            return False
        delay_s = self.network.draw_delay_s()
        if self.table.mode is TableMode.SLOW:
            delay_s += self.random.uniform(0.1, 1.0)
        self.scheduler.call_later(delay_s, node.receive, event)
        return True

    def draw_answer_loss(self) -> bool:
        """Return at random whether the answer to a write gets lost."""
        mode = self.table.mode
        return mode is TableMode.LOSE_ANSWERS or (
            self.are_faults_enabled
            and self.random.random() < self.options.loss_share
        )

    def draw_pause(self, action: object) -> bool:
        """Return at random whether a process is paused before an action."""
        if not self.are_faults_enabled:
            return False
        share = self.options.pause_share
        is_task_dispatch = (
            isinstance(action, SendAgent) and action.message.jobs
        )
        if is_task_dispatch or isinstance(action, StartTask):
            share = self.options.start_pause_share
        return self.random.random() < share

    def draw_pause_s(self) -> float:
        """Return a random duration of a pause."""
        return self.random.expovariate(1 / self.options.pause_s)

    def draw_outcome(self, agent: str) -> Outcome:
        """Return a random outcome of a task at an agent's target."""
        if self.random.random() < self.options.fail_share:
            return Outcome.FAILED
        return Outcome.DONE

    def run_duration_s(self, start: StartTask) -> float:
        """Return a random run time of a task."""
        return self.random.uniform(*self.options.run_s)

    def end_faults(self) -> None:
        """End all faults and open every data centre."""
        self.are_faults_enabled = False
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

    def _start_all(self) -> None:
        for customer in (self.options.customer, *self.options.other_customers):
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
