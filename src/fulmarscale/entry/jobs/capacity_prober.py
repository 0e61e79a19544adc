"""Probes agents for free capacity when tasks wait.

An agent without runs of an entry sends it nothing for seconds, so its free
capacity is unknown meanwhile. It is probed when a task needs capacity, which
takes a round trip of 2 ms.

An agent is probed again only once its state is older than MAX_STATE_AGE_S or
the report of a backlog was withdrawn: while any task waits for its target, it
reports freed capacity by itself.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.admission import waiting_demand
from fulmarscale.runs.limits import PROBE_COLLECT_S

if TYPE_CHECKING:
    from collections.abc import Collection

    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.entry.jobs.fleet import Fleet
    from fulmarscale.entry.jobs.job import Job

CAPACITY_FACTOR: Final = 2.0
"""Capacity to probe for, in multiples of the waiting demand.

Other entries use some of it before the reply arrives.
"""

MIN_PROBES: Final = 3
"""Least number of agents in the first probe round.

One of them may be lost and another full.
"""


class CapacityProber:
    """Probes agents in rounds that grow while tasks keep waiting."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._min_probes = MIN_PROBES
        """Least number of agents in the next round."""
        self._probed_at = float("-inf")
        """When the last round was sent."""

    @property
    def min_probes(self) -> int:
        """Least number of agents that the next round probes."""
        return self._min_probes

    def is_collecting(self, now: float) -> bool:
        """Return whether replies of the last round are still collected.

        Placement waits for them, see PROBE_COLLECT_S.

        :param now: the entry's time.
        """
        if now - self._probed_at > PROBE_COLLECT_S:
            return False
        return any(
            view.is_probe_pending(now) for view in self._fleet.connected
        )

    def probe(self, waiting: Collection[Job], now: float) -> None:
        """Start a probe round if tasks wait and no reply is pending.

        :param waiting: jobs with tasks that wait for free capacity.
        :param now: the entry's time.
        """
        if not waiting:
            self._min_probes = MIN_PROBES
            return
        if any(view.is_probe_pending(now) for view in self._fleet.connected):
            return
        candidates = self._candidates(waiting, now)
        if not candidates:
            return
        needed_millicores = CAPACITY_FACTOR * sum(map(waiting_demand, waiting))
        for probed, view in enumerate(candidates):
            if needed_millicores <= 0 and probed >= self._min_probes:
                break
            view.probe()
            self._probed_at = now
            needed_millicores -= max(0, view.free.cpu_millicores)
        self._min_probes = min(
            2 * self._min_probes, MIN_PROBES + len(candidates)
        )

    def _candidates(
        self, waiting: Collection[Job], now: float
    ) -> list[AgentView]:
        """Return the agents to probe, those with most free capacity first.

        Waiting jobs may be placed on all of them. Agents with recent messages
        are included until the backlog has been reported to them: they report
        freed capacity only to entries whose tasks wait.
        """
        candidates = [
            view
            for service, parts in self._fleet.parts_of(waiting).items()
            for view in self._fleet.serving(service)
            if view.probed_at is None
            and (view.needs_probe(now) or not view.has_reported_backlog)
            and not parts.isdisjoint(
                self._fleet.bulkheads.partitions_on(view.name)
            )
        ]
        return sorted(
            candidates, key=lambda view: (-view.free.cpu_millicores, view.name)
        )
