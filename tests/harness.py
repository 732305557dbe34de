"""Helpers that run an event loop in a test and the package's programs as processes."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

from cardamomgrade.loop import Loop
from cardamomgrade.net import Net

ROOT = Path(__file__).resolve().parent.parent
RUN_LIMIT_S = 20.0
STOP_LIMIT_S = 10.0
POLL_S = 0.05
_PROCESSES = []


class Rig:
    """An event loop with a net, run by a test until a condition holds."""

    def __init__(self):
        self.loop = Loop()
        self.net = Net(self.loop)

    def run_until(self, condition, limit_s=RUN_LIMIT_S):
        """Run the loop until ``condition()`` holds; fail after ``limit_s``."""
        expired = []

        def check():
            if condition():
                self.loop.finish()
            else:
                self.loop.call_later(0.002, check)

        def expire():
            expired.append(True)
            self.loop.finish()

        self.loop.call_later(0, check)
        timer = self.loop.call_later(limit_s, expire)
        self.loop.run()
        timer.cancel()
        assert not expired, "timed out waiting for the condition"

    def run_for(self, seconds):
        """Run the loop for ``seconds``."""
        self.loop.call_later(seconds, self.loop.finish)
        self.loop.run()


# Every port is below the ephemeral range of Linux (32768 and up), so that an outgoing
# connection of another test cannot take one between free_port() and the bind.
FIRST_PORT = 10_240
PORTS_PER_RANGE = 512
PORT_RANGES = 43


def _reserve_range():
    """Return (socket, iterator of ports) of a range that no other test process uses.

    The socket listens on the first port of the range until this process ends, which
    keeps other test processes from reserving the same range.
    """
    for number in range(PORT_RANGES):
        index = (os.getpid() + number) % PORT_RANGES
        lock_port = FIRST_PORT + index * PORTS_PER_RANGE
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", lock_port))
            lock.listen(1)
        except OSError:
            lock.close()
            continue
        return lock, itertools.cycle(range(lock_port + 1, lock_port + PORTS_PER_RANGE))
    raise RuntimeError(f"all {PORT_RANGES} port ranges are in use by test processes")


_range_lock, _range_ports = _reserve_range()


def free_port():
    """Return a TCP port in this process's range that is free now on 127.0.0.1."""
    for port in itertools.islice(_range_ports, PORTS_PER_RANGE):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free TCP port in the range of this test process")


def free_address():
    """Return ``ip:port`` with a free port."""
    return f"127.0.0.1:{free_port()}"


def start(module, *args, log=None, env=None, output=None):
    """Start ``python -m cardamomgrade.MODULE`` and return its Popen.

    ``log`` is a file for stderr, ``output`` one for stdout; ``env`` are additional
    environment variables.
    """
    return _start(["-m", f"cardamomgrade.{module}", *args], log, env, output)


def start_script(name, *args):
    """Start a script in the scripts folder and return its Popen."""
    return _start([str(ROOT / "scripts" / name), *args], None)


def _start(arguments, log, extra_env=None, output=None):
    env = dict(os.environ, PYTHONPATH=str(ROOT / "src"), **(extra_env or {}))
    process = subprocess.Popen(
        [sys.executable, *arguments],
        cwd=ROOT,
        env=env,
        stdout=output,
        stderr=log or subprocess.DEVNULL,
        stdin=subprocess.DEVNULL,
    )
    _PROCESSES.append(process)
    return process


def end_processes():
    """Kill every process that ``start`` or ``start_script`` started."""
    while _PROCESSES:
        process = _PROCESSES.pop()
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        process.wait(STOP_LIMIT_S)


def wait_for(condition, limit_s=RUN_LIMIT_S):
    """Poll until ``condition()`` is true; return its value, fail after ``limit_s``."""
    deadline = time.monotonic() + limit_s
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise AssertionError("timed out waiting for the condition")


def listening(address):
    """Return whether a TCP connection to ``ip:port`` succeeds."""
    host, _, port = address.rpartition(":")
    with socket.socket() as sock:
        return sock.connect_ex((host, int(port))) == 0


def http(address, path, body=None, headers=None, method=None):
    """Send one request with urllib; return (status, headers, body bytes).

    A dict as ``body`` is sent as JSON.
    """
    data = json.dumps(body).encode() if isinstance(body, dict) else body
    req = urllib.request.Request(
        f"http://{address}{path}", data, headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(req, timeout=RUN_LIMIT_S) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.headers, exc.read()
