"""Decides which tasks run where; pure state, time and inputs are arguments.

The scheduler of a term owns one instance. Every decision is written into the jobs'
progress first; ``take_dirty`` hands out the records to store, and the orders that
came with them may leave only once those records are stored.

Load pattern: every queue in turn asks more than its pool holds for some seconds. The
order of jobs is that of ``urgency``, the choice of executors that of ``placing``.
"""

import attrs

from ..health import Health
from ..journal import note
from .durations import Durations
from .executors import Executor
from .needs import PoolNeeds
from .placing import Bound, choose, choose_gang
from .progress import JobProgress
from .records import encode, Phase, PREFIX_PROGRESS
from .reports import Outcome
from .scheduler_events import (
    ExecutorAside,
    ExecutorSeen,
    JobChanged,
    TaskEnded,
    TaskStarted,
)
from .spec import parse_task
from .urgency import order_key, Outlook, Rank, rank_of

STREAK_LIMIT_TASKS = 2  # a sound executor rarely fails two different tasks in a row
ASIDE_MIN_MS = 4000  # a bad executor costs one task each time that it is tried again
ASIDE_MAX_MS = 30_000
ASIDE_SHARE = 0.5  # of a pool: more bad executors at once is a bad queue
MS = 1000


@attrs.frozen
class Start:
    """An order to start a run."""

    executor: str
    task: str
    run: int
    text: str
    checkpoint: str
    ticket: str = ""


@attrs.frozen
class Stop:
    """An order to stop a run."""

    executor: str
    task: str
    run: int


class Scheduler:
    """All jobs that are not over, all executors, and the decisions about them."""

    def __init__(self, cfg):
        self.cfg = cfg
        self.jobs = {}
        self.executors = {}
        self._pools = {}
        self._dirty = {}
        self._states = {}
        self._stops = {}
        self._lost_room = {}
        self._changed = set()
        self._resting = {}
        self._waits = []
        self.placed_here = set()
        self.durations = Durations()
        self._needs = PoolNeeds()
        self._health = Health(
            STREAK_LIMIT_TASKS, ASIDE_MIN_MS, ASIDE_MAX_MS, ASIDE_SHARE
        )

    def set_config(self, cfg):
        """Take a new version of the configuration."""
        self.cfg = cfg
        self._changed.update(service.name for service in cfg.services)

    def service_of(self, spec):
        """Return the service that runs a job now."""
        queue = self.cfg.queue(spec.queue)
        return queue.service if queue is not None else spec.service

    def _max_attempts(self, spec):
        queue = self.cfg.queue(spec.queue)
        return queue.max_attempts if queue is not None else spec.max_attempts

    # Jobs

    def add_job(self, spec, record=None, now_ms=0.0):
        """Take a job in, with its stored ProgressRecord if there is one."""
        if spec.job in self.jobs:
            return
        attempts = self._max_attempts(spec)
        if record is None:
            job = JobProgress(spec, attempts)
            job.open_due(spec.accepted_ms)
        else:
            job = JobProgress.restore(spec, attempts, record)
        self.jobs[spec.job] = job
        for task in job.placed():
            self._hold(job, task)
        self._changed.add(self.service_of(spec))
        if job.state.final:
            self._stop_all(job)
        elif not spec.lasting:
            work = job.work(self._expectation(spec))
            self._needs.demand.arrived(self.service_of(spec), work, now_ms)

    def _expectation(self, spec):
        """Return a function of a step that gives the run time of one of its tasks."""

        def expect(step):
            return self.durations.expect(spec.queue, step.estimate_ms)

        return expect

    def _hold(self, job, task):
        executor = self.executors.get(task.executor)
        step = job.spec.steps[task.id.step]
        if executor is not None:
            executor.hold(str(task.id), task.run, step)
        else:
            runs = self._lost_room.setdefault(task.executor, {})
            runs[str(task.id)] = (task.run, step)

    def cancel(self, name):
        """Cancel a job; its runs are stopped."""
        job = self.jobs.get(name)
        if job is None or job.state.final:
            return
        job.cancelled = True
        self._touch(job)
        self._stop_all(job)

    def _touch(self, job):
        self._dirty[job.spec.job] = job
        state = job.state
        if state is not self._states.get(job.spec.job):
            self._states[job.spec.job] = state
            note(JobChanged(job.spec.job, job.spec.queue, state.name.lower()))

    def _stop_all(self, job):
        for task in job.placed():
            self.stop(task)

    def stop(self, task):
        """Order that the run under way of a task is stopped."""
        name = str(task.id)
        self._stops[name, task.run] = Stop(task.executor, name, task.run)

    def stop_run(self, task_name):
        """Order that whatever run of a task is under way is stopped."""
        task_id = parse_task(task_name)
        job = self.jobs.get(task_id.job) if task_id is not None else None
        for task in job.placed() if job is not None else ():
            if task.id == task_id:
                self.stop(task)

    def take_dirty(self):
        """Return (key, value) of every job that changed since the last call."""
        dirty, self._dirty = self._dirty, {}
        return [
            (PREFIX_PROGRESS + name, encode(job.record()))
            for name, job in dirty.items()
        ]

    def take_waits(self):
        """Return how long, in ms, jobs waited that began since the last call."""
        waits, self._waits = self._waits, []
        return waits

    def take_stops(self):
        """Return the Stop orders decided since the last call."""
        stops, self._stops = self._stops, {}
        return list(stops.values())

    def next_due_ms(self, wall_ms):
        """Open due occurrences; return the wall clock of the next one, or 0."""
        times = []
        for job in self.jobs.values():
            if job.spec.repeat and not job.state.final:
                due = job.open_due(wall_ms)
                if due:
                    times.append(due)
                if job.ready_steps():
                    self._changed.add(self.service_of(job.spec))
        return min(times, default=0)

    # Executors

    def put_executor(self, entry):
        """Take in what an executor registered."""
        executor = self.executors.get(entry.executor)
        if executor is None:
            executor = self.executors[entry.executor] = Executor(entry)
            for name, (run, step) in self._lost_room.pop(entry.executor, {}).items():
                executor.hold(name, run, step)
            self._log_executor(entry)
        elif (executor.entry.draining, executor.listed) != (entry.draining, True):
            self._log_executor(entry)
        if executor.entry.service != entry.service:
            self._pools.get(executor.entry.service, {}).pop(entry.executor, None)
        executor.entry = entry
        executor.listed = True
        self._pools.setdefault(entry.service, {})[entry.executor] = executor
        self._changed.add(entry.service)

    def _log_executor(self, entry):
        state = "draining" if entry.draining else "ready"
        note(ExecutorSeen(entry.executor, entry.service, state))

    def unlist_executor(self, name):
        """Give an executor that left the platform's list no new runs."""
        executor = self.executors.get(name)
        if executor is None or not executor.listed:
            return
        executor.listed = False
        note(ExecutorSeen(name, executor.entry.service, "unlisted"))
        if not executor.holdings:
            self.forget_executor(name)

    def forget_executor(self, name):
        """Drop an executor that surely runs nothing any more."""
        executor = self.executors.pop(name, None)
        if executor is not None:
            self._pools[executor.entry.service].pop(name, None)

    def pool(self, service):
        """Return the executors of a service."""
        return list(self._pools.get(service, {}).values())

    def lost_executors(self):
        """Return the names of executors that hold runs and are not known."""
        return list(self._lost_room)

    # Ends of runs

    def lose_runs(self, name, now_ms):
        """Take the runs of an executor that surely runs nothing as lapsed."""
        executor = self.executors.get(name)
        held = executor.holdings if executor is not None else {}
        runs = {task: item.run for task, item in held.items()}
        runs.update(
            (task, run) for task, (run, _) in self._lost_room.pop(name, {}).items()
        )
        for task, run in runs.items():
            self.end(name, task, run, Outcome.LAPSED, "", now_ms, heard=False)

    def end(self, name, task_name, run, outcome, checkpoint, now_ms, heard=True):
        """Take note that a run ended; return whether that was news of its task.

        An executor that was out of reach may tell, after its runs were taken as
        lapsed, that one of them had ended before: its task need not start again.
        """
        executor = self.executors.get(name)
        holding = executor.holdings.get(task_name) if executor is not None else None
        if holding is not None and holding.run == run:
            executor.release(task_name)
            self._changed.add(executor.entry.service)
        job, task = self._find(task_name, run)
        if task is None and job is not None:
            task = job.given_up(parse_task(task_name), run, name)
        if task is None or task.executor != name:
            return False
        note(TaskEnded(job.spec.job, task_name, run, name, outcome.value))
        if outcome is Outcome.DONE and task.phase is Phase.PLACED and task.placed_ms:
            step = job.spec.steps[task.id.step]
            took_ms = now_ms - task.placed_ms
            self.durations.report(job.spec.queue, step.estimate_ms, took_ms)
        job.end(task, outcome, checkpoint, heard)
        self._judge(executor, task, outcome, now_ms)
        self._touch(job)
        self._changed.add(self.service_of(job.spec))
        if job.state.final:
            self._stop_all(job)
        elif job.spec.steps[task.id.step].gang:
            self._stop_gang(job, task)
        return True

    def _stop_gang(self, job, ended):
        for task in job.placed():
            if (task.id.occurrence, task.id.step) == (
                ended.id.occurrence,
                ended.id.step,
            ):
                self.stop(task)

    def _judge(self, executor, task, outcome, now_ms):
        if executor is None:
            return
        if outcome is Outcome.DONE:
            self._health.succeeded(executor.name)
        elif outcome is Outcome.FAILED:
            service = executor.entry.service
            until = self._health.failed(
                executor.name,
                service,
                task.id.job,
                len(self._pools.get(service, ())),
                now_ms,
            )
            if until is not None:
                note(ExecutorAside(executor.name, service, int(until - now_ms)))

    def _find(self, task_name, run):
        task_id = parse_task(task_name)
        job = self.jobs.get(task_id.job) if task_id is not None else None
        task = job.live(task_id, run) if job is not None else None
        return job, task

    def is_live(self, start):
        """Return whether a start that was stored is still wanted."""
        job, task = self._find(start.task, start.run)
        known = start.executor in self.executors
        return known and task is not None and not job.state.final

    def withdraw(self, name, task_name, run):
        """Take back a run that the executor surely did not and will not begin."""
        executor = self.executors.get(name)
        if executor is not None:
            executor.release(task_name)
            self._changed.add(executor.entry.service)
        job, task = self._find(task_name, run)
        if task is not None and task.executor == name:
            job.withdraw(task)
            self._touch(job)
            self._changed.add(self.service_of(job.spec))
            if job.spec.steps[task.id.step].gang:
                self._stop_gang(job, task)

    # Placement

    def set_aside(self, name, until_ms):
        """Place nothing on an executor until then."""
        self._resting[name] = until_ms

    def reopen(self, name):
        """Plan again for the service of an executor that can take runs again."""
        executor = self.executors.get(name)
        if executor is not None:
            self._changed.add(executor.entry.service)

    def cordon(self, names):
        """Close exactly these executors to new runs."""
        for name, executor in self.executors.items():
            if executor.cordoned != (name in names):
                executor.cordoned = name in names
                self._changed.add(executor.entry.service)

    def plan(self, now_ms, wall_ms):
        """Return the Start orders to store and send now.

        ``now_ms`` is of the monotonic clock, ``wall_ms`` of the time of day.
        """
        over = [name for name, until in self._resting.items() if until <= now_ms]
        for name in over:
            del self._resting[name]
            self.reopen(name)
        for name in self._health.due(now_ms):
            self.reopen(name)
        starts = []
        services, self._changed = self._changed, set()
        for service in services:
            starts.extend(self._plan_service(service, now_ms, wall_ms))
        return starts

    def _plan_service(self, service, now_ms, wall_ms):
        ready = []
        for job in self.jobs.values():
            if job.state.final or self.service_of(job.spec) != service:
                continue
            job.open_due(wall_ms)
            steps = job.ready_steps()
            if steps:
                outlook = self._outlook(job, wall_ms)
                ready.append((self._order(job, outlook), job, steps, outlook))
        executors = [
            item
            for item in self.pool(service)
            if item.open
            and not self._health.is_aside(item.name)
            and item.name not in self._resting
        ]
        ready.sort(key=lambda item: item[0])
        starts = []
        waiting_m = blocked_vms = 0
        for _, job, steps, outlook in ready:
            begun = job.begun
            for step in steps:
                place = self._place_gang if step.step.gang else self._place_tasks
                starts.extend(place(job, step, executors, now_ms))
                if rank_of(outlook) <= Rank.LATE:
                    waiting_m += step.waiting * step.step.counted_cores_m
                if step.waiting and any(item.fits(step.step) for item in executors):
                    blocked_vms += -(-step.waiting // (step.step.per_executor or 1))
            if job.begun and not begun:
                self._waits.append(max(0.0, outlook.age_ms))
        self._needs.planned(service, waiting_m, blocked_vms)
        return starts

    def _outlook(self, job, wall_ms):
        queue = self.cfg.queue(job.spec.queue)
        stretch = queue.stretch if queue is not None else 1.0
        target_ms = queue.target_ms if queue is not None else 0
        expect = self._expectation(job.spec)
        return Outlook(
            age_ms=wall_ms - job.spec.accepted_ms,
            left_ms=job.chain_ms(expect, undone_only=True),
            objective_ms=stretch * job.chain_ms(expect) + target_ms,
            work=job.work(expect),
            begun=job.begun,
            lasting=job.spec.lasting,
        )

    def _order(self, job, outlook):
        queue = self.cfg.queue(job.spec.queue)
        priority = queue.priority if queue is not None else 0
        return order_key(outlook, priority, (job.spec.accepted_ms, job.spec.job))

    def pool_loads(self, now_ms):
        """Return the PoolLoad of each service by name."""
        loads = {}
        for service in self.cfg.services:
            pool = self.pool(service.name)
            aside = {item.name for item in pool if self._health.is_aside(item.name)}
            loads[service.name] = self._needs.load(service, pool, now_ms, aside)
        return loads

    def _place_tasks(self, job, step, executors, now_ms):
        spread, bound = Bound(step, executors), Bound(step)
        starts = []
        for task in step.tasks:
            if task.phase is not Phase.WAITING:
                continue
            avoid = task.failed_on
            # one VM with two tasks is worse for its upkeep, but better than waiting
            executor = choose(executors, step.step, spread, avoid) or choose(
                executors, step.step, bound, avoid
            )
            if executor is None:
                break
            spread.add(executor.name)
            bound.add(executor.name)
            run = job.place(task, executor.name)
            starts.append(self._start(job, task, run, executor, now_ms))
        if starts:
            self._touch(job)
        return starts

    def _place_gang(self, job, step, executors, now_ms):
        chosen = choose_gang(executors, step.step, Bound(step))
        if chosen is None:
            return []
        job.place_gang(step, [item.name for item in chosen])
        newest = max((task.checkpoint for task in step.tasks), default="")
        for task in step.tasks:
            task.checkpoint = newest
        self._touch(job)
        return [
            self._start(job, task, task.run, executor, now_ms)
            for task, executor in zip(step.tasks, chosen, strict=True)
        ]

    def _start(self, job, task, run, executor, now_ms):
        name = str(task.id)
        task.placed_ms = now_ms
        if not executor.holdings:
            self.placed_here.add(executor.name)
        executor.hold(name, run, job.spec.steps[task.id.step])
        free = executor.entry.cores_m - executor.cores_m
        note(TaskStarted(job.spec.job, name, run, executor.name, job.spec.queue, free))
        return Start(executor.name, name, run, job.spec.text, task.checkpoint)

    def finished(self):
        """Return the names of jobs that are over."""
        return [name for name, job in self.jobs.items() if job.state.final]

    def forget_job(self, name):
        """Drop a job that is over and whose records were deleted."""
        job = self.jobs.get(name)
        if job is not None and job.state.final and not job.placed():
            del self.jobs[name]

    def state_of(self, name):
        """Return the JobState of a job, or None."""
        job = self.jobs.get(name)
        return job.state if job is not None else None
