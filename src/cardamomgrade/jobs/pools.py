"""Which VM moves to which pool; pure state, times are seconds.

Load pattern: each queue in turn asks for more than its pool holds for some seconds and
for next to nothing in between. A pool that needs more takes VMs that
are off, then VMs that stand idle in other pools; a VM that stood idle for a while is
switched off. Only VMs on which nothing runs move, so no work is lost.
"""

import attrs

from .reports import STATE_UP

IDLE_S = 1.0  # a VM that rested this long mostly rests until its pool's next burst
JOIN_TIMEOUT_S = 6.0  # a VM that did not join by then is not counted on any more
LEAST_VMS = 2  # of each pool: one may be lost, or be in upkeep
REFUSED_S = 5.0  # before a VM that could not be moved is tried again


@attrs.frozen
class PoolLoad:
    """A pool: how many VMs its work needs, its idle executors, how many VMs it has."""

    service: str
    needed_vms: int
    idle: tuple
    size: int
    standby: bool

    @property
    def short_vms(self):
        """How many VMs are missing."""
        return 0 if self.standby else max(0, self.needed_vms - self.size)

    @property
    def spare_vms(self):
        """How many VMs the pool could give away."""
        return max(0, self.size - max(self.needed_vms, LEAST_VMS))


@attrs.frozen
class Move:
    """An order that a VM joins a pool; ``executor`` is the life that it ends, or ""."""

    vm: str
    pool: str
    executor: str


@attrs.define
class _Joining:
    pool: str
    executor: str
    at: float


class PoolPlanner:
    """VMs on their way, and since when executors are idle."""

    def __init__(self):
        self._joining = {}
        self._idle_since = {}
        self._refused = {}

    def ordered(self, move, now):
        """Take note that a move was ordered."""
        self._joining[move.vm] = _Joining(move.pool, move.executor, now)

    def refused(self, move, now):
        """Take note that a move was not done."""
        self._joining.pop(move.vm, None)
        self._refused[move.vm, move.pool] = now

    def plan(self, loads, listed, now, barred):
        """Return the Moves to order now.

        ``loads`` are the PoolLoads by service, ``listed`` the ListedMachines by VM,
        ``barred`` the VMs that stay where they are.
        """
        self._settle(listed, now)
        self._note_idle(loads, now)
        free = [
            machine
            for vm, machine in sorted(listed.items())
            if machine.state == STATE_UP
            and vm not in self._joining
            and vm not in barred
        ]
        spare = {load.service: load.spare_vms for load in loads.values()}
        moves = []
        for load in sorted(loads.values(), key=lambda item: -item.short_vms):
            coming = sum(item.pool == load.service for item in self._joining.values())
            for _ in range(load.short_vms - coming):
                machine = self._best_source(load, loads, free, spare, now)
                if machine is None:
                    break
                free.remove(machine)
                spare[machine.pool] -= 1
                moves.append(Move(machine.vm, load.service, machine.executor))
        moves.extend(self._switch_off(loads, free, spare, now))
        return moves

    def _settle(self, listed, now):
        for vm, item in list(self._joining.items()):
            machine = listed.get(vm)
            joined = (
                machine is not None
                and machine.state == STATE_UP
                and machine.pool == item.pool
                and machine.executor != item.executor
            )
            if joined or now - item.at > JOIN_TIMEOUT_S:
                del self._joining[vm]

    def _note_idle(self, loads, now):
        idle = {name for load in loads.values() for name in load.idle}
        self._idle_since = {name: self._idle_since.get(name, now) for name in idle}

    def _may_move(self, machine, pool, now):
        refused = self._refused.get((machine.vm, pool))
        return refused is None or now - refused > REFUSED_S

    def _best_source(self, load, loads, free, spare, now):
        """Return a VM that is off, else an idle one of a pool that needs none."""
        idle = None
        for machine in free:
            source = loads.get(machine.pool)
            if machine.pool == load.service or source is None:
                continue
            if not self._may_move(machine, load.service, now):
                continue
            if source.standby:
                return machine
            if spare[machine.pool] > 0 and machine.executor in source.idle:
                idle = idle or machine
        return idle

    def _switch_off(self, loads, free, spare, now):
        """Yield a move for each VM that stood idle for IDLE_S."""
        standby = next((item for item in loads.values() if item.standby), None)
        if standby is None:
            return
        for machine in free:
            load = loads.get(machine.pool)
            if load is None or load.standby or spare[machine.pool] <= 0:
                continue
            since = self._idle_since.get(machine.executor)
            rested = since is not None and now - since >= IDLE_S
            if rested and self._may_move(machine, standby.service, now):
                spare[machine.pool] -= 1
                yield Move(machine.vm, standby.service, machine.executor)
