"""Executors that were silent when runs were lost with them, by the runs' tasks.

Pure state. Whether such an executor crashed is known when it answers again, or when its
incarnation is known to be over.
"""

LISTS_TO_END = (
    2  # the platform's pages are no snapshot; one list may miss a VM that moves
)


class SuspectExecutors:
    """The names of tasks with a Suspicion, by executor."""

    def __init__(self):
        self._tasks = {}
        self._lists_without = {}

    def __contains__(self, executor):
        return executor in self._tasks

    def names(self):
        """Return the names of the executors."""
        return list(self._tasks)

    def add(self, executor, task_name):
        """Note that a task has a Suspicion against an executor."""
        self._tasks.setdefault(executor, set()).add(task_name)

    def tasks(self, executor):
        """Return the names of the tasks with a Suspicion against an executor."""
        return sorted(self._tasks.get(executor, ()))

    def discard(self, executor):
        """Forget an executor about which all is known."""
        self._tasks.pop(executor, None)
        self._lists_without.pop(executor, None)

    def find_ended(self, up):
        """Return the executors that are over, as the VM list shows them no longer.

        ``up`` are the executors that the newest list shows on a VM that is up.
        """
        self._lists_without = {
            name: self._lists_without.get(name, 0) + 1
            for name in self._tasks
            if name not in up
        }
        return [x for x, count in self._lists_without.items() if count >= LISTS_TO_END]
