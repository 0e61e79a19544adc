"""What happens to an agent, as seen by its decision code."""

from __future__ import annotations

import msgspec

from fulmarscale.control.entry_list import EntryList
from fulmarscale.wire.messages import TaskResult
from fulmarscale.wire.messages import ToAgent


class Tick(msgspec.Struct, frozen=True):
    """Some time has passed."""


class EntryOpened(msgspec.Struct, frozen=True):
    """A stream to an entry was opened."""

    session: int
    """The stream, numbered upwards."""
    address: str
    """The entry's address."""


class EntryReceived(msgspec.Struct, frozen=True):
    """A message of an entry came."""

    session: int
    """The stream."""
    message: ToAgent
    """The message."""


class EntryClosed(msgspec.Struct, frozen=True):
    """A stream to an entry ended."""

    session: int
    """The stream."""


class ListRead(msgspec.Struct, frozen=True):
    """The entry list was read from the platform's table."""

    entry_list: EntryList
    """The list."""


class TaskEnded(msgspec.Struct, frozen=True):
    """The target answered a task, or failed to."""

    result: TaskResult
    """What became of the task."""
    reached: bool = True
    """Whether the target can have received it at all."""


class TargetSeen(msgspec.Struct, frozen=True):
    """The target announced itself."""

    slots: int
    """Tasks that it runs side by side."""
    leaving: bool
    """Whether it is about to leave."""


class TargetUnavailable(msgspec.Struct, frozen=True):
    """The target did not answer."""


class DrainRequested(msgspec.Struct, frozen=True):
    """The process is to stop."""


AgentInput = (
    Tick
    | EntryOpened
    | EntryReceived
    | EntryClosed
    | ListRead
    | TaskEnded
    | TargetSeen
    | TargetUnavailable
    | DrainRequested
)
"""All that can happen to an agent."""
