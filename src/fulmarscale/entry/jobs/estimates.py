"""Learns how long tasks really take, as declarations are often off."""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.runs.model import QueueName

WEIGHT: Final = 0.05
"""Weight of a new run in the mean of a queue."""

LEAST_DECLARED_S: Final = 0.001
"""Declarations below this count as this."""


class RunTimes:
    """Mean ratio of real run time to declared run time, for each queue."""

    def __init__(self) -> None:
        self._ratios: dict[QueueName, float] = {}

    def note(self, queue: QueueName, declared_s: float, ran_s: float) -> None:
        """Take in a run that ended well."""
        ratio = ran_s / max(declared_s, LEAST_DECLARED_S)
        known = self._ratios.get(queue)
        if known is None:
            self._ratios[queue] = ratio
            return
        self._ratios[queue] = known + WEIGHT * (ratio - known)

    def expect_s(self, queue: QueueName, declared_s: float) -> float:
        """Estimate the run time of a task.

        :returns: seconds.
        """
        return declared_s * self._ratios.get(queue, 1.0)
