"""What happens to an entry, as seen by its decision code."""

from __future__ import annotations

import msgspec

from fulmarscale.control.actions import ChangeResult
from fulmarscale.control.actions import RowChange
from fulmarscale.control.entry_list import Member
from fulmarscale.ids import CustomerName
from fulmarscale.ids import EntryId
from fulmarscale.ids import RequestId
from fulmarscale.ids import SubmissionId
from fulmarscale.platform.table import TableReading
from fulmarscale.wire.messages import Announce
from fulmarscale.wire.messages import CallKind
from fulmarscale.wire.messages import FromAgent
from fulmarscale.wire.messages import JobRequest
from fulmarscale.wire.messages import PeerMessage


class Tick(msgspec.Struct, frozen=True):
    """Some time has passed."""


class TableRead(msgspec.Struct, frozen=True):
    """The table answered a read."""

    reading: TableReading
    """What it holds."""


class PeerReceived(msgspec.Struct, frozen=True):
    """A message of another entry came."""

    sender: Member
    """The sender."""
    to: EntryId
    """The incarnation that the message is meant for."""
    message: PeerMessage
    """The message."""


class AgentAnnounced(msgspec.Struct, frozen=True):
    """An agent opened a stream."""

    session: int
    """The stream, numbered upwards."""
    announce: Announce
    """The agent's first message."""


class AgentReceived(msgspec.Struct, frozen=True):
    """A message of an agent came."""

    session: int
    """The stream."""
    message: FromAgent
    """The message."""


class AgentClosed(msgspec.Struct, frozen=True):
    """An agent's stream ended."""

    session: int
    """The stream."""


class CallReceived(msgspec.Struct, frozen=True):
    """A caller asks something."""

    request: RequestId
    """The name of the request."""
    call: CallKind
    """What is asked."""
    submission_id: SubmissionId
    """The submission."""
    customer: CustomerName
    """The customer whose key was used."""
    wait_s: float
    """How long the caller waits."""
    job: JobRequest | None = None
    """The job, for SUBMIT."""


class ChangeRequested(msgspec.Struct, frozen=True):
    """An operator changes the configuration."""

    request: RequestId
    """The name of the request."""
    change: RowChange
    """The change."""


class ChangeWritten(msgspec.Struct, frozen=True):
    """The table answered a change, or failed to."""

    change_id: str
    """The change."""
    result: ChangeResult | None
    """The result; none if no answer came."""


class DrainRequested(msgspec.Struct, frozen=True):
    """An operator tells an agent to take no new tasks, or to take them."""

    agent: str
    """The agent's name."""
    draining: bool
    """Whether it is to take none."""


class EntryForgotten(msgspec.Struct, frozen=True):
    """An operator says that an entry on the list is gone for good."""

    name: str
    """The entry's name."""


class LeaveRequested(msgspec.Struct, frozen=True):
    """The process is to stop."""


EntryInput = (
    Tick
    | TableRead
    | PeerReceived
    | AgentAnnounced
    | AgentReceived
    | AgentClosed
    | CallReceived
    | ChangeRequested
    | ChangeWritten
    | LeaveRequested
    | DrainRequested
    | EntryForgotten
)
"""All that can happen to an entry."""
