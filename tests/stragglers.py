"""Simulates a pool on which some runs, and all runs on some executors, are slow.

Time is simulated; runs the scheduler. Jobs arrive evenly and have two steps of 8 tasks.
Commands, reports and stops take LATENCY_MS.
"""

import heapq
import itertools
import random

import attrs

from cardamomgrade.jobs.queues import Queue, QueueConfig, Service
from cardamomgrade.jobs.reports import ExecutorEntry, Outcome
from cardamomgrade.jobs.scheduler import Scheduler
from cardamomgrade.jobs.spec import JobSpec, Step

ROUND_MS = 20
LATENCY_MS = 40
JITTER_MS = 60
TASKS = 8
TASK_CORES_M = 2000
STEP_MS = 700
SIZE_SIGMA = 0.4  # of the logarithm of the run time of a step, beside its queue's mean
NOISE = 0.15
SLOW_RUN_FRACTION = 0.03
SLOW_RUN_FACTOR = 7
SLOW_EXECUTOR_FACTOR = 5
EXECUTOR_CORES_M = 32_000
STRETCH = 1.6
TARGET_MS = 600
WALL_MS = 1_800_000_000_000
QUEUES = {"speculative": True, "plain": False}


@attrs.define
class Job:
    """A submitted job: arrival, objective and completion in ms, 0 while it runs."""

    queue: str
    arrived_ms: float
    objective_ms: float
    step_ms: tuple
    took_ms: float = 0.0


class StragglerPool:
    """A pool of ``executors``, the first ``slow`` of them slow, and its jobs."""

    def __init__(
        self, executors, slow, jobs_per_s, speculative=True, seed=1, noise=NOISE
    ):
        self.now_ms = 0.0
        self.jobs = {}
        self.core_s = self.lost_core_s = 0.0
        self.runs = {}
        self.copies = 0
        self.most_runs = dict.fromkeys(QUEUES, 0)
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._events = []
        self._speculative = speculative
        self._noise = noise
        self._gap_ms = 1000 / jobs_per_s
        queues = [
            Queue(name, "host", f"/{name}/", "s", stretch=STRETCH, target_ms=TARGET_MS)
            for name in QUEUES
        ]
        self.scheduler = Scheduler(QueueConfig(1, tuple(queues), (Service("s"),)))
        self._factors = {}
        for number in range(executors):
            name = f"e{number}"
            self._factors[name] = SLOW_EXECUTOR_FACTOR if number < slow else 1
            rack = f"r{number % 4}"
            self.scheduler.put_executor(
                ExecutorEntry(
                    name,
                    "s",
                    "127.0.0.1:1",
                    "z",
                    False,
                    EXECUTOR_CORES_M,
                    128_000,
                    0,
                    (),
                    rack,
                    0,
                )
            )

    def _at(self, time_ms, call, *args):
        heapq.heappush(self._events, (time_ms, next(self._numbers), call, args))

    def play(self, seconds):
        """Submit jobs for a time, then run on until all of them are completed."""
        arrivals = int(seconds * 1000 / self._gap_ms)
        for number in range(arrivals):
            self._at(number * self._gap_ms, self._arrive, number)
        while self._events or any(not job.took_ms for job in self.jobs.values()):
            self.now_ms += ROUND_MS
            while self._events and self._events[0][0] <= self.now_ms:
                _, _, call, args = heapq.heappop(self._events)
                call(*args)
            self._plan()
        return self

    def _arrive(self, number):
        queue = list(QUEUES)[number % 2]
        step_ms = tuple(
            STEP_MS * self._random.lognormvariate(0, SIZE_SIGMA) for _ in range(2)
        )
        speculative = self._speculative and QUEUES[queue]
        first = Step(TASKS, TASK_CORES_M, 500, speculative=speculative)
        name = f"{number:016x}"
        spec = JobSpec(
            name,
            queue,
            "s",
            "",
            WALL_MS + self.now_ms,
            (first, attrs.evolve(first, after=(0,))),
            max_attempts=3,
        )
        objective_ms = STRETCH * sum(step_ms) + TARGET_MS
        self.jobs[name] = Job(queue, self.now_ms, objective_ms, step_ms)
        self.scheduler.add_job(spec, now_ms=self.now_ms)

    def _plan(self):
        for start in self.scheduler.plan(self.now_ms, WALL_MS + self.now_ms):
            name, _, step, _ = start.task.split(".")
            job = self.jobs[name]
            noise = self._random.uniform(-self._noise, self._noise)
            run_ms = job.step_ms[int(step)] * (1 + noise)
            if self._random.random() < SLOW_RUN_FRACTION:
                run_ms *= SLOW_RUN_FACTOR
            run_ms *= self._factors[start.executor]
            key = start.executor, start.task, start.run
            begins_ms = self.now_ms + LATENCY_MS
            self.runs[key] = begins_ms
            self.copies += start.run > 1
            same = sum(task == start.task for _, task, _ in self.runs)
            self.most_runs[job.queue] = max(self.most_runs[job.queue], same)
            jitter_ms = self._random.uniform(0, JITTER_MS)
            done_ms = begins_ms + run_ms + jitter_ms + LATENCY_MS
            self._at(done_ms, self._end, key, Outcome.DONE)
        for stop in self.scheduler.take_stops():
            key = stop.executor, stop.task, stop.run
            self._at(self.now_ms + 2 * LATENCY_MS, self._end, key, Outcome.STOPPED)
        self.scheduler.take_dirty()

    def _end(self, key, outcome):
        begun_ms = self.runs.pop(key, None)
        if begun_ms is None:
            return
        executor, task, run = key
        core_s = (self.now_ms - begun_ms - LATENCY_MS) / 1000 * TASK_CORES_M / 1000
        self.core_s += max(0.0, core_s)
        counts = self.scheduler.end(executor, task, run, outcome, "", self.now_ms)
        if not counts:
            self.lost_core_s += max(0.0, core_s)
        name = task.split(".")[0]
        job, state = self.jobs[name], self.scheduler.state_of(name)
        if state is not None and state.final and not job.took_ms:
            job.took_ms = self.now_ms - job.arrived_ms

    def in_time(self, queue):
        """Return the fraction of a queue's jobs that met their objective."""
        jobs = [job for job in self.jobs.values() if job.queue == queue]
        return sum(job.took_ms <= job.objective_ms for job in jobs) / len(jobs)

    def percentile(self, queue, fraction):
        """Return a percentile of the time over the objective of a queue's jobs."""
        ratios = sorted(
            job.took_ms / job.objective_ms
            for job in self.jobs.values()
            if job.queue == queue
        )
        return ratios[int(fraction * (len(ratios) - 1))]
