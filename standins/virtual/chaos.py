"""Randomised runs of a virtual site under many faults, repeatable by seed.

A run has four phases: the site starts; callers submit jobs while faults are
injected at random; the faults end and the site recovers; probes check that it
serves again. The history is then checked for violations of the safety rules.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.control.configuration import DataCentreState
from fulmarscale.entry.limits import EntryLimits
from fulmarscale.errors import Outcome
from fulmarscale.ids import generate_submission_id
from fulmarscale.wire.messages import CallKind
from standins.virtual.fake_table import TableMode
from standins.virtual.fake_table import WALL_START_S
from standins.virtual.nodes import EntryNode
from standins.virtual.nodes import TABLE_NODE
from standins.virtual.site import VirtualOptions
from standins.virtual.site import VirtualSite

if TYPE_CHECKING:
    from fulmarscale.control.actions import AnswerCaller
    from fulmarscale.ids import SubmissionId
    from standins.virtual.nodes import Node

WARM_UP_S = 6.0
"""Time from the start to the first fault; callers begin halfway."""

FAULT_PHASE_S = 50.0
"""Time in which faults are injected."""

RECOVERY_S = 15.0
"""Time from the last fault to the probes."""

PROBE_COUNT = 20
"""Number of jobs submitted after the recovery."""

PROBE_DEADLINE_S = 20.0
"""Deadline of each probe."""

MAX_CALLER_SKEW_S = 0.45
"""Largest clock error of callers that make submission ids on their own."""


class Fault(Enum):
    """A kind of fault, or an operation that may coincide with faults."""

    TABLE = "table"
    """The table changes its availability."""
    TABLE_CUT = "table_cut"
    """One direction between an entry and the table is cut."""
    FREEZE = "freeze"
    """A process is paused."""
    CUT = "cut"
    """A node, a link or a data centre is cut off."""
    HEAL = "heal"
    """All cuts of the network end."""
    KILL = "kill"
    """One or more processes are killed and restarted."""
    LEAVE = "leave"
    """An entry is shut down gracefully."""
    DRAIN = "drain"
    """An agent is drained and replaced."""
    OPERATE = "operate"
    """An operator closes or opens a data centre."""


class Profile(msgspec.Struct, kw_only=True, frozen=True):
    """The load and the faults of a run."""

    fault_weights: dict[Fault, float]
    """Relative frequency of each fault.

    A seed gives the same run only with the faults in the same order.
    """
    fault_interval_s: float = 1.0
    """Mean time between faults."""
    submissions_per_s: float = 6.0
    """Mean rate of submissions."""
    job_sizes: tuple[int, ...] = (1, 1, 2, 4, 12)
    """Numbers of tasks of a job, to draw from."""
    copy_counts: tuple[int, ...] = (1, 1, 2, 3)
    """How many times a submission is sent, to draw from."""
    max_copy_delays_s: tuple[float, ...] = (0.0, 0.0, 12.0)
    """Longest delays of a copy of a submission, to draw from."""
    deadlines_s: tuple[float, ...] = (0.8, 3.0, 6.0)
    """Deadlines of jobs, to draw from."""
    options: VirtualOptions = VirtualOptions()
    """Sizes and fault rates of the site."""


class ProfileName(Enum):
    """The built-in profiles."""

    MIXED = "mixed"
    """All faults, with jobs of several sizes."""
    OWNERSHIP = "ownership"
    """Copies of short jobs at several entries, while ownership moves."""
    CLOSURES = "closures"
    """Data centres are closed and agents drained while tasks wait."""


PROFILES = {
    ProfileName.MIXED: Profile(
        fault_weights={
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
        fault_weights={
            Fault.TABLE: 10,
            Fault.TABLE_CUT: 22,
            Fault.FREEZE: 25,
            Fault.CUT: 14,
            Fault.HEAL: 18,
            Fault.KILL: 8,
            Fault.LEAVE: 4,
        },
        fault_interval_s=0.7,
        submissions_per_s=20.0,
        job_sizes=(1,),
        copy_counts=(2, 3, 4),
        max_copy_delays_s=(0.0, 0.4, 2.5),
        deadlines_s=(3.0,),
        options=VirtualOptions(
            agents=2,
            data_centres=2,
            slots=16,
            run_s=(0.01, 0.05),
            fail_share=0.0,
            start_pause_share=0.02,
        ),
    ),
    ProfileName.CLOSURES: Profile(
        fault_weights={
            Fault.TABLE: 12,
            Fault.TABLE_CUT: 10,
            Fault.FREEZE: 22,
            Fault.CUT: 10,
            Fault.HEAL: 14,
            Fault.DRAIN: 8,
            Fault.OPERATE: 24,
        },
        fault_interval_s=0.7,
        submissions_per_s=10.0,
        job_sizes=(1, 4),
        copy_counts=(1,),
        max_copy_delays_s=(0.0,),
        deadlines_s=(8.0, 20.0),
        options=VirtualOptions(
            slots=1,
            run_s=(0.1, 1.5),
            fail_share=0.0,
            start_pause_share=0.02,
            limits=EntryLimits(ahead=6, small_job=1000),
        ),
    ),
}
"""The profiles by name."""


class RunResult(msgspec.Struct):
    """The result of one run."""

    seed: int
    """The seed."""
    violations: list[str]
    """Every violation of a safety rule."""
    starts: int
    """Number of tasks started."""
    outcomes: dict[str, int]
    """Number of answers by outcome."""
    served_probes: int
    """Probes after the recovery that ran, done or failed, of `PROBE_COUNT`."""
    accepted_changes: int
    """Number of operators' changes that were accepted."""


class ChaosRun:
    """Drives a virtual site with random callers, operators and faults.

    :param seed: the seed of all randomness.
    :param profile: the load and the faults.
    """

    def __init__(self, seed: int, profile: Profile) -> None:
        self._seed = seed
        self._profile = profile
        self._site = VirtualSite(seed, profile.options)
        self._random = self._site.random
        self._faults_end_at = WARM_UP_S + FAULT_PHASE_S
        self._served_probes = 0

    @property
    def site(self) -> VirtualSite:
        """The site under test."""
        return self._site

    def run(self) -> RunResult:
        """Run all phases and check the history."""
        scheduler = self._site.scheduler
        scheduler.call_at(WARM_UP_S, self._inject_next_fault)
        scheduler.call_at(WARM_UP_S / 2, self._submit_next)
        scheduler.run_until(self._faults_end_at)
        self._site.end_faults()
        scheduler.run_until(self._faults_end_at + RECOVERY_S)
        for _ in range(PROBE_COUNT):
            self._submit_probe()
        scheduler.run_until(
            self._faults_end_at + RECOVERY_S + PROBE_DEADLINE_S + 3
        )
        history = self._site.history
        return RunResult(
            seed=self._seed,
            violations=history.check(),
            starts=len(history.starts),
            outcomes=history.count_outcomes(),
            served_probes=self._served_probes,
            accepted_changes=self._site.accepted_changes,
        )

    def _submit_next(self) -> None:
        random = self._random
        site = self._site
        if site.now < self._faults_end_at:
            wait_s = random.expovariate(self._profile.submissions_per_s)
            site.scheduler.call_later(wait_s, self._submit_next)
        if not site.entries:
            return
        submission_id = self._mint_id()
        tasks = random.choice(self._profile.job_sizes)
        deadline_s = random.choice(self._profile.deadlines_s)
        for _ in range(random.choice(self._profile.copy_counts)):
            max_delay_s = random.choice(self._profile.max_copy_delays_s)
            wait_s = random.uniform(0, max_delay_s)
            site.scheduler.call_later(
                wait_s, self._submit_copy, submission_id, tasks, deadline_s
            )
        if random.random() < 0.08:
            site.scheduler.call_later(
                random.uniform(0, 0.5), self._send_cancel, submission_id, tasks
            )

    def _mint_id(self) -> SubmissionId:
        site = self._site
        if self._random.random() < 0.5:
            skew_s = self._random.uniform(
                -MAX_CALLER_SKEW_S, MAX_CALLER_SKEW_S
            )
            wall_s = WALL_START_S + site.now + skew_s
            return generate_submission_id(wall_s, self._random)
        node = self._random.choice(site.entries)
        minted = node.core.mint(1, node.clock)
        wall_s = WALL_START_S + site.now
        return (
            minted[0]
            if minted
            else generate_submission_id(wall_s, self._random)
        )

    def _submit_copy(
        self, submission_id: SubmissionId, tasks: int, deadline_s: float
    ) -> None:
        if self._site.entries:
            node = self._random.choice(self._site.entries)
            self._site.submit(node, submission_id, tasks, deadline_s)

    def _send_cancel(self, submission_id: SubmissionId, tasks: int) -> None:
        if self._site.entries:
            node = self._random.choice(self._site.entries)
            self._site.submit(node, submission_id, tasks, 2.0, CallKind.CANCEL)

    def _submit_probe(self) -> None:
        site = self._site
        wall_s = WALL_START_S + site.now
        submission_id = generate_submission_id(wall_s, self._random)
        node = self._random.choice(site.entries)
        site.submit(
            node,
            submission_id,
            1,
            PROBE_DEADLINE_S,
            on_answer=self._count_served,
        )

    def _count_served(self, action: AnswerCaller) -> None:
        if action.answer is not None and action.answer.outcome in (
            Outcome.DONE,
            Outcome.FAILED,
        ):
            self._served_probes += 1

    def _inject_next_fault(self) -> None:
        site = self._site
        if site.now >= self._faults_end_at:
            return
        wait_s = self._random.expovariate(1 / self._profile.fault_interval_s)
        site.scheduler.call_later(wait_s, self._inject_next_fault)
        if not any(node.is_alive for node in site.nodes.values()):
            return
        fault_weights = self._profile.fault_weights
        (fault,) = self._random.choices(
            list(fault_weights), list(fault_weights.values())
        )
        self._inject_fault(fault)

    def _inject_fault(self, fault: Fault) -> None:
        match fault:
            case Fault.TABLE:
                self._site.table.mode = self._random.choice(
                    (*TableMode, TableMode.UP, TableMode.UP)
                )
            case Fault.TABLE_CUT:
                self._cut_table_link()
            case Fault.FREEZE:
                self._pick_live_node().pause(self._site.draw_pause_s())
            case Fault.CUT:
                self._cut_network()
            case Fault.HEAL:
                self._site.network.heal()
            case Fault.KILL:
                self._kill_nodes()
            case Fault.LEAVE:
                self._shut_down_entry()
            case Fault.DRAIN:
                self._drain_agent()
            case Fault.OPERATE:
                self._change_data_centre()

    def _cut_table_link(self) -> None:
        if not self._site.entries:
            return
        name = self._random.choice(self._site.entries).name
        link = (name, TABLE_NODE)
        if self._random.random() < 0.5:
            link = (TABLE_NODE, name)
        self._site.network.cut_one_way(*link)

    def _pick_live_node(self) -> Node:
        nodes = [n for n in self._site.nodes.values() if n.is_alive]
        return self._random.choice(nodes)

    def _cut_network(self) -> None:
        names = [*sorted(self._site.nodes), TABLE_NODE]
        draw = self._random.random()
        if draw < 0.4:
            name = self._random.choice(names)
            self._site.network.isolate(name, self._random.randrange(3))
        elif draw < 0.7:
            source, target = self._random.sample(names, 2)
            self._site.network.cut_one_way(source, target)
        else:
            self._isolate_data_centre()

    def _isolate_data_centre(self) -> None:
        number = self._random.randrange(self._site.options.data_centres)
        name = self._site.data_centre_of(number)
        for entry in self._site.entries:
            if entry.core.lease.member.data_centre == name:
                self._site.network.isolate(entry.name, 1)
        for agent in self._site.agents:
            if agent.data_centre == name:
                self._site.network.isolate(agent.name, 1)

    def _kill_nodes(self) -> None:
        site = self._site
        killed: list[Node] = [self._pick_live_node()]
        if self._random.random() < 0.3:
            killed.append(self._pick_live_node())
        if self._random.random() < 0.08:
            killed = [*site.entries]
        for node in killed:
            if node.is_alive:
                site.kill(node)
                delay_s = self._random.choice((0.3, 1.5, 8.0))
                site.scheduler.call_later(delay_s, self._restart, node)

    def _restart(self, node: Node) -> None:
        if self._site.nodes.get(node.name) is node:
            self._site.restart(node)

    def _shut_down_entry(self) -> None:
        entries = self._site.entries
        if len(entries) > 1:
            node = self._random.choice(entries)
            if isinstance(node, EntryNode) and not node.is_shutting_down:
                self._site.shut_down_entry(node)

    def _drain_agent(self) -> None:
        agents = self._site.agents
        if len(agents) > 1:
            node = self._random.choice(agents)
            self._site.drain(node, self._random.uniform(2, 6))

    def _change_data_centre(self) -> None:
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


def run_seed(seed: int, profile: ProfileName = ProfileName.MIXED) -> RunResult:
    """Run one seed with a built-in profile."""
    return ChaosRun(seed, PROFILES[profile]).run()
