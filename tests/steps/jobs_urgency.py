"""Steps for the order of jobs, expected run times and the pace of fill tasks."""

import random

from behave import given, then, when

from cardamomgrade.jobs.durations import Durations
from cardamomgrade.jobs.pace import Pacer
from cardamomgrade.jobs.records import JobState
from cardamomgrade.jobs.reports import Outcome
from cardamomgrade.jobs.spec import Step
from cardamomgrade.jobs.urgency import Forecast, Rank, rank_of


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
    return context.pacer.decide("e", serving, [("f", 1)], context.now)


@when("the tail latency is {tail_ms:d} ms")
def step_tail(context, tail_ms):
    context.orders = pace(context, tail_ms)


@when("the tail latency is {tail_ms:d} ms for {seconds:g} s")
def step_tail_later(context, tail_ms, seconds):
    context.now += seconds
    context.orders = pace(context, tail_ms)


@given("an earlier scheduler started the fill task")
def step_inherited_fill(context):
    context.pacer.inherit("f", 1)


@when("that pace order gets no answer")
def step_pace_lost(context):
    (order,) = context.orders
    context.pacer.failed(order)


@then("the fill task is paced to {percent:d}")
def step_paced(context, percent):
    assert [item.percent for item in context.orders] == [percent], context.orders


@then("the pace of the fill task is unchanged")
def step_stays(context):
    assert context.orders == []
