"""Simulates a pool whose executors crash under some tasks; runs the scheduler.

Time is simulated; orders and appends take none. An executor that crashes is silent, and
another incarnation takes its place after ``back_ms``.
"""

import itertools
from heapq import heappop, heappush

from cardamomgrade.jobs.queues import Queue, QueueConfig, Service
from cardamomgrade.jobs.records import decode_progress, encode
from cardamomgrade.jobs.reports import (
    ExecutorEntry,
    ListedVm,
    LossCause,
    Outcome,
    STATE_UP,
)
from cardamomgrade.jobs.scheduler import Scheduler
from cardamomgrade.jobs.spec import JobSpec, parse_task, Step

STEP_MS = 20
TASK_MS = 1000
CRASH_MS = 10
BROKEN_MS = 100  # until the members of a gang end after one of them is lost
NOTICE_MS = 200  # until an executor that crashed counts as unreachable
LAPSE_MS = 4200
UNLISTED_MS = 4500  # three heartbeats
CORES_M = 8000
WALL_MS = 1_800_000_000_000
CONFIG = QueueConfig(
    1,
    (Queue("q", "h", "/q/", "s", max_attempts=3, stretch=2.0, target_ms=500),),
    (Service("s"),),
)


class CrashWorld:
    """A pool of one service; ``deadly`` are names of tasks that crash executors.

    With ``silent``, an executor under which one starts is cut off instead: its runs
    lapse, and it answers again when they have.
    """

    def __init__(self, executors, back_ms):
        self.now_ms = 0.0
        self.back_ms = back_ms
        self.silent = False
        self.scheduler = Scheduler(CONFIG)
        self.deadly = set()
        self.specs = {}
        self.starts = {}
        self.runs = {}
        self.down = set()
        self.lives = set()
        self.crashes = 0
        self.most_held = 0.0
        self._events = []
        self._numbers = itertools.count()
        self._lives = itertools.count()
        for _ in range(executors):
            self._join()

    def _join(self):
        name = f"e{next(self._lives)}"
        entry = ExecutorEntry(
            name, "s", "127.0.0.1:1", "z", False, CORES_M, 64_000, 0, ("a",), "r1", 0
        )
        self.scheduler.put_executor(entry)
        self.lives.add(name)

    def _listed(self):
        """Return the platform's list of VMs, with the incarnations not replaced yet."""
        return [ListedVm(f"m-{name}", "s", STATE_UP, name) for name in self.lives]

    def at(self, delay_ms, action):
        """Call ``action`` after ``delay_ms``."""
        heappush(self._events, (self.now_ms + delay_ms, next(self._numbers), action))

    def add(self, step, deadly=False):
        """Add a job of one step, whose first task is ``deadly``; return its name."""
        job = f"{next(self._numbers):016x}"
        wall_ms = WALL_MS + self.now_ms
        spec = JobSpec(job, "q", "s", "text", wall_ms, (step,), max_attempts=3)
        self.specs[job] = spec
        if deadly:
            self.deadly.add(f"{job}.0.0.0")
        self.scheduler.add_job(spec, now_ms=self.now_ms)
        return job

    def add_each(self, interval_ms, for_ms, step=None, deadly_nth=0):
        """Add a job each ``interval_ms``, every ``deadly_nth`` with a deadly task."""
        step = step or Step(6, cores_m=900, memory_mb=100)
        for number in range(int(for_ms / interval_ms)):
            deadly = bool(deadly_nth) and number % deadly_nth == deadly_nth - 1
            self.at(number * interval_ms, lambda bad=deadly: self.add(step, bad))

    def run_for(self, for_ms):
        """Simulate ``for_ms``."""
        until_ms = self.now_ms + for_ms
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            while self._events and self._events[0][0] <= self.now_ms:
                heappop(self._events)[2]()
            self.scheduler.judge_suspects(self._listed())
            for start in self.scheduler.plan(self.now_ms, WALL_MS + self.now_ms):
                self._begin(start)
                self._count_held(start)
            for stop in self.scheduler.take_stops():
                self._end(stop.executor, stop.task, stop.run, Outcome.STOPPED)

    def _count_held(self, start):
        """Note the fraction of executors held when a task is started alone."""
        usable = [x.name for x in self.scheduler.executors.values() if x.open]
        held = sum(self.scheduler.is_held(name) for name in usable)
        if self.scheduler.is_held(start.executor) and held > 1:
            self.most_held = max(self.most_held, held / len(usable))

    def _begin(self, start):
        self.starts[start.task] = self.starts.get(start.task, 0) + 1
        run = (start.executor, start.task, start.run)
        self.runs[run] = True
        if start.executor in self.down:
            return
        self.scheduler.record_begun(start.task, start.run)
        if start.task in self.deadly:
            self.at(CRASH_MS, lambda: self.crash(start.executor, run))
        spec = self.specs[parse_task(start.task).job]
        if spec.steps[0].gang and f"{spec.job}.0.0.0" in self.deadly:
            self.at(BROKEN_MS, lambda: self._end(*run, Outcome.BROKEN))
        elif not spec.lasting:
            self.at(TASK_MS, lambda: self._end(*run, Outcome.DONE))

    def _end(self, name, task, run, outcome):
        if name in self.down or not self.runs.pop((name, task, run), False):
            return
        self.scheduler.end(name, task, run, outcome, "", self.now_ms)

    def crash(self, name, run=None):
        """Crash an executor, unless it is down or the ``run`` there is over."""
        if name in self.down or (run is not None and run not in self.runs):
            return
        self.crashes += 1
        self.down.add(name)
        self.at(NOTICE_MS, lambda: self._set_unreachable(name, True))
        if self.silent:
            self.at(LAPSE_MS, lambda: self._return(name))
        else:
            self.at(self.back_ms, lambda: self._replace(name))

    def executor_of(self, task_name):
        """Return the executor of a task, which must be placed."""
        job = self.scheduler.jobs[parse_task(task_name).job]
        names = [item.executor for item in job.placed() if item.name == task_name]
        assert len(names) == 1, (task_name, job.state)
        return names[0]

    def cut(self, name, for_ms):
        """Cut an executor off; its runs go on until its lease lapses.

        It is unlisted after three heartbeats, and listed again when it is back.
        """
        entry = self.scheduler.executors[name].entry
        self.down.add(name)
        self.at(NOTICE_MS, lambda: self._set_unreachable(name, True))
        self.at(LAPSE_MS, lambda: self._lapse_cut(name, for_ms))
        self.at(UNLISTED_MS, lambda: self._unlist_cut(name))
        self.at(for_ms, lambda: self._heal(name, entry))

    def _lapse_cut(self, name, for_ms):
        if for_ms >= LAPSE_MS:
            self._drop_runs(name)
            self.scheduler.mark_runs_lapsed(name, self.now_ms)

    def _unlist_cut(self, name):
        if name in self.down:
            self.scheduler.forget_executor(name)

    def _heal(self, name, entry):
        self.down.discard(name)
        self.scheduler.put_executor(entry)
        self._set_unreachable(name, False)
        if self.scheduler.executors[name].suspect:
            self.scheduler.acquit(name)

    def _set_unreachable(self, name, value):
        executor = self.scheduler.executors.get(name)
        if executor is not None:
            executor.unreachable = value

    def _drop_runs(self, name):
        lost = [run for run in self.runs if run[0] == name]
        for run in lost:
            del self.runs[run]
        return lost

    def _replace(self, name):
        self._drop_runs(name)
        self.lives.discard(name)
        if name in self.scheduler.executors:
            self.scheduler.mark_runs_lapsed(name, self.now_ms, LossCause.CRASHED)
            self.scheduler.convict(name)
            self.scheduler.forget_executor(name)
        self._join()

    def _return(self, name):
        self.scheduler.mark_runs_lapsed(name, self.now_ms)
        self.down.discard(name)
        self._set_unreachable(name, False)
        self.scheduler.acquit(name)
        for _, task, run in self._drop_runs(name):
            self.scheduler.end(name, task, run, Outcome.LAPSED, "", self.now_ms)

    def crash_one(self):
        """Crash the executor that has the most runs."""
        names = [name for name, _, _ in self.runs if name not in self.down]
        if names:
            self.crash(max(names, key=names.count))

    def take_over(self):
        """Let another scheduler continue from the stored records.

        It knows the executors that are up; the runs on others lapse.
        """
        earlier = self.scheduler
        self.scheduler = Scheduler(CONFIG)
        for executor in earlier.executors.values():
            if executor.name not in self.down:
                self.scheduler.put_executor(executor.entry)
        for name, spec in self.specs.items():
            record = decode_progress(encode(earlier.jobs[name].record()))
            self.scheduler.add_job(spec, record, self.now_ms)
        lost = self.scheduler.unregistered_executors()
        self.at(LAPSE_MS, lambda: [self._lapse(name) for name in lost])

    def _lapse(self, name):
        self._drop_runs(name)
        self.scheduler.mark_runs_lapsed(name, self.now_ms)

    def deadly_jobs(self):
        """Return the names of the jobs with a task that crashes executors."""
        return {parse_task(task).job for task in self.deadly}

    def states(self, jobs):
        """Return the set of the states of ``jobs``."""
        return {self.scheduler.state_of(job) for job in jobs}
