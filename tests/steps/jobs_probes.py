"""Steps for tasks that try out quarantined executors."""

from behave import given, then, when

from cardamomgrade.jobs.reports import Outcome
from cardamomgrade.jobs.scheduler import QUARANTINE_MIN_MS
from cardamomgrade.jobs.spec import Step

LABELLED = {"e1", "e3"}  # SchedulerFixture gives every other executor the label


def quarantined(context):
    world = context.jobs
    health = world.scheduler._health
    return {name for name in world.names if health.is_quarantined(name)}


@given('hopeless jobs have quarantined both executors with label "a"')
def step_hopeless(context):
    world = context.jobs
    kept = list(world.running)
    for _ in range(2):
        world.add(Step(8, cores_m=500, label="a", per_executor=4))
        starts = world.plan()
        assert {item.executor for item in starts} == LABELLED, starts
        for start in starts:
            world.end(start, Outcome.FAILED)
        world.scheduler.cancel(world.job)
    assert world.running == kept
    assert quarantined(context) == LABELLED


@given("a lasting task runs on every executor")
def step_lasting_everywhere(context):
    world = context.jobs
    world.add(Step(4, cores_m=100, per_executor=1, lasting=True))
    assert len(world.plan()) == 4


@when('a job of {tasks:d} tasks with label "a" is added')
def step_labelled_job(context, tasks):
    context.jobs.add(Step(tasks, cores_m=1000, label="a"))


@when('a lasting step of {tasks:d} tasks with label "a" is added')
def step_labelled_lasting(context, tasks):
    context.jobs.add(Step(tasks, cores_m=1000, label="a", lasting=True))


@when('a job with one attempt left for its task with label "a" is added')
def step_one_left(context):
    world = context.jobs
    world.add(Step(1, cores_m=1000, label="a"))
    ((task,),) = [step.tasks for step in world.scheduler.jobs[world.job].ready_steps()]
    task.failures = 2
    task.failed_on = ["e8", "e9"]
    context.one_left = task


@when("{wait_ms:d} ms have passed")
def step_wait(context, wait_ms):
    context.jobs.now_ms += wait_ms


@when("the quarantine was to end")
def step_quarantine_over(context):
    world = context.jobs
    world.now_ms = QUARANTINE_MIN_MS + 1
    world.plan()


@then("the plan starts {count:d} tasks, on {executors:d} executors")
def step_plan_on(context, count, executors):
    context.started = context.jobs.plan()
    names = {item.executor for item in context.started}
    assert (len(context.started), len(names)) == (count, executors), context.started


@when("the probe on the first executor ends {outcome}")
def step_probe_ends(context, outcome):
    world = context.jobs
    (context.probe,) = [item for item in world.running if item.executor == "e1"]
    world.end(context.probe, Outcome(outcome))


@then("no executor is quarantined and the counts are right")
def step_none_quarantined(context):
    assert quarantined(context) == set()
    counts = context.jobs.scheduler._health._quarantined_counts
    assert set(counts.values()) == {0}, counts


@then("only the first executor is quarantined")
def step_first_quarantined(context):
    assert quarantined(context) == {"e1"}


@then("its probe is a task that did not fail there")
def step_other_task(context):
    (start,) = context.started
    assert start.executor == "e1" and start.task != context.probe.task


@then("the new job was chosen before the one with one attempt left")
def step_chosen_first(context):
    assert [item.task for item in context.started][1] == context.one_left.name


@then("no probe has started")
def step_no_probe(context):
    assert not {item.executor for item in context.jobs.running} & LABELLED


@when("every task of the gang ends as done")
def step_gang_done(context):
    context.jobs.end_all()


@then("one quarantined executor is left")
def step_one_left_quarantined(context):
    assert len(quarantined(context)) == 1


@when("the first executor refuses its probe")
def step_probe_refused(context):
    world = context.jobs
    (start,) = [item for item in world.running if item.executor == "e1"]
    world.running.remove(start)
    world.scheduler.withdraw("e1", start.task, start.run)
    world.scheduler.pause_executor("e1", world.now_ms + 1000)
