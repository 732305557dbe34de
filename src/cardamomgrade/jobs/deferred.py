"""Jobs whose changed state is stored with their next record, or some time later.

Load pattern: most jobs change again within a second, and a record of each start that is
confirmed would cost as much as the one of the start itself. Pure state.
"""

DEFER_MS = 1000  # callers may be shown a count of pending jobs that is 2 s old


class DeferredStores:
    """When each job, by name, is to be stored at the latest."""

    def __init__(self):
        self._due_ms = {}

    def add(self, job):
        """Store a job DEFER_MS after the next call of ``due`` at the latest."""
        self._due_ms.setdefault(job, None)

    def discard(self, job):
        """Forget a job that is stored or gone."""
        self._due_ms.pop(job, None)

    def due(self, now_ms):
        """Return the names of the jobs to store now."""
        for job, due_ms in self._due_ms.items():
            if due_ms is None:
                self._due_ms[job] = now_ms + DEFER_MS
        return [job for job, due_ms in self._due_ms.items() if due_ms <= now_ms]
