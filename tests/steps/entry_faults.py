"""Steps for an entry whose endpoints fail, on one loop."""

import socket
import struct
import time
from collections import Counter

from behave import given, then, when
from entry_world import World

from cardamomgrade.wire import HttpRequest
from harness import free_port

ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 4\r\n\r\ndone"


def answer_completely(conn, request_id):
    conn.write(ANSWER % request_id)


def write_and_close(text):
    def script(conn, request_id):
        conn.write(text)
        conn.close()

    return script


def write_only(text):
    return lambda conn, request_id: conn.write(text)


FAULTS = {
    "answers completely": answer_completely,
    "closes before its answer": write_and_close(b""),
    "closes during its answer": write_and_close((ANSWER % b"x")[:-2]),
    "never answers": write_only(b""),
    "echoes another id": write_only(ANSWER % b"other"),
    "answers without a length": write_and_close(b"HTTP/1.1 200 OK\r\n\r\ndone"),
    "answers with two lengths": write_only(
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone!"
    ),
    "sends other data than HTTP": write_only(b"220 ready\r\n\r\n"),
}


def add_faulty(world, fault):
    if fault == "refuses connections":
        world.ports["bad"] = free_port()
    else:
        world.scripted("bad", FAULTS[fault])


@given("an entry and an endpoint that answers after the deadline")
def answers_late(context):
    world = context.world = World()
    context.late = []
    world.scripted(
        "slow", lambda conn, request_id: context.late.append((conn, request_id))
    )
    world.roll()
    world.entry()


@given("an entry and an endpoint that {fault}")
def one_faulty(context, fault):
    world = context.world = World()
    add_faulty(world, fault)
    world.roll()
    world.entry()


@given("an entry, an endpoint that {fault} and a healthy one")
def faulty_and_healthy(context, fault):
    world = context.world = World()
    add_faulty(world, fault)
    world.scripted("good", answer_completely)
    world.roll()
    world.entry()


@when("a caller sends {method} /notices/7 until the faulty endpoint was tried")
def sends_until_tried(context, method):
    world = context.world
    recent = world.entries["e1"].recent
    context.answers = []
    for _ in range(40):
        answer = world.request(method, "/notices/7")
        context.answers.append(answer)
        found = recent.find(answer.header("cardamom-request"))
        if any(getattr(item, "vm", "") == "bad" for item in found):
            return
    raise AssertionError("the faulty endpoint was never chosen")


@then("all answers but the last are 200 and the last is {outcome}")
def last_has_outcome(context, outcome):
    *first, last = context.answers
    assert all(item.status == 200 for item in first)
    assert (last.header("cardamom-outcome") or "answered") == outcome, last


@then("both endpoints together received each request at most once")
def received_at_most_once(context):
    received = Counter()
    for item in context.world.endpoints.values():
        received.update(item.requests)
    assert set(received.values()) == {1}, received


@when("the late answer has arrived and the endpoint answers in time")
def late_answer(context):
    world = context.world
    for conn, request_id in context.late:
        conn.write(ANSWER % request_id)
    world.endpoints["slow"].script = answer_completely
    world.run_for(0.1)


@then("the answer is 200 and carries its own request's id")
def own_id(context):
    answer = context.answer
    assert answer.status == 200, answer
    assert answer.header("cardamom-request") == answer.header("request-id")


@then("every answer was 200")
def all_200(context):
    assert [item.status for item in context.answers] == [200] * len(context.answers)


@then("the endpoint received the request {count:d} times")
def received_times(context, count):
    bad = context.world.endpoints.get("bad")
    assert (len(bad.requests) if bad else 0) == count


class FakeExchange:
    """An exchange without a connection; ``answers`` lists the responses to it."""

    def __init__(self, method="POST", path="/notices"):
        self.req = HttpRequest(method, path)
        self.peer = ("127.0.0.1", 1)
        self.answers = []
        self.on_disconnect = None

    def respond(self, response):
        self.answers.append(response)


def outcome_of(exchange):
    return exchange.answers[0].header("cardamom-outcome") or "answered"


@when("a request has been answered and its connection is reset before the next read")
def reset_before_read(context):
    world = context.world
    conns = []
    world.endpoints["bad"].script = lambda conn, request_id: (
        conns.append(conn),
        answer_completely(conn, request_id),
    )
    assert world.request("POST", "/notices").status == 200
    world.run_for(0.05)
    linger = struct.pack("ii", 1, 0)
    conns[0]._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    conns[0].abort()


@when("a request that must not be repeated is given to the entry")
def given_directly(context):
    context.exchange = FakeExchange()
    context.world.entries["e1"].dispatcher.handle(context.exchange)
    assert not context.exchange.answers


@then("its outcome is unknown and after the deadline no request or slot is left open")
def unknown_then_released(context):
    world = context.world
    dispatcher = world.entries["e1"].dispatcher
    world.run_until(lambda: context.exchange.answers)
    assert outcome_of(context.exchange) == "unknown"
    world.run_for(2.5 * world.deadline_ms / 1000)
    assert not dispatcher.open_requests
    assert dispatcher.held("bad") == 0
    assert len(context.exchange.answers) == 1


@then("the entry answers the next request")
def answers_next(context):
    assert context.world.request("POST", "/notices").status == 200


@when("1500 requests wait and the entry is blocked past their deadline")
def blocked_past_deadline(context):
    world = context.world
    dispatcher = world.entries["e1"].dispatcher
    service = world.entries["e1"].member.state.bundle.services["notices"]
    object.__setattr__(service, "queue", 5000)
    context.exchanges = [FakeExchange() for _ in range(1500)]
    for exchange in context.exchanges:
        dispatcher.handle(exchange)
    world.run_for(0.1)
    assert dispatcher.open_requests == 1500
    time.sleep(1.1 * world.deadline_ms / 1000)


@then("each has one answer, unknown or not-run, and no request or slot is left open")
def one_answer_each(context):
    world = context.world
    dispatcher = world.entries["e1"].dispatcher
    world.run_until(lambda: not dispatcher.open_requests)
    world.run_for(1.1 * world.deadline_ms / 1000)
    assert dispatcher.held("bad") == 0
    assert {len(exchange.answers) for exchange in context.exchanges} == {1}
    outcomes = [outcome_of(exchange) for exchange in context.exchanges]
    assert set(outcomes) == {"unknown", "not-run"}
    assert outcomes.count("unknown") == len(world.endpoints["bad"].requests)


@when("the ledger of e1 no longer grants a slot that it has reported as free")
def slots_withdrawn(context):
    context.world.entries["e1"].mesh.ledger.take = lambda vm: False
