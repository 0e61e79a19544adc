"""Crashes of targets and the runs that they ended, as agents report them."""

from __future__ import annotations

from enum import Enum

from fulmarscale.runs.model import QueueName
from fulmarscale.runs.model import TargetIncarnation
from fulmarscale.runs.model import TaskKey
from fulmarscale.wire.messages import MessagePart


class CrashState(Enum):
    """How certain it is that a target has crashed."""

    SUSPECTED = "suspected"
    """The target refuses connections."""
    CONFIRMED = "confirmed"
    """Another incarnation of the target has started."""
    DISPROVED = "disproved"
    """The same incarnation responds again."""


class CrashedRun(MessagePart):
    """A run that was on a target when it crashed."""

    task: TaskKey
    """The task."""
    queue: QueueName
    """The queue of its job."""
    age_s: float
    """Time from the start request to the crash, in seconds."""


class TargetCrash(MessagePart):
    """A crash of one incarnation of a target."""

    incarnation: TargetIncarnation
    """The incarnation that crashed."""
    state: CrashState
    """How certain the crash is."""
    age_s: float
    """Time since the crash, in seconds, when the message was made."""
    runs: tuple[CrashedRun, ...]
    """The runs that were on the target, the youngest first."""
