"""Steps for the feed module."""

from behave import given, then, when

from cardamomgrade.feed import Feed
from cardamomgrade.loop import EXIT_INTERNAL
from cardamomgrade.records import TaskCancelled
from cardamomgrade.refusal import Reason, Refusal
from cardamomgrade.standin import PlatformStandin
from harness import Rig

COUNT = 30
STREAM = "tasks"
DOWN_FROM, DOWN_TO = 15, 20


def start_feed(context, on_records):
    context.rig = Rig()
    context.platform = PlatformStandin(context.rig.loop, context.rig.net, ())
    port = context.platform.listen("127.0.0.1", 0)
    context.feed = Feed(
        context.rig.loop, context.rig.net, f"127.0.0.1:{port}", STREAM, on_records
    )
    context.feed.start()


@given("a feed of a log stand-in")
def step_feed(context):
    context.got = []
    start_feed(context, context.got.extend)


@given("a feed whose reader raises an error")
def step_failing(context):
    def fail(batch):
        raise ValueError("no such state")

    start_feed(context, fail)


@when("{count:d} records are appended while answers are lost and the log goes down")
def step_appends(context, count):
    context.results = {}
    faults = context.platform.log.faults
    for number in range(count):
        faults.log = "down" if DOWN_FROM <= number < DOWN_TO else "up"
        faults.lose_answers = number % 3 == 0
        name = f"t{number}"
        context.feed.append(
            TaskCancelled(name),
            lambda result, name=name: context.results.update({name: result}),
        )
        context.rig.run_until(lambda name=name: name in context.results)
    faults.log, faults.lose_answers = "up", 0


@then("the feed delivers each kept record once, in offset order")
def step_delivered(context):
    kept = context.platform.log.appends
    context.rig.run_until(lambda: len(context.got) >= kept)
    context.rig.run_for(0.1)
    assert [item.offset for item in context.got] == list(range(kept))
    assert kept == COUNT - (DOWN_TO - DOWN_FROM)


@then("no append was called unavailable whose record the log holds")
def step_unavailable(context):
    held = {item.record.task for item in context.got}
    for name, result in context.results.items():
        if isinstance(result, Refusal) and result.reason is Reason.UNAVAILABLE:
            assert name not in held
        elif not isinstance(result, Refusal):
            assert name in held


@when("a record is appended")
def step_append(context):
    context.feed.append(TaskCancelled("t"))


@then("the loop ends with the status of an internal error")
def step_ends(context):
    try:
        context.rig.run_until(lambda: False, 5.0)
    except SystemExit as exc:
        assert exc.code == EXIT_INTERNAL
    else:
        raise AssertionError("the loop went on")
