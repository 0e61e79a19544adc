"""Manages the sessions with agents, sends them tasks and collects results.

A session is one stream that an agent opened to this entry. A task counts as
outstanding at an agent until the agent reports its result or that it was
never started, a new incarnation of the agent connects, `reconcile` finds no
record of it, or `abandon` ends its job.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from fulmarscale.control.actions import CloseSession
from fulmarscale.control.actions import SendAgent
from fulmarscale.control.counters import Count
from fulmarscale.entry.connected_agents import ConnectedAgent
from fulmarscale.entry.echo_refresh import EchoRefresher
from fulmarscale.entry.job import TaskState
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event
from fulmarscale.ids import TaskRef
from fulmarscale.wire.messages import ClosedDataCentres
from fulmarscale.wire.messages import JobDispatch
from fulmarscale.wire.messages import NotStartedReason
from fulmarscale.wire.messages import TaskSpec
from fulmarscale.wire.messages import ToAgent

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.control.counters import Counters
    from fulmarscale.control.lease import LeaseManager
    from fulmarscale.entry.action_buffer import ActionBuffer
    from fulmarscale.entry.job import OwnedJob
    from fulmarscale.entry.job import Task
    from fulmarscale.entry.placement import Placement
    from fulmarscale.entry.placement import TaskScheduler
    from fulmarscale.entry.records import SubmissionRecords
    from fulmarscale.entry.run_times import RunTimes
    from fulmarscale.ids import AgentId
    from fulmarscale.ids import SubmissionId
    from fulmarscale.wire.messages import Announce
    from fulmarscale.wire.messages import FromAgent
    from fulmarscale.wire.messages import NotStarted
    from fulmarscale.wire.messages import RecoveredJob
    from fulmarscale.wire.messages import TaskResult

MIN_TIME_LEFT_SHARE = 0.5
"""The least time before its deadline at which a task is still sent.

A share of the mean run time of the task's kind. Admission also uses it as
the share of a run that running tasks have left on average.
"""


class TaskDispatcher:
    """Dispatches tasks to the connected agents and accepts their results."""

    def __init__(
        self,
        lease: LeaseManager,
        records: SubmissionRecords,
        scheduler: TaskScheduler,
        run_times: RunTimes,
        actions: ActionBuffer,
        counters: Counters,
        finish: Callable[[OwnedJob, float], None],
    ) -> None:
        self._lease = lease
        self._records = records
        self._scheduler = scheduler
        self._run_times = run_times
        self._actions = actions
        self._counters = counters
        self._finish = finish
        self._views: dict[int, ConnectedAgent] = {}
        """The connected agents by stream."""
        self._sessions: dict[AgentId, int] = {}
        """The stream of each connected agent."""
        self._detached: dict[AgentId, set[TaskRef]] = {}
        """Tasks outstanding at agents whose stream has ended."""
        self._propagated_versions = (-1, -1)
        """The entry list's and configuration's versions last propagated."""
        self._echo_refresher = EchoRefresher(
            lease, self._views, actions, counters, self._send
        )
        self._first_connected_at: float | None = None

    @property
    def connected_agents(self) -> list[ConnectedAgent]:
        """The connected agents."""
        return list(self._views.values())

    @property
    def echo_refresher(self) -> EchoRefresher:
        """The component that refreshes the echoes held by agents."""
        return self._echo_refresher

    @property
    def slots(self) -> int:
        """The total number of slots of the connected agents."""
        return sum(view.slots for view in self._views.values())

    @property
    def first_connected_at(self) -> float | None:
        """Monotonic time at which the first agent connected, if any has."""
        return self._first_connected_at

    def view(self, session: int) -> ConnectedAgent | None:
        """Return the agent connected on a stream, if it is still open."""
        return self._views.get(session)

    def clear(self, now: float) -> None:
        """Drop all outstanding tasks when a new incarnation begins.

        The entry list is sent to all connected agents again.
        """
        self._detached.clear()
        for view in self._views.values():
            view.outstanding.clear()
            view.sent_list_version = -1
        self._propagated_versions = (-1, -1)
        self.propagate_changes(now)

    def open_session(
        self, session: int, announce: Announce, now: float
    ) -> None:
        """Register an agent that has opened a stream.

        Older streams of the same agent are closed.
        """
        if self._first_connected_at is None:
            self._first_connected_at = now
        agent = announce.agent
        self._close_older_sessions(agent, now)
        view = ConnectedAgent(session, announce, now)
        self._views[session] = view
        self._sessions[agent] = session
        view.outstanding = self._detached.pop(agent, set())
        self._actions.log(
            Event.AGENT_CONNECTED,
            agent=agent.name,
            data_centre=announce.data_centre,
        )
        # The first message requests the agent's records of all submissions
        # with outstanding tasks. It precedes new tasks on the same stream.
        ids = {ref.submission_id for ref in view.outstanding}
        self._send(view, now, recover=tuple(sorted(ids)), wants_token=True)

    def close_session(self, session: int) -> None:
        """Remove the session of a stream that has ended.

        The agent's outstanding tasks stay recorded until it reconnects.
        """
        view = self._views.pop(session, None)
        self._echo_refresher.forget(session)
        if view is None:
            return
        if self._sessions.get(view.agent) == session:
            del self._sessions[view.agent]
        if view.outstanding:
            self._detached[view.agent] = view.outstanding
        self._actions.log(Event.AGENT_LOST, agent=view.agent.name)

    def receive(self, session: int, message: FromAgent, now: float) -> None:
        """Process a message from an agent."""
        view = self._views.get(session)
        if view is None:
            self._counters.add(Count.WASTED_RESULT)
            return
        self._counters.add(Count.MESSAGES_FROM_AGENTS)
        view.receive(message, now)
        for result in message.results:
            self._accept_result(view, result, now)
        for not_started in message.not_started:
            self._accept_not_started(view, not_started, now)
        if message.wants_echo:
            self._echo_refresher.request_echo(session, now)

    def reconcile(
        self,
        view: ConnectedAgent,
        job: OwnedJob,
        recovered_job: RecoveredJob,
        now: float,
    ) -> None:
        """Update a job from the records of an agent that has reconnected.

        A task that the agent has no record of was never received; it is
        queued again, unless it was sent on the present stream.
        """
        results = {
            result.task.index: result for result in recovered_job.results
        }
        running = set(recovered_job.running)
        for task in job.tasks:
            if task.state is not TaskState.SENT or task.agent != view.agent:
                continue
            if task.index in results:
                self._accept_result(view, results[task.index], now)
            elif task.index in running:
                task.session = view.session
            elif task.session != view.session:
                view.outstanding.discard(job.task_ref(task))
                self.requeue_task(
                    job, task, NotStartedReason.NEVER_RECEIVED, now
                )

    def requeue_task(
        self, job: OwnedJob, task: Task, reason: NotStartedReason, now: float
    ) -> None:
        """Requeue a task that an agent reports as never started.

        It ends as not run instead if the job is cancelled or its deadline
        does not allow another attempt.
        """
        self._counters.add(Count.TASKS_BOUNCED)
        task.mark_queued()
        if job.is_cancelled:
            job.resolve_task(task, Outcome.NOT_RUN, ResultCode.CANCELLED)
        elif now >= job.deadline_at or reason is NotStartedReason.DEADLINE:
            job.resolve_task(task, Outcome.NOT_RUN, ResultCode.DEADLINE_PASSED)
        else:
            job.requeue_count += 1
            self._scheduler.push(job, task)
        self._finish_if_resolved(job, now)

    def record_running(
        self, view: ConnectedAgent, job: OwnedJob, task: Task
    ) -> None:
        """Record where a task of a recovered job is running."""
        task.mark_sent(view.agent, view.session)
        view.outstanding.add(job.task_ref(task))

    def cancel(self, job: OwnedJob, now: float) -> None:
        """Cancel a job: end its queued tasks and have agents stop the rest."""
        job.is_cancelled = True
        agents = set()
        for task in job.tasks:
            if task.state is TaskState.QUEUED:
                job.resolve_task(task, Outcome.NOT_RUN, ResultCode.CANCELLED)
            elif task.state is TaskState.SENT and task.agent is not None:
                agents.add(task.agent)
        for agent in sorted(agents):
            view = self._find_view(agent)
            if view is not None:
                self._send(view, now, cancel=(job.submission_id,))
        self._finish_if_resolved(job, now)

    def set_draining(self, name: str, now: float, *, draining: bool) -> bool:
        """Make an agent stop or resume accepting new tasks.

        :returns: whether the agent is connected.
        """
        for view in self.connected_agents:
            if view.agent.name == name:
                self._send(view, now, drain=draining)
                return True
        return False

    def abandon(self, job: OwnedJob, now: float) -> None:
        """End a job without waiting any longer for its agents.

        The outcome of every task that has none yet becomes unknown.
        """
        for task in job.tasks:
            if task.state is TaskState.RESOLVED:
                continue
            if task.agent is not None:
                self._drop_outstanding(task.agent, job.task_ref(task))
            job.resolve_task(
                task, Outcome.OUTCOME_UNKNOWN, ResultCode.ANSWER_LATE
            )
        self._finish_if_resolved(job, now)

    def expire_queued(self, job: OwnedJob, now: float) -> None:
        """End a job's queued tasks as not run, as its deadline has passed."""
        for task in job.tasks:
            if task.state is TaskState.QUEUED:
                job.resolve_task(
                    task, Outcome.NOT_RUN, ResultCode.DEADLINE_PASSED
                )
        self._finish_if_resolved(job, now)

    def request_records(
        self, submission_id: SubmissionId, now: float
    ) -> dict[int, AgentId]:
        """Request the records of a submission from all connected agents.

        :returns: the agent for each stream that was queried.
        """
        queried = {}
        for view in self.connected_agents:
            self._send(view, now, recover=(submission_id,))
            queried[view.session] = view.agent
        return queried

    def propagate_changes(self, now: float) -> None:
        """Send agents the entry list and closed data centres if changed."""
        versions = (
            self._lease.entry_list.version,
            self._lease.configuration.version,
        )
        if versions == self._propagated_versions:
            return
        self._propagated_versions = versions
        for view in self.connected_agents:
            if self._is_outdated(view):
                self._send(view, now)

    def place(self, now: float) -> None:
        """Send queued tasks to agents with free capacity."""
        if self._scheduler.queued_count == 0 or not self._lease.is_held(now):
            return
        closed = set(self._lease.configuration.closed_data_centres)
        usable = [
            v for v in self.connected_agents if v.data_centre not in closed
        ]
        placements = self._scheduler.place(usable, now)
        batches: dict[int, dict[SubmissionId, list[Placement]]]
        batches = defaultdict(lambda: defaultdict(list))
        for placement in placements:
            if self._is_too_late(placement.job, now):
                self._reject_unsent(placement, now)
                continue
            self._mark_sent(placement)
            batch = batches[placement.view.session]
            batch[placement.job.submission_id].append(placement)
        for session, by_job in batches.items():
            jobs = tuple(
                _make_dispatch(placed, now) for placed in by_job.values()
            )
            self._send(self._views[session], now, jobs=jobs)

    def _is_too_late(self, job: OwnedJob, now: float) -> bool:
        mean_s = self._run_times.mean_s(job.kind)
        if mean_s is None:
            return False
        return now + MIN_TIME_LEFT_SHARE * mean_s > job.deadline_at

    def _reject_unsent(self, placement: Placement, now: float) -> None:
        placement.job.resolve_task(
            placement.task, Outcome.NOT_RUN, ResultCode.DEADLINE_UNREACHABLE
        )
        self._finish_if_resolved(placement.job, now)

    def _mark_sent(self, placement: Placement) -> None:
        view = placement.view
        placement.task.mark_sent(view.agent, view.session)
        view.outstanding.add(placement.job.task_ref(placement.task))
        self._counters.add(Count.TASKS_SENT)

    def _accept_result(
        self, view: ConnectedAgent, result: TaskResult, now: float
    ) -> None:
        view.outstanding.discard(result.task)
        job = self._records.find(result.task.submission_id)
        task = _find_task(job, result.task)
        if job is None or task is None or not _is_outstanding_at(task, view):
            self._counters.add(Count.WASTED_RESULT)
            return
        self._record_agent_health(view, result, now)
        if result.outcome is Outcome.DONE:
            self._run_times.record(job.kind, result.run_s)
            job.record_run_time(result.run_s)
        job.resolve_task(task, result.outcome, result.code, result.result)
        self._finish_if_resolved(job, now)

    def _record_agent_health(
        self, view: ConnectedAgent, result: TaskResult, now: float
    ) -> None:
        if result.outcome is Outcome.DONE:
            view.record_success()
        elif result.code is ResultCode.TASK_STOPPED:
            return
        elif view.record_failure(now):
            self._actions.log(Event.AGENT_QUARANTINED, agent=view.agent.name)

    def _accept_not_started(
        self, view: ConnectedAgent, not_started: NotStarted, now: float
    ) -> None:
        job = self._records.find(not_started.submission_id)
        if not_started.reason is NotStartedReason.TARGET_UNREACHABLE:
            view.record_failure(now)
        for index in not_started.indexes:
            ref = TaskRef(not_started.submission_id, index)
            view.outstanding.discard(ref)
            task = _find_task(job, ref)
            if (
                job is None
                or task is None
                or not _is_outstanding_at(task, view)
            ):
                self._counters.add(Count.WASTED_RESULT)
                continue
            self.requeue_task(job, task, not_started.reason, now)

    def _close_older_sessions(self, agent: AgentId, now: float) -> None:
        for previous in [*self._sessions, *self._detached]:
            if previous.name != agent.name:
                continue
            session = self._sessions.get(previous)
            if session is not None:
                self._actions.add(CloseSession(session))
                self.close_session(session)
            if previous != agent:
                self._mark_outcomes_unknown(previous, now)

    def _mark_outcomes_unknown(self, agent: AgentId, now: float) -> None:
        # A new incarnation of the agent has no records of the former one,
        # so the outcome of tasks that were outstanding there is unknown.
        lost = sorted(self._detached.pop(agent, ()))
        if lost:
            self._actions.log(Event.AGENT_REPLACED, agent=agent.name)
        for ref in lost:
            job = self._records.find(ref.submission_id)
            task = _find_task(job, ref)
            if job is None or task is None or task.agent != agent:
                continue
            if task.state is not TaskState.SENT:
                continue
            job.resolve_task(
                task, Outcome.OUTCOME_UNKNOWN, ResultCode.AGENT_LOST
            )
            self._finish_if_resolved(job, now)

    def _drop_outstanding(self, agent: AgentId, ref: TaskRef) -> None:
        view = self._find_view(agent)
        if view is not None:
            view.outstanding.discard(ref)
        detached = self._detached.get(agent)
        if detached is not None:
            detached.discard(ref)
            if not detached:
                del self._detached[agent]

    def _find_view(self, agent: AgentId) -> ConnectedAgent | None:
        session = self._sessions.get(agent)
        return self._views.get(session) if session is not None else None

    def _finish_if_resolved(self, job: OwnedJob, now: float) -> None:
        if job.unresolved_count == 0 and not job.is_answered:
            self._finish(job, now)

    def _is_outdated(self, view: ConnectedAgent) -> bool:
        return (
            view.sent_list_version < self._lease.entry_list.version
            or view.sent_configuration_version
            < self._lease.configuration.version
        )

    def _send(
        self,
        view: ConnectedAgent,
        now: float,
        *,
        wants_token: bool = False,
        jobs: tuple[JobDispatch, ...] = (),
        cancel: tuple[SubmissionId, ...] = (),
        recover: tuple[SubmissionId, ...] = (),
        drain: bool | None = None,
    ) -> None:
        """Send an agent one message.

        A newer entry list or newer set of closed data centres is always
        included, and the agent adopts it before it reads the rest.
        """
        entry_list = None
        if view.sent_list_version < self._lease.entry_list.version:
            entry_list = self._lease.entry_list
            view.sent_list_version = entry_list.version
        closed = None
        configuration = self._lease.configuration
        if view.sent_configuration_version < configuration.version:
            closed = ClosedDataCentres(
                configuration.version, configuration.closed_data_centres
            )
            view.sent_configuration_version = configuration.version
        echo = view.best_echo(self._lease.confirmed_at)
        view.sent_echo = echo
        view.last_sent_at = now
        message = ToAgent(
            entry=self._lease.entry,
            echo=echo,
            entry_list=entry_list,
            closed_data_centres=closed,
            wants_token=wants_token,
            jobs=jobs,
            cancel=cancel,
            recover=recover,
            drain=drain,
        )
        self._actions.add(SendAgent(view.agent, view.session, message))


def _find_task(job: OwnedJob | None, ref: TaskRef) -> Task | None:
    if job is None or ref.index >= len(job.tasks):
        return None
    return job.tasks[ref.index]


def _is_outstanding_at(task: Task, view: ConnectedAgent) -> bool:
    return task.state is TaskState.SENT and task.agent == view.agent


def _make_dispatch(placed: list[Placement], now: float) -> JobDispatch:
    job = placed[0].job
    return JobDispatch(
        submission_id=job.submission_id,
        customer=job.customer,
        kind=job.kind,
        task_count=len(job.tasks),
        digest=job.digest,
        deadline_in_s=job.deadline_at - now,
        tasks=tuple(TaskSpec(p.task.index, p.task.payload) for p in placed),
    )
