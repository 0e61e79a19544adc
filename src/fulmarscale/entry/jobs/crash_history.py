"""Attributes crashes of targets to the tasks that ran there.

All entries receive the crashes from the agents, so that each one knows a
task's crashes although another entry, which may be lost, had it started.

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
from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import TaskKey

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.runs.crashes import TargetCrash
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import TargetIncarnation

HISTORY_RETENTION_S: Final = 60.0
"""How long a crash is remembered.

Longer than any caller retries the same job.
"""

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

SUSPECT_LEVEL: Final = 0.2
"""Suspicion from which a job is run again only on trial."""

RECURRENT_LEVEL: Final = 0.1
"""The same for a job with MIN_CRASHES under one of its tasks."""

GIVE_UP_LEVEL: Final = 0.9
"""Suspicion from which a job is given up after MIN_CRASHES."""

MIN_CRASHES: Final = 2
"""Crashes under a task after which it may be given up."""

MAX_CRASHES: Final = 3
"""Crashes under a task after which it is given up in any case."""

LOST_CRASH_SUSPICION: Final = 0.5
"""Suspicion by a stored crash whose other runs are no longer known."""

UNRESOLVED_S: Final = 10.0
"""How long a suspected crash may stay unresolved.

A crashed target restarts within a few seconds. After this time it is taken to
be gone for good.
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


class Suspicion(msgspec.Struct):
    """What the known crashes say about one job."""

    innocence: float = 1.0
    """Probability that the job has caused none of the crashes."""
    counts: dict[TaskKey, int] = {}
    """Number of crashes under each of its tasks."""
    last_at: float = float("-inf")
    """When the last of these crashes was."""

    @property
    def level(self) -> float:
        """Probability that the job has caused one of the crashes."""
        return 1.0 - self.innocence

    @property
    def max_count(self) -> int:
        """The most crashes under one task."""
        return max(self.counts.values(), default=0)

    @property
    def is_sufficient(self) -> bool:
        """Whether the job is given up for these crashes."""
        if self.max_count >= MAX_CRASHES:
            return True
        return self.max_count >= MIN_CRASHES and self.level >= GIVE_UP_LEVEL


class StoredCrashes(msgspec.Struct, frozen=True):
    """The crashes under a durable job's tasks by its stored record."""

    counts: dict[TaskKey, int]
    """The number of crashes under each task."""
    read_at: float
    """When the record was read, by the entry's time."""


class QueueCrash(msgspec.Struct, frozen=True):
    """A crash that is attributed to the tasks of a queue."""

    queue: QueueName
    """The queue."""
    agent: str
    """The agent of the target."""
    crashed_at: float
    """When the target crashed, by the entry's time."""


class CrashReport(msgspec.Struct, frozen=True):
    """A crash and its most suspected job, for operators."""

    age_s: float
    """Time since the crash, in seconds."""
    agent: str
    """The agent of the target."""
    target: str
    """The target."""
    state: str
    """How certain the crash is: a value of `CrashState`."""
    queue: str
    """The queue of the most suspected job; empty if there is none."""
    task: str
    """That job's youngest task on the target; empty if there is none."""
    probability: float
    """The probability that the job has caused the crash."""
    crashes: int
    """The most crashes under one of the job's tasks."""
    is_given_up: bool
    """Whether the job is given up for its crashes."""
    is_confined: bool
    """Whether the queue is confined to a part of the targets."""
    runs: int
    """Number of runs that the crash ended."""


NO_SUSPICION: Final = Suspicion()


class CrashHistory:
    """The crashes that an entry knows of, and their suspects."""

    def __init__(self) -> None:
        self._crashes: dict[TargetIncarnation, KnownCrash] = {}
        self._stored: dict[JobId, StoredCrashes] = {}
        """Crashes under tasks of durable jobs, from their stored records."""
        self._succeeded: dict[TaskKey, float] = {}
        """When each task that was on a crashed target has succeeded."""
        self._suspected: dict[JobId, Suspicion] = {}
        """By all crashes that are not disproved."""
        self._confirmed: dict[JobId, Suspicion] = {}
        """By confirmed crashes only."""
        self._queue_crashes: tuple[QueueCrash, ...] = ()

    @property
    def queue_crashes(self) -> tuple[QueueCrash, ...]:
        """The crashes that are attributed to queues, by time."""
        return self._queue_crashes

    @property
    def crashes(self) -> dict[TargetIncarnation, KnownCrash]:
        """All known crashes, by the incarnation of the target."""
        return self._crashes

    def update(
        self, agent: str, crashes: Iterable[TargetCrash], now: float
    ) -> set[JobId]:
        """Record the crashes that an agent reports.

        :param agent: the agent's name.
        :param crashes: the crashes.
        :param now: the entry's time.
        :returns: the jobs whose suspicion may have changed.
        """
        changed: set[JobId] = set()
        for crash in crashes:
            known = self._crashes.get(crash.incarnation)
            if known is not None and (known.state, known.runs) == (
                crash.state,
                crash.runs,
            ):
                continue
            crashed_at = (
                now - crash.age_s if known is None else known.crashed_at
            )
            self._crashes[crash.incarnation] = KnownCrash(
                agent, crash.state, crashed_at, crash.runs
            )
            changed.update(run.task.job_id for run in crash.runs)
        if changed:
            self._attribute()
        return changed

    def restore(
        self, job: Job, counts: dict[TaskKey, int], now: float
    ) -> None:
        """Record the stored crashes of a durable job.

        :param job: the job.
        :param counts: the number of crashes under its tasks.
        :param now: the entry's time.
        """
        if counts:
            self._stored[job.job_id] = StoredCrashes(counts, now)
            self._attribute()

    def forget_job(self, job_id: JobId) -> None:
        """Forget what was stored of a job that has been closed."""
        if self._stored.pop(job_id, None) is not None:
            self._attribute()

    def record_success(self, task: TaskKey, now: float) -> None:
        """Record that a task has succeeded, which clears it of its crashes.

        :param task: the task.
        :param now: the entry's time.
        """
        suspicion = self._suspected.get(task.job_id)
        if suspicion is not None and task in suspicion.counts:
            self._succeeded[task] = now
            self._attribute()

    def expire(self, now: float) -> None:
        """Remove crashes that are older than HISTORY_RETENTION_S."""
        expired = [
            incarnation
            for incarnation, crash in self._crashes.items()
            if now - crash.crashed_at > HISTORY_RETENTION_S
        ]
        if not expired:
            return
        for incarnation in expired:
            del self._crashes[incarnation]
        self._succeeded = {
            task: at
            for task, at in self._succeeded.items()
            if now - at <= HISTORY_RETENTION_S
        }
        self._attribute()

    def reports(
        self, confined: Collection[QueueName], now: float
    ) -> list[CrashReport]:
        """Return all known crashes for operators, the newest first.

        :param confined: the confined queues.
        :param now: the entry's time.
        """
        crashes = dict(
            sorted(self._crashes.items(), key=lambda item: -item[1].crashed_at)
        )
        weights = self._weights(list(crashes.values()))
        return [
            self._report(incarnation, crash, each, confined, now)
            for (incarnation, crash), each in zip(
                crashes.items(), weights, strict=True
            )
        ]

    def _report(
        self,
        incarnation: TargetIncarnation,
        crash: KnownCrash,
        weights: dict[JobId, float],
        confined: Collection[QueueName],
        now: float,
    ) -> CrashReport:
        suspect = max(weights, key=weights.__getitem__, default=None)
        run = next(
            (run for run in crash.runs if run.task.job_id == suspect), None
        )
        suspicion = NO_SUSPICION
        if suspect is not None:
            suspicion = self.suspicion_of(suspect)
        return CrashReport(
            age_s=round(now - crash.crashed_at, 1),
            agent=crash.agent,
            target=incarnation.target,
            state=crash.state.value,
            queue=run.queue if run else "",
            task=str(run.task) if run else "",
            probability=round(weights[suspect], 3) if suspect else 0.0,
            crashes=suspicion.max_count,
            is_given_up=suspicion.is_sufficient,
            is_confined=run is not None and run.queue in confined,
            runs=len(crash.runs),
        )

    def suspicion_of(self, job_id: JobId) -> Suspicion:
        """Return what all crashes that are not disproved say of a job."""
        return self._suspected.get(job_id, NO_SUSPICION)

    def is_suspect(self, job_id: JobId) -> bool:
        """Return whether a job may only be run on trial."""
        suspicion = self.suspicion_of(job_id)
        if suspicion.max_count >= MAX_CRASHES:
            return True
        if suspicion.max_count >= MIN_CRASHES:
            return suspicion.level >= RECURRENT_LEVEL
        return suspicion.level >= SUSPECT_LEVEL

    def must_give_up(self, job: Job) -> bool:
        """Return whether a job is given up, as it crashes targets.

        A durable job's crashes must be confirmed, as its state is final.
        """
        suspicion = self.suspicion_of(job.job_id)
        if not job.is_durable or suspicion.max_count >= MAX_CRASHES:
            return suspicion.is_sufficient
        return self._confirmed.get(job.job_id, NO_SUSPICION).is_sufficient

    def must_hold(self, job: Job, now: float) -> bool:
        """Return whether a job has to wait until its crashes are resolved.

        :param job: the job.
        :param now: the entry's time.
        """
        suspicion = self.suspicion_of(job.job_id)
        return (
            suspicion.is_sufficient and now - suspicion.last_at < UNRESOLVED_S
        )

    def _attribute(self) -> None:
        """Recompute all suspicions from the crashes."""
        self._suspected = self._suspicions(is_confirmed_only=False)
        self._confirmed = self._suspicions(is_confirmed_only=True)
        crashes = sorted(
            (
                crash
                for crash in self._crashes.values()
                if crash.state is not CrashState.DISPROVED
            ),
            key=lambda crash: crash.crashed_at,
        )
        weights = self._weights(crashes)
        causes = [
            _find_cause(crash, each, set())
            for crash, each in zip(crashes, weights, strict=True)
        ]
        blamed = {
            run.queue
            for crash in crashes
            for run in crash.runs
            if self.suspicion_of(run.task.job_id).is_sufficient
        }
        blamed |= _frequent_causes(crashes, causes)
        causes = [
            _find_cause(crash, each, blamed)
            for crash, each in zip(crashes, weights, strict=True)
        ]
        self._queue_crashes = tuple(
            QueueCrash(queue, crash.agent, crash.crashed_at)
            for crash, queue in zip(crashes, causes, strict=True)
            if queue is not None and queue in blamed
        )

    def _suspicions(
        self, *, is_confirmed_only: bool
    ) -> dict[JobId, Suspicion]:
        suspicions: dict[JobId, Suspicion] = {}
        excluded = {CrashState.DISPROVED}
        if is_confirmed_only:
            excluded.add(CrashState.SUSPECTED)
        crashes = [
            crash
            for crash in self._crashes.values()
            if crash.state not in excluded
        ]
        for crash, weights in zip(
            crashes, self._weights(crashes), strict=True
        ):
            for job_id, weight in weights.items():
                suspicion = suspicions.setdefault(job_id, Suspicion())
                suspicion.innocence *= 1.0 - weight
                suspicion.last_at = max(suspicion.last_at, crash.crashed_at)
            for run in crash.runs:
                if run.task in self._succeeded:
                    continue
                counts = suspicions[run.task.job_id].counts
                counts[run.task] = counts.get(run.task, 0) + 1
        for job_id, stored in self._stored.items():
            suspicion = suspicions.setdefault(job_id, Suspicion())
            self._add_stored(suspicion, stored, crashes)
        return suspicions

    def _add_stored(
        self,
        suspicion: Suspicion,
        stored: StoredCrashes,
        crashes: list[KnownCrash],
    ) -> None:
        """Add the stored crashes that are not known as well.

        Known ones from before the record was read may be among them.
        """
        earlier = Counter(
            run.task
            for crash in crashes
            if crash.crashed_at <= stored.read_at
            for run in crash.runs
        )
        lost = 0
        for task, count in stored.counts.items():
            missing = count - earlier[task]
            if task in self._succeeded or missing <= 0:
                continue
            suspicion.counts[task] = suspicion.counts.get(task, 0) + missing
            lost = max(lost, missing)
        suspicion.innocence *= (1.0 - LOST_CRASH_SUSPICION) ** lost

    def _weights(self, crashes: list[KnownCrash]) -> list[dict[JobId, float]]:
        """Return the probability that each job has caused each crash."""
        independent = [self._job_weights(crash, {}) for crash in crashes]
        innocence: dict[JobId, float] = {}
        for weights in independent:
            for job_id, weight in weights.items():
                innocence[job_id] = innocence.get(job_id, 1.0) * (1.0 - weight)
        return [
            self._job_weights(
                crash,
                {
                    job_id: 1.0 - innocence[job_id] / (1.0 - weight)
                    for job_id, weight in weights.items()
                },
            )
            for crash, weights in zip(crashes, independent, strict=True)
        ]

    def _job_weights(
        self, crash: KnownCrash, levels: dict[JobId, float]
    ) -> dict[JobId, float]:
        """Return the probability that each job has caused a crash.

        :param crash: the crash.
        :param levels: the suspicion of jobs by other crashes.
        """
        ages_s: dict[JobId, float] = {}
        for run in crash.runs:
            if run.task not in self._succeeded:
                job_id = run.task.job_id
                ages_s[job_id] = min(run.age_s, ages_s.get(job_id, run.age_s))
        scores = {
            job_id: _density(age_s) * (BASE_PRIOR + levels.get(job_id, 0.0))
            for job_id, age_s in ages_s.items()
        }
        total = sum(scores.values())
        total += _density(UNRELATED_AGE_S) * BASE_PRIOR
        return {job_id: score / total for job_id, score in scores.items()}


def _find_cause(
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


def _frequent_causes(
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
