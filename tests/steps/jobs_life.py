"""Steps for executors that the platform stops listing, and lists again."""

import json
import time

from behave import then, when
from jobs_node import SETTINGS, step_fields, TASK_MS

from cardamomgrade.jobs.executors import Executor

SERVERS = "keyed.servers"
NOTICE_S = 0.3  # the scheduler has read a record of the store by then
OTHER_JOB = "00000000000000b1"
ENDS_WITHOUT_SCHEDULER_MS = 1200  # after the kill, and before another node is elected


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
    assert world.submit([step_fields(1)], job=OTHER_JOB).status == 200
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
    assert world.submit([step_fields(2)]).status == 200
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
    assert world.submit([step_fields(1)], job=OTHER_JOB).status == 200
    world.rig.run_until(lambda: world.platform.trace)
    instance = world.platform.instances["i-0"]
    instance.silent = True
    context.fields = unlist(world, "i-0")
    world.rig.run_for(6.0)
    instance.silent = False


@when("it is listed again")
def step_listed(context):
    context.nodes.task_ms = TASK_MS
    context.nodes.platform.put(SERVERS, "i-0", context.fields)


def lose_result(agent):
    """Let the agent's next renewal end without a callback."""
    client = agent._client
    renew = client.renew

    def lose(*_):
        client.renew = renew

    client.renew = lose


def part_record(agent):
    agent._executor = Executor(agent._executor.entry)


PARTINGS = {
    "a renewal never reports its result": lose_result,
    "the agent is left with another record": part_record,
}


@when("{fault} before the only executor runs a job")
def step_parted(context, fault):
    world = context.nodes
    agents = world.nodes[0]._driver._agents
    world.rig.run_until(lambda: "i-0" in agents)
    PARTINGS[fault](agents["i-0"])
    assert world.submit([step_fields(2)]).status == 200


@when(
    "the scheduler is paused for {seconds:d} s and the only executor is silent in a job"
)
def step_paused(context, seconds):
    world = context.nodes
    world.task_ms = 6000
    assert world.submit([step_fields(2)]).status == 200
    instance = world.platform.instances["i-0"]
    world.rig.run_until(lambda: len(instance.executor.runs) == 2)
    world.rig.run_for(NOTICE_S)
    context.agent = world.nodes[0]._driver._agents["i-0"]
    instance.silent = True
    time.sleep(seconds)


@then("the executor keeps its agent")
def step_same_agent(context):
    world = context.nodes
    world.rig.run_for(0.5)
    assert world.nodes[0]._driver._agents["i-0"] is context.agent


@when(
    "the scheduling node is killed while executors that list {count:d} older ends "
    "run a job"
)
def step_killed_with_ends(context, count):
    world = context.nodes
    killed = world.scheduler()
    world.survivor = 1 - killed
    world.task_ms = ENDS_WITHOUT_SCHEDULER_MS
    assert world.submit([step_fields(4)], world.survivor).status == 200
    world.rig.run_until(lambda: len(world.platform.trace) == 4)
    world.nodes[killed].close()
    world.nodes[killed] = None
    for instance in world.platform.instances.values():
        executor = instance.executor
        assert executor.next_end == 1
        executor.ends = [
            [number, f"{OTHER_JOB}.0.0.{number}", 1, "done", ""]
            for number in range(1, count + 1)
        ]
        executor.next_end = count + 1


def forget_old_jobs(world):
    """Let the scheduler forget jobs as if callers could not query them any more."""
    driver = world.nodes[0]._driver
    driver._forget_jobs(world.rig.loop.now())
    driver._forget_jobs(world.rig.loop.now() + SETTINGS.status_ms)
    world.rig.run_for(NOTICE_S)


def stored_keys(world):
    newest = world.platform.log.newest("keyed.jobs")
    return {key.decode() for key, (value, _) in newest.items() if value}


@when("a caller cancels a long-running job whose executor is silent")
def step_cancel_silent(context):
    world = context.nodes
    world.lasting = True
    assert world.submit([step_fields(1, longRunning=True)]).status == 200
    instance = world.platform.instances["i-0"]
    world.rig.run_until(lambda: instance.executor.runs)
    instance.silent = True
    assert world.call("DELETE", f"/q/{world.job}").status == 200
    world.rig.run_for(NOTICE_S)


@then("its records are kept after the time in which callers may query it")
def step_records_kept(context):
    world = context.nodes
    forget_old_jobs(world)
    assert f"job/{world.job}" in stored_keys(world), stored_keys(world)


@when("its executor answers again and ends the run")
def step_answers_again(context):
    world = context.nodes
    instance = world.platform.instances["i-0"]
    instance.silent = False
    executor = world.nodes[0]._driver._scheduler.executors["i-0"]
    world.rig.run_until(lambda: not executor.allocations)


@then("its records are deleted")
def step_records_deleted(context):
    world = context.nodes
    forget_old_jobs(world)
    left = [key for key in stored_keys(world) if key.endswith(world.job)]
    assert left == [], left
