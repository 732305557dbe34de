"""Steps for odd entries of other writers among the registrations of executors."""

import base64
import contextlib
import json
import struct
import tempfile
from pathlib import Path

import yaml
from behave import given, then, when
from hypothesis import example, given as generated, settings, strategies as st
from jobs_incarnations import DriverWorld, NAME
from jobs_node import CONFIG, step_fields, WAIT_S
from platform_decoders import ANY, mutated, VALID

import harness
from cardamomgrade.client import Requester
from cardamomgrade.emulator.program import node_settings
from cardamomgrade.emulator.server import EmulatedPlatform, SERVERS
from cardamomgrade.errors import RecordError
from cardamomgrade.jobs import follow
from cardamomgrade.jobs.records import encode
from cardamomgrade.jobs.reports import LeaseReport
from cardamomgrade.jobs.spec import JobSpec, Step
from cardamomgrade.jobs.store import Entry, Page
from cardamomgrade.platform import records, store
from cardamomgrade.wire import HttpRequest, HttpResponse

GENERATED = settings(max_examples=300, derandomize=True, deadline=None, database=None)
SOUND = "sound"  # label of sound executors, which tasks of the tests require
SECOND = "i-5"
PAGE_ITEMS = 3
JOB = "00000000000000c1"
TASK_MS = 60
SETTLE_S = 0.1
ENTRY = VALID["registration"]
HUGE = b"9" * 5000


def text_of(**changes):
    """Return the bytes of a registration with changed fields."""
    return json.dumps({**ENTRY, **changes}).encode()


def with_raw(field, raw):
    """Return the bytes of a registration with the JSON text ``raw`` as a field."""
    return text_of()[:-1] + b', "' + field.encode() + b'": ' + raw + b"}"


def nested(depth):
    return b"[" * depth + b"]" * depth


ODD_VALUES = (
    b"{",
    b"null",
    b"\xff\xfe{}",
    b"[" * 200_000,
    b'{"a":' * 40_000,
    text_of() + b" " * 262_144 + b"}",
    text_of(address="127.0.0.08:80"),
    text_of(address="127.0.0.1:00000"),
    text_of(address="127.0.0.1:-1"),
    text_of(address="127.0.0.1:65536"),
    text_of(address="127.0.0.1: 80"),
    text_of(address="127.0.0.1:8_0"),
    text_of(address="127.0.0.1:\u0668\u0660"),
    text_of(address="255.255.255.255:9"),
    text_of(address="224.0.0.1:9"),
    text_of(address="0.0.0.0:1"),
    text_of(service="s\r\n\x00"),
    text_of(service=""),
    text_of(state="asleep"),
    text_of(labels=[[[]]]),
    text_of(remainingMs=-(2**53)),
    text_of(clockMs=2**53),
    *(with_raw("slots", nested(depth)) for depth in range(880, 1000, 3)),
    *(with_raw("labels", nested(depth)) for depth in range(880, 1000, 3)),
    *(
        with_raw(field, raw)
        for field in ("capacity", "clockMs", "remainingMs", "sequence", "born", "slots")
        for raw in (HUGE, b"-" + HUGE, b"1e400", b"NaN", b"-Infinity", HUGE[:4300])
    ),
    *(text_of().decode().encode(name) for name in ("utf-16", "utf-8-sig", "utf-32")),
)
ODD_KEYS = (b"", b"\xff\xfe", b"x" * 255, b"a\r\nb", b"x/odd", b"\xed\xa0\x80", b"i-3")


@st.composite
def odd_values(draw):
    data = json.dumps(mutated(ENTRY, draw(ANY), draw)).encode()
    return data[: draw(st.sampled_from([len(data), len(data), len(data) // 2]))]


VALUES = st.one_of(odd_values(), st.sampled_from(ODD_VALUES), st.binary(max_size=40))
KEYS = st.one_of(st.sampled_from(ODD_KEYS), st.binary(max_size=6))
PAIRS = st.lists(st.tuples(KEYS, VALUES), max_size=8)


def registration(**changes):
    """Return a sound registration, whose label the jobs of these tests require."""
    return text_of(service="s", labels=[SOUND, "r1"], **changes)


class EntriesTopic:
    """Client of the topic of executors; its answers pass the platform's decoders."""

    def __init__(self, world):
        self._world = world
        self.reads = []

    def close(self):
        pass

    def newest(self, after, on_done, timeout):
        newest = {}
        for offset, (key, value) in enumerate(self._world.records):
            newest[key] = (value, offset)
        items = [
            {
                "key": key.decode("utf-8", "replace"),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in sorted(newest.items())
            if value and key > after.encode()
        ]
        fields = {
            "items": items[:PAGE_ITEMS],
            "morePages": len(items) > PAGE_ITEMS,
            "end": len(self._world.records),
        }
        self._answer(on_done, store._page_result, json.dumps(fields).encode())

    def read(self, start, wait_ms, on_done, timeout):
        if start < len(self._world.records):
            self._serve_read(start, on_done)
        else:
            self.reads.append((start, on_done))

    def _serve_read(self, start, on_done):
        body = struct.pack(">QQ", len(self._world.records), 0)
        for key, value in self._world.records[start:]:
            record = bytes((len(key),)) + key + value
            body += struct.pack(">I", len(record)) + record
        self._answer(on_done, lambda res: store._read_result(res, start), body)

    def _answer(self, on_done, decode, body):
        result = decode(HttpResponse(200, (), body))
        self._world.loop.call_later(0.001, lambda: on_done(result))

    def written(self):
        """Answer the reads that wait for further records."""
        reads, self.reads = self.reads, []
        for start, on_done in reads:
            self._serve_read(start, on_done)


class EntriesWorld(DriverWorld):
    """A driver that reads the executors from a topic of raw records."""

    def __init__(self, records=()):
        super().__init__()
        self.records = list(records)
        self.topic = EntriesTopic(self)
        self.start()
        self.settle()

    def executors_topic(self):
        return self.topic

    def settle(self):
        for _ in range(20 + len(self.records) // PAGE_ITEMS):
            self.loop.advance(0.01)
            # The executors answer the check before a first run.
            for client in self.clients:
                report = LeaseReport(1000, (), (), born=client.entry.born)
                client.answer_asks(report)

    def write(self, *pairs):
        self.records.extend(pairs)
        self.topic.written()
        self.settle()

    def executor(self, entry, epoch):
        # A connection is not opened, but its address must be one.
        store.Requester(self.loop, None, entry.address)
        return super().executor(entry, epoch)

    def started_on(self, name):
        """Return the tasks whose start was sent to an executor."""
        return {
            order.task
            for client in self.clients
            if client.entry.executor == name
            for order, _ in client.starts
        }

    def submit(self, name, tasks=1, cores_m=1000):
        step = Step(tasks, cores_m=cores_m, label=SOUND)
        spec = JobSpec(name, "r-q", "s", "text", 0, (step,))
        self.view.fold(Entry(0, f"job/{name}", encode(spec)))
        self.settle()


def record_lines(context):
    """Set ``context.lines`` to the events that followers log in this scenario."""
    context.lines = []
    log_event = follow.log_event
    follow.log_event = context.lines.append
    context.add_cleanup(setattr, follow, "log_event", log_event)


def not_applied(lines):
    return [line for line in lines if isinstance(line, follow.EntryNotApplied)]


@then("an executor is used after generated entries are read in a page and in the log")
def step_generated(context):
    record_lines(context)
    everything = [(f"o-{n}".encode(), item) for n, item in enumerate(ODD_VALUES)]
    known = NAME.encode()

    @GENERATED
    @example(everything, everything, everything[:5])
    @generated(PAIRS, PAIRS, PAIRS)
    def check(first, second, third):
        world = EntriesWorld([*first, (known, registration())])
        world.submit(JOB)
        assert world.started_on(NAME) == {f"{JOB}.0.0.0"}
        world.write(*second, *((known, value) for _, value in third))
        world.write((known, registration()), (SECOND.encode(), registration()))
        for number in range(2, 9):
            world.submit(f"{number:016x}")
        # Each has 4 cores.
        assert len(world.started_on(NAME)) == 4, world.started_on(NAME)
        assert len(world.started_on(SECOND)) == 4, world.started_on(SECOND)
        assert not not_applied(context.lines), context.lines

    check()


class ProcessWorld:
    """The emulated platform on a loop of the test, and a node as a process."""

    def __init__(self):
        self.rig = harness.Rig()
        self.platform = EmulatedPlatform(self.rig.loop, lambda task: (TASK_MS, "done"))
        self.platform.put("keyed.op", "config", CONFIG)
        self.folder = Path(tempfile.mkdtemp())
        self.process = self.caller = None

    def write(self, *pairs):
        self.platform.log.append(SERVERS, pairs)

    def start(self):
        cfg = node_settings(1, self.platform)
        path = self.folder / "n1.yaml"
        path.write_text(yaml.safe_dump(cfg))
        env = {"CARDAMOMGRADE_BOOT": str(path)}
        output, errors = (self.folder / "n1.log", self.folder / "n1.err")
        with output.open("wb") as out, errors.open("wb") as err:
            self.process = harness.start("jobsd", env=env, output=out, log=err)
        self.caller = Requester(self.rig.loop, self.rig.net, cfg["listen"]["front"])

    def call(self, method, path, body=b""):
        answers = []
        req = HttpRequest(method, path, ((b"host", b"jobs.example"),), body)
        self.caller.request(req, answers.append, 5.0)
        self.rig.run_until(lambda: answers)
        return answers[0]

    def submit(self, job, **fields):
        """Submit a job of one step, again until it is accepted."""
        body = json.dumps({"spec": "text", "steps": [step_fields(**fields)]}).encode()
        end = self.rig.loop.now() + WAIT_S
        while self.rig.loop.now() < end:
            answer = self.call("POST", f"/q/{job}", body)
            if answer and answer.status == 200:
                return
            self.rig.run_for(SETTLE_S)
        raise AssertionError(answer)

    def wait_completed(self, job):
        end = self.rig.loop.now() + WAIT_S
        while self.rig.loop.now() < end:
            answer = self.call("GET", f"/q/{job}")
            if answer and json.loads(answer.body)["state"] == "completed":
                return
            self.rig.run_for(SETTLE_S)
        raise AssertionError((answer, self.errors()))

    def started_on(self, name, job):
        return {
            task
            for kind, executor, task, _ in self.platform.trace
            if kind == "start" and executor == name and task.startswith(job)
        }

    def errors(self):
        return (self.folder / "n1.err").read_text()


def odd_pairs(prefix):
    """Return (key, value) pairs of odd entries, each under a key of its own."""
    pairs = [(prefix + b"%d" % n, item) for n, item in enumerate(ODD_VALUES)]
    return [*((key, b"{") for key in ODD_KEYS), *pairs]


@given("an emulated platform whose list has odd entries before that of an executor")
def step_platform(context):
    world = context.odd = ProcessWorld()
    world.write(*odd_pairs(b"a-"))
    world.platform.add_executor(NAME, "s", 4000, 64_000, rack=SOUND)


@given("a node as a process")
def step_process(context):
    context.odd.start()


@then("a job is completed on that executor")
def step_first_job(context):
    world = context.odd
    world.submit(JOB, tasks=2, requirements=SOUND)
    world.wait_completed(JOB)
    assert len(world.started_on(NAME, JOB)) == 2, world.platform.trace


@when("odd entries and then that of another executor are written")
def step_second(context):
    world = context.odd
    for key, value in odd_pairs(b"b-"):
        world.write((key, value))
    world.rig.run_for(SETTLE_S)
    world.platform.add_executor(SECOND, "s", 4000, 64_000, rack=SOUND)


@when("the entry of the first executor is replaced by odd ones, then written again")
def step_replaced(context):
    world = context.odd
    for value in ODD_VALUES:
        world.write((NAME.encode(), value))
    world.rig.run_for(SETTLE_S)
    world.platform.register_executor(NAME)
    world.rig.run_for(SETTLE_S)


@then("a job that needs both executors is completed on them")
def step_both(context):
    world = context.odd
    job = "00000000000000c2"
    world.submit(job, tasks=8, cpu=1000, requirements=SOUND)
    world.wait_completed(job)
    for name in (NAME, SECOND):
        assert world.started_on(name, job), world.platform.trace


@then("the process runs, and has reported no error")
def step_runs(context):
    assert context.odd.process.poll() is None, context.odd.errors()
    assert not context.odd.errors(), context.odd.errors()
    log = (context.odd.folder / "n1.log").read_text()
    assert "EntryNotApplied" not in log, log


@given("an emulated platform with an executor and an entry with address {address}")
def step_address(context, address):
    world = context.odd = ProcessWorld()
    world.write((b"a-1", registration(address=address)))
    world.platform.add_executor(NAME, "s", 4000, 64_000, rack=SOUND)


@then("a job of {tasks:d} tasks is completed on that executor")
def step_elsewhere(context, tasks):
    world = context.odd
    world.submit(JOB, tasks=tasks, requirements=SOUND)
    world.wait_completed(JOB)
    assert len(world.started_on(NAME, JOB)) == tasks, world.platform.trace


@then("an entry with address {address} is refused")
def step_refused(context, address):
    try:
        entry = records.decode_executor(NAME, registration(address=address))
    except RecordError:
        return
    raise AssertionError(entry)


@given("an executor that runs a task")
def step_running(context):
    context.entries = EntriesWorld([(NAME.encode(), registration())])
    context.entries.submit(JOB)


@when('odd entries and deletions are written under keys that end with "/" and its id')
def step_slash(context):
    world = context.entries
    world.write((b"x/" + NAME.encode(), b"{"), (b"/" + NAME.encode(), b""))


@then("the next task is started on it")
def step_next(context):
    world = context.entries
    world.submit(f"{2:016x}")
    assert len(world.started_on(NAME)) == 2, world.started_on(NAME)


BAD_KEYS = {
    "an unpaired surrogate": b'"i-1\\udcff"',
    "bytes that are not UTF-8": b'"i-1\xff"',
    "empty": b'""',
}


@given("a list of executors in which the key of an odd entry is {key}")
def step_bad_key(context, key):
    value = base64.b64encode(registration()).decode()
    items = [{"key": name, "value": value, "offset": 1} for name in ("i-0", "?", "i-2")]
    body = json.dumps({"items": items, "morePages": False, "end": 3}).encode()
    context.body = body.replace(b'"?"', BAD_KEYS[key])


@when("the list is loaded")
def step_load(context):
    page = store._page_result(HttpResponse(200, (), context.body))
    world = context.entries = EntriesWorld()
    world.topic.newest = lambda after, on_done, timeout: on_done(page)
    world.driver._executors._load("test")
    world.settle()


@then("the executors beside it are listed")
def step_listed(context):
    names = set(context.entries.driver._scheduler.executors)
    assert names == {"i-0", "i-2"}, names


@given("a store whose every page of executors has more, and the key {key} last")
def step_endless(context, key):
    last = "" if key == "empty" else key
    context.page = Page(
        (Entry(1, "i-0", registration()), Entry(2, last, registration())), True, 3
    )


@when("the list is loaded page by page")
def step_load_pages(context):
    world = context.entries = EntriesWorld([(b"i-1", registration())])
    context.calls = 0

    def newest(after, on_done, timeout):
        context.calls += 1
        world.loop.call_later(0.001, lambda: on_done(context.page))

    world.topic.newest = newest
    world.driver._executors._load("test")
    world.settle()


@then(
    "it was loaded with at most {calls:d} calls, and no executor was taken off the list"
)
def step_loaded(context, calls):
    assert context.calls <= calls, context.calls
    executors = context.entries.driver._scheduler.executors
    assert {"i-0", "i-1"} <= set(executors), executors
    assert all(item.listed for item in executors.values()), executors


@then("an entry with {field} = {value} is refused")
def step_field_refused(context, field, value):
    try:
        entry = records.decode_executor(NAME, with_raw(field, value.encode()))
    except RecordError:
        return
    raise AssertionError(entry)


@then("an entry with {field} = {value} is an executor's")
def step_field_accepted(context, field, value):
    entry = records.decode_executor(NAME, with_raw(field, value.encode()))
    assert entry.executor == NAME, entry


@then("it is refused with an error of at most {chars:d} characters")
def step_long_service(context, chars):
    try:
        records.decode_executor(NAME, text_of(service="s" * 250_000))
    except RecordError as exc:
        assert len(str(exc)) <= chars, len(str(exc))
        return
    raise AssertionError("accepted")


@when("an entry under its id says that it starts in 2255")
def step_future(context):
    value = registration(born=9_000_000_000_000)
    context.entries.write((NAME.encode(), value))


@when("its own entry is written again")
def step_own_entry(context):
    context.entries.write((NAME.encode(), registration()))


@then("its task goes on, and the next one is started on it by the same agent")
def step_goes_on(context):
    world = context.entries
    executor = world.driver._scheduler.executors[NAME]
    assert executor.entry.born == ENTRY["born"], executor.entry
    world.submit(f"{2:016x}")
    (client,) = world.clients
    assert [order.run for order, _ in client.starts] == [1, 1], client.starts


@when(
    "applying the next {count:d} of 3 entries written at once raises a RecursionError"
)
def step_raises(context, count):
    world = context.entries
    apply, failing = world.driver._registrations.apply, ["o-0", "o-1"][:count]

    def apply_or_raise(name, value):
        if name in failing:
            raise RecursionError("maximum recursion depth exceeded")
        apply(name, value)

    world.driver._registrations.apply = apply_or_raise
    record_lines(context)
    value = registration()
    pairs = [(f"o-{number}".encode(), value) for number in range(3)]
    with contextlib.suppress(RecursionError):  # a loop reports it and goes on
        world.write(*pairs)


@then("the third is applied, and so is one that is written later")
def step_applied(context):
    world = context.entries
    world.write((b"o-3", registration()))
    executors = world.driver._scheduler.executors
    assert set(executors) == {NAME, "o-2", "o-3"}, executors


@then("{count:d} lines name the key and offset of the record and the error")
def step_error_lines(context, count):
    lines = not_applied(context.lines)
    shown = [(line.key, line.offset) for line in lines]
    assert shown == [(f"o-{number}", 1 + number) for number in range(count)], shown
    assert all("RecursionError" in line.detail for line in lines), lines


WAVE = {"wave": 900, "machines": [f"m-{NAME}"], "durationS": 20, "maxCount": 1}
ODD_WAVES = (
    b"[" * 200_000,
    b"\xff",
    b'{"wave":' + HUGE + b"}",
    *(
        json.dumps({**WAVE, "wave": number, **changes}).encode()
        for number, changes in enumerate(
            (
                {"machines": ["m-none"] * 3},
                {"machines": []},
                {"machines": [[]]},
                {"machines": {"a": 1}},
                {"machines": ["m-none"], "durationS": 1e308},
                {"machines": ["m-none"], "durationS": -1e308},
                {"machines": ["m-none"], "maxCount": 2**53},
                {"machines": ["m-none"], "maxCount": -(2**53)},
                {"machines": ["m-none"], "wave": -(2**53)},
                {"machines": ["x" * 200], "wave": 2**53},
            )
        )
    ),
)
ODD_VMS = (
    [[[]]],
    [{"machine": "m", "pool": 7, "state": "up"}],
    [{"machine": "m", "pool": "s", "state": "asleep", "id": "", "capacity": [[]]}],
    [{"machine": "m", "pool": "none", "state": "up", "id": NAME}] * 3,
    [{"machine": "x" * 300, "pool": "s", "state": "up"}],
)


@when("odd records of operators are written, and odd VMs are listed for {seconds:d} s")
def step_odd_operator(context, seconds):
    world = context.odd
    pairs = [(b"wave/%d" % n, item) for n, item in enumerate(ODD_WAVES)]
    pairs += [(b"config", item) for item in ODD_VALUES[:8]]
    pairs += [(key, b"{") for key in ODD_KEYS]
    world.platform.log.append("keyed.op", pairs)
    for items in ODD_VMS:
        odd = {f"odd-{number}": item for number, item in enumerate(items)}
        world.platform.machines.update(odd)
        world.rig.run_for(seconds / len(ODD_VMS))
        for name in odd:
            del world.platform.machines[name]


@when("a wave over the VM of that executor is written")
def step_wave(context):
    context.odd.platform.put("keyed.op", "wave/900", WAVE)


@then("the wave is completed, and the VM had one upkeep")
def step_wave_done(context):
    world = context.odd

    def completed():
        newest = world.platform.log.newest("keyed.status").get(b"wave/900")
        return newest is not None and json.loads(newest[0])["state"] == "completed"

    world.rig.run_until(completed, WAIT_S)
    upkeeps = [item for item in world.platform.orders if item[0] == "machine-upkeep"]
    assert upkeeps == [("machine-upkeep", {"machine": f"m-{NAME}", "wave": 900})]


@when("odd records are written among those of jobs and of operators")
def step_odd_jobs(context):
    log = context.odd.platform.log
    prefixes = (b"job/", b"cancel/", b"progress/", b"upkeep/", b"order/", b"silent/")
    values = (b"{", b"\x81" * 5000, b"\xff", b"\x9b" + b"\xff" * 8, b"\xfb\x7f\xf0")
    pairs = [
        (prefix + b"odd-%d" % n, value)
        for prefix in prefixes
        for n, value in enumerate(values)
    ]
    log.append("keyed.jobs", [*pairs, *((key, b"{") for key in ODD_KEYS)])
    log.append("keyed.op", [(b"config", b"[" * 200_000)])


@then('"cardamomctl {command}" ends with {status:d} and prints {text}')
def step_ctl(context, command, status, text):
    world = context.odd
    env = {"CARDAMOMGRADE_BOOT": str(world.folder / "n1.yaml")}
    shown = world.folder / "ctl.txt"
    with shown.open("wb") as file:
        process = harness.start("ctl", *command.split(), env=env, output=file, log=file)
    world.rig.run_until(lambda: process.poll() is not None)
    printed = shown.read_text()
    assert process.returncode == status, printed
    assert text in printed and "Traceback" not in printed, printed
