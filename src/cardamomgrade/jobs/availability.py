"""Availability budgets: which lasting tasks may be stopped now.

Pure state, performs no I/O; times are in seconds.

Load pattern: maintenance waves stop lasting tasks while other executors fail. A task
counts as unavailable once this system is about to stop it, while an order may end its
executor, while it starts up, and when its executor has not reported it for
REPORT_TIMEOUT_S. A task to be stopped counts as ready all the same, since it may be by
the time the order arrives. After a change of scheduler, a task that is reported as
ready may have been ordered to stop by the previous one.
"""

from .records import Phase

READY_PERCENT = 100
REPORT_TIMEOUT_S = 2.0  # two lease renewals; an executor that misses them may be gone


class Availability:
    """Tracks which lasting tasks are ready, and those about to be stopped.

    ``step_state_of(name)`` returns the StepState of a task, or None. No task under an
    availability budget may be stopped before ``settled_at``, when the orders of the
    previous scheduler have taken effect. Readiness and stops belong to one run of a
    task: an executor may report the end of an earlier run late. ``ending`` are the
    executors that an order for their VM may end.
    """

    def __init__(self, step_state_of, settled_at=float("-inf")):
        self._step_state_of = step_state_of
        self._settled_at = settled_at
        self._ready = {}
        self._stopping = {}
        self.ending = set()

    def record_readiness(self, item, now):
        """Record the readiness in a RunningTask; return whether it is 100%."""
        if item.percent < READY_PERCENT:
            return False
        self._ready[item.task] = (item.run, now)
        return True

    def record_ended(self, runs):
        """Record that runs, pairs of task name and run number, ended."""
        for name, run in runs:
            if self._ready.get(name, (0, 0.0))[0] == run:
                del self._ready[name]
            if self._stopping.get(name) == run:
                del self._stopping[name]

    def allows(self, executor, now):
        """Return whether the budgets allow stopping all tasks on an executor."""
        for names, state in self._budgeted_steps(executor):
            if now < self._settled_at:
                return False
            away = self._count_unavailable(names, state, now)
            if away + len(names) > state.step.may_miss:
                return False
        return True

    def reserve(self, executor, now):
        """Add an executor to ``ending`` if the budgets allow it.

        Returns whether they do.
        """
        allowed = self.allows(executor, now)
        if allowed:
            self.ending.add(executor.name)
        return allowed

    def select_excess_tasks(self, executor, now):
        """Return tasks to stop on an executor that runs more than a budget allows.

        Returns at most one task per step, so that it can start elsewhere before the
        next one is stopped. The returned tasks count as unavailable from now on.
        """
        stopped = []
        if now < self._settled_at:
            return stopped
        for names, state in self._budgeted_steps(executor):
            first = names[0]
            run = executor.allocations[first].run
            budget = state.step.may_miss
            if len(names) <= budget or self._stopping.get(first) == run:
                continue
            if self._count_unavailable(names[:1], state, now) < budget:
                self._stopping[first] = run
                stopped.append(first)
        return stopped

    def may_send_stop(self, name, run, now):
        """Return whether a stop from ``select_excess_tasks`` is still allowed.

        The run counts as not to be stopped otherwise. Stops for other reasons are
        always allowed.
        """
        if self._stopping.get(name) != run:
            return True
        state = self._step_state_of(name)
        if state is not None:
            away = self._count_unavailable([name], state, now)
            if away >= state.step.may_miss:
                del self._stopping[name]
                return False
        return True

    def count_steps(self, executor, now):
        """Return the counts that decide whether tasks on an executor may be stopped.

        A row for each budgeted step: its name, its tasks on the executor, those of them
        reported as ready, its tasks elsewhere that are unavailable, and its budget.
        """
        return [
            (
                names[0].rpartition(".")[0],
                len(names),
                sum(
                    task.name in names and self._is_reported(task, now)
                    for task in state.tasks
                ),
                self._count_unavailable(names, state, now),
                state.step.may_miss,
            )
            for names, state in self._budgeted_steps(executor)
        ]

    def _budgeted_steps(self, executor):
        """Return (names, state) of budgeted steps with tasks on an executor."""
        by_step = {}
        for name in executor.allocations:
            by_step.setdefault(name.rpartition(".")[0], []).append(name)
        rows = [(names, self._step_state_of(names[0])) for names in by_step.values()]
        return [
            (names, state)
            for names, state in rows
            if state is not None and state.step.lasting and state.step.may_miss >= 0
        ]

    def _count_unavailable(self, names, state, now):
        """Return how many tasks of a step, excluding ``names``, are not ready."""
        return sum(
            task.name not in names and not self._is_ready(task, now)
            for task in state.tasks
        )

    def _is_ready(self, task, now):
        """Return whether the current run of a task is ready and not to be stopped."""
        return (
            self._is_reported(task, now)
            and task.executor not in self.ending
            and self._stopping.get(task.name) != task.run
        )

    def _is_reported(self, task, now):
        """Return whether the current run of a task was lately reported as ready."""
        run, ready_at = self._ready.get(task.name, (0, 0.0))
        return (
            task.phase is Phase.PLACED
            and run == task.run
            and now - ready_at < REPORT_TIMEOUT_S
        )
