"""Steps for the election of the scheduler."""

import attrs
from behave import given, then, when

from cardamomgrade.jobs.records import TermRecord
from cardamomgrade.jobs.settings import NodeSettings
from cardamomgrade.jobs.term import is_small, Term


@given("a node that follows another node's term")
def step_follows(context):
    context.term = Term("n1", "life-2")
    context.record = TermRecord(3, "n2", "life-1", 7, False)
    context.term.on_term_record(context.record, 0.0)
    context.now = 0.0


@given("a node with {cores:g} cores and a link of {mbps:g} Mbit/s that follows another")
def step_resources(context, cores, mbps):
    names = [field.name for field in attrs.fields(NodeSettings)]
    values = dict.fromkeys(names, 0)
    cfg = NodeSettings(**{**values, "core_share": cores, "cores": 1, "link_mbps": mbps})
    context.term = Term("n1", "life-2", is_small(cfg))
    context.term.on_term_record(TermRecord(3, "n2", "life-1", 7, False), 0.0)
    context.now = 0.0


@given("a node that reads a term of its previous incarnation")
def step_previous_incarnation(context):
    context.term = Term("n1", "life-2")
    context.term.on_term_record(TermRecord(3, "n1", "life-1", 7, False), 0.0)
    context.now = 0.0


@when("no term record is read for {seconds:g} s")
def step_no_term_record(context, seconds):
    context.now = seconds


@when("the store is unreachable for {seconds:g} s")
def step_unreachable(context, seconds):
    context.term.on_store_unreachable()
    context.now = seconds


@when("the scheduler resigns")
def step_resigns(context):
    context.term.on_term_record(TermRecord(3, "n2", "life-1", 8, True), 0.0)


@then("the node does not become a candidate")
def step_not_candidate(context):
    assert not context.term.election_due(context.now)


@then("the node does not become a candidate at the first answer")
def step_not_candidate_at_first(context):
    assert not context.term.election_due(context.now)
    assert not context.term.election_due(context.now + 1.0)
    assert context.term.election_due(context.now + 2.0)


@then("the node becomes a candidate")
def step_candidate(context):
    assert context.term.election_due(context.now)
    assert context.term.epoch == 3


@then("the node becomes a candidate within {seconds:g} s")
def step_candidate_within(context, seconds):
    assert context.term.election_due(seconds)


@when("the other node's term record is read {seconds:g} s after its first")
def step_read_again(context, seconds):
    context.now = seconds
    context.term.on_term_record(context.record, context.now)


@then("no other scheduler may grant leases")
def step_no_leases(context):
    assert context.term.predecessor_holds_for_s(context.now) == 0


@then("another scheduler may grant leases for {seconds:g} s")
def step_leases(context, seconds):
    assert context.term.predecessor_holds_for_s(context.now) == seconds


@when("the store rejects its candidacy")
def step_rejected(context):
    context.term.transition("stood", "silence")
    context.term.on_rejected(context.now, "the store rejected the append")
