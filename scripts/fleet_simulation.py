"""Simulates workers that start every task placed on them, for bench_placement.py.

When a worker's cores are overcommitted, all its tasks slow down by the same factor;
when its memory is overcommitted, the task that started last is killed. Records are
read back one tick after they are appended, and usage reports arrive REPORT_LAG_MS late.
"""

import heapq
import itertools
import random

from cardamomgrade.estimate import Usage
from cardamomgrade.placement_events import Action, TaskCurbed
from cardamomgrade.records import (
    Logged,
    TaskCancelled,
    TaskEnded,
    TaskPlaced,
    TaskRenewed,
    TaskSubmitted,
)
from cardamomgrade.refusal import Refusal
from cardamomgrade.tasks import TaskState

TICK_MS = 100
REPORT_INTERVAL_MS = 10_000
REPORT_LAG_MS = 10_000
RENEW_INTERVAL_MS = 150_000
RUN_MEAN_S = 40
# The cores and the memory that tasks use; the declared sizes differ by team.
CORES_MEAN = 2.0
MEMORY_MEDIAN_MB = 3000
CHECKPOINT_MB_PER_MS = 4
THROTTLED_SPEED = 0.25
FAILING_TASK_FRACTION = 0.03
UNPLACEABLE_FRACTION = 0.01
URGENT_FRACTION = 0.02
FAILING_WORKER_FRACTION = 0.01
FAILING_TASK_RUN_S = 5
FAILING_WORKER_RUN_S = 2
CANCEL_INTERVAL_MS = 60_000
CANCEL_FRACTION = 0.1
URGENT_LIMIT_MS = 2100


def task_spec(name, team, pool, cores, memory_mb, accelerators=0, urgent=False):
    """Return the TaskSubmitted of a task with its declared sizes."""
    return TaskSubmitted(
        name, team, pool, cores, memory_mb, accelerators, float(RUN_MEAN_S), urgent
    )


class SimTask:
    """A task with its real needs, which differ from the declared ones in ``spec``.

    ``remaining_s`` is the run time left at full speed and ``checkpoint_s`` its value at
    the last checkpoint. A ``failing`` task fails after FAILING_TASK_RUN_S.
    """

    def __init__(self, spec, cores, memory_mb, run_s, failing):
        self.spec = spec
        self.cores = cores
        self.memory_mb = memory_mb
        self.run_s = self.remaining_s = run_s
        self.checkpoint_s = run_s
        self.failing = failing
        self.started_ms = None
        self.lost = 0.0


class Run:
    """One attempt of a task on a worker."""

    def __init__(self, sim_task, attempt, start_ms):
        self.sim_task = sim_task
        self.attempt = attempt
        self.start_ms = start_ms
        self.throttled = False


class SimWorker:
    """A worker with its runs by task name, computed up to the time ``at_ms``.

    ``version`` changes with the set or the speed of the runs; a scheduled end with an
    older version is void. On a ``failing`` worker every run fails after
    FAILING_WORKER_RUN_S.
    """

    def __init__(self, worker, failing):
        self.worker = worker
        self.failing = failing
        self.runs = {}
        self.at_ms = 0
        self.version = 0
        self.used_core_s = 0.0

    def speed(self):
        """Return the speed of runs that aren't throttled; 1.0 is full speed."""
        demand_cores = sum(
            run.sim_task.cores * (THROTTLED_SPEED if run.throttled else 1)
            for run in self.runs.values()
        )
        return min(1.0, self.worker.cores / demand_cores) if demand_cores else 1.0

    def advance(self, now_ms):
        """Update the remaining run times and the core seconds used up to ``now_ms``."""
        seconds, speed = (now_ms - self.at_ms) / 1000, self.speed()
        for run in self.runs.values():
            run_speed = speed * (THROTTLED_SPEED if run.throttled else 1)
            run.sim_task.remaining_s -= seconds * run_speed
            self.used_core_s += seconds * run_speed * run.sim_task.cores
        self.at_ms = now_ms

    def next_end_ms(self):
        """Return when the first run ends if the set of runs stays, or None."""
        end_times_ms = []
        for run in self.runs.values():
            run_speed = self.speed() * (THROTTLED_SPEED if run.throttled else 1)
            limit = run.sim_task.remaining_s
            if self.failing:
                limit = min(
                    limit,
                    FAILING_WORKER_RUN_S
                    - run.sim_task.checkpoint_s
                    + run.sim_task.remaining_s,
                )
            elif run.sim_task.failing:
                limit = min(
                    limit,
                    FAILING_TASK_RUN_S
                    - run.sim_task.checkpoint_s
                    + run.sim_task.remaining_s,
                )
            end_times_ms.append(self.at_ms + max(0.0, limit) / run_speed * 1000)
        return min(end_times_ms, default=None)


class Simulation:
    """Runs one placer on random tasks; ``seed`` determines every random draw.

    ``load`` is the offered load in cores as a fraction of the workers' cores.
    """

    def __init__(self, workers, teams, load, seed, placer):
        self._rng = random.Random(seed)
        self._placer = placer
        self._log = []
        self._folded_count = 0
        self._task_state = TaskState()
        self._sim_tasks = {}
        self._numbers = itertools.count()
        self._sim_workers = {
            item.name: SimWorker(item, self._rng.random() < FAILING_WORKER_FRACTION)
            for item in workers
        }
        self._workers = workers
        self._has_accelerators = {item.pool for item in workers if item.accelerators}
        self._ratios = {
            (f"team{team}", size): self._rng.lognormvariate(0.8, 0.8)
            for team in range(teams)
            for size in ("cores", "memory")
        }
        self._teams = teams
        capacity = sum(item.cores for item in workers)
        self._arrivals_per_ms = load * capacity / (CORES_MEAN * RUN_MEAN_S * 1000)
        self._events = []
        self._sequence = itertools.count()
        self._now_ms = 0
        self._urgent_delays_ms = []
        self._counts = dict.fromkeys(
            ("submitted", "done", "oom", "stopped", "checkpointed", "throttled"), 0
        )
        self._done_core_s = self._killed_core_s = 0.0
        self._refused_good = 0

    def _schedule(self, time_ms, call, *args):
        heapq.heappush(self._events, (time_ms, next(self._sequence), call, args))

    def run(self, until_ms):
        """Run for ``until_ms`` of simulated time and return a dict of results."""
        self._schedule(0, self._submit_next)
        self._schedule(CANCEL_INTERVAL_MS, self._cancel_some)
        for tick_ms in range(0, until_ms, TICK_MS):
            while self._events and self._events[0][0] <= tick_ms:
                self._now_ms, _, call, args = heapq.heappop(self._events)
                call(*args)
            self._now_ms = tick_ms
            self._tick()
        return self._results(until_ms)

    def _append(self, record):
        logged = Logged(len(self._log), int(self._now_ms), record)
        self._log.append(logged)
        change = self._task_state.fold(logged)
        if isinstance(record, TaskPlaced) and not isinstance(change, Refusal):
            self._schedule(self._now_ms + TICK_MS, self._start, record)

    def _tick(self):
        while self._folded_count < len(self._log):
            self._placer.fold(self._log[self._folded_count])
            self._folded_count += 1
        decisions = self._placer.decide(self._now_ms)
        for item in getattr(decisions, "items", decisions):
            if isinstance(item, TaskCurbed):
                self._schedule(self._now_ms + TICK_MS, self._apply_action, item)
            elif hasattr(item, "record"):
                self._append(item.record)

    def _submit_next(self):
        rng, number = self._rng, next(self._numbers)
        self._schedule(
            self._now_ms + rng.expovariate(self._arrivals_per_ms), self._submit_next
        )
        worker, team = rng.choice(self._workers), f"team{rng.randrange(self._teams)}"
        cores = min(8.0, 0.2 + rng.expovariate(1 / (CORES_MEAN - 0.2)))
        memory = min(30_000.0, MEMORY_MEDIAN_MB * rng.lognormvariate(0, 0.5))
        accelerators = 0
        if worker.pool in self._has_accelerators and rng.random() < 0.3:
            accelerators = rng.choice((1, 1, 1, 2, 4))
        if rng.random() < UNPLACEABLE_FRACTION:
            accelerators = 64
        declared = [
            true * self._ratios[team, size] * rng.lognormvariate(0, 0.15)
            for true, size in ((cores, "cores"), (memory, "memory"))
        ]
        spec = task_spec(
            f"t{number}",
            team,
            worker.pool,
            min(declared[0], 16.0),
            int(min(declared[1], 60_000)),
            accelerators,
            rng.random() < URGENT_FRACTION,
        )
        run_s = rng.expovariate(1 / RUN_MEAN_S)
        failing = rng.random() < FAILING_TASK_FRACTION
        self._sim_tasks[spec.task] = SimTask(spec, cores, memory, run_s, failing)
        self._counts["submitted"] += 1
        self._submit(spec)

    def _submit(self, spec):
        self._sim_tasks[spec.task].submitted_ms = self._now_ms
        self._append(spec)

    def _cancel_some(self):
        self._schedule(self._now_ms + CANCEL_INTERVAL_MS, self._cancel_some)
        for name in list(self._task_state.tasks):
            if self._rng.random() < CANCEL_FRACTION:
                self._append(TaskCancelled(name))
                task = self._task_state.tasks.get(name)
                if task is not None and task.live:
                    self._schedule(self._now_ms + TICK_MS, self._kill, task, "stopped")

    def _start(self, record):
        sim_task = self._sim_tasks[record.task]
        sim_worker = self._sim_workers[record.worker]
        sim_worker.advance(self._now_ms)
        sim_worker.runs[record.task] = Run(sim_task, record.attempt, self._now_ms)
        sim_task.remaining_s = sim_task.checkpoint_s
        if sim_task.started_ms is None:
            sim_task.started_ms = self._now_ms
            if sim_task.spec.urgent:
                self._urgent_delays_ms.append(self._now_ms - sim_task.submitted_ms)
        self._schedule(
            self._now_ms + REPORT_INTERVAL_MS, self._report_usage, sim_worker, record
        )
        self._schedule(
            self._now_ms + RENEW_INTERVAL_MS, self._renew, sim_worker, record
        )
        self._reschedule(sim_worker)

    def _is_running(self, sim_worker, record):
        run = sim_worker.runs.get(record.task)
        return run is not None and run.attempt == record.attempt

    def _report_usage(self, sim_worker, record):
        if self._is_running(sim_worker, record):
            sim_task = self._sim_tasks[record.task]
            usage = Usage(
                record.task, sim_task.cores, sim_task.memory_mb, int(self._now_ms)
            )
            self._schedule(self._now_ms + REPORT_LAG_MS, self._placer.report, usage)
            self._schedule(
                self._now_ms + REPORT_INTERVAL_MS,
                self._report_usage,
                sim_worker,
                record,
            )

    def _renew(self, sim_worker, record):
        if self._is_running(sim_worker, record):
            self._append(TaskRenewed(record.task, record.attempt, "w"))
            self._schedule(
                self._now_ms + RENEW_INTERVAL_MS, self._renew, sim_worker, record
            )

    def _reschedule(self, sim_worker):
        """Kill runs that no longer fit in memory and schedule the next end."""
        runs = sim_worker.runs
        while sum(run.sim_task.memory_mb for run in runs.values()) > (
            sim_worker.worker.memory_mb
        ):
            youngest = max(runs.values(), key=lambda run: run.start_ms)
            self._counts["oom"] += 1
            self._finish(sim_worker, youngest, "failed")
        sim_worker.version += 1
        end_ms = sim_worker.next_end_ms()
        if end_ms is not None:
            self._schedule(end_ms, self._on_run_end, sim_worker, sim_worker.version)

    def _on_run_end(self, sim_worker, version):
        if version != sim_worker.version:
            return
        sim_worker.advance(self._now_ms)
        for run in list(sim_worker.runs.values()):
            sim_task, run_s_so_far = (
                run.sim_task,
                run.sim_task.checkpoint_s - run.sim_task.remaining_s,
            )
            limit = FAILING_WORKER_RUN_S if sim_worker.failing else FAILING_TASK_RUN_S
            if (
                sim_worker.failing or sim_task.failing
            ) and run_s_so_far >= limit - 1e-6:
                self._finish(sim_worker, run, "failed")
            elif sim_task.remaining_s <= 1e-6:
                self._finish(sim_worker, run, "done")
        self._reschedule(sim_worker)

    def _finish(self, sim_worker, run, outcome, checkpointed=False):
        sim_task = run.sim_task
        del sim_worker.runs[sim_task.spec.task]
        if outcome == "done":
            self._counts["done"] += 1
            self._done_core_s += sim_task.run_s * sim_task.cores
        elif checkpointed:
            sim_task.checkpoint_s = max(0.0, sim_task.remaining_s)
        elif not sim_task.failing:
            self._killed_core_s += (
                sim_task.checkpoint_s - sim_task.remaining_s
            ) * sim_task.cores
        self._append(TaskEnded(sim_task.spec.task, run.attempt, outcome, "w"))

    def _kill(self, task, outcome, checkpointed=False):
        sim_worker = self._sim_workers[task.worker]
        run = sim_worker.runs.get(task.spec.task)
        if run is not None and run.attempt == task.attempt:
            sim_worker.advance(self._now_ms)
            self._finish(sim_worker, run, outcome, checkpointed)
            self._reschedule(sim_worker)

    def _apply_action(self, item):
        sim_worker = self._sim_workers[item.worker]
        run = sim_worker.runs.get(item.task)
        if run is None or run.attempt != item.attempt:
            return
        task = self._task_state.tasks[item.task]
        if item.action is Action.STOP:
            self._counts["stopped"] += 1
            self._kill(task, "stopped")
        elif item.action is Action.CHECKPOINT:
            self._counts["checkpointed"] += 1
            delay_ms = run.sim_task.memory_mb / CHECKPOINT_MB_PER_MS
            self._schedule(self._now_ms + delay_ms, self._kill, task, "stopped", True)
        else:
            sim_worker.advance(self._now_ms)
            run.throttled = item.action is Action.THROTTLE
            self._counts["throttled"] += run.throttled
            self._reschedule(sim_worker)

    def _results(self, until_ms):
        for sim_worker in self._sim_workers.values():
            sim_worker.advance(until_ms)
        cores = sum(item.cores for item in self._workers)
        used_core_s = sum(
            sim_worker.used_core_s for sim_worker in self._sim_workers.values()
        )
        unstarted_ms = [
            self._now_ms - sim_task.submitted_ms
            for sim_task in self._sim_tasks.values()
            if sim_task.spec.urgent
            and sim_task.started_ms is None
            and sim_task.spec.accelerators < 64
            and sim_task.spec.task in self._task_state.tasks
        ]
        delays_ms = sorted(self._urgent_delays_ms + unstarted_ms)
        return {
            **self._counts,
            "work_done_core_s": round(self._done_core_s),
            "work_killed_core_s": round(self._killed_core_s),
            "utilisation": round(used_core_s / (cores * until_ms / 1000), 3),
            "urgent": len(delays_ms),
            "urgent_not_started": len(unstarted_ms),
            "urgent_start_p50_s": round(delays_ms[len(delays_ms) // 2] / 1000, 2),
            "urgent_start_p99_s": round(
                delays_ms[int(len(delays_ms) * 0.99)] / 1000, 2
            ),
            "urgent_within_limit": round(
                sum(item <= URGENT_LIMIT_MS for item in delays_ms) / len(delays_ms), 4
            ),
        }
