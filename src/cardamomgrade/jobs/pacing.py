"""Decides which VMs of a maintenance wave may go down now; pure functions.

Times are in seconds. Load pattern: half of all VMs are due within half a minute, while
each queue in turn needs more VMs than its pool has. A wave takes VMs that are off or
idle first, then those of pools that have what they need. It takes VMs from pools with
work that waits, or that are short of VMs, only when the time that is left demands it.
VMs with lasting tasks may go down only one after another in a pool, as the budgets of
these tasks demand, so that they are due long before the others.
"""

import math
from enum import IntEnum, unique

import attrs

from .reports import STATE_UP

ROUND_DELAY_S = 0.8  # of a VM beyond its upkeep, until the next one may go down
USED_FRACTION = 0.6  # of a wave's time; VMs that are away have the rest to come back
SPARE_TIME_FACTOR = 1.5  # VMs may be silent, crash, or be held by their budgets


@unique
class Cost(IntEnum):
    """What the upkeep of a VM takes from callers, in the order in which VMs go down.

    DUE are VMs whose upkeeps take the time that is left, one after another.
    """

    DUE = -1
    OFF = 0
    IDLE = 1
    CALM = 2
    BUSY = 3


@attrs.frozen
class PoolRoom:
    """What the pools can give; made from PoolLoads by service.

    ``spare`` maps a pool to the VMs that it has beyond its need, ``calm`` are the pools
    in which no work waits and that have what they need, and ``off`` those whose VMs are
    switched off. ``off_vms`` is how many of these no pool needs, even if the need of
    those that are not calm doubles during an upkeep.
    """

    spare: dict
    calm: frozenset
    off: frozenset
    off_vms: int

    @classmethod
    def of(cls, loads, listed):
        """Return the PoolRoom of dicts of service to PoolLoad and VM to ListedVm."""
        off = {name for name, load in loads.items() if load.standby}
        calm = {
            name
            for name, load in loads.items()
            if not load.waiting_cores_m and load.size >= load.needed_vms
        }
        off_vms = sum(
            item.pool in off and item.state == STATE_UP for item in listed.values()
        )
        reserved = sum(loads[name].needed_vms for name in loads.keys() - calm)
        spare = {name: load.size - load.needed_vms for name, load in loads.items()}
        return cls(spare, frozenset(calm), frozenset(off), max(0, off_vms - reserved))


def no_room(loads, listed):
    """Return None, so that a wave is done as fast as it allows."""
    return None


def cost_of(machine, executor, room):
    """Return the Cost of the upkeep of a ListedVm with an Executor, or None."""
    if machine.pool in room.off or not machine.executor:
        return Cost.OFF if room.off_vms else Cost.BUSY
    if machine.pool not in room.calm:
        return Cost.BUSY
    idle = executor is not None and not executor.allocations
    return Cost.IDLE if idle and room.spare[machine.pool] > 0 else Cost.CALM


def must_hurry(left, at_once, upkeep_s, drain_s, time_left_s):
    """Return whether ``left`` VMs need all of the time that a wave has left.

    ``drain_s`` is the time that runs on a VM get to end before its upkeep.
    """
    rounds = math.ceil(left / max(1, at_once))
    needed_s = rounds * (upkeep_s + ROUND_DELAY_S) + drain_s
    return time_left_s <= needed_s * SPARE_TIME_FACTOR
