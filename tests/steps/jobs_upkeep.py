"""Steps for the upkeep of VMs."""

from behave import given, then, when
from jobs_scheduler import executor_entry

from cardamomgrade.jobs.executors import Executor
from cardamomgrade.jobs.reports import ListedMachine, WaveRequest
from cardamomgrade.jobs.spec import Step
from cardamomgrade.jobs.upkeep import OrderedUpkeep, UpkeepPlanner

UPKEEP_S = 2.0


class WaveWorld:
    """A planner with the VMs of one wave."""

    def __init__(self, vms, at_once):
        self.planner = UpkeepPlanner(UPKEEP_S)
        self.now = 0.0
        self.allowed = True
        self.barred = frozenset()
        self.ordered = []
        names = tuple(f"m{number}" for number in range(vms))
        self.executors = {f"i-{vm}": Executor(executor_entry(vm, 4)) for vm in names}
        self.listed = {vm: ListedMachine(vm, "s", "up", f"i-{vm}") for vm in names}
        self.planner.add(WaveRequest(1, names, 20.0, at_once), 0.0)

    def renew(self, vms):
        """Give VMs new lives in a pool."""
        for vm in vms:
            new = f"i-{vm}-2"
            self.listed[vm] = ListedMachine(vm, "s", "up", new)
            self.executors[new] = Executor(executor_entry(new, 4))

    def step(self):
        self.plan = self.planner.plan(
            self.listed,
            self.executors,
            self.now,
            lambda executor: self.allowed,
            self.barred,
        )
        state = self.planner.waves[1]
        for vm, wave, executor in self.plan.orders:
            state.ordered[vm] = OrderedUpkeep(executor, self.now)
            self.planner.begun(wave, vm)
            self.ordered.append(vm)


@given("a wave of {vms:d} VMs, {at_once:d} at once")
def step_wave(context, vms, at_once):
    context.wave = WaveWorld(vms, at_once)


@given("all VMs are off")
def step_off(context):
    world = context.wave
    world.listed = {vm: ListedMachine(vm, "off", "up", "") for vm in world.listed}


@when("upkeeps are planned and ordered")
def step_plan(context):
    context.wave.step()


@when("a task runs on every VM")
def step_busy(context):
    for executor in context.wave.executors.values():
        executor.hold("t", 1, Step(1, cores_m=1000))


@when("{seconds:g} s go by")
def step_time(context, seconds):
    context.wave.now += seconds


@when("no budget allows an end")
def step_budget(context):
    context.wave.allowed = False


@when("those VMs are up again with new lives")
def step_back(context):
    context.wave.renew(context.wave.ordered)


@then("{count:d} VMs are ordered")
def step_ordered(context, count):
    ordered = context.wave.ordered
    assert len(ordered) == len(set(ordered)) == count, ordered


@then("the VM is closed to new runs")
def step_cordoned(context):
    assert context.wave.plan.cordoned == {"i-m0"}


@when("those VMs may not be ordered by this scheduler")
def step_barred(context):
    context.wave.barred = frozenset(context.wave.ordered)


def look(world):
    world.planner.look(world.listed, world.now)


@when("the list lacks the VM {vm}")
def step_lacks(context, vm):
    world = context.wave
    world.lacked = world.listed.pop(vm)
    look(world)


@when("{seconds:g} s go by and the list has the VM {vm} again")
def step_listed_again(context, seconds, vm):
    world = context.wave
    world.now += seconds
    world.listed[vm] = world.lacked
    look(world)


@then("the wave is not complete")
def step_incomplete(context):
    look(context.wave)
    assert not context.wave.planner.is_complete(1)


@then("the wave is complete")
def step_complete(context):
    look(context.wave)
    assert context.wave.planner.is_complete(1)


@when("the last scheduler stored that every upkeep began, and was killed")
def step_stored_begun(context):
    context.begun = True
    step_stored(context)


@when("the last scheduler stored the upkeep of every VM and was killed")
def step_stored(context):
    world = context.wave
    context.begun = getattr(context, "begun", False)
    for vm, machine in world.listed.items():
        order = OrderedUpkeep(machine.executor, world.now)
        world.planner.resume(1, vm, order, context.begun)


@when("every VM joins a pool with a new life")
def step_join(context):
    context.wave.renew(list(context.wave.listed))


@when("every VM is shown in upkeep")
def step_in_upkeep(context):
    world = context.wave
    world.listed = {vm: ListedMachine(vm, "s", "upkeep", "") for vm in world.listed}


@then("their lives are not taken as ended by that alone")
def step_doubtful(context):
    world = context.wave
    assert world.planner.waves[1].doubtful == set(world.ordered)
