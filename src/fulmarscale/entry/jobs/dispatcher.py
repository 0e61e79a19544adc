"""Accepts jobs, places their tasks on agents and completes the jobs.

Schedules an entry's jobs whose tasks may be run again. It performs no I/O:
methods that handle an event take the time and return the actions to carry out.
"""

from __future__ import annotations

from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.actions import AnswerJob
from fulmarscale.entry.jobs.actions import CloseAgentStream
from fulmarscale.entry.jobs.actions import CloseDurableJob
from fulmarscale.entry.jobs.actions import JobOutcome
from fulmarscale.entry.jobs.actions import JobState
from fulmarscale.entry.jobs.actions import LogDispatchDecision
from fulmarscale.entry.jobs.actions import OpenAgentStream
from fulmarscale.entry.jobs.admission_control import AdmissionControl
from fulmarscale.entry.jobs.beginning import BeginWithRoomForAll
from fulmarscale.entry.jobs.capacity_prober import CapacityProber
from fulmarscale.entry.jobs.crash_history import CrashHistory
from fulmarscale.entry.jobs.estimates import RunTimes
from fulmarscale.entry.jobs.fleet import Fleet
from fulmarscale.entry.jobs.job import Job
from fulmarscale.entry.jobs.job import TaskPhase
from fulmarscale.entry.jobs.locality import Locality
from fulmarscale.entry.jobs.open_jobs import OpenJobs
from fulmarscale.entry.jobs.outbox import Outbox
from fulmarscale.entry.jobs.overload import OverloadDetector
from fulmarscale.entry.jobs.placer import Placer
from fulmarscale.entry.jobs.returning import ReturnByUrgency
from fulmarscale.entry.jobs.run_monitor import RunMonitor
from fulmarscale.entry.jobs.run_results import RunResults
from fulmarscale.entry.jobs.subset import Subset
from fulmarscale.entry.jobs.urgency import Urgency
from fulmarscale.entry.jobs.urgency import UrgencyOrder
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event
from fulmarscale.runs.crashes import CrashCounts
from fulmarscale.runs.limits import BUSY_TICK_S
from fulmarscale.runs.limits import IDLE_TICK_S
from fulmarscale.runs.limits import PROBE_COLLECT_S
from fulmarscale.runs.limits import RUN_EXPIRY_S
from fulmarscale.runs.messages import ExpectedRun
from fulmarscale.runs.model import JobId
from fulmarscale.runs.site_config import newer_config
from fulmarscale.runs.site_config import SiteConfig

if TYPE_CHECKING:
    from fulmarscale.entry.durable.record import DurableJobRecord
    from fulmarscale.entry.jobs.actions import DispatchAction
    from fulmarscale.entry.jobs.admission_control import Forecasts
    from fulmarscale.entry.jobs.agent_view import AgentView
    from fulmarscale.entry.jobs.crash_report import CrashReport
    from fulmarscale.entry.jobs.subset import AnnouncedAgent
    from fulmarscale.ids import EntryId
    from fulmarscale.runs.crashes import TargetCrash
    from fulmarscale.runs.messages import AgentMessage
    from fulmarscale.runs.messages import CompletionAck
    from fulmarscale.runs.model import JobSpec
    from fulmarscale.runs.model import TaskKey
    from fulmarscale.runs.site_config import Queue

STALL_S: Final = 0.25
"""Lateness of a due tick from which the process is taken to have stalled."""

POST_STALL_HOLD_S: Final = 0.1
"""Time after a stall in which no tasks are placed.

Messages that arrived during the stall are processed first, so that no start
request is based on outdated state.
"""


class Dispatcher:
    """Schedules the jobs of one entry on the targets of a site."""

    def __init__(
        self, entry: EntryId, data_centre: str, far_factor: float = 1.0
    ) -> None:
        self._entry = entry
        self._site = SiteConfig()
        """The newest known configuration of the site."""
        self._site_confirmed_at = float("-inf")
        """When the store last showed that there is no newer one."""
        self._was_ready = False
        """Whether the entry was ready at the last tick."""
        self._open = OpenJobs()
        self._fleet = Fleet(data_centre, far_factor)
        self._outbox = Outbox(entry, self._fleet)
        self._prober = CapacityProber(self._fleet)
        self._subset = Subset(entry.name, self._fleet)
        self._streams: dict[str, str] = {}
        """Addresses of the agents that the entry keeps streams to, by name."""
        self._sessions: dict[int, AgentView] = {}
        """Agents by the session number of their open stream."""
        self._run_times = RunTimes()
        self._crashes = CrashHistory()
        self._monitor = RunMonitor(self._fleet, self._run_times, self._log)
        self._results = RunResults(
            entry,
            self._open,
            self._fleet,
            self._monitor,
            self._crashes,
            close_job=self._close_job,
            act=self._act,
            log=self._log,
        )
        self._urgency = Urgency()
        self._returns = ReturnByUrgency(self._urgency)
        self._placer = Placer(
            self._fleet,
            UrgencyOrder(self._urgency),
            BeginWithRoomForAll(self._fleet, self._run_times, self._urgency),
            self._urgency,
            Locality(self._fleet, self._open, self._run_times),
            self._open,
            self._crashes,
            self._log,
        )
        self._admission = AdmissionControl(
            self._fleet,
            self._run_times,
            self._open.waiting,
            self._urgency,
            self._streams,
            self._log,
        )
        self._needs_flush = False
        """Whether placement and sending were deferred."""
        self._last_event_at: float | None = None
        """The time of the last call; none before the first."""
        self._next_tick_s = IDLE_TICK_S
        """The longest time from the last call to the next tick."""
        self._hold_until = float("-inf")
        """The end of the hold after a stall: no placement before it."""
        self._overload = OverloadDetector()
        self._actions: list[DispatchAction] = []
        """Actions of the current call."""

    @property
    def site(self) -> SiteConfig:
        """The newest known configuration of the site."""
        return self._site

    @property
    def needs_flush(self) -> bool:
        """Whether `flush` must be called before the process goes idle."""
        return self._needs_flush

    @property
    def open_job_count(self) -> int:
        """The number of open jobs."""
        return len(self._open.jobs)

    @property
    def fleet(self) -> Fleet:
        """All agents that the entry has had a stream to."""
        return self._fleet

    @property
    def subset(self) -> Subset:
        """The selection of agents that the entry keeps streams to."""
        return self._subset

    def crash_reports(self, now: float) -> list[CrashReport]:
        """Return the known crashes of targets for operators, newest first.

        :param now: the entry's time.
        """
        return self._crashes.reports(self._fleet.bulkheads.queues, now)

    @property
    def is_ready(self) -> bool:
        """Whether there are a configuration and a stream to an agent."""
        return self._site.is_known and any(
            view.session is not None for view in self._fleet.views
        )

    def site_age_s(self, now: float) -> float:
        """Return the time since the configuration was known to be the newest.

        :param now: the entry's time.
        :returns: seconds; infinite if it never was.
        """
        return now - self._site_confirmed_at

    def tick_pause_s(self, now: float) -> float:
        """Return the time until the next tick is due.

        :param now: the entry's time.
        :returns: seconds.
        """
        if self._open.needs_placement and self._prober.is_collecting(now):
            return PROBE_COLLECT_S
        is_busy = self._open.jobs or any(v.assigned for v in self._fleet.views)
        return BUSY_TICK_S if is_busy else IDLE_TICK_S

    def submit(
        self,
        job_id: JobId,
        queue: Queue,
        spec: JobSpec,
        wait_s: float,
        now: float,
    ) -> list[DispatchAction]:
        """Accept or reject a job, or join an open job of the same identifier.

        :param job_id: the identifier that the caller chose.
        :param queue: the queue that it is submitted to.
        :param spec: the steps to run.
        :param wait_s: how long the caller waits.
        :param now: the entry's time.
        """
        self._detect_stall(now)
        if job_id in self._open.jobs:
            self._log(Event.JOB_JOINED, job=job_id)
            return self._defer_flush()
        job = Job(job_id, queue, spec, now, now + wait_s)
        self._admission.set_objective(job)
        self._open.add(job)
        if self._overload.is_overloaded:
            self._abandon(job, now, "overloaded")
            return self._defer_flush()
        if self._crashes.must_give_up(job):
            # An earlier submission of the job has run, perhaps elsewhere.
            self._results.give_up_if_crashing(job, now)
            return self._defer_flush()
        if self._crashes.suspicion_of(job_id).counts:
            # Runs of an earlier submission of the job may have begun.
            job.may_have_run = True
        self._admission.add(job)
        self._subset.record_needs(job, now)
        self._log(
            Event.JOB_TAKEN,
            job=job_id,
            queue=queue.name,
            tasks=len(job.tasks),
            version=self._site.configuration_version,
            wait_s=wait_s,
            declared_s=job.critical_path_s(),
        )
        return self._defer_flush()

    def start_durable_job(
        self,
        job_id: JobId,
        record: DurableJobRecord,
        now: float,
    ) -> list[DispatchAction]:
        """Run a durable job from its stored record.

        :param job_id: the identifier that the caller chose.
        :param record: the stored record of the job.
        :param now: the entry's time.
        """
        self._detect_stall(now)
        job = Job(job_id, record.queue, record.spec, now, float("inf"))
        job.owner_epoch = record.owner_epoch
        self._admission.set_objective(job)
        job.restore(record.done, record.failures, record.completions)
        self._crashes.restore(
            job,
            CrashCounts(
                record.crashes,
                record.crash_incarnations,
                record.certain_crashes,
            ),
        )
        self._subset.record_needs(job, now)
        self._open.add(job)
        if job.owner_epoch > 1:
            job.earliest_start_at = now + RUN_EXPIRY_S
            job.may_have_run = bool(record.completions)
            self._results.apply_inherited_completions(job, now)
        self._log(
            Event.JOB_TAKEN,
            job=job_id,
            queue=record.queue.name,
            tasks=len(job.tasks),
            version=self._site.configuration_version,
            done=len(record.done),
        )
        self._results.close_if_finished(job, now)
        return self._flush(now)

    def change_owner_epoch(
        self, job_id: JobId, owner_epoch: int, now: float
    ) -> list[DispatchAction]:
        """Continue a durable job under a new owner epoch, now stored."""
        job = self._open.jobs.get(job_id)
        if job is not None:
            job.owner_epoch = owner_epoch
            job.earliest_start_at = now
            self._open.needs_placement = True
        return self._flush(now)

    def too_late_wait_s(
        self, queue: Queue, spec: JobSpec, now: float
    ) -> float | None:
        """Predict the wait of a job that would end too late to be useful.

        :param queue: the queue that it would be submitted to.
        :param spec: the steps to run.
        :param now: the entry's time.
        :returns: seconds; none if the job would end in time.
        """
        job = Job(JobId(""), queue, spec, now, float("inf"))
        self._admission.set_objective(job)
        return self._admission.too_late_wait_s(job, now)

    def acknowledge_completions(
        self, agent: str, acks: tuple[CompletionAck, ...], now: float
    ) -> list[DispatchAction]:
        """Send acknowledgements of completions to an agent."""
        view = self._fleet.find(agent)
        if view is not None:
            view.add_acks(acks)
        return self._flush(now)

    def review_completions(self, now: float) -> list[DispatchAction]:
        """Process the completions again that agents hold for other jobs.

        The jobs have ended, or their takeover isn't stored yet.
        """
        self._results.review_completions()
        return self._flush(now)

    def set_durable_jobs_exist(self, *, exist: bool) -> None:
        """Set whether any durable jobs exist, and report it to the agents.

        Once there are any, the entry keeps streams to all agents. Those that
        announce no target are left out while any agent announces one.
        """
        self._outbox.set_durable_jobs_exist(exist=exist)
        if exist:
            self._subset.use_all()

    def pending(self) -> dict[str, int]:
        """Return the number of durable jobs not yet started, by queue.

        A job that was taken over counts as not started while no completion
        of it is stored, even if its former owner started runs.
        """
        counts: dict[str, int] = {}
        for job in self._open.jobs.values():
            if job.is_durable and not job.is_started:
                counts[job.queue.name] = counts.get(job.queue.name, 0) + 1
        return counts

    def remove_job(self, job_id: JobId, now: float) -> list[DispatchAction]:
        """Stop a job whose callers disconnected or whose owner has changed."""
        self._detect_stall(now)
        job = self._open.remove(job_id)
        self._admission.discard(job_id)
        if job is not None:
            self._log(
                Event.JOB_CANCELLED,
                job=job_id,
                age_s=round(now - job.arrived_at, 3),
            )
            self._stop_runs(job)
        return self._flush(now)

    def state_of(self, job_id: JobId) -> JobState | None:
        """Return the state of an open job; none if it isn't open here."""
        job = self._open.jobs.get(job_id)
        if job is None:
            return None
        return JobState.RUNNING if job.is_started else JobState.QUEUED

    def cancel_job(self, job_id: JobId, now: float) -> list[DispatchAction]:
        """Cancel a job that isn't durable and answer its callers."""
        self._detect_stall(now)
        job = self._open.jobs.get(job_id)
        if job is not None and not job.is_durable:
            self._close_job(job, JobOutcome.CANCELLED, now, "cancelled")
        return self._flush(now)

    def abandon_all(self, now: float) -> list[DispatchAction]:
        """Abandon all jobs that aren't durable, as the entry shuts down."""
        self._share_lost_agent_starts(now, is_stopping=True)
        for job in list(self._open.jobs.values()):
            if not job.is_durable:
                self._abandon(job, now, "entry_stops")
        return self._flush(now)

    def update_agents(
        self, agents: tuple[AnnouncedAgent, ...], now: float
    ) -> list[DispatchAction]:
        """Update the list of announced agents."""
        self._detect_stall(now)
        self._subset.update_agents(agents)
        if not self._streams:
            self._sync_streams(now)
        return self._flush(now)

    def open_agent(
        self, session: int, name: str, now: float
    ) -> list[DispatchAction]:
        """Register a new stream to an agent.

        :param session: the number of the stream.
        :param name: the agent's name.
        :param now: the entry's time.
        """
        self._detect_stall(now)
        view = self._fleet.find_or_add(name, now)
        if view.session is not None:
            self._sessions.pop(view.session, None)
        view.reset()
        self._fleet.connect(view, session, now)
        view.token = None
        view.sequence = 0
        view.expected = tuple(
            ExpectedRun(key, number) for key, number in view.assigned.items()
        )
        view.stops = [key for key in view.assigned if not self._is_wanted(key)]
        view.mark_dirty()
        self._sessions[session] = view
        self._log(Event.AGENT_CONNECTED, agent=name)
        return self._flush(now)

    def close_agent(self, session: int, now: float) -> list[DispatchAction]:
        """Remove a closed stream; the agent's runs may go on for a while."""
        self._detect_stall(now)
        view = self._sessions.pop(session, None)
        if view is not None:
            self._fleet.disconnect(view)
            view.reset()
            self._log(
                Event.AGENT_LOST, agent=view.name, runs=len(view.assigned)
            )
        return self._flush(now)

    def receive_agent(
        self, session: int, message: AgentMessage, now: float
    ) -> list[DispatchAction]:
        """Process a message of an agent.

        :param session: the number of the stream.
        :param message: the message.
        :param now: the entry's time.
        """
        self._detect_stall(now)
        view = self._sessions.get(session)
        if view is None:
            return self._defer_flush()
        if view.update(message, now) or message.reports or message.completions:
            self._open.needs_placement = True
        self._fleet.record_lost_agent_starts(message, now)
        if view.is_due(now):
            view.mark_dirty()
        if message.site is not None:
            self._adopt_site(message.site, view.name, now)
        for progress in message.progress:
            view.record_begun(progress.task)
            job = self._open.jobs.get(progress.task.job_id)
            task = None if job is None else job.find(progress.task)
            if job is None or task is None:
                continue
            reported_at = now - progress.age_s
            self._monitor.record_progress(
                job, task, progress.percent, reported_at, now
            )
        if message.crashes:
            self._apply_crashes(view.name, message.crashes, now)
        for report in message.reports:
            self._results.apply_report(view, report, now)
        for completion in message.completions:
            self._results.apply_completion(view, completion, now)
        return self._defer_flush()

    def _apply_crashes(
        self, agent: str, crashes: tuple[TargetCrash, ...], now: float
    ) -> None:
        """Record crashes of a target and give up the jobs that cause them."""
        for job_id in sorted(self._crashes.update(agent, crashes, now)):
            job = self._open.jobs.get(job_id)
            if job is not None:
                self._results.give_up_if_crashing(job, now)
        self._update_bulkheads(now)

    def _update_bulkheads(self, now: float) -> None:
        """Update the confined queues and their targets."""
        bulkheads = self._fleet.bulkheads
        former = (bulkheads.queues, bulkheads.members)
        bulkheads.update_crashes(self._crashes.queue_crashes, now)
        if not former[0] and not bulkheads.queues:
            return
        agents = self._subset.agents_by_service()
        self._fleet.update_open_loads(agents, self._open.waiting.values(), now)
        bulkheads.update_members(agents, self._fleet.open_loads, now)
        if (bulkheads.queues, bulkheads.members) != former:
            self._open.needs_placement = True
            self._log(
                Event.QUEUES_CONFINED,
                queues=sorted(bulkheads.queues),
                agents=sorted(bulkheads.members),
            )

    def adopt_site_config(
        self, site: SiteConfig, now: float
    ) -> list[DispatchAction]:
        """Adopt a site configuration read from the store, if it is newer."""
        self._detect_stall(now)
        self._adopt_site(site, "store", now)
        return self._flush(now)

    def confirm_site_config(self, now: float) -> list[DispatchAction]:
        """Record that the store has no newer configuration."""
        self._site_confirmed_at = now
        return []

    def tick(self, now: float) -> list[DispatchAction]:
        """Do the periodic work: deadlines, stragglers and stream selection."""
        self._detect_stall(now)
        self._update_overload(now)
        self._log_readiness(now)
        for view in self._fleet.views:
            if view.assigned and now - view.last_message_at > RUN_EXPIRY_S:
                self._results.expire_runs(view, now)
        if now >= self._hold_until:
            self._share_lost_agent_starts(now)
        self._crashes.refresh(now)
        self._update_bulkheads(now)
        forecasts = self._admission.forecasts(now)
        for job in list(self._open.jobs.values()):
            self._check_job(job, forecasts, now)
        self._open.needs_placement = True
        self._overload.expect_tick(now + self.tick_pause_s(now))
        used_millicores = (
            self._assigned_millicores() if self._open.waiting else 0
        )
        self._subset.resize(used_millicores, now)
        self._sync_streams(now)
        self._outbox.tick(self._open.waiting.values(), now)
        return self._flush(now)

    def _share_lost_agent_starts(
        self, now: float, *, is_stopping: bool = False
    ) -> None:
        """Tell the other entries of starts that may still be carried out."""
        news = self._fleet.share_lost_agent_starts(
            now, is_stopping=is_stopping
        )
        if news:
            self._log(
                Event.LOST_STARTS_SHARED,
                agents=sorted({start.agent for start in news}),
                tasks=[str(start.task) for start in news],
            )

    def _log_readiness(self, now: float) -> None:
        """Log a change of the readiness, with its inputs."""
        if self.is_ready == self._was_ready:
            return
        self._was_ready = self.is_ready
        age_s = self.site_age_s(now)
        self._log(
            Event.READINESS_CHANGED,
            ready=self.is_ready,
            version=self._site.configuration_version,
            site_age_s=None if age_s == float("inf") else round(age_s, 3),
            agents=len(self._fleet.connected),
        )

    def _check_new_jobs(self, now: float) -> None:
        """Reject new jobs that can't be on time once capacity is known."""
        forecasts: Forecasts | None = None
        for job in self._admission.take_decidable(now):
            if forecasts is None:
                forecasts = self._admission.forecasts(now)
            wait_s = self._admission.check_new(job, forecasts, now)
            self._reject(job, wait_s, now)

    def _reject(self, job: Job, wait_s: float | None, now: float) -> None:
        """Reject a job that is predicted to end too late.

        :param job: the job.
        :param wait_s: its predicted wait, in seconds; none to keep it.
        :param now: the entry's time.
        """
        if wait_s is not None:
            self._abandon(job, now, "too_late", wait_s)

    def _assigned_millicores(self) -> int:
        """Return the demand of assigned tasks, in thousandths of a core."""
        return sum(
            task.step.demand.cpu_millicores
            for job in self._open.jobs.values()
            for task in job.assigned
        )

    def _sync_streams(self, now: float) -> None:
        """Open and close streams to match the subset of agents."""
        chosen = self._subset.choose(now)
        for name in sorted(self._streams.keys() - chosen.keys()):
            del self._streams[name]
            self._actions.append(CloseAgentStream(name))
            self._log(Event.AGENT_LEFT_OUT, agent=name)
        for name, agent in sorted(chosen.items()):
            if self._streams.get(name) == agent.address:
                continue
            self._streams[name] = agent.address
            self._actions.append(OpenAgentStream(name, agent.address))
            self._log(
                Event.AGENT_CHOSEN,
                agent=name,
                address=agent.address,
                chosen=len(chosen),
                size=self._subset.size,
            )

    def _detect_stall(self, now: float) -> None:
        """Hold placement if the process stalled since the last call."""
        last = self._last_event_at
        self._last_event_at = now
        if last is None:
            self._admission.start(now)
        if last is None or now - last <= STALL_S + self._next_tick_s:
            return
        self._hold_until = now + POST_STALL_HOLD_S
        self._log(Event.STOOD_STILL, pause_s=round(now - last, 3))

    def _update_overload(self, now: float) -> None:
        if self._overload.record_tick(now):
            self._log(
                Event.OVERLOAD_CHANGED,
                overloaded=self._overload.is_overloaded,
                late_s=round(self._overload.late_s, 3),
                jobs=len(self._open.jobs),
            )

    def _check_job(self, job: Job, forecasts: Forecasts, now: float) -> None:
        """Check a job's deadline, predicted wait and the speed of its runs."""
        if now >= job.deadline_at:
            self._abandon(job, now, "deadline")
            return
        if self._must_drop_suspect(job):
            self._abandon(job, now, "suspected")
            return
        if not job.is_started and not job.is_durable:
            if now >= self._hold_until:
                wait_s = self._admission.check_waiting(job, forecasts, now)
                self._reject(job, wait_s, now)
            return
        for task in job.assigned:
            self._monitor.check_run(job, task, now)

    def _must_drop_suspect(self, job: Job) -> bool:
        """Return whether a suspected job is answered without another try.

        The targets of its confined queue don't suffice for the jobs that are
        not suspected, and are likely to be lost to it.
        """
        return (
            not job.is_durable
            and not job.is_assigned
            and self._crashes.is_suspect(job.job_id)
            and self._placer.has_fresh_jobs(job)
        )

    def _abandon(
        self, job: Job, now: float, reason: str, wait_s: float = 0.0
    ) -> None:
        """Close a job without a result."""
        outcome = JobOutcome.NOT_RUN
        if job.is_started or self._may_have_run(job.job_id, now):
            outcome = JobOutcome.UNFINISHED
        self._close_job(job, outcome, now, reason, wait_s)

    def _may_have_run(self, job_id: JobId, now: float) -> bool:
        """Return whether a run of an earlier submission is known of.

        It may have been told of after the job came again.

        :param job_id: the job.
        :param now: the entry's time.
        """
        if self._crashes.suspicion_of(job_id).counts:
            return True
        return self._fleet.has_run_of(job_id, now)

    def _close_job(
        self,
        job: Job,
        outcome: JobOutcome,
        now: float,
        reason: str,
        wait_s: float = 0.0,
        *,
        code: ResultCode = ResultCode.OK,
    ) -> None:
        """Close a job, stop its runs and report its outcome.

        :param job: the job.
        :param outcome: its outcome.
        :param now: the entry's time.
        :param reason: why it is closed, for the log.
        :param wait_s: its predicted wait, in seconds, if it is rejected.
        :param code: why it has failed, for the caller.
        """
        cause = {}
        if outcome is JobOutcome.FAILED:
            cause = self._describe_failure(job, code)
        self._open.remove(job.job_id)
        self._admission.discard(job.job_id)
        self._crashes.forget_job(job.job_id)
        self._stop_runs(job)
        self._log(
            Event.JOB_ENDED,
            job=job.job_id,
            queue=job.queue.name,
            outcome=outcome.value,
            reason=reason,
            took_s=round(now - job.arrived_at, 3),
            over_objective_s=round(now - job.objective_at, 3),
            **cause,
        )
        if job.is_durable:
            self._actions.append(CloseDurableJob(job.job_id, outcome, code))
            return
        took_s = now - job.arrived_at
        delay_s = self._returns.delay_s(job, outcome, wait_s, now)
        self._actions.append(
            AnswerJob(job.job_id, outcome, delay_s, took_s, code)
        )

    def _describe_failure(self, job: Job, code: ResultCode) -> dict[str, Any]:
        """Return the facts behind a failure, as fields of a line."""
        return {
            "code": code.value,
            "failures": job.max_failures,
            "attempts": job.queue.max_attempts,
            "crashes": self._crashes.suspicion_of(job.job_id).max_count,
        }

    def _stop_runs(self, job: Job) -> None:
        for task in job.assigned:
            view = self._fleet.find(task.agent)
            if view is None:
                continue
            view.stops.append(task.key)
            view.mark_dirty()

    def _adopt_site(self, site: SiteConfig, source: str, now: float) -> None:
        adopted = newer_config(self._site, site)
        if adopted is self._site:
            return
        self._site = adopted
        self._fleet.set_closed_data_centres(adopted.closed_data_centres)
        self._urgency.configure(adopted)
        self._open.needs_placement = True
        self._log(
            Event.SITE_STATE_ADOPTED,
            source=source,
            revision=adopted.revision,
            version=adopted.configuration_version,
            closed=adopted.closed_data_centres,
        )
        self._outbox.update_site(adopted, now)

    def _is_wanted(self, key: TaskKey) -> bool:
        """Return whether a run of a task can still count."""
        job = self._open.jobs.get(key.job_id)
        task = None if job is None else job.find(key)
        return task is not None and task.phase is TaskPhase.ASSIGNED

    def flush(self, now: float) -> list[DispatchAction]:
        """Place tasks, probe agents and send messages.

        Inputs that arrive together share one call, as this is most of the
        work.
        """
        return self._flush(now)

    def _defer_flush(self) -> list[DispatchAction]:
        """Return actions, and defer the rest of the work to `flush`."""
        self._needs_flush = True
        actions = self._actions
        self._actions = []
        return actions

    def _flush(self, now: float) -> list[DispatchAction]:
        """Place tasks, probe agents, build messages and return all actions."""
        self._needs_flush = False
        if now >= self._hold_until:
            self._check_new_jobs(now)
        if self._open.needs_placement and not self._prober.is_collecting(now):
            self._open.needs_placement = False
            if now >= self._hold_until:
                self._placer.place(self._open.waiting.values(), now)
        self._prober.probe(self._open.waiting.values(), now)
        self._actions += self._outbox.collect(self._open.waiting.values(), now)
        actions = self._actions
        self._actions = []
        self._next_tick_s = self.tick_pause_s(now)
        return actions

    def _act(self, action: DispatchAction) -> None:
        """Add an action to those of the current call."""
        self._actions.append(action)

    def _log(self, event: Event, **fields: Any) -> None:
        self._actions.append(LogDispatchDecision(event, fields))
