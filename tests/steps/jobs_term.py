"""Steps for the term of the scheduler."""

import attrs
from behave import given, then, when

from cardamomgrade.jobs.records import TermRecord
from cardamomgrade.jobs.settings import NodeSettings
from cardamomgrade.jobs.term import is_small, Term


@given("a node that follows the term of another")
def step_follows(context):
    context.term = Term("n1", "life-2")
    context.record = TermRecord(3, "n2", "life-1", 7, False)
    context.term.seen(context.record, 0.0)
    context.now = 0.0


@given("a node with {cores:g} cores and a link of {mbps:g} Mbit/s that follows another")
def step_sized(context, cores, mbps):
    names = [field.name for field in attrs.fields(NodeSettings)]
    values = dict.fromkeys(names, 0)
    cfg = NodeSettings(**{**values, "core_share": cores, "cores": 1, "link_mbps": mbps})
    context.term = Term("n1", "life-2", is_small(cfg))
    context.term.seen(TermRecord(3, "n2", "life-1", 7, False), 0.0)
    context.now = 0.0


@given("a node that reads a term of its own last life")
def step_own(context):
    context.term = Term("n1", "life-2")
    context.term.seen(TermRecord(3, "n1", "life-1", 7, False), 0.0)
    context.now = 0.0


@when("the other is silent for {seconds:g} s")
def step_silent(context, seconds):
    context.now = seconds


@when("the store is unreachable for {seconds:g} s")
def step_unreachable(context, seconds):
    context.term.unreachable()
    context.now = seconds


@when("the other resigns")
def step_resigns(context):
    context.term.seen(TermRecord(3, "n2", "life-1", 8, True), 0.0)


@then("the node does not stand")
def step_no(context):
    assert not context.term.should_stand(context.now)


@then("the node does not stand at the first answer")
def step_no_first(context):
    assert not context.term.should_stand(context.now)
    assert not context.term.should_stand(context.now + 1.0)
    assert context.term.should_stand(context.now + 2.0)


@then("the node stands")
def step_yes(context):
    assert context.term.should_stand(context.now)
    assert context.term.epoch == 3


@then("the node stands within {seconds:g} s")
def step_soon(context, seconds):
    assert context.term.should_stand(seconds)


@when("it stands and another record than a term comes first")
def step_outrun(context):
    context.term.move("stood", "silence")
    context.term.outrun("another record came first")


@when("it stands and the store refuses")
def step_refused(context):
    context.term.move("stood", "silence")
    context.term.refused(context.now, "the store refused")
