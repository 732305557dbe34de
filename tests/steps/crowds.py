"""Steps with crowds of misbehaving clients; platform and node run as processes."""

import contextlib
import json
import os
import selectors
import signal
import socket
import tempfile
import time
from pathlib import Path

import yaml
from behave import given, then, when

import harness

MAX_FDS = 200  # limits the node to fewer connections than the crowds have
HEAD = "POST /notices/{job:016x} HTTP/1.1\r\nHost: jobs.example\r\n"
STEPS = [{"count": 1, "cpu": 100, "estimateMs": 300}]
READ_BYTES = 65536
WRITE_BYTES = 65536
QUIET_S = 1.5  # a crowd that has sent nothing for so long is blocked
CROWD_LIMIT_S = 30.0
MB = 1024
ORDINARY_JOB = 0xFFFF


class Client:
    """One raw connection, which sends ``data`` and then ``repeat`` without an end."""

    def __init__(self, address, data, repeat=b"", reads=True):
        host, _, port = address.rpartition(":")
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, WRITE_BYTES)
        if not reads:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
        self.sock.setblocking(False)
        self.sock.connect_ex((host, int(port)))
        self.got = b""
        self.open = True
        self._data = memoryview(data)
        self._repeat = repeat
        self._reads = reads

    @property
    def events(self):
        """The selector events that this client waits for; 0 when it is done."""
        read = selectors.EVENT_READ if self._reads else 0
        return read | (selectors.EVENT_WRITE if self._data or self._repeat else 0)

    def act(self, mask):
        """Read and write once; return whether anything was sent."""
        try:
            if mask & selectors.EVENT_READ:
                data = self.sock.recv(READ_BYTES)
                self.got += data
                self.open = bool(data)
            if self.open and mask & selectors.EVENT_WRITE:
                if not self._data:
                    self._data = memoryview(self._repeat)
                sent = self.sock.send(self._data[:WRITE_BYTES])
                self._data = self._data[sent:]
                return sent > 0
        except BlockingIOError:
            pass
        except OSError:
            self.open = False
        return False


def press(clients):
    """Let the clients send until all are done, closed or blocked for QUIET_S."""
    selector = selectors.DefaultSelector()
    waiting = {}
    for client in clients:
        waiting[client] = client.events
        if client.events:
            selector.register(client.sock, client.events, client)
    end = time.monotonic() + CROWD_LIMIT_S
    quiet_at = time.monotonic() + QUIET_S
    while time.monotonic() < min(end, quiet_at):
        for key, mask in selector.select(0.1):
            client = key.data
            if client.act(mask):
                quiet_at = time.monotonic() + QUIET_S
            if not client.open or not client.events:
                selector.unregister(client.sock)
            elif client.events != waiting[client]:
                waiting[client] = client.events
                selector.modify(client.sock, client.events, client)
    selector.close()


def crowd(context, number, data, **options):
    """Open ``number`` clients, which send ``data(index)``, and let them press."""
    clients = [Client(context.front, data(index), **options) for index in range(number)]
    context.crowd.extend(clients)
    press(clients)
    return clients


def head(index, *lines):
    text = HEAD.format(job=index + 1) + "".join(f"{line}\r\n" for line in lines)
    return f"{text}\r\n".encode()


def submission(index, padding=0):
    """Return a valid request whose body has a step with a long label."""
    step = {**STEPS[0], "requirements": "x" * padding} if padding else STEPS[0]
    body = json.dumps({"spec": "text", "steps": [step]}).encode()
    return head(index, f"Content-Length: {len(body)}") + body


def close_crowd(context):
    for client in context.crowd:
        client.sock.close()
    context.crowd.clear()


@given("the emulated platform and one node with {memory_mb:d} MB, as processes")
def step_start(context, memory_mb):
    folder = tempfile.mkdtemp()
    context.crowd = []
    context.add_cleanup(close_crowd, context)
    context.emulator = harness.start("emulator.program", folder, "--nodes", "1")
    path = Path(folder) / "n1.yaml"
    harness.wait_for(lambda: path.exists() and path.read_text())
    cfg = yaml.safe_load(path.read_text())
    cfg["limits"].update(memoryMb=memory_mb, maxFds=MAX_FDS)
    path.write_text(yaml.safe_dump(cfg))
    context.memory_mb, context.front = memory_mb, cfg["listen"]["front"]
    with open(Path(folder) / "n1.log", "w") as log:
        context.node = harness.start(
            "jobsd", env={"CARDAMOMGRADE_BOOT": str(path)}, output=log
        )
    ready = cfg["listen"]["ready"]
    harness.wait_for(
        lambda: harness.listening(ready) and harness.http(ready, "/api/ready")[0] == 200
    )


@given("the store does not answer")
def step_freeze_store(context):
    context.emulator.send_signal(signal.SIGSTOP)


@when("the store answers again")
def step_resume_store(context):
    context.emulator.send_signal(signal.SIGCONT)


@when("{number:d} clients announce {size:d} bytes and send without an end")
def step_announced(context, number, size):
    line = f"Content-Length: {size}"
    crowd(context, number, lambda index: head(index, line), repeat=b"x" * WRITE_BYTES)


@when("{number:d} clients announce {size:d} bytes and send all but one")
def step_short(context, number, size):
    line, body = f"Content-Length: {size}", b"x" * (size - 1)
    crowd(context, number, lambda index: head(index, line) + body)


@when("{number:d} clients send chunks of {size:d} byte without an end")
@when("{number:d} clients send chunks of {size:d} bytes without an end")
def step_chunked(context, number, size):
    line, chunk = "Transfer-Encoding: chunked", b"%x\r\n%s\r\n" % (size, b"x" * size)
    crowd(
        context,
        number,
        lambda index: head(index, line),
        repeat=chunk * max(1, WRITE_BYTES // len(chunk)),
    )


@when("{number:d} clients send {count:d} headers and announce {size:d} bytes")
def step_headers(context, number, count, size):
    lines = [f"Content-Length: {size}", *["a:1"] * count]
    crowd(context, number, lambda index: head(index, *lines))


@when("{number:d} clients submit jobs of {size:d} bytes")
def step_large_jobs(context, number, size):
    crowd(context, number, lambda index: submission(index, size))


@when("{number:d} clients submit jobs of {size:d} bytes and leave, {group:d} at a time")
def step_leave(context, number, size, group):
    for first in range(0, number, group):
        clients = [
            Client(context.front, submission(first + index, size), reads=False)
            for index in range(group)
        ]
        selector = selectors.DefaultSelector()
        for client in clients:
            selector.register(client.sock, selectors.EVENT_WRITE, client)
        end = time.monotonic() + CROWD_LIMIT_S
        while selector.get_map() and time.monotonic() < end:
            for key, mask in selector.select(0.1):
                key.data.act(mask)
                if not key.data.open or not key.data.events:
                    selector.unregister(key.data.sock)
                    # Unread data would turn the end into a reset, which drops the job.
                    with contextlib.suppress(OSError):
                        key.data.sock.shutdown(socket.SHUT_WR)
        selector.close()
        for client in clients:
            client.sock.close()


@when("{number:d} clients submit a job and send {size:d} bytes behind it")
def step_behind(context, number, size):
    behind = b"x" * size
    crowd(context, number, lambda index: submission(index) + behind)


@when("{number:d} clients send {count:d} requests each and read nothing")
def step_pipelined(context, number, count):
    request = b"GET /notices/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n"
    crowd(context, number, lambda index: request * count, reads=False)


@when("{number:d} clients connect and send nothing")
def step_silent(context, number):
    crowd(context, number, lambda index: b"")


@when("a client announces {size:d} bytes, is refused, and sends all the same")
def step_refused(context, size):
    (client,) = crowd(context, 1, lambda index: head(index, f"Content-Length: {size}"))
    assert client.got, "the client was not refused"
    sock = client.sock
    sock.settimeout(harness.RUN_LIMIT_S)
    context.failure = None
    try:
        for start in range(0, size, WRITE_BYTES):
            sock.sendall(b"x" * min(WRITE_BYTES, size - start))
            time.sleep(0.01)
        while data := sock.recv(READ_BYTES):
            client.got += data
    except OSError as exc:
        context.failure = exc
    context.client = client


@then("it has read status {status:d} and the end of the answer")
def step_read_status(context, status):
    assert context.failure is None, context.failure
    assert context.client.got.startswith(b"HTTP/1.1 %d " % status), context.client.got


def peak_mb(process):
    lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if "VmHWM" in line) / MB


def serves_job(context):
    body = {"spec": "text", "steps": STEPS}
    path = f"/notices/{ORDINARY_JOB:016x}"
    with contextlib.suppress(OSError):
        answer = harness.http(context.front, path, body, {"Host": "jobs.example"})
        return answer[0] == 200
    return False


@then("the node lives within its memory and serves an ordinary job")
def step_lives(context):
    assert context.node.poll() is None, "the node ended"
    fds = len(os.listdir(f"/proc/{context.node.pid}/fd"))
    peak = peak_mb(context.node)
    harness.wait_for(lambda: serves_job(context), 2 * harness.RUN_LIMIT_S)
    peak = max(peak, peak_mb(context.node))
    print(f"peak {peak:.0f} MB, {fds} descriptors")
    assert context.node.poll() is None, "the node ended"
    assert peak < context.memory_mb, f"peak {peak:.0f} MB"
    assert fds < MAX_FDS, f"{fds} descriptors"
