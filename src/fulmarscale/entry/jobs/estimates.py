"""Learns how long tasks really take, as declarations are often off."""

from __future__ import annotations

from math import log
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
        self._mean_s = 0.0

    @property
    def mean_s(self) -> float:
        """Mean run time over all queues, in seconds; 0 before any run."""
        return self._mean_s

    def note(self, queue: QueueName, declared_s: float, ran_s: float) -> None:
        """Take in a run that ended well."""
        weight = WEIGHT if self._mean_s > 0 else 1.0
        self._mean_s += weight * (ran_s - self._mean_s)
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


SPEED_WEIGHT: Final = 0.2
"""Weight of a new run in the mean speed of a target."""

SPEED_HALF_LIFE_S: Final = 3.0
"""Time in which half of a target's slowness is forgotten.

A target that is avoided shows nothing new, and has to get work again.
"""

SLOW_FACTOR: Final = 1.8
"""A target is slow from this many times the usual run time on."""

LOG_SLOW_FACTOR: Final = log(SLOW_FACTOR)
"""The same on the scale that is averaged on."""


class Slowness:
    """How much longer than usual runs take on one target of late."""

    def __init__(self) -> None:
        self._log_factor = 0.0
        self._noted_at = 0.0

    def note(self, factor: float, now: float) -> None:
        """Take in a run.

        :param factor: its time over the expected time.
        :param now: the entry's time.
        """
        known = self._present(now)
        new = log(min(max(factor, 0.1), 10.0))
        self._log_factor = known + SPEED_WEIGHT * (new - known)
        self._noted_at = now

    def is_slow(self, now: float) -> bool:
        """Tell whether other targets are to be preferred."""
        # Slowness is only ever forgotten, so most need no exponent.
        if self._log_factor < LOG_SLOW_FACTOR:
            return False
        return self._present(now) >= LOG_SLOW_FACTOR

    def _present(self, now: float) -> float:
        age_s = now - self._noted_at
        return self._log_factor * 0.5 ** (age_s / SPEED_HALF_LIFE_S)
