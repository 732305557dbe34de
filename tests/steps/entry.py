"""Steps for an entry on one loop with its callers and endpoints."""

import json

from behave import given, then, when
from entry_world import Client, World


@given("two entries, {count:d} endpoints and a bundle")
def two_entries(context, count):
    world = context.world = World(seats=("e1", "e2"))
    for number in range(count):
        world.endpoint(f"vm{number}")
    world.roll()
    world.start_seats()


@given("two entries whose pool allows 4 connections and 4 slots")
def limited_connections(context):
    world = context.world = World(seats=("e1", "e2"))
    world.connections = 4
    world.endpoint("vm0")
    world.roll()
    world.start_seats()


@then("no entry ever had more than 2 connections to it or ejected it")
def connections_bounded(context):
    for entry in context.world.entries.values():
        counters = entry.metrics.view().counters
        assert not counters.get("AttemptFailed"), counters
        assert entry.dispatcher.connections("vm0") <= 2


@given("2 endpoints, a bundle and only e1 of two seats")
def one_of_two(context):
    world = context.world = World(seats=("e1", "e2"))
    world.endpoint("vm0")
    world.endpoint("vm1")
    world.roll()
    world.entry("e1")


@then("some were answered and no endpoint ever ran more than 2 at once")
def some_answered(context):
    assert any(answers[0].status == 200 for answers in context.answers)
    endpoints = context.world.endpoints.values()
    assert max(item.counts.most_in_flight for item in endpoints) <= 2


@given("an entry without a bundle")
def no_bundle(context):
    context.world = World()
    context.world.entry(wait=False)
    context.world.run_until(context.world.entries["e1"].member.is_member)


@when('a caller sends {method} {path} with the body "{body}"')
def caller_sends(context, method, path, body):
    context.answer = context.world.request(method, path, body=body.encode())


@when("a caller sends {method} /notices that asks for the status {status:d}")
def sends_with_status(context, method, status):
    context.answer = context.world.request(method, "/notices", status=status)


@then('the answer is 200 and ends with "{text}"')
def ends_with(context, text):
    assert context.answer.status == 200
    assert context.answer.body.endswith(text.encode())


@then("it has the id of the request and one endpoint ran it once")
def request_ran_once(context):
    request_id = context.answer.header("cardamom-request")
    assert request_id == context.answer.header("request-id")
    world = context.world
    assert sum(item.counts.runs[request_id] for item in world.endpoints.values()) == 1


@then("the answer has the outcome {outcome}")
def has_outcome(context, outcome):
    answer = context.answer
    assert answer.header("cardamom-outcome") == outcome, answer
    body = json.loads(answer.body)
    assert body["outcome"] == outcome
    assert body["id"] == answer.header("cardamom-request")


@then("the answer is 503 and not-run with a Retry-After of at least 1 s")
def not_run_with_retry_after(context):
    has_outcome(context, "not-run")
    assert context.answer.status == 503
    assert int(context.answer.header("retry-after")) >= 1


@when("a caller sends the raw request {text}")
def sends_raw(context, text):
    world = context.world
    context.client = Client(world, world.entry_ports["e1"])
    context.client.conn.write(text.encode().decode("unicode_escape").encode())
    world.run_until(lambda: b"\r\n\r\n" in context.client.data)


@then("the raw answer has the status {status:d} and the outcome refused")
def raw_status(context, status):
    head = context.client.data.partition(b"\r\n\r\n")[0].lower()
    assert head.startswith(b"http/1.1 %d" % status), head
    assert b"cardamom-outcome: refused" in head


@then("no endpoint ran anything")
def nothing_ran(context):
    assert not any(item.counts.started for item in context.world.endpoints.values())


@then("the answer has the status {status:d} and the endpoint's {body}")
def status_and_body(context, status, body):
    assert context.answer.status == status
    assert context.answer.header("endpoint") == "vm0"
    assert context.answer.body.startswith(b"vm0 ran") == (body == "body")
    assert body == "body" or not context.answer.body


@when("{count:d} requests of {ms:d} ms arrive at once at each entry")
def arrive_at_each(context, count, ms):
    arrive(context, count, ms, ("e1", "e2"))


@when("{count:d} requests of {ms:d} ms arrive at once at e1 alone")
def arrive_at_e1(context, count, ms):
    arrive(context, count, ms, ("e1",))


def arrive(context, count, ms, entries):
    world = context.world
    context.answers = [
        world.send("POST", f"/notices/{number}", entry, work_ms=ms)
        for number in range(count)
        for entry in entries
    ]
    world.run_until(lambda: all(context.answers))


@then("every request has one answer, from an endpoint or not-run")
def one_answer(context):
    assert all(len(answers) == 1 for answers in context.answers)
    outcomes = {answers[0].header("cardamom-outcome") for answers in context.answers}
    assert outcomes == {"", "not-run"}, outcomes


@then("no endpoint ever ran more than {count:d} at once")
def never_more(context, count):
    endpoints = context.world.endpoints.values()
    assert max(item.counts.most_in_flight for item in endpoints) <= count


@then("requests with the outcome not-run did not run and the others ran once")
def counts_agree(context):
    endpoints = context.world.endpoints.values()
    for answers in context.answers:
        request_id = answers[0].header("cardamom-request")
        runs = sum(item.counts.runs[request_id] for item in endpoints)
        assert runs == (0 if answers[0].header("cardamom-outcome") else 1)


@when("4 callers send requests of 200 ms and 6 more wait")
def callers_wait(context):
    world = context.world
    context.clients = [Client(world, world.entry_ports["e1"]) for _ in range(10)]
    for client in context.clients:
        client.conn.write(b"GET /notices HTTP/1.1\r\nHost: e\r\nWork-Ms: 200\r\n\r\n")
    dispatcher = world.entries["e1"].dispatcher
    world.run_until(lambda: dispatcher.open_requests == 10)
    world.run_until(lambda: world.endpoints["vm0"].counts.started == 4)


@when("all callers disconnect")
def callers_leave(context):
    for client in context.clients:
        client.conn.abort()


@then("only the 4 running requests ran and no request or slot is left open")
def only_running(context):
    world = context.world
    entry = world.entries["e1"]
    world.run_until(lambda: not entry.dispatcher.open_requests)
    world.run_until(lambda: not entry.dispatcher.held("vm0"))
    assert world.endpoints["vm0"].counts.started == 4
    assert world.endpoints["vm0"].counts.finished == 4


@when("a caller sends 5 pipelined requests")
def pipelines(context):
    world = context.world
    client = context.client = Client(world, world.entry_ports["e1"])
    client.conn.write(
        b"".join(
            b"POST /notices HTTP/1.1\r\nHost: e\r\nWork-Ms: %d\r\n"
            b"Content-Length: 6\r\n\r\nbody-%d" % (50 - 10 * number, number)
            for number in range(5)
        )
    )
    world.run_until(lambda: client.data.count(b"body-") == 5)


@then("5 answers come in the order of the requests")
def in_order(context):
    data = context.client.data
    positions = [data.index(b"body-%d" % number) for number in range(5)]
    assert positions == sorted(positions)
    assert data.count(b"HTTP/1.1 200") == 5


@when('a caller expects 100-continue for the body "{body}"')
def expects_continue(context, body):
    world = context.world
    client = context.client = Client(world, world.entry_ports["e1"])
    client.conn.write(
        b"POST /notices HTTP/1.1\r\nHost: e\r\nExpect: 100-continue\r\n"
        b"Content-Length: %d\r\n\r\n" % len(body)
    )
    world.run_until(lambda: b"\r\n\r\n" in client.data)
    assert client.data.startswith(b"HTTP/1.1 100")
    client.conn.write(body.encode())
    world.run_until(lambda: b"HTTP/1.1 200" in client.data)


@then('it has got 100 Continue and its answer ends with "{body}"')
def has_continue_and_answer(context, body):
    context.world.run_until(lambda: context.client.data.endswith(body.encode()))


@when("a caller sends a body of {size:d} bytes that the endpoint echoes")
def sends_large(context, size):
    context.body = b"x" * size
    context.answer = context.world.request("POST", "/notices", body=context.body)


@then("it gets its whole body")
def whole_body(context):
    assert context.answer.status == 200
    assert context.answer.body.endswith(context.body)


@then("it gets the outcome unknown")
def unknown_outcome(context):
    assert context.answer.header("cardamom-outcome") == "unknown"
