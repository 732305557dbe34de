"""Steps for the availability budgets of lasting tasks."""

from behave import given, then, when
from jobs_scheduler import executor_entry

from cardamomgrade.jobs.availability import Availability
from cardamomgrade.jobs.executors import Executor
from cardamomgrade.jobs.spec import Step

SETTLE_S = 2.0


class AvailabilityFixture:
    """The lasting tasks of one step, on one executor or one executor each."""

    def __init__(self, tasks, budget, same_executor):
        self.step = Step(tasks, cores_m=100, lasting=True, may_miss=budget)
        self.names = [f"j.0.0.{index}" for index in range(tasks)]
        self.state = Availability(lambda name: self.step)
        self.executors = []
        self.now = 0.0
        for index, name in enumerate(self.names):
            if not same_executor or not self.executors:
                self.executors.append(Executor(executor_entry(f"e{index}", 4)))
            self.executors[-1].allocate(name, 1, self.step)

    def may_take_down(self, index):
        return self.state.reserve(self.executors[index], self.now)


@given(
    "a lasting step of {tasks:d} tasks with a budget of {budget:d}, each on its own "
    "executor"
)
def step_separate_executors(context, tasks, budget):
    context.lasting = AvailabilityFixture(tasks, budget, False)


@given(
    "a lasting step of {tasks:d} tasks with a budget of {budget:d}, both on one "
    "executor"
)
def step_one_executor(context, tasks, budget):
    context.lasting = AvailabilityFixture(tasks, budget, True)


@when("all its tasks are ready")
def step_ready(context):
    world = context.lasting
    assert not world.state.record_readiness(world.names[0], 99, world.now)
    for name in world.names:
        assert world.state.record_readiness(name, 100, world.now)


@then("the {place} executor may be taken down")
def step_may_take_down(context, place):
    assert context.lasting.may_take_down(["first", "second"].index(place))


@then("the {place} executor may not be taken down while {why}")
def step_may_not_take_down(context, place, why):
    assert not context.lasting.may_take_down(["first", "second"].index(place))


@when("the first task is ready on another executor")
def step_ready_elsewhere(context):
    world = context.lasting
    world.state.record_ended([world.names[0]])
    world.state.record_readiness(world.names[0], 100, world.now)


@when("the third executor has not reported for {seconds:d} s")
def step_not_reporting(context, seconds):
    world = context.lasting
    world.now += seconds
    for name in world.names[:2]:
        world.state.record_readiness(name, 100, world.now)


@when("no executor has reported for {seconds:d} s")
def step_no_reports(context, seconds):
    context.lasting.now += seconds


@then("one of its tasks is stopped first")
def step_one_stopped(context):
    world = context.lasting
    assert world.state.select_excess_tasks(world.executors[0], world.now) == [
        world.names[0]
    ]
    assert world.state.select_excess_tasks(world.executors[0], world.now) == []


@when("another scheduler started {seconds:g} s ago")
def step_new_scheduler(context, seconds):
    world = context.lasting
    previous = world.state
    world.state = Availability(lambda name: world.step, world.now - seconds + SETTLE_S)
    world.state._ready_at = previous._ready_at


@then("none of its tasks is stopped yet")
def step_none_stopped(context):
    world = context.lasting
    assert world.state.select_excess_tasks(world.executors[0], world.now) == []


@then(
    "the first executor's counts are {tasks:d} task, {ready:d} ready, {away:d} away, "
    "budget {budget:d}"
)
def step_counts(context, tasks, ready, away, budget):
    world = context.lasting
    counts = world.state.count_steps(world.executors[0], world.now)
    assert counts == [("j.0.0", tasks, ready, away, budget)], counts
