"""Fixture of the entry's steps: log, endpoints and entries on one loop."""

import re

from cardamomgrade import records
from cardamomgrade.bundle import parse_bundle
from cardamomgrade.client import ClientConn
from cardamomgrade.entry import Entry, EntrySettings
from cardamomgrade.feed import Feed
from cardamomgrade.standend import EndpointStandin
from cardamomgrade.standin import PlatformStandin
from cardamomgrade.wire import HttpRequest
from harness import free_address, free_port, Rig

HOST = "127.0.0.1"
KEY = "a key for tests only"
BUNDLE = """
[bundle]
version = 1
author = amina
seats = e1, e2
key_memory_s = 60
[pool notices]
slots = 4
connections = {connections}
[service notices]
pool = notices
path = /notices
deadline_ms = {deadline_ms}
min_serving = 0
queue = 20
[service reminders]
pool = notices
path = /reminders
urgency = batch
deadline_ms = {deadline_ms}
min_serving = 0
[wave weekly]
pools = notices
round = 1
"""
VM = """
[vm {name}]
pool = notices
zone = {zone}
rack = r1
address = 127.0.0.1:{port}
"""


class ScriptedEndpoint:
    """Calls ``script(conn, request_id)`` for each complete request."""

    def __init__(self, net, script):
        self.script = script
        self.requests = []
        self.port = net.listen(HOST, 0, self._on_conn)

    def _on_conn(self, conn):
        buffer = bytearray()

        def on_data(data):
            buffer.extend(data)
            head, end, body = bytes(buffer).partition(b"\r\n\r\n")
            length = re.search(rb"content-length: (\d+)", head.lower())
            if end and len(body) >= int(length[1] if length else 0):
                buffer.clear()
                request_id = re.search(rb"request-id: (\S+)", head.lower())[1]
                self.requests.append(request_id)
                self.script(conn, request_id)

        conn.on_data = on_data


class Client:
    """A caller's connection to an entry; ``data`` holds the bytes received."""

    def __init__(self, world, port):
        self.data = b""
        self.closed = False
        self.conn = None
        world.net.dial(HOST, port, self._opened, self._failed)
        world.run_until(lambda: self.conn is not None)

    def _opened(self, conn):
        self.conn = conn
        conn.on_data = self._on_data
        conn.on_close = self._on_close

    def _failed(self, exc):
        raise exc

    def _on_data(self, data):
        self.data += data

    def _on_close(self):
        self.closed = True


class World(Rig):
    """The log, endpoints and entries; the entries in ``seats`` are mesh peers."""

    def __init__(self, deadline_ms=1000, seats=()):
        super().__init__()
        self.deadline_ms = deadline_ms
        self.connections = 64
        self.vms = ""
        self.peers = tuple((seat, free_address()) for seat in seats)
        self.platform = PlatformStandin(self.loop, self.net, ())
        self.log_port = self.platform.listen(HOST, 0)
        self.log = self.platform.log
        self.endpoints = {}
        self.entries = {}
        self.entry_ports = {}
        self._listens = {}
        self.ports = {}
        self.read = []
        address = f"{HOST}:{self.log_port}"
        self.fleet = Feed(
            self.loop, self.net, address, records.STREAM_FLEET, self.read.extend
        )
        self.fleet.start()

    def endpoint(self, name):
        """Add a stand-in endpoint; return it."""
        port = free_port()
        item = EndpointStandin(self.loop, self.net, name, (HOST, port))
        self.endpoints[name] = item
        self.ports[name] = port
        return item

    def scripted(self, name, script):
        """Add a ScriptedEndpoint; return it."""
        item = self.endpoints[name] = ScriptedEndpoint(self.net, script)
        self.ports[name] = item.port
        return item

    def append(self, *items):
        """Append records to the fleet stream and wait until they are read back."""
        for item in items:
            self.fleet.append(item)
        self.run_until(
            lambda: all(
                any(logged.record == item for logged in self.read) for item in items
            )
        )

    def roll(self):
        """Put a bundle with the endpoints added so far in force."""
        text = BUNDLE.format(deadline_ms=self.deadline_ms, connections=self.connections)
        for number, (name, port) in enumerate(self.ports.items()):
            text += VM.format(name=name, port=port, zone=f"z{number % 2}")
        bundle = parse_bundle(text)
        digest = bundle.digest
        self.append(
            records.BundleProposed(1, b"", digest, "amina", bundle.sections),
            records.BundleSigned(digest, "omar"),
            records.BundleRolled(digest, "omar"),
        )

    def settings(self, name):
        """Return the EntrySettings of a seat; its listen address stays the same."""
        return EntrySettings(
            name=name,
            zone="z0",
            listen=self._listens.setdefault(name, free_address()),
            log=f"{HOST}:{self.log_port}",
            vms=self.vms,
            ops_listen=free_address(),
            ops_key=KEY,
            mesh_listen=dict(self.peers).get(name, ""),
            mesh_key=KEY,
            peers=self.peers,
        )

    def entry(self, name="e1", wait=True):
        """Start an entry; by default wait until it is a member and has a bundle."""
        cfg = self.settings(name)
        entry = self.entries[name] = Entry(self.loop, cfg, lambda: None)
        self.entry_ports[name] = entry.start()
        if wait:
            self.run_until(entry.member.is_member)
            self.run_until(lambda: entry.member.state.bundle is not None)
        return entry

    def start_seats(self):
        """Start an entry in each seat; wait until all may use their home slots."""
        for seat, _ in self.peers:
            self.entry(seat)
        self.run_until(
            lambda: all(entry.mesh.ledger.unlocked for entry in self.entries.values())
        )

    def send(self, method, path, entry="e1", body=b"", **headers):
        """Send a request; return a list that the response or error is appended to.

        Keywords are headers, with ``_`` for ``-``.
        """
        pairs = [(b"host", b"entry")]
        for key, value in headers.items():
            pairs.append((key.replace("_", "-").encode(), str(value).encode()))
        req = HttpRequest(method, path, tuple(pairs), body)
        answers = []

        def opened(raw):
            conn = ClientConn(raw)
            conn.send(req, lambda result: self._answered(conn, answers, result))

        self.net.dial(HOST, self.entry_ports[entry], opened, answers.append)
        return answers

    @staticmethod
    def _answered(conn, answers, result):
        answers.append(result)
        conn.abort()

    def request(self, method, path, entry="e1", body=b"", **headers):
        """Send a request and return its response or error."""
        answers = self.send(method, path, entry, body, **headers)
        self.run_until(lambda: answers)
        return answers[0]
