"""One scripted run for each safety rule that faults by chance seldom test.

Each case brings about the one order of events that the rule is meant for,
and returns the breaches that it saw.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple
from typing import TYPE_CHECKING

from msgspec import structs

from fulmarscale.agent.core import AgentCore
from fulmarscale.agent.inputs import EntryOpened
from fulmarscale.agent.inputs import EntryReceived
from fulmarscale.agent.inputs import TargetSeen
from fulmarscale.control.configuration import DataCentreState
from fulmarscale.control.entry_list import EntryList
from fulmarscale.control.entry_list import Member
from fulmarscale.control.timings import Timings
from fulmarscale.entry.limits import EntryLimits
from fulmarscale.errors import Outcome
from fulmarscale.ids import AgentId
from fulmarscale.ids import AgentName
from fulmarscale.ids import CustomerName
from fulmarscale.ids import DataCentreName
from fulmarscale.ids import EntryId
from fulmarscale.ids import mint_submission_id
from fulmarscale.wire.messages import AgentToken
from fulmarscale.wire.messages import CallKind
from fulmarscale.wire.messages import JobDispatch
from fulmarscale.wire.messages import TaskSpec
from fulmarscale.wire.messages import ToAgent
from standins.virtual.fake_table import WALL_START_S
from standins.virtual.nodes import AgentNode
from standins.virtual.nodes import EntryNode
from standins.virtual.nodes import STORE
from standins.virtual.site import VirtualOptions
from standins.virtual.site import VirtualSite

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.control.actions import AnswerCaller
    from fulmarscale.control.configuration import Contract
    from fulmarscale.ids import SubmissionId

STEADY_S = 6.0
STEP_S = 0.01


class Holder(NamedTuple):
    """Which entry of a list is to hold the customer's quota."""

    members: tuple[int, ...]
    """The entries on the list, by number."""
    holder: int
    """The entry that is to hold the quota."""


def _find_customer(holders: tuple[Holder, ...]) -> CustomerName:
    """Find a customer whose quota is held as a case needs it."""
    for number in range(1000):
        name = f"customer-{number}"
        if all(_is_holder(name, wanted) for wanted in holders):
            return CustomerName(name)
    raise AssertionError("no such customer")


def _is_holder(customer: str, wanted: Holder) -> bool:
    members = [_member(f"entry-{n}", 0) for n in wanted.members]
    owner = EntryList(1, tuple(members)).owner(f"quota:{customer}")
    return owner is not None and owner.entry.name == f"entry-{wanted.holder}"


class Script:
    """A site without faults by chance, and an order of events."""

    def __init__(
        self,
        *,
        entries: int = 2,
        agents: int = 2,
        run_s: float = 0.05,
        slots: int = 4,
        ahead: int = 0,
        timings: Timings | None = None,
        holders: tuple[Holder, ...] = (),
        contract: Contract | None = None,
        limits: EntryLimits | None = None,
    ) -> None:
        options = VirtualOptions(
            entries=entries,
            agents=agents,
            data_centres=2,
            slots=slots,
            clock_rates=(1.0, 1.0),
            delay_s=(0.001, 0.002),
            late_share=0.0,
            loss_share=0.0,
            break_share=0.0,
            break_notice_s=0.1,
            freeze_share=0.0,
            start_freeze_share=0.0,
            run_s=(run_s, run_s),
            fail_share=0.0,
            timings=timings or Timings(),
            limits=limits or EntryLimits(ahead=ahead, small_job=1000),
            customer=_find_customer(holders),
        )
        if contract is not None:
            options = structs.replace(options, contract=contract)
        self.site = VirtualSite(1, options)
        self.answers: list[AnswerCaller] = []
        self.wait(STEADY_S)

    def entry(self, number: int) -> EntryNode:
        node = self.site.nodes[f"entry-{number}"]
        assert isinstance(node, EntryNode)
        return node

    def agent(self, number: int) -> AgentNode:
        node = self.site.nodes[f"agent-{number}"]
        assert isinstance(node, AgentNode)
        return node

    def wait(self, duration_s: float) -> None:
        self.site.scheduler.run_until(self.site.now + duration_s)

    def wait_for(
        self, is_true: Callable[[], bool], limit_s: float = 20.0
    ) -> None:
        until = self.site.now + limit_s
        while not is_true():
            assert self.site.now < until, "the case did not come about"
            self.wait(STEP_S)

    def cut(self, *names: str) -> None:
        """Cut each of the nodes from each other one."""
        for source in names:
            for target in names:
                if source != target:
                    self.site.network.cut_one_way(source, target)

    def new_id(
        self, *owners: tuple[EntryList, int], ahead_s: float = 0.0
    ) -> SubmissionId:
        """Make an id that has the given owners in the given lists."""
        wall_s = WALL_START_S + self.site.now + ahead_s
        while True:
            made = mint_submission_id(wall_s, self.site.random)
            found = [lst.owner(made) for lst, _ in owners]
            names = [f"entry-{number}" for _, number in owners]
            if [m and m.entry.name for m in found] == names:
                return made

    def submit(
        self, entry: int, submission_id: SubmissionId, deadline_s: float = 4.0
    ) -> None:
        self.site.submit(
            self.entry(entry),
            submission_id,
            1,
            deadline_s,
            answered=self.answers.append,
        )

    def submit_to(
        self, submission_id: SubmissionId, *entries: int
    ) -> list[str]:
        for entry in entries:
            self.submit(entry, submission_id)
        self.wait(6.0)
        return self.site.history.check()

    def replace_agents(self) -> None:
        """Lose all start records with the agents that keep them."""
        for agent in self.site.agents:
            self.site.kill(agent)
            self.site.restart(agent)
        self.wait(1.0)

    def list_of(self, *numbers: int) -> EntryList:
        """The members by number, as they stand on their own."""
        members = [self.entry(n).core.lease.member for n in numbers]
        return EntryList(1, tuple(sorted(members)))


def change_closes_in_the_dark(
    *, answered: bool, cut_writer: bool
) -> list[str]:
    """An operator's change is accepted as the table goes out of reach."""
    script = Script()
    script.cut("entry-1", STORE)
    script.wait(1.0)
    script.site.change_data_centre(
        script.entry(0), "dc-0", DataCentreState.OUT
    )
    version = script.site.table.configuration.version
    if not answered:
        script.site.network.cut_one_way(STORE, "entry-0")
    script.wait_for(lambda: script.site.table.configuration.version > version)
    if answered:
        script.wait_for(lambda: script.site.accepted_changes > 0)
    if cut_writer:
        script.cut("entry-0", STORE)
    script.wait(8.0)
    return script.site.history.check()


def unanswered_change() -> list[str]:
    return change_closes_in_the_dark(answered=False, cut_writer=True)


def answered_change() -> list[str]:
    return change_closes_in_the_dark(answered=True, cut_writer=True)


def removed_while_confirmed() -> list[str]:
    """An entry is removed right after its lease was confirmed."""
    script = Script(holders=(Holder((0, 1), 0),))
    script.site.network.cut_one_way("entry-0", "entry-1")
    both = script.list_of(0, 1)
    # Each has an agent of its own, without the other's start records.
    script.cut("entry-0", "agent-1")
    script.cut("entry-1", "agent-0")
    # Traffic keeps the echoes of the entry that is removed fresh.
    while len(script.site.table.entry_list.members) > 1:
        script.submit(0, script.new_id((both, 0)))
        script.wait(STEP_S)
    script.cut("entry-0", "entry-1")
    script.cut("entry-0", STORE)
    # The caller's clock is ahead, as far as that is allowed.
    script.wait(0.6)
    return script.submit_to(script.new_id((both, 0), ahead_s=0.45), 0, 1)


def minority_with_table() -> list[str]:
    """Two entries without the table promise each other; one has it."""
    script = Script(entries=3)
    everyone = script.list_of(0, 1, 2)
    for lonely in ("entry-0", "entry-2"):
        script.cut(lonely, STORE)
        script.cut(lonely, "entry-1")
    script.wait_for(lambda: len(script.site.table.entry_list.members) == 1)
    script.wait(5.0)
    return script.submit_to(script.new_id((everyone, 0)), 0, 1)


def _join(script: Script) -> None:
    script.site.start_entry("entry-2", "dc-0")


def joins_unheard() -> list[str]:
    """An entry joins that no member can hear."""
    script = Script()
    old = script.list_of(0, 1)
    for name in ("entry-0", "entry-1"):
        script.cut(name, STORE)
        script.cut(name, "entry-2")
    _join(script)
    script.wait(8.0)
    new = script.list_of(0, 1, 2)
    made = script.new_id((old, 0), (new, 2))
    return script.submit_to(made, 0, 2)


def joins_and_is_cut_off() -> list[str]:
    """An entry is cut off between its acknowledgement and its joining."""
    script = Script()
    old = script.list_of(0, 1)
    _join(script)
    joiner = script.entry(2).core.lease
    script.wait_for(lambda: len(joiner._join_acks) == 2)
    for name in ("entry-0", "entry-1"):
        script.cut(name, STORE)
        script.cut(name, "entry-2")
    script.wait(8.0)
    new = script.list_of(0, 1, 2)
    made = script.new_id((old, 0), (new, 2))
    return script.submit_to(made, 0, 2)


def removed_and_promised() -> list[str]:
    """An entry is removed by one that doesn't learn that it succeeded."""
    script = Script(holders=(Holder((0, 1), 1), Holder((0, 2), 2)))
    network = script.site.network
    old = script.list_of(0, 1)
    script.cut("entry-1", STORE)
    network.cut_one_way("entry-1", "entry-0")
    script.wait(1.0)
    network.cut_one_way(STORE, "entry-0")
    script.wait_for(lambda: len(script.site.table.entry_list.members) == 1)
    network.heal()
    script.cut("entry-0", STORE)
    script.cut("entry-1", STORE)
    script.cut("entry-1", "entry-2")
    _join(script)
    joiner = script.entry(2).core.lease
    script.wait_for(lambda: bool(joiner._join_acks))
    network.cut_one_way("entry-2", "entry-0")
    script.wait(8.0)
    new = script.list_of(0, 2)
    made = script.new_id((old, 1), (new, 2))
    return script.submit_to(made, 1, 2)


def owner_for_a_version_unseen() -> list[str]:
    """An owner misses the version in which another owned its keys."""
    script = Script(holders=(Holder((0, 1, 2), 2),))
    old = script.list_of(0, 1)
    _join(script)
    joiner = script.entry(2).core.lease
    script.wait_for(lambda: len(joiner._join_acks) == 2)
    for other in ("entry-1", "entry-2", STORE):
        script.site.network.cut_one_way(other, "entry-0")
    script.wait_for(lambda: joiner.is_member)
    new = script.list_of(0, 1, 2)
    # Between the joiner's gain and the age limit only the prior owner can
    # tell; so the id is made once the joiner may start it by age.
    script.wait(4.0)
    made = script.new_id((old, 0), (new, 2))
    script.submit(2, made)
    script.wait(1.0)
    script.site.kill(script.entry(2))
    script.replace_agents()
    script.wait_for(
        lambda: all(
            member.entry.name != "entry-2"
            for member in script.site.table.entry_list.members
        )
    )
    script.site.network.heal()
    script.wait(4.0)
    return script.submit_to(made, 0)


def accepts_after_hand_over() -> list[str]:
    """A submission comes between the hand-over and leaving the list."""
    # The leaving entry grants no quota any more, so the other one must.
    script = Script(holders=(Holder((0, 1), 1),))
    both = script.list_of(0, 1)
    leaver = script.entry(0)
    script.site.leave(leaver)
    script.cut(leaver.name, STORE)
    made = script.new_id((both, 0))
    keeper = script.entry(1).core._past
    script.wait_for(lambda: bool(keeper._hand_overs))
    script.submit(0, made)
    script.wait(0.5)
    script.site.network.heal()
    script.wait_for(lambda: len(script.site.table.entry_list.members) == 1)
    script.replace_agents()
    return script.submit_to(made, 1)


def record_expires() -> list[str]:
    """A submission is sent again after its record was forgotten."""
    script = Script(timings=Timings(retention_s=5.0))
    made = script.new_id((script.list_of(0, 1), 0))
    script.submit(0, made)
    script.wait(12.0)
    script.replace_agents()
    return script.submit_to(made, 0)


def refuses_without_lease() -> list[str]:
    """A job's deadline passes while its owner has no lease."""
    script = Script(agents=0)
    made = script.new_id((script.list_of(0, 1), 0))
    script.submit(0, made, deadline_s=4.0)
    script.wait(0.5)
    script.cut("entry-0", "entry-1", STORE)
    script.wait(6.0)
    return [
        f"refused without a lease: {seen.answer}"
        for seen in script.answers
        if seen.answer is not None and seen.answer.outcome is Outcome.NOT_RUN
    ]


def echo_without_confirmation() -> list[str]:
    """An entry cut off from all but an agent sends it a message."""
    script = Script(run_s=4.0, slots=1, ahead=6, agents=1)
    both = script.list_of(0, 1)
    ids = [script.new_id((both, 0)) for _ in range(3)]
    for submission_id in ids:
        script.submit(0, submission_id, deadline_s=30.0)
    script.wait(0.5)
    for other in ("entry-1", STORE):
        script.cut("entry-0", other)
    script.cut("entry-1", "agent-0")
    script.site.change_data_centre(
        script.entry(1), "dc-0", DataCentreState.OUT
    )
    script.wait(4.0)
    script.site.submit(script.entry(0), ids[2], 1, 2.0, CallKind.CANCEL)
    script.wait(6.0)
    return script.site.history.check()


def queued_in_a_closed_data_centre() -> list[str]:
    """A data centre is taken out while tasks wait at its agent."""
    script = Script(run_s=2.5, slots=1, ahead=6, agents=1)
    made = [script.new_id((script.list_of(0, 1), 0)) for _ in range(4)]
    for submission_id in made:
        script.submit(0, submission_id, deadline_s=30.0)
    script.wait(0.5)
    script.site.change_data_centre(
        script.entry(1), "dc-0", DataCentreState.OUT
    )
    script.wait(12.0)
    return script.site.history.check()


def queued_at_a_draining_agent() -> list[str]:
    """An agent is told to stop while tasks wait there."""
    script = Script(run_s=2.5, slots=1, ahead=6, agents=1)
    made = [script.new_id((script.list_of(0, 1), 0)) for _ in range(4)]
    for submission_id in made:
        script.submit(0, submission_id, deadline_s=30.0)
    script.wait(0.5)
    script.site.drain(script.agent(0), 12.0)
    script.wait(12.0)
    return script.site.history.check()


def agent_freezes_before_a_start() -> list[str]:
    """An agent pauses between its decision and handing the task over."""
    script = Script(agents=1)
    made = script.new_id((script.list_of(0, 1), 0))
    agent = script.agent(0)
    perform = agent._perform

    def pause(action: object, decided_at: float) -> None:
        agent._perform = perform  # type: ignore[method-assign]
        agent._backlog.append((perform, action, decided_at))
        agent.freeze(5.0)

    def pause_before_start(action: object, decided_at: float) -> None:
        if type(action).__name__ == "StartTask":
            pause(action, decided_at)
        else:
            perform(action, decided_at)

    agent._perform = pause_before_start  # type: ignore[method-assign]
    script.submit(0, made, deadline_s=20.0)
    script.wait(0.5)
    script.site.change_data_centre(
        script.entry(1), "dc-0", DataCentreState.OUT
    )
    script.wait(10.0)
    return script.site.history.check()


def stream_breaks_with_tasks_waiting() -> list[str]:
    """A stream breaks while tasks wait at its agent."""
    script = Script(run_s=1.0, slots=1, ahead=6)
    both = script.list_of(0, 1)
    other = script.agent(1)
    script.site.kill(other)
    script.wait(0.5)
    for _ in range(6):
        script.submit(0, script.new_id((both, 0)), deadline_s=30.0)
    script.site.restart(other)
    script.wait(0.5)
    for stream in script.site.streams.of_agent("agent-0"):
        if stream.entry.name == "entry-0":
            script.site.streams.break_stream(stream.session)
    script.wait(12.0)
    return script.site.history.check()


def old_list_arrives_late() -> list[str]:
    """A promise with an old list comes after a newer list."""
    script = Script()
    lease = script.entry(0).core.lease
    member = lease.member
    newer = EntryList(9, lease.entry_list.members)
    older = EntryList(8, (member,))
    lease.adopt_list(newer, script.entry(0).clock)
    lease.adopt_list(older, script.entry(0).clock)
    if lease.entry_list == newer:
        return []
    return [f"reverted to version {lease.entry_list.version}"]


def _member(name: str, incarnation: int) -> Member:
    entry = EntryId(name, incarnation)
    return Member(entry, name, name, DataCentreName("dc-0"))


def _started_by(message: ToAgent, listed: Member) -> list[str]:
    """Hand a dispatch to an agent alone and see whether it starts."""
    agent = AgentCore(
        AgentId(AgentName("agent-0"), 7), DataCentreName("dc-0"), Timings()
    )
    agent.handle(TargetSeen(4, leaving=False), 100.0)
    agent.handle(EntryOpened(1, "entry-0"), 100.0)
    entry_list = EntryList(3, (listed,))
    hello = ToAgent(entry=listed.entry, entry_list=entry_list)
    agent.handle(EntryReceived(1, hello), 100.0)
    actions = agent.handle(EntryReceived(1, message), 100.1)
    return [
        f"started: {action}"
        for action in actions
        if type(action).__name__ == "StartTask"
    ]


def _dispatch() -> tuple[JobDispatch, ...]:
    return (
        JobDispatch(
            submission_id=mint_submission_id(1e9, Random(1)),
            customer=CustomerName("fjaervik"),
            kind="echo",
            task_count=1,
            digest=b"",
            deadline_in_s=5.0,
            tasks=(TaskSpec(0, b"1"),),
        ),
    )


def echo_of_a_former_agent() -> list[str]:
    """An entry echoes a token of the agent's former life."""
    member = _member("entry-0", 1)
    echo = AgentToken(incarnation=6, time_s=100.0)
    message = ToAgent(entry=member.entry, echo=echo, jobs=_dispatch())
    return _started_by(message, member)


def dispatch_of_a_removed_entry() -> list[str]:
    """An entry that is not on the list sends a task with a good echo."""
    member = _member("entry-0", 1)
    echo = AgentToken(incarnation=7, time_s=100.0)
    removed = EntryId("entry-1", 9)
    message = ToAgent(entry=removed, echo=echo, jobs=_dispatch())
    return _started_by(message, member)


CASES: dict[str, Callable[[], list[str]]] = {
    "wait at take-over": removed_while_confirmed,
    "token held before the confirmation": echo_without_confirmation,
    "token at the agent": echo_without_confirmation,
    "recovered tasks leave the queue": stream_breaks_with_tasks_waiting,
    "list version only up": old_list_arrives_late,
    "incarnation of a token": echo_of_a_former_agent,
    "fence of removed entries": dispatch_of_a_removed_entry,
    "promises of all peers": minority_with_table,
    "acknowledgement of a joiner": joins_unheard,
    "promise of a joiner": joins_and_is_cut_off,
    "no promise to a removed entry": removed_and_promised,
    "no promise during a change": unanswered_change,
    "no use of promises during a change": unanswered_change,
    "change adopted before promises": answered_change,
    "closed data centre at the start": queued_in_a_closed_data_centre,
    "drain at the start": queued_at_a_draining_agent,
    "no skipped list version": owner_for_a_version_unseen,
    "no new record during a hand-over": accepts_after_hand_over,
    "lease for a refusal": refuses_without_lease,
    "no start after a pause": agent_freezes_before_a_start,
    "age limit of records": record_expires,
}
"""The case of each rule that has one."""
