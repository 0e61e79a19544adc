"""Prometheus metrics of an entry."""

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

from fulmarscale.burn import BURN_WINDOWS
from fulmarscale.burn import RollingCounts
from fulmarscale.runs.metrics import collect_admission

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from prometheus_client import Metric

    from fulmarscale.entry.core import EntryCore
    from fulmarscale.listeners.http_admission import RequestAdmission

WINDOW_METRIC = "fulmarscale_promise_window_answers"
"""Gauge from which the burn report reads the answers in each window."""

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
"""Upper bounds of the histogram of response times."""

OVER_IDEAL_BUCKETS = (1.02, 1.05, 1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0)
"""Upper bounds of the histogram of response times divided by the ideal.

The ideal is the shortest possible response time for the tasks of a job.
"""


class EntryCoreCollector(Collector):
    """Exports the counters and gauges of an entry's core."""

    def __init__(self, core: EntryCore, clock: Callable[[], float]) -> None:
        self._core = core
        self._clock = clock

    def collect(self) -> Iterable[Metric]:
        """Yield the current values."""
        events = CounterMetricFamily(
            "fulmarscale_entry_events",
            "What the entry did, by kind.",
            labels=["kind"],
        )
        for kind, number in self._core.counters.counts.items():
            events.add_metric([kind.value], number)
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
            value=len(self._core.dispatcher.connected_agents),
        )


class AnswerWindowCollector(Collector):
    """Exports the number of answers in each window of the burn report."""

    def __init__(self, data_centre: str, clock: Callable[[], float]) -> None:
        self._data_centre = data_centre
        self._clock = clock
        self._counts: dict[str, RollingCounts] = defaultdict(RollingCounts)

    def record(self, customer: str, *, met: bool) -> None:
        """Count an answer.

        :param customer: the customer.
        :param met: whether the contract's response-time objective was met.
        """
        self._counts[customer].record(self._clock(), met=met)

    def collect(self) -> Iterable[Metric]:
        """Yield the counts of all customers and windows."""
        family = GaugeMetricFamily(
            WINDOW_METRIC,
            "Answers in a window, by whether the promise was kept.",
            labels=["customer", "data_centre", "window", "kept"],
        )
        now = self._clock()
        for customer, counts in self._counts.items():
            for window in BURN_WINDOWS:
                count = counts.count(window, now)
                labels = [customer, self._data_centre, window.name]
                family.add_metric([*labels, "true"], count.met)
                family.add_metric([*labels, "false"], count.missed)
        yield family


class AdmissionCollector(Collector):
    """Exports the counters and gauges of the admission of requests."""

    def __init__(self, admission: RequestAdmission) -> None:
        self._admission = admission

    def collect(self) -> Iterable[Metric]:
        """Yield the current values."""
        return collect_admission(self._admission)


class EntryMetrics:
    """The metrics registry of an entry."""

    def __init__(self, core: EntryCore, clock: Callable[[], float]) -> None:
        self._registry = CollectorRegistry()
        self._answer_windows = AnswerWindowCollector(
            core.lease.member.data_centre, clock
        )
        self._registry.register(self._answer_windows)
        self._registry.register(EntryCoreCollector(core, clock))
        self._answers = Counter(
            "fulmarscale_answers",
            "Answers to submissions.",
            ["customer", "outcome"],
            registry=self._registry,
        )
        self._objective_answers = Counter(
            "fulmarscale_promised_answers",
            "Answers by whether they kept the contract's promise.",
            ["customer", "data_centre", "kept"],
            registry=self._registry,
        )
        self._response_time = Histogram(
            "fulmarscale_response_seconds",
            "Time from a submission to its answer.",
            ["customer"],
            buckets=RESPONSE_BUCKETS_S,
            registry=self._registry,
        )
        self._ratio_to_ideal = Histogram(
            "fulmarscale_response_over_ideal",
            "Response time over the shortest possible for a job's tasks.",
            ["customer"],
            buckets=OVER_IDEAL_BUCKETS,
            registry=self._registry,
        )
        self._rejections = Counter(
            "fulmarscale_refused_requests",
            "Requests refused, by numbered code.",
            ["code"],
            registry=self._registry,
        )

    def record_answer(
        self,
        customer: str,
        data_centre: str,
        outcome: str,
        response_s: float,
        *,
        met: bool,
    ) -> None:
        """Record an answer to a submission.

        :param customer: the customer.
        :param data_centre: the entry's data centre.
        :param outcome: the submission's outcome.
        :param response_s: the response time in seconds.
        :param met: whether the contract's response-time objective was met.
        """
        self._answers.labels(customer, outcome).inc()
        self._answer_windows.record(customer, met=met)
        kept_label = "true" if met else "false"
        self._objective_answers.labels(customer, data_centre, kept_label).inc()
        self._response_time.labels(customer).observe(response_s)

    def record_ratio_to_ideal(
        self, customer: str, ratio_to_ideal: float
    ) -> None:
        """Record the response time of a completed job, divided by the ideal.

        :param customer: the customer.
        :param ratio_to_ideal: the response time divided by the shortest
            possible.
        """
        self._ratio_to_ideal.labels(customer).observe(ratio_to_ideal)

    def record_rejection(self, code: int) -> None:
        """Count a rejected request by its numbered result code."""
        self._rejections.labels(str(code)).inc()

    def add_admission(self, admission: RequestAdmission) -> None:
        """Add the metrics of the admission of requests."""
        self._registry.register(AdmissionCollector(admission))

    def render(self) -> bytes:
        """Return all metrics in the text exposition format."""
        return generate_latest(self._registry)
