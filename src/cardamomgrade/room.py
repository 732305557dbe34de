"""Room on the workers of a pool, indexed by what is free.

Workers that take tasks stand in buckets by free accelerators and by the binary
logarithm of free cores and memory, so that a search looks at a bounded number of
them. Workers that are busy, set aside or reserved stand in no bucket.
"""

import math
from collections import Counter, deque

import attrs

from .estimate import Size
from .orders import Obstacle, Passed

EXAMINED_PER_BUCKET = 8
EXAMINED_MAX = 24
DOUBT_FACTOR = 4


@attrs.frozen
class Worker:
    """A worker as the platform lists it."""

    name: str
    pool: str
    zone: str
    rack: str
    cores: float
    memory_mb: int
    accelerators: int

    @property
    def size(self):
        """The whole worker as a Size."""
        return Size(self.cores, self.memory_mb, self.accelerators)


@attrs.define
class Hold:
    """Room held by a live attempt since the log time ``since_ms``."""

    task: str
    team: str
    urgent: bool
    attempt: int
    size: Size
    since_ms: int
    throttled: bool = False


class Room:
    """One worker: its holds and what they leave free."""

    __slots__ = ("worker", "holds", "cores", "memory_mb", "accelerators", "closed")

    def __init__(self, worker):
        self.worker = worker
        self.holds = {}
        self.cores = worker.cores
        self.memory_mb = worker.memory_mb
        self.accelerators = worker.accelerators
        self.closed = set()

    def add(self, hold):
        """Take the room of a Hold."""
        self.holds[hold.task] = hold
        self._shift(hold.size, -1)

    def drop(self, task):
        """Give the room of a task back, once; return its Hold or None."""
        hold = self.holds.pop(task, None)
        if hold is not None:
            self._shift(hold.size, 1)
        return hold

    def resize(self, hold, size):
        """Change what a Hold takes."""
        self._shift(hold.size, 1)
        hold.size = size
        self._shift(size, -1)

    def _shift(self, size, sign):
        self.cores += sign * size.cores
        self.memory_mb += sign * size.memory_mb
        self.accelerators += sign * size.accelerators

    def obstacle(self, size):
        """Return the Obstacle to a Size, or None when it fits."""
        if size.accelerators > self.accelerators:
            return Obstacle.ACCELERATORS
        if size.memory_mb > self.memory_mb:
            return Obstacle.MEMORY
        if size.cores > self.cores:
            return Obstacle.CORES
        return None


def _level(value):
    return math.frexp(value)[1] if value > 0 else -64


def _key(room):
    return (room.accelerators, _level(room.memory_mb), _level(room.cores))


@attrs.frozen
class Search:
    """The room found for a task, or None, and the workers passed over."""

    room: Room | None
    passed: tuple = ()


class PoolRoom:
    """The workers of one pool."""

    def __init__(self):
        self.rooms = {}
        self.turns = deque()
        self._buckets = {}
        self._keys = {}
        self._sorted = None
        self._closed = Counter()
        self._shapes = Counter()
        self._racks = Counter()

    def add(self, room):
        """Take a worker in."""
        name = room.worker.name
        self.rooms[name] = room
        self.turns.append(name)
        self._shapes[room.worker.size] += 1
        for hold in room.holds.values():
            self._racks[hold.team, room.worker.rack] += 1
        for obstacle in room.closed:
            self._closed[obstacle] += 1
        self.update(room)

    def remove(self, name):
        """Let a worker go and return its Room."""
        room = self.rooms.pop(name)
        self.turns.remove(name)
        self._shapes[room.worker.size] -= 1
        self._shapes += Counter()
        for hold in room.holds.values():
            self._count_rack(hold, room, -1)
        for obstacle in room.closed:
            self._closed[obstacle] -= 1
        self._unlist(name)
        return room

    def update(self, room):
        """Put a worker into the bucket of what it has free now."""
        name = room.worker.name
        key = None if room.closed else _key(room)
        if self._keys.get(name) == key:
            return
        self._unlist(name)
        if key is None:
            return
        if key not in self._buckets:
            self._buckets[key] = {}
            self._sorted = None
        self._buckets[key][name] = room
        self._keys[name] = key

    def _unlist(self, name):
        key = self._keys.pop(name, None)
        if key is None:
            return
        del self._buckets[key][name]
        if not self._buckets[key]:
            del self._buckets[key]
            self._sorted = None

    def close(self, room, obstacle):
        """Offer a worker for no more tasks while it has the obstacle."""
        if obstacle not in room.closed:
            self._closed[obstacle] += 1
        room.closed.add(obstacle)
        self.update(room)

    def open(self, room, obstacle):
        """Lift one reason for which a worker was closed."""
        if obstacle in room.closed:
            room.closed.remove(obstacle)
            self._closed[obstacle] -= 1
        self.update(room)

    def hold(self, room, hold):
        """Add a Hold to a worker."""
        room.add(hold)
        self._count_rack(hold, room, 1)
        self.update(room)

    def free(self, room, task):
        """Drop a task's Hold from a worker, and return it or None."""
        hold = room.drop(task)
        if hold is not None:
            self._count_rack(hold, room, -1)
            self.update(room)
        return hold

    def _count_rack(self, hold, room, step):
        key = (hold.team, room.worker.rack)
        self._racks[key] += step
        if not self._racks[key]:
            del self._racks[key]

    def find(self, size, team, avoid=()):
        """Return the Search for a Size: few of the team in a rack, then least room."""
        if self._sorted is None:
            self._sorted = sorted(self._buckets)
        passed = Counter(self._closed)
        fitting, examined = [], 0
        wanted = (size.accelerators, _level(size.memory_mb), _level(size.cores))
        for key in self._sorted:
            bucket = self._buckets[key]
            obstacle = _bucket_obstacle(key, wanted)
            if obstacle is None and examined >= EXAMINED_MAX:
                obstacle = Obstacle.NOT_EXAMINED
            if obstacle is not None:
                passed[obstacle] += len(bucket)
                continue
            examined += self._examine(bucket, size, avoid, fitting, passed)
        best = min(fitting, key=lambda room: self._cost(room, team), default=None)
        return Search(best, _passed(passed))

    def _examine(self, bucket, size, avoid, fitting, passed):
        count = 0
        for name, room in bucket.items():
            if count >= EXAMINED_PER_BUCKET:
                passed[Obstacle.NOT_EXAMINED] += len(bucket) - count
                break
            count += 1
            obstacle = Obstacle.FAILED_HERE if name in avoid else room.obstacle(size)
            if obstacle is None:
                fitting.append(room)
            else:
                passed[obstacle] += 1
        return count

    def _cost(self, room, team):
        spread = self._racks.get((team, room.worker.rack), 0)
        return (room.accelerators, spread, room.memory_mb)

    def clip(self, size):
        """Return a Size cut to the largest worker that has its accelerators."""
        shapes = [
            shape for shape in self._shapes if shape.accelerators >= size.accelerators
        ]
        if not shapes:
            return size
        largest = max(shapes, key=lambda shape: (shape.memory_mb, shape.cores))
        return Size(
            min(size.cores, largest.cores),
            min(size.memory_mb, largest.memory_mb),
            size.accelerators,
        )

    def can_ever_hold(self, size):
        """Return whether a worker could hold a Size that is declared too large."""
        least = Size(
            size.cores / DOUBT_FACTOR, size.memory_mb / DOUBT_FACTOR, size.accelerators
        )
        return any(least.fits(shape) for shape in self._shapes)


def _bucket_obstacle(key, wanted):
    if key[0] < wanted[0]:
        return Obstacle.ACCELERATORS
    if key[1] < wanted[1]:
        return Obstacle.MEMORY
    if key[2] < wanted[2]:
        return Obstacle.CORES
    return None


def _passed(counts):
    return tuple(
        Passed(obstacle, count) for obstacle, count in counts.items() if count > 0
    )
