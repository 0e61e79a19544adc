"""The runs that an agent reports to all entries as not ruled out.

Part of the run guard for the users' platform. No entry starts a task elsewhere
while its target may still carry out a start of it, or still runs it without
its agent's consent.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.agent.run import RunPhase
from fulmarscale.runs.limits import IDLE_PING_S
from fulmarscale.runs.limits import LATE_START_S
from fulmarscale.runs.limits import RUN_EXPIRY_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarscale.agent.run import Run
    from fulmarscale.runs.messages import UnconfirmedStart
    from fulmarscale.runs.model import TaskKey

ORPHAN_LEFT_S: Final = RUN_EXPIRY_S + IDLE_PING_S
"""How long an orphan run counts as going on after a message that names it.

It ends with its lease if the agent is lost, and messages are IDLE_PING_S
apart at most.
"""


class UnconfirmedStarts:
    """The starts of former processes of the agent, and those of this one.

    The entries hand back what former processes had told them. A start of a
    former process is ruled out once the target has responded to this one, as
    it then rejects the lower fencing tokens.
    """

    def __init__(self) -> None:
        self._until: dict[TaskKey, float] = {}
        """Until when starts of former processes may be carried out."""

    def record(self, starts: Iterable[UnconfirmedStart], now: float) -> bool:
        """Record starts of former processes that an entry hands back.

        :param starts: the starts.
        :param now: the agent's time.
        :returns: whether any was not known.
        """
        count = len(self._until)
        for start in starts:
            until = now + min(LATE_START_S, start.left_s)
            known = self._until.get(start.task, float("-inf"))
            self._until[start.task] = max(known, until)
        return len(self._until) > count

    def clear(self) -> None:
        """Forget the starts of former processes, which are ruled out."""
        self._until.clear()

    def left_s(
        self, runs: Iterable[Run], orphans: Iterable[TaskKey], now: float
    ) -> dict[TaskKey, float]:
        """Return the tasks whose runs may begin or go on, and for how long.

        :param runs: the runs of this process.
        :param orphans: tasks of runs that the target lists and that this
            process did not start.
        :param now: the agent's time.
        :returns: the time that is left, in seconds, by task.
        """
        left_s = {task: until - now for task, until in self._until.items()}
        for run in runs:
            if run.phase is RunPhase.STOPPING and run.may_begin(now):
                left_s[run.task] = run.requested_at + LATE_START_S - now
        left_s |= dict.fromkeys(orphans, ORPHAN_LEFT_S)
        return {
            task: left_s[task] for task in sorted(left_s) if left_s[task] > 0
        }
