"""Steps that check the protocol models: proofs by induction and unsafe runs."""

import importlib

from behave import given, then
from spec_traces import search
from specs.checker import find_induction_failure


@given('the specification "{name}"')
def step_specification(context, name):
    context.spec = name


@then("its invariant proves every run safe")
def step_proved(context):
    model = getattr(importlib.import_module(f"specs.{context.spec}"), context.spec)
    proof = importlib.import_module(f"specs.{context.spec}_proof")
    failure = find_induction_failure(model(), proof.invariant)
    assert failure is None, f"the invariant is not inductive at {failure}"


@then("it has no unsafe run of up to {depth:d} steps")
def step_bounded(context, depth):
    trace = search(context.spec, "", depth)
    assert trace is None, f"the model has an unsafe run: {trace}"


@then('without the rule "{rule}" {depth:d} steps lead to an unsafe run')
def step_mutation(context, rule, depth):
    _check_found(rule, search(context.spec, rule, depth))


@then('after "{names}" {depth:d} steps without "{rule}" lead to an unsafe run')
def step_mutation_after(context, names, depth, rule):
    _check_found(rule, search(context.spec, rule, depth, names))


def _check_found(rule, trace):
    assert trace is not None, f"no unsafe run found without the rule {rule}"
    print(f"unsafe run without {rule}: {', '.join(trace)}")
