"""Steps that simulate an executor whose pace orders may be carried out late."""

import random
from collections import deque

from behave import given, then, when

from cardamomgrade.jobs.pace import Pacer

TARGET_MS = 100
IDLE_TAIL_MS = 30
MILD_MS, HARSH_MS = 5, 300  # that all fill tasks at full pace add to the tail
CORES_M = 4000
STEP_S = 0.05
REPORT_S = 0.25
WINDOW = 10  # steps of the last half second, over which executors measure
PACE_S = 0.1  # after which an order takes effect
ANSWER_S = 0.5  # after which an order without an answer is given up
LATE_S = (2.0, 12.0)


class FillWorld:
    """An executor with a serving task and fill tasks, and their Pacer.

    ``added_ms`` is what the fill tasks add to the tail at full pace, ``slow_ms`` what
    the serving task's own load adds. ``delay_of(order)`` returns by how many seconds an
    order is late, or None. ``over_s`` is the longest time on end in which the serving
    task was over its target beside fill tasks at work.
    """

    def __init__(self, fills):
        self.pacer = Pacer()
        self.now = 0.0
        self.added_ms, self.slow_ms = MILD_MS, 0
        self.paces = dict.fromkeys((f"f{number}" for number in range(fills)), 100)
        self.delay_of = lambda order: None
        self.events = []
        self.orders = []
        self.tails = deque([IDLE_TAIL_MS], maxlen=WINDOW)
        self.over_since = None
        self.over_s = 0.0

    def later(self, seconds, action):
        self.events.append((self.now + seconds, action))

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.now = round(self.now + STEP_S, 3)
            due = [item for item in self.events if item[0] <= self.now]
            self.events = [item for item in self.events if item[0] > self.now]
            for _, action in due:
                action()
            self.measure()
            if round(self.now / STEP_S) % round(REPORT_S / STEP_S) == 0:
                self.report()

    def measure(self):
        pace = sum(self.paces.values()) / len(self.paces)
        self.tails.append(IDLE_TAIL_MS + self.slow_ms + self.added_ms * pace / 100)
        if pace and self.tails[-1] > TARGET_MS:
            self.over_since = self.over_since or self.now
            self.over_s = max(self.over_s, self.now - self.over_since)
        else:
            self.over_since = None

    def report(self):
        fills = [(name, 1, CORES_M * pace // 100) for name, pace in self.paces.items()]
        serving = [(max(self.tails), TARGET_MS)]
        for order in self.pacer.decide("e", serving, fills, self.now):
            self.orders.append(order)
            late_s = self.delay_of(order)
            self.later(late_s or PACE_S, lambda order=order: self.carry_out(order))
            if late_s is not None:
                self.later(
                    ANSWER_S, lambda order=order, by=self.pacer: self.fail(order, by)
                )

    def carry_out(self, order):
        self.paces[order.task] = order.percent

    def fail(self, order, pacer):
        if pacer is self.pacer:
            pacer.failed(order, self.now)

    def swallow(self, percent, late_s):
        """Let the next order for ``percent`` be carried out ``late_s`` late."""
        swallowed = []

        def delay_of(order):
            if swallowed or order.percent != percent:
                return None
            swallowed.append(order)
            return late_s

        self.delay_of = delay_of
        return swallowed


@given("{count:d} fill tasks that do not disturb")
def step_fills(context, count):
    context.fills = FillWorld(count)
    context.fills.run(5)


@given("{count:d} fill tasks that disturb, and are halted")
def step_halted(context, count):
    step_fills(context, count)
    context.fills.added_ms = HARSH_MS
    context.fills.run(2)
    assert set(context.fills.paces.values()) == {0}, context.fills.paces


@when(
    "they disturb no more, and an order for {percent:d}% is carried out {late_s:d} s "
    "late"
)
def step_late(context, percent, late_s):
    world = context.fills
    world.added_ms = MILD_MS
    swallowed = world.swallow(percent, late_s)
    while not swallowed:
        world.run(STEP_S)
    world.run(1)


@when("they disturb again for {seconds:d} s")
def step_disturb(context, seconds):
    context.fills.added_ms = HARSH_MS
    context.fills.over_s = 0.0
    context.fills.run(seconds)


@when("another scheduler takes over, and they disturb again for {seconds:d} s")
def step_successor(context, seconds):
    world = context.fills
    world.pacer = Pacer()
    for name in world.paces:
        world.pacer.inherit(name, 1, world.now)
    step_disturb(context, seconds)


@when("an order to halt them is carried out {late_s:d} s late")
def step_late_halt(context, late_s):
    world = context.fills
    swallowed = world.swallow(0, late_s)
    world.added_ms = HARSH_MS
    while not swallowed:
        world.run(STEP_S)
    world.added_ms = MILD_MS


@when("they do not disturb for {seconds:d} s")
def step_calm(context, seconds):
    context.fills.run(seconds)


@when("the serving task is slow by itself for {seconds:d} s")
def step_slow(context, seconds):
    world = context.fills
    world.slow_ms = HARSH_MS
    world.run(1)
    world.orders.clear()
    world.run(seconds)


@given("the pace of fill tasks is simulated with seeds {first:d} to {last:d}")
def step_simulated(context, first, last):
    context.played = {}
    for seed in range(first, last + 1):
        source = random.Random(seed)
        world = FillWorld(source.randint(1, 3))

        def late(order, source=source):
            return source.uniform(*LATE_S) if source.random() < 0.5 else None

        world.delay_of = late
        for _ in range(20):
            world.added_ms = source.choice((MILD_MS, HARSH_MS))
            world.run(source.uniform(0.5, 3.0))
        world.delay_of = lambda order: None
        world.run(LATE_S[1])
        world.added_ms = HARSH_MS
        world.over_s, world.over_since = 0.0, None
        world.run(20)
        harm_s = world.over_s
        world.added_ms = MILD_MS
        world.run(20)
        context.played[seed] = harm_s, set(world.paces.values())


@then("the serving task was over its target for at most {seconds:d} s on end")
def step_over(context, seconds):
    assert context.fills.over_s <= seconds, context.fills.over_s


@then("all of them work at {percent:d}%")
def step_work(context, percent):
    assert set(context.fills.paces.values()) == {percent}, context.fills.paces


@then("no order was sent in this time")
def step_no_order(context):
    assert context.fills.orders == []


@then(
    "no serving task was over its target for more than {seconds:d} s on end once all "
    "was calm"
)
def step_seeds_over(context, seconds):
    over = {seed: item for seed, (item, _) in context.played.items() if item > seconds}
    assert not over, over


@then("all fill tasks work at {percent:d}% once they disturb no more")
def step_seeds_work(context, percent):
    slow = {seed: item for seed, (_, item) in context.played.items()}
    assert set(map(frozenset, slow.values())) == {frozenset({percent})}, slow
