"""Learned run times: what clients declare is often far off."""

from __future__ import annotations

NEW_SAMPLE_WEIGHT = 0.05
"""The weight of one more task in the mean of its kind."""

MAX_KINDS = 1024
"""The number of kinds whose run times are kept."""


class RunTimes:
    """The mean run time of each kind of task."""

    def __init__(self) -> None:
        self._means_s: dict[str, float] = {}

    def record(self, kind: str, run_s: float) -> None:
        """Take in the run time of one task."""
        mean_s = self._means_s.get(kind)
        if mean_s is None:
            if len(self._means_s) >= MAX_KINDS:
                return
            self._means_s[kind] = run_s
            return
        self._means_s[kind] = mean_s + NEW_SAMPLE_WEIGHT * (run_s - mean_s)

    def mean_s(self, kind: str) -> float | None:
        """Give the mean run time in seconds; none if not yet known."""
        return self._means_s.get(kind)
