"""Runs the scheduler of one term: feeds it, stores its decisions, sends its orders."""

import time

import attrs

from ..errors import RecordError
from ..journal import event, note
from .agent import ExecutorAgent
from .availability import Availability
from .follow import TopicFollower
from .lease import LEASE_MS, longest_s
from .pace import Pacer
from .records import (
    encode,
    KEY_LEARNED,
    PREFIX_CANCEL,
    PREFIX_JOB,
    PREFIX_PROGRESS,
)
from .reports import OrderResult, Outcome
from .scheduler import Scheduler
from .spec import parse_task
from .vms import VmManager
from .writer import Writer

PLAN_PAUSE_S = 0.02  # decisions of this long share an append
TICK_S = 0.15  # occurrences that come due, executors that come back
LEARNED_S = 2.0  # what a new scheduler may have to learn again
UNHEALTHY_REST_MS = 1000  # an executor that refuses is asked about once a second
FORGET_MARGIN_S = 30.0  # after the time for which callers may ask
ORDER_ON_ITS_WAY_S = 1.0  # until every executor has heard of the new epoch
MS = 1000


@event(613)
class EntryUnreadable:
    """What an executor registered cannot be read; it gets no runs through it."""

    executor: str
    detail: str


@event(612)
class PaceOrdered:
    """A task that fills is to work at another pace beside a task that serves."""

    task: str
    run: int
    executor: str
    percent: int


@attrs.frozen
class Parts:
    """What the orders for VMs share with those for executors."""

    scheduler: object
    writer: object
    availability: object


class Driver:
    """One term of the scheduler; ``on_deposed(why)`` is called when it is over."""

    def __init__(self, loop, cfg, platform, term, view, queue_cfg, on_deposed, metrics):
        self._loop = loop
        self._cfg = cfg
        self._platform = platform
        self._view = view
        self._on_deposed = on_deposed
        self._metrics = metrics
        self._epoch = term.epoch
        self._lease_ms = min(LEASE_MS, cfg.max_lease_ms)
        self._learned_at = loop.now()
        self._since = loop.now()
        self._agents = {}
        self._marks = {}
        self._plan_timer = None
        self._closed = False
        self._forget_at = {}
        self._pacer = Pacer()
        self._scheduler = Scheduler(queue_cfg)
        self._jobs_topic = platform.jobs_topic()
        self._writer = Writer(loop, self._jobs_topic, term, self.depose, metrics)
        settled_at = loop.now() + cfg.stop_ms / MS + ORDER_ON_ITS_WAY_S
        self._availability = Availability(self._step, settled_at)
        parts = Parts(self._scheduler, self._writer, self._availability)
        self._vms = VmManager(loop, cfg, platform, term, view, parts, self)
        self._executors = TopicFollower(
            loop,
            platform.executors_topic(),
            "executors",
            self._on_executor,
            self._on_executors_read,
        )
        self._restore()
        self._executors.start()
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

    def close(self, resign=False):
        """End the term; ``resign`` tells the other nodes first."""
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
        """End the term because another one began."""
        if not self._closed:
            self.close()
            self._on_deposed(why)

    # What the scheduler is told

    def gauges(self):
        """Return what the scheduler has in hand, by name."""
        jobs = [item for item in self._scheduler.jobs.values() if not item.state.final]
        executors = self._scheduler.executors.values()
        return {
            "jobs_open": len(jobs),
            "jobs_not_begun": sum(not item.begun for item in jobs),
            "executors": len(executors),
            "executors_silent": sum(item.silent for item in executors),
            "runs": sum(len(item.holdings) for item in executors),
        }

    def read_back(self, term):
        """Take note that a term record of this scheduler was read in the topic."""
        self._writer.read_back(term.beat)

    def set_config(self, queue_cfg):
        """Take a new version of the configuration."""
        self._scheduler.set_config(queue_cfg)
        self.request_plan()

    def add_wave(self, request):
        """Take in an operator's WaveRequest."""
        self._vms.add_wave(request)

    def _on_job(self, spec):
        self._scheduler.add_job(spec, now_ms=self._loop.now() * MS)
        self.request_plan()

    def _on_cancel(self, name):
        self._scheduler.cancel(name)
        self.request_plan()

    def _on_executor(self, entry):
        prefix, _, name = entry.key.rpartition("/")
        if not entry.value:
            self._scheduler.unlist_executor(name)
            self.request_plan()
            return
        try:
            found = self._platform.decode_executor(name, entry.value)
        except RecordError as exc:
            note(EntryUnreadable(name, str(exc)))
            return
        known = name in self._scheduler.executors
        self._scheduler.put_executor(found)
        if not known and self._scheduler.executors[name].holdings:
            self._agent(name)
        self.request_plan()

    def _on_executors_read(self):
        if self._executors.loaded:
            self.request_plan()

    # Decisions

    def request_plan(self):
        """Plan soon; what comes until then shares one append."""
        if self._plan_timer is None and not self._closed:
            self._plan_timer = self._loop.call_later(PLAN_PAUSE_S, self._plan)

    def _plan(self):
        self._plan_timer = None
        if self._closed or not self._executors.loaded:
            return
        now_ms = self._loop.now() * MS
        starts = self._scheduler.plan(now_ms, time.time() * MS)
        for waited_ms in self._scheduler.take_waits():
            self._metrics.time("first_start", waited_ms / MS)
        self._metrics.time("plan", self._loop.now() - now_ms / MS)
        stops = self._scheduler.take_stops()
        dirty = self._scheduler.take_dirty()
        marks, self._marks = self._marks, {}
        if not (dirty or marks or stops):
            return

        def stored():
            if not self._closed:
                self._send(starts, stops, marks)

        self._writer.store(dirty, stored)

    def _send(self, starts, stops, marks):
        for name, number in marks.items():
            agent = self._agents.get(name)
            if agent is not None:
                agent.ends_stored(number)
        for order in starts:
            if self._scheduler.is_live(order):
                self._agent(order.executor).start(order)
            else:
                self._scheduler.withdraw(order.executor, order.task, order.run)
                self.request_plan()
        for order in stops:
            if order.executor in self._scheduler.executors:
                self._agent(order.executor).stop(order.task, order.run)

    def _agent(self, name):
        agent = self._agents.get(name)
        if agent is None:
            executor = self._scheduler.executors[name]
            inherited = bool(executor.holdings) and not self._is_new(executor)
            client = self._platform.executor(executor.entry, self._epoch)
            agent = ExecutorAgent(
                self._loop, client, executor, self, inherited, self._lease_ms
            )
            self._agents[name] = agent
            agent.wake()
        return agent

    def _is_new(self, executor):
        """Return whether all runs on an executor were placed in this term."""
        return executor.name in self._scheduler.placed_here

    def _tick(self):
        if self._closed:
            return
        self._timers = [self._loop.call_later(TICK_S, self._tick)]
        now = self._loop.now()
        self._scheduler.next_due_ms(time.time() * MS)
        if now - self._since > longest_s(self._lease_ms):
            for name in self._scheduler.lost_executors():
                self._scheduler.lose_runs(name, now * MS)
        self._forget_jobs(now)
        if now - self._learned_at > LEARNED_S:
            self._learned_at = now
            learned = self._scheduler.durations.record()
            self._writer.store([(KEY_LEARNED, encode(learned))])
        self.request_plan()
        if self._executors.loaded:
            self._vms.look()

    def _forget_jobs(self, now):
        for name in self._scheduler.finished():
            due = self._forget_at.setdefault(
                name, now + self._cfg.status_ms / MS + FORGET_MARGIN_S
            )
            if due < now:
                self._scheduler.forget_job(name)
                del self._forget_at[name]
                keys = (PREFIX_JOB, PREFIX_CANCEL, PREFIX_PROGRESS)
                self._writer.store([(prefix + name, b"") for prefix in keys])

    # What executors tell

    def on_ends(self, name, ends):
        """Runs ended on an executor."""
        self._availability.ended(item.task for item in ends)
        for item in ends:
            self._metrics.count("run_ends", outcome=item.outcome.value)
            self._scheduler.end(
                name,
                item.task,
                item.run,
                item.outcome,
                item.checkpoint,
                self._loop.now() * MS,
            )
            self._marks[name] = max(self._marks.get(name, 0), item.number)
        self.request_plan()

    def on_withdraw(self, name, task, run):
        """A run surely never began."""
        self._scheduler.withdraw(name, task, run)
        self.request_plan()

    def on_missing(self, name, task, run):
        """A run that had begun is neither running nor listed as ended."""
        now_ms = self._loop.now() * MS
        self._scheduler.end(name, task, run, Outcome.LAPSED, "", now_ms)
        self.request_plan()

    def on_unhealthy(self, name):
        """An executor refuses work for now."""
        self._scheduler.set_aside(name, self._loop.now() * MS + UNHEALTHY_REST_MS)

    def on_heard(self, name):
        """An executor answers again."""
        self._scheduler.reopen(name)
        self.request_plan()

    def on_lapsed(self, name):
        """The lease of an executor surely lapsed; its life may go on."""
        self._scheduler.lose_runs(name, self._loop.now() * MS)
        self.request_plan()

    def on_over(self, name):
        """The life of an executor is over."""
        self._scheduler.lose_runs(name, self._loop.now() * MS)
        self._scheduler.forget_executor(name)
        agent = self._agents.pop(name, None)
        if agent is not None:
            agent.close()
        self.request_plan()

    def on_fenced(self, name):
        """An executor has seen a newer epoch."""
        self.depose(f"executor {name} has seen a newer epoch")

    def on_loads(self, name, running):
        """Take in how runs fare; return whether to look again soon."""
        serving, fills, coming_up = [], [], False
        for item in running:
            step = self._step(item.task)
            if step is None:
                continue
            if step.lasting:
                at_work = self._availability.reported(
                    item.task, item.percent, self._loop.now()
                )
                coming_up = coming_up or not at_work
            if step.fills:
                fills.append((item.task, item.run))
            elif step.target_ms:
                serving.append((item.load, step.target_ms))
        agent = self._agents.get(name)
        if agent is None or not fills:
            return coming_up
        for order in self._pacer.decide(name, serving, fills, self._loop.now()):
            note(PaceOrdered(order.task, order.run, name, order.percent))
            agent.pace(order, lambda answer, order=order: self._paced(order, answer))
        return coming_up or bool(serving)

    def _paced(self, order, answer):
        if answer.result is not OrderResult.TAKEN:
            self._pacer.failed(order)

    def _step(self, task_name):
        task_id = parse_task(task_name)
        job = self._scheduler.jobs.get(task_id.job) if task_id is not None else None
        return job.spec.steps[task_id.step] if job is not None else None
