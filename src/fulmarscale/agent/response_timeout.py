"""The timeout of requests to a target, from its measured response times."""

from __future__ import annotations

from typing import Final

MAX_TIMEOUT_S: Final = 0.2
"""The longest timeout, also before the first response."""

MIN_TIMEOUT_S: Final = 0.02
"""The shortest timeout; a busy agent reads a response some ms late."""

MEAN_WEIGHT: Final = 1 / 8
"""Weight of a new response time in the smoothed mean."""

DEVIATION_WEIGHT: Final = 1 / 4
"""Weight of a new deviation in the smoothed deviation."""

DEVIATION_FACTOR: Final = 4.0
"""Deviations by which the timeout exceeds the mean."""

BACKOFF_FACTOR: Final = 2.0
"""Factor on the timeout after a request without a response."""

MIN_BACKOFF_LOSSES: Final = 2
"""Consecutive unanswered requests from which the timeout grows."""

LOSS_MEMORY_S: Final = 2.0
"""How long an unanswered request makes another one likely."""


class ResponseTimeout:
    """The retransmission timeout of RFC 6298, for requests to one target.

    A request without a response may have been carried out or may be seconds
    later, so the sooner it is known, the sooner its task can run elsewhere.
    """

    def __init__(
        self, min_s: float = MIN_TIMEOUT_S, max_s: float = MAX_TIMEOUT_S
    ) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._mean_s: float | None = None
        """The smoothed response time; none before the first response."""
        self._deviation_s = 0.0
        """The smoothed mean deviation of response times."""
        self._timeout_s = max_s
        self._last_loss_at = float("-inf")
        self._losses = 0
        """Unanswered requests since the last response."""

    @property
    def timeout_s(self) -> float:
        """How long to wait for a response, in seconds."""
        return self._timeout_s

    def record_response(self, took_s: float) -> None:
        """Record the time that a response took, in seconds."""
        self._losses = 0
        if self._mean_s is None:
            self._mean_s = took_s
            self._deviation_s = took_s / 2
        else:
            deviation_s = abs(self._mean_s - took_s)
            self._deviation_s += DEVIATION_WEIGHT * (
                deviation_s - self._deviation_s
            )
            self._mean_s += MEAN_WEIGHT * (took_s - self._mean_s)
        timeout_s = self._mean_s + DEVIATION_FACTOR * self._deviation_s
        self._timeout_s = min(max(timeout_s, self._min_s), self._max_s)

    def record_loss(self, now: float) -> None:
        """Record that a request got no response within the timeout.

        :param now: the agent's time.
        """
        self._last_loss_at = now
        self._losses += 1
        if self._losses < MIN_BACKOFF_LOSSES:
            return
        self._timeout_s = min(BACKOFF_FACTOR * self._timeout_s, self._max_s)

    def is_losing(self, now: float) -> bool:
        """Return whether a request went unanswered lately."""
        return now - self._last_loss_at <= LOSS_MEMORY_S
