"""Steps for the loop module."""

import os
import signal
from threading import Lock

from behave import given, then, when
from circuits.core.events import generate_events

from cardamomgrade.loop import EXIT_INTERNAL, Loop

TIMER_DELAY_S = 100.0


@given("a loop whose next timer is due in 100 seconds")
def step_loop(context):
    context.loop = Loop()
    context.loop.call_later(TIMER_DELAY_S, lambda: None)


def _poll(context):
    """Handle one generate_events as a tick does; store how long the poller may wait."""
    event = generate_events(Lock(), -1)
    context.loop._on_generate_events(event)
    context.waits = event.time_left


@when("its run is finished from a callback")
def step_finish(context):
    context.loop.call_later(0, context.loop.finish)
    context.loop._running = True
    _poll(context)


@when("its awaited condition holds")
def step_condition(context):
    context.loop._running, context.loop._done = True, lambda: True
    _poll(context)


@then("the poller waits 0 seconds")
def step_waits(context):
    assert context.waits == 0, context.waits


@given("a loop with a callback for stop signals")
def step_stop_callback(context):
    context.loop = Loop()
    context.stopped = []

    def stop():
        context.stopped.append(True)
        context.loop.finish()

    context.loop.on_stop(stop)


@when("SIGTERM arrives before it runs")
def step_early_signal(context):
    os.kill(os.getpid(), signal.SIGTERM)


@then("the loop runs the callback and ends")
def step_left(context):
    assert context.loop.run_until(lambda: context.stopped, 5.0)


@when("it fails while it runs until a condition holds")
def step_fails(context):
    context.loop.call_later(0, context.loop.fail)
    try:
        context.ended = context.loop.run_until(lambda: False, 2.0)
    except SystemExit as exc:
        context.ended = exc.code


@then("the bounded run ends with the exit status of an internal error")
def step_failed(context):
    assert context.ended == EXIT_INTERNAL, context.ended
