"""Rebuilds the records of a lost owner from the agents' records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarscale.control.counters import Count
from fulmarscale.entry.job import Job
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event

if TYPE_CHECKING:
    from fulmarscale.control.counters import Counters
    from fulmarscale.control.timings import Timings
    from fulmarscale.entry.agents import AgentView
    from fulmarscale.entry.gather import Gatherer
    from fulmarscale.entry.outbox import Outbox
    from fulmarscale.entry.place import Placer
    from fulmarscale.entry.records import Records
    from fulmarscale.ids import AgentId
    from fulmarscale.ids import SubmissionId
    from fulmarscale.wire.messages import RecoveredJob

RETRY_AFTER_S = 1.0
"""How long a search that found nothing is not begun again."""


class Search:
    """One search for a submission in the agents' records."""

    def __init__(self, asked: dict[int, AgentId], until: float) -> None:
        self.waiting = asked
        self.until = until
        self.found: list[tuple[AgentView, RecoveredJob]] = []


class Recovery:
    """Searches agents for submissions of lost owners."""

    def __init__(
        self,
        records: Records,
        gatherer: Gatherer,
        placer: Placer,
        timings: Timings,
        outbox: Outbox,
        counters: Counters,
    ) -> None:
        self._records = records
        self._gatherer = gatherer
        self._placer = placer
        self._timings = timings
        self._out = outbox
        self._counters = counters
        self._searches: dict[SubmissionId, Search] = {}
        self._not_found: dict[SubmissionId, float] = {}

    def clear(self) -> None:
        """Forget all, as a new incarnation does."""
        self._searches.clear()
        self._not_found.clear()

    def is_searching(self, submission_id: SubmissionId) -> bool:
        """Tell whether a search is under way."""
        return submission_id in self._searches

    def was_not_found(self, submission_id: SubmissionId, now: float) -> bool:
        """Tell whether a search ended without a trace a moment ago."""
        return self._not_found.get(submission_id, 0.0) > now

    def start(self, submission_id: SubmissionId, now: float) -> None:
        """Begin a search."""
        self._counters.add(Count.RECOVERIES)
        self._out.log(Event.RECOVERY_STARTED, submission_id=submission_id)
        asked = self._gatherer.ask_all(submission_id, now)
        until = now + self._timings.past_wait_s
        self._searches[submission_id] = Search(asked, until)

    def receive(
        self, view: AgentView, found: RecoveredJob, now: float
    ) -> None:
        """Take in one agent's records of one submission."""
        search = self._searches.get(found.submission_id)
        if search is not None and view.session in search.waiting:
            del search.waiting[view.session]
            if found.task_count > 0:
                search.found.append((view, found))
            return
        job = self._records.find(found.submission_id)
        if job is not None and not job.is_answered:
            self._gatherer.settle_recovered(view, job, found, now)

    def end_due(self, now: float) -> None:
        """End searches that are complete or out of time."""
        for submission_id in list(self._searches):
            search = self._searches[submission_id]
            if search.waiting and now < search.until:
                continue
            del self._searches[submission_id]
            self._end(submission_id, search, now)
        for submission_id in list(self._not_found):
            if self._not_found[submission_id] <= now:
                del self._not_found[submission_id]

    def _end(
        self, submission_id: SubmissionId, search: Search, now: float
    ) -> None:
        self._out.log(
            Event.RECOVERY_ENDED,
            submission_id=submission_id,
            found=len(search.found),
            silent=len(search.waiting),
        )
        if self._records.find(submission_id) is not None:
            # Handed over meanwhile, with the answer.
            return
        if not search.found:
            self._not_found[submission_id] = now + RETRY_AFTER_S
            return
        self._counters.add(Count.RECOVERED)
        self._rebuild(search, now)

    def _rebuild(self, search: Search, now: float) -> None:
        first = search.found[0][1]
        job = Job(
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
        for view, found in search.found:
            self._take_found(job, view, found)
        for task in job.tasks:
            if task.agent is None and not task.payload:
                self._settle_missing(job, task.index)
        for task in job.tasks:
            if task.payload:
                self._placer.push(job, task)
        if job.unsettled == 0:
            self._gatherer.end_queued(job, now)

    def _take_found(
        self, job: Job, view: AgentView, found: RecoveredJob
    ) -> None:
        for result in found.results:
            task = job.tasks[result.task.index]
            task.agent = view.agent
            job.settle(task, result.outcome, result.code, result.result)
        for index in found.running:
            self._gatherer.adopt_running(view, job, job.tasks[index])
        for spec in found.dropped:
            job.tasks[spec.index].payload = spec.payload

    def _settle_missing(self, job: Job, index: int) -> None:
        # No agent that was heard has it; one that was not may have run it.
        task = job.tasks[index]
        job.settle(task, Outcome.OUTCOME_UNKNOWN, ResultCode.AGENT_LOST)
