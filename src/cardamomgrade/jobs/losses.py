"""Counts the executors that are lost under a task, and decides when it is given up.

Load pattern: a few tasks crash each executor that starts them, beside ten runs of other
jobs. All of them start again together, often beside the same task, so that executors
are lost under sound tasks as well. A loss beside other runs is therefore counted only
up to SHARED_LOSSES_MAX. From there on a task runs alone (see ``isolation``), and only
the losses of such runs make it given up.
"""

import attrs

SHARED_LOSSES_MAX = 2
CRASHES_MAX = 3  # if the last executor is known to have crashed
LOSSES_MAX = 5  # otherwise: silent executors may only be cut off
SETTLED_MS = 10_000  # a lasting task that ran for so long did not crash its executor


@attrs.frozen
class Loss:
    """The loss of a run with its executor.

    ``crashed`` means that another incarnation has taken the executor's place, ``alone``
    that no other run there could be the cause. A ``settled`` run is not the cause.
    """

    crashed: bool
    alone: bool
    settled: bool


def charge(task, loss):
    """Count a Loss of the current run of a TaskState."""
    if loss.settled:
        task.losses = task.charged_run = 0
        return
    if task.losses < (LOSSES_MAX if loss.alone else SHARED_LOSSES_MAX):
        task.losses += 1
        task.charged_run = task.run


def discharge(task, run):
    """Take back the loss of a run whose executor answers; return whether it counted."""
    if not run or task.charged_run != run:
        return False
    task.losses -= 1
    task.charged_run = 0
    return True


def is_given_up(task, loss):
    """Return whether a TaskState is to start no more after a Loss."""
    limit = CRASHES_MAX if loss.crashed else LOSSES_MAX
    return loss.alone and not loss.settled and task.losses >= limit


def runs_alone(task, step):
    """Return whether a TaskState must run on an executor without other finite runs.

    Members of a gang need not, since each of their losses counts.
    """
    return task.losses >= SHARED_LOSSES_MAX and not step.gang
