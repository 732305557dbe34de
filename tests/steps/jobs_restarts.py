"""Steps for executors of the emulated platform that start again under their id."""

from behave import given, then, when
from jobs_node import NodeWorld, step_fields, WAIT_S

NAME = "i-0"
SECOND = "i-1"
TASK_MS = 300


def begin(nodes):
    world = NodeWorld(nodes, 0)
    world.restarts = []
    return world


@given("{nodes:d} nodes on an emulated platform with an executor born at {born:d}")
def step_nodes(context, nodes, born):
    context.nodes = begin(nodes)
    context.nodes.platform.add_executor(NAME, "s", 4000, 64_000, born=born)


@given("another executor born at {born:d}")
def step_second(context, born):
    context.nodes.platform.add_executor(SECOND, "s", 4000, 64_000, born=born)


@when("a job of {tasks:d} tasks of {seconds:d} s runs on it")
def step_job(context, tasks, seconds):
    world = context.nodes
    world.task_ms = seconds * 1000
    assert world.submit([step_fields(tasks)]).status == 200
    world.rig.run_until(lambda: len(world.platform.trace) == tasks)
    world.rig.run_for(0.2)
    world.task_ms = TASK_MS


def restart(world, name, born, **how):
    instance = world.platform.instances[name]
    instance.requests.clear()
    world.platform.restart_executor(name, born, **how)


@when("it starts again with born {born:d} {how}")
def step_restart(context, born, how):
    world = context.nodes
    same_port = how.startswith("at its port")
    if how.endswith("registers"):
        restart(world, NAME, born, same_port=same_port)
        return
    restart(world, NAME, born, same_port=same_port, register=False)
    world.rig.run_for(1.0)
    world.platform.register_executor(NAME)


@when(
    "the node that schedules is killed, and the executor starts again with born "
    "{born:d}"
)
def step_takeover(context, born):
    world = context.nodes
    gone = world.scheduler()
    world.survivor = 1 - gone
    world.nodes[gone].close()
    world.nodes[gone] = None
    restart(world, NAME, born)


@when(
    "{jobs:d} jobs come in {seconds:d} s, while each executor starts again every "
    "{interval:g} s"
)
def step_flapping(context, jobs, seconds, interval):
    world = context.nodes
    world.task_ms = TASK_MS
    world.jobs = [f"{number:016x}" for number in range(1, jobs + 1)]
    next_restart = [interval, interval / 2]
    start = world.rig.loop.now()
    for number, job in enumerate(world.jobs):
        assert world.submit([step_fields(1), step_fields(1, after=[0])], job=job)
        while world.rig.loop.now() - start < seconds * (number + 1) / jobs:
            world.rig.run_for(0.02)
            for index, name in enumerate((NAME, SECOND)):
                if world.rig.loop.now() - start > next_restart[index]:
                    born = 2000 + int((world.rig.loop.now() - start) * 1000)
                    how = (len(world.restarts) % 4, 2)
                    world.restarts.append(name)
                    restart(
                        world, name, born, same_port=how[0] < 2, register=how[0] % 2 > 0
                    )
                    if how[0] % 2 == 0:
                        world.rig.loop.call_later(
                            0.1, lambda n=name: world.platform.register_executor(n)
                        )
                    next_restart[index] += interval


def check_runs(world):
    """Fail if a task ran twice at a time, or again after its end as done."""
    running, done = {}, set()
    for kind, executor, task, run in world.platform.trace:
        if kind == "start":
            assert task not in running, (task, run, running[task])
            running[task] = (executor, run)
        else:
            assert running.pop(task, None) == (executor, run), (kind, task, run)
        if kind == "done":
            done.add(task)
    return done


@then(
    "the job is completed, and each task ended done once and never ran twice at a time"
)
def step_once_each(context):
    world = context.nodes
    world.wait_state("completed")
    check_runs(world)
    done = world.done()
    assert len(done) == len(set(done)) == 4, done


@then("the job is completed at the other node, and no task ever ran twice at a time")
def step_completed_there(context):
    world = context.nodes
    world.wait_state("completed", world.survivor)
    check_runs(world)


@then("no acknowledgement to born {born:d} is above the ends that it reported")
def step_acks(context, born):
    instance = context.nodes.platform.instances[NAME]
    assert instance.executor.born == born
    acks = [fields["ackIndex"] for path, fields in instance.requests if "hold" in path]
    assert acks and max(acks) < instance.executor.next_end, acks


@then("all jobs are completed, and no task ever ran twice at a time")
def step_all(context):
    world = context.nodes
    assert len(world.restarts) > 10, world.restarts
    for job in world.jobs:
        world.wait_state("completed", job=job)
    check_runs(world)


@when("it is idle and starts again with born {born:d}, registering {when}")
def step_idle_restart(context, born, when):
    world = context.nodes
    world.wait_state("completed")
    executor = world.platform.instances[NAME].executor
    world.rig.run_until(lambda: executor.next_end == 5 and not executor.ends)
    restart(world, NAME, born, register=when == "at once")


@when("a job of {tasks:d} tasks of {ms:d} ms comes")
def step_short_job(context, tasks, ms):
    world = context.nodes
    world.task_ms = ms
    world.second = "00000000000000b1"
    assert world.submit([step_fields(tasks)], job=world.second).status == 200
    world.rig.run_for(1.0)
    world.platform.register_executor(NAME)


@then("that job is completed, and each of its {tasks:d} tasks ended done once")
def step_short_done(context, tasks):
    world = context.nodes
    world.wait_state("completed", job=world.second)
    check_runs(world)
    done = world.done(world.second)
    assert len(done) == len(set(done)) == tasks, done


@when("a job comes whose task restarts each executor that starts it")
def step_restarting_task(context):
    world = context.nodes
    world.task_ms = TASK_MS
    assert world.submit([step_fields(1)]).status == 200
    context.seen = 0
    context.takes_over = False


@when("the node that schedules is killed as the task starts for the first time")
def step_killed_at_start(context):
    context.takes_over = True


@then("the job fails before its task has started three times after three restarts")
def step_given_up(context):
    world = context.nodes
    node = 0

    def check():
        starts = [item for item in world.platform.trace if item[0] == "start"]
        for number, (_, name, _, _) in enumerate(starts[context.seen :], context.seen):
            if number == 0 and context.takes_over:
                gone = world.scheduler()
                context.survivor = 1 - gone
                world.nodes[gone].close()
                world.nodes[gone] = None
            restart(world, name, 10_000 + number)
        context.seen = len(starts)
        return context.seen

    deadline = world.rig.loop.now() + WAIT_S
    state = None
    while state != "failed" and world.rig.loop.now() < deadline:
        world.rig.run_for(0.02)
        check()
        if context.takes_over and context.seen:
            node = context.survivor
        state = world.state(node)
    assert state == "failed", (state, world.platform.trace)
    assert context.seen < 3 + 3, world.platform.trace


@given("each has run a task")
def step_warm_up(context):
    world = context.nodes
    steps = [step_fields(2, cpu=4000)]
    assert world.submit(steps, job="00000000000000b1").status == 200
    world.wait_state("completed", job="00000000000000b1")
    assert {row[1] for row in world.platform.trace} == {NAME, SECOND}


@when("one of them goes dark as a job of {tasks:d} tasks of {seconds:d} s comes")
def step_dark(context, tasks, seconds):
    world = context.nodes
    world.task_ms = seconds * 1000
    world.platform.lose_power(NAME)
    calls = world.platform.instances[NAME].calls
    assert world.submit([step_fields(tasks)]).status == 200
    world.rig.run_until(lambda: world.platform.instances[NAME].calls > calls)


@when(
    "it starts again {dark_s:g} s later, but none of its answers arrive for "
    "{seconds:d} s"
)
def step_cut_off(context, dark_s, seconds):
    world = context.nodes
    world.rig.run_for(dark_s)
    instance = world.platform.instances[NAME]
    instance.silent, instance.loses_answers = False, True
    restart(world, NAME, 2000, register=False)
    world.rig.run_for(seconds)
    instance.loses_answers = False
    world.platform.register_executor(NAME)


@then("no task ever ran twice at a time")
def step_never_twice(context):
    check_runs(context.nodes)
