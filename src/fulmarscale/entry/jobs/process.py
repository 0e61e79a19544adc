"""The entry process, without its HTTP endpoints.

It connects the dispatcher to callers, agents, durable jobs and the clock.
"""

from __future__ import annotations

import asyncio
from random import SystemRandom
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.control.lease import INCARNATION_BITS
from fulmarscale.entry.durable.actions import StorageOutcome
from fulmarscale.entry.durable.driver import DurableJobDriver
from fulmarscale.entry.durable.driver import JobRunner
from fulmarscale.entry.durable.record import DurableJobState
from fulmarscale.entry.durable.record import RECORD_TABLE
from fulmarscale.entry.jobs.actions import AdvanceOwnerEpoch
from fulmarscale.entry.jobs.actions import AnswerJob
from fulmarscale.entry.jobs.actions import CloseAgentStream
from fulmarscale.entry.jobs.actions import CloseDurableJob
from fulmarscale.entry.jobs.actions import JobOutcome
from fulmarscale.entry.jobs.actions import LogDispatchDecision
from fulmarscale.entry.jobs.actions import OpenAgentStream
from fulmarscale.entry.jobs.actions import SendEntryMessage
from fulmarscale.entry.jobs.actions import StoreCompletion
from fulmarscale.entry.jobs.dispatcher import Dispatcher
from fulmarscale.entry.jobs.job_service import JobService
from fulmarscale.entry.jobs.returning import retry_after_s
from fulmarscale.errors import FulmarError
from fulmarscale.events import Event
from fulmarscale.ids import EntryId
from fulmarscale.runs.clock import boottime_s
from fulmarscale.runs.driver import TickingDriver
from fulmarscale.runs.metrics import DurationHistogram
from fulmarscale.runs.metrics import ProcessMetrics
from fulmarscale.runs.streams import AgentStream
from fulmarscale.runs.streams import AgentStreamHandler

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.entry.durable.record import DurableJobRecord
    from fulmarscale.entry.durable.rows import RowTable
    from fulmarscale.entry.jobs.actions import DispatchAction
    from fulmarscale.entry.jobs.actions import JobState
    from fulmarscale.entry.jobs.subset import AnnouncedAgent
    from fulmarscale.logs import EventLog
    from fulmarscale.runs.messages import AgentMessage
    from fulmarscale.runs.messages import CompletionAck
    from fulmarscale.runs.messages import EntryMessage
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import JobSpec
    from fulmarscale.runs.site_config import Queue
    from fulmarscale.runs.site_config import SiteConfig
    from fulmarscale.runs.streams import MessageQueue

STOP_POLL_S: Final = 0.05
"""Interval at which a shutdown checks whether all callers were answered."""

SUBMIT_OUTCOMES: Final = {
    StorageOutcome.STORED: JobOutcome.STORED,
    StorageOutcome.REFUSED: JobOutcome.NOT_RUN,
    StorageOutcome.UNKNOWN: JobOutcome.UNFINISHED,
}
"""Answers to the submission of a durable job."""

DURABLE_STATES: Final = {
    JobOutcome.COMPLETED: DurableJobState.COMPLETED,
    JobOutcome.FAILED: DurableJobState.FAILED,
}
"""States under which the outcomes of durable jobs are stored."""

BALANCER_DETECTION_S: Final = 2.2
"""How long the load balancer may take to detect that the entry isn't ready.

It checks once a second and removes an entry after two failed checks.
"""

STOP_LIMIT_S: Final = 5.4
"""Longest graceful shutdown; the platform kills the process after 6 s."""


class DispatchProcess(
    TickingDriver, AgentStreamHandler, JobService, JobRunner
):
    """Connects an entry's dispatcher to callers, agents and the clock."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        rows: RowTable,
        log: EventLog,
        far_factor: float = 1.0,
    ) -> None:
        super().__init__(log)
        incarnation = SystemRandom().getrandbits(INCARNATION_BITS)
        entry = EntryId(name, incarnation)
        self._dispatcher = Dispatcher(entry, data_centre, far_factor)
        self._durable_jobs = DurableJobDriver(entry, rows, self, log)
        self._streams: dict[str, AgentStream] = {}
        """Streams to agents, by the agent's name."""
        self._sessions: dict[int, MessageQueue[EntryMessage]] = {}
        """Queues of outgoing messages, by the number of the open stream."""
        self._session_number = 0
        """The number of the last stream."""
        self._callers: dict[JobId, list[asyncio.Future[AnswerJob]]] = {}
        """Futures of the callers that wait for each job."""
        self._response_times = DurationHistogram(
            "fulmarscale_response_seconds",
            "Time from a job's arrival to its answer.",
        )
        self._metrics = ProcessMetrics(
            log, self._gauges, (self._response_times,)
        )
        self._is_flush_scheduled = False
        self._is_stopping = False
        self._stopping_since = 0.0

    @property
    def dispatcher(self) -> Dispatcher:
        """The scheduler of the entry's jobs."""
        return self._dispatcher

    @property
    def metrics(self) -> ProcessMetrics:
        """The entry's metrics."""
        return self._metrics

    def render_crashes(self) -> bytes:
        """Return the known crashes of targets as JSON, for operators."""
        return msgspec.json.encode(
            self._dispatcher.crash_reports(boottime_s())
        )

    @property
    def durable_jobs(self) -> DurableJobDriver:
        """The driver that stores and owns durable jobs."""
        return self._durable_jobs

    @property
    def site(self) -> SiteConfig:
        """The newest known configuration of the site."""
        return self._dispatcher.site

    @property
    def site_age_s(self) -> float:
        """Time since the configuration was known to be the newest."""
        return self._dispatcher.site_age_s(boottime_s())

    @property
    def is_stopping(self) -> bool:
        """Whether the entry shuts down and callers should use another one."""
        return self._is_stopping

    @property
    def is_ready(self) -> bool:
        """Whether a load balancer may send callers to this entry."""
        return not self._is_stopping and self._dispatcher.is_ready

    def start(self) -> None:
        """Start the periodic ticks and the handling of durable jobs."""
        tick = self._dispatcher.tick
        self._tasks.run_forever(lambda: self._tick_forever(tick))
        self._durable_jobs.start()
        self._log.write(Event.PROCESS_STARTED)

    async def begin_shutdown(self) -> None:
        """Begin a graceful shutdown: direct new requests to other entries.

        Returns once the load balancer has had time to detect it.
        """
        self._is_stopping = True
        self._stopping_since = boottime_s()
        self._log.write(
            Event.STOP_REQUESTED, jobs=self._dispatcher.open_job_count
        )
        await asyncio.sleep(BALANCER_DETECTION_S)

    async def drain(self) -> None:
        """Wait until all callers are answered, then abandon remaining jobs.

        The wait ends at most STOP_LIMIT_S after the shutdown began. Durable
        jobs are not abandoned.
        """
        ends_at = self._stopping_since + STOP_LIMIT_S
        while self._callers and boottime_s() < ends_at:
            await asyncio.sleep(STOP_POLL_S)
        self._decide(self._dispatcher.abandon_all)

    async def close(self) -> None:
        """Stop all work and close all streams."""
        await self._durable_jobs.close()
        await self._tasks.close()
        for stream in self._streams.values():
            await stream.close()
        self._log.write(Event.PROCESS_STOPPED)

    def submit(
        self, job_id: JobId, queue: Queue, spec: JobSpec, wait_s: float
    ) -> asyncio.Future[AnswerJob]:
        """Submit a job that isn't durable.

        :param job_id: the identifier that the caller chose.
        :param queue: the queue that the job is submitted to.
        :param spec: the steps to run.
        :param wait_s: how long the caller waits.
        :returns: the answer; each submission of a job gets its own future.
        """
        future: asyncio.Future[AnswerJob] = asyncio.Future()
        self._callers.setdefault(job_id, []).append(future)
        self._decide(self._dispatcher.submit, job_id, queue, spec, wait_s)
        return future

    def withdraw_caller(
        self, job_id: JobId, future: asyncio.Future[AnswerJob]
    ) -> None:
        """Withdraw a disconnected caller; cancel the job with the last one.

        :param job_id: the caller's job.
        :param future: the caller's answer, which is no longer awaited.
        """
        waiting = self._callers.get(job_id, [])
        if future in waiting:
            waiting.remove(future)
        if waiting or job_id not in self._callers:
            return
        del self._callers[job_id]
        self._decide(self._dispatcher.remove_job, job_id)

    def state_of(self, job_id: JobId) -> JobState | None:
        """Return the state of an open job; none if it isn't open here."""
        return self._dispatcher.state_of(job_id)

    def cancel_job(self, job_id: JobId) -> None:
        """Cancel a job that isn't durable and answer its callers."""
        self._decide(self._dispatcher.cancel_job, job_id)

    async def submit_durable(
        self, job_id: JobId, queue: Queue, spec: JobSpec, wait_s: float
    ) -> AnswerJob:
        """Submit a durable job and wait until it is stored.

        :param job_id: the identifier that the caller chose.
        :param queue: the queue that the job is submitted to.
        :param spec: the steps to run.
        :param wait_s: how long the caller waits.
        :returns: the answer; UNFINISHED if the job may or may not be stored.
        """
        predicted_wait_s = self._dispatcher.too_late_wait_s(
            queue, spec, boottime_s()
        )
        if predicted_wait_s is not None:
            self._log.write(
                Event.JOB_HOPELESS,
                job=job_id,
                wait_s=round(predicted_wait_s, 3),
            )
            return await self._reject_durable(job_id, predicted_wait_s)
        future = self._durable_jobs.submit_durable(job_id, queue, spec)
        try:
            async with asyncio.timeout(wait_s):
                outcome = await future
        except TimeoutError:
            outcome = StorageOutcome.UNKNOWN
        return AnswerJob(job_id, SUBMIT_OUTCOMES[outcome], retry_after_s(0))

    async def _reject_durable(self, job_id: JobId, wait_s: float) -> AnswerJob:
        """Reject a durable job that would end too late, unless it is stored.

        An earlier submission may have stored it. While the store is
        unavailable, the answer must not say that the job will not run.

        :param job_id: the job.
        :param wait_s: its predicted wait, in seconds.
        :returns: the answer.
        """
        outcome = JobOutcome.UNFINISHED
        try:
            state = await self._durable_jobs.state_of(job_id)
            outcome = JobOutcome.STORED if state else JobOutcome.NOT_RUN
        except FulmarError as error:
            self._log.write(
                Event.STORE_LOST, table=RECORD_TABLE, detail=error.detail
            )
        return AnswerJob(job_id, outcome, retry_after_s(wait_s))

    def start_durable_job(
        self, job_id: JobId, record: DurableJobRecord
    ) -> None:
        """Run a durable job from its stored record."""
        self._decide(self._dispatcher.start_durable_job, job_id, record)

    def change_owner_epoch(self, job_id: JobId, owner_epoch: int) -> None:
        """Continue a durable job under a new owner epoch, now stored."""
        self._decide(self._dispatcher.change_owner_epoch, job_id, owner_epoch)

    def stop_durable_job(self, job_id: JobId) -> None:
        """Stop the runs of a durable job and remove it from the dispatcher."""
        self._decide(self._dispatcher.remove_job, job_id)

    def acknowledge_completions(
        self, agent: str, acks: tuple[CompletionAck, ...]
    ) -> None:
        """Send acknowledgements of completions to an agent."""
        self._decide(self._dispatcher.acknowledge_completions, agent, acks)

    def review_completions(self) -> None:
        """Process the completions again that agents hold for other jobs."""
        self._decide(self._dispatcher.review_completions)

    def pending(self) -> dict[str, int]:
        """Return the number of durable jobs not yet started, by queue."""
        return self._dispatcher.pending()

    def set_durable_jobs_exist(self, *, exist: bool) -> None:
        """Set whether any durable jobs exist, and report it to the agents."""
        self._dispatcher.set_durable_jobs_exist(exist=exist)

    def adopt_site_config(self, site: SiteConfig) -> None:
        """Adopt a site configuration, if it is newer."""
        self._decide(self._dispatcher.adopt_site_config, site)

    def confirm_site_config(self) -> None:
        """Record that the store has no newer configuration."""
        self._decide(self._dispatcher.confirm_site_config)

    def update_agents(self, agents: tuple[AnnouncedAgent, ...]) -> None:
        """Update the list of announced agents."""
        self._decide(self._dispatcher.update_agents, agents)

    def open_agent(
        self, outgoing: MessageQueue[EntryMessage], name: str
    ) -> int:
        """Register a new stream to an agent.

        :param outgoing: the queue of messages to the agent.
        :param name: the agent's name.
        :returns: the number of the stream.
        """
        self._session_number += 1
        session = self._session_number
        self._sessions[session] = outgoing
        self._decide(self._dispatcher.open_agent, session, name)
        return session

    def receive_agent(self, session: int, message: AgentMessage) -> None:
        """Process a message of an agent."""
        if message.durable_jobs_exist:
            self._durable_jobs.activate()
        self._decide(self._dispatcher.receive_agent, session, message)

    def close_agent(self, session: int) -> None:
        """Remove a closed stream."""
        self._sessions.pop(session, None)
        self._decide(self._dispatcher.close_agent, session)

    def _decide(self, decide: Callable[..., list[Any]], *inputs: Any) -> None:
        super()._decide(decide, *inputs)
        if self._dispatcher.needs_flush and not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        """Do the deferred work of all inputs since the last flush."""
        self._is_flush_scheduled = False
        if self._dispatcher.needs_flush:
            self._decide(self._dispatcher.flush)

    def _tick_pause_s(self, now: float) -> float:
        return self._dispatcher.tick_pause_s(now)

    def _perform(self, actions: list[DispatchAction]) -> None:
        for action in actions:
            match action:
                case SendEntryMessage():
                    outgoing = self._sessions.get(action.session)
                    if outgoing is not None:
                        outgoing.put(action.message)
                case OpenAgentStream():
                    self._close_stream(action.name)
                    stream = AgentStream(
                        action.name, action.address, self, self._log
                    )
                    self._streams[action.name] = stream
                    stream.start()
                case CloseAgentStream():
                    self._close_stream(action.name)
                case AnswerJob():
                    self._resolve_callers(action)
                case StoreCompletion():
                    self._durable_jobs.process_completion(
                        action.agent,
                        action.completion,
                        is_counted=action.is_counted,
                    )
                case AdvanceOwnerEpoch():
                    self._durable_jobs.advance_owner_epoch(
                        action.job_id, action.crashes
                    )
                case CloseDurableJob():
                    state = DURABLE_STATES[action.outcome]
                    self._durable_jobs.finalize_job(
                        action.job_id, state, action.code
                    )
                case LogDispatchDecision():
                    self._log.write(action.event, **action.fields)

    def _close_stream(self, name: str) -> None:
        """Close the stream to an agent, if there is one."""
        stream = self._streams.pop(name, None)
        if stream is not None:
            self._tasks.run_once(stream.close())

    def _gauges(self) -> dict[str, float]:
        """Return the current gauge values by name."""
        fleet = self._dispatcher.fleet
        connected = sum(view.session is not None for view in fleet.views)
        return {
            "jobs": self._dispatcher.open_job_count,
            "agents": connected,
            "targets_uneven": fleet.speeds.is_uneven,
            "targets_of_known_speed": len(fleet.speeds.known_speeds),
            "configuration_version": self.site.configuration_version,
            "configuration_age_seconds": self.site_age_s,
        }

    def _resolve_callers(self, action: AnswerJob) -> None:
        """Pass the answer of a job to its callers."""
        self._response_times.observe(action.took_s)
        for future in self._callers.pop(action.job_id, []):
            if not future.done():
                future.set_result(action)
