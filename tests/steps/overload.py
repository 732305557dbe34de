"""Steps for the decisions of a server at its limits."""

from behave import given, then, when
from hypothesis import given as generated, settings, strategies as st

from cardamomgrade.overload import MemoryBudget, Turnover

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


@given("a memory budget of {size:d} bytes")
def step_budget(context, size):
    context.budget = MemoryBudget(size)


@when('"a b c d" hold {sizes} bytes and {kept:d} are kept')
def step_hold(context, sizes, kept):
    context.budget.keep(kept)
    for name, size in zip("abcd", sizes.split(), strict=True):
        context.is_over = context.budget.hold(name, int(size))


@then('the sum is too large and "{names}" must give up what it holds')
def step_excess(context, names):
    assert context.is_over
    found = context.budget.excess_holders()
    assert found == names.split(), found


@then("a request of {size:d} bytes is kept while there is no other")
def step_single(context, size):
    assert context.budget.keep(size) and not context.budget.keep(size)
    context.budget.release(size)


@then("of requests of {size:d} bytes {count:d} are kept")
def step_kept(context, size, count):
    found = 0
    while context.budget.keep(size):
        found += 1
    context.budget.release(found * size)
    assert found == count, found


@then("in generated histories the sums agree and giving up is enough")
def step_sums(context):
    steps = st.tuples(st.booleans(), st.integers(0, 5), st.integers(0, 400))

    @FIXED
    @generated(st.lists(steps, max_size=40))
    def check(history):
        budget, held, kept = MemoryBudget(1000), {}, []
        for is_kept, conn, size in history:
            if is_kept:
                kept += [size] * budget.keep(size)
                continue
            held[conn] = size
            if budget.hold(conn, size):
                for holder in budget.excess_holders():
                    budget.hold(holder, 0)
                    held[holder] = 0
                assert sum(held.values()) + sum(kept) <= 1000 or not any(held.values())
        assert budget.held_bytes == sum(held.values())
        assert budget.kept_bytes == sum(kept)

    check()
