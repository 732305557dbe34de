"""Steps for pools and for the demand estimate that sizes them."""

import attrs
from behave import given, then, when

from cardamomgrade.jobs.demand import Demand, HALF_WINDOW_MS
from cardamomgrade.jobs.pools import PoolLoad, PoolPlanner
from cardamomgrade.jobs.reports import ListedVm
from cardamomgrade.jobs.shares import fair_shares

PARTS = 25


class PoolFixture:
    """A planner with the loads of its pools and a VM list."""

    def __init__(self, sizes, needs, off):
        self.planner = PoolPlanner()
        self.now = 0.0
        self.excluded = set()
        self.listed = {}
        self.loads = {"off": PoolLoad("off", 0, 0, (), 0, True)}
        for name, size in sizes.items():
            idle = tuple(f"i-{name}{number}" for number in range(size))
            self.loads[name] = PoolLoad(
                name, needs[name], needs[name], idle, size, False
            )
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
    context.pools.loads["b"] = attrs.evolve(load, idle=())


@when("the VM that is off is due for upkeep")
def step_due(context):
    context.pools.excluded.add("m-off0")


@given("work of {work:d} core-seconds arrives in each of {steps:d} steps of 250 ms")
def step_work(context, work, steps):
    context.demand = Demand()
    for number in range(steps):
        context.demand.record_arrival("s", work * 1000.0, number * 250.0)
    context.now_ms = (steps - 1) * 250.0


@given("work arrives at rates of {rates} cores, each for {each:d} ms")
def step_rates(context, rates, each):
    context.demand = Demand()
    context.now_ms = 0.0
    for rate in rates.replace(" and", ",").split(","):
        for _ in range(PARTS):
            context.now_ms += each / PARTS
            core_ms = int(rate) * each / PARTS
            context.demand.record_arrival("s", core_ms, context.now_ms)


@then("the demand is between {least:d} and {most:d} cores at its end")
def step_demand_between(context, least, most):
    cores = context.demand.cores_m("s", context.now_ms) / 1000
    assert least <= cores <= most, cores


@then("the demand is {cores:d} cores at its end")
def step_demand(context, cores):
    assert context.demand.cores_m("s", context.now_ms) == cores * 1000


@then("the demand is {cores:d} cores {seconds:d} s later")
def step_demand_later(context, cores, seconds):
    later = context.demand.cores_m("s", context.now_ms + seconds * 1000)
    assert later == cores * 1000


@then("needs of {needs} VMs share {total:d} VMs as {shares}")
def step_shares(context, needs, total, shares):
    needed = [int(item) for item in needs.replace(" and", ",").split(",")]
    expected = [int(item) for item in shares.replace(" and", ",").split(",")]
    found = fair_shares(dict(enumerate(needed)), total)
    assert [found[number] for number in range(len(needed))] == expected, found


@when('every VM of "b" runs tasks that end')
def step_closable(context):
    load = context.pools.loads["b"]
    context.pools.loads["b"] = attrs.evolve(load, idle=(), closable=load.idle)


@when('{count:d} VMs that "b" needs are for late work')
def step_late(context, count):
    load = context.pools.loads["b"]
    context.pools.loads["b"] = attrs.evolve(load, urgent_vms=load.needed_vms - count)


@then('the {count:d} least busy VMs of "b" are closed')
def step_closed(context, count):
    fixture = context.pools
    context.closed = fixture.loads["b"].closable[:count]
    assert set(fixture.planner.closed) == set(context.closed), fixture.planner.closed


@then('{count:d} other VMs of "b" are closed')
def step_others_closed(context, count):
    closed = set(context.pools.planner.closed)
    assert len(closed) == count and closed.isdisjoint(context.closed), closed


@when("the closed VMs are idle")
def step_closed_idle(context):
    load = context.pools.loads["b"]
    context.pools.loads["b"] = attrs.evolve(
        load,
        idle=context.closed,
        closable=tuple(item for item in load.closable if item not in context.closed),
    )


@then('the moves to "a" are the VMs that were closed')
def step_moves_closed(context):
    moves = context.pools.plan()
    assert {item.executor for item in moves} == set(context.closed), moves
    assert {item.pool for item in moves} == {"a"}


@then("{count:d} moves are planned if the platform takes {most:d}")
def step_max_moves(context, count, most):
    fixture = context.pools
    moves = fixture.planner.plan(
        fixture.loads, fixture.listed, fixture.now, fixture.excluded, most
    )
    assert len(moves) == count, moves


@given("{older:d} jobs in the older half of the window and {newer:d} in the newer one")
def step_halves(context, older, newer):
    context.demand = Demand()
    context.rate = newer * 100.0 / HALF_WINDOW_MS
    context.now_ms = 2 * HALF_WINDOW_MS
    for count, end_ms in ((older, HALF_WINDOW_MS), (newer, context.now_ms)):
        for number in range(count):
            at_ms = end_ms - HALF_WINDOW_MS * number / count
            context.demand.record_arrival("s", 100.0, at_ms)


@then("their demand is extrapolated")
def step_extrapolated(context):
    assert context.demand.cores_m("s", context.now_ms) > context.rate * 1000 * 1.5


@then("their demand is not extrapolated")
def step_not_extrapolated(context):
    assert context.demand.cores_m("s", context.now_ms) < context.rate * 1000 * 1.1
