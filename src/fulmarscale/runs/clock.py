"""The clock by which leases and the age of messages are measured."""

from __future__ import annotations

import time


def boottime_s() -> float:
    """Return the time since the machine started, in seconds.

    Unlike the monotonic clock, this clock includes the time while the machine
    was suspended, so a process can detect the suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
