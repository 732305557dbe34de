"""Sends the scheduler's orders for VMs: upkeep in waves, and moves between pools."""

import math
import time

from ..journal import event, log_event
from .incarnations import is_later
from .load import LoadPublisher
from .pacing import no_room, PoolRoom
from .pools import make_planner
from .records import (
    encode,
    PREFIX_ORDER,
    PREFIX_UPKEEP,
    upkeep_name,
    UpkeepRecord,
    VmOrderRecord,
)
from .reports import LossCause, VmOrderResult
from .upkeep import OrderedUpkeep, UNANSWERED_TIMEOUT_S, UpkeepPlanner

MOVE_RETRY_S = 0.2
ORDER_DELAY_MAX_S = 1.0  # two appends to a store that answers 100 times slower
VM_LEASE_MARGIN_S = 0.3  # the platform's clock may differ from this node's
STATUS_APPEND_TIMEOUT_S = 1.0
MOVE_ORDERS_FRACTION = 0.9  # of the orders that the platform takes; upkeeps count too
MOVE_BURST_S = 0.5  # moves saved up while none were due
MS = 1000


@event(610)
class WaveChanged:
    """A maintenance wave began, or each of its VMs has begun its upkeep.

    ``left`` counts the VMs whose upkeep is not known to have begun.
    """

    wave: int
    state: str
    vms: int
    left: int


@event(611)
class UpkeepOrdered:
    """The upkeep of a VM was ordered; ``result`` is a VmOrderResult."""

    vm: str
    wave: int
    executor: str
    result: str


@event(614)
class MoveOrdered:
    """A VM was ordered to move to ``pool``; ``result`` is a VmOrderResult.

    It is ``no-answer`` if the VM list showed the effect of an order without an answer.
    """

    vm: str
    pool: str
    executor: str
    result: str


@event(615)
class UpkeepAllowed:
    """The availability budgets allow an upkeep, which is ordered once it is stored.

    ``runs`` counts the runs that it ends; ``steps`` has the rows of
    Availability.count_steps.
    """

    vm: str
    wave: int
    executor: str
    runs: int
    steps: list


@event(616)
class TaskStopAllowed:
    """A task is stopped because its executor runs more of its step than may be away.

    ``steps`` has the rows of Availability.count_steps.
    """

    task: str
    executor: str
    steps: list


class VmManager:
    """Plans and sends the orders for VMs in one term.

    After an order, the platform takes orders for that VM only from the same scheduler
    until a lease (``machine_lease_ms``) ends. Each order is stored before it is sent,
    so that the next scheduler knows these VMs. ``driver`` has ``request_plan()``,
    ``on_executor_gone(executor, cause)`` and ``depose(why)``.
    """

    def __init__(self, loop, cfg, platform, term, view, deps, driver):
        self._loop = loop
        self._platform = platform
        self._view = view
        self._driver = driver
        self._scheduler = deps.scheduler
        self._writer = deps.writer
        self._availability = deps.availability
        self._epoch = term.epoch
        self._vm_lease_s = cfg.machine_lease_ms / MS + VM_LEASE_MARGIN_S
        self._started_at = loop.now()
        self._machines = platform.machines(term.epoch)
        self._status_topic = platform.status_topic()
        self._pools = make_planner(deps.switches)
        self._room_of = deps.switches.choose("upkeep-pacing", PoolRoom.of, no_room)
        self._load = LoadPublisher(deps.writer)
        self._upkeep = UpkeepPlanner(cfg.upkeep_ms / MS)
        self._vms_by_name = {}
        self._listing = False
        self._upkeep_in_flight = {}
        self._ending_by_move = {}
        self._born_by_move = {}
        self._newest_orders = {}
        self._announced = set()
        self._moves_per_s = cfg.vm_orders_per_s * MOVE_ORDERS_FRACTION
        self._moves_planned_at = loop.now()
        self._closed = False

    def close(self):
        """Send no more orders, and drop the connections."""
        self._closed = True
        self._machines.close()
        self._status_topic.close()

    def add_wave(self, request, age_s=math.inf):
        """Add an operator's WaveRequest, with the upkeeps already stored for it.

        ``age_s`` is the time since it was made, infinite if that is not known: its VMs
        then go down as fast as it allows.
        """
        if not self._upkeep.add(request, self._loop.now() - age_s):
            return
        for vm in request.vms:
            record = self._view.upkeeps.get(upkeep_name(request.wave, vm))
            if record is not None:
                order = OrderedUpkeep(record.executor, self._started_at)
                self._upkeep.resume(request.wave, vm, order, record.begun)

    def refresh(self):
        """Read the list of VMs, then plan upkeeps and moves."""
        if self._closed or self._listing:
            return
        self._listing = True

        def done(listed):
            self._listing = False
            if self._closed:
                return
            if isinstance(listed, tuple):
                self._vms_by_name = {item.vm: item for item in listed}
                self._scheduler.judge_suspects(listed)
                self._plan_vms()

        self._machines.list_vms(done)

    def _plan_vms(self):
        now = self._loop.now()
        if self._vms_by_name:
            for wave, vm, executor in self._upkeep.apply_vm_list(
                self._vms_by_name, now
            ):
                self._store_begun(wave, vm, executor)
        for wave, state in self._upkeep.waves.items():
            self._announce(wave, state)
        self._availability.ending = (
            self._upkeep.ending_executors(self._vms_by_name, now)
            | set(self._upkeep_in_flight.values())
            | set(self._ending_by_move.values())
        )
        counted = {}

        def reserve(executor):
            allowed = self._availability.reserve(executor, now)
            if allowed:
                counted[executor.name] = self._availability.count_steps(executor, now)
            return allowed

        loads = self._scheduler.pool_loads(now * MS, self._pools.closed)
        plan = self._upkeep.plan(
            self._vms_by_name,
            self._scheduler.executors,
            now,
            reserve,
            self._locked_vms(),
            self._room_of(loads, self._vms_by_name),
        )
        for name in plan.cordoned:
            executor = self._scheduler.executors.get(name)
            if executor is not None:
                self._stop_excess_tasks(executor, now)
        ending = self._plan_moves(now, loads, plan.vms)
        self._scheduler.cordon(
            plan.cordoned | ending | self._availability.ending,
            self._availability.ending | set(self._ending_by_move.values()),
        )
        self._driver.request_plan()
        for vm, wave, executor in plan.orders:
            if vm not in self._upkeep_in_flight:
                self._log_allowed(vm, wave, executor, counted)
                self._order_upkeep(vm, wave, executor)

    def _log_allowed(self, vm, wave, name, counted):
        executor = self._scheduler.executors.get(name)
        runs = len(executor.allocations) if executor is not None else 0
        log_event(UpkeepAllowed(vm, wave, name, runs, counted.get(name, [])))

    def _stop_excess_tasks(self, executor, now):
        for task in self._availability.select_excess_tasks(executor, now):
            steps = self._availability.count_steps(executor, now)
            log_event(TaskStopAllowed(task, executor.name, steps))
            self._scheduler.stop_run(task)

    def _store_begun(self, wave, vm, executor):
        """Store that an upkeep began, so that no later scheduler orders it again."""
        record = UpkeepRecord(wave, executor, self._epoch, True)
        key = PREFIX_UPKEEP + upkeep_name(wave, vm)
        self._writer.store([(key, encode(record))])

    def _announce(self, wave, state):
        completed = self._upkeep.is_complete(wave)
        if (wave, completed) in self._announced:
            return
        name = "completed" if completed else "running"
        log_event(
            WaveChanged(wave, name, len(state.request.vms), len(state.pending_vms()))
        )
        self._announced.add((wave, completed))

        def done(result):
            if not result and not self._closed:
                self._announced.discard((wave, completed))

        item = self._platform.encode_wave_status(wave, completed)
        self._status_topic.append([item], done, STATUS_APPEND_TIMEOUT_S)

    def _locked_vms(self):
        """Return the VMs whose order lease an earlier scheduler may still hold.

        An order is sent ORDER_DELAY_MAX_S after its record was stored at the latest.
        """
        now = self._loop.now()
        if now - self._started_at >= self._vm_lease_s:
            return set()
        return {
            vm
            for vm, order in self._view.orders.items()
            if order.epoch < self._epoch
            and now - order.read_at < ORDER_DELAY_MAX_S + self._vm_lease_s
        }

    def _store_order(self, vm, items, send, on_result):
        """Store that this scheduler orders a VM; delete the record after the lease.

        The record stays while the lease of a later order for the VM lasts.

        Calls ``send()`` then, or ``on_result(NOT_DONE)`` if that took longer than
        ORDER_DELAY_MAX_S, also while this machine was suspended: another node may have
        become the scheduler, and its lease counts from the record.
        """
        key = PREFIX_ORDER + vm
        record = encode(VmOrderRecord(self._epoch))
        planned_at = self._loop.boot_now()

        def stored():
            if self._closed:
                return
            self._loop.call_later(self._vm_lease_s, forget)
            if self._loop.boot_now() - planned_at > ORDER_DELAY_MAX_S:
                on_result(VmOrderResult.NOT_DONE)
            else:
                send()

        def forget():
            if not self._closed and self._newest_orders[vm] is stored:
                self._writer.store([(key, b"")])

        self._newest_orders[vm] = stored
        self._writer.store([*items, (key, record)], stored)

    def _plan_moves(self, now, loads, wave_vms):
        """Order moves between pools; return the executors that get no new runs."""
        excluded = wave_vms | set(self._upkeep_in_flight) | self._locked_vms()
        pending = self._upkeep.pending_vms()
        since_s, self._moves_planned_at = now - self._moves_planned_at, now
        max_moves = self._moves_per_s * min(since_s, MOVE_BURST_S)
        for move in self._pools.plan(
            loads, self._vms_by_name, now, excluded, max_moves, pending
        ):
            self._pools.record_ordered(move, now)
            if move.executor:
                self._ending_by_move[move.vm] = move.executor
                self._born_by_move[move.vm] = self._born(move.executor)
            self._order_move(move)
        self._load.log_pools(loads, len(self._ending_by_move), now)
        waits_ms = None
        if self._scheduler.cfg.customers is not None:
            waits_ms = self._scheduler.share_waits_ms(time.time() * MS)
        self._load.publish(loads, self._pools.shares, now, waits_ms)
        return set(self._ending_by_move.values()) | set(self._pools.closed)

    def _order_move(self, move, unanswered_at=None):
        """Order a move; ``unanswered_at`` is when an earlier attempt had no answer."""

        def answered(result):
            if self._closed:
                return
            now = self._loop.now()
            if result is VmOrderResult.NO_ANSWER:
                self._repeat_move_later(move, now)
            elif (
                result in (VmOrderResult.BUSY, VmOrderResult.NOT_DONE)
                and unanswered_at is not None
                and now - unanswered_at < UNANSWERED_TIMEOUT_S
            ):
                # The attempt without an answer may still take effect.
                self._repeat_move_later(move, unanswered_at)
            else:
                self._finish_move(move, result)

        def send():
            self._machines.move(move.vm, move.pool, answered)

        if not self._closed:
            self._store_order(move.vm, [], send, answered)

    def _repeat_move_later(self, move, unanswered_at):
        """Order a move again, unless the VM list shows that its executor is gone."""

        def repeat():
            machine = self._vms_by_name.get(move.vm)
            if machine is not None and (
                machine.pool == move.pool or machine.executor not in ("", move.executor)
            ):
                self._finish_move(move, VmOrderResult.NO_ANSWER)
            else:
                self._order_move(move, unanswered_at)

        self._loop.call_later(MOVE_RETRY_S, repeat)

    def _finish_move(self, move, result):
        if self._closed:
            return
        log_event(MoveOrdered(move.vm, move.pool, move.executor, result.value))
        self._ending_by_move.pop(move.vm, None)
        born = self._born_by_move.pop(move.vm, 0)
        if result in (VmOrderResult.DONE, VmOrderResult.NO_ANSWER):
            self._on_ended(move.executor, born)
        elif result is VmOrderResult.FENCED:
            self._driver.depose("the platform has received a newer epoch")
        elif result is VmOrderResult.NOT_DONE:
            self._pools.record_not_done(move)
        else:
            self._pools.record_refused(move, self._loop.now())

    def _born(self, name):
        executor = self._scheduler.executors.get(name)
        return executor.entry.born if executor is not None else 0

    def _on_ended(self, name, born):
        """Report the end of an incarnation, unless a later one has its id already."""
        if not is_later(self._born(name), born):
            self._driver.on_executor_gone(name, LossCause.LEFT)

    def _order_upkeep(self, vm, wave, executor):
        self._upkeep_in_flight[vm] = executor
        born = self._born(executor)
        state = self._upkeep.waves[wave]
        state.ordered[vm] = OrderedUpkeep(executor, self._loop.now())
        record = UpkeepRecord(wave, executor, self._epoch)

        def answered(result):
            del self._upkeep_in_flight[vm]
            if self._closed:
                return
            log_event(UpkeepOrdered(vm, wave, executor, result.value))
            if result is VmOrderResult.DONE:
                self._upkeep.record_begun(wave, vm)
                self._store_begun(wave, vm, executor)
                self._announce(wave, state)
                if vm not in state.unconfirmed:
                    self._on_ended(executor, born)
            elif result in (VmOrderResult.BUSY, VmOrderResult.NOT_DONE):
                if vm not in state.unconfirmed:
                    state.ordered.pop(vm, None)
            elif result is VmOrderResult.NO_ANSWER:
                state.unconfirmed.add(vm)
            elif result is VmOrderResult.FENCED:
                self._driver.depose("the platform has received a newer epoch")

        def send():
            target = self._scheduler.executors.get(executor)
            if target is None or self._availability.allows(target, self._loop.now()):
                self._machines.upkeep(vm, wave, answered)
            else:
                answered(VmOrderResult.NOT_DONE)

        items = [(PREFIX_UPKEEP + upkeep_name(wave, vm), encode(record))]
        self._store_order(vm, items, send, answered)
