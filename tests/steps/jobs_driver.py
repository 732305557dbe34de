"""Steps for decisions of the scheduler that must reach executors."""

from behave import then, when
from jobs_life import SERVERS, unlist
from jobs_node import step_fields

EXECUTOR = "i-0"
CHANGE_LIMIT_MS = 60_000
HANG_MS = 30_000


def runs_of_first_task(world):
    """Return (kind, run) of the starts and ends of the first task's runs."""
    name = f"{world.job}.0.0.0"
    return [(kind, run) for kind, _, task, run in world.platform.trace if task == name]


@when("the first run of one task of a speculative job hangs")
def step_hangs(context):
    world = context.nodes

    def plan(task):
        hangs = task.endswith(".0.0") and not runs_of_first_task(world)
        return (HANG_MS if hangs else world.task_ms), "done"

    for instance in world.platform.instances.values():
        instance.executor.plan = plan
    assert world.submit([step_fields(4, speculative=True)]).status == 200
    world.rig.run_until(lambda: runs_of_first_task(world))


@when("its copy has started and takes {ms:d} ms")
def step_copy_started(context, ms):
    world = context.nodes
    world.task_ms = ms
    world.rig.run_until(lambda: ("start", 2) in runs_of_first_task(world))


@then("the run that hangs is stopped, and its copy was done")
def step_hanging_stopped(context):
    world = context.nodes
    world.rig.run_until(lambda: ("stopped", 1) in runs_of_first_task(world))
    assert ("done", 2) in runs_of_first_task(world)


@when("tasks of another job run on both executors")
def step_others_run(context):
    world, job = context.nodes, "00000000000000b2"
    world.task_ms = HANG_MS
    assert world.submit([step_fields(5)], job=job).status == 200

    def busy():
        return {
            executor
            for kind, executor, task, _ in world.platform.trace
            if kind == "start" and task.startswith(job)
        }

    world.rig.run_until(lambda: len(busy()) == 2)


@then("the task has started twice")
def step_started_twice(context):
    runs = runs_of_first_task(context.nodes)
    assert [run for kind, run in runs if kind == "start"] == [1, 2], runs


@when("the entry of the only executor lapses")
def step_entry_lapses(context):
    world = context.nodes
    world.entry = unlist(world, EXECUTOR)


@when("its lease outlasts the change of scheduler")
def step_long_lease(context):
    world = context.nodes
    executor = world.platform.instances[EXECUTOR].executor
    executor.deadline_ms = world.platform.now_ms() + CHANGE_LIMIT_MS


@when("the executor registers again")
def step_entry_back(context):
    context.nodes.platform.put(SERVERS, EXECUTOR, context.nodes.entry)


@when("a caller submits a long-running job with {tasks:d} fill tasks")
def step_fill_job(context, tasks):
    world = context.nodes
    world.lasting = True
    steps = [step_fields(tasks, longRunning=True, fills=True)]
    assert world.submit(steps).status == 200


@when("they have run for {seconds:g} s")
def step_have_run(context, seconds):
    context.nodes.rig.run_for(seconds)


@then("both tasks are paced to {percent:d} within {seconds:d} s")
def step_both_paced(context, percent, seconds):
    world = context.nodes
    world.rig.run_for(seconds)
    paced = {(task, value) for task, _, value in world.platform.paces}
    names = [f"{world.job}.0.0.{index}" for index in (0, 1)]
    assert paced == {(name, percent) for name in names}, paced


@when("the scheduling node is killed")
def step_scheduler_killed(context):
    world = context.nodes
    gone = world.scheduler()
    world.survivor = 1 - gone
    world.nodes[gone].close()
    world.nodes[gone] = None


@when("the caller cancels the job at the other node")
def step_cancel_other(context):
    world = context.nodes
    answer = world.call("DELETE", f"/q/{world.job}", node=world.survivor)
    assert answer.status == 200, answer


@when("the other node has scheduled for {seconds:g} s")
def step_other_scheduled(context, seconds):
    world = context.nodes
    world.rig.run_until(lambda: world.scheduler() == world.survivor)
    world.rig.run_for(seconds)


@then("it has no runs within {seconds:g} s")
def step_no_runs(context, seconds):
    world = context.nodes
    world.rig.run_for(seconds)
    runs = world.platform.instances[EXECUTOR].executor.runs
    assert not runs, runs


@when("the executor's entry is read {seconds:g} s after it was written")
def step_old_entry(context, seconds):
    world = context.nodes
    clock_ms = int(world.platform.now_ms() - seconds * 1000)
    entry = {**world.entry, "clockMs": clock_ms}
    world.platform.put(SERVERS, EXECUTOR, entry)
    world.rig.run_for(0.2)


@when("a job of 1 task that takes {seconds:g} s is submitted")
def step_one_task(context, seconds):
    world = context.nodes
    world.task_ms = seconds * 1000
    assert world.submit([step_fields(1)]).status == 200


@then("no run of it lapsed")
def step_no_lapse(context):
    assert [item[0] for item in context.nodes.platform.trace] == ["start", "done"], (
        context.nodes.platform.trace
    )
