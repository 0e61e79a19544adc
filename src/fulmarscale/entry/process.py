"""Runs an entry's state machine over streams, the table and HTTP calls."""

from __future__ import annotations

import asyncio
from random import SystemRandom
import time
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.background import BackgroundTasks
from fulmarscale.control.actions import AnswerCaller
from fulmarscale.control.actions import AnswerOperator
from fulmarscale.control.actions import CloseSession
from fulmarscale.control.actions import EndProcess
from fulmarscale.control.actions import Log
from fulmarscale.control.actions import ReadTable
from fulmarscale.control.actions import RecordResponseTime
from fulmarscale.control.actions import SendAgent
from fulmarscale.control.actions import SendPeer
from fulmarscale.control.actions import WriteChange
from fulmarscale.control.actions import WriteEntryList
from fulmarscale.control.entry_list import Member
from fulmarscale.control.lease import INCARNATION_BITS
from fulmarscale.entry.core import EntryCore
from fulmarscale.entry.inputs import AgentAnnounced
from fulmarscale.entry.inputs import AgentClosed
from fulmarscale.entry.inputs import AgentReceived
from fulmarscale.entry.inputs import CallReceived
from fulmarscale.entry.inputs import ChangeRequested
from fulmarscale.entry.inputs import ChangeWritten
from fulmarscale.entry.inputs import DrainRequested
from fulmarscale.entry.inputs import EntryForgotten
from fulmarscale.entry.inputs import PeerReceived
from fulmarscale.entry.inputs import ShutdownRequested
from fulmarscale.entry.inputs import TableRead
from fulmarscale.entry.inputs import Tick
from fulmarscale.errors import FulmarError
from fulmarscale.errors import InvariantError
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event
from fulmarscale.ids import DataCentreName
from fulmarscale.ids import EntryId
from fulmarscale.ids import RequestId
from fulmarscale.metrics import EntryMetrics
from fulmarscale.settings import client_tls
from fulmarscale.settings import server_tls
from fulmarscale.settings import split_address
from fulmarscale.wire.messages import PeerEnvelope
from fulmarscale.wire.streams import AgentSendQueue
from fulmarscale.wire.streams import PeerStream
from fulmarscale.wire.streams import StreamServer
from fulmarscale.wire.streams import StreamServerHandler

if TYPE_CHECKING:
    from fulmarscale.control.actions import Action
    from fulmarscale.control.actions import ChangeResult
    from fulmarscale.control.actions import RowChange
    from fulmarscale.entry.inputs import EntryInput
    from fulmarscale.ids import CustomerName
    from fulmarscale.ids import SubmissionId
    from fulmarscale.listeners.http_admission import RequestAdmission
    from fulmarscale.logs import EventLog
    from fulmarscale.platform.table import TableClient
    from fulmarscale.settings import EntrySettings
    from fulmarscale.wire.messages import Announce
    from fulmarscale.wire.messages import CallKind
    from fulmarscale.wire.messages import FromAgent
    from fulmarscale.wire.messages import JobAnswer
    from fulmarscale.wire.messages import JobRequest

TICK_S: Final = 0.05
"""Time between ticks of the state machine."""

IDLE_STREAM_TIMEOUT_S: Final = 30.0
"""Time without use after which a stream to an unlisted entry is closed."""

TABLE_LOG_INTERVAL_S: Final = 10.0
"""The least time between log lines about table failures."""

REJECTION_DETAILS: Final = {
    ResultCode.ID_REUSED: (
        "the id was used for a submission with another body or customer"
    ),
    ResultCode.SUBMISSION_NOT_FOUND: (
        "the customer has no submission with this id"
    ),
}
"""The error detail for result codes with which owners reject requests."""

SHUTDOWN_TIMEOUT_S: Final = 75.0
"""Time after which a graceful shutdown is ended.

It is longer than the default limit of deadlines, 60 s.
"""


class EntryProcess(StreamServerHandler):
    """One entry process, without its HTTP server.

    It serves the project's own HTTP interface (`/v1/jobs`). The process for
    the users' platform is in `entry.jobs.process`.
    """

    def __init__(
        self,
        settings: EntrySettings,
        table: TableClient,
        log: EventLog,
        admission: RequestAdmission | None = None,
    ) -> None:
        self._settings = settings
        self._table = table
        self._log = log
        random = SystemRandom()
        scheme = "http" if settings.tls is None else "https"
        member = Member(
            entry=EntryId(settings.name, random.getrandbits(INCARNATION_BITS)),
            address=settings.stream_address,
            url=f"{scheme}://{settings.http_address}",
            data_centre=DataCentreName(settings.data_centre),
        )
        self._core = EntryCore(
            member, settings.timings, settings.limits, random
        )
        self._server = StreamServer(
            self, settings.secret, server_tls(settings.tls), admission
        )
        self._metrics = EntryMetrics(self._core, time.monotonic)
        self._peer_streams: dict[str, PeerStream] = {}
        self._sessions: dict[int, AgentSendQueue] = {}
        self._session_number = 0
        self._request_number = 0
        self._callers: dict[RequestId, asyncio.Future[AnswerCaller]] = {}
        self._operators: dict[RequestId, asyncio.Future[ChangeResult]] = {}
        self._tasks = BackgroundTasks(log)
        self._has_left = asyncio.Event()
        self._failed = asyncio.Event()
        self._is_stopping = False
        self._table_logged_at = float("-inf")

    @property
    def core(self) -> EntryCore:
        """The state machine."""
        return self._core

    @property
    def metrics(self) -> EntryMetrics:
        """The entry's metrics."""
        return self._metrics

    @property
    def waiting_caller_count(self) -> int:
        """The number of callers that wait for an answer."""
        return len(self._callers)

    @property
    def failed(self) -> asyncio.Event:
        """Set when the state machine has failed and processes no more events.

        The cause is a broken invariant or an unexpected error.
        """
        return self._failed

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers to this entry."""
        if self._is_stopping:
            return False
        return self._core.is_ready(time.monotonic())

    async def start(self) -> None:
        """Open the streams' listener and start to join the entry list."""
        await self._table.start()
        host, port = split_address(self._settings.stream_address)
        await self._server.start(host, port)
        self._tasks.run_forever(self._tick_forever)
        self._log.write(Event.PROCESS_STARTED)

    async def shut_down(self) -> None:
        """Shut down gracefully, after open requests are answered.

        It waits first while the load balancer stops sending callers. Requests
        still open 2 x HAND_OVER_TIMEOUT_S after the hand-over began, or after
        SHUTDOWN_TIMEOUT_S, are dropped.
        """
        self._is_stopping = True
        self._log.write(Event.STOP_REQUESTED)
        await asyncio.sleep(self._settings.drain_s)
        self.dispatch(ShutdownRequested())
        try:
            async with asyncio.timeout(SHUTDOWN_TIMEOUT_S):
                await self._has_left.wait()
        except TimeoutError:
            return

    async def close(self) -> None:
        """Stop all work and close all streams and connections."""
        await self._tasks.close()
        for stream in self._peer_streams.values():
            await stream.close()
        await self._server.close()
        await self._table.close()
        self._log.write(Event.PROCESS_STOPPED)

    async def call(
        self,
        operation: CallKind,
        submission_id: SubmissionId,
        customer: CustomerName,
        wait_s: float,
        job: JobRequest | None = None,
    ) -> JobAnswer:
        """Process a caller's request and return the answer.

        :param operation: whether to submit, show or cancel the submission.
        :param submission_id: the submission.
        :param customer: the customer that makes the request.
        :param wait_s: time until the answer is due.
        :param job: the job, for SUBMIT.
        :raises FulmarError: if the request is rejected.
        """
        request = self._next_request()
        future: asyncio.Future[AnswerCaller] = asyncio.Future()
        self._callers[request] = future
        try:
            self.dispatch(
                CallReceived(
                    request, operation, submission_id, customer, wait_s, job
                )
            )
            action = await future
        finally:
            del self._callers[request]
        if action.error is not None:
            raise FulmarError(
                action.error, self._describe_rejection(action.error)
            )
        assert action.answer is not None
        return action.answer

    async def change(self, change: RowChange) -> ChangeResult:
        """Apply an operator's configuration change and return the result."""
        request = self._next_request()
        future: asyncio.Future[ChangeResult] = asyncio.Future()
        self._operators[request] = future
        try:
            self.dispatch(ChangeRequested(request, change))
            return await future
        finally:
            del self._operators[request]

    @property
    def peer_stream_count(self) -> int:
        """The number of streams to other entries."""
        return len(self._peer_streams)

    async def close_unused_streams(self, now: float) -> None:
        """Close unused streams to entries that have left the list.

        :param now: monotonic time.
        """
        members = self._core.lease.entry_list.members
        addresses = {member.address for member in members}
        for address, stream in list(self._peer_streams.items()):
            unused_s = now - stream.last_used_at
            if address not in addresses and unused_s > IDLE_STREAM_TIMEOUT_S:
                del self._peer_streams[address]
                await stream.close()

    def set_agent_draining(self, name: str, *, draining: bool) -> None:
        """Make an agent stop or resume accepting new tasks.

        :raises FulmarError: ROW_NOT_FOUND if it is not connected.
        """
        views = self._core.dispatcher.connected_agents
        if not any(view.agent.name == name for view in views):
            raise FulmarError(
                ResultCode.ROW_NOT_FOUND,
                f"agent {name} is not connected to this entry",
            )
        self.dispatch(DrainRequested(name, draining))

    def forget_entry(self, name: str) -> None:
        """Join without the acknowledgement of an entry that is gone."""
        self.dispatch(EntryForgotten(name))

    def open_agent_session(
        self, outgoing: AgentSendQueue, announce: Announce
    ) -> int:
        """Register a new agent stream and return its number."""
        self._session_number += 1
        session = self._session_number
        self._sessions[session] = outgoing
        self.dispatch(AgentAnnounced(session, announce))
        return session

    def receive_agent_message(self, session: int, message: FromAgent) -> None:
        """Process an agent's message."""
        self.dispatch(AgentReceived(session, message))

    def close_agent_session(self, session: int) -> None:
        """Process the end of an agent stream."""
        if self._sessions.pop(session, None) is not None:
            self.dispatch(AgentClosed(session))

    def receive_peer_message(
        self, sender: Member, envelope: PeerEnvelope
    ) -> None:
        """Process another entry's message."""
        self.dispatch(PeerReceived(sender, envelope.to, envelope.message))

    def dispatch(self, event: EntryInput) -> None:
        """Process an event and carry out the resulting actions.

        After a failure of the state machine, events are ignored.
        """
        if self._failed.is_set():
            return
        try:
            actions = self._core.handle(event, time.monotonic())
        except InvariantError as error:
            self._log.write_error(Event.INVARIANT_BROKEN, error)
            self._failed.set()
            return
        except Exception as error:
            # The state may be inconsistent after an error part-way through
            # an event.
            self._log.write_error(Event.UNEXPECTED_ERROR, error)
            self._failed.set()
            raise
        for action in actions:
            self._perform(action)

    def _perform(self, action: Action) -> None:
        match action:
            case SendAgent():
                outgoing = self._sessions.get(action.session)
                if outgoing is not None:
                    outgoing.put(action.message)
            case SendPeer():
                self._send_peer(action)
            case AnswerCaller():
                _resolve(self._callers.get(action.request), action)
            case AnswerOperator():
                future = self._operators.get(action.request)
                _resolve(future, action.result)
            case ReadTable():
                self._tasks.run_once(self._read_table(action))
            case WriteEntryList():
                self._tasks.run_once(self._write_entry_list(action))
            case WriteChange():
                self._tasks.run_once(self._write_change(action.change))
            case CloseSession():
                outgoing = self._sessions.get(action.session)
                if outgoing is not None:
                    outgoing.close()
            case Log():
                self._log.write(action.event, **action.fields)
            case RecordResponseTime():
                self._metrics.record_ratio_to_ideal(
                    action.customer, action.ratio_to_ideal
                )
            case EndProcess():
                self._has_left.set()

    def _describe_rejection(self, code: ResultCode) -> str:
        """Return the error detail for a request that the owner rejected."""
        if code is not ResultCode.ID_IN_FUTURE:
            return REJECTION_DETAILS.get(
                code, "the owner of the submission rejected the request"
            )
        wall_time_s = self._core.lease.wall_time_s(time.monotonic())
        return f"the id's time is ahead of the platform's, {wall_time_s:.3f}"

    def _send_peer(self, action: SendPeer) -> None:
        stream = self._peer_streams.get(action.to.address)
        if stream is None:
            stream = PeerStream(
                action.to.address,
                self._settings.secret,
                client_tls(self._settings.tls),
                self._log,
            )
            self._peer_streams[action.to.address] = stream
            stream.start()
        envelope = PeerEnvelope(action.to.entry, action.message)
        stream.put(self._core.lease.member, envelope)

    async def _read_table(self, action: ReadTable) -> None:
        try:
            snapshot = await self._table.read(
                action.started_at, action.configuration_version
            )
        except FulmarError as error:
            self._log_table_failure(error)
            return
        self.dispatch(TableRead(snapshot))

    async def _write_entry_list(self, action: WriteEntryList) -> None:
        try:
            await self._table.write_entry_list(
                action.expected_version, action.members
            )
        except FulmarError as error:
            # The write may have taken effect, which the next read shows.
            self._log_table_failure(error)
        configuration_version = self._core.lease.configuration.version
        await self._read_table(
            ReadTable(time.monotonic(), configuration_version)
        )

    async def _write_change(self, change: RowChange) -> None:
        try:
            result = await self._table.write_change(change)
        except FulmarError as error:
            self._log_table_failure(error)
            self.dispatch(ChangeWritten(change.change_id, None))
            return
        self.dispatch(ChangeWritten(change.change_id, result))

    async def _tick_forever(self) -> None:
        while True:
            self.dispatch(Tick())
            await self.close_unused_streams(time.monotonic())
            await asyncio.sleep(TICK_S)

    def _log_table_failure(self, error: FulmarError) -> None:
        now = time.monotonic()
        if now - self._table_logged_at < TABLE_LOG_INTERVAL_S:
            return
        self._table_logged_at = now
        self._log.write(Event.TABLE_FAILED, detail=error.detail)

    def _next_request(self) -> RequestId:
        self._request_number += 1
        return RequestId(self._request_number)


def _resolve(future: asyncio.Future[Any] | None, value: object) -> None:
    if future is not None and not future.done():
        future.set_result(value)
