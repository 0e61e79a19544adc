"""Detects runs that make no progress or are far slower than expected."""

from __future__ import annotations

from enum import Enum
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.job import MIN_PERCENT

if TYPE_CHECKING:
    from fulmarscale.entry.jobs.job import Task

NO_PROGRESS_S: Final = 0.6
"""Time without progress after which a run may have stalled.

Progress is reported at least every 0.45 s: the list of runs that an agent
reads from its target is at most 0.25 s old and is sent on within
ACTIVE_PING_S.
"""

NO_PROGRESS_SHARE: Final = 0.1
"""Additional time without progress, as a share of the expected run time.

Progress is reported in whole per cent, so a long run reports the same value
for a while.
"""

MIN_ELAPSED_S: Final = 0.25
"""Shortest time from which a run's speed is estimated."""

MOVE_FACTOR: Final = 1.6
"""A run is moved if its remaining time exceeds this many whole runs.

Moving discards the work done, and the estimate of a whole run is often off
by 40%.
"""

MOVE_COST_S: Final = 0.1
"""Time that a move takes: a stop, the report of it and another start."""


class RunCondition(Enum):
    """Whether a run progresses as expected."""

    HEALTHY = "sound"
    SLOW = "slow"
    """The task would finish sooner in a new run on another target."""
    STALLED = "stands_still"
    """The run has reported no progress for too long."""
    CUT_OFF = "target_leaves"
    """Its target will end before the run does."""


def evaluate_run(task: Task, expected_s: float, now: float) -> RunCondition:
    """Evaluate the progress of a task's current run.

    :param task: a task that is assigned to an agent.
    :param expected_s: the expected duration of a whole run, in seconds.
    :param now: the entry's time.
    :returns: the condition of the run.
    """
    without_progress_s = now - max(task.progress_at, task.assigned_at)
    if without_progress_s > NO_PROGRESS_S + NO_PROGRESS_SHARE * expected_s:
        return RunCondition.STALLED
    if task.percent == 0:
        return RunCondition.HEALTHY
    elapsed_s = task.progress_at - task.assigned_at
    if elapsed_s < MIN_ELAPSED_S:
        return RunCondition.HEALTHY
    if _remaining_s(task, now) > MOVE_FACTOR * expected_s + MOVE_COST_S:
        return RunCondition.SLOW
    return RunCondition.HEALTHY


def move_pays(task: Task, new_run_s: float, now: float) -> bool:
    """Return whether a move ends a task sooner by more than it throws away.

    :param task: a task whose run has made progress.
    :param new_run_s: the expected duration of a new run, in seconds.
    :param now: the entry's time.
    """
    gained_s = _remaining_s(task, now) - new_run_s - MOVE_COST_S
    return gained_s > now - task.assigned_at


def is_cut_off(
    task: Task, expected_s: float, leaves_at: float, now: float
) -> bool:
    """Return whether a target ends before a run on it does.

    :param task: the task of the run.
    :param expected_s: the expected duration of the whole run, in seconds.
    :param leaves_at: when the target may end.
    :param now: the entry's time.
    """
    if task.percent >= MIN_PERCENT:
        ends_at = now + _remaining_s(task, now)
    else:
        ends_at = task.assigned_at + expected_s
    return ends_at > leaves_at


def _remaining_s(task: Task, now: float) -> float:
    """Return the time that a run needs to its end at its present speed.

    :param task: a task whose run has made progress.
    :param now: the entry's time.
    :returns: seconds.
    """
    elapsed_s = task.progress_at - task.assigned_at
    remaining_s = elapsed_s * (100 - task.percent) / task.percent
    return remaining_s - (now - task.progress_at)
