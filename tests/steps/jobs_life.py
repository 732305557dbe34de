"""Steps for executors that the platform stops listing, and lists again."""

import json

from behave import then, when

SERVERS = "keyed.servers"
NOTICE_S = 0.3  # the scheduler has read a record of the store by then
OTHER_JOB = "00000000000000b1"


def listed_fields(world, name):
    value, _ = world.platform.log.newest(SERVERS)[name.encode()]
    return json.loads(value)


def unlist(world, name):
    """Remove an executor's registration; return its fields."""
    fields = listed_fields(world, name)
    world.platform.put(SERVERS, name, None)
    world.rig.run_for(NOTICE_S)
    return fields


def run_job(world):
    """Run a job of one task to its end, so that the scheduler has used an executor."""
    steps = [{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 50}]
    assert world.submit(steps, job=OTHER_JOB).status == 200
    world.wait_state("completed", job=OTHER_JOB)
    world.rig.run_for(NOTICE_S)


@when("the only executor has run a job, and is unlisted and listed again")
def step_relisted(context):
    world = context.nodes
    run_job(world)
    fields = unlist(world, "i-0")
    world.platform.put(SERVERS, "i-0", fields)
    world.rig.run_for(NOTICE_S)


@when("the only executor has run a job, and another incarnation is listed in its place")
def step_other_incarnation(context):
    world = context.nodes
    run_job(world)
    fields = unlist(world, "i-0")
    world.platform.instances["i-0"].executor.name = "i-0-next"
    world.platform.put(SERVERS, "i-0-next", fields)
    world.rig.run_for(NOTICE_S)


@then("the scheduler knows {count:d} executors")
def step_known(context, count):
    world = context.nodes

    def known():
        _, samples = world.scrape(world.scheduler())
        return float(samples["cardamom_executors"])

    for _ in range(20):
        if known() == count:
            return
        world.rig.run_for(0.1)
    raise AssertionError(f"{known()} executors, not {count}")


@when("the only executor is unlisted while it runs a job, which is then completed")
def step_unlisted_busy(context):
    world = context.nodes
    world.task_ms = 1000
    steps = [{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 50}]
    assert world.submit(steps).status == 200
    world.rig.run_until(lambda: len(world.platform.trace) == 2)
    unlist(world, "i-0")
    world.wait_state("completed")


@then("all ends of runs are acknowledged to the executor")
def step_acknowledged(context):
    world = context.nodes
    executor = world.platform.instances["i-0"].executor
    world.rig.run_until(lambda: executor.next_end == 3 and not executor.ends)


@when("the only executor is silent and unlisted until its lease has lapsed")
def step_silent(context):
    world = context.nodes
    world.task_ms = 60_000
    steps = [{"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 50}]
    assert world.submit(steps, job=OTHER_JOB).status == 200
    world.rig.run_until(lambda: world.platform.trace)
    instance = world.platform.instances["i-0"]
    instance.silent = True
    context.fields = unlist(world, "i-0")
    world.rig.run_for(6.0)
    instance.silent = False


@when("it is listed again")
def step_listed(context):
    context.nodes.task_ms = 60
    context.nodes.platform.put(SERVERS, "i-0", context.fields)
