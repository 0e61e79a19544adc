"""Finds the owner of each call's submission, and acts as the owner."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from msgspec import structs

from fulmarscale.control.actions import AnswerCaller
from fulmarscale.control.actions import SendPeer
from fulmarscale.control.counters import Count
from fulmarscale.control.takeover import Verdict
from fulmarscale.entry.gather import LATE_SHARE
from fulmarscale.entry.job import CallerReply
from fulmarscale.entry.job import Job
from fulmarscale.entry.job import PeerReply
from fulmarscale.entry.job import TaskState
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event
from fulmarscale.ids import submission_time_s
from fulmarscale.wire.messages import CallKind
from fulmarscale.wire.messages import Forward
from fulmarscale.wire.messages import ForwardAnswer
from fulmarscale.wire.messages import JobAnswer
from fulmarscale.wire.messages import PastAnswer
from fulmarscale.wire.messages import PastAsk
from fulmarscale.wire.messages import QuotaAsk
from fulmarscale.wire.messages import QuotaGrant

if TYPE_CHECKING:
    from fulmarscale.control.counters import Counters
    from fulmarscale.control.entry_list import Member
    from fulmarscale.control.lease import LeaseKeeper
    from fulmarscale.control.takeover import Past
    from fulmarscale.control.takeover import PastKeeper
    from fulmarscale.control.timings import Timings
    from fulmarscale.entry.admit import QuotaKeeper
    from fulmarscale.entry.gather import Gatherer
    from fulmarscale.entry.inputs import CallReceived
    from fulmarscale.entry.job import ReplyTo
    from fulmarscale.entry.limits import EntryLimits
    from fulmarscale.entry.outbox import Outbox
    from fulmarscale.entry.place import Placer
    from fulmarscale.entry.records import Records
    from fulmarscale.entry.recover import Recovery
    from fulmarscale.entry.run_times import RunTimes
    from fulmarscale.ids import CustomerName
    from fulmarscale.ids import RequestId
    from fulmarscale.ids import SubmissionId
    from fulmarscale.wire.messages import JobRequest

RESEND_S = 0.3
"""Time after which an unanswered message to a peer is sent again."""

TICK_S = 0.05
"""The pause before a message to a peer that could not answer yet."""

RETRY_AFTER_S = 1.0
"""When a caller may ask again after an unknown outcome."""

USUAL_RUN_S = 0.2
"""The run time that is taken for a kind before any is known."""

NO_TARGET_AFTER_S = 2.0
"""How long agents have had to connect before a kind is refused."""


class Stage(Enum):
    """What a call waits for."""

    ROUTING = "routing"
    """A lease, an owner, or the end of a take-over."""
    FORWARDED = "forwarded"
    """The owner's answer."""
    JOINED = "joined"
    """The end of the job at this entry."""


class Call:
    """One caller's request under way at this entry."""

    def __init__(
        self,
        reply_to: ReplyTo,
        call: CallKind,
        submission_id: SubmissionId,
        customer: CustomerName,
        job: JobRequest | None,
        now: float,
        until: float,
    ) -> None:
        self.reply_to = reply_to
        self.call = call
        self.submission_id = submission_id
        self.customer = customer
        self.job = job
        self.received_at = now
        self.until = until
        self.stage = Stage.ROUTING
        self.sent_to: Member | None = None
        self.sent_at = 0.0
        self.forward_number = 0
        self.wait_code = ResultCode.NO_LEASE


class Owner:
    """The callers' side of an entry."""

    def __init__(
        self,
        lease: LeaseKeeper,
        past: PastKeeper,
        quota: QuotaKeeper,
        records: Records,
        recovery: Recovery,
        gatherer: Gatherer,
        placer: Placer,
        run_times: RunTimes,
        timings: Timings,
        outbox: Outbox,
        counters: Counters,
        limits: EntryLimits,
    ) -> None:
        self._lease = lease
        self._past = past
        self._quota = quota
        self._records = records
        self._recovery = recovery
        self._gatherer = gatherer
        self._placer = placer
        self._run_times = run_times
        self._timings = timings
        self._out = outbox
        self._counters = counters
        self._limits = limits
        self._calls: dict[ReplyTo, Call] = {}
        self._forwards: dict[int, Call] = {}
        self._admitting: dict[int, Job] = {}
        self._asked_quota_at: dict[int, float] = {}
        self._asked_past_at: dict[SubmissionId, float] = {}
        self._number = 0
        self._accepts_new = True

    @property
    def calls(self) -> int:
        """The number of calls under way."""
        return len(self._calls)

    def stop_accepting(self) -> None:
        """Make no new record: the records are being handed over."""
        self._accepts_new = False

    def clear(self) -> None:
        """Forget all jobs, as a new incarnation does; calls go on."""
        self._admitting.clear()
        self._asked_quota_at.clear()
        self._asked_past_at.clear()
        for call in self._calls.values():
            if call.stage is Stage.JOINED:
                call.stage = Stage.ROUTING

    def receive_call(self, received: CallReceived, now: float) -> None:
        """Take in a call from a caller of this entry."""
        call = Call(
            reply_to=CallerReply(received.request),
            call=received.call,
            submission_id=received.submission_id,
            customer=received.customer,
            job=received.job,
            now=now,
            until=now + received.wait_s,
        )
        self._calls[call.reply_to] = call
        self._route(call, now)

    def receive_forward(
        self, sender: Member, forward: Forward, now: float
    ) -> None:
        """Take in a call from another entry."""
        reply_to = PeerReply(sender, forward.request)
        if reply_to in self._calls:
            return
        wait_s = self._timings.past_wait_s
        if forward.job is not None:
            wait_s = forward.job.deadline_in_s
        call = Call(
            reply_to=reply_to,
            call=forward.call,
            submission_id=forward.submission_id,
            customer=forward.customer,
            job=forward.job,
            now=now,
            until=now + wait_s,
        )
        if self._records.find(forward.submission_id) is None:
            owner = self._lease.entry_list.owner(forward.submission_id)
            if owner is None or owner.entry != self._lease.entry:
                self._send_forward_answer(reply_to, call, None, None)
                return
        self._calls[reply_to] = call
        self._route(call, now)

    def receive_forward_answer(
        self, answer: ForwardAnswer, now: float
    ) -> None:
        """Pass the owner's answer on to the caller."""
        call = self._forwards.get(answer.request)
        if call is None or call.submission_id != answer.submission_id:
            self._counters.add(Count.WASTED_PEER)
            return
        if answer.answer is None and answer.error is None:
            # The receiver was not the owner: route anew, with a pause.
            call.sent_at = now
            return
        self._reply(call, answer.answer, answer.error)

    def receive_past_ask(
        self, sender: Member, ask: PastAsk, now: float
    ) -> None:
        """Tell a submission's new owner what this entry knows of it."""
        if self._lease.entry_list.version < ask.list_version:
            # This entry might still make a record; the asker asks again.
            return
        known_since_s = self._past.known_since_s(
            ask.submission_id, ask.list_version - 1
        )
        answer = PastAnswer(
            submission_id=ask.submission_id,
            list_version=ask.list_version,
            known_since_s=known_since_s,
            has_record=self._records.find(ask.submission_id) is not None,
        )
        self._out.add(SendPeer(sender, answer))

    def receive_past_answer(self, answer: PastAnswer, now: float) -> None:
        """Take in what the prior owner knows."""
        self._past.receive_answer(answer)
        self._advance_waiting(answer.submission_id, now)

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
            self._asked_quota_at[grant.request] = now - RESEND_S + TICK_S
            return
        self._end_quota(grant.request, job, grant.tokens > 0, now)

    def tick(self, now: float) -> None:
        """Advance and expire calls and jobs."""
        self._recovery.end_due(now)
        for number, job in list(self._admitting.items()):
            self._ask_quota(number, job, now)
        for job in self._records.open_jobs:
            self._tend(job, now)
        for call in list(self._calls.values()):
            self._advance(call, now)
        self._expire(now)

    def finish(self, job: Job, now: float) -> None:
        """Answer all callers of a job whose tasks are settled."""
        may_refuse = self._lease.is_held(now)
        if not may_refuse and _says_not_run(job):
            # Only an entry with a lease may say it; tried again later.
            return
        answer = job.finish()
        self._records.close(job)
        self._out.log(
            Event.JOB_ANSWERED,
            submission_id=job.submission_id,
            customer=job.customer,
            outcome=answer.outcome.value,
            code=answer.code.value,
            tasks=len(answer.tasks),
            response_s=round(now - job.received_at, 4),
            bounces=job.bounces,
        )
        for reply_to in list(job.waiters):
            call = self._calls.get(reply_to)
            if call is not None:
                self._reply(call, answer, None)
        job.waiters.clear()

    def _route(self, call: Call, now: float) -> None:
        job = self._records.find(call.submission_id)
        if job is not None:
            self._join(call, job, now)
            return
        owner = self._lease.entry_list.owner(call.submission_id)
        if owner is None:
            return
        if owner.entry != self._lease.entry:
            self._forward(call, owner, now)
            return
        if not self._lease.is_held(now) or not self._accepts_new:
            call.wait_code = ResultCode.NO_LEASE
            return
        self._own(call, now)

    def _own(self, call: Call, now: float) -> None:
        wall_time_s = self._lease.wall_time_s(now)
        if wall_time_s is None:
            return
        id_time_s = submission_time_s(call.submission_id)
        if id_time_s > wall_time_s + self._timings.skew_s:
            self._reply(call, None, ResultCode.ID_IN_FUTURE)
            return
        if self._records.is_too_old(call.submission_id, wall_time_s):
            self._reply_unknown(call, ResultCode.ID_TOO_OLD, final=True)
            return
        past = self._past.decide(call.submission_id, now)
        call.wait_code = ResultCode.PAST_UNKNOWN
        if past.verdict is Verdict.FRESH:
            self._begin(call, now)
        elif past.verdict is Verdict.ASK_PRIOR:
            self._ask_prior(call, past, now)
        elif past.verdict is Verdict.ASK_AGENTS:
            self._search(call, now)

    def _begin(self, call: Call, now: float) -> None:
        if call.call is CallKind.SHOW:
            self._reply(call, None, ResultCode.SUBMISSION_NOT_FOUND)
            return
        if self._records.is_full:
            self._reply_unknown(call, ResultCode.RECORDS_FULL)
            return
        if call.call is CallKind.CANCEL or call.job is None:
            self._reply(call, None, ResultCode.SUBMISSION_NOT_FOUND)
            return
        self._counters.add(Count.SUBMISSIONS)
        job = Job(
            submission_id=call.submission_id,
            customer=call.customer,
            kind=call.job.kind,
            digest=call.job.digest,
            payloads=call.job.payloads,
            received_at=now,
            deadline_at=call.until,
        )
        self._records.add(job)
        self._past.forget(call.submission_id)
        self._join(call, job, now)
        self._admit(job, now)

    def _admit(self, job: Job, now: float) -> None:
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

    def _ask_quota(self, number: int, job: Job, now: float) -> None:
        if job.answer is not None or job.unsettled == 0:
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
        if now - self._asked_quota_at.get(number, 0.0) < RESEND_S:
            return
        self._asked_quota_at[number] = now
        ask = QuotaAsk(job.customer, len(job.tasks), number)
        self._out.add(SendPeer(holder, ask))

    def _end_quota(
        self, number: int, job: Job, granted: bool, now: float
    ) -> None:
        del self._admitting[number]
        self._asked_quota_at.pop(number, None)
        if job.answer is not None or job.is_cancelled:
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
        mean_s = self._run_times.mean_s(job.kind) or USUAL_RUN_S
        slots = sum(view.slots for view in self._gatherer.views)
        rounds = max(1.0, len(job.tasks) / max(1, slots))
        due_at = job.received_at + self._limits.stretch * rounds * mean_s
        return min(due_at, job.deadline_at)

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
        self.finish(job, now)

    def _join(self, call: Call, job: Job, now: float) -> None:
        error = _join_error(call, job)
        if error is not None:
            self._reply(call, None, error)
            return
        if job.answer is not None:
            self._counters.add(Count.DUPLICATES)
            self._reply(call, job.answer, None)
            return
        if call.call is CallKind.SHOW:
            self._reply_unknown(call, ResultCode.JOB_UNDER_WAY)
            return
        if job.waiters:
            self._counters.add(Count.DUPLICATES)
        if job.is_recovered:
            job.deadline_at = max(job.deadline_at, call.until)
        call.stage = Stage.JOINED
        job.waiters[call.reply_to] = None
        if call.call is CallKind.CANCEL and not job.is_cancelled:
            self._gatherer.cancel(job, now)

    def _forward(self, call: Call, owner: Member, now: float) -> None:
        if isinstance(call.reply_to, PeerReply):
            # Passed on once already; the first entry tries the new owner.
            self._end(call)
            self._send_forward_answer(call.reply_to, call, None, None)
            return
        call.wait_code = ResultCode.OWNER_UNREACHABLE
        self._send_forward(call, owner, now)

    def _send_forward(self, call: Call, to: Member, now: float) -> None:
        same = call.sent_to == to and call.stage is Stage.FORWARDED
        if same and now - call.sent_at < RESEND_S:
            return
        if not same:
            self._counters.add(Count.FORWARDED)
        self._forwards.pop(call.forward_number, None)
        self._number += 1
        call.forward_number = self._number
        self._forwards[self._number] = call
        call.stage = Stage.FORWARDED
        call.sent_to = to
        call.sent_at = now
        job = call.job
        if job is not None:
            left_s = max(0.0, call.until - now)
            job = structs.replace(job, deadline_in_s=left_s)
        forward = Forward(
            request=call.forward_number,
            call=call.call,
            submission_id=call.submission_id,
            customer=call.customer,
            list_version=self._lease.entry_list.version,
            job=job,
        )
        self._out.add(SendPeer(to, forward))

    def _ask_prior(self, call: Call, past: Past, now: float) -> None:
        if past.prior is None:
            return
        if past.has_record:
            self._send_forward(call, past.prior, now)
            return
        asked_at = self._asked_past_at.get(call.submission_id)
        if asked_at is not None and now - asked_at < RESEND_S:
            return
        self._asked_past_at[call.submission_id] = now
        ask = PastAsk(call.submission_id, past.list_version)
        self._out.add(SendPeer(past.prior, ask))

    def _search(self, call: Call, now: float) -> None:
        if self._recovery.is_searching(call.submission_id):
            return
        if self._recovery.was_not_found(call.submission_id, now):
            self._reply_unknown(call, ResultCode.PAST_UNKNOWN)
            return
        self._recovery.start(call.submission_id, now)

    def _advance(self, call: Call, now: float) -> None:
        grace_s = 2 * self._timings.answer_grace_s
        if now > call.until + grace_s:
            code = call.wait_code
            if call.stage is Stage.JOINED:
                code = ResultCode.ANSWER_LATE
            self._reply_unknown(call, code)
            return
        if call.stage is not Stage.JOINED:
            self._route(call, now)

    def _advance_waiting(
        self, submission_id: SubmissionId, now: float
    ) -> None:
        for call in list(self._calls.values()):
            if call.submission_id == submission_id:
                self._advance(call, now)

    def _tend(self, job: Job, now: float) -> None:
        if job.unsettled == 0:
            self.finish(job, now)
            return
        if now >= job.deadline_at:
            self._gatherer.end_queued(job, now)
        if job.answer is None and (
            now >= job.deadline_at + self._timings.answer_grace_s
        ):
            self._gatherer.give_up(job, now)

    def _expire(self, now: float) -> None:
        wall_time_s = self._lease.wall_time_s(now)
        if wall_time_s is not None:
            self._records.expire(wall_time_s)
            oldest_s = wall_time_s - self._timings.retention_s
            self._past.expire(oldest_s)
        for submission_id in list(self._asked_past_at):
            if now - self._asked_past_at[submission_id] > RETRY_AFTER_S:
                del self._asked_past_at[submission_id]

    def _reply_unknown(
        self, call: Call, code: ResultCode, *, final: bool = False
    ) -> None:
        answer = JobAnswer(
            submission_id=call.submission_id,
            outcome=Outcome.OUTCOME_UNKNOWN,
            code=code,
            retry_after_s=0 if final else RETRY_AFTER_S,
        )
        self._reply(call, answer, None)

    def _reply(
        self,
        call: Call,
        answer: JobAnswer | None,
        error: ResultCode | None,
    ) -> None:
        self._end(call)
        if isinstance(call.reply_to, CallerReply):
            request: RequestId = call.reply_to.request
            self._out.add(AnswerCaller(request, answer, error))
            return
        self._send_forward_answer(call.reply_to, call, answer, error)

    def _end(self, call: Call) -> None:
        self._calls.pop(call.reply_to, None)
        self._forwards.pop(call.forward_number, None)

    def _send_forward_answer(
        self,
        reply_to: PeerReply,
        call: Call,
        answer: JobAnswer | None,
        error: ResultCode | None,
    ) -> None:
        message = ForwardAnswer(
            request=reply_to.request,
            submission_id=call.submission_id,
            answer=answer,
            error=error,
        )
        self._out.add(SendPeer(reply_to.peer, message))


def _says_not_run(job: Job) -> bool:
    return any(task.outcome is Outcome.NOT_RUN for task in job.tasks)


def _join_error(call: Call, job: Job) -> ResultCode | None:
    if job.customer != call.customer:
        if call.call is CallKind.SUBMIT:
            return ResultCode.ID_REUSED
        return ResultCode.SUBMISSION_NOT_FOUND
    if call.job is not None and call.job.digest != job.digest:
        return ResultCode.ID_REUSED
    return None
