"""Steps for the log lines on jobs that stand still."""

import json
from io import StringIO

from behave import then, when

from cardamomgrade import journal
from cardamomgrade.health import Health
from cardamomgrade.jobs.reports import Outcome
from cardamomgrade.jobs.scheduler import QUARANTINE_MIN_MS
from cardamomgrade.jobs.spec import Step

TICK_MS = 150
STOP_MS = 1050


def log_stalls(context):
    """Return the JobStalled lines that one call logs."""
    world, stream = context.jobs, StringIO()
    journal.start_logging("jobs", "n1", stream)
    try:
        world.scheduler.log_stalls(world.now_ms)
    finally:
        journal.stop_logging()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    return [line for line in lines if line["event_name"] == "JobStalled"]


@when("it is planned every 150 ms for {seconds:d} s")
def step_planned(context, seconds):
    world, context.stalls = context.jobs, []
    began_ms = world.now_ms
    while world.now_ms - began_ms <= seconds * 1000:
        world.plan()
        for line in log_stalls(context):
            context.stalls.append((world.now_ms - began_ms, line))
        world.now_ms += TICK_MS


@when("its tasks end every second while nothing answers in between, for {seconds:d} s")
def step_stopped(context, seconds):
    world, context.stalls = context.jobs, []
    for _ in range(seconds):
        world.end_all(Outcome.STOPPED)
        context.stalls.extend(log_stalls(context))
        assert world.plan()
        world.now_ms += STOP_MS


@when("a job of {tasks:d} tasks with at most {limit:d} on each executor is added")
def step_limited(context, tasks, limit):
    context.jobs.add(Step(tasks, cores_m=1000, per_executor=limit))


@when(
    "a lasting step of {tasks:d} tasks with at most {limit:d} on each executor is added"
)
def step_limited_lasting(context, tasks, limit):
    context.jobs.add(Step(tasks, cores_m=1000, per_executor=limit, lasting=True))


@when("its tasks are done")
def step_done(context):
    context.jobs.plan()
    context.jobs.end_all()


@when("two executors are quarantined and two are paused")
def step_aside(context):
    world = context.jobs
    health = world.scheduler._health = Health(1, QUARANTINE_MIN_MS, 9999, 0.5)
    for name in world.names[:2]:
        health.failed(name, "s", "j1", len(world.names), world.now_ms)
    for name in world.names[2:]:
        world.scheduler.pause_executor(name, world.now_ms + 9999)


@when("every executor falls silent")
def step_silent(context):
    for executor in context.jobs.scheduler.executors.values():
        executor.unreachable = True


@when("{count:d} jobs wait for a label that no executor has")
def step_jobs_wait(context, count):
    for _ in range(count):
        context.jobs.add(Step(1, cores_m=1000, label="z"))


@when("all jobs are cancelled")
def step_all_cancelled(context):
    for name in context.jobs.scheduler.jobs:
        context.jobs.scheduler.cancel(name)


@then("{count:d} stalls are logged")
def step_count(context, count):
    assert len(context.stalls) == count, context.stalls


@then("{count:d} stalls are logged, after {times}")
def step_times(context, count, times):
    expected = {int(text) for text in times.removesuffix(" ms").split(" and ")}
    assert len(context.stalls) == count, context.stalls
    assert {at_ms for at_ms, _ in context.stalls} == expected, context.stalls


@then("each counts {count:d} waiting tasks, and executors {states}")
def step_states(context, count, states):
    pairs = [text.split() for text in states.split(", ")]
    expected = {name: int(number) for name, number in pairs}
    for _, line in context.stalls:
        assert (line["waiting"], line["silent"]) == (count, 0), line
        assert line["executors"] == expected, line
        assert line["service"] == "s" and line["step"].endswith(".0.0"), line


@then("each counts {count:d} silent tasks")
def step_silent_count(context, count):
    for _, line in context.stalls:
        assert (line["waiting"], line["silent"]) == (0, count), line
