"""Counters, gauges and latency histograms, served as text to scrapers.

Label sets are bounded: services and routes come from the configuration, reasons
from enums.
"""

from collections.abc import Callable, Iterable, Iterator

import msgspec
from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily

from .counters import Counters

__all__ = ["Gauge", "Metrics"]

# From a plain call of 20 ms to the longest deadlines of 15 s.
BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 3.2, 5.0, 8.0, 15.0)
PREFIX = "eelgrassward_"


class Gauge(msgspec.Struct, frozen=True):
    """One value now, with at most one label."""

    name: str
    help: str
    value: float
    label: str = ""
    label_value: str = ""


class Metrics:
    """The metrics of one process; ``gauges`` gives what holds now."""

    def __init__(
        self, counters: Counters, gauges: Callable[[], Iterable[Gauge]]
    ) -> None:
        self._counters = counters
        self._gauges = gauges
        self._registry = CollectorRegistry()
        self._registry.register(self)
        self._request_s = self._histogram(
            "request_seconds", "Time from arrival to the end of a request.", "outcome"
        )
        self._staged_s = self._histogram(
            "stages_seconds", "Time until the stages of a request are done.", "route"
        )
        self._queue_s = self._histogram(
            "piece_wait_seconds", "Wait of a piece for a server.", "service"
        )

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """Return what the registry asks for at each scrape."""
        events = CounterMetricFamily(
            PREFIX + "events",
            "Refusals, retries and others by reason.",
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

    def note_request(self, outcome: str, took_s: float) -> None:
        """Take in how a request ended, and after how many seconds."""
        self._request_s.labels(outcome).observe(took_s)

    def note_stages(self, route: str, took_s: float) -> None:
        """Take in after how many seconds the stages of a request were done."""
        self._staged_s.labels(route).observe(took_s)

    def note_wait(self, service: str, waited_s: float) -> None:
        """Take in how many seconds a piece waited for a server."""
        self._queue_s.labels(service).observe(waited_s)

    def text(self) -> bytes:
        """Return all metrics in the usual text format."""
        return generate_latest(self._registry)

    def _histogram(self, name: str, text: str, label: str) -> Histogram:
        return Histogram(
            PREFIX + name, text, [label], buckets=BUCKETS_S, registry=self._registry
        )
