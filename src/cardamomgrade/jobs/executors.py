"""Executors as seen by the scheduler: their capacity and its allocation to runs."""

import attrs

from .quotas import CustomerUsage


@attrs.frozen
class Allocation:
    """Capacity allocated to one run on an executor until its end is known.

    ``ends_ms`` is the expected end on the monotonic clock, 0 if it is unknown.
    """

    task: object
    run: int
    cores_m: int
    memory_mb: int
    accelerators: int
    lasting: bool
    ends_ms: float = 0.0


class Executor:
    """An executor, with the capacity allocated to runs on it.

    A restart of its process is a new incarnation, with a new id or a higher
    ``entry.born``; in the latter case this object stays. ``listed`` is set while the
    platform lists the executor, ``cordoned`` while it gets no new runs because its VM
    is due for upkeep or a move, and ``unreachable`` if the last request to it was not
    answered, ``unfenced`` while it may run what it took from calls to its former
    incarnation, ``suspect`` while it is not known whether it crashed when it was
    silent. ``slow`` is set while tasks take much longer on it than on others of
    its service. ``allocations`` maps the name of a task to its Allocation. ``cores_m``
    (thousandths of a core), ``memory_mb`` and ``accelerators`` are the sums of the
    allocations; ``lasting_cores_m`` and ``lasting_memory_mb`` are the parts of lasting
    tasks, of which there are ``lasting_runs``. Runs are counted in ``usage``, a
    CustomerUsage, for as long as they are allocated.
    """

    def __init__(self, entry, usage=None):
        self.entry = entry
        self._usage = CustomerUsage() if usage is None else usage
        self.listed = True
        self.cordoned = False
        self.unreachable = False
        self.unfenced = False
        self.suspect = False
        self.slow = False
        self.allocations = {}
        self.cores_m = 0
        self.memory_mb = 0
        self.accelerators = 0
        self.lasting_cores_m = 0
        self.lasting_memory_mb = 0
        self.lasting_runs = 0

    @property
    def name(self):
        """The id of the executor."""
        return self.entry.executor

    @property
    def open(self):
        """Whether new runs may be placed on the executor."""
        return not (
            self.entry.draining
            or self.cordoned
            or self.unreachable
            or self.unfenced
            or not self.listed
        )

    def fits(self, step):
        """Return whether the free capacity suffices for one more task of a step."""
        entry = self.entry
        return (
            self.cores_m + step.reserved_cores_m <= entry.cores_m
            and self.memory_mb + step.memory_mb <= entry.memory_mb
            and self.accelerators + step.accelerators <= entry.accelerators
        )

    @property
    def overcommitted(self):
        """Whether the allocations exceed the capacity, which may have shrunk."""
        entry = self.entry
        return (
            self.cores_m > entry.cores_m
            or self.memory_mb > entry.memory_mb
            or self.accelerators > entry.accelerators
        )

    @property
    def free_cores_m(self):
        """The cores that are not allocated to runs, in thousandths of a core."""
        return self.entry.cores_m - self.cores_m

    @property
    def free_fraction(self):
        """The fraction of the cores that is not allocated to runs."""
        return 1 - self.cores_m / max(1, self.entry.cores_m)

    def allocate(self, task, run, step, customer="", ends_ms=0.0):
        """Allocate capacity to a run of a customer's task, expected to end then."""
        allocation = Allocation(
            task,
            run,
            step.reserved_cores_m,
            step.memory_mb,
            step.accelerators,
            step.lasting,
            ends_ms,
        )
        self.allocations[task] = allocation
        self._adjust_usage(allocation, 1)
        self._usage.charge(self.name, task, run, customer, step)

    def release(self, task, run):
        """Free the capacity of a run of a task; return whether any was allocated."""
        allocation = self.allocations.get(task)
        if allocation is None or allocation.run != run:
            return False
        del self.allocations[task]
        self._adjust_usage(allocation, -1)
        self._usage.release(self.name, task, run)
        return True

    def _adjust_usage(self, allocation, sign):
        self.cores_m += sign * allocation.cores_m
        self.memory_mb += sign * allocation.memory_mb
        self.accelerators += sign * allocation.accelerators
        if allocation.lasting:
            self.lasting_cores_m += sign * allocation.cores_m
            self.lasting_memory_mb += sign * allocation.memory_mb
            self.lasting_runs += sign


@attrs.frozen
class LargestRoom:
    """The largest free capacity of each kind on any of some executors."""

    cores_m: int
    memory_mb: int
    accelerators: int

    @classmethod
    def of(cls, executors):
        """Return the LargestRoom on ``executors``."""
        return cls(
            max((item.free_cores_m for item in executors), default=-1),
            max(
                (item.entry.memory_mb - item.memory_mb for item in executors),
                default=-1,
            ),
            max(
                (item.entry.accelerators - item.accelerators for item in executors),
                default=-1,
            ),
        )

    def may_fit(self, step):
        """Return False if no executor has room for one more task of a step."""
        return (
            step.reserved_cores_m <= self.cores_m
            and step.memory_mb <= self.memory_mb
            and step.accelerators <= self.accelerators
        )
