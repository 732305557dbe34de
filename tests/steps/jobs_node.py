"""Steps that run nodes and the emulated platform on one loop."""

import json
import time
from collections import Counter

import attrs
from behave import given, then, when

from cardamomgrade.client import Failure, Requester
from cardamomgrade.emulator.log import Reply
from cardamomgrade.emulator.server import EmulatedPlatform, HOST
from cardamomgrade.errors import SettingsError
from cardamomgrade.jobs.former import Incarnation
from cardamomgrade.jobs.node import Node
from cardamomgrade.jobs.records import (
    CancelRecord,
    decode_term,
    encode,
    KEY_TERM,
    PREFIX_CANCEL,
    PREFIX_JOB,
    TermRecord,
)
from cardamomgrade.jobs.settings import NodeSettings
from cardamomgrade.jobs.spec import JobSpec, Step
from cardamomgrade.platform.adapter import Platform
from cardamomgrade.wire import HttpRequest
from harness import free_address, free_port, Rig

TASK_MS = 60
LONG_TASK_MS = 1500
WAIT_S = 25.0
SETTINGS = NodeSettings(
    node="",
    zone="z",
    front="",
    ready="",
    store="",
    machines="",
    vm_orders_per_s=64.0,
    core_share=1.0,
    cores=2,
    link_mbps=1000,
    max_lease_ms=10_000,
    machine_lease_ms=300,
    upkeep_ms=200,
    stop_ms=100,
    status_ms=120_000,
    grace_ms=6000,
)
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r-q",
            "host": "jobs.example",
            "pathPrefix": "/q/",
            "kind": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 600,
            "priority": 0,
            "service": "s",
            "maxAttempts": 3,
            "stretch": 1.6,
        }
    ],
    "services": [
        {"name": "s", "enforceLimits": False, "standby": False},
        {"name": "off", "enforceLimits": False, "standby": True},
    ],
    "limits": {"maxBodyBytes": 262_144},
}


class NodeWorld:
    """Nodes, the emulated platform, and one caller for each node."""

    def __init__(self, nodes, executors):
        self.rig = Rig()
        self.task_ms = TASK_MS
        self.platform = EmulatedPlatform(self.rig.loop, self.plan)
        self.job = "00000000000000a1"
        self.lasting = False
        for number in range(executors):
            self.platform.add_executor(f"i-{number}", "s", 4000, 64_000)
        self.platform.put("keyed.op", "config", CONFIG)
        self.metrics_ports = {}
        self.cfgs = [self.settings(number) for number in range(nodes)]
        self.nodes = [self.start(cfg) for cfg in self.cfgs]
        self.callers = [
            Requester(self.rig.loop, self.rig.net, cfg.front) for cfg in self.cfgs
        ]
        self.rig.run_until(lambda: self.scheduler() is not None)

    def scrape(self, node, path="/metrics"):
        """Return the status and the samples by name of a node's metrics page."""
        port = self.metrics_ports[self.cfgs[node].node]
        caller = Requester(self.rig.loop, self.rig.net, f"{HOST}:{port}")
        answers = []
        req = HttpRequest("GET", path, ((b"host", b"metrics"),))
        caller.request(req, answers.append, 5.0)
        self.rig.run_until(lambda: answers)
        caller.close()
        lines = answers[0].body.decode().splitlines()
        pairs = [line.rsplit(" ", 1) for line in lines if not line.startswith("#")]
        return answers[0].status, dict(pairs)

    def settings(self, number):
        return attrs.evolve(
            SETTINGS,
            node=f"n{number}",
            front=free_address(),
            ready=free_address(),
            store=f"{HOST}:{self.platform.store_port}",
            machines=f"{HOST}:{self.platform.vms_port}",
        )

    def start(self, cfg):
        port = free_port()
        self.metrics_ports[cfg.node] = port
        node = Node(self.rig.loop, cfg, Platform, (port, "/metrics"))
        node.start()
        return node

    def plan(self, task):
        return (None, "failed") if self.lasting else (self.task_ms, "done")

    def scheduler(self):
        """Return the index of the node that schedules, or None."""
        found = [
            number
            for number, node in enumerate(self.nodes)
            if node is not None and node.scheduling
        ]
        return found[0] if found else None

    def call(self, method, path, body=b"", node=0):
        """Send a caller's request; return the HttpResponse or Failure."""
        headers = [(b"host", b"jobs.example"), (b"x-deadline-ms", b"3000")]
        answers = []
        req = HttpRequest(method, path, tuple(headers), body)
        self.callers[node].request(req, answers.append, 5.0)
        self.rig.run_until(lambda: answers)
        return answers[0]

    def begin_submit(self, job, node=0):
        """Send a submission on a connection of its own; return the list of answers."""
        caller = Requester(self.rig.loop, self.rig.net, self.cfgs[node].front)
        headers = ((b"host", b"jobs.example"), (b"x-deadline-ms", b"3000"))
        body = json.dumps({"spec": "text", "steps": [step_fields(1)]}).encode()
        answers = []
        req = HttpRequest("POST", f"/q/{job}", headers, body)
        caller.request(req, answers.append, 5.0)
        return answers

    def submit(self, steps, node=0, job=None, text="text"):
        body = json.dumps({"spec": text, "steps": steps}).encode()
        return self.call("POST", f"/q/{job or self.job}", body, node)

    def state(self, node=0, job=None):
        answer = self.call("GET", f"/q/{job or self.job}", node=node)
        if isinstance(answer, Failure) or answer.status != 200:
            return answer
        return json.loads(answer.body)["state"]

    def wait_state(self, state, node=0, job=None):
        """Poll the job until its state is ``state``; fail after WAIT_S."""
        end = self.rig.loop.now() + WAIT_S
        while self.rig.loop.now() < end:
            shown = self.state(node, job)
            if shown == state:
                return
            self.rig.run_for(0.05)
        raise AssertionError(f"{shown}, not {state}")

    def done(self, job=None):
        """Return the tasks of a job that ended done, once for each such run."""
        name = job or self.job
        return [
            task
            for kind, _, task, _ in self.platform.trace
            if kind == "done" and task.startswith(name)
        ]


def step_fields(tasks, **fields):
    return {"count": tasks, "cpu": 1000, "memMb": 100, "estimateMs": 50, **fields}


@given("{nodes:d} nodes on an emulated platform with {executors:d} executors")
def step_world(context, nodes, executors):
    context.nodes = NodeWorld(nodes, executors)


@given("{count:d} VMs in the standby pool")
def step_standby(context, count):
    for number in range(count):
        vm = f"m-off-{number}"
        context.nodes.platform.machines[vm] = {
            "machine": vm,
            "pool": "off",
            "state": "up",
            "zone": "z",
            "labels": ["a", "r9"],
            "id": "",
        }


@when("a caller submits a job of 2 steps with {tasks:d} tasks each at node {node:d}")
def step_submit(context, tasks, node):
    steps = [step_fields(tasks), step_fields(tasks, after=[0])]
    assert context.nodes.submit(steps, node - 1).status == 200


@then("node {node:d} shows the job as {state}")
def step_shown(context, node, state):
    context.nodes.wait_state(state, node - 1)


@then("the other node shows the job as {state}")
def step_other_shown(context, state):
    context.nodes.wait_state(state, context.nodes.survivor)


@then("each of its {tasks:d} tasks ended done once")
def step_once(context, tasks):
    context.nodes.wait_state("completed", getattr(context.nodes, "survivor", 0))
    done = context.nodes.done()
    assert len(done) == len(set(done)) == tasks, done


@when("a caller submits the same job at both nodes and again when it is completed")
def step_same(context):
    world = context.nodes
    for node in (0, 1):
        assert world.submit([step_fields(2)], node).status == 200
    world.wait_state("completed")
    assert world.submit([step_fields(2)], 1).status == 200
    world.rig.run_for(0.5)


@then("these calls are answered with their status")
def step_calls(context):
    for row in context.table:
        answer = context.nodes.call(row["method"], row["path"], row["body"].encode())
        assert answer.status == int(row["status"]), (row, answer)


@then("a spec of 4001 bytes is refused and one of 4000 bytes is accepted")
def step_spec(context):
    world = context.nodes
    assert world.submit([step_fields(1)], text="x" * 4001).status == 400
    assert world.submit([step_fields(1)], text="x" * 4000).status == 200


@when("a caller submits a long-running job with {tasks:d} tasks")
def step_lasting(context, tasks):
    context.nodes.lasting = True
    steps = [step_fields(tasks, longRunning=True)]
    assert context.nodes.submit(steps).status == 200


@then("its 2 tasks run")
def step_running(context):
    world = context.nodes
    world.rig.run_until(
        lambda: (
            sum(
                len(instance.executor.runs)
                for instance in world.platform.instances.values()
            )
            == 2
        )
    )


@when("the caller cancels the job")
def step_delete(context):
    answer = context.nodes.call("DELETE", f"/q/{context.nodes.job}")
    assert answer.status == 200, answer


@then("the executors have no runs")
def step_idle(context):
    world = context.nodes
    world.rig.run_until(
        lambda: (
            not any(item.executor.runs for item in world.platform.instances.values())
        )
    )


@when("the store loses the next {count:d} answers to appends while a job runs")
def step_lose(context, count):
    world = context.nodes
    assert world.submit([step_fields(1), step_fields(1, after=[0])]).status == 200
    world.platform.faults.lose_answers = count


@when("the store neither carries out nor answers an append of two jobs by node 1")
def step_ignored_append(context):
    world = context.nodes
    world.platform.faults.ignore_appends = 2
    # The jobs that arrive while an append is in flight share the next one.
    world.begin_submit("00000000000000b0")
    world.rig.run_until(lambda: world.platform.faults.ignore_appends == 1)
    world.first = world.begin_submit("00000000000000b1")
    world.second = world.begin_submit("00000000000000b2")
    world.rig.run_until(lambda: world.platform.faults.ignore_appends == 0)


@when("the first of these jobs is repeated at node 2")
def step_repeated_elsewhere(context):
    world = context.nodes
    assert world.submit([step_fields(1)], 1, "00000000000000b1").status == 200


@then("node 1 answers the first job with 200")
def step_first_answered(context):
    world = context.nodes
    world.rig.run_until(lambda: world.first)
    assert world.first[0].status == 200, world.first


@then("node 1 answers the second job with 504, as it is not stored")
def step_second_unanswered(context):
    world = context.nodes
    world.rig.run_until(lambda: world.second)
    assert b"job/00000000000000b2" not in world.platform.log.newest("keyed.jobs")
    assert world.second[0].status == 504, world.second


@when("the store is down")
def step_down(context):
    context.nodes.platform.faults.down = True


@when("the store is up again")
def step_up(context):
    context.nodes.platform.faults.down = False


@then("a submission is answered 503 with Retry-After")
def step_unavailable(context):
    answer = context.nodes.submit([step_fields(1)])
    assert answer.status == 503 and answer.header("retry-after") != "", answer


@then("the node reports that it is not ready")
def step_unready(context):
    world = context.nodes
    client = Requester(world.rig.loop, world.rig.net, world.cfgs[0].ready)
    answers = []

    def ask():
        answers.clear()
        req = HttpRequest("GET", "/api/ready", ((b"host", b"x"),))
        client.request(req, answers.append, 2.0)

    end = world.rig.loop.now() + WAIT_S
    while world.rig.loop.now() < end:
        ask()
        world.rig.run_until(lambda: answers)
        if answers[0].status == 503:
            return
        world.rig.run_for(0.2)
    raise AssertionError(f"node still ready after {WAIT_S} s")


@then("a job submitted now is completed")
def step_works(context):
    world = context.nodes
    job = "00000000000000c1"
    end = world.rig.loop.now() + WAIT_S
    while world.submit([step_fields(2)], job=job).status != 200:
        assert world.rig.loop.now() < end
        world.rig.run_for(0.2)
    world.wait_state("completed", job=job)


@when("the scheduling node is killed while a job runs")
def step_kill(context):
    world = context.nodes
    gone = world.scheduler()
    world.survivor = 1 - gone
    world.task_ms = LONG_TASK_MS
    assert world.submit([step_fields(4)], world.survivor).status == 200
    world.rig.run_until(lambda: world.platform.trace)
    world.nodes[gone].close()
    world.nodes[gone] = None


@then("the executors have received a higher fencing token")
def step_token(context):
    instances = context.nodes.platform.instances.values()
    tokens = [item.executor.token for item in instances]
    assert max(tokens) == Incarnation().token(epoch=2), tokens


@when("another node begins a term with a higher epoch")
def step_new_term(context):
    world = context.nodes
    record = TermRecord(9, "n9", "other", 0, False)
    world.old = world.scheduler()
    pairs = [(KEY_TERM.encode(), encode(record))]
    world.platform.log.append("keyed.jobs", pairs, None, "scheduler", 9, 0)


@then("the old scheduler becomes a follower after its next append")
def step_deposed(context):
    world = context.nodes
    world.rig.run_until(lambda: not world.nodes[world.old].scheduling)


@when("the node is restarted and the store refuses its candidacies for {seconds:g} s")
def step_refused_candidacies(context, seconds):
    world = context.nodes
    log, times = world.platform.log, []
    append = log.append
    world.nodes[0].close()

    def append_after_refusals(topic, pairs, at=None, producer=None, *position):
        if producer is None:
            return append(topic, pairs, at)
        times.append(world.rig.loop.now())
        if times[-1] - times[0] < seconds:
            return Reply(503, {})
        world.platform.faults.down = True
        log.append = append
        return append(topic, pairs, at, producer, *position)

    log.append = append_after_refusals
    world.nodes[0] = world.start(world.cfgs[0])


def kill_scheduler(world, make_pair):
    """Kill the scheduler; store ``make_pair(record)`` before each other candidacy."""
    log = world.platform.log
    append = log.append
    old = world.scheduler()
    world.killed = decode_term(log.newest("keyed.jobs")[b"term"][0])
    world.nodes[old].close()
    world.candidacies = 0

    def append_after_another(topic, pairs, at=None, producer=None, epoch=0, *number):
        if producer and epoch > world.killed.epoch and not world.candidacies:
            world.candidacies += 1
            append(topic, [make_pair(world.killed)])
        return append(topic, pairs, at, producer, epoch, *number)

    log.append = append_after_another
    world.survivor = world.nodes[1 - old]
    world.killed_at = world.rig.loop.now()


@when("the scheduler is killed, and a job's record is stored before each candidacy")
def step_killed_among_jobs(context):
    world = context.nodes
    kill_scheduler(world, lambda record: (b"cancel/00000000000000ff", b""))
    append = world.platform.log.append

    def append_after_job(topic, pairs, at=None, *writer):
        world.candidacies = 0
        return append(topic, pairs, at, *writer)

    world.platform.log.append = append_after_job


@then("the other node schedules within {seconds:g} s")
def step_survivor_schedules(context, seconds):
    world = context.nodes
    world.rig.run_until(lambda: world.survivor.scheduling)
    took_s = world.rig.loop.now() - world.killed_at
    assert took_s < seconds, took_s


@when("the scheduler is killed, and a record of its term is stored before a candidacy")
def step_killed_with_late_record(context):
    pair = KEY_TERM.encode()
    kill_scheduler(context.nodes, lambda record: (pair, encode(record)))


@then("the other node schedules {seconds:g} s after it has read that record")
def step_survivor_waits(context, seconds):
    world = context.nodes
    world.rig.run_until(lambda: world.candidacies)
    stored_at = world.rig.loop.now()
    world.rig.run_until(lambda: world.survivor.scheduling)
    waited_s = world.rig.loop.now() - stored_at
    assert seconds - 0.05 <= waited_s < seconds + 0.5, waited_s


@when("the record of its next candidacy is stored but cannot be read for {seconds:g} s")
def step_unreadable(context, seconds):
    world = context.nodes
    world.rig.run_until(lambda: world.platform.faults.down)
    world.stored = decode_term(world.platform.log.newest("keyed.jobs")[b"term"][0])
    world.rig.run_for(seconds)
    world.platform.faults.down = False


@then("the node is elected by reading that record")
def step_elected(context):
    world = context.nodes
    world.rig.run_until(lambda: world.scheduler() == 0)
    newest = decode_term(world.platform.log.newest("keyed.jobs")[b"term"][0])
    assert newest.epoch == world.stored.epoch, (newest, world.stored)


@when("one executor stops responding while it runs tasks of a job")
def step_unresponsive(context):
    world = context.nodes
    world.task_ms = 300
    assert world.submit([step_fields(8)]).status == 200
    world.rig.run_until(lambda: len(world.platform.trace) == 8)
    world.platform.instances["i-0"].silent = True


@then("no task ran twice at the same time under a lease")
def step_unique_runs(context):
    runs = [item[2:] for item in context.nodes.platform.trace if item[0] == "start"]
    assert len(runs) == len(set(runs)) > 8, runs


@when("another incarnation takes over one executor's address")
def step_new_incarnation(context):
    world = context.nodes
    world.task_ms = 300
    assert world.submit([step_fields(8)]).status == 200
    world.rig.run_until(lambda: len(world.platform.trace) == 8)
    executor = world.platform.instances["i-0"].executor
    executor.name = "i-0-next"
    executor.runs.clear()


@when("these records are written")
def step_records(context):
    for row in context.table:
        pairs = [(row["key"].encode(), row["value"].encode())]
        context.nodes.platform.log.append(row["topic"], pairs)
    context.nodes.rig.run_for(0.3)


@when("all records of the store expire")
def step_expire(context):
    platform = context.nodes.platform
    for topic in ("keyed.jobs", "keyed.op", "keyed.servers"):
        platform.log.append(topic, [(b"noise", b"x")])
        platform.log.expire(topic)


@when("a job, its cancellation and the job again are stored and expire before a read")
def step_expire_cancelled(context):
    world = context.nodes
    world.platform.faults.down = True
    world.rig.run_for(1.5)  # longer than a read waits in the store
    step = Step(1, cores_m=1000, memory_mb=100)
    spec = JobSpec(world.job, "r-q", "s", "text", int(time.time() * 1000), (step,))
    job = (PREFIX_JOB.encode() + world.job.encode(), encode(spec))
    cancel = (PREFIX_CANCEL.encode() + world.job.encode(), encode(CancelRecord(0)))
    for pair in (job, cancel, job):
        world.platform.log.append("keyed.jobs", [pair])
    world.platform.log.expire("keyed.jobs")
    world.platform.faults.down = False


@then("the job has not started 1 s later")
def step_not_started(context):
    world = context.nodes
    world.rig.run_for(1.0)
    assert world.scheduler() == 0
    assert world.platform.trace == [], world.platform.trace


@when("an operator requests a wave of all VMs, at most {at_once:d} at once")
def step_wave(context, at_once):
    platform = context.nodes.platform
    fields = {
        "wave": 4,
        "machines": list(platform.machines),
        "durationS": 20,
        "maxCount": at_once,
    }
    platform.put("keyed.op", "wave/4", fields)


def wave_completed(world):
    found = world.platform.log.newest("keyed.status").get(b"wave/4")
    return found is not None and json.loads(found[0]) == {"state": "completed"}


@then("each VM had its upkeep once, never 2 at once, and the wave is completed")
def step_wave_done(context):
    world = context.nodes
    world.rig.run_until(lambda: wave_completed(world))
    ordered = [fields["machine"] for call, fields in world.platform.orders]
    assert sorted(ordered) == sorted(set(ordered)), ordered
    assert len(ordered) == 3


@when(
    "a caller submits a lasting job of {tasks:d} tasks, {budget:d} of which may be away"
)
def step_budgeted(context, tasks, budget):
    context.nodes.lasting = True
    steps = [step_fields(tasks, longRunning=True, mayMiss=budget)]
    assert context.nodes.submit(steps).status == 200


def set_progress(world, percent):
    for instance in world.platform.instances.values():
        instance.executor.percent = percent


@when("both tasks start slowly on the only executor")
def step_start_slowly(context):
    world = context.nodes
    set_progress(world, 50)
    (instance,) = world.platform.instances.values()
    world.rig.run_until(lambda: len(instance.executor.runs) == 2)


@when("both tasks have been ready for {seconds:g} s")
def step_ready_for(context, seconds):
    world = context.nodes
    (instance,) = world.platform.instances.values()
    world.rig.run_until(lambda: len(instance.executor.runs) == 2)
    world.rig.run_for(seconds)


@when("the only executor stops responding")
def step_only_silent(context):
    (instance,) = context.nodes.platform.instances.values()
    instance.silent = True


@then("no VM is taken down for {seconds:d} s")
def step_none_down(context, seconds):
    context.nodes.rig.run_for(seconds)
    assert context.nodes.platform.orders == []


@when("{count:d} more executors register and both tasks are ready")
def step_more_executors(context, count):
    world = context.nodes
    for number in range(count):
        world.platform.add_executor(f"i-more-{number}", "s", 4000, 64_000)
    set_progress(world, 100)


@then("the wave is completed, and never ended more than {budget:d} task at once")
def step_wave_budget(context, budget):
    world = context.nodes
    world.rig.run_until(lambda: wave_completed(world))
    ended = Counter(
        executor for kind, executor, _, _ in world.platform.trace if kind == "gone"
    )
    assert max(ended.values(), default=0) <= budget, world.platform.trace


@when("a caller submits more work than the pool has capacity for")
def step_overload(context):
    world = context.nodes
    world.task_ms = LONG_TASK_MS
    assert world.submit([step_fields(12)]).status == 200


@then("a standby VM moves to the pool")
def step_joined(context):
    world = context.nodes
    world.rig.run_until(
        lambda: any(
            call == "machine-move" and fields["pool"] == "s"
            for call, fields in world.platform.orders
        )
    )
    world.wait_state("completed")


@when("the scheduling node is stopped")
def step_stop(context):
    world = context.nodes
    world.stopped = world.scheduler()
    world.survivor = 1 - world.stopped
    world.nodes[world.survivor].close()
    world.nodes[world.stopped].stop()


@then("its last term record is a resignation, also 1 s later")
def step_resigned(context):
    world = context.nodes
    world.rig.run_for(1.0)
    value, _ = world.platform.log.newest("keyed.jobs")[KEY_TERM.encode()]
    record = decode_term(value)
    assert record.resigned and record.node == world.cfgs[world.stopped].node, record


@then("the other node schedules")
def step_other(context):
    world = context.nodes
    node = world.start(world.settings(7))
    world.rig.run_until(lambda: node.scheduling)


@when("the settings are reloaded with status_ms = {time_ms:d}")
def step_reload(context, time_ms):
    world = context.nodes
    cfg = attrs.evolve(world.cfgs[0], status_ms=time_ms, front="127.0.0.1:1")
    world.nodes[0].reload(lambda: cfg)


@when("invalid settings are reloaded")
def step_reload_invalid(context):
    def load():
        raise SettingsError("boot.yaml: missing nodeName")

    context.nodes.nodes[0].reload(load)


@then("the node's status_ms is {time_ms:d}")
def step_status_ms(context, time_ms):
    cfg = context.nodes.nodes[0].cfg
    assert cfg.status_ms == time_ms and cfg.front == context.nodes.cfgs[0].front


@when("the node has detected it")
def step_detected(context):
    context.nodes.rig.run_for(1.5)


@then("the next submission is answered 503 without a call to the store")
def step_no_call(context):
    world = context.nodes
    world.platform.faults.requests.clear()
    answer = world.submit([step_fields(1)])
    assert answer.status == 503 and answer.header("retry-after"), answer
    appends = [
        target for target in world.platform.faults.requests if "producer" not in target
    ]
    assert not [item for item in appends if "log-append" in item], appends


@then("the scheduling node's metrics count the runs and the first start")
def step_scrape(context):
    nodes = context.nodes
    status, samples = nodes.scrape(nodes.scheduler())
    assert status == 200
    assert float(samples["cardamom_scheduling"]) == 1
    assert float(samples['cardamom_run_ends_total{outcome="done"}']) == 6, samples
    assert float(samples["cardamom_first_start_seconds_count"]) == 1
    assert 0 < float(samples['cardamom_first_start_seconds{quantile="0.99"}']) < 5
    assert float(samples["cardamom_executors_silent"]) == 0


@then("the metrics of the node that accepted the job count its answer")
def step_scrape_entry(context):
    _, samples = context.nodes.scrape(0)
    key = 'cardamom_answers_total{answer="done",call="submit"}'
    assert float(samples[key]) == 1, samples
    assert float(samples["cardamom_answer_submit_seconds_count"]) == 1


@then("the metrics count every completed append as answered or read")
def step_scrape_acks(context):
    nodes = context.nodes
    for by, number in (("entry", 0), ("scheduler", nodes.scheduler())):
        _, samples = nodes.scrape(number)
        done = f'cardamom_appends_total{{by="{by}",fate="done"}}'
        start = f'cardamom_append_acks_total{{by="{by}",how='
        acks = [float(samples[key]) for key in samples if key.startswith(start)]
        assert sum(acks) == float(samples[done]) >= 1, samples


@then("another path of the metrics address has no page")
def step_scrape_other(context):
    assert context.nodes.scrape(0, "/other")[0] == 404


@then("its next answer {what} the connection")
def step_connection(context, what):
    answer = context.nodes.submit([{"count": 1}])
    assert answer.status == 503
    closing = answer.header("connection") == "close"
    assert closing == (what == "closes"), answer.headers


@then("its next answer leaves the connection open")
def step_connection_open(context):
    step_connection(context, "leaves open")
