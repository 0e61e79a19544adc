"""Numbered result codes and the exceptions that carry them.

The table in docs/ERRORS.md is checked against this module by the tests.
"""

from __future__ import annotations

from enum import Enum
from enum import IntEnum


class Outcome(Enum):
    """What became of a submission or of one of its tasks."""

    DONE = "done"
    """All was run and the results are given."""
    FAILED = "failed"
    """It ended without a complete result."""
    NOT_RUN = "not_run"
    """It did not run and never will."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """It may have run; nothing more can be said at present."""


class ResultCode(IntEnum):
    """Numbered result codes; the names tell the cause."""

    OK = 0
    JOB_UNDER_WAY = 1
    TASK_FAILED = 1001
    TARGET_TIMEOUT = 1002
    TARGET_BAD_ANSWER = 1003
    TARGET_CONNECTION_LOST = 1004
    TASK_STOPPED = 1005
    AGENT_LOST = 1006
    JOB_INCOMPLETE = 1007
    ANSWER_TOO_LARGE = 1008
    DEADLINE_PASSED = 2001
    CANCELLED = 2002
    RATE_EXCEEDED = 2003
    JOB_TOO_LARGE = 2004
    DEADLINE_UNREACHABLE = 2005
    NO_TARGET = 2006
    QUEUE_FULL = 2007
    NO_LEASE = 3001
    OWNER_UNREACHABLE = 3002
    PAST_UNKNOWN = 3003
    ID_TOO_OLD = 3004
    RECORDS_FULL = 3005
    ANSWER_LATE = 3007
    BODY_INVALID = 4001
    BODY_TOO_LARGE = 4002
    ID_INVALID = 4003
    ID_IN_FUTURE = 4004
    ID_REUSED = 4005
    KEY_INVALID = 4006
    SUBMISSION_NOT_FOUND = 4007
    KIND_NOT_IDEMPOTENT = 4008
    TOO_MANY_REQUESTS = 4009
    VERSION_CONFLICT = 5001
    VERSION_MISSING = 5002
    CONTRACT_INVALID = 5003
    ROW_NOT_FOUND = 5004
    STORE_UNAVAILABLE = 5005
    CHANGE_UNKNOWN = 5006
    SETTINGS_INVALID = 6001
    ROUTE_NOT_FOUND = 7001
    INTERNAL = 9001


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
        """What happened, for a person; free of keys and payloads."""
        return self._detail


class InvariantError(AssertionError):
    """A rule that must always hold was about to be broken."""


def require(condition: bool, rule: str) -> None:
    """Assert a safety rule, in production as well.

    :param condition: whether the rule holds.
    :param rule: the rule, for the error.
    :raises InvariantError: if the rule does not hold.
    """
    if not condition:
        raise InvariantError(rule)
