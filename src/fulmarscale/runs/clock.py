"""The clock that leases and freshness are measured on."""

from __future__ import annotations

import time


def steady_s() -> float:
    """Tell the time since the machine started, in seconds.

    Unlike the monotonic clock it goes on while a machine is suspended, so a
    process that was suspended sees that it was away.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
