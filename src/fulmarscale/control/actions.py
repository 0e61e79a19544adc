"""What the decision code asks its driver to do."""

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
    """Send a message to an agent; it may be lost with its stream."""

    agent: AgentId
    """The receiver."""
    session: int
    """The stream."""
    message: ToAgent
    """The message."""


class CloseSession(Action):
    """Close an agent's stream."""

    session: int
    """The stream."""


class ReadTable(Action):
    """Read the entry list and the configuration."""

    started_at: float
    """Monotonic time of this action, returned with the reading."""
    configuration_version: int
    """The version that is known already."""


class WriteEntryList(Action):
    """Replace the entry list if its version is still the expected one."""

    expected_version: int
    """The version that the new list is made from."""
    members: tuple[Member, ...]
    """The new list."""


class RowChange(msgspec.Struct, frozen=True, kw_only=True):
    """One operator's change of one row."""

    change_id: str
    """Names the change, to recognise it after a lost answer."""
    customer: CustomerName | None = None
    """The customer whose contract is replaced."""
    data_centre: DataCentreName | None = None
    """The data centre whose state is replaced."""
    contract: Contract | None = None
    """The new contract."""
    state: DataCentreState | None = None
    """The new state."""
    expected_version: int
    """The row's version that the operator saw; 0 for a new row."""


class WriteChange(Action):
    """Write an operator's change."""

    change: RowChange
    """The change."""


class AnswerCaller(Action):
    """Answer a waiting caller."""

    request: RequestId
    """The request."""
    answer: JobAnswer | None
    """The answer, or none for a refusal of the request."""
    error: ResultCode | None = None
    """The refusal's code."""


class ChangeResult(msgspec.Struct, frozen=True):
    """What became of an operator's change."""

    code: ResultCode
    """OK, VERSION_CONFLICT, STORE_UNAVAILABLE or CHANGE_UNKNOWN."""
    row_version: int
    """The row's version now, if known, or 0."""
    configuration: Configuration | None = None
    """The configuration after the change, if the table answered."""


class AnswerOperator(Action):
    """Answer a waiting operator."""

    request: RequestId
    """The request."""
    result: ChangeResult
    """The result."""


class Log(Action):
    """Write a numbered event to the log."""

    event: Event
    """The event."""
    fields: dict[str, Any]
    """Named values; never a key or a payload."""


class ResponseMeasured(Action):
    """A job was done; how its response compares with the ideal."""

    customer: CustomerName
    """The customer."""
    over_ideal: float
    """The response time over the shortest possible for its tasks."""


class Left(Action):
    """The entry has left the list and may end."""
