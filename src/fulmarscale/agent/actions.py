"""Actions that `core` returns for `process` to perform.

Part of the agent for the project's own protocol; `run_actions` is the
counterpart for the users' platform.
"""

from __future__ import annotations

from typing import Any

import msgspec

from fulmarscale.control.entry_list import Member
from fulmarscale.events import Event
from fulmarscale.ids import TaskRef
from fulmarscale.wire.messages import FromAgent


class SendToEntry(msgspec.Struct, frozen=True):
    """Send a message to an entry; it may be lost if its stream breaks."""

    session: int
    """The stream's number."""
    message: FromAgent
    """The message."""


class StartTask(msgspec.Struct, frozen=True):
    """Send a task to the target at once."""

    task: TaskRef
    """The task."""
    kind: str
    """Its kind."""
    payload: bytes
    """Its payload as JSON text."""
    deadline_in_s: float
    """The time left until the job's deadline."""


class StopTask(msgspec.Struct, frozen=True):
    """Cancel the call to the target for a running task."""

    task: TaskRef
    """The task."""


class SyncEntryStreams(msgspec.Struct, frozen=True):
    """Keep one stream open to each of these entries, and to no other."""

    members: tuple[Member, ...]
    """The entries."""


class Log(msgspec.Struct, frozen=True):
    """Write an event to the log."""

    event: Event
    """The event."""
    fields: dict[str, Any]
    """Named values; never a key or a payload."""


class Drained(msgspec.Struct, frozen=True):
    """Report that nothing runs any more and the process may exit."""


AgentAction = (
    SendToEntry | StartTask | StopTask | SyncEntryStreams | Log | Drained
)
"""Any action of `core`."""
