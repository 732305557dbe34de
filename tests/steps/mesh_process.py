"""Steps for entries that have no access to the log or were paused."""

import signal
import time

import attrs
from behave import given, then, when
from entry_process import spawn
from entry_world import HOST, World

from cardamomgrade import records
from cardamomgrade.bundle import bundle_from_sections, diff_sections
from cardamomgrade.entry import Entry
from cardamomgrade.wire import HttpResponse
from harness import free_port


@given("entry e2 with access to the log and entry e1 without")
def isolated_entry(context):
    world = context.world = World(seats=("e1", "e2"))
    for number in range(2):
        world.endpoint(f"vm{number}")
    world.roll()
    world.entry("e2")
    cfg = attrs.evolve(world.settings("e1"), log=f"{HOST}:{free_port()}")
    entry = world.entries["e1"] = Entry(world.loop, cfg, lambda: None)
    world.entry_ports["e1"] = entry.start()


@then("entry e1 is a member and answers requests")
def isolated_member(context):
    world = context.world
    world.run_until(world.entries["e1"].member.is_member)
    answering_endpoint(world, "e1")


def answering_endpoint(world, entry):
    """Send requests until one is answered; return the endpoint that served it."""
    for _ in range(200):
        answer = world.request("GET", "/notices", entry)
        if isinstance(answer, HttpResponse) and answer.status == 200:
            return answer.header("endpoint")
        world.run_for(0.05)
    raise AssertionError(f"{entry} does not answer")


def second_version(section):
    options = [
        (key, "2" if key == "version" else text) for key, text in section.options
    ]
    return records.Section(section.name, tuple(options))


@then("entry e1 stays fresh while 20 records are appended")
def stays_fresh(context):
    world, follower = context.world, context.world.entries["e1"].member.follower
    world.run_until(follower.fresh)
    for _ in range(20):
        world.fleet.append(records.VmRecovered("vm0", "c1"))
        for _ in range(4):
            world.run_for(0.1)
            assert follower.fresh()


@when("a second bundle is rolled while entry e1 has no access to the log")
def second_bundle(context):
    world = context.world
    old = world.entries["e2"].member.state.bundle
    sections = tuple(map(second_version, old.sections))
    change = diff_sections(old.sections, sections)
    context.bundle = bundle_from_sections(sections)
    digest = context.bundle.digest
    world.append(
        records.BundleProposed(
            2, old.digest, digest, "amina", change.changed, change.removed
        ),
        records.BundleSigned(digest, "omar"),
    )
    context.rolled_s = time.monotonic()
    world.append(records.BundleRolled(digest, "omar"))


@then("entry e1 has the second bundle in force")
def second_in_force(context):
    member = context.world.entries["e1"].member
    context.world.run_until(lambda: member.state.bundle.version == 2)
    print(f"in force after {time.monotonic() - context.rolled_s:.2f} s")


@when("the drain of the batch starts while entry e1 has no access to the log")
def drain_starts(context):
    world = context.world
    world.append(records.DrainStarted(context.batch, "c1"))
    member = world.entries["e1"].member
    world.run_until(lambda: member.state.batches[context.batch].draining)


def records_of(world, cls, name):
    return [
        logged
        for logged in world.read
        if isinstance(logged.record, cls) and logged.record.entry == name
    ]


@then("entry e1 sends to the other endpoint only")
def only_other_endpoint(context):
    assert {answering_endpoint(context.world, "e1") for _ in range(10)} == {"vm1"}


@then("entry e1 has confirmed the drain")
def confirmed(context):
    world = context.world
    world.run_until(lambda: records_of(world, records.DrainConfirmed, "e1"))


@when("both entries are paused for 4 seconds")
def pause_both(context):
    world = context.world
    context.joined = len(records_of(world, records.MemberJoined, "e1"))
    for process in context.processes.values():
        process.send_signal(signal.SIGSTOP)
    world.run_for(4)
    for process in context.processes.values():
        process.send_signal(signal.SIGCONT)


@then("both entries answer requests again with unchanged incarnations")
def both_again(context):
    world = context.world
    for name in ("e1", "e2"):
        answering_endpoint(world, name)
    assert len(records_of(world, records.MemberJoined, "e1")) == context.joined


@when("e1 is paused for {seconds:d} seconds while e2 starts")
def pause_while_starting(context, seconds):
    first = context.processes["e1"]
    first.send_signal(signal.SIGSTOP)
    spawn(context, "e2")
    context.world.run_for(seconds)
    first.send_signal(signal.SIGCONT)


@when("e1 is paused while e2 is killed and replaced")
def pause_and_replace(context):
    world = context.world
    first, second = context.processes["e1"], context.processes["e2"]
    first.send_signal(signal.SIGSTOP)
    second.kill()
    world.run_for(3)
    context.execute_steps("When the process e2 is replaced")
    world.run_for(1)
    first.send_signal(signal.SIGCONT)


@then("e1 exits by itself with status 0")
def exits_by_itself(context):
    process = context.processes["e1"]
    context.world.run_until(lambda: process.poll() is not None, 40)
    assert process.returncode == 0
