"""Steps for the failures that an entry meets, on one loop."""

import socket
import struct
import time
from collections import Counter

from behave import given, then, when
from entry_world import World

from cardamomgrade.wire import HttpRequest
from harness import free_port

ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 4\r\n\r\ndone"


def answer_whole(conn, request_id):
    conn.write(ANSWER % request_id)


def write_and_close(text):
    def script(conn, request_id):
        conn.write(text)
        conn.close()

    return script


def write_only(text):
    return lambda conn, request_id: conn.write(text)


FAULTS = {
    "answers whole": answer_whole,
    "closes before its answer": write_and_close(b""),
    "closes within its answer": write_and_close((ANSWER % b"x")[:-2]),
    "never answers": write_only(b""),
    "echoes another id": write_only(ANSWER % b"other"),
    "answers without a length": write_and_close(b"HTTP/1.1 200 OK\r\n\r\ndone"),
    "answers with two lengths": write_only(
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\ndone!"
    ),
    "answers no HTTP": write_only(b"220 ready\r\n\r\n"),
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
    world.scripted("slow", lambda conn, ident: context.late.append((conn, ident)))
    world.roll()
    world.entry()


@given("an entry and an endpoint that {fault}")
def one_faulty(context, fault):
    world = context.world = World()
    add_faulty(world, fault)
    world.roll()
    world.entry()


@given("an entry, an endpoint that {fault} and a sound one")
def faulty_and_sound(context, fault):
    world = context.world = World()
    add_faulty(world, fault)
    world.scripted("good", answer_whole)
    world.roll()
    world.entry()


@when("a caller sends {method} /notices/7 until the faulty endpoint was tried")
def sends_until_tried(context, method):
    world = context.world
    recent = world.entries["e1"].recent
    context.answers = []
    for _ in range(40):
        answer = world.ask(method, "/notices/7")
        context.answers.append(answer)
        found = recent.find(answer.header("cardamom-request"))
        if any(getattr(item, "vm", "") == "bad" for item in found):
            return
    raise AssertionError("the faulty endpoint was never chosen")


@then("the caller is told {outcome} at last")
def told_at_last(context, outcome):
    *first, last = context.answers
    assert all(item.status == 200 for item in first)
    assert (last.header("cardamom-outcome") or "answered") == outcome, last


@then("both endpoints together were given each request at most once")
def given_at_most_once(context):
    given_to = Counter()
    for item in context.world.endpoints.values():
        given_to.update(item.requests)
    assert set(given_to.values()) == {1}, given_to


@when("the late answer has come and the endpoint answers in time")
def late_answer(context):
    world = context.world
    for conn, ident in context.late:
        conn.write(ANSWER % ident)
    world.endpoints["slow"].script = answer_whole
    world.run_for(0.1)


@then("the answer is 200 and carries its own request's id")
def own_id(context):
    answer = context.answer
    assert answer.status == 200, answer
    assert answer.header("cardamom-request") == answer.header("request-id")


@then("every answer was 200")
def all_200(context):
    assert [item.status for item in context.answers] == [200] * len(context.answers)


@then("the endpoint was given the request {count:d} times")
def given_times(context, count):
    bad = context.world.endpoints.get("bad")
    assert (len(bad.requests) if bad else 0) == count


class FakeExchange:
    """An exchange that keeps its answers."""

    def __init__(self, method="POST", path="/notices"):
        self.req = HttpRequest(method, path)
        self.peer = ("127.0.0.1", 1)
        self.answers = []
        self.on_gone = None

    def respond(self, response):
        self.answers.append(response)


def told_by(exchange):
    return exchange.answers[0].header("cardamom-outcome") or "answered"


@when("a request has been answered and its connection is reset unseen")
def reset_unseen(context):
    world = context.world
    conns = []
    world.endpoints["bad"].script = lambda conn, ident: (
        conns.append(conn),
        answer_whole(conn, ident),
    )
    assert world.ask("POST", "/notices").status == 200
    world.run_for(0.05)
    linger = struct.pack("ii", 1, 0)
    conns[0]._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    conns[0].abort()


@when("a request that must run once is handed to the entry")
def handed(context):
    context.exchange = FakeExchange()
    context.world.entries["e1"].dispatcher.handle(context.exchange)
    assert not context.exchange.answers


@then("it is told unknown and the entry holds nothing after the deadline")
def unknown_then_free(context):
    world = context.world
    dispatcher = world.entries["e1"].dispatcher
    world.run_until(lambda: context.exchange.answers)
    assert told_by(context.exchange) == "unknown"
    world.run_for(2.5 * world.deadline_ms / 1000)
    assert not dispatcher.open_requests
    assert dispatcher.held("bad") == 0
    assert len(context.exchange.answers) == 1


@then("the entry answers the next request")
def answers_next(context):
    assert context.world.ask("POST", "/notices").status == 200


@when("1500 callers' requests wait and the entry sleeps past their deadline")
def sleeps(context):
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


@then("each has one answer, unknown or not-run, and the entry holds nothing")
def one_answer_each(context):
    world = context.world
    dispatcher = world.entries["e1"].dispatcher
    world.run_until(lambda: not dispatcher.open_requests)
    world.run_for(1.1 * world.deadline_ms / 1000)
    assert dispatcher.held("bad") == 0
    assert {len(exchange.answers) for exchange in context.exchanges} == {1}
    told = [told_by(exchange) for exchange in context.exchanges]
    assert set(told) == {"unknown", "not-run"}
    assert told.count("unknown") == len(world.endpoints["bad"].requests)


@when("the ledger of e1 grants a slot no more that it has shown as free")
def withdrawn(context):
    context.world.entries["e1"].mesh.ledger.take = lambda vm: False
