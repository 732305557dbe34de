"""Steps that search the protocol specifications for unsafe runs."""

import importlib

from behave import given, then
from specs.checker import find_gap, find_trace


@given('the specification "{name}"')
def step_specification(context, name):
    context.spec = importlib.import_module(f"specs.{name}")
    context.build = getattr(context.spec, name)


@then("its invariant proves every run safe")
def step_proved(context):
    proof = importlib.import_module(f"{context.spec.__name__}_proof")
    gap = find_gap(context.build(), proof.invariant)
    assert gap is None, f"not inductive at {gap}"


@then("it has no unsafe run of up to {depth:d} steps")
def step_bounded(context, depth):
    trace = find_trace(context.build(), depth)
    assert trace is None, f"counterexample: {trace}"


@then('without the rule "{rule}" {depth:d} steps lead to an unsafe run')
def step_mutation(context, rule, depth):
    rules = context.spec.Rules(**{rule: False})
    trace = find_trace(context.build(rules), depth)
    assert trace is not None, f"no counterexample without {rule}"
    print(f"without {rule}: {', '.join(trace)}")


@then('after "{names}" {depth:d} steps without "{rule}" lead to an unsafe run')
def step_mutation_after(context, names, depth, rule):
    rules = context.spec.Rules(**{rule: False})
    trace = find_trace(context.build(rules), depth, names.split(", "))
    assert trace is not None, f"no counterexample without {rule}"
    print(f"without {rule}: {', '.join(trace)}")
