"""Steps for the backlog module."""

from behave import given, then, when
from hypothesis import given as generated, settings, strategies as st

from cardamomgrade.backlog import Accepted, Backlog, Pace, Waiting

FIXED = settings(max_examples=200, derandomize=True, deadline=None, database=None)
QUICK = Pace(0.0, 1)
ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.sampled_from("abc"), st.sampled_from("xyz"), st.booleans()),
        st.just("pick"),
        st.integers(0, 30),
    ),
    max_size=60,
)


def waiting(caller, urgent=True, service="fines", deadline=1e9):
    return Waiting(service, caller, urgent, deadline)


@then("generated arrivals, picks and removals lose and repeat nothing")
def nothing_lost(context):
    @FIXED
    @generated(ACTIONS, st.integers(0, 6))
    def check(actions, bound):
        backlog, inside = Backlog(), []
        for action in actions:
            if action == "pick":
                first = backlog.peek()
                assert backlog.pick() is first
                assert (first is None) == (not inside)
                if first is not None:
                    inside.remove(first)
            elif isinstance(action, int):
                if inside:
                    assert backlog.remove(inside.pop(action % len(inside)))
            else:
                service, caller, urgent = action
                name = f"{service}{urgent}"
                item = waiting(caller, urgent, name)
                result = backlog.offer(item, bound, QUICK, 0.0)
                if result:
                    inside.append(item)
                    if result.evicted is not None:
                        inside.remove(result.evicted)
                assert sum(other.service == name for other in inside) <= bound
            assert backlog.size == len(inside)
        assert not backlog.remove(waiting("nobody"))
        out = [backlog.pick() for _ in range(len(inside))]
        assert set(map(id, out)) == set(map(id, inside)) and backlog.pick() is None

    check()


@given("a backlog with {urgent:d} urgent and {batch:d} batch requests")
def backlog_of(context, urgent, batch):
    context.backlog = Backlog()
    for _ in range(urgent):
        context.backlog.offer(waiting("rabat"), 1000, QUICK, 0.0)
    for _ in range(batch):
        context.backlog.offer(waiting("rabat", False, "tools"), 1000, QUICK, 0.0)


@then("every 8th of 64 picks is a batch request and the others are urgent")
def starvation(context):
    picks = [context.backlog.pick().urgent for _ in range(64)]
    assert [number for number, urgent in enumerate(picks, 1) if not urgent] == list(
        range(8, 65, 8)
    )


@given('a backlog whose bound of {bound:d} is filled by the caller "{caller}"')
def filled(context, bound, caller):
    context.backlog, context.bound = Backlog(), bound
    context.first = [waiting(caller) for _ in range(bound)]
    for item in context.first:
        assert context.backlog.offer(item, bound, QUICK, 0.0) == Accepted()
    assert not context.backlog.offer(waiting(caller), bound, QUICK, 0.0)


@when('the caller "{caller}" offers {count:d} requests')
def offers(context, caller, count):
    context.results = [
        context.backlog.offer(waiting(caller), context.bound, QUICK, 0.0)
        for _ in range(count)
    ]


@then('they are queued and the last {count:d} of "{caller}" are given up')
def evicted(context, count, caller):
    lost = [result.evicted for result in context.results]
    assert lost == context.first[: -count - 1 : -1]


@then('"{caller}" has {count:d} of the first {picks:d} picks')
def has_picks(context, caller, count, picks):
    out = [context.backlog.pick().caller for _ in range(picks)]
    assert out.count(caller) == count


@then("with 4 at once in 100 ms a request of another caller may wait 300 ms")
def other_waits(context):
    item = waiting("souissi", deadline=0.3)
    assert context.backlog.offer(item, 1000, Pace(0.1, 4), 0.0)


@then("one of the same caller is shed when it may wait 1000 ms")
def same_shed(context):
    item = waiting("rabat", deadline=1.0)
    assert not context.backlog.offer(item, 1000, Pace(0.1, 4), 0.0)
