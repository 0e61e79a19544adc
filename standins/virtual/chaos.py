"""Long randomised runs with many faults at once, repeatable by seed."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.control.configuration import DataCentreState
from fulmarscale.entry.limits import EntryLimits
from fulmarscale.errors import Outcome
from fulmarscale.ids import mint_submission_id
from fulmarscale.wire.messages import CallKind
from standins.virtual.fake_table import TableMode
from standins.virtual.fake_table import WALL_START_S
from standins.virtual.nodes import EntryNode
from standins.virtual.nodes import STORE
from standins.virtual.site import VirtualOptions
from standins.virtual.site import VirtualSite

if TYPE_CHECKING:
    from fulmarscale.control.actions import AnswerCaller
    from fulmarscale.ids import SubmissionId
    from standins.virtual.nodes import Node

WARM_UP_S = 6.0
FAULTS_S = 50.0
HEALING_S = 15.0
PROBES = 20
PROBE_DEADLINE_S = 20.0
CALLER_SKEW_S = 0.45


class Fault(Enum):
    """A kind of fault or event."""

    TABLE = "table"
    TABLE_CUT = "table_cut"
    FREEZE = "freeze"
    CUT = "cut"
    HEAL = "heal"
    KILL = "kill"
    LEAVE = "leave"
    DRAIN = "drain"
    OPERATE = "operate"


class Profile(msgspec.Struct, kw_only=True, frozen=True):
    """What callers do and which faults come."""

    weights: dict[Fault, float]
    """The weight of each fault."""
    every_s: float = 1.0
    """The mean time between faults."""
    submissions: float = 6.0
    """Submissions a second."""
    tasks: tuple[int, ...] = (1, 1, 2, 4, 12)
    """Sizes of jobs."""
    copies: tuple[int, ...] = (1, 1, 2, 3)
    """How often one submission is sent."""
    copy_delays_s: tuple[float, ...] = (0.0, 0.0, 12.0)
    """The longest delay of a copy; one is drawn for each."""
    deadlines_s: tuple[float, ...] = (0.8, 3.0, 6.0)
    """Deadlines of jobs."""
    options: VirtualOptions = VirtualOptions()
    """Sizes and rates of the site."""


class ProfileName(Enum):
    """The profiles that runs are made with."""

    MIXED = "mixed"
    OWNERSHIP = "ownership"
    CLOSURES = "closures"


PROFILES = {
    ProfileName.MIXED: Profile(
        weights={
            Fault.TABLE: 15,
            Fault.TABLE_CUT: 5,
            Fault.FREEZE: 18,
            Fault.CUT: 14,
            Fault.HEAL: 12,
            Fault.KILL: 14,
            Fault.LEAVE: 7,
            Fault.DRAIN: 5,
            Fault.OPERATE: 10,
        },
    ),
    ProfileName.OWNERSHIP: Profile(
        weights={
            Fault.TABLE: 10,
            Fault.TABLE_CUT: 22,
            Fault.FREEZE: 25,
            Fault.CUT: 14,
            Fault.HEAL: 18,
            Fault.KILL: 8,
            Fault.LEAVE: 4,
        },
        every_s=0.7,
        submissions=20.0,
        tasks=(1,),
        copies=(2, 3, 4),
        copy_delays_s=(0.0, 0.4, 2.5),
        deadlines_s=(3.0,),
        options=VirtualOptions(
            agents=2,
            data_centres=2,
            slots=16,
            run_s=(0.01, 0.05),
            fail_share=0.0,
            start_freeze_share=0.02,
        ),
    ),
    ProfileName.CLOSURES: Profile(
        weights={
            Fault.TABLE: 12,
            Fault.TABLE_CUT: 10,
            Fault.FREEZE: 22,
            Fault.CUT: 10,
            Fault.HEAL: 14,
            Fault.DRAIN: 8,
            Fault.OPERATE: 24,
        },
        every_s=0.7,
        submissions=10.0,
        tasks=(1, 4),
        copies=(1,),
        copy_delays_s=(0.0,),
        deadlines_s=(8.0, 20.0),
        options=VirtualOptions(
            slots=1,
            run_s=(0.1, 1.5),
            fail_share=0.0,
            start_freeze_share=0.02,
            limits=EntryLimits(ahead=6, small_job=1000),
        ),
    ),
}
"""The profiles by name."""


class RunResult(msgspec.Struct):
    """What one seed showed."""

    seed: int
    """The seed."""
    breaches: list[str]
    """Every breach of a rule."""
    starts: int
    """Tasks started."""
    outcomes: dict[str, int]
    """Answers by outcome."""
    served: int
    """Probes answered as done after healing, of `PROBES`."""
    accepted_changes: int
    """Operators' changes that were accepted."""


class Chaos:
    """Callers, operators and faults at a virtual site."""

    def __init__(self, seed: int, profile: Profile) -> None:
        self._seed = seed
        self._profile = profile
        self._site = VirtualSite(seed, profile.options)
        self._random = self._site.random
        self._end = WARM_UP_S + FAULTS_S
        self._served = 0

    @property
    def site(self) -> VirtualSite:
        """The site."""
        return self._site

    def run(self) -> RunResult:
        """Run a seed from start to end."""
        scheduler = self._site.scheduler
        scheduler.at(WARM_UP_S, self._fault)
        scheduler.at(WARM_UP_S / 2, self._submit)
        scheduler.run_until(self._end)
        self._site.heal()
        scheduler.run_until(self._end + HEALING_S)
        for _ in range(PROBES):
            self._probe()
        scheduler.run_until(self._end + HEALING_S + PROBE_DEADLINE_S + 3)
        history = self._site.history
        return RunResult(
            seed=self._seed,
            breaches=history.check(),
            starts=len(history.starts),
            outcomes=history.count_outcomes(),
            served=self._served,
            accepted_changes=self._site.accepted_changes,
        )

    def _submit(self) -> None:
        random = self._random
        site = self._site
        if site.now < self._end:
            wait_s = random.expovariate(self._profile.submissions)
            site.scheduler.after(wait_s, self._submit)
        if not site.entries:
            return
        submission_id = self._new_id()
        tasks = random.choice(self._profile.tasks)
        deadline_s = random.choice(self._profile.deadlines_s)
        for _ in range(random.choice(self._profile.copies)):
            longest_s = random.choice(self._profile.copy_delays_s)
            wait_s = random.uniform(0, longest_s)
            site.scheduler.after(
                wait_s, self._call, submission_id, tasks, deadline_s
            )
        if random.random() < 0.08:
            site.scheduler.after(
                random.uniform(0, 0.5), self._cancel, submission_id, tasks
            )

    def _new_id(self) -> SubmissionId:
        site = self._site
        if self._random.random() < 0.5:
            skew_s = self._random.uniform(-CALLER_SKEW_S, CALLER_SKEW_S)
            wall_s = WALL_START_S + site.now + skew_s
            return mint_submission_id(wall_s, self._random)
        node = self._random.choice(site.entries)
        minted = node.core.mint(1, node.clock)
        wall_s = WALL_START_S + site.now
        return (
            minted[0] if minted else mint_submission_id(wall_s, self._random)
        )

    def _call(
        self, submission_id: SubmissionId, tasks: int, deadline_s: float
    ) -> None:
        if self._site.entries:
            node = self._random.choice(self._site.entries)
            self._site.submit(node, submission_id, tasks, deadline_s)

    def _cancel(self, submission_id: SubmissionId, tasks: int) -> None:
        if self._site.entries:
            node = self._random.choice(self._site.entries)
            self._site.submit(node, submission_id, tasks, 2.0, CallKind.CANCEL)

    def _probe(self) -> None:
        site = self._site
        wall_s = WALL_START_S + site.now
        submission_id = mint_submission_id(wall_s, self._random)
        node = self._random.choice(site.entries)
        site.submit(
            node, submission_id, 1, PROBE_DEADLINE_S, answered=self._count
        )

    def _count(self, action: AnswerCaller) -> None:
        if action.answer is not None and action.answer.outcome in (
            Outcome.DONE,
            Outcome.FAILED,
        ):
            self._served += 1

    def _fault(self) -> None:
        site = self._site
        if site.now >= self._end:
            return
        wait_s = self._random.expovariate(1 / self._profile.every_s)
        site.scheduler.after(wait_s, self._fault)
        if not any(node.is_alive for node in site.nodes.values()):
            return
        weights = self._profile.weights
        (fault,) = self._random.choices(list(weights), list(weights.values()))
        self._bring_about(fault)

    def _bring_about(self, fault: Fault) -> None:
        match fault:
            case Fault.TABLE:
                self._site.table.mode = self._random.choice(
                    (*TableMode, TableMode.UP, TableMode.UP)
                )
            case Fault.TABLE_CUT:
                self._cut_from_table()
            case Fault.FREEZE:
                self._any_node().freeze(self._site.freeze_time_s())
            case Fault.CUT:
                self._cut()
            case Fault.HEAL:
                self._site.network.heal()
            case Fault.KILL:
                self._kill()
            case Fault.LEAVE:
                self._leave()
            case Fault.DRAIN:
                self._drain()
            case Fault.OPERATE:
                self._operate()

    def _cut_from_table(self) -> None:
        if not self._site.entries:
            return
        name = self._random.choice(self._site.entries).name
        ends = (name, STORE)
        if self._random.random() < 0.5:
            ends = (STORE, name)
        self._site.network.cut_one_way(*ends)

    def _any_node(self) -> Node:
        nodes = [n for n in self._site.nodes.values() if n.is_alive]
        return self._random.choice(nodes)

    def _cut(self) -> None:
        names = [*sorted(self._site.nodes), STORE]
        draw = self._random.random()
        if draw < 0.4:
            name = self._random.choice(names)
            self._site.network.isolate(name, self._random.randrange(3))
        elif draw < 0.7:
            source, target = self._random.sample(names, 2)
            self._site.network.cut_one_way(source, target)
        else:
            self._cut_data_centre()

    def _cut_data_centre(self) -> None:
        number = self._random.randrange(self._site.options.data_centres)
        name = self._site.data_centre_of(number)
        for entry in self._site.entries:
            if entry.core.lease.member.data_centre == name:
                self._site.network.isolate(entry.name, 1)
        for agent in self._site.agents:
            if agent.data_centre == name:
                self._site.network.isolate(agent.name, 1)

    def _kill(self) -> None:
        site = self._site
        killed: list[Node] = [self._any_node()]
        if self._random.random() < 0.3:
            killed.append(self._any_node())
        if self._random.random() < 0.08:
            killed = [*site.entries]
        for node in killed:
            if node.is_alive:
                site.kill(node)
                delay_s = self._random.choice((0.3, 1.5, 8.0))
                site.scheduler.after(delay_s, self._restart, node)

    def _restart(self, node: Node) -> None:
        if self._site.nodes.get(node.name) is node:
            self._site.restart(node)

    def _leave(self) -> None:
        entries = self._site.entries
        if len(entries) > 1:
            node = self._random.choice(entries)
            if isinstance(node, EntryNode) and not node.is_leaving:
                self._site.leave(node)

    def _drain(self) -> None:
        agents = self._site.agents
        if len(agents) > 1:
            node = self._random.choice(agents)
            self._site.drain(node, self._random.uniform(2, 6))

    def _operate(self) -> None:
        site = self._site
        if not site.entries:
            return
        number = self._random.randrange(site.options.data_centres)
        name = site.data_centre_of(number)
        for _ in range(self._random.choice((1, 1, 2))):
            node = self._random.choice(site.entries)
            state = self._random.choice(
                (DataCentreState.OUT, DataCentreState.IN, DataCentreState.IN)
            )
            site.change_data_centre(node, name, state)


def run_seed(seed: int, name: ProfileName = ProfileName.MIXED) -> RunResult:
    """Run one seed with a profile."""
    return Chaos(seed, PROFILES[name]).run()
