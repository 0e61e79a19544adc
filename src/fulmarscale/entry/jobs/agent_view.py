"""The state of one agent and its target, as seen by an entry."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

from fulmarscale.entry.jobs.estimates import SLOW_FACTOR
from fulmarscale.entry.jobs.estimates import Slowness
from fulmarscale.entry.jobs.unconfirmed_starts import ReportedStarts
from fulmarscale.runs.limits import ECHO_GAP_S
from fulmarscale.runs.limits import IDLE_PING_S
from fulmarscale.runs.limits import LATE_START_S
from fulmarscale.runs.limits import MAX_STATE_AGE_S
from fulmarscale.runs.limits import PROBE_TIMEOUT_S
from fulmarscale.runs.lost_agent_starts import LostAgentStart
from fulmarscale.runs.lost_agent_starts import MAX_LEFT_S
from fulmarscale.runs.messages import UnconfirmedStart
from fulmarscale.runs.model import Resources
from fulmarscale.runs.model import TargetState

if TYPE_CHECKING:
    from collections import Counter

    from fulmarscale.runs.messages import AgentMessage
    from fulmarscale.runs.messages import CompletionAck
    from fulmarscale.runs.messages import DurableCompletion
    from fulmarscale.runs.messages import ExpectedRun
    from fulmarscale.runs.messages import QueueLoad
    from fulmarscale.runs.messages import StartRequest
    from fulmarscale.runs.model import JobId
    from fulmarscale.runs.model import ServiceName
    from fulmarscale.runs.model import TargetReport
    from fulmarscale.runs.model import TaskKey
    from fulmarscale.wire.messages import AgentToken

QUARANTINE_FAILURES: Final = 3
"""Consecutive failed or stalled runs after which a target is quarantined.

A quarantined target gets one trial run at a time.
"""

REFUSAL_BACKOFF_S: Final = 0.02
"""Pause after a refused start, to let a newer report of the target arrive."""

SILENCE_S: Final = IDLE_PING_S + 0.1
"""Time without a message after which an agent has missed a keep-alive."""

TRIAL_INTERVAL_S: Final = 1.0
"""Pause after a failed run before a quarantined target gets another trial."""


class AgentView:
    """The state of one agent, its stream and its target, as seen by an entry.

    Also queues what the next message to the agent contains.
    """

    def __init__(
        self,
        name: str,
        now: float,
        dirty: set[str],
        assigned_by_job: Counter[JobId],
    ) -> None:
        self._dirty = dirty
        """Names of agents with a message due; shared with the fleet."""
        self._assigned_by_job = assigned_by_job
        """Number of the assigned tasks of each job; shared with the fleet."""
        self.name = name
        self.session: int | None = None
        """The number of the open stream; none while disconnected."""
        self.token: AgentToken | None = None
        """The agent's newest token, which is echoed to it."""
        self.last_message_at = now
        """When its last message was received."""
        self.sent_at = now
        """When the last message to it was sent."""
        self.sequence = 0
        """The sequence number of the last message to it."""
        self.target: TargetReport | None = None
        """The last report of its target; none while the target is down."""
        self.leaves_at: float | None = None
        """When its target may end, by the entry's clock; none if not known."""
        self.is_cold = False
        """Whether its target is slow, as it has only just started."""
        self.is_stopping = False
        """Whether the agent shuts down and starts nothing more."""
        self.site_revision = 0
        """The revision of the site configuration that the agent has."""
        self.others_backlog = 0
        """Demand waiting at other entries, in thousandths of a core."""
        self.others_by_priority: dict[int, int] = {}
        """The same by priority class; empty if the site has no priorities."""
        self.assigned: dict[TaskKey, int] = {}
        """Numbers of the start requests whose runs may not have ended."""
        self._requested_at: dict[TaskKey, float] = {}
        """When each of those starts was requested."""
        self._newest_token: AgentToken | None = None
        """The agent's newest token, also of an earlier stream."""
        self._begun: set[TaskKey] = set()
        """Those of the tasks whose runs are known to have begun."""
        self.starts: list[StartRequest] = []
        """Start requests for the next message."""
        self.stops: list[TaskKey] = []
        """Tasks whose runs the next message stops."""
        self.acks: list[CompletionAck] = []
        """Acknowledgements of completions for the next message."""
        self.unacknowledged: dict[int, DurableCompletion] = {}
        """Completions that the agent keeps, by position in its target's list.

        They are removed once an acknowledgement is queued.
        """
        self._reported_starts = ReportedStarts()
        """Tasks of any entry whose starts the target may still carry out."""
        self.unconfirmed: tuple[UnconfirmedStart, ...] = ()
        """Starts of the agent's former processes, for the next message."""
        self.lost_agent_starts: list[LostAgentStart] = []
        """Starts at agents that are lost, for the next message."""
        self.expected: tuple[ExpectedRun, ...] = ()
        """Runs from an earlier stream, for the first message of this one."""
        self._free = Resources()
        self._is_offered_elsewhere = False
        """Whether the agent offers its free capacity to another entry."""
        self.has_reported_backlog = False
        """Whether the last message to the agent reported a backlog here."""
        self.must_probe = False
        """Whether the next message requests an immediate reply."""
        self.probed_at: float | None = None
        """When a capacity probe was sent; none once a message has arrived."""
        self.last_echo_s = float("-inf")
        """The agent's time in the token that was echoed last."""
        self.slowness = Slowness()
        """How much longer than expected runs take on the target."""
        self.failures = 0
        """Failed or stalled runs since the last successful one."""
        self.next_trial_at = float("-inf")
        """When a quarantined target may get its next trial run."""
        self.refused_at = float("-inf")
        """When the agent last refused a start."""
        self._used = Resources()
        """The resources in use by the agent's last message."""
        self._probation_job: JobId | None = None
        """The job that this entry last started there on probation."""
        self._probation_ends_at = float("-inf")
        """When runs of other jobs may start there."""
        self.queue_loads: tuple[QueueLoad, ...] = ()
        """What the runs of each queue use, by that message."""
        self._unaccounted_starts: list[tuple[int, Resources]] = []
        """Message sequence and demand of starts that `_used` leaves out."""

    @property
    def data_centre(self) -> str:
        """The target's data centre; empty while unknown."""
        return "" if self.target is None else self.target.data_centre

    @property
    def capacity(self) -> Resources:
        """The target's total resources; zero while it is unknown."""
        return Resources() if self.target is None else self.target.capacity

    @property
    def is_quarantined(self) -> bool:
        """Whether the last runs on its target all failed or stalled."""
        return self.failures >= QUARANTINE_FAILURES

    @property
    def free(self) -> Resources:
        """Free capacity, less the starts sent since the agent's report."""
        return self._free

    @property
    def available(self) -> Resources:
        """Free capacity for this entry: none while another is offered it."""
        return Resources() if self._is_offered_elsewhere else self._free

    @property
    def are_loads_known(self) -> bool:
        """Whether the last message says what each queue uses."""
        return bool(self.queue_loads) or not self._used.cpu_millicores

    def mark_dirty(self) -> None:
        """Schedule a message to the agent."""
        self._dirty.add(self.name)

    def has_label(self, label: str) -> bool:
        """Return whether the target has a label; its rack is one of them."""
        return self.target is not None and label in self.target.labels

    def update(self, message: AgentMessage, now: float) -> bool:
        """Apply a message of the agent.

        :param message: the message.
        :param now: the entry's time.
        :returns: whether more tasks may be placed there than before.
        """
        available_before = self.available
        was_usable = now - self.last_message_at <= MAX_STATE_AGE_S
        is_target_unchanged = was_usable and message.target == self.target
        own_starts: tuple[UnconfirmedStart, ...] = ()
        is_new_process = self._reported_starts.is_of_new_process(message)
        if is_new_process:
            own_starts = self._own_unconfirmed(now)
        is_any_ruled_out = self._reported_starts.update(message, now)
        if is_new_process:
            others = self._reported_starts.hand_back(now)
            self.unconfirmed = own_starts + others
            self.mark_dirty()
        self.probed_at = None
        self.token = self._newest_token = message.token
        self.last_message_at = now
        self.target = message.target
        self._date_target(message.token.time_s, now)
        self.is_stopping = message.is_stopping
        self.site_revision = message.site_revision
        self.others_backlog = message.others_backlog
        self.others_by_priority = {
            demand.priority: demand.millicores
            for demand in message.other_demands
        }
        self._used = message.used
        self.queue_loads = message.queue_loads
        self._probation_ends_at = now + message.probation_s
        self._is_offered_elsewhere = message.is_offered_elsewhere
        self._unaccounted_starts = [
            (sequence, demand)
            for sequence, demand in self._unaccounted_starts
            if sequence > message.last_sequence
        ]
        self._update_free()
        if is_any_ruled_out:
            return True
        return not is_target_unchanged or not self.available.fits(
            available_before
        )

    def _date_target(self, sent_at: float, now: float) -> None:
        """Convert the times in the target's report to the entry's clock.

        :param sent_at: the agent's time when it sent the report.
        :param now: the entry's time.
        """
        target = self.target
        self.leaves_at = None
        self.is_cold = False
        if target is None:
            return
        if target.leaves_at is not None:
            self.leaves_at = now + target.leaves_at - sent_at
        if target.cold_until is not None:
            self.is_cold = sent_at < target.cold_until

    def _update_free(self) -> None:
        """Recompute the free capacity from the last report and new starts."""
        free = self.capacity - self._used
        for _, demand in self._unaccounted_starts:
            free -= demand
        self._free = free

    def reset(self) -> None:
        """Clear the state that belongs to one stream.

        Tasks stay assigned: their runs may go on without a stream.
        """
        self.probed_at = None
        self.must_probe = False
        self.has_reported_backlog = False
        self.last_echo_s = float("-inf")
        self._unaccounted_starts.clear()
        self._update_free()
        self.starts.clear()
        self.stops.clear()
        self.acks.clear()
        self.lost_agent_starts.clear()
        self.unacknowledged.clear()

    def is_usable(
        self, service: ServiceName, closed: tuple[str, ...], now: float
    ) -> bool:
        """Return whether tasks of a service may be placed on the agent.

        :param service: the pool of targets that the tasks need.
        :param closed: data centres in which nothing may start.
        :param now: the entry's time.
        """
        if not self.serves(service, closed):
            return False
        if now - self.last_message_at > MAX_STATE_AGE_S or self.token is None:
            return False
        if now - self.refused_at < REFUSAL_BACKOFF_S:
            return False
        return not self.is_quarantined or self.is_trial_due(now)

    def is_trial_due(self, now: float) -> bool:
        """Return whether a quarantined or slow target may get a trial run."""
        return not self.assigned and now >= self.next_trial_at

    def serves(self, service: ServiceName, closed: tuple[str, ...]) -> bool:
        """Return whether the agent can be given runs of a service.

        It must be connected and not shutting down, and its target, by its
        last report, must accept runs of the service in an open data centre.

        :param service: the pool of targets that the runs need.
        :param closed: data centres in which nothing may start.
        """
        target = self.target
        if self.session is None or target is None or self.is_stopping:
            return False
        if target.state is not TargetState.READY:
            return False
        return target.service == service and target.data_centre not in closed

    def needs_probe(self, now: float) -> bool:
        """Return whether the agent must be probed before tasks are placed."""
        if self.session is None or self.probed_at is not None:
            return False
        return now - self.last_message_at > MAX_STATE_AGE_S

    def is_probe_pending(self, now: float) -> bool:
        """Return whether a reply to a capacity probe is still expected."""
        return (
            self.probed_at is not None
            and now - self.probed_at <= PROBE_TIMEOUT_S
        )

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the agent left a capacity probe unanswered."""
        return (
            self.probed_at is not None
            and now - self.probed_at > PROBE_TIMEOUT_S
        )

    def probe(self) -> None:
        """Schedule a capacity probe: the reply also carries a new token."""
        self.must_probe = True
        self.mark_dirty()

    def is_on_probation(self, job_id: JobId, now: float) -> bool:
        """Return whether a run of another job was started there just now.

        :param job_id: the job whose tasks are to be started.
        :param now: the entry's time.
        """
        return now < self._probation_ends_at and job_id != self._probation_job

    def add_start(self, request: StartRequest, now: float) -> None:
        """Queue a start request for the next message.

        :param request: the request.
        :param now: the entry's time.
        """
        if request.probation_s > 0.0:
            self._probation_job = request.task.job_id
            self._probation_ends_at = now + request.probation_s
        self.starts.append(request)
        if request.task not in self.assigned:
            self._assigned_by_job[request.task.job_id] += 1
        self.assigned[request.task] = request.request_number
        self._requested_at[request.task] = now
        self._unaccounted_starts.append((self.sequence + 1, request.demand))
        self._free -= request.demand
        self.mark_dirty()

    def record_begun(self, task: TaskKey) -> None:
        """Record that the run of a task has begun."""
        if task in self.assigned:
            self._begun.add(task)

    def may_begin(self, task: TaskKey, now: float) -> bool:
        """Return whether a requested run may still begin without its agent.

        A target may carry out a start request late. Its agent rules that out
        once it is connected again: the target then rejects the request.

        :param task: the task of the run.
        :param now: the entry's time.
        """
        if task not in self.assigned or task in self._begun:
            return False
        return now - self.last_message_at <= LATE_START_S

    def has_unexpired_run(self, task: TaskKey, now: float) -> bool:
        """Return whether a run of a task may go on, or begin, on the target.

        :param task: the task.
        :param now: the entry's time.
        """
        if task in self.assigned:
            return True
        return self._reported_starts.includes(task, now)

    def reports_start_of(self, job_id: JobId, now: float) -> bool:
        """Return whether the agent reports an open start of a job.

        :param job_id: the job.
        :param now: the entry's time.
        """
        reported = self._reported_starts.tasks(now)
        if not reported:
            return False
        return any(task.job_id == job_id for task in reported)

    def _own_unconfirmed(self, now: float) -> tuple[UnconfirmedStart, ...]:
        """Return the requested runs that may still begin.

        :param now: the entry's time.
        """
        left_s = self.last_message_at + LATE_START_S - now
        return tuple(
            UnconfirmedStart(task, left_s)
            for task in self.assigned
            if self.may_begin(task, now)
        )

    def open_starts(
        self, now: float, *, is_own_lost: bool
    ) -> tuple[LostAgentStart, ...]:
        """Return the starts that the target may carry out without its agent.

        Those of other entries count once the agent has missed a keep-alive.

        :param now: the entry's time.
        :param is_own_lost: whether this entry's starts are included.
        """
        is_silent = now - self.last_message_at > SILENCE_S
        if not is_own_lost and self.session is not None and not is_silent:
            return ()
        left_s: dict[TaskKey, float] = {}
        if self.session is None or is_silent:
            left_s = self._reported_starts.left_s(now)
        if is_own_lost:
            left_s |= {
                task: requested_at + MAX_LEFT_S - now
                for task, requested_at in self._requested_at.items()
                if task not in self._begun
            }
        return tuple(
            LostAgentStart(self.name, task, left_s[task], self._newest_token)
            for task in left_s
            if left_s[task] > 0.0
        )

    def add_unexpired_tasks(self, tasks: set[TaskKey], now: float) -> None:
        """Add the tasks of which a run may go on, or begin, on the target.

        :param tasks: the set that they are added to.
        :param now: the entry's time.
        """
        tasks.update(self.assigned)
        tasks.update(self._reported_starts.tasks(now))

    def is_lost(self, now: float) -> bool:
        """Return whether the agent may be down.

        :param now: the entry's time.
        """
        return (
            self.session is None
            or now - self.last_message_at > MAX_STATE_AGE_S
        )

    def release(self, task: TaskKey) -> None:
        """Remove a task whose run has ended."""
        del self.assigned[task]
        self._assigned_by_job[task.job_id] -= 1
        if not self._assigned_by_job[task.job_id]:
            del self._assigned_by_job[task.job_id]
        del self._requested_at[task]
        self._begun.discard(task)

    def add_acks(self, acks: tuple[CompletionAck, ...]) -> None:
        """Queue acknowledgements of completions for the next message."""
        self.acks += acks
        for ack in acks:
            self.unacknowledged.pop(ack.position, None)
        self.mark_dirty()

    def is_due(self, now: float) -> bool:
        """Return whether a keep-alive or an echo is due."""
        if now - self.sent_at >= IDLE_PING_S:
            return True
        if self.token is None or not (
            self.assigned or self.has_reported_backlog
        ):
            return False
        # The agent stops the runs of an entry whose echoes are too old.
        return self.token.time_s - self.last_echo_s >= ECHO_GAP_S

    def record_failure(self, now: float) -> None:
        """Record a failed or stalled run and delay the next trial run."""
        self.failures += 1
        self.next_trial_at = now + TRIAL_INTERVAL_S

    def record_slowness(self, factor: float, now: float) -> None:
        """Record a run's time, and delay the next trial if it is slow.

        :param factor: the ratio of its time to the expected time.
        :param now: the entry's time.
        """
        self.slowness.record(factor, now)
        if factor >= SLOW_FACTOR:
            self.next_trial_at = now + TRIAL_INTERVAL_S

    def record_success(self) -> None:
        """Record a successful run, which ends a quarantine."""
        self.failures = 0
