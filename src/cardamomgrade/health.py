"""Distinguishes faulty workers, on which all tasks fail, from faulty tasks.

A worker is quarantined, which means that it gets no tasks, when several distinct tasks
in a row failed on it. Only a fraction of a pool's workers may be quarantined at once. A
worker is tried again after a delay, which doubles each time it is quarantined.
"""

import heapq

import attrs

STREAK_LIMIT_TASKS = 3
FAULTY_WORKER_TASKS_MIN = 2  # distinct failed tasks that make a worker suspect
QUARANTINE_POOL_FRACTION = 0.1
QUARANTINE_MIN_MS = 60_000
QUARANTINE_MAX_MS = 3_600_000
TASK_FAULT_HEALTHY_WORKERS = 3
TASK_FAULT_WORKERS_MAX = 6


@attrs.define
class _FailureStreak:
    pool: str
    delay_ms: int
    tasks: dict = attrs.field(factory=dict)
    quarantined: bool = False
    until_ms: float = 0.0


class Health:
    """Consecutive failures of each worker, and the workers that are quarantined.

    A worker is quarantined after ``streak_limit`` distinct tasks in a row failed on it,
    for ``quarantine_min_ms`` at first and ``quarantine_max_ms`` at most. At most the
    fraction ``quarantine_fraction`` of a pool, but at least one worker, is quarantined
    at once.
    """

    def __init__(
        self,
        streak_limit=STREAK_LIMIT_TASKS,
        quarantine_min_ms=QUARANTINE_MIN_MS,
        quarantine_max_ms=QUARANTINE_MAX_MS,
        quarantine_fraction=QUARANTINE_POOL_FRACTION,
    ):
        self._streak_limit = streak_limit
        self._quarantine_min_ms = quarantine_min_ms
        self._quarantine_max_ms = quarantine_max_ms
        self._quarantine_fraction = quarantine_fraction
        self._streaks = {}
        self._quarantined_counts = {}
        self._due = []

    def failed(self, worker, pool, task, pool_workers, now_ms, renew=False):
        """Count a failed task; return when to try its worker again in ms, or None.

        A returned time means that the worker is quarantined from now on. With
        ``renew``, a worker that is quarantined already stays so from now on for the
        next, longer delay.
        """
        streak = self._streaks.setdefault(
            worker, _FailureStreak(pool, self._quarantine_min_ms)
        )
        streak.tasks[task] = True
        if streak.quarantined:
            return self._set_end(worker, streak, now_ms) if renew else None
        if len(streak.tasks) < self._streak_limit:
            return None
        if self._quarantined_counts.get(pool, 0) >= max(
            1, int(pool_workers * self._quarantine_fraction)
        ):
            return None
        streak.quarantined = True
        self._quarantined_counts[pool] = self._quarantined_counts.get(pool, 0) + 1
        return self._set_end(worker, streak, now_ms)

    def _set_end(self, worker, streak, now_ms):
        streak.until_ms = now_ms + streak.delay_ms
        streak.delay_ms = min(streak.delay_ms * 2, self._quarantine_max_ms)
        heapq.heappush(self._due, (streak.until_ms, worker))
        return streak.until_ms

    def succeeded(self, worker):
        """Clear the failures of a worker that completed a task, unless quarantined."""
        streak = self._streaks.get(worker)
        if streak is not None and not streak.quarantined:
            del self._streaks[worker]

    def reopen(self, worker):
        """Clear the failures of a worker and end its quarantine, if it is in one."""
        streak = self._streaks.pop(worker, None)
        if streak is not None and streak.quarantined:
            self._quarantined_counts[streak.pool] -= 1

    def absolve(self, worker, task):
        """Remove a worker's failure that was caused by the task itself."""
        streak = self._streaks.get(worker)
        if streak is not None:
            streak.tasks.pop(task, None)

    def streak(self, worker):
        """Return the number of distinct tasks that failed in a row on a worker."""
        streak = self._streaks.get(worker)
        return len(streak.tasks) if streak is not None else 0

    def is_quarantined(self, worker):
        """Return whether a worker is quarantined."""
        streak = self._streaks.get(worker)
        return streak is not None and streak.quarantined

    def due(self, now_ms):
        """Return the workers to try again from now on, each once.

        One more failure of such a worker quarantines it again.
        """
        workers = []
        while self._due and self._due[0][0] <= now_ms:
            until_ms, worker = heapq.heappop(self._due)
            streak = self._streaks.get(worker)
            if streak is None or not streak.quarantined or streak.until_ms != until_ms:
                continue  # reopened or renewed since
            streak.quarantined = False
            self._quarantined_counts[streak.pool] -= 1
            kept = list(streak.tasks)[: self._streak_limit - 1]
            streak.tasks = dict.fromkeys(kept, True)
            workers.append(worker)
        return workers

    def is_task_at_fault(self, failed_on, pool_workers):
        """Return whether a task, not its workers, caused the failures.

        It did when it failed on TASK_FAULT_HEALTHY_WORKERS workers (or all of a smaller
        pool) with few other failures, or on TASK_FAULT_WORKERS_MAX workers of any kind.
        """
        healthy = [
            name for name in failed_on if self.streak(name) < FAULTY_WORKER_TASKS_MIN
        ]
        needed = min(TASK_FAULT_HEALTHY_WORKERS, max(1, pool_workers))
        return len(healthy) >= needed or len(failed_on) >= TASK_FAULT_WORKERS_MAX
