"""Detects an overload of the process by the lateness of its ticks."""

from __future__ import annotations

from typing import Final

LATE_TICK_S: Final = 0.1
"""Lateness of a tick from which the process may be overloaded.

Without overload ticks are late by some milliseconds. A tenth of a second is a
whole period of a processor quota.
"""

LATE_TICKS: Final = 3
"""Consecutive late ticks that show an overload; one may be a short stall."""


class OverloadDetector:
    """Compares the ticks of one process with their due times.

    An overloaded process leaves requests unread for longer than it would take
    to reject them.
    """

    def __init__(self) -> None:
        self._due_at = float("inf")
        """When the next tick is due at the latest."""
        self._late_ticks = 0
        """Consecutive late ticks up to the last one."""
        self._late_s = 0.0

    @property
    def is_overloaded(self) -> bool:
        """Whether the process can't keep up with its work."""
        return self._late_ticks >= LATE_TICKS

    @property
    def late_s(self) -> float:
        """How late the last tick was, in seconds."""
        return self._late_s

    def record_tick(self, now: float) -> bool:
        """Record a tick.

        :param now: the process's time.
        :returns: whether an overload began or ended with it.
        """
        was_overloaded = self.is_overloaded
        self._late_s = max(0.0, now - self._due_at)
        is_late = self._late_s > LATE_TICK_S
        self._late_ticks = self._late_ticks + 1 if is_late else 0
        return self.is_overloaded != was_overloaded

    def expect_tick(self, due_at: float) -> None:
        """Set when the next tick is due at the latest."""
        self._due_at = due_at
