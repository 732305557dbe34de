"""Simulates executors and a store under schedulers that follow each other.

``QuotaEstate`` knows which runs may be on an executor, whatever the scheduler believes:
those whose start was sent, until they have ended there or can no longer begin. It fails
if a start brings a customer above its limit, or if such a run is not counted.
"""

import attrs

from cardamomgrade.health import Health
from cardamomgrade.jobs.customers import Customer, Limits, needs_of
from cardamomgrade.jobs.queues import Queue, QueueConfig, Service
from cardamomgrade.jobs.records import decode_job, decode_progress, encode
from cardamomgrade.jobs.reports import ExecutorEntry, Outcome
from cardamomgrade.jobs.scheduler import Scheduler
from cardamomgrade.jobs.spec import JobSpec, parse_task

WALL_MS = 1_800_000_000_000
SERVICES = ("s", "t")
QUARANTINE_MS = 4000
EXECUTOR_CORES_M = 8000
EXECUTOR_MEMORY_MB = 1000


def quota_config(limits):
    """Return a QueueConfig; ``limits`` maps customers to Limits, or is None."""
    customers = None
    if limits is not None:
        # Weights above what the tests submit: all jobs are within the shares.
        customers = tuple(Customer(name, 1e6, item) for name, item in limits.items())
    return QueueConfig(
        1,
        tuple(
            Queue(
                f"q-{name}",
                "h",
                f"/{name}/",
                name,
                max_attempts=3,
                stretch=2.0,
                target_ms=600,
            )
            for name in SERVICES
        ),
        tuple(Service(name) for name in SERVICES),
        customers=customers,
    )


@attrs.define
class LiveRun:
    """A run that may be on an executor; it has begun there, or may still begin."""

    executor: str
    task: str
    run: int
    customer: str
    step: object
    begun: bool = False

    @property
    def key(self):
        """What identifies a run in a CustomerUsage."""
        return self.executor, self.task, self.run


class QuotaEstate:
    """Executors, two for each service, the store, and the newest scheduler.

    With ``quarantines`` one failed run quarantines its executor.
    """

    def __init__(self, limits, quarantines=False):
        self.limits = limits
        self.quarantines = quarantines
        self.now_ms = 0.0
        self.names = {f"{name}{number}": name for name in SERVICES for number in (1, 2)}
        self.specs = {}
        self.records = {}
        self.cancelled = set()
        self.forgotten = set()
        self.live = []
        self.ended = []
        self.hand_over()

    # Callers and operators

    def add(self, customer, service, *steps):
        """Accept a job; return its id."""
        job = f"{len(self.specs):016x}"
        spec = JobSpec(
            job,
            f"q-{service}",
            service,
            "",
            WALL_MS + int(self.now_ms),
            steps,
            customer=customer,
        )
        self.specs[job] = decode_job(encode(spec))
        self.scheduler.add_job(self.specs[job], now_ms=self.now_ms)
        return job

    def cancel(self, job):
        """Cancel a job; its runs go on until they are stopped."""
        self.cancelled.add(job)
        self.scheduler.cancel(job)

    def set_limits(self, limits):
        """Apply a new version of the configuration."""
        self.limits = limits
        self.scheduler.set_config(quota_config(limits))

    # Executors

    def register(self, name):
        """List an executor."""
        self.scheduler.put_executor(
            ExecutorEntry(
                name,
                self.names[name],
                "127.0.0.1:1",
                "z",
                False,
                EXECUTOR_CORES_M,
                EXECUTOR_MEMORY_MB,
                0,
                (),
                "",
                0,
            )
        )

    def end(self, live, outcome):
        """End a run on its executor, which has not been reported yet.

        The members of a gang are done together.
        """
        members = [live]
        if live.step.gang and outcome is Outcome.DONE:
            prefix = live.task.rpartition(".")[0]
            members = [
                item for item in self.live if item.task.rpartition(".")[0] == prefix
            ]
        for item in members:
            self.live.remove(item)
            self.ended.append((item, outcome))

    def report(self, ended):
        """Report the end of a run; it may be reported again."""
        live, outcome = ended
        if live.executor in self.scheduler.executors:
            self.scheduler.end(
                live.executor, live.task, live.run, outcome, "", self.now_ms
            )

    def refuse(self, live):
        """Refuse a start for good, which has not begun."""
        if not live.begun and live.executor in self.scheduler.executors:
            self.live.remove(live)
            self.scheduler.withdraw(live.executor, live.task, live.run)

    def lapse(self, name):
        """Let the lease of an executor lapse."""
        self.live = [item for item in self.live if item.executor != name]
        self.scheduler.mark_runs_lapsed(name, self.now_ms)

    def remove(self, name):
        """End an executor for good."""
        self.lapse(name)
        self.scheduler.forget_executor(name)

    # Schedulers

    def hand_over(self, registered=None):
        """Start another scheduler from the store's records.

        ``registered`` are the executors that it reads at once, all by default.
        """
        self.scheduler = Scheduler(quota_config(self.limits))
        if self.quarantines:
            self.scheduler._health = Health(1, QUARANTINE_MS, QUARANTINE_MS, 1.0)
        for job, spec in self.specs.items():
            if job in self.forgotten:
                continue
            record = self.records.get(job)
            if record is not None:
                record = decode_progress(record)
            self.scheduler.add_job(spec, record, self.now_ms)
            if job in self.cancelled:
                self.scheduler.cancel(job)
        for name in self.names if registered is None else registered:
            self.register(name)

    def forget_jobs(self):
        """Delete the records of jobs in a final state of which nothing runs."""
        for job in self.scheduler.finished():
            if self.scheduler.forget_job(job):
                self.forgotten.add(job)

    def plan(self):
        """Plan, store the decisions and send the starts; return the starts."""
        starts = self.scheduler.plan(self.now_ms, WALL_MS + self.now_ms)
        for key, value in self.scheduler.take_dirty():
            self.records[key.partition("/")[2]] = value
        self.scheduler.take_stops()
        for start in starts:
            self._send(start)
        self.check()
        return starts

    def plan_unstored(self):
        """Plan, and lose the scheduler before its decisions are stored."""
        self.scheduler.plan(self.now_ms, WALL_MS + self.now_ms)
        self.check()
        self.hand_over()

    def missed_starts(self):
        """Return the starts that a plan of all services finds after the last plan."""
        self.scheduler._services_to_plan.update(SERVICES)
        return self.scheduler.plan(self.now_ms, WALL_MS + self.now_ms)

    def _send(self, start):
        task = parse_task(start.task)
        spec = self.specs[task.job]
        step = spec.steps[task.step]
        assert start.task not in {item.task for item in self.live}, "runs twice"
        self.live.append(
            LiveRun(start.executor, start.task, start.run, spec.customer, step)
        )
        self._check_limit(start, spec.customer, step)

    def _check_limit(self, start, customer, step):
        limits = (self.limits or {}).get(customer)
        if not customer or limits is None:
            return
        same = start.task.rpartition(".")[0] if step.gang else start.task
        mine = [item for item in self.live if item.customer == customer]
        alone = all(item.task.startswith(same) for item in mine)
        for limit, used, need in zip(
            attrs.astuple(limits), amounts(mine), needs_of(step), strict=True
        ):
            over = limit and need and used > limit + (need if alone else 0)
            assert not over, f"{customer} runs {used} of {limit} after {start}"

    # Checks

    def allocated(self):
        """Return {key: (customer, step)} of what is allocated or orphaned."""
        found = {}
        for name, executor in self.scheduler.executors.items():
            for task, item in executor.allocations.items():
                found[name, task, item.run] = self._owner(task)
        for name in self.scheduler.unregistered_executors():
            for task, run in self.scheduler._orphans.runs_on(name).items():
                found[name, task, run] = self._owner(task)
        return {key: value for key, value in found.items() if value[0]}

    def _owner(self, task_name):
        task = parse_task(task_name)
        spec = self.specs[task.job]
        return spec.customer, spec.steps[task.step]

    def check(self):
        """Fail unless usage is the sum of allocations and has every live run.

        The sums of what waits, by customer, must be right as well.
        """
        allocated, usage = self.allocated(), self.scheduler.usage
        uncounted = [
            item for item in self.live if item.customer and item.key not in allocated
        ]
        assert not uncounted, f"not counted: {uncounted}"
        for customer in {*usage.customers(), *(name for name, _ in allocated.values())}:
            steps = [step for name, step in allocated.values() if name == customer]
            wanted = tuple(map(sum, zip(*map(needs_of, steps), strict=True)))
            found = usage.of(customer)
            assert (found.runs, found.amounts) == (len(steps), wanted), (
                f"{customer}: {found} is not {len(steps)} runs of {wanted}"
            )
        for ready in self.scheduler._ready.values():
            for customer in {item.job.spec.customer for item in ready} - {""}:
                works = [
                    item.work for item in ready if item.job.spec.customer == customer
                ]
                found = ready.work_by_customer[customer]
                rows = [item.amounts for item in works]
                wanted = tuple(map(sum, zip(*rows, strict=True)))
                assert found.amounts == wanted, (found, works)
                assert found.late_cores_m == sum(x.late_cores_m for x in works)
            waiting = {item.job.spec.customer for item in ready} - {""}
            assert set(ready.work_by_customer) == waiting


def amounts(live_runs):
    """Return the sums of what LiveRuns count towards a limit."""
    rows = [needs_of(item.step) for item in live_runs]
    return tuple(map(sum, zip(*rows, strict=True)))


SMALL = {"a": Limits(4000), "b": Limits(0, 300)}
LIMITS = (
    SMALL,
    {"a": Limits(2000), "b": Limits(0, 600)},
    {"a": Limits(1000), "b": Limits(2000, 100)},
    {"b": Limits(1000)},
    None,
)
