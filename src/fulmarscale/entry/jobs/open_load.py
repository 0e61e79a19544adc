"""Measures the load of the queues that are not confined.

Agents report it by target. All entries see nearly the same reports, so they
reserve nearly the same number of targets without coordination.
"""

from __future__ import annotations

from math import exp
from statistics import fmean
from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.runs.model import QueueName

PEAK_DECAY_S: Final = 5.0
"""Time in which a former peak of the load decays to 1/e.

Several times the run time of most tasks, so that the gaps between the jobs of
a steady load don't count.
"""


class OpenLoad:
    """The recent peak of the load of the open queues of one service."""

    def __init__(self) -> None:
        self._peak: float | None = None
        self._updated_at = float("-inf")
        self._confined: frozenset[QueueName] = frozenset()

    @property
    def peak(self) -> float | None:
        """The load, as a share of the capacity of the service's targets.

        None while not all agents have reported it.
        """
        return self._peak

    def update(
        self,
        views: Collection[AgentView],
        confined: frozenset[QueueName],
        waiting_millicores: int,
        now: float,
    ) -> None:
        """Record the present load.

        Targets that are down count by the mean capacity of the others.

        :param views: the agents of the service.
        :param confined: the confined queues.
        :param waiting_millicores: demand of the open queues' waiting tasks.
        :param now: the entry's time.
        """
        capacities = [
            view.capacity.cpu_millicores
            for view in views
            if view.target is not None
        ]
        if not any(capacities):
            return
        if self._peak is None and not all(
            view.are_loads_known for view in views
        ):
            return
        used = sum(
            load.millicores
            for view in views
            for load in view.queue_loads
            if load.queue not in confined
        )
        load = (used + waiting_millicores) / fmean(capacities) / len(views)
        former = 0.0
        if self._peak is not None and confined == self._confined:
            former = self._peak * exp((self._updated_at - now) / PEAK_DECAY_S)
        self._peak = max(load, former)
        self._confined = confined
        self._updated_at = now
