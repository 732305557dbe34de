"""Steps for the order of jobs, expected run times and the pace of fill tasks."""

import random

import attrs
from behave import given, then, when

from cardamomgrade.jobs.durations import Durations
from cardamomgrade.jobs.pace import Pacer
from cardamomgrade.jobs.progress import JobProgress
from cardamomgrade.jobs.records import JobState
from cardamomgrade.jobs.reports import Outcome
from cardamomgrade.jobs.spec import JobSpec, Step, TaskId
from cardamomgrade.jobs.urgency import (
    Forecast,
    Rank,
    rank_ends_at_age_ms,
    rank_of,
)


@given(
    "a job of age {age:d} ms with {left:d} ms remaining of an objective of "
    "{objective:d} ms, "
    "begun {begun}"
)
def step_forecast(context, age, left, objective, begun):
    context.forecast = Forecast(age, left, objective, 1.0, begun == "yes", False)


@then("its rank is {rank}")
def step_rank(context, rank):
    assert rank_of(context.forecast) is Rank[rank], rank_of(context.forecast)


@then("until it is {end:d} ms old its rank is {rank:w}")
def step_rank_until(context, end, rank):
    assert rank_ends_at_age_ms(context.forecast) == end
    at_end = attrs.evolve(context.forecast, age_ms=end)
    after = attrs.evolve(context.forecast, age_ms=end + 1)
    assert rank_of(at_end) is Rank[rank] is not rank_of(after)


@given("a job of 2 steps of 2 tasks, each expected to take {expected:d} ms")
def step_two_steps(context, expected):
    steps = (Step(2, 1000), Step(2, 1000, after=(0,)))
    context.progress = JobProgress(JobSpec("a1", "q", "s", "", 0, steps), 1)
    context.progress.open_due_occurrences(0)
    context.expected_ms = expected


@when("{which} task of its first step took {took:d} ms")
def step_task_took(context, which, took):
    job = context.progress
    state = job.step_state(TaskId("a1", 0, 0, 0))
    task = state.tasks[0 if which == "one" else 1]
    job.place(task, "e1")
    state.observe(took)
    job.end(task, Outcome.DONE)


@then("its chain takes {whole:d} ms, of which {left:d} ms are left")
def step_chain(context, whole, left):
    def expected_ms(step):
        return context.expected_ms

    job = context.progress
    assert job.critical_path_ms(expected_ms) == whole
    assert job.critical_path_ms(expected_ms, unfinished_only=True) == left


@when(
    "a job of {tasks:d} tasks that take {took:d} ms arrives every {gap:d} ms, "
    "{jobs:d} in all"
)
def step_overload(context, tasks, took, gap, jobs):
    world = context.jobs
    arrived, ends, context.took = {}, [], {}
    while len(context.took) < jobs:
        if len(arrived) < jobs and world.now_ms == len(arrived) * gap:
            world.add(Step(tasks, cores_m=1000, estimate_ms=took))
            arrived[world.job] = world.now_ms
        ends.extend((world.now_ms + took, start) for start in world.plan())
        times = [end for end, _ in ends]
        if len(arrived) < jobs:
            times.append(len(arrived) * gap)
        world.now_ms = float(min(times))
        for item in [item for item in ends if item[0] <= world.now_ms]:
            ends.remove(item)
            world.end(item[1], Outcome.DONE)
        for name, since in arrived.items():
            if world.scheduler.state_of(name) is JobState.COMPLETED:
                context.took.setdefault(name, world.now_ms - since)


@then(
    "at least {count:d} of them are done within {limit:d} ms, against {baseline:d} in "
    "order of arrival"
)
def step_in_time(context, count, limit, baseline):
    in_time = [took for took in context.took.values() if took <= limit]
    assert len(in_time) >= count > baseline, context.took


@given("a queue whose tasks take 1000 ms and are estimated at 40 to 5000 ms")
def step_bad_estimates(context):
    context.durations, rng = Durations(), random.Random(7)
    for _ in range(60):
        context.durations.observe("q", rng.uniform(40, 5000), rng.gauss(1000, 50))


@given("a queue whose tasks take what is estimated, from 200 to 4000 ms")
def step_good_estimates(context):
    context.durations, rng = Durations(), random.Random(7)
    for _ in range(60):
        took = rng.uniform(200, 4000)
        context.durations.observe("q", took * 1.05, took)


@then("a task is expected to take {low:d} to {high:d} ms")
def step_expected(context, low, high):
    assert low <= context.durations.expected_ms("q", 40) <= high


@then("a task estimated at {estimate:d} ms is expected to take {took:d} ms")
def step_estimated(context, estimate, took):
    assert context.durations.expected_ms("q", estimate) == took


@given("a fill task beside a serving task with a target of {target:d} ms")
def step_fill(context, target):
    context.pacer, context.target, context.now = Pacer(), target, 0.0


def pace(context, tail_ms):
    serving = [(tail_ms, context.target)]
    return context.pacer.decide("e", serving, [("f", 1, 0)], context.now)


@when("the tail latency is {tail_ms:d} ms")
def step_tail(context, tail_ms):
    context.orders = pace(context, tail_ms)


@when("the tail latency is {tail_ms:d} ms for {seconds:g} s")
def step_tail_later(context, tail_ms, seconds):
    context.now += seconds
    context.orders = pace(context, tail_ms)


@given("an earlier scheduler started the fill task")
def step_inherited_fill(context):
    context.pacer.inherit("f", 1, context.now)


@when("that pace order gets no answer")
def step_pace_lost(context):
    (order,) = context.orders
    context.pacer.failed(order, context.now)


@then("the fill task is paced to {percent:d}")
def step_paced(context, percent):
    assert [item.percent for item in context.orders] == [percent], context.orders


@then("the pace of the fill task is unchanged")
def step_stays(context):
    assert context.orders == []
