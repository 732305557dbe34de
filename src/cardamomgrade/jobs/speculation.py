"""Speculative copies: which task gets a second run, when and where.

Load pattern: steps of about 8 tasks of which a few percent of the runs, or all runs on
an executor that is slow or hangs, take several times as long as their siblings. One
such run makes its whole job late. A run of a ``speculative`` step that has taken much
longer than the done tasks of its step is copied to another executor, into room that no
waiting task wants; the first run that is done counts.

Performs no I/O and reads no clock. Every CHECK_MS, the steps that allow copies and have
active runs are compared with the time at which a run of them can be overdue; only those
that are due are evaluated.
"""

import attrs

from .copies import active_runs, allows_copies
from .placing import may_run, PlacementLimits
from .records import Phase
from .urgency import Rank

COPY_FACTOR = 1.2  # of the mean run time of done siblings
UNPROVEN_FACTOR = 2.0  # of the learned run time, while no sibling is done
MARGIN_MS = 50.0  # times of starts and reports vary by this, also with short tasks
CHECK_MS = 100
RETRY_MS = 300.0  # until an overdue run that got no copy is evaluated again
COPIES_MAX = 32  # of a service in one check; wrong run times affect whole queues
REFRESH_MS = 1000.0  # expected run times are learned while a step runs
RESTOP_MS = 1000  # a stop is not sent while its executor is not registered


@attrs.frozen
class Overdue:
    """A task whose only run has taken ``age_ms`` although ``expected_ms`` is usual."""

    job: object
    state: object
    task: object
    age_ms: float
    expected_ms: float


@attrs.define
class _WatchedStep:
    """A step that allows copies.

    It is evaluated at ``next_ms``, or once ``runs_done`` is no longer that of its
    state. ``since_ms`` is when it was evaluated first, ``stop_ms`` when the runs of its
    done tasks are to be stopped again.
    """

    job: object
    state: object
    next_ms: float = float("-inf")
    runs_done: int = 0
    since_ms: float | None = None
    stop_ms: float = float("inf")


class Speculation:
    """The steps with active runs that allow copies."""

    def __init__(self):
        self._steps = {}
        self._checked_ms = float("-inf")

    def watch(self, job, task):
        """Watch the step of a TaskState that is placed, if it allows copies."""
        state = job.step_state(task.id)
        if allows_copies(state.step):
            key = (job.spec.job, state.occurrence, state.number)
            item = self._steps.setdefault(key, _WatchedStep(job, state))
            item.next_ms = float("-inf")

    def check(self, now_ms, expected_ms, stop):
        """Return the Overdue tasks that may get a copy, those most late first.

        ``expected_ms(spec, step)`` returns the learned run time of a task. Calls
        ``stop(task)`` for each done task that still has runs, every RESTOP_MS. Returns
        nothing if the last check is less than CHECK_MS ago.
        """
        if not self._steps or now_ms - self._checked_ms < CHECK_MS:
            return []
        self._checked_ms = now_ms
        overdue = []
        for key, item in list(self._steps.items()):
            if now_ms < item.next_ms and item.runs_done == item.state.runs_done:
                continue
            tasks = [task for task in item.state.tasks if active_runs(task)]
            if not tasks:
                del self._steps[key]
                continue
            _stop_again(item, tasks, now_ms, stop)
            overdue.extend(_evaluate(item, tasks, now_ms, expected_ms))
        return sorted(overdue, key=lambda late: -late.age_ms / late.expected_ms)


def _stop_again(item, tasks, now_ms, stop):
    done = [task for task in tasks if task.phase is Phase.DONE]
    if now_ms >= item.stop_ms:
        for task in done:
            stop(task)
        item.stop_ms = now_ms + RESTOP_MS
    item.stop_ms = min(item.stop_ms, now_ms + RESTOP_MS) if done else float("inf")


def _evaluate(item, tasks, now_ms, expected_ms):
    """Return the Overdue tasks of a _WatchedStep; set when it is evaluated next."""
    if item.since_ms is None:
        item.since_ms = now_ms
    item.runs_done = item.state.runs_done
    item.next_ms = min(now_ms + REFRESH_MS, item.stop_ms)
    if item.job.state.final:
        return []
    state = item.state
    usual_ms = max(1.0, state.mean_run_ms(expected_ms(item.job.spec, state.step)))
    factor = COPY_FACTOR if state.runs_done else UNPROVEN_FACTOR
    limit_ms = max(usual_ms * factor, usual_ms + MARGIN_MS)
    overdue = []
    for task in tasks:
        is_inherited = not task.placed_ms
        # A higher run of an earlier scheduler may be a copy already.
        had_copy = task.copied or (is_inherited and task.run > 1)
        # A copy of a task that crashes its executors would crash another one.
        if task.phase is not Phase.PLACED or had_copy or task.losses:
            continue
        placed_ms = item.since_ms if is_inherited else task.placed_ms
        item.next_ms = min(item.next_ms, placed_ms + limit_ms)
        if now_ms >= placed_ms + limit_ms:
            age_ms = now_ms - placed_ms
            overdue.append(Overdue(item.job, state, task, age_ms, usual_ms))
    if overdue:
        item.next_ms = now_ms + RETRY_MS
    return overdue


def choose_copies(overdue, ready, executors, known_executors):
    """Yield (Overdue, Executor) pairs: copies to place, each before the next is chosen.

    ``overdue`` are those of one service, ``ready`` its ReadyJobs and ``executors``
    those of its Executors that take new runs. ``known_executors`` maps all names to
    Executors. Yields at most COPIES_MAX.
    """
    left = COPIES_MAX
    usable = _unwanted(executors, ready)
    slow = {name for late in overdue for _, name in active_runs(late.task)}
    for late in overdue if usable else ():
        step = late.state.step
        limits = PlacementLimits(late.state)
        names = {name for _, name in active_runs(late.task)}
        racks = {
            known_executors[name].entry.rack
            for name in names
            if name in known_executors
        }

        def rank(executor, task=late.task, step=step, racks=racks):
            return (
                executor.name in task.failed_on,
                executor.slow or executor.name in slow,
                executor.entry.rack in racks,
                bool(step.rack) and executor.entry.rack != step.rack,
                not executor.allocations,
                -executor.free_fraction,
            )

        allowed = [
            item
            for item in usable
            if item.name not in names and may_run(item, step, limits)
        ]
        best = min(allowed, key=rank, default=None)
        if best is not None:
            yield late, best
            left -= 1
        if not left:
            break


def choose_no_copies(overdue, ready, executors, known_executors):
    """Return no pairs of an Overdue task and an executor."""
    return []


def _unwanted(executors, ready):
    """Return the executors that no waiting task could use, whatever runs there now.

    Tasks of jobs that are hopeless, or have no entitlement, want no room.
    """
    left, seen = list(executors), set()
    for item in ready:
        if not left or item.key[0] > Rank.LATE:
            break
        for state in item.steps:
            step = state.step
            need = (
                step.reserved_cores_m,
                step.memory_mb,
                step.accelerators,
                step.label,
            )
            if state.waiting and need not in seen:
                seen.add(need)
                left = [executor for executor in left if not _could_run(executor, step)]
    return left


def _could_run(executor, step):
    entry = executor.entry
    return (
        entry.cores_m >= step.reserved_cores_m
        and entry.memory_mb >= step.memory_mb
        and entry.accelerators >= step.accelerators
        and (not step.label or step.label in entry.labels)
    )
