"""Tells by the lateness of ticks whether an entry keeps up with its work."""

from __future__ import annotations

from typing import Final

LATE_TICK_S: Final = 0.1
"""How late a tick is when the process has more to do than it can.

A sound one is late by some milliseconds; a tenth of a second is a whole
period of a processor quota.
"""

LATE_TICKS: Final = 3
"""Late ticks in a row that show an overload; one may be a pause."""


class OverloadMeter:
    """Watches the ticks of one process.

    An overloaded process leaves requests unread for longer than it would take
    to refuse them.
    """

    def __init__(self) -> None:
        self._due_at = float("inf")
        self._late_ticks = 0
        self._late_s = 0.0

    @property
    def is_overloaded(self) -> bool:
        """Whether the process has more to do than it can."""
        return self._late_ticks >= LATE_TICKS

    @property
    def late_s(self) -> float:
        """How late the last tick was, in seconds."""
        return self._late_s

    def note_tick(self, now: float) -> bool:
        """Take in a tick.

        :param now: the process's time.
        :returns: whether an overload began or ended with it.
        """
        was_overloaded = self.is_overloaded
        self._late_s = max(0.0, now - self._due_at)
        is_late = self._late_s > LATE_TICK_S
        self._late_ticks = self._late_ticks + 1 if is_late else 0
        return self.is_overloaded != was_overloaded

    def expect_tick(self, due_at: float) -> None:
        """Note when the next tick is due at the latest."""
        self._due_at = due_at
