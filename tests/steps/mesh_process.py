"""Steps for entries that lack the log or were paused."""

import signal
import time

import attrs
from behave import given, then, when
from entry_world import HOST, World

from cardamomgrade import records
from cardamomgrade.bundle import bundle_from_sections, diff_sections
from cardamomgrade.entry import Entry
from cardamomgrade.wire import HttpResponse
from harness import free_port


@given("entry e2 with the log and entry e1 cut from it")
def cut_world(context):
    world = context.world = World(seats=("e1", "e2"))
    for number in range(2):
        world.endpoint(f"vm{number}")
    world.roll()
    world.entry("e2")
    cfg = attrs.evolve(world.settings("e1"), log=f"{HOST}:{free_port()}")
    entry = world.entries["e1"] = Entry(world.loop, cfg, lambda: None)
    world.entry_ports["e1"] = entry.start()


@then("entry e1 is a member and answers requests")
def cut_member(context):
    world = context.world
    world.run_until(world.entries["e1"].member.is_member)
    answers(world, "e1")


def answers(world, entry):
    """Send until a request is answered; return the endpoint that ran it."""
    for _ in range(200):
        answer = world.ask("GET", "/notices", entry)
        if isinstance(answer, HttpResponse) and answer.status == 200:
            return answer.header("endpoint")
        world.run_for(0.05)
    raise AssertionError(f"{entry} does not answer")


def second_version(section):
    options = [
        (key, "2" if key == "version" else text) for key, text in section.options
    ]
    return records.Section(section.name, tuple(options))


@then("entry e1 stays fresh while 20 records come past it")
def stays_fresh(context):
    world, follower = context.world, context.world.entries["e1"].member.follower
    world.run_until(follower.fresh)
    for _ in range(20):
        world.fleet.append(records.VmRecovered("vm0", "c1"))
        for _ in range(4):
            world.run_for(0.1)
            assert follower.fresh()


@when("a second bundle is rolled past entry e1")
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


@when("the drain of the batch starts past entry e1")
def drained(context):
    world = context.world
    world.append(records.DrainStarted(context.batch, "c1"))
    member = world.entries["e1"].member
    world.run_until(lambda: member.state.batches[context.batch].draining)


def said(world, cls, name):
    return [
        one
        for one in world.read
        if isinstance(one.record, cls) and one.record.entry == name
    ]


@then("entry e1 sends to the other endpoint only")
def spares(context):
    assert {answers(context.world, "e1") for _ in range(10)} == {"vm1"}


@then("entry e1 has confirmed the drain")
def confirmed(context):
    world = context.world
    world.run_until(lambda: said(world, records.DrainConfirmed, "e1"))


@when("both entries are paused for 4 seconds")
def pause_both(context):
    world = context.world
    context.joined = len(said(world, records.MemberJoined, "e1"))
    for process in context.processes.values():
        process.send_signal(signal.SIGSTOP)
    world.run_for(4)
    for process in context.processes.values():
        process.send_signal(signal.SIGCONT)


@then("both entries answer requests again under their incarnations")
def both_again(context):
    world = context.world
    for name in ("e1", "e2"):
        answers(world, name)
    assert len(said(world, records.MemberJoined, "e1")) == context.joined


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


@then("e1 ends by itself in order")
def ends_itself(context):
    process = context.processes["e1"]
    context.world.run_until(lambda: process.poll() is not None, 40)
    assert process.returncode == 0
