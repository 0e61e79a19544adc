"""Dates what a target reports of its own future by its agent's clock.

A target reports the time that is left with each heartbeat. As a time of the
agent's clock it stays the same, so that entries are told of it once.
"""

from __future__ import annotations

from typing import Final
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from fulmarscale.runs.model import TargetReport

TIME_TOLERANCE_S: Final = 0.1
"""Difference between two reports of a time up to which the first holds.

Heartbeats are delayed by different times.
"""


def date_report(
    report: TargetReport,
    former: TargetReport | None,
    remaining_s: float | None,
    cold_left_s: float | None,
    now: float,
) -> TargetReport:
    """Return a target's report with the times that it announces.

    :param report: the report without these times.
    :param former: the last report; none if there is none.
    :param remaining_s: least time until the target ends; none if not known.
    :param cold_left_s: time until it has warmed up; none if not known.
    :param now: the agent's time.
    """
    if former is not None and former.incarnation != report.incarnation:
        former = None
    return msgspec.structs.replace(
        report,
        leaves_at=_time_at(
            now, remaining_s, None if former is None else former.leaves_at
        ),
        cold_until=_time_at(
            now,
            cold_left_s or None,
            None if former is None else former.cold_until,
        ),
    )


def undate_report(report: TargetReport) -> TargetReport:
    """Return a report without times, which hold for this process only."""
    return msgspec.structs.replace(report, leaves_at=None, cold_until=None)


def _time_at(
    now: float, left_s: float | None, former_at: float | None
) -> float | None:
    """Return when a time has passed; the former time if it is much the same.

    :param now: the agent's time.
    :param left_s: the time that is left, in seconds; none if not known.
    :param former_at: the last result; none if there is none.
    """
    if left_s is None:
        return None
    ends_at = now + left_s
    if former_at is not None and abs(ends_at - former_at) <= TIME_TOLERANCE_S:
        return former_at
    return ends_at
