"""Which jobs that have reached their own limits per target are tried again."""

from __future__ import annotations

from itertools import islice
from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.runs.model import JobId

MAX_RETRIES: Final = 20
"""Jobs without a change that are tried again in one placement pass."""


class LimitedJobs:
    """Jobs whose limits of tasks per target keep them from using free room.

    Such a failure shows nothing for other jobs, and each attempt looks at all
    agents. So these jobs are tried a few at a time, in turn, and at once when
    one of their runs has ended.
    """

    def __init__(self) -> None:
        self._runs: dict[JobId, int] = {}
        """Their numbers of assigned tasks, the next to be tried first."""
        self._due: set[JobId] = set()
        """The jobs whose turn it is in this pass."""

    def begin_pass(self, waiting: set[JobId]) -> None:
        """Choose the jobs whose turn it is.

        :param waiting: the jobs with waiting tasks.
        """
        for job_id in self._runs.keys() - waiting:
            del self._runs[job_id]
        self._due = set(islice(self._runs, MAX_RETRIES))
        for job_id in self._due:
            self._runs[job_id] = self._runs.pop(job_id)

    def may_try(self, job: Job) -> bool:
        """Return whether a job's steps with a limit are tried in this pass."""
        runs = self._runs.get(job.job_id)
        if runs is None or job.job_id in self._due:
            return True
        return len(job.assigned) != runs

    def record(self, job: Job, *, has_reached_limit: bool) -> None:
        """Record whether a job has reached a limit where there is room."""
        self._runs.pop(job.job_id, None)
        if has_reached_limit:
            self._runs[job.job_id] = len(job.assigned)
