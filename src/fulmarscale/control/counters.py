"""Counts of what the decision code does, exported as metrics."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


class Count(Enum):
    """What is counted."""

    SUBMISSIONS = "submissions"
    DUPLICATES = "duplicates"
    FORWARDED = "forwarded"
    TASKS_SENT = "tasks_sent"
    TASKS_BOUNCED = "tasks_bounced"
    MESSAGES_TO_AGENTS = "messages_to_agents"
    MESSAGES_FROM_AGENTS = "messages_from_agents"
    MESSAGES_TO_PEERS = "messages_to_peers"
    WASTED_RESULT = "wasted_result"
    CONTROL_MESSAGES = "control_messages"
    WASTED_PEER = "wasted_peer"
    RECOVERIES = "recoveries"
    RECOVERED = "recovered"
    TASKS_STARTED = "tasks_started"
    STALE_STARTS_HELD = "stale_starts_held"
    FENCED_TASKS = "fenced_tasks"


class Counters:
    """The counts of one process."""

    def __init__(self) -> None:
        self._counts: Counter[Count] = Counter()

    @property
    def counts(self) -> Mapping[Count, int]:
        """All counts so far."""
        return self._counts

    def add(self, count: Count, number: int = 1) -> None:
        """Raise a count."""
        self._counts[count] += number
