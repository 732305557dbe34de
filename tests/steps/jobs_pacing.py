"""Steps for the pace of a maintenance wave."""

import math

import attrs
from behave import given, then, when
from jobs_scheduler import executor_entry

from cardamomgrade.jobs.executors import Executor
from cardamomgrade.jobs.pacing import must_hurry, PoolRoom
from cardamomgrade.jobs.pools import PoolLoad
from cardamomgrade.jobs.reports import ListedVm, WaveRequest
from cardamomgrade.jobs.spec import Step
from cardamomgrade.jobs.upkeep import DRAIN_TIMEOUT_S, OrderedUpkeep, UpkeepPlanner

UPKEEP_S = 2.0
STEP_S = 0.25
WAVE_S = 66.0
KINDS = ("off", "idle", "calm", "busy")


def load(pool, needed, size, waiting_cores_m=0):
    standby = pool == "off"
    return PoolLoad(pool, needed, needed, (), size, standby, waiting_cores_m)


class PacedWave:
    """A planner with a wave of one VM of each kind, and when each went down."""

    def __init__(self, age_s):
        self.now = 100.0
        self.planner = UpkeepPlanner(UPKEEP_S)
        self.planner.add(WaveRequest(1, KINDS, WAVE_S, 1), self.now - age_s)
        self.began_at = self.now
        self.listed = {vm: ListedVm(vm, vm, "up", f"i-{vm}") for vm in KINDS}
        for vm in ("off", "spare"):
            self.listed[vm] = ListedVm(vm, "off", "up", "")
        self.loads = {
            "off": load("off", 0, 0),
            "idle": load("idle", 1, 2),
            "calm": load("calm", 2, 2),
            "busy": load("busy", 1, 1, waiting_cores_m=1000),
        }
        self.executors = {f"i-{vm}": Executor(executor_entry(vm, 4)) for vm in KINDS}
        for vm in ("calm", "busy"):
            step = Step(1, cores_m=1000, lasting=True)
            self.executors[f"i-{vm}"].allocate("t", 1, step)
        self.down_at = {}

    def plan(self):
        return self.planner.plan(
            self.listed,
            self.executors,
            self.now,
            lambda executor: True,
            room=PoolRoom.of(self.loads, self.listed),
        )

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            for vm, wave, executor in self.plan().orders:
                order = OrderedUpkeep(executor, self.now)
                self.planner.waves[wave].ordered[vm] = order
                self.planner.record_begun(wave, vm)
                self.down_at[vm] = self.now - self.began_at
            self.now += STEP_S


@given("a wave with a VM of each kind")
def step_wave(context):
    context.paced = PacedWave(0.0)


@given("a wave with a VM of each kind, whose age is unknown")
def step_unknown_age(context):
    context.paced = PacedWave(math.inf)


@given("a pool in which work waits needs {vms:d} VMs")
def step_needs(context, vms):
    world = context.paced
    world.loads["busy"] = attrs.evolve(world.loads["busy"], needed_vms=vms)


@given(
    "{vms:d} more VMs with lasting tasks in the pool busy, and {at_once:d} VMs at once"
)
def step_more_busy(context, vms, at_once):
    world = context.paced
    state = world.planner.waves[1]
    names = [f"busy{number}" for number in range(vms)]
    for vm in names:
        world.listed[vm] = ListedVm(vm, "busy", "up", f"i-{vm}")
        executor = world.executors[f"i-{vm}"] = Executor(executor_entry(f"i-{vm}", 4))
        executor.allocate("t", 1, Step(1, cores_m=1000, lasting=True))
    state.request = WaveRequest(1, (*KINDS, *names), WAVE_S, at_once)


@then("VMs of the pool busy go down before the VM off")
def step_busy_first(context):
    first = next(iter(context.paced.down_at))
    assert first.startswith("busy"), context.paced.down_at


@when("it has been carried out for {seconds:d} s")
def step_run(context, seconds):
    context.paced.run(seconds)


@then("the VMs {names} have gone down in this order")
def step_order(context, names):
    expected = names.replace(" and ", ", ").split(", ")
    assert list(context.paced.down_at) == expected, context.paced.down_at


@then("the VM {vm} has gone down, between second {least:d} and second {most:d}")
def step_down(context, vm, least, most):
    assert least <= context.paced.down_at[vm] <= most, context.paced.down_at


@when("the VM calm is drained and work begins to wait in its pool")
def step_gets_busy(context):
    world = context.paced
    for vm in ("off", "idle"):
        world.planner.record_begun(1, vm)
    step = Step(1, cores_m=1000)
    world.executors["i-calm"].allocate("u", 1, step)
    assert world.plan().cordoned == {"i-calm"}
    world.loads["calm"] = load("calm", 3, 2, waiting_cores_m=500)


@then("the VM calm is open")
def step_open(context):
    assert not context.paced.plan().cordoned


@then("{left:d} VMs, {at_once:d} at once, {hurry} with {seconds:d} s left")
def step_hurry(context, left, at_once, hurry, seconds):
    expected = {"hurry": True, "do not hurry": False}[hurry]
    found = must_hurry(left, at_once, UPKEEP_S, DRAIN_TIMEOUT_S, seconds)
    assert found is expected
