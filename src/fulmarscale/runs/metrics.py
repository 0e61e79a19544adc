"""Counters and latency histograms of the programs on the platform.

The library is imported when the metrics are first asked for: it takes
several megabytes, and most processes are never asked.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from prometheus_client import Metric

    from fulmarscale.logs import EventLog

SPAN_BUCKETS_S: Final = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)
"""Upper bounds of the buckets, in seconds."""


class SpanHistogram:
    """Counts spans of time in buckets."""

    def __init__(self, name: str, description: str) -> None:
        self._name = name
        self._description = description
        self._counts = [0] * (len(SPAN_BUCKETS_S) + 1)
        self._sum_s = 0.0

    @property
    def name(self) -> str:
        """The metric's name."""
        return self._name

    @property
    def description(self) -> str:
        """What is measured."""
        return self._description

    @property
    def sum_s(self) -> float:
        """The sum of all spans, in seconds."""
        return self._sum_s

    def note(self, span_s: float) -> None:
        """Count a span.

        :param span_s: its length in seconds.
        """
        self._counts[bisect_left(SPAN_BUCKETS_S, span_s)] += 1
        self._sum_s += span_s

    def buckets(self) -> list[tuple[str, float]]:
        """Give the cumulative counts under their upper bounds."""
        bounds = [*(str(bound) for bound in SPAN_BUCKETS_S), "+Inf"]
        total = 0
        found = []
        for bound, count in zip(bounds, self._counts, strict=True):
            total += count
            found.append((bound, float(total)))
        return found


class SiteMetrics:
    """All metrics of one process."""

    def __init__(
        self,
        log: EventLog,
        levels: Callable[[], dict[str, float]],
        histograms: tuple[SpanHistogram, ...],
    ) -> None:
        self._log = log
        self._levels = levels
        self._histograms = histograms

    def render(self) -> bytes:
        """Give all metrics as text."""
        from prometheus_client import CollectorRegistry
        from prometheus_client import generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterable[Metric]:
        """Give all present values to the library."""
        from prometheus_client.core import CounterMetricFamily
        from prometheus_client.core import GaugeMetricFamily
        from prometheus_client.core import HistogramMetricFamily

        events = CounterMetricFamily(
            "fulmarscale_events",
            "Numbered log events, by name; lines that were dropped count.",
            labels=["event"],
        )
        for event, count in self._log.counts.items():
            events.add_metric([event.name], count)
        yield events
        levels = GaugeMetricFamily(
            "fulmarscale_level", "Present levels.", labels=["kind"]
        )
        for kind, level in self._levels().items():
            levels.add_metric([kind], level)
        yield levels
        for histogram in self._histograms:
            family = HistogramMetricFamily(
                histogram.name, histogram.description
            )
            family.add_metric([], histogram.buckets(), histogram.sum_s)
            yield family
