"""An executor as pure state: runs under a lease, ends in a list; times in ms."""

import attrs

DONE = "done"
FAILED = "failed"
STOPPED = "stopped"
LAPSED = "lapsed"


@attrs.define
class EmulatedRun:
    """A run on an executor; ``ends_ms`` is None for one that lasts."""

    task: str
    run: int
    ends_ms: float | None
    outcome: str


@attrs.define
class EmulatedExecutor:
    """One life of an executor; ``plan(task)`` gives (duration in ms or None, outcome).

    ``trace(kind, executor, task, run)`` is called for every start and end.
    """

    name: str
    plan: object
    trace: object
    token: int = 0
    deadline_ms: float = 0.0
    runs: dict = attrs.field(factory=dict)
    highest: dict = attrs.field(factory=dict)
    ends: list = attrs.field(factory=list)
    next_end: int = 1

    def settle(self, now_ms):
        """Let runs end that are due, and all of them when the lease has lapsed."""
        for item in list(self.runs.values()):
            if item.ends_ms is not None and item.ends_ms <= min(
                now_ms, self.deadline_ms
            ):
                self._end(item, item.outcome)
        if now_ms > self.deadline_ms:
            for item in list(self.runs.values()):
                self._end(item, LAPSED)

    def _end(self, item, outcome):
        del self.runs[item.task]
        self.highest[item.task] = max(item.run, self.highest.get(item.task, 0))
        self.ends.append([self.next_end, item.task, item.run, outcome, ""])
        self.next_end += 1
        self.trace(outcome, self.name, item.task, item.run)

    def _fenced(self, token):
        if token < self.token:
            return True
        self.token = token
        return False

    def start(self, task, run, deadline_ms, token, now_ms):
        """Start a run; return "" or the reason of the refusal."""
        self.settle(now_ms)
        if self._fenced(token):
            return "fence"
        if deadline_ms <= now_ms:
            return "late"
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        present = self.runs.get(task)
        if present is not None and present.run == run:
            return ""
        if run <= self.highest.get(task, 0) or present is not None:
            return "old"
        took_ms, outcome = self.plan(task)
        ends_ms = None if took_ms is None else now_ms + took_ms
        self.runs[task] = EmulatedRun(task, run, ends_ms, outcome)
        self.trace("start", self.name, task, run)
        return ""

    def stop(self, task, run, token, now_ms):
        """Stop a run, also one that has not arrived; return "" or the reason."""
        self.settle(now_ms)
        if self._fenced(token):
            return "fence"
        self.highest[task] = max(run, self.highest.get(task, 0))
        present = self.runs.get(task)
        if present is not None and present.run == run:
            self._end(present, STOPPED)
        return ""

    def hold(self, deadline_ms, seen, token, now_ms):
        """Renew the lease and forget ends up to ``seen``; return "" or the reason."""
        self.settle(now_ms)
        if self._fenced(token):
            return "fence"
        if deadline_ms is not None:
            self.deadline_ms = max(self.deadline_ms, deadline_ms)
        self.ends = [item for item in self.ends if item[0] > seen]
        return ""

    def rows(self):
        """Return the list of what runs."""
        return [[item.task, item.run, "", 100, 0] for item in self.runs.values()]
