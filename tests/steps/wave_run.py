"""Steps for waves run by control processes against the stand-in."""

import json
import signal
import tempfile

from behave import given, then, when

from cardamomgrade.fleet import LEASE_MS, MARGIN_MS
from cardamomgrade.ops import OpsClient
from cardamomgrade.records import DrainStarted, MemberGone, RebootOrdered, Snapshot
from cardamomgrade.watch import GONE_S
from loops import ask
from waves import KEY, WAVE_LIMIT_S, World

NOTHING = "nothing"
QUIET_S = 3.0
SPARE_VMS = 2


@given("a platform with endpoints and {count:d} control")
@given("a platform with endpoints and {count:d} controls")
def step_platform(context, count):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.world = World(folder.name)
    for index in range(count):
        context.world.start_control(f"e{index + 1}")


@given('the entries hold back "{record}"')
@when('the entries hold back "{record}"')
def step_hold(context, record):
    for entry in context.world.entries:
        entry.held = set() if record == NOTHING else {record}


@given("the answers to {appends:d} appends and {reboots:d} reboots will be lost")
def step_lose(context, appends, reboots):
    context.world.faults(lose_answers=appends, lose_reboot_answers=reboots)


@when("the bundle with a wave is rolled")
def step_roll(context):
    context.world.roll()


@when('a VM is "{phase}"')
def step_phase(context, phase):
    context.world.until_phase(phase)


@when("the control is killed and replaced")
def step_replace(context):
    context.world.signal("e1", signal.SIGKILL)
    context.world.start_control("e1")


@when("the first control freezes")
def step_freeze(context):
    context.world.signal("e1", signal.SIGSTOP)


@when("the first control wakes")
def step_wake(context):
    context.world.signal("e1", signal.SIGCONT)
    context.world.rig.run_for(QUIET_S)


@when("the log is down for {seconds:d} seconds")
def step_outage(context, seconds):
    world = context.world
    before = world.faults(log="down")["appends"]
    world.rig.run_for(seconds)
    assert world.faults(log="up")["appends"] == before


@then("the wave ends with each VM rebooted once and the budget kept")
def step_wave_ends(context):
    world = context.world
    world.rig.run_until(world.wave_done, WAVE_LIMIT_S)
    _check_reboots(world)
    assert 1 <= world.most_out() <= SPARE_VMS, world.most_out()


def _check_reboots(world):
    counts = world.reboots()
    wrong = {vm: n for vm, n in counts.items() if n != (vm[0] == "a")}
    assert not wrong, counts


@then("no reboot was ordered before the wait-out of its drain had passed")
def step_waited_out(context):
    drains = {
        logged.record.batch: logged.time_ms
        for logged in context.world.logged(DrainStarted)
    }
    wait_ms = LEASE_MS + context.world.state.deadline_peak_ms + MARGIN_MS
    orders = context.world.logged(RebootOrdered)
    assert orders and context.world.state.deadline_peak_ms
    for order in orders:
        assert order.time_ms - drains[order.record.batch] >= wait_ms, order


@when("the second entry dies")
def step_dies(context):
    world = context.world
    world.rig.run_until(lambda: len(world.state.members) == len(world.entries))
    world.entries[1].die()


@when("the second entry freezes for longer than a missing one is waited for")
def step_freezes(context):
    world = context.world
    world.rig.run_until(lambda: len(world.state.members) == len(world.entries))
    world.entries[1].dead = True
    context.thaw = lambda: setattr(world.entries[1], "dead", False)


@then("no drain starts and no entry is gone until it is back")
def step_held_up(context):
    world = context.world
    world.rig.run_for(GONE_S + 2.0)
    assert not world.logged(DrainStarted)
    assert not world.logged(MemberGone)
    context.thaw()


@then("the first drain started after the entry was recorded as gone")
def step_after_gone(context):
    (gone,) = context.world.logged(MemberGone)
    assert gone.record.entry == context.world.entries[1].name
    assert context.world.logged(DrainStarted)[0].offset > gone.offset


@then("nothing more is rebooted")
def step_nothing_more(context):
    assert not context.world.state.batches
    _check_reboots(context.world)


@when("a control that writes snapshots has run and the log keeps {count:d} records")
def step_snapshots(context, count):
    world = context.world
    world.start_control("e2", snapshot_s=1)

    world.rig.run_until(lambda: world.logged(Snapshot))
    world.faults(retain=count)


@when("a newcomer starts")
def step_newcomer(context):
    context.ops = context.world.start_control("e3")


@then("the newcomer is ready with the same fleet")
def step_ready(context):
    world = context.world
    client = OpsClient(world.rig.loop, world.rig.net, context.ops, KEY)
    pages = []

    def ready():
        answer = ask(world.rig.loop, lambda done: client.get("/ready", done, 5.0))
        if answer.status == 200:
            pages.append(json.loads(answer.body))
        return pages

    world.rig.run_until(ready)
    fleet = pages[0]["fleet"]
    assert fleet["bundle"]["digest"] == world.state.bundle.digest.hex()
    assert fleet["phases"] == {"serving": len(world.state.vms)}
    assert len(fleet["members"]) == len(world.state.members)


@when("the control is told to stop")
def step_stop(context):
    context.world.signal("e1", signal.SIGTERM)


@then("it ends with status 0")
def step_status(context):
    assert context.world.controls["e1"].wait(20) == 0
