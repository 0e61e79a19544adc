"""Numbered result codes and the exceptions that carry them.

A test compares the table in docs/ERRORS.md with the codes in this module.
"""

from __future__ import annotations

from enum import Enum
from enum import IntEnum


class Outcome(Enum):
    """Outcome of a submission or of one of its tasks."""

    DONE = "done"
    """All tasks ran and their results are available."""
    FAILED = "failed"
    """It ended, but not every task has a result."""
    NOT_RUN = "not_run"
    """It did not start and never will."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """It may have run; whether it did is not known at present."""


class ResultCode(IntEnum):
    """Causes of the outcomes of submissions, tasks and requests.

    1001 to 1999 describe runs of tasks, 2001 to 2999 work that never starts,
    3001 to 3999 unknown outcomes, 4001 to 4999 invalid requests of callers,
    and 5001 to 5999 failed reads and changes of the configuration.
    """

    OK = 0
    """Success."""
    JOB_UNDER_WAY = 1
    """The job is running; its answer is available later."""
    TASK_FAILED = 1001
    """The target ran the task and reported a failure."""
    TARGET_TIMEOUT = 1002
    """The target did not answer by the job's deadline."""
    TARGET_BAD_ANSWER = 1003
    """The target's answer is malformed or is for another task."""
    TARGET_CONNECTION_LOST = 1004
    """The connection to the target broke after the task was sent."""
    TASK_STOPPED = 1005
    """The running task was stopped by a cancellation."""
    AGENT_LOST = 1006
    """The agent that had the task restarted, is gone, or doesn't report it.

    The task may have run.
    """
    JOB_INCOMPLETE = 1007
    """At least one task is not done; each task has its own code."""
    ANSWER_TOO_LARGE = 1008
    """The target's result exceeds the agent's size limit."""
    TASK_CRASHES_TARGETS = 1009
    """A task was given up, as targets crashed each time that it ran."""
    ATTEMPTS_USED_UP = 1010
    """A task has failed as often as its queue allows."""
    DEADLINE_PASSED = 2001
    """The deadline passed before the task was started."""
    CANCELLED = 2002
    """The job was cancelled before the task was started."""
    RATE_EXCEEDED = 2003
    """The customer's quota of task starts is used up."""
    JOB_TOO_LARGE = 2004
    """The job has more tasks than the contract allows."""
    DEADLINE_UNREACHABLE = 2005
    """By the observed run times, the job can't end by its deadline."""
    NO_TARGET = 2006
    """No connected target serves the job's kind."""
    QUEUE_FULL = 2007
    """The entry's task queue is full."""
    NO_LEASE = 3001
    """The entry holds no lease, so it may not act on submissions.

    The request may be repeated with the same id.
    """
    OWNER_UNREACHABLE = 3002
    """The entry that owns the submission does not respond.

    The request may be repeated with the same id.
    """
    PAST_UNKNOWN = 3003
    """The submission's history can't be determined; it may have run.

    Its former owner is gone and no agent has a record of it.
    """
    ID_TOO_OLD = 3004
    """The id is older than records are retained; it may have run."""
    RECORDS_FULL = 3005
    """The entry can't store another submission record.

    The request may be repeated with the same id.
    """
    ANSWER_LATE = 3007
    """The job has no outcome in time; tasks may have run."""
    BODY_INVALID = 4001
    """The body or a parameter is invalid; the detail says where."""
    BODY_TOO_LARGE = 4002
    """The body, a payload or the number of tasks exceeds a limit."""
    ID_INVALID = 4003
    """The Idempotency-Key is not a UUIDv7 in lower case."""
    ID_IN_FUTURE = 4004
    """The id's timestamp is ahead of the platform's clock."""
    ID_REUSED = 4005
    """The id is in use for another body or by another customer."""
    KEY_INVALID = 4006
    """The API key is missing, unknown or not valid for this request."""
    SUBMISSION_NOT_FOUND = 4007
    """The customer has no such submission."""
    KIND_NOT_IDEMPOTENT = 4008
    """By the contract, tasks of this kind are not idempotent."""
    TOO_MANY_REQUESTS = 4009
    """Too many requests are in progress at the entry."""
    VERSION_CONFLICT = 5001
    """The row was changed since the version in If-Match."""
    VERSION_MISSING = 5002
    """A change needs If-Match with a version, or If-None-Match: *."""
    CONTRACT_INVALID = 5003
    """The contract or state is invalid; the detail says where."""
    ROW_NOT_FOUND = 5004
    """There is no such contract, data centre or agent."""
    STORE_UNAVAILABLE = 5005
    """The platform's store does not respond; nothing was changed."""
    CHANGE_UNKNOWN = 5006
    """The store has not confirmed the change in time.

    The entry continues to retry it; the row shows whether it was applied.
    """
    SETTINGS_INVALID = 6001
    """The settings file is invalid; the detail has the JSON path."""
    ROUTE_NOT_FOUND = 7001
    """There is no such HTTP route."""
    INTERNAL = 9001
    """An unexpected error in this program; the log has its traceback."""


class FulmarError(Exception):
    """An error with a numbered result code."""

    def __init__(self, code: ResultCode, detail: str) -> None:
        super().__init__(f"{code.value} {code.name}: {detail}")
        self._code = code
        self._detail = detail

    @property
    def code(self) -> ResultCode:
        """The numbered result code."""
        return self._code

    @property
    def detail(self) -> str:
        """Text for people; never contains keys or payloads."""
        return self._detail


class InvariantError(AssertionError):
    """A safety invariant does not hold; the process must exit."""


def check_invariant(condition: bool, rule: str) -> None:
    """Check a safety invariant; unlike `assert`, it can't be disabled.

    :param condition: whether the invariant holds.
    :param rule: the invariant, for the error message.
    :raises InvariantError: if the invariant does not hold.
    """
    if not condition:
        raise InvariantError(rule)
