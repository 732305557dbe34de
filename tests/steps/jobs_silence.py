"""Steps for executors that are silent when the scheduler changes."""

from behave import then, when
from jobs_node import step_fields

SILENT_TASK_MS = 60_000
KEY = b"silent/"
MS = 1000


def silent_keys(world):
    return [key for key in world.platform.log.newest("keyed.jobs") if key[:7] == KEY]


def wait_renewal(world, executor):
    """Run until a renewal, or a start, has extended an executor's lease."""
    deadline_ms = executor.deadline_ms
    world.rig.run_until(lambda: executor.deadline_ms > deadline_ms)


@when("an executor with runs falls silent right after a renewal of its lease")
def step_falls_silent(context):
    world = context.nodes
    world.task_ms = SILENT_TASK_MS
    world.survivor = 1 - world.scheduler()
    assert world.submit([step_fields(4)], world.survivor).status == 200
    world.rig.run_until(lambda: len(world.platform.trace) == 4)
    name = world.platform.trace[0][1]
    world.silent = world.platform.instances[name]
    world.tasks = set(world.silent.executor.runs)
    wait_renewal(world, world.silent.executor)
    world.silent.silent = True


@when("it is no longer registered")
def step_unregistered(context):
    world = context.nodes
    world.platform.put("keyed.servers", world.silent.executor.name, None)


def kill_scheduler(world):
    gone = world.scheduler()
    assert gone == 1 - world.survivor
    world.nodes[gone].close()
    world.nodes[gone] = None


@when("the scheduling node is killed {seconds:g} s later")
def step_killed_later(context, seconds):
    context.nodes.rig.run_for(seconds)
    kill_scheduler(context.nodes)


@when("it answers again once the store has a record of its silence")
def step_answers_again(context):
    world = context.nodes
    world.rig.run_until(lambda: silent_keys(world))
    world.silent.silent = False


@when("it falls silent and the scheduling node is killed right after the next renewal")
def step_killed_after_renewal(context):
    world = context.nodes
    wait_renewal(world, world.silent.executor)
    world.silent.silent = True
    kill_scheduler(world)


@when("it answers again while the store is down but has a record of its silence")
def step_answers_store_down(context):
    world = context.nodes
    world.rig.run_until(lambda: silent_keys(world))
    world.platform.faults.down = True
    world.silent.silent = False


def started_elsewhere(world):
    name = world.silent.executor.name
    return {
        task
        for kind, executor, task, _ in world.platform.trace
        if kind == "start" and executor != name and task in world.tasks
    }


def wait_elsewhere(world):
    """Run until every task of the silent executor started on another one.

    Checks at the first of these starts that the lease was over. Returns the seconds
    from the end of the lease until the last one.
    """
    executor = world.silent.executor
    world.rig.run_until(lambda: started_elsewhere(world))
    assert world.platform.now_ms() > executor.deadline_ms
    world.rig.run_until(lambda: started_elsewhere(world) == world.tasks)
    return (world.platform.now_ms() - executor.deadline_ms) / MS


@then("its tasks start elsewhere after its lease ends, but within {seconds:g} s")
def step_elsewhere_within(context, seconds):
    waited_s = wait_elsewhere(context.nodes)
    assert waited_s <= seconds, f"{waited_s:.2f} s after the end of the lease"


@then("its tasks start elsewhere only after its lease ends")
def step_elsewhere(context):
    wait_elsewhere(context.nodes)


@then("no executor is recorded as silent")
def step_no_record(context):
    world = context.nodes
    world.rig.run_until(lambda: not silent_keys(world))


@then("its lease is not renewed for {seconds:g} s")
def step_not_renewed(context, seconds):
    world = context.nodes
    deadline_ms = world.silent.executor.deadline_ms
    calls = world.silent.calls
    world.rig.run_for(seconds)
    assert world.silent.executor.deadline_ms == deadline_ms
    assert 1 < world.silent.calls - calls < 10, world.silent.calls - calls


@then("its lease is renewed before it ends")
def step_renewed(context):
    world = context.nodes
    wait_renewal(world, world.silent.executor)
    assert set(world.silent.executor.runs) == world.tasks
    assert not started_elsewhere(world)
