"""Rebuilds the record of a submission whose owner was lost.

All connected agents are queried for their records of the submission, and
the job is rebuilt from their responses.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarscale.control.counters import Count
from fulmarscale.entry.job import OwnedJob
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event

if TYPE_CHECKING:
    from fulmarscale.control.counters import Counters
    from fulmarscale.control.timings import Timings
    from fulmarscale.entry.action_buffer import ActionBuffer
    from fulmarscale.entry.connected_agents import ConnectedAgent
    from fulmarscale.entry.placement import TaskScheduler
    from fulmarscale.entry.records import SubmissionRecords
    from fulmarscale.entry.task_dispatch import TaskDispatcher
    from fulmarscale.ids import AgentId
    from fulmarscale.ids import SubmissionId
    from fulmarscale.wire.messages import RecoveredJob

SEARCH_RETRY_S = 1.0
"""Delay before a search that found nothing may be repeated."""


class RecordSearch:
    """One search for a submission in the agents' records.

    :param queried: the agents that have not responded, by stream.
    :param expires_at: monotonic time at which the search ends without them.
    """

    def __init__(self, queried: dict[int, AgentId], expires_at: float) -> None:
        self.pending_sessions = queried
        self.expires_at = expires_at
        self.responses: list[tuple[ConnectedAgent, RecoveredJob]] = []


class JobRecovery:
    """Recovers jobs of lost owners from the records of agents."""

    def __init__(
        self,
        records: SubmissionRecords,
        dispatcher: TaskDispatcher,
        scheduler: TaskScheduler,
        timings: Timings,
        actions: ActionBuffer,
        counters: Counters,
    ) -> None:
        self._records = records
        self._dispatcher = dispatcher
        self._scheduler = scheduler
        self._timings = timings
        self._actions = actions
        self._counters = counters
        self._searches: dict[SubmissionId, RecordSearch] = {}
        self._not_found_until: dict[SubmissionId, float] = {}
        """When each search that found nothing may be repeated."""

    def clear(self) -> None:
        """Drop all searches when a new incarnation begins."""
        self._searches.clear()
        self._not_found_until.clear()

    def is_searching(self, submission_id: SubmissionId) -> bool:
        """Return whether a search for a submission is running."""
        return submission_id in self._searches

    def has_failed_recently(
        self, submission_id: SubmissionId, now: float
    ) -> bool:
        """Return whether a search found nothing within `SEARCH_RETRY_S`."""
        return self._not_found_until.get(submission_id, 0.0) > now

    def start(self, submission_id: SubmissionId, now: float) -> None:
        """Start a search by querying all connected agents."""
        self._counters.add(Count.RECOVERIES)
        self._actions.log(Event.RECOVERY_STARTED, submission_id=submission_id)
        queried = self._dispatcher.request_records(submission_id, now)
        expires_at = now + self._timings.past_wait_s
        self._searches[submission_id] = RecordSearch(queried, expires_at)

    def receive(
        self, view: ConnectedAgent, recovered_job: RecoveredJob, now: float
    ) -> None:
        """Process one agent's records of one submission.

        They belong to a search, or to a job at this entry whose agent has
        reconnected.
        """
        search = self._searches.get(recovered_job.submission_id)
        if search is not None and view.session in search.pending_sessions:
            del search.pending_sessions[view.session]
            if recovered_job.task_count > 0:
                search.responses.append((view, recovered_job))
            return
        job = self._records.find(recovered_job.submission_id)
        if job is not None and not job.is_answered:
            self._dispatcher.reconcile(view, job, recovered_job, now)

    def finish_due_searches(self, now: float) -> None:
        """Finish searches that are complete or have timed out."""
        for submission_id in list(self._searches):
            search = self._searches[submission_id]
            if search.pending_sessions and now < search.expires_at:
                continue
            del self._searches[submission_id]
            self._finish_search(submission_id, search, now)
        for submission_id in list(self._not_found_until):
            if self._not_found_until[submission_id] <= now:
                del self._not_found_until[submission_id]

    def _finish_search(
        self, submission_id: SubmissionId, search: RecordSearch, now: float
    ) -> None:
        self._actions.log(
            Event.RECOVERY_ENDED,
            submission_id=submission_id,
            found=len(search.responses),
            silent=len(search.pending_sessions),
        )
        if self._records.find(submission_id) is not None:
            # A hand-over brought the record with its answer meanwhile.
            return
        if not search.responses:
            self._not_found_until[submission_id] = now + SEARCH_RETRY_S
            return
        self._counters.add(Count.RECOVERED)
        self._rebuild(search, now)

    def _rebuild(self, search: RecordSearch, now: float) -> None:
        first = search.responses[0][1]
        job = OwnedJob(
            submission_id=first.submission_id,
            customer=first.customer,
            kind=first.kind,
            digest=first.digest,
            payloads=(b"",) * first.task_count,
            received_at=now,
            deadline_at=now + self._timings.freshness_s,
        )
        job.is_recovered = True
        self._records.add(job)
        for view, recovered_job in search.responses:
            self._apply_records(job, view, recovered_job)
        for task in job.tasks:
            if task.agent is None and not task.payload:
                self._mark_unknown(job, task.index)
        for task in job.tasks:
            if task.payload:
                self._scheduler.push(job, task)
        if job.unresolved_count == 0:
            # No task is queued, so this only finishes the job.
            self._dispatcher.expire_queued(job, now)

    def _apply_records(
        self, job: OwnedJob, view: ConnectedAgent, recovered_job: RecoveredJob
    ) -> None:
        for result in recovered_job.results:
            task = job.tasks[result.task.index]
            task.agent = view.agent
            job.resolve_task(task, result.outcome, result.code, result.result)
        for index in recovered_job.running:
            self._dispatcher.record_running(view, job, job.tasks[index])
        for spec in recovered_job.returned:
            job.tasks[spec.index].payload = spec.payload

    def _mark_unknown(self, job: OwnedJob, index: int) -> None:
        # No agent that responded has a record of the task, but one that did
        # not respond may have run it.
        task = job.tasks[index]
        job.resolve_task(task, Outcome.OUTCOME_UNKNOWN, ResultCode.AGENT_LOST)
