"""Tells a worker that fails everything from a task that fails everywhere.

A worker is set aside when several distinct tasks in a row failed on it, for at most
a share of its pool's workers, and is tried again after a delay that doubles.
"""

import heapq

import attrs

STREAK_LIMIT_TASKS = 3
SUSPECT_TASKS = 2
ASIDE_SHARE = 0.1
ASIDE_MIN_MS = 60_000
ASIDE_MAX_MS = 3_600_000
FAILED_WORKERS = 3
FAILED_WORKERS_MAX = 6


@attrs.define
class _Record:
    pool: str
    delay_ms: int
    tasks: dict = attrs.field(factory=dict)
    aside: bool = False


class Health:
    """Failures in a row of each worker that has any.

    ``streak_limit`` distinct tasks in a row set a worker aside, for ``aside_min_ms``
    at first and ``aside_max_ms`` at most, and at most ``aside_share`` of a pool.
    """

    def __init__(
        self,
        streak_limit=STREAK_LIMIT_TASKS,
        aside_min_ms=ASIDE_MIN_MS,
        aside_max_ms=ASIDE_MAX_MS,
        aside_share=ASIDE_SHARE,
    ):
        self._streak_limit = streak_limit
        self._aside_min_ms = aside_min_ms
        self._aside_max_ms = aside_max_ms
        self._aside_share = aside_share
        self._records = {}
        self._aside = {}
        self._due = []

    def failed(self, worker, pool, task, pool_workers, now_ms):
        """Count a failed task; return when to try the worker again, or None.

        A time in ms means that the worker is set aside from now on.
        """
        record = self._records.setdefault(worker, _Record(pool, self._aside_min_ms))
        record.tasks[task] = True
        if record.aside or len(record.tasks) < self._streak_limit:
            return None
        if self._aside.get(pool, 0) >= max(1, int(pool_workers * self._aside_share)):
            return None
        record.aside = True
        self._aside[pool] = self._aside.get(pool, 0) + 1
        until_ms = now_ms + record.delay_ms
        record.delay_ms = min(record.delay_ms * 2, self._aside_max_ms)
        heapq.heappush(self._due, (until_ms, worker))
        return until_ms

    def succeeded(self, worker):
        """Forget the failures of a worker on which a task was done."""
        record = self._records.get(worker)
        if record is not None and not record.aside:
            del self._records[worker]

    def absolve(self, worker, task):
        """Forget a failure that turned out to be the task's own."""
        record = self._records.get(worker)
        if record is not None:
            record.tasks.pop(task, None)

    def streak(self, worker):
        """Return how many distinct tasks failed in a row on a worker."""
        record = self._records.get(worker)
        return len(record.tasks) if record is not None else 0

    def is_aside(self, worker):
        """Return whether a worker is set aside."""
        record = self._records.get(worker)
        return record is not None and record.aside

    def due(self, now_ms):
        """Return the workers to try again, each once; one failure sends it back."""
        workers = []
        while self._due and self._due[0][0] <= now_ms:
            worker = heapq.heappop(self._due)[1]
            record = self._records[worker]
            record.aside = False
            self._aside[record.pool] -= 1
            kept = list(record.tasks)[: self._streak_limit - 1]
            record.tasks = dict.fromkeys(kept, True)
            workers.append(worker)
        return workers

    def is_task_at_fault(self, failed_on, pool_workers):
        """Return whether a task failed on enough workers that run other tasks."""
        sound = [name for name in failed_on if self.streak(name) < SUSPECT_TASKS]
        wanted = min(FAILED_WORKERS, max(1, pool_workers))
        return len(sound) >= wanted or len(failed_on) >= FAILED_WORKERS_MAX
