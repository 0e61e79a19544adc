"""Metrics of an entry, under Prometheus' conventions."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import generate_latest
from prometheus_client import Histogram
from prometheus_client.core import CounterMetricFamily
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from fulmarscale.burn import RollingCounts
from fulmarscale.burn import WINDOWS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from prometheus_client import Metric

    from fulmarscale.entry.core import EntryCore

WINDOW_METRIC = "fulmarscale_promise_window_answers"
"""Answers within each window, by whether the promise was kept."""

RESPONSE_BUCKETS_S = (
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
    30.0,
    60.0,
)


OVER_IDEAL_BUCKETS = (1.02, 1.05, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0)


class CoreCollector(Collector):
    """Exports the counts and levels of the decision code."""

    def __init__(self, core: EntryCore, clock: Callable[[], float]) -> None:
        self._core = core
        self._clock = clock

    def collect(self) -> Iterable[Metric]:
        """Give all present values."""
        events = CounterMetricFamily(
            "fulmarscale_entry_events",
            "What the entry did, by kind.",
            labels=["kind"],
        )
        for count, number in self._core.counters.counts.items():
            events.add_metric([count.value], number)
        yield events
        age_s = self._clock() - self._core.lease.confirmed_at
        yield GaugeMetricFamily(
            "fulmarscale_lease_age_seconds",
            "Time since the last lease confirmation began.",
            value=age_s,
        )
        yield GaugeMetricFamily(
            "fulmarscale_queued_tasks",
            "Tasks that wait for an agent.",
            value=self._core.queued_tasks,
        )
        yield GaugeMetricFamily(
            "fulmarscale_records",
            "Submissions that the entry has a record of.",
            value=self._core.record_count,
        )
        yield GaugeMetricFamily(
            "fulmarscale_agents",
            "Agents connected.",
            value=len(self._core.gatherer.views),
        )


class WindowCollector(Collector):
    """Exports the answers within each window of the burn report."""

    def __init__(self, data_centre: str, clock: Callable[[], float]) -> None:
        self._data_centre = data_centre
        self._clock = clock
        self._counts: dict[str, RollingCounts] = defaultdict(RollingCounts)

    def note(self, customer: str, *, kept: bool) -> None:
        """Count an answer."""
        self._counts[customer].note(self._clock(), kept=kept)

    def collect(self) -> Iterable[Metric]:
        """Give the counts of all windows."""
        family = GaugeMetricFamily(
            WINDOW_METRIC,
            "Answers in a window, by whether the promise was kept.",
            labels=["customer", "data_centre", "window", "kept"],
        )
        now = self._clock()
        for customer, counts in self._counts.items():
            for window in WINDOWS:
                count = counts.count(window, now)
                labels = [customer, self._data_centre, window.name]
                family.add_metric([*labels, "true"], count.kept)
                family.add_metric([*labels, "false"], count.broken)
        yield family


class EntryMetrics:
    """All metrics of an entry."""

    def __init__(self, core: EntryCore, clock: Callable[[], float]) -> None:
        self._registry = CollectorRegistry()
        self._windows = WindowCollector(core.lease.member.data_centre, clock)
        self._registry.register(self._windows)
        self._registry.register(CoreCollector(core, clock))
        self._answers = Counter(
            "fulmarscale_answers",
            "Answers to submissions.",
            ["customer", "outcome"],
            registry=self._registry,
        )
        self._promised = Counter(
            "fulmarscale_promised_answers",
            "Answers by whether they kept the contract's promise.",
            ["customer", "data_centre", "kept"],
            registry=self._registry,
        )
        self._response = Histogram(
            "fulmarscale_response_seconds",
            "Time from a submission to its answer.",
            ["customer"],
            buckets=RESPONSE_BUCKETS_S,
            registry=self._registry,
        )
        self._over_ideal = Histogram(
            "fulmarscale_response_over_ideal",
            "Response time over the shortest possible for a job's tasks.",
            ["customer"],
            buckets=OVER_IDEAL_BUCKETS,
            registry=self._registry,
        )
        self._errors = Counter(
            "fulmarscale_refused_requests",
            "Requests refused, by numbered code.",
            ["code"],
            registry=self._registry,
        )

    def note_answer(
        self,
        customer: str,
        data_centre: str,
        outcome: str,
        response_s: float,
        *,
        kept: bool,
    ) -> None:
        """Count an answer.

        :param customer: the customer.
        :param data_centre: the entry's data centre.
        :param outcome: the submission's outcome.
        :param response_s: the response time in seconds.
        :param kept: whether the contract's promise was kept.
        """
        self._answers.labels(customer, outcome).inc()
        self._windows.note(customer, kept=kept)
        text = "true" if kept else "false"
        self._promised.labels(customer, data_centre, text).inc()
        self._response.labels(customer).observe(response_s)

    def note_over_ideal(self, customer: str, over_ideal: float) -> None:
        """Observe a done job's response time over the ideal."""
        self._over_ideal.labels(customer).observe(over_ideal)

    def note_error(self, code: int) -> None:
        """Count a refused request."""
        self._errors.labels(str(code)).inc()

    def render(self) -> bytes:
        """Give all metrics as text."""
        return generate_latest(self._registry)
