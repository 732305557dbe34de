"""Steps for queues that take turns, on a simulated estate."""

from behave import given, then, when

from cardamomgrade.jobs.mechanisms import Switches
from turns import Estate, turn

BACKGROUND_RATE = 0.5


@given("an estate of {vms:d} VMs with queues {names}")
def step_estate(context, vms, names):
    queues = names.replace(" and ", ", ").split(", ")
    context.vms = vms
    context.rates = {name: lambda now_s: BACKGROUND_RATE for name in queues}
    context.steps = 1


@given("an estate of {vms:d} VMs with queues {names} whose jobs have {steps:d} steps")
def step_estate_of_steps(context, vms, names, steps):
    step_estate(context, vms, names)
    context.steps = steps


@given(
    "queue {name:w} rises to {rate:d} jobs a second from second {begin:d} to {end:d}"
)
def step_turn(context, name, rate, begin, end):
    context.rates[name] = turn(begin, end, rate)


@when("{seconds:d} s have been simulated")
def step_simulated(context, seconds):
    context.estate = Estate(context.vms, context.rates)
    context.estate.run(seconds)
    context.seconds = seconds


@then(
    "at least {percent:d}% of the jobs of queue {name:w} in the seconds {begin:d} to "
    "{end:d} are in time"
)
def step_in_time(context, percent, name, begin, end):
    found = context.estate.in_time(name, begin, end)
    assert found * 100 >= percent, found


@then(
    "more of its jobs in the seconds {begin:d} to {end:d} are in time than with fixed "
    "pools"
)
def step_more(context, begin, end):
    fixed = Estate(context.vms, context.rates, fixed=True)
    fixed.run(context.seconds)
    found = context.estate.in_time("a", begin, end), fixed.in_time("a", begin, end)
    assert found[0] > found[1], found


@when("{seconds:d} s have been simulated with and without {mechanism}")
def step_simulated_without(context, seconds, mechanism):
    context.seconds = seconds
    context.estates = [
        Estate(
            context.vms,
            context.rates,
            switches=Switches.parse(disabled),
            steps=context.steps,
        )
        for disabled in ((), (mechanism,))
    ]
    for estate in context.estates:
        estate.run(seconds)


@then("fewer {measure} are used with it")
def step_fewer(context, measure):
    name = {"VM-seconds": "vm_s", "moves": "moves"}[measure]
    used, before = (getattr(estate, name) for estate in context.estates)
    assert used < before, (used, before)


@then("as many jobs of queues a and b are in time, within {percent:d}%")
def step_as_well(context, percent):
    for queue in "ab":
        found, before = (
            estate.in_time(queue, 0, context.seconds - 3) for estate in context.estates
        )
        assert found >= before - percent / 100, (queue, found, before)
