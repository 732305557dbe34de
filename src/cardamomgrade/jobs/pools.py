"""Plans moves of VMs between pools; pure state, times are in seconds.

Load pattern: each queue in turn exceeds the capacity of its pool for some seconds and
needs almost none in between. A pool that is short of VMs takes idle VMs of other pools,
which then need not be switched off first, and after them VMs that are off. If these do
not suffice, pools that have more than their fair share close VMs to new runs, which
move once their runs have ended. A VM that was idle for IDLE_TIMEOUT_S is switched off
by a move to the standby pool. Only VMs without runs move, so no work is lost.
"""

import math

import attrs

from .reports import STATE_UP
from .shares import fair_shares

IDLE_TIMEOUT_S = 1.0  # a VM idle this long mostly stays idle until the next burst
JOIN_TIMEOUT_S = 6.0  # then the VM no longer counts towards the pool that it joins
MIN_POOL_VMS = 2  # one may fail or be in upkeep
CLOSE_TIMEOUT_S = 3.0  # VMs with longer runs are opened again
REFUSED_RETRY_S = 5.0  # delay before a refused move is retried


@attrs.frozen
class PoolLoad:
    """Size and need of a pool.

    ``needed_vms`` is the number of VMs that its work needs, ``urgent_vms`` the part of
    it for work that can be in time, ``size`` the number that it has, and ``idle`` the
    names of its executors without runs. ``closable`` are those that run only tasks that
    end, the least busy first. ``waiting_cores_m`` is what its waiting tasks need, in
    thousandths of a core, and ``backlog_core_ms`` the work of the jobs that wait,
    without hopeless ones and without those beyond the shares of their customers.
    ``lasting_cores_m`` is what lasting tasks have, and ``usable_vm_cores_m`` the cores
    of a VM that tasks use on average. ``allocated_cores_m`` is what all runs have, and
    ``arriving_cores_m`` what arriving jobs are expected to keep busy. The VMs of a
    ``standby`` pool are switched off.
    """

    service: str
    needed_vms: int
    urgent_vms: int
    idle: tuple
    size: int
    standby: bool
    waiting_cores_m: int = 0
    closable: tuple = ()
    backlog_core_ms: float = 0.0
    lasting_cores_m: int = 0
    usable_vm_cores_m: int = 0
    allocated_cores_m: int = 0
    arriving_cores_m: float = 0.0


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


def in_order(needs, total):
    """Return a dict of pool to VMs; ``needs`` are met in full, in the order of names.

    Like ``fair_shares``, but a large need may leave nothing for those after it.
    """
    shares = {}
    for pool in sorted(needs):
        shares[pool] = min(needs[pool], total)
        total -= shares[pool]
    return shares


def idle_first(is_off):
    """Return a sort key of VMs that may move: idle ones of other pools come first."""
    return is_off


def off_first(is_off):
    """Return a sort key of VMs that may move: those that are off come first."""
    return not is_off


def _shares(loads, total, divide):
    """Return a dict of pool to its fair share of ``total`` VMs.

    Late work gets what the work that can be in time leaves in all pools.
    """
    pools = [item for item in loads.values() if not item.standby]
    urgent = divide({item.service: item.urgent_vms for item in pools}, total)
    rest = {item.service: item.needed_vms - urgent[item.service] for item in pools}
    late = divide(rest, total - sum(urgent.values()))
    return {pool: count + late[pool] for pool, count in urgent.items()}


class PoolPlanner:
    """Plans moves; tracks moves under way, refused moves, and idle times.

    ``closed`` maps executors that get no new runs, since their VMs are to move, to the
    time of closing. ``shares`` maps a pool to the VMs that it may have. ``divide`` is
    ``fair_shares`` or another function like it, ``source_key`` is ``idle_first`` or
    ``off_first``, and at most ``max_closed`` executors are closed.
    """

    def __init__(self, divide=fair_shares, source_key=idle_first, max_closed=math.inf):
        self._divide = divide
        self._source_key = source_key
        self._max_closed = max_closed
        self.closed = {}
        self.shares = {}
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

    def record_not_done(self, move):
        """Record that a move was not carried out and may be ordered again at once."""
        self._joining.pop(move.vm, None)

    def plan(self, loads, listed, now, excluded, max_moves=math.inf, last=()):
        """Return the Moves to order now, at most ``max_moves``.

        ``loads`` maps a service to its PoolLoad and ``listed`` a VM to its
        ListedVm; ``excluded`` are the VMs that must not move. Those in ``last`` are
        taken after the others.
        """
        self._drop_joined(listed, now)
        self._update_idle(loads, now)
        movable = [
            machine
            for vm, machine in sorted(
                listed.items(), key=lambda item: (item[0] in last, item[0])
            )
            if machine.state == STATE_UP
            and vm not in self._joining
            and vm not in excluded
        ]
        shares = self.shares = _shares(loads, len(listed), self._divide)
        short = {
            pool: share
            - loads[pool].size
            - sum(item.pool == pool for item in self._joining.values())
            for pool, share in shares.items()
        }
        spare = {
            pool: loads[pool].size - max(share, MIN_POOL_VMS)
            for pool, share in shares.items()
        }
        moves = []
        for pool in sorted(short, key=lambda item: -short[item]):
            while short[pool] > 0 and len(moves) < max_moves:
                machine = self._best_source(loads[pool], loads, movable, spare, now)
                if machine is None:
                    break
                movable.remove(machine)
                short[pool] -= 1
                if machine.pool in spare:
                    spare[machine.pool] -= 1
                moves.append(Move(machine.vm, pool, machine.executor))
        missing = sum(max(0, count) for count in short.values())
        self._close(loads, movable, spare, missing, now)
        if not missing:
            moves.extend(self._switch_off(loads, movable, spare, now))
        return moves[: int(min(max_moves, len(moves)))]

    def _close(self, loads, movable, spare, missing, now):
        """Choose the executors that are closed so that ``missing`` VMs get free."""
        movable_names = {machine.executor for machine in movable}
        closed = {}
        for pool in sorted(spare, key=lambda item: -spare[item]):
            candidates = [
                name
                for name in loads[pool].closable
                if name in movable_names
                and now - self.closed.get(name, now) < CLOSE_TIMEOUT_S
            ]
            # Those that are closed already stay closed.
            candidates.sort(key=lambda name: name not in self.closed)
            limit = min(spare[pool], missing, self._max_closed - len(closed))
            for name in candidates[: max(0, limit)]:
                closed[name] = self.closed.get(name, now)
                missing -= 1
        self.closed = closed

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
        """Return an idle VM of a pool that has spare ones, or one that is off."""
        best = {}
        for machine in movable:
            source = loads.get(machine.pool)
            if machine.pool == load.service or source is None:
                continue
            if not self._may_move(machine, load.service, now):
                continue
            is_idle = spare.get(machine.pool, 0) > 0 and machine.executor in source.idle
            if source.standby or is_idle:
                best.setdefault(source.standby, machine)
        return best[min(best, key=self._source_key)] if best else None

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


def make_planner(switches):
    """Return a PoolPlanner with the mechanisms that Switches leave enabled."""
    choose = switches.choose
    return PoolPlanner(
        choose("fair-shares", fair_shares, in_order),
        choose("reuse", idle_first, off_first),
        choose("closing", math.inf, 0),
    )
