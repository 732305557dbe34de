"""What live attempts hold on the workers of all pools, and teams under quotas."""

import attrs

from .estimate import Size
from .room import Hold, PoolRoom, Room


@attrs.frozen
class Quota:
    """What the tasks of a team may hold at once over all pools."""

    team: str
    cores: float
    accelerators: int


def reserved_size(task):
    """Return the Size that a live task's placement reserved."""
    return Size(task.cores, task.memory_mb, task.spec.accelerators)


class Holdings:
    """Rooms by worker and by pool, and the use of each team.

    A worker that is not listed keeps its holds until their attempts end.
    """

    def __init__(self):
        self.pools = {}
        self.rooms = {}
        self.quotas = {}
        self._orphans = {}
        self._used = {}

    def pool(self, name):
        """Return the PoolRoom of a pool, which is made when it is new."""
        pool = self.pools.get(name)
        if pool is None:
            pool = self.pools[name] = PoolRoom()
        return pool

    def pool_of(self, room):
        """Return the PoolRoom of a Room."""
        return self.pools[room.worker.pool]

    def is_listed(self, room):
        """Return whether a Room is that of a worker listed now."""
        return self.rooms.get(room.worker.name) is room

    def set_workers(self, workers):
        """Take the platform's list; return the Rooms that are new."""
        listed = {worker.name: worker for worker in workers}
        for name, room in list(self.rooms.items()):
            if listed.get(name) != room.worker:
                self._remove(name)
        return [
            self._add(worker)
            for name, worker in listed.items()
            if name not in self.rooms
        ]

    def _add(self, worker):
        room = Room(worker)
        for hold in self._orphans.pop(worker.name, {}).values():
            room.add(hold)
        self.rooms[worker.name] = room
        self.pool(worker.pool).add(room)
        return room

    def _remove(self, name):
        room = self.rooms.pop(name)
        self.pool_of(room).remove(name)
        if room.holds:
            self._orphans[name] = dict(room.holds)

    def find(self, task):
        """Return (Room, Hold) of a live task; None where there is none."""
        room = self.rooms.get(task.worker)
        hold = room.holds.get(task.spec.task) if room is not None else None
        return room, hold

    def hold(self, task, time_ms):
        """Take the room that a placed task reserved."""
        spec, size = task.spec, reserved_size(task)
        hold = Hold(spec.task, spec.team, spec.urgent, task.attempt, size, time_ms)
        self.use(spec.team, size, 1)
        room = self.rooms.get(task.worker)
        if room is None:
            self._orphans.setdefault(task.worker, {})[spec.task] = hold
        else:
            self.pool_of(room).hold(room, hold)

    def free(self, task):
        """Give back what a live task holds; return its Room, or None if unlisted."""
        name = task.spec.task
        self.use(task.spec.team, reserved_size(task), -1)
        room = self.rooms.get(task.worker)
        if room is not None:
            self.pool_of(room).free(room, name)
            return room
        orphans = self._orphans.get(task.worker, {})
        orphans.pop(name, None)
        if not orphans:
            self._orphans.pop(task.worker, None)
        return None

    def resize(self, room, hold, size):
        """Change the Size of a Hold."""
        room.resize(hold, size)
        self.pool_of(room).update(room)

    def use(self, team, size, sign):
        """Count a Size for (1) or no longer for (-1) a team."""
        cores, accelerators = self._used.get(team, (0.0, 0))
        cores += sign * size.cores
        accelerators += sign * size.accelerators
        self._used[team] = (cores, accelerators)

    def is_over_quota(self, team, size):
        """Return whether a further Size would pass a team's quota."""
        quota = self.quotas.get(team)
        if quota is None:
            return False
        cores, accelerators = self._used.get(team, (0.0, 0))
        return (
            cores + size.cores > quota.cores
            or accelerators + size.accelerators > quota.accelerators
        )
