"""Steps for limits of tasks per executor."""

from behave import when

from cardamomgrade.jobs.reports import Outcome


@when("the task on the first executor is done")
def step_first_done(context):
    world = context.jobs
    (start,) = [item for item in world.running if item.executor == world.names[0]]
    world.end(start, Outcome.DONE)


@when("the runs of the first executor are marked lapsed while it is silent")
def step_lapsed_silent(context):
    world = context.jobs
    world.scheduler.executors[world.names[0]].unreachable = True
    world.scheduler.mark_runs_lapsed(world.names[0], world.now_ms)


@when("the first executor answers again without its ends")
def step_answers_again(context):
    world = context.jobs
    world.scheduler.executors[world.names[0]].unreachable = False
    world.scheduler.replan_executor(world.names[0])
