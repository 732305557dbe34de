"""Runs the scheduler of one term: feeds it, stores its decisions, sends its orders."""

import time

from ..errors import RecordError
from ..journal import event, note
from .agent import ExecutorAgent
from .follow import TopicFollower
from .lease import CLOCK_SLOWEST, LAPSE_MARGIN_MS, LEASE_MS
from .pace import Pacer
from .pools import PoolPlanner
from .records import (
    encode,
    KEY_LEARNED,
    PREFIX_CANCEL,
    PREFIX_JOB,
    PREFIX_ORDER,
    PREFIX_PROGRESS,
    PREFIX_UPKEEP,
    UpkeepRecord,
    VmOrderRecord,
)
from .reports import OrderResult, Outcome, VmOrderResult
from .scheduler import Scheduler
from .spec import parse_task
from .upkeep import OrderedUpkeep, UpkeepPlanner
from .writer import Writer

PLAN_PAUSE_S = 0.02  # decisions of this long share an append
TICK_S = 0.15  # occurrences that come due, executors that come back
RETRY_S = 0.2
LEARNED_S = 2.0  # what a new scheduler may have to learn again
UNHEALTHY_REST_MS = 1000
AT_WORK_PERCENT = 100
AT_WORK_STALE_S = 2.0  # two renewals: an executor that is silent may be gone
VM_LEASE_MARGIN_S = 0.3
FORGET_MARGIN_S = 30.0
MS = 1000


@event(610)
class WaveChanged:
    """A wave began, or every VM of it has begun its upkeep."""

    wave: int
    state: str
    vms: int
    left: int


@event(611)
class UpkeepOrdered:
    """The upkeep of a VM was ordered and answered."""

    vm: str
    wave: int
    executor: str
    result: str


@event(614)
class MoveOrdered:
    """A VM was ordered into another pool, and the answer."""

    vm: str
    pool: str
    executor: str
    result: str


@event(612)
class PaceOrdered:
    """A task that fills is to work at another pace beside a task that serves."""

    task: str
    run: int
    executor: str
    percent: int


class Driver:
    """One term of the scheduler; ``on_deposed(why)`` is called when it is over.

    ``first_term`` tells that no node scheduled before.
    """

    def __init__(self, loop, cfg, platform, term, view, queue_cfg, on_deposed):
        self._loop = loop
        self._cfg = cfg
        self._platform = platform
        self._view = view
        self._on_deposed = on_deposed
        self._epoch = term.epoch
        self._vm_lease_s = cfg.machine_lease_ms / MS + VM_LEASE_MARGIN_S
        self._learned_at = loop.now()
        self._since = loop.now()
        self._agents = {}
        self._marks = {}
        self._at_work = {}
        self._plan_timer = None
        self._closed = False
        self._listed = {}
        self._listing = False
        self._ordering = set()
        self._ending = set()
        self._announced = set()
        self._forget_at = {}
        self._pacer = Pacer()
        self._pools = PoolPlanner()
        self._moving = {}
        self._upkeep = UpkeepPlanner(cfg.upkeep_ms / MS)
        self._scheduler = Scheduler(queue_cfg)
        self._jobs_topic = platform.jobs_topic()
        self._status_topic = platform.status_topic()
        self._machines = platform.machines(term.epoch)
        self._writer = Writer(loop, self._jobs_topic, term, self._depose)
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
        self._machines.close()
        self._status_topic.close()
        for agent in self._agents.values():
            agent.close()
        if resign:
            self._writer.resign()
        else:
            self._writer.close()
            self._jobs_topic.close()

    def _depose(self, why):
        if not self._closed:
            self.close()
            self._on_deposed(why)

    # What the scheduler is told

    def read_back(self, term):
        """Take note that a term record of this scheduler was read in the topic."""
        self._writer.read_back(term.beat)

    def set_config(self, queue_cfg):
        """Take a new version of the configuration."""
        self._scheduler.set_config(queue_cfg)
        self._request_plan()

    def add_wave(self, request):
        """Take in an operator's WaveRequest."""
        self._upkeep.add(request, self._loop.now())
        for vm, record in self._view.upkeeps.items():
            if record.wave == request.wave and vm in request.vms:
                order = OrderedUpkeep(record.executor, self._since)
                self._upkeep.waves[request.wave].ordered[vm] = order
        self._list_vms()

    def _on_job(self, spec):
        self._scheduler.add_job(spec, now_ms=self._loop.now() * MS)
        self._request_plan()

    def _on_cancel(self, name):
        self._scheduler.cancel(name)
        self._request_plan()

    def _on_executor(self, entry):
        prefix, _, name = entry.key.rpartition("/")
        if not entry.value:
            self._scheduler.unlist_executor(name)
            self._request_plan()
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
        self._request_plan()

    def _on_executors_read(self):
        if self._executors.loaded:
            self._request_plan()

    # Decisions

    def _request_plan(self):
        if self._plan_timer is None and not self._closed:
            self._plan_timer = self._loop.call_later(PLAN_PAUSE_S, self._plan)

    def _plan(self):
        self._plan_timer = None
        if self._closed or not self._executors.loaded:
            return
        now_ms = self._loop.now() * MS
        starts = self._scheduler.plan(now_ms, time.time() * MS)
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
                self._request_plan()
        for order in stops:
            if order.executor in self._scheduler.executors:
                self._agent(order.executor).stop(order.task, order.run)

    def _agent(self, name):
        agent = self._agents.get(name)
        if agent is None:
            executor = self._scheduler.executors[name]
            inherited = bool(executor.holdings) and not self._is_new(executor)
            client = self._platform.executor(executor.entry, self._epoch)
            agent = ExecutorAgent(self._loop, client, executor, self, inherited)
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
        lease_s = (LEASE_MS / CLOCK_SLOWEST + LAPSE_MARGIN_MS) / MS
        if now - self._since > lease_s:
            for name in self._scheduler.lost_executors():
                self._scheduler.lose_runs(name, now * MS)
        self._forget_jobs(now)
        if now - self._learned_at > LEARNED_S:
            self._learned_at = now
            learned = self._scheduler.durations.record()
            self._writer.store([(KEY_LEARNED, encode(learned))])
        self._request_plan()
        self._list_vms()

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
        for item in ends:
            self._scheduler.end(
                name,
                item.task,
                item.run,
                item.outcome,
                item.checkpoint,
                self._loop.now() * MS,
            )
            self._at_work.pop(item.task, None)
            self._ending.discard(item.task)
            self._marks[name] = max(self._marks.get(name, 0), item.number)
        self._request_plan()

    def on_withdraw(self, name, task, run):
        """A run surely never began."""
        self._scheduler.withdraw(name, task, run)
        self._request_plan()

    def on_missing(self, name, task, run):
        """A run that had begun is neither running nor listed as ended."""
        now_ms = self._loop.now() * MS
        self._scheduler.end(name, task, run, Outcome.LAPSED, "", now_ms)
        self._request_plan()

    def on_unhealthy(self, name):
        """An executor refuses work for now."""
        self._scheduler.set_aside(name, self._loop.now() * MS + UNHEALTHY_REST_MS)

    def on_heard(self, name):
        """An executor answers again."""
        self._scheduler.reopen(name)
        self._request_plan()

    def on_lapsed(self, name):
        """The lease of an executor surely lapsed; its life may go on."""
        self._scheduler.lose_runs(name, self._loop.now() * MS)
        self._request_plan()

    def on_over(self, name):
        """The life of an executor is over."""
        self._scheduler.lose_runs(name, self._loop.now() * MS)
        self._scheduler.forget_executor(name)
        agent = self._agents.pop(name, None)
        if agent is not None:
            agent.close()
        self._request_plan()

    def on_fenced(self, name):
        """An executor has seen a newer epoch."""
        self._depose(f"executor {name} has seen a newer epoch")

    def on_loads(self, name, running):
        """Take in how runs fare; return whether to look again soon."""
        serving, fills, coming_up = [], [], False
        for item in running:
            step = self._step(item.task)
            if step is None:
                continue
            if step.lasting:
                if item.percent >= AT_WORK_PERCENT:
                    self._at_work[item.task] = self._loop.now()
                else:
                    coming_up = True
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

    # Upkeep of VMs

    def _list_vms(self):
        if self._closed or self._listing or not self._executors.loaded:
            return
        self._listing = True

        def done(listed):
            self._listing = False
            if self._closed:
                return
            if isinstance(listed, tuple):
                self._listed = {item.vm: item for item in listed}
                self._plan_vms()

        self._machines.list_vms(done)

    def _plan_vms(self):
        now = self._loop.now()
        for wave, state in self._upkeep.waves.items():
            self._settle_wave(wave, state)
        plan = self._upkeep.plan(
            self._listed,
            self._scheduler.executors,
            now,
            self._reserve,
            self._leased(),
        )
        self._thin_out(plan.cordoned)
        moving = self._plan_moves(now, plan.vms)
        self._scheduler.cordon(plan.cordoned | moving)
        self._request_plan()
        for vm, wave, executor in plan.orders:
            if vm not in self._ordering:
                self._order_upkeep(vm, wave, executor)

    def _settle_wave(self, wave, state):
        """Take note of upkeeps that the VM list shows as begun."""
        for vm, order in state.ordered.items():
            machine = self._listed.get(vm)
            if machine is not None and (
                machine.state == "upkeep"
                or machine.executor not in ("", order.executor)
            ):
                self._upkeep.begun(wave, vm)
        for vm in state.left():
            if self._listed and vm not in self._listed:
                self._upkeep.begun(wave, vm)
        self._announce(wave, state)

    def _announce(self, wave, state):
        completed = self._upkeep.is_complete(wave)
        if (wave, completed) in self._announced:
            return
        name = "completed" if completed else "running"
        note(WaveChanged(wave, name, len(state.request.vms), len(state.left())))
        self._announced.add((wave, completed))

        def done(result):
            if not result and not self._closed:
                self._announced.discard((wave, completed))

        item = self._platform.encode_wave_status(wave, completed)
        self._status_topic.append([item], done, 1.0)

    def _leased(self):
        """Return the VMs that only an earlier scheduler may order now."""
        if self._loop.now() - self._since >= self._vm_lease_s:
            return set()
        return {
            vm for vm, record in self._view.orders.items() if record.epoch < self._epoch
        }

    def _store_order(self, vm, items, on_stored):
        """Store that this scheduler orders a VM, and forget it after its lease."""
        key = PREFIX_ORDER + vm
        record = encode(VmOrderRecord(self._epoch))

        def stored():
            if self._closed:
                return
            on_stored()
            self._loop.call_later(self._vm_lease_s, forget)

        def forget():
            if not self._closed:
                self._writer.store([(key, b"")])

        self._writer.store([*items, (key, record)], stored)

    def _plan_moves(self, now, staying):
        """Order moves between pools; return the executors that they will end."""
        barred = staying | self._ordering | self._leased()
        loads = self._scheduler.pool_loads(now * MS)
        for move in self._pools.plan(loads, self._listed, now, barred):
            self._pools.ordered(move, now)
            if move.executor:
                self._moving[move.vm] = move.executor
            self._order_move(move)
        return set(self._moving.values())

    def _order_move(self, move):
        def answered(result):
            if self._closed:
                return
            if result is VmOrderResult.NO_ANSWER:
                self._loop.call_later(RETRY_S, lambda: self._order_move(move))
                return
            note(MoveOrdered(move.vm, move.pool, move.executor, result.value))
            self._moving.pop(move.vm, None)
            if result is VmOrderResult.DONE:
                self.on_over(move.executor)
            elif result is VmOrderResult.FENCED:
                self._depose("the platform has seen a newer holder")
            else:
                self._pools.refused(move, self._loop.now())

        def stored():
            self._machines.move(move.vm, move.pool, answered)

        if not self._closed:
            self._store_order(move.vm, [], stored)

    def _reserve(self, executor):
        """Count all that runs there as away, if every availability budget allows it."""
        if not self._may_end(executor):
            return False
        self._ending.update(executor.holdings)
        return True

    def _may_end(self, executor):
        return all(
            self._away(names, step) + len(names) <= step.may_miss
            for names, step in self._budgeted(executor)
        )

    def _budgeted(self, executor):
        """Return (names, step) of tasks at work there under an availability budget."""
        by_step = {}
        for name in executor.holdings:
            step = self._step(name)
            if step is not None and step.lasting and step.may_miss >= 0:
                by_step.setdefault(name.rpartition(".")[0], []).append(name)
        return [
            (names, self._step(names[0]))
            for names in by_step.values()
            if any(self._is_at_work(name) for name in names)
        ]

    def _away(self, names, step):
        """Return how many tasks of a step, but for ``names``, are not at work."""
        prefix = names[0].rpartition(".")[0]
        others = {f"{prefix}.{index}" for index in range(step.tasks)} - set(names)
        return sum(not self._is_at_work(name) for name in others)

    def _thin_out(self, cordoned):
        """Move tasks one at a time off VMs that hold more than a budget allows."""
        for name in cordoned:
            executor = self._scheduler.executors.get(name)
            if executor is None:
                continue
            for names, step in self._budgeted(executor):
                crowded = len(names) > step.may_miss
                if crowded and self._away(names[:1], step) < step.may_miss:
                    self._ending.add(names[0])
                    self._scheduler.stop_run(names[0])

    def _is_at_work(self, name):
        seen_at = self._at_work.get(name)
        if seen_at is None or name in self._ending:
            return False
        return self._loop.now() - seen_at < AT_WORK_STALE_S

    def _held_by(self, name):
        executor = self._scheduler.executors.get(name)
        return set(executor.holdings) if executor is not None else set()

    def _order_upkeep(self, vm, wave, executor):
        self._ordering.add(vm)
        state = self._upkeep.waves[wave]
        state.ordered[vm] = OrderedUpkeep(executor, self._loop.now())
        record = UpkeepRecord(wave, executor, self._epoch)
        reserved = self._held_by(executor)

        def answered(result):
            self._ordering.discard(vm)
            self._ending -= reserved
            if result is VmOrderResult.DONE:
                for name in reserved:
                    self._at_work.pop(name, None)
            if self._closed:
                return
            note(UpkeepOrdered(vm, wave, executor, result.value))
            if result is VmOrderResult.DONE:
                self._upkeep.begun(wave, vm)
                self._announce(wave, state)
                self.on_over(executor)
            elif result in (VmOrderResult.BUSY, VmOrderResult.NOT_DONE):
                state.ordered.pop(vm, None)
            elif result is VmOrderResult.FENCED:
                self._depose("the platform has seen a newer holder")

        def stored():
            self._machines.upkeep(vm, wave, answered)

        self._store_order(vm, [(PREFIX_UPKEEP + vm, encode(record))], stored)


@event(613)
class EntryUnreadable:
    """What an executor registered cannot be read; it gets no runs through it."""

    executor: str
    detail: str
