"""Steps for the decisions of a server at its limits."""

from behave import given, then, when
from hypothesis import given as generated, settings, strategies as st

from cardamomgrade.overload import Turnover

FIXED = settings(max_examples=200, derandomize=True, deadline=None, database=None)
ACTIONS = ("opened", "began", "answered", "closing", "closed")


def drain_order(turnover):
    order = []
    while (conn := turnover.first()) is not None:
        order.append(conn)
        turnover.closed(conn)
    return order


@given('connections "{names}" that were opened in this order')
def step_opened(context, names):
    context.turnover = Turnover()
    for name in names.split():
        context.turnover.opened(name)


@when('"a c e" have each had a request answered, a after c')
def step_answered(context):
    for name in ("c", "e", "a"):
        context.turnover.began(name)
    for name in ("c", "e", "a"):
        context.turnover.answered(name)


@when('"{name}" has a request in progress')
def step_began(context, name):
    context.turnover.began(name)


@when('"{name}" is closing')
def step_closing(context, name):
    context.turnover.closing(name)


@then('the connections give way in the order "{names}"')
def step_order(context, names):
    found = drain_order(context.turnover)
    assert found == names.split(), found


@then("in generated histories only connections without a request in progress give way")
def step_histories(context):
    actions = st.tuples(st.sampled_from(ACTIONS[1:]), st.integers(0, 4))

    @FIXED
    @generated(st.lists(actions, max_size=30))
    def check(history):
        turnover, states = Turnover(), dict.fromkeys(range(5), "opened")
        for conn in states:
            turnover.opened(conn)
        for action, conn in history:
            is_valid = states[conn] != "closed" and (
                action != "answered" or states[conn] == "began"
            )
            if is_valid and states[conn] != "closing":
                states[conn] = action
                getattr(turnover, action)(conn)
        wanted = {conn for conn in states if states[conn] not in ("began", "closed")}
        assert set(drain_order(turnover)) == wanted

    check()
