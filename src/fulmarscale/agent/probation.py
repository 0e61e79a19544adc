"""The time after a start in which no other job's task starts beside it.

Used for queues whose tasks crash targets: a crash soon after a start then has
one suspect, and takes only runs with it that have outlived that time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.runs.messages import StartRequest
    from fulmarscale.runs.model import JobId


class Probation:
    """The job that was last started on probation on a target."""

    def __init__(self) -> None:
        self._job_id: JobId | None = None
        self._ends_at = float("-inf")

    def remaining_s(self, now: float) -> float:
        """Return the time until other jobs' tasks may start, in seconds.

        :param now: the agent's time.
        """
        return max(0.0, self._ends_at - now)

    def allows(self, request: StartRequest, now: float) -> bool:
        """Return whether a run may start now.

        :param request: the request to start it.
        :param now: the agent's time.
        """
        if request.task.job_id == self._job_id:
            return True
        return self.remaining_s(now) == 0.0

    def record_start(self, request: StartRequest, now: float) -> None:
        """Begin the probation of a run, if it has one.

        :param request: the request that started it.
        :param now: the agent's time.
        """
        if request.probation_s > 0.0:
            self._job_id = request.task.job_id
            self._ends_at = now + request.probation_s

    def end(self, now: float) -> bool:
        """Forget a probation that is over.

        :param now: the agent's time.
        :returns: whether one has ended since the last call.
        """
        if self._job_id is None or self.remaining_s(now) > 0.0:
            return False
        self._job_id = None
        return True
