"""Selects executors for the tasks of one step; reads no clock and performs no I/O.

Load pattern: bursts of steps with many tasks, with quiet periods in between, on a pool
shared with lasting tasks. Executors that already run tasks are preferred, then the one
with the least room, so that VMs get idle and can be switched off or moved to another
pool. The rack that holds the step's data is preferred over both.
Executors that are ``slow`` are used where no other has room.
"""

from copy import copy
from heapq import heapify, heappop, heapreplace

from .copies import active_runs


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
                for _, name in active_runs(task):
                    self.add(name)

    def add(self, name):
        """Count one more task of the step on an executor."""
        self._counts[name] = self._counts.get(name, 0) + 1

    def copy(self):
        """Return a copy that counts for itself."""
        limits = copy(self)
        limits._counts = dict(self._counts)
        return limits

    def allows(self, name):
        """Return whether an executor may run one more task of the step."""
        return not self._limit or self._counts.get(name, 0) < self._limit


def may_run(executor, step, limits):
    """Return whether an executor may run one more task of a step and has the room."""
    return (
        executor.fits(step)
        and limits.allows(executor.name)
        and (not step.label or step.label in executor.entry.labels)
    )


def least_room_first(executor):
    """Return a sort key of executors: loads collect on few VMs, and others get idle."""
    return executor.free_fraction


def most_room_first(executor):
    """Return a sort key of executors: loads spread evenly over the busy VMs."""
    return -executor.free_fraction


def room_key_by_load(overloaded):
    """Return the sort key of executors for a pool.

    In an overload no VM gets idle, and packing would delay tasks of middle size.
    """
    return most_room_first if overloaded else least_room_first


def room_key_spread(overloaded):
    """Return the sort key of executors that never packs."""
    return most_room_first


class StepPlacer:
    """Chooses executors for the tasks of one step, one task after another.

    ``spread`` are the PlacementLimits that keep the step within its availability
    budget. They are exceeded only where the step could not start otherwise: two tasks
    of a step on one VM delay its upkeep, but waiting is worse. ``gate`` is the StepGate
    of the step where large tasks wait, which also puts the best fit first. ``room_key``
    orders executors that are equal otherwise.
    """

    def __init__(
        self, executors, step, limits, spread, gate=None, room_key=least_room_first
    ):
        self._step = step
        self._room_key = room_key
        self._gate = gate
        self._limits = limits
        self._spread = spread
        self._heap = [
            (self._rank(item), number, item)
            for number, item in enumerate(executors)
            if self._may_run(item)
        ]
        heapify(self._heap)

    def _may_run(self, executor):
        return may_run(executor, self._step, self._limits) and (
            self._gate is None or self._gate.allows(executor)
        )

    def _rank(self, executor, avoid=()):
        rack = self._step.rack
        return (
            not self._spread.allows(executor.name),
            executor.name in avoid,
            executor.slow,
            bool(rack) and executor.entry.rack != rack,
            not executor.allocations,
            self._room_key(executor)
            if self._gate is None
            else self._gate.slack(executor),
        )

    def choose(self, avoid=()):
        """Return the best executor for one more task, or None if none may run it.

        Executors whose names are in ``avoid`` are used only if no other may. The caller
        allocates the task on the executor before it calls this method again.
        """
        best = self._choose_avoiding(avoid) if avoid else self._choose_first()
        if best is not None:
            self._limits.add(best.name)
            self._spread.add(best.name)
            if self._gate is not None:
                self._gate.record_placed(best)
        return best

    def _choose_first(self):
        # Only this step changes executors meanwhile, so that ranks only get worse; with
        # a gate, that of the first executor may improve, and it stays the first.
        while self._heap:
            rank, number, executor = self._heap[0]
            if not self._may_run(executor):
                heappop(self._heap)
                continue
            current = self._rank(executor)
            if current <= rank:
                return executor
            heapreplace(self._heap, (current, number, executor))
        return None

    def _choose_avoiding(self, avoid):
        allowed = [item for _, _, item in self._heap if self._may_run(item)]
        return min(allowed, key=lambda item: self._rank(item, avoid), default=None)


def choose_gang_executors(executors, step, limits):
    """Return one executor per task of a gang, or None if the gang does not fit.

    For a step with ``rack_local`` or ``rack``, tries to fit the gang into each single
    rack, the step's own rack first, before using executors of several racks. Slow
    executors are used only if the gang does not fit on the others.
    """
    sound = [item for item in executors if not item.slow]
    if len(sound) < len(executors):
        # The slowest member of a gang determines when it ends.
        chosen = choose_gang_executors(sound, step, limits.copy())
        if chosen is not None:
            return chosen
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
