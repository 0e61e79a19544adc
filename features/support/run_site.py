"""Virtual site of entries, agents and targets, under virtual time.

Entries run the real dispatcher and agents the real run guard. Targets are
fakes that enforce leases, list completed runs and check run numbers as the
runners of the platform do. Each target records every run that it makes, so
that checks do not rely on what the code under test reports.
"""

from __future__ import annotations

from collections import Counter
from heapq import heappop
from heapq import heappush
from typing import Any
from typing import Final
from typing import TYPE_CHECKING

import msgspec

from fulmarscale.agent.run import ListedCompletion
from fulmarscale.agent.run import ListedRun
from fulmarscale.agent.run import MAX_LISTED_COMPLETIONS
from fulmarscale.agent.run import RunList
from fulmarscale.agent.run import StartResponse
from fulmarscale.agent.run_actions import CloseStream
from fulmarscale.agent.run_actions import ListRuns
from fulmarscale.agent.run_actions import SendMessage
from fulmarscale.agent.run_actions import StartRun
from fulmarscale.agent.run_actions import StopRun
from fulmarscale.agent.run_guard import RunGuard
from fulmarscale.agent.run_process import IDLE_POLL_S
from fulmarscale.agent.run_process import RENEW_WAIT_S
from fulmarscale.agent.run_process import UNACKNOWLEDGED_POLL_S
from fulmarscale.entry.jobs.actions import AnswerJob
from fulmarscale.entry.jobs.actions import CloseAgentStream
from fulmarscale.entry.jobs.actions import JobOutcome
from fulmarscale.entry.jobs.actions import LogDispatchDecision
from fulmarscale.entry.jobs.actions import OpenAgentStream
from fulmarscale.entry.jobs.actions import SendEntryMessage
from fulmarscale.entry.jobs.dispatcher import Dispatcher
from fulmarscale.entry.jobs.subset import AnnouncedAgent
from fulmarscale.ids import EntryId
from fulmarscale.runs.limits import LEASE_S
from fulmarscale.runs.limits import MAX_LEASE_S
from fulmarscale.runs.limits import TARGET_CLOCK_FACTOR
from fulmarscale.runs.model import JobId
from fulmarscale.runs.model import JobSpec
from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import RunOutcome
from fulmarscale.runs.model import ServiceName
from fulmarscale.runs.model import Step
from fulmarscale.runs.model import TargetId
from fulmarscale.runs.model import TargetIncarnation
from fulmarscale.runs.model import TargetReport
from fulmarscale.runs.model import TargetState
from fulmarscale.runs.site_config import Queue
from fulmarscale.runs.site_config import SiteConfig

if TYPE_CHECKING:
    from collections.abc import Callable

HOP_DELAY_S: Final = 0.001
"""One-way delay between any two processes."""

TICK_S: Final = 0.05
"""Interval of periodic timers, also their first delay."""

START_TIMEOUT_S: Final = 0.4
"""Time after which an agent treats a start without a response as unknown."""

RENEW_TIMEOUT_S: Final = 0.4
"""Time after which an agent treats a lease renewal as failed."""

HEARTBEAT_INTERVAL_S: Final = 0.5
"""Time between heartbeats."""

CRASH_DELAY_S: Final = 0.01
"""Time from the start of a task that crashes its target to the crash."""

MAX_CRASHES: Final = 3
"""Crashes under a task after which MAX_STARTS more starts are forbidden."""

MAX_STARTS: Final = 3

MIN_GIVE_UP_CRASHES: Final = 2
"""Crashes under a task after which its job may be given up."""

CRASH_RESTART_S: Final = 3.3
"""Time that a target takes to start again after a crash by a task."""

STOP_DURATION_S: Final = 0.03
"""Time that a target needs to stop a run."""

TOKEN_STRIDE: Final = 1_000_000
"""Distance between the first fencing tokens of successive agents."""

SERVICE: Final = ServiceName("press")
"""The service that all targets offer."""

QUEUE: Final = Queue(
    name=QueueName("quick"),
    host="site.example",
    path_prefix="/quick/",
    service=SERVICE,
    max_attempts=3,
    stretch=1.6,
    allowance_s=0.06,
)
"""The queue that jobs are submitted to."""

TASK: Final = Resources(1600, 64, 0)
"""Demand of every task; a target of 16 cores has capacity for 10."""


class VirtualClock:
    """Virtual monotonic clock and the calls scheduled on it."""

    def __init__(self) -> None:
        self.now = 100.0
        """Current time, in seconds."""
        self._scheduled: list[tuple[float, int, Any]] = []
        self._number = 0

    def call_at(self, at: float, action: Any) -> None:
        """Schedule a call at a time; calls at one time keep their order."""
        self._number += 1
        heappush(self._scheduled, (at, self._number, action))

    def call_in(self, duration_s: float, action: Any) -> None:
        """Schedule a call after a delay."""
        self.call_at(self.now + duration_s, action)

    def run_until(self, until: float) -> None:
        """Advance the time to `until` and make all calls due by then."""
        while self._scheduled and self._scheduled[0][0] <= until:
            at, _, action = heappop(self._scheduled)
            self.now = max(self.now, at)
            action()
        self.now = until


class RunRecord(msgspec.Struct):
    """A run as its target recorded it."""

    task: Any
    """Key of the task."""
    target: str
    """Name of the target."""
    started_at: float
    """Start, in virtual time."""
    work_s: float
    """Duration of the run if nothing interrupts it."""
    ended_at: float | None = None
    """End, in virtual time; none while it runs."""
    outcome: RunOutcome | None = None
    """Outcome of the run; none while it runs."""


class FakeTarget:
    """Runs tasks under a lease, as the runners of the platform do.

    The payload of a task is the duration of its work in milliseconds.

    :param clock: the virtual time.
    :param name: name of the target.
    :param cores: number of CPU cores.
    """

    def __init__(self, clock: VirtualClock, name: str, cores: int) -> None:
        self._clock = clock
        self.name = name
        self.incarnation = TargetIncarnation(
            TargetId(name), round(clock.now * 1000)
        )
        self.capacity = Resources(cores * 1000, 65536, 0)
        self.state = TargetState.READY
        self.leaves_at: float | None = None
        """When it ends; none unless it has given notice of it."""
        self.is_up = True
        self.is_dark = False
        """Whether it is down because its machine has no power."""
        self.resets_for_s = 0.0
        """How long connections are reset after a crash, before its port is
        closed."""
        self._down_since = float("-inf")
        """When it last went down."""
        self.crashed_at: set[float] = set()
        """When it went down while its machine stayed up."""
        self.crashing_tasks: set[tuple[str, int]] = set()
        """Jobs and indexes of the tasks that crash the target."""
        self.crash_times: dict[Any, set[float]] = {}
        """When each task has crashed the target."""
        self.crash_delay_s = CRASH_DELAY_S
        """Time from the start of such a task to the crash, in seconds."""
        self.labels: tuple[str, ...] = ()
        self.work_factor = 1.0
        """Factor on the work of each task."""
        self.is_failing = False
        """Whether every run fails."""
        self.is_hung = False
        """Whether runs never end by themselves."""
        self.is_unresponsive = False
        """Whether stops are lost, and starts and renewals get no response.

        Starts and renewals take effect all the same.
        """
        self.heartbeat_delay_s = 0.0
        """Time from its restart to its first heartbeat, in seconds."""
        self.heartbeats_from = float("-inf")
        """When it sends its first heartbeat."""
        self.is_renewal_silent = False
        """Whether renewals alone get no response."""
        self.is_unhealthy = False
        """Whether it rejects all requests and carries out none."""
        self.is_lease_from_arrival = False
        """Whether the lease of a delayed start counts from its arrival."""
        self.start_delays_s: list[float] = []
        """Delays of the next starts in seconds; these get no response."""
        self.history: list[RunRecord] = []
        """All runs since the site was made."""
        self.running: dict[Any, tuple[int, RunRecord]] = {}
        """Number and record of the run of each task that runs now."""
        self.completions: list[ListedCompletion] = []
        """Completions that the agent has not acknowledged."""
        self.forbidden_numbers: dict[Any, int] = {}
        """Highest run number of each task that may no longer start."""
        self.peak_running = 0
        """Highest number of concurrent runs."""
        self.highest_token = 0
        """Highest fencing token received; lower ones are rejected."""
        self.acknowledged: list[RunRecord] = []
        """Runs done whose completion the agent has acknowledged."""
        self._unacknowledged: dict[int, RunRecord] = {}
        """Runs done that await acknowledgement, by their list position."""
        self._lease_expires_at = float("inf")
        """When the lease expires; infinite before the first grant."""

    def crash(self, down_s: float, *, is_dark: bool = False) -> None:
        """Lose all state and come back as another incarnation.

        :param down_s: time until it is up again.
        :param is_dark: whether its machine loses power, so that connections
            to it are not refused.
        """
        if not self.is_up:
            return
        self.is_up = False
        self.is_dark = is_dark
        self._down_since = self._clock.now
        if not is_dark:
            self.crashed_at.add(self._clock.now)
        self._finish_all(RunOutcome.LAPSED)
        self._clock.call_in(down_s, self._start_again)

    @property
    def refuses_connections(self) -> bool:
        """Whether its machine is up and its port is closed."""
        is_port_closed = (
            self._clock.now - self._down_since >= self.resets_for_s
        )
        return not self.is_up and not self.is_dark and is_port_closed

    def report(self) -> TargetReport:
        """Return the report that a heartbeat carries."""
        return TargetReport(
            self.incarnation,
            SERVICE,
            "here",
            self.state,
            self.capacity,
            self.labels,
            self.leaves_at,
        )

    def start(
        self, action: StartRun, until: float, token: int
    ) -> StartResponse:
        """Start a run unless its token, lease or number is out of date.

        :param action: the run to start.
        :param until: when the lease that comes with the start expires.
        :param token: fencing token of the agent.
        :returns: the response to the agent.
        """
        if token < self.highest_token:
            return StartResponse.REJECTED
        if (
            # Requests name the target, and not its incarnation.
            action.incarnation.target != self.incarnation.target
            or until <= self._clock.now
        ):
            return StartResponse.REJECTED
        if action.number <= self.forbidden_numbers.get(action.task, 0):
            return StartResponse.NUMBER_TOO_LOW
        current = self.running.get(action.task)
        if current is not None:
            return (
                StartResponse.STARTED
                if current[0] == action.number
                else StartResponse.NUMBER_TOO_LOW
            )
        work_s = self._work_s(action) * self.work_factor
        run = RunRecord(action.task, self.name, self._clock.now, work_s)
        self.history.append(run)
        self.running[action.task] = (action.number, run)
        self.peak_running = max(self.peak_running, len(self.running))
        self.extend(until)
        if (action.task.job_id, action.task.index) in self.crashing_tasks:
            self._clock.call_in(
                self.crash_delay_s,
                lambda: self._crash_by(action.task, action.number),
            )
        if self.is_hung:
            return StartResponse.STARTED
        outcome = RunOutcome.FAILED if self.is_failing else RunOutcome.DONE
        self._clock.call_in(
            work_s, lambda: self._finish(action.task, action.number, outcome)
        )
        return StartResponse.STARTED

    def _crash_by(self, task: Any, number: int) -> None:
        """Crash if a run that crashes the target still runs."""
        current = self.running.get(task)
        if current is not None and current[0] == number and self.is_up:
            self.crash_times.setdefault(task, set()).add(self._clock.now)
            self.crash(CRASH_RESTART_S)

    def _work_s(self, action: StartRun) -> float:
        """Return the work of a task on a sound target, in seconds."""
        return int(action.payload) / 1000

    def stop(self, action: StopRun) -> None:
        """Stop a run; one that has not started yet may never start."""
        forbidden_numbers = self.forbidden_numbers.get(action.task, 0)
        self.forbidden_numbers[action.task] = max(
            forbidden_numbers, action.number
        )
        self._clock.call_in(
            STOP_DURATION_S,
            lambda: self._finish(
                action.task, action.number, RunOutcome.STOPPED
            ),
        )

    def lease_end(
        self, until: float, clock: TargetIncarnation | None
    ) -> float:
        """Return when a lease that an agent requests expires.

        :param until: when it is to expire, by the agent's time.
        :param clock: the incarnation whose clock the agent has read it from.
            The clock of another one starts anew, so that the lease would be
            far longer; targets shorten it.
        """
        now = self._clock.now
        is_read = clock == self.incarnation
        lease_s = min(until - now, MAX_LEASE_S) if is_read else MAX_LEASE_S
        return now + lease_s * TARGET_CLOCK_FACTOR

    def extend(self, until: float) -> None:
        """Extend the lease to a time; it never becomes shorter."""
        if (
            self._lease_expires_at == float("inf")
            or until > self._lease_expires_at
        ):
            self._lease_expires_at = until
            self._clock.call_at(until, self._check_lease)

    def list_runs(self, forgettable_position: int) -> RunList:
        """Return the running runs and the unacknowledged completions.

        :param forgettable_position: position up to which the agent
            acknowledges completions; these are dropped.
        """
        self.completions = [
            completion
            for completion in self.completions
            if completion.position > forgettable_position
        ]
        for position in sorted(self._unacknowledged):
            if position <= forgettable_position:
                self.acknowledged.append(self._unacknowledged.pop(position))
        running = tuple(
            ListedRun(task, number, self._progress_percent(run))
            for task, (number, run) in self.running.items()
        )
        return RunList(
            self.incarnation,
            running,
            tuple(self.completions[:MAX_LISTED_COMPLETIONS]),
            round(self._clock.now * 1000),
        )

    def _progress_percent(self, run: RunRecord) -> int:
        """Return the share of the work that is done, at most 99 percent."""
        if self.is_hung:
            return 0
        progress = (self._clock.now - run.started_at) / max(run.work_s, 0.001)
        return min(99, int(100 * progress))

    def _start_again(self) -> None:
        self.incarnation = TargetIncarnation(
            self.incarnation.target, round(self._clock.now * 1000)
        )
        self.completions = []
        self._unacknowledged.clear()
        self.forbidden_numbers = {}
        self.highest_token = 0
        self._lease_expires_at = float("inf")
        self._last_position = 0
        self.is_dark = False
        self.is_up = True
        self.heartbeats_from = self._clock.now + self.heartbeat_delay_s

    _last_position = 0

    def _check_lease(self) -> None:
        if self._clock.now >= self._lease_expires_at:
            # Completions not acknowledged by now are discarded for good.
            self._unacknowledged.clear()
            self._finish_all(RunOutcome.LAPSED)

    def _finish_all(self, outcome: RunOutcome) -> None:
        for task, (number, _) in list(self.running.items()):
            self._finish(task, number, outcome)

    def _finish(self, task: Any, number: int, outcome: RunOutcome) -> None:
        """End a run, unless it has ended or has another number."""
        current = self.running.get(task)
        if current is None or current[0] != number:
            return
        del self.running[task]
        current[1].ended_at = self._clock.now
        current[1].outcome = outcome
        forbidden_numbers = self.forbidden_numbers.get(task, 0)
        self.forbidden_numbers[task] = max(forbidden_numbers, number)
        self._last_position += 1
        if outcome is RunOutcome.DONE:
            self._unacknowledged[self._last_position] = current[1]
        self.completions.append(
            ListedCompletion(self._last_position, task, number, outcome)
        )


class Node:
    """A process that can be killed, paused or late with its timer."""

    def __init__(self) -> None:
        self.is_paused = False
        """Whether the process is paused; its calls are made on `resume`."""
        self.is_up = True
        """Whether the process runs; false once it was killed."""
        self.deferred: list[Any] = []
        """Calls deferred while the process is paused."""
        self.timer_delay_s = 0.0
        """Delay of every firing of the timer."""
        self.timer_firings = 0
        """Number of times that the timer has fired."""

    def call_or_defer(self, action: Any) -> None:
        """Make a call, once the process is not paused; drop it if killed."""
        if not self.is_up:
            return
        if self.is_paused:
            self.deferred.append(action)
            return
        action()

    def _start_timer(
        self, clock: VirtualClock, tick: Any, pause_s: Any
    ) -> None:
        """Start the timer of the code under test.

        :param clock: the virtual time.
        :param tick: called with the time whenever the timer fires.
        :param pause_s: returns the delay until the next tick is needed.
        """
        self._tick_clock = clock
        self._tick_pause_s = pause_s
        self._tick_number = 0

        def run_tick() -> None:
            self.timer_firings += 1
            self._next_tick_at = float("-inf")
            tick(clock.now)
            self._schedule_tick()

        self._run_tick = run_tick
        self._next_tick_at = float("inf")
        self._schedule_tick()

    def _schedule_tick(self) -> None:
        """Schedule a tick if it is due before the one already scheduled."""
        now = self._tick_clock.now
        at = now + self._tick_pause_s(now)
        if self._next_tick_at != float("-inf") and at >= self._next_tick_at:
            return
        self._next_tick_at = at
        self._tick_number += 1
        number = self._tick_number

        def fire() -> None:
            if number == self._tick_number:
                self.call_or_defer(self._run_tick)

        self._tick_clock.call_at(at + self.timer_delay_s, fire)

    def resume(self) -> None:
        """End a pause and make the deferred calls in their order."""
        self.is_paused = False
        deferred_calls, self.deferred = self.deferred, []
        for action in deferred_calls:
            action()


class AgentNode(Node):
    """Agent process, which guards the runs on one target.

    :param site: the site that the agent belongs to.
    :param target: the target beside the agent.
    :param incarnation: incarnation of this process.
    :param first_heartbeat_s: delay of the first heartbeat of the target.
    """

    def __init__(
        self,
        site: RunSite,
        target: FakeTarget,
        incarnation: int,
        first_heartbeat_s: float = HEARTBEAT_INTERVAL_S,
    ) -> None:
        super().__init__()
        self._site = site
        self._clock = site.clock
        self.target = target
        self.fencing_token = incarnation * TOKEN_STRIDE
        """Sent with each request; rises with the target's incarnation."""
        self._clock_of: TargetIncarnation | None = None
        """The target's incarnation whose clock was read last."""
        self._token_target: TargetIncarnation | None = None
        """The target's incarnation for which the token was raised last."""
        self.guard = RunGuard(f"agent-{target.name}", "here", incarnation)
        self._start_timer(
            self._clock,
            lambda now: self.perform(self.guard.tick(now)),
            self.guard.tick_pause_s,
        )
        self._poll_idle_target: Callable[[], None] | None = None
        """Ends the wait before the next poll of an idle target."""
        self._renew_lease()
        self._schedule_heartbeat(0, first_heartbeat_s)

    def perform(self, actions: list[Any]) -> None:
        """Perform actions of the run guard."""
        known_target = self.guard.target
        if (
            known_target is not None
            and known_target.incarnation != self._token_target
        ):
            self._token_target = known_target.incarnation
            self._clock_of = known_target.incarnation
            self.fencing_token += 1
        for action in actions:
            match action:
                case SendMessage():
                    self._site.deliver_to_entry(self, action)
                case StartRun():
                    self._start(action)
                    self._poll_now()
                case StopRun():
                    self._stop(action)
                case ListRuns():
                    self._list_runs()
                case CloseStream() | LogDispatchDecision():
                    pass
        self._schedule_tick()

    def _schedule_heartbeat(
        self, number: int, pause_s: float = HEARTBEAT_INTERVAL_S
    ) -> None:
        """Schedule heartbeats of the target to the guard."""

        def send_heartbeat() -> None:
            is_heard = self._clock.now >= self.target.heartbeats_from
            if self.target.is_up and is_heard:
                self.perform(
                    self.guard.record_heartbeat(
                        self.target.report(), number, self._clock.now
                    )
                )
                self._poll_now()
            self._schedule_heartbeat(number + 1)

        self._clock.call_in(
            pause_s, lambda: self.call_or_defer(send_heartbeat)
        )

    def _renew_lease(self) -> None:
        """Renew the lease of the target continuously.

        A renewal also requests the list of runs; its response is delayed
        until there is a completion to report.
        """

        def renew() -> None:
            reported_target = self.guard.target
            if reported_target is None:
                self._clock.call_in(TICK_S, lambda: self.call_or_defer(renew))
                return
            requested_at = self._clock.now
            extend = self.guard.may_renew
            if extend:
                self.guard.record_renewal(requested_at)
            if not self.target.is_up or self.target.is_unhealthy:
                self._clock.call_in(
                    0.1, lambda: self.call_or_defer(handle_failure)
                )
                return
            self.target.highest_token = max(
                self.target.highest_token, self.fencing_token
            )
            if extend:
                self.target.extend(self._lease_end(requested_at))
            if self.target.is_unresponsive or self.target.is_renewal_silent:
                self._clock.call_in(
                    RENEW_TIMEOUT_S, lambda: self.call_or_defer(handle_failure)
                )
                return
            # The position is sent with the request, and a target that has
            # restarted since then applies it to its own list.
            position = self.guard.forgettable_position(requested_at)
            wait_s = 0.0 if self.guard.must_list_at_once else RENEW_WAIT_S
            self._wait_for_completion(
                position,
                requested_at,
                requested_at + wait_s,
                lambda: self._renew_when_due(renew),
                handle_failure,
            )

        def handle_failure() -> None:
            self.guard.record_failed_renewal()
            self.perform(
                self.guard.mark_target_unavailable(
                    "no answer",
                    self._clock.now,
                    is_refused=self.target.refuses_connections,
                )
            )
            renew()

        self._clock.call_in(TICK_S, lambda: self.call_or_defer(renew))

    def _lease_end(self, leased_at: float) -> float:
        """Return when the target ends a lease that begins at a time."""
        return self.target.lease_end(leased_at + LEASE_S, self._clock_of)

    def _renew_when_due(self, renew: Callable[[], None]) -> None:
        """Renew at once, or after IDLE_POLL_S while the target is idle."""
        if not self.guard.is_idle:
            renew()
            return

        def poll() -> None:
            if self._poll_idle_target is poll:
                self._poll_idle_target = None
                renew()

        self._poll_idle_target = poll
        self._clock.call_in(IDLE_POLL_S, lambda: self.call_or_defer(poll))

    def _poll_now(self) -> None:
        """Poll an idle target without waiting any longer."""
        poll = self._poll_idle_target
        if poll is not None:
            self._clock.call_in(0.0, lambda: self.call_or_defer(poll))

    def _wait_for_completion(
        self,
        position: int,
        requested_at: float,
        until: float,
        renew_again: Any,
        fail: Any,
    ) -> None:
        """Respond to a renewal once a run has ended or `until` is reached.

        :param position: up to where the target may forget its list, as sent
            with the renewal.
        :param requested_at: when the renewal was sent.
        :param until: when the target responds at the latest.
        :param renew_again: called after the response.
        :param fail: called instead if the target goes down.
        """
        if not self.target.is_up or self.target.is_unhealthy:
            pause_s = RENEW_TIMEOUT_S if self.target.is_dark else HOP_DELAY_S
            self._clock.call_in(pause_s, lambda: self.call_or_defer(fail))
            return
        has_completion = any(
            completion.position > position
            for completion in self.target.completions
        )
        if not has_completion and self._clock.now < until:
            self._clock.call_in(
                HOP_DELAY_S,
                lambda: self._wait_for_completion(
                    position, requested_at, until, renew_again, fail
                ),
            )
            return
        run_list = self.target.list_runs(position)

        def deliver() -> None:
            self._clock_of = run_list.incarnation
            self.perform(
                self.guard.update_runs(run_list, requested_at, self._clock.now)
            )
            if self.guard.unacknowledged_count:
                self._clock.call_in(
                    UNACKNOWLEDGED_POLL_S,
                    lambda: self.call_or_defer(renew_again),
                )
            else:
                renew_again()

        self.call_or_defer(deliver)

    def _start(self, action: StartRun) -> None:
        """Send a start to the target; the response may get lost."""
        sent_at = self._clock.now

        def handle_response(start_response: StartResponse) -> None:
            self.perform(
                self.guard.resolve_start(
                    action.incarnation,
                    action.task,
                    action.number,
                    start_response,
                    self._clock.now,
                )
            )

        if not self.target.is_up:
            self._clock.call_in(
                START_TIMEOUT_S,
                lambda: self.call_or_defer(
                    lambda: handle_response(StartResponse.UNKNOWN)
                ),
            )
            return
        if self.target.start_delays_s:
            late_s = self.target.start_delays_s.pop(0)
            token = self.fencing_token
            born = self.target.incarnation

            def deliver_late() -> None:
                if self.target.incarnation != born or not self.target.is_up:
                    # The process that had received it has ended.
                    return
                granted_at = (
                    self._clock.now
                    if self.target.is_lease_from_arrival
                    else sent_at
                )
                until = self._lease_end(granted_at)
                self.target.start(action, until, token)

            self._clock.call_in(late_s, deliver_late)
            self._clock.call_in(
                START_TIMEOUT_S,
                lambda: self.call_or_defer(
                    lambda: handle_response(StartResponse.UNKNOWN)
                ),
            )
            return

        token = self.fencing_token

        def handle_response_later(response: StartResponse) -> None:
            self._clock.call_in(
                HOP_DELAY_S,
                lambda: self.call_or_defer(lambda: handle_response(response)),
            )

        def deliver() -> None:
            if not self.target.is_up:
                # It has gone down since the request was sent.
                handle_response_later(StartResponse.UNKNOWN)
                return
            if self.target.is_unhealthy:
                handle_response_later(StartResponse.REJECTED)
                return
            until = self._lease_end(sent_at)
            start_response = self.target.start(action, until, token)
            after_s = HOP_DELAY_S
            if self.target.is_unresponsive:
                start_response, after_s = (
                    StartResponse.UNKNOWN,
                    START_TIMEOUT_S,
                )
            self._clock.call_in(
                after_s,
                lambda: self.call_or_defer(
                    lambda: handle_response(start_response)
                ),
            )

        self._clock.call_in(HOP_DELAY_S, deliver)

    @property
    def _is_reached(self) -> bool:
        """Whether the target carries out requests and responds to them."""
        target = self.target
        is_silent = target.is_unresponsive or target.is_unhealthy
        return target.is_up and not is_silent

    def _list_runs(self) -> None:
        """List the runs of the target; lost if that is unresponsive."""
        if not self._is_reached:
            return
        requested_at = self._clock.now

        def deliver() -> None:
            listed = self.target.list_runs(0)
            self._clock.call_in(
                HOP_DELAY_S,
                lambda: self.call_or_defer(lambda: receive(listed)),
            )

        def receive(listed: RunList) -> None:
            self.perform(
                self.guard.update_runs(listed, requested_at, self._clock.now)
            )

        self._clock.call_in(HOP_DELAY_S, deliver)

    def _stop(self, action: StopRun) -> None:
        """Send a stop to the target; it is lost if that is unresponsive."""
        if not self._is_reached:
            self._clock.call_in(
                START_TIMEOUT_S,
                lambda: self.call_or_defer(
                    lambda: self.perform(
                        self.guard.record_stop_failure(
                            action.incarnation,
                            action.task,
                            action.number,
                            self._clock.now,
                        )
                    )
                ),
            )
            return

        def handle_response() -> None:
            self.perform(
                self.guard.record_stop_ack(
                    action.incarnation,
                    action.task,
                    action.number,
                    self._clock.now,
                )
            )

        def deliver() -> None:
            self.target.stop(action)
            self._clock.call_in(
                HOP_DELAY_S, lambda: self.call_or_defer(handle_response)
            )

        self._clock.call_in(HOP_DELAY_S, deliver)


class EntryNode(Node):
    """Entry process, which dispatches the jobs of its callers.

    :param site: the site that the entry belongs to.
    :param name: name of the entry.
    :param incarnation: incarnation of this process.
    """

    def __init__(self, site: RunSite, name: str, incarnation: int) -> None:
        super().__init__()
        self._site = site
        self._clock = site.clock
        self.name = name
        self.entry = EntryId(name, incarnation)
        self.dispatcher = Dispatcher(self.entry, "here", site.far_factor)
        self.answers: dict[JobId, AnswerJob] = {}
        """Last answer to the caller of each job."""
        self.answered_at: dict[JobId, float] = {}
        """When each job was answered, in virtual time."""
        self.submitted_at: dict[str, float] = {}
        """When each job was submitted, in virtual time."""
        self.objectives_s: dict[str, float] = {}
        """Response time objective of each job in seconds, by true work."""
        self.logs: list[LogDispatchDecision] = []
        """Log entries of the dispatcher."""
        self.sessions: dict[int, AgentNode] = {}
        """Agent of each open stream, by the number of the session."""
        self._is_flush_scheduled = False
        """Whether a flush of the dispatcher is scheduled."""
        self.chosen_agents: set[str] = set()
        """Names of the agents that the entry maintains streams to."""
        self._start_timer(
            self._clock,
            lambda now: self.perform(self.dispatcher.tick(now)),
            self.dispatcher.tick_pause_s,
        )

    def perform(self, actions: list[Any]) -> None:
        """Perform actions of the dispatcher and schedule a flush if needed."""
        for action in actions:
            match action:
                case SendEntryMessage():
                    self._site.deliver_to_agent(self, action)
                case OpenAgentStream():
                    self._site.open_stream(self, action.name)
                case CloseAgentStream():
                    self._site.close_stream(self, action.name)
                case AnswerJob():
                    self.answers[action.job_id] = action
                    self.answered_at[action.job_id] = self._clock.now
                case LogDispatchDecision():
                    self.logs.append(action)
        if self.dispatcher.needs_flush and not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            self._clock.call_in(0.0, lambda: self.call_or_defer(self._flush))
        self._schedule_tick()

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        if self.dispatcher.needs_flush:
            self.perform(self.dispatcher.flush(self._clock.now))

    def submit(
        self,
        job_id: str,
        tasks: int,
        work_ms: int,
        queue: Queue = QUEUE,
        wait_s: float = 10.0,
        declared_ms: int | None = None,
        max_tasks_per_target: int = 0,
        required_label: str = "",
        demand: Resources = TASK,
    ) -> None:
        """Submit a job of one step.

        :param job_id: id of the job.
        :param tasks: number of tasks.
        :param work_ms: true work of each task.
        :param queue: the queue that the job is for.
        :param wait_s: how long the caller waits for an answer.
        :param declared_ms: work that the job declares; the true work if none.
        :param max_tasks_per_target: limit on tasks per target; 0 for no limit.
        :param required_label: label that a target must have; empty for none.
        :param demand: demand of each task.
        """
        self.submitted_at[job_id] = self._clock.now
        self.objectives_s[job_id] = (
            queue.stretch * work_ms / 1000 + queue.allowance_s
        )
        declared_s = (declared_ms or work_ms) / 1000
        step = Step(
            tasks,
            demand,
            declared_s,
            required_label=required_label,
            max_tasks_per_target=max_tasks_per_target,
        )
        spec = JobSpec(str(work_ms), (step,))
        self.call_or_defer(
            lambda: self.perform(
                self.dispatcher.submit(
                    JobId(job_id), queue, spec, wait_s, self._clock.now
                )
            )
        )

    def disconnect_caller(self, job_id: str) -> None:
        """Report to the dispatcher that the caller has disconnected."""
        self.call_or_defer(
            lambda: self.perform(
                self.dispatcher.remove_job(JobId(job_id), self._clock.now)
            )
        )


class RunSite:
    """Entries, agents and targets, connected by streams.

    :param entries: number of entries.
    :param targets: number of targets, each with an agent.
    :param cores: CPU cores of each target.
    :param warm_up_s: time to run before the constructor returns, in which
        entries discover the agents.
    :param heartbeat_gap_s: delay between the first heartbeats of two targets.
    """

    far_factor = 1.0
    """Factor on run times on other racks than that of a task's data."""

    def __init__(
        self,
        entries: int,
        targets: int,
        cores: int = 16,
        warm_up_s: float = 1.5,
        heartbeat_gap_s: float = 0.0,
    ) -> None:
        self.clock = VirtualClock()
        self.site_config = SiteConfig(1, 1, self.make_queues())
        """Site configuration that all processes start with."""
        self.targets = [
            self.make_target(f"t{number}", cores) for number in range(targets)
        ]
        self._last_session = 0
        self._last_incarnation = 0
        self.disconnected_pairs: set[tuple[str, str]] = set()
        """Pairs of entry and target whose messages are lost."""
        self.stalls: dict[tuple[str, str], float] = {}
        """Until when the messages of a sender to a receiver are held back."""
        self.agents: list[AgentNode] = []
        self.entries: list[EntryNode] = []
        for number, target in enumerate(self.targets):
            self._last_incarnation += 1
            first_heartbeat_s = HEARTBEAT_INTERVAL_S + number * heartbeat_gap_s
            self.agents.append(
                self.make_agent(
                    target, self._last_incarnation, first_heartbeat_s
                )
            )
        for number in range(entries):
            self._last_incarnation += 1
            self.entries.append(
                self.make_entry(f"e{number}", self._last_incarnation)
            )
        for agent in self.agents:
            agent.perform(
                agent.guard.adopt_site_config(self.site_config, self.clock.now)
            )
        for entry in self.entries:
            entry.perform(
                entry.dispatcher.adopt_site_config(
                    self.site_config, self.clock.now
                )
            )
            self.report_agents(entry)
        self.advance(warm_up_s)

    @property
    def history(self) -> list[RunRecord]:
        """All runs of all targets, by start."""
        runs = [run for target in self.targets for run in target.history]
        return sorted(runs, key=lambda run: run.started_at)

    def make_queues(self) -> tuple[Queue, ...]:
        """Return the queues of the site configuration."""
        return (QUEUE,)

    def make_target(self, name: str, cores: int) -> FakeTarget:
        """Start a target."""
        return FakeTarget(self.clock, name, cores)

    def make_agent(
        self,
        target: FakeTarget,
        incarnation: int,
        first_heartbeat_s: float = HEARTBEAT_INTERVAL_S,
    ) -> AgentNode:
        """Start the agent of a target."""
        return AgentNode(self, target, incarnation, first_heartbeat_s)

    def make_entry(self, name: str, incarnation: int) -> EntryNode:
        """Start an entry."""
        return EntryNode(self, name, incarnation)

    @property
    def crash_times(self) -> dict[Any, set[float]]:
        """When each task has crashed targets."""
        times: dict[Any, set[float]] = {}
        for target in self.targets:
            for task, own in target.crash_times.items():
                times.setdefault(task, set()).update(own)
        return times

    def make_task_crash_targets(self, job_id: str, index: int) -> None:
        """Make a task of a job crash each target that starts it."""
        for target in self.targets:
            target.crashing_tasks.add((job_id, index))

    def tasks_over_budget(self) -> list[str]:
        """Return tasks started MAX_STARTS times after three crashes by them.

        The platform's limit on tasks that crash the targets that start them.
        """
        crashes: Counter[Any] = Counter()
        starts: Counter[Any] = Counter()
        crash_times = self.crash_times
        for run in self.history:
            if crashes[run.task] >= MAX_CRASHES:
                starts[run.task] += 1
            is_crash = run.ended_at in crash_times.get(run.task, ())
            crashes[run.task] += is_crash
        return [
            f"started too often after crashes: {task}"
            for task, count in starts.items()
            if count >= MAX_STARTS
        ]

    def unfounded_failures(self) -> list[str]:
        """Return jobs answered as failed that neither failed nor crash.

        A job has failed if a task has failed as often as its queue allows. It
        may be given up if MIN_GIVE_UP_CRASHES targets crashed under a task.
        """
        crash_times = {
            target.name: target.crashed_at for target in self.targets
        }
        failures: Counter[Any] = Counter()
        crashes: Counter[Any] = Counter()
        for run in self.history:
            failures[run.task] += run.outcome is RunOutcome.FAILED
            crashes[run.task] += run.ended_at in crash_times[run.target]
        founded = {
            task.job_id
            for task in failures
            if failures[task] >= QUEUE.max_attempts
            or crashes[task] >= MIN_GIVE_UP_CRASHES
        }
        return [
            f"shown as failed without cause: {job_id} ({answer.code.name})"
            for entry in self.entries
            for job_id, answer in entry.answers.items()
            if answer.outcome is JobOutcome.FAILED and job_id not in founded
        ]

    def starts_of(self, job_id: str, index: int) -> list[RunRecord]:
        """Return the runs of a task of a job, by start."""
        return [
            run
            for run in self.history
            if (run.task.job_id, run.task.index) == (job_id, index)
        ]

    def advance(self, duration_s: float) -> None:
        """Advance the virtual time by a duration."""
        self.clock.run_until(self.clock.now + duration_s)

    def report_agents(self, entry: EntryNode) -> None:
        """Update an entry with all agents, as the store does."""
        announced_agents = tuple(
            AnnouncedAgent(
                agent.guard.name,
                agent.target.name,
                SERVICE,
                "here",
                agent.target.labels,
            )
            for agent in self.agents
        )
        entry.perform(
            entry.dispatcher.update_agents(announced_agents, self.clock.now)
        )

    def open_stream(self, entry: EntryNode, name: str) -> None:
        """Open a stream to an agent that the entry has chosen."""
        entry.chosen_agents.add(name)

        def open_streams() -> None:
            for agent in self.agents:
                if agent.guard.name == name and agent.is_up:
                    self.connect(entry, agent)

        self.clock.call_in(
            2 * HOP_DELAY_S, lambda: entry.call_or_defer(open_streams)
        )

    def close_stream(self, entry: EntryNode, name: str) -> None:
        """Close the streams to an agent that the entry no longer uses."""
        entry.chosen_agents.discard(name)
        for agent in self.agents:
            if agent.guard.name == name:
                self.disconnect(entry, agent)

    def connect(self, entry: EntryNode, agent: AgentNode) -> None:
        """Open a stream between an entry and an agent."""
        self._last_session += 1
        session = self._last_session
        entry.sessions[session] = agent
        now = self.clock.now
        agent.call_or_defer(
            lambda: agent.perform(
                agent.guard.open_session(session, entry.entry, now)
            )
        )
        entry.call_or_defer(
            lambda: entry.perform(
                entry.dispatcher.open_agent(session, agent.guard.name, now)
            )
        )

    def disconnect(self, entry: EntryNode, agent: AgentNode) -> None:
        """Break all streams between an entry and an agent."""
        for session, other in list(entry.sessions.items()):
            if other is not agent:
                continue
            del entry.sessions[session]
            self._close_stream_ends(entry, agent, session)

    def _close_stream_ends(
        self, entry: EntryNode, agent: AgentNode, session: int
    ) -> None:
        agent.call_or_defer(
            lambda: agent.perform(
                agent.guard.close_session(session, self.clock.now)
            )
        )
        entry.call_or_defer(
            lambda: entry.perform(
                entry.dispatcher.close_agent(session, self.clock.now)
            )
        )

    def restart_agent(self, agent: AgentNode, down_s: float) -> None:
        """Kill an agent and start a new process without its state."""
        agent.is_up = False
        for entry in self.entries:
            for session, other in list(entry.sessions.items()):
                if other is agent:
                    del entry.sessions[session]
                    self._close_stream_ends(entry, agent, session)

        def start_again() -> None:
            self._last_incarnation += 1
            new_agent = self.make_agent(agent.target, self._last_incarnation)
            self.agents[self.agents.index(agent)] = new_agent
            for entry in self.entries:
                if new_agent.guard.name in entry.chosen_agents:
                    self.connect(entry, new_agent)

        self.clock.call_in(down_s, start_again)

    def kill_entry(self, entry: EntryNode) -> None:
        """Kill an entry for good and break its streams."""
        entry.is_up = False
        for agent in self.agents:
            self.disconnect(entry, agent)

    def _delay_s(self, sender: str, receiver: str) -> float:
        """Return how long a message takes, in seconds."""
        until = self.stalls.get((sender, receiver), self.clock.now)
        return max(0.0, until - self.clock.now) + HOP_DELAY_S

    def deliver_to_entry(self, agent: AgentNode, action: SendMessage) -> None:
        """Deliver an agent's message unless the two are disconnected."""
        for entry in self.entries:
            if entry.sessions.get(action.session) is not agent:
                continue
            if (entry.name, agent.target.name) in self.disconnected_pairs:
                return
            self.clock.call_in(
                self._delay_s(agent.target.name, entry.name),
                lambda entry=entry: entry.call_or_defer(
                    lambda: entry.perform(
                        entry.dispatcher.receive_agent(
                            action.session, action.message, self.clock.now
                        )
                    )
                ),
            )

    def deliver_to_agent(
        self, entry: EntryNode, action: SendEntryMessage
    ) -> None:
        """Deliver an entry's message unless the two are disconnected."""
        agent = entry.sessions.get(action.session)
        if (
            agent is None
            or (entry.name, agent.target.name) in self.disconnected_pairs
        ):
            return
        self.clock.call_in(
            self._delay_s(entry.name, agent.target.name),
            lambda: agent.call_or_defer(
                lambda: agent.perform(
                    agent.guard.receive(
                        action.session, action.message, self.clock.now
                    )
                )
            ),
        )

    def concurrent_runs(self) -> list[tuple[RunRecord, RunRecord]]:
        """Return pairs of runs of one task that overlap in time."""
        pairs = []
        by_task: dict[Any, list[RunRecord]] = {}
        for run in self.history:
            for other in by_task.setdefault(run.task, []):
                if other.ended_at is None or other.ended_at > run.started_at:
                    pairs.append((other, run))
            by_task[run.task].append(run)
        return pairs

    def targets_over_capacity(self) -> list[str]:
        """Return the names of targets that exceeded their CPU capacity."""
        names = []
        for target in self.targets:
            changes = []
            for run in target.history:
                changes.append((run.started_at, 1))
                if run.ended_at is not None:
                    changes.append((run.ended_at, -1))
            running = 0
            for _, change in sorted(changes):
                running += change
                used = running * TASK.cpu_millicores
                if used > target.capacity.cpu_millicores:
                    names.append(target.name)
        return names
