"""Runs a loop inside a test and programs of the package as processes."""

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
    """A loop with a net that a test runs until a condition holds."""

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
        assert not expired, "the condition did not hold in time"

    def run_for(self, seconds):
        """Run the loop for a while."""
        self.loop.call_later(seconds, self.loop.finish)
        self.loop.run()


# Ports below the ephemeral range of Linux (32768 and up): an outgoing connection of
# another test cannot take one between the pick and the bind.
PORTS_FIRST = 10_240
PORTS_PER_PROCESS = 512
PORT_SLOTS = 43


def _claim_slot():
    """Return (socket, ports) of a slot that no other test process holds.

    The socket listens on the slot's first port until this process ends.
    """
    for number in range(PORT_SLOTS):
        slot = (os.getpid() + number) % PORT_SLOTS
        base = PORTS_FIRST + slot * PORTS_PER_PROCESS
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", base))
            claim.listen(1)
        except OSError:
            claim.close()
            continue
        return claim, itertools.cycle(range(base + 1, base + PORTS_PER_PROCESS))
    raise RuntimeError(f"{PORT_SLOTS} test processes hold all ports")


_claim, _ports = _claim_slot()


def free_port():
    """Return a TCP port of 127.0.0.1 that is free now, of this process's own range."""
    for port in itertools.islice(_ports, PORTS_PER_PROCESS):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no free port")


def free_address():
    """Return ``ip:port`` with a free port."""
    return f"127.0.0.1:{free_port()}"


def start(module, *args, log=None, env=None):
    """Start ``python -m cardamomgrade.MODULE`` and return its Popen."""
    return _start(["-m", f"cardamomgrade.{module}", *args], log, env)


def start_script(name, *args):
    """Start a script of the scripts folder and return its Popen."""
    return _start([str(ROOT / "scripts" / name), *args], None)


def _start(arguments, log, more=None):
    env = dict(os.environ, PYTHONPATH=str(ROOT / "src"), **(more or {}))
    process = subprocess.Popen(
        [sys.executable, *arguments],
        cwd=ROOT,
        env=env,
        stderr=log or subprocess.DEVNULL,
        stdin=subprocess.DEVNULL,
    )
    _PROCESSES.append(process)
    return process


def end_processes():
    """End every process that ``start`` started."""
    while _PROCESSES:
        process = _PROCESSES.pop()
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
        process.wait(STOP_LIMIT_S)


def wait_for(condition, limit_s=RUN_LIMIT_S):
    """Poll ``condition()`` until it is true and return its value."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(POLL_S)
    raise AssertionError("the condition did not hold in time")


def listening(address):
    """Return whether something accepts connections at ``ip:port``."""
    host, _, port = address.rpartition(":")
    with socket.socket() as sock:
        return sock.connect_ex((host, int(port))) == 0


def http(address, path, body=None, headers=None, method=None):
    """Send one request by urllib; return (status, headers, body bytes)."""
    data = json.dumps(body).encode() if isinstance(body, dict) else body
    req = urllib.request.Request(
        f"http://{address}{path}", data, headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(req, timeout=RUN_LIMIT_S) as response:
            return response.status, response.headers, response.read()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.headers, exc.read()
