"""Scheduler state: assigns tasks to executors and tracks their runs.

Performs no I/O and reads no clock; methods take the current time as an argument. Each
term (period of leadership) of a scheduler process has one instance. Each decision
changes the progress of a job first: ``take_dirty`` returns the records to store, and
the caller sends the orders of the same round only once those records are stored.

Load pattern: each queue in turn exceeds the capacity of its pool for some seconds.
``urgency`` defines the order of the jobs, ``placing`` selects the executors.
"""

from collections import Counter
from functools import partial

import attrs

from ..health import Health
from ..journal import log_event
from .copies import active_runs, place_copy
from .deferred import DeferredStores
from .demand import Demand, linear_growth, no_growth
from .durations import CallerEstimates, Durations
from .executors import Executor, LargestRoom
from .fairness import Shares
from .isolation import Isolation
from .lookahead import is_overloaded, LookAhead, NoLookAhead
from .losses import Loss, runs_alone, SETTLED_MS
from .mechanisms import ALL_ENABLED
from .needs import cores_for_all_at_once, cores_for_open_work, PoolNeeds
from .orphans import OrphanedRun, OrphanedRuns
from .placing import (
    choose_gang_executors,
    PlacementLimits,
    room_key_by_load,
    room_key_spread,
    StepPlacer,
)
from .probes import choose_probe, NoProbes, Probes
from .progress import JobProgress
from .quotas import CustomerUsage, Quota
from .ready import ready_job, ReadyJobs
from .records import encode, Phase, PREFIX_PROGRESS
from .reports import LossCause, Outcome, STATE_UP
from .scheduler_events import (
    CopyStarted,
    ExecutorAside,
    ExecutorSeen,
    JobChanged,
    RunLost,
    SuspicionEnded,
    TaskEnded,
    TaskGivenUp,
    TaskStarted,
)
from .spec import parse_task
from .speculation import choose_copies, choose_no_copies, Speculation
from .speeds import NoSpeeds, Speeds
from .stalls import count_executor_states, SERVICE_LINES_MAX, stall_event, StallWatch
from .suspects import SuspectExecutors
from .urgency import Forecast, HOPELESS_FACTOR, Rank, rank_of
from .waiting import ALL_STARTABLE

FAILURE_STREAK_JOBS = 2  # a healthy executor rarely fails two jobs' tasks in a row
QUARANTINE_MIN_MS = 4000  # each retry of a faulty executor costs one task
QUARANTINE_MAX_MS = 30_000
QUARANTINE_POOL_FRACTION = 0.5  # if more executors fail, the tasks are at fault
MS = 1000


@attrs.frozen
class Start:
    """Order for an executor to start a run; ``text`` is the job document."""

    executor: str
    task: str
    run: int
    text: str
    checkpoint: str
    ticket: str = ""


@attrs.frozen
class Stop:
    """Order for an executor to stop a run."""

    executor: str
    task: str
    run: int


class Scheduler:
    """Jobs, known executors, and the assignment of tasks to executors."""

    def __init__(self, cfg, switches=ALL_ENABLED):
        choose = switches.choose
        self.cfg = cfg
        self.jobs = {}
        self.executors = {}
        self._pools = {}
        self._ready = {}
        self._changed = {}
        self._dirty = {}
        self._logged_states = {}
        self._pending_stops = {}
        self.usage = CustomerUsage()
        self._quota = Quota(self.usage, cfg)
        self._orphans = OrphanedRuns(self.usage)
        self._services_to_plan = set()
        self._paused_until_ms = {}
        self._cordoned = frozenset()
        self._ending = frozenset()
        self._start_delays_ms = []
        self.durations = choose("learned-durations", Durations, CallerEstimates)()
        self._pool_needs = PoolNeeds(
            Demand(choose("growth", linear_growth, no_growth)),
            choose("open-work", cores_for_open_work, cores_for_all_at_once),
        )
        self._shares = Shares()
        self._shares.set_customers(cfg.customers)
        self._stalls = StallWatch()
        self._probes = choose("probes", Probes, NoProbes)()
        self._speeds = choose("speeds", Speeds, NoSpeeds)(self.durations)
        self._speculation = Speculation()
        self._choose_copies = choose("copies", choose_copies, choose_no_copies)
        self._room_key = choose("packing", room_key_by_load, room_key_spread)
        self.lookahead = choose("look-ahead", LookAhead, NoLookAhead)()
        self._isolation = Isolation()
        self._suspects = SuspectExecutors()
        self._deferred = DeferredStores()
        self._health = Health(
            FAILURE_STREAK_JOBS,
            QUARANTINE_MIN_MS,
            QUARANTINE_MAX_MS,
            QUARANTINE_POOL_FRACTION,
        )

    def set_config(self, cfg):
        """Apply a new version of the configuration and replan all services."""
        self.cfg = cfg
        self._shares.set_customers(cfg.customers)
        self._quota.set_config(cfg)
        self._services_to_plan.update(service.name for service in cfg.services)
        self._ready.clear()
        self._changed = {
            name: job for name, job in self.jobs.items() if not job.state.final
        }

    def service_of(self, spec):
        """Return the service that currently runs a job, by its queue if that exists."""
        queue = self.cfg.queue(spec.queue)
        return queue.service if queue is not None else spec.service

    def _max_attempts(self, spec):
        queue = self.cfg.queue(spec.queue)
        return queue.max_attempts if queue is not None else spec.max_attempts

    # Jobs

    def add_job(self, spec, record=None, now_ms=0.0):
        """Add a job, restoring its progress from a stored ProgressRecord if given."""
        if spec.job in self.jobs:
            return
        attempts = self._max_attempts(spec)
        if record is None:
            job = JobProgress(spec, attempts)
            job.open_due_occurrences(spec.accepted_ms)
        else:
            job = JobProgress.restore(spec, attempts, record)
        self.jobs[spec.job] = self._changed[spec.job] = job
        for task in job.placed():
            self._allocate(job, task)
        if job.tasks_alone():
            self._isolation.watch(spec.job)
        for task_name, executor in job.suspected():
            self._suspect(executor, task_name)
        self._services_to_plan.add(self.service_of(spec))
        self._stop_unwanted(job)
        is_demand = not job.state.final and not spec.lasting
        if not (is_demand or spec.customer):
            return
        service = self.service_of(spec)
        forecast = self._forecast(job, spec.accepted_ms)
        objective_ms, core_ms = forecast.objective_ms, forecast.core_ms
        if spec.customer:
            limit_ms = objective_ms * HOPELESS_FACTOR
            self._shares.add(spec, service, core_ms, limit_ms)
        if is_demand:
            expected_ms = self._duration_estimator(spec)
            core_ms *= self._quota.demand_share(spec, expected_ms, now_ms)
            self._pool_needs.demand.record_arrival(service, core_ms, now_ms)
            self._pool_needs.work.add(spec.job, service, core_ms, objective_ms)

    def _duration_estimator(self, spec):
        """Return a function mapping a step to the expected run time of a task."""

        return partial(self._expected_ms, spec)

    def _expected_ms(self, spec, step):
        return self.durations.expected_ms(spec.queue, step.estimate_ms)

    def _allocate(self, job, task):
        step, customer = job.spec.steps[task.id.step], job.spec.customer
        for run, name in active_runs(task):
            executor = self.executors.get(name)
            if executor is not None:
                executor.allocate(task.name, run, step, customer)
            else:
                orphan = OrphanedRun(run, step, customer)
                self._orphans.add(name, task.name, orphan)
        self._speculation.watch(job, task)

    def cancel(self, name):
        """Cancel a job and order its runs stopped."""
        job = self.jobs.get(name)
        if job is None or job.state.final:
            return
        job.cancelled = True
        self._mark_dirty(job)
        self._stop_all(job)

    def _mark_dirty(self, job):
        self._dirty[job.spec.job] = self._changed[job.spec.job] = job
        if job.state.final:
            self._pool_needs.work.drop(job.spec.job)
        self._log_state(job)

    def _log_state(self, job):
        state = job.state
        if state is not self._logged_states.get(job.spec.job):
            self._logged_states[job.spec.job] = state
            log_event(JobChanged(job.spec.job, job.spec.queue, state.name.lower()))

    def _stop_all(self, job):
        for task in job.placed():
            self.stop(task)

    def _stop_unwanted(self, job):
        """Stop the runs of a final job, and those of gangs that have lost a member."""
        final = job.state.final
        for task in job.placed():
            state = job.step_state(task.id)
            if final or (state.step.gang and state.waiting):
                self.stop(task)

    def stop(self, task):
        """Order the active runs of a task stopped."""
        name = task.name
        for run, executor in active_runs(task):
            self._pending_stops[name, run] = Stop(executor, name, run)

    def stop_run(self, task_name):
        """Order the current run of a task stopped, given the name of the task."""
        task_id = parse_task(task_name)
        job = self.jobs.get(task_id.job) if task_id is not None else None
        for task in job.placed() if job is not None else ():
            if task.id == task_id:
                self.stop(task)

    def take_dirty(self):
        """Return (key, value) records of the jobs changed since the last call."""
        dirty, self._dirty = self._dirty, {}
        for name in dirty:
            self._deferred.discard(name)
        return [
            (PREFIX_PROGRESS + name, encode(job.record()))
            for name, job in dirty.items()
        ]

    def take_start_delays(self):
        """Return the start delays, in ms, of jobs first started since the last call."""
        delays_ms, self._start_delays_ms = self._start_delays_ms, []
        return delays_ms

    def take_stops(self):
        """Return the Stop orders decided since the last call."""
        stops, self._pending_stops = self._pending_stops, {}
        return list(stops.values())

    def next_due_ms(self, wall_ms):
        """Open due occurrences; return the wall-clock ms of the next one, or 0."""
        times = []
        for job in self.jobs.values():
            if job.spec.repeat and not job.state.final:
                due = job.open_due_occurrences(wall_ms)
                if due:
                    times.append(due)
                if job.ready_steps():
                    self._changed[job.spec.job] = job
                    self._services_to_plan.add(self.service_of(job.spec))
        return min(times, default=0)

    # Executors

    def put_executor(self, entry):
        """Add or update an executor from its ExecutorEntry."""
        executor = self.executors.get(entry.executor)
        if executor is None:
            executor = self.executors[entry.executor] = Executor(entry, self.usage)
            executor.cordoned = entry.executor in self._cordoned
            executor.suspect = entry.executor in self._suspects
            self._orphans.adopt(executor)
            self._log_executor(entry)
        elif (executor.entry.draining, executor.listed) != (entry.draining, True):
            self._log_executor(entry)
        if executor.entry.service != entry.service:
            self._pools.get(executor.entry.service, {}).pop(entry.executor, None)
        executor.entry = entry
        executor.listed = True
        self._pools.setdefault(entry.service, {})[entry.executor] = executor
        self._services_to_plan.add(entry.service)

    def _log_executor(self, entry):
        state = "draining" if entry.draining else "ready"
        log_event(ExecutorSeen(entry.executor, entry.service, state))

    def unlist_executor(self, name):
        """Stop placing runs on an executor that the platform no longer lists."""
        executor = self.executors.get(name)
        if executor is None or not executor.listed:
            return
        executor.listed = False
        log_event(ExecutorSeen(name, executor.entry.service, "unlisted"))

    def forget_executor(self, name):
        """Remove an executor that is known to run nothing."""
        executor = self.executors.pop(name, None)
        self._speeds.forget(name)
        if executor is not None:
            self._pools[executor.entry.service].pop(name, None)
            for task, item in list(executor.allocations.items()):
                executor.release(task, item.run)

    def reset_executor(self, name):
        """Forget the pause and the failures of an executor that has started again."""
        self._paused_until_ms.pop(name, None)
        self._health.reopen(name)
        self._probes.forget(name)
        self._speeds.forget(name)

    def pool(self, service):
        """Return the executors of a service."""
        return list(self._pools.get(service, {}).values())

    def unregistered_executors(self):
        """Return the names of unregistered executors that runs are assigned to."""
        return self._orphans.executors()

    def has_runs(self, name):
        """Return whether runs are assigned to an executor, registered or not."""
        executor = self.executors.get(name)
        allocations = executor.allocations if executor is not None else ()
        return bool(allocations) or bool(self._orphans.runs_on(name))

    # Ends of runs

    def mark_runs_lapsed(
        self, name, now_ms, cause=LossCause.SILENT, received=None, born=0
    ):
        """Mark all runs of an executor that is known to run nothing as lapsed.

        ``cause``, ``received`` and ``born`` are those of ``lose_runs``.
        """
        self.lose_runs(name, self._runs_on(name), cause, now_ms, received, born)

    def _runs_on(self, name):
        executor = self.executors.get(name)
        allocations = executor.allocations if executor is not None else {}
        runs = {task: item.run for task, item in allocations.items()}
        return runs | self._orphans.runs_on(name)

    def lose_runs(self, name, runs, cause, now_ms, received=None, born=0):
        """Mark runs, by task, as lapsed since their executor was lost for a LossCause.

        An executor that drains, or that an order for its VM may have ended, has left.
        ``received`` are the runs, (task, run), whose orders may have arrived there,
        None for all; only those are lost with it. A run that has not begun there cannot
        be why it crashed, and does not count against its task. ``born`` is that of an
        executor that is not registered.
        """
        executor = self.executors.get(name)
        born = executor.entry.born if executor is not None else born
        is_draining = executor is not None and executor.entry.draining
        if cause is not LossCause.MISSING and (is_draining or name in self._ending):
            cause = LossCause.LEFT
        lost = set(self._runs_on(name).items())
        if received is not None:
            lost &= received
        finite = sum(not self._is_lasting(task) for task, _ in lost)
        for task, run in runs.items():
            loss = None
            if (task, run) in lost:
                begun = self._has_begun(task, run)
                beside = len(lost) - 1
                log_event(RunLost(task, run, name, cause.value, beside, begun))
                if begun and cause is not LossCause.LEFT:
                    loss = self._loss(task, run, cause, finite, now_ms, born)
            confirmed = cause is LossCause.MISSING
            self.end(name, task, run, Outcome.LAPSED, "", now_ms, confirmed, loss)

    def _has_begun(self, task_name, run):
        _, task = self._find_run(task_name, run)
        return task is not None and task.begun_run == run

    def record_begun(self, task_name, run, certain=True):
        """Record that a run has begun; return whether its job has to be stored at once.

        That is so for repeated runs: the loss of a single first one, if a scheduler is
        lost beside it, need not count. ``certain`` means that the executor said so.
        """
        task_id = parse_task(task_name)
        job = self.jobs.get(task_id.job) if task_id is not None else None
        if job is None:
            return False
        if certain and not job.begun:
            job.record_begun()
            self._deferred.add(job.spec.job)
            self._log_state(job)
        task = job.running_task(task_id, run)
        if task is None or task.begun_run == run:
            return False
        task.begun_run = run
        if run > 1:
            self._mark_dirty(job)
        return run > 1

    def clear_begun(self, task_name, run):
        """Take back that a run has begun."""
        _, task = self._find_run(task_name, run)
        if task is not None and task.begun_run == run:
            task.begun_run = 0

    def _is_lasting(self, task_name):
        task_id = parse_task(task_name)
        job = self.jobs.get(task_id.job) if task_id is not None else None
        return job is not None and job.spec.steps[task_id.step].lasting

    def _loss(self, task_name, run, cause, finite, now_ms, born):
        """Return the Loss of a run from an executor with so many ``finite`` runs."""
        job, task = self._find_run(task_name, run)
        if task is None:
            return None
        step = job.spec.steps[task.id.step]
        others = finite - (not step.lasting)
        age_ms = now_ms - task.placed_ms if task.placed_ms else 0.0
        return Loss(
            crashed=cause is not LossCause.SILENT,
            alone=step.gang or not others,
            settled=step.lasting and age_ms >= SETTLED_MS,
            born=born,
        )

    def _suspect(self, name, task_name):
        self._suspects.add(name, task_name)
        if name in self.executors:
            self.executors[name].suspect = True

    def acquit(self, name):
        """Drop the Suspicions against an executor that answers, or that was ended."""
        if name in self._suspects:
            self._judge(name, lambda job, task_id: job.acquit(task_id, name))

    def convict(self, name, born=0):
        """Count the Suspicions against an executor whose incarnation is over.

        With ``born``, that of a later one, they stay if they may be against that one.
        An incarnation that drained, or that an order for its VM may have ended, has not
        crashed.
        """
        if name not in self._suspects:
            return
        executor = self.executors.get(name)
        if name in self._ending or (executor is not None and executor.entry.draining):
            self.acquit(name)
        else:
            self._judge(name, lambda job, task_id: job.convict(task_id, name, born))

    def _judge(self, name, apply):
        names = self._suspects.tasks(name)
        self._suspects.discard(name)
        if name in self.executors:
            self.executors[name].suspect = False
        for task_name in names:
            task_id = parse_task(task_name)
            job = self.jobs.get(task_id.job)
            if job is None or job.state.final:
                continue
            if (task_name, name) not in job.suspected():
                continue
            task = apply(job, task_id)
            if (task_name, name) in job.suspected():
                self._suspect(name, task_name)
                continue
            losses = task.losses if task is not None else 0
            log_event(SuspicionEnded(task_name, name, task is not None, losses))
            self._services_to_plan.add(self.service_of(job.spec))
            self._changed[job.spec.job] = job
            if task is not None:
                self._watch_losses(job, task, name)
                self._mark_dirty(job)
            if job.state.final:
                self._isolation.forget(job.spec.job)
                self._stop_all(job)

    def judge_suspects(self, listed):
        """Count the Suspicions against executors that are on no VM that is up.

        ``listed`` is the platform's list of ListedVm.
        """
        up = {item.executor for item in listed if item.state == STATE_UP}
        if up - {""}:
            for name in self._suspects.find_ended(up):
                self.convict(name)

    def end(
        self,
        name,
        task_name,
        run,
        outcome,
        checkpoint,
        now_ms,
        confirmed=True,
        loss=None,
    ):
        """Record the end of a run; return whether it was applied to its task.

        It is not applied if the task is unknown or started again since, or if an end of
        the run was confirmed before. ``confirmed`` means that the end is known from the
        executor itself. An executor that was unreachable may report, after its runs
        were marked lapsed, that one of them had ended before: its task then need not
        start again. ``loss`` is the Loss of a run that was lost with its executor.
        """
        if outcome is Outcome.DONE:
            self._speeds.done(task_name, run, now_ms)
        self._speeds.drop(task_name, run)
        executor = self.executors.get(name)
        was_probe = False
        if executor is not None and executor.release(task_name, run):
            self._services_to_plan.add(executor.entry.service)
            was_probe = self._probes.end(name, task_name, run)
            if was_probe and outcome is Outcome.DONE:
                self._health.reopen(name)
        self._orphans.release(name, task_name, run)
        job, task = self._find_run(task_name, run, name)
        task_id = parse_task(task_name)
        if job is not None and confirmed and loss is None:
            job.acquit(task_id, name, run)
        if task is None and job is not None:
            task = job.lapsed_task(task_id, run, name)
            if task is None and outcome is Outcome.DONE:
                task = job.adopt_done_run(task_id, run, name)
        if task is None or task.executor != name:
            return False
        log_event(TaskEnded(job.spec.job, task_name, run, name, outcome.value))
        if outcome is Outcome.DONE and task.phase is Phase.PLACED and task.placed_ms:
            step = job.spec.steps[task.id.step]
            duration_ms = now_ms - task.placed_ms
            self.durations.observe(job.spec.queue, step.estimate_ms, duration_ms)
            job.step_state(task.id).observe(duration_ms)
            task.run_ms = duration_ms
        job.end(task, outcome, checkpoint, confirmed, loss)
        self._record_health(executor, task, outcome, now_ms, was_probe)
        if loss is not None:
            self._watch_losses(job, task, name)
            if any(item.executor == name for item in task.suspicions):
                self._suspect(name, task_name)
        if task.phase is Phase.DONE:
            step = job.spec.steps[task.id.step]
            core_ms = step.reserved_cores_m * self._expected_ms(job.spec, step) / MS
            self._pool_needs.work.finish(job.spec.job, core_ms)
        self._mark_dirty(job)
        self._services_to_plan.add(self.service_of(job.spec))
        if job.state.final:
            self._isolation.forget(job.spec.job)
            self._stop_all(job)
        elif job.spec.steps[task.id.step].gang:
            self._stop_gang(job, task)
        elif task.phase is Phase.DONE:
            self.stop(task)
        return True

    def _watch_losses(self, job, task, executor):
        if task.phase is Phase.EXHAUSTED:
            log_event(TaskGivenUp(task.name, executor, task.losses))
        elif runs_alone(task, job.spec.steps[task.id.step]):
            self._isolation.watch(job.spec.job)

    def _stop_gang(self, job, ended):
        for task in job.placed():
            if (task.id.occurrence, task.id.step) == (
                ended.id.occurrence,
                ended.id.step,
            ):
                self.stop(task)

    def _record_health(self, executor, task, outcome, now_ms, was_probe):
        if executor is None:
            return
        if outcome is Outcome.DONE:
            self._health.succeeded(executor.name)
        elif outcome is Outcome.FAILED:
            service = executor.entry.service
            until_ms = self._health.failed(
                executor.name,
                service,
                task.id.job,
                len(self._pools.get(service, ())),
                now_ms,
                renew=was_probe,
            )
            if self._health.is_quarantined(executor.name):
                self._probes.rest(executor.name, now_ms)
            if until_ms is not None:
                log_event(ExecutorAside(executor.name, service, int(until_ms - now_ms)))

    def _find_run(self, task_name, run, ended_on=""):
        task_id = parse_task(task_name)
        job = self.jobs.get(task_id.job) if task_id is not None else None
        if job is not None and ended_on:
            job.select_ended(task_id, run, ended_on)
        task = job.running_task(task_id, run) if job is not None else None
        return job, task

    def is_valid_start(self, start):
        """Return whether a stored Start order is still valid.

        It is not if the executor's capacity has shrunk below its allocations.
        """
        job, task = self._find_run(start.task, start.run)
        executor = self.executors.get(start.executor)
        if executor is None or executor.overcommitted:
            return False
        return task is not None and not job.state.final

    def is_inherited(self, task_name, run):
        """Return whether an earlier scheduler placed the current run of a task."""
        _, task = self._find_run(task_name, run)
        return task is not None and not task.placed_ms

    def is_job_final(self, task_name):
        """Return whether the job of a task is known and in a final state."""
        task_id = parse_task(task_name)
        job = self.jobs.get(task_id.job) if task_id is not None else None
        return job is not None and job.state.final

    def withdraw(self, name, task_name, run):
        """Cancel the placement of a run that the executor can no longer begin."""
        self._speeds.drop(task_name, run)
        executor = self.executors.get(name)
        if executor is not None and executor.release(task_name, run):
            self._services_to_plan.add(executor.entry.service)
            self._probes.end(name, task_name, run)
        self._orphans.release(name, task_name, run)
        job, task = self._find_run(task_name, run, name)
        if task is not None and task.executor == name:
            job.withdraw(task)
            self._mark_dirty(job)
            self._services_to_plan.add(self.service_of(job.spec))
            if task.phase is Phase.EXHAUSTED:
                self._stop_all(job)
            elif job.spec.steps[task.id.step].gang:
                self._stop_gang(job, task)

    # Placement

    def pause_executor(self, name, until_ms):
        """Place no runs on an executor until ``until_ms`` of the monotonic clock."""
        self._paused_until_ms[name] = until_ms

    def replan_executor(self, name):
        """Plan the service of an executor that accepts runs again."""
        executor = self.executors.get(name)
        if executor is not None:
            self._services_to_plan.add(executor.entry.service)

    def cordon(self, names, ending=()):
        """Close exactly the executors in ``names`` to new runs, and open the others.

        Orders for their VMs may have ended those in ``ending``.
        """
        self._cordoned = frozenset(names)
        self._ending = frozenset(ending)
        for name, executor in self.executors.items():
            if executor.cordoned != (name in names):
                executor.cordoned = name in names
                self._services_to_plan.add(executor.entry.service)

    def plan(self, now_ms, wall_ms):
        """Place waiting tasks; return the Start orders to store and send.

        ``now_ms`` is a monotonic time, ``wall_ms`` is ms since the Unix epoch.
        """
        expired = [
            name
            for name, until_ms in self._paused_until_ms.items()
            if until_ms <= now_ms
        ]
        for name in expired:
            del self._paused_until_ms[name]
            self.replan_executor(name)
        self._services_to_plan.update(self.lookahead.due(now_ms))
        self._services_to_plan.update(self._isolation.due(now_ms))
        for name in (*self._health.due(now_ms), *self._probes.rested(now_ms)):
            self.replan_executor(name)
        for item in self._speeds.update(self.executors, self._pools, now_ms):
            log_event(item)
        for name in self._deferred.due(now_ms):
            self._mark_dirty(self.jobs[name])
        changed, self._changed = self._changed, {}
        for job in changed.values():
            self._evaluate(job, wall_ms)
        starts = []
        services = self._services_to_plan | self._quota.begin_round(now_ms)
        self._services_to_plan = set()
        for service in services:
            starts.extend(self._plan_service(service, now_ms, wall_ms))
        starts.extend(self._place_copies(now_ms, wall_ms))
        return starts

    def _evaluate(self, job, wall_ms):
        """Put a job in its place among those with tasks that may start, if any."""
        self._changed.pop(job.spec.job, None)
        job.open_due_occurrences(wall_ms)
        ready = self._ready.setdefault(self.service_of(job.spec), ReadyJobs())
        steps = job.ready_steps()
        if not steps or job.state.final:
            ready.discard(job.spec.job)
            return
        queue = self.cfg.queue(job.spec.queue)
        priority = queue.priority if queue is not None else 0
        forecast = self._forecast(job, wall_ms)
        if forecast.tag and not job.begun and rank_of(forecast) >= Rank.LATE:
            self._shares.on_late(job.spec.job, self.service_of(job.spec))
        ready.put(ready_job(job, steps, forecast, priority, wall_ms))

    def _plan_service(self, service, now_ms, wall_ms):
        ready = self._ready.setdefault(service, ReadyJobs())
        for name in ready.expired(wall_ms):
            self._evaluate(self.jobs[name], wall_ms)
        starts = self._place_alone(service, ready, now_ms)
        executors = self._usable_executors(service)
        ahead = self.lookahead.begin_round(service, ready, executors, now_ms)
        room_key = self._room_key(is_overloaded(ready, executors))
        least_cores_m = ready.least_cores_m()

        def with_room():
            return [item for item in executors if item.free_cores_m >= least_cores_m]

        roomy = with_room()
        room = LargestRoom.of(roomy)
        blocked_vms = self._isolation.count(service)
        for item in ready:
            job, was_placed, count = item.job, item.job.placed_once, len(starts)
            customer = job.spec.customer
            for step in item.steps:
                if not room.may_fit(step.step):
                    continue
                if not self._quota.may_start(customer, step, service):
                    continue
                expected_ms = self._expected_ms(job.spec, step.step)
                gate = ahead and ahead.gate(item, step, expected_ms)
                if step.step.gang:
                    usable = [x for x in executors if gate is None or gate.allows(x)]
                    starts.extend(self._place_gang(job, step, usable, now_ms))
                else:
                    limits = PlacementLimits(step)
                    spread = PlacementLimits(step, executors)
                    placer = StepPlacer(
                        roomy, step.step, limits, spread, gate, room_key
                    )
                    starts.extend(self._place_tasks(job, step, placer, now_ms))
                if (step.is_restricted and not self._speeds.is_held(step)) and any(
                    item.fits(step.step) for item in executors
                ):
                    startable = self._quota.startable(customer, step)
                    blocked_vms += -(-startable // (step.step.per_executor or 1))
            if len(starts) > count:
                roomy = with_room()
                room = LargestRoom.of(roomy)
                self._evaluate(job, wall_ms)
                if not was_placed:
                    self._shares.on_begun(job.spec.job, service, wall_ms)
                    age_ms = wall_ms - job.spec.accepted_ms
                    self._start_delays_ms.append(max(0.0, age_ms))
        if any(item.slow for item in executors):
            self._services_to_plan.add(service)  # tasks may wait for the others
        self._pool_needs.record_waiting(service, ready, blocked_vms)
        starts.extend(self._place_probes(service, ready, executors, now_ms))
        return starts

    def _usable_executors(self, service):
        return [
            item
            for item in self._open_executors(service)
            if not self.is_held(item.name)
        ]

    def _open_executors(self, service):
        return [
            item
            for item in self.pool(service)
            if item.open
            and not self._health.is_quarantined(item.name)
            and item.name not in self._paused_until_ms
        ]

    def _place_alone(self, service, ready, now_ms):
        """Place tasks that run alone; hold executors for those that find none idle."""
        if not self._isolation.active:
            return []
        waiting = self._isolation.waiting(ready)
        usable = self._open_executors(service)
        self._isolation.release(service, self.executors, usable, bool(waiting))
        size = len(self.pool(service))
        starts = []
        for job, state, task in waiting:
            if not self._quota.may_start(job.spec.customer, state, service):
                continue
            executor = self._isolation.choose(service, state, usable, size)
            if executor is None:
                continue
            run = job.place(task, executor.name)
            self._mark_dirty(job)
            starts.append(self._start(job, task, run, executor, now_ms))
            lasting = state.step.lasting
            self._isolation.begin(service, executor, task.name, run, lasting, now_ms)
        return starts

    def _place_copies(self, now_ms, wall_ms):
        """Place copies of overdue runs where no waiting task wants the room."""
        by_service = {}
        for late in self._speculation.check(now_ms, self._expected_ms, self.stop):
            by_service.setdefault(self.service_of(late.job.spec), []).append(late)
        starts = []
        for service, overdue in by_service.items():
            ready = self._ready.get(service, ())
            usable = self._usable_executors(service)
            chosen = self._choose_copies(overdue, ready, usable, self.executors)
            for late, executor in chosen:
                job, task = late.job, late.task
                if rank_of(self._forecast(job, wall_ms)) >= Rank.EXCESS:
                    continue
                if not self._quota.allows(job.spec.customer, late.state.step):
                    continue
                run = place_copy(task, executor.name)
                self._mark_dirty(job)
                figures = int(late.age_ms), int(late.expected_ms)
                log_event(CopyStarted(task.name, run, executor.name, *figures))
                starts.append(self._start(job, task, run, executor, now_ms))
        return starts

    def _place_probes(self, service, ready, executors, now_ms):
        """Place tasks that the open ``executors`` do not take on quarantined ones."""
        quarantined = [
            item
            for item in self.pool(service)
            if item.open
            and self._health.is_quarantined(item.name)
            and item.name not in self._paused_until_ms
            and self._probes.may_begin(item)
        ]
        if not quarantined:
            return []
        waiting = [
            (item.job, step) for item in ready for step in item.steps if step.waiting
        ]

        def startable():
            for job, step in waiting:
                if self._quota.may_start(job.spec.customer, step, service):
                    yield job, step

        starts, unused = [], []
        for executor in quarantined:
            found = choose_probe(executor, startable())
            if found is None:
                unused.append(executor)
                continue
            job, task = found
            run = job.place(task, executor.name)
            self._mark_dirty(job)
            starts.append(self._start(job, task, run, executor, now_ms))
        for job, step in waiting:
            for count in range(1, len(unused) + 1 if step.step.gang else 0):
                usable = executors + unused[:count]
                gang_starts = self._place_gang(job, step, usable, now_ms)
                if gang_starts:
                    starts.extend(gang_starts)
                    unused = unused[count:]
                    break
        names = {item.name for item in quarantined}
        for start in starts:
            if start.executor in names:
                self._probes.begin(start.executor, start.task, start.run)
        if starts:
            # A lasting task leaves its executor free for another probe.
            self._services_to_plan.add(service)
        return starts

    def _forecast(self, job, wall_ms):
        queue = self.cfg.queue(job.spec.queue)
        stretch = queue.stretch if queue is not None else 1.0
        target_ms = queue.target_ms if queue is not None else 0
        expected_ms = self._duration_estimator(job.spec)
        return Forecast(
            age_ms=wall_ms - job.spec.accepted_ms,
            remaining_ms=job.critical_path_ms(expected_ms, unfinished_only=True),
            objective_ms=stretch * job.critical_path_ms(expected_ms) + target_ms,
            core_ms=job.core_ms(expected_ms),
            begun=job.placed_once,
            lasting=job.spec.lasting,
            shares=self.cfg.customers is not None,
            excess=self._shares.is_excess(job.spec.job),
            tag=self._shares.tag(job.spec.job),
        )

    def share_waits_ms(self, wall_ms):
        """Return a dict of (service, customer) to its wait for its share, above 0."""
        return self._shares.waits_ms(wall_ms)

    def log_stalls(self, now_ms):
        """Log the jobs that stand still, at most SERVICE_LINES_MAX of a service."""
        lines = Counter()
        for item, for_ms in self._stalls.check(
            self.jobs.values(), self.executors, now_ms
        ):
            service = self.service_of(item.job.spec)
            lines[service] += 1
            if lines[service] <= SERVICE_LINES_MAX:
                states = count_executor_states(
                    item.step_state,
                    self.pool(service),
                    PlacementLimits(item.step_state),
                    self._reason_aside,
                )
                customer = item.job.spec.customer
                if item.waiting and not self._quota.startable(
                    customer, item.step_state
                ):
                    states = Counter({"customer-limit": states.total()})
                log_event(stall_event(item, for_ms, service, states))

    def is_held(self, name):
        """Return whether an executor is kept free for a task that runs alone."""
        return self._isolation.holds(name)

    def _reason_aside(self, name):
        if self._health.is_quarantined(name):
            return "quarantined"
        if self.is_held(name):
            return "held"
        return "paused" if name in self._paused_until_ms else ""

    def pool_loads(self, now_ms, closed=()):
        """Return a dict of service name to PoolLoad.

        ``closed`` names the executors that are closed because their VMs are to move.
        """
        loads = {}
        startable = self._quota.startable_shares(self._ready)
        for service in self.cfg.services:
            pool = self.pool(service.name)
            quarantined = {
                item.name for item in pool if self._health.is_quarantined(item.name)
            }
            loads[service.name] = self._pool_needs.load(
                service,
                pool,
                now_ms,
                quarantined,
                closed,
                startable.get(service.name, ALL_STARTABLE),
            )
        return loads

    def _place_tasks(self, job, step, placer, now_ms):
        service = self.service_of(job.spec)
        starts = []
        for task in step.tasks:
            if task.phase is not Phase.WAITING or runs_alone(task, step.step):
                continue
            if not self._quota.may_start(job.spec.customer, step, service):
                break
            executor = placer.choose(task.failed_on)
            if executor is None:
                break
            if executor.slow and self._speeds.holds(
                self.pool(executor.entry.service), job, step, now_ms
            ):
                break
            run = job.place(task, executor.name)
            starts.append(self._start(job, task, run, executor, now_ms))
        if starts:
            self._mark_dirty(job)
        return starts

    def _place_gang(self, job, step, executors, now_ms):
        service = self.service_of(job.spec)
        if not self._quota.may_start(job.spec.customer, step, service):
            return []
        chosen = choose_gang_executors(executors, step.step, PlacementLimits(step))
        if chosen is None:
            return []
        job.place_gang(step, [item.name for item in chosen])
        newest = max((task.checkpoint for task in step.tasks), default="")
        for task in step.tasks:
            task.checkpoint = newest
        self._mark_dirty(job)
        return [
            self._start(job, task, task.run, executor, now_ms)
            for task, executor in zip(step.tasks, chosen, strict=True)
        ]

    def _start(self, job, task, run, executor, now_ms):
        name = task.name
        task.placed_ms = now_ms
        step = job.spec.steps[task.id.step]
        ends_ms = now_ms + self._expected_ms(job.spec, step)
        executor.allocate(name, run, step, job.spec.customer, ends_ms)
        self._speeds.begin(executor.name, job, task, now_ms)
        self._speculation.watch(job, task)
        free = executor.entry.cores_m - executor.cores_m
        log_event(
            TaskStarted(job.spec.job, name, run, executor.name, job.spec.queue, free)
        )
        return Start(executor.name, name, run, job.spec.text, task.checkpoint)

    def finished(self):
        """Return the names of jobs in a final state."""
        return [name for name, job in self.jobs.items() if job.state.final]

    def forget_job(self, name):
        """Remove a job in a final state, unless a run of it may go on.

        Returns whether it is removed; its records can be deleted then.
        """
        job = self.jobs.get(name)
        if job is None or not job.state.final or job.placed():
            return False
        del self.jobs[name]
        self._isolation.forget(name)
        self._shares.forget(name)
        self._deferred.discard(name)
        self._dirty.pop(name, None)
        self._changed.pop(name, None)
        for ready in self._ready.values():
            ready.discard(name)
        self._logged_states.pop(name, None)
        return True

    def state_of(self, name):
        """Return the JobState of a job, or None for an unknown job."""
        job = self.jobs.get(name)
        return job.state if job is not None else None
