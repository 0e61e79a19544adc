"""Cancellations of unknown jobs, at an entry that knows of no durable jobs.

A cancellation that finds no row of the job is stored in its place, so that a
first write which is still under way conflicts with it. While no durable jobs
are known to exist, that would be a write for each cancellation of a
best-effort job. Such cancellations are kept in memory, and stored as soon as
the entry learns of durable jobs.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.runs.model import JobId

MAX_HELD: Final = 2_000
"""Most cancellations that are kept; the oldest are dropped.

Each takes some hundred bytes, and a call to the store later on.
"""


class HeldCancellations:
    """The cancellations of one entry that are not stored.

    :param retention_s: how long they are kept, in seconds.
    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._held_at: dict[JobId, float] = {}
        """When each job was cancelled, the latest last."""

    def __len__(self) -> int:
        return len(self._held_at)

    def add(self, job_id: JobId, now: float) -> None:
        """Keep a cancellation.

        :param job_id: the job.
        :param now: the entry's time.
        """
        self._held_at.pop(job_id, None)
        self._held_at[job_id] = now
        while len(self._held_at) > MAX_HELD or self._is_first_expired(now):
            del self._held_at[next(iter(self._held_at))]

    def holds(self, job_id: JobId, now: float) -> bool:
        """Return whether a job's cancellation is kept.

        :param job_id: the job.
        :param now: the entry's time.
        """
        held_at = self._held_at.get(job_id, float("-inf"))
        return now - held_at <= self._retention_s

    def latest(self, now: float) -> JobId | None:
        """Return the job that was cancelled last; none if there is none.

        :param now: the entry's time.
        """
        if not self._held_at:
            return None
        job_id = next(reversed(self._held_at))
        if not self.holds(job_id, now):
            self._held_at.clear()
            return None
        return job_id

    def remove(self, job_id: JobId) -> None:
        """Remove a cancellation, as it is stored."""
        self._held_at.pop(job_id, None)

    def _is_first_expired(self, now: float) -> bool:
        return not self.holds(next(iter(self._held_at)), now)
