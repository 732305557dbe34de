"""Steps for the shares of customers and for jobs beyond them."""

import itertools
import json
import random
from unittest.mock import patch

import attrs
import cbor2
from behave import given, then, when
from jobs_admission import job_call, NOW_MS as NOW_WALL_MS

from cardamomgrade.jobs import urgency
from cardamomgrade.jobs.customers import Customer
from cardamomgrade.jobs.fairness import FairQueue, Shares
from cardamomgrade.jobs.records import (
    decode_share_load,
    JobState,
    KEY_SHARE_LOAD,
    ShareLoadRecord,
)
from cardamomgrade.jobs.spec import JobSpec, Step
from cardamomgrade.jobs.store import Entry
from cardamomgrade.jobs.urgency import HOPELESS_FACTOR, Rank, rank_of
from turns import Estate

NOW_MS = 1_800_000_000_000
BACKGROUND_RATE = 0.5
SEED = 7


@given(
    "a service that begins {rate:d} jobs a second, with customers a and b of weights "
    "{first:g} and {second:g}"
)
def step_service(context, rate, first, second):
    context.begin_rate = rate
    context.shares = Shares()
    context.shares.set_customers((Customer("a", first), Customer("b", second)))


def submit_and_serve(context, names, rate, seconds, limit_s):
    """Submit jobs of customers, and begin the ones with the lowest tags first."""
    shares, context.jobs = context.shares, {"a": [], "b": []}
    waiting, begun = [], 0.0
    for number in range(rate * seconds):
        now_ms = NOW_MS + number * 1000 / rate
        for name in names:
            job = f"{name}{number}"
            spec = JobSpec(job, "q", "s", "", now_ms, (Step(1),), customer=name)
            shares.add(spec, "s", 100.0, limit_s * 1000)
            context.jobs[name].append(job)
            if not shares.is_excess(job):
                waiting.append((shares.tag(job), number, job))
        begun += context.begin_rate / rate
        while begun >= 1 and waiting:
            begun -= 1
            first = min(waiting)
            waiting.remove(first)
            shares.on_begun(first[2], "s", now_ms)
    context.now_ms = now_ms


@when(
    "both submit {rate:d} jobs a second for {seconds:d} s, which callers wait for "
    "{limit:d} s at most"
)
def step_both_submit(context, rate, seconds, limit):
    submit_and_serve(context, "ab", rate, seconds, limit)


@when(
    "only b submits {rate:d} jobs a second for {seconds:d} s, which callers wait for "
    "{limit:d} s at most"
)
def step_one_submits(context, rate, seconds, limit):
    submit_and_serve(context, "b", rate, seconds, limit)


@then(
    "the share of a takes {least:d} s to {most:d} s for what it has waiting, that of b "
    "{other_least:d} s to {other_most:d} s"
)
def step_share_waits(context, least, most, other_least, other_most):
    waits_ms = context.shares.waits_ms(context.now_ms)
    assert least * 1000 <= waits_ms["s", "a"] <= most * 1000, waits_ms
    assert other_least * 1000 <= waits_ms["s", "b"] <= other_most * 1000, waits_ms


@then("no job of a is excess, and over half of the last 40 of b are")
def step_excess_of_b(context):
    excess = context.shares.is_excess
    assert not any(map(excess, context.jobs["a"]))
    assert sum(map(excess, context.jobs["b"][-40:])) > 20


@then("none of {whose:w} jobs is excess")
def step_no_excess(context, whose):
    assert not any(map(context.shares.is_excess, sum(context.jobs.values(), [])))


@given("a fair queue")
def step_fair_queue(context):
    context.fair_queue = FairQueue()
    context.waiting = []
    context.arrival_numbers = itertools.count()


@when(
    "customer {name:w} with weight {weight:g} submits {jobs:d} jobs of {work:g} core-ms"
)
def step_submit(context, name, weight, jobs, work):
    for _ in range(jobs):
        tag = context.fair_queue.tag(name, weight, work)
        context.waiting.append((tag, next(context.arrival_numbers), name))


def serve(context):
    first = min(context.waiting)
    context.waiting.remove(first)
    context.fair_queue.on_begun(first[0])
    return first[2]


@when("{jobs:d} jobs are served")
def step_serve(context, jobs):
    for _ in range(jobs):
        serve(context)


@then("the jobs are served in the order {names}")
def step_served(context, names):
    served = [serve(context) for _ in range(len(context.waiting))]
    assert served == names.split(), served


@then("where customers have shares its rank is {rank:w}")
def step_shared_rank(context, rank):
    found = rank_of(attrs.evolve(context.forecast, shares=True))
    assert found is Rank[rank], found


@then("beyond its customer's share its rank is {rank:w}")
def step_excess_rank(context, rank):
    found = rank_of(attrs.evolve(context.forecast, shares=True, excess=True))
    assert found is Rank[rank], found


@given(
    "a fixed pool of {vms:d} VMs whose queue a has {count:d} customers with a weight "
    "of {weight:g} each"
)
def step_estate_of_customers(context, vms, count, weight):
    context.vms = vms
    context.customers = tuple(Customer(f"c{number}", weight) for number in range(count))


@given(
    "one of them submits {hot:d} jobs a second from second {begin:d} to {end:d}, the "
    "others {others:d} together"
)
def step_hot_customer(context, hot, begin, end, others):
    def rate(now_s):
        return hot + others if begin <= now_s < end else BACKGROUND_RATE

    rng = random.Random(SEED)
    names = [item.name for item in context.customers]

    def customer_of(now_s, number):
        if rng.random() < hot / (hot + others):
            return names[0]
        return rng.choice(names[1:])

    context.rates = {"a": rate}
    context.customer_of = customer_of


def simulate(context, customers):
    estate = Estate(
        context.vms,
        context.rates,
        fixed=True,
        customers=customers,
        customer_of=context.customer_of,
    )
    estate.run(context.seconds)
    return estate


@when("{seconds:d} s have been simulated with shares")
def step_simulated_with_shares(context, seconds):
    context.seconds = seconds
    context.estate = simulate(context, context.customers)


@then(
    "at least {percent:d}% of the jobs of the others in the seconds {begin:d} to "
    "{end:d} are in time"
)
def step_others(context, percent, begin, end):
    context.others = [item.name for item in context.customers[1:]]
    context.span = (begin, end)
    found = context.estate.in_time("a", begin, end, context.others)
    assert found * 100 >= percent, found


@then("at most {percent:d}% of them are in time without shares")
def step_without_shares(context, percent):
    estate = simulate(context, None)
    found = estate.in_time("a", *context.span, context.others)
    assert found * 100 <= percent, found


@then("the excess jobs that capacity is left for are done")
def step_excess_done(context):
    until_ms = context.span[1] * 1000
    states = [
        context.estate.scheduler.state_of(job)
        for job, (_, at_ms) in context.estate.accepted.items()
        if at_ms < until_ms
    ]
    assert all(state is JobState.COMPLETED for state in states), states


@then("the worst two customers have at least half of the mean of all in time")
def step_worst(context):
    found = sorted(
        context.estate.in_time("a", 4, 10, [item.name]) for item in context.customers
    )
    mean = sum(found) / len(found)
    assert sum(found[:2]) / 2 >= mean / 2, found


def failed_fraction(estate, begin, end):
    return 1 - estate.in_time("a", begin, end, factor=HOPELESS_FACTOR)


@then(
    "of the jobs of the seconds {begin:d} to {end:d} less than half as many take over "
    "3 times their objective as if late jobs got only what is left"
)
def step_fewer_failed(context, begin, end):
    found = failed_fraction(context.estate, begin, end)
    with patch.object(urgency, "LAST_CHANCE_FRACTION", 0.0):
        estate = simulate(context, context.customers)
    without = failed_fraction(estate, begin, end)
    assert found < without / 2, (found, without)


@given(
    "customer a waits {wait_ms:d} ms for its share there, as published {age_ms:d} ms "
    "ago"
)
def step_share_wait(context, wait_ms, age_ms):
    rows = (("letters", "a", float(wait_ms)),)
    context.admission.share_load = ShareLoadRecord(NOW_WALL_MS - age_ms, rows)


@when("a job of customer {name:w} comes")
def step_customer_comes(context, name):
    context.admission.arrive(job_call(customer=name))


@when(
    "it is called {times:d} times in {seconds:d} s while customer a waits {first:d} ms "
    "and b {second:d} ms for its share"
)
def step_publish_waits(context, times, seconds, first, second):
    waits_ms = {("s", "a"): first, ("s", "b"): second}
    publish_waits(context, times, seconds, waits_ms)


@when(
    "it is called {times:d} times in {seconds:d} s while no customer waits for its "
    "share"
)
def step_publish_no_waits(context, times, seconds):
    publish_waits(context, times, seconds, {})


def publish_waits(context, times, seconds, waits_ms):
    context.stored.clear()
    started = getattr(context, "published_until", 0.0)
    for number in range(times):
        now = started + number * seconds / times
        context.publisher.publish({}, {}, now, waits_ms)
    context.published_until = started + seconds


@then("{count:d} records of waits for shares are stored, with {names}")
def step_waits_stored(context, count, names):
    found = [
        [row[1] for row in decode_share_load(value).waits]
        for key, value in context.stored
        if key == KEY_SHARE_LOAD
    ]
    expected = ["a"] if names.startswith("a") else []
    assert found == [expected] * count, found


@when("waits for shares of {value} are read from the store")
def step_malformed_waits(context, value):
    data = cbor2.dumps(json.loads(value))
    context.entry.view.fold(Entry(9, KEY_SHARE_LOAD, data))


@then("the entry knows no waits for shares")
def step_no_waits(context):
    assert context.entry.view.share_load is None
