"""Expected run time of a task, learned from the runs of its queue.

Load pattern: estimates that callers give are off by large factors on some queues and
good on others. Both the estimate and the mean of the queue's runs are scored by how
far they were off, and the better one is believed.
"""

import math

import attrs

from .records import LearnedRecord

WEIGHT = 0.1  # of the newest run: the last two dozen runs count most
DEFAULT_MS = 1000.0
LEAST_MS = 20.0


@attrs.define
class _Queue:
    mean_ms: float
    estimate_error: float = 0.0
    mean_error: float = 0.0


class Durations:
    """Run times of all queues, in ms."""

    def __init__(self):
        self._queues = {}

    def report(self, queue, estimate_ms, took_ms):
        """Take in the run time of a task that was done."""
        took_ms = max(took_ms, LEAST_MS)
        known = self._queues.get(queue)
        if known is None:
            known = self._queues[queue] = _Queue(took_ms)
        if estimate_ms:
            error = abs(math.log(estimate_ms / took_ms))
            known.estimate_error += WEIGHT * (error - known.estimate_error)
        error = abs(math.log(known.mean_ms / took_ms))
        known.mean_error += WEIGHT * (error - known.mean_error)
        known.mean_ms += WEIGHT * (took_ms - known.mean_ms)

    def record(self):
        """Return the LearnedRecord to store."""
        return LearnedRecord(
            tuple((name, *attrs.astuple(item)) for name, item in self._queues.items())
        )

    def restore(self, record):
        """Take over what another scheduler learned."""
        for name, mean_ms, estimate_error, mean_error in record.queues:
            self._queues[name] = _Queue(mean_ms, estimate_error, mean_error)

    def expect(self, queue, estimate_ms):
        """Return the expected run time of a task."""
        known = self._queues.get(queue)
        if known is None:
            return float(estimate_ms or DEFAULT_MS)
        if estimate_ms and known.estimate_error < known.mean_error:
            return float(estimate_ms)
        return known.mean_ms
