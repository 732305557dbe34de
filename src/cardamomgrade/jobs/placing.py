"""Selects executors for the tasks of one step; reads no clock and performs no I/O.

Load pattern: bursts of steps with many tasks, with quiet periods in between, on a pool
shared with lasting tasks. Executors that already run tasks are preferred, then the one
with the largest free fraction of its cores, so that idle VMs can be switched off or
moved to another pool. The rack that holds the step's data is preferred over both.
"""


class PlacementLimits:
    """Limits the tasks of one step and occurrence per executor.

    Only placed tasks count: those that are done, or whose lease has lapsed, do not run.

    With enough ``executors``, no executor gets more tasks than the step's availability
    budget allows to be unavailable at once, so that upkeep can take down its VM.
    """

    def __init__(self, step_state, executors=()):
        step = step_state.step
        self._limit = step.per_executor
        budget = max(1, step.may_miss)
        if step.may_miss >= 0 and len(executors) * budget >= step.tasks:
            self._limit = min(self._limit or budget, budget)
        self._counts = {}
        if self._limit:
            for task in step_state.tasks:
                if task.phase.name == "PLACED":
                    self.add(task.executor)

    def add(self, name):
        """Count one more task of the step on an executor."""
        self._counts[name] = self._counts.get(name, 0) + 1

    def allows(self, name):
        """Return whether an executor may run one more task of the step."""
        return not self._limit or self._counts.get(name, 0) < self._limit


def choose_executor(executors, step, limits, avoid=(), rack=""):
    """Return the best executor for one more task of a step, or None if none fits.

    Prefers executors on ``rack``, by default the rack of the step's data. Executors
    whose names are in ``avoid`` are used only if no other fits.
    """
    best, best_rank = None, None
    wanted = rack or step.rack
    for executor in executors:
        if not executor.fits(step) or not limits.allows(executor.name):
            continue
        if step.label and step.label not in executor.entry.labels:
            continue
        rank = (
            executor.name in avoid,
            bool(wanted) and executor.entry.rack != wanted,
            not executor.allocations,
            -executor.free_fraction,
        )
        if best is None or rank < best_rank:
            best, best_rank = executor, rank
    return best


def choose_gang_executors(executors, step, limits):
    """Return one executor per task of a gang, or None if the gang does not fit.

    For a step with ``rack_local`` or ``rack``, tries to fit the gang into each single
    rack, the step's own rack first, before using executors of several racks.
    """
    racks = [""]
    if step.rack_local or step.rack:
        names = sorted({item.entry.rack for item in executors})
        racks = [step.rack, *names, ""] if step.rack else [*names, ""]
    for rack in racks:
        members = [item for item in executors if not rack or item.entry.rack == rack]
        chosen = _fill_executors(members, step, limits)
        if chosen is not None:
            return chosen
    return None


def _fill_executors(executors, step, limits):
    capacities = {item.name: _task_capacity(item, step) for item in executors}
    if step.label:
        capacities = {
            item.name: capacities[item.name]
            for item in executors
            if step.label in item.entry.labels
        }
    max_tasks = step.per_executor or step.tasks
    by_name = {item.name: item for item in executors}
    chosen = []
    for name, capacity in sorted(capacities.items(), key=lambda pair: -pair[1]):
        for _ in range(min(capacity, max_tasks)):
            if len(chosen) < step.tasks and limits.allows(name):
                chosen.append(by_name[name])
                limits.add(name)
    return chosen if len(chosen) == step.tasks else None


def _task_capacity(executor, step):
    entry = executor.entry
    capacities = [step.tasks]
    for used, size, need in (
        (executor.cores_m, entry.cores_m, step.reserved_cores_m),
        (executor.memory_mb, entry.memory_mb, step.memory_mb),
        (executor.accelerators, entry.accelerators, step.accelerators),
    ):
        if need:
            capacities.append(max(0, size - used) // need)
    return min(capacities)
