"""Decides on the runs of one target of the users' platform.

The run guard decides on each start request. It counts all runs, those that are
starting or stopping included, against the target's capacity, decides when the
lease that covers them may be extended, and stops the runs of an entry whose
echoes have become too old. It does no input or output and reads no clock:
`run_process` passes events and the time in, and performs the actions that come
back.

`core` is the counterpart for the project's own protocol.
"""

from __future__ import annotations

from collections import Counter
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.agent.capacity_offers import CapacityOffers
from fulmarscale.agent.capacity_offers import sum_demands
from fulmarscale.agent.completions import UnacknowledgedCompletions
from fulmarscale.agent.crash_recorder import CrashRecorder
from fulmarscale.agent.entry_session import EntrySession
from fulmarscale.agent.probation import Probation
from fulmarscale.agent.run import Run
from fulmarscale.agent.run import RunPhase
from fulmarscale.agent.run import StartResponse
from fulmarscale.agent.run_actions import CloseStream
from fulmarscale.agent.run_actions import ListRuns
from fulmarscale.agent.run_actions import LogRunDecision
from fulmarscale.agent.run_actions import SendMessage
from fulmarscale.agent.run_actions import StartRun
from fulmarscale.agent.run_actions import StopRun
from fulmarscale.agent.unconfirmed_starts import UnconfirmedStarts
from fulmarscale.errors import check_invariant
from fulmarscale.events import Event
from fulmarscale.runs.limits import ACTIVE_PING_S
from fulmarscale.runs.limits import BUSY_TICK_S
from fulmarscale.runs.limits import ECHO_TIMEOUT_S
from fulmarscale.runs.limits import IDLE_PING_S
from fulmarscale.runs.limits import IDLE_TICK_S
from fulmarscale.runs.limits import LAPSE_MARGIN_S
from fulmarscale.runs.limits import LATE_START_S
from fulmarscale.runs.limits import LEASE_S
from fulmarscale.runs.limits import MAX_ECHO_AGE_S
from fulmarscale.runs.limits import MAX_LEASE_S
from fulmarscale.runs.limits import TARGET_CLOCK_FACTOR
from fulmarscale.runs.lost_agent_starts import LostAgentStart
from fulmarscale.runs.lost_agent_starts import LostAgentStarts
from fulmarscale.runs.messages import AgentMessage
from fulmarscale.runs.messages import DurableCompletion
from fulmarscale.runs.messages import QueueLoad
from fulmarscale.runs.messages import RunEnd
from fulmarscale.runs.messages import RunProgress
from fulmarscale.runs.messages import RunReport
from fulmarscale.runs.model import EndCause
from fulmarscale.runs.model import RefusalReason
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import RunOutcome
from fulmarscale.runs.model import TargetIncarnation
from fulmarscale.runs.model import TargetState
from fulmarscale.runs.model import TaskKey
from fulmarscale.runs.site_config import must_propagate
from fulmarscale.runs.site_config import newer_config
from fulmarscale.runs.site_config import SiteConfig
from fulmarscale.wire.messages import AgentToken

if TYPE_CHECKING:
    from fulmarscale.agent.run import ListedCompletion
    from fulmarscale.agent.run import ListedRun
    from fulmarscale.agent.run import RunList
    from fulmarscale.agent.run_actions import RunAction
    from fulmarscale.ids import EntryId
    from fulmarscale.runs.messages import CompletionAck
    from fulmarscale.runs.messages import EntryMessage
    from fulmarscale.runs.messages import ExpectedRun
    from fulmarscale.runs.messages import StartRequest
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import QueueName
    from fulmarscale.runs.model import TargetId
    from fulmarscale.runs.model import TargetReport

STORED_OUTCOMES: Final = (RunOutcome.DONE, RunOutcome.FAILED)
"""Outcomes that change the remaining work of a job.

A durable job's completions with these outcomes are kept on the target's list
until they are stored.
"""

STOP_RETRY_INTERVAL_S: Final = 0.05
"""Shortest interval at which an unresolved stop request is sent again."""

RUN_NUMBER_RETENTION_S: Final = 60.0
"""How long the highest run number of a task is remembered.

Longer than any caller retries the same job.
"""

REPORT_RETENTION_S: Final = 5.0
"""How long a run's report is kept for an entry whose stream broke.

An entry's newest echo is kept for as long.
"""

UNKNOWN_SEQUENCE: Final = -1
"""Sequence number before the first heartbeat, lower than that of any."""

MAX_LIST_AGE_S: Final = 0.05
"""Age of the target's list up to which a position in it is sent.

A target doesn't restart and complete a run in that time.
"""

EXPIRY_INTERVAL_S: Final = 1.0
"""Interval between removals of expired reports, echoes and run numbers."""


class RunGuard:
    """The decisions of one agent about the runs of its target.

    Each method that handles an event takes the time on the agent's own steady
    clock, in seconds, and returns the actions to perform, in order.
    """

    def __init__(self, name: str, data_centre: str, incarnation: int) -> None:
        self._name = name
        self._data_centre = data_centre
        self._incarnation = incarnation
        self._site_config = SiteConfig()
        self._site_config_since = float("-inf")
        """When the configuration was adopted."""
        self._target: TargetReport | None = None
        self._target_sequence = 0
        """The sequence number of the newest heartbeat of this incarnation."""
        self._is_target_available = False
        self._is_target_described = False
        """Whether the report is of the target's present incarnation."""
        self._incarnation_since = float("-inf")
        """When the present incarnation was adopted."""
        self._ignored_heartbeat: tuple[TargetReport, int] | None = None
        """The last heartbeat of another incarnation than the present one."""
        self._listed_clock_ms = 0
        """The target's time of its newest list of runs."""
        self._listed_at = float("-inf")
        """When that list was received."""
        self._lease_expires_at = float("-inf")
        """When all runs have ended for certain if the lease isn't extended."""
        self._requested_expiry = float("-inf")
        """The same if the target granted no lease longer than requested."""
        self._completions = UnacknowledgedCompletions()
        self._unconfirmed = UnconfirmedStarts()
        self._lost_agent_starts = LostAgentStarts()
        """Starts at other agents, which entries have lost."""
        self._crashes = CrashRecorder()
        self._runs: dict[TaskKey, Run] = {}
        self._orphans: dict[TaskKey, int] = {}
        """The run numbers of listed runs that this agent does not manage."""
        self._run_numbers: dict[TaskKey, tuple[int, float]] = {}
        """The highest run number of each task, and when it was recorded."""
        self._reports: dict[TaskKey, tuple[RunReport, float]] = {}
        """The last report on each task, and when it was made."""
        self._sessions: dict[str, EntrySession] = {}
        """Open streams by the entry's name."""
        self._echoes: dict[EntryId, float] = {}
        """When the newest token that each entry echoed was made."""
        self._next_incarnation: tuple[TargetReport, int] | None = None
        """The heartbeat of an incarnation that is not adopted yet."""
        self._last_expiry_at = float("-inf")
        self._is_stopping = False
        self._durable_jobs_exist = False
        """Whether any entry has told that it knows of durable jobs."""
        self._offers = CapacityOffers()
        self._probation = Probation()
        self._entries_with_runs: set[EntryId] = set()
        self._actions: list[RunAction] = []

    @property
    def name(self) -> str:
        """The agent's name."""
        return self._name

    @property
    def site_config(self) -> SiteConfig:
        """The newest site configuration that this agent has received."""
        return self._site_config

    @property
    def target(self) -> TargetReport | None:
        """The target's newest report; none before its first heartbeat."""
        return self._target

    @property
    def is_target_available(self) -> bool:
        """Whether the target responds and its list of runs was received."""
        return self._is_target_available

    @property
    def may_renew(self) -> bool:
        """Whether the lease may be extended.

        Not while the target does not respond: all its runs then end with the
        lease, at a time that is known here. Nor while a completion is recorded
        that must never count, as the target may forget that one only after the
        lease has expired.
        """
        if self._completions.requires_lease_expiry:
            return False
        return self._is_target_available or not self._runs

    @property
    def is_idle(self) -> bool:
        """Whether the target responds and has no runs or completions.

        It is then polled less often. Not before it has forgotten all
        completions: a position that is sent later may reach its next
        incarnation.
        """
        has_no_work = not (
            self._runs
            or self._orphans
            or self._completions.completions
            or self._completions.forgettable_position
        )
        return has_no_work and self._is_target_available

    def forgettable_position(self, now: float) -> int:
        """Return the newest completion in its list the target may forget.

        It is 0 if the last list is too old to tell that the target hasn't
        restarted. It could forget completions that no list has shown.

        :param now: the agent's time.
        """
        if now - self._listed_at > MAX_LIST_AGE_S:
            return 0
        return self._completions.forgettable_position

    @property
    def must_list_at_once(self) -> bool:
        """Whether the target must respond before a run completes.

        Another incarnation may receive the position that it may forget, and
        would forget the runs that complete while it waits.
        """
        return bool(
            self.is_idle
            or self.unacknowledged_count
            or self._completions.forgettable_position
        )

    @property
    def unacknowledged_count(self) -> int:
        """The number of completions not yet acknowledged by an entry."""
        return len(self._completions.completions)

    @property
    def run_count(self) -> int:
        """The number of runs that are starting, running or stopping."""
        return len(self._runs)

    @property
    def session_count(self) -> int:
        """The number of connected entries."""
        return len(self._sessions)

    @property
    def used(self) -> Resources:
        """The resources that all runs use.

        The demand of an orphan run is unknown, so the whole capacity counts as
        used until all orphans have ended, and while a run is exclusive.
        """
        is_blocked = bool(self._orphans) or self._exclusive_job is not None
        if is_blocked and self._target is not None:
            return self._target.capacity
        return self._demand_of_runs

    def _queue_loads(self) -> tuple[QueueLoad, ...]:
        """Return what the runs of each queue use."""
        loads: Counter[QueueName] = Counter()
        for run in self._runs.values():
            loads[run.queue] += run.demand.cpu_millicores
        return tuple(QueueLoad(*load) for load in sorted(loads.items()))

    @property
    def _exclusive_job(self) -> JobId | None:
        """The job with an exclusive run; none if there is none."""
        for run in self._runs.values():
            if run.is_exclusive:
                return run.task.job_id
        return None

    @property
    def _demand_of_runs(self) -> Resources:
        """The resources that the runs of this agent use."""
        total = Resources()
        for run in self._runs.values():
            total += run.demand
        return total

    def tick_pause_s(self, now: float) -> float:
        """Return the time until the next tick is due, in seconds.

        :param now: the agent's time.
        """
        is_busy = (
            self._runs
            or self._next_incarnation
            or self._completions.completions
        )
        probation_s = self._probation.remaining_s(now)
        if probation_s > 0.0:
            return min(probation_s, BUSY_TICK_S)
        has_backlog = any(each.backlog > 0 for each in self._sessions.values())
        return BUSY_TICK_S if is_busy or has_backlog else IDLE_TICK_S

    def open_session(
        self, number: int, entry: EntryId, now: float
    ) -> list[RunAction]:
        """Register a stream that an entry opened.

        It replaces an older stream of the same entry. If that stream is still
        open and of an earlier incarnation, that incarnation's runs are
        stopped; otherwise they go on until its echo is older than
        ECHO_TIMEOUT_S.

        :param number: identifies the stream.
        :param entry: the entry's name and incarnation.
        :param now: the agent's time.
        """
        former = self._sessions.get(entry.name)
        if former is not None:
            self._actions.append(CloseStream(former.number))
        session = EntrySession(number, entry, now)
        session.lost_agent_starts += self._lost_agent_starts.left(now)
        self._sessions[entry.name] = session
        self._log(Event.ENTRY_CONNECTED, entry=entry.name)
        if former is not None and former.entry != entry:
            self._stop_runs_of(former.entry, now)
        return self._collect_actions(now)

    def close_session(self, number: int, now: float) -> list[RunAction]:
        """Remove a closed stream.

        The entry's runs go on until its newest echo is too old, as it may
        reconnect.
        """
        for entry_name, session in list(self._sessions.items()):
            if session.number != number:
                continue
            del self._sessions[entry_name]
            self._log(
                Event.ENTRY_DISCONNECTED,
                entry=entry_name,
                echo_age_s=_round_age_s(self._echo_age_s(session.entry, now)),
            )
        return self._collect_actions(now)

    def receive(
        self, number: int, message: EntryMessage, now: float
    ) -> list[RunAction]:
        """Handle an entry's message; one from a replaced stream is ignored."""
        session = self._sessions.get(message.entry.name)
        if session is None or session.number != number:
            return []
        session.received_sequence = message.sequence
        session.site_revision = message.site_revision
        session.has_confined_queues = message.has_confined_queues
        session.update_backlog(message, now)
        session.must_send = session.must_send or message.is_probe
        if message.starts:
            session.offered_at = float("-inf")
        if message.site is not None:
            self._adopt_site_config(message.site, session.entry.name, now)
        if message.knows_durable_jobs and not self._durable_jobs_exist:
            self._durable_jobs_exist = True
            self._notify_all()
        echo = message.echo
        if echo is not None and echo.incarnation == self._incarnation:
            echoed_at = self._echoes.get(message.entry, float("-inf"))
            self._echoes[message.entry] = max(echoed_at, echo.time_s)
        session.expected.update(message.expected)
        if not self._listed_clock_ms and self._unconfirmed.record(
            message.unconfirmed, now
        ):
            self._notify_all()
        self._pass_on(message.lost_agent_starts, session, now)
        for ack in message.acks:
            self._acknowledge_completion(ack, session)
        for task in message.stops:
            self._withdraw(session, task, now)
        for request in message.starts:
            self._handle_start_request(session, request, now)
        return self._collect_actions(now)

    def _pass_on(
        self,
        starts: tuple[LostAgentStart, ...],
        sender: EntrySession,
        now: float,
    ) -> None:
        """Tell the other entries of starts at lost agents.

        The next message suffices: no entry places tasks on an agent without
        a recent one.
        """
        news = self._lost_agent_starts.record(starts, now)
        for session in self._sessions.values():
            if session is not sender:
                session.lost_agent_starts += news

    def adopt_site_config(
        self, site: SiteConfig, now: float
    ) -> list[RunAction]:
        """Adopt a configuration read from the store if it is newer."""
        self._adopt_site_config(site, "store", now)
        return self._collect_actions(now)

    def record_heartbeat(
        self, report: TargetReport, sequence: int, now: float
    ) -> list[RunAction]:
        """Record a heartbeat of the target.

        Another incarnation is adopted only once the runs of the current one
        have ended.

        :param report: the target's description of itself.
        :param sequence: rises with each heartbeat of one incarnation.
        :param now: the agent's time.
        """
        current = self._target
        if current is not None and current.incarnation == report.incarnation:
            if sequence > self._target_sequence:
                self._target_sequence = sequence
                self._update_target(report)
            return self._collect_actions(now)
        if current is not None and self._is_target_available:
            # The current incarnation responds; a heartbeat of an earlier one
            # can arrive late. The list of runs shows whether it is a new one.
            self._ignored_heartbeat = (report, sequence)
            self._log(
                Event.HEARTBEAT_IGNORED,
                target=report.incarnation.target,
                born_ms=report.incarnation.born_ms,
            )
            return self._collect_actions(now)
        self._next_incarnation = (report, sequence)
        self._adopt_next_incarnation(now)
        return self._collect_actions(now)

    def mark_target_unavailable(
        self, reason: str, now: float, *, is_refused: bool = False
    ) -> list[RunAction]:
        """Record that the target gave no usable response to a renewal.

        :param reason: the error, for the log.
        :param now: the agent's time.
        :param is_refused: whether the target's machine is up but refused the
            connection.
        """
        if self._is_target_available:
            self._is_target_available = False
            self._notify_all()
            self._log(Event.TARGET_UNREACHABLE, reason=reason)
        if is_refused:
            # A process that ends resets its connections before its port is
            # closed, so the first failure may not show the crash.
            self._record_crash(now)
        return self._collect_actions(now)

    def _record_crash(self, now: float) -> None:
        """Record a crash of the target unless it was leaving or had no runs.

        :param now: the agent's time.
        """
        target = self._target
        if target is None or target.state is not TargetState.READY:
            return
        if not self._runs or self._crashes.has_crashed(target.incarnation):
            return
        crash = self._crashes.record_crash(
            target.incarnation, self._runs.values(), now
        )
        self._log(
            Event.TARGET_CRASHED,
            target=target.incarnation.target,
            born_ms=target.incarnation.born_ms,
            runs=[
                (str(run.task), run.queue, round(run.age_s, 3))
                for run in crash.runs
            ],
        )

    def record_renewal(self, sent_at: float) -> None:
        """Record that a request which extends the lease was sent.

        :param sent_at: when it was sent, by the agent's time.
        """
        self._extend_lease(sent_at, LEASE_S)
        self._requested_expiry = max(
            self._requested_expiry,
            sent_at + LEASE_S * TARGET_CLOCK_FACTOR + LAPSE_MARGIN_S,
        )

    def _extend_lease(self, begin: float, lease_s: float) -> None:
        """Record a lease of all runs.

        :param begin: when it begins, by the agent's time.
        :param lease_s: the longest that it lasts by the target's clock.
        """
        expires_at = begin + lease_s * TARGET_CLOCK_FACTOR + LAPSE_MARGIN_S
        self._lease_expires_at = max(self._lease_expires_at, expires_at)

    def record_failed_renewal(self) -> None:
        """Record that a renewal got no usable response.

        The target may have restarted since its last list.
        """
        self._listed_at = float("-inf")

    def update_runs(
        self, listed: RunList, renewal_sent_at: float, now: float
    ) -> list[RunAction]:
        """Update all runs from the target's list of runs and completions.

        :param listed: the target's response to a renewal.
        :param renewal_sent_at: when the renewal was sent.
        :param now: the agent's time.
        """
        target = self._target
        if (
            target is None
            or listed.incarnation.target != target.incarnation.target
        ):
            return self._collect_actions(now)
        if listed.incarnation != target.incarnation:
            if renewal_sent_at < self._incarnation_since:
                # A response of a former incarnation that was read late.
                return self._collect_actions(now)
            self._follow_restart(target, listed, renewal_sent_at, now)
        if listed.clock_ms < self._listed_clock_ms:
            # Responses on different connections overtake each other.
            return self._collect_actions(now)
        self._listed_clock_ms = listed.clock_ms
        self._listed_at = now
        if not self._is_target_available:
            self._is_target_available = True
            self._unconfirmed.clear()
            # The request was sent with an old reading of its clock, or that
            # of a former incarnation.
            self._extend_lease(now, MAX_LEASE_S)
            self._notify_all()
            self._log(Event.TARGET_REACHED, target=target.incarnation.target)
            if self._crashes.disprove(target.incarnation) is not None:
                self._log(
                    Event.CRASH_DISPROVED,
                    target=target.incarnation.target,
                    born_ms=target.incarnation.born_ms,
                )
        for completion in listed.completions:
            if self._completions.record_position(completion.position):
                self._handle_completion(completion, now)
        self._record_list(listed)
        self._update_running(listed, renewal_sent_at, now)
        return self._collect_actions(now)

    def _record_list(self, listed: RunList) -> None:
        """Record what the target still lists."""
        had_to_lapse = self._completions.requires_lease_expiry
        self._completions.record_list(listed.completions)
        if self._completions.requires_lease_expiry and not had_to_lapse:
            self._log(Event.LEASE_TO_LAPSE, listed=len(listed.completions))

    def resolve_start(
        self,
        incarnation: TargetIncarnation,
        task: TaskKey,
        number: int,
        response: StartResponse,
        now: float,
    ) -> list[RunAction]:
        """Resolve a start request by the target's response."""
        run = self._find_run(incarnation.target, task, number)
        if run is None:
            return self._collect_actions(now)
        run.start_resolved_at = now
        match response:
            case StartResponse.STARTED:
                # A new incarnation counts the longest lease from when it
                # carried out the start.
                self._extend_lease(now, MAX_LEASE_S)
                run.is_confirmed = True
                if run.phase is RunPhase.STARTING:
                    run.phase = RunPhase.RUNNING
            case StartResponse.UNKNOWN:
                self._log(
                    Event.START_UNCONFIRMED,
                    task=str(task),
                    run=number,
                )
                self._notify_all()
                self._stop(run, EndCause.START_UNCONFIRMED, now)
            case _:
                self._crashes.remove_rejected_run(task, now)
                self._finish_run(
                    run,
                    RunOutcome.NOT_STARTED,
                    EndCause.LISTED,
                    now,
                    RefusalReason.REJECTED,
                )
        return self._collect_actions(now)

    def record_stop_ack(
        self,
        incarnation: TargetIncarnation,
        task: TaskKey,
        number: int,
        now: float,
    ) -> list[RunAction]:
        """Record that the target acknowledged a stop request.

        A run whose start was not confirmed has no end that the target would
        report, so the list of runs has to show that it doesn't run.
        """
        run = self._find_run(incarnation.target, task, number)
        if run is not None and self._is_current(incarnation):
            run.is_stop_pending = False
            run.stop_acknowledged_at = min(run.stop_acknowledged_at, now)
            if not run.is_confirmed:
                self._actions.append(ListRuns(incarnation))
        return self._collect_actions(now)

    def record_stop_failure(
        self,
        incarnation: TargetIncarnation,
        task: TaskKey,
        number: int,
        now: float,
    ) -> list[RunAction]:
        """Record that a stop request failed; it is sent again soon."""
        run = self._find_run(incarnation.target, task, number)
        if run is not None and self._is_current(incarnation):
            run.is_stop_pending = False
        return self._collect_actions(now)

    def begin_shutdown(self, now: float) -> list[RunAction]:
        """Reject all start requests from now on, as the agent shuts down."""
        self._is_stopping = True
        self._notify_all()
        return self._collect_actions(now)

    def tick(self, now: float) -> list[RunAction]:
        """Perform everything that is due by the time alone."""
        self._end_expired(now)
        if self._probation.end(now):
            self._mark_changed()
        self._adopt_next_incarnation(now)
        for entry in sorted({run.entry for run in self._runs.values()}):
            if self._echo_age_s(entry, now) > ECHO_TIMEOUT_S:
                self._stop_runs_of(entry, now)
        for session in self._sessions.values():
            if self._echo_age_s(session.entry, now) > ECHO_TIMEOUT_S:
                # Free capacity is not offered to an entry that may be down.
                session.clear_backlog()
            if self._must_send_site_config(session, now):
                session.must_send = True
            if self._must_send_crashes(session, now):
                session.must_send = True
        for run in self._runs.values():
            self._repeat_stop(run, now)
        self._release_completions(now)
        self._expire_records(now)
        return self._collect_actions(now)

    def _list_age_s(self, now: float) -> float | None:
        return _round_age_s(now - self._listed_at)

    def _echo_age_s(self, entry: EntryId, now: float) -> float:
        return now - self._echoes.get(entry, float("-inf"))

    def _must_send_site_config(
        self, session: EntrySession, now: float
    ) -> bool:
        """Return whether an entry has to be sent the site configuration."""
        entry_revision = session.site_revision
        return must_propagate(
            self._site_config, self._site_config_since, entry_revision, now
        )

    def _must_send_crashes(self, session: EntrySession, now: float) -> bool:
        """Return whether an entry has to be sent the target's crashes."""
        if session.crash_revision == self._crashes.revision:
            return False
        return self._crashes.is_settled(now)

    def _adopt_next_incarnation(self, now: float) -> None:
        """Adopt the next incarnation once the former one's runs have ended."""
        if self._next_incarnation is None or self._is_target_available:
            return
        if self._runs and now <= self._lease_expires_at:
            return
        report, sequence = self._next_incarnation
        self._begin_incarnation(report, sequence, now)

    def _adopt_site_config(
        self, site: SiteConfig, source: str, now: float
    ) -> None:
        adopted = newer_config(self._site_config, site)
        if adopted is self._site_config:
            return
        self._log(
            Event.SITE_STATE_ADOPTED,
            source=source,
            revision=adopted.revision,
            version=adopted.configuration_version,
            closed=adopted.closed_data_centres,
        )
        self._site_config = adopted
        self._site_config_since = now
        # The message shows entries that this agent has the configuration, so
        # that they don't send it.
        self._notify_all()

    def _update_target(self, report: TargetReport) -> None:
        if report.state is not self._target_state:
            self._log(
                Event.TARGET_STATE_CHANGED,
                target=report.incarnation.target,
                state=report.state.value,
            )
        if report != self._target or not self._is_target_described:
            self._notify_all()
        self._target = report
        self._is_target_described = True

    @property
    def _target_state(self) -> TargetState | None:
        return None if self._target is None else self._target.state

    def _begin_incarnation(
        self, report: TargetReport, sequence: int, now: float
    ) -> None:
        """Adopt another incarnation of the target once the former ended."""
        self._end_incarnation(report.incarnation.target, now)
        self._target = report
        self._is_target_described = True
        self._target_sequence = sequence
        self._incarnation_since = now
        self._next_incarnation = None
        self._notify_all()
        self._log(
            Event.TARGET_FOLLOWED,
            target=report.incarnation.target,
            born_ms=report.incarnation.born_ms,
            state=report.state.value,
        )

    def _follow_restart(
        self,
        former: TargetReport,
        listed: RunList,
        renewal_sent_at: float,
        now: float,
    ) -> None:
        """Adopt an incarnation that has restarted under the target's id.

        Runs whose start requests reached it go on. Its capacity is unknown
        until its first heartbeat, so nothing starts there before.

        :param former: the report of the former incarnation.
        :param listed: the new incarnation's list of runs.
        :param renewal_sent_at: when the renewal was sent.
        :param now: the agent's time.
        """
        self._end_former_runs(listed, renewal_sent_at, now)
        self._clear_incarnation()
        self._target = msgspec.structs.replace(
            former, incarnation=listed.incarnation
        )
        self._is_target_described = False
        self._target_sequence = UNKNOWN_SEQUENCE
        self._incarnation_since = now
        self._log(
            Event.TARGET_REBORN,
            target=listed.incarnation.target,
            born_ms=listed.incarnation.born_ms,
            runs=len(self._runs),
        )
        for heartbeat in (self._ignored_heartbeat, self._next_incarnation):
            if heartbeat is None:
                continue
            report, sequence = heartbeat
            if self._is_current(report.incarnation):
                self._target_sequence = sequence
                self._update_target(report)
        self._ignored_heartbeat = None
        self._next_incarnation = None

    def _end_former_runs(
        self, listed: RunList, renewal_sent_at: float, now: float
    ) -> None:
        """Finish the runs of an incarnation that has ended.

        A run whose start is not confirmed may still begin on the new one.

        :param listed: the new incarnation's list of runs.
        :param renewal_sent_at: when the renewal was sent.
        :param now: the agent's time.
        """
        outcome = self._outcome_without_target
        present = {(item.task, item.number) for item in listed.running}
        present |= {(item.task, item.number) for item in listed.completions}
        for run in list(self._runs.values()):
            run.forget_stops()
            is_former = run.start_resolved_at < renewal_sent_at
            if (
                run.is_confirmed
                and is_former
                and (run.task, run.number) not in present
            ):
                self._finish_run(run, outcome, EndCause.TARGET_RESTARTED, now)

    def _end_incarnation(self, next_id: TargetId, now: float) -> None:
        """Finish the runs of an incarnation of the target that has ended.

        :param next_id: the target of the next one. Under the same id it may
            still carry out the start requests to this one.
        :param now: the agent's time.
        """
        former = self._target
        is_same = former is not None and former.incarnation.target == next_id
        ended = self._ended_runs(now) if is_same else [*self._runs.values()]
        outcome = self._outcome_without_target
        for run in ended:
            self._finish_run(run, outcome, EndCause.TARGET_REPLACED, now)
        for run in self._runs.values():
            run.forget_stops()
        self._clear_incarnation()

    def _clear_incarnation(self) -> None:
        """Discard what is known of an incarnation that has ended."""
        if self._target is not None:
            self._crashes.confirm(self._target.incarnation)
        self._orphans.clear()
        self._is_target_available = False
        self._listed_clock_ms = 0
        self._listed_at = float("-inf")
        self._completions.reset()
        for session in self._sessions.values():
            session.sent_positions.clear()
        self._notify_all()

    def _resolve_expected(self, now: float) -> None:
        """Resolve the runs that entries requested on an earlier stream.

        Only once the target's list of runs was received: a former incarnation
        of this agent may have started runs that this one has no record of. If
        no target responds, none of them can begin after LATE_START_S.
        """
        for session in self._sessions.values():
            has_waited = now - session.opened_at > LATE_START_S
            if not self._is_target_available and not has_waited:
                continue
            # Sorted, so that a simulation with the same seed repeats exactly.
            for expected in sorted(session.expected, key=_request_number):
                if expected.task not in self._orphans:
                    session.expected.discard(expected)
                    self._resolve_expected_run(session, expected, now)

    def _resolve_expected_run(
        self, session: EntrySession, expected: ExpectedRun, now: float
    ) -> None:
        run = self._runs.get(expected.task)
        current_request = (
            None if run is None else (run.entry, run.request_number)
        )
        if current_request == (session.entry, expected.request_number):
            return
        if any(
            (completion.task, completion.request_number)
            == (expected.task, expected.request_number)
            for completion in self._completions.completions
        ):
            # The completion itself is sent on the new stream.
            return
        cached = self._reports.get(expected.task)
        if (
            cached is not None
            and cached[0].request_number == expected.request_number
        ):
            session.reports.append(cached[0])
            return
        session.reports.append(
            RunReport(
                expected.task,
                expected.request_number,
                0,
                RunOutcome.LAPSED,
                end=RunEnd(
                    EndCause.RUN_UNKNOWN, list_age_s=self._list_age_s(now)
                ),
            )
        )

    def _handle_start_request(
        self, session: EntrySession, request: StartRequest, now: float
    ) -> None:
        reason = self._refusal_reason(session, request, now)
        if reason is None:
            self._start(session, request, now)
            return
        self._log(
            Event.START_REFUSED,
            task=str(request.task),
            entry=session.entry.name,
            reason=reason.value,
            echo_age_s=_round_age_s(self._echo_age_s(session.entry, now)),
            used_cpu=self.used.cpu_millicores,
        )
        report = RunReport(
            request.task,
            request.request_number,
            0,
            RunOutcome.NOT_STARTED,
            reason,
        )
        session.reports.append(report)

    def _refusal_reason(
        self, session: EntrySession, request: StartRequest, now: float
    ) -> RefusalReason | None:
        target = self._target
        if self._echo_age_s(session.entry, now) > MAX_ECHO_AGE_S:
            return RefusalReason.STALE
        if (
            target is None
            or not self._is_target_available
            or not self._is_target_described
            or self._completions.requires_lease_expiry
        ):
            return RefusalReason.NO_TARGET
        if self._is_stopping or target.state is not TargetState.READY:
            return RefusalReason.DRAINING
        if target.data_centre in self._site_config.closed_data_centres:
            return RefusalReason.DATA_CENTRE_OUT
        if target.service != request.service:
            return RefusalReason.WRONG_SERVICE
        if (
            request.required_label
            and request.required_label not in target.labels
        ):
            return RefusalReason.WRONG_SERVICE
        if request.task in self._runs:
            return RefusalReason.WITHDRAWN
        if not self._has_room(request, target):
            return RefusalReason.NO_ROOM
        if not self._probation.allows(request, now):
            return RefusalReason.NO_ROOM
        return None

    def _has_room(self, request: StartRequest, target: TargetReport) -> bool:
        """Return whether a run fits the capacity that others leave."""
        exclusive_job = self._exclusive_job
        if exclusive_job not in (None, request.task.job_id):
            return False
        if self._orphans:
            return False
        return request.demand.fits(target.capacity - self._demand_of_runs)

    def _start(
        self, session: EntrySession, request: StartRequest, now: float
    ) -> None:
        target = self._target
        check_invariant(target is not None, "a run starts on a known target")
        assert target is not None
        highest, _ = self._run_numbers.get(request.task, (0, now))
        number = highest + 1
        self._run_numbers[request.task] = (number, now)
        run = Run(request, number, session.entry, now)
        self._runs[request.task] = run
        self._probation.record_start(request, now)
        check_invariant(
            self._demand_of_runs.fits(target.capacity),
            "runs fit the target's capacity",
        )
        # A start extends the lease of all runs, as a renewal does. It may
        # reach a new incarnation, whose clock isn't known, before any list.
        self.record_renewal(now)
        self._extend_lease(now, MAX_LEASE_S)
        self._actions.append(
            StartRun(
                target.incarnation, request.task, number, request.payload, now
            )
        )

    def _withdraw(
        self, session: EntrySession, task: TaskKey, now: float
    ) -> None:
        run = self._runs.get(task)
        if run is not None and run.entry == session.entry:
            self._stop(run, EndCause.WITHDRAWN, now)

    def _stop_runs_of(self, entry: EntryId, now: float) -> None:
        for run in self._runs.values():
            if run.entry == entry and run.phase is not RunPhase.STOPPING:
                self._log(
                    Event.RUN_STOPPED,
                    task=str(run.task),
                    run=run.number,
                    entry=entry.name,
                )
                self._stop(run, EndCause.ENTRY_GONE, now)

    def _stop(self, run: Run, cause: EndCause, now: float) -> None:
        if run.phase is RunPhase.STOPPING:
            return
        run.phase = RunPhase.STOPPING
        run.stop_cause = cause
        self._send_stop(run, now)

    def _send_stop(self, run: Run, now: float) -> None:
        target = self._target
        if target is None:
            return
        run.stop_sent_at = now
        run.is_stop_pending = True
        self._actions.append(StopRun(target.incarnation, run.task, run.number))

    def _repeat_stop(self, run: Run, now: float) -> None:
        if run.phase is not RunPhase.STOPPING:
            return
        if run.stop_acknowledged_at <= now and run.is_confirmed:
            return
        if run.is_stop_pending:
            return
        if now - run.stop_sent_at >= STOP_RETRY_INTERVAL_S:
            self._send_stop(run, now)

    def _handle_completion(self, listed: ListedCompletion, now: float) -> None:
        if self._orphans.get(listed.task) == listed.number:
            del self._orphans[listed.task]
            self._mark_changed()
        run = self._runs.get(listed.task)
        if run is not None and run.number != listed.number:
            run = None
        must_be_stored = listed.outcome in STORED_OUTCOMES
        if must_be_stored and (run is None or run.is_durable):
            self._record_completion(listed, run, now)
        if run is not None:
            self._finish_run(run, listed.outcome, EndCause.LISTED, now)

    def _record_completion(
        self, listed: ListedCompletion, run: Run | None, now: float
    ) -> None:
        """Record a completion that the target must list until it is stored.

        :param listed: the completion as the target lists it.
        :param run: the run; none if another incarnation of the agent started
            it.
        :param now: the agent's time.
        """
        if self._target is None:
            return
        completion = DurableCompletion(
            incarnation=self._target.incarnation,
            position=listed.position,
            task=listed.task,
            is_done=listed.outcome is RunOutcome.DONE,
            entry=None if run is None else run.entry,
            request_number=0 if run is None else run.request_number,
            owner_epoch=0 if run is None else run.owner_epoch,
        )
        self._completions.add_completion(completion, now)
        self._mark_changed()
        if run is None:
            self._log(
                Event.END_UNKNOWN,
                task=str(listed.task),
                run=listed.number,
                position=listed.position,
            )

    def _acknowledge_completion(
        self, ack: CompletionAck, session: EntrySession
    ) -> None:
        if ack.is_discarded:
            self._log(
                Event.LEASE_TO_LAPSE,
                entry=session.entry.name,
                position=ack.position,
            )
        self._completions.acknowledge(ack)

    def _release_completions(self, now: float) -> None:
        """Release completions that can't count any more."""
        self._completions.expire_unacknowledged(now)
        if (
            self._completions.requires_lease_expiry
            and now > self._lease_expires_at
        ):
            self._completions.release_all()
            self._mark_changed()

    def _take_unsent_completions(
        self, session: EntrySession, now: float
    ) -> tuple[DurableCompletion, ...]:
        """Return the completions to send to an entry, and mark them as sent.

        These are the unacknowledged ones that its present stream has not
        carried. Those of entries that are down are sent to all entries: one of
        them takes the jobs over.
        """
        unsent = []
        for completion in self._completions.completions:
            if completion.position in session.sent_positions:
                continue
            is_own = completion.entry == session.entry
            if is_own or self._is_entry_down(completion.entry, now):
                session.sent_positions.add(completion.position)
                unsent.append(completion)
        return tuple(unsent)

    def _is_entry_down(self, entry: EntryId | None, now: float) -> bool:
        if entry is None:
            return True
        session = self._sessions.get(entry.name)
        if session is not None and session.entry == entry:
            return False
        return self._echo_age_s(entry, now) > ECHO_TIMEOUT_S

    def _update_running(
        self, listed: RunList, renewal_sent_at: float, now: float
    ) -> None:
        """Reconcile the recorded runs with those that the target lists."""
        present: set[TaskKey] = set()
        for item in listed.running:
            run = self._runs.get(item.task)
            if run is None or run.number != item.number:
                self._stop_orphan(item, now)
                continue
            present.add(item.task)
            run.percent = item.percent
            run.percent_reported_at = now
        # A run may have completed without being listed yet.
        if not listed.is_truncated:
            for run in list(self._runs.values()):
                if run.task not in present:
                    self._resolve_missing(run, renewal_sent_at, now)
        self._remove_ended_orphans({item.task for item in listed.running})

    def _stop_orphan(self, item: ListedRun, now: float) -> None:
        """Stop a run that this agent did not start or has abandoned."""
        target = self._target
        if target is None:
            return
        if item.task not in self._orphans:
            self._log(
                Event.ORPHAN_STOPPED,
                task=str(item.task),
                run=item.number,
            )
            self._notify_all()
        self._orphans[item.task] = item.number
        highest, _ = self._run_numbers.get(item.task, (0, now))
        self._run_numbers[item.task] = (max(highest, item.number), now)
        self._actions.append(
            StopRun(target.incarnation, item.task, item.number)
        )

    def _remove_ended_orphans(self, running: set[TaskKey]) -> None:
        for task in list(self._orphans):
            if task not in running:
                del self._orphans[task]
                self._mark_changed()

    def _resolve_missing(
        self, run: Run, renewal_sent_at: float, now: float
    ) -> None:
        """Finish a run that the target neither runs nor will start."""
        if (
            run.phase is RunPhase.RUNNING
            and run.start_resolved_at < renewal_sent_at
        ):
            self._finish_run(run, RunOutcome.LAPSED, EndCause.NOT_LISTED, now)
        if run.phase is not RunPhase.STOPPING:
            return
        if run.stop_acknowledged_at > renewal_sent_at:
            return
        if run.is_confirmed:
            self._finish_run(run, RunOutcome.STOPPED, EndCause.NOT_LISTED, now)
        elif run.start_resolved_at < renewal_sent_at:
            self._finish_run(
                run,
                RunOutcome.NOT_STARTED,
                EndCause.NOT_LISTED,
                now,
                RefusalReason.UNCONFIRMED,
            )

    def _end_expired(self, now: float) -> None:
        """Finish all runs once their lease has expired for certain."""
        if self._is_target_available:
            return
        outcome = self._outcome_without_target
        for run in self._ended_runs(now):
            self._log(
                Event.RUN_LAPSED,
                task=str(run.task),
                run=run.number,
                queue=run.queue,
                end=outcome.value,
            )
            self._finish_run(run, outcome, EndCause.LEASE_EXPIRED, now)

    def _ended_runs(self, now: float) -> list[Run]:
        """Return the runs that have ended with their lease.

        Others may still begin, or have a longer lease in another incarnation.
        Neither holds for what was sent before the target's process was gone.
        """
        target = self._target
        crashed_at = float("-inf")
        if target is not None and now > self._requested_expiry:
            crashed_at = self._crashes.crashed_at(target.incarnation)
        has_expired = now > self._lease_expires_at
        return [
            run
            for run in self._runs.values()
            if run.requested_at < crashed_at
            or (has_expired and not run.may_begin(now))
        ]

    @property
    def _outcome_without_target(self) -> RunOutcome:
        """The outcome of the runs of a target that does not respond."""
        target = self._target
        has_crashed = target is not None and self._crashes.has_crashed(
            target.incarnation
        )
        return RunOutcome.CRASHED if has_crashed else RunOutcome.LAPSED

    def _finish_run(
        self,
        run: Run,
        outcome: RunOutcome,
        cause: EndCause,
        now: float,
        refusal: RefusalReason | None = None,
    ) -> None:
        """Remove a run that has ended or never began, and report it.

        :param run: the run.
        :param outcome: its outcome.
        :param cause: how its end was concluded.
        :param now: the agent's time.
        :param refusal: why it did not begin; none if it did.
        """
        del self._runs[run.task]
        self._mark_changed()
        if run.is_durable and outcome in STORED_OUTCOMES:
            # The entry is sent the recorded completion instead of a report.
            return
        if outcome is RunOutcome.STOPPED and run.stop_cause is not None:
            cause = run.stop_cause
        end = None
        if outcome is not RunOutcome.DONE:
            end = RunEnd(cause, run.is_confirmed, self._list_age_s(now))
        report = RunReport(
            run.task, run.request_number, run.number, outcome, refusal, end
        )
        self._reports[run.task] = (report, now)
        session = self._sessions.get(run.entry.name)
        if session is not None and session.entry == run.entry:
            session.reports.append(report)

    def _find_run(
        self, target_id: TargetId, task: TaskKey, number: int
    ) -> Run | None:
        """Return the run that a request to a target was for.

        Requests name the target and not its incarnation, so that one may
        have reached another incarnation than it was sent to.
        """
        run = self._runs.get(task)
        if run is None or run.number != number:
            return None
        if (
            self._target is None
            or self._target.incarnation.target != target_id
        ):
            return None
        return run

    def _is_current(self, incarnation: TargetIncarnation) -> bool:
        """Return whether an incarnation is the target's present one."""
        target = self._target
        return target is not None and target.incarnation == incarnation

    def _expire_records(self, now: float) -> None:
        """Remove expired reports, echoes and run numbers."""
        if now - self._last_expiry_at < EXPIRY_INTERVAL_S:
            return
        self._last_expiry_at = now
        self._crashes.expire(now)
        self._lost_agent_starts.expire(now)
        self._reports = {
            task: cached
            for task, cached in self._reports.items()
            if now - cached[1] <= REPORT_RETENTION_S
        }
        self._echoes = {
            entry: echoed_at
            for entry, echoed_at in self._echoes.items()
            if now - echoed_at <= REPORT_RETENTION_S
        }
        positions = {
            completion.position for completion in self._completions.completions
        }
        for session in self._sessions.values():
            session.sent_positions &= positions
        self._run_numbers = {
            task: cached
            for task, cached in self._run_numbers.items()
            if now - cached[1] <= RUN_NUMBER_RETENTION_S
        }

    def _notify_all(self) -> None:
        """Schedule a message to all entries at once.

        Used for changes that concern all of them, of the target or the site
        configuration.
        """
        for session in self._sessions.values():
            session.must_send = True

    def _mark_changed(self) -> None:
        for session in self._sessions.values():
            session.has_changes = True

    def _collect_actions(self, now: float) -> list[RunAction]:
        self._resolve_expected(now)
        self._update_preferred(now)
        self._entries_with_runs = {run.entry for run in self._runs.values()}
        for session in self._sessions.values():
            completions = (
                self._take_unsent_completions(session, now)
                if self._completions.completions
                else ()
            )
            is_due = now - session.sent_at >= self._send_interval_s(session)
            if session.reports or completions or session.must_send or is_due:
                self._send(session, completions, now)
        actions = self._actions
        self._actions = []
        return actions

    def _update_preferred(self, now: float) -> None:
        former = self._offers.preferred
        preferred = self._offers.update(self._sessions.values(), now)
        if preferred is former:
            return
        if preferred is None:
            self._mark_changed()
        else:
            preferred.has_changes = True

    def _send_interval_s(self, session: EntrySession) -> float:
        """Return the longest time between messages to an entry, in seconds.

        A change of the used capacity is sent at once only to entries with
        waiting tasks; the others receive it with the next report, or when they
        send a probe.
        """
        if session.backlog > 0:
            if not session.has_changes:
                return ACTIVE_PING_S
            # The other entries are sent a message once free capacity is
            # offered to them.
            return (
                0.0
                if self._offers.preferred in (None, session)
                else ACTIVE_PING_S
            )
        has_runs = session.entry in self._entries_with_runs
        return ACTIVE_PING_S if has_runs else IDLE_PING_S

    def _send(
        self,
        session: EntrySession,
        completions: tuple[DurableCompletion, ...],
        now: float,
    ) -> None:
        site = self._site_config
        is_behind = self._must_send_site_config(session, now)
        has_crashes = self._must_send_crashes(session, now)
        is_usable = self._is_target_available and self._is_target_described
        others = [
            other for other in self._sessions.values() if other is not session
        ]
        unconfirmed = self._unconfirmed.left_s(
            self._runs.values(), self._orphans, now
        )
        message = AgentMessage(
            name=self._name,
            token=AgentToken(self._incarnation, now),
            data_centre=self._data_centre,
            last_sequence=session.received_sequence,
            target=self._target if is_usable else None,
            used=self.used,
            reports=tuple(session.reports),
            completions=completions,
            progress=self._progress_of(session.entry, now),
            site_revision=site.revision,
            site=site if is_behind else None,
            others_backlog=sum(other.backlog for other in others),
            is_stopping=self._is_stopping,
            is_offered_elsewhere=self._offers.preferred not in (None, session),
            crashes=self._crashes.report(now) if has_crashes else (),
            queue_loads=(
                self._queue_loads() if session.has_confined_queues else ()
            ),
            probation_s=self._probation.remaining_s(now),
            unconfirmed=tuple(unconfirmed),
            unconfirmed_left_s=tuple(unconfirmed.values()),
            other_demands=sum_demands(others),
            durable_jobs_exist=self._durable_jobs_exist,
            lost_agent_starts=self._lost_agent_starts.refresh(
                session.lost_agent_starts, now
            ),
        )
        session.reports = []
        session.lost_agent_starts = []
        session.has_changes = False
        session.must_send = False
        session.sent_at = now
        if has_crashes:
            session.crash_revision = self._crashes.revision
        if is_behind:
            session.site_revision = site.revision
        self._actions.append(SendMessage(session.number, message))

    def _progress_of(
        self, entry: EntryId, now: float
    ) -> tuple[RunProgress, ...]:
        return tuple(
            RunProgress(run.task, run.percent, now - run.begun_at)
            for run in self._runs.values()
            if run.entry == entry and run.begun_at > float("-inf")
        )

    def _log(self, event: Event, **fields: Any) -> None:
        self._actions.append(LogRunDecision(event, fields))


def _request_number(expected: ExpectedRun) -> int:
    return expected.request_number


def _round_age_s(age_s: float) -> float | None:
    return None if age_s == float("inf") else round(age_s, 3)
