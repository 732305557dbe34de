"""Counts the executors that crash under a task, and decides when it is given up.

Load pattern: a few tasks crash each executor that starts them, beside ten runs of other
jobs. All of them start again together, often beside the same task, so that executors
are lost under sound tasks as well. A crash beside other runs is therefore counted only
up to SHARED_CRASHES_MAX. From there on a task runs alone (see ``isolation``), and only
the crashes under such runs make it given up.

An executor that is silent may be cut off. The loss of a run with it is a Suspicion, and
counts as a crash only once it is known that its incarnation is over.
"""

import attrs

SHARED_CRASHES_MAX = 2
CRASHES_MAX = 3
SUSPICIONS_MAX = 5  # of a task; two make it run alone
SETTLED_MS = 10_000  # a lasting task that ran for so long did not crash its executor


@attrs.frozen
class Loss:
    """The loss of a run with its executor.

    ``crashed`` means that the incarnation is known to be over, ``alone`` that no other
    run there could be the cause. A ``settled`` run is not the cause. ``born`` is that
    of the incarnation, 0 if it is not known.
    """

    crashed: bool
    alone: bool
    settled: bool
    born: int = 0


@attrs.frozen
class Suspicion:
    """A run that was lost with a silent executor; fields as in Loss."""

    run: int
    executor: str
    born: int
    alone: bool


def charge(task, loss):
    """Count a Loss of the current run of a TaskState, or remember it as a Suspicion."""
    if loss.settled:
        task.losses, task.suspicions = 0, ()
    elif loss.crashed:
        _count_crash(task, loss.alone)
    else:
        suspicion = Suspicion(task.run, task.executor, loss.born, loss.alone)
        task.suspicions = (*task.suspicions, suspicion)[-SUSPICIONS_MAX:]


def _count_crash(task, alone):
    if task.losses < (CRASHES_MAX if alone else SHARED_CRASHES_MAX):
        task.losses += 1


def acquit(task, executor, run=0):
    """Drop the Suspicions of a TaskState against an executor, or only that of a run."""
    task.suspicions = tuple(
        item
        for item in task.suspicions
        if item.executor != executor or run not in (0, item.run)
    )


def convict(task, executor, born=0):
    """Count the Suspicions of a TaskState against an executor whose life is over.

    With ``born``, that of a later incarnation, only those of earlier ones count.
    Returns how many counted.
    """
    over = [
        item
        for item in task.suspicions
        if item.executor == executor and (not born or 0 < item.born < born)
    ]
    task.suspicions = tuple(item for item in task.suspicions if item not in over)
    for item in over:
        _count_crash(task, item.alone)
    return len(over)


def is_given_up(task):
    """Return whether a TaskState is to start no more."""
    return task.losses >= CRASHES_MAX


def runs_alone(task, step):
    """Return whether a TaskState must run on an executor without other finite runs.

    Members of a gang need not, since each of their losses counts.
    """
    lost = task.losses + len(task.suspicions)
    return lost >= SHARED_CRASHES_MAX and not step.gang
