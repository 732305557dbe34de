"""Availability budgets: which lasting tasks may be stopped now.

Pure state, performs no I/O; times are in seconds.

Load pattern: maintenance waves stop lasting tasks while other executors fail. A task
counts as unavailable once this system is about to stop it, while it starts up, and when
its executor has not reported it for REPORT_TIMEOUT_S. A task to be stopped counts as
ready all the same, since it may be by the time the order arrives. After a change of
scheduler, a task that is reported as ready may have been ordered to stop by the
previous one.
"""

READY_PERCENT = 100
REPORT_TIMEOUT_S = 2.0  # two lease renewals; an executor that misses them may be gone


class Availability:
    """Tracks which lasting tasks are ready, and those about to be stopped.

    ``step_of(name)`` returns the Step of a task, or None. No task under an availability
    budget may be stopped before ``settled_at``, when the orders of the previous
    scheduler have taken effect.
    """

    def __init__(self, step_of, settled_at=float("-inf")):
        self._step_of = step_of
        self._settled_at = settled_at
        self._ready_at = {}
        self._stopping = set()

    def record_readiness(self, name, percent, now):
        """Record the readiness that an executor reported; return whether it is 100%."""
        if percent < READY_PERCENT:
            return False
        self._ready_at[name] = now
        return True

    def record_ended(self, names):
        """Record that the runs of tasks ended."""
        for name in names:
            self._ready_at.pop(name, None)
            self._stopping.discard(name)

    def cancel_reservation(self, names):
        """Undo ``reserve`` for tasks that were not stopped."""
        self._stopping.difference_update(names)

    def reserve(self, executor, now):
        """Count all tasks on an executor as unavailable if every budget allows it.

        Returns whether it did.
        """
        for names, step in self._budgeted_steps(executor):
            if now < self._settled_at:
                return False
            if self._count_unavailable(names, step, now) + len(names) > step.may_miss:
                return False
        self._stopping.update(executor.allocations)
        return True

    def select_excess_tasks(self, executor, now):
        """Return tasks to stop on an executor that runs more than a budget allows.

        Returns at most one task per step, so that it can start elsewhere before the
        next one is stopped. The returned tasks count as unavailable from now on.
        """
        stopped = []
        if now < self._settled_at:
            return stopped
        for names, step in self._budgeted_steps(executor):
            crowded = len(names) > step.may_miss and names[0] not in self._stopping
            if (
                crowded
                and self._count_unavailable(names[:1], step, now) < step.may_miss
            ):
                self._stopping.add(names[0])
                stopped.append(names[0])
        return stopped

    def count_steps(self, executor, now):
        """Return the counts that decide whether tasks on an executor may be stopped.

        A row for each budgeted step: its name, its tasks on the executor, those of them
        known to be ready, its tasks elsewhere that are not, and its budget.
        """
        return [
            (
                names[0].rpartition(".")[0],
                len(names),
                sum(self._is_ready(name, now) for name in names),
                self._count_unavailable(names, step, now),
                step.may_miss,
            )
            for names, step in self._budgeted_steps(executor)
        ]

    def _budgeted_steps(self, executor):
        """Return (names, step) of budgeted steps with tasks on an executor."""
        by_step = {}
        for name in executor.allocations:
            step = self._step_of(name)
            if step is not None and step.lasting and step.may_miss >= 0:
                by_step.setdefault(name.rpartition(".")[0], []).append(name)
        return [(names, self._step_of(names[0])) for names in by_step.values()]

    def _count_unavailable(self, names, step, now):
        """Return how many tasks of a step, excluding ``names``, are not ready."""
        prefix = names[0].rpartition(".")[0]
        others = {f"{prefix}.{index}" for index in range(step.tasks)} - set(names)
        return sum(not self._is_ready(name, now) for name in others)

    def _is_ready(self, name, now):
        ready_at = self._ready_at.get(name)
        if ready_at is None or name in self._stopping:
            return False
        return now - ready_at < REPORT_TIMEOUT_S
