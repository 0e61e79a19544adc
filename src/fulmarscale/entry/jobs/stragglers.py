"""Finds runs that stand still or are far slower than they should be."""

from __future__ import annotations

from enum import Enum
from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.entry.jobs.job import Task

STANDSTILL_S: Final = 0.6
"""Time without progress after which a run may stand still.

Progress is reported at least every 0.45 s: a target's list is 0.25 s old at
most and passed on within PING_S.
"""

STANDSTILL_SHARE: Final = 0.1
"""What is allowed beyond that, as a share of the expected run time.

Progress comes in whole percents, so a slow run shows none for a while.
"""

LEAST_ELAPSED_S: Final = 0.25
"""A run younger than this is not judged by its speed."""

MOVE_FACTOR: Final = 1.6
"""A run is moved if what is left of it takes this many whole runs.

Moving throws work away, and the estimate of a whole run is often off by 40%.
"""

MOVE_COST_S: Final = 0.1
"""What a move takes: a stop, its report and another start."""


class Verdict(Enum):
    """How a run is doing."""

    SOUND = "sound"
    SLOW = "slow"
    """It would end sooner if it were started anew elsewhere."""
    STANDS_STILL = "stands_still"


def judge(task: Task, expected_s: float, now: float) -> Verdict:
    """Tell how the present run of a task is doing.

    :param task: a task that an agent has.
    :param expected_s: the expected time of a whole run, in seconds.
    :param now: the entry's time.
    """
    quiet_s = now - max(task.progress_at, task.ordered_at)
    if quiet_s > STANDSTILL_S + STANDSTILL_SHARE * expected_s:
        return Verdict.STANDS_STILL
    if task.percent == 0:
        return Verdict.SOUND
    elapsed_s = task.progress_at - task.ordered_at
    if elapsed_s < LEAST_ELAPSED_S:
        return Verdict.SOUND
    left_s = elapsed_s * (100 - task.percent) / task.percent
    left_s -= now - task.progress_at
    if left_s > MOVE_FACTOR * expected_s + MOVE_COST_S:
        return Verdict.SLOW
    return Verdict.SOUND
