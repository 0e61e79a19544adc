"""Burn rates of the customers' response-time objectives.

A contract sets a response time and the share of answers that must meet it.
The answers that may miss it are the error budget, and the burn rate is how
fast the budget is used up: at a rate of 1 it lasts exactly for the period of
the objective. The windows and alert thresholds follow the multi-window,
multi-burn-rate method of the Google SRE Workbook, chapter 5.
"""

from __future__ import annotations

from collections import deque
from typing import Final
from typing import NamedTuple
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

MINUTE_S: Final = 60.0


class Window(NamedTuple):
    """A time window, ending now, over which answers are counted."""

    name: str
    """The name in metrics and reports."""
    minutes: int
    """The length in minutes."""


BURN_WINDOWS: Final = (
    Window("5m", 5),
    Window("30m", 30),
    Window("1h", 60),
    Window("6h", 360),
)
"""All windows, shortest first."""


class AlertRule(NamedTuple):
    """Raises an alert when two windows exceed the same burn rate."""

    short_window: str
    """Name of the short window; it clears the alert soon after recovery."""
    long_window: str
    """Name of the long window; it prevents alerts on brief bursts."""
    threshold: float
    """The burn rate that both windows must exceed."""


ALERT_RULES: Final = (
    AlertRule("5m", "1h", 14.4),
    AlertRule("30m", "6h", 6.0),
)
"""All alert rules."""


class ObjectiveCount(NamedTuple):
    """Number of answers that met and that missed the objective."""

    met: int
    """Answers that met the objective."""
    missed: int
    """Answers that missed the objective."""

    @property
    def total(self) -> int:
        """The number of all answers."""
        return self.met + self.missed


class _MinuteCount:
    """The answers within one minute."""

    def __init__(self, index: int) -> None:
        self.index = index
        """Whole minutes of monotonic time."""
        self.met = 0
        self.missed = 0


class RollingCounts:
    """Per-minute counts of one customer's answers over the longest window."""

    def __init__(self) -> None:
        self._minutes: deque[_MinuteCount] = deque(
            maxlen=BURN_WINDOWS[-1].minutes
        )

    def record(self, now: float, *, met: bool) -> None:
        """Count an answer.

        :param now: monotonic time in seconds.
        :param met: whether the answer met the objective.
        """
        index = int(now // MINUTE_S)
        if not self._minutes or self._minutes[-1].index != index:
            self._minutes.append(_MinuteCount(index))
        minute = self._minutes[-1]
        if met:
            minute.met += 1
        else:
            minute.missed += 1

    def count(self, window: Window, now: float) -> ObjectiveCount:
        """Return the number of answers within a window that ends now.

        :param window: the window.
        :param now: monotonic time in seconds.
        """
        oldest = int(now // MINUTE_S) - window.minutes
        recent = [m for m in self._minutes if m.index > oldest]
        return ObjectiveCount(
            sum(minute.met for minute in recent),
            sum(minute.missed for minute in recent),
        )


def burn_rate(count: ObjectiveCount, objective_share: float) -> float:
    """Compute the burn rate of the error budget.

    :param count: the answers in a window.
    :param objective_share: the share of answers that must meet the objective.
    :returns: the share of answers that missed it, divided by the share that
        may miss it; 0 without answers.
    """
    if count.total == 0:
        return 0.0
    return count.missed / count.total / (1 - objective_share)


def firing_alerts(burns: dict[str, float]) -> Iterator[AlertRule]:
    """Yield the alert rules whose windows both exceed their burn rate.

    :param burns: burn rates by the window's name.
    """
    for rule in ALERT_RULES:
        if (
            burns[rule.short_window] > rule.threshold
            and burns[rule.long_window] > rule.threshold
        ):
            yield rule
