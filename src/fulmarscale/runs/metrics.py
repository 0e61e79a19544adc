"""Counters, gauges and latency histograms of the entry and agent processes.

The Prometheus library is imported when metrics are first requested: it takes
several megabytes, and most processes never serve a request for metrics.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import Final
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from prometheus_client import Metric

    from fulmarscale.listeners.http_admission import RequestAdmission
    from fulmarscale.logs import EventLog

DURATION_BUCKETS_S: Final = (
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


class DurationHistogram:
    """A histogram of durations."""

    def __init__(self, name: str, description: str) -> None:
        self._name = name
        self._description = description
        self._counts = [0] * (len(DURATION_BUCKETS_S) + 1)
        """Durations in each bucket, not cumulative; the last is unbounded."""
        self._sum_s = 0.0

    @property
    def name(self) -> str:
        """The metric's name."""
        return self._name

    @property
    def description(self) -> str:
        """The metric's help text."""
        return self._description

    @property
    def sum_s(self) -> float:
        """The sum of all durations, in seconds."""
        return self._sum_s

    def observe(self, duration_s: float) -> None:
        """Record a duration.

        :param duration_s: the duration in seconds.
        """
        self._counts[bisect_left(DURATION_BUCKETS_S, duration_s)] += 1
        self._sum_s += duration_s

    def buckets(self) -> list[tuple[str, float]]:
        """Return the upper bounds of the buckets with cumulative counts."""
        bounds = [*(str(bound) for bound in DURATION_BUCKETS_S), "+Inf"]
        total = 0
        cumulative = []
        for bound, count in zip(bounds, self._counts, strict=True):
            total += count
            cumulative.append((bound, float(total)))
        return cumulative


class ProcessMetrics:
    """The metrics of one process, as a collector of the Prometheus library."""

    def __init__(
        self,
        log: EventLog,
        gauges: Callable[[], dict[str, float]],
        histograms: tuple[DurationHistogram, ...],
    ) -> None:
        self._log = log
        self._gauges = gauges
        """Returns the current gauge values by name."""
        self._histograms = histograms
        self._admission: RequestAdmission | None = None

    def add_admission(self, admission: RequestAdmission) -> None:
        """Add the metrics of the admission of requests."""
        self._admission = admission

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry
        from prometheus_client import generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterable[Metric]:
        """Yield all metrics with their current values."""
        from prometheus_client.core import CounterMetricFamily
        from prometheus_client.core import GaugeMetricFamily
        from prometheus_client.core import HistogramMetricFamily

        events = CounterMetricFamily(
            "fulmarscale_events",
            "Numbered log events, by name; lines that were dropped count.",
            labels=["event"],
        )
        for event, count in self._log.event_counts.items():
            events.add_metric([event.name], count)
        yield events
        gauges = GaugeMetricFamily(
            "fulmarscale_level", "Present levels.", labels=["kind"]
        )
        for kind, value in self._gauges().items():
            gauges.add_metric([kind], value)
        yield gauges
        if self._admission is not None:
            yield from collect_admission(self._admission)
        for histogram in self._histograms:
            family = HistogramMetricFamily(
                histogram.name, histogram.description
            )
            family.add_metric([], histogram.buckets(), histogram.sum_s)
            yield family


def collect_admission(admission: RequestAdmission) -> Iterable[Metric]:
    """Yield the metrics of the admission of requests.

    :param admission: the admission of the process.
    """
    from prometheus_client.core import CounterMetricFamily
    from prometheus_client.core import GaugeMetricFamily

    refused = CounterMetricFamily(
        "fulmarscale_refused_clients",
        "Clients that exceeded a bound, by its kind.",
        labels=["bound"],
    )
    for bound, count in admission.refusals.items():
        refused.add_metric([bound.value], count)
    yield refused
    budget = admission.budget
    held = GaugeMetricFamily(
        "fulmarscale_request_bytes",
        "Bytes of requests that are not decided: in use, and the budget.",
        labels=["kind"],
    )
    held.add_metric(["used"], budget.used_bytes)
    held.add_metric(["budget"], budget.total_bytes)
    yield held
    turns = admission.turns
    yield CounterMetricFamily(
        "fulmarscale_deferred_turns",
        "How often a connection had to wait until others were worked for.",
        value=turns.deferred,
    )
    yield GaugeMetricFamily(
        "fulmarscale_waiting_connections",
        "Connections that wait for their turn.",
        value=turns.waiting,
    )
