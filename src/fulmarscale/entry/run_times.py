"""Estimates of task run times.

They are measured, as the run times that callers declare are often far off.
"""

from __future__ import annotations

NEW_SAMPLE_WEIGHT = 0.05
"""The weight of a new sample in the moving average of its kind."""

MAX_KINDS = 1024
"""The largest number of kinds with an estimate."""


class RunTimes:
    """Run times of the own HTTP interface.

    They are exponential moving averages, one for each kind.
    """

    def __init__(self) -> None:
        self._means_s: dict[str, float] = {}

    def record(self, kind: str, run_s: float) -> None:
        """Update the average of a kind with the run time of one task."""
        mean_s = self._means_s.get(kind)
        if mean_s is None:
            if len(self._means_s) >= MAX_KINDS:
                return
            self._means_s[kind] = run_s
            return
        self._means_s[kind] = mean_s + NEW_SAMPLE_WEIGHT * (run_s - mean_s)

    def mean_s(self, kind: str) -> float | None:
        """Return the average run time in seconds; none without a sample."""
        return self._means_s.get(kind)
