"""Events that `process` passes to `core`.

Part of the agent for the project's own protocol.
"""

from __future__ import annotations

import msgspec

from fulmarscale.control.entry_list import EntryList
from fulmarscale.wire.messages import TaskResult
from fulmarscale.wire.messages import ToAgent


class Tick(msgspec.Struct, frozen=True):
    """Time has passed."""


class EntryOpened(msgspec.Struct, frozen=True):
    """A stream to an entry was opened."""

    session: int
    """The stream's number; rises with each stream."""
    address: str
    """The entry's address."""


class EntryReceived(msgspec.Struct, frozen=True):
    """A message from an entry was received."""

    session: int
    """The stream's number."""
    message: ToAgent
    """The message."""


class EntryClosed(msgspec.Struct, frozen=True):
    """A stream to an entry was closed."""

    session: int
    """The stream's number."""


class EntryListRead(msgspec.Struct, frozen=True):
    """The entry list was read from the platform's table."""

    entry_list: EntryList
    """The list."""


class TaskCompleted(msgspec.Struct, frozen=True):
    """A task ended, with or without a response of the target."""

    result: TaskResult
    """The outcome and the result of the task."""
    is_target_reached: bool = True
    """Whether the target may have received the task."""


class TargetAnnounced(msgspec.Struct, frozen=True):
    """The target responded to a poll."""

    slots: int
    """The number of tasks that it runs at once."""
    is_leaving: bool
    """Whether it is about to shut down."""


class TargetUnavailable(msgspec.Struct, frozen=True):
    """The target did not respond to a poll."""


class StopRequested(msgspec.Struct, frozen=True):
    """The process was asked to drain and stop."""


AgentInput = (
    Tick
    | EntryOpened
    | EntryReceived
    | EntryClosed
    | EntryListRead
    | TaskCompleted
    | TargetAnnounced
    | TargetUnavailable
    | StopRequested
)
"""Any event that `core` handles."""
