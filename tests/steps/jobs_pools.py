"""Steps for pools and for the demand estimate that sizes them."""

from behave import given, then, when

from cardamomgrade.jobs.demand import Demand
from cardamomgrade.jobs.pools import PoolLoad, PoolPlanner
from cardamomgrade.jobs.reports import ListedVm


class PoolFixture:
    """A planner with the loads of its pools and a VM list."""

    def __init__(self, sizes, needs, off):
        self.planner = PoolPlanner()
        self.now = 0.0
        self.excluded = set()
        self.listed = {}
        self.loads = {"off": PoolLoad("off", 0, (), 0, True)}
        for name, size in sizes.items():
            idle = tuple(f"i-{name}{number}" for number in range(size))
            self.loads[name] = PoolLoad(name, needs[name], idle, size, False)
            for executor in idle:
                vm = executor.replace("i-", "m-")
                self.listed[vm] = ListedVm(vm, name, "up", executor)
        for number in range(off):
            vm = f"m-off{number}"
            self.listed[vm] = ListedVm(vm, "off", "up", "")

    def plan(self):
        return self.planner.plan(self.loads, self.listed, self.now, self.excluded)


@given(
    'pools "a" that needs {need_a:d} of {size_a:d} VMs, "b" that needs {need_b:d} of '
    "{size_b:d} VMs and {off:d} VM that is off"
)
def step_pools(context, need_a, size_a, need_b, size_b, off):
    sizes, needs = {"a": size_a, "b": size_b}, {"a": need_a, "b": need_b}
    context.pools = PoolFixture(sizes, needs, off)


@then('the moves to "a" are the VM that is off and one idle VM of "b"')
def step_moves(context):
    moves = context.pools.plan()
    assert {item.pool for item in moves} == {"a"}
    pools = sorted(context.pools.listed[item.vm].pool for item in moves)
    assert pools == ["b", "off"], moves


@when("the moves are ordered")
def step_ordered(context):
    for move in context.pools.plan():
        context.pools.planner.record_ordered(move, context.pools.now)


@when("the moves are refused")
def step_refused(context):
    for move in context.pools.plan():
        context.pools.planner.record_refused(move, context.pools.now)


@then("no more moves are planned")
def step_no_moves(context):
    assert context.pools.plan() == []


@then("{count:d} moves are planned")
def step_count(context, count):
    assert len(context.pools.plan()) == count


@when("{seconds:d} s have passed")
def step_time(context, seconds):
    context.pools.now += seconds


@then('{count:d} VMs of "a" are switched off')
def step_switched_off(context, count):
    moves = context.pools.plan()
    assert len(moves) == count and {item.pool for item in moves} == {"off"}, moves


@when('every VM of "b" has runs')
def step_busy(context):
    load = context.pools.loads["b"]
    context.pools.loads["b"] = PoolLoad("b", load.needed_vms, (), load.size, False)


@when("the VM that is off is due for upkeep")
def step_due(context):
    context.pools.excluded.add("m-off0")


@given("work of {work:d} core-seconds arrives in each of {steps:d} steps of 250 ms")
def step_work(context, work, steps):
    context.demand = Demand()
    for number in range(steps):
        context.demand.record_arrival("s", work * 1000.0, number * 250.0)
    context.now_ms = (steps - 1) * 250.0


@then("the demand is {cores:d} cores at its end")
def step_demand(context, cores):
    assert context.demand.cores_m("s", context.now_ms) == cores * 1000


@then("the demand is {cores:d} cores {seconds:d} s later")
def step_demand_later(context, cores, seconds):
    later = context.demand.cores_m("s", context.now_ms + seconds * 1000)
    assert later == cores * 1000
