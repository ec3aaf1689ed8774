"""Counters, gauges and latency histograms in the Prometheus text format.

Label sets are bounded: services and routes come from the configuration, reasons from
enums.

The Prometheus library is imported by the first scrape, because importing it makes a
process start a twentieth slower, and callers wait for the start.
"""

from bisect import bisect_left
from collections.abc import Callable, Iterable, Iterator
from itertools import accumulate
from typing import TYPE_CHECKING

import msgspec

from .counters import Counters

if TYPE_CHECKING:
    from prometheus_client.core import Metric

__all__ = ["Gauge", "Metrics"]

# From a simple call of 20 ms to the longest deadline of 15 s.
BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 3.2, 5.0, 8.0, 15.0)
PREFIX = "eelgrassward_"


class Gauge(msgspec.Struct, frozen=True):
    """One current value, with at most one label."""

    name: str
    help: str
    value: float
    label: str = ""
    label_value: str = ""


class _Histogram:
    """The number of values per bucket and their sum, for each value of a label."""

    def __init__(self, name: str, help_text: str, label: str) -> None:
        self.name = name
        self.help_text = help_text
        self.label = label
        self.counts_by_value: dict[str, list[int]] = {}
        self.sum_by_value: dict[str, float] = {}

    def observe(self, label_value: str, amount: float) -> None:
        """Add one value."""
        counts = self.counts_by_value.get(label_value)
        if counts is None:
            counts = self.counts_by_value[label_value] = [0] * (len(BUCKETS_S) + 1)
        counts[bisect_left(BUCKETS_S, amount)] += 1
        self.sum_by_value[label_value] = (
            self.sum_by_value.get(label_value, 0.0) + amount
        )


class Metrics:
    """The metrics of one process; ``gauges`` returns the current gauges."""

    def __init__(
        self, counters: Counters, gauges: Callable[[], Iterable[Gauge]]
    ) -> None:
        self._counters = counters
        self._gauges = gauges
        self._request_s = _Histogram(
            "request_seconds", "Time from arrival to the end of a request.", "outcome"
        )
        self._stages_s = _Histogram(
            "stages_seconds", "Time until the stages of a request are done.", "route"
        )
        self._wait_s = _Histogram(
            "piece_wait_seconds", "Time a batch item waits for a server.", "service"
        )

    def collect(self) -> "Iterator[Metric]":
        """Return the metric families; the registry calls this at each scrape."""
        from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

        events = CounterMetricFamily(
            PREFIX + "events",
            "Refusals, retries and other events by reason.",
            labels=["kind"],
        )
        for kind, total in self._counters.totals.items():
            events.add_metric([kind], total)
        yield events
        families: dict[str, GaugeMetricFamily] = {}
        for gauge in self._gauges():
            labels = [gauge.label] if gauge.label else []
            family = families.setdefault(
                gauge.name,
                GaugeMetricFamily(PREFIX + gauge.name, gauge.help, labels=labels),
            )
            family.add_metric([gauge.label_value] if labels else [], gauge.value)
        yield from families.values()
        for histogram in (self._request_s, self._stages_s, self._wait_s):
            yield _family(histogram)

    def record_request(self, outcome: str, took_s: float) -> None:
        """Record how a request ended, and after how many seconds."""
        self._request_s.observe(outcome, took_s)

    def record_stages(self, route: str, took_s: float) -> None:
        """Record after how many seconds the stages of a request were done."""
        self._stages_s.observe(route, took_s)

    def record_wait(self, service: str, waited_s: float) -> None:
        """Record how many seconds a batch item waited for a server."""
        self._wait_s.observe(service, waited_s)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)


def _family(histogram: _Histogram) -> "Metric":
    from prometheus_client.core import HistogramMetricFamily

    family = HistogramMetricFamily(
        PREFIX + histogram.name, histogram.help_text, labels=[histogram.label]
    )
    bounds = [*map(str, BUCKETS_S), "+Inf"]
    for label_value, counts in histogram.counts_by_value.items():
        cumulative = list(accumulate(counts))
        family.add_metric(
            [label_value],
            list(zip(bounds, cumulative, strict=True)),
            histogram.sum_by_value[label_value],
        )
    return family
