"""Admits new jobs: limits of the contract, and what can't end in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarscale.control.actions import SendPeer
from fulmarscale.control.lease import NEVER
from fulmarscale.entry.gather import LATE_SHARE
from fulmarscale.entry.job import TaskState
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode
from fulmarscale.wire.messages import QuotaAsk
from fulmarscale.wire.messages import QuotaGrant

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.control.entry_list import Member
    from fulmarscale.control.lease import LeaseKeeper
    from fulmarscale.entry.gather import Gatherer
    from fulmarscale.entry.job import Job
    from fulmarscale.entry.limits import EntryLimits
    from fulmarscale.entry.outbox import Outbox
    from fulmarscale.entry.place import Placer
    from fulmarscale.entry.quota import QuotaKeeper
    from fulmarscale.entry.run_times import RunTimes

RESEND_S = 0.3
"""Time after which an unanswered ask is sent again."""

ASK_AGAIN_S = 0.05
"""The pause before asking a holder that could not answer yet."""

NO_TARGET_AFTER_S = 2.0
"""How long agents have had to connect before a kind is refused."""


class Admission:
    """Decides whether a new job may be placed."""

    def __init__(
        self,
        lease: LeaseKeeper,
        quota: QuotaKeeper,
        gatherer: Gatherer,
        placer: Placer,
        run_times: RunTimes,
        limits: EntryLimits,
        outbox: Outbox,
        finish: Callable[[Job, float], None],
    ) -> None:
        self._lease = lease
        self._quota = quota
        self._gatherer = gatherer
        self._placer = placer
        self._run_times = run_times
        self._limits = limits
        self._out = outbox
        self._finish = finish
        self._admitting: dict[int, Job] = {}
        self._asked_quota_at: dict[int, float] = {}
        self._number = 0

    def clear(self) -> None:
        """Forget all jobs, as a new incarnation does."""
        self._admitting.clear()
        self._asked_quota_at.clear()

    def tick(self, now: float) -> None:
        """Ask again for task starts that were not granted yet."""
        for number, job in list(self._admitting.items()):
            self._ask_quota(number, job, now)

    def admit(self, job: Job, now: float) -> None:
        """Refuse a new job, or ask for its task starts."""
        row = self._lease.configuration.contract(job.customer)
        if row is None or len(job.tasks) > row.contract.largest_job:
            self._refuse(job, ResultCode.JOB_TOO_LARGE, now)
            return
        if len(job.tasks) > row.contract.burst:
            # No bucket ever holds as many: the job could never run.
            self._refuse(job, ResultCode.JOB_TOO_LARGE, now)
            return
        code = self._early_refusal(job, now)
        if code is not None:
            self._refuse(job, code, now)
            return
        self._number += 1
        self._admitting[self._number] = job
        self._ask_quota(self._number, job, now)

    def receive_quota_ask(
        self, sender: Member, ask: QuotaAsk, now: float
    ) -> None:
        """Grant another entry task starts, as the quota's holder."""
        grant = self._quota.take(ask.customer, ask.tokens, now)
        answer = QuotaGrant(
            request=ask.request,
            tokens=ask.tokens if grant.granted else 0,
            known=grant.known,
        )
        self._out.add(SendPeer(sender, answer))

    def receive_quota_grant(self, grant: QuotaGrant, now: float) -> None:
        """Go on with a job that waited for its task starts."""
        job = self._admitting.get(grant.request)
        if job is None:
            return
        if not grant.known:
            # The holder learns the level at this moment: ask again soon.
            self._asked_quota_at[grant.request] = now - RESEND_S + ASK_AGAIN_S
            return
        self._end_quota(grant.request, job, grant.tokens > 0, now)

    def _ask_quota(self, number: int, job: Job, now: float) -> None:
        if job.is_answered or job.unsettled == 0:
            self._admitting.pop(number, None)
            self._asked_quota_at.pop(number, None)
            return
        holder = self._quota.holder(job.customer)
        if holder is None:
            return
        if holder.entry == self._lease.entry:
            grant = self._quota.take(job.customer, len(job.tasks), now)
            if grant.known:
                self._end_quota(number, job, grant.granted, now)
            return
        if now - self._asked_quota_at.get(number, NEVER) < RESEND_S:
            return
        self._asked_quota_at[number] = now
        ask = QuotaAsk(job.customer, len(job.tasks), number)
        self._out.add(SendPeer(holder, ask))

    def _end_quota(
        self, number: int, job: Job, granted: bool, now: float
    ) -> None:
        del self._admitting[number]
        self._asked_quota_at.pop(number, None)
        if job.is_answered or job.is_cancelled:
            return
        if not granted:
            self._refuse(job, ResultCode.RATE_EXCEEDED, now)
            return
        job.due_at = self._due_at(job)
        for task in job.tasks:
            if task.state is TaskState.QUEUED:
                self._placer.push(job, task)
        self._gatherer.place(now)

    def _due_at(self, job: Job) -> float:
        """Give the time by which a job should end, for its size.

        Each job may take the same multiple of its shortest possible time,
        so that small jobs don't wait for large ones, which don't starve.
        """
        mean_s = self._run_times.mean_s(job.kind)
        if mean_s is None:
            # By a guess, later jobs of a shorter kind would go first.
            return job.received_at
        slots = self._gatherer.slots
        rounds = max(1.0, len(job.tasks) / max(1, slots))
        due_at = job.received_at + self._limits.stretch * rounds * mean_s
        latest_at = job.deadline_at - (rounds + 1) * mean_s
        return min(due_at, latest_at)

    def _early_refusal(self, job: Job, now: float) -> ResultCode | None:
        """Name the reason for which a job can't end in time, if any."""
        if self._placer.waiting + len(job.tasks) > self._limits.queued_tasks:
            return ResultCode.QUEUE_FULL
        views = self._gatherer.views
        first_at = self._gatherer.first_agent_at
        settled = first_at is not None and now - first_at > NO_TARGET_AFTER_S
        able = [view for view in views if view.serves(job.kind)]
        if settled and views and not able:
            return ResultCode.NO_TARGET
        mean_s = self._run_times.mean_s(job.kind)
        slots = sum(view.slots for view in able)
        if mean_s is None or slots == 0:
            return None
        load = sum(view.load for view in able) + self._placer.waiting
        # What does not fit waits for half a run of what is running now.
        over = load + len(job.tasks) - slots
        rounds = LATE_SHARE + over / slots if over > 0 else 0.0
        if now + (rounds + LATE_SHARE) * mean_s > job.deadline_at:
            return ResultCode.DEADLINE_UNREACHABLE
        return None

    def _refuse(self, job: Job, code: ResultCode, now: float) -> None:
        for task in job.tasks:
            if task.state is TaskState.QUEUED:
                job.settle(task, Outcome.NOT_RUN, code)
        self._finish(job, now)
