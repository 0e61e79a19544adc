"""Applies the reports and completions of runs to their jobs."""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import Protocol
from typing import TYPE_CHECKING

from fulmarscale.entry.durable.record import RecordedCompletion
from fulmarscale.entry.jobs.actions import AdvanceOwnerEpoch
from fulmarscale.entry.jobs.actions import JobOutcome
from fulmarscale.entry.jobs.actions import StoreCompletion
from fulmarscale.entry.jobs.job import FormerRun
from fulmarscale.entry.jobs.job import TaskPhase
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event
from fulmarscale.runs.crashes import CrashCounts
from fulmarscale.runs.crashes import NO_CRASHES
from fulmarscale.runs.model import RefusalReason
from fulmarscale.runs.model import RunOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.entry.jobs.actions import DispatchAction
    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.entry.jobs.crash_history import CrashHistory
    from fulmarscale.entry.jobs.fleet import Fleet
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.job import Task
    from fulmarscale.entry.jobs.open_jobs import OpenJobs
    from fulmarscale.entry.jobs.run_monitor import DecisionLog
    from fulmarscale.entry.jobs.run_monitor import RunMonitor
    from fulmarscale.ids import EntryId
    from fulmarscale.runs.messages import DurableCompletion
    from fulmarscale.runs.messages import RunReport


AGENT_SILENT_END: Final = "agent_silent"
"""The end of a run in the log if its agent has been silent for too long."""


def _describe_end(report: RunReport | None) -> dict[str, Any]:
    """Return what an agent knew of the end of a run, as fields of a line."""
    if report is None:
        return {}
    fields: dict[str, Any] = {
        "request": report.request_number,
        "run": report.number,
    }
    if report.end is not None:
        fields["cause"] = report.end.cause.value
        fields["confirmed"] = report.end.is_confirmed
        fields["list_age_s"] = report.end.list_age_s
    return fields


class JobCloser(Protocol):
    """Closes a job and reports its outcome."""

    def __call__(
        self,
        job: Job,
        outcome: JobOutcome,
        now: float,
        reason: str,
        *,
        code: ResultCode = ResultCode.OK,
    ) -> None:
        """Close a job.

        :param job: the job.
        :param outcome: its outcome.
        :param now: the entry's time.
        :param reason: why it is closed, for the log.
        :param code: why it has failed, for the caller.
        """


class RunResults:
    """Applies what agents report about the runs of one entry.

    :param entry: the entry.
    :param open_jobs: its open jobs.
    :param fleet: its agents.
    :param monitor: records the durations of runs.
    :param crashes: the known crashes of targets.
    :param close_job: closes jobs that are done or have failed.
    :param act: adds an action to those of the current call.
    :param log: writes a line about a decision.
    """

    def __init__(
        self,
        entry: EntryId,
        open_jobs: OpenJobs,
        fleet: Fleet,
        monitor: RunMonitor,
        crashes: CrashHistory,
        *,
        close_job: JobCloser,
        act: Callable[[DispatchAction], None],
        log: DecisionLog,
    ) -> None:
        self._entry = entry
        self._open = open_jobs
        self._fleet = fleet
        self._monitor = monitor
        self._crashes = crashes
        self._close_job = close_job
        self._act = act
        self._log = log

    def apply_report(
        self, view: AgentView, report: RunReport, now: float
    ) -> None:
        """Apply an agent's report of a run's outcome."""
        if view.assigned.get(report.task) != report.request_number:
            # A run of an earlier start request, abandoned in the meantime.
            return
        view.release(report.task)
        job = self._open.jobs.get(report.task.job_id)
        task = None if job is None else job.find(report.task)
        if job is None or task is None:
            return
        if task.phase is not TaskPhase.ASSIGNED or task.agent != view.name:
            return
        match report.outcome:
            case RunOutcome.DONE:
                self._record_success(view, job, task, now)
            case RunOutcome.FAILED:
                self._record_failure(view, job, task, now)
            case RunOutcome.NOT_STARTED:
                self._record_refusal(view, job, task, report, now)
            case _:
                self._queue_again(job, task, report.outcome.value, now, report)
                if report.outcome is RunOutcome.CRASHED:
                    self._store_crashes(job)

    def apply_completion(
        self, view: AgentView, completion: DurableCompletion, now: float
    ) -> None:
        """Apply a completion that is stored before the target may forget it.

        :param view: the agent that keeps it until it is acknowledged.
        :param completion: the completion.
        :param now: the entry's time.
        """
        key = completion.task
        job = self._open.jobs.get(key.job_id)
        task = None if job is None else job.find(key)
        view.unacknowledged[completion.position] = completion
        is_own = completion.entry == self._entry
        is_assigned = (
            is_own and view.assigned.get(key) == completion.request_number
        )
        if is_assigned:
            view.release(key)
        recorded = RecordedCompletion.of(completion)
        is_known = job is not None and recorded in job.counted_completions
        if job is None or task is None or is_known:
            # One that counts already only waits for its acknowledgement.
            self._act(StoreCompletion(view.name, completion, False))
            return
        is_awaited = task.phase is TaskPhase.ASSIGNED and is_assigned
        is_awaited = is_awaited and task.agent == view.name
        is_counted = is_awaited or job.is_inherited_run(
            task, completion.owner_epoch
        )
        self._act(StoreCompletion(view.name, completion, is_counted))
        if not is_counted:
            return
        job.counted_completions.add(recorded)
        if completion.is_done:
            self._record_success(view, job, task, now)
        else:
            self._record_failure(view, job, task, now)

    def apply_inherited_completions(self, job: Job, now: float) -> None:
        """Apply the unacknowledged completions of a job that was taken over.

        Those of a task's newest start request are applied first. If that run
        succeeded, older ones don't count; if it failed, they count too.
        """
        inherited = [
            (completion.task, -completion.request_number, completion, view)
            for view in self._fleet.views
            for completion in view.unacknowledged.values()
            if completion.task.job_id == job.job_id
        ]
        for _, _, completion, view in sorted(
            inherited, key=lambda item: item[:2]
        ):
            self.apply_completion(view, completion, now)

    def review_completions(self) -> None:
        """Store the held completions of jobs that aren't open here."""
        for view in self._fleet.views:
            for completion in view.unacknowledged.values():
                if completion.task.job_id not in self._open.jobs:
                    self._act(StoreCompletion(view.name, completion, False))

    def close_if_finished(self, job: Job, now: float) -> None:
        """Close a job that was taken over after its last run."""
        if job.job_id not in self._open.jobs:
            return
        if job.is_done:
            self._close_job(job, JobOutcome.COMPLETED, now, "done")
        elif job.max_failures >= job.queue.max_attempts:
            self._close_failed(job, now)
        else:
            self.give_up_if_crashing(job, now)

    def give_up_if_crashing(self, job: Job, now: float) -> None:
        """Close a job if one of its tasks crashes targets.

        A job that isn't durable has failed only if that is certain.
        """
        if not self._crashes.must_give_up(job):
            return
        suspicion = self._crashes.suspicion_of(job.job_id)
        self._log(
            Event.JOB_CRASHES_TARGETS,
            job=job.job_id,
            queue=job.queue.name,
            crashes=suspicion.max_count,
            suspicion=round(suspicion.level, 3),
            is_founded=suspicion.is_founded,
        )
        if not job.is_durable and not suspicion.is_founded:
            self._close_job(job, JobOutcome.UNFINISHED, now, "crashes_targets")
            return
        self._close_job(
            job,
            JobOutcome.FAILED,
            now,
            "crashes_targets",
            code=ResultCode.TASK_CRASHES_TARGETS,
        )

    def _close_failed(self, job: Job, now: float) -> None:
        self._close_job(
            job,
            JobOutcome.FAILED,
            now,
            "attempts_used_up",
            code=ResultCode.ATTEMPTS_USED_UP,
        )

    def expire_runs(self, view: AgentView, now: float) -> None:
        """Treat an agent's runs as ended after RUN_EXPIRY_S of silence.

        The agent has stopped them, or their leases have run out. Those that
        may not have begun are kept until the agent is connected again.
        """
        ended = [key for key in view.assigned if not view.may_begin(key, now)]
        if not ended:
            return
        self._log(
            Event.AGENT_SILENT,
            agent=view.name,
            silent_s=round(now - view.last_message_at, 3),
            runs=len(ended),
            kept=len(view.assigned) - len(ended),
        )
        for key in sorted(ended):
            view.release(key)
            job = self._open.jobs.get(key.job_id)
            task = None if job is None else job.find(key)
            if job is None or task is None or task.agent != view.name:
                continue
            if task.phase is TaskPhase.ASSIGNED:
                self._queue_again(job, task, AGENT_SILENT_END, now)
                self._advance_owner_epoch(job)

    def _queue_again(
        self,
        job: Job,
        task: Task,
        end: str,
        now: float,
        report: RunReport | None = None,
    ) -> None:
        """Queue a task again whose run has ended without a result.

        :param job: the job.
        :param task: the task.
        :param end: how the run has ended, for the log.
        :param now: the entry's time.
        :param report: the agent's report of the end; none if it sent none.
        """
        job.may_have_run = True
        task.former_run = FormerRun(task.agent, end, now)
        self._log(
            Event.RUN_CUT_SHORT,
            job=job.job_id,
            step=task.key.step,
            task=task.key.index,
            agent=task.agent,
            end=end,
            age_s=round(now - task.assigned_at, 3),
            **_describe_end(report),
        )
        self._open.set_phase(job, task, TaskPhase.WAITING)

    def _record_success(
        self, view: AgentView, job: Job, task: Task, now: float
    ) -> None:
        job.may_have_run = True
        view.record_success()
        self._crashes.record_success(task.key, now)
        self._monitor.record_success(view, job, task, now)
        self._open.set_phase(job, task, TaskPhase.DONE)
        if job.is_done:
            self._close_job(job, JobOutcome.COMPLETED, now, "done")
            return
        job.unblock()
        self._open.update_waiting(job)

    def _record_failure(
        self, view: AgentView, job: Job, task: Task, now: float
    ) -> None:
        job.may_have_run = True
        task.former_run = FormerRun(view.name, RunOutcome.FAILED.value, now)
        task.failures += 1
        task.failed_on.add(view.name)
        self._open.set_phase(job, task, TaskPhase.WAITING)
        view.record_failure(now)
        self._log(
            Event.RUN_FAILED,
            job=job.job_id,
            step=task.key.step,
            task=task.key.index,
            agent=view.name,
            failures=task.failures,
            agent_failures=view.failures,
        )
        if task.failures >= job.queue.max_attempts:
            self._close_failed(job, now)

    def _record_refusal(
        self,
        view: AgentView,
        job: Job,
        task: Task,
        report: RunReport,
        now: float,
    ) -> None:
        self._open.set_phase(job, task, TaskPhase.WAITING)
        view.refused_at = now
        if report.refusal is RefusalReason.UNCONFIRMED:
            task.former_run = FormerRun(view.name, report.refusal.value, now)
        if report.refusal is not RefusalReason.NO_ROOM:
            self._log(
                Event.RUN_NOT_STARTED,
                job=job.job_id,
                step=task.key.step,
                task=task.key.index,
                agent=view.name,
                reason=report.refusal.value if report.refusal else None,
            )

    def _store_crashes(self, job: Job) -> None:
        """Start nothing of a durable suspect until its crashes are stored."""
        if not job.is_durable or not self._crashes.is_suspect(job.job_id):
            return
        suspicion = self._crashes.suspicion_of(job.job_id)
        by_task, certain = (
            tuple(
                (number, counts[task.key])
                for number, task in enumerate(job.tasks)
                if counts.get(task.key)
            )
            for counts in (suspicion.counts, suspicion.certain)
        )
        incarnations = self._crashes.counted_incarnations(job.job_id)
        self._advance_owner_epoch(
            job, CrashCounts(by_task, incarnations, certain)
        )

    def _advance_owner_epoch(
        self, job: Job, crashes: CrashCounts = NO_CRASHES
    ) -> None:
        """Start nothing of a durable job until a new owner epoch is stored.

        A run was abandoned that may have succeeded. The agent may keep its
        completion, which must not count once the task is started again.
        """
        if job.is_durable and job.earliest_start_at < float("inf"):
            job.earliest_start_at = float("inf")
            self._act(AdvanceOwnerEpoch(job.job_id, crashes))
