"""Estimates the resource use of tasks from usage reports of earlier tasks.

Declared sizes are inaccurate, but by a similar factor for all tasks of one team in one
pool. The ratio of peak to declared use of the team's last tasks in the pool, at a
quantile and with a margin, corrects the next declaration. Accelerators are allocated
whole, as declared. Usage reports arrive with a delay.
"""

from collections import OrderedDict

import attrs

HISTORY_TASKS_MAX = 32
HISTORIES_MAX = 4096
SAMPLES_MIN = 4
CORES_QUANTILE = 0.75
MEMORY_QUANTILE = 0.95
MARGIN = 1.15
RETRY_GROWTH = 1.5
CORES_MIN = 0.1
MEMORY_MIN_MB = 16


@attrs.frozen
class Usage:
    """Resource use of a task as reported by its worker, some seconds late."""

    task: str
    cores: float
    memory_mb: float
    time_ms: int


@attrs.frozen
class Size:
    """An amount of capacity: cores, MB of memory and whole accelerators."""

    cores: float
    memory_mb: float
    accelerators: int

    def fits(self, other):
        """Return whether this size is no larger than ``other`` in any resource."""
        return (
            self.cores <= other.cores
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )

    def at_least(self, other):
        """Return this size with at least the cores and memory of ``other``."""
        return Size(
            max(self.cores, other.cores),
            max(self.memory_mb, other.memory_mb),
            self.accelerators,
        )

    def at_most(self, other):
        """Return this size with at most the cores and memory of ``other``."""
        return Size(
            min(self.cores, other.cores),
            min(self.memory_mb, other.memory_mb),
            self.accelerators,
        )


def declared_size(spec):
    """Return the Size that a TaskSubmitted declares, raised to the minimum."""
    return Size(
        max(spec.cores, CORES_MIN),
        max(spec.memory_mb, MEMORY_MIN_MB),
        spec.accelerators,
    )


def _quantile(values, fraction):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


class _UsageHistory:
    """Ratios of peak to declared use of the last tasks of one team in one pool."""

    __slots__ = ("_peaks", "_ratios")

    def __init__(self):
        self._peaks = OrderedDict()
        self._ratios = None

    def add(self, task, cores, memory):
        old = self._peaks.get(task)
        if old is not None and old[0] >= cores and old[1] >= memory:
            return
        if old is not None:
            cores, memory = max(old[0], cores), max(old[1], memory)
        self._peaks[task] = (cores, memory)
        self._ratios = None
        if len(self._peaks) > HISTORY_TASKS_MAX:
            self._peaks.popitem(last=False)

    def ratios(self):
        """Return the (cores, memory) ratios, or None with too few samples."""
        if len(self._peaks) < SAMPLES_MIN:
            return None
        if self._ratios is None:
            cores, memory = zip(*self._peaks.values(), strict=True)
            self._ratios = (
                _quantile(cores, CORES_QUANTILE),
                _quantile(memory, MEMORY_QUANTILE),
            )
        return self._ratios


class Estimator:
    """Estimates task sizes per team and pool, for at most HISTORIES_MAX of them."""

    def __init__(self, margin=MARGIN):
        self._margin = margin
        self._histories = OrderedDict()

    def report(self, spec, usage):
        """Record a Usage of the task with the TaskSubmitted ``spec``."""
        key = (spec.team, spec.pool)
        history = self._histories.get(key)
        if history is None:
            history = self._histories[key] = _UsageHistory()
            if len(self._histories) > HISTORIES_MAX:
                self._histories.popitem(last=False)
        declared = declared_size(spec)
        history.add(
            spec.task,
            usage.cores / declared.cores,
            usage.memory_mb / declared.memory_mb,
        )

    def estimate(self, spec, failures=0):
        """Return the Size to allocate to a task; memory grows with its failures."""
        declared = declared_size(spec)
        history = self._histories.get((spec.team, spec.pool))
        ratios = history.ratios() if history is not None else None
        growth = RETRY_GROWTH**failures
        if ratios is None:
            return Size(
                declared.cores, declared.memory_mb * growth, declared.accelerators
            )
        cores, memory = ratios
        return Size(
            max(declared.cores * cores * self._margin, CORES_MIN),
            max(declared.memory_mb * memory * self._margin * growth, MEMORY_MIN_MB),
            declared.accelerators,
        )

    def needed_size(self, usage, size):
        """Return the Size needed by a running task: its Usage plus the margin."""
        return Size(
            max(usage.cores * self._margin, CORES_MIN),
            max(usage.memory_mb * self._margin, MEMORY_MIN_MB),
            size.accelerators,
        )
