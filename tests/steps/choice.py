"""Steps for the choice module."""

import heapq
import random
from collections import Counter

import attrs
from behave import given, then, when
from hypothesis import given as generated, settings, strategies as st

from cardamomgrade.choice import Candidate, Choice, Chooser, Ejected, Restored

FIXED = settings(max_examples=150, derandomize=True, deadline=None, database=None)
OUTCOME = st.tuples(st.booleans(), st.floats(0, 2), st.floats(0, 3))


def candidate(number, in_flight=0, free=4):
    zone, rack = f"z{number % 2}", f"r{number // 2 % 2}"
    return Candidate(f"vm{number}", zone, rack, in_flight, free)


@then("in generated histories no more than half of the endpoints are ejected")
def histories_bounded(context):
    @FIXED
    @generated(st.integers(1, 9), st.lists(st.tuples(st.integers(0, 8), OUTCOME)))
    def check(size, history):
        names = [f"vm{number}" for number in range(size)]
        chooser = Chooser(random.Random(1))
        chooser.update(names)
        now, out = 0.0, set()
        for number, (ok, seconds, pause) in history * 4:
            now += pause
            item = candidate(number % size)
            choice = Choice(item, item.vm in out)
            change = chooser.record(choice, ok, seconds, now)
            if isinstance(change, Ejected):
                out.add(change.vm)
            elif isinstance(change, Restored):
                out.remove(change.vm)
            assert len(out) <= size // 2

    check()


@then(
    "in generated choices the endpoint has a free slot, is untried and is not ejected"
)
def choices_valid(context):
    loads = st.lists(st.tuples(st.integers(0, 8), st.integers(0, 2)), max_size=8)

    @FIXED
    @generated(loads, st.sets(st.integers(0, 7)), st.sets(st.integers(0, 7)))
    def check(load, tried_numbers, bad):
        chooser = Chooser(random.Random(2))
        items = [candidate(number, *pair) for number, pair in enumerate(load)]
        chooser.update([item.vm for item in items])
        out = set()
        for item in [candidate(number) for number in bad if number < len(items)] * 9:
            change = chooser.record(Choice(item, False), False, 0.001, 0.0)
            if isinstance(change, Ejected):
                out.add(change.vm)
        tried = [candidate(number) for number in tried_numbers]
        usable = {item.vm for item in items if item.free}
        usable -= out | {item.vm for item in tried}
        choice = chooser.choose(items, 0.5, tried)
        assert choice.candidate.vm in usable if choice else not usable

    check()


@attrs.define
class EndpointSimulation:
    """Simulates endpoints of 8 slots each; a request arrives every 2.5 ms."""

    answers: list
    chooser: Chooser
    now: float = 0.0
    responses: list = attrs.field(factory=list)
    in_flight: Counter = attrs.field(factory=Counter)

    def run(self, count):
        responses, in_flight, sent_counts = self.responses, self.in_flight, Counter()
        for _ in range(count):
            self.now += 0.0025
            while responses and responses[0][0] <= self.now:
                _, _, choice, ok, seconds = heapq.heappop(responses)
                in_flight[choice.candidate.vm] -= 1
                self.chooser.record(choice, ok, seconds, self.now)
            items = [
                candidate(index, in_flight[f"vm{index}"], 8 - in_flight[f"vm{index}"])
                for index in range(len(self.answers))
            ]
            choice = self.chooser.choose(items, self.now)
            if not choice:
                continue
            index = int(choice.candidate.vm[2:])
            ok, seconds = self.answers[index]
            in_flight[choice.candidate.vm] += 1
            sent_counts[index] += 1
            heapq.heappush(
                responses, (self.now + seconds, self.now, choice, ok, seconds)
            )
        return sent_counts


@given("{count:d} endpoints that answer in {ms:d} ms")
def endpoints_answer(context, count, ms):
    chooser = Chooser(random.Random(3))
    chooser.update([f"vm{number}" for number in range(count)])
    context.simulation = EndpointSimulation([(True, ms / 1000)] * count, chooser)


@when("endpoint {number:d} fails every request in {ms:d} ms")
def endpoint_fails(context, number, ms):
    context.simulation.answers[number] = (False, ms / 1000)


@when("endpoint {number:d} answers in {ms:d} ms")
def endpoint_answers(context, number, ms):
    context.simulation.answers[number] = (True, ms / 1000)


@when("all endpoints fail every request in {ms:d} ms")
def all_fail(context, ms):
    context.simulation.answers[:] = [(False, ms / 1000)] * len(
        context.simulation.answers
    )


@then("endpoint {number:d} gets {bound} than {share:d} percent of {count:d} requests")
def share_sent(context, number, bound, share, count):
    sent = context.simulation.run(count)[number]
    limit = count * share / 100
    assert sent < limit if bound == "less" else sent > limit, sent


@when("{count:d} requests are sent")
def requests_pass(context, count):
    context.simulation.run(count)


@then("at least {count:d} endpoints still get requests")
def still_sent(context, count):
    context.simulation.run(1000)
    sent = context.simulation.run(1000)
    assert len(sent) >= count, sent


@given("an ejected endpoint whose probe is due")
def ejected_due(context):
    context.chooser = Chooser(random.Random(4))
    context.items = [candidate(number) for number in range(4)]
    context.chooser.update([item.vm for item in context.items])
    changes = [
        context.chooser.record(Choice(context.items[0], False), False, 0.001, 0.0)
        for _ in range(5)
    ]
    context.delay = changes[-1].delay_s


@then("a repeatable request probes it and a second one does not")
def probed_once(context):
    due = 1.5 * context.delay
    assert context.chooser.choose(context.items, due).probe
    second = context.chooser.choose(context.items, due)
    assert not second.probe and second.candidate.vm != "vm0"
    context.chooser.skip(Choice(context.items[0], True))


@then("a request that must run only once probes it only when the probe is overdue")
def probed_late(context):
    early = context.chooser.choose(context.items, 1.5 * context.delay, (), False)
    late = context.chooser.choose(context.items, 3 * context.delay, (), False)
    assert not early.probe and late.probe


@given("candidates in two zones and two racks each")
def candidates_in_zones(context):
    context.items = [candidate(number) for number in range(8)]
    context.chooser = Chooser(random.Random(5))


@then("the retry after each candidate is in the other zone")
def retry_in_other_zone(context):
    for first in context.items:
        choice = context.chooser.choose(context.items, 0.0, [first])
        assert choice.candidate.zone != first.zone


@then("without the other zone the retry is in the other rack")
def retry_in_other_rack(context):
    items = [item for item in context.items if item.zone == "z0"]
    for first in items:
        choice = context.chooser.choose(items, 0.0, [first])
        assert choice.candidate.rack != first.rack
