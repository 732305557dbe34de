"""Steps for a scheduler and its successor that schedule or act at the same time."""

from collections import Counter

from behave import then, when
from jobs_node import step_fields

from harness import free_port

LONG_MS = 60_000


def cut_from_store(node):
    """Close a node's connections to the store; let all later ones fail."""
    driver = node._driver
    port = free_port()
    for topic in (
        node._follower._client,
        node._operator_follower._client,
        node._append_topic,
        node._sync_topic,
        node._candidacy_topic,
        driver._jobs_topic,
        driver._executors._client,
        driver._vms._status_topic,
    ):
        for requester in (topic._reads, topic._appends):
            requester._port = port
            if requester._conn is not None:
                requester._conn.abort()


@when("a caller submits a job of 1 long task")
def step_long_job(context):
    world = context.nodes
    world.task_ms = LONG_MS
    world.survivor = 1 - world.scheduler()
    assert world.submit([step_fields(1)], world.survivor).status == 200
    world.rig.run_until(lambda: world.platform.trace)


@when("the scheduling node is cut off from the store, and the executor is unlisted")
def step_cut_off(context):
    world = context.nodes
    cut_from_store(world.nodes[world.scheduler()])
    world.platform.put("keyed.servers", world.platform.trace[0][1], None)
    world.rig.run_until(lambda: world.nodes[world.survivor].scheduling)


@when("its successor has scheduled for {seconds:g} s")
def step_succeeded(context, seconds):
    world = context.nodes
    world.rig.run_until(lambda: world.nodes[world.survivor].scheduling)
    world.rig.run_for(seconds)


@then("no task has runs on two executors")
def step_no_two_runs(context):
    instances = context.nodes.platform.instances.values()
    for item in instances:
        item.executor.end_due_runs(context.nodes.platform.now_ms())
    runs = Counter(task for item in instances for task in item.executor.runs)
    assert runs and max(runs.values()) == 1, runs
