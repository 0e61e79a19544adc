"""Advises rejected callers when to submit their jobs again."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from hashlib import blake2b
from math import floor
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.actions import JobOutcome

if TYPE_CHECKING:
    from fulmarscale.entry.jobs.job import Job
    from fulmarscale.entry.jobs.urgency import Urgency
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import ServiceName

MIN_RETRY_AFTER_S: Final = 1.0
"""Shortest delay of a retry that is advised to callers.

HTTP's Retry-After header has whole seconds.
"""

MAX_RETRY_AFTER_S: Final = 5.0
"""Longest advised delay: a lost target is restarted or replaced by then."""

HASH_BYTES: Final = 4


def retry_after_s(wait_s: float) -> float:
    """Return the delay after which a retry is likely to be accepted.

    :param wait_s: the predicted wait of the rejected job, in seconds.
    :returns: seconds.
    """
    return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)


def whole_seconds(delay_s: float, job_id: JobId) -> int:
    """Round a delay up or down, so that the mean over jobs is the delay.

    The hash of the job decides, so entries round alike without a message.

    :param delay_s: seconds.
    :param job_id: the job that is to return.
    """
    digest = blake2b(job_id.encode(), digest_size=HASH_BYTES).digest()
    draw = int.from_bytes(digest) / 256**HASH_BYTES
    whole = floor(delay_s)
    return whole + (draw < delay_s - whole)


class ReturnRule(ABC):
    """Decides when rejected callers are to return."""

    @abstractmethod
    def delay_s(
        self, job: Job, outcome: JobOutcome, wait_s: float, now: float
    ) -> float:
        """Return the advised delay of a rejected job, in seconds.

        0 for other outcomes.

        :param job: the job.
        :param outcome: its outcome.
        :param wait_s: its predicted wait, in seconds.
        :param now: the entry's time.
        """


class ReturnByUrgency(ReturnRule):
    """Callers return in the order of urgency, at the rate of their room.

    Each class has a schedule at each entry, in which a rejected job takes the
    time that its demand needs at the rate at which the entry lately started
    tasks of the class. Jobs of services without classes are told their
    predicted wait.

    :param urgency: the classes.
    """

    def __init__(self, urgency: Urgency) -> None:
        self._urgency = urgency
        self._scheduled_until: dict[tuple[ServiceName, int], float] = {}
        """When the last advised return of each class is served."""

    def delay_s(
        self, job: Job, outcome: JobOutcome, wait_s: float, now: float
    ) -> float:
        """Return the advised delay of a rejected job, in seconds."""
        if outcome is not JobOutcome.NOT_RUN:
            return 0.0
        if not self._urgency.applies_to(job):
            return retry_after_s(wait_s)
        key = (job.queue.service, job.queue.priority)
        begins_at = max(
            self._scheduled_until.get(key, now),
            now + retry_after_s(wait_s),
        )
        rate = self._urgency.start_rate(job, now)
        ends_at = begins_at + (job.millicores / rate if rate > 0 else 0.0)
        # Beyond the longest delay an order can't be kept.
        self._scheduled_until[key] = min(ends_at, now + MAX_RETRY_AFTER_S)
        return float(whole_seconds(begins_at - now, job.job_id))
