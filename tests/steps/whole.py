"""Steps for the whole system with failures."""

import signal
import tempfile

from behave import given, then, when

from system import WAVE_LIMIT_S, WholeSystem

OUTAGE_S = 7.0


def nothing(world):
    """Inject no failure."""


def replace_entry(world):
    world.later(3.0, lambda: world.signal("entry-e2", signal.SIGKILL))
    world.later(5.0, lambda: world.start_entry("e2"))


def suspend_entry(world):
    world.later(3.0, lambda: world.signal("entry-e2", signal.SIGSTOP))
    world.later(3.0 + OUTAGE_S, lambda: world.signal("entry-e2", signal.SIGCONT))


def stop_log(world):
    world.later(3.0, lambda: world.faults(log="down"))
    world.later(3.0 + OUTAGE_S, lambda: world.faults(log="up"))


def fail_controls(world):
    world.later(2.0, lambda: world.signal("control-e1", signal.SIGKILL))
    world.later(2.5, lambda: world.signal("control-e2", signal.SIGSTOP))
    world.later(2.5 + OUTAGE_S, lambda: world.signal("control-e2", signal.SIGCONT))


def lose_answers(world):
    for second in range(2, 10, 2):
        world.later(second, lambda: world.faults(lose_answers=3, lag_ms=2000))


def fail_rack(world):
    world.later(3.0, lambda: world.signal("rack-2", signal.SIGKILL))
    world.later(3.0 + OUTAGE_S, lambda: world.start_rack(2))


def stop_log_and_replace_entry(world):
    stop_log(world)
    world.later(4.0, lambda: world.signal("entry-e2", signal.SIGKILL))
    world.later(5.0, lambda: world.start_entry("e2"))


def fail_rack_and_suspend_entry(world):
    fail_rack(world)
    suspend_entry(world)


FAILURES = {
    "nothing fails": nothing,
    "an entry is killed and replaced": replace_entry,
    "an entry is suspended for longer than its lease": suspend_entry,
    "the log is down for longer than a lease": stop_log,
    "a control is killed and another one is suspended": fail_controls,
    "append answers are lost and the VM list lags more": lose_answers,
    "a rack fails and recovers": fail_rack,
    "an entry is replaced while the log is down": stop_log_and_replace_entry,
    "a rack fails while an entry is suspended": fail_rack_and_suspend_entry,
}


@given("the whole system serves two pools on three entries")
def step_system(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.world = WholeSystem(folder.name)
    context.world.begin()


@when("{failure} while a wave runs under load")
def step_load(context, failure):
    FAILURES[failure](context.world)
    context.world.run_load()


@then(
    "no request was cut off, run twice, answered wrongly or falsely reported as not run"
)
def step_requests_correct(context):
    found = context.world.report
    broken = (found.cut, found.run_twice, found.wrong, found.not_run_but_ran)
    assert broken == (0, 0, 0, 0), found
    assert found.uncounted_endpoints == 0, found


@then("at most {count:d} callers lost their connection")
def step_lost(context, count):
    assert context.world.report.lost <= count, context.world.report


@then("at least {share:d} percent of the requests were answered")
def step_answered(context, share):
    found = context.world.report
    assert 100 * found.outcomes["answered"] >= share * found.sent, found
    print(found)


@then("the wave completes with each VM rebooted")
def step_wave_done(context):
    context.world.rig.run_until(context.world.wave_done, WAVE_LIMIT_S)
