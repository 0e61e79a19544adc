"""Asks agents for their room when tasks wait.

An agent without runs of an entry sends it nothing for seconds, and its room
is unknown meanwhile. It is asked when a task needs it: a round trip of 2 ms.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.admission import waiting_demand
from fulmarscale.runs.limits import SURVEY_S

if TYPE_CHECKING:
    from collections.abc import Collection

    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.entry.jobs.fleet import Fleet
    from fulmarscale.entry.jobs.job import Job

ROOM_FACTOR: Final = 2.0
"""Room that is asked for, in multiples of what waits.

Other entries take some of it before the answer is here.
"""

LEAST_ASKED: Final = 3
"""Agents asked at once; one of them may be lost, another full."""


class Waker:
    """Chooses agents to be asked, in rounds that grow."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._least = LEAST_ASKED
        self._asked_at = float("-inf")

    @property
    def round_size(self) -> int:
        """How many agents the next round asks at least."""
        return self._least

    def is_surveying(self, now: float) -> bool:
        """Tell whether answers are likely to come within milliseconds."""
        if now - self._asked_at > SURVEY_S:
            return False
        return any(view.is_answering(now) for view in self._fleet.connected)

    def ask(self, waiting: Collection[Job], now: float) -> None:
        """Ask agents if tasks wait and no answer is under way.

        :param waiting: jobs with tasks that wait for room.
        :param now: the entry's time.
        """
        if not waiting:
            self._least = LEAST_ASKED
            return
        if any(view.is_answering(now) for view in self._fleet.connected):
            return
        candidates = self._candidates(waiting, now)
        if not candidates:
            return
        needed = ROOM_FACTOR * sum(map(waiting_demand, waiting))
        for asked, view in enumerate(candidates):
            if needed <= 0 and asked >= self._least:
                break
            view.ask()
            self._asked_at = now
            needed -= max(0, view.free.cpu_millicores)
        self._least = min(2 * self._least, LEAST_ASKED + len(candidates))

    def _candidates(
        self, waiting: Collection[Job], now: float
    ) -> list[AgentView]:
        """List agents to be asked, those that had room first.

        Agents that were heard of late are asked too: they tell of freed room
        only to entries whose tasks wait.
        """
        found = [
            view
            for service in sorted({job.queue.service for job in waiting})
            for view in self._fleet.serving(service)
            if view.asked_at is None
            and (view.is_asleep(now) or not view.told_backlog)
        ]
        return sorted(
            found, key=lambda view: (-view.free.cpu_millicores, view.name)
        )
