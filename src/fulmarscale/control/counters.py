"""Counters of events in the decision code, exported as metrics."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class Count(Enum):
    """The events that are counted; the values are labels of metrics."""

    SUBMISSIONS = "submissions"
    DUPLICATES = "duplicates"
    """Repeated calls for a submission that is answered or has a waiter."""
    FORWARDED = "forwarded"
    """Calls sent on to the owner, or to a prior owner that has the record."""
    TASKS_SENT = "tasks_sent"
    TASKS_BOUNCED = "tasks_bounced"
    """Tasks that an agent never started; requeued, or ended as not run."""
    MESSAGES_TO_AGENTS = "messages_to_agents"
    MESSAGES_FROM_AGENTS = "messages_from_agents"
    MESSAGES_TO_PEERS = "messages_to_peers"
    WASTED_RESULT = "wasted_result"
    """Reports of agents that no task or session is waiting for."""
    CONTROL_MESSAGES = "control_messages"
    """Messages to agents sent only to refresh tokens or echoes."""
    WASTED_PEER = "wasted_peer"
    """Peer messages to a former incarnation, or answers without a call."""
    RECOVERIES = "recoveries"
    """Searches for a submission in the start records of agents."""
    RECOVERED = "recovered"
    """Searches that found records of the submission."""
    TASKS_STARTED = "tasks_started"
    STALE_STARTS_HELD = "stale_starts_held"
    """Times that a start was delayed, as the entry's echo was too old."""
    FENCED_TASKS = "fenced_tasks"
    """Tasks rejected because their entry is not on the list any more."""


class Counters:
    """The counters of one process."""

    def __init__(self) -> None:
        self._counts: Counter[Count] = Counter()

    @property
    def counts(self) -> Mapping[Count, int]:
        """The present value of each counter."""
        return self._counts

    def add(self, count: Count, number: int = 1) -> None:
        """Increase a counter."""
        self._counts[count] += number
