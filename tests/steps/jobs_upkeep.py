"""Steps for the upkeep of the VMs of a wave."""

from behave import given, then, when
from jobs_scheduler import executor_entry

from cardamomgrade.jobs.executors import Executor
from cardamomgrade.jobs.reports import ListedVm, WaveRequest
from cardamomgrade.jobs.spec import Step
from cardamomgrade.jobs.upkeep import OrderedUpkeep, UpkeepPlanner

UPKEEP_S = 2.0


class WaveFixture:
    """A planner with one wave, its VMs and their executors."""

    def __init__(self, vms, at_once):
        self.planner = UpkeepPlanner(UPKEEP_S)
        self.now = 0.0
        self.allowed = True
        self.excluded = frozenset()
        self.ordered = []
        names = tuple(f"m{number}" for number in range(vms))
        self.executors = {f"i-{vm}": Executor(executor_entry(vm, 4)) for vm in names}
        self.listed = {vm: ListedVm(vm, "s", "up", f"i-{vm}") for vm in names}
        self.planner.add(WaveRequest(1, names, 20.0, at_once), 0.0)

    def restart(self, vms):
        """List VMs in a pool with new incarnations of their executors."""
        for vm in vms:
            new = f"i-{vm}-2"
            self.listed[vm] = ListedVm(vm, "s", "up", new)
            self.executors[new] = Executor(executor_entry(new, 4))

    def step(self):
        self.plan = self.planner.plan(
            self.listed,
            self.executors,
            self.now,
            lambda executor: self.allowed,
            self.excluded,
        )
        state = self.planner.waves[1]
        for vm, wave, executor in self.plan.orders:
            state.ordered[vm] = OrderedUpkeep(executor, self.now)
            self.planner.record_begun(wave, vm)
            self.ordered.append(vm)


@given("a wave of {vms:d} VMs, {at_once:d} at once")
def step_wave(context, vms, at_once):
    context.wave = WaveFixture(vms, at_once)


@given("all VMs are off")
def step_off(context):
    world = context.wave
    world.listed = {vm: ListedVm(vm, "off", "up", "") for vm in world.listed}


@when("upkeeps are planned and ordered")
def step_plan(context):
    context.wave.step()


@when("a task runs on every VM")
def step_busy(context):
    for executor in context.wave.executors.values():
        executor.allocate("t", 1, Step(1, cores_m=1000))


@when("{seconds:g} s go by")
def step_time(context, seconds):
    context.wave.now += seconds


@when("no budget allows a VM to be taken down")
def step_budget(context):
    context.wave.allowed = False


@when("the upkeep of {vm} was ordered and got no answer")
def step_unanswered(context, vm):
    world = context.wave
    state = world.planner.waves[1]
    state.draining[vm] = world.now
    state.ordered[vm] = OrderedUpkeep(f"i-{vm}", world.now)
    state.unconfirmed.add(vm)


@when("the budgets allow it")
def step_budget_allows(context):
    context.wave.allowed = True


@then("{closed:d} of the {vms:d} VMs are closed to new runs")
def step_closed(context, closed, vms):
    world = context.wave
    assert len(world.listed) == vms
    assert len(world.plan.cordoned) == closed, world.plan.cordoned


@when("those VMs are up again with new incarnations")
def step_restarted(context):
    context.wave.restart(context.wave.ordered)


@then("{count:d} VMs are ordered")
def step_ordered(context, count):
    ordered = context.wave.ordered
    assert len(ordered) == len(set(ordered)) == count, ordered


@then("the VM is closed to new runs")
def step_cordoned(context):
    assert context.wave.plan.cordoned == {"i-m0"}


@when("this scheduler may not order the upkeep of those VMs")
def step_excluded(context):
    context.wave.excluded = frozenset(context.wave.ordered)


def apply_vm_list(world):
    world.planner.apply_vm_list(world.listed, world.now)


@when("the VM list omits {vm}")
def step_omitted(context, vm):
    world = context.wave
    world.omitted = world.listed.pop(vm)
    apply_vm_list(world)


@when("{seconds:g} s go by and the VM list includes {vm} again")
def step_included(context, seconds, vm):
    world = context.wave
    world.now += seconds
    world.listed[vm] = world.omitted
    apply_vm_list(world)


@then("the wave is not complete")
def step_incomplete(context):
    apply_vm_list(context.wave)
    assert not context.wave.planner.is_complete(1)


@then("the wave is complete")
def step_complete(context):
    apply_vm_list(context.wave)
    assert context.wave.planner.is_complete(1)


@when("the previous scheduler stored that every upkeep began, and was killed")
def step_stored_begun(context):
    context.begun = True
    step_stored(context)


@when("the previous scheduler stored the upkeep of every VM and was killed")
def step_stored(context):
    world = context.wave
    context.begun = getattr(context, "begun", False)
    for vm, machine in world.listed.items():
        order = OrderedUpkeep(machine.executor, world.now)
        world.planner.resume(1, vm, order, context.begun)


@when("every VM joins a pool with a new incarnation")
def step_join(context):
    context.wave.restart(list(context.wave.listed))


@when("the VM list shows every VM in upkeep")
def step_in_upkeep(context):
    world = context.wave
    world.listed = {vm: ListedVm(vm, "s", "upkeep", "") for vm in world.listed}


@then("that order does not prove that their incarnations ended")
def step_unconfirmed(context):
    world = context.wave
    assert world.planner.waves[1].unconfirmed == set(world.ordered)


@when("the list still shows the incarnation that the order was to end")
def step_still_up(context):
    world = context.wave
    (vm,) = world.ordered
    assert world.listed[vm].executor == world.planner.waves[1].ordered[vm].executor
