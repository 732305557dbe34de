"""Steps for executors that register again."""

import attrs
from behave import then, when


@when("the executor is closed to new runs, dropped, and registers again")
def step_cordoned_again(context):
    scheduler = context.jobs.scheduler
    (executor,) = scheduler.executors.values()
    scheduler.cordon({executor.name})
    scheduler.unlist_executor(executor.name)
    scheduler.forget_executor(executor.name)
    scheduler.put_executor(executor.entry)


@when("no executor is closed to new runs any more")
def step_open(context):
    context.jobs.scheduler.cordon(set())


def resize(context, cores):
    scheduler = context.jobs.scheduler
    (executor,) = scheduler.executors.values()
    scheduler.put_executor(attrs.evolve(executor.entry, cores_m=cores * 1000))


@when("the executor shrinks to {cores:d} cores before the starts are sent")
def step_shrinks(context, cores):
    resize(context, cores)


@when("the executor grows to {cores:d} cores")
def step_grows(context, cores):
    resize(context, cores)


@then("{count:d} of the starts are sent")
def step_sent(context, count):
    world, sent = context.jobs, 0
    for start in world.running:
        if world.scheduler.is_valid_start(start):
            sent += 1
        else:
            world.scheduler.withdraw(start.executor, start.task, start.run)
    assert sent == count, sent
