"""Steps for the backlog module."""

import heapq
import random
from collections import deque

from behave import given, then, when
from hypothesis import given as generated, settings, strategies as st

from cardamomgrade.backlog import Accepted, Backlog, Pace, too_late, Waiting

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


class Plain:
    """A queue without bounds, for comparison."""

    def __init__(self):
        self.items = deque()

    def offer(self, item, bound, pace, now):
        self.items.append(item)
        return Accepted()

    def pick(self):
        return self.items.popleft() if self.items else None


def expired(item, pace, now):
    return item.deadline <= now


def simulate(queue, shed, slots, mean_s, load, deadline_s, seconds):
    """Return how many requests were answered in time."""
    rng, now, busy, good, typical = random.Random(11), 0.0, [], 0, mean_s
    arrival = 0.0

    def serve(item):
        took = rng.uniform(0.2, 1.8) * mean_s
        heapq.heappush(busy, (now + took, took, item.deadline))

    while now < seconds:
        now = min(arrival, busy[0][0] if busy else arrival)
        while busy and busy[0][0] <= now:
            end, took, deadline = heapq.heappop(busy)
            typical += 0.2 * (took - typical)
            good += end <= deadline
        if now == arrival:
            arrival += rng.expovariate(load * slots / mean_s)
            caller = f"office-{rng.randrange(7)}"
            item = waiting(caller, deadline=now + deadline_s)
            queue.offer(item, 200, Pace(typical, len(busy)), now)
        while len(busy) < slots and (item := queue.pick()) is not None:
            if not shed(item, Pace(typical, len(busy)), now):
                serve(item)
    return good


@given("{slots:d} slots that serve a request in {ms:d} ms on average")
def slots_serve(context, slots, ms):
    context.slots, context.mean_s = slots, ms / 1000


@when(
    "requests with a deadline of {ms:d} ms arrive at {load:f} times capacity "
    "for {seconds:d} s"
)
def overload(context, ms, load, seconds):
    capacity = context.slots / context.mean_s * seconds
    args = (context.slots, context.mean_s, load, ms / 1000, seconds)
    context.share = 100 * simulate(Backlog(), too_late, *args) / capacity
    context.plain = 100 * simulate(Plain(), expired, *args) / capacity


@then("at least {share:d} percent of capacity is answered in time")
def answered_in_time(context, share):
    assert context.share >= share, context.share


@then("a first-in first-out queue without bounds answers {share:d} percent or less")
def plain_answers(context, share):
    assert context.plain <= share, context.plain
