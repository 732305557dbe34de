"""Steps that replay random restarts, lost and late messages on a simulated platform.

Executors are emulated; drivers and messages run on simulated time, so that a replay of
many seconds is short and depends on its seed alone.
"""

import heapq
import itertools
import json
import random
import time

import attrs
from behave import then, when
from jobs_node import CONFIG, SETTINGS

from cardamomgrade.client import Failure
from cardamomgrade.emulator.executor import EmulatedExecutor
from cardamomgrade.emulator.server import FIRST_CLOCK_MS, MAX_LEASE_MS
from cardamomgrade.jobs.driver import Driver
from cardamomgrade.jobs.records import decode_progress, encode, Phase, TermRecord
from cardamomgrade.jobs.spec import JobSpec, Step
from cardamomgrade.jobs.store import Appended, AppendFailed, AppendFate, Entry, Page
from cardamomgrade.jobs.view import JobView
from cardamomgrade.loop import Timer
from cardamomgrade.metrics import Metrics
from cardamomgrade.platform import executor as protocol, records
from cardamomgrade.wire import HttpResponse

STEP_S = 0.005
TROUBLE_S = 16.0
QUIET_S = 25.0
ELECTION_S = 1.7
EXECUTORS = 3
CORES = 4  # each task takes one


class SimulatedLoop:
    """Stands in for the loop, with timers that can be cancelled."""

    def __init__(self):
        self._now = 1000.0
        self._heap = []
        self._order = itertools.count()

    def now(self):
        return self._now

    boot_now = now

    def call_later(self, delay, callback):
        timer = Timer(self._now + delay, callback)
        heapq.heappush(self._heap, (timer.due, next(self._order), timer))
        return timer

    def advance(self, seconds):
        end = self._now + seconds
        while self._heap and self._heap[0][0] <= end:
            due, _, timer = heapq.heappop(self._heap)
            self._now = max(self._now, due)
            if timer.callback is not None:
                timer.callback()
        self._now = end


@attrs.define(eq=False)
class Process:
    """One incarnation of an executor, at a port, with its clock.

    ``lapsed_at`` is when its lease was last over; ``done_at`` maps the number of an end
    as done to its time.
    """

    name: str
    born: int
    port: int
    state: EmulatedExecutor
    clock_offset_ms: float
    alive: bool = True
    lapsed_at: float = 0.0
    done_at: dict = attrs.field(factory=dict)


@attrs.define(eq=False)
class Connection:
    process: Process
    answered: bool = False


class Client:
    """Client of an executor: messages may be late or lost; one process each connection.

    A message that was sent arrives even after the client gave up or was closed, unless
    its process has ended.
    """

    def __init__(self, world, entry, epoch):
        self.world = world
        self.entry = entry
        self.epoch = epoch
        self.closed = False
        self.connection = None

    @property
    def reaches_same_process(self):
        conn = self.connection
        return conn is not None and conn.process.alive and conn.answered

    @property
    def keeps_connections(self):
        return True

    def close(self):
        self.closed = True

    def start(self, order, deadline_ms, on_done):
        self._order("run-start", order, on_done, deadlineMs=deadline_ms)

    def stop(self, order, on_done):
        self._order("run-stop", order, on_done)

    def ask(self, on_done):
        fields = {"ackIndex": 0, "deadlineMs": None}
        conn = Connection(self._process())
        self._send(conn, "hold", fields, protocol._lease_report, on_done, 0.5)

    def _order(self, path, order, on_done, **fields):
        fields = {"task": order.task, "run": order.run, **fields}
        conn = Connection(self._process())
        self._send(conn, path, fields, protocol._order_answer, on_done, 0.5)

    def renew(self, deadline_ms, stored_end, wait_ms, on_done, is_first=False):
        if self.connection is None or not self.connection.process.alive:
            self.connection = Connection(self._process())
        conn = self.connection
        if conn.process is None:
            self.connection = None
        fields = {"ackIndex": stored_end, "deadlineMs": deadline_ms}

        def done(answer):
            if answer.born or not hasattr(answer, "result"):
                conn.answered = True
            else:
                self.connection = None
            on_done(answer)

        self._send(conn, "hold", fields, protocol._lease_report, done, 0.7, wait_ms)

    def _process(self):
        port = int(self.entry.address.rpartition(":")[2])
        return self.world.ports.get((port, self.entry.executor))

    def _send(self, conn, path, fields, decode, on_done, timeout, wait_ms=0):
        world, loop = self.world, self.world.loop
        finished = []

        def finish(res):
            if not finished and not self.closed:
                finished.append(res)
                on_done(decode(res))

        if conn.process is None:
            loop.call_later(STEP_S, lambda: finish(Failure(False, "refused")))
            return
        loop.call_later(
            timeout + wait_ms / 1000, lambda: finish(Failure(True, "no answer"))
        )

        def arrive():
            if not conn.process.alive:
                loop.call_later(0, lambda: finish(Failure(True, "closed")))
                return
            res = world.serve(conn.process, path, {**fields, "epoch": self.epoch})
            if world.random.random() > world.loss:
                delay = world.delay_s() + (wait_ms / 4000)
                loop.call_later(delay, lambda: finish(res))

        loop.call_later(world.delay_s(), arrive)


class ChaosWorld:
    """Three executors, a store, and one driver after another."""

    decode_executor = staticmethod(records.decode_executor)

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.loop = SimulatedLoop()
        self.loss = 0.05
        self.late = 0.04
        self.ports = {}
        self.processes = []
        self.servers = {}
        self.stored = {}
        self.noted = {}
        self.trace = []
        self.running = {}
        self.epoch = 0
        self.driver = None
        self.cut = set()
        self.jobs = []
        self.port = 1
        for number in range(EXECUTORS):
            self.begin(f"i-{number}", 1000, self.new_port())
        self.elect()

    def delay_s(self):
        rare = self.random.random() < self.late
        return self.random.uniform(0.3, 1.6) if rare else self.random.uniform(0, 0.02)

    def new_port(self):
        self.port += 1
        return self.port

    # Executors

    def begin(self, name, born, port):
        process = Process(name, born, port, None, 0.0)
        process.state = EmulatedExecutor(
            name, self.plan, lambda *row: self.record(process, *row), born=born
        )
        process.clock_offset_ms = FIRST_CLOCK_MS - self.loop.now() * 1000
        self.ports[port, name] = process
        self.processes.append(process)
        self.register(process)
        return process

    def plan(self, task):
        return self.random.choice((10, 60, 400, 1500)), "done"

    def record(self, process, kind, name, task, run):
        where = (process.name, process.born, run)
        self.trace.append((self.loop.now(), kind, task, *where))
        if kind == "start":
            assert task not in self.running, (task, where, self.running[task])
            assert not self.is_recorded_done(task), (task, where, "after its end")
            assert run <= self.noted.get(task, run), (task, where, "end was noted")
            self.running[task] = where
            assert len(process.state.runs) <= CORES, (where, process.state.runs)
        elif self.running.get(task) == where:
            del self.running[task]
        if kind == "done":
            process.done_at[process.state.next_end] = self.loop.now()

    def is_recorded_done(self, task):
        """Return whether the store has an end of a task as done."""
        job, occurrence, step, index = task.split(".")
        value = self.stored.get(f"progress/{job}")
        rows = decode_progress(value).tasks if value else ()
        key = (int(occurrence), int(step), int(index))
        return any(
            (item.occurrence, item.step, item.index) == key and item.phase == Phase.DONE
            for item in rows
        )

    def clock_ms(self, process):
        return self.loop.now() * 1000 + process.clock_offset_ms

    def serve(self, process, path, fields):
        now_ms, state = self.clock_ms(process), process.state
        deadline_ms = fields.get("deadlineMs")
        if (deadline_ms or 0) > now_ms + MAX_LEASE_MS:
            return HttpResponse(400)
        body = {"clockMs": int(now_ms)}
        if path == "hold":
            self.note_ends(process, fields["ackIndex"], fields["epoch"])
            reason = state.renew(
                deadline_ms, fields["ackIndex"], fields["epoch"], now_ms
            )
            body["running"], body["finished"] = state.rows(), list(state.ends)
            body["born"] = process.born
        elif path == "run-start":
            reason = state.start(
                fields["task"], fields["run"], deadline_ms, fields["epoch"], now_ms
            )
        else:
            reason = state.stop(fields["task"], fields["run"], fields["epoch"], now_ms)
        if reason:
            body["reason"] = reason
        return HttpResponse(409 if reason else 200, (), json.dumps(body).encode())

    def note_ends(self, process, number, epoch):
        """Note done tasks whose ends are acknowledged while the lease held since."""
        state = process.state
        for end, task, run, how, _ in state.ends if epoch >= state.token else ():
            held = process.done_at.get(end, 0.0) > process.lapsed_at
            if how == "done" and end <= number and held:
                self.noted[task] = run
                started = max(
                    row[5] for row in self.trace if row[1:3] == ("start", task)
                )
                assert started <= run, (task, run, started, "started again")

    def register(self, process):
        fields = {
            "service": "s",
            "address": f"127.0.0.1:{process.port}",
            "state": "ready",
            "capacity": {"cpu": CORES * 1000, "memMb": 64_000},
            "clockMs": int(self.clock_ms(process)),
            "born": process.born,
        }
        self.write(process.name, json.dumps(fields).encode())

    def write(self, name, value):
        self.servers[name] = value
        driver = self.driver

        def read():
            if driver is not None and not driver._closed:
                driver._on_executor(Entry(0, name, value))

        self.loop.call_later(self.random.uniform(0, 0.1), read)

    def restart(self):
        process = self.random.choice([item for item in self.processes if item.alive])
        process.alive = False
        process.state.shut_down()
        self.processes.remove(process)
        del self.ports[process.port, process.name]
        same_port = self.random.random() < 0.6
        port = process.port if same_port else self.new_port()
        born = process.born + self.random.randrange(1, 5000)
        registered_at = self.random.choice((0.0, 0.05, 0.5, 1.5))
        servers = dict(self.servers)
        self.loop.call_later(
            self.random.choice((0.0, 0.1, 0.6)),
            lambda: self.begin_later(process.name, born, port, registered_at),
        )
        if self.random.random() < 0.2:
            late = servers[process.name]
            self.loop.call_later(2.0, lambda: self.write(process.name, late))
        if self.random.random() < 0.1:
            self.loop.call_later(1.0, lambda: self.write(process.name, b"[[["))

    def begin_later(self, name, born, port, registered_at):
        old = self.servers[name]
        process = self.begin(name, born, port)
        if registered_at:
            self.servers[name] = old
        self.loop.call_later(registered_at, lambda: self.register(process))

    # The platform and the store

    def jobs_topic(self):
        return Topic(self, self.epoch)

    executors_topic = status_topic = jobs_topic

    def machines(self, epoch):
        return self.jobs_topic()

    def executor(self, entry, epoch):
        return Client(self, entry, epoch)

    def elect(self):
        self.epoch += 1
        view = JobView(self.loop.now)
        for name, value in self.stored.items():
            view.fold(Entry(0, name, value))
        cfg = attrs.evolve(SETTINGS, max_lease_ms=MAX_LEASE_MS)
        term = TermRecord(self.epoch, "n1", f"life-{self.epoch}", 1, False)
        queue_cfg = records.decode_config(json.dumps(CONFIG).encode())
        self.view = view
        self.driver = Driver(
            self.loop, cfg, self, term, view, queue_cfg, lambda why: None, Metrics()
        )
        for name, value in self.servers.items():
            self.driver._on_executor(Entry(0, name, value))

    def change_scheduler(self):
        """End the driver, or cut it off from the store; then begin the next one."""
        if self.random.random() < 0.5:
            self.driver.close()
        else:
            self.cut.add(self.epoch)
        self.driver = None
        self.loop.call_later(ELECTION_S, self.elect)

    def submit(self):
        name = f"{len(self.jobs) + 1:016x}"
        self.jobs.append(name)
        steps = (Step(self.random.choice((1, 3)), cores_m=1000),)
        spec = JobSpec(name, "r-q", "s", "text", time.time() * 1000, steps)
        item = (f"job/{name}", encode(spec))
        self.stored.update([item])
        if self.driver is not None:
            self.view.fold(Entry(0, *item))

    def step(self):
        self.loop.advance(STEP_S)
        for process in self.processes:
            process.state.end_due_runs(self.clock_ms(process))
            if self.clock_ms(process) > process.state.deadline_ms:
                process.lapsed_at = self.loop.now()

    def play(self):
        end = self.loop.now() + TROUBLE_S
        while self.loop.now() < end:
            self.step()
            if self.random.random() < STEP_S * 4:
                self.submit()
            if self.random.random() < STEP_S * 1.5 and self.processes:
                self.restart()
            if self.random.random() < STEP_S * 0.15 and self.driver is not None:
                self.change_scheduler()
        self.loss = self.late = 0.0
        end = self.loop.now() + QUIET_S
        while self.loop.now() < end and not self.is_done():
            self.step()
            if self.loop.now() > end - QUIET_S + 3 and self.loss == 0.0:
                self.loss = -1.0
                for process in self.processes:
                    self.register(process)

    def is_done(self):
        if self.driver is None:
            return False
        jobs = self.driver._scheduler.jobs
        return all(name in jobs and jobs[name].state.final for name in self.jobs)


class Topic:
    """The store as one driver sees it."""

    def __init__(self, world, epoch):
        self.world = world
        self.epoch = epoch

    def append(self, items, on_done, timeout, at=None, writer=None):
        world = self.world

        def answer():
            if self.epoch in world.cut:
                on_done(AppendFailed(AppendFate.NOT_DONE, "cut off"))
                return
            if self.epoch == world.epoch:
                world.stored.update(items)
                on_done(Appended(0))

        world.loop.call_later(world.random.uniform(0, 0.01), answer)

    def newest(self, after, on_done, timeout):
        on_done(Page((), False, 0))

    def read(self, start, wait_ms, on_done, timeout):
        pass

    def list_vms(self, on_done):
        pass

    def close(self):
        pass


def play_seeds(make_world, seeds):
    """Play the world of each seed; return (seed, world) pairs."""
    worlds = []
    for seed in seeds:
        world = make_world(seed)
        try:
            world.play()
        except AssertionError as exc:
            raise AssertionError(f"seed {seed}: task ran twice: {exc}") from exc
        worlds.append((seed, world))
    return worlds


@when("days with seeds {first:d} to {last:d} are replayed")
def step_replay(context, first, last):
    context.worlds = play_seeds(ChaosWorld, range(first, last + 1))


@then("no task ran twice at a time, and all jobs are completed")
def step_no_twice(context):
    for seed, world in context.worlds:
        assert world.jobs and world.is_done(), seed
