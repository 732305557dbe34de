"""Steps for the list of customers; the jobs are records in a view."""

import json

from behave import given, then

from cardamomgrade.jobs.customer_summary import customer_summaries
from cardamomgrade.jobs.customers import Customer, key_digest, Limits
from cardamomgrade.jobs.queues import QueueConfig
from cardamomgrade.jobs.records import (
    CancelRecord,
    encode,
    JobState,
    Phase,
    PREFIX_CANCEL,
    PREFIX_JOB,
    PREFIX_PROGRESS,
    ProgressRecord,
)
from cardamomgrade.jobs.spec import JobSpec, Step
from cardamomgrade.jobs.store import Entry
from cardamomgrade.jobs.view import JobView
from cardamomgrade.ops import to_json

NOW_MS = 1_000_000
KEY = "k-5d21"


class CustomersFixture:
    """Customers and the records of their jobs; ``found`` lists their summaries."""

    def __init__(self):
        self.customers = []
        self.view = JobView()
        self.entries = 0

    def fold(self, key, value):
        self.view.fold(Entry(self.entries, key, value))
        self.entries += 1

    def add_job(self, customer, step, state, placed=0, age_ms=0):
        name = f"j{self.entries}"
        accepted_ms = NOW_MS - age_ms
        # The first step is done, so that the runs are those of the second one.
        steps = (Step(1, 9999, 9999, 9), step)
        spec = JobSpec(name, "q", "s", "", accepted_ms, steps, customer=customer)
        self.fold(PREFIX_JOB + name, encode(spec))
        rows = [(0, 0, 0, 1, Phase.DONE, "i", 0, "")]
        rows += [(0, 1, item, 1, Phase.PLACED, "i", 0, "") for item in range(placed)]
        if state is not JobState.PENDING:
            record = ProgressRecord(state, tuple(rows))
            self.fold(PREFIX_PROGRESS + name, encode(record))
        return name

    def found(self):
        config = QueueConfig(7, customers=self.customers)
        return customer_summaries(self.view, config, NOW_MS)

    def one(self, name):
        (item,) = [item for item in self.found().customers if item.customer == name]
        return item


def customers_of(context):
    if not hasattr(context, "shown"):
        context.shown = CustomersFixture()
    return context.shown


@given(
    'customer "{name}" with weight {weight:g} and a limit of {cores:d} m, '
    "{memory:d} MB and {accelerators:d} accelerators"
)
def step_customer(context, name, weight, cores, memory, accelerators):
    limits = Limits(cores, memory, accelerators)
    customers_of(context).customers.append(
        Customer(name, weight, limits, (key_digest(KEY),))
    )


@given("a configuration without customers")
def step_none(context):
    customers_of(context).customers = None


@given(
    'a job of "{name}" with {count:d} placed tasks of {cores:d} m, {memory:d} MB and '
    "{accelerators:d} accelerators"
)
def step_job(context, name, count, cores, memory, accelerators):
    step = Step(count, cores, memory, accelerators)
    return context.shown.add_job(name, step, JobState.RUNNING, count)


@given(
    'a cancelled job of "{name}" with {count:d} placed tasks of {cores:d} m, '
    "{memory:d} MB and {accelerators:d} accelerators"
)
def step_cancelled(context, name, count, cores, memory, accelerators):
    job = step_job(context, name, count, cores, memory, accelerators)
    context.shown.fold(PREFIX_CANCEL + job, encode(CancelRecord(NOW_MS)))


@given('{count:d} {state} jobs of "{name}" that were accepted {age:g} s ago')
def step_jobs(context, count, state, name, age):
    for _ in range(count):
        state_now = JobState[state.upper()]
        context.shown.add_job(name, Step(1), state_now, age_ms=int(age * 1000))


# An empty name leaves no text between the quotes.
@given('{count:d} {state} jobs of "" that were accepted {age:g} s ago')
def step_public_jobs(context, count, state, age):
    step_jobs(context, count, state, "", age)


@then(
    '"{name}" has {cores:d} m, {memory:d} MB and {accelerators:d} accelerators running'
)
def step_running(context, name, cores, memory, accelerators):
    running = context.shown.one(name).running
    assert running == Limits(cores, memory, accelerators), running


@then('"{name}" is at its limit of "{resources}"')
def step_at_limit(context, name, resources):
    found = context.shown.one(name).at_limit
    assert (", ".join(found) or "nothing") == resources, found


@then('"{name}" has {waiting:d} jobs waiting, {running:d} running and {done:d} done')
def step_counts(context, name, waiting, running, done):
    item = context.shown.one(name)
    found = (item.jobs_waiting, item.jobs_running, item.jobs_done)
    assert found == (waiting, running, done), item


@then('"{name}" had {rate:g} jobs a second, {share} its share')
def step_rate(context, name, rate, share):
    item = context.shown.one(name)
    assert (item.accepted_per_s, item.over_share) == (rate, share == "more than"), item


@then('the customers listed are "{names}"')
def step_names(context, names):
    found = [item.customer for item in context.shown.found().customers]
    assert ", ".join(found) == names, found


@then('"{name}" is listed as not configured')
def step_not_configured(context, name):
    assert not context.shown.one(name).configured


@then("no customers are listed, as the deployment has none")
def step_no_customers(context):
    found = context.shown.found()
    assert (found.has_customers, list(found.customers)) == (False, []), found


@then("the list as JSON contains neither the key nor its digest")
def step_no_key(context):
    text = json.dumps(to_json(context.shown.found()))
    assert "large" in text and KEY not in text
    assert key_digest(KEY).hex() not in text
