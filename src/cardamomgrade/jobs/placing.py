"""Chooses executors for the tasks of one step; reads no clock and does no I/O.

Load pattern: bursts of wide steps on a pool that lasting tasks share, and quiet times
in between. Tasks go to executors that run something already, of these to the one with
the most free processors: VMs on which nothing runs can then be switched off or go to
another pool. A rack that holds the step's data goes first.
"""


class Bound:
    """Tasks of one step of one occurrence on each executor, under its bound.

    Where ``executors`` are enough, no executor holds more tasks than the step's
    budget lets this system take away at once, so that its VM can have its upkeep.
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
                if task.executor and task.phase.name in ("PLACED", "DONE"):
                    self.add(task.executor)

    def add(self, name):
        """Count one more task on an executor."""
        self._counts[name] = self._counts.get(name, 0) + 1

    def allows(self, name):
        """Return whether one more task may run on an executor."""
        return not self._limit or self._counts.get(name, 0) < self._limit


def choose(executors, step, bound, avoid=(), rack=""):
    """Return the executor for one more task of a step, or None when none fits.

    Executors in ``avoid`` come last; ``rack`` or else the data's rack comes first.
    """
    best, best_rank = None, None
    wanted = rack or step.rack
    for executor in executors:
        if not executor.fits(step) or not bound.allows(executor.name):
            continue
        if step.label and step.label not in executor.entry.labels:
            continue
        rank = (
            executor.name in avoid,
            bool(wanted) and executor.entry.rack != wanted,
            not executor.holdings,
            -executor.free_share,
        )
        if best is None or rank < best_rank:
            best, best_rank = executor, rank
    return best


def choose_gang(executors, step, bound):
    """Return one executor a task for a whole gang, or None when it does not fit.

    Tries each rack alone for a step that wants one, the step's own rack first.
    """
    racks = [""]
    if step.rack_local or step.rack:
        names = sorted({item.entry.rack for item in executors})
        racks = [step.rack, *names, ""] if step.rack else [*names, ""]
    for rack in racks:
        members = [item for item in executors if not rack or item.entry.rack == rack]
        chosen = _fill(members, step, bound)
        if chosen is not None:
            return chosen
    return None


def _fill(executors, step, bound):
    rooms = {item.name: _copies(item, step) for item in executors}
    if step.label:
        rooms = {
            item.name: rooms[item.name]
            for item in executors
            if step.label in item.entry.labels
        }
    limit = step.per_executor or step.tasks
    by_name = {item.name: item for item in executors}
    chosen = []
    for name, room in sorted(rooms.items(), key=lambda pair: -pair[1]):
        for _ in range(min(room, limit)):
            if len(chosen) < step.tasks and bound.allows(name):
                chosen.append(by_name[name])
                bound.add(name)
    return chosen if len(chosen) == step.tasks else None


def _copies(executor, step):
    entry = executor.entry
    rooms = [step.tasks]
    for used, size, need in (
        (executor.cores_m, entry.cores_m, step.counted_cores_m),
        (executor.memory_mb, entry.memory_mb, step.memory_mb),
        (executor.accelerators, entry.accelerators, step.accelerators),
    ):
        if need:
            rooms.append(max(0, size - used) // need)
    return min(rooms)
