"""Knows the crashes of targets and decides which jobs to suspect of them.

All entries receive the crashes from the agents, so that each one knows a
task's crashes although another entry, which may be lost, had it started.
"""

from __future__ import annotations

from collections import Counter
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.entry.jobs.crash_attribution import CrashCauses
from fulmarscale.entry.jobs.crash_attribution import find_cause
from fulmarscale.entry.jobs.crash_attribution import find_causes
from fulmarscale.entry.jobs.crash_attribution import find_frequent_causes
from fulmarscale.entry.jobs.crash_attribution import KnownCrash
from fulmarscale.entry.jobs.crash_report import CrashReport
from fulmarscale.entry.jobs.suspicion import MIN_CRASHES
from fulmarscale.entry.jobs.suspicion import NO_SUSPICION
from fulmarscale.entry.jobs.suspicion import Suspicion
from fulmarscale.entry.jobs.suspicion import TRIAL_CRASHES
from fulmarscale.runs.crashes import CrashState
from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import TargetIncarnation
from fulmarscale.runs.model import TaskKey

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping

    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.runs.crashes import CrashCounts
    from fulmarscale.runs.crashes import TargetCrash
    from fulmarscale.runs.model import JobId

HISTORY_RETENTION_S: Final = 60.0
"""How long a crash is remembered.

Longer than any caller retries the same job.
"""

SUSPECT_LEVEL: Final = 0.2
"""Suspicion from which a job is run again only on trial."""

RECURRENT_LEVEL: Final = 0.1
"""The same for a job with MIN_CRASHES under one of its tasks."""

MAX_REVISED_CRASHES: Final = 24
"""Number of the newest crashes whose causes are revised with each new one.

Revising all would cost more, the longer the crashes go on.
"""

REVISION_INTERVAL_S: Final = 0.2
"""Shortest time from a revision to one for successes alone, in seconds."""

LOST_CRASH_SUSPICION: Final = 0.5
"""Suspicion by a stored crash whose other runs are no longer known."""

UNRESOLVED_S: Final = 10.0
"""How long a suspected crash may stay unresolved.

A crashed target restarts within a few seconds. After this time it is taken to
be gone for good.
"""


class StoredCrashes(msgspec.Struct, frozen=True):
    """The crashes under a durable job's tasks by its stored record."""

    counts: dict[TaskKey, int]
    """The number of possible crashes under each task."""
    certain: dict[TaskKey, int]
    """The number of certain crashes under each task."""
    incarnations: frozenset[TargetIncarnation]
    """The incarnations of the targets that crashed."""


class QueueCrash(msgspec.Struct, frozen=True):
    """A crash that is attributed to the tasks of a queue."""

    queue: QueueName
    """The queue."""
    agent: str
    """The agent of the target."""
    crashed_at: float
    """When the target crashed, by the entry's time."""


NO_CAUSES: Final = CrashCauses({}, {})


class CrashHistory:
    """The crashes that an entry knows of, and their suspects."""

    def __init__(self) -> None:
        self._crashes: dict[TargetIncarnation, KnownCrash] = {}
        self._causes: dict[TargetIncarnation, CrashCauses] = {}
        """Probable causes of the crashes that are not disproved."""
        self._crashes_by_job: dict[JobId, set[TargetIncarnation]] = {}
        """The crashes that ended runs of each job."""
        self._recurrent: set[JobId] = set()
        """The jobs with MIN_CRASHES or more of them."""
        self._stored: dict[JobId, StoredCrashes] = {}
        """Crashes under tasks of durable jobs, from their stored records."""
        self._succeeded: dict[TaskKey, float] = {}
        """When each task that was on a crashed target has succeeded."""
        self._suspicions: dict[JobId, Suspicion] = {}
        """Cached, by all crashes that are not disproved."""
        self._confirmed: dict[JobId, Suspicion] = {}
        """Cached, by confirmed crashes only."""
        self._queue_crashes: tuple[QueueCrash, ...] = ()
        self._outdated: set[TargetIncarnation] = set()
        """Crashes with tasks that have succeeded since the last revision."""
        self._revised_at = float("-inf")
        """When the causes were last revised."""

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
            self._add(
                crash.incarnation,
                KnownCrash(agent, crash.state, crashed_at, crash.runs),
            )
            self._outdated.add(crash.incarnation)
            changed.update(run.task.job_id for run in crash.runs)
        if changed:
            self._revise(now)
        return changed

    def restore(self, job: Job, crashes: CrashCounts) -> None:
        """Record the stored crashes of a durable job.

        :param job: the job.
        :param crashes: the crashes under its tasks.
        """
        if crashes.by_task:
            self._stored[job.job_id] = StoredCrashes(
                {job.tasks[number].key: n for number, n in crashes.by_task},
                {job.tasks[number].key: n for number, n in crashes.certain},
                frozenset(crashes.incarnations),
            )
            self._forget_suspicions(job.job_id)

    def counted_incarnations(
        self, job_id: JobId
    ) -> tuple[TargetIncarnation, ...]:
        """Return the targets whose crashes the suspicion of a job counts.

        Those that are stored only are left out.

        :param job_id: the job.
        :returns: incarnations, in the order of their crashes.
        """
        return tuple(
            incarnation
            for incarnation in self._by_time(
                self._crashes_by_job.get(job_id, ())
            )
            if incarnation in self._causes
        )

    def forget_job(self, job_id: JobId) -> None:
        """Forget what was stored of a job that has been closed."""
        if self._stored.pop(job_id, None) is not None:
            self._forget_suspicions(job_id)

    def record_success(self, task: TaskKey, now: float) -> None:
        """Record that a task has succeeded, which clears it of its crashes.

        This takes effect with the next refresh, as many tasks that a crash has
        ended succeed at about the same time.

        :param task: the task.
        :param now: the entry's time.
        """
        if task in self.suspicion_of(task.job_id).counts:
            self._succeeded[task] = now
            self._outdated |= self._crashes_by_job.get(task.job_id, set())

    def refresh(self, now: float) -> None:
        """Consider successes and drop crashes after HISTORY_RETENTION_S.

        :param now: the entry's time.
        """
        expired = [
            incarnation
            for incarnation, crash in self._crashes.items()
            if now - crash.crashed_at > HISTORY_RETENTION_S
        ]
        is_due = now - self._revised_at >= REVISION_INTERVAL_S
        if not expired and not (self._outdated and is_due):
            return
        for incarnation in expired:
            self._remove(incarnation)
        if expired:
            self._succeeded = {
                task: at
                for task, at in self._succeeded.items()
                if now - at <= HISTORY_RETENTION_S
            }
        self._revise(now)

    def _add(self, incarnation: TargetIncarnation, crash: KnownCrash) -> None:
        """Add a crash, or replace what is known of it."""
        self._remove(incarnation)
        self._crashes[incarnation] = crash
        for run in crash.runs:
            job_id = run.task.job_id
            crashes = self._crashes_by_job.setdefault(job_id, set())
            crashes.add(incarnation)
            if len(crashes) >= MIN_CRASHES:
                self._recurrent.add(job_id)

    def _remove(self, incarnation: TargetIncarnation) -> None:
        """Remove a crash, if it is known."""
        crash = self._crashes.pop(incarnation, None)
        self._causes.pop(incarnation, None)
        self._outdated.discard(incarnation)
        for run in crash.runs if crash else ():
            job_id = run.task.job_id
            crashes = self._crashes_by_job.get(job_id, set())
            crashes.discard(incarnation)
            if len(crashes) < MIN_CRASHES:
                self._recurrent.discard(job_id)
            if not crashes:
                self._crashes_by_job.pop(job_id, None)

    def _forget_suspicions(self, job_id: JobId) -> None:
        """Discard what is cached about a job."""
        self._suspicions.pop(job_id, None)
        self._confirmed.pop(job_id, None)

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
        return [
            self._report(
                incarnation,
                crash,
                self._causes.get(incarnation, NO_CAUSES).by_job,
                confined,
                now,
            )
            for incarnation, crash in crashes.items()
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
        if job_id not in self._crashes_by_job and job_id not in self._stored:
            return NO_SUSPICION
        if job_id not in self._suspicions:
            self._suspicions[job_id] = self._suspicion(
                job_id, self._crashes, self._causes
            )
        return self._suspicions[job_id]

    def _confirmed_suspicion_of(self, job_id: JobId) -> Suspicion:
        """Return what the confirmed crashes alone say of a job."""
        if job_id not in self._confirmed:
            crashes = {
                incarnation: self._crashes[incarnation]
                for incarnation in (
                    *self._recent(),
                    *self._crashes_by_job.get(job_id, ()),
                )
                if self._crashes[incarnation].state is CrashState.CONFIRMED
            }
            causes = find_causes(crashes, self._succeeded, {})
            self._confirmed[job_id] = self._suspicion(job_id, crashes, causes)
        return self._confirmed[job_id]

    def is_suspect(self, job_id: JobId) -> bool:
        """Return whether a job may only be run on trial."""
        suspicion = self.suspicion_of(job_id)
        if suspicion.max_count >= TRIAL_CRASHES:
            return True
        if suspicion.max_count >= MIN_CRASHES:
            return suspicion.level >= RECURRENT_LEVEL
        return suspicion.level >= SUSPECT_LEVEL

    def must_give_up(self, job: Job) -> bool:
        """Return whether a job is given up, as it crashes targets.

        A durable job's crashes must be confirmed, as its state is final.
        """
        suspicion = self.suspicion_of(job.job_id)
        if not job.is_durable or suspicion.max_count >= TRIAL_CRASHES:
            return suspicion.is_sufficient
        return (
            suspicion.is_sufficient
            and self._confirmed_suspicion_of(job.job_id).is_sufficient
        )

    def must_hold(self, job: Job, now: float) -> bool:
        """Return whether a job has to wait until its crashes are resolved.

        :param job: the job.
        :param now: the entry's time.
        """
        suspicion = self.suspicion_of(job.job_id)
        return (
            suspicion.is_sufficient and now - suspicion.last_at < UNRESOLVED_S
        )

    def _recent(self) -> list[TargetIncarnation]:
        """Return the newest crashes, whose causes are still revised."""
        return self._by_time(self._crashes)[-MAX_REVISED_CRASHES:]

    def _by_time(
        self, crashes: Iterable[TargetIncarnation]
    ) -> list[TargetIncarnation]:
        """Return crashes in the order in which they happened."""
        return sorted(
            crashes,
            key=lambda incarnation: self._crashes[incarnation].crashed_at,
        )

    def _revise(self, now: float) -> None:
        """Find the causes of the newest crashes and of those that changed.

        :param now: the entry's time.
        """
        self._revised_at = now
        revised = {
            incarnation: self._crashes[incarnation]
            for incarnation in (*self._recent(), *self._outdated)
            if self._crashes[incarnation].state is not CrashState.DISPROVED
        }
        for incarnation in self._outdated - revised.keys():
            self._causes.pop(incarnation, None)
        self._outdated.clear()
        earlier = self._innocence_by_others(revised)
        self._causes |= find_causes(revised, self._succeeded, earlier)
        self._suspicions.clear()
        self._confirmed.clear()
        self._attribute_to_queues()

    def _innocence_by_others(
        self, revised: Collection[TargetIncarnation]
    ) -> dict[JobId, float]:
        """Return what the other crashes say of the jobs of some crashes.

        :param revised: the crashes whose jobs are asked for.
        :returns: the probability that a job has caused none of the others,
            for jobs that are among their suspects.
        """
        innocence: dict[JobId, float] = {}
        for job_id in self._recurrent:
            for incarnation in self._crashes_by_job[job_id]:
                if incarnation in revised:
                    continue
                causes = self._causes.get(incarnation, NO_CAUSES)
                weight = causes.by_job.get(job_id, 0.0)
                innocence[job_id] = innocence.get(job_id, 1.0) * (1.0 - weight)
        return innocence

    def _attribute_to_queues(self) -> None:
        """Attribute the crashes to the queues that are blamed for them."""
        crashes = [
            (self._crashes[incarnation], self._causes[incarnation])
            for incarnation in self._by_time(self._causes)
        ]
        times = [crash.crashed_at for crash, _ in crashes]
        causes = [each for _, each in crashes]
        blamed = {
            run.queue
            for job_id in self._recurrent | self._stored.keys()
            if self.suspicion_of(job_id).is_sufficient
            for incarnation in self._crashes_by_job.get(job_id, ())
            for run in self._crashes[incarnation].runs
            if run.task.job_id == job_id
        }
        blamed |= find_frequent_causes(
            times, [find_cause(each, set()) for each in causes]
        )
        queues = [find_cause(each, blamed) for each in causes]
        self._queue_crashes = tuple(
            QueueCrash(queue, crash.agent, crash.crashed_at)
            for (crash, _), queue in zip(crashes, queues, strict=True)
            if queue is not None and queue in blamed
        )

    def _suspicion(
        self,
        job_id: JobId,
        crashes: Mapping[TargetIncarnation, KnownCrash],
        causes: Mapping[TargetIncarnation, CrashCauses],
    ) -> Suspicion:
        """Return what some crashes say of a job.

        :param job_id: the job.
        :param crashes: the crashes.
        :param causes: their causes; crashes without any don't count.
        """
        suspicion = Suspicion()
        for incarnation in self._crashes_by_job.get(job_id, ()):
            crash = crashes.get(incarnation)
            cause = causes.get(incarnation)
            if crash is None or cause is None:
                continue
            weight = cause.by_job.get(job_id)
            if weight is not None:
                suspicion.innocence *= 1.0 - weight
                suspicion.last_at = max(suspicion.last_at, crash.crashed_at)
            for run in crash.runs:
                if run.task.job_id != job_id or run.task in self._succeeded:
                    continue
                count = suspicion.counts.get(run.task, 0)
                suspicion.counts[run.task] = count + 1
                certain = suspicion.certain.get(run.task, 0)
                suspicion.certain[run.task] = certain + run.is_certain
        stored = self._stored.get(job_id)
        if stored is not None:
            self._add_stored(suspicion, stored)
        return suspicion

    def _add_stored(self, suspicion: Suspicion, stored: StoredCrashes) -> None:
        """Add the stored crashes that no agent has reported to this entry."""
        runs = [
            run
            for incarnation in stored.incarnations & self._crashes.keys()
            for run in self._crashes[incarnation].runs
        ]
        reported = Counter(run.task for run in runs)
        certain = Counter(run.task for run in runs if run.is_certain)
        lost = 0
        for task, count in stored.counts.items():
            missing = count - reported[task]
            if task in self._succeeded or missing <= 0:
                continue
            suspicion.counts[task] = suspicion.counts.get(task, 0) + missing
            lost = max(lost, missing)
            missing = max(stored.certain.get(task, 0) - certain[task], 0)
            suspicion.certain[task] = suspicion.certain.get(task, 0) + missing
        suspicion.innocence *= (1.0 - LOST_CRASH_SUSPICION) ** lost
