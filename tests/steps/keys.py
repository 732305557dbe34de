"""Steps for the keys module, run with complete entries."""

from behave import given, then, when
from entry_world import World

from cardamomgrade import records
from cardamomgrade.claim import claim_key
from cardamomgrade.standend import EndpointStandin
from harness import free_port

NOT_RUN = "not-run"
DUPLICATE = "duplicate"
DEADLINE_MS = 1500


def outcome(answer):
    return answer.header("cardamom-outcome") or "answered"


def send_keyed(context, entry, key):
    return context.world.send("POST", "/notices", entry, idempotency_key=key)


def request_keyed(context, entry, key):
    world = context.world
    return world.request("POST", "/notices", entry, idempotency_key=key)


def key_runs(context, key):
    return context.world.endpoints["vm0"].counts.keys[key]


def key_is_free(context, entry, key):
    keys = context.world.entries[entry].keys
    if not keys.ready():
        return False
    return keys.find(claim_key("notices", key)) is None


@given("two entries and an endpoint slow enough for keyed requests")
def keyed_world(context):
    world = context.world = World(DEADLINE_MS, ("e1", "e2"))
    world.endpoint("vm0")
    start_keyed(context)


@given("two entries and a keyed endpoint that refuses connections")
def keyed_refused(context):
    context.world = World(DEADLINE_MS, ("e1", "e2"))
    context.world.ports["vm0"] = free_port()
    start_keyed(context)


def start_keyed(context):
    world = context.world
    world.roll()
    world.start_seats()
    for entry in world.entries.values():
        world.run_until(entry.keys.ready)


@when("the same key is sent to both entries 15 times in each of 4 rounds")
def same_key(context):
    world = context.world
    context.rounds = []
    for number in range(4):
        answers = [
            send_keyed(context, entry, f"k{number}") for entry in ("e1", "e2") * 15
        ]
        world.run_until(lambda answers=answers: all(answers))
        context.rounds.append([outcome(item[0]) for item in answers])


@then("one request per key was answered and the others were refused as duplicate")
def one_each(context):
    for outcomes in context.rounds:
        assert outcomes.count("answered") == 1, outcomes
        assert outcomes.count(DUPLICATE) == 29, outcomes


@then("each key ran once")
def each_once(context):
    counts = context.world.endpoints["vm0"].counts.keys
    assert dict(counts) == {f"k{number}": 1 for number in range(4)}


@when('the key "{key}" is sent to e1 and then to e2')
def sent_twice(context, key):
    context.answers = [request_keyed(context, entry, key) for entry in ("e1", "e2")]


@then("the first was answered and the second refused as duplicate")
def first_only(context):
    assert [outcome(item) for item in context.answers] == ["answered", DUPLICATE]
    assert context.answers[1].status == 409


@when('the log {fault} and the key "{key}" is sent to e1')
def log_fails(context, fault, key):
    faults = context.world.log.faults
    if fault == "is down":
        faults.log = "down"
    elif fault == "hangs":
        faults.log = "hang"
    else:
        faults.slow_ms = 2 * DEADLINE_MS
    context.answer = request_keyed(context, "e1", key)


@when('the answer to the next append is lost and the key "{key}" is sent to e1')
def answer_lost(context, key):
    context.world.log.faults.lose_answers = 1
    context.answer = request_keyed(context, "e1", key)


@when('the key "{key}" is sent to e1')
def key_sent(context, key):
    context.answer = request_keyed(context, "e1", key)


@then("the keyed request is refused as not-run with a retry-after time")
def keyed_not_run(context):
    assert outcome(context.answer) == NOT_RUN, context.answer
    assert int(context.answer.header("retry-after")) >= 1


@then("the keyed request is answered")
def keyed_answered(context):
    assert outcome(context.answer) == "answered", context.answer


@then("a request without a key is answered")
def unkeyed(context):
    answer = context.world.request("POST", "/notices")
    assert answer.status == 200, answer


@when('the log is up again and the key "{key}" is free')
def log_up(context, key):
    faults = context.world.log.faults
    delay_s = faults.slow_ms / 1000
    faults.log, faults.slow_ms = "up", 0
    world = context.world
    world.run_for(delay_s + 0.5)
    world.run_until(lambda: world.entries["e1"].member.follower.fresh())
    world.run_until(lambda: key_is_free(context, "e2", key))


@when('the endpoint accepts connections and the key "{key}" is free')
def accepts(context, key):
    world = context.world
    address = ("127.0.0.1", world.ports["vm0"])
    world.endpoints["vm0"] = EndpointStandin(world.loop, world.net, "vm0", address)
    world.run_until(lambda: key_is_free(context, "e2", key))


@then('the key "{key}" runs once at e2')
def runs_at_e2(context, key):
    assert key_runs(context, key) == 0
    assert outcome(request_keyed(context, "e2", key)) == "answered"
    assert key_runs(context, key) == 1


@then('the key "{key}" ran once in all')
def ran_in_all(context, key):
    assert outcome(request_keyed(context, "e2", key)) == DUPLICATE
    assert key_runs(context, key) == 1


@when("6 keys have run and the log keeps only 3 claims")
def truncated_log(context):
    for number in range(6):
        assert outcome(request_keyed(context, "e1", f"k{number}")) == "answered"
    stream = context.world.log._streams[records.STREAM_CLAIMS]
    del stream.records[:3]
    stream.earliest += 3


@when("a new process of e2 replaces an earlier one")
def newcomer(context):
    world = context.world
    old = world.entries["e2"]
    old.stop()
    world.run_until(lambda: not world.entries["e1"].member.state.members.get("e2"))
    world.entry("e2")


@then("its keyed requests are refused as not-run and the others are answered")
def newcomer_refuses(context):
    world = context.world
    world.run_until(lambda: world.entries["e2"].keys.caught_up)
    assert outcome(request_keyed(context, "e2", "k0")) == NOT_RUN
    assert outcome(request_keyed(context, "e2", "new")) == NOT_RUN
    assert world.request("POST", "/notices", "e2").status == 200
