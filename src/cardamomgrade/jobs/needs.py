"""How many VMs the work of each service needs; pure.

Load pattern: bursts that rise within a second, on pools that hold lasting tasks. What
runs and waits now, and what arriving work will keep busy, each may be the larger.
"""

from .demand import Demand
from .pools import PoolLoad

HEADROOM = 1.15  # above the mean need: tasks do not pack without gaps


class PoolNeeds:
    """Work that waits, by service, and the demand that arrives."""

    def __init__(self):
        self.demand = Demand()
        self._waiting_m = {}
        self._blocked_vms = {}
        self._largest_m = 0

    def planned(self, service, waiting_m, blocked_vms):
        """Take in what a round of placement left waiting.

        ``waiting_m`` in thousandths of a core; ``blocked_vms`` are VMs that tasks need
        although there is room, since they may not run where it is.
        """
        self._waiting_m[service] = waiting_m
        self._blocked_vms[service] = blocked_vms

    def load(self, service, pool, now_ms, aside=frozenset()):
        """Return the PoolLoad of a Service with the executors in ``pool``.

        Those that are silent, or named in ``aside``, do not count for its size: a
        small pool would otherwise keep work waiting that nothing in it can take.
        """
        self._largest_m = max(
            (item.entry.cores_m for item in pool), default=self._largest_m
        )
        waiting_m = self._waiting_m.get(service.name, 0)
        held_m = sum(item.cores_m for item in pool)
        lasting_m = sum(
            holding.cores_m
            for item in pool
            for holding in item.holdings.values()
            if holding.lasting
        )
        arriving_m = self.demand.cores_m(service.name, now_ms)
        needed_m = max(held_m + waiting_m, arriving_m) + lasting_m
        needed = -(-int(needed_m * HEADROOM) // max(1, self._largest_m))
        size = sum(
            item.listed
            and not item.entry.draining
            and not item.silent
            and item.name not in aside
            for item in pool
        )
        blocked = self._blocked_vms.get(service.name, 0)
        if blocked:
            needed = max(needed, size + blocked)
        idle = tuple(item.name for item in pool if not item.holdings and item.open)
        return PoolLoad(service.name, needed, idle, size, service.standby)
