"""Steps for the backlog module."""

import heapq
import random
from collections import deque

from behave import given, then, when
from hypothesis import given as generated, settings, strategies as st

from cardamomgrade.backlog import (
    Accepted,
    Backlog,
    QueuedRequest,
    Throughput,
    would_miss_deadline,
)

FIXED = settings(max_examples=200, derandomize=True, deadline=None, database=None)
INSTANT = Throughput(0.0, 1)
ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.sampled_from("abc"), st.sampled_from("xyz"), st.booleans()),
        st.just("pick"),
        st.integers(0, 30),
    ),
    max_size=60,
)


def queue_item(caller, urgent=True, service="fines", deadline=1e9):
    return QueuedRequest(service, caller, urgent, deadline)


@then("generated arrivals, picks and removals neither lose nor duplicate a request")
def nothing_lost(context):
    @FIXED
    @generated(ACTIONS, st.integers(0, 6))
    def check(actions, bound):
        backlog, queued = Backlog(), []
        for action in actions:
            if action == "pick":
                first = backlog.peek()
                assert backlog.pick() is first
                assert (first is None) == (not queued)
                if first is not None:
                    queued.remove(first)
            elif isinstance(action, int):
                if queued:
                    assert backlog.remove(queued.pop(action % len(queued)))
            else:
                service, caller, urgent = action
                name = f"{service}{urgent}"
                item = queue_item(caller, urgent, name)
                result = backlog.offer(item, bound, INSTANT, 0.0)
                if result:
                    queued.append(item)
                    if result.evicted is not None:
                        queued.remove(result.evicted)
                assert sum(other.service == name for other in queued) <= bound
            assert backlog.size == len(queued)
        assert not backlog.remove(queue_item("nobody"))
        out = [backlog.pick() for _ in range(len(queued))]
        assert set(map(id, out)) == set(map(id, queued)) and backlog.pick() is None

    check()


@given("a backlog with {urgent:d} urgent and {batch:d} batch requests")
def backlog_of(context, urgent, batch):
    context.backlog = Backlog()
    for _ in range(urgent):
        context.backlog.offer(queue_item("rabat"), 1000, INSTANT, 0.0)
    for _ in range(batch):
        context.backlog.offer(queue_item("rabat", False, "tools"), 1000, INSTANT, 0.0)


@then("every 8th of 64 picks is a batch request and the others are urgent")
def batch_every_8th(context):
    picks = [context.backlog.pick().urgent for _ in range(64)]
    assert [number for number, urgent in enumerate(picks, 1) if not urgent] == list(
        range(8, 65, 8)
    )


@given('a backlog with a bound of {bound:d} that the caller "{caller}" has filled')
def filled(context, bound, caller):
    context.backlog, context.bound = Backlog(), bound
    context.first = [queue_item(caller) for _ in range(bound)]
    for item in context.first:
        assert context.backlog.offer(item, bound, INSTANT, 0.0) == Accepted()
    assert not context.backlog.offer(queue_item(caller), bound, INSTANT, 0.0)


@when('the caller "{caller}" offers {count:d} requests')
def offers(context, caller, count):
    context.results = [
        context.backlog.offer(queue_item(caller), context.bound, INSTANT, 0.0)
        for _ in range(count)
    ]


@then('they are queued and the last {count:d} of "{caller}" are evicted')
def evicted(context, count, caller):
    lost = [result.evicted for result in context.results]
    assert lost == context.first[: -count - 1 : -1]


@then('"{caller}" has {count:d} of the first {picks:d} picks')
def has_picks(context, caller, count, picks):
    out = [context.backlog.pick().caller for _ in range(picks)]
    assert out.count(caller) == count


@then("at 4 parallel requests of 100 ms one of another caller due in 300 ms is queued")
def other_caller_queued(context):
    item = queue_item("souissi", deadline=0.3)
    assert context.backlog.offer(item, 1000, Throughput(0.1, 4), 0.0)


@then("one of the same caller due in 1000 ms is refused")
def same_caller_refused(context):
    item = queue_item("rabat", deadline=1.0)
    assert not context.backlog.offer(item, 1000, Throughput(0.1, 4), 0.0)


class FifoQueue:
    """An unbounded FIFO queue with the interface of Backlog, for comparison."""

    def __init__(self):
        self.items = deque()

    def offer(self, item, bound, throughput, now):
        self.items.append(item)
        return Accepted()

    def pick(self):
        return self.items.popleft() if self.items else None


def expired(item, throughput, now):
    return item.deadline <= now


def simulate(queue, is_dropped, slots, mean_s, load, deadline_s, seconds):
    """Simulate Poisson arrivals; return how many requests are served in time.

    ``load`` is a multiple of the capacity of ``slots``. Service times are uniform
    from 0.2 to 1.8 times ``mean_s``. ``is_dropped(item, throughput, now)`` is called
    before a request is served.
    """
    rng, now, busy, in_time, observed_s = random.Random(11), 0.0, [], 0, mean_s
    arrival = 0.0

    def serve(item):
        took = rng.uniform(0.2, 1.8) * mean_s
        heapq.heappush(busy, (now + took, took, item.deadline))

    while now < seconds:
        now = min(arrival, busy[0][0] if busy else arrival)
        while busy and busy[0][0] <= now:
            end, took, deadline = heapq.heappop(busy)
            observed_s += 0.2 * (took - observed_s)
            in_time += end <= deadline
        if now == arrival:
            arrival += rng.expovariate(load * slots / mean_s)
            caller = f"office-{rng.randrange(7)}"
            item = queue_item(caller, deadline=now + deadline_s)
            queue.offer(item, 200, Throughput(observed_s, len(busy)), now)
        while len(busy) < slots and (item := queue.pick()) is not None:
            if not is_dropped(item, Throughput(observed_s, len(busy)), now):
                serve(item)
    return in_time


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
    context.goodput = 100 * simulate(Backlog(), would_miss_deadline, *args) / capacity
    context.fifo = 100 * simulate(FifoQueue(), expired, *args) / capacity


@then("requests worth at least {goodput:d} percent of capacity are answered in time")
def answered_in_time(context, goodput):
    assert context.goodput >= goodput, context.goodput


@then("an unbounded FIFO queue answers at most {goodput:d} percent in time")
def fifo_answers(context, goodput):
    assert context.fifo <= goodput, context.fifo
