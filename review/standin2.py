"""Stand-ins for the scripts in review/6 to review/10: store, executors, VM list, client.

They follow PROTOCOL.md and DEPLOY.md of the users' pages. All addresses are loopback
addresses; the programs under test are started with the command of deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
STOP_MS = 100
CHECKPOINT = ""
QUEUE_HOST = "jobs.example"
PREFIX = "/notices/"
SERVICE = "letters"
HELD, CRASH = "hold the answer", "crash"


class Record:
    """Writes what is sent, answered and run to record.txt, with seconds from the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def __call__(self, *words):
        line = f"{time.monotonic() - self.start:8.3f} " + " ".join(map(str, words))
        self.file.write(line + "\n")
        self.file.flush()


def json_answer(status, fields):
    return status, json.dumps(fields).encode(), "application/json"


class Conn:
    """One connection of a caller to a stand-in."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.frozen = False

    def reset(self):
        sock = self.writer.get_extra_info("socket")
        if sock is not None and sock.fileno() >= 0:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        self.writer.transport.abort()


class Http:
    """HTTP/1.1 server; ``handle(method, target, headers, body)`` returns an answer.

    An answer is (status, body, content type), or None to send none.
    """

    def __init__(self, handle, host="127.0.0.1"):
        self.handle, self.host = handle, host
        self.conns = set()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((host, 0))
        self.sock.listen(128)
        self.sock.setblocking(False)
        self.port = self.sock.getsockname()[1]
        self.address = f"{host}:{self.port}"
        self.open = True
        self.fillers = []
        self.task = asyncio.ensure_future(self._accept())

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            try:
                sock, _ = await loop.sock_accept(self.sock)
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            reader, writer = await asyncio.open_connection(sock=sock)
            conn = Conn(reader, writer)
            self.conns.add(conn)
            asyncio.ensure_future(self._serve(conn))

    async def _serve(self, conn):
        try:
            while True:
                head = await conn.reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = await conn.reader.readexactly(size) if size else b""
                if conn.frozen:
                    # The machine lost power since this connection was opened.
                    while not self.open:
                        await asyncio.sleep(0.01)
                    conn.reset()
                    return
                answer = await self.handle(method, target, headers, body)
                if answer is None or conn.frozen:
                    while not self.open:
                        await asyncio.sleep(0.01)
                    if conn.frozen:
                        # Known to the machine no more: the next packet is answered
                        # with a reset.
                        await conn.reader.read(1)
                        conn.reset()
                        return
                    continue
                status, data, kind = answer
                conn.writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: {kind}\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode() + data
                )
                await conn.writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.conns.discard(conn)
            conn.writer.close()

    def go_dark(self):
        """Lose power: nothing is answered, and new connections hang."""
        self.open = False
        self.task.cancel()
        for conn in self.conns:
            conn.frozen = True
        self.sock.listen(0)
        for _ in range(4):  # fill the queue of new connections, so that more hang
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex((self.host, self.port))
            self.fillers.append(sock)

    def come_back(self):
        """Have power again; connections of before are unknown."""
        for sock in self.fillers:
            sock.close()
        self.fillers.clear()
        self.sock.listen(128)
        self.open = True
        self.task = asyncio.ensure_future(self._accept())

    def close(self):
        self.task.cancel()
        self.sock.close()


class Store:
    """The platform's store: keyed topics of one partition."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.writers = {}
        self.changed = asyncio.Event()
        self.refused = 0
        self.http = Http(self._handle)

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    def put(self, topic, key, value):
        data = b"" if value is None else json.dumps(value).encode()
        self._extend(topic, [(key.encode(), data)])

    def _extend(self, topic, pairs):
        self.records(topic).extend(pairs)
        self.changed.set()
        self.changed = asyncio.Event()

    def newest(self, topic):
        found = {}
        for offset, (key, value) in enumerate(self.records(topic)):
            if value:
                found[key] = (value, offset)
            else:
                found.pop(key, None)
        return found

    async def _handle(self, method, target, headers, body):
        url = urlsplit(target)
        options = dict(parse_qsl(url.query))
        call, topic = url.path.rpartition("/")[2], options.get("topic", "")
        if call == "log-append":
            await asyncio.sleep(0.004)
            return self._append(topic, options, body)
        if call == "log-read":
            return await self._read(topic, options)
        if call == "log-newest":
            return self._newest(topic, options)
        return json_answer(404, {})

    def _append(self, topic, options, body):
        pairs, pos = [], 0
        while pos < len(body):
            (size,) = struct.unpack_from(">I", body, pos)
            record = body[pos + 4 : pos + 4 + size]
            pos += 4 + size
            if len(record) > RECORD_BYTES or len(body) > CALL_BYTES:
                if self.refused % 20 == 0:
                    self.record("store: refuses a record of", len(record), "bytes")
                self.refused += 1
                return json_answer(400, {"reason": "size"})
            pairs.append((record[1 : 1 + record[0]], record[1 + record[0] :]))
        end = len(self.records(topic))
        if "at" in options and int(options["at"]) != end:
            return json_answer(412, {"end": end})
        if "producer" in options:
            key = (topic, options["producer"])
            epoch, sequence = int(options["epoch"]), int(options.get("sequence", 0))
            known, last, answers = self.writers.get(key, (-1, 0, {}))
            if epoch < known:
                return json_answer(409, {"reason": "fenced"})
            if epoch > known:
                last, answers = sequence - 1, {}
            if sequence in answers:
                return answers[sequence]
            if sequence != last + 1:
                return json_answer(409, {"reason": "seq", "sequence": last + 1})
            answer = json_answer(200, {"offset": end, "end": end + len(pairs)})
            answers = dict(list(answers.items())[-4:]) | {sequence: answer}
            self.writers[key] = (epoch, sequence, answers)
        self._extend(topic, pairs)
        return json_answer(200, {"offset": end, "end": end + len(pairs)})

    async def _read(self, topic, options):
        start = int(options["from"])
        until = time.monotonic() + int(options.get("waitMs", 0)) / 1000
        while len(self.records(topic)) <= start and time.monotonic() < until:
            try:
                wait_s = max(0.001, until - time.monotonic())
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except TimeoutError:
                pass
        await asyncio.sleep(0.002)
        limit = int(options.get("maxKb", 1024)) * 1024
        parts, size = [struct.pack(">QQ", len(self.records(topic)), 0)], 0
        for key, value in self.records(topic)[start:]:
            data = bytes((len(key),)) + key + value
            if size and size + len(data) + 4 > limit:
                break
            size += len(data) + 4
            parts.append(struct.pack(">I", len(data)) + data)
        return 200, b"".join(parts), "application/octet-stream"

    def _newest(self, topic, options):
        after = options.get("after", "").encode()
        items, size, more = [], 0, False
        for key, (value, offset) in sorted(self.newest(topic).items()):
            if key <= after:
                continue
            if len(items) >= PAGE_ITEMS or size > PAGE_BYTES:
                more = True
                break
            size += len(value)
            text = base64.b64encode(value).decode()
            items.append({"key": key.decode(), "value": text, "offset": offset})
        end = len(self.records(topic))
        return json_answer(200, {"items": items, "morePages": more, "end": end})


class Executor:
    """One machine with its executor; a start after a crash has a new id.

    ``plan(task)`` returns the seconds that a run takes, or None for a lasting one, or a
    pair of them and how the run ends. ``kind`` is its first label.
    """

    def __init__(self, platform, number, rack, cores_m, plan, kind="a"):
        self.platform, self.number, self.rack = platform, number, rack
        self.kind, self.hows = kind, {}
        self.cores_m, self.plan = cores_m, plan
        self.record = platform.record
        self.http = Http(self._handle)
        self.life = 0
        self.up, self.is_cut = True, False
        self._begin()
        self.timer = asyncio.ensure_future(self._beat())

    def _begin(self):
        self.life += 1
        self.id = f"i-{random.getrandbits(68):017x}"
        self.born_at = time.monotonic() - 480  # its clock's origin
        self.token, self.deadline = 0, 0.0
        self.runs, self.ended, self.ends, self.numbers = {}, {}, [], 0
        self.sequence = 0
        self.changed = asyncio.Event()
        self._register()

    def clock(self):
        return (time.monotonic() - self.born_at) * 1000

    def _register(self):
        self.sequence += 1
        self.registered_at = time.monotonic()
        self.is_listed = True
        self.platform.store.put(
            "keyed.servers",
            self.id,
            {
                "service": SERVICE,
                "address": self.http.address,
                "zone": "z",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cores_m, "memMb": 65536, "gpu": 0},
                "labels": [self.kind, self.rack],
                "clockMs": int(self.clock()),
                "sequence": self.sequence,
            },
        )

    async def _beat(self):
        while True:
            await asyncio.sleep(0.02)
            if not self.up:
                continue
            self._advance()
            silent_s = time.monotonic() - self.registered_at
            if not self.is_cut and silent_s >= HEARTBEAT_S:
                self._register()
            elif self.is_cut and self.is_listed and silent_s >= 3 * HEARTBEAT_S:
                self.is_listed = False
                self.platform.store.put("keyed.servers", self.id, None)

    def _advance(self):
        now = self.clock()
        for task, (run, end_ms) in list(self.runs.items()):
            if end_ms is not None and end_ms <= min(now, self.deadline):
                self._end(task, self.hows.get(task, "done"))
        if now > self.deadline:
            for task in list(self.runs):
                self._end(task, "lapsed")

    def _end(self, task, how):
        run, _ = self.runs.pop(task)
        self.ended[task] = max(run, self.ended.get(task, 0))
        self.numbers += 1
        self.ends.append([self.numbers, task, run, how, CHECKPOINT])
        self.platform.on_end(self, task, run, how)
        self.changed.set()

    def lose_power(self):
        """Crash; what runs here is gone."""
        self.record("executor", self.id, "loses power; it runs", list(self.runs))
        for task, (run, _) in self.runs.items():
            self.platform.on_end(self, task, run, CRASH)
        self.up = False
        self.runs = {}
        self.dead_id, self.dead_at = self.id, time.monotonic()
        self.http.go_dark()
        self.id = ""

    def cut(self):
        """Lose the network; what runs here goes on until its lease ends."""
        self.record("executor", self.id, "is cut off; it runs", list(self.runs))
        self.is_cut = True
        self.http.go_dark()

    def heal(self):
        """Have the network again."""
        self.record("executor", self.id, "is reachable again")
        self.is_cut = False
        self.http.come_back()
        self._register()

    def leave(self):
        """End for good, with all that runs here."""
        self.record("executor", self.id, "leaves; it runs", list(self.runs))
        for task, (run, _) in self.runs.items():
            self.platform.on_end(self, task, run, "gone")
        self.up, self.runs = False, {}
        self.timer.cancel()
        self.http.close()
        for conn in list(self.http.conns):
            conn.reset()
        self.platform.store.put("keyed.servers", self.id, None)

    def power_on(self):
        dead = self.dead_id
        self.up = True
        self._begin()
        self.http.come_back()
        self.record("executor", dead, "is back as", self.id)
        left_s = max(0.0, 3 * HEARTBEAT_S - (time.monotonic() - self.dead_at))
        asyncio.get_running_loop().call_later(
            left_s, self.platform.store.put, "keyed.servers", dead, None
        )

    async def _handle(self, method, target, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return json_answer(421, {"clockMs": int(self.clock())})
        try:
            fields = json.loads(body)
        except ValueError:
            return json_answer(400, {})
        self._advance()
        life, token = self.life, fields.get("fencingToken", 0)
        if token < self.token:
            return self._answer(409, {"reason": "fence"})
        self.token = token
        if target == "/api/hold":
            self._extend_lease(fields.get("deadlineMs"))
            ack = fields["ackIndex"]
            self.ends = [item for item in self.ends if item[0] > ack]
            until = time.monotonic() + fields.get("waitMs", 0) / 1000
            while not self.ends and time.monotonic() < until and self.life == life:
                self.changed.clear()
                wait_s = max(0.001, until - time.monotonic())
                try:
                    await asyncio.wait_for(self.changed.wait(), wait_s)
                except TimeoutError:
                    pass
            if self.life != life or not self.up:
                return None
            rows = [[task, run, "", 100, 0] for task, (run, _) in self.runs.items()]
            return self._answer(200, {"running": rows, "finished": self.ends[:500]})
        task, run = fields["task"], fields["run"]
        if target == "/api/run-stop":
            self.ended[task] = max(run, self.ended.get(task, 0))
            if self.runs.get(task, (0,))[0] == run:
                await asyncio.sleep(STOP_MS / 1000)
                if self.life == life and self.runs.get(task, (0,))[0] == run:
                    self._end(task, "stopped")
            return self._answer(200, {})
        if target == "/api/pace":
            return self._answer(200, {})
        if fields["deadlineMs"] <= self.clock():
            return self._answer(409, {"reason": "late"})
        self._extend_lease(fields["deadlineMs"])
        if self.runs.get(task, (0,))[0] == run:
            return self._answer(200, {})
        if run <= self.ended.get(task, 0) or task in self.runs:
            return self._answer(409, {"reason": "old"})
        last_s = self.plan(task)
        if isinstance(last_s, tuple):
            last_s, self.hows[task] = last_s
        end_ms = None if last_s is None else self.clock() + last_s * 1000
        self.runs[task] = (run, end_ms)
        self.platform.on_start(self, task, run, fields["spec"])
        return self._answer(200, {})

    def _extend_lease(self, deadline):
        if deadline is not None:
            limit = self.clock() + MAX_HOLD_MS
            self.deadline = max(self.deadline, min(deadline, limit))

    def _answer(self, status, fields):
        return json_answer(status, {"clockMs": int(self.clock()), **fields})


class Platform:
    """Store, executors and VM list, and what they have seen of each task."""

    def __init__(
        self, record, executors, racks_of=4, cores_m=16_000, plan=None, kind_of=None
    ):
        self.record = record
        self.store = Store(record)
        self.log = []  # (time, "start" or how it ended, executor id, task, run)
        self.cloud = Http(self._machines)
        plan = plan or (lambda task: 0.3)
        self.executors = [
            Executor(
                self,
                number,
                f"r{1 + number // racks_of}",
                cores_m,
                plan,
                kind_of(number) if kind_of is not None else "a",
            )
            for number in range(executors)
        ]

    def configure(self, standby="", **queue):
        """Write the operators' configuration: one queue, and a standby service."""
        route = {
            "name": "notices",
            "host": QUEUE_HOST,
            "pathPrefix": PREFIX,
            "kind": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 600,
            "priority": 0,
            "service": SERVICE,
            "maxAttempts": 3,
            "stretch": 1.6,
            **queue,
        }
        config = {
            "version": 1,
            "routes": [route],
            "services": [{"name": SERVICE, "enforceLimits": False, "standby": False}],
            "limits": {"maxBodyBytes": 262_144},
        }
        if standby:
            config["services"].append({"name": standby, "standby": True})
        self.store.put("keyed.op", "config", config)

    def on_start(self, executor, task, run, text):
        self.log.append((time.monotonic(), "start", executor.id, task, run))
        self.record("executor", executor.id, "starts", task, "run", run)

    def on_end(self, executor, task, run, how):
        self.log.append((time.monotonic(), how, executor.id, task, run))
        self.record("executor", executor.id, "ends", task, "run", run, how)

    async def _machines(self, method, target, headers, body):
        if target.partition("?")[0] != "/api/machines":
            self.record("cloud: refuses", target, body[:200])
            return json_answer(400, {})
        items = [
            {
                "machine": f"m-{item.number}",
                "pool": SERVICE,
                "state": "up" if item.up else "down",
                "zone": "z",
                "labels": [item.kind, item.rack],
                "capacity": {"cpu": item.cores_m, "memMb": 65536, "gpu": 0},
                "id": item.id,
            }
            for item in self.executors
        ]
        return json_answer(200, {"machines": items, "nextToken": ""})


class Node:
    """One process of the system, with its own loopback address."""

    def __init__(self, number, host, platform, folder):
        self.number, self.host = number, host
        self.platform, self.folder = platform, Path(folder)
        self.front, self.ready = self._free_port(), self._free_port()
        self.boot = self.folder / f"n{number}.yaml"
        self.boot.write_text(json.dumps(self._settings()))
        self.process = None

    def _free_port(self):
        with socket.socket() as sock:
            sock.bind((self.host, 0))
            return sock.getsockname()[1]

    def _settings(self):
        return {
            "nodeName": f"front-{self.number}",
            "role": "jobs",
            "machineClass": "front",
            "serves": ["front"],
            "ip": self.host,
            "zone": "z",
            "region": "r",
            "zones": {"z": "r"},
            "listen": {
                "front": f"{self.host}:{self.front}",
                "ready": f"{self.host}:{self.ready}",
            },
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
            },
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "bounds": {
                "contactMs": 3000,
                "ackTimeoutMs": 4000,
                "drainMs": 2000,
                "graceS": 6,
                "configApplyMs": 2000,
                "maxHoldMs": MAX_HOLD_MS,
                "stopTimeoutMs": 900,
                "gangTimeoutMs": 3000,
                "cancel_ms": 3000,
                "visible_ms": 3000,
                "early_ms": 250,
                "finish_s": 14,
                "status_s": 120,
                "noticeMs": 4500,
                "migrateS": 1.5,
                "maintenanceS": 2,
                "fencingRequired": False,
                "leaseMs": 3000,
            },
            "controlMode": "invocation",
            "platform": {
                "address": self.platform.store.http.address,
                "form": "log",
                "recordBytes": RECORD_BYTES,
                "callBytes": CALL_BYTES,
            },
            "cloud": {
                "address": self.platform.cloud.address,
                "ratePerS": 64.0,
                "dutyPerS": 64.0,
            },
        }

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["jobs"]["run"].split()
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CARDAMOMGRADE_BOOT": str(self.boot),
        }
        with open(self.folder / f"n{self.number}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def is_ready(self):
        answer = await call(self.host, self.ready, "GET", "/api/ready", b"", 1.0)
        return answer is not None and answer[0] == 200

    def send(self, signo):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signo)

    async def stop(self):
        if self.process is None:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.process.wait()

    def log_lines(self):
        for line in (self.folder / f"n{self.number}.log").read_text().splitlines():
            try:
                yield json.loads(line)
            except ValueError:
                continue


async def call(host, port, method, path, body, timeout):
    """Return (status, body) of one request, or None without an answer."""

    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nhost: {QUEUE_HOST}\r\n"
                f"content-type: application/json\r\nx-deadline-ms: 3000\r\n"
                f"content-length: {len(body)}\r\nconnection: close\r\n\r\n".encode()
                + body
            )
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            status = int(head.split(b" ", 2)[1])
            size = 0
            for line in head.decode("latin-1").lower().split("\r\n"):
                if line.startswith("content-length:"):
                    size = int(line.partition(":")[2])
            return status, await reader.readexactly(size) if size else b""
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None


class System:
    """The nodes of one deployment and a client of them."""

    def __init__(self, record, platform, nodes, folder):
        self.record, self.platform = record, platform
        base = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        self.nodes = [
            Node(n, f"{base}.{n}", platform, folder) for n in range(1, nodes + 1)
        ]

    async def start(self):
        """Start all nodes; return whether all are ready within 20 s."""
        for node in self.nodes:
            await node.start()
        until = time.monotonic() + 20
        while time.monotonic() < until:
            if all([await node.is_ready() for node in self.nodes]):
                self.record("all nodes are ready")
                return True
            await asyncio.sleep(0.2)
        return False

    async def ask(self, method, job, body=b"", tries=5):
        """Send a request, to other nodes where there is no final answer."""
        answer = None
        for number in range(tries):
            nodes = self.nodes
            node = nodes[(int(job or "0", 16) + number) % len(nodes)]
            answer = await call(
                node.host, node.front, method, PREFIX + job, body, 3.0
            )
            status = answer[0] if answer else "no answer"
            text = answer[1].decode("utf-8", "replace")[:100] if answer else ""
            self.record(method, job, "at", f"n{node.number}:", status, text)
            if answer is not None and answer[0] not in (429, 502, 503, 504):
                return answer
            await asyncio.sleep(0.5)
        return answer

    async def submit(self, job, steps, **fields):
        body = json.dumps({"spec": f"text of {job}", "steps": steps, **fields}).encode()
        answer = await self.ask("POST", job, body)
        return answer is not None and 200 <= answer[0] < 300

    async def state(self, job):
        answer = await self.ask("GET", job)
        if answer is None or answer[0] != 200:
            return None if answer is None else str(answer[0])
        return json.loads(answer[1])["state"]

    async def wait_state(self, job, states, seconds):
        """Ask for a job once a second until it has one of the states."""
        until, state = time.monotonic() + seconds, None
        while time.monotonic() < until:
            state = await self.state(job)
            if state in states:
                break
            await asyncio.sleep(1.0)
        return state

    async def stop(self):
        for node in self.nodes:
            await node.stop()


def job_id():
    return f"{random.getrandbits(64):016x}"


def main(folder, scenario, nodes=3, standby="", platform_class=Platform, **options):
    """Run ``scenario(record, platform, system, trouble)``; exit with its result.

    It returns 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")

    async def run():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            platform = platform_class(record, **options)
            platform.configure(standby)
            system = System(record, platform, nodes, temporary)
            try:
                if not await system.start():
                    record("the nodes did not get ready")
                    return 2
                return await scenario(record, platform, system, trouble)
            finally:
                await system.stop()
                if os.environ.get("KEEP_LOGS"):
                    for node in system.nodes:
                        name = f"n{node.number}.log"
                        text = (Path(temporary) / name).read_text()
                        (Path(os.environ["KEEP_LOGS"]) / name).write_text(text)

    try:
        code = asyncio.run(asyncio.wait_for(run(), 115))
    except TimeoutError:
        record("the script took too long")
        code = 2
    record("exit", code)
    sys.exit(code)
