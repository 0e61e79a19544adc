"""Runs an agent for the users' platform.

Connects the decisions of `run_guard` to the streams of entries, the target and
the clock. `process` is the counterpart for the project's own protocol.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import SystemRandom
from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.agent.run_actions import CloseStream
from fulmarscale.agent.run_actions import ListRuns
from fulmarscale.agent.run_actions import LogRunDecision
from fulmarscale.agent.run_actions import SendMessage
from fulmarscale.agent.run_actions import StartRun
from fulmarscale.agent.run_actions import StopRun
from fulmarscale.agent.run_guard import RunGuard
from fulmarscale.agent.run_target_client import TargetUnreachableError
from fulmarscale.control.lease import INCARNATION_BITS
from fulmarscale.events import Event
from fulmarscale.runs.clock import boottime_s
from fulmarscale.runs.driver import TickingDriver
from fulmarscale.runs.metrics import DurationHistogram
from fulmarscale.runs.metrics import ProcessMetrics
from fulmarscale.runs.streams import EntryStreamHandler
from fulmarscale.runs.streams import RunStreamServer

if TYPE_CHECKING:
    from fulmarscale.agent.run_actions import RunAction
    from fulmarscale.agent.run_target_client import RunTargetClient
    from fulmarscale.ids import EntryId
    from fulmarscale.listeners.http_admission import RequestAdmission
    from fulmarscale.logs import EventLog
    from fulmarscale.runs.messages import AgentMessage
    from fulmarscale.runs.messages import EntryMessage
    from fulmarscale.runs.model import TargetIncarnation
    from fulmarscale.runs.model import TargetReport
    from fulmarscale.runs.site_config import SiteConfig
    from fulmarscale.runs.streams import MessageQueue

POLL_INTERVAL_S: Final = 0.05
"""Interval at which a loop polls the condition that it waits for."""

RENEW_WAIT_S: Final = 0.25
"""How long the target may wait for a completion before it responds.

Applies to requests that renew the lease and list all runs.
"""

LOSSY_RENEW_WAIT_S: Final = 0.05
"""The same while requests to the target go unanswered.

Completions are not known until an unanswered renewal has timed out.
"""

MAX_FAILED_RENEWALS: Final = 2
"""Consecutive failed renewals after which a target is unavailable.

A single one may have met a lost response or a connection that was idle for
too long.
"""

IDLE_POLL_S: Final = 1.0
"""Interval between polls of a target on which nothing runs.

At this rate, entries in most cases know that a target does not respond before
they send a start request.
"""

UNREACHABLE_RETRY_S: Final = 0.05
"""Pause before a target that did not respond is polled again."""

UNACKNOWLEDGED_POLL_S: Final = 0.01
"""Pause between polls while completions are unacknowledged.

A task takes 50 ms and more.
"""

SHUTDOWN_TIMEOUT_S: Final = 5.0
"""How long a graceful shutdown waits for runs to end.

The platform kills the process after 6 s.
"""


class RunProcess(TickingDriver, EntryStreamHandler):
    """The driver of one agent, without its HTTP endpoints."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        target: RunTargetClient,
        log: EventLog,
        admission: RequestAdmission | None = None,
    ) -> None:
        super().__init__(log)
        incarnation = SystemRandom().getrandbits(INCARNATION_BITS)
        self._guard = RunGuard(name, data_centre, incarnation)
        self._target = target
        self._server = RunStreamServer(self, admission)
        self._sessions: dict[int, MessageQueue[AgentMessage]] = {}
        """The outgoing messages of each stream, by its number."""
        self._session_number = 0
        self._failed_renewals = 0
        """Renewals that have failed since the last response."""
        self._renew_now = asyncio.Event()
        """Set when an idle target has to be polled at once."""
        self._start_durations = DurationHistogram(
            "fulmarscale_start_seconds",
            "Time from a start order to the target's answer.",
        )
        self._metrics = ProcessMetrics(
            log, self._gauge_values, (self._start_durations,)
        )

    @property
    def guard(self) -> RunGuard:
        """The run guard, which makes the decisions."""
        return self._guard

    @property
    def metrics(self) -> ProcessMetrics:
        """The agent's metrics."""
        return self._metrics

    async def start(self, host: str, port: int) -> None:
        """Listen for entries and begin to renew the target's lease."""
        await self._server.start(host, port)
        self._tasks.run_forever(lambda: self._tick_forever(self._guard.tick))
        self._tasks.run_forever(self._renew_forever)
        self._log.write(Event.PROCESS_STARTED)

    async def shut_down(self) -> None:
        """Shut down gracefully: reject new runs and wait for the others.

        Waits for SHUTDOWN_TIMEOUT_S at most, also for completions to be
        acknowledged.
        """
        self._log.write(Event.STOP_REQUESTED, runs=self._guard.run_count)
        self._decide(self._guard.begin_shutdown)
        deadline_at = boottime_s() + SHUTDOWN_TIMEOUT_S
        while (
            self._guard.run_count or self._guard.unacknowledged_count
        ) and boottime_s() < deadline_at:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """Close all streams and connections."""
        await self._tasks.close()
        await self._server.close()
        await self._target.close()
        self._log.write(Event.PROCESS_STOPPED)

    def record_heartbeat(self, report: TargetReport, sequence: int) -> None:
        """Record a heartbeat of the target."""
        self._decide(self._guard.record_heartbeat, report, sequence)
        # It may be of another incarnation, so the target is polled at once.
        self._renew_now.set()

    def adopt_site_config(self, site: SiteConfig) -> None:
        """Adopt a site configuration if it is newer."""
        self._decide(self._guard.adopt_site_config, site)

    def open_entry(
        self, outgoing: MessageQueue[AgentMessage], entry: EntryId
    ) -> int:
        """Register a new stream.

        :returns: the number of the stream.
        """
        self._session_number += 1
        session = self._session_number
        self._sessions[session] = outgoing
        self._decide(self._guard.open_session, session, entry)
        return session

    def receive_entry(self, session: int, message: EntryMessage) -> None:
        """Handle a message from an entry."""
        self._decide(self._guard.receive, session, message)

    def close_entry(self, session: int) -> None:
        """Remove a closed stream."""
        self._sessions.pop(session, None)
        self._decide(self._guard.close_session, session)

    def _tick_pause_s(self, now: float) -> float:
        return self._guard.tick_pause_s(now)

    async def _wait_while_idle(self) -> None:
        """Wait while nothing runs, for IDLE_POLL_S at most."""
        self._renew_now.clear()
        if self._guard.is_idle:
            with suppress(TimeoutError):
                async with asyncio.timeout(IDLE_POLL_S):
                    await self._renew_now.wait()

    async def _renew_forever(self) -> None:
        while True:
            await self._wait_while_idle()
            target = self._guard.target
            if target is None:
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            renewal_sent_at = boottime_s()
            extend = self._guard.may_renew
            if extend:
                self._guard.record_renewal(renewal_sent_at)
            if self._guard.unacknowledged_count:
                # The target responds at once while its list has a completion.
                await asyncio.sleep(UNACKNOWLEDGED_POLL_S)
            try:
                listed = await self._target.renew(
                    target.incarnation,
                    self._guard.forgettable_position(boottime_s()),
                    self._renew_wait_s(renewal_sent_at),
                    renewal_sent_at if extend else None,
                )
            except TargetUnreachableError as error:
                await self._handle_failed_renewal(error)
                continue
            self._failed_renewals = 0
            self._decide(self._guard.update_runs, listed, renewal_sent_at)

    def _renew_wait_s(self, now: float) -> float:
        """Return how long the target may wait for a completion, in seconds.

        :param now: the agent's time.
        """
        guard = self._guard
        if guard.must_list_at_once:
            return 0.0
        if self._failed_renewals or not guard.is_target_available:
            return 0.0
        is_losing = self._target.timeout.is_losing(now)
        return LOSSY_RENEW_WAIT_S if is_losing else RENEW_WAIT_S

    async def _handle_failed_renewal(
        self, error: TargetUnreachableError
    ) -> None:
        """Mark the target as unavailable unless it is to be asked again."""
        self._failed_renewals += 1
        self._guard.record_failed_renewal()
        if self._failed_renewals < MAX_FAILED_RENEWALS:
            return

        def mark_unavailable(now: float) -> list[RunAction]:
            return self._guard.mark_target_unavailable(
                error.detail, now, is_refused=error.is_refused
            )

        self._decide(mark_unavailable)
        await asyncio.sleep(UNREACHABLE_RETRY_S)

    async def _list_runs(self, incarnation: TargetIncarnation) -> None:
        """List the target's runs without extending their lease."""
        sent_at = boottime_s()
        try:
            listed = await self._target.renew(incarnation, 0, 0.0, None)
        except TargetUnreachableError:
            # The pending renewal, or the next one, has the list as well.
            return
        self._decide(self._guard.update_runs, listed, sent_at)

    def _perform(self, actions: list[RunAction]) -> None:
        for action in actions:
            match action:
                case ListRuns():
                    self._tasks.run_once(self._list_runs(action.incarnation))
                case SendMessage():
                    outgoing = self._sessions.get(action.session)
                    if outgoing is not None:
                        outgoing.put(action.message)
                case StartRun():
                    self._renew_now.set()
                    self._tasks.run_once(self._start(action))
                case StopRun():
                    self._tasks.run_once(self._stop(action))
                case CloseStream():
                    outgoing = self._sessions.pop(action.session, None)
                    if outgoing is not None:
                        outgoing.close()
                case LogRunDecision():
                    self._log.write(action.event, **action.fields)

    def _gauge_values(self) -> dict[str, float]:
        return {
            "runs": self._guard.run_count,
            "entries": self._guard.session_count,
            "used_millicores": self._guard.used.cpu_millicores,
            "target_answers": float(self._guard.is_target_available),
            "configuration_version": (
                self._guard.site_config.configuration_version
            ),
        }

    async def _start(self, action: StartRun) -> None:
        sent_at = boottime_s()
        response = await self._target.start(
            action.incarnation,
            action.task,
            action.number,
            action.payload,
            action.leased_at,
        )
        self._start_durations.observe(boottime_s() - sent_at)
        self._decide(
            self._guard.resolve_start,
            action.incarnation,
            action.task,
            action.number,
            response,
        )

    async def _stop(self, action: StopRun) -> None:
        is_acknowledged = await self._target.stop(
            action.incarnation, action.task, action.number
        )
        self._decide(
            self._guard.record_stop_ack
            if is_acknowledged
            else self._guard.record_stop_failure,
            action.incarnation,
            action.task,
            action.number,
        )
