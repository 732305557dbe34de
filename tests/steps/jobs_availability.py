"""Steps for the availability budgets of lasting tasks."""

from behave import given, then, when
from jobs_scheduler import executor_entry

from cardamomgrade.jobs.availability import Availability
from cardamomgrade.jobs.executors import Executor
from cardamomgrade.jobs.progress import JobProgress
from cardamomgrade.jobs.reports import RunningTask
from cardamomgrade.jobs.spec import JobSpec, Step

SETTLE_S = 2.0


class AvailabilityFixture:
    """The lasting tasks of one step, on one executor or one executor each."""

    def __init__(self, tasks, budget, same_executor):
        self.step = Step(tasks, cores_m=100, lasting=True, may_miss=budget)
        job = JobProgress(JobSpec("j", "q", "s", "", 0, (self.step,)), 1)
        job.open_due_occurrences(0)
        (self.step_state,) = job.ready_steps()
        self.job = job
        self.state = self.availability()
        self.executors = []
        self.now = 0.0
        for index, task in enumerate(self.step_state.tasks):
            if not same_executor or not self.executors:
                self.add_executor(f"e{index}")
            self.place(task, self.executors[-1])

    @property
    def names(self):
        return [str(task.id) for task in self.step_state.tasks]

    def availability(self, **fields):
        return Availability(lambda name: self.step_state, **fields)

    def add_executor(self, name):
        self.executors.append(Executor(executor_entry(name, 4)))

    def place(self, task, executor):
        """Start the next run of a task, after the executor of its last run lost it."""
        for item in self.executors:
            if item.name == task.executor:
                item.release(str(task.id), task.run)
        self.job.place(task, executor.name)
        executor.allocate(str(task.id), task.run, self.step)

    def report(self, index, percent=100, run=None):
        task = self.step_state.tasks[index]
        item = RunningTask(str(task.id), run or task.run, "", percent, 0)
        return self.state.record_readiness(item, self.now)

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
    assert not world.report(0, 99)
    for index in range(len(world.names)):
        assert world.report(index)


@then("the {place} executor may be taken down")
def step_may_take_down(context, place):
    assert context.lasting.may_take_down(["first", "second"].index(place))


@then("the {place} executor may not be taken down while {why}")
def step_may_not_take_down(context, place, why):
    assert not context.lasting.may_take_down(["first", "second"].index(place))


@when("the first task is ready on another executor")
def step_ready_elsewhere(context):
    world = context.lasting
    task = world.step_state.tasks[0]
    world.state.record_ended([(str(task.id), task.run)])
    world.add_executor("elsewhere")
    world.place(task, world.executors[-1])
    world.report(0)


@when("the third executor has not reported for {seconds:d} s")
def step_not_reporting(context, seconds):
    world = context.lasting
    world.now += seconds
    for index in range(2):
        world.report(index)


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
    world.state = world.availability(settled_at=world.now - seconds + SETTLE_S)
    world.state._ready = previous._ready


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


@when("all its tasks are in their second run")
def step_second_runs(context):
    world = context.lasting
    for task, executor in zip(world.step_state.tasks, world.executors, strict=True):
        world.place(task, executor)


@when("the end of run 1 of the first task is reported")
def step_old_end(context):
    world = context.lasting
    world.state.record_ended([(world.names[0], 1)])


@when("the first task is placed again after its lease lapsed")
def step_placed_again(context):
    world = context.lasting
    world.add_executor("elsewhere")
    world.place(world.step_state.tasks[0], world.executors[-1])


@when("run {run:d} of the first task is reported as ready")
@when("run {run:d} of the first task is still reported as ready")
def step_run_ready(context, run):
    context.lasting.report(0, run=run)


@when("only the first task is reported for {seconds:d} s")
def step_first_reported(context, seconds):
    context.lasting.now += seconds
    context.lasting.report(0)


def may_send_stop(world):
    task = world.step_state.tasks[0]
    return world.state.may_send_stop(str(task.id), task.run, world.now)


@then("its stop is not sent")
def step_stop_withheld(context):
    assert not may_send_stop(context.lasting)


@then("its stop is sent")
def step_stop_sent(context):
    assert may_send_stop(context.lasting)
