"""Selects tasks that try out quarantined executors; reads no clock, performs no I/O.

Load pattern: a few hopeless jobs among many that can be done. Their failures quarantine
healthy executors, at worst all that some step may use, and its tasks would wait for up
to 30 s while room is free. So a task that fits on no open executor starts on a
quarantined one as a probe, one at a time: if it is done, the executor is opened at
once, and if it fails, the quarantine is renewed. An executor that is faulty after all
costs one attempt of one task at a time, and a task avoids those that it failed on.

A lasting task proves nothing while it runs, so it does not keep others from probing. A
gang waits for room on all its executors at once, so it may use several quarantined
ones, but as few as possible.
"""

from .losses import runs_alone
from .placing import may_run, PlacementLimits
from .records import Phase

PROBE_REST_MS = 1000  # between a failure and the next probe, so that failures are rare


class Probes:
    """Runs begun on quarantined executors, and pauses between failures and probes.

    The methods take the executor's name, except where stated.
    """

    def __init__(self):
        self._runs = {}
        self._rest_until_ms = {}

    def begin(self, name, task_name, run):
        """Record a run that begins on a quarantined executor."""
        self._runs.setdefault(name, set()).add((task_name, run))

    def end(self, name, task_name, run):
        """Record the end of a run; return whether it was a probe."""
        runs = self._runs.get(name, set())
        was_probe = (task_name, run) in runs
        runs.discard((task_name, run))
        if was_probe and not runs:
            del self._runs[name]
        return was_probe

    def forget(self, name):
        """Forget the runs and the pause of an executor that has started again."""
        self._runs.pop(name, None)
        self._rest_until_ms.pop(name, None)

    def rest(self, name, now_ms):
        """Start no probe on an executor for PROBE_REST_MS, since a run failed there."""
        self._rest_until_ms[name] = now_ms + PROBE_REST_MS

    def rested(self, now_ms):
        """Return the executors whose rest is over, each once."""
        names = [
            name for name, until_ms in self._rest_until_ms.items() if until_ms <= now_ms
        ]
        for name in names:
            del self._rest_until_ms[name]
        return names

    def may_begin(self, executor):
        """Return whether an Executor that is quarantined may take a probe now."""
        return executor.name not in self._rest_until_ms and not any(
            allocation.run == run and not allocation.lasting
            for task_name, run in self._runs.get(executor.name, ())
            if (allocation := executor.allocations.get(task_name)) is not None
        )


class NoProbes(Probes):
    """Begins no probes, so that a quarantine lasts as long as it was set for."""

    def may_begin(self, executor):
        """Return False."""
        return False


def choose_probe(executor, waiting):
    """Return the (job, task) to try out an executor with, or None if none fits.

    ``waiting`` are pairs of JobProgress and StepState, the most urgent first. Prefers
    tasks that did not fail there, then those with more than one attempt left, then
    those of jobs with nothing running. Gangs are not considered.
    """
    best, best_rank = None, None
    for job, state in waiting:
        step = state.step
        if step.gang or not may_run(executor, step, PlacementLimits(state)):
            continue
        runs_elsewhere = bool(job.placed())
        for task in state.tasks:
            if task.phase is not Phase.WAITING or runs_alone(task, step):
                continue
            is_last_attempt = not step.lasting and task.failures + 1 >= job.max_attempts
            rank = (executor.name in task.failed_on, is_last_attempt, runs_elsewhere)
            if not any(rank):
                return job, task
            if best is None or rank < best_rank:
                best, best_rank = (job, task), rank
    return best
