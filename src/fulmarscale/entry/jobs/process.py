"""Connects the dispatcher to callers, agents and the clock."""

from __future__ import annotations

import asyncio
from random import SystemRandom
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.control.lease import INCARNATION_BITS
from fulmarscale.entry.jobs.actions import AnswerJob
from fulmarscale.entry.jobs.actions import CloseKeptJob
from fulmarscale.entry.jobs.actions import JobOutcome
from fulmarscale.entry.jobs.actions import JoinAgent
from fulmarscale.entry.jobs.actions import LeaveAgent
from fulmarscale.entry.jobs.actions import LogDecision
from fulmarscale.entry.jobs.actions import RenewTenure
from fulmarscale.entry.jobs.actions import SendOrders
from fulmarscale.entry.jobs.actions import TakeKeptEnd
from fulmarscale.entry.jobs.desk import JobDesk
from fulmarscale.entry.jobs.dispatcher import Dispatcher
from fulmarscale.entry.jobs.dispatcher import retry_after_s
from fulmarscale.entry.kept.actions import KeepOutcome
from fulmarscale.entry.kept.process import JobRunner
from fulmarscale.entry.kept.process import KeeperProcess
from fulmarscale.entry.kept.record import KeptState
from fulmarscale.entry.kept.record import RECORD_TABLE
from fulmarscale.errors import FulmarError
from fulmarscale.events import Event
from fulmarscale.ids import EntryId
from fulmarscale.runs.clock import steady_s
from fulmarscale.runs.driver import TickingDriver
from fulmarscale.runs.metrics import SiteMetrics
from fulmarscale.runs.metrics import SpanHistogram
from fulmarscale.runs.streams import AgentStream
from fulmarscale.runs.streams import AgentStreamHandler

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarscale.entry.jobs.actions import DispatchAction
    from fulmarscale.entry.jobs.actions import JobState
    from fulmarscale.entry.jobs.subset import KnownAgent
    from fulmarscale.entry.kept.record import JobRecord
    from fulmarscale.entry.kept.rows import RowTable
    from fulmarscale.logs import EventLog
    from fulmarscale.runs.messages import AgentMessage
    from fulmarscale.runs.messages import EndReceipt
    from fulmarscale.runs.messages import EntryMessage
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import JobSpec
    from fulmarscale.runs.site_state import Queue
    from fulmarscale.runs.site_state import SiteState
    from fulmarscale.runs.streams import MessageQueue

TICK_S: Final = 0.05
"""Time between looks at whether all callers were answered, at a stop."""

KEEP_OUTCOMES: Final = {
    KeepOutcome.STORED: JobOutcome.STORED,
    KeepOutcome.REFUSED: JobOutcome.NOT_RUN,
    KeepOutcome.UNKNOWN: JobOutcome.UNFINISHED,
}

CLOSED_STATES: Final = {
    JobOutcome.COMPLETED: KeptState.COMPLETED,
    JobOutcome.FAILED: KeptState.FAILED,
}

NOT_READY_S: Final = 2.2
"""How long the balancer may take to see that the entry is not ready.

It asks once a second and turns away after two misses.
"""

STOP_LIMIT_S: Final = 5.4
"""How long a planned stop may take; the platform kills after 6 s."""


class DispatchProcess(TickingDriver, AgentStreamHandler, JobDesk, JobRunner):
    """One entry process, without its HTTP side."""

    def __init__(
        self, name: str, data_centre: str, rows: RowTable, log: EventLog
    ) -> None:
        super().__init__(log)
        incarnation = SystemRandom().getrandbits(INCARNATION_BITS)
        entry = EntryId(name, incarnation)
        self._dispatcher = Dispatcher(entry, data_centre)
        self._keeper = KeeperProcess(entry, rows, self, log)
        self._streams: dict[str, AgentStream] = {}
        self._sessions: dict[int, MessageQueue[EntryMessage]] = {}
        self._session_number = 0
        self._callers: dict[JobId, list[asyncio.Future[AnswerJob]]] = {}
        self._response = SpanHistogram(
            "fulmarscale_response_seconds",
            "Time from a job's arrival to its answer.",
        )
        self._metrics = SiteMetrics(log, self._levels, (self._response,))
        self._will_settle = False
        self._is_stopping = False
        self._stopping_since = 0.0

    @property
    def dispatcher(self) -> Dispatcher:
        """The decisions."""
        return self._dispatcher

    @property
    def metrics(self) -> SiteMetrics:
        """The entry's metrics."""
        return self._metrics

    @property
    def keeper(self) -> KeeperProcess:
        """The jobs that are kept."""
        return self._keeper

    @property
    def site(self) -> SiteState:
        """What operators have set."""
        return self._dispatcher.site

    @property
    def is_stopping(self) -> bool:
        """Whether callers should go elsewhere with their next request."""
        return self._is_stopping

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return not self._is_stopping and self._dispatcher.is_ready

    def start(self) -> None:
        """Begin to decide."""
        self._spawn(self._tick_forever(self._dispatcher.tick))
        self._keeper.start()
        self._log.write(Event.PROCESS_STARTED)

    async def turn_away(self) -> None:
        """Tell the balancer and callers to go to other entries."""
        self._is_stopping = True
        self._stopping_since = steady_s()
        self._log.write(Event.STOP_REQUESTED, jobs=self._dispatcher.jobs)
        await asyncio.sleep(NOT_READY_S)

    async def finish(self) -> None:
        """Answer those who are still here, whatever there is to say."""
        ends_at = self._stopping_since + STOP_LIMIT_S
        while self._callers and steady_s() < ends_at:
            await asyncio.sleep(TICK_S)
        self._decide(self._dispatcher.give_up_all)

    async def close(self) -> None:
        """End all streams."""
        await self._keeper.close()
        await self._end_tasks()
        for stream in self._streams.values():
            await stream.close()
        self._log.write(Event.PROCESS_STOPPED)

    def submit(
        self, job_id: JobId, queue: Queue, spec: JobSpec, wait_s: float
    ) -> asyncio.Future[AnswerJob]:
        """Take in a job; each attempt gets a future of its own."""
        future: asyncio.Future[AnswerJob] = asyncio.Future()
        self._callers.setdefault(job_id, []).append(future)
        self._decide(self._dispatcher.submit, job_id, queue, spec, wait_s)
        return future

    def leave(self, job_id: JobId, future: asyncio.Future[AnswerJob]) -> None:
        """Note that a caller has left; the last one takes the job along."""
        waiting = self._callers.get(job_id, [])
        if future in waiting:
            waiting.remove(future)
        if waiting or job_id not in self._callers:
            return
        del self._callers[job_id]
        self._decide(self._dispatcher.cancel, job_id)

    def state_of(self, job_id: JobId) -> JobState | None:
        """Tell how far a job is that has no answer yet."""
        return self._dispatcher.state_of(job_id)

    def revoke(self, job_id: JobId) -> None:
        """Cancel a job at a caller's wish."""
        self._decide(self._dispatcher.revoke, job_id)

    async def keep(
        self, job_id: JobId, queue: Queue, spec: JobSpec, wait_s: float
    ) -> AnswerJob:
        """Take in a job that is to be kept, and wait until it is stored."""
        wait = self._dispatcher.hopeless_wait_s(queue, spec, steady_s())
        if wait is not None:
            self._log.write(
                Event.JOB_HOPELESS, job=job_id, wait_s=round(wait, 3)
            )
            return await self._refuse_kept(job_id, wait)
        future = self._keeper.keep(job_id, queue, spec)
        try:
            async with asyncio.timeout(wait_s):
                outcome = await future
        except TimeoutError:
            outcome = KeepOutcome.UNKNOWN
        return AnswerJob(job_id, KEEP_OUTCOMES[outcome], retry_after_s(0))

    async def _refuse_kept(self, job_id: JobId, wait_s: float) -> AnswerJob:
        """Refuse a job that can't be served, unless it is stored already.

        A caller's earlier attempt may have been; if the store can't tell,
        nobody may say that the job will not run.
        """
        outcome = JobOutcome.UNFINISHED
        try:
            state = await self._keeper.state_of(job_id)
            outcome = JobOutcome.STORED if state else JobOutcome.NOT_RUN
        except FulmarError as error:
            self._log.write(
                Event.STORE_LOST, table=RECORD_TABLE, detail=error.detail
            )
        return AnswerJob(job_id, outcome, retry_after_s(wait_s))

    def begin_kept(self, job_id: JobId, record: JobRecord) -> None:
        """Run a stored job."""
        self._decide(self._dispatcher.begin_kept, job_id, record)

    def change_tenure(self, job_id: JobId, tenure: int) -> None:
        """Go on with a job under a new tenure, which is stored."""
        self._decide(self._dispatcher.change_tenure, job_id, tenure)

    def drop_kept(self, job_id: JobId) -> None:
        """Stop what runs of a job."""
        self._decide(self._dispatcher.cancel, job_id)

    def settle_ends(
        self, agent: str, receipts: tuple[EndReceipt, ...]
    ) -> None:
        """Tell an agent what became of ends that it holds."""
        self._decide(self._dispatcher.settle_ends, agent, receipts)

    def pending(self) -> dict[str, int]:
        """Count kept jobs of which no task has begun, by queue."""
        return self._dispatcher.pending()

    def note_kept_jobs(self, *, is_any: bool) -> None:
        """Note whether any jobs are kept at all."""
        self._dispatcher.note_kept_jobs(is_any=is_any)

    def adopt_site(self, site: SiteState) -> None:
        """Take in what operators have set."""
        self._decide(self._dispatcher.adopt_site, site)

    def follow_agents(self, agents: tuple[KnownAgent, ...]) -> None:
        """Take in all agents that announced themselves."""
        self._decide(self._dispatcher.know_agents, agents)

    def open_agent(
        self, outgoing: MessageQueue[EntryMessage], name: str
    ) -> int:
        """Take in a new stream."""
        self._session_number += 1
        session = self._session_number
        self._sessions[session] = outgoing
        self._decide(self._dispatcher.open_agent, session, name)
        return session

    def receive_agent(self, session: int, message: AgentMessage) -> None:
        """Take in a message."""
        self._decide(self._dispatcher.receive_agent, session, message)

    def close_agent(self, session: int) -> None:
        """Note the end of a stream."""
        self._sessions.pop(session, None)
        self._decide(self._dispatcher.close_agent, session)

    def _decide(self, decide: Callable[..., list[Any]], *inputs: Any) -> None:
        super()._decide(decide, *inputs)
        if self._dispatcher.is_unsettled and not self._will_settle:
            self._will_settle = True
            asyncio.get_running_loop().call_soon(self._settle)

    def _settle(self) -> None:
        self._will_settle = False
        if self._dispatcher.is_unsettled:
            self._decide(self._dispatcher.settle)

    def _tick_pause_s(self, now: float) -> float:
        return self._dispatcher.tick_pause_s(now)

    def _perform(self, actions: list[DispatchAction]) -> None:
        for action in actions:
            match action:
                case SendOrders():
                    outgoing = self._sessions.get(action.session)
                    if outgoing is not None:
                        outgoing.put(action.message)
                case JoinAgent():
                    self._close_stream(action.name)
                    stream = AgentStream(action.name, action.address, self)
                    self._streams[action.name] = stream
                    stream.start()
                case LeaveAgent():
                    self._close_stream(action.name)
                case AnswerJob():
                    self._answer(action)
                case TakeKeptEnd():
                    self._keeper.take_end(
                        action.agent, action.end, is_counted=action.is_counted
                    )
                case RenewTenure():
                    self._keeper.renew_tenure(action.job_id)
                case CloseKeptJob():
                    state = CLOSED_STATES[action.outcome]
                    self._keeper.close_job(action.job_id, state)
                case LogDecision():
                    self._log.write(action.event, **action.fields)

    def _close_stream(self, name: str) -> None:
        stream = self._streams.pop(name, None)
        if stream is not None:
            self._spawn(stream.close())

    def _levels(self) -> dict[str, float]:
        views = self._dispatcher.agents
        connected = sum(view.session is not None for view in views)
        return {
            "jobs": self._dispatcher.jobs,
            "agents": connected,
            "configuration_version": self.site.configuration_version,
        }

    def _answer(self, action: AnswerJob) -> None:
        self._response.note(action.took_s)
        for future in self._callers.pop(action.job_id, []):
            if not future.done():
                future.set_result(action)
