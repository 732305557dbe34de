"""Allocations of live attempts on the workers of all pools, and quotas of teams."""

import attrs

from .estimate import Size
from .room import Allocation, PoolCapacity, WorkerCapacity


@attrs.frozen
class Quota:
    """Limit on what the tasks of a team may use at once over all pools."""

    team: str
    cores: float
    accelerators: int


def reserved_size(task):
    """Return the Size that a live task's placement reserved."""
    return Size(task.cores, task.memory_mb, task.spec.accelerators)


class Allocations:
    """Capacities by worker and by pool, and the total use of each team.

    Allocations on a worker that is no longer listed are kept until their attempts
    end, and apply again when the worker is listed again.
    """

    def __init__(self):
        self.pools = {}
        self.capacities = {}
        self.quotas = {}
        self._orphans = {}
        self._team_usage = {}

    def pool(self, name):
        """Return the PoolCapacity of a pool, created on first use."""
        pool = self.pools.get(name)
        if pool is None:
            pool = self.pools[name] = PoolCapacity()
        return pool

    def pool_of(self, capacity):
        """Return the PoolCapacity that a WorkerCapacity belongs to."""
        return self.pools[capacity.worker.pool]

    def is_listed(self, capacity):
        """Return whether a WorkerCapacity is that of a currently listed worker."""
        return self.capacities.get(capacity.worker.name) is capacity

    def set_workers(self, workers):
        """Replace the list of Workers; return the new WorkerCapacities."""
        listed = {worker.name: worker for worker in workers}
        for name, capacity in list(self.capacities.items()):
            if listed.get(name) != capacity.worker:
                self._remove(name)
        return [
            self._add(worker)
            for name, worker in listed.items()
            if name not in self.capacities
        ]

    def _add(self, worker):
        capacity = WorkerCapacity(worker)
        for allocation in self._orphans.pop(worker.name, {}).values():
            capacity.add(allocation)
        self.capacities[worker.name] = capacity
        self.pool(worker.pool).add(capacity)
        return capacity

    def _remove(self, name):
        capacity = self.capacities.pop(name)
        self.pool_of(capacity).remove(name)
        if capacity.allocations:
            self._orphans[name] = dict(capacity.allocations)

    def find(self, task):
        """Return (WorkerCapacity, Allocation) of a live task; each may be None."""
        capacity = self.capacities.get(task.worker)
        allocation = (
            capacity.allocations.get(task.spec.task) if capacity is not None else None
        )
        return capacity, allocation

    def allocate(self, task, time_ms):
        """Allocate what the placement of a task reserved, at the log time."""
        spec, size = task.spec, reserved_size(task)
        allocation = Allocation(
            spec.task, spec.team, spec.urgent, task.attempt, size, time_ms
        )
        self.count_usage(spec.team, size, 1)
        capacity = self.capacities.get(task.worker)
        if capacity is None:
            self._orphans.setdefault(task.worker, {})[spec.task] = allocation
        else:
            self.pool_of(capacity).allocate(capacity, allocation)

    def free(self, task):
        """Free the allocation of a live task.

        Return its WorkerCapacity, or None when the worker is not listed.
        """
        name = task.spec.task
        self.count_usage(task.spec.team, reserved_size(task), -1)
        capacity = self.capacities.get(task.worker)
        if capacity is not None:
            self.pool_of(capacity).free(capacity, name)
            return capacity
        orphans = self._orphans.get(task.worker, {})
        orphans.pop(name, None)
        if not orphans:
            self._orphans.pop(task.worker, None)
        return None

    def resize(self, capacity, allocation, size):
        """Set the Size of an Allocation."""
        capacity.resize(allocation, size)
        self.pool_of(capacity).update(capacity)

    def count_usage(self, team, size, sign):
        """Add a Size to the use of a team (``sign`` 1) or subtract it (-1)."""
        cores, accelerators = self._team_usage.get(team, (0.0, 0))
        cores += sign * size.cores
        accelerators += sign * size.accelerators
        self._team_usage[team] = (cores, accelerators)

    def is_over_quota(self, team, size):
        """Return whether one more Size would exceed the team's quota."""
        quota = self.quotas.get(team)
        if quota is None:
            return False
        cores, accelerators = self._team_usage.get(team, (0.0, 0))
        return (
            cores + size.cores > quota.cores
            or accelerators + size.accelerators > quota.accelerators
        )
