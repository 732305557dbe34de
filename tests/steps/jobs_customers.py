"""Steps for nodes that identify customers by their keys."""

import copy
import io
import json

from behave import given, then, when
from jobs_node import CONFIG, NodeWorld, step_fields

from cardamomgrade import journal
from cardamomgrade.client import Requester
from cardamomgrade.jobs.customers import key_digest
from cardamomgrade.jobs.records import decode_job, PREFIX_JOB
from cardamomgrade.wire import HttpRequest

NOTICE_S = 0.4  # the node has read a record of the store by then
TENANTS = (("a", ("key-a1", "key-a2")), ("b", ("key-b1",)))
KEYS = ("key-a1", "key-a2", "key-b1", "key-zz")
QUEUES = {"q": False, "open": True}


def job_id(name):
    return f"{int(name, 16):016x}"


class CustomerWorld(NodeWorld):
    """A node whose configuration has customers; the caller sends keys."""

    def configure(self, version, tenants):
        cfg = copy.deepcopy(CONFIG)
        (route,) = cfg["routes"]
        cfg["routes"] = [
            {**route, "name": f"r-{name}", "pathPrefix": f"/{name}/", "public": public}
            for name, public in QUEUES.items()
        ]
        cfg["version"] = version
        if tenants is not None:
            cfg["tenants"] = tenants
        self.platform.put("keyed.op", "config", cfg)
        self.rig.run_for(NOTICE_S)

    def set_keys(self, version, keys):
        tenants = [{"name": name, "apiKeys": list(items)} for name, items in keys]
        self.configure(version, tenants)

    def ask(self, method, path, key="", steps=None):
        headers = [(b"host", b"jobs.example"), (b"x-deadline-ms", b"3000")]
        if key:
            headers.append((b"authorization", f"Bearer {key}".encode()))
        queue, _, name = path.strip("/").partition("/")
        target = f"/{queue}/{job_id(name) if name else ''}"
        body = json.dumps({"spec": "text", "steps": steps or [step_fields(1)]}).encode()
        answers = []
        caller = Requester(self.rig.loop, self.rig.net, self.cfgs[0].front)
        req = HttpRequest(
            method, target, tuple(headers), body if method == "POST" else b""
        )
        caller.request(req, answers.append, 5.0)
        self.rig.run_until(lambda: answers)
        caller.close()
        return answers[0]

    def stored(self, name):
        """Return the JobSpec of a stored job, or None."""
        key = (PREFIX_JOB + job_id(name)).encode()
        found = self.platform.log.newest("keyed.jobs").get(key)
        return decode_job(found[0]) if found is not None else None


@given("a node on an emulated platform with customers a and b")
def step_world(context):
    context.nodes = CustomerWorld(1, 2)
    context.nodes.set_keys(5, TENANTS)


@given("the node's log is kept")
def step_log(context):
    context.log = io.StringIO()
    journal.start_logging("jobs", "n0", context.log)
    context.add_cleanup(journal.stop_logging)


@when("customer a submits job {name:w} with {key}")
def step_submit(context, name, key):
    answer = context.nodes.ask("POST", f"/q/{name}", key)
    assert answer.status == 200, answer


@when("version {version:d} gives {first} to a and {second} to b")
def step_version(context, version, first, second):
    keys = [("a", () if first == "no key" else (first,)), ("b", (second,))]
    context.nodes.set_keys(version, keys)


@when("version {version:d} has no tenants")
def step_no_tenants(context, version):
    context.nodes.configure(version, None)


@when("version {version:d} limits a to {cores_m:d} cores_m")
def step_limits(context, version, cores_m):
    tenant = {"name": "a", "apiKeys": ["key-a1"], "maxCount": {"cpu": cores_m}}
    context.nodes.configure(version, [tenant])


@given("a second node")
def step_second_node(context):
    world = context.nodes
    world.cfgs.append(world.settings(1))
    world.nodes.append(world.start(world.cfgs[1]))
    world.rig.run_for(NOTICE_S)


@when(
    "a job of {tasks:d} tasks of {cores_m:d} cores_m runs, and the scheduler is killed "
    "after {count:d} of them"
)
def step_killed(context, tasks, cores_m, count):
    world = context.nodes
    world.task_ms = 300
    answer = submit_steps(context, "/q/a1", tasks, cores_m, False)
    assert answer.status == 200, answer
    world.rig.run_until(lambda: len(world.done(job_id("a1"))) >= count)
    gone = world.scheduler()
    world.nodes[gone].close()
    world.nodes[gone] = None


@then("all {tasks:d} tasks are done, and never more than {most:d} ran at once")
def step_at_once(context, tasks, most):
    world = context.nodes
    world.rig.run_until(lambda: len(set(world.done(job_id("a1")))) == tasks)
    running, highest = set(), 0
    for kind, executor, task, run in world.platform.trace:
        if kind == "start":
            running.add((executor, task, run))
        else:
            running.discard((executor, task, run))
        highest = max(highest, len(running))
    assert highest == most, (highest, world.platform.trace)


@when("a malformed version with {key} is written")
def step_malformed(context, key):
    for tenants in ([{"name": "a", "apiKeys": key}], {"apiKeys": [key]}):
        context.nodes.configure(9, tenants)


@when("the store is down for {seconds:d} s")
def step_store_down(context, seconds):
    context.nodes.platform.faults.down = True
    context.nodes.rig.run_for(seconds)


@then("calls with these keys are answered with their status")
def step_answers(context):
    world = context.nodes
    if not world.platform.faults.down:
        world.rig.run_for(NOTICE_S)
    context.answers = []
    for row in context.table:
        answer = world.ask(row["method"], row["path"], row["key"])
        assert answer.status == int(row["status"]), (row, answer)
        context.answers.append(answer)


@then("each of these answers has a Retry-After")
def step_retry(context):
    assert all(int(answer.header("retry-after")) > 0 for answer in context.answers)


@then("job {name:w} is not stored")
def step_not_stored(context, name):
    context.nodes.rig.run_for(NOTICE_S)
    assert context.nodes.stored(name) is None


@then("job {name:w} belongs to no customer and is completed")
def step_of_none(context, name):
    step_of_customer(context, name, "")


@then("job {name:w} belongs to customer {customer:w} and is completed")
def step_of_customer(context, name, customer):
    world = context.nodes
    assert world.stored(name).customer == customer
    world.rig.run_until(lambda: world.done(job_id(name)))


def submit_steps(context, path, tasks, cores_m, gang):
    steps = [step_fields(tasks, cpu=cores_m, gangScheduled=gang)]
    return context.nodes.ask("POST", path, "key-a1", steps)


@then("a {kind} of {tasks:d} tasks of {cores_m:d} cores_m is accepted as {name:w}")
def step_accepted(context, kind, tasks, cores_m, name):
    answer = submit_steps(context, f"/q/{name}", tasks, cores_m, kind == "gang")
    assert answer.status == 200, answer


@then("a job of {tasks:d} tasks of {cores_m:d} cores_m is accepted in the public queue")
def step_accepted_public(context, tasks, cores_m):
    answer = submit_steps(context, "/open/b1", tasks, cores_m, False)
    assert answer.status == 200, answer


@then("a {kind} of {tasks:d} tasks of {cores_m:d} cores_m is refused as too large")
def step_refused(context, kind, tasks, cores_m):
    answer = submit_steps(context, "/q/b2", tasks, cores_m, kind == "gang")
    error = json.loads(answer.body)["error"]
    assert answer.status == 400 and "limit of 2000" in error, answer
    context.nodes.rig.run_for(NOTICE_S)
    assert context.nodes.stored("b2") is None


@then("the log, the jobs topic and the metrics page show no key")
def step_no_keys(context):
    world = context.nodes
    req = HttpRequest("GET", "/metrics", ((b"host", b"metrics"),))
    port = world.metrics_ports[world.cfgs[0].node]
    caller = Requester(world.rig.loop, world.rig.net, f"127.0.0.1:{port}")
    pages = []
    caller.request(req, pages.append, 5.0)
    world.rig.run_until(lambda: pages)
    caller.close()
    records = b"".join(
        key + value for key, value in world.platform.log.records("keyed.jobs")
    )
    log = context.log.getvalue()
    assert "ConfigUnreadable" in log and '"customer": "a"' in log, log
    for text in (log.encode(), records, pages[0].body):
        for key in KEYS:
            digest = key_digest(key)
            for shown in (key.encode(), digest, digest.hex().encode()):
                assert shown not in text, (key, text)
