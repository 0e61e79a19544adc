"""Estimates run times and target speeds from measured runs.

The run times that callers declare are often wrong.
"""

from __future__ import annotations

from math import exp
from math import log
from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarscale.runs.model import QueueName

RUN_TIME_WEIGHT: Final = 0.05
"""Weight of a new run in the moving averages of run times."""

MIN_DECLARED_S: Final = 0.001
"""Lower bound of declared run times, as ratios divide by them."""

TREND_WEIGHT: Final = 0.005
"""Weight of a new run in the moving regression of run times."""

MIN_TREND_RUNS: Final = 50
"""Runs of a queue from which its declared run times are corrected."""


class DeclaredTrend:
    """Linear regression of logarithms of measured on declared run times.

    Declared times that say little about the real ones get a slope near 0, so
    that the estimate is near the mean of the queue; exact ones get 1. This is
    the usual shrinkage of a noisy predictor.
    """

    def __init__(self) -> None:
        self._runs = 0
        self._mean_declared = 0.0
        """Mean logarithm of declared run times."""
        self._mean_ran = 0.0
        """Mean logarithm of measured run times."""
        self._variance = 0.0
        """Variance of the logarithms of declared run times."""
        self._covariance = 0.0

    def record(self, declared_s: float, ran_s: float) -> None:
        """Record a successful run."""
        self._runs += 1
        weight = max(TREND_WEIGHT, 1 / self._runs)
        declared_off = log(declared_s) - self._mean_declared
        ran_off = log(ran_s) - self._mean_ran
        self._mean_declared += weight * declared_off
        self._mean_ran += weight * ran_off
        self._variance += weight * (
            (1 - weight) * declared_off**2 - self._variance
        )
        self._covariance += weight * (
            (1 - weight) * declared_off * ran_off - self._covariance
        )

    def correct_s(self, declared_s: float) -> float:
        """Return a declared run time, corrected by the regression.

        :returns: seconds; the declared time while too few runs are known.
        """
        if self._runs < MIN_TREND_RUNS or self._variance <= 0:
            return declared_s
        slope = min(max(self._covariance / self._variance, 0.0), 1.0)
        off = log(declared_s) - self._mean_declared
        return exp(self._mean_ran + slope * off)


class RunTimes:
    """Moving averages of measured run times, for the users' platform."""

    def __init__(self) -> None:
        self._ratios: dict[QueueName, float] = {}
        """Mean ratios of measured to corrected run time, by queue."""
        self._trends: dict[QueueName, DeclaredTrend] = {}
        """How far declared run times are to be trusted, by queue."""
        self._mean_s = 0.0

    @property
    def mean_s(self) -> float:
        """Mean run time over all queues, in seconds; 0 before any run."""
        return self._mean_s

    def record(
        self, queue: QueueName, declared_s: float, ran_s: float
    ) -> None:
        """Record a successful run.

        :param queue: the queue of its job.
        :param declared_s: the run time that the caller declared.
        :param ran_s: the measured run time.
        """
        weight = RUN_TIME_WEIGHT if self._mean_s > 0 else 1.0
        self._mean_s += weight * (ran_s - self._mean_s)
        declared_s = max(declared_s, MIN_DECLARED_S)
        ran_s = max(ran_s, MIN_DECLARED_S)
        trend = self._trends.setdefault(queue, DeclaredTrend())
        ratio = ran_s / trend.correct_s(declared_s)
        trend.record(declared_s, ran_s)
        average = self._ratios.get(queue)
        if average is None:
            self._ratios[queue] = ratio
            return
        self._ratios[queue] = average + RUN_TIME_WEIGHT * (ratio - average)

    def estimate_s(self, queue: QueueName, declared_s: float) -> float:
        """Return the estimated run time of a task.

        :param queue: the queue of its job.
        :param declared_s: the run time that the caller declared.
        :returns: seconds.
        """
        trend = self._trends.get(queue)
        if trend is None:
            return declared_s
        corrected_s = trend.correct_s(max(declared_s, MIN_DECLARED_S))
        return corrected_s * self._ratios.get(queue, 1.0)


SLOWNESS_WEIGHT: Final = 0.2
"""Weight of a new run in the moving average of a target's slowness."""

SLOWNESS_HALF_LIFE_S: Final = 3.0
"""Half-life of a target's recorded slowness.

A slow target gets no runs that could show a change, so its slowness must
decay until it is used again.
"""

SLOW_FACTOR: Final = 1.8
"""Ratio of measured to expected run time from which a target is slow."""

LOG_SLOW_FACTOR: Final = log(SLOW_FACTOR)
"""The logarithm of SLOW_FACTOR, as logarithms of ratios are averaged."""


class Slowness:
    """Moving average of measured over expected run time on one target.

    It is a geometric mean that decays towards 1 with time.
    """

    def __init__(self) -> None:
        self._log_factor = 0.0
        """The logarithm of the average at the last update."""
        self._updated_at = 0.0

    def record(self, factor: float, now: float) -> None:
        """Record a run.

        :param factor: the ratio of its time to the expected time.
        :param now: the entry's time.
        """
        average = self._decayed(now)
        sample = log(min(max(factor, 0.1), 10.0))
        self._log_factor = average + SLOWNESS_WEIGHT * (sample - average)
        self._updated_at = now

    def is_slow(self, now: float) -> bool:
        """Return whether other targets are preferred to this one."""
        # The value only decays, so the exponent is needed only above the
        # limit.
        if self._log_factor < LOG_SLOW_FACTOR:
            return False
        return self._decayed(now) >= LOG_SLOW_FACTOR

    def _decayed(self, now: float) -> float:
        """Return the logarithm of the average, decayed until now."""
        age_s = now - self._updated_at
        return self._log_factor * 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)
