"""Advises rejected callers when to submit their jobs again."""

from __future__ import annotations

from typing import Final

MIN_RETRY_AFTER_S: Final = 1.0
"""Shortest delay of a retry that is advised to callers.

HTTP's Retry-After header has whole seconds.
"""

MAX_RETRY_AFTER_S: Final = 5.0
"""Longest advised delay: a lost target is restarted or replaced by then."""


def retry_after_s(wait_s: float) -> float:
    """Return the delay after which a retry is likely to be accepted.

    :param wait_s: the predicted wait of the rejected job, in seconds.
    :returns: seconds.
    """
    return min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
