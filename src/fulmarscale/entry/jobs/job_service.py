"""Interfaces through which the HTTP endpoints access an entry's jobs."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from fulmarscale.entry.durable.record import DurableJobState
    from fulmarscale.entry.jobs.actions import AnswerJob
    from fulmarscale.entry.jobs.actions import JobState
    from fulmarscale.errors import ResultCode
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import JobSpec
    from fulmarscale.runs.site_config import Queue
    from fulmarscale.runs.site_config import SiteConfig


class DurableJobs(ABC):
    """Access to durable jobs, whichever entry owns them."""

    @abstractmethod
    def owns(self, job_id: JobId) -> bool:
        """Return whether a job is stored and owned by this entry."""

    @abstractmethod
    async def state_of(self, job_id: JobId) -> DurableJobState | None:
        """Return the stored state of a job; none if no job is stored.

        Waits briefly if the job is open, as its outcome may be about to
        be stored.

        :raises FulmarError: STORE_UNAVAILABLE.
        """

    @abstractmethod
    async def cancel(self, job_id: JobId) -> bool:
        """Cancel a job.

        :returns: whether the job exists.
        :raises FulmarError: STORE_UNAVAILABLE; the job may be cancelled.
        """

    @abstractmethod
    async def code_of(self, job_id: JobId) -> ResultCode:
        """Return why a job has failed.

        :raises FulmarError: STORE_UNAVAILABLE.
        """

    @abstractmethod
    async def pending_of(self, queue: str) -> int:
        """Return the number of a queue's durable jobs not yet started."""


class JobService(ABC):
    """Submission, state and cancellation of an entry's jobs."""

    @property
    @abstractmethod
    def site(self) -> SiteConfig:
        """The newest known configuration of the site."""

    @property
    @abstractmethod
    def site_age_s(self) -> float:
        """Time since the configuration was known to be the newest.

        In seconds; infinite if it never was.
        """

    @property
    @abstractmethod
    def is_stopping(self) -> bool:
        """Whether the entry shuts down and callers should use another one."""

    @property
    @abstractmethod
    def is_ready(self) -> bool:
        """Whether a load balancer may send callers to this entry."""

    @abstractmethod
    def submit(
        self, job_id: JobId, queue: Queue, spec: JobSpec, wait_s: float
    ) -> asyncio.Future[AnswerJob]:
        """Submit a job that isn't durable.

        :param job_id: the identifier that the caller chose.
        :param queue: the queue that the job is submitted to.
        :param spec: the steps to run.
        :param wait_s: how long the caller waits.
        :returns: the answer; each submission of a job gets its own future.
        """

    @property
    @abstractmethod
    def durable_jobs(self) -> DurableJobs:
        """Access to the durable jobs."""

    @abstractmethod
    async def submit_durable(
        self, job_id: JobId, queue: Queue, spec: JobSpec, wait_s: float
    ) -> AnswerJob:
        """Submit a durable job and wait until it is stored.

        :param job_id: the identifier that the caller chose.
        :param queue: the queue that the job is submitted to.
        :param spec: the steps to run.
        :param wait_s: how long the caller waits.
        :returns: the answer; UNFINISHED if the job may or may not be stored.
        """

    @abstractmethod
    def state_of(self, job_id: JobId) -> JobState | None:
        """Return the state of an open job; none if it isn't open here."""

    @abstractmethod
    def cancel_job(self, job_id: JobId) -> None:
        """Cancel a job that isn't durable and answer its callers."""

    @abstractmethod
    def withdraw_caller(
        self, job_id: JobId, future: asyncio.Future[AnswerJob]
    ) -> None:
        """Withdraw a caller that has disconnected.

        :param job_id: the caller's job.
        :param future: the caller's answer, which is no longer awaited.
        """
