"""Numbered log events.

A test compares the table in docs/EVENTS.md with the events in this module.
"""

from __future__ import annotations

from enum import Enum
from enum import IntEnum
import logging


class Importance(Enum):
    """How much a line matters when not all lines can be kept."""

    ROUTINE = "routine"
    """An expected decision, written for each job or start request."""
    CHANGE = "change"
    """A change of the state of a process, a stream, a target or the site."""
    WARNING = "warning"
    """Something that explains a failure, or a second run of a task."""
    ERROR = "error"
    """A fault of the program itself."""

    @property
    def level(self) -> int:
        """The level of its lines, as in `logging`."""
        match self:
            case Importance.WARNING:
                return logging.WARNING
            case Importance.ERROR:
                return logging.ERROR
            case _:
                return logging.INFO


class Event(IntEnum):
    """Log events; the name and the number are fields of the log line."""

    importance: Importance
    """How much a line of the event matters."""

    def __new__(cls, number: int, importance: Importance) -> Event:
        """Create a member from its number and importance."""
        member = int.__new__(cls, number)
        member._value_ = number
        member.importance = importance
        return member

    PROCESS_STARTED = 100, Importance.CHANGE
    """The process is up and begins to join the site."""
    PROCESS_STOPPED = 101, Importance.CHANGE
    """The process ends."""
    STOP_REQUESTED = 102, Importance.CHANGE
    """A graceful shutdown began; work in progress is finished first."""
    LINES_DROPPED = 103, Importance.WARNING
    """Lines were dropped, as the output of the log took none for too long.

    `events` has their number by event.
    """
    CLIENT_REFUSED = 110, Importance.WARNING
    """A client exceeded a bound and its connection is closed.

    `bound` is the kind of bound, `bytes` what had arrived of the request,
    `age_s` the time since its first byte. `omitted` clients before it were
    not logged.
    """
    LEASE_GAINED = 200, Importance.CHANGE
    """The entry's lease was confirmed; it may accept and start work."""
    LEASE_LOST = 201, Importance.WARNING
    """The entry's lease ran out; it accepts and starts nothing.

    Neither the platform's table nor all peers confirmed it in time.
    """
    ENTRY_LIST_ADOPTED = 202, Importance.CHANGE
    """The entry adopted a newer version of the entry list."""
    ENTRY_REMOVAL_STARTED = 203, Importance.WARNING
    """A peer sent no message for too long; its removal has begun."""
    INCARNATION_REPLACED = 204, Importance.WARNING
    """The entry was removed from the entry list.

    It drops its records and joins again as a new incarnation.
    """
    HAND_OVER_RECEIVED = 205, Importance.CHANGE
    """An entry that shuts down handed over all its records."""
    ENTRY_LEFT = 206, Importance.CHANGE
    """The entry has left the entry list in a graceful shutdown."""
    CONFIGURATION_ADOPTED = 300, Importance.CHANGE
    """The entry adopted a newer configuration."""
    CHANGE_ACCEPTED = 301, Importance.CHANGE
    """The platform's table accepted an operator's change."""
    CHANGE_REFUSED = 302, Importance.CHANGE
    """The platform's table rejected an operator's change.

    Another change of the same row came first.
    """
    TABLE_FAILED = 303, Importance.WARNING
    """A request to the platform's table failed; it is repeated.

    Logged at most once in 10 s.
    """
    SITE_STATE_ADOPTED = 310, Importance.CHANGE
    """The process adopted a newer site configuration."""
    STORE_LOST = 311, Importance.WARNING
    """A request to the platform's store failed.

    The process continues with the state that it has.
    """
    STORE_REGAINED = 312, Importance.CHANGE
    """The platform's store responds again."""
    STORE_ANSWERED_STALE = 313, Importance.WARNING
    """The store returned a state older than the known one; it is ignored."""
    ROW_UNREADABLE = 314, Importance.WARNING
    """A row of the store can't be decoded.

    The row is skipped; a version decoded earlier stays in use.
    """
    AGENT_ROW_WRITTEN = 315, Importance.CHANGE
    """The agent's address was written to the store."""
    SETTINGS_RELOADED = 316, Importance.CHANGE
    """The settings file has changed; the new settings are in use."""
    SETTINGS_UNREADABLE = 317, Importance.WARNING
    """The settings file can't be read; the settings in use stay."""
    AGENT_ROW_UNKNOWN = 318, Importance.WARNING
    """The agent could not read its own row at its start.

    The next heartbeat identifies its target instead.
    """
    AGENT_ROW_CONFLICT = 319, Importance.WARNING
    """The agent's row is not the version that its write follows.

    An earlier write, of this process or a former one, was applied late.
    """
    AGENT_CONNECTED = 400, Importance.CHANGE
    """A stream between this entry and an agent is open."""
    AGENT_LOST = 401, Importance.CHANGE
    """The stream between this entry and an agent ended."""
    AGENT_REPLACED = 402, Importance.WARNING
    """An agent restarted; the outcome of the tasks it had is unknown."""
    AGENT_QUARANTINED = 404, Importance.WARNING
    """An agent failed several tasks in a row; it gets only probe tasks."""
    AGENT_DRAINING = 405, Importance.CHANGE
    """An operator set the agent to accept no new tasks, or to resume."""
    AGENT_SILENT = 406, Importance.WARNING
    """An agent sent no message for longer than the leases of its runs.

    All its runs count as ended.
    """
    AGENT_CHOSEN = 407, Importance.CHANGE
    """The entry added an agent to its subset and connects to it.

    `chosen` is the number of agents in the subset, `size` how many usable ones
    the entry wants.
    """
    AGENT_LEFT_OUT = 408, Importance.CHANGE
    """The entry removed an agent from its subset and closes the stream.

    It had no use for the agent for 10 s.
    """
    LOST_STARTS_SHARED = 409, Importance.WARNING
    """Targets of lost agents may still begin runs of some tasks.

    The entry tells the others, so that none of them starts these tasks
    elsewhere meanwhile.
    """
    ENTRY_CONNECTED = 410, Importance.CHANGE
    """An entry opened a stream to this agent."""
    ENTRY_DISCONNECTED = 411, Importance.CHANGE
    """An entry's stream to this agent ended."""
    JOB_ANSWERED = 500, Importance.ROUTINE
    """A submission has its final answer."""
    RECOVERY_STARTED = 501, Importance.CHANGE
    """The entry asks all agents for a submission of a lost owner."""
    RECOVERY_ENDED = 502, Importance.CHANGE
    """The search at the agents ended.

    `found` agents had records of the submission, `silent` did not answer.
    """
    JOB_TAKEN = 510, Importance.ROUTINE
    """The entry accepted a job and will dispatch its tasks."""
    JOB_JOINED = 511, Importance.ROUTINE
    """A request for a job in progress arrived again.

    It waits for the same answer as the first.
    """
    JOB_CANCELLED = 512, Importance.ROUTINE
    """The entry dropped a job and stops its runs.

    The caller disconnected, or a durable job was cancelled or is no longer
    owned by this entry.
    """
    JOB_ENDED = 513, Importance.ROUTINE
    """A job has its answer; the outcome and the reason are logged.

    For a failed job, `code` is that of the answer, `failures` and `crashes`
    the most failed runs of one task and crashes of targets under one, and
    `attempts` the number of failed runs at which it fails.
    """
    JOB_REJECTED = 514, Importance.ROUTINE
    """An HTTP request was rejected on receipt."""
    JOB_HOPELESS = 515, Importance.ROUTINE
    """A job is predicted to end too late; it is rejected or abandoned.

    The inputs of the prediction are logged.
    """
    JOB_NOT_KEPT = 516, Importance.ROUTINE
    """A durable job was rejected, or its record could not be stored."""
    JOB_STORED = 517, Importance.ROUTINE
    """The record of a durable job was stored in a new state."""
    JOB_REVOKED = 518, Importance.ROUTINE
    """A durable job was cancelled at its caller's request."""
    JOB_TAKEN_OVER = 519, Importance.WARNING
    """The entry took over a durable job from an owner that is gone."""
    RUN_FAILED = 520, Importance.WARNING
    """A run failed; its task is retried until its attempts are used up."""
    RUN_CUT_SHORT = 521, Importance.WARNING
    """A run was stopped or its lease ran out; its task is queued again."""
    RUN_NOT_STARTED = 522, Importance.ROUTINE
    """An agent did not start a run; its task is queued again.

    Not logged when the agent merely lacked free capacity.
    """
    RUN_MOVED = 523, Importance.WARNING
    """A run makes no progress, is far too slow or outlasts its target.

    It is being stopped so that its task can start at another agent.
    """
    JOB_CRASHES_TARGETS = 524, Importance.WARNING
    """A job is given up, as targets crashed under one of its tasks.

    `crashes` is their number, `suspicion` the probability that the job has
    caused one of them, and `is_founded` tells whether the task certainly ran
    at two of them.
    """
    JOB_ON_TRIAL = 525, Importance.CHANGE
    """A job that is suspected of a crash is run again, alone on a target."""
    QUEUES_CONFINED = 526, Importance.WARNING
    """The queues whose tasks crash targets are confined to some targets.

    For some seconds after a crash, the other queues don't use these. Without
    queues, the confinement ends.
    """
    CALLER_LEFT = 527, Importance.WARNING
    """The caller had left before its job was taken."""
    TASK_RESTARTED = 528, Importance.WARNING
    """The entry requests a start of a task that has had a run.

    Logged with the agent and the end of that run and the time since. Each
    request of such a task is logged, so that one that an agent refuses is
    followed by another.
    """
    JOB_SET_APART = 529, Importance.CHANGE
    """No known target can run any waiting task of a job, or one can again.

    Meanwhile the job doesn't count as waiting (`is_apart`).
    """
    STOOD_STILL = 530, Importance.WARNING
    """The process was paused for `pause_s` seconds.

    It starts no run until it has processed what arrived meanwhile.
    """
    OVERLOAD_CHANGED = 531, Importance.WARNING
    """The process became overloaded, or is no longer.

    While it is overloaded, new jobs are rejected at once: JOB_ENDED with the
    reason `overloaded`.
    """
    READINESS_CHANGED = 532, Importance.CHANGE
    """The entry became ready for callers, or is no longer.

    Logged with the inputs: the version and the age of its configuration, and
    the number of connected agents.
    """
    DECISION_SLOW = 533, Importance.WARNING
    """Decisions took so much processor time that other work was held up.

    At most one line a second, with the slowest of `count` decisions.
    """
    TARGET_SPEEDS_CHANGED = 535, Importance.CHANGE
    """The measured speeds of targets began to differ clearly, or no longer do.

    While they do, the entry uses a target only for tasks that it ends in time.
    """
    KEEPING_STARTED = 540, Importance.CHANGE
    """The entry begins to hold a lease in the store.

    Only entries that have seen a durable job do so.
    """
    OWNERSHIP_GAINED = 541, Importance.CHANGE
    """The entry's lease was stored; it may own durable jobs."""
    OWNERSHIP_LOST = 542, Importance.WARNING
    """The entry's lease ran out; it drops its durable jobs and their runs."""
    OWNER_REMOVED = 543, Importance.WARNING
    """Another entry's lease had run out; its row was removed.

    Its durable jobs can now be taken over.
    """
    RECORDS_SCANNED = 544, Importance.CHANGE
    """All records of durable jobs were scanned for owners that are gone.

    `taken` jobs are taken over.
    """
    SCAN_FAILED = 545, Importance.WARNING
    """The records of durable jobs could not be read; the scan is repeated."""
    COMMIT_FAILED = 546, Importance.WARNING
    """A transaction in the store was rejected or got no response."""
    JOB_LOST = 547, Importance.WARNING
    """A durable job's row is not as this entry last wrote it.

    Another entry owns the job now, or the row is gone. This entry drops it.
    """
    END_VOIDED = 548, Importance.WARNING
    """An agent reported a completion that matches no run of this entry.

    It does not count, as the task may have been started again. Unless the
    job was cancelled, the target keeps it until the target's lease runs out.
    """
    JOB_SHOWN = 549, Importance.ROUTINE
    """A caller asked for the state of a job, or to cancel it."""
    JOB_WITHDRAWN = 550, Importance.WARNING
    """A durable job was given up before its first write, without callers.

    Its callers have got no answer and may have sent it to another entry, or
    cancelled it there.
    """
    CANCELLATIONS_HELD = 551, Importance.CHANGE
    """Cancellations from before durable jobs were known are now stored."""
    TARGET_UNREACHABLE = 600, Importance.WARNING
    """The target does not respond; no run is started on it."""
    TARGET_LEAVING = 602, Importance.CHANGE
    """The target announced that it is about to leave."""
    TARGET_REACHED = 603, Importance.CHANGE
    """The target responds again and has listed its runs."""
    TARGET_FOLLOWED = 604, Importance.CHANGE
    """The agent switched to another incarnation of its target.

    All runs on the former incarnation have ended.
    """
    TARGET_STATE_CHANGED = 605, Importance.CHANGE
    """The target reported a new state: ready or draining."""
    HEARTBEAT_IGNORED = 606, Importance.WARNING
    """A heartbeat from another incarnation of the target was ignored.

    The known incarnation still responds, so the heartbeat may be a late one.
    """
    HEARTBEAT_INVALID = 607, Importance.WARNING
    """A heartbeat can't be decoded and is ignored."""
    TARGET_CLOCK_REREAD = 608, Importance.CHANGE
    """The target rejected a lease as too late.

    The agent's estimate of the target's clock was too low and is renewed.
    """
    TARGET_REBORN = 609, Importance.WARNING
    """The target restarted under the same id; its runs are gone.

    Nothing is started on it before its next heartbeat.
    """
    ORDER_FAILED = 610, Importance.WARNING
    """The target rejected a request about a run or gave no response."""
    START_REFUSED = 611, Importance.ROUTINE
    """The agent rejected a request to start a run."""
    START_UNCONFIRMED = 612, Importance.WARNING
    """The target did not confirm a start; the run is being stopped."""
    RUN_STOPPED = 613, Importance.WARNING
    """The agent stops a run because the entry that started it is gone.

    The entry restarted, or its last lease confirmation is too old.
    """
    RUN_LAPSED = 614, Importance.WARNING
    """The lease of a run has expired on a target that does not respond.

    The run counts as ended.
    """
    ORPHAN_STOPPED = 615, Importance.WARNING
    """The target has a run that this agent did not start or has abandoned.

    It is being stopped.
    """
    END_UNKNOWN = 616, Importance.WARNING
    """The target lists a completion of a run that this agent has no record of.

    The run may be from an earlier incarnation of the agent. The entries decide
    whether the completion counts.
    """
    LEASE_TO_LAPSE = 617, Importance.WARNING
    """The target holds completions that must not count.

    An entry discarded one, or those that nobody has acknowledged fill its list
    (`listed`). The agent does not renew the target's lease until it has run
    out.
    """
    TARGET_CRASHED = 618, Importance.WARNING
    """The target refuses connections while it has runs.

    Each of its runs is logged with its queue and its age in seconds, the
    youngest first. They end once their lease has run out.
    """
    CRASH_DISPROVED = 619, Importance.CHANGE
    """The target responds again as the same incarnation.

    It had not crashed.
    """
    INVARIANT_BROKEN = 900, Importance.ERROR
    """A safety invariant does not hold.

    The process ends with exit code 70 before it acts on the broken state.
    """
    UNEXPECTED_ERROR = 901, Importance.ERROR
    """An unhandled exception, with its traceback."""
