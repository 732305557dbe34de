"""Steps for the attempts of gangs."""

from behave import given, then, when
from jobs_scheduler import CONFIG, SchedulerFixture

from cardamomgrade.jobs.records import decode_progress, JobState, PREFIX_PROGRESS
from cardamomgrade.jobs.reports import Outcome
from cardamomgrade.jobs.scheduler import Scheduler
from cardamomgrade.jobs.spec import Step

TASKS = 4


def failures(world):
    """Return the failures of each task, also as the next scheduler will know them."""
    job = world.scheduler.jobs[world.job]
    counts = [task.failures for state in job._steps.values() for task in state.tasks]
    stored = sorted(item.failures for item in job.record().tasks)
    assert stored == sorted(counts), (stored, counts)
    return counts


def change_scheduler(world):
    """Restore the job in a new scheduler from what is stored of it."""
    job, former = world.scheduler.jobs[world.job], world.scheduler
    world.scheduler = Scheduler(CONFIG)
    for executor in former.executors.values():
        world.scheduler.put_executor(executor.entry)
    stored = dict(former.take_dirty())[PREFIX_PROGRESS + world.job]
    world.scheduler.add_job(job.spec, decode_progress(stored), world.now_ms)


def begin(context, gang):
    world = context.jobs = SchedulerFixture(3, 2)
    world.add(Step(TASKS, cores_m=1000, gang=gang))
    assert len(world.plan()) == TASKS


@given("a gang whose run has begun")
def step_gang(context):
    begin(context, gang=True)


@given("4 tasks that form no gang, and run")
def step_tasks(context):
    begin(context, gang=False)


@when("{count:d} of its members fail, one after the other")
@when("{count:d} of them fail, one after the other")
def step_fail(context, count):
    for start in context.jobs.running[:count]:
        assert context.jobs.end(start, Outcome.FAILED)


@when("{count:d} of its members fail, after the other one ended broken")
def step_broken_first(context, count):
    world = context.jobs
    world.end(world.running[-1], Outcome.BROKEN)
    step_fail(context, count)


@when("{count:d} of its members fail, with a change of scheduler between")
def step_change_between(context, count):
    step_fail(context, 1)
    change_scheduler(context.jobs)
    step_fail(context, count - 1)


@when("{count:d} of its members fail, each with a change of scheduler")
def step_change_each(context, count):
    for _ in range(count):
        step_fail(context, 1)
        change_scheduler(context.jobs)


@when("{count:d} of its members fail, after their runs were marked lapsed")
def step_lapsed(context, count):
    world = context.jobs
    for name in {item.executor for item in world.running}:
        world.scheduler.mark_runs_lapsed(name, world.now_ms)
    step_fail(context, count)


@when("{count:d} of its members fail, each reported twice")
def step_twice(context, count):
    world = context.jobs
    for start in world.running[:count]:
        assert world.end(start, Outcome.FAILED)
        assert not world.end(start, Outcome.FAILED)


@when("its runs fail {runs:d} times, each with 1 to 4 of its members")
def step_runs_fail(context, runs):
    world = context.jobs
    for number in range(runs):
        world.plan()
        assert len(world.running) == TASKS
        step_fail(context, TASKS if number % 2 else 1)
        world.end_all(Outcome.BROKEN)


@when("its next run ends broken")
def step_next_broken(context):
    world = context.jobs
    world.end_all(Outcome.BROKEN)
    assert len(world.plan()) == TASKS
    world.end_all(Outcome.BROKEN)


@when("its next run is withdrawn")
def step_next_withdrawn(context):
    world = context.jobs
    assert len(world.plan()) == TASKS
    for start in world.running:
        world.scheduler.withdraw(start.executor, start.task, start.run)
    world.running.clear()


@then("one attempt is counted, and the gang starts again")
def step_one_attempt(context):
    step_attempts(context, 1)


@then("{count:d} attempts are counted, and the gang starts again")
def step_attempts(context, count):
    world = context.jobs
    assert failures(world) == [count] * TASKS, failures(world)
    world.end_all(Outcome.BROKEN)
    starts = world.plan()
    assert len(starts) == TASKS and world.state() is JobState.RUNNING


@then("the gang's job is failed")
def step_failed(context):
    assert context.jobs.state() is JobState.FAILED
    assert context.jobs.plan() == []


@then("each of the 3 has used one attempt, and the other one none")
def step_one_by_one(context):
    assert sorted(failures(context.jobs)) == [0, 1, 1, 1], failures(context.jobs)
