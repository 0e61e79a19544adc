"""Random faults on a site that keeps jobs."""

from __future__ import annotations

from random import Random
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from features.support.fake_rows import StoreMode
from features.support.kept_site import KeptEntryNode
from features.support.kept_site import KeptSite
from fulmarscale.entry.kept.actions import KeepOutcome
from fulmarscale.entry.kept.record import KeptState

if TYPE_CHECKING:
    from features.support.run_site import AgentNode

LENGTH_S: Final = 30.0
"""How long faults go on."""

HEAL_S: Final = 45.0
"""Time in which all jobs end after that: leases, voids and their runs."""


class PlayedKept(msgspec.Struct):
    """What became of one seed."""

    seed: int
    runs: int
    completed: int
    breaches: list[str]
    open_jobs: list[str]


class KeptChaos:
    """Plays one seed."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self.site = KeptSite(3, 4)
        self._number = 0

    def play(self) -> None:
        """Play load and faults, then let all heal."""
        clock = self.site.clock
        ends_at = clock.now + LENGTH_S
        while clock.now < ends_at:
            if self._random.random() < 0.75:
                self._submit()
            else:
                self._hurt()
            self.site.run(self._random.uniform(0.02, 0.25))
        self.site.rows.mode = StoreMode.SOUND
        self.site.rows.cut.clear()
        self.site.run(HEAL_S)

    def _entry(self) -> KeptEntryNode:
        entry = self._random.choice(self.site.entries)
        assert isinstance(entry, KeptEntryNode)
        return entry

    def _submit(self) -> None:
        self._number += 1
        job = f"job{self._number}"
        counts = self._random.choice(((1,), (2,), (4,), (2, 3), (1, 1, 1)))
        work_ms = self._random.choice((60, 200, 900, 2000))
        entry = self._entry()
        entry.keep(job, counts, work_ms)
        clock = self.site.clock
        if self._random.random() < 0.2:
            # The caller tries again elsewhere, though the answer came.
            other = self._entry()
            pause_s = self._random.uniform(0.0, 2.0)
            clock.call_in(
                pause_s, lambda: self._resend(other.name, job, counts, work_ms)
            )
        if self._random.random() < 0.1:
            pause_s = self._random.uniform(0.0, 1.0)
            clock.call_in(pause_s, lambda: entry.cancel_kept(job))

    def _resend(
        self, name: str, job: str, counts: tuple[int, ...], work_ms: int
    ) -> None:
        if self.site.outcomes().get(job) is KeepOutcome.REFUSED:
            return
        for entry in self.site.entries:
            assert isinstance(entry, KeptEntryNode)
            if entry.name == name:
                entry.keep(job, counts, work_ms)

    def _hurt(self) -> None:
        site = self.site
        clock = site.clock
        entry = self._entry()
        agent = self._random.choice(site.agents)
        span_s = self._random.uniform(0.1, 3.0)
        match self._random.choice(
            (
                "freeze",
                "thaw",
                "streams",
                "cut",
                "crash",
                "late",
                "agent",
                "entry",
                "store",
                "core_cut",
                "long_freeze",
                "all",
            )
        ):
            case "freeze" if entry.is_up and not entry.is_frozen:
                entry.is_frozen = True
                clock.call_in(span_s, entry.thaw)
            case "long_freeze" if entry.is_up and not entry.is_frozen:
                entry.is_frozen = True
                clock.call_in(4 * span_s, entry.thaw)
            case "thaw" if agent.is_up and not agent.is_frozen:
                agent.is_frozen = True
                clock.call_in(span_s, agent.thaw)
            case "streams" if entry.is_up and agent.is_up:
                site.disconnect(entry, agent)
                clock.call_in(0.2, lambda: self._reconnect(entry, agent))
            case "cut":
                pair = (entry.name, agent.target.name)
                site.cut.add(pair)
                clock.call_in(span_s, lambda: self._heal(pair))
            case "crash" if agent.target.is_up:
                agent.target.crash(span_s)
            case "late":
                agent.target.late_orders = [self._random.uniform(2.0, 9.0)]
            case "agent" if agent.is_up and not agent.is_frozen:
                site.restart_agent(agent, span_s)
            case "entry" if entry.is_up and not entry.is_frozen:
                site.restart_entry(entry, span_s)
            case "store" if site.rows.mode is StoreMode.SOUND:
                site.rows.mode = self._random.choice(list(StoreMode))
                clock.call_in(2 * span_s, self._mend_store)
            case "core_cut":
                site.rows.cut.add(entry.name)
                clock.call_in(
                    4 * span_s, lambda: site.rows.cut.discard(entry.name)
                )
            case "all" if self._random.random() < 0.3 and self._all_awake():
                site.restart_all(0.5)
            case _:
                pass

    def _heal(self, pair: tuple[str, str]) -> None:
        """End a cut.

        Messages were lost on all streams of the pair, so these break: also
        those of processes that started meanwhile.
        """
        self.site.cut.discard(pair)
        for entry in self.site.entries:
            for agent in self.site.agents:
                is_pair = (entry.name, agent.target.name) == pair
                if is_pair and entry.is_up and agent.is_up:
                    self.site.disconnect(entry, agent)
                    self.site.connect(entry, agent)

    def _all_awake(self) -> bool:
        nodes = [*self.site.entries, *self.site.agents]
        return not any(node.is_frozen for node in nodes)

    def _mend_store(self) -> None:
        self.site.rows.mode = StoreMode.SOUND

    def _reconnect(self, entry: KeptEntryNode, agent: AgentNode) -> None:
        if entry.is_up and entry in self.site.entries:
            for other in self.site.agents:
                if other is agent and other.is_up:
                    self.site.connect(entry, other)


def play_kept_seed(seed: int) -> PlayedKept:
    """Play one seed and check it."""
    chaos = KeptChaos(seed)
    chaos.play()
    site = chaos.site
    outcomes = site.outcomes()
    stored = [
        job
        for job, outcome in outcomes.items()
        if outcome is KeepOutcome.STORED
    ]
    completed = 0
    open_jobs = []
    for job in stored:
        record = site.record_of(job)
        if record is None:
            continue
        completed += record.state is KeptState.COMPLETED
        if record.state is KeptState.OPEN:
            open_jobs.append(job)
    return PlayedKept(
        seed, len(site.history), completed, site.breaches(), open_jobs
    )
