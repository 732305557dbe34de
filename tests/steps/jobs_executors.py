"""Steps for executors that register again."""

from behave import when


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
