"""Scripted cases for safety rules that random faults seldom exercise.

Each case produces the order of events that its rule guards against, and
returns the violations found: none as long as the rule holds.
"""

from __future__ import annotations

from random import Random
from typing import NamedTuple
from typing import TYPE_CHECKING

from msgspec import structs

from fulmarscale.agent.core import AgentCore
from fulmarscale.agent.inputs import EntryOpened
from fulmarscale.agent.inputs import EntryReceived
from fulmarscale.agent.inputs import TargetAnnounced
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
from fulmarscale.ids import generate_submission_id
from fulmarscale.wire.messages import AgentToken
from fulmarscale.wire.messages import CallKind
from fulmarscale.wire.messages import JobDispatch
from fulmarscale.wire.messages import TaskSpec
from fulmarscale.wire.messages import ToAgent
from standins.virtual.fake_table import WALL_START_S
from standins.virtual.nodes import AgentNode
from standins.virtual.nodes import EntryNode
from standins.virtual.nodes import TABLE_NODE
from standins.virtual.site import VirtualOptions
from standins.virtual.site import VirtualSite

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.control.actions import AnswerCaller
    from fulmarscale.control.configuration import Contract
    from fulmarscale.ids import SubmissionId

WARM_UP_S = 6.0
"""Time for entries to join, gain leases and connect to agents."""

POLL_INTERVAL_S = 0.01
"""Interval at which a case checks its condition."""


class QuotaOwner(NamedTuple):
    """Entry of a list that is to own the quota of the customer."""

    members: tuple[int, ...]
    """Numbers of the entries on the list."""
    owner_number: int
    """Number of the entry that is to own the quota."""


def _find_customer(quota_owners: tuple[QuotaOwner, ...]) -> CustomerName:
    """Return a customer whose quota has the given owners."""
    for number in range(1000):
        name = f"customer-{number}"
        if all(_owns_quota(name, quota_owner) for quota_owner in quota_owners):
            return CustomerName(name)
    raise AssertionError(
        "no customer name assigns the quota to the requested owners"
    )


def _owns_quota(customer: str, quota_owner: QuotaOwner) -> bool:
    members = [_make_member(f"entry-{n}", 0) for n in quota_owner.members]
    owner = EntryList(1, tuple(members)).owner(f"quota:{customer}")
    return (
        owner is not None
        and owner.entry.name == f"entry-{quota_owner.owner_number}"
    )


class ScriptedSite:
    """Virtual site without random faults, for a fixed order of events.

    :param entries: number of entries.
    :param agents: number of agents, each with a target.
    :param run_s: duration of every run.
    :param slots: tasks that a target runs at once.
    :param ahead: tasks that may wait at an agent for a slot.
    :param timings: timings of all processes; the defaults if none.
    :param quota_owners: which entry owns the quota of the customer, by list.
    :param contract: contract of the customer; the default if none.
    :param limits: limits of the entries; the defaults with `ahead` if none.
    """

    def __init__(
        self,
        *,
        entries: int = 2,
        agents: int = 2,
        run_s: float = 0.05,
        slots: int = 4,
        ahead: int = 0,
        timings: Timings | None = None,
        quota_owners: tuple[QuotaOwner, ...] = (),
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
            pause_share=0.0,
            start_pause_share=0.0,
            run_s=(run_s, run_s),
            fail_share=0.0,
            timings=timings or Timings(),
            limits=limits or EntryLimits(ahead=ahead, small_job=1000),
            customer=_find_customer(quota_owners),
        )
        if contract is not None:
            options = structs.replace(options, contract=contract)
        self.site = VirtualSite(1, options)
        self.answers: list[AnswerCaller] = []
        """Answers to callers in their order."""
        self.wait(WARM_UP_S)

    def entry(self, number: int) -> EntryNode:
        """Return the entry process with a number."""
        node = self.site.nodes[f"entry-{number}"]
        assert isinstance(node, EntryNode)
        return node

    def agent(self, number: int) -> AgentNode:
        """Return the agent process with a number."""
        node = self.site.nodes[f"agent-{number}"]
        assert isinstance(node, AgentNode)
        return node

    def wait(self, duration_s: float) -> None:
        """Advance the virtual time."""
        self.site.scheduler.run_until(self.site.now + duration_s)

    def wait_for(
        self, is_true: Callable[[], bool], limit_s: float = 20.0
    ) -> None:
        """Advance the virtual time until a condition holds."""
        until = self.site.now + limit_s
        while not is_true():
            assert self.site.now < until, (
                "the condition of the case did not hold in time"
            )
            self.wait(POLL_INTERVAL_S)

    def disconnect(self, *names: str) -> None:
        """Disconnect each of the named nodes from all the others."""
        for source in names:
            for target in names:
                if source != target:
                    self.site.network.cut_one_way(source, target)

    def mint_id(
        self, *owners: tuple[EntryList, int], ahead_s: float = 0.0
    ) -> SubmissionId:
        """Return a submission id with the given owners.

        :param owners: pairs of a list and the number of the entry that is to
            own the id in it.
        :param ahead_s: how far the clock of the caller is ahead.
        """
        wall_s = WALL_START_S + self.site.now + ahead_s
        while True:
            submission_id = generate_submission_id(wall_s, self.site.random)
            members = [
                entry_list.owner(submission_id) for entry_list, _ in owners
            ]
            names = [f"entry-{number}" for _, number in owners]
            if [m and m.entry.name for m in members] == names:
                return submission_id

    def submit(
        self, entry: int, submission_id: SubmissionId, deadline_s: float = 4.0
    ) -> None:
        """Submit a job of one task at an entry."""
        self.site.submit(
            self.entry(entry),
            submission_id,
            1,
            deadline_s,
            on_answer=self.answers.append,
        )

    def submit_and_check(
        self, submission_id: SubmissionId, *entries: int
    ) -> list[str]:
        """Submit one job at several entries and return all violations."""
        for entry in entries:
            self.submit(entry, submission_id)
        self.wait(6.0)
        return self.site.history.check()

    def restart_agents(self) -> None:
        """Restart all agents, which loses their start records."""
        for agent in self.site.agents:
            self.site.kill(agent)
            self.site.restart(agent)
        self.wait(1.0)

    def make_entry_list(self, *numbers: int) -> EntryList:
        """Return a list of entries by number, with their own incarnations."""
        members = [self.entry(n).core.lease.member for n in numbers]
        return EntryList(1, tuple(sorted(members)))


def configuration_change_without_store(
    *, answered: bool, cut_writer: bool
) -> list[str]:
    """Guard against starts in a data centre after it was taken out.

    One entry has no access to the store, the other writes a change that
    takes a data centre out. The change is accepted, but the store becomes
    unreachable, so that the first entry must not keep its lease.

    :param answered: whether the writer still receives the acceptance.
    :param cut_writer: whether the writer then loses the store as well.
    """
    scripted_site = ScriptedSite()
    scripted_site.disconnect("entry-1", TABLE_NODE)
    scripted_site.wait(1.0)
    scripted_site.site.change_data_centre(
        scripted_site.entry(0), "dc-0", DataCentreState.OUT
    )
    version = scripted_site.site.table.configuration.version
    if not answered:
        scripted_site.site.network.cut_one_way(TABLE_NODE, "entry-0")
    scripted_site.wait_for(
        lambda: scripted_site.site.table.configuration.version > version
    )
    if answered:
        scripted_site.wait_for(lambda: scripted_site.site.accepted_changes > 0)
    if cut_writer:
        scripted_site.disconnect("entry-0", TABLE_NODE)
    scripted_site.wait(8.0)
    return scripted_site.site.history.check()


def change_with_lost_answer() -> list[str]:
    """A change is accepted, but the answer to its writer is lost."""
    return configuration_change_without_store(answered=False, cut_writer=True)


def change_before_store_outage() -> list[str]:
    """The store becomes unreachable right after a change is accepted."""
    return configuration_change_without_store(answered=True, cut_writer=True)


def removal_after_confirmation() -> list[str]:
    """Guard against two owners of one id after a removal.

    An entry is removed from the list right after its lease was confirmed.
    Both it and the new owner then get the same submission.
    """
    scripted_site = ScriptedSite(quota_owners=(QuotaOwner((0, 1), 0),))
    scripted_site.site.network.cut_one_way("entry-0", "entry-1")
    both = scripted_site.make_entry_list(0, 1)
    # Each entry has its own agent, without start records of the other.
    scripted_site.disconnect("entry-0", "agent-1")
    scripted_site.disconnect("entry-1", "agent-0")
    # Traffic keeps the token echoes of the removed entry fresh.
    while len(scripted_site.site.table.entry_list.members) > 1:
        scripted_site.submit(0, scripted_site.mint_id((both, 0)))
        scripted_site.wait(POLL_INTERVAL_S)
    scripted_site.disconnect("entry-0", "entry-1")
    scripted_site.disconnect("entry-0", TABLE_NODE)
    # The clock of the caller is ahead by almost the allowed skew.
    scripted_site.wait(0.6)
    return scripted_site.submit_and_check(
        scripted_site.mint_id((both, 0), ahead_s=0.45), 0, 1
    )


def table_reachable_by_minority() -> list[str]:
    """Guard against a lease that is confirmed by a majority only.

    Two of three entries lose the table but still promise to one another.
    The third one has the table and removes them from the list.
    """
    scripted_site = ScriptedSite(entries=3)
    all_entries = scripted_site.make_entry_list(0, 1, 2)
    for isolated in ("entry-0", "entry-2"):
        scripted_site.disconnect(isolated, TABLE_NODE)
        scripted_site.disconnect(isolated, "entry-1")
    scripted_site.wait_for(
        lambda: len(scripted_site.site.table.entry_list.members) == 1
    )
    scripted_site.wait(5.0)
    return scripted_site.submit_and_check(
        scripted_site.mint_id((all_entries, 0)), 0, 1
    )


def _start_joiner(scripted_site: ScriptedSite) -> None:
    """Start a third entry, which joins the list."""
    scripted_site.site.start_entry("entry-2", "dc-0")


def join_without_reachable_members() -> list[str]:
    """Guard against an entry that joins without acknowledgements.

    The members can reach neither the store nor the joining entry, so they
    would go on owning ids that the new list assigns to it.
    """
    scripted_site = ScriptedSite()
    old = scripted_site.make_entry_list(0, 1)
    for name in ("entry-0", "entry-1"):
        scripted_site.disconnect(name, TABLE_NODE)
        scripted_site.disconnect(name, "entry-2")
    _start_joiner(scripted_site)
    scripted_site.wait(8.0)
    new = scripted_site.make_entry_list(0, 1, 2)
    submission_id = scripted_site.mint_id((old, 0), (new, 2))
    return scripted_site.submit_and_check(submission_id, 0, 2)


def joiner_disconnected_after_ack() -> list[str]:
    """Guard against members that forget an entry they acknowledged.

    The members acknowledge a joining entry and are then disconnected from it
    and from the store. Without its promises they must lose their leases.
    """
    scripted_site = ScriptedSite()
    old = scripted_site.make_entry_list(0, 1)
    _start_joiner(scripted_site)
    joiner = scripted_site.entry(2).core.lease
    scripted_site.wait_for(lambda: len(joiner._join_acks) == 2)
    for name in ("entry-0", "entry-1"):
        scripted_site.disconnect(name, TABLE_NODE)
        scripted_site.disconnect(name, "entry-2")
    scripted_site.wait(8.0)
    new = scripted_site.make_entry_list(0, 1, 2)
    submission_id = scripted_site.mint_id((old, 0), (new, 2))
    return scripted_site.submit_and_check(submission_id, 0, 2)


def removal_with_lost_answer() -> list[str]:
    """Guard against promises to an entry that was removed.

    An entry removes another, but the answer of the store is lost. It goes on
    with the old list and acknowledges a joining entry. A promise would let
    the removed one keep a lease for ids that the joining entry owns.
    """
    scripted_site = ScriptedSite(
        quota_owners=(QuotaOwner((0, 1), 1), QuotaOwner((0, 2), 2))
    )
    network = scripted_site.site.network
    old = scripted_site.make_entry_list(0, 1)
    scripted_site.disconnect("entry-1", TABLE_NODE)
    network.cut_one_way("entry-1", "entry-0")
    scripted_site.wait(1.0)
    network.cut_one_way(TABLE_NODE, "entry-0")
    scripted_site.wait_for(
        lambda: len(scripted_site.site.table.entry_list.members) == 1
    )
    network.heal()
    scripted_site.disconnect("entry-0", TABLE_NODE)
    scripted_site.disconnect("entry-1", TABLE_NODE)
    scripted_site.disconnect("entry-1", "entry-2")
    _start_joiner(scripted_site)
    joiner = scripted_site.entry(2).core.lease
    scripted_site.wait_for(lambda: bool(joiner._join_acks))
    network.cut_one_way("entry-2", "entry-0")
    scripted_site.wait(8.0)
    new = scripted_site.make_entry_list(0, 2)
    submission_id = scripted_site.mint_id((old, 1), (new, 2))
    return scripted_site.submit_and_check(submission_id, 1, 2)


def owner_skips_list_version() -> list[str]:
    """Guard against an owner that skipped a version of the list.

    While it is disconnected, another entry joins, owns its ids for a while,
    starts a job and is killed. Afterwards the first entry owns the ids again
    and must not conclude from its previous list that the job is new.
    """
    scripted_site = ScriptedSite(quota_owners=(QuotaOwner((0, 1, 2), 2),))
    old = scripted_site.make_entry_list(0, 1)
    _start_joiner(scripted_site)
    joiner = scripted_site.entry(2).core.lease
    scripted_site.wait_for(lambda: len(joiner._join_acks) == 2)
    for other in ("entry-1", "entry-2", TABLE_NODE):
        scripted_site.site.network.cut_one_way(other, "entry-0")
    scripted_site.wait_for(lambda: joiner.is_member)
    new = scripted_site.make_entry_list(0, 1, 2)
    # Soon after the joiner gains ownership, only the prior owner can
    # determine whether an id is new. This id is minted later, when its age
    # proves that it is new.
    scripted_site.wait(4.0)
    submission_id = scripted_site.mint_id((old, 0), (new, 2))
    scripted_site.submit(2, submission_id)
    scripted_site.wait(1.0)
    scripted_site.site.kill(scripted_site.entry(2))
    scripted_site.restart_agents()
    scripted_site.wait_for(
        lambda: all(
            member.entry.name != "entry-2"
            for member in scripted_site.site.table.entry_list.members
        )
    )
    scripted_site.site.network.heal()
    scripted_site.wait(4.0)
    return scripted_site.submit_and_check(submission_id, 0)


def submission_after_hand_over() -> list[str]:
    """Guard against records made after they were handed over.

    An entry that shuts down gets a submission after it has handed its
    records over, but before it has left the list.
    """
    # An entry that shuts down grants no quota, so the other one owns it.
    scripted_site = ScriptedSite(quota_owners=(QuotaOwner((0, 1), 1),))
    both = scripted_site.make_entry_list(0, 1)
    leaving_entry = scripted_site.entry(0)
    scripted_site.site.shut_down_entry(leaving_entry)
    scripted_site.disconnect(leaving_entry.name, TABLE_NODE)
    submission_id = scripted_site.mint_id((both, 0))
    successor = scripted_site.entry(1).core._submission_history
    scripted_site.wait_for(lambda: bool(successor._hand_overs))
    scripted_site.submit(0, submission_id)
    scripted_site.wait(0.5)
    scripted_site.site.network.heal()
    scripted_site.wait_for(
        lambda: len(scripted_site.site.table.entry_list.members) == 1
    )
    scripted_site.restart_agents()
    return scripted_site.submit_and_check(submission_id, 1)


def submission_after_record_expired() -> list[str]:
    """Guard against a second run of an old submission.

    A submission is sent again after its record has expired.
    """
    scripted_site = ScriptedSite(timings=Timings(retention_s=5.0))
    submission_id = scripted_site.mint_id(
        (scripted_site.make_entry_list(0, 1), 0)
    )
    scripted_site.submit(0, submission_id)
    scripted_site.wait(12.0)
    scripted_site.restart_agents()
    return scripted_site.submit_and_check(submission_id, 0)


def deadline_without_lease() -> list[str]:
    """Guard against a false answer that a job was not run.

    The deadline of a job passes while its owner has no lease. Another owner
    might have started the job, so this one must not answer.
    """
    scripted_site = ScriptedSite(agents=0)
    submission_id = scripted_site.mint_id(
        (scripted_site.make_entry_list(0, 1), 0)
    )
    scripted_site.submit(0, submission_id, deadline_s=4.0)
    scripted_site.wait(0.5)
    scripted_site.disconnect("entry-0", "entry-1", TABLE_NODE)
    scripted_site.wait(6.0)
    return [
        f"answered as not run without a lease: {sent.answer}"
        for sent in scripted_site.answers
        if sent.answer is not None and sent.answer.outcome is Outcome.NOT_RUN
    ]


def echo_from_isolated_entry() -> list[str]:
    """Guard against starts by an entry without a confirmed lease.

    An entry can reach only its agent. While it is disconnected, the data
    centre is taken out. Its next message must not let the agent start the
    tasks queued there.
    """
    scripted_site = ScriptedSite(run_s=4.0, slots=1, ahead=6, agents=1)
    both = scripted_site.make_entry_list(0, 1)
    ids = [scripted_site.mint_id((both, 0)) for _ in range(3)]
    for submission_id in ids:
        scripted_site.submit(0, submission_id, deadline_s=30.0)
    scripted_site.wait(0.5)
    for other in ("entry-1", TABLE_NODE):
        scripted_site.disconnect("entry-0", other)
    scripted_site.disconnect("entry-1", "agent-0")
    scripted_site.site.change_data_centre(
        scripted_site.entry(1), "dc-0", DataCentreState.OUT
    )
    scripted_site.wait(4.0)
    scripted_site.site.submit(
        scripted_site.entry(0), ids[2], 1, 2.0, CallKind.CANCEL
    )
    scripted_site.wait(6.0)
    return scripted_site.site.history.check()


def closure_with_queued_tasks() -> list[str]:
    """Guard against starts of queued tasks in a closed data centre.

    The data centre is taken out while tasks are queued at its agent.
    """
    scripted_site = ScriptedSite(run_s=2.5, slots=1, ahead=6, agents=1)
    submission_ids = [
        scripted_site.mint_id((scripted_site.make_entry_list(0, 1), 0))
        for _ in range(4)
    ]
    for submission_id in submission_ids:
        scripted_site.submit(0, submission_id, deadline_s=30.0)
    scripted_site.wait(0.5)
    scripted_site.site.change_data_centre(
        scripted_site.entry(1), "dc-0", DataCentreState.OUT
    )
    scripted_site.wait(12.0)
    return scripted_site.site.history.check()


def drain_with_queued_tasks() -> list[str]:
    """Guard against starts of queued tasks at a draining agent.

    The agent is drained while tasks are queued there.
    """
    scripted_site = ScriptedSite(run_s=2.5, slots=1, ahead=6, agents=1)
    submission_ids = [
        scripted_site.mint_id((scripted_site.make_entry_list(0, 1), 0))
        for _ in range(4)
    ]
    for submission_id in submission_ids:
        scripted_site.submit(0, submission_id, deadline_s=30.0)
    scripted_site.wait(0.5)
    scripted_site.site.drain(scripted_site.agent(0), 12.0)
    scripted_site.wait(12.0)
    return scripted_site.site.history.check()


def agent_paused_before_start() -> list[str]:
    """Guard against a start that was decided on long ago.

    An agent is paused between its decision to start a task and the hand-over
    to the target. In this pause the data centre is taken out.
    """
    scripted_site = ScriptedSite(agents=1)
    submission_id = scripted_site.mint_id(
        (scripted_site.make_entry_list(0, 1), 0)
    )
    agent = scripted_site.agent(0)
    perform = agent._perform

    def pause(action: object, decided_at: float) -> None:
        agent._perform = perform  # type: ignore[method-assign]
        agent._backlog.append((perform, action, decided_at))
        agent.pause(5.0)

    def pause_before_start(action: object, decided_at: float) -> None:
        if type(action).__name__ == "StartTask":
            pause(action, decided_at)
        else:
            perform(action, decided_at)

    agent._perform = pause_before_start  # type: ignore[method-assign]
    scripted_site.submit(0, submission_id, deadline_s=20.0)
    scripted_site.wait(0.5)
    scripted_site.site.change_data_centre(
        scripted_site.entry(1), "dc-0", DataCentreState.OUT
    )
    scripted_site.wait(10.0)
    return scripted_site.site.history.check()


def stream_broken_with_queued_tasks() -> list[str]:
    """Guard against a second run of tasks recovered from an agent.

    A stream breaks while tasks are queued at the agent. The entry recovers
    them and may dispatch them elsewhere, so they must leave the queue.
    """
    scripted_site = ScriptedSite(run_s=1.0, slots=1, ahead=6)
    both = scripted_site.make_entry_list(0, 1)
    other = scripted_site.agent(1)
    scripted_site.site.kill(other)
    scripted_site.wait(0.5)
    for _ in range(6):
        scripted_site.submit(
            0, scripted_site.mint_id((both, 0)), deadline_s=30.0
        )
    scripted_site.site.restart(other)
    scripted_site.wait(0.5)
    for stream in scripted_site.site.streams.of_agent("agent-0"):
        if stream.entry.name == "entry-0":
            scripted_site.site.streams.break_stream(stream.session)
    scripted_site.wait(12.0)
    return scripted_site.site.history.check()


def older_list_after_newer() -> list[str]:
    """Guard against an older list that arrives after a newer one."""
    scripted_site = ScriptedSite()
    lease = scripted_site.entry(0).core.lease
    member = lease.member
    newer = EntryList(9, lease.entry_list.members)
    older = EntryList(8, (member,))
    lease.adopt_list(newer, scripted_site.entry(0).clock)
    lease.adopt_list(older, scripted_site.entry(0).clock)
    if lease.entry_list == newer:
        return []
    return [f"list reverted to version {lease.entry_list.version}"]


def _make_member(name: str, incarnation: int) -> Member:
    entry = EntryId(name, incarnation)
    return Member(entry, name, name, DataCentreName("dc-0"))


def _find_starts(message: ToAgent, listed: Member) -> list[str]:
    """Return the starts that a message causes at a single agent.

    :param message: the message of an entry.
    :param listed: the only member of the list that the agent knows.
    """
    agent = AgentCore(
        AgentId(AgentName("agent-0"), 7), DataCentreName("dc-0"), Timings()
    )
    agent.handle(TargetAnnounced(4, is_leaving=False), 100.0)
    agent.handle(EntryOpened(1, "entry-0"), 100.0)
    entry_list = EntryList(3, (listed,))
    hello = ToAgent(entry=listed.entry, entry_list=entry_list)
    agent.handle(EntryReceived(1, hello), 100.0)
    actions = agent.handle(EntryReceived(1, message), 100.1)
    return [
        f"task started: {action}"
        for action in actions
        if type(action).__name__ == "StartTask"
    ]


def _make_dispatch() -> tuple[JobDispatch, ...]:
    """Return a dispatch of one task."""
    return (
        JobDispatch(
            submission_id=generate_submission_id(1e9, Random(1)),
            customer=CustomerName("fjaervik"),
            kind="echo",
            task_count=1,
            digest=b"",
            deadline_in_s=5.0,
            tasks=(TaskSpec(0, b"1"),),
        ),
    )


def token_of_former_incarnation() -> list[str]:
    """Guard against an echo of a token of a former agent process."""
    member = _make_member("entry-0", 1)
    echo = AgentToken(incarnation=6, time_s=100.0)
    message = ToAgent(entry=member.entry, echo=echo, jobs=_make_dispatch())
    return _find_starts(message, member)


def dispatch_from_removed_entry() -> list[str]:
    """Guard against a task from a removed entry with a valid echo."""
    member = _make_member("entry-0", 1)
    echo = AgentToken(incarnation=7, time_s=100.0)
    removed = EntryId("entry-1", 9)
    message = ToAgent(entry=removed, echo=echo, jobs=_make_dispatch())
    return _find_starts(message, member)


CASES: dict[str, Callable[[], list[str]]] = {
    "wait at take-over": removal_after_confirmation,
    "token held before the confirmation": echo_from_isolated_entry,
    "token at the agent": echo_from_isolated_entry,
    "recovered tasks leave the queue": stream_broken_with_queued_tasks,
    "list version only up": older_list_after_newer,
    "incarnation of a token": token_of_former_incarnation,
    "fence of removed entries": dispatch_from_removed_entry,
    "promises of all peers": table_reachable_by_minority,
    "acknowledgement of a joiner": join_without_reachable_members,
    "promise of a joiner": joiner_disconnected_after_ack,
    "no promise to a removed entry": removal_with_lost_answer,
    "no promise during a change": change_with_lost_answer,
    "no use of promises during a change": change_with_lost_answer,
    "change adopted before promises": change_before_store_outage,
    "closed data centre at the start": closure_with_queued_tasks,
    "drain at the start": drain_with_queued_tasks,
    "no skipped list version": owner_skips_list_version,
    "no new record during a hand-over": submission_after_hand_over,
    "lease for a refusal": deadline_without_lease,
    "no start after a pause": agent_paused_before_start,
    "age limit of records": submission_after_record_expired,
}
"""Case of each rule that has one, by the name of the rule.

The names are those of `RULE_REMOVALS` and of the table in rules.feature.
"""
