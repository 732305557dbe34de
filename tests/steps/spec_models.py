"""Steps that search the protocol specifications for unsafe runs."""

import importlib

from behave import given, then
from spec_traces import search
from specs.checker import find_gap


@given('the specification "{name}"')
def step_specification(context, name):
    context.spec = name


@then("its invariant proves every run safe")
def step_proved(context):
    model = getattr(importlib.import_module(f"specs.{context.spec}"), context.spec)
    proof = importlib.import_module(f"specs.{context.spec}_proof")
    gap = find_gap(model(), proof.invariant)
    assert gap is None, f"not inductive at {gap}"


@then("it has no unsafe run of up to {depth:d} steps")
def step_bounded(context, depth):
    trace = search(context.spec, "", depth)
    assert trace is None, f"counterexample: {trace}"


@then('without the rule "{rule}" {depth:d} steps lead to an unsafe run')
def step_mutation(context, rule, depth):
    _show(rule, search(context.spec, rule, depth))


@then('after "{names}" {depth:d} steps without "{rule}" lead to an unsafe run')
def step_mutation_after(context, names, depth, rule):
    _show(rule, search(context.spec, rule, depth, names))


def _show(rule, trace):
    assert trace is not None, f"no counterexample without {rule}"
    print(f"without {rule}: {', '.join(trace)}")
