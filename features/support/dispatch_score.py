"""The worth that a site served, as its users count it."""

from __future__ import annotations

from collections import Counter
from statistics import fmean
from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from features.support.dispatch_workload import JobDraw
    from features.support.dispatch_workload import Workload

LATE_FACTOR: Final = 3.0
"""Multiple of the objective up to which an answer is worth something."""

LATE_WORTH: Final = 0.2
"""Worth of a late answer, as a share of the worth on time."""

WINDOW_S: Final = 2.0
"""Length of the windows of which the worst two are shown."""


def score_windows(
    workload: Workload, jobs: list[JobDraw], completed_at: dict[str, float]
) -> dict[int, float]:
    """Return the share of the worth that was served in each window.

    :param completed_at: as for `score_jobs`.
    :returns: the shares by the window's number, from 0.
    """
    by_window: dict[int, list[JobDraw]] = {}
    for job in jobs:
        by_window.setdefault(int(job.arrives_s / WINDOW_S), []).append(job)
    return {
        window: score_jobs(workload, members, completed_at)["worth"]
        for window, members in sorted(by_window.items())
    }


def score_jobs(
    workload: Workload, jobs: list[JobDraw], completed_at: dict[str, float]
) -> dict[str, float]:
    """Return the share of the worth that was served, whole and in parts.

    :param completed_at: when each completed job was answered, in seconds
        from the first job.
    """
    owed: Counter[str] = Counter()
    earned: Counter[str] = Counter()
    for job in jobs:
        keys = [
            "all",
            f"kind {job.kind.name}",
            f"window {int(job.arrives_s / WINDOW_S):02}",
        ]
        value = 0.0
        if job.name in completed_at:
            took_s = completed_at[job.name] - job.arrives_s
            objective_s = job.objective_s(workload)
            if took_s <= objective_s:
                value = job.worth
            elif took_s <= LATE_FACTOR * objective_s:
                value = LATE_WORTH * job.worth
        for key in keys:
            owed[key] += job.worth
            earned[key] += value
    shares = {key: earned[key] / owed[key] for key in owed}
    windows = sorted(v for k, v in shares.items() if k.startswith("window"))
    kinds = {k: v for k, v in shares.items() if k.startswith("kind")}
    return {
        "worth": shares["all"],
        "worst kind": min(kinds.values()),
        "worst windows": fmean(windows[:2]),
        **kinds,
    }
