"""Limits of customers: what each has running, and whether it may start more.

Performs no I/O and reads no clock. Load pattern: a few large customers submit several
times what their limits let run, and thousands of their jobs wait. One comparison tells
that such a job cannot start, and a service is planned again for it only once a run of
its customer has ended, on whatever service.

Safeguard: a run counts from its allocation, before its record is stored, until it is
certain that it is over. So lost answers and late commands never make room.
"""

import attrs

from .customers import KINDS, needs_of, NO_LIMITS
from .demand import BURST_MS
from .waiting import HeldBack

HOLD_FROM_MS = 200  # a job that is refused for longer soon is late, and last in order
HOLD_UNTIL_MS = 2200  # what waits because of a hold may not stall for 3 s
HOLD_AGAIN_MS = 5200  # what waited because of the last hold goes first
DEMAND_DEPTH_MS = BURST_MS  # so that a burst counts as no more cores than the limit


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


@attrs.define
class Hold:
    """Room under a customer's limit that is held for one StepState.

    Small tasks of the same customer would otherwise take all room that gets free, and a
    large one would never start. It holds for later jobs of the same service only, and
    for a time within which most runs end, so that a step which cannot start for other
    reasons delays them little. ``round`` is the planning round in which the limit
    refused the step last.
    """

    state: object
    since_ms: float
    round: int
    ended: bool = False

    def is_active(self, now_ms):
        """Return whether room is held now."""
        return HOLD_FROM_MS <= now_ms - self.since_ms < HOLD_UNTIL_MS


class Quota:
    """Decides by the limits of the newest configuration whether a customer may start.

    A customer without limits, or not in the configuration, may always start.
    """

    def __init__(self, usage, cfg):
        self._usage = usage
        self._limits = {}
        self._blocked = {}
        self._refused = {}
        self._holds = {}
        self._round = 0
        self._now_ms = 0.0
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
        self._refused.clear()
        self._holds.clear()
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
        # Written out, since a round asks this for each job that waits.
        cores_m, memory_mb, accelerators = limits
        used_cores_m, used_memory_mb, used_accelerators = usage.amounts
        need = step.cores_m
        if cores_m and need and used_cores_m + need * counted > cores_m:
            return False
        need = step.memory_mb
        if memory_mb and need and used_memory_mb + need * counted > memory_mb:
            return False
        need = step.accelerators
        return not (
            accelerators and need and used_accelerators + need * counted > accelerators
        )

    def may_start(self, customer, state, service):
        """Return whether the limit lets a StepState start: one task, or its gang.

        To be called in planning rounds, in which usage only grows, so that what one
        refused step needs is refused from then on. If the answer is no, the ``service``
        is planned again when a run of the customer is over.
        """
        if customer not in self._limits:
            return True
        step = state.step
        refused = self._refused.get(customer)
        if (
            refused is not None
            and refused[0] == service
            and step.cores_m >= refused[1].cores_m
            and step.memory_mb >= refused[1].memory_mb
            and step.accelerators >= refused[1].accelerators
        ):
            return False
        allowed = self.allows(customer, step, step.tasks if step.gang else 1)
        if allowed and not self._is_held_back(customer, state, service):
            return True
        if not allowed:
            self._hold_room(customer, state, service)
            if not step.gang:
                self._refused[customer] = service, step
        services = self._blocked.get(customer)
        if services is None:
            services = self._blocked[customer] = set()
        services.add(service)
        return False

    def _hold_room(self, customer, state, service):
        """Hold room for a StepState that the limit refuses, unless it is held already.

        Nothing is held for a gang that exceeds the limit: it can never start.
        """
        step, limits = state.step, self._limits[customer]
        hold = self._holds.get((customer, service))
        if hold is not None and hold.state is state:
            hold.round = self._round
        elif hold is None or not hold.state.waiting:
            rest = step.tasks - 1 if step.gang else 0
            needs = zip(limits, needs_of(step), strict=True)
            if all(not limit or need * rest <= limit for limit, need in needs):
                hold = Hold(state, self._now_ms, self._round)
                self._holds[customer, service] = hold

    def _is_held_back(self, customer, state, service):
        """Return whether a StepState would take the room held for one before it."""
        hold = self._holds.get((customer, service))
        if hold is None:
            return False
        if hold.state is state:
            # It starts now, or it does not start for another reason than the limit.
            hold.since_ms = min(hold.since_ms, self._now_ms - HOLD_UNTIL_MS)
            hold.ended = True
            return False
        if hold.round != self._round or not hold.is_active(self._now_ms):
            return False
        held, tasks = hold.state.step, hold.state.step.tasks
        used = self._usage.of(customer).amounts
        return any(
            limit
            and need
            and used + need + wanted * (tasks if held.gang else 1) > limit
            for limit, used, need, wanted in zip(
                self._limits[customer],
                used,
                needs_of(state.step),
                needs_of(held),
                strict=True,
            )
        )

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

    def begin_round(self, now_ms):
        """Begin a planning round; return the services that have to be planned again.

        Runs of customers that were held back there are over, or a Hold has ended.
        """
        self._now_ms = now_ms
        self._round += 1
        self._refused.clear()
        services = set()
        for (customer, service), hold in list(self._holds.items()):
            if now_ms - hold.since_ms >= HOLD_AGAIN_MS:
                del self._holds[customer, service]
            elif not hold.ended and now_ms - hold.since_ms >= HOLD_UNTIL_MS:
                hold.ended = True
                services.add(service)
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
