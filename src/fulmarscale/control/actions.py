"""Actions that the decision code returns to its driver.

The decision code of an entry does no I/O: its driver performs these actions.
"""

from __future__ import annotations

from typing import Any

import msgspec

from fulmarscale.control.configuration import Configuration
from fulmarscale.control.configuration import Contract
from fulmarscale.control.configuration import DataCentreState
from fulmarscale.control.entry_list import Member
from fulmarscale.errors import ResultCode
from fulmarscale.events import Event
from fulmarscale.ids import AgentId
from fulmarscale.ids import CustomerName
from fulmarscale.ids import DataCentreName
from fulmarscale.ids import RequestId
from fulmarscale.wire.messages import JobAnswer
from fulmarscale.wire.messages import PeerMessage
from fulmarscale.wire.messages import ToAgent


class Action(msgspec.Struct, frozen=True):
    """The base of all actions."""


class SendPeer(Action):
    """Send a message to another entry; it may be lost."""

    to: Member
    """The receiver."""
    message: PeerMessage
    """The message."""


class SendAgent(Action):
    """Send a message to an agent; it is lost if the stream is."""

    agent: AgentId
    """The receiver."""
    session: int
    """The session's number, one for each stream."""
    message: ToAgent
    """The message."""


class CloseSession(Action):
    """Close an agent's stream."""

    session: int
    """The session's number, one for each stream."""


class ReadTable(Action):
    """Read the entry list and the configuration."""

    started_at: float
    """Monotonic time of the action, returned with the snapshot."""
    configuration_version: int
    """The newest version that this entry has adopted."""


class WriteEntryList(Action):
    """Replace the entry list if its version is the expected one."""

    expected_version: int
    """The version from which the new list was made."""
    members: tuple[Member, ...]
    """The members of the new list."""


class RowChange(msgspec.Struct, frozen=True, kw_only=True):
    """An operator's change of one row of the configuration."""

    change_id: str
    """Identifies the change, to recognise it after a lost answer."""
    customer: CustomerName | None = None
    """The customer whose contract is replaced."""
    data_centre: DataCentreName | None = None
    """The data centre whose state is replaced."""
    contract: Contract | None = None
    """The new contract."""
    state: DataCentreState | None = None
    """The new state."""
    expected_version: int
    """The row's version that the operator read; 0 for a new row."""


class WriteChange(Action):
    """Write an operator's change."""

    change: RowChange
    """The change."""


class AnswerCaller(Action):
    """Answer a caller that waits."""

    request: RequestId
    """The request."""
    answer: JobAnswer | None
    """The answer; none if the request is rejected."""
    error: ResultCode | None = None
    """The reason of a rejection."""


class ChangeResult(msgspec.Struct, frozen=True):
    """The outcome of an operator's change."""

    code: ResultCode
    """OK, VERSION_CONFLICT, STORE_UNAVAILABLE or CHANGE_UNKNOWN."""
    row_version: int
    """The row's present version; 0 if unknown."""
    configuration: Configuration | None = None
    """The configuration after the change, if the table answered."""


class AnswerOperator(Action):
    """Answer an operator that waits."""

    request: RequestId
    """The request."""
    result: ChangeResult
    """The outcome of the change."""


class Log(Action):
    """Write a log line with a numbered event."""

    event: Event
    """The event."""
    fields: dict[str, Any]
    """The fields of the line; never a key or a payload."""


class RecordResponseTime(Action):
    """Record the response time of a completed job as a metric."""

    customer: CustomerName
    """The customer."""
    ratio_to_ideal: float
    """The response time divided by the shortest possible for its tasks."""


class EndProcess(Action):
    """End the process, as the entry has left the list."""
