"""Chooses the non-urgent tasks to preempt on one worker for an urgent task."""

import attrs

from .estimate import Size
from .placement_events import Action, Obstacle

URGENT_START_MS = 2100
STOP_ALLOWANCE_MS = 900
RESERVATION_TIMEOUT_MS = 5000
CHECKPOINT_MB_PER_MS = 4
THROTTLED_CORES_FRACTION = 0.25
WORKERS_EXAMINED = 16
_ORDER = (Action.THROTTLE, Action.CHECKPOINT, Action.STOP)


@attrs.frozen
class Preemption:
    """The allocations of one worker to preempt, and the Action for it."""

    capacity: object
    action: Action
    allocations: tuple

    @property
    def cost(self):
        """Sort key: milder action, then fewer tasks, then less memory."""
        memory_mb = sum(allocation.size.memory_mb for allocation in self.allocations)
        return (_ORDER.index(self.action), len(self.allocations), memory_mb)


def throttled_size(size):
    """Return the Size of a task after throttling it."""
    return Size(
        size.cores * THROTTLED_CORES_FRACTION, size.memory_mb, size.accelerators
    )


def full_size(size):
    """Return the Size that a throttled task had before throttling."""
    return Size(
        size.cores / THROTTLED_CORES_FRACTION, size.memory_mb, size.accelerators
    )


def _preemptible(capacity):
    allocations = [
        allocation
        for allocation in capacity.allocations.values()
        if not allocation.urgent
    ]
    return sorted(allocations, key=lambda allocation: -allocation.since_ms)


def _throttle(capacity, size):
    if capacity.obstacle(size) is not Obstacle.CORES:
        return None
    short, chosen = size.cores - capacity.free_cores, []
    for allocation in _preemptible(capacity):
        if allocation.throttled or short <= 0:
            continue
        short -= allocation.size.cores * (1 - THROTTLED_CORES_FRACTION)
        chosen.append(allocation)
    return Preemption(capacity, Action.THROTTLE, tuple(chosen)) if short <= 0 else None


def _checkpoint_or_stop(capacity, size, left_ms):
    cores, memory, accelerators = (
        capacity.free_cores,
        capacity.free_memory_mb,
        capacity.free_accelerators,
    )
    chosen = []
    for allocation in _preemptible(capacity):
        if size.fits(Size(cores, memory, accelerators)):
            break
        if size.accelerators > accelerators and not allocation.size.accelerators:
            continue
        cores += allocation.size.cores
        memory += allocation.size.memory_mb
        accelerators += allocation.size.accelerators
        chosen.append(allocation)
    if not size.fits(Size(cores, memory, accelerators)):
        return None
    largest_mb = max(allocation.size.memory_mb for allocation in chosen)
    in_time = largest_mb / CHECKPOINT_MB_PER_MS + STOP_ALLOWANCE_MS <= left_ms
    action = Action.CHECKPOINT if in_time else Action.STOP
    return Preemption(capacity, action, tuple(chosen))


def choose_preemption(pool, size, left_ms, avoid=()):
    """Return the mildest Preemption among some workers of a PoolCapacity, or None.

    ``left_ms`` is the time left until the urgent task should have started. Calls
    rotate through the workers of the pool.
    """
    best = None
    for _ in range(min(WORKERS_EXAMINED, len(pool.rotation))):
        name = pool.rotation[0]
        pool.rotation.rotate(-1)
        capacity = pool.capacities[name]
        if capacity.blockers or name in avoid or not size.fits(capacity.worker.size):
            continue
        found = _throttle(capacity, size) or _checkpoint_or_stop(
            capacity, size, left_ms
        )
        if found is not None and (best is None or found.cost < best.cost):
            best = found
        if best is not None and best.action is Action.THROTTLE:
            break
    return best


@attrs.frozen
class Reservation:
    """A worker reserved for an urgent task until the preempted ``attempts`` end.

    Attempts still live at ``stop_ms`` are to be stopped, which is requested once.
    """

    capacity: object
    size: Size
    attempts: tuple
    stop_ms: int
    stopped: bool


class Reservations:
    """The Reservations of urgent tasks, by task."""

    def __init__(self, allocations):
        self._allocations = allocations
        self._reservations = {}

    def pools(self):
        """Return the names of the pools with reservations."""
        return {
            reservation.capacity.worker.pool
            for reservation in self._reservations.values()
        }

    def get(self, name):
        """Return the Reservation of a task, or None."""
        return self._reservations.get(name)

    def reserve(self, name, found, size, start_ms):
        """Reserve the worker of a Preemption for a task due at ``start_ms``."""
        self._allocations.pool_of(found.capacity).block(
            found.capacity, Obstacle.RESERVED
        )
        attempts = tuple(
            (allocation.task, allocation.attempt) for allocation in found.allocations
        )
        self._reservations[name] = Reservation(
            found.capacity,
            size,
            attempts,
            start_ms - STOP_ALLOWANCE_MS,
            found.action is Action.STOP,
        )

    def release(self, name):
        """Drop a task's reservation; return its WorkerCapacity if still listed."""
        reservation = self._reservations.pop(name, None)
        if reservation is None or not self._allocations.is_listed(reservation.capacity):
            return None
        self._allocations.pool_of(reservation.capacity).unblock(
            reservation.capacity, Obstacle.RESERVED
        )
        return reservation.capacity

    def ready(self, name):
        """Return the Reservation of a task if it fits its worker now, else None."""
        reservation = self._reservations.get(name)
        if reservation is None or not self._allocations.is_listed(reservation.capacity):
            return None
        fits = reservation.capacity.obstacle(reservation.size) is None
        only_reserved = set(reservation.capacity.blockers) == {Obstacle.RESERVED}
        return reservation if fits and only_reserved else None

    def is_pending(self, name, now_ms):
        """Return whether a task has a reservation that has not timed out."""
        reservation = self._reservations.get(name)
        if reservation is None or not self._allocations.is_listed(reservation.capacity):
            return False
        return now_ms < reservation.stop_ms + RESERVATION_TIMEOUT_MS

    def take_overdue(self, name, now_ms):
        """Return the allocations to stop now; each is returned only once."""
        reservation = self._reservations[name]
        if reservation.stopped or now_ms < reservation.stop_ms:
            return []
        self._reservations[name] = attrs.evolve(reservation, stopped=True)
        allocations = [
            (reservation.capacity.allocations.get(task), attempt)
            for task, attempt in reservation.attempts
        ]
        return [
            allocation
            for allocation, attempt in allocations
            if allocation and allocation.attempt == attempt
        ]
