"""Actions that `run_guard` returns for `run_process` to perform.

Part of the agent for the users' platform; `actions` is the counterpart for the
project's own protocol.
"""

from __future__ import annotations

from typing import Any

import msgspec

from fulmarscale.events import Event
from fulmarscale.runs.messages import AgentMessage
from fulmarscale.runs.model import TargetIncarnation
from fulmarscale.runs.model import TaskKey


class RunAction(msgspec.Struct, frozen=True):
    """The base class of all actions of the run guard."""


class StartRun(RunAction):
    """Send the target a request to start a run."""

    incarnation: TargetIncarnation
    """The incarnation that has to start it; no other may."""
    task: TaskKey
    """The task."""
    number: int
    """The run's number."""
    payload: str
    """Passed to the target without being parsed."""
    leased_at: float
    """When the lease that it grants begins, by the agent's time."""


class StopRun(RunAction):
    """Send the target a request to stop a run, or never to start it."""

    incarnation: TargetIncarnation
    """The incarnation that has the run."""
    task: TaskKey
    """The task."""
    number: int
    """The run's number."""


class ListRuns(RunAction):
    """List the runs of the target at once, beside the pending renewal."""

    incarnation: TargetIncarnation
    """The incarnation that has the runs."""


class SendMessage(RunAction):
    """Send a message to an entry."""

    session: int
    """The stream's number."""
    message: AgentMessage
    """The message."""


class CloseStream(RunAction):
    """Close a stream that a newer one of the same entry replaces."""

    session: int
    """The stream's number."""


class LogRunDecision(RunAction):
    """Write a log line about a decision of the run guard."""

    event: Event
    """The event."""
    fields: dict[str, Any]
    """The values that the decision was based on."""
