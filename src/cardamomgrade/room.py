"""Index of the free capacity on the workers of a pool.

Workers that accept tasks are grouped into buckets by free accelerators and by the
binary logarithm of free memory and cores, so that a search examines a bounded number
of workers. Workers that are busy, set aside or reserved are in no bucket.
"""

import math
from collections import Counter, deque

import attrs

from .estimate import Size
from .placement_events import Obstacle, SkippedCount

EXAMINED_PER_BUCKET_MAX = 8
EXAMINED_MAX = 24
OVERDECLARATION_FACTOR = 4


@attrs.frozen
class Worker:
    """A worker as listed by the platform, with its total capacity."""

    name: str
    pool: str
    zone: str
    rack: str
    cores: float
    memory_mb: int
    accelerators: int

    @property
    def size(self):
        """The total capacity of the worker as a Size."""
        return Size(self.cores, self.memory_mb, self.accelerators)


@attrs.define
class Allocation:
    """Capacity allocated to a live attempt since the log time ``since_ms``."""

    task: str
    team: str
    urgent: bool
    attempt: int
    size: Size
    since_ms: int
    throttled: bool = False


class WorkerCapacity:
    """One worker with its allocations by task and its free capacity.

    ``blockers`` are the Obstacles for which it takes no further tasks.
    """

    __slots__ = (
        "worker",
        "allocations",
        "free_cores",
        "free_memory_mb",
        "free_accelerators",
        "blockers",
    )

    def __init__(self, worker):
        self.worker = worker
        self.allocations = {}
        self.free_cores = worker.cores
        self.free_memory_mb = worker.memory_mb
        self.free_accelerators = worker.accelerators
        self.blockers = set()

    def add(self, allocation):
        """Add an Allocation and subtract it from the free capacity."""
        self.allocations[allocation.task] = allocation
        self._adjust(allocation.size, -1)

    def drop(self, task):
        """Remove the Allocation of a task; return it, or None if there is none."""
        allocation = self.allocations.pop(task, None)
        if allocation is not None:
            self._adjust(allocation.size, 1)
        return allocation

    def resize(self, allocation, size):
        """Set the Size of an Allocation."""
        self._adjust(allocation.size, 1)
        allocation.size = size
        self._adjust(size, -1)

    def _adjust(self, size, sign):
        self.free_cores += sign * size.cores
        self.free_memory_mb += sign * size.memory_mb
        self.free_accelerators += sign * size.accelerators

    def obstacle(self, size):
        """Return the Obstacle to allocating a Size, or None when it fits."""
        if size.accelerators > self.free_accelerators:
            return Obstacle.ACCELERATORS
        if size.memory_mb > self.free_memory_mb:
            return Obstacle.MEMORY
        if size.cores > self.free_cores:
            return Obstacle.CORES
        return None


def _log2_level(value):
    return math.frexp(value)[1] if value > 0 else -64


def _bucket_key(capacity):
    return (
        capacity.free_accelerators,
        _log2_level(capacity.free_memory_mb),
        _log2_level(capacity.free_cores),
    )


@attrs.frozen
class SearchResult:
    """The worker found for a task, or None, and SkippedCounts of the others."""

    capacity: WorkerCapacity | None
    skipped: tuple = ()


class PoolCapacity:
    """The workers of one pool, by name and by bucket of free capacity."""

    def __init__(self):
        self.capacities = {}
        self.rotation = deque()
        self._buckets = {}
        self._keys = {}
        self._sorted_keys = None
        self._blocked_counts = Counter()
        self._worker_sizes = Counter()
        self._team_rack_counts = Counter()

    def add(self, capacity):
        """Add a worker with its allocations and blockers."""
        name = capacity.worker.name
        self.capacities[name] = capacity
        self.rotation.append(name)
        self._worker_sizes[capacity.worker.size] += 1
        for allocation in capacity.allocations.values():
            self._team_rack_counts[allocation.team, capacity.worker.rack] += 1
        for obstacle in capacity.blockers:
            self._blocked_counts[obstacle] += 1
        self.update(capacity)

    def remove(self, name):
        """Remove a worker by name and return its WorkerCapacity."""
        capacity = self.capacities.pop(name)
        self.rotation.remove(name)
        self._worker_sizes[capacity.worker.size] -= 1
        self._worker_sizes += Counter()
        for allocation in capacity.allocations.values():
            self._count_in_rack(allocation, capacity, -1)
        for obstacle in capacity.blockers:
            self._blocked_counts[obstacle] -= 1
        self._remove_from_bucket(name)
        return capacity

    def update(self, capacity):
        """Move a worker to the bucket of its free capacity, or out if blocked."""
        name = capacity.worker.name
        key = None if capacity.blockers else _bucket_key(capacity)
        if self._keys.get(name) == key:
            return
        self._remove_from_bucket(name)
        if key is None:
            return
        if key not in self._buckets:
            self._buckets[key] = {}
            self._sorted_keys = None
        self._buckets[key][name] = capacity
        self._keys[name] = key

    def _remove_from_bucket(self, name):
        key = self._keys.pop(name, None)
        if key is None:
            return
        del self._buckets[key][name]
        if not self._buckets[key]:
            del self._buckets[key]
            self._sorted_keys = None

    def block(self, capacity, obstacle):
        """Exclude a worker from searches until the obstacle is unblocked."""
        if obstacle not in capacity.blockers:
            self._blocked_counts[obstacle] += 1
        capacity.blockers.add(obstacle)
        self.update(capacity)

    def unblock(self, capacity, obstacle):
        """Remove one blocker of a worker; others may still exclude it."""
        if obstacle in capacity.blockers:
            capacity.blockers.remove(obstacle)
            self._blocked_counts[obstacle] -= 1
        self.update(capacity)

    def allocate(self, capacity, allocation):
        """Add an Allocation to a worker."""
        capacity.add(allocation)
        self._count_in_rack(allocation, capacity, 1)
        self.update(capacity)

    def free(self, capacity, task):
        """Remove a task's Allocation from a worker; return it, or None."""
        allocation = capacity.drop(task)
        if allocation is not None:
            self._count_in_rack(allocation, capacity, -1)
            self.update(capacity)
        return allocation

    def _count_in_rack(self, allocation, capacity, step):
        key = (allocation.team, capacity.worker.rack)
        self._team_rack_counts[key] += step
        if not self._team_rack_counts[key]:
            del self._team_rack_counts[key]

    def find(self, size, team, avoid=()):
        """Return the SearchResult for a Size, without the workers in ``avoid``.

        Among the workers examined it prefers fewest free accelerators, then fewest
        allocations of the team in the rack, then least free memory.
        """
        if self._sorted_keys is None:
            self._sorted_keys = sorted(self._buckets)
        skipped = Counter(self._blocked_counts)
        fitting, examined = [], 0
        wanted = (
            size.accelerators,
            _log2_level(size.memory_mb),
            _log2_level(size.cores),
        )
        for key in self._sorted_keys:
            bucket = self._buckets[key]
            obstacle = _bucket_obstacle(key, wanted)
            if obstacle is None and examined >= EXAMINED_MAX:
                obstacle = Obstacle.NOT_EXAMINED
            if obstacle is not None:
                skipped[obstacle] += len(bucket)
                continue
            examined += self._examine(bucket, size, avoid, fitting, skipped)
        best = min(
            fitting, key=lambda capacity: self._cost(capacity, team), default=None
        )
        return SearchResult(best, _skipped_counts(skipped))

    def _examine(self, bucket, size, avoid, fitting, skipped):
        count = 0
        for name, capacity in bucket.items():
            if count >= EXAMINED_PER_BUCKET_MAX:
                skipped[Obstacle.NOT_EXAMINED] += len(bucket) - count
                break
            count += 1
            obstacle = (
                Obstacle.FAILED_HERE if name in avoid else capacity.obstacle(size)
            )
            if obstacle is None:
                fitting.append(capacity)
            else:
                skipped[obstacle] += 1
        return count

    def _cost(self, capacity, team):
        spread = self._team_rack_counts.get((team, capacity.worker.rack), 0)
        return (capacity.free_accelerators, spread, capacity.free_memory_mb)

    def clamp(self, size):
        """Return a Size limited to the largest worker with enough accelerators."""
        sizes = [
            worker_size
            for worker_size in self._worker_sizes
            if worker_size.accelerators >= size.accelerators
        ]
        if not sizes:
            return size
        largest = max(
            sizes, key=lambda worker_size: (worker_size.memory_mb, worker_size.cores)
        )
        return Size(
            min(size.cores, largest.cores),
            min(size.memory_mb, largest.memory_mb),
            size.accelerators,
        )

    def could_ever_fit(self, size):
        """Return whether an empty worker may fit a declared Size.

        Cores and memory may be declared OVERDECLARATION_FACTOR times too large;
        accelerators are taken as declared.
        """
        smallest = Size(
            size.cores / OVERDECLARATION_FACTOR,
            size.memory_mb / OVERDECLARATION_FACTOR,
            size.accelerators,
        )
        return any(smallest.fits(worker_size) for worker_size in self._worker_sizes)


def _bucket_obstacle(key, wanted):
    if key[0] < wanted[0]:
        return Obstacle.ACCELERATORS
    if key[1] < wanted[1]:
        return Obstacle.MEMORY
    if key[2] < wanted[2]:
        return Obstacle.CORES
    return None


def _skipped_counts(counts):
    return tuple(
        SkippedCount(obstacle, count) for obstacle, count in counts.items() if count > 0
    )
