"""What an entry offers to those who serve its callers."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from fulmarscale.entry.jobs.actions import AnswerJob
    from fulmarscale.entry.jobs.actions import JobState
    from fulmarscale.entry.kept.record import KeptState
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import JobSpec
    from fulmarscale.runs.site_state import Queue
    from fulmarscale.runs.site_state import SiteState


class KeptJobs(ABC):
    """Tells of jobs that are kept, whoever owns them."""

    @abstractmethod
    def owns(self, job_id: JobId) -> bool:
        """Tell whether a job is stored and this entry's to run."""

    @abstractmethod
    async def state_of(self, job_id: JobId) -> KeptState | None:
        """Tell what is stored of a job; none if there is none.

        Waits for a moment if the job is open: its end may be under way.

        :raises FulmarError: STORE_UNAVAILABLE.
        """

    @abstractmethod
    async def cancel(self, job_id: JobId) -> bool:
        """Cancel a job; false if there is none.

        :raises FulmarError: STORE_UNAVAILABLE; it may have been cancelled.
        """

    @abstractmethod
    async def pending_of(self, queue: str) -> int:
        """Count the accepted jobs of a queue that have not begun."""


class JobDesk(ABC):
    """Takes in jobs and tells of them."""

    @property
    @abstractmethod
    def site(self) -> SiteState:
        """What operators have set."""

    @property
    @abstractmethod
    def is_stopping(self) -> bool:
        """Whether callers should go elsewhere with their next request."""

    @property
    @abstractmethod
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""

    @abstractmethod
    def submit(
        self, job_id: JobId, queue: Queue, spec: JobSpec, wait_s: float
    ) -> asyncio.Future[AnswerJob]:
        """Take in a job; each attempt gets a future of its own."""

    @property
    @abstractmethod
    def keeper(self) -> KeptJobs:
        """The jobs that are kept."""

    @abstractmethod
    async def keep(
        self, job_id: JobId, queue: Queue, spec: JobSpec, wait_s: float
    ) -> AnswerJob:
        """Take in a job that is to be kept, and wait until it is stored."""

    @abstractmethod
    def state_of(self, job_id: JobId) -> JobState | None:
        """Tell how far a job is; none if it isn't known or has ended."""

    @abstractmethod
    def revoke(self, job_id: JobId) -> None:
        """Cancel a job at a caller's wish."""

    @abstractmethod
    def leave(self, job_id: JobId, future: asyncio.Future[AnswerJob]) -> None:
        """Note that a caller has left."""
