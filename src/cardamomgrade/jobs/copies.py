"""State of a task that has a copy: two runs of it may go on at the same time.

Pure functions on a TaskState. Its ``run``, ``executor`` and ``placed_ms`` are those of
the current run, the one with the highest number that goes on; ``others`` are the
ActiveRuns beside it, which stay allocated until their end is known. ``copy_run`` is the
number of its newest copy. Tasks of steps that allow no copies never have others.
"""

import attrs

from .records import Phase


@attrs.frozen
class ActiveRun:
    """A run that goes on beside the current one; ``placed_ms`` is monotonic."""

    run: int
    executor: str
    placed_ms: float


def allows_copies(step):
    """Return whether the tasks of a step may have copies."""
    return step.speculative and not step.gang and not step.lasting


def newest_run(task):
    """Return the highest number that a run of a task ever had."""
    return max(task.run, task.copy_run)


def active_runs(task):
    """Return (run, executor) pairs of the runs that may go on."""
    runs = [(item.run, item.executor) for item in task.others]
    if task.phase is Phase.PLACED:
        runs.append((task.run, task.executor))
    return runs


def _current(task):
    return ActiveRun(task.run, task.executor, task.placed_ms)


def _set_current(task, item):
    task.run, task.executor, task.placed_ms = item.run, item.executor, item.placed_ms


def place_copy(task, executor):
    """Make a new run on an executor the current one; return its number."""
    task.others = (*task.others, _current(task))
    task.run = task.copy_run = newest_run(task) + 1
    task.executor = executor
    task.copied = True
    return task.run


def select_ended(task, run, executor):
    """Make a run that has ended the current one, if it is one of the others.

    If the task is not placed, for example because it is done, the run is dropped.
    """
    for item in task.others:
        if (item.run, item.executor) == (run, executor):
            rest = tuple(other for other in task.others if other is not item)
            if task.phase is Phase.PLACED:
                rest = (*rest, _current(task))
                _set_current(task, item)
            task.others = rest


def resume_other(task):
    """Make another run the current one after its end; return whether one goes on."""
    if not task.others:
        return False
    newest = max(task.others, key=lambda item: item.run)
    task.others = tuple(item for item in task.others if item is not newest)
    _set_current(task, newest)
    return True


def adopt_run(task, run, executor):
    """Make a run that was given up, but is done after all, the current one."""
    task.copy_run = newest_run(task)
    if task.phase is Phase.PLACED:
        task.others = (*task.others, _current(task))
    _set_current(task, ActiveRun(run, executor, 0.0))


def stored_run(task):
    """Return the (run, phase, executor) to store, those of the newest run.

    If only an earlier run goes on, the task is stored as waiting, so that a new
    scheduler does not use the number of the newest run again.
    """
    if task.run == newest_run(task) or task.phase is Phase.DONE:
        return task.run, task.phase, task.executor
    phase = Phase.WAITING if task.phase is Phase.PLACED else task.phase
    return newest_run(task), phase, ""


def stored_others(task):
    """Return (run, executor) pairs of the active runs beside the one of ``stored_run``.

    They are stored too: a new scheduler that does not know of a run would give its room
    on the executor, and its part of the customer's limit, to another task.
    """
    stored, _, _ = stored_run(task)
    return [(run, executor) for run, executor in active_runs(task) if run != stored]


def restore_other(task):
    """Make the run that was restored last one beside the run that is restored next."""
    task.others = (*task.others, _current(task))
    task.copied = True
