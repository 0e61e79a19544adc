"""Knows the crashes of targets and decides which jobs to suspect of them.

All entries receive the crashes from the agents, so that each one knows a
task's crashes although another entry, which may be lost, had it started.
"""

from __future__ import annotations

from collections import Counter
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.entry.jobs.crash_attribution import cause_probabilities
from fulmarscale.entry.jobs.crash_attribution import find_cause
from fulmarscale.entry.jobs.crash_attribution import find_frequent_causes
from fulmarscale.entry.jobs.crash_attribution import KnownCrash
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
        self._is_outdated = False
        """Whether successes have not been considered yet."""

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

        This takes effect with the next update, as many tasks that a crash has
        ended succeed at about the same time.

        :param task: the task.
        :param now: the entry's time.
        """
        suspicion = self._suspected.get(task.job_id)
        if suspicion is not None and task in suspicion.counts:
            self._succeeded[task] = now
            self._is_outdated = True

    def refresh(self, now: float) -> None:
        """Consider successes and drop crashes after HISTORY_RETENTION_S.

        :param now: the entry's time.
        """
        expired = [
            incarnation
            for incarnation, crash in self._crashes.items()
            if now - crash.crashed_at > HISTORY_RETENTION_S
        ]
        if not expired and not self._is_outdated:
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
        weights = cause_probabilities(list(crashes.values()), self._succeeded)
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
        self._is_outdated = False
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
        weights = cause_probabilities(crashes, self._succeeded)
        causes = [
            find_cause(crash, each, set())
            for crash, each in zip(crashes, weights, strict=True)
        ]
        blamed = {
            run.queue
            for crash in crashes
            for run in crash.runs
            if self.suspicion_of(run.task.job_id).is_sufficient
        }
        blamed |= find_frequent_causes(crashes, causes)
        causes = [
            find_cause(crash, each, blamed)
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
            crashes, cause_probabilities(crashes, self._succeeded), strict=True
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
