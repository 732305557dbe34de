"""Plans moves of VMs between pools; pure state, times are in seconds.

Load pattern: each queue in turn exceeds the capacity of its pool for some seconds and
needs almost none in between. A pool that is short of VMs takes VMs that are switched
off, then idle VMs of other pools. A VM that was idle for IDLE_TIMEOUT_S is switched
off by a move to the standby pool. Only VMs without runs move, so no work is lost.
"""

import attrs

from .reports import STATE_UP

IDLE_TIMEOUT_S = 1.0  # a VM idle this long mostly stays idle until the next burst
JOIN_TIMEOUT_S = 6.0  # then the VM no longer counts towards the pool that it joins
MIN_POOL_VMS = 2  # one may fail or be in upkeep
REFUSED_RETRY_S = 5.0  # delay before a refused move is retried


@attrs.frozen
class PoolLoad:
    """Size and need of a pool.

    ``needed_vms`` is the number of VMs that its work needs, ``size`` the number that it
    has, and ``idle`` the names of its executors without runs. ``waiting_cores_m`` is
    what its waiting tasks need, in thousandths of a core. The VMs of a ``standby`` pool
    are switched off.
    """

    service: str
    needed_vms: int
    idle: tuple
    size: int
    standby: bool
    waiting_cores_m: int = 0

    @property
    def short_vms(self):
        """The number of VMs that the pool lacks."""
        return 0 if self.standby else max(0, self.needed_vms - self.size)

    @property
    def spare_vms(self):
        """The number of VMs that the pool can release."""
        return max(0, self.size - max(self.needed_vms, MIN_POOL_VMS))


@attrs.frozen
class Move:
    """Order to move a VM; ``executor`` is the incarnation that it ends, or ""."""

    vm: str
    pool: str
    executor: str


@attrs.define
class _Joining:
    pool: str
    executor: str
    ordered_at: float


class PoolPlanner:
    """Plans moves; tracks moves under way, refused moves, and idle times."""

    def __init__(self):
        self._joining = {}
        self._idle_since = {}
        self._refused_at = {}

    def record_ordered(self, move, now):
        """Record that a move was ordered."""
        self._joining[move.vm] = _Joining(move.pool, move.executor, now)

    def record_refused(self, move, now):
        """Record that a move was refused or not carried out."""
        self._joining.pop(move.vm, None)
        self._refused_at[move.vm, move.pool] = now

    def plan(self, loads, listed, now, excluded):
        """Return the Moves to order now.

        ``loads`` maps a service to its PoolLoad and ``listed`` a VM to its
        ListedVm; ``excluded`` are the VMs that must not move.
        """
        self._drop_joined(listed, now)
        self._update_idle(loads, now)
        movable = [
            machine
            for vm, machine in sorted(listed.items())
            if machine.state == STATE_UP
            and vm not in self._joining
            and vm not in excluded
        ]
        spare = {load.service: load.spare_vms for load in loads.values()}
        moves = []
        for load in sorted(loads.values(), key=lambda item: -item.short_vms):
            joining = sum(item.pool == load.service for item in self._joining.values())
            for _ in range(load.short_vms - joining):
                machine = self._best_source(load, loads, movable, spare, now)
                if machine is None:
                    break
                movable.remove(machine)
                spare[machine.pool] -= 1
                moves.append(Move(machine.vm, load.service, machine.executor))
        moves.extend(self._switch_off(loads, movable, spare, now))
        return moves

    def _drop_joined(self, listed, now):
        for vm, item in list(self._joining.items()):
            machine = listed.get(vm)
            joined = (
                machine is not None
                and machine.state == STATE_UP
                and machine.pool == item.pool
                and machine.executor != item.executor
            )
            if joined or now - item.ordered_at > JOIN_TIMEOUT_S:
                del self._joining[vm]

    def _update_idle(self, loads, now):
        idle = {name for load in loads.values() for name in load.idle}
        self._idle_since = {name: self._idle_since.get(name, now) for name in idle}

    def _may_move(self, machine, pool, now):
        refused = self._refused_at.get((machine.vm, pool))
        return refused is None or now - refused > REFUSED_RETRY_S

    def _best_source(self, load, loads, movable, spare, now):
        """Return a switched-off VM, else an idle VM of a pool that has spare ones."""
        idle = None
        for machine in movable:
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

    def _switch_off(self, loads, movable, spare, now):
        """Yield a move to the standby pool for each spare VM idle long enough."""
        standby = next((item for item in loads.values() if item.standby), None)
        if standby is None:
            return
        for machine in movable:
            load = loads.get(machine.pool)
            if load is None or load.standby or spare[machine.pool] <= 0:
                continue
            since = self._idle_since.get(machine.executor)
            idle_long_enough = since is not None and now - since >= IDLE_TIMEOUT_S
            if idle_long_enough and self._may_move(machine, standby.service, now):
                spare[machine.pool] -= 1
                yield Move(machine.vm, standby.service, machine.executor)
