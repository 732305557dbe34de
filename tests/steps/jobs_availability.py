"""Steps for the availability of lasting tasks."""

from behave import given, then, when
from jobs_scheduler import executor_entry

from cardamomgrade.jobs.availability import Availability
from cardamomgrade.jobs.executors import Executor
from cardamomgrade.jobs.spec import Step

SETTLE_S = 2.0


class AvailabilityWorld:
    """The tasks of one step on executors."""

    def __init__(self, tasks, budget, together):
        self.step = Step(tasks, cores_m=100, lasting=True, may_miss=budget)
        self.names = [f"j.0.0.{index}" for index in range(tasks)]
        self.state = Availability(lambda name: self.step)
        self.executors = []
        self.now = 0.0
        for index, name in enumerate(self.names):
            if not together or not self.executors:
                self.executors.append(Executor(executor_entry(f"e{index}", 4)))
            self.executors[-1].hold(name, 1, self.step)

    def may(self, index):
        return self.state.reserve(self.executors[index], self.now)


@given(
    "a lasting step of {tasks:d} tasks with a budget of {budget:d}, each on its own "
    "executor"
)
def step_apart(context, tasks, budget):
    context.lasting = AvailabilityWorld(tasks, budget, False)


@given(
    "a lasting step of {tasks:d} tasks with a budget of {budget:d}, both on one "
    "executor"
)
def step_together(context, tasks, budget):
    context.lasting = AvailabilityWorld(tasks, budget, True)


@when("all its tasks are at work")
def step_at_work(context):
    world = context.lasting
    assert not world.state.reported(world.names[0], 99, world.now)
    for name in world.names:
        assert world.state.reported(name, 100, world.now)


@then("the {place} executor may be emptied")
def step_may(context, place):
    assert context.lasting.may(["first", "second"].index(place))


@then("the {place} executor may not be emptied while {why}")
def step_may_not(context, place, why):
    assert not context.lasting.may(["first", "second"].index(place))


@when("the first task is at work elsewhere")
def step_elsewhere(context):
    world = context.lasting
    world.state.ended([world.names[0]])
    world.state.reported(world.names[0], 100, world.now)


@when("the third executor has not reported for {seconds:d} s")
def step_silent(context, seconds):
    world = context.lasting
    world.now += seconds
    for name in world.names[:2]:
        world.state.reported(name, 100, world.now)


@then("one of its tasks is stopped first")
def step_thinned(context):
    world = context.lasting
    assert world.state.thin_out(world.executors[0], world.now) == [world.names[0]]
    assert world.state.thin_out(world.executors[0], world.now) == []


@when("another scheduler began {seconds:g} s ago")
def step_began(context, seconds):
    world = context.lasting
    before = world.state
    world.state = Availability(lambda name: world.step, world.now - seconds + SETTLE_S)
    world.state._at_work = before._at_work


@then("none of its tasks is stopped yet")
def step_none_stopped(context):
    world = context.lasting
    assert world.state.thin_out(world.executors[0], world.now) == []
