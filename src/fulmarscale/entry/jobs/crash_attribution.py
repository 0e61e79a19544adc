"""Finds the jobs and queues that are likely to have crashed targets.

A crash has many suspects: every job with a run on the target. The time after
which a task crashes its target is unknown, so its prior is the scale-free one,
whose density falls with the inverse of the time. A job is suspected in
proportion to that density at the age of its youngest run, and to what the
other crashes say of it. So most of the suspicion falls on jobs whose runs
started just before a crash, and on jobs that recur. With the number of a
queue's crashes, the ages at which they happened replace the prior.
"""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from math import log1p
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.runs.crashes import CrashedRun
from fulmarscale.runs.crashes import CrashState
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import QueueName

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

    from fulmarscale.runs.model import TargetIncarnation
    from fulmarscale.runs.model import TaskKey

AGE_RESOLUTION_S: Final = 0.01
"""Accuracy of the age of a run at a crash: requests and responses take time.

It bounds the suspicion of a run that had just been requested.
"""

UNRELATED_AGE_S: Final = 0.2
"""A crash by no task at all is as likely as one by a job with a run this old.

Targets also crash by themselves.
"""

BASE_PRIOR: Final = 0.1
"""Prior probability of a job that no other crash makes suspect.

A job that recurs thus outweighs one that doesn't by a factor of up to 11.
"""

BIN_WIDTH: Final = 0.5
"""Width of a bin of the histogram of ages, as a difference of logarithms."""

AGE_BINS: Final = 14
"""Number of bins up to an age of about 10 s."""

BIN_OFFSETS: Final = (-1, 0, 1)
"""Bins around an age whose counts show that it is usual."""

PRIOR_CRASHES: Final = 1.0
"""Weight of the scale-free prior, in crashes."""

AGE_PASSES: Final = 3
"""How often ages and causes are derived from each other.

Each pass separates a typical age more from those of bystanders.
"""

BLAME_SHARE: Final = 0.6
"""Share of the suspicion from which a crash is attributed to a queue."""

KNOWN_BLAME_SHARE: Final = 0.25
"""The same for a queue that is blamed for other crashes already."""

MIN_QUEUE_CRASHES: Final = 2
"""Crashes by a queue within QUEUE_WINDOW_S for which it is blamed.

A queue of which a job was given up is blamed for a single one.
"""

QUEUE_WINDOW_S: Final = 5.0
"""Time within which a queue's crashes count together."""


class KnownCrash(msgspec.Struct):
    """A crash as an entry knows it."""

    agent: str
    """The agent of the target."""
    state: CrashState
    """How certain the crash is."""
    crashed_at: float
    """When the target crashed, by the entry's time."""
    runs: tuple[CrashedRun, ...]
    """The runs that were on the target, the youngest first."""


class CrashAges:
    """The times after which the tasks of each queue crash targets.

    Each counts with the probability that its job has caused the crash, in a
    histogram whose bins grow with the age.

    :param runs: the youngest run of each job at each crash.
    :param weights: the probability that each job has caused each crash.
    """

    def __init__(
        self,
        runs: list[list[CrashedRun]],
        weights: list[dict[JobId, float]],
    ) -> None:
        self._counts: dict[QueueName, Counter[int]] = defaultdict(Counter)
        self._totals: dict[QueueName, float] = defaultdict(float)
        for youngest, each in zip(runs, weights, strict=True):
            for run in youngest:
                weight = each[run.task.job_id]
                self._counts[run.queue][_age_bin(run.age_s)] += weight
                self._totals[run.queue] += weight

    def likelihood_ratio(self, run: CrashedRun, weight: float) -> float:
        """Return how likely a crash at a run's age is, against the prior.

        :param run: the run.
        :param weight: what the run itself has added to the counts.
        """
        counts = self._counts[run.queue]
        age_bin = _age_bin(run.age_s)
        near = sum(counts[age_bin + offset] for offset in BIN_OFFSETS) - weight
        total = self._totals[run.queue] - weight
        density = near * AGE_BINS / len(BIN_OFFSETS)
        return (PRIOR_CRASHES + density) / (PRIOR_CRASHES + total)


class CrashCauses(msgspec.Struct, frozen=True):
    """The probable causes of a crash."""

    by_job: dict[JobId, float]
    """The probability that each job has caused it."""
    by_queue: dict[QueueName, float]
    """The same by the queues of the jobs."""


def find_causes(
    crashes: Mapping[TargetIncarnation, KnownCrash],
    cleared: Collection[TaskKey],
    earlier: Mapping[JobId, float],
) -> dict[TargetIncarnation, CrashCauses]:
    """Return the probability that each job has caused each crash.

    :param crashes: the crashes.
    :param cleared: tasks that have caused none, as they have succeeded.
    :param earlier: the probability that a job has caused none of the crashes
        that are not among these, where there are any.
    """
    runs = [_youngest_runs(crash, cleared) for crash in crashes.values()]
    independent = [_job_weights(youngest) for youngest in runs]
    innocence = dict(earlier)
    for weights in independent:
        for job_id, weight in weights.items():
            innocence[job_id] = innocence.get(job_id, 1.0) * (1.0 - weight)
    levels = [
        {
            job_id: 1.0 - innocence[job_id] / (1.0 - weight)
            for job_id, weight in weights.items()
        }
        for weights in independent
    ]
    latest = independent
    for _ in range(AGE_PASSES):
        ages = CrashAges(runs, latest)
        latest = [
            _job_weights(youngest, level, ages, former)
            for youngest, level, former in zip(
                runs, levels, latest, strict=True
            )
        ]
    return {
        incarnation: CrashCauses(weights, _sum_by_queue(youngest, weights))
        for incarnation, youngest, weights in zip(
            crashes, runs, latest, strict=True
        )
    }


def _sum_by_queue(
    runs: list[CrashedRun], weights: dict[JobId, float]
) -> dict[QueueName, float]:
    """Return the probability that a job of each queue has caused a crash."""
    by_queue: dict[QueueName, float] = defaultdict(float)
    for run in runs:
        by_queue[run.queue] += weights[run.task.job_id]
    return by_queue


def _youngest_runs(
    crash: KnownCrash, cleared: Collection[TaskKey]
) -> list[CrashedRun]:
    """Return the youngest run of each job at a crash, as a suspect.

    :param crash: the crash.
    :param cleared: tasks that have succeeded.
    """
    youngest: dict[JobId, CrashedRun] = {}
    for run in crash.runs:
        known = youngest.get(run.task.job_id)
        is_younger = known is None or run.age_s < known.age_s
        if is_younger and run.task not in cleared:
            youngest[run.task.job_id] = run
    return list(youngest.values())


def _job_weights(
    runs: list[CrashedRun],
    levels: dict[JobId, float] | None = None,
    ages: CrashAges | None = None,
    former: dict[JobId, float] | None = None,
) -> dict[JobId, float]:
    """Return the probability that each job has caused a crash.

    :param runs: the youngest run of each job.
    :param levels: the suspicion of the jobs by other crashes.
    :param ages: the ages at which tasks crash targets, if known.
    :param former: the probabilities that the ages were counted with.
    """
    scores: dict[JobId, float] = {}
    for run in runs:
        job_id = run.task.job_id
        level = levels[job_id] if levels else 0.0
        score = _density(run.age_s) * (BASE_PRIOR + level)
        if ages is not None and former is not None:
            score *= ages.likelihood_ratio(run, former[job_id])
        scores[job_id] = score
    total = sum(scores.values())
    total += _density(UNRELATED_AGE_S) * BASE_PRIOR
    return {job_id: score / total for job_id, score in scores.items()}


def find_cause(
    causes: CrashCauses, blamed: set[QueueName]
) -> QueueName | None:
    """Return the queue that a crash is attributed to.

    :param causes: the probable causes of the crash.
    :param blamed: queues that are blamed for other crashes.
    :returns: none if no queue has enough of the suspicion.
    """
    by_queue = causes.by_queue
    if not by_queue:
        return None
    known = blamed & by_queue.keys()
    queue = max(known or by_queue, key=by_queue.__getitem__)
    limit = KNOWN_BLAME_SHARE if known else BLAME_SHARE
    return queue if by_queue[queue] >= limit else None


def find_frequent_causes(
    times: list[float], causes: list[QueueName | None]
) -> set[QueueName]:
    """Return the queues that caused several crashes of a window of time.

    :param times: when each crash was, in order.
    :param causes: the queue that each is attributed to, if any.
    """
    frequent: set[QueueName] = set()
    first = 0
    for last, crashed_at in enumerate(times):
        while crashed_at - times[first] > QUEUE_WINDOW_S:
            first += 1
        counts = Counter(causes[first : last + 1])
        for queue, count in counts.items():
            if queue is not None and count >= MIN_QUEUE_CRASHES:
                frequent.add(queue)
    return frequent


def _age_bin(age_s: float) -> int:
    """Return the bin of an age in the histogram of ages."""
    return int(log1p(age_s / AGE_RESOLUTION_S) / BIN_WIDTH)


def _density(age_s: float) -> float:
    """Return the relative density of crashes at an age of a run."""
    return 1.0 / (age_s + AGE_RESOLUTION_S)
