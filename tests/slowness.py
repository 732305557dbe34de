"""Simulates a pool in which some executors are slow for a while; one scheduler runs it.

Time is simulated. Runs take the times of the users' load; orders, appends and reports
take none.
"""

import itertools
import math
import random

import attrs

from cardamomgrade.jobs.queues import Queue, QueueConfig, Service
from cardamomgrade.jobs.reports import ExecutorEntry, Outcome
from cardamomgrade.jobs.scheduler import Scheduler
from cardamomgrade.jobs.spec import JobSpec, parse_task, Step

STEP_MS = 20
TASKS = 8
CORES_M = 32_000
TASK_CORES_M = 4000
TASK_MS = 640
SPREAD = 0.1  # standard deviation of the logarithm of equal tasks' run times
LONG_FACTOR = 7
OBJECTIVE_MS = 1.6 * TASK_MS + 600
WALL_MS = 1_800_000_000_000
CONFIG = QueueConfig(
    1, (Queue("q", "h", "/q/", "s", stretch=1.6, target_ms=600),), (Service("s"),)
)


class NoSpeeds:
    """Takes the place of Speeds in a scheduler that knows of no slow executor."""

    def begin(self, *args):
        """Do nothing."""

    done = drop = forget = begin

    def holds(self, *args):
        """Return False: no task waits for another executor."""
        return False

    is_held = holds

    def update(self, *args):
        """Return no events."""
        return ()


@attrs.frozen
class Load:
    """A pool of equal executors and the jobs that it gets.

    ``slow`` executors, the first ones, work ``slow_factor`` times slower from
    ``slow_from_s`` to ``slow_until_s``, not at all if it is infinite. A run takes
    LONG_FACTOR times as long with probability ``long_runs``. ``sizes`` are factors of
    TASK_MS that jobs are chosen from.
    """

    executors: int = 30
    slow: int = 3
    slow_factor: float = 5.0
    slow_from_s: float = 2.0
    slow_until_s: float = 8.0
    long_runs: float = 0.03
    jobs_per_s: float = 15.0
    tasks: int = TASKS
    sizes: tuple = (1.0,)
    seed: int = 1


class SlowPool:
    """Runs a Load; ``wrong_ms`` is the time that sound executors counted as slow."""

    def __init__(self, load, speeds=True):
        self.load = load
        self.now_ms = 0.0
        self.scheduler = Scheduler(CONFIG)
        if not speeds:
            self.scheduler._speeds = NoSpeeds()
        self.names = [f"e{number}" for number in range(load.executors)]
        self.slow = set(self.names[: load.slow])
        for name in self.names:
            self.scheduler.put_executor(_entry(name))
        self.accepted = {}
        self.completed = {}
        self.starts = []
        self.wrong = set()
        self.wrong_ms = 0.0
        self.found_ms = {}
        self.begun_on_slow = 0
        self._job_random = random.Random(load.seed)
        self._run_random = random.Random(load.seed + 1)
        self._numbers = itertools.count()
        self._running = []
        self._due = 0.0

    def run(self, seconds):
        """Let ``seconds`` pass."""
        until_ms = self.now_ms + seconds * 1000
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            self._submit()
            self._end_runs()
            for start in self.scheduler.plan(self.now_ms, WALL_MS + self.now_ms):
                self._start(start)
            self._watch()

    def waits_ms(self, from_s, until_s):
        """Return the sorted times from acceptance to completion of some jobs, in ms."""
        return sorted(
            self.completed.get(job, math.inf) - at_ms
            for job, at_ms in self.accepted.items()
            if from_s * 1000 <= at_ms < until_s * 1000
        )

    def _submit(self):
        self._due += self.load.jobs_per_s * STEP_MS / 1000
        while self._due >= 1:
            self._due -= 1
            job = f"{next(self._numbers):016x}"
            size = self._job_random.choice(self.load.sizes)
            steps = (Step(self.load.tasks, TASK_CORES_M, 100, estimate_ms=TASK_MS),)
            self.accepted[job] = self.now_ms
            self.scheduler.add_job(
                JobSpec(job, "q", "s", f"{size}", WALL_MS + self.now_ms, steps),
                now_ms=self.now_ms,
            )

    def _start(self, start):
        self.starts.append((self.now_ms, start.executor, start.task, start.run))
        work_ms = (
            TASK_MS * float(start.text) * math.exp(self._run_random.gauss(0, SPREAD))
        )
        if self._run_random.random() < self.load.long_runs:
            work_ms *= LONG_FACTOR
        if start.executor in self.slow and self._is_slow():
            self.begun_on_slow += 1
        self._running.append([start, work_ms])

    def _is_slow(self):
        load = self.load
        return load.slow_from_s * 1000 <= self.now_ms < load.slow_until_s * 1000

    def _end_runs(self):
        is_slow, going = self._is_slow(), []
        for item in self._running:
            start, left_ms = item
            slow = is_slow and start.executor in self.slow
            item[1] = left_ms - STEP_MS / (self.load.slow_factor if slow else 1)
            if item[1] > 0:
                going.append(item)
                continue
            self.scheduler.end(
                start.executor, start.task, start.run, Outcome.DONE, "", self.now_ms
            )
            job = parse_task(start.task).job
            if self.scheduler.state_of(job).final:
                self.completed.setdefault(job, self.now_ms)
        self._running = going

    def _watch(self):
        for name, executor in self.scheduler.executors.items():
            if executor.slow and name in self.slow:
                self.found_ms.setdefault(name, self.now_ms)
            elif executor.slow:
                self.wrong.add(name)
                self.wrong_ms += STEP_MS


def _entry(name):
    return ExecutorEntry(
        name, "s", "127.0.0.1:1", "z", False, CORES_M, 256_000, 0, (), "r", 0
    )
