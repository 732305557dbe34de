"""Simulates workers that start what they are given, for bench_placement.py.

Cores that are overcommitted slow all tasks of a worker alike; memory that is
overcommitted kills the youngest one. Records are read back one tick after they are
appended, and usage is reported late.
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
REPORT_MS = 10_000
REPORT_LAG_MS = 10_000
RENEW_MS = 150_000
RUN_MEAN_S = 40
CORES_MEAN = 2.0
MEMORY_MEDIAN_MB = 3000
CHECKPOINT_MB_PER_MS = 4
THROTTLED_SPEED = 0.25
BAD_TASK_SHARE = 0.03
HOPELESS_SHARE = 0.01
URGENT_SHARE = 0.02
BAD_WORKER_SHARE = 0.01
BAD_TASK_S = 5
BAD_WORKER_S = 2
CANCEL_WAVE_MS = 60_000
CANCEL_SHARE = 0.1
URGENT_LIMIT_MS = 2100


def task_spec(name, team, pool, cores, memory_mb, accelerators=0, urgent=False):
    """Return the TaskSubmitted of a task with its declared sizes."""
    return TaskSubmitted(
        name, team, pool, cores, memory_mb, accelerators, float(RUN_MEAN_S), urgent
    )


class Job:
    """What a task really needs; ``left_s`` is the run time that remains."""

    def __init__(self, spec, cores, memory_mb, run_s, bad):
        self.spec = spec
        self.cores = cores
        self.memory_mb = memory_mb
        self.run_s = self.left_s = run_s
        self.saved_s = run_s
        self.bad = bad
        self.started_ms = None
        self.lost = 0.0


class Run:
    """One attempt on a worker."""

    def __init__(self, job, attempt, start_ms):
        self.job = job
        self.attempt = attempt
        self.start_ms = start_ms
        self.throttled = False


class Machine:
    """One worker with its runs; its clock stands at ``at_ms``."""

    def __init__(self, worker, bad):
        self.worker = worker
        self.bad = bad
        self.runs = {}
        self.at_ms = 0
        self.version = 0
        self.used = 0.0

    def speed(self):
        """Return the share of full speed at which tasks run."""
        wanted = sum(
            run.job.cores * (THROTTLED_SPEED if run.throttled else 1)
            for run in self.runs.values()
        )
        return min(1.0, self.worker.cores / wanted) if wanted else 1.0

    def advance(self, now_ms):
        """Let the runs go on until ``now_ms``."""
        seconds, speed = (now_ms - self.at_ms) / 1000, self.speed()
        for run in self.runs.values():
            share = speed * (THROTTLED_SPEED if run.throttled else 1)
            run.job.left_s -= seconds * share
            self.used += seconds * share * run.job.cores
        self.at_ms = now_ms

    def next_end_ms(self):
        """Return when the first run ends if nothing changes, or None."""
        ends = []
        for run in self.runs.values():
            share = self.speed() * (THROTTLED_SPEED if run.throttled else 1)
            limit = run.job.left_s
            if self.bad:
                limit = min(limit, BAD_WORKER_S - run.job.saved_s + run.job.left_s)
            elif run.job.bad:
                limit = min(limit, BAD_TASK_S - run.job.saved_s + run.job.left_s)
            ends.append(self.at_ms + max(0.0, limit) / share * 1000)
        return min(ends, default=None)


class Simulation:
    """Drives one placer over a stream of tasks; all chance comes from the seed."""

    def __init__(self, workers, teams, load, seed, placer):
        self._rng = random.Random(seed)
        self._placer = placer
        self._log = []
        self._read = 0
        self._referee = TaskState()
        self._jobs = {}
        self._numbers = itertools.count()
        self._machines = {
            item.name: Machine(item, self._rng.random() < BAD_WORKER_SHARE)
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
        self._per_ms = load * capacity / (CORES_MEAN * RUN_MEAN_S * 1000)
        self._events = []
        self._order = itertools.count()
        self._now_ms = 0
        self._starts = []
        self._counts = dict.fromkeys(
            ("submitted", "done", "oom", "stopped", "checkpointed", "throttled"), 0
        )
        self._done_work = self._killed_work = 0.0
        self._refused_good = 0

    def _at(self, time_ms, call, *args):
        heapq.heappush(self._events, (time_ms, next(self._order), call, args))

    def run(self, until_ms):
        """Run until a simulated time and return the results."""
        self._at(0, self._arrive)
        self._at(CANCEL_WAVE_MS, self._cancel_wave)
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
        change = self._referee.fold(logged)
        if isinstance(record, TaskPlaced) and not isinstance(change, Refusal):
            self._at(self._now_ms + TICK_MS, self._start, record)

    def _tick(self):
        while self._read < len(self._log):
            self._placer.fold(self._log[self._read])
            self._read += 1
        decisions = self._placer.decide(self._now_ms)
        for item in getattr(decisions, "items", decisions):
            if isinstance(item, TaskCurbed):
                self._at(self._now_ms + TICK_MS, self._curb, item)
            elif hasattr(item, "record"):
                self._append(item.record)

    def _arrive(self):
        rng, number = self._rng, next(self._numbers)
        self._at(self._now_ms + rng.expovariate(self._per_ms), self._arrive)
        worker, team = rng.choice(self._workers), f"team{rng.randrange(self._teams)}"
        cores = min(8.0, 0.2 + rng.expovariate(1 / (CORES_MEAN - 0.2)))
        memory = min(30_000.0, MEMORY_MEDIAN_MB * rng.lognormvariate(0, 0.5))
        accelerators = 0
        if worker.pool in self._has_accelerators and rng.random() < 0.3:
            accelerators = rng.choice((1, 1, 1, 2, 4))
        if rng.random() < HOPELESS_SHARE:
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
            rng.random() < URGENT_SHARE,
        )
        run_s = rng.expovariate(1 / RUN_MEAN_S)
        bad = rng.random() < BAD_TASK_SHARE
        self._jobs[spec.task] = Job(spec, cores, memory, run_s, bad)
        self._counts["submitted"] += 1
        self._submitted(spec)

    def _submitted(self, spec):
        self._jobs[spec.task].submitted_ms = self._now_ms
        self._append(spec)

    def _cancel_wave(self):
        self._at(self._now_ms + CANCEL_WAVE_MS, self._cancel_wave)
        for name in list(self._referee.tasks):
            if self._rng.random() < CANCEL_SHARE:
                self._append(TaskCancelled(name))
                task = self._referee.tasks.get(name)
                if task is not None and task.live:
                    self._at(self._now_ms + TICK_MS, self._kill, task, "stopped")

    def _start(self, record):
        job = self._jobs[record.task]
        machine = self._machines[record.worker]
        machine.advance(self._now_ms)
        machine.runs[record.task] = Run(job, record.attempt, self._now_ms)
        job.left_s = job.saved_s
        if job.started_ms is None:
            job.started_ms = self._now_ms
            if job.spec.urgent:
                self._starts.append(self._now_ms - job.submitted_ms)
        self._at(self._now_ms + REPORT_MS, self._observe, machine, record)
        self._at(self._now_ms + RENEW_MS, self._renew, machine, record)
        self._changed(machine)

    def _is_running(self, machine, record):
        run = machine.runs.get(record.task)
        return run is not None and run.attempt == record.attempt

    def _observe(self, machine, record):
        if self._is_running(machine, record):
            job = self._jobs[record.task]
            usage = Usage(record.task, job.cores, job.memory_mb, int(self._now_ms))
            self._at(self._now_ms + REPORT_LAG_MS, self._placer.report, usage)
            self._at(self._now_ms + REPORT_MS, self._observe, machine, record)

    def _renew(self, machine, record):
        if self._is_running(machine, record):
            self._append(TaskRenewed(record.task, record.attempt, "w"))
            self._at(self._now_ms + RENEW_MS, self._renew, machine, record)

    def _changed(self, machine):
        """Kill what no longer fits in memory and plan the next end."""
        runs = machine.runs
        while sum(run.job.memory_mb for run in runs.values()) > (
            machine.worker.memory_mb
        ):
            youngest = max(runs.values(), key=lambda run: run.start_ms)
            self._counts["oom"] += 1
            self._finish(machine, youngest, "failed")
        machine.version += 1
        end_ms = machine.next_end_ms()
        if end_ms is not None:
            self._at(end_ms, self._ends, machine, machine.version)

    def _ends(self, machine, version):
        if version != machine.version:
            return
        machine.advance(self._now_ms)
        for run in list(machine.runs.values()):
            job, ran = run.job, run.job.saved_s - run.job.left_s
            limit = BAD_WORKER_S if machine.bad else BAD_TASK_S
            if (machine.bad or job.bad) and ran >= limit - 1e-6:
                self._finish(machine, run, "failed")
            elif job.left_s <= 1e-6:
                self._finish(machine, run, "done")
        self._changed(machine)

    def _finish(self, machine, run, outcome, keep=False):
        job = run.job
        del machine.runs[job.spec.task]
        if outcome == "done":
            self._counts["done"] += 1
            self._done_work += job.run_s * job.cores
        elif keep:
            job.saved_s = max(0.0, job.left_s)
        elif not job.bad:
            self._killed_work += (job.saved_s - job.left_s) * job.cores
        self._append(TaskEnded(job.spec.task, run.attempt, outcome, "w"))

    def _kill(self, task, outcome, keep=False):
        machine = self._machines[task.worker]
        run = machine.runs.get(task.spec.task)
        if run is not None and run.attempt == task.attempt:
            machine.advance(self._now_ms)
            self._finish(machine, run, outcome, keep)
            self._changed(machine)

    def _curb(self, item):
        machine = self._machines[item.worker]
        run = machine.runs.get(item.task)
        if run is None or run.attempt != item.attempt:
            return
        task = self._referee.tasks[item.task]
        if item.action is Action.STOP:
            self._counts["stopped"] += 1
            self._kill(task, "stopped")
        elif item.action is Action.CHECKPOINT:
            self._counts["checkpointed"] += 1
            delay_ms = run.job.memory_mb / CHECKPOINT_MB_PER_MS
            self._at(self._now_ms + delay_ms, self._kill, task, "stopped", True)
        else:
            machine.advance(self._now_ms)
            run.throttled = item.action is Action.THROTTLE
            self._counts["throttled"] += run.throttled
            self._changed(machine)

    def _results(self, until_ms):
        for machine in self._machines.values():
            machine.advance(until_ms)
        cores = sum(item.cores for item in self._workers)
        used = sum(machine.used for machine in self._machines.values())
        waits = [
            self._now_ms - job.submitted_ms
            for job in self._jobs.values()
            if job.spec.urgent
            and job.started_ms is None
            and job.spec.accelerators < 64
            and job.spec.task in self._referee.tasks
        ]
        starts = sorted(self._starts + waits)
        return {
            **self._counts,
            "work_done_core_s": round(self._done_work),
            "work_killed_core_s": round(self._killed_work),
            "utilisation": round(used / (cores * until_ms / 1000), 3),
            "urgent": len(starts),
            "urgent_not_started": len(waits),
            "urgent_start_p50_s": round(starts[len(starts) // 2] / 1000, 2),
            "urgent_start_p99_s": round(starts[int(len(starts) * 0.99)] / 1000, 2),
            "urgent_within_limit": round(
                sum(item <= URGENT_LIMIT_MS for item in starts) / len(starts), 4
            ),
        }
