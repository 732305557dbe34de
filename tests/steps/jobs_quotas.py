"""Steps for limits of customers, on a simulated estate without a network."""

import json
from collections import Counter
from io import StringIO
from unittest import mock

from behave import given, then, when

from cardamomgrade import journal
from cardamomgrade.health import Health
from cardamomgrade.jobs import quotas
from cardamomgrade.jobs.customers import Limits
from cardamomgrade.jobs.placing import StepPlacer
from cardamomgrade.jobs.reports import Outcome
from cardamomgrade.jobs.spec import parse_task, Step
from quotas import QUARANTINE_MS, QuotaEstate, SMALL

TASK_MS = 1000


def of_service(estate, service):
    return [name for name, pool in estate.names.items() if pool == service]


def live_of(estate, customer):
    return [item for item in estate.live if item.customer == customer]


def submit(context, customer, tasks, cores_m, service, **fields):
    customer = "" if customer == "nobody" else customer
    step = Step(tasks, cores_m, 100, estimate_ms=TASK_MS, **fields)
    return context.quota.add(customer, service, step)


@given("services s and t with customers a and b")
def step_estate(context):
    context.quota = QuotaEstate(SMALL)


@given("one failure quarantines an executor, and all are quarantined")
def step_quarantined(context):
    scheduler = context.quota.scheduler
    scheduler._health = Health(1, QUARANTINE_MS, QUARANTINE_MS, 1.0)
    for name, service in context.quota.names.items():
        scheduler._health.failed(name, service, "j1", 2, 0.0)
        assert scheduler._health.is_quarantined(name)


@given("no executor has room")
def step_full(context):
    for service in ("s", "t"):
        context.quota.add("c", service, Step(2, 8000, 100, lasting=True))
    assert len(context.quota.plan()) == 4


@when("{customer:w} submits {tasks:d} tasks of {cores_m:d} cores_m to {service:w}")
def step_submit(context, customer, tasks, cores_m, service):
    submit(context, customer, tasks, cores_m, service)


@when("a submits {tasks:d} fill tasks of {cores_m:d} cores_m to {service:w}")
def step_submit_fills(context, tasks, cores_m, service):
    submit(context, "a", tasks, cores_m, service, fills=True)


@when("a submits a gang of {tasks:d} tasks of {cores_m:d} cores_m to {service:w}")
def step_submit_gang(context, tasks, cores_m, service):
    submit(context, "a", tasks, cores_m, service, gang=True)


@when("a submits {tasks:d} tasks of {cores_m:d} cores_m, one on each executor, to s")
def step_submit_restricted(context, tasks, cores_m):
    submit(context, "a", tasks, cores_m, "s", per_executor=1)


@when("a submits {jobs:d} jobs of 1 task of {cores_m:d} cores_m to {service:w}")
def step_submit_many(context, jobs, cores_m, service):
    for _ in range(jobs):
        submit(context, "a", 1, cores_m, service)


def started(context):
    """Plan; return a Counter of starts by customer, "nobody" for none."""
    specs = context.quota.specs
    names = [specs[parse_task(item.task).job].customer for item in context.quota.plan()]
    return Counter(name or "nobody" for name in names)


@then("{count:d} tasks of {customer:w} start")
def step_started(context, count, customer):
    found = started(context)
    assert found == Counter({customer: count} if count else {}), found


@then("{first:d} tasks of a and {second:d} tasks of {other:w} start")
def step_both_started(context, first, second, other):
    found = started(context)
    assert found == Counter({"a": first, other: second}), found


@when("{count:d} runs of {customer:w} end {outcome:w}")
def step_end(context, count, customer, outcome):
    estate = context.quota
    for item in live_of(estate, customer)[:count]:
        item.begun = True
        estate.end(item, Outcome(outcome))
        estate.report(estate.ended[-1])


@when("{count:d} starts of a are refused for good")
def step_refused(context, count):
    estate = context.quota
    for item in live_of(estate, "a")[:count]:
        estate.refuse(item)


@when("a's first job is cancelled")
def step_cancelled(context):
    context.quota.cancel(next(iter(context.quota.specs)))


@when("customer a is removed")
def step_removed(context):
    context.quota.set_limits({"b": SMALL["b"]})


@when("the configuration has no customers")
def step_no_customers(context):
    context.quota.set_limits(None)


@when("the limit of a is {cores_m:d} cores_m")
def step_limit(context, cores_m):
    context.quota.set_limits({**SMALL, "a": Limits(cores_m)})


@when("the executors of {service:w} are silent")
def step_silent(context, service):
    for name in of_service(context.quota, service):
        context.quota.scheduler.executors[name].unreachable = True


@when("the leases of the executors of {service:w} have lapsed")
def step_lapsed(context, service):
    context.lapsed = list(context.quota.live)
    for name in of_service(context.quota, service):
        context.quota.lapse(name)


@when("late ends of the lapsed runs are reported twice")
def step_late(context):
    for item in 2 * context.lapsed:
        context.quota.report((item, Outcome.LAPSED))


@when("a new scheduler takes over")
def step_other(context):
    context.quota.hand_over()


@when("a new scheduler takes over that reads no executors at first")
def step_other_empty(context):
    context.quota.hand_over(())
    context.quota.check()


@when("the executors of {service:w} register")
def step_register(context, service):
    for name in of_service(context.quota, service):
        context.quota.register(name)


@when("the executors of {service:w} are forgotten")
def step_forgotten(context, service):
    estate = context.quota
    for name in of_service(estate, service):
        estate.scheduler.forget_executor(name)
    estate.live = [item for item in estate.live if estate.names[item.executor] != "s"]


@when("the scheduler is lost before its decisions are stored")
def step_lost(context):
    context.quota.plan_unstored()


@then("usage is the sum of allocations")
def step_usage(context):
    context.quota.check()


@then("all jobs of a are {state} and it runs nothing")
def step_over(context, state):
    estate = context.quota
    assert estate.scheduler.usage.of("a").runs == 0
    final = {estate.scheduler.state_of(job).final for job in estate.specs}
    assert final == {state == "completed"}, final


def load_of(context, service):
    scheduler = context.quota.scheduler
    return scheduler.pool_loads(context.quota.now_ms)[service]


@then("{service:w} needs {vms:d} VMs, and {cores_m:d} cores_m wait there")
def step_needs(context, service, vms, cores_m):
    started(context)
    load = load_of(context, service)
    assert (load.needed_vms, load.waiting_cores_m) == (vms, cores_m), load
    assert bool(load.backlog_core_ms) == bool(cores_m), load


@then("{first:d} cores_m wait in s and {second:d} cores_m in t")
def step_waiting(context, first, second):
    found = [load_of(context, service).waiting_cores_m for service in ("s", "t")]
    assert found == [first, second], found


@then("a round that starts b's job looks at no executor for a's jobs")
def step_round(context):
    assert started(context) == {"a": 4}
    submit(context, "b", 1, 1000, "s")
    with mock.patch.object(
        StepPlacer, "__init__", autospec=True, side_effect=StepPlacer.__init__
    ) as placed:
        assert started(context) == {"b": 1}
    assert placed.call_count == 1, placed.call_count


@then(
    "after {wait_ms:d} ms each round evaluates at most {most:d} of them, and "
    "{rounds:d} rounds all"
)
def step_evaluated(context, wait_ms, most, rounds):
    estate, evaluated = context.quota, set()
    estate.now_ms += wait_ms
    scheduler = estate.scheduler
    with mock.patch.object(
        scheduler, "_evaluate", side_effect=scheduler._evaluate
    ) as evaluate:
        for _ in range(rounds):
            scheduler.replan_executor("s1")
            assert started(context) == {}
            names = [call.args[0].spec.job for call in evaluate.call_args_list]
            assert 0 < len(names) <= most, len(names)
            evaluated.update(names)
            evaluate.reset_mock()
    assert len(evaluated) == 2996, len(evaluated)


@given("small tasks of a take all of its limit, and more keep coming")
def step_small(context):
    for _ in range(4):
        submit(context, "a", 1, 1000, "s")
    assert started(context) == {"a": 4}


def run_small(context, until_ms):
    """Let small runs of a end, one every 100 ms; return when a large one started."""
    estate = context.quota
    while estate.now_ms < until_ms:
        estate.now_ms += 100
        oldest = live_of(estate, "a")[:1]
        for item in oldest:
            item.begun = True
            estate.end(item, Outcome.DONE)
            estate.report(estate.ended[-1])
        submit(context, "a", 1, 1000, "s")
        for start in estate.plan():
            if parse_task(start.task).job == context.large:
                return estate.now_ms
    return None


@when("a submits a task of 4000 cores_m to s while small ones go on for {wait_s:d} s")
def step_large(context, wait_s):
    context.large = submit(context, "a", 1, 4000, "s")
    context.large_at_ms = run_small(context, wait_s * 1000)


@when("a submits a task that fits no executor to s, then small ones for {wait_s:d} s")
def step_never(context, wait_s):
    context.large = submit(context, "a", 1, 4000, "s", label="none")
    context.large_at_ms = run_small(context, wait_s * 1000)


@then("the large task starts within {wait_ms:d} ms, and without held room it does not")
def step_large_started(context, wait_ms):
    assert context.large_at_ms is not None and context.large_at_ms <= wait_ms
    context.quota = QuotaEstate(SMALL)
    with mock.patch.object(quotas, "HOLD_FROM_MS", quotas.HOLD_UNTIL_MS):
        step_small(context)
        step_large(context, 10)
    assert context.large_at_ms is None, context.large_at_ms


@then("{count:d} small tasks are done or run")
def step_small_done(context, count):
    estate = context.quota
    found = len(estate.ended) + len(estate.live)
    assert found >= count, found


@when("{wait_ms:d} ms pass")
def step_pass(context, wait_ms):
    scheduler = context.quota.scheduler
    for item in live_of(context.quota, "a"):
        scheduler.executors[item.executor].unreachable = False
    scheduler.log_stalls(context.quota.now_ms)
    context.quota.now_ms += wait_ms


@then("the line about its stall names the limit of its customer")
def step_stall(context):
    stream = StringIO()
    journal.start_logging("jobs", "n1", stream)
    try:
        context.quota.scheduler.log_stalls(context.quota.now_ms)
    finally:
        journal.stop_logging()
    (line,) = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert line["executors"] == {"customer-limit": 2}, line
