"""The events that the state machine of an entry processes."""

from __future__ import annotations

import msgspec

from fulmarscale.control.actions import ChangeResult
from fulmarscale.control.actions import RowChange
from fulmarscale.control.entry_list import Member
from fulmarscale.ids import CustomerName
from fulmarscale.ids import EntryId
from fulmarscale.ids import RequestId
from fulmarscale.ids import SubmissionId
from fulmarscale.platform.table import TableSnapshot
from fulmarscale.wire.messages import Announce
from fulmarscale.wire.messages import CallKind
from fulmarscale.wire.messages import FromAgent
from fulmarscale.wire.messages import JobRequest
from fulmarscale.wire.messages import PeerMessage


class Tick(msgspec.Struct, frozen=True):
    """Time has passed; timers may be due."""


class TableRead(msgspec.Struct, frozen=True):
    """The table responded to a read."""

    snapshot: TableSnapshot
    """The entry list and configuration as read."""


class PeerReceived(msgspec.Struct, frozen=True):
    """A message from another entry was received."""

    sender: Member
    """The sender."""
    to: EntryId
    """The incarnation of this entry that the message is addressed to."""
    message: PeerMessage
    """The message."""


class AgentAnnounced(msgspec.Struct, frozen=True):
    """An agent opened a stream."""

    session: int
    """The number of the stream; later streams have higher numbers."""
    announce: Announce
    """The agent's first message."""


class AgentReceived(msgspec.Struct, frozen=True):
    """A message from an agent was received."""

    session: int
    """The number of the stream."""
    message: FromAgent
    """The message."""


class AgentClosed(msgspec.Struct, frozen=True):
    """An agent's stream ended."""

    session: int
    """The number of the stream."""


class CallReceived(msgspec.Struct, frozen=True):
    """A caller's request to submit, show or cancel a submission."""

    request: RequestId
    """The number by which the driver identifies the request."""
    operation: CallKind
    """The operation requested."""
    submission_id: SubmissionId
    """The submission."""
    customer: CustomerName
    """The customer whose key was used."""
    wait_s: float
    """Time until the answer is due."""
    job: JobRequest | None = None
    """The job, for SUBMIT."""


class ChangeRequested(msgspec.Struct, frozen=True):
    """An operator requested a configuration change."""

    request: RequestId
    """The number by which the driver identifies the request."""
    change: RowChange
    """The change."""


class ChangeWritten(msgspec.Struct, frozen=True):
    """The write of a change ended, with or without a response."""

    change_id: str
    """The id of the change."""
    result: ChangeResult | None
    """The result; none if there was no response."""


class DrainRequested(msgspec.Struct, frozen=True):
    """An operator made an agent stop or resume accepting new tasks."""

    agent: str
    """The agent's name."""
    draining: bool
    """Whether the agent must accept no new tasks."""


class EntryForgotten(msgspec.Struct, frozen=True):
    """An operator declared that an entry on the list is gone for good."""

    name: str
    """The entry's name."""


class ShutdownRequested(msgspec.Struct, frozen=True):
    """A graceful shutdown of the process was requested."""


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
    | ShutdownRequested
    | DrainRequested
    | EntryForgotten
)
"""Any event of an entry."""
