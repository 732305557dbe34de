"""Steps for the shares of customers and for jobs beyond them."""

import itertools
import random
from unittest.mock import patch

import attrs
from behave import given, then, when

from cardamomgrade.jobs import urgency
from cardamomgrade.jobs.customers import Customer
from cardamomgrade.jobs.fairness import Entitlements, FairQueue
from cardamomgrade.jobs.records import JobState
from cardamomgrade.jobs.urgency import HOPELESS_FACTOR, Rank, rank_of
from turns import Estate

NOW_MS = 1_800_000_000_000
BACKGROUND_RATE = 0.5
SEED = 7


@given("customers with weights {weights}")
def step_customers(context, weights):
    pairs = [item.split("=") for item in weights.split()]
    context.customers = tuple(Customer(name, float(weight)) for name, weight in pairs)
    context.entitlements = Entitlements()
    context.entitlements.set_customers(context.customers)


@when("{jobs:d} jobs of {name:w} arrive within {seconds:g} s")
def step_arrivals(context, jobs, name, seconds):
    context.arrivals = [
        (name, NOW_MS + number * seconds * 1000 / jobs) for number in range(jobs)
    ]
    context.excess = [context.entitlements.record(*item) for item in context.arrivals]


@when("{jobs:d} jobs of a arrive at once by entries whose clocks differ by {ms:d} ms")
def step_clocks(context, jobs, ms):
    times = [NOW_MS + (ms if number % 2 else 0) for number in range(jobs)]
    context.excess = [context.entitlements.record("a", at_ms) for at_ms in times]


@when("another scheduler reads them in the order of the log")
def step_other_scheduler(context):
    other = Entitlements()
    other.set_customers(context.customers)
    context.other_excess = [other.record(*item) for item in context.arrivals]


@then("it takes the same jobs as excess")
def step_same_excess(context):
    assert context.other_excess == context.excess
    assert any(context.excess) and not all(context.excess)


@then("{count:d} of them are excess")
def step_excess(context, count):
    assert sum(context.excess) == count, sum(context.excess)


@then("at most {count:d} of them are entitled")
def step_entitled(context, count):
    entitled = len(context.excess) - sum(context.excess)
    assert entitled <= count, entitled


@then("a job of a is entitled again after {ms:d} ms")
def step_wait(context, ms):
    assert abs(context.entitlements.wait_ms("a", NOW_MS) - ms) < 2


@then("a job of a customer that is not configured is entitled at once")
def step_unknown_customer(context):
    assert context.entitlements.wait_ms("z", NOW_MS) == 0
    assert not context.entitlements.record("z", NOW_MS)


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


@given("the wait for all work of {ms:d} ms")
def step_excess_wait(context, ms):
    load = context.admission.load
    context.admission.load = attrs.evolve(load, waits=(("letters", float(ms)),))


@when("a job comes whose customer has a share again in {ms:d} ms")
def step_arrive_excess(context, ms):
    context.admission.arrive_excess(ms)


@then("it is told to return after {least:d} s to {most:d} s")
def step_told(context, least, most):
    (answer,) = context.admission.answers
    assert least <= answer <= most, answer
