"""Which VM of a wave has its upkeep when; pure state, times are seconds.

Load pattern: half of the estate is due within half a minute, while every queue in
turn asks for more than its pool holds. VMs are closed to new runs a little ahead, the
emptiest of the pool with the most room first, and go down once nothing that would be
lost runs on them, or after DRAIN_S.
"""

import attrs

from .reports import STATE_UP, STATE_UPKEEP

DRAIN_S = 3.0  # a little over the longest task seen on the sheets, 2.5 s
GONE_S = 5.0  # longer than a move or an upkeep; the list is read page by page
BACK_MARGIN_S = 0.3  # the platform's timers and its list


@attrs.frozen
class OrderedUpkeep:
    """An upkeep that was ordered: the life that it ends, or "", and when."""

    executor: str
    at: float


@attrs.define(eq=False)
class WaveState:
    """An open wave; ``begun`` are the VMs whose upkeep surely began, or that are gone.

    ``missing`` tells since when the list lacks a VM. An earlier order for a VM in
    ``doubtful`` may have been carried out: that another one is answered as done does
    not tell that the present life has ended.
    """

    request: object
    since: float
    begun: set = attrs.field(factory=set)
    ordered: dict = attrs.field(factory=dict)
    draining: dict = attrs.field(factory=dict)
    missing: dict = attrs.field(factory=dict)
    doubtful: set = attrs.field(factory=set)

    def left(self):
        """Return the VMs whose upkeep has not begun."""
        return [vm for vm in self.request.vms if vm not in self.begun]


@attrs.frozen
class UpkeepPlan:
    """What to do now: executors closed to new runs, VMs that stay, and the orders.

    An order is (vm, wave, executor).
    """

    cordoned: frozenset
    vms: frozenset
    orders: tuple


@attrs.frozen
class _WavePlan:
    cordoned: set
    orders: list


class UpkeepPlanner:
    """All open waves; an upkeep takes ``upkeep_s``."""

    def __init__(self, upkeep_s):
        self.waves = {}
        self._upkeep_s = upkeep_s

    def add(self, request, now):
        """Take in an operator's WaveRequest."""
        if request.wave not in self.waves:
            self.waves[request.wave] = WaveState(request, now)

    def begun(self, wave, vm):
        """Take note that the upkeep of a VM surely began."""
        state = self.waves.get(wave)
        if state is not None:
            state.begun.add(vm)
            state.draining.pop(vm, None)

    def resume(self, wave, vm, order, begun):
        """Take in an OrderedUpkeep that an earlier scheduler stored before it left.

        Unless it ``begun`` for certain, nobody may have sent it.
        """
        state = self.waves[wave]
        state.ordered[vm] = order
        if begun:
            self.begun(wave, vm)
        else:
            state.doubtful.add(vm)

    def look(self, listed, now):
        """Take in a reading of the list; return what began.

        Rows are (wave, VM, the executor that the order was to end).

        A VM that it lacks for GONE_S is gone. A new life alone proves no upkeep: a
        move or a crash gives one as well.
        """
        seen = []
        for wave, state in self.waves.items():
            for vm, order in list(state.ordered.items()):
                machine = listed.get(vm)
                if machine is None or vm in state.begun:
                    continue
                if machine.state == STATE_UPKEEP:
                    self.begun(wave, vm)
                    seen.append((wave, vm, order.executor))
                elif machine.executor not in ("", order.executor):
                    del state.ordered[vm]
                    state.doubtful.add(vm)
            missing = {vm for vm in state.left() if vm not in listed}
            state.missing = {vm: state.missing.get(vm, now) for vm in missing}
            for vm, since in state.missing.items():
                if now - since >= GONE_S:
                    self.begun(wave, vm)
        return seen

    def is_complete(self, wave):
        """Return whether every VM of a wave has begun its upkeep."""
        return not self.waves[wave].left()

    def plan(self, listed, executors, now, reserve, barred=frozenset()):
        """Return the UpkeepPlan.

        ``listed`` maps a VM to its ListedMachine, ``executors`` an executor's id to
        its Executor; ``reserve(executor)`` takes an executor out of every availability
        budget, or returns False where one does not allow it. VMs in ``barred`` are not
        ordered now, but count as down if they are.
        """
        cordoned, orders = set(), []
        for wave, state in self.waves.items():
            if state.left():
                found = self._plan_wave(state, listed, executors, now, reserve, barred)
                cordoned.update(found.cordoned)
                orders.extend((vm, wave, executor) for vm, executor in found.orders)
        staying = {
            vm for state in self.waves.values() if state.left() for vm in state.draining
        }
        return UpkeepPlan(frozenset(cordoned), frozenset(staying), tuple(orders))

    def _plan_wave(self, state, listed, executors, now, reserve, barred):
        down = self._down(state, listed, now)
        self._choose(state, listed, executors, now, down)
        free = state.request.at_once - len(down)
        cordoned, orders = set(), []
        for vm, since in sorted(state.draining.items(), key=lambda pair: pair[1]):
            machine = listed.get(vm)
            if machine is None or machine.state != STATE_UP or vm in barred:
                continue
            if machine.executor:
                cordoned.add(machine.executor)
            if free > 0 and self._may_go(machine, executors, now - since, reserve):
                orders.append((vm, machine.executor))
                free -= 1
        return _WavePlan(cordoned, orders)

    def _down(self, state, listed, now):
        """Return the VMs of a wave that are or may be down for their upkeep."""
        return {
            vm
            for vm, order in state.ordered.items()
            if vm in listed and not self._is_back(listed[vm], order, now)
        }

    def _is_back(self, machine, order, now):
        if machine.state != STATE_UP:
            return False
        if order.executor:
            return machine.executor != order.executor
        return now - order.at > self._upkeep_s + BACK_MARGIN_S

    def _may_go(self, machine, executors, waited, reserve):
        executor = executors.get(machine.executor)
        if executor is None:
            return not machine.executor
        finite = [item for item in executor.holdings.values() if not item.lasting]
        return (not finite or waited >= DRAIN_S) and reserve(executor)

    def _choose(self, state, listed, executors, now, down):
        """Pick the VMs to drain next: as many as may be down at once, and one more."""
        wanted = state.request.at_once + 1 - len(state.draining)
        if wanted <= 0:
            return
        waiting = [
            vm
            for vm in state.left()
            if vm not in state.draining
            and vm not in down
            and vm in listed
            and listed[vm].state == STATE_UP
            and (not listed[vm].executor or listed[vm].executor in executors)
        ]
        busy = {}
        for vm in state.draining:
            if vm in listed:
                busy[listed[vm].pool] = busy.get(listed[vm].pool, 0) + 1

        def rank(vm):
            executor = executors.get(listed[vm].executor)
            held = len(executor.holdings) if executor is not None else 0
            return (busy.get(listed[vm].pool, 0), held, vm)

        for _ in range(min(wanted, len(waiting))):
            vm = min(waiting, key=rank)
            waiting.remove(vm)
            state.draining[vm] = now
            busy[listed[vm].pool] = busy.get(listed[vm].pool, 0) + 1
