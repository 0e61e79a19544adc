"""Runs an agent for the project's own protocol.

Connects the decisions of `core` to the streams to entries, the target and the
platform's table. `run_process` is the counterpart for the users' platform.
"""

from __future__ import annotations

import asyncio
from random import SystemRandom
import time
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.agent.actions import Drained
from fulmarscale.agent.actions import Log
from fulmarscale.agent.actions import SendToEntry
from fulmarscale.agent.actions import StartTask
from fulmarscale.agent.actions import StopTask
from fulmarscale.agent.actions import SyncEntryStreams
from fulmarscale.agent.core import AgentCore
from fulmarscale.agent.inputs import EntryClosed
from fulmarscale.agent.inputs import EntryListRead
from fulmarscale.agent.inputs import EntryOpened
from fulmarscale.agent.inputs import EntryReceived
from fulmarscale.agent.inputs import StopRequested
from fulmarscale.agent.inputs import TaskCompleted
from fulmarscale.agent.inputs import Tick
from fulmarscale.background import BackgroundTasks
from fulmarscale.control.lease import INCARNATION_BITS
from fulmarscale.errors import FulmarError
from fulmarscale.errors import InvariantError
from fulmarscale.errors import Outcome
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event
from fulmarscale.ids import AgentId
from fulmarscale.ids import AgentName
from fulmarscale.ids import DataCentreName
from fulmarscale.settings import client_tls
from fulmarscale.wire.messages import Announce
from fulmarscale.wire.messages import TaskResult
from fulmarscale.wire.streams import EntryStream
from fulmarscale.wire.streams import EntryStreamClientHandler

if TYPE_CHECKING:
    from fulmarscale.agent.actions import AgentAction
    from fulmarscale.agent.inputs import AgentInput
    from fulmarscale.agent.target_client import TargetClient
    from fulmarscale.ids import TaskRef
    from fulmarscale.logs import EventLog
    from fulmarscale.platform.table import TableClient
    from fulmarscale.settings import AgentSettings
    from fulmarscale.wire.messages import ToAgent

TICK_INTERVAL_S: Final = 0.05
"""Interval between `Tick` events.

Also the interval of checks whether all messages were sent.
"""

TARGET_POLL_S: Final = 1.0
"""Interval between polls of the target."""

DISCONNECTED_POLL_S: Final = 0.25
"""Interval between polls of the target while no stream is kept open."""

DRAIN_TIMEOUT_S: Final = 75.0
"""How long a graceful shutdown may take; longer than any deadline."""

FLUSH_TIMEOUT_S: Final = 2.0
"""How long a stopping agent waits until its last messages are sent."""


class AgentProcess(EntryStreamClientHandler):
    """The driver of one agent: performs its actions, passes events to it."""

    def __init__(
        self,
        settings: AgentSettings,
        table: TableClient,
        target: TargetClient,
        log: EventLog,
    ) -> None:
        self._settings = settings
        self._table = table
        self._target = target
        self._log = log
        agent = AgentId(
            AgentName(settings.name),
            SystemRandom().getrandbits(INCARNATION_BITS),
        )
        self._core = AgentCore(
            agent,
            DataCentreName(settings.data_centre),
            settings.timings,
            settings.records,
        )
        self._streams: dict[str, EntryStream] = {}
        """Streams that are kept open, by the entry's address."""
        self._sessions: dict[int, EntryStream] = {}
        """Streams that are connected, by number."""
        self._session_number = 0
        self._running_tasks: dict[TaskRef, asyncio.Task[None]] = {}
        """The call to the target for each running task."""
        self._tasks = BackgroundTasks(log)
        self._drained = asyncio.Event()
        self._failed = asyncio.Event()

    @property
    def failed(self) -> asyncio.Event:
        """Set when `core` raised an exception: the process has to exit."""
        return self._failed

    async def start(self) -> None:
        """Open the table and the target, and begin to poll both."""
        await self._table.start()
        await self._target.start()
        self._log.write(Event.PROCESS_STARTED)
        self._tasks.run_forever(self._poll_forever)
        self._tasks.run_forever(self._tick_forever)

    async def drain(self) -> None:
        """Shut down gracefully: wait until no task runs and results are sent.

        Each of the two waits has its own time limit.
        """
        self.dispatch(StopRequested())
        try:
            async with asyncio.timeout(DRAIN_TIMEOUT_S):
                await self._drained.wait()
            async with asyncio.timeout(FLUSH_TIMEOUT_S):
                await self._wait_until_flushed()
        except TimeoutError:
            return

    async def close(self) -> None:
        """Cancel all work and close all streams and connections."""
        for task in self._running_tasks.values():
            task.cancel()
        await self._tasks.close()
        for stream in self._streams.values():
            await stream.close()
        await self._target.close()
        await self._table.close()
        self._log.write(Event.PROCESS_STOPPED)

    def open_entry_session(self, stream: EntryStream, address: str) -> int:
        """Register a new stream.

        :returns: the number of the stream.
        """
        self._session_number += 1
        session = self._session_number
        self._sessions[session] = stream
        self.dispatch(EntryOpened(session, address))
        return session

    def receive_entry_message(self, session: int, message: ToAgent) -> None:
        """Handle an entry's message."""
        if session in self._sessions:
            self.dispatch(EntryReceived(session, message))

    def close_entry_session(self, session: int) -> None:
        """Remove a closed stream."""
        if self._sessions.pop(session, None) is not None:
            self.dispatch(EntryClosed(session))

    def dispatch(self, event: AgentInput) -> None:
        """Pass an event to `core` and perform the actions that it returns."""
        if self._failed.is_set():
            return
        now = time.monotonic()
        try:
            actions = self._core.handle(event, now)
        except InvariantError as error:
            self._log.write_error(Event.INVARIANT_BROKEN, error)
            self._failed.set()
            return
        except Exception as error:
            # The state of the decisions may be inconsistent after an
            # exception.
            self._log.write_error(Event.UNEXPECTED_ERROR, error)
            self._failed.set()
            raise
        for action in actions:
            self._perform(action, now)

    def _perform(self, action: AgentAction, now: float) -> None:
        match action:
            case SendToEntry():
                stream = self._sessions.get(action.session)
                if stream is not None:
                    stream.put(action.message)
            case StartTask():
                run = asyncio.create_task(self._run_task(action, now))
                self._running_tasks[action.task] = run
            case StopTask():
                run_or_none = self._running_tasks.get(action.task)
                if run_or_none is not None:
                    run_or_none.cancel()
            case SyncEntryStreams():
                addresses = {m.address for m in action.members}
                self._tasks.run_once(self._sync_streams(addresses))
            case Log():
                self._log.write(action.event, **action.fields)
            case Drained():
                self._drained.set()

    async def _run_task(self, start: StartTask, decided_at: float) -> None:
        try:
            completed = await self._target.run(start, decided_at)
        except asyncio.CancelledError:
            completed = TaskCompleted(
                TaskResult(
                    task=start.task,
                    outcome=Outcome.FAILED,
                    code=ResultCode.TASK_STOPPED,
                    result=b"",
                    run_s=0.0,
                )
            )
        self._running_tasks.pop(start.task, None)
        self.dispatch(completed)

    async def _poll_forever(self) -> None:
        """Poll the target and, while no entry is connected, the entry list."""
        while True:
            polled = await self._target.poll()
            self.dispatch(polled)
            wait_s = TARGET_POLL_S if self._streams else DISCONNECTED_POLL_S
            if not self._sessions:
                await self._read_entry_list()
            await asyncio.sleep(wait_s)

    async def _read_entry_list(self) -> None:
        try:
            snapshot = await self._table.read(None, 1 << 62)
        except FulmarError as error:
            self._log.write(Event.TABLE_FAILED, detail=error.detail)
            return
        self.dispatch(EntryListRead(snapshot.entry_list))

    async def _sync_streams(self, addresses: set[str]) -> None:
        for address in sorted(set(self._streams) - addresses):
            await self._streams.pop(address).close()
        for address in sorted(addresses - set(self._streams)):
            stream = EntryStream(
                address,
                self._make_announcement(),
                self,
                client_tls(self._settings.tls),
                self._log,
            )
            self._streams[address] = stream
            stream.start()

    def _make_announcement(self) -> Announce:
        return Announce(
            agent=self._core.agent,
            data_centre=DataCentreName(self._settings.data_centre),
            kinds=self._settings.kinds,
            secret=self._settings.secret,
        )

    async def _wait_until_flushed(self) -> None:
        while not all(s.is_idle for s in self._sessions.values()):
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _tick_forever(self) -> None:
        while True:
            self.dispatch(Tick())
            await asyncio.sleep(TICK_INTERVAL_S)
