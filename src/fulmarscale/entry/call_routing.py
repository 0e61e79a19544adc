"""Routes callers' requests to the owner of the submission.

Each submission id is owned by one entry, chosen by rendezvous hash over the
entry list. A request for an id that another entry owns is forwarded to it.
For an id that this entry owns, the request joins the recorded job, starts a
new one, or waits until it is known whether an earlier owner started it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import structs

from fulmarscale.control.actions import AnswerCaller
from fulmarscale.control.actions import RecordResponseTime
from fulmarscale.control.actions import SendPeer
from fulmarscale.control.counters import Count
from fulmarscale.control.submission_history import HistoryAction
from fulmarscale.entry.call import Call
from fulmarscale.entry.call import CallStage
from fulmarscale.entry.job import LocalCaller
from fulmarscale.entry.job import OwnedJob
from fulmarscale.entry.job import PeerCaller
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event
from fulmarscale.ids import submission_time_s
from fulmarscale.wire.messages import CallKind
from fulmarscale.wire.messages import ForwardRequest
from fulmarscale.wire.messages import ForwardResponse
from fulmarscale.wire.messages import HistoryQuery
from fulmarscale.wire.messages import HistoryResponse
from fulmarscale.wire.messages import JobAnswer

if TYPE_CHECKING:
    from fulmarscale.control.counters import Counters
    from fulmarscale.control.entry_list import Member
    from fulmarscale.control.lease import LeaseManager
    from fulmarscale.control.submission_history import HistoryDecision
    from fulmarscale.control.submission_history import HistoryManager
    from fulmarscale.control.timings import Timings
    from fulmarscale.entry.action_buffer import ActionBuffer
    from fulmarscale.entry.admission import AdmissionControl
    from fulmarscale.entry.inputs import CallReceived
    from fulmarscale.entry.job import Caller
    from fulmarscale.entry.records import SubmissionRecords
    from fulmarscale.entry.recovery import JobRecovery
    from fulmarscale.entry.task_dispatch import TaskDispatcher
    from fulmarscale.ids import RequestId
    from fulmarscale.ids import SubmissionId

RESEND_S = 0.3
"""Time after which a message to a peer without a response is resent."""

RETRY_AFTER_S = 1.0
"""Delay suggested to callers (`Retry-After`) after an unknown outcome.

Also how long the time of the last history query for an id is kept.
"""


class CallRouter:
    """Handles calls of local callers and calls forwarded by other entries.

    Also answers other entries' queries for submissions that this entry
    owned before, and ends jobs whose deadline has passed.
    """

    def __init__(
        self,
        lease: LeaseManager,
        submission_history: HistoryManager,
        admission: AdmissionControl,
        records: SubmissionRecords,
        recovery: JobRecovery,
        dispatcher: TaskDispatcher,
        timings: Timings,
        actions: ActionBuffer,
        counters: Counters,
    ) -> None:
        self._lease = lease
        self._submission_history = submission_history
        self._admission = admission
        self._records = records
        self._recovery = recovery
        self._dispatcher = dispatcher
        self._timings = timings
        self._actions = actions
        self._counters = counters
        self._calls: dict[Caller, Call] = {}
        """The calls without an answer, by caller."""
        self._forwards: dict[int, Call] = {}
        """The calls forwarded to other entries, by forward number."""
        self._history_queried_at: dict[SubmissionId, float] = {}
        """Monotonic time of the last history query for each id."""
        self._last_forward_number = 0
        self._accepts_jobs = True

    @property
    def open_call_count(self) -> int:
        """The number of calls that have no answer yet."""
        return len(self._calls)

    def stop_accepting(self) -> None:
        """Start no new job, since the records will be handed over.

        Calls for ids that this entry owns, but has no record of, wait until
        it has left the list, and are then routed by the new list. Calls for
        other entries' ids are forwarded at once.
        """
        self._accepts_jobs = False

    def clear(self) -> None:
        """Drop the state of all jobs when a new incarnation begins.

        Calls that waited for one of these jobs are routed again.
        """
        self._admission.clear()
        self._history_queried_at.clear()
        for call in self._calls.values():
            if call.stage is CallStage.JOINED:
                call.stage = CallStage.ROUTING

    def receive_call(self, received: CallReceived, now: float) -> None:
        """Accept a call from a caller that is connected to this entry."""
        call = Call(
            reply_to=LocalCaller(received.request),
            operation=received.operation,
            submission_id=received.submission_id,
            customer=received.customer,
            job=received.job,
            now=now,
            expires_at=now + received.wait_s,
        )
        self._calls[call.reply_to] = call
        self._route(call, now)

    def receive_forward(
        self, sender: Member, forward: ForwardRequest, now: float
    ) -> None:
        """Accept a call that another entry forwarded.

        A repeated forward of a pending call is ignored. If this entry
        neither has a record of the submission nor owns it, the response is
        empty, and the sender routes the call again.
        """
        reply_to = PeerCaller(sender, forward.request_id)
        if reply_to in self._calls:
            return
        wait_s = self._timings.past_wait_s
        if forward.job is not None:
            wait_s = forward.job.deadline_in_s
        call = Call(
            reply_to=reply_to,
            operation=forward.call,
            submission_id=forward.submission_id,
            customer=forward.customer,
            job=forward.job,
            now=now,
            expires_at=now + wait_s,
        )
        if self._records.find(forward.submission_id) is None:
            owner = self._lease.entry_list.owner(forward.submission_id)
            if owner is None or owner.entry != self._lease.entry:
                self._send_forward_response(reply_to, call, None, None)
                return
        self._calls[reply_to] = call
        self._route(call, now)

    def receive_forward_response(
        self, response: ForwardResponse, now: float
    ) -> None:
        """Pass the owner's answer to the caller."""
        call = self._forwards.get(response.request_id)
        if call is None or call.submission_id != response.submission_id:
            self._counters.add(Count.WASTED_PEER)
            return
        if response.answer is None and response.error is None:
            # The receiver is not the owner. Each tick routes the call again,
            # but sends it to the same entry only after `RESEND_S`.
            call.forwarded_at = now
            return
        self._reply(call, response.answer, response.error)

    def receive_history_query(
        self, sender: Member, query: HistoryQuery, now: float
    ) -> None:
        """Respond to a new owner's query for a submission's history.

        The response says whether this entry has a record of the id, and
        from which id time on an id without a record was never started here.
        """
        if self._lease.entry_list.version < query.list_version:
            # By its older list this entry may still own the id and record
            # it, so there is no response; the sender repeats the query.
            return
        known_since_s = self._submission_history.known_since_s(
            query.submission_id, query.list_version - 1
        )
        response = HistoryResponse(
            submission_id=query.submission_id,
            list_version=query.list_version,
            known_since_s=known_since_s,
            has_record=self._records.find(query.submission_id) is not None,
        )
        self._actions.add(SendPeer(sender, response))

    def receive_history_response(
        self, response: HistoryResponse, now: float
    ) -> None:
        """Record the prior owner's response and route calls waiting for it."""
        self._submission_history.receive_response(response)
        self._advance_calls_for(response.submission_id, now)

    def tick(self, now: float) -> None:
        """Route waiting calls, and expire calls, jobs and records."""
        self._recovery.finish_due_searches(now)
        self._admission.tick(now)
        for job in self._records.open_jobs:
            self._check_deadlines(job, now)
        for call in list(self._calls.values()):
            self._advance(call, now)
        self._expire_records(now)

    def answer_callers(self, job: OwnedJob, now: float) -> None:
        """Answer all callers of a job whose tasks all have an outcome.

        Without a lease, a job with a task that did not run stays open.
        """
        if job.is_answered:
            return
        may_report_not_run = self._lease.is_held(now)
        if not may_report_not_run and _has_task_not_run(job):
            # Without a lease another entry may own the id and run the task.
            # Every tick tries again.
            return
        answer = job.finalise()
        self._records.close(job)
        self._actions.log(
            Event.JOB_ANSWERED,
            submission_id=job.submission_id,
            customer=job.customer,
            outcome=answer.outcome.value,
            code=answer.code.value,
            tasks=len(answer.tasks),
            response_s=round(now - job.received_at, 4),
            bounces=job.requeue_count,
        )
        self._record_response_time(job, answer, now)
        for reply_to in list(job.waiters):
            call = self._calls.get(reply_to)
            if call is not None:
                self._reply(call, answer, None)
        job.waiters.clear()

    def _record_response_time(
        self, job: OwnedJob, answer: JobAnswer, now: float
    ) -> None:
        slots = max(1, self._dispatcher.slots)
        ideal_s = max(job.longest_run_s, job.total_run_s / slots)
        if answer.outcome is Outcome.DONE and ideal_s > 0:
            ratio = (now - job.received_at) / ideal_s
            self._actions.add(RecordResponseTime(job.customer, ratio))

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
        if not self._lease.is_held(now) or not self._accepts_jobs:
            call.timeout_code = ResultCode.NO_LEASE
            return
        self._handle_as_owner(call, now)

    def _handle_as_owner(self, call: Call, now: float) -> None:
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
        decision = self._submission_history.decide(call.submission_id, now)
        call.timeout_code = ResultCode.PAST_UNKNOWN
        if decision.action is HistoryAction.NEVER_STARTED:
            self._handle_never_started(call, now)
        elif decision.action is HistoryAction.QUERY_PRIOR_OWNER:
            self._query_prior_owner(call, decision, now)
        elif decision.action is HistoryAction.SEARCH_AGENTS:
            self._search_agents(call, now)

    def _handle_never_started(self, call: Call, now: float) -> None:
        if call.operation is CallKind.SHOW:
            self._reply(call, None, ResultCode.SUBMISSION_NOT_FOUND)
            return
        if self._records.is_full:
            self._reply_unknown(call, ResultCode.RECORDS_FULL)
            return
        if call.operation is CallKind.CANCEL or call.job is None:
            self._reply(call, None, ResultCode.SUBMISSION_NOT_FOUND)
            return
        self._counters.add(Count.SUBMISSIONS)
        job = OwnedJob(
            submission_id=call.submission_id,
            customer=call.customer,
            kind=call.job.kind,
            digest=call.job.digest,
            payloads=call.job.payloads,
            received_at=now,
            deadline_at=call.expires_at,
        )
        self._records.add(job)
        self._submission_history.drop_response(call.submission_id)
        self._join(call, job, now)
        self._admission.admit(job, now)

    def _join(self, call: Call, job: OwnedJob, now: float) -> None:
        error = _join_error(call, job)
        if error is not None:
            self._reply(call, None, error)
            return
        if job.is_answered:
            self._counters.add(Count.DUPLICATES)
            self._reply(call, job.answer, None)
            return
        if call.operation is CallKind.SHOW:
            self._reply_unknown(call, ResultCode.JOB_UNDER_WAY)
            return
        if job.waiters:
            self._counters.add(Count.DUPLICATES)
        if job.is_recovered:
            job.deadline_at = max(job.deadline_at, call.expires_at)
        call.stage = CallStage.JOINED
        job.waiters[call.reply_to] = None
        if call.operation is CallKind.CANCEL and not job.is_cancelled:
            self._dispatcher.cancel(job, now)

    def _forward(self, call: Call, owner: Member, now: float) -> None:
        if isinstance(call.reply_to, PeerCaller):
            # A call is forwarded at most once. The first entry gets an empty
            # response and tries the new owner.
            self._remove_call(call)
            self._send_forward_response(call.reply_to, call, None, None)
            return
        call.timeout_code = ResultCode.OWNER_UNREACHABLE
        self._send_forward(call, owner, now)

    def _send_forward(self, call: Call, to: Member, now: float) -> None:
        is_resend = (
            call.forwarded_to == to and call.stage is CallStage.FORWARDED
        )
        if is_resend and now - call.forwarded_at < RESEND_S:
            return
        if not is_resend:
            self._counters.add(Count.FORWARDED)
        self._forwards.pop(call.forward_number, None)
        self._last_forward_number += 1
        call.forward_number = self._last_forward_number
        self._forwards[self._last_forward_number] = call
        call.stage = CallStage.FORWARDED
        call.forwarded_to = to
        call.forwarded_at = now
        job = call.job
        if job is not None:
            left_s = max(0.0, call.expires_at - now)
            job = structs.replace(job, deadline_in_s=left_s)
        forward = ForwardRequest(
            request_id=call.forward_number,
            call=call.operation,
            submission_id=call.submission_id,
            customer=call.customer,
            list_version=self._lease.entry_list.version,
            job=job,
        )
        self._actions.add(SendPeer(to, forward))

    def _query_prior_owner(
        self, call: Call, decision: HistoryDecision, now: float
    ) -> None:
        if decision.prior is None:
            return
        if decision.has_record:
            self._send_forward(call, decision.prior, now)
            return
        queried_at = self._history_queried_at.get(call.submission_id)
        if queried_at is not None and now - queried_at < RESEND_S:
            return
        self._history_queried_at[call.submission_id] = now
        query = HistoryQuery(call.submission_id, decision.list_version)
        self._actions.add(SendPeer(decision.prior, query))

    def _search_agents(self, call: Call, now: float) -> None:
        if self._recovery.is_searching(call.submission_id):
            return
        if self._recovery.has_failed_recently(call.submission_id, now):
            self._reply_unknown(call, ResultCode.PAST_UNKNOWN)
            return
        self._recovery.start(call.submission_id, now)

    def _advance(self, call: Call, now: float) -> None:
        grace_s = 2 * self._timings.answer_grace_s
        if now > call.expires_at + grace_s:
            code = call.timeout_code
            if call.stage is CallStage.JOINED:
                code = ResultCode.ANSWER_LATE
            self._reply_unknown(call, code)
            return
        if call.stage is not CallStage.JOINED:
            self._route(call, now)

    def _advance_calls_for(
        self, submission_id: SubmissionId, now: float
    ) -> None:
        for call in list(self._calls.values()):
            if call.submission_id == submission_id:
                self._advance(call, now)

    def _check_deadlines(self, job: OwnedJob, now: float) -> None:
        if job.unresolved_count == 0:
            self.answer_callers(job, now)
            return
        if now >= job.deadline_at:
            self._dispatcher.expire_queued(job, now)
        if not job.is_answered and (
            now >= job.deadline_at + self._timings.answer_grace_s
        ):
            self._dispatcher.abandon(job, now)

    def _expire_records(self, now: float) -> None:
        wall_time_s = self._lease.wall_time_s(now)
        if wall_time_s is not None:
            self._records.expire(wall_time_s)
            oldest_s = wall_time_s - self._timings.retention_s
            self._submission_history.expire(oldest_s)
        for submission_id in list(self._history_queried_at):
            if now - self._history_queried_at[submission_id] > RETRY_AFTER_S:
                del self._history_queried_at[submission_id]

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
        self._remove_call(call)
        if isinstance(call.reply_to, LocalCaller):
            request: RequestId = call.reply_to.request
            self._actions.add(AnswerCaller(request, answer, error))
            return
        self._send_forward_response(call.reply_to, call, answer, error)

    def _remove_call(self, call: Call) -> None:
        self._calls.pop(call.reply_to, None)
        self._forwards.pop(call.forward_number, None)

    def _send_forward_response(
        self,
        reply_to: PeerCaller,
        call: Call,
        answer: JobAnswer | None,
        error: ResultCode | None,
    ) -> None:
        message = ForwardResponse(
            request_id=reply_to.request,
            submission_id=call.submission_id,
            answer=answer,
            error=error,
        )
        self._actions.add(SendPeer(reply_to.peer, message))


def _has_task_not_run(job: OwnedJob) -> bool:
    return any(task.outcome is Outcome.NOT_RUN for task in job.tasks)


def _join_error(call: Call, job: OwnedJob) -> ResultCode | None:
    if job.customer != call.customer:
        if call.operation is CallKind.SUBMIT:
            return ResultCode.ID_REUSED
        return ResultCode.SUBMISSION_NOT_FOUND
    if call.job is not None and call.job.digest != job.digest:
        return ResultCode.ID_REUSED
    return None
