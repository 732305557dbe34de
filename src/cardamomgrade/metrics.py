"""Counters and timings of one process; timings are kept as HDR histograms."""

import attrs
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3600 * 1000 * 1000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
LABELS_HIGH = 50  # scrapers keep each series for weeks, also those of removed customers
OTHER = "other"


@attrs.frozen
class TimingView:
    """Count, percentiles and sum of one timing, in microseconds."""

    count: int
    p50_us: int
    p90_us: int
    p99_us: int
    max_us: int
    sum_us: int


@attrs.frozen
class MetricsView:
    """Counter totals and TimingViews by name."""

    counters: dict
    timings: dict


class BoundedLabel:
    """Keeps a label to LABELS_HIGH values, OTHER included.

    The first values have labels of their own, and the counts of all others are summed.
    """

    def __init__(self):
        self._values = set()

    def of(self, value):
        """Return the label to count ``value`` under."""
        if value in self._values:
            return value
        if len(self._values) < LABELS_HIGH - 1:
            self._values.add(value)
            return value
        return OTHER


def _timing_view(histogram):
    return TimingView(
        histogram.get_total_count(),
        histogram.get_value_at_percentile(50),
        histogram.get_value_at_percentile(90),
        histogram.get_value_at_percentile(99),
        histogram.get_max_value(),
        int(histogram.get_mean_value() * histogram.get_total_count()),
    )


class Metrics:
    """Registry of counters and timings, which are created on first use."""

    def __init__(self):
        self._counters = {}
        self._timings = {}

    def count(self, name, amount=1, **labels):
        """Add ``amount`` to the counter with this name and these labels."""
        key = (name, tuple(sorted(labels.items())))
        self._counters[key] = self._counters.get(key, 0) + amount

    def time(self, name, seconds):
        """Record a duration in seconds."""
        histogram = self._timings.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._timings[name] = histogram
        value = max(LOWEST_US, min(int(seconds * US_PER_S), HIGHEST_US))
        histogram.record_value(value)

    def counters(self):
        """Return a dict {(name, ((label, value), ...)): count}."""
        return dict(self._counters)

    def view(self):
        """Return a MetricsView of current values; counters are summed over labels."""
        timings = {name: _timing_view(hist) for name, hist in self._timings.items()}
        totals = {}
        for (name, _), value in self._counters.items():
            totals[name] = totals.get(name, 0) + value
        return MetricsView(totals, timings)
