"""Steps for jobs that are pending until an executor has begun a run of them."""

import json

import attrs
from behave import given, then, when
from jobs_liveness import LONG_TASK_MS
from jobs_node import step_fields
from jobs_scheduler import CONFIG, SchedulerFixture

from cardamomgrade.jobs.customers import Customer
from cardamomgrade.jobs.records import decode_progress, JobState
from cardamomgrade.jobs.reports import Outcome
from cardamomgrade.jobs.spec import JobSpec, Step

JOBS = [f"00000000000000c{number}" for number in range(4)]
LATE_MS = 3000  # after a start of a task of 1 s, twice its objective and more
MS = 1000


def pending_count(world, node):
    answer = world.call("GET", "/q/", node=node)
    assert answer.status == 200, answer
    return json.loads(answer.body)["pendingCount"]


@when("all executors lose power, and {count:d} jobs are accepted")
def step_dark(context, count):
    world = context.nodes
    world.task_ms = LONG_TASK_MS
    for name in list(world.platform.instances):
        world.platform.lose_power(name)
    for job in JOBS[:count]:
        assert world.submit([step_fields(1)], job=job).status == 200


@when("the node that schedules is killed")
def step_killed(context):
    world = context.nodes
    world.rig.run_for(0.3)
    gone = world.scheduler()
    world.nodes[gone].close()
    world.nodes[gone] = None


@when("its executor is silent and the node that schedules is killed")
def step_silent_killed(context):
    for instance in context.nodes.platform.instances.values():
        instance.silent = True
    step_killed(context)


def live_nodes(world):
    return [number for number, node in enumerate(world.nodes) if node is not None]


@then("both nodes show {count:d} pending jobs for {seconds:d} s")
@then("the other node shows {count:d} pending jobs for {seconds:d} s")
def step_pending(context, count, seconds):
    world = context.nodes
    world.rig.run_for(0.5)
    end = world.rig.loop.now() + seconds
    while world.rig.loop.now() < end:
        for node in live_nodes(world):
            assert pending_count(world, node) == count, node
            assert world.state(node, JOBS[0]) == "pending"
        world.rig.run_for(0.2)


@when("a job with a task of {seconds:d} s is accepted")
def step_long(context, seconds):
    world = context.nodes
    world.task_ms = seconds * MS
    assert world.submit([step_fields(1)]).status == 200


@then("both nodes show it as running within {seconds:d} s, and no pending job")
def step_running(context, seconds):
    world = context.nodes
    world.rig.run_for(seconds)
    for node in live_nodes(world):
        assert world.state(node) == "running"
        assert pending_count(world, node) == 0


@then("the other node shows it as running for {seconds:d} s")
def step_stays(context, seconds):
    world = context.nodes
    (node,) = live_nodes(world)
    for _ in range(seconds * 2):
        assert world.state(node) == "running"
        assert pending_count(world, node) == 0
        world.rig.run_for(0.5)


def stored_states(world):
    """Return the states in the records that are to be stored now."""
    return [decode_progress(value).state for _, value in world.scheduler.take_dirty()]


def plan(world):
    """Plan without executors that say what they have begun; return the Starts."""
    return world.scheduler.plan(world.now_ms, world.wall_ms)


@then("the plan starts {count:d} tasks, which is stored as pending")
def step_placed(context, count):
    world = context.jobs
    context.starts = plan(world)
    assert len(context.starts) == count
    assert stored_states(world) == [JobState.PENDING]


@when("an executor says that it has begun one")
def step_begun(context):
    start = context.starts[0]
    context.jobs.scheduler.record_begun(start.task, start.run)
    plan(context.jobs)


@when("an executor says that it has begun one, and that it is done")
def step_done(context):
    step_begun(context)
    context.jobs.running.extend(context.starts)
    assert context.jobs.end(context.starts[0], Outcome.DONE)


@then("nothing is to be stored for {seconds:g} s")
def step_nothing(context, seconds):
    world = context.jobs
    end_ms = world.now_ms + seconds * MS
    while world.now_ms < end_ms:
        plan(world)
        assert stored_states(world) == []
        world.now_ms += 50


@then("the job is to be stored as running {seconds:g} s later, once")
def step_later(context, seconds):
    world = context.jobs
    world.now_ms += seconds * MS
    step_now(context)
    step_nothing(context, 2)


@then("the job is to be stored as running at once")
def step_now(context):
    plan(context.jobs)
    assert stored_states(context.jobs) == [JobState.RUNNING]


@given(
    "a scheduler with customers, and a job of one whose start has not been confirmed"
)
def step_customer(context):
    cfg = attrs.evolve(CONFIG, customers=(Customer("a", 1.0),))
    world = context.jobs = SchedulerFixture(1, 2)
    world.scheduler.set_config(cfg)
    step = Step(1, cores_m=1000, estimate_ms=1000)
    for job in JOBS[:2]:  # the tag of a customer's first job says nothing
        spec = JobSpec(job, "q", "s", "text", world.wall_ms, (step,), customer="a")
        world.scheduler.add_job(spec, now_ms=world.now_ms)
    context.starts = plan(world)
    assert len(context.starts) == 2
    assert charged(world) > 0


def charged(world):
    """Return the work of the second job that its customer is charged for."""
    return world.scheduler._shares._standings[JOBS[1]].core_ms


@when("the start is withdrawn, and the job can no longer be in time")
def step_late(context):
    world = context.jobs
    for start in context.starts:
        world.scheduler.unlist_executor(start.executor)
        world.scheduler.withdraw(start.executor, start.task, start.run)
    world.now_ms += LATE_MS
    assert plan(world) == []


@then("its customer gets its work back")
def step_refunded(context):
    assert charged(context.jobs) == 0
