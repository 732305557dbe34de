"""Steps for the feed module."""

from behave import given, then, when

from cardamomgrade.feed import Feed
from cardamomgrade.loop import EXIT_INTERNAL
from cardamomgrade.records import TaskCancelled
from cardamomgrade.refusal import Reason, Refusal
from cardamomgrade.standin import PlatformStandin
from harness import Rig

RECORDS = 30
STREAM = "tasks"
OUTAGE_START, OUTAGE_END = 15, 20


def start_feed(context, on_records):
    context.rig = Rig()
    context.platform = PlatformStandin(context.rig.loop, context.rig.net, ())
    port = context.platform.listen("127.0.0.1", 0)
    context.feed = Feed(
        context.rig.loop, context.rig.net, f"127.0.0.1:{port}", STREAM, on_records
    )
    context.feed.start()


@given("a feed of a simulated log")
def step_feed(context):
    context.delivered = []
    start_feed(context, context.delivered.extend)


@given("a feed whose record handler raises an exception")
def step_failing(context):
    def fail(batch):
        raise ValueError("no such state")

    start_feed(context, fail)


@when(
    "{count:d} records are appended while responses are lost and the log has an outage"
)
def step_appends(context, count):
    context.results = {}
    faults = context.platform.log.faults
    for number in range(count):
        faults.log = "down" if OUTAGE_START <= number < OUTAGE_END else "up"
        faults.lose_answers = number % 3 == 0
        name = f"t{number}"
        context.feed.append(
            TaskCancelled(name),
            lambda result, name=name: context.results.update({name: result}),
        )
        context.rig.run_until(lambda name=name: name in context.results)
    faults.log, faults.lose_answers = "up", 0


@then("the feed delivers each stored record once, in offset order")
def step_delivered(context):
    stored = context.platform.log.appends
    context.rig.run_until(lambda: len(context.delivered) >= stored)
    context.rig.run_for(0.1)
    assert [item.offset for item in context.delivered] == list(range(stored))
    assert stored == RECORDS - (OUTAGE_END - OUTAGE_START)


@then("no append was reported as unavailable although the log holds its record")
def step_outcomes(context):
    stored = {item.record.task for item in context.delivered}
    for name, result in context.results.items():
        if isinstance(result, Refusal) and result.reason is Reason.UNAVAILABLE:
            assert name not in stored
        elif not isinstance(result, Refusal):
            assert name in stored


@when("a record is appended")
def step_append(context):
    context.feed.append(TaskCancelled("t"))


@then("the loop exits with the status of an internal error")
def step_ends(context):
    try:
        context.rig.run_until(lambda: False, 5.0)
    except SystemExit as exc:
        assert exc.code == EXIT_INTERNAL
    else:
        raise AssertionError("the loop did not exit")
