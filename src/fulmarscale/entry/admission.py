"""Admission control for jobs submitted over `/v1/jobs`.

A job is rejected if it exceeds the customer's contract or the entry's queue,
or if it can't finish before its deadline. (`entry.jobs.admission` predicts
start times for the users' platform.)
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarscale.control.actions import SendPeer
from fulmarscale.control.lease import NEVER
from fulmarscale.entry.job import TaskState
from fulmarscale.entry.task_dispatch import MIN_TIME_LEFT_SHARE
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode
from fulmarscale.wire.messages import QuotaGrant
from fulmarscale.wire.messages import QuotaRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.control.entry_list import Member
    from fulmarscale.control.lease import LeaseManager
    from fulmarscale.entry.action_buffer import ActionBuffer
    from fulmarscale.entry.job import OwnedJob
    from fulmarscale.entry.limits import EntryLimits
    from fulmarscale.entry.placement import TaskScheduler
    from fulmarscale.entry.quota import QuotaManager
    from fulmarscale.entry.run_times import RunTimes
    from fulmarscale.entry.task_dispatch import TaskDispatcher

RESEND_S = 0.3
"""Time after which a quota request without a response is resent."""

QUOTA_RETRY_S = 0.05
"""Delay before repeating a request that the holder could not decide."""

AGENT_CONNECT_GRACE_S = 2.0
"""Time that agents have to connect after the first one.

After it a job is rejected if no connected agent serves its kind.
"""


class AdmissionControl:
    """Decides whether a new job is queued for placement or rejected."""

    def __init__(
        self,
        lease: LeaseManager,
        quota: QuotaManager,
        dispatcher: TaskDispatcher,
        scheduler: TaskScheduler,
        run_times: RunTimes,
        limits: EntryLimits,
        actions: ActionBuffer,
        finish: Callable[[OwnedJob, float], None],
    ) -> None:
        self._lease = lease
        self._quota = quota
        self._dispatcher = dispatcher
        self._scheduler = scheduler
        self._run_times = run_times
        self._limits = limits
        self._actions = actions
        self._finish = finish
        self._awaiting_quota: dict[int, OwnedJob] = {}
        """Jobs without a quota decision, by request number."""
        self._quota_requested_at: dict[int, float] = {}
        self._last_request_number = 0

    def clear(self) -> None:
        """Drop all jobs when a new incarnation begins."""
        self._awaiting_quota.clear()
        self._quota_requested_at.clear()

    def tick(self, now: float) -> None:
        """Resend quota requests that have no decision yet."""
        for number, job in list(self._awaiting_quota.items()):
            self._request_quota(number, job, now)

    def admit(self, job: OwnedJob, now: float) -> None:
        """Reject a new job, or request quota for its task starts."""
        row = self._lease.configuration.contract(job.customer)
        if row is None or len(job.tasks) > row.contract.largest_job:
            self._reject(job, ResultCode.JOB_TOO_LARGE, now)
            return
        if len(job.tasks) > row.contract.burst:
            # The token bucket never holds that many, so the job could
            # never run.
            self._reject(job, ResultCode.JOB_TOO_LARGE, now)
            return
        code = self._find_rejection(job, now)
        if code is not None:
            self._reject(job, code, now)
            return
        self._last_request_number += 1
        self._awaiting_quota[self._last_request_number] = job
        self._request_quota(self._last_request_number, job, now)

    def receive_quota_request(
        self, sender: Member, request: QuotaRequest, now: float
    ) -> None:
        """Respond to another entry's request, as the quota's holder."""
        decision = self._quota.take(request.customer, request.task_starts, now)
        grant = QuotaGrant(
            request_id=request.request_id,
            task_starts=request.task_starts if decision.is_granted else 0,
            can_decide=decision.is_decided,
        )
        self._actions.add(SendPeer(sender, grant))

    def receive_quota_grant(self, grant: QuotaGrant, now: float) -> None:
        """Queue or reject a job after the quota holder's decision."""
        job = self._awaiting_quota.get(grant.request_id)
        if job is None:
            return
        if not grant.can_decide:
            # The holder is still getting the bucket's level from the prior
            # one, has no lease, is shutting down, doesn't know the contract,
            # or isn't the owner by its list. The request is repeated soon.
            self._quota_requested_at[grant.request_id] = (
                now - RESEND_S + QUOTA_RETRY_S
            )
            return
        self._handle_grant(grant.request_id, job, grant.task_starts > 0, now)

    def _request_quota(self, number: int, job: OwnedJob, now: float) -> None:
        if job.is_answered or job.unresolved_count == 0:
            self._awaiting_quota.pop(number, None)
            self._quota_requested_at.pop(number, None)
            return
        holder = self._quota.holder(job.customer)
        if holder is None:
            return
        if holder.entry == self._lease.entry:
            decision = self._quota.take(job.customer, len(job.tasks), now)
            if decision.is_decided:
                self._handle_grant(number, job, decision.is_granted, now)
            return
        if now - self._quota_requested_at.get(number, NEVER) < RESEND_S:
            return
        self._quota_requested_at[number] = now
        request = QuotaRequest(job.customer, len(job.tasks), number)
        self._actions.add(SendPeer(holder, request))

    def _handle_grant(
        self, number: int, job: OwnedJob, granted: bool, now: float
    ) -> None:
        del self._awaiting_quota[number]
        self._quota_requested_at.pop(number, None)
        if job.is_answered or job.is_cancelled:
            return
        if not granted:
            self._reject(job, ResultCode.RATE_EXCEEDED, now)
            return
        job.due_at = self._due_at(job)
        for task in job.tasks:
            if task.state is TaskState.QUEUED:
                self._scheduler.push(job, task)
        self._dispatcher.place(now)

    def _due_at(self, job: OwnedJob) -> float:
        """Return the time by which a job should end, for its size.

        Each job may take the same multiple of its shortest possible time.
        Small jobs then don't wait for large ones, and large ones don't
        starve.
        """
        mean_s = self._run_times.mean_s(job.kind)
        if mean_s is None:
            # With a guessed run time, later jobs of a kind with a shorter
            # known run time would go first.
            return job.received_at
        slots = self._dispatcher.slots
        runs_per_slot = max(1.0, len(job.tasks) / max(1, slots))
        due_at = (
            job.received_at + self._limits.stretch * runs_per_slot * mean_s
        )
        latest_at = job.deadline_at - (runs_per_slot + 1) * mean_s
        return min(due_at, latest_at)

    def _find_rejection(self, job: OwnedJob, now: float) -> ResultCode | None:
        """Return the code to reject a job with at once, if there is one."""
        if (
            self._scheduler.queued_count + len(job.tasks)
            > self._limits.queued_tasks
        ):
            return ResultCode.QUEUE_FULL
        views = self._dispatcher.connected_agents
        first_connected_at = self._dispatcher.first_connected_at
        is_connect_grace_over = (
            first_connected_at is not None
            and now - first_connected_at > AGENT_CONNECT_GRACE_S
        )
        serving = [view for view in views if view.serves(job.kind)]
        if is_connect_grace_over and views and not serving:
            return ResultCode.NO_TARGET
        mean_s = self._run_times.mean_s(job.kind)
        slots = sum(view.slots for view in serving)
        if mean_s is None or slots == 0:
            return None
        load = (
            sum(view.load for view in serving) + self._scheduler.queued_count
        )
        # Tasks beyond the free slots first wait for running tasks, which
        # on average have half a run left.
        excess = load + len(job.tasks) - slots
        runs_to_wait = (
            MIN_TIME_LEFT_SHARE + excess / slots if excess > 0 else 0.0
        )
        if (
            now + (runs_to_wait + MIN_TIME_LEFT_SHARE) * mean_s
            > job.deadline_at
        ):
            return ResultCode.DEADLINE_UNREACHABLE
        return None

    def _reject(self, job: OwnedJob, code: ResultCode, now: float) -> None:
        for task in job.tasks:
            if task.state is TaskState.QUEUED:
                job.resolve_task(task, Outcome.NOT_RUN, code)
        self._finish(job, now)
