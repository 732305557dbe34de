"""Metrics of one process in the Prometheus text format."""

from .metrics import US_PER_S

PREFIX = "cardamom_"
QUANTILES = (("0.5", "p50_us"), ("0.9", "p90_us"), ("0.99", "p99_us"), ("1", "max_us"))


def to_text(recorded, gauges):
    """Return the Prometheus text of ``recorded`` Metrics and ``gauges`` as bytes.

    ``gauges`` maps names to numbers. Timings are written as summaries in seconds.
    """
    # Imported on the first scrape: processes that are never scraped do not load it.
    from prometheus_client.core import (
        CounterMetricFamily,
        GaugeMetricFamily,
        Metric,
    )
    from prometheus_client.exposition import generate_latest

    families = {}
    for (name, labels), value in sorted(recorded.counters().items()):
        family = families.get(name)
        if family is None:
            names = [label for label, _ in labels]
            family = CounterMetricFamily(PREFIX + name, name, labels=names)
            families[name] = family
        family.add_metric([text for _, text in labels], value)
    metrics = list(families.values())
    for name, timing in sorted(recorded.view().timings.items()):
        metric_name = f"{PREFIX}{name}_seconds"
        summary = Metric(metric_name, name, "summary")
        for quantile, field in QUANTILES:
            value = getattr(timing, field) / US_PER_S
            summary.add_sample(metric_name, {"quantile": quantile}, value)
        summary.add_sample(f"{metric_name}_count", {}, timing.count)
        summary.add_sample(f"{metric_name}_sum", {}, timing.sum_us / US_PER_S)
        metrics.append(summary)
    for name, value in sorted(gauges.items()):
        metrics.append(GaugeMetricFamily(PREFIX + name, name, value=value))
    return generate_latest(_Collected(metrics))


class _Collected:
    """A fixed list of metrics with the ``collect`` method of a Prometheus registry."""

    def __init__(self, metrics):
        self._metrics = metrics

    def collect(self):
        return self._metrics
