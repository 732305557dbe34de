"""Which lasting tasks may be taken away now; pure state, times are seconds.

Load pattern: waves end tasks that last, while executors are lost beside them. A task
counts as away from the moment when this system is about to end it, while it comes up,
and when its executor has not reported it for a while. After a change of scheduler a
task that is reported as at work may have been ordered to stop by the last one.
"""

AT_WORK_PERCENT = 100
STALE_S = 2.0  # two renewals: an executor that is silent may be gone


class Availability:
    """Tasks at work by name; ``step_of(name)`` gives a task's Step, or None.

    Before ``settled_at`` no task with a budget is taken away.
    """

    def __init__(self, step_of, settled_at=float("-inf")):
        self._step_of = step_of
        self._settled_at = settled_at
        self._at_work = {}
        self._ending = set()

    def reported(self, name, percent, now):
        """Take in a report; return whether the task is at work."""
        if percent < AT_WORK_PERCENT:
            return False
        self._at_work[name] = now
        return True

    def ended(self, names):
        """Take note that runs of these tasks ended."""
        for name in names:
            self._at_work.pop(name, None)
            self._ending.discard(name)

    def kept(self, names):
        """Take note that these tasks are not ended after all."""
        self._ending.difference_update(names)

    def reserve(self, executor, now):
        """Count all that runs on an executor as away, if every budget allows it."""
        for names, step in self._budgeted(executor, now):
            if now < self._settled_at:
                return False
            if self._away(names, step, now) + len(names) > step.may_miss:
                return False
        self._ending.update(executor.holdings)
        return True

    def thin_out(self, executor, now):
        """Return tasks to stop, where an executor holds more than a budget allows.

        One task of a step at a time, so that it can come up elsewhere.
        """
        found = []
        if now < self._settled_at:
            return found
        for names, step in self._budgeted(executor, now):
            crowded = len(names) > step.may_miss and names[0] not in self._ending
            if crowded and self._away(names[:1], step, now) < step.may_miss:
                self._ending.add(names[0])
                found.append(names[0])
        return found

    def _budgeted(self, executor, now):
        """Return (names, step) of tasks at work there under an availability budget."""
        by_step = {}
        for name in executor.holdings:
            step = self._step_of(name)
            if step is not None and step.lasting and step.may_miss >= 0:
                by_step.setdefault(name.rpartition(".")[0], []).append(name)
        return [
            (names, self._step_of(names[0]))
            for names in by_step.values()
            if any(self._is_at_work(name, now) for name in names)
        ]

    def _away(self, names, step, now):
        """Return how many tasks of a step, but for ``names``, are not at work."""
        prefix = names[0].rpartition(".")[0]
        others = {f"{prefix}.{index}" for index in range(step.tasks)} - set(names)
        return sum(not self._is_at_work(name, now) for name in others)

    def _is_at_work(self, name, now):
        seen_at = self._at_work.get(name)
        if seen_at is None or name in self._ending:
            return False
        return now - seen_at < STALE_S
