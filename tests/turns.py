"""Simulates an estate whose queues take turns; runs the scheduler and the pool planner.

Time is simulated. Moves, registrations and runs take the times of the users' platform;
orders and appends take none.
"""

import itertools
import math

import attrs

from cardamomgrade.jobs.mechanisms import ALL_ENABLED
from cardamomgrade.jobs.pools import make_planner
from cardamomgrade.jobs.queues import Queue, QueueConfig, Service
from cardamomgrade.jobs.reports import ExecutorEntry, ListedVm, Outcome
from cardamomgrade.jobs.scheduler import Scheduler
from cardamomgrade.jobs.spec import JobSpec, parse_task, Step

STEP_MS = 20
POOLS_MS = 160
MOVE_MS = 1500
REGISTER_MS = 400
MOVES_PER_S = 280
TASKS = 8
TASK_CORES_M = 2300
TASK_MS = 640
VM_CORES_M = 16_000
VM_MEMORY_MB = 64_000
STRETCH = 1.6
TARGET_MS = 600
WALL_MS = 1_800_000_000_000
OFF = "off"


@attrs.define
class Vm:
    """A VM; it moves until ``up_at_ms``, and its executor registers later."""

    name: str
    pool: str
    executor: str
    up_at_ms: float = 0.0
    registered: bool = True


class Estate:
    """VMs in pools of equal size, and the jobs that queues named like them submit.

    ``rates`` maps a queue to a function from s to jobs a second. With ``fixed`` pools
    no VM moves. ``customers`` are Customers or None, and ``customer_of(now_s, number)``
    returns the name of the one that submits a job. ``vm_s`` counts the seconds of VMs
    in pools, and ``moves`` the moves. A job has ``steps``, one after another.
    """

    def __init__(
        self,
        vms,
        rates,
        fixed=False,
        customers=None,
        customer_of=None,
        switches=ALL_ENABLED,
        steps=1,
    ):
        self.rates = rates
        self.customer_of = customer_of or (lambda now_s, number: "")
        self.fixed = fixed
        self.steps = steps
        self.objective_ms = STRETCH * TASK_MS * steps + TARGET_MS
        self.now_ms = 0.0
        self.planner = make_planner(switches)
        self.vm_s = 0.0
        self.moves = 0
        queues = [
            Queue(name, "host", f"/{name}/", name, stretch=STRETCH, target_ms=TARGET_MS)
            for name in rates
        ]
        services = [Service(name) for name in rates] + [Service(OFF, standby=True)]
        self.scheduler = Scheduler(
            QueueConfig(1, tuple(queues), tuple(services), customers=customers),
            switches,
        )
        self.numbers = itertools.count()
        self.vms = {}
        for number, pool in zip(range(vms), itertools.cycle(rates)):
            vm = Vm(f"m{number}", pool, f"m{number}-0")
            self.vms[vm.name] = vm
            self.scheduler.put_executor(_entry(vm))
        self.ends = []
        self.accepted = {}
        self.customers = {}
        self.completed = {}
        self.sizes = []
        self._due = dict.fromkeys(rates, 0.0)

    def run(self, seconds):
        """Let ``seconds`` pass."""
        until_ms = self.now_ms + seconds * 1000
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            in_pools = sum(vm.pool != OFF for vm in self.vms.values())
            self.vm_s += in_pools * STEP_MS / 1000
            self._submit()
            self._end_runs()
            self._register()
            if not self.fixed and self.now_ms % POOLS_MS < STEP_MS:
                self._move()
            for start in self.scheduler.plan(self.now_ms, WALL_MS + self.now_ms):
                self.ends.append((self.now_ms + TASK_MS, start))

    def in_time(self, queue, from_s, until_s, customers=None, factor=1):
        """Return the fraction of a queue's jobs of some seconds that were in time.

        ``customers`` are the names of those whose jobs count, None for all. A job may
        take ``factor`` times its objective.
        """
        jobs = [
            job
            for job, (name, at_ms) in self.accepted.items()
            if name == queue
            and from_s * 1000 <= at_ms < until_s * 1000
            and (customers is None or self.customers[job] in customers)
        ]
        done = sum(
            self.completed.get(job, math.inf) - self.accepted[job][1]
            <= self.objective_ms * factor
            for job in jobs
        )
        return done / len(jobs)

    def _submit(self):
        for queue, rate in self.rates.items():
            self._due[queue] += rate(self.now_ms / 1000) * STEP_MS / 1000
            while self._due[queue] >= 1:
                self._due[queue] -= 1
                number = next(self.numbers)
                job = f"{number:016x}"
                customer = self.customer_of(self.now_ms / 1000, number)
                self.customers[job] = customer
                step = Step(TASKS, TASK_CORES_M, 1000, estimate_ms=TASK_MS)
                steps = tuple(
                    attrs.evolve(step, after=(number,) if number >= 0 else ())
                    for number in range(-1, self.steps - 1)
                )
                spec = JobSpec(
                    job,
                    queue,
                    queue,
                    "",
                    WALL_MS + self.now_ms,
                    steps,
                    customer=customer,
                )
                self.accepted[job] = (queue, self.now_ms)
                self.scheduler.add_job(spec, now_ms=self.now_ms)

    def _end_runs(self):
        ended = [item for item in self.ends if item[0] <= self.now_ms]
        self.ends = [item for item in self.ends if item[0] > self.now_ms]
        for _, start in ended:
            self.scheduler.end(
                start.executor, start.task, start.run, Outcome.DONE, "", self.now_ms
            )
            job = parse_task(start.task).job
            if self.scheduler.state_of(job).final:
                self.completed.setdefault(job, self.now_ms)

    def _register(self):
        for vm in self.vms.values():
            if vm.registered or vm.pool == OFF:
                continue
            if self.now_ms >= vm.up_at_ms + REGISTER_MS:
                vm.registered = True
                self.scheduler.put_executor(_entry(vm))

    def _move(self):
        listed = {
            vm.name: ListedVm(
                vm.name,
                vm.pool,
                "up" if self.now_ms >= vm.up_at_ms else "moving",
                "" if vm.pool == OFF else vm.executor,
            )
            for vm in self.vms.values()
        }
        loads = self.scheduler.pool_loads(self.now_ms, self.planner.closed)
        now, most = self.now_ms / 1000, MOVES_PER_S * POOLS_MS / 1000
        for move in self.planner.plan(loads, listed, now, set(), most):
            self.planner.record_ordered(move, now)
            self.moves += 1
            vm = self.vms[move.vm]
            self.scheduler.forget_executor(vm.executor)
            vm.pool, vm.registered = move.pool, False
            vm.executor = f"{vm.name}-{next(self.numbers)}"
            vm.up_at_ms = self.now_ms + MOVE_MS
        self.scheduler.cordon(self.planner.closed)


def _entry(vm):
    return ExecutorEntry(
        vm.executor,
        vm.pool,
        "127.0.0.1:1",
        "z",
        False,
        VM_CORES_M,
        VM_MEMORY_MB,
        0,
        (),
        "r",
        0,
    )


def turn(begin_s, end_s, rate, rise_s=2.0, low=0.05):
    """Return a rate in jobs a second that rises over ``rise_s`` and falls at once."""

    def at(now_s):
        if not begin_s <= now_s < end_s:
            return rate * low
        return rate * max(low, min(1.0, (now_s - begin_s) / rise_s))

    return at
