"""Crashes of targets and the runs that they ended, as agents report them."""

from __future__ import annotations

from enum import Enum
from typing import Final

import msgspec

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
    """A run that was or may have been on a target when it crashed."""

    task: TaskKey
    """The task."""
    queue: QueueName
    """The queue of its job."""
    age_s: float
    """Time from the start request to the crash, in seconds."""
    is_certain: bool = False
    """Whether the target had shown until the crash that the run went on.

    Otherwise it may have been there. Agents of earlier versions don't tell.
    """


class CrashCounts(msgspec.Struct, frozen=True):
    """The crashes under the tasks of a durable job, as they are stored."""

    by_task: tuple[tuple[int, int], ...] = ()
    """Numbers of the tasks under which targets may have crashed, with counts.
    """
    incarnations: tuple[TargetIncarnation, ...] = ()
    """The incarnations of targets whose crashes these are, newest last.

    Agents may report them again.
    """
    certain: tuple[tuple[int, int], ...] = ()
    """The same counts, of the crashes that certainly were under the task."""


NO_CRASHES: Final = CrashCounts()


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
