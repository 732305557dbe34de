"""Number of VMs that each service needs; pure state, performs no I/O.

Load pattern: bursts that rise within a second, on pools that also run lasting tasks.
Jobs may wait for a part of their time, so that a pool need not run all waiting tasks at
once. It needs the cores by which the work of its jobs, and most of what arrives
meanwhile, is done within a part of their objective, plus the cores of lasting tasks.
"""

import attrs

from .demand import Demand
from .openwork import OpenWork
from .pools import PoolLoad
from .ready import ReadyJobs
from .waiting import ALL_STARTABLE

HORIZON_FRACTION = 0.8  # of the objective; tasks start one after another
ARRIVING_FRACTION = 0.7  # of the work that arrives within the horizon
WAITING_FRACTION = 0.5  # of the tasks that wait; runs may be far over their estimates
HORIZON_MIN_MS = 500.0
HORIZON_MAX_MS = 2500.0  # a VM that is ordered when work waits too long comes too late
HEADROOM_FACTOR = 1.1  # tasks do not fill VMs without gaps
RUNNING_FACTOR = 1.3  # the same, where all tasks that wait are to run at once
MS = 1000
NO_JOBS = ReadyJobs()


@attrs.frozen
class Work:
    """What is known of the work of a service, in thousandths of a core.

    ``open_core_ms``, in core-ms, is what its jobs have left, which are to take
    ``objective_ms`` on average; ``allocated_cores_m`` is what all runs have,
    ``lasting_cores_m`` the part of lasting ones, ``waiting_cores_m`` what waiting tasks
    need, and ``arriving_cores_m`` what arriving jobs are expected to keep busy.
    """

    open_core_ms: float
    objective_ms: float
    allocated_cores_m: int
    lasting_cores_m: int
    waiting_cores_m: int
    arriving_cores_m: float


def cores_for_open_work(work):
    """Return the cores, in thousandths, that do the open work within a horizon.

    ARRIVING_FRACTION of what arrives within the horizon is to be done by then. The
    cores in use and those of half of the tasks that wait are needed in any case.
    """
    horizon_ms = work.objective_ms * HORIZON_FRACTION
    horizon_ms = min(max(horizon_ms, HORIZON_MIN_MS), HORIZON_MAX_MS)
    arriving_core_ms = work.arriving_cores_m / MS * horizon_ms * ARRIVING_FRACTION
    core_ms = max(0.0, work.open_core_ms) + arriving_core_ms
    cores_m = int(core_ms / horizon_ms * MS * HEADROOM_FACTOR) + work.lasting_cores_m
    waiting_cores_m = int(work.waiting_cores_m * WAITING_FRACTION)
    return max(cores_m, work.allocated_cores_m + waiting_cores_m)


def cores_for_all_at_once(work):
    """Return the cores, in thousandths, on which all waiting tasks run at once."""
    running_cores_m = work.allocated_cores_m + work.waiting_cores_m
    cores_m = max(running_cores_m, work.arriving_cores_m) + work.lasting_cores_m
    return int(cores_m * RUNNING_FACTOR)


class PoolNeeds:
    """Tracks waiting work and arriving demand per service.

    ``cores_for`` is ``cores_for_open_work`` or another function like it.
    """

    def __init__(self, demand=None, cores_for=cores_for_open_work):
        self.demand = demand or Demand()
        self.work = OpenWork()
        self._cores_for = cores_for
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

        open_core_ms = self.work.core_ms(service.name) - ready.hopeless_core_ms
        open_core_ms -= ready.backlog_core_ms * (1 - startable.backlog)

        def vms(open_core_ms, waiting_cores_m):
            work = Work(
                open_core_ms,
                self.work.objective_ms(service.name),
                allocated_cores_m,
                lasting_cores_m,
                waiting_cores_m,
                arriving_cores_m,
            )
            return -(-self._cores_for(work) // max(1, self._largest_vm_cores_m))

        needed = vms(open_core_ms, waiting_cores_m)
        late_core_ms = ready.late_core_ms * startable.late
        urgent = vms(open_core_ms - late_core_ms, urgent_cores_m)
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
            usable_vm_cores_m=int(self._largest_vm_cores_m / RUNNING_FACTOR),
            allocated_cores_m=allocated_cores_m,
            arriving_cores_m=arriving_cores_m,
        )
