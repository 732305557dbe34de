"""Emulated executor as pure state: runs under a lease and a list of ended runs.

Times are in ms of the executor's clock.
"""

import attrs

DONE = "done"
FAILED = "failed"
STOPPED = "stopped"
LAPSED = "lapsed"
GONE = "gone"


@attrs.define
class EmulatedRun:
    """A run on an executor; ``end_ms`` is None for a run without a planned end."""

    task: str
    run: int
    end_ms: float | None
    outcome: str


@attrs.define
class EmulatedExecutor:
    """One incarnation of an executor.

    ``plan(task)`` returns a new run's (duration in ms or None, outcome), and
    ``trace(kind, executor, task, run)`` is called for every start and end. ``token``
    is the highest fencing token received. ``highest_ended_run`` maps a task to the
    highest number of a run that ended or was stopped. ``percent`` is the progress that
    is reported for every run. ``born`` is the start of this incarnation in Unix ms, or
    0 where executors tell none.
    """

    name: str
    plan: object
    trace: object
    token: int = 0
    deadline_ms: float = 0.0
    runs: dict = attrs.field(factory=dict)
    highest_ended_run: dict = attrs.field(factory=dict)
    ends: list = attrs.field(factory=list)
    next_end: int = 1
    percent: int = 100
    born: int = 0

    def end_due_runs(self, now_ms):
        """End the runs that are due, and all runs once the lease has lapsed."""
        for item in list(self.runs.values()):
            if item.end_ms is not None and item.end_ms <= min(now_ms, self.deadline_ms):
                self._end(item, item.outcome)
        if now_ms > self.deadline_ms:
            for item in list(self.runs.values()):
                self._end(item, LAPSED)

    def _end(self, item, outcome):
        del self.runs[item.task]
        self.highest_ended_run[item.task] = max(
            item.run, self.highest_ended_run.get(item.task, 0)
        )
        self.ends.append([self.next_end, item.task, item.run, outcome, ""])
        self.next_end += 1
        self.trace(outcome, self.name, item.task, item.run)

    def _is_fenced(self, token):
        if token < self.token:
            return True
        self.token = token
        return False

    def start(self, task, run, deadline_ms, token, now_ms):
        """Start a run; return "" or the reason for refusing it."""
        self.end_due_runs(now_ms)
        if self._is_fenced(token):
            return "fence"
        if deadline_ms <= now_ms:
            return "late"
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        current = self.runs.get(task)
        if current is not None and current.run == run:
            return ""
        if run <= self.highest_ended_run.get(task, 0) or current is not None:
            return "old"
        duration_ms, outcome = self.plan(task)
        end_ms = None if duration_ms is None else now_ms + duration_ms
        self.runs[task] = EmulatedRun(task, run, end_ms, outcome)
        self.trace("start", self.name, task, run)
        return ""

    def stop(self, task, run, token, now_ms):
        """Stop a run, also before its start arrives; return "" or why it is refused."""
        self.end_due_runs(now_ms)
        if self._is_fenced(token):
            return "fence"
        self.highest_ended_run[task] = max(run, self.highest_ended_run.get(task, 0))
        current = self.runs.get(task)
        if current is not None and current.run == run:
            self._end(current, STOPPED)
        return ""

    def renew(self, deadline_ms, stored_end, token, now_ms):
        """Renew the lease and drop ends up to number ``stored_end``.

        Returns "" or the reason for refusing the call.
        """
        self.end_due_runs(now_ms)
        if self._is_fenced(token):
            return "fence"
        if deadline_ms is not None:
            self.deadline_ms = max(self.deadline_ms, deadline_ms)
        self.ends = [item for item in self.ends if item[0] > stored_end]
        return ""

    def shut_down(self):
        """End all runs without listing their ends, as an order for the VM does."""
        for item in self.runs.values():
            self.trace(GONE, self.name, item.task, item.run)
        self.runs.clear()

    def rows(self):
        """Return a list per current run, in the order of the platform's fields."""
        return [
            [item.task, item.run, "", self.percent, 0] for item in self.runs.values()
        ]
