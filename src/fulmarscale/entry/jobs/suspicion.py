"""What the known crashes of targets say about one job."""

from __future__ import annotations

from typing import Final

import msgspec

from fulmarscale.runs.model import TaskKey

GIVE_UP_LEVEL: Final = 0.9
"""Suspicion from which a job is given up after MIN_CRASHES."""

MIN_CRASHES: Final = 2
"""Crashes under a task after which it may be given up."""

MAX_CRASHES: Final = 3
"""Crashes under a task after which it is given up in any case."""


class Suspicion(msgspec.Struct):
    """What the known crashes say about one job."""

    innocence: float = 1.0
    """Probability that the job has caused none of the crashes."""
    counts: dict[TaskKey, int] = {}
    """Number of crashes under each of its tasks."""
    last_at: float = float("-inf")
    """When the last of these crashes was."""

    @property
    def level(self) -> float:
        """Probability that the job has caused one of the crashes."""
        return 1.0 - self.innocence

    @property
    def max_count(self) -> int:
        """The most crashes under one task."""
        return max(self.counts.values(), default=0)

    @property
    def is_sufficient(self) -> bool:
        """Whether the job is given up for these crashes."""
        if self.max_count >= MAX_CRASHES:
            return True
        return self.max_count >= MIN_CRASHES and self.level >= GIVE_UP_LEVEL


NO_SUSPICION: Final = Suspicion()
