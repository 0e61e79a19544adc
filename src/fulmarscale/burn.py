"""Service-level burn: how fast a promise's error budget is used up.

A burn rate of 1 uses up the budget exactly in the promise's period; the
windows and limits for alerts are those of the multi-window method in the
Google SRE Workbook, chapter 5.
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
    """A span of time over which burn is measured."""

    name: str
    """The name in metrics and reports."""
    minutes: int
    """The length in minutes."""


WINDOWS: Final = (
    Window("5m", 5),
    Window("30m", 30),
    Window("1h", 60),
    Window("6h", 360),
)
"""All windows, shortest first."""


class AlertRule(NamedTuple):
    """An alert when a short and a long window both burn too fast."""

    short: str
    """The short window, which ends the alert soon."""
    long: str
    """The long window, which keeps it from being raised by a moment."""
    burn: float
    """The burn rate that both must exceed."""


ALERT_RULES: Final = (
    AlertRule("5m", "1h", 14.4),
    AlertRule("30m", "6h", 6.0),
)
"""All alert rules."""


class PromiseCount(NamedTuple):
    """Answers that kept a promise and those that broke it."""

    kept: int
    """Answers that kept it."""
    broken: int
    """Answers that broke it."""

    @property
    def total(self) -> int:
        """All answers."""
        return self.kept + self.broken


class _Minute:
    def __init__(self, number: int) -> None:
        self.number = number
        self.kept = 0
        self.broken = 0


class RollingCounts:
    """Counts of one customer over the last hours, by the minute."""

    def __init__(self) -> None:
        self._minutes: deque[_Minute] = deque(maxlen=WINDOWS[-1].minutes)

    def note(self, now: float, *, kept: bool) -> None:
        """Count an answer.

        :param now: monotonic time in seconds.
        :param kept: whether it kept the promise.
        """
        number = int(now // MINUTE_S)
        if not self._minutes or self._minutes[-1].number != number:
            self._minutes.append(_Minute(number))
        minute = self._minutes[-1]
        if kept:
            minute.kept += 1
        else:
            minute.broken += 1

    def count(self, window: Window, now: float) -> PromiseCount:
        """Count the answers within a window that ends now."""
        oldest = int(now // MINUTE_S) - window.minutes
        recent = [m for m in self._minutes if m.number > oldest]
        return PromiseCount(
            sum(minute.kept for minute in recent),
            sum(minute.broken for minute in recent),
        )


def burn_rate(count: PromiseCount, promised_share: float) -> float:
    """Compute the burn rate.

    :param count: the answers in a window.
    :param promised_share: the share of answers that must keep the promise.
    :returns: the share of broken promises over the share allowed.
    """
    if count.total == 0:
        return 0.0
    return count.broken / count.total / (1 - promised_share)


def raised_alerts(burns: dict[str, float]) -> Iterator[AlertRule]:
    """Name the alert rules that burn rates exceed.

    :param burns: burn rates by the window's name.
    """
    for rule in ALERT_RULES:
        if burns[rule.short] > rule.burn and burns[rule.long] > rule.burn:
            yield rule
