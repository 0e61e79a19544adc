"""The open jobs of an entry, and which of them wait for capacity."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.job import Task
    from fulmarscale.entry.jobs.job import TaskPhase
    from fulmarscale.runs.model import JobId


class OpenJobs:
    """The jobs that an entry has accepted and not answered yet."""

    def __init__(self) -> None:
        self.jobs: dict[JobId, Job] = {}
        """All open jobs."""
        self.waiting: dict[JobId, Job] = {}
        """Open jobs with tasks that wait for free capacity."""
        self.set_apart: dict[JobId, Job] = {}
        """Open jobs whose waiting tasks no known target can run."""
        self.unchecked: dict[JobId, Job] = {}
        """Waiting jobs for which this is not known."""
        self.needs_placement = False
        """Whether more tasks may be placed than after the last pass."""

    def add(self, job: Job) -> None:
        """Add an accepted job."""
        self.jobs[job.job_id] = job
        self.update_waiting(job)

    def remove(self, job_id: JobId) -> Job | None:
        """Remove and return a job; none if it isn't open."""
        self._drop(job_id)
        return self.jobs.pop(job_id, None)

    def set_phase(self, job: Job, task: Task, phase: TaskPhase) -> None:
        """Move a task of a job to another phase."""
        job.set_phase(task, phase)
        self.update_waiting(job)

    def update_waiting(self, job: Job) -> None:
        """Update whether a job waits for capacity, and request placement."""
        self.needs_placement = True
        if job.is_waiting:
            self.set_waiting(job, is_apart=False)
            self.unchecked[job.job_id] = job
        else:
            self._drop(job.job_id)

    def set_waiting(self, job: Job, *, is_apart: bool) -> None:
        """Let a job wait for capacity, or set it apart.

        :param job: a job with waiting tasks.
        :param is_apart: whether no known target can run these tasks.
        """
        source, to = self.set_apart, self.waiting
        if is_apart:
            source, to = to, source
        source.pop(job.job_id, None)
        to[job.job_id] = job

    def _drop(self, job_id: JobId) -> None:
        """Forget a job that has no waiting tasks."""
        for jobs in (self.waiting, self.set_apart, self.unchecked):
            jobs.pop(job_id, None)
