"""Metrics kept in memory for /metricsz and sent to statsd."""

from typing import Any

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from amaranthlug.state.settings import StatsdSettings

MAX_TIMING_US = 600_000_000
"""Largest duration recorded in a histogram, in microseconds; longer ones are
recorded as this."""


class StatsdMetrics:
    """Counters, gauges and timings of one process."""

    def __init__(self, client: StatsClient | None = None):
        """Creates metrics; without a client, none are sent."""
        self.client = client
        self.counters: dict[str, int] = {}
        self.gauges: dict[str, float] = {}
        self.timings: dict[str, HdrHistogram] = {}

    @classmethod
    def from_config(cls, settings: StatsdSettings) -> "StatsdMetrics":
        """Creates metrics, sent to statsd if the settings name a host."""
        if not settings.host:
            return cls()
        return cls(
            StatsClient(settings.host, settings.port, prefix=settings.prefix)
        )

    def incr(self, name: str, count: int = 1) -> None:
        """Adds `count` to a counter."""
        self.counters[name] = self.counters.get(name, 0) + count
        if self.client is not None:
            self.client.incr(name, count)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self.gauges[name] = value
        if self.client is not None:
            self.client.gauge(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Records a duration in milliseconds."""
        histogram = self.timings.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_TIMING_US, 2)
            self.timings[name] = histogram
        histogram.record_value(
            min(max(int(milliseconds * 1_000), 1), MAX_TIMING_US)
        )
        if self.client is not None:
            self.client.timing(name, milliseconds)

    def to_json(self) -> dict[str, Any]:
        """Returns all metrics, with percentiles of timings in milliseconds."""
        timings = {
            name: {
                "count": histogram.get_total_count(),
                "p50": histogram.get_value_at_percentile(50) / 1_000,
                "p95": histogram.get_value_at_percentile(95) / 1_000,
                "p99": histogram.get_value_at_percentile(99) / 1_000,
            }
            for name, histogram in self.timings.items()
        }
        return {
            "counters": self.counters,
            "gauges": self.gauges,
            "timings": timings,
        }
