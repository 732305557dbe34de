"""Runs on executors that are not registered, for example runs of an earlier scheduler.

Pure state, performs no I/O.
"""

import attrs


@attrs.frozen
class OrphanedRun:
    """A run of a task, its Step, and the customer whose limit it counts towards."""

    run: int
    step: object
    customer: str


class OrphanedRuns:
    """Runs by the name of their unregistered executor, counted in a CustomerUsage."""

    def __init__(self, usage):
        self._usage = usage
        self._runs = {}

    def add(self, executor, task, orphan):
        """Add the OrphanedRun of a task on an unregistered executor."""
        self._runs.setdefault(executor, {})[task] = orphan
        self._usage.charge(executor, task, orphan.run, orphan.customer, orphan.step)

    def adopt(self, executor):
        """Allocate the runs on an Executor that has registered."""
        for task, orphan in self._runs.pop(executor.name, {}).items():
            executor.allocate(task, orphan.run, orphan.step, orphan.customer)

    def release(self, executor, task, run):
        """Remove a run that is over; return whether it was there."""
        runs = self._runs.get(executor, {})
        if task not in runs or runs[task].run != run:
            return False
        del runs[task]
        if not runs:
            del self._runs[executor]
        self._usage.release(executor, task, run)
        return True

    def runs_on(self, executor):
        """Return a dict of task to run number on an unregistered executor."""
        return {task: item.run for task, item in self._runs.get(executor, {}).items()}

    def executors(self):
        """Return the names of the unregistered executors with runs."""
        return list(self._runs)
