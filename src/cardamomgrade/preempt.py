"""Chooses the lesser work that gives way to an urgent task on one worker."""

import attrs

from .estimate import Size
from .orders import Action, Obstacle

URGENT_START_MS = 2100
STOP_ALLOWANCE_MS = 900
CLAIM_LIMIT_MS = 5000
CHECKPOINT_MB_PER_MS = 4
THROTTLE_SHARE = 0.25
WORKERS_EXAMINED = 16
_ORDER = (Action.THROTTLE, Action.CHECKPOINT, Action.STOP)


@attrs.frozen
class Yielding:
    """The holds of one worker that give way, and by which Action."""

    room: object
    action: Action
    holds: tuple

    @property
    def cost(self):
        """Milder actions first, then less memory and time lost."""
        lost = sum(hold.size.memory_mb for hold in self.holds)
        return (_ORDER.index(self.action), len(self.holds), lost)


def throttled_size(size):
    """Return the Size of a task that was throttled."""
    return Size(size.cores * THROTTLE_SHARE, size.memory_mb, size.accelerators)


def full_size(size):
    """Return the Size that a throttled task had before."""
    return Size(size.cores / THROTTLE_SHARE, size.memory_mb, size.accelerators)


def _lesser(room):
    holds = [hold for hold in room.holds.values() if not hold.urgent]
    return sorted(holds, key=lambda hold: -hold.since_ms)


def _throttle(room, size):
    if room.obstacle(size) is not Obstacle.CORES:
        return None
    short, chosen = size.cores - room.cores, []
    for hold in _lesser(room):
        if hold.throttled or short <= 0:
            continue
        short -= hold.size.cores * (1 - THROTTLE_SHARE)
        chosen.append(hold)
    return Yielding(room, Action.THROTTLE, tuple(chosen)) if short <= 0 else None


def _evict(room, size, left_ms):
    cores, memory, accelerators = room.cores, room.memory_mb, room.accelerators
    chosen = []
    for hold in _lesser(room):
        if size.fits(Size(cores, memory, accelerators)):
            break
        if size.accelerators > accelerators and not hold.size.accelerators:
            continue
        cores += hold.size.cores
        memory += hold.size.memory_mb
        accelerators += hold.size.accelerators
        chosen.append(hold)
    if not size.fits(Size(cores, memory, accelerators)):
        return None
    largest_mb = max(hold.size.memory_mb for hold in chosen)
    saved = largest_mb / CHECKPOINT_MB_PER_MS + STOP_ALLOWANCE_MS <= left_ms
    action = Action.CHECKPOINT if saved else Action.STOP
    return Yielding(room, action, tuple(chosen))


def choose_yielding(pool, size, left_ms, avoid=()):
    """Return the mildest Yielding among some workers of a PoolRoom, or None.

    ``left_ms`` is the time until the urgent task should have started.
    """
    best = None
    for _ in range(min(WORKERS_EXAMINED, len(pool.turns))):
        name = pool.turns[0]
        pool.turns.rotate(-1)
        room = pool.rooms[name]
        if room.closed or name in avoid or not size.fits(room.worker.size):
            continue
        found = _throttle(room, size) or _evict(room, size, left_ms)
        if found is not None and (best is None or found.cost < best.cost):
            best = found
        if best is not None and best.action is Action.THROTTLE:
            break
    return best


@attrs.frozen
class Claim:
    """A worker kept for an urgent task while ``attempts`` give way.

    What is left of them at ``stop_ms`` is to be stopped, once.
    """

    room: object
    size: Size
    attempts: tuple
    stop_ms: int
    stopped: bool


class Claims:
    """The claims of urgent tasks on workers, by task."""

    def __init__(self, holdings):
        self._holdings = holdings
        self._claims = {}

    def pools(self):
        """Return the names of the pools in which there are claims."""
        return {claim.room.worker.pool for claim in self._claims.values()}

    def claim(self, name):
        """Return the Claim of a task, or None."""
        return self._claims.get(name)

    def keep(self, name, found, size, start_ms):
        """Keep the worker of a Yielding for a task that is to start by a time."""
        self._holdings.pool_of(found.room).close(found.room, Obstacle.RESERVED)
        attempts = tuple((hold.task, hold.attempt) for hold in found.holds)
        self._claims[name] = Claim(
            found.room,
            size,
            attempts,
            start_ms - STOP_ALLOWANCE_MS,
            found.action is Action.STOP,
        )

    def release(self, name):
        """Give up the claim of a task; return the Room that it kept, or None."""
        claim = self._claims.pop(name, None)
        if claim is None or not self._holdings.is_listed(claim.room):
            return None
        self._holdings.pool_of(claim.room).open(claim.room, Obstacle.RESERVED)
        return claim.room

    def ready(self, name):
        """Return the Claim of a task if its worker has the room now, else None."""
        claim = self._claims.get(name)
        if claim is None or not self._holdings.is_listed(claim.room):
            return None
        free = claim.room.obstacle(claim.size) is None
        kept = set(claim.room.closed) == {Obstacle.RESERVED}
        return claim if free and kept else None

    def is_kept(self, name, now_ms):
        """Return whether a task has a claim that may still be met."""
        claim = self._claims.get(name)
        if claim is None or not self._holdings.is_listed(claim.room):
            return False
        return now_ms < claim.stop_ms + CLAIM_LIMIT_MS

    def take_late(self, name, now_ms):
        """Return the holds to stop now, each once."""
        claim = self._claims[name]
        if claim.stopped or now_ms < claim.stop_ms:
            return []
        self._claims[name] = attrs.evolve(claim, stopped=True)
        holds = [(claim.room.holds.get(task), turn) for task, turn in claim.attempts]
        return [hold for hold, turn in holds if hold and hold.attempt == turn]
