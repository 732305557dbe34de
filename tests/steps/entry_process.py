"""Steps for entries as processes; the log and the endpoints run in the test."""

import json
import signal
import tempfile
from pathlib import Path

from behave import given, then, when
from entry_world import KEY, World

import harness
from cardamomgrade import records
from cardamomgrade.fleet import LEASE_MS
from cardamomgrade.ops import OpsClient
from cardamomgrade.wire import HttpResponse

DEADLINE_MS = 1500
SLOW_LOG_MS = 400
SETTINGS = """
[node]
name = {name}
zone = z0
[callers]
listen = {listen}
[platform]
log = 127.0.0.1:{log}
[ops]
listen = {ops}
key = {key}
[mesh]
listen = {mesh}
key = {key}
[peers]
e1 = {e1}
e2 = {e2}
"""


def spawn(context, name):
    """Write the settings of an entry and start its process."""
    world = context.world
    cfg = world.settings(name)
    text = SETTINGS.format(
        name=name,
        listen=cfg.listen,
        log=world.log_port,
        ops=cfg.ops_listen,
        mesh=cfg.mesh_listen,
        key=cfg.mesh_key,
        **dict(world.peers),
    )
    path = Path(context.folder) / f"{name}.ini"
    path.write_text(text)
    context.processes[name] = harness.start("entry", str(path))
    context.ops[name] = cfg.ops_listen
    world.entry_ports[name] = int(cfg.listen.rpartition(":")[2])


def wait_until_serving(world, entry):
    """Send requests until one gets a 200, for at most RUN_LIMIT_S."""
    end = world.loop.now() + harness.RUN_LIMIT_S
    while world.loop.now() < end:
        answers = world.send("GET", "/notices", entry)
        world.run_until(lambda answers=answers: answers)
        if isinstance(answers[0], HttpResponse) and answers[0].status == 200:
            return
        world.run_for(0.05)
    raise AssertionError(f"{entry} does not answer")


def wait_until_met(context, name):
    """Wait until an entry has a link to a peer; entries serve before they have one."""
    world, peers = context.world, []
    client = OpsClient(world.loop, world.net, context.ops[name], KEY)

    def answered(result):
        if isinstance(result, HttpResponse) and result.status == 200:
            peers.extend(json.loads(result.body)["peers"])

    end = world.loop.now() + harness.RUN_LIMIT_S
    while not peers:
        assert world.loop.now() < end, f"{name} has no link to a peer"
        client.get("/status", answered, 1.0)
        world.run_for(0.1)


def incarnations(world, name):
    return [
        logged.record.incarnation
        for logged in world.read
        if isinstance(logged.record, records.MemberJoined)
        and logged.record.entry == name
    ]


def appended(world, cls, name):
    return [
        logged
        for logged in world.read
        if isinstance(logged.record, cls) and logged.record.entry == name
    ]


def has_ended(process):
    return lambda: process.poll() is not None


def start_processes(context, names):
    world = context.world = World(DEADLINE_MS, ("e1", "e2"))
    context.folder = tempfile.mkdtemp()
    context.processes, context.ops = {}, {}
    for number in range(2):
        world.endpoint(f"vm{number}")
    world.roll()
    for name in names:
        spawn(context, name)
    for name in names:
        wait_until_serving(world, name)


@given("the entries e1 and e2 as processes and 2 endpoints")
def processes(context):
    start_processes(context, ("e1", "e2"))
    for name in ("e1", "e2"):
        wait_until_met(context, name)


@given("the entry e1 as a process and 2 endpoints, while e2 has not started")
def only_first(context):
    start_processes(context, ("e1",))


def running(world):
    return sum(item.counts.in_flight for item in world.endpoints.values())


@when("a request of 700 ms runs through e1 and e1 gets SIGTERM")
def term_in_flight(context):
    world = context.world
    context.running = world.send("POST", "/notices", "e1", work_ms=700)
    world.run_until(lambda: running(world))
    context.processes["e1"].send_signal(signal.SIGTERM)


@when("e1 gets SIGTERM again")
def term_again(context):
    context.world.run_for(0.2)
    context.processes["e1"].send_signal(signal.SIGTERM)


@then("e1 takes no new requests and ends with 0 after the answer")
def ends_in_order(context):
    world, process = context.world, context.processes["e1"]
    world.run_for(0.2)
    late = world.send("POST", "/notices", "e1")
    world.run_until(lambda: late)
    assert not isinstance(late[0], HttpResponse)
    assert not context.running
    world.run_until(has_ended(process))
    assert process.returncode == 0
    assert context.running[0].status == 200


@then("the log shows that e1 left after its request had ended")
def left_after_request(context):
    world = context.world
    world.run_until(lambda: appended(world, records.MemberLeft, "e1"))
    assert not running(world)


@then("e2 answers requests")
def e2_answers(context):
    wait_until_serving(context.world, "e2")


@then("e1 ends with 1 before the request has ended")
def ends_at_once(context):
    process = context.processes["e1"]
    context.world.run_until(has_ended(process))
    assert process.returncode == 1
    assert running(context.world) == 1


@when("e1 freezes while a request waits for the claim of its idempotency key")
def freeze_claiming(context):
    world = context.world
    world.log.faults.slow_ms = SLOW_LOG_MS
    world.run_for(1.2)
    before = world.log.appends
    context.frozen = world.send("POST", "/notices", "e1", idempotency_key="k1")
    world.run_for(SLOW_LOG_MS / 2000)
    context.processes["e1"].send_signal(signal.SIGSTOP)
    world.run_until(lambda: world.log.appends > before)


@when("e1 resumes when the deadline has passed")
def resume(context):
    world = context.world
    world.run_for(1.2 * DEADLINE_MS / 1000)
    assert not context.frozen
    context.processes["e1"].send_signal(signal.SIGCONT)
    world.log.faults.slow_ms = 0
    world.run_until(lambda: context.frozen)


@then("the frozen request is not-run and ran on no endpoint")
def frozen_not_run(context):
    world = context.world
    assert context.frozen[0].header("cardamom-outcome") == "not-run"
    assert not any(item.counts.keys["k1"] for item in world.endpoints.values())


@then("its key can be claimed again through e2")
def claim_again(context):
    world = context.world
    for _ in range(100):
        answer = world.request("POST", "/notices", "e2", idempotency_key="k1")
        if answer.status == 200:
            break
        assert answer.header("cardamom-outcome") in ("duplicate", "not-run")
        world.run_for(0.1)
    assert sum(item.counts.keys["k1"] for item in world.endpoints.values()) == 1


@when("e1 and e2 have acknowledged a batch with vm0")
def acked(context):
    world = context.world
    opened = records.BatchOpened("weekly", 1, ("vm0",), "", world.read[-1].offset, "c1")
    world.append(opened)
    context.batch = next(
        logged.offset for logged in world.read if logged.record == opened
    )
    for name in ("e1", "e2"):
        world.run_until(lambda name=name: appended(world, records.BatchAcked, name))


@when("e1 freezes for longer than the lease while the drain starts")
def freeze_drain(context):
    world = context.world
    context.processes["e1"].send_signal(signal.SIGSTOP)
    world.append(records.DrainStarted(context.batch, "c1"))
    world.run_for(1.1 * LEASE_MS / 1000)


@when("10 requests wait at e1 when it wakes")
def wait_frozen(context):
    world = context.world
    context.answers = [world.send("POST", "/notices", "e1") for _ in range(10)]
    world.run_for(0.2)
    context.processes["e1"].send_signal(signal.SIGCONT)
    world.run_until(lambda: all(context.answers))


@then("all of them are answered by vm1")
def answered_by_vm1(context):
    failed = [answers[0] for answers in context.answers if not answers[0]]
    failed += [item for item in context.answers if isinstance(item[0], Exception)]
    assert not failed, (failed, context.processes["e1"].poll())
    vms = [answers[0].header("endpoint") for answers in context.answers]
    assert set(vms) == {"vm1"}, [item[0] for item in context.answers]


@when("200 requests that must not be repeated go to e1 and e2 and e1 is killed")
def kill_under_load(context):
    world = context.world
    context.sent = {}
    for number in range(200):
        entry = f"e{number % 2 + 1}"
        answers = world.send("POST", "/notices", entry, load_id=number, work_ms=20)
        context.sent[number] = (entry, answers)
        world.run_for(0.005)
        if number == 100:
            context.processes["e1"].kill()
    world.run_until(lambda: all(answers for _, answers in context.sent.values()))


@then("no request ran twice and none with the outcome not-run ran")
def never_twice(context):
    world = context.world
    for number, (_, answers) in context.sent.items():
        ran = sum(item.counts.runs[str(number)] for item in world.endpoints.values())
        assert ran <= 1
        if isinstance(answers[0], HttpResponse):
            outcome = answers[0].header("cardamom-outcome")
            assert ran == (outcome == "") or outcome == "unknown", (ran, outcome)


@then("every request to e2 has an answer")
def all_at_e2(context):
    answers_of_e2 = [
        answers[0] for entry, answers in context.sent.values() if entry == "e2"
    ]
    assert all(isinstance(answer, HttpResponse) for answer in answers_of_e2)


@when("the process {name} is replaced")
def replaced(context, name):
    spawn(context, name)


@then("the new e1 answers requests with a later incarnation")
def later_member(context):
    wait_until_serving(context.world, "e1")
    first, *_, last = incarnations(context.world, "e1")
    assert last > first


@when("the log hangs until the lease has passed and e2 is killed")
def hang_and_kill(context):
    world = context.world
    world.log.faults.log = "hang"
    world.run_for(1.2 * LEASE_MS / 1000 + 3)
    context.processes["e2"].kill()


@then("the new e2 answers requests and refuses those with an idempotency key")
def serves_without_log(context):
    world = context.world
    wait_until_serving(world, "e2")
    assert len(incarnations(world, "e2")) == 1
    answer = world.request("POST", "/notices", "e2", idempotency_key="k9")
    assert answer.header("cardamom-outcome") == "not-run"


@when("the log answers again")
def log_answers(context):
    context.world.log.faults.log = "up"


@then("the new e2 becomes a member and e1 delays acknowledgements")
def member_again(context):
    world = context.world
    world.run_until(lambda: len(incarnations(world, "e2")) == 2)
    opened = records.BatchOpened("weekly", 1, ("vm0",), "", world.read[-1].offset, "c1")
    world.append(opened)
    world.run_until(lambda: appended(world, records.BatchAcked, "e2"))
    assert not appended(world, records.BatchAcked, "e1")
    world.run_until(lambda: appended(world, records.BatchAcked, "e1"))
