"""The list of crashes of targets for operators."""

from __future__ import annotations

import msgspec


class CrashReport(msgspec.Struct, frozen=True):
    """A crash and its most suspected job, for operators."""

    age_s: float
    """Time since the crash, in seconds."""
    agent: str
    """The agent of the target."""
    target: str
    """The target."""
    state: str
    """How certain the crash is: a value of `CrashState`."""
    queue: str
    """The queue of the most suspected job; empty if there is none."""
    task: str
    """That job's youngest task on the target; empty if there is none."""
    probability: float
    """The probability that the job has caused the crash."""
    crashes: int
    """The most crashes under one of the job's tasks."""
    is_given_up: bool
    """Whether the job is given up for its crashes."""
    is_confined: bool
    """Whether the queue is confined to a part of the targets."""
    runs: int
    """Number of runs that the crash ended."""
