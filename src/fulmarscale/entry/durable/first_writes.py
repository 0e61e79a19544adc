"""When the first write of a new job's record is made, and made again."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.durable.actions import StorageOutcome

if TYPE_CHECKING:
    from fulmarscale.entry.durable.durable_job import DurableJob

MAX_OPEN_JOBS: Final = 5_000
"""Limit of open jobs of one entry; further jobs are rejected.

At 10 kB for a job they take 50 MB of the 200 MB of the smallest entry VM.
"""

FIRST_LEASE_WAIT_S: Final = 1.0
"""How long after its activation this entry admits jobs without a lease.

An admitted job then waits for the lease, and is given up without it. The first
lease takes two calls to the store, at most a second together while the store
is available.
"""

FIRST_WRITE_LIMIT_S: Final = 60.0
"""Time after which a job's first write is not repeated any more.

The row of a job that was cancelled meanwhile, which keeps the write from being
applied, is removed after STATUS_RETENTION_S.
"""

LATE_WRITE_S: Final = 10.0
"""Time after which a write without an answer is taken to be applied or lost.

The platform applies such a write seconds later, if at all.
"""


def rejection(
    *,
    is_store_available: bool,
    is_owner: bool,
    active_s: float,
    open_jobs: int,
) -> StorageOutcome | None:
    """Return the outcome for a rejected new job; none if it is admitted.

    While the store is unavailable, an earlier attempt may have been stored by
    another entry. The outcome is then UNKNOWN, as this entry can't exclude
    that the job runs.

    :param is_store_available: whether the store answers.
    :param is_owner: whether the entry holds its lease.
    :param active_s: time since the entry knows of durable jobs, in seconds.
    :param open_jobs: number of open jobs that it owns.
    """
    if not is_store_available:
        return StorageOutcome.UNKNOWN
    if not is_owner and active_s >= FIRST_LEASE_WAIT_S:
        return StorageOutcome.UNKNOWN
    return StorageOutcome.REFUSED if open_jobs >= MAX_OPEN_JOBS else None


class UnresolvedWrites:
    """Jobs whose first write was pending when the lease was lost.

    It may still be applied, so it is repeated under the next lease: if it were
    applied later, no entry would learn that this one owns the job.
    """

    def __init__(self) -> None:
        self._jobs: list[DurableJob] = []

    def add(self, job: DurableJob) -> None:
        """Add a job."""
        self._jobs.append(job)

    def take(self, now: float) -> list[DurableJob]:
        """Return and remove the jobs whose first write is to be repeated.

        One that is older than FIRST_WRITE_LIMIT_S has been applied before the
        next scan, if at all.

        :param now: the entry's time.
        """
        jobs, self._jobs = self._jobs, []
        return [
            job for job in jobs if now - job.created_at <= FIRST_WRITE_LIMIT_S
        ]
