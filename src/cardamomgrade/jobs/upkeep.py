"""Schedules the upkeep of the VMs of a maintenance wave; pure state.

Times are in seconds.

Load pattern: half of all VMs are due within half a minute, while each queue in turn
exceeds the capacity of its pool. VMs are closed to new runs shortly before their
upkeep: first those that callers miss least (see ``pacing``), of these in the pool with
the fewest draining VMs, and there the VM with the fewest runs. A VM is taken down once
no finite task runs on it, whose work would be lost, or after DRAIN_TIMEOUT_S. While the
budgets of its lasting tasks forbid its upkeep, it is closed only if another VM of its
pool is open, so that these tasks can start there.
"""

import math

import attrs

from .pacing import Cost, cost_of, must_hurry, USED_FRACTION
from .reports import STATE_UP, STATE_UPKEEP

DRAIN_TIMEOUT_S = 3.0  # slightly more than the longest known task, 2.5 s
UNLISTED_TIMEOUT_S = 5.0  # longer than a move or upkeep; list pages differ in age
RETURN_MARGIN_S = 0.3  # inaccuracy of the platform's timers and delay of its list
UNANSWERED_TIMEOUT_S = 5.0  # longer than slow phases of the platform's VM interface


@attrs.frozen
class OrderedUpkeep:
    """An ordered upkeep; ``executor`` is the incarnation that it ends, or ""."""

    executor: str
    ordered_at: float


@attrs.define(eq=False)
class WaveState:
    """State of a maintenance wave, opened at ``since``.

    ``begun`` are the VMs whose upkeep is known to have begun, or that are gone.
    ``ordered`` maps a VM to its OrderedUpkeep, ``draining`` to the time since when it
    gets no new runs, and ``unlisted_since`` to the time since when the platform does
    not list it. An earlier order for a VM in ``unconfirmed`` may have been carried out,
    so a later order answered as done does not prove that the current incarnation ended.
    """

    request: object
    since: float
    begun: set = attrs.field(factory=set)
    ordered: dict = attrs.field(factory=dict)
    draining: dict = attrs.field(factory=dict)
    unlisted_since: dict = attrs.field(factory=dict)
    unconfirmed: set = attrs.field(factory=set)

    def pending_vms(self):
        """Return the VMs whose upkeep is not known to have begun."""
        return [vm for vm in self.request.vms if vm not in self.begun]


@attrs.frozen
class UpkeepPlan:
    """Result of a planning round.

    ``cordoned`` are the executors to close to new runs, ``vms`` the VMs that must not
    move to another pool, and ``orders`` the upkeeps to order, as (vm, wave, executor).
    """

    cordoned: frozenset
    vms: frozenset
    orders: tuple


@attrs.frozen
class _WavePlan:
    cordoned: set
    orders: list


class UpkeepPlanner:
    """Plans the upkeeps of all waves; an upkeep takes ``upkeep_s``."""

    def __init__(self, upkeep_s):
        self.waves = {}
        self._upkeep_s = upkeep_s

    def add(self, request, now):
        """Add the wave of an operator's WaveRequest; return False if it is known."""
        if request.wave in self.waves:
            return False
        self.waves[request.wave] = WaveState(request, now)
        return True

    def record_begun(self, wave, vm):
        """Record that the upkeep of a VM is known to have begun."""
        state = self.waves.get(wave)
        if state is not None:
            state.begun.add(vm)
            state.draining.pop(vm, None)

    def resume(self, wave, vm, order, begun):
        """Restore an OrderedUpkeep that an earlier scheduler stored.

        ``begun`` means that the upkeep is known to have begun. Otherwise the order may
        never have been sent.
        """
        state = self.waves[wave]
        state.ordered[vm] = order
        if begun:
            self.record_begun(wave, vm)
        else:
            state.unconfirmed.add(vm)
            state.draining[vm] = order.ordered_at

    def apply_vm_list(self, listed, now):
        """Apply the platform's VM list as just read; return the upkeeps that began.

        Rows are (wave, vm, executor), the latter being the incarnation that the order
        was to end. A VM that is unlisted for UNLISTED_TIMEOUT_S is gone. A new
        incarnation alone does not prove an upkeep, since a move or a crash causes one
        as well.
        """
        begun_upkeeps = []
        for wave, state in self.waves.items():
            for vm, order in list(state.ordered.items()):
                machine = listed.get(vm)
                if machine is None or vm in state.begun:
                    continue
                if machine.state == STATE_UPKEEP:
                    self.record_begun(wave, vm)
                    begun_upkeeps.append((wave, vm, order.executor))
                elif machine.executor not in ("", order.executor):
                    del state.ordered[vm]
                    state.unconfirmed.add(vm)
            unlisted = {vm for vm in state.pending_vms() if vm not in listed}
            state.unlisted_since = {
                vm: state.unlisted_since.get(vm, now) for vm in unlisted
            }
            for vm, since in state.unlisted_since.items():
                if now - since >= UNLISTED_TIMEOUT_S:
                    self.record_begun(wave, vm)
        return begun_upkeeps

    def ending_executors(self, listed, now):
        """Return the executors that an ordered upkeep may end, or has just ended.

        An order counts until the VM list shows that the VM is back, but at most for
        UNANSWERED_TIMEOUT_S.
        """
        return {
            order.executor
            for state in self.waves.values()
            for vm, order in state.ordered.items()
            if order.executor
            and now - order.ordered_at < UNANSWERED_TIMEOUT_S
            and not (vm in listed and self._is_back(state, listed[vm], now))
        }

    def is_complete(self, wave):
        """Return whether the upkeep of every VM of a wave has begun."""
        return not self.waves[wave].pending_vms()

    def pending_vms(self):
        """Return the VMs of all waves whose upkeep is not known to have begun."""
        return {vm for state in self.waves.values() for vm in state.pending_vms()}

    def plan(self, listed, executors, now, reserve, excluded=frozenset(), room=None):
        """Return the UpkeepPlan.

        ``listed`` maps a VM to its ListedVm, ``executors`` an executor id to its
        Executor. ``reserve(executor)`` counts the tasks of an executor as unavailable,
        or returns False if an availability budget does not allow it. The upkeep of VMs
        in ``excluded`` is not ordered now; those that are down still count towards the
        wave's ``at_once``. ``room`` is the PoolRoom by which upkeeps are spread over
        the time that a wave has; without it, a wave is done as fast as it allows.
        """
        cordoned, orders = set(), []
        for wave, state in self.waves.items():
            left, at_once = len(state.pending_vms()), state.request.at_once
            if left:
                paced = room and not self._must_hurry(state, now, left, at_once)
                found = self._plan_wave(
                    state,
                    listed,
                    executors,
                    now,
                    reserve,
                    excluded,
                    room if paced else None,
                )
                cordoned.update(found.cordoned)
                orders.extend((vm, wave, executor) for vm, executor in found.orders)
        staying = {
            vm
            for state in self.waves.values()
            if state.pending_vms()
            for vm in state.draining
        }
        return UpkeepPlan(frozenset(cordoned), frozenset(staying), tuple(orders))

    def _must_hurry(self, state, now, left, at_once):
        time_left_s = state.since + state.request.duration_s * USED_FRACTION - now
        return must_hurry(left, at_once, self._upkeep_s, DRAIN_TIMEOUT_S, time_left_s)

    def _due_vms(self, state, listed, executors, now):
        """Return the VMs with lasting tasks of pools whose time is running out."""
        by_pool = {}
        for vm in state.pending_vms():
            machine = listed.get(vm)
            executor = executors.get(machine.executor) if machine is not None else None
            if executor is not None and executor.lasting_runs:
                by_pool.setdefault(machine.pool, []).append(vm)
        return {
            vm
            for vms in by_pool.values()
            if self._must_hurry(state, now, len(vms), 1)
            for vm in vms
        }

    def _plan_wave(self, state, listed, executors, now, reserve, excluded, room):
        due = self._due_vms(state, listed, executors, now) if room else ()

        def cost(vm):
            if room is None:
                return Cost.CALM
            if vm in due:
                return Cost.DUE
            machine = listed[vm]
            return cost_of(machine, executors.get(machine.executor), room)

        down = self._down(state, listed, now)
        for vm in list(state.draining):
            may_have_begun = vm in state.ordered or vm in state.unconfirmed
            if vm in listed and not may_have_begun and cost(vm) is Cost.BUSY:
                del state.draining[vm]
        off_vms = room.off_vms if room is not None else math.inf
        self._pick_draining(state, listed, executors, now, down, cost, off_vms)
        free = state.request.at_once - len(down)
        cordoned, orders, forbidden = set(), [], []
        for vm, since in sorted(state.draining.items(), key=lambda pair: pair[1]):
            machine = listed.get(vm)
            if machine is None or machine.state != STATE_UP or vm in excluded:
                continue
            if machine.executor:
                cordoned.add(machine.executor)
            repeated = vm in down  # an order without an answer; it has its place
            if not (repeated or free > 0) or not self._is_drained(
                machine, executors, now - since
            ):
                continue
            if machine.executor and not reserve(executors[machine.executor]):
                if not repeated:
                    forbidden.append(machine)
                continue
            orders.append((vm, machine.executor))
            if not repeated:
                free -= 1
        for machine in reversed(forbidden):
            # Tasks that wait for room would keep the budgets from allowing the upkeep.
            if not self._has_open_vm(machine.pool, listed, executors, cordoned):
                cordoned.discard(machine.executor)
                state.draining[machine.vm] = now
        return _WavePlan(cordoned, orders)

    def _has_open_vm(self, pool, listed, executors, cordoned):
        """Return whether a VM of a pool takes new runs; ``cordoned`` ones do not."""
        return any(
            machine.pool == pool
            and machine.state == STATE_UP
            and machine.executor not in cordoned
            and machine.executor in executors
            and executors[machine.executor].open
            for machine in listed.values()
        )

    def _down(self, state, listed, now):
        """Return the VMs of a wave that are or may be down for their upkeep."""
        return {
            vm
            for vm in state.ordered
            if vm in listed and not self._is_back(state, listed[vm], now)
        }

    def _is_back(self, state, machine, now):
        """Return whether a VM with an ordered upkeep is surely up after it.

        An upkeep that had been done before the order changes no incarnation.
        """
        order = state.ordered[machine.vm]
        if machine.state != STATE_UP:
            return False
        if order.executor and machine.executor != order.executor:
            return True
        if order.executor and machine.vm not in state.begun:
            return False
        return now - order.ordered_at > self._upkeep_s + RETURN_MARGIN_S

    def _is_drained(self, machine, executors, waited_s):
        executor = executors.get(machine.executor)
        if executor is None:
            return not machine.executor
        finite = [item for item in executor.allocations.values() if not item.lasting]
        return not finite or waited_s >= DRAIN_TIMEOUT_S

    def _pick_draining(self, state, listed, executors, now, down, cost, off_vms):
        """Start draining VMs, up to one more than may be down at once."""
        vacancies = state.request.at_once + 1 - len(state.draining)
        if vacancies <= 0:
            return
        waiting = [
            vm
            for vm in state.pending_vms()
            if vm not in state.draining
            and vm not in down
            and vm in listed
            and listed[vm].state == STATE_UP
            and (not listed[vm].executor or listed[vm].executor in executors)
        ]
        costs = {vm: cost(vm) for vm in waiting}
        waiting = [vm for vm in waiting if costs[vm] is not Cost.BUSY]
        draining_by_pool = {}
        for vm in state.draining:
            if vm in listed:
                draining_by_pool[listed[vm].pool] = (
                    draining_by_pool.get(listed[vm].pool, 0) + 1
                )

        def rank(vm):
            executor = executors.get(listed[vm].executor)
            runs = len(executor.allocations) if executor is not None else 0
            return (costs[vm], draining_by_pool.get(listed[vm].pool, 0), runs, vm)

        for _ in range(min(vacancies, len(waiting))):
            vm = min(waiting, key=rank)
            waiting.remove(vm)
            if costs[vm] is Cost.OFF:
                if not off_vms:
                    continue
                off_vms -= 1
            state.draining[vm] = now
            draining_by_pool[listed[vm].pool] = (
                draining_by_pool.get(listed[vm].pool, 0) + 1
            )
