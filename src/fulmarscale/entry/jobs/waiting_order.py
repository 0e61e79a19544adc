"""Orders in which waiting jobs get free capacity."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarscale.entry.jobs.job import Job


class WaitingOrder(ABC):
    """An order of waiting jobs."""

    @abstractmethod
    def sort(self, jobs: Iterable[Job], now: float) -> list[Job]:
        """Return the jobs, the one that gets capacity first ahead.

        :param jobs: jobs with tasks that wait for capacity.
        :param now: the entry's time.
        """


class LatestStartOrder(WaitingOrder):
    """The job that has to start soonest goes first.

    Jobs that can still meet their objective or have been started go ahead of
    late ones, which get the remaining capacity. The tasks of a started job
    that run already would be of no use while the others wait.
    """

    def sort(self, jobs: Iterable[Job], now: float) -> list[Job]:
        """Return the jobs, the most urgent one ahead."""
        return sorted(
            jobs,
            key=lambda job: (
                now > job.latest_start_at and not job.is_started,
                job.latest_start_at,
                job.job_id,
            ),
        )
