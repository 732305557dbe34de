"""Expected run time of a task, learned from past runs of its queue.

Load pattern: the estimates of callers are accurate on some queues and off by large
factors on others. For each queue the errors of the callers' estimates and of the mean
run time are tracked as moving averages, and the predictor with the lower error is used.
"""

import math

import attrs

from .records import LearnedRecord

NEWEST_WEIGHT = 0.1  # moving average dominated by the last two dozen runs
DEFAULT_MS = 1000.0
MIN_MS = 20.0
RELIABLE_ERROR = 0.5  # a mean error of a factor of 1.6; slow runs raise it by 0.2


@attrs.define
class _QueueStats:
    """Moving averages; errors are absolute logarithms of estimate over run time."""

    mean_ms: float
    estimate_error: float = 0.0
    mean_error: float = 0.0


class CallerEstimates:
    """Takes the callers' estimates; in the place of Durations."""

    def observe(self, queue, estimate_ms, duration_ms):
        """Record nothing."""

    def record(self):
        """Return a LearnedRecord without queues."""
        return LearnedRecord(())

    def restore(self, record):
        """Load nothing."""

    def is_reliable(self, queue, estimate_ms):
        """Return False."""
        return False

    def expected_ms(self, queue, estimate_ms):
        """Return the estimate, or a default without one, in ms."""
        return float(estimate_ms or DEFAULT_MS)


class Durations:
    """Run time statistics of all queues, in ms."""

    def __init__(self):
        self._queues = {}

    def observe(self, queue, estimate_ms, duration_ms):
        """Record the run time of a completed task."""
        duration_ms = max(duration_ms, MIN_MS)
        stats = self._queues.get(queue)
        if stats is None:
            stats = self._queues[queue] = _QueueStats(duration_ms)
        if estimate_ms:
            error = abs(math.log(estimate_ms / duration_ms))
            stats.estimate_error += NEWEST_WEIGHT * (error - stats.estimate_error)
        error = abs(math.log(stats.mean_ms / duration_ms))
        stats.mean_error += NEWEST_WEIGHT * (error - stats.mean_error)
        stats.mean_ms += NEWEST_WEIGHT * (duration_ms - stats.mean_ms)

    def record(self):
        """Return the LearnedRecord to store."""
        return LearnedRecord(
            tuple((name, *attrs.astuple(item)) for name, item in self._queues.items())
        )

    def restore(self, record):
        """Load the LearnedRecord that an earlier scheduler stored."""
        for name, mean_ms, estimate_error, mean_error in record.queues:
            self._queues[name] = _QueueStats(mean_ms, estimate_error, mean_error)

    def is_reliable(self, queue, estimate_ms):
        """Return whether single runs are usually close to the expected run time."""
        stats = self._queues.get(queue)
        if stats is None:
            return False
        errors = [stats.mean_error]
        if estimate_ms:
            errors.append(stats.estimate_error)
        return min(errors) < RELIABLE_ERROR

    def expected_ms(self, queue, estimate_ms):
        """Return the expected run time of a task, in ms."""
        stats = self._queues.get(queue)
        if stats is None:
            return float(estimate_ms or DEFAULT_MS)
        if estimate_ms and stats.estimate_error < stats.mean_error:
            return float(estimate_ms)
        return stats.mean_ms
