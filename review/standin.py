"""Stand-ins for the tests in this folder: platform, executors, clients and balancer.

One asyncio program plays the platform's store, the executors, the interface to the
machines and the clients, as PROTOCOL.md describes them, and starts the nodes of the
system as separate processes with the command of the deploy file. All addresses are
loopback addresses, all state is in memory, and only the standard library is used.

Where the pages are silent, the stand-ins do what a sound server would do: the store
answers 400 to a record or a call above its stated limits, and stores nothing of it.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.5
CLIENT_DEADLINE_S = 3.0
CLIENT_RETRIES = 4
PAGE = 200
ENDS_PER_ANSWER = 500
QUEUE_HOST = "jobs.example"
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
WATCHDOG_S = 116.0
BOUNDS = {  # of the site file anrcp-relances
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "recoveryS": 12,
    "maxHoldMs": 10000,
    "stopTimeoutMs": 900,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remoteFactor": 2,
    "checkpointS": 2,
    "restoreMs": 250,
    "noticeMs": 4500,
    "migrateS": 1.5,
    "maintenanceS": 2,
    "fencingRequired": False,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "paceMs": 100,
    "interferenceMs": 4000,
}


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


def trouble():
    """Return whether the disruption is to be played (TROUBLE=0 leaves it out)."""
    return os.environ.get("TROUBLE", "1") != "0"


# HTTP


async def read_message(reader):
    """Return (first line, headers, body) of one HTTP message, or None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    try:
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def http_answer(status, body=b""):
    """Return the bytes of an answer; a dict is sent as JSON."""
    if isinstance(body, dict):
        body = json.dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
    return (head + f"content-length: {len(body)}\r\n\r\n").encode() + body


class HttpService:
    """Serves ``handle(method, target, headers, body)``, a coroutine.

    It returns (status, body), or None to close the connection without an answer.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()

    async def listen(self, host, port=0):
        """Start to listen; return ip:port."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=4 * 1024 * 1024, backlog=512
        )
        return "%s:%d" % self._server.sockets[0].getsockname()[:2]

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                answer = await self._handle(method, target, headers, body)
                if answer is None:
                    return
                writer.write(http_answer(*answer))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def drop_connections(self):
        """Reset all open connections, as the end of a process does."""
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self):
        """Stop listening and drop all connections."""
        self._server.close()
        self.drop_connections()


async def http_call(address, method, target, headers=(), body=b"", timeout=3.0):
    """Return (status, headers, body), or None without a complete answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=4 * 1024 * 1024
            )
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method == "POST":
                lines.append(f"content-length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            message = await read_message(reader)
            if message is None:
                return None
            first, answered, content = message
            return int(first.split(" ")[1]), answered, content
    except (OSError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


# The store


class Topic:
    """A keyed topic: its records, and the newest of each key."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.writers = {}
        self.changed = asyncio.Event()

    def append(self, records):
        """Append raw records; return the offset of the first."""
        first = len(self.records)
        for record in records:
            key, value = record[1 : 1 + record[0]], record[1 + record[0] :]
            if value:
                self.newest[key] = (value, len(self.records))
            else:
                self.newest.pop(key, None)
            self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return first


class Store:
    """The platform's store: topics of one partition, writers' epochs, long reads."""

    def __init__(self, record):
        self.topics = {}
        self.refused = 0
        self._record = record
        self.service = HttpService(self._handle)

    def topic(self, name):
        """Return the topic of a name, a new one at its first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        """Write a record as the operator or an executor does; None deletes the key."""
        name = key.encode()
        data = b"" if value is None else json.dumps(value).encode()
        self.topic(topic).append([bytes((len(name),)) + name + data])

    def value(self, topic, key):
        """Return the newest value of a key, or None."""
        found = self.topic(topic).newest.get(key.encode())
        return found[0] if found else None

    async def _handle(self, method, target, headers, body):
        url = urlsplit(target)
        options = dict(parse_qsl(url.query))
        await asyncio.sleep(STORE_ANSWER_S)
        topic = self.topic(options.get("topic", ""))
        if url.path == "/api/log-append":
            return self._append(options, topic, body)
        if url.path == "/api/log-read":
            return await self._read(options, topic)
        if url.path == "/api/log-newest":
            return self._newest(options, topic)
        return 404, {}

    def _append(self, options, topic, body):
        if options["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        records, position = [], 0
        while position < len(body):
            (size,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + size])
            position += 4 + size
        largest = max(map(len, records), default=0)
        if largest > RECORD_BYTES or sum(map(len, records)) > CALL_BYTES:
            self.refused += 1
            if self.refused in (1, 10, 100):
                key = next(r[1 : 1 + r[0]] for r in records if len(r) == largest)
                self._record(
                    f"store: append of {options.get('producer', 'an entry')} refused "
                    f"(400, no. {self.refused}): the record of {key.decode()} has "
                    f"{largest} bytes, recordBytes is {RECORD_BYTES}"
                )
            return 400, {"error": "a record or the call is too large"}
        if "producer" in options:
            return self._append_numbered(options, topic, records)
        offset = topic.append(records)
        return 200, {"offset": offset, "end": len(topic.records)}

    def _append_numbered(self, options, topic, records):
        epoch, number = int(options["epoch"]), int(options.get("sequence", 0))
        known = topic.writers.get(options["producer"])
        if known is not None and epoch < known["epoch"]:
            return 409, {"reason": "fenced"}
        if known is not None and epoch == known["epoch"]:
            if number in known["answers"]:
                return 200, known["answers"][number]
            if number != known["number"] + 1:
                return 409, {"reason": "seq", "sequence": known["number"] + 1}
        else:
            known = topic.writers[options["producer"]] = {"answers": {}}
        offset = topic.append(records)
        answer = {"offset": offset, "end": len(topic.records)}
        known.update(epoch=epoch, number=number)
        known["answers"][number] = answer
        for old in list(known["answers"])[:-5]:
            del known["answers"][old]
        return 200, answer

    async def _read(self, options, topic):
        start = int(options["from"])
        wait_s = int(options.get("waitMs", 0)) / 1000
        if start >= len(topic.records) and wait_s:
            try:
                await asyncio.wait_for(topic.changed.wait(), wait_s)
            except TimeoutError:
                pass
        parts, size = [struct.pack(">QQ", len(topic.records), 0)], 0
        for record in topic.records[start:]:
            if size and size + len(record) > int(options.get("maxKb", 1024)) * 1024:
                break
            parts += [struct.pack(">I", len(record)), record]
            size += len(record)
        return 200, b"".join(parts)

    def _newest(self, options, topic):
        after = options.get("after", "").encode()
        keys = sorted(key for key in topic.newest if key > after)
        items, size = [], 0
        for key in keys:
            value, offset = topic.newest[key]
            if len(items) == 500 or (items and size + len(value) > 1024 * 1024):
                break
            size += len(value)
            text = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": text, "offset": offset})
        more = len(items) < len(keys)
        end = len(topic.records)
        return 200, {"items": items, "morePages": more, "end": end}


# Executors and machines


class Run:
    """A run of a task on an executor; it ends after its work, unless it lasts."""

    def __init__(self, task, number, text):
        self.task, self.number, self.text = task, number, text
        self.at_work = False
        self.over = False


class Executor:
    """One life of a machine, which carries out orders as "Running tasks" says."""

    def __init__(self, world, name, machine, service):
        self.world, self.name = world, name
        self.machine, self.service_name = machine, service
        self.runs = {}
        self.highest_over = {}
        self.ends = []
        self.next_end = 1
        self.token = 0
        self.deadline = 0.0
        self.alive = True
        self.draining = False
        self.silent = False
        self.missed_beats = 0
        self.sequence = 0
        self.offset_ms = random.randrange(100_000, 900_000)
        self.born_at = time.monotonic()
        self._ended = asyncio.Event()
        self._lapse = None
        self.http = HttpService(self._handle)
        self.address = ""

    def clock_ms(self):
        """Return the executor's own steady clock."""
        return int((time.monotonic() - self.born_at) * 1000) + self.offset_ms

    def register(self):
        """Write the report of the executor about itself to the store."""
        self.sequence += 1
        cpu, memory = self.machine.capacity
        entry = {
            "service": self.service_name,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.draining else "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": cpu, "memMb": memory, "gpu": 0},
            "labels": ["a", self.machine.rack],
            "clockMs": self.clock_ms(),
            "sequence": self.sequence,
        }
        self.world.store.put("keyed.servers", self.name, entry)

    async def begin(self, address=""):
        """Listen, on an old address if given, and register."""
        host, _, port = address.rpartition(":")
        self.address = await self.http.listen(host or self.world.host, int(port or 0))
        self.register()

    def silence(self):
        """Crash without a word: nothing runs, no call is answered, none is refused."""
        self.silent = True
        for run in self.runs.values():
            run.over = True
            self.world.trace("crashed", self.name, run.task, run.number)
        self.runs.clear()

    def finish(self, why):
        """End this life: everything that runs is gone, and no call is answered."""
        self.alive = False
        for run in self.runs.values():
            run.over = True
            self.world.trace(why, self.name, run.task, run.number)
        self.runs.clear()
        self.http.close()
        self.world.store.put("keyed.servers", self.name, None)

    async def _handle(self, method, target, headers, body):
        while self.silent and self.alive:
            await asyncio.sleep(0.2)
        if not self.alive:
            return None
        if method == "GET":
            return 200, {}
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        fields = json.loads(body)
        if fields.get("fencingToken", 0) < self.token:
            return self._refusal("fence")
        self.token = fields.get("fencingToken", 0)
        if target == "/api/run-start":
            return self._start(fields)
        if target == "/api/run-stop":
            return self._stop(fields)
        if target == "/api/hold":
            return await self._hold(fields)
        if target == "/api/pace":
            return 200, {"clockMs": self.clock_ms()}
        return 404, {}

    def _refusal(self, reason):
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    def _grant(self, deadline_ms):
        limit = self.clock_ms() + BOUNDS["maxHoldMs"]
        self.deadline = max(self.deadline, min(deadline_ms, limit))
        if self._lapse is None:
            self._watch_lease()

    def _watch_lease(self):
        wait_ms = self.deadline - self.clock_ms()
        if wait_ms <= 0:
            self._lapse = None
            for run in list(self.runs.values()):
                self._end(run, "lapsed")
            return
        loop = asyncio.get_running_loop()
        self._lapse = loop.call_later(wait_ms / 1000 + 0.001, self._watch_lease)

    def _start(self, fields):
        task, number = fields["task"], fields["run"]
        if fields["deadlineMs"] <= self.clock_ms():
            return self._refusal("late")
        self._grant(fields["deadlineMs"])
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return 200, {"clockMs": self.clock_ms()}
        if current is not None or number <= self.highest_over.get(task, 0):
            return self._refusal("old")
        run = self.runs[task] = Run(task, number, fields["spec"])
        self.world.trace("start", self.name, task, number)
        self.world.on_start(self, run)
        return 200, {"clockMs": self.clock_ms()}

    def work(self, run, seconds, how="done"):
        """Let a run work for some seconds and end so; None lets it last."""
        run.at_work = True
        if seconds is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(seconds, lambda: self._end(run, how))

    def _end(self, run, how):
        if run.over or not self.alive:
            return
        run.over = True
        del self.runs[run.task]
        highest = self.highest_over.get(run.task, 0)
        self.highest_over[run.task] = max(highest, run.number)
        self.ends.append([self.next_end, run.task, run.number, how, ""])
        self.next_end += 1
        self.world.trace(how, self.name, run.task, run.number)
        self._ended.set()
        self._ended = asyncio.Event()

    def end(self, run, how):
        """End a run, as a member of a gang."""
        self._end(run, how)

    def _stop(self, fields):
        task, number = fields["task"], fields["run"]
        highest = self.highest_over.get(task, 0)
        self.highest_over[task] = max(highest, number)
        current = self.runs.get(task)
        if current is not None and current.number == number:
            self._end(current, "stopped")
        return 200, {"clockMs": self.clock_ms()}

    async def _hold(self, fields):
        if fields.get("deadlineMs") is not None:
            self._grant(fields["deadlineMs"])
        self.ends = [row for row in self.ends if row[0] > fields["ackIndex"]]
        wait_s = min(fields.get("waitMs", 0), 2000) / 1000
        if wait_s and not self.ends:
            try:
                await asyncio.wait_for(self._ended.wait(), wait_s)
            except TimeoutError:
                pass
        if not self.alive or self.silent:
            return None
        running = [
            [run.task, run.number, "", 100 if run.at_work else 0, 0]
            for run in self.runs.values()
        ]
        return 200, {
            "clockMs": self.clock_ms(),
            "running": running,
            "finished": self.ends[:ENDS_PER_ANSWER],
        }


class Machine:
    """A machine of the estate and its executor."""

    def __init__(self, name, pool, rack, capacity):
        self.name, self.pool, self.rack, self.capacity = name, pool, rack, capacity
        self.state = "up"
        self.executor = None


class World:
    """The platform with its executors, the nodes, and the record of a case.

    ``services`` has (name, machines, per rack, standby) rows, ``queues`` a dict of
    queue name to (service, further fields of the route). ``on_start(executor, run)``
    decides how a run ends.
    """

    def __init__(self, folder, services, queues, capacity=(16_000, 65_536), nodes=6):
        self.started = time.monotonic()
        self._file = open(Path(folder) / "record.txt", "w")
        self.record = self._record
        net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.host, self._net = f"{net}.200", net
        self.store = Store(self._record)
        self.cloud = HttpService(self._on_cloud)
        self.machines, self.executors = {}, {}
        self.starts, self.ends, self.orders = [], [], []
        self.on_start = lambda executor, run: executor.work(run, 0.3)
        self.nodes = []
        self.services, self.queues, self._capacity = services, queues, capacity
        self.node_count = nodes
        self.folder = Path(tempfile.mkdtemp(prefix="cardamom-review-"))
        self._tasks = []
        self.config_version = 1

    def now(self):
        """Return the seconds since the case began."""
        return time.monotonic() - self.started

    def _record(self, text):
        self._file.write(f"{self.now():8.3f} {text}\n")

    def trace(self, what, executor, task, run):
        """Note the start or the end of a run."""
        row = (self.now(), what, executor, task, run)
        (self.starts if what == "start" else self.ends).append(row)
        self._record(f"executor {executor}: {what} {task} run {run}")

    async def begin(self):
        """Start the platform, then the nodes; wait until they are ready."""
        self.store_address = await self.store.service.listen(self.host)
        self.cloud_address = await self.cloud.listen(self.host)
        self.put_config()
        number = 0
        for service, count, per_rack, _ in self.services:
            for index in range(count):
                rack = f"r{service}-{index // per_rack}"
                machine = Machine(f"m{number}", service, rack, self._capacity)
                self.machines[machine.name] = machine
                await self.add_executor(machine, service)
                number += 1
        self._tasks.append(asyncio.create_task(self._beat()))
        for index in range(1, self.node_count + 1):
            self.nodes.append(Node(self, index, f"{self._net}.{index}"))
            self.nodes[-1].start()
        self._tasks.append(asyncio.create_task(self._balance()))
        end = self.now() + 20
        while not all(node.ready for node in self.nodes):
            await asyncio.sleep(0.1)
            if self.now() > end:
                raise CannotRun("the nodes did not get ready in 20 s")
        self._record(f"{len(self.nodes)} nodes are ready")

    def put_config(self):
        """Write the configuration."""
        routes = [
            {
                "name": name,
                "host": QUEUE_HOST,
                "pathPrefix": f"/{name}/",
                "kind": "unsafe",
                "timeoutMs": 3000,
                "targetLatencyMs": 600,
                "priority": 0,
                "service": service,
                "maxAttempts": 3,
                "stretch": 1.6,
                **fields,
            }
            for name, (service, fields) in self.queues.items()
        ]
        services = [
            {"name": name, "enforceLimits": False, "standby": standby}
            for name, _, _, standby in self.services
        ]
        config = {
            "version": self.config_version,
            "routes": routes,
            "services": services,
            "limits": {"maxBodyBytes": RECORD_BYTES},
        }
        self.store.put("keyed.op", "config", config)

    async def add_executor(self, machine, service, address=""):
        """Start a new life on a machine."""
        name = f"i-{random.randrange(16**10):010x}"
        executor = Executor(self, name, machine, service)
        machine.executor, machine.pool, machine.state = executor, service, "up"
        self.executors[name] = executor
        await executor.begin(address)
        return executor

    async def crash(self, executor, down_s):
        """Crash an executor; a new one begins at its address after some seconds."""
        self._record(f"DISRUPTION: executor {executor.name} crashes, down {down_s} s")
        machine, address = executor.machine, executor.address
        executor.finish("crashed")
        machine.state, machine.executor = "down", None
        await asyncio.sleep(down_s)
        new = await self.add_executor(machine, executor.service_name, address)
        self._record(f"executor {new.name} begins at {address}")

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for executor in self.executors.values():
                if executor.alive and not executor.silent:
                    executor.register()
                elif executor.alive:
                    executor.missed_beats += 1
                    if executor.missed_beats == 3:
                        self.store.put("keyed.servers", executor.name, None)

    async def _balance(self):
        misses = {}
        while True:
            answers = await asyncio.gather(
                *(http_call(x.ready_address, "GET", "/api/ready", (("host", "x"),), timeout=0.9)
                  for x in self.nodes)
            )
            for node, answer in zip(self.nodes, answers, strict=True):
                good = answer is not None and answer[0] == 200
                misses[node] = 0 if good else misses.get(node, 0) + 1
                node.ready = good or (node.ready and misses[node] < 2)
            await asyncio.sleep(1.0)

    async def _on_cloud(self, method, target, headers, body):
        url = urlsplit(target)
        if url.path == "/api/machines":
            first = int(dict(parse_qsl(url.query)).get("pageToken", 0))
            rows = list(self.machines.values())[first : first + PAGE]
            more = first + PAGE < len(self.machines)
            items = [
                {
                    "machine": item.name,
                    "pool": item.pool,
                    "state": item.state,
                    "zone": "z1",
                    "labels": ["a", item.rack],
                    "capacity": {"cpu": item.capacity[0], "memMb": item.capacity[1], "gpu": 0},
                    "id": item.executor.name if item.executor is not None else None,
                }
                for item in rows
            ]
            return 200, {"machines": items, "nextToken": str(first + PAGE) if more else None}
        fields = json.loads(body)
        machine = self.machines.get(fields.get("machine"))
        if machine is None or url.path != "/api/machine-move":
            return 400, {}
        self.orders.append((self.now(), headers.get("x-lease-holder"),
                            int(headers.get("x-fencing-token", 0)), fields))
        if machine.pool == fields["pool"]:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        self._record(f"machine {machine.name} moves to {fields['pool']}")
        machine.executor.finish("ended by a move")
        machine.state, machine.executor, machine.pool = "moving", None, fields["pool"]
        loop = asyncio.get_running_loop()
        loop.call_later(
            BOUNDS["migrateS"],
            lambda: asyncio.create_task(self.add_executor(machine, fields["pool"])),
        )
        return 200, {}

    # Clients

    async def attempt(self, method, queue, job, body=b"", node=None):
        """Send one request as a client does; return http_call's result."""
        ready = [item for item in self.nodes if item.ready] or self.nodes
        node = node or random.choice(ready)
        headers = (
            ("host", QUEUE_HOST),
            ("content-type", "application/json"),
            ("x-deadline-ms", str(int(CLIENT_DEADLINE_S * 1000))),
        )
        target = f"/{queue}/{job}"
        answer = await http_call(node.front_address, method, target, headers, body, CLIENT_DEADLINE_S)
        status = answer[0] if answer else None
        text = answer[2].decode("utf-8", "replace")[:120] if answer else ""
        self._record(f"client {method} {target} at {node.name}: {status or 'no answer'} {text}")
        return answer

    async def submit(self, queue, job, fields):
        """Submit a job as a client does; return whether it was accepted."""
        body = json.dumps(fields).encode()
        for _ in range(1 + CLIENT_RETRIES):
            answer = await self.attempt("POST", queue, job, body)
            if answer is not None and 200 <= answer[0] < 300:
                return True
            if answer is not None and answer[0] in (429, 503):
                await asyncio.sleep(float(answer[1].get("retry-after", 1)))
            elif answer is not None and answer[0] not in (502, 504):
                return False
            else:
                await asyncio.sleep(0.2)
        return False

    async def state(self, queue, job):
        """Return the state of a job, "gone" for 410, or None without an answer."""
        for _ in range(1 + CLIENT_RETRIES):
            answer = await self.attempt("GET", queue, job)
            if answer is not None and answer[0] == 200:
                return json.loads(answer[2]).get("state")
            if answer is not None and answer[0] == 410:
                return "gone"
            await asyncio.sleep(1.0)
        return None

    async def close(self):
        """End all processes and free all that the case has used."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.kill()
        self._file.flush()
        shutil.rmtree(self.folder, ignore_errors=True)


class Node:
    """A machine of the system: one process of the deploy file's role."""

    def __init__(self, world, number, host):
        self.world, self.number, self.host = world, number, host
        self.name = f"front-{number}"
        self.front_address, self.ready_address = f"{host}:8624", f"{host}:8622"
        self.process = None
        self.ready = False

    @property
    def log_path(self):
        """The file that gets the node's output."""
        return self.world.folder / f"{self.name}.log"

    def start(self):
        """Start the process with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["jobs"]
        boot = self.world.folder / f"{self.name}.yaml"
        boot.write_text(json.dumps(self._settings()))  # JSON is YAML
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"CARDAMOMGRADE_BOOT": str(boot), "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1"}
        with open(self.log_path, "a") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                stdout=log, stderr=subprocess.STDOUT,
            )
        self.world.record(f"{self.name} starts as process {self.process.pid}")

    def _settings(self):
        listen = {"front": self.front_address, "ready": self.ready_address, "control": f"{self.host}:8623"}
        return {
            "nodeName": self.name,
            "role": "jobs",
            "machineClass": "front",
            "serves": ["front"],
            "ip": self.host,
            "zone": "z1",
            "region": "r1",
            "zones": {"z1": "r1"},
            "listen": listen,
            "portRange": [7060, 7075],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS,
            "controlMode": "invocation",
            "platform": {"address": self.world.store_address, "form": "log", "writesPerS": 600,
                         "readsPerS": 2000, "parts": 24, "appendMs": 1.0, "partMbPerS": 20.0,
                         "readMbPerS": 80.0, "recordBytes": RECORD_BYTES,
                         "callBytes": CALL_BYTES, "keep_s": 300, "partitionMb": 200,
                         "minTtlMs": 1000},
            "cloud": {"address": self.world.cloud_address, "ratePerS": 64.0, "duties": [],
                      "dutyPerS": 64.0},
        }

    def signal(self, number):
        """Send a signal to the process."""
        self.world.record(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def events(self, name):
        """Return the log events of a name, as dicts."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            if f'"{name}"' in line:
                try:
                    found.append(json.loads(line))
                except ValueError:
                    continue
        return found


def new_id():
    """Return an id for a job."""
    return f"{random.randrange(16**16):016x}"


def play(case_file, make_world, case):
    """Play a case, print its verdict and exit with 0, 1 or 2.

    ``case(world)`` is a coroutine that returns the list of breaches of the rule.
    """
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the build of the deploy file first")
        sys.exit(EXIT_NOT_RUN)

    async def main():
        world = make_world(Path(case_file).resolve().parent)
        try:
            async with asyncio.timeout(WATCHDOG_S):
                await world.begin()
                breaches = await case(world)
        except (CannotRun, TimeoutError) as exc:
            world.record(f"COULD NOT RUN: {exc or 'time is up'}")
            print(f"could not run: {exc or 'time is up'}")
            return EXIT_NOT_RUN
        finally:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(world.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            await world.close()
        for text in breaches:
            world.record(f"BROKEN: {text}")
            print(f"BROKEN: {text}")
        if not breaches:
            world.record("the rule held")
            print("the rule held")
        world._file.close()
        return EXIT_BROKEN if breaches else EXIT_HELD

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    code = asyncio.run(main())
    sys.exit(code)
