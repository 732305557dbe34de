"""Runs the scheduler of one term: passes events in, stores and sends its decisions."""

import time

import attrs

from ..journal import event, log_event
from .agent import ExecutorAgent
from .availability import Availability
from .follow import TopicFollower
from .former import Incarnations
from .incarnations import Registrations
from .lease import lapse_bound_s, LEASE_MS
from .mechanisms import ALL_ENABLED
from .pace import Pacer
from .records import (
    encode,
    KEY_LEARNED,
    PREFIX_CANCEL,
    PREFIX_EXECUTOR,
    PREFIX_JOB,
    PREFIX_PROGRESS,
)
from .reports import LossCause, OrderResult
from .scheduler import Scheduler
from .silence import SilentExecutors
from .spec import parse_task
from .vms import VmManager
from .writer import Writer

PLAN_DELAY_S = 0.02  # decisions made within this time share one append
TICK_S = 0.15  # interval of checks for due occurrences and for ended backoffs
PAUSE_S = 1.0  # a longer time between two ticks is a pause of this process
DURATIONS_SAVE_INTERVAL_S = 2.0  # a new scheduler lacks at most the runs of this time
REFUSAL_BACKOFF_MS = 1000  # an executor that refused a start is retried after this
JOB_RETENTION_MARGIN_S = 30.0  # beyond status_ms, in which callers may query a job
STORED_EXECUTORS_S = 60.0  # an executor that is cut off registers again by then
EPOCH_SPREAD_S = 1.0  # until every executor has received the new epoch
MS = 1000


@event(612)
class PaceOrdered:
    """A fill task was ordered to run at ``percent`` of full speed.

    Fill tasks use the capacity that serving tasks on the same executor leave. The same
    pace is ordered again if the task works on although it was halted, and once an order
    without an answer can no longer be carried out.
    """

    task: str
    run: int
    executor: str
    percent: int


@event(619)
class RunsUnwatched:
    """An executor with runs was not asked about them for longer than a lease.

    It gets a new agent, which asks it.
    """

    executor: str
    runs: int


@attrs.frozen
class VmDependencies:
    """Objects of a term that the driver and its VmManager share."""

    scheduler: object
    writer: object
    availability: object
    switches: object = ALL_ENABLED


class Driver:
    """Runs one term of the scheduler.

    A term is the time for which one node schedules, under one epoch.
    ``on_deposed(why)`` is called once when another node takes over. ``switches`` are
    the Switches of mechanisms.
    """

    def __init__(
        self,
        loop,
        cfg,
        platform,
        term,
        view,
        queue_cfg,
        on_deposed,
        metrics,
        switches=ALL_ENABLED,
    ):
        self._loop = loop
        self._cfg = cfg
        self._platform = platform
        self._view = view
        self._on_deposed = on_deposed
        self._metrics = metrics
        self._epoch = term.epoch
        self._lease_ms = min(LEASE_MS, cfg.max_lease_ms)
        self._durations_saved_at = loop.now()
        self._started_at = loop.now()
        self._agents = {}
        self._idle_at = {}
        self._ticked_at = loop.now()
        self._end_numbers = {}
        self._plan_timer = None
        self._closed = False
        self._forget_at = {}
        self._pacer = Pacer()
        self._scheduler = Scheduler(queue_cfg, switches)
        self._jobs_topic = platform.jobs_topic()
        self._writer = Writer(loop, self._jobs_topic, term, self.depose, metrics)
        self._silences = SilentExecutors(loop, self._writer, view.silent)
        self._incarnations = Incarnations(
            loop.now(), view.known_executors, self._store_executor
        )
        self._registrations = Registrations(
            loop,
            platform.decode_executor,
            self._scheduler,
            self._agents,
            self._add_agent,
            self._incarnations,
        )
        settled_at = loop.now() + cfg.stop_ms / MS + EPOCH_SPREAD_S
        self._availability = Availability(self._step_state_of, settled_at)
        deps = VmDependencies(
            self._scheduler, self._writer, self._availability, switches
        )
        self._vms = VmManager(loop, cfg, platform, term, view, deps, self)
        self._executors = TopicFollower(
            loop,
            platform.executors_topic(),
            "executors",
            self._on_executor,
            self._on_executors_read,
        )
        self._restore()
        # No lease can be granted before; agents would wait for their next renewals.
        self._writer.store([], self._follow_executors)
        self._timers = [loop.call_later(TICK_S, self._tick)]

    def _restore(self):
        self._view.on_job = self._on_job
        self._view.on_cancel = self._on_cancel
        if self._view.learned is not None:
            self._scheduler.durations.restore(self._view.learned)
        for name, row in self._view.rows.items():
            if row.spec is not None:
                age_ms = max(0.0, time.time() * MS - row.spec.accepted_ms)
                now_ms = self._loop.now() * MS - age_ms
                self._scheduler.add_job(row.spec, row.progress, now_ms)
                if row.cancelled:
                    self._scheduler.cancel(name)

    def _follow_executors(self):
        if not self._closed:
            self._executors.start()

    def close(self, resign=False):
        """End the term; with ``resign``, store a record that lets others take over."""
        if self._closed:
            return
        self._closed = True
        self._view.on_job = self._view.on_cancel = None
        for timer in self._timers:
            timer.cancel()
        self._executors.close()
        self._vms.close()
        for agent in self._agents.values():
            agent.close()
        if resign:
            self._writer.resign()
        else:
            self._writer.close()
            self._jobs_topic.close()

    def depose(self, why):
        """End the term because a newer one has begun."""
        if not self._closed:
            self.close()
            self._on_deposed(why)

    # Input to the scheduler

    def gauges(self):
        """Return the counts of open jobs, executors and runs by metric name."""
        jobs = [item for item in self._scheduler.jobs.values() if not item.state.final]
        executors = self._scheduler.executors.values()
        return {
            "jobs_open": len(jobs),
            "jobs_not_begun": sum(not item.begun for item in jobs),
            "executors": len(executors),
            "executors_silent": sum(item.unreachable for item in executors),
            "runs": sum(len(item.allocations) for item in executors),
        }

    def on_term_read(self, term):
        """Acknowledge the append whose term record was read in the topic."""
        self._writer.on_term_read(term.beat)

    def set_config(self, queue_cfg):
        """Apply a new QueueConfig."""
        self._scheduler.set_config(queue_cfg)
        self.request_plan()

    def add_wave(self, request, age_s):
        """Add an operator's WaveRequest, made ``age_s`` ago."""
        self._vms.add_wave(request, age_s)

    def _on_job(self, spec):
        self._scheduler.add_job(spec, now_ms=self._loop.now() * MS)
        self.request_plan()

    def _on_cancel(self, name):
        self._scheduler.cancel(name)
        self.request_plan()

    def _on_executor(self, entry):
        self._registrations.apply(entry.key, entry.value)
        self.request_plan()

    def _on_executors_read(self):
        if self._executors.loaded:
            self.request_plan()

    # Decisions

    def request_plan(self):
        """Plan after PLAN_DELAY_S; changes until then share one plan and one append."""
        if self._plan_timer is None and not self._closed:
            self._plan_timer = self._loop.call_later(PLAN_DELAY_S, self._plan)

    def _plan(self):
        self._plan_timer = None
        if self._closed or not self._executors.loaded:
            return
        now_ms = self._loop.now() * MS
        starts = self._scheduler.plan(now_ms, time.time() * MS)
        for waited_ms in self._scheduler.take_start_delays():
            self._metrics.time("first_start", waited_ms / MS)
        self._metrics.time("plan", self._loop.now() - now_ms / MS)
        stops = self._scheduler.take_stops()
        dirty = self._scheduler.take_dirty()
        end_numbers, self._end_numbers = self._end_numbers, {}
        if not (dirty or end_numbers or stops):
            return

        def stored():
            if not self._closed:
                self._send(starts, stops, end_numbers)

        self._writer.store(dirty, stored)

    def _send(self, starts, stops, end_numbers):
        for agent, number in end_numbers.items():
            agent.acknowledge_ends(number)
        for order in starts:
            if self._scheduler.is_valid_start(order):
                self._agents[order.executor].start(order)
            else:
                self._scheduler.withdraw(order.executor, order.task, order.run)
                self.request_plan()
        for order in stops:
            if order.executor in self._agents and self._may_stop(order):
                self._agents[order.executor].stop(order.task, order.run)

    def _may_stop(self, order):
        task_id = parse_task(order.task)
        state = self._scheduler.state_of(task_id.job)
        return (
            state is None
            or state.final
            or self._availability.may_send_stop(order.task, order.run, self._loop.now())
        )

    # Each executor that the scheduler knows has one agent, from its registration on

    def _add_agent(self, name):
        executor = self._scheduler.executors[name]
        inherited = bool(executor.allocations)
        incarnation = self._incarnations.newest(
            name, executor.entry.born, self._loop.now(), time.time()
        )
        token = incarnation.token(self._epoch)
        client = self._platform.executor(executor.entry, token)
        self._agents[name] = ExecutorAgent(
            self._loop,
            client,
            executor,
            self,
            self._silences,
            inherited,
            self._lease_ms,
            self._cfg.max_lease_ms,
            incarnation,
        )

    def _store_executor(self, name, record):
        value = encode(record) if record is not None else b""
        self._writer.store([(PREFIX_EXECUTOR + name, value)])

    def _forget_executor(self, name):
        self._scheduler.forget_executor(name)
        self._incarnations.forget(name)
        agent = self._agents.pop(name, None)
        if agent is not None:
            agent.close()

    def _replace_unwatching_agents(self, now):
        """Let no job wait on a run that no agent asks about."""
        executors = self._scheduler.executors
        known_idle_at = {} if now - self._ticked_at > PAUSE_S else self._idle_at
        self._ticked_at = now
        self._idle_at = {
            name: known_idle_at.get(name, now) if item.allocations else now
            for name, item in executors.items()
        }
        for name, executor in list(executors.items()):
            agent = self._agents[name]
            asked_at = max(self._idle_at[name], agent.asked_at(executor))
            if now - asked_at > lapse_bound_s(self._lease_ms):
                log_event(RunsUnwatched(name, len(executor.allocations)))
                agent.close()
                self._add_agent(name)
                self._agents[name].replace(agent)

    def _forget_unregistered(self, now):
        """Forget executors of earlier terms that are gone."""
        if not self._executors.loaded or now - self._started_at < STORED_EXECUTORS_S:
            return
        for name in self._incarnations.unseen():
            if not self._scheduler.has_runs(name):
                self._incarnations.forget(name)

    def _forget_unlisted(self):
        for name, executor in list(self._scheduler.executors.items()):
            if not executor.listed and self._agents[name].finished:
                self._forget_executor(name)

    def _tick(self):
        if self._closed:
            return
        self._timers = [self._loop.call_later(TICK_S, self._tick)]
        now = self._loop.now()
        self._scheduler.next_due_ms(time.time() * MS)
        for name in self._scheduler.unregistered_executors():
            if now > self._unregistered_lapse_at(name):
                born = self._incarnations.stored_born(name)
                self._scheduler.mark_runs_lapsed(name, now * MS, born=born)
        for name in self._silences.names():
            if not self._scheduler.has_runs(name):
                self._silences.clear(name)
        self._scheduler.log_stalls(now * MS)
        self._forget_unlisted()
        self._forget_unregistered(now)
        self._replace_unwatching_agents(now)
        self._forget_jobs(now)
        if now - self._durations_saved_at > DURATIONS_SAVE_INTERVAL_S:
            self._durations_saved_at = now
            learned = self._scheduler.durations.record()
            self._writer.store([(KEY_LEARNED, encode(learned))])
        self.request_plan()
        if self._executors.loaded:
            self._vms.refresh()

    def _unregistered_lapse_at(self, name):
        """Return when every lease of an unregistered executor has certainly lapsed."""
        former_until = self._incarnations.former_until(
            name, self._loop.now(), time.time()
        )
        own = self._last_grant_at(name) + lapse_bound_s(self._lease_ms)
        return max(own, former_until + lapse_bound_s(self._cfg.max_lease_ms))

    def _last_grant_at(self, name):
        """Return by when the lease of an unregistered executor was last granted."""
        granted_at = self._silences.granted_at(name)
        # Before the executors are read, it may be one that answers.
        if granted_at is None or not self._executors.loaded:
            return self._started_at
        return granted_at

    def _forget_jobs(self, now):
        for name in self._scheduler.finished():
            due = self._forget_at.setdefault(
                name, now + self._cfg.status_ms / MS + JOB_RETENTION_MARGIN_S
            )
            if due < now and self._scheduler.forget_job(name):
                del self._forget_at[name]
                keys = (PREFIX_JOB, PREFIX_CANCEL, PREFIX_PROGRESS)
                self._writer.store([(prefix + name, b"") for prefix in keys])

    # Callbacks of the executor agents

    def may_grant(self):
        """Return whether leases may be granted, as no successor counts on their end."""
        return self._writer.holds_term()

    def on_runs_ended(self, name, ends):
        """Record the EndedTask items that an executor reported."""
        self._availability.record_ended((item.task, item.run) for item in ends)
        for item in ends:
            self._metrics.count("run_ends", outcome=item.outcome.value)
            self._scheduler.record_begun(item.task, item.run)
            self._scheduler.end(
                name,
                item.task,
                item.run,
                item.outcome,
                item.checkpoint,
                self._loop.now() * MS,
            )
        # By agent, since the numbers begin anew with each incarnation.
        agent = self._agents[name]
        newest = max(item.number for item in ends)
        self._end_numbers[agent] = max(self._end_numbers.get(agent, 0), newest)
        self.request_plan()

    def on_run_begun(self, task, run):
        """Record that an executor has said that it began a run."""
        self._record_begun(task, run, certain=True)

    def on_start_checked(self, task, run):
        """Take a run for begun whose executor answered right before its start."""
        self._record_begun(task, run, certain=False)

    def _record_begun(self, task, run, certain):
        if self._scheduler.record_begun(task, run, certain):
            self.request_plan()

    def on_start_absent(self, task, run):
        """Take a run for not begun again, as a report lacks it."""
        self._scheduler.clear_begun(task, run)

    def on_run_withdrawn(self, name, task, run):
        """Cancel the placement of a run that did not and will not begin."""
        self._scheduler.withdraw(name, task, run)
        self.request_plan()

    def on_run_missing(self, name, task, run):
        """Mark as lapsed a run that is reported neither as running nor as ended."""
        now_ms = self._loop.now() * MS
        self._scheduler.lose_runs(name, {task: run}, LossCause.MISSING, now_ms)
        self.request_plan()

    def on_start_refused(self, name):
        """Place no runs on an executor for REFUSAL_BACKOFF_MS."""
        self._scheduler.pause_executor(name, self._loop.now() * MS + REFUSAL_BACKOFF_MS)

    def on_reachable(self, name):
        """Plan again for an executor that answers again."""
        self._scheduler.replan_executor(name)
        self.request_plan()

    def on_unreachable(self, name):
        """Check the other executors of its rack, which may have gone down with it."""
        entry = self._scheduler.executors[name].entry
        for item in self._scheduler.pool(entry.service):
            if item.entry.rack == entry.rack and item.name in self._agents:
                self._agents[item.name].check_alive()

    def on_lease_lapsed(self, name):
        """Mark the runs of an executor, which may still exist, as lapsed."""
        begun = self._agents[name].begun_runs()
        self._scheduler.mark_runs_lapsed(name, self._loop.now() * MS, received=begun)
        self.request_plan()

    def on_executor_gone(self, name, cause):
        """Mark the runs of an incarnation that no longer exists as lapsed; drop it.

        ``cause`` is a LossCause.
        """
        agent = self._agents.get(name)
        if cause is LossCause.CRASHED and agent is not None:
            self.on_unreachable(name)
        begun = agent.begun_runs() if agent is not None else None
        self._scheduler.mark_runs_lapsed(name, self._loop.now() * MS, cause, begun)
        if cause is LossCause.CRASHED:
            self._scheduler.convict(name)
        else:
            self._scheduler.acquit(name)
        self._forget_executor(name)
        self.request_plan()

    def on_incarnation(self, name, born, clock_ms):
        """Give up the known incarnation of an executor, as a later one answered."""
        self._registrations.on_answer(name, born, clock_ms)
        self.request_plan()

    def on_cleared(self, name):
        """Drop what an executor was suspected of, as the same incarnation answers."""
        born = self._scheduler.executors[name].entry.born
        if born:
            self._scheduler.convict(name, born)
        self._scheduler.acquit(name)
        self.request_plan()

    def on_fenced(self, name):
        """End the term, as an executor has received a newer epoch."""
        self.depose(f"executor {name} has received a newer epoch")

    def on_running(self, name, running):
        """Update availability and pace from the RunningTasks of an executor's report.

        Runs of jobs in a final state are stopped; an earlier order may not have been
        sent because the executor was not registered. Returns whether the next report
        is wanted sooner: a lasting task is starting, or fill tasks run beside serving
        ones.
        """
        serving, fills, starting = [], [], False
        agent = self._agents.get(name)
        for item in running:
            if agent is not None and self._scheduler.is_job_final(item.task):
                agent.stop(item.task, item.run)
            state = self._step_state_of(item.task)
            if state is None:
                continue
            step = state.step
            if step.lasting:
                ready = self._availability.record_readiness(item, self._loop.now())
                starting = starting or not ready
            if step.fills:
                if self._scheduler.is_inherited(item.task, item.run):
                    self._pacer.inherit(item.task, item.run, self._loop.now())
                fills.append((item.task, item.run, item.load))
            elif step.target_ms:
                serving.append((item.load, step.target_ms))
        if agent is None or not fills:
            return starting
        for order in self._pacer.decide(name, serving, fills, self._loop.now()):
            log_event(PaceOrdered(order.task, order.run, name, order.percent))
            agent.pace(
                order, lambda answer, order=order: self._on_pace_answer(order, answer)
            )
        return starting or bool(serving)

    def _on_pace_answer(self, order, answer):
        if answer.result is not OrderResult.TAKEN:
            self._pacer.failed(order, self._loop.now())

    def _step_state_of(self, task_name):
        task_id = parse_task(task_name)
        job = self._scheduler.jobs.get(task_id.job) if task_id is not None else None
        return job.step_state(task_id) if job is not None else None
