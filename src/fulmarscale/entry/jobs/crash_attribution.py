"""Finds the jobs and queues that are likely to have crashed targets.

A crash has many suspects: every job with a run on the target. The time after
which a task crashes its target is unknown, so its prior is the scale-free one,
whose density falls with the inverse of the time. A job is suspected in
proportion to that density at the age of its youngest run, and to what the
other crashes say of it. So most of the suspicion falls on jobs whose runs
started just before a crash, and on jobs that recur.
"""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.runs.crashes import CrashedRun
from fulmarscale.runs.crashes import CrashState

if TYPE_CHECKING:
    from collections.abc import Collection

    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import QueueName
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

BLAME_SHARE: Final = 0.6
"""Share of the suspicion from which a crash is attributed to a queue."""

KNOWN_BLAME_SHARE: Final = 0.25
"""The same for a queue that is blamed for other crashes already."""

MIN_QUEUE_CRASHES: Final = 2
"""Crashes by a queue within QUEUE_WINDOW_S for which it is blamed.

They must also be most of all crashes in that time. A queue of which a job was
given up is blamed for a single one.
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


def cause_probabilities(
    crashes: list[KnownCrash], cleared: Collection[TaskKey]
) -> list[dict[JobId, float]]:
    """Return the probability that each job has caused each crash.

    :param crashes: the crashes.
    :param cleared: tasks that have caused none, as they have succeeded.
    """
    independent = [_job_weights(crash, {}, cleared) for crash in crashes]
    innocence: dict[JobId, float] = {}
    for weights in independent:
        for job_id, weight in weights.items():
            innocence[job_id] = innocence.get(job_id, 1.0) * (1.0 - weight)
    return [
        _job_weights(
            crash,
            {
                job_id: 1.0 - innocence[job_id] / (1.0 - weight)
                for job_id, weight in weights.items()
            },
            cleared,
        )
        for crash, weights in zip(crashes, independent, strict=True)
    ]


def _job_weights(
    crash: KnownCrash,
    levels: dict[JobId, float],
    cleared: Collection[TaskKey],
) -> dict[JobId, float]:
    """Return the probability that each job has caused a crash.

    :param crash: the crash.
    :param levels: the suspicion of jobs by other crashes.
    :param cleared: tasks that have succeeded.
    """
    ages_s: dict[JobId, float] = {}
    for run in crash.runs:
        if run.task not in cleared:
            job_id = run.task.job_id
            ages_s[job_id] = min(run.age_s, ages_s.get(job_id, run.age_s))
    scores = {
        job_id: _density(age_s) * (BASE_PRIOR + levels.get(job_id, 0.0))
        for job_id, age_s in ages_s.items()
    }
    total = sum(scores.values())
    total += _density(UNRELATED_AGE_S) * BASE_PRIOR
    return {job_id: score / total for job_id, score in scores.items()}


def find_cause(
    crash: KnownCrash, weights: dict[JobId, float], blamed: set[QueueName]
) -> QueueName | None:
    """Return the queue that a crash is attributed to.

    :param crash: the crash.
    :param weights: the probability that each job has caused it.
    :param blamed: queues that are blamed for other crashes.
    :returns: none if no queue has enough of the suspicion.
    """
    queues = {run.task.job_id: run.queue for run in crash.runs}
    by_queue: dict[QueueName, float] = defaultdict(float)
    for job_id, weight in weights.items():
        by_queue[queues[job_id]] += weight
    if not by_queue:
        return None
    known = blamed & by_queue.keys()
    queue = max(known or by_queue, key=by_queue.__getitem__)
    limit = KNOWN_BLAME_SHARE if known else BLAME_SHARE
    return queue if by_queue[queue] >= limit else None


def find_frequent_causes(
    crashes: list[KnownCrash], causes: list[QueueName | None]
) -> set[QueueName]:
    """Return the queues that caused most crashes of a window of time.

    :param crashes: all crashes, by time.
    :param causes: the queue that each is attributed to, if any.
    """
    frequent: set[QueueName] = set()
    first = 0
    for last, crash in enumerate(crashes):
        while crash.crashed_at - crashes[first].crashed_at > QUEUE_WINDOW_S:
            first += 1
        counts = Counter(causes[first : last + 1])
        for queue, count in counts.items():
            is_most = 2 * count > last + 1 - first
            if queue is not None and count >= MIN_QUEUE_CRASHES and is_most:
                frequent.add(queue)
    return frequent


def _density(age_s: float) -> float:
    """Return the relative density of crashes at an age of a run."""
    return 1.0 / (age_s + AGE_RESOLUTION_S)
