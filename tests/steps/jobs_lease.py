"""Steps for leases of executors."""

from behave import given, then, when

from cardamomgrade.jobs.former import Incarnation
from cardamomgrade.jobs.lease import Lease

START_MS = 50_000


@given("a lease of {length:d} ms on a clock that is {slow:d} percent slow")
def step_lease(context, length, slow):
    context.rate = 1 - slow / 100
    context.length = length
    context.lease = Lease(0.0, START_MS, Incarnation(), length)


@when("a deadline is granted")
def step_granted(context):
    context.deadline = context.lease.grant(0.0)


def clock(context, now):
    """Return the executor's clock in ms at ``now`` in seconds."""
    return START_MS + now * 1000 * context.rate


@then("the lease does not count as lapsed while the executor may still run tasks")
def step_not_lapsed(context):
    for tick in range(600):
        now = tick / 100
        if clock(context, now) <= context.deadline:
            assert not context.lease.has_lapsed(now), now


@then("it counts as lapsed soon after")
def step_lapsed(context):
    assert context.lease.has_lapsed(context.length / 1000 / 0.98 + 0.2)


@when("the executor's clock was last received 3 s ago")
def step_clock_received(context):
    context.lease.update_clock(0.0, START_MS)


@then("a deadline granted now is at most {length:d} ms ahead of the executor's clock")
def step_bounded(context, length):
    for rate in (0.98, 1.0):
        shown = START_MS + 3000 * rate
        assert context.lease.grant(3.0) - shown <= length
