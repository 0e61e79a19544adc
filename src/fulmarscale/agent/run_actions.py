"""What the run guard asks its driver to do."""

from __future__ import annotations

from typing import Any

import msgspec

from fulmarscale.events import Event
from fulmarscale.runs.messages import AgentMessage
from fulmarscale.runs.model import TargetLife
from fulmarscale.runs.model import TaskKey


class RunAction(msgspec.Struct, frozen=True):
    """The base of all actions."""


class StartRun(RunAction):
    """Tell the target to start a run."""

    life: TargetLife
    """The life that is to start it; no other may."""
    task: TaskKey
    """The task."""
    number: int
    """The run's number."""
    payload: str
    """Passed to the target unread."""


class StopRun(RunAction):
    """Tell the target to stop a run, or never to start it."""

    life: TargetLife
    """The life that holds it."""
    task: TaskKey
    """The task."""
    number: int
    """The run's number."""


class SendMessage(RunAction):
    """Send a message to an entry."""

    session: int
    """The stream."""
    message: AgentMessage
    """The message."""


class CloseStream(RunAction):
    """End a stream that a newer one of the same entry replaces."""

    session: int
    """The stream."""


class LogDecision(RunAction):
    """Write a log line."""

    event: Event
    """What was decided."""
    fields: dict[str, Any]
    """The inputs of the decision."""
