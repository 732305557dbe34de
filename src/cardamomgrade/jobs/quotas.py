"""Limits of customers: what each has running, and whether it may start more.

Performs no I/O and reads no clock. Load pattern: a few large customers submit several
times what their limits let run, and thousands of their jobs wait. One comparison tells
that such a job cannot start, and a service is planned again for it only once a run of
its customer has ended, on whatever service.

Safeguard: a run counts from its allocation, before its record is stored, until it is
certain that it is over. So lost answers and late commands never make room.
"""

import attrs

from .customers import Limits
from .demand import BURST_MS

KINDS = tuple(field.name for field in attrs.fields(Limits))
NO_LIMITS = Limits()
DEMAND_DEPTH_MS = BURST_MS  # so that a burst counts as no more cores than the limit


def needs_of(step):
    """Return what one task of a step counts towards a limit, in the order of KINDS.

    A fill task reserves no cores on its executor, but counts with those that it uses.
    """
    return step.cores_m, step.memory_mb, step.accelerators


def excess_over(limits, steps):
    """Return the detail of a refusal if ``steps`` could never start, else "".

    That is a task, or a gang as a whole, that is larger than the Limits allow.
    """
    for number, step in enumerate(steps):
        tasks = step.tasks if step.gang else 1
        for kind, need, limit in zip(
            KINDS, needs_of(step), attrs.astuple(limits), strict=True
        ):
            if limit and need * tasks > limit:
                what = "the gang" if step.gang else "a task"
                return (
                    f"step {number}: {what} needs {need * tasks} {kind}, more than "
                    f"the customer's limit of {limit}"
                )
    return ""


@attrs.define
class Usage:
    """What a customer has running; ``amounts`` are in the order of KINDS."""

    runs: int = 0
    amounts: tuple = (0,) * len(KINDS)

    def add(self, step, sign):
        """Add one run of a step, or subtract it with a ``sign`` of -1."""
        self.runs += sign
        self.amounts = tuple(
            used + sign * need
            for used, need in zip(self.amounts, needs_of(step), strict=True)
        )


NO_USAGE = Usage()


class CustomerUsage:
    """What each customer has running, by executor, task and run.

    A run is charged where its capacity is allocated and released where that is freed.
    Repeating either has no effect, so that a run which is taken over with its executor
    counts once.
    """

    def __init__(self):
        self._charges = {}
        self._by_customer = {}
        self._released = set()

    def charge(self, executor, task, run, customer, step):
        """Count a run of a task of a step for a customer; "" is none."""
        key = executor, task, run
        if customer and key not in self._charges:
            self._charges[key] = customer, step
            self._by_customer.setdefault(customer, Usage()).add(step, 1)

    def release(self, executor, task, run):
        """Count a run no more, as it is certain that it is over."""
        customer, step = self._charges.pop((executor, task, run), ("", None))
        if customer:
            usage = self._by_customer[customer]
            usage.add(step, -1)
            self._released.add(customer)
            if not usage.runs:
                del self._by_customer[customer]

    def of(self, customer):
        """Return the Usage of a customer."""
        return self._by_customer.get(customer, NO_USAGE)

    def customers(self):
        """Return the names of the customers that have runs."""
        return list(self._by_customer)

    def take_released(self):
        """Return the customers of which a run was released since the last call."""
        released, self._released = self._released, set()
        return released


class Quota:
    """Decides by the limits of the newest configuration whether a customer may start.

    A customer without limits, or not in the configuration, may always start.
    """

    def __init__(self, usage, cfg):
        self._usage = usage
        self._limits = {}
        self._blocked = {}
        self._demand = {}
        self.set_config(cfg)

    def set_config(self, cfg):
        """Apply the limits of a QueueConfig; the caller plans all services again."""
        self._limits = {
            item.name: attrs.astuple(item.limits)
            for item in reversed(cfg.customers or ())
            if item.limits != NO_LIMITS
        }
        self._blocked.clear()
        self._demand = {
            name: item for name, item in self._demand.items() if name in self._limits
        }

    def allows(self, customer, step, tasks=1):
        """Return whether ``tasks`` more tasks of a step fit under the limit.

        A customer that runs nothing may exceed its limit by part of one task: one that
        was accepted before the limit was lowered could never start otherwise.
        """
        limits = self._limits.get(customer)
        if limits is None:
            return True
        usage = self._usage.of(customer)
        counted = tasks if usage.runs else tasks - 1
        for limit, used, need in zip(
            limits, usage.amounts, needs_of(step), strict=True
        ):
            if limit and need and used + need * counted > limit:
                return False
        return True

    def may_start(self, customer, state, service):
        """Return whether the limit lets a StepState start: one task, or its gang.

        If not, the ``service`` is planned again when a run of the customer is over.
        """
        if customer not in self._limits:
            return True
        step = state.step
        if self.allows(customer, step, step.tasks if step.gang else 1):
            return True
        self._blocked.setdefault(customer, set()).add(service)
        return False

    def startable(self, customer, state):
        """Return how many of the waiting tasks of a StepState the limit lets start."""
        limits = self._limits.get(customer)
        if limits is None:
            return state.waiting
        step = state.step
        if step.gang:
            return state.waiting if self.allows(customer, step, step.tasks) else 0
        usage = self._usage.of(customer)
        count = state.waiting
        for limit, used, need in zip(
            limits, usage.amounts, needs_of(step), strict=True
        ):
            if limit and need:
                count = min(count, max(0, limit - used) // need)
        return count if usage.runs else max(1, count)

    def take_unblocked(self):
        """Return the services to plan again, since runs of their customers are over."""
        services = set()
        for customer in self._usage.take_released():
            services |= self._blocked.pop(customer, set())
        return services

    def demand_share(self, spec, expected_ms, now_ms):
        """Return the part, 0 to 1, of an arriving job's work that counts as demand.

        Work that arrives faster than its customer's limit lets it run keeps no more
        cores busy. ``expected_ms(step)`` is the expected run time of a task.
        """
        limits = self._limits.get(spec.customer)
        if limits is None:
            return 1.0
        totals = [0.0] * len(KINDS)
        for step in spec.steps:
            task_ms = step.tasks * expected_ms(step)
            for kind, need in enumerate(needs_of(step)):
                totals[kind] += need * task_ms
        run_ms = max(
            total / limit if limit else 0.0
            for total, limit in zip(totals, limits, strict=True)
        )
        left_ms, at_ms = self._demand.get(spec.customer, (DEMAND_DEPTH_MS, now_ms))
        left_ms = min(DEMAND_DEPTH_MS, left_ms + max(0.0, now_ms - at_ms))
        counted_ms = min(run_ms, left_ms)
        self._demand[spec.customer] = left_ms - counted_ms, max(at_ms, now_ms)
        return counted_ms / run_ms if run_ms else 1.0

    def startable_shares(self, ready_by_service):
        """Return a dict of service to the StartableShare of its ReadyJobs.

        A customer's headroom is divided among the services in proportion to what waits.
        Services where all work may start are left out.
        """
        waiting = {}
        for service, ready in ready_by_service.items():
            for customer, work in ready.work_by_customer.items():
                if customer in self._limits:
                    waiting.setdefault(customer, {})[service] = work
        held = {}
        for customer, works in waiting.items():
            share = self._startable_share(customer, works.values())
            if share < 1:
                for service, work in works.items():
                    held.setdefault(service, HeldBack()).add(work, share)
        return {
            service: item.startable(ready_by_service[service])
            for service, item in held.items()
        }

    def _startable_share(self, customer, works):
        """Return the part of a customer's waiting work that its limit lets run."""
        share = 1.0
        usage = self._usage.of(customer)
        for kind, limit in enumerate(self._limits[customer]):
            total = sum(item.amounts[kind] for item in works)
            if limit and total:
                share = min(share, max(0, limit - usage.amounts[kind]) / total)
        return share


@attrs.define
class WaitingWork:
    """What waits of a customer in a service, as ReadyJob counts it.

    ``amounts``, in the order of KINDS, are what its urgent and late tasks count towards
    the limit.
    """

    urgent_cores_m: int = 0
    late_cores_m: int = 0
    backlog_core_ms: float = 0.0
    amounts: tuple = (0,) * len(KINDS)

    def add(self, other, sign):
        """Add another WaitingWork, or subtract it with a ``sign`` of -1."""
        self.urgent_cores_m += sign * other.urgent_cores_m
        self.late_cores_m += sign * other.late_cores_m
        self.backlog_core_ms += sign * other.backlog_core_ms
        self.amounts = tuple(
            mine + sign * its
            for mine, its in zip(self.amounts, other.amounts, strict=True)
        )


@attrs.frozen
class StartableShare:
    """The parts, 0 to 1, of a service's waiting work that the limits let run."""

    urgent: float = 1.0
    late: float = 1.0
    backlog: float = 1.0


ALL_STARTABLE = StartableShare()


@attrs.define
class HeldBack:
    """The part of a service's waiting work that limits keep from starting."""

    urgent_cores_m: float = 0.0
    late_cores_m: float = 0.0
    backlog_core_ms: float = 0.0

    def add(self, work, share):
        """Add a customer's WaitingWork; a ``share`` of it may start, urgent first."""
        cores_m = work.urgent_cores_m + work.late_cores_m
        held_m = cores_m * (1 - share)
        late_m = min(held_m, work.late_cores_m)
        self.late_cores_m += late_m
        self.urgent_cores_m += held_m - late_m
        self.backlog_core_ms += work.backlog_core_ms * (1 - share)

    def startable(self, ready):
        """Return the StartableShare of the ReadyJobs that this is a part of."""
        return StartableShare(
            _rest(self.urgent_cores_m, ready.urgent_cores_m),
            _rest(self.late_cores_m, ready.late_cores_m),
            _rest(self.backlog_core_ms, ready.backlog_core_ms),
        )


def _rest(held, total):
    return min(1.0, max(0.0, 1 - held / total)) if total else 1.0
