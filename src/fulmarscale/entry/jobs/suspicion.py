"""What the known crashes of targets say about one job."""

from __future__ import annotations

from typing import Final

import msgspec

from fulmarscale.runs.model import TaskKey

GIVE_UP_LEVEL: Final = 0.9
"""Suspicion from which a job is given up after MIN_CRASHES certain ones."""

MIN_CRASHES: Final = 2
"""Certain crashes under a task after which it may be given up."""

TRIAL_CRASHES: Final = 3
"""Possible crashes under a task after which it only runs on trial."""

MAX_CERTAIN_CRASHES: Final = 4
"""Certain crashes under a task after which it isn't started again.

One start fewer than is allowed, as an agent that is lost with its target does
not report the crash.
"""

MAX_CRASHES: Final = 5
"""Possible crashes under a task after which it isn't started again."""


class Suspicion(msgspec.Struct):
    """What the known crashes say about one job."""

    innocence: float = 1.0
    """Probability that the job has caused none of the crashes."""
    counts: dict[TaskKey, int] = {}
    """Number of possible crashes under each of its tasks."""
    certain: dict[TaskKey, int] = {}
    """The same, of the crashes at which the task certainly ran."""
    last_at: float = float("-inf")
    """When the last of these crashes was."""

    @property
    def level(self) -> float:
        """Probability that the job has caused one of the crashes."""
        return 1.0 - self.innocence

    @property
    def max_count(self) -> int:
        """The most possible crashes under one task."""
        return max(self.counts.values(), default=0)

    @property
    def is_founded(self) -> bool:
        """Whether MIN_CRASHES were certainly under one task."""
        return self._max_certain >= MIN_CRASHES

    @property
    def _max_certain(self) -> int:
        """The most certain crashes under one task."""
        return max(self.certain.values(), default=0)

    @property
    def is_sufficient(self) -> bool:
        """Whether the job is given up for these crashes."""
        if self._max_certain >= MAX_CERTAIN_CRASHES:
            return True
        if self.max_count >= MAX_CRASHES:
            return True
        return self.is_founded and self.level >= GIVE_UP_LEVEL


NO_SUSPICION: Final = Suspicion()
