"""Steps for waves that control processes run against a simulated platform."""

import json
import signal
import tempfile

from behave import given, then, when

from cardamomgrade.fleet import LEASE_MS, MARGIN_MS
from cardamomgrade.ops import OpsClient
from cardamomgrade.records import DrainStarted, MemberGone, RebootOrdered, Snapshot
from cardamomgrade.watch import MEMBER_GONE_AFTER_S
from loops import await_result
from waves import KEY, WAVE_LIMIT_S, World

NONE_WITHHELD = "nothing"
NO_REBOOT_S = 3.0
VMS_OUT_MAX = 2


@given("a platform with endpoints and {count:d} control")
@given("a platform with endpoints and {count:d} controls")
def step_platform(context, count):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.world = World(folder.name)
    for index in range(count):
        context.world.start_control(f"e{index + 1}")


@given('the entries withhold "{record}"')
@when('the entries withhold "{record}"')
def step_withhold(context, record):
    for entry in context.world.entries:
        entry.withheld = set() if record == NONE_WITHHELD else {record}


@given("the answers to {appends:d} appends and {reboots:d} reboots will be lost")
def step_lose(context, appends, reboots):
    context.world.set_faults(lose_answers=appends, lose_reboot_answers=reboots)


@when("the bundle with a wave is rolled")
def step_roll(context):
    context.world.roll()


@when('a VM is "{phase}"')
def step_phase(context, phase):
    context.world.run_until_phase(phase)


@when("the control is killed and replaced")
def step_replace(context):
    context.world.signal("e1", signal.SIGKILL)
    context.world.start_control("e1")


@when("the first control is suspended")
def step_suspend(context):
    context.world.signal("e1", signal.SIGSTOP)


@when("the first control resumes")
def step_resume(context):
    context.world.signal("e1", signal.SIGCONT)
    context.world.rig.run_for(NO_REBOOT_S)


@when("the log is down for {seconds:d} seconds")
def step_log_down(context, seconds):
    world = context.world
    before = world.set_faults(log="down")["appends"]
    world.rig.run_for(seconds)
    assert world.set_faults(log="up")["appends"] == before


@then("the wave completes with each VM rebooted once and the budget kept")
def step_wave_ends(context):
    world = context.world
    world.rig.run_until(world.wave_done, WAVE_LIMIT_S)
    _check_reboots(world)
    assert 1 <= world.max_vms_out() <= VMS_OUT_MAX, world.max_vms_out()


def _check_reboots(world):
    counts = world.reboot_counts()
    wrong = {vm: n for vm, n in counts.items() if n != (vm[0] == "a")}
    assert not wrong, counts


@then("no reboot was ordered before the timeout of its drain")
def step_drain_timeout(context):
    drains = {
        logged.record.batch: logged.time_ms
        for logged in context.world.logged(DrainStarted)
    }
    timeout_ms = LEASE_MS + context.world.state.deadline_peak_ms + MARGIN_MS
    orders = context.world.logged(RebootOrdered)
    assert orders and context.world.state.deadline_peak_ms
    for order in orders:
        assert order.time_ms - drains[order.record.batch] >= timeout_ms, order


@when("the second entry terminates")
def step_terminate(context):
    world = context.world
    world.rig.run_until(lambda: len(world.state.members) == len(world.entries))
    world.entries[1].terminate()


@when(
    "the second entry stops answering for longer than the time limit of a missing one"
)
def step_silence(context):
    world = context.world
    world.rig.run_until(lambda: len(world.state.members) == len(world.entries))
    world.entries[1].silent = True
    context.resume_entry = lambda: setattr(world.entries[1], "silent", False)


@then("no drain starts and no entry is recorded as gone until it answers again")
def step_wave_waits(context):
    world = context.world
    world.rig.run_for(MEMBER_GONE_AFTER_S + 2.0)
    assert not world.logged(DrainStarted)
    assert not world.logged(MemberGone)
    context.resume_entry()


@then("the first drain started after the entry was recorded as gone")
def step_after_gone(context):
    (gone,) = context.world.logged(MemberGone)
    assert gone.record.entry == context.world.entries[1].name
    assert context.world.logged(DrainStarted)[0].offset > gone.offset


@then("no VM is rebooted again")
def step_no_reboot(context):
    assert not context.world.state.batches
    _check_reboots(context.world)


@when("a control that writes snapshots has run and the log keeps {count:d} records")
def step_snapshots(context, count):
    world = context.world
    world.start_control("e2", snapshot_s=1)
    world.rig.run_until(lambda: world.logged(Snapshot))
    world.set_faults(retain=count)


@when("a new control starts")
def step_new_control(context):
    context.ops = context.world.start_control("e3")


@then("the new control is ready with the same fleet state")
def step_ready(context):
    world = context.world
    client = OpsClient(world.rig.loop, world.rig.net, context.ops, KEY)
    pages = []

    def ready():
        answer = await_result(
            world.rig.loop, lambda done: client.get("/ready", done, 5.0)
        )
        if answer.status == 200:
            pages.append(json.loads(answer.body))
        return pages

    world.rig.run_until(ready)
    fleet = pages[0]["fleet"]
    assert fleet["bundle"]["digest"] == world.state.bundle.digest.hex()
    assert fleet["phases"] == {"serving": len(world.state.vms)}
    assert len(fleet["members"]) == len(world.state.members)


@when("the control receives SIGTERM")
def step_stop(context):
    context.world.signal("e1", signal.SIGTERM)


@then("the control ends with status 0")
def step_status(context):
    assert context.world.controls["e1"].wait(20) == 0
