"""Counters, gauges and histograms in the Prometheus text format."""

import prometheus_client
from prometheus_client import CollectorRegistry

PREFIX = "amaranthlug_"
BUCKETS_MS = (
    5, 10, 20, 50, 100, 200, 400, 700, 1_000, 1_500, 2_000, 4_000, 8_000,
    16_000,
)  # fmt: skip
"""Upper bounds of the histogram buckets, in milliseconds."""


class TextMetrics:
    """Implements `Metrics`; counter `a.b` becomes `a` with label `kind=b`."""

    def __init__(self) -> None:
        """Creates an empty registry."""
        self.registry = CollectorRegistry()
        self.counters: dict[str, prometheus_client.Counter] = {}
        self.children: dict[str, prometheus_client.Counter] = {}
        self.gauges: dict[str, prometheus_client.Gauge] = {}
        self.histograms: dict[str, prometheus_client.Histogram] = {}

    def incr(self, name: str, count: int = 1) -> None:
        """Adds `count` to a counter."""
        child = self.children.get(name)
        if child is None:
            family, _, kind = name.partition(".")
            if family not in self.counters:
                self.counters[family] = prometheus_client.Counter(
                    PREFIX + family, family, ["kind"], registry=self.registry
                )
            child = self.counters[family].labels(kind or "all")
            self.children[name] = child
        child.inc(count)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        if name not in self.gauges:
            self.gauges[name] = prometheus_client.Gauge(
                PREFIX + name, name, registry=self.registry
            )
        self.gauges[name].set(value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Records a duration in milliseconds."""
        if name not in self.histograms:
            self.histograms[name] = prometheus_client.Histogram(
                PREFIX + name, name, buckets=BUCKETS_MS, registry=self.registry
            )
        self.histograms[name].observe(milliseconds)

    def text(self) -> bytes:
        """Returns all metrics in the text format."""
        return prometheus_client.generate_latest(self.registry)
