"""Steps for executors that were silent when runs were lost with them."""

import json

import cbor2
from behave import given, then, when
from jobs_incarnations import DriverWorld, JOB, NAME, pass_without, SOON_S, TASK

from cardamomgrade.errors import RecordError
from cardamomgrade.jobs.records import decode_progress, encode, ProgressRecord
from cardamomgrade.jobs.reports import ListedVm, LossCause, OrderResult
from cardamomgrade.jobs.store import Entry

OTHER = "i-1"  # an executor of another VM, which is always up
IDS = {"its id": NAME, "no id": "", "another": "i-0-next"}


@when("born {born:d} is silent for {seconds:d} s, and is unlisted and forgotten")
def step_silent_unlisted(context, born, seconds):
    world = context.lives
    pass_without(context, OrderResult.NO_ANSWER, seconds)
    world.read_entry(b"")
    world.loop.advance(1.0)
    assert NAME not in world.driver._scheduler.executors


@when("the VM list shows its VM as {state} with {which}, {count:d} times")
def step_listed(context, state, which, count):
    found = IDS[which]
    others = [ListedVm("m1", "s", "up", OTHER if found else "")]
    for _ in range(count):
        listed = (ListedVm("m0", "s", state, found), *others)
        if state == "down":
            listed = (listed[0], ListedVm("m1", "s", "up", OTHER))
        context.lives.driver._scheduler.judge_suspects(listed)


@when("an order for its VM may have ended it")
def step_may_have_ended(context):
    context.lives.driver._scheduler.cordon({NAME}, {NAME})


@when("an order for its VM ended it")
def step_ended(context):
    context.lives.driver.on_executor_gone(NAME, LossCause.LEFT)


@then("it is {whether} suspected under the task, which counts {count:d} crashes")
def step_suspected(context, whether, count):
    task = context.lives.task()
    assert bool(task.suspicions) == (whether == "still"), task
    assert task.losses == count, task


@then("it is suspected under the task, which counts {count:d} crashes")
def step_still_suspected(context, count):
    step_suspected(context, "still", count)


@given(
    "a scheduler that stored that an executor born at {born:d} was silent under a task"
)
def step_stored(context, born):
    context.execute_steps(
        f"""
        given a scheduler and an executor born at {born} that reports run 1 of a task
        when born {born} is silent for 15 s, and is unlisted and forgotten
        """
    )
    value = encode(context.lives.driver._scheduler.jobs[JOB].record())
    world = context.lives = DriverWorld()
    world.add_job()
    world.view.fold(Entry(1, f"progress/{JOB}", value))
    world.start(2)
    world.loop.advance(SOON_S)
    assert world.task().name == TASK
    step_still_suspected(context, 0)


@then("a progress record with the suspicion {fields} cannot be read")
def step_malformed(context, fields):
    row = (0, 0, 0, 1, 0, "", 0, "", 0, 0)
    good = cbor2.dumps((1, ((*row, ((1, NAME, 0, False),)),)))
    assert isinstance(decode_progress(good), ProgressRecord)
    try:
        decode_progress(cbor2.dumps((1, ((*row, (json.loads(fields),)),))))
    except RecordError:
        return
    raise AssertionError("it was read")
