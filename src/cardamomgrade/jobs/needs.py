"""Number of VMs that each service needs; pure state, performs no I/O.

Load pattern: bursts that rise within a second, on pools that also run lasting tasks.
The need is the larger of two figures, the cores of running and waiting tasks and the
cores that arriving jobs will keep busy, plus the cores of lasting tasks.
"""

from .demand import Demand
from .pools import PoolLoad
from .ready import ReadyJobs
from .waiting import ALL_STARTABLE

HEADROOM_FACTOR = 1.3  # tasks do not fill VMs without gaps
NO_JOBS = ReadyJobs()


class PoolNeeds:
    """Tracks waiting work and arriving demand per service."""

    def __init__(self, demand=None):
        self.demand = demand or Demand()
        self._ready = {}
        self._blocked_vms = {}
        self._largest_vm_cores_m = 0

    def record_waiting(self, service, ready, blocked_vms):
        """Record the ReadyJobs that a placement round left waiting.

        ``blocked_vms`` is the number of VMs needed by tasks that fit on an open
        executor but may not run there, for example because of a limit per executor.
        """
        self._ready[service] = ready
        self._blocked_vms[service] = blocked_vms

    def load(
        self,
        service,
        pool,
        now_ms,
        quarantined=frozenset(),
        closed=(),
        startable=ALL_STARTABLE,
    ):
        """Return the PoolLoad of a Service whose executors are ``pool``.

        Executors that are unreachable, or named in ``quarantined``, do not count
        towards its size: a small pool would otherwise look large enough although none
        of its executors can take the waiting work. ``closed`` names executors that get
        no new runs because they are to move. ``startable`` is the StartableShare of
        what waits: more VMs do not help work that customers' limits hold back.
        """
        self._largest_vm_cores_m = max(
            (item.entry.cores_m for item in pool), default=self._largest_vm_cores_m
        )
        ready = self._ready.get(service.name, NO_JOBS)
        urgent_cores_m = int(ready.urgent_cores_m * startable.urgent)
        waiting_cores_m = urgent_cores_m + int(ready.late_cores_m * startable.late)
        allocated_cores_m = sum(item.cores_m for item in pool)
        lasting_cores_m = sum(item.lasting_cores_m for item in pool)
        arriving_cores_m = self.demand.cores_m(service.name, now_ms)

        def vms(waiting_cores_m):
            busy_cores_m = max(allocated_cores_m + waiting_cores_m, arriving_cores_m)
            cores_m = int((busy_cores_m + lasting_cores_m) * HEADROOM_FACTOR)
            return -(-cores_m // max(1, self._largest_vm_cores_m))

        needed = vms(waiting_cores_m)
        urgent = vms(urgent_cores_m)
        size = sum(
            item.listed
            and not item.entry.draining
            and not item.unreachable
            and item.name not in quarantined
            for item in pool
        )
        blocked = self._blocked_vms.get(service.name, 0)
        if blocked:
            needed = max(needed, size + blocked)
            urgent = max(urgent, size + blocked)
        usable = [item for item in pool if item.open or item.name in closed]
        idle = tuple(item.name for item in usable if not item.allocations)
        closable = sorted(
            (item for item in usable if item.allocations and not item.lasting_runs),
            key=lambda item: item.cores_m,
        )
        return PoolLoad(
            service.name,
            needed_vms=needed,
            urgent_vms=urgent,
            idle=idle,
            size=size,
            standby=service.standby,
            waiting_cores_m=waiting_cores_m,
            closable=tuple(item.name for item in closable),
            backlog_core_ms=ready.backlog_core_ms * startable.backlog,
            lasting_cores_m=lasting_cores_m,
            usable_vm_cores_m=int(self._largest_vm_cores_m / HEADROOM_FACTOR),
        )
