"""Emulated platform on loopback: HTTP servers for the store, executors and VMs."""

import base64
import json
import struct
from urllib.parse import parse_qsl, urlsplit

import attrs

from ..net import Net
from ..ops import json_response
from ..server import HttpServer
from ..wire import HttpResponse
from .executor import EmulatedExecutor
from .log import EmulatedLog

HOST = "127.0.0.1"
MS = 1000
POLL_S = 0.01
CLOCK_OFFSET_MS = 480_000  # executors' clocks differ from the scheduler's
MAX_LEASE_MS = 10_000  # a deadline further ahead is shortened
FIRST_CLOCK_MS = 1000  # of an executor that starts again
SERVERS = "keyed.servers"
_LENGTH = struct.Struct(">I")


@attrs.define(eq=False)
class StoreFaults:
    """Injected faults of the store, and the targets of the requests it received.

    ``ignore_appends`` is how many of the next appends without a producer are neither
    carried out nor answered.
    """

    down: bool = False
    lose_answers: int = 0
    ignore_appends: int = 0
    requests: list = attrs.field(factory=list)


@attrs.define(eq=False)
class _Instance:
    """An executor with its server; a ``silent`` one answers no request.

    One that ``loses_answers`` carries requests out, but its answers do not arrive.
    ``clock_offset_ms`` is that of its clock to the loop's, and ``entry`` its
    registration. ``requests`` has the path and fields of every call. Calls in
    ``stale_sessions``, connections of before a loss of power, are reset.
    """

    executor: EmulatedExecutor
    server: object
    port: int
    silent: bool = False
    loses_answers: bool = False
    calls: int = 0
    clock_offset_ms: float = CLOCK_OFFSET_MS
    entry: dict = attrs.field(factory=dict)
    requests: list = attrs.field(factory=list)
    stale_sessions: tuple = ()


class EmulatedPlatform:
    """Store, executors and VMs on one loop.

    ``plan(task)`` returns (duration in ms or None, outcome) of a new run. ``trace`` has
    (start or outcome, executor, task, run) for every start and end of a run, where the
    outcome of a run that an order for its VM ended is "gone", ``paces`` the (task,
    run, percent) of every order to pace a run, ``orders`` the (call, fields) of every
    order for a VM, and ``shortened_leases`` the executor of every deadline that was
    further ahead than the longest lease.
    """

    def __init__(self, loop, plan):
        self.loop = loop
        self.net = Net(loop)
        self.log = EmulatedLog()
        self.faults = StoreFaults()
        self.instances = {}
        self.machines = {}
        self.orders = []
        self.trace = []
        self.paces = []
        self.shortened_leases = []
        self._plan = plan
        self._store = HttpServer(loop, self.net, self._on_store)
        self._vms = HttpServer(loop, self.net, self._on_vms)
        self.store_port = self._store.listen(HOST, 0)
        self.vms_port = self._vms.listen(HOST, 0)

    def now_ms(self):
        """Return the time of the executors' clock."""
        return self.loop.now() * MS + CLOCK_OFFSET_MS

    # The store

    def _on_store(self, exchange):
        url = urlsplit(exchange.req.target)
        options = dict(parse_qsl(url.query))
        self.faults.requests.append(exchange.req.target)
        if self.faults.down:
            exchange.respond(HttpResponse(503))
        elif url.path == "/api/log-append":
            self._append(exchange, options)
        elif url.path == "/api/log-read":
            end_s = self.loop.now() + int(options.get("waitMs", 0)) / MS
            self._read(exchange, options, end_s)
        elif url.path == "/api/log-newest":
            self._newest(exchange, options)
        else:
            exchange.respond(HttpResponse(404))

    def _append(self, exchange, options):
        if self.faults.ignore_appends > 0 and "producer" not in options:
            self.faults.ignore_appends -= 1
            return
        at = options.get("at")
        reply = self.log.append(
            options["topic"],
            _pairs(exchange.req.body),
            None if at is None else int(at),
            options.get("producer"),
            int(options.get("epoch", 0)),
            int(options.get("sequence", 0)),
        )
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            exchange.drop()
            return
        exchange.respond(json_response(reply.status, reply.fields))

    def _read(self, exchange, options, end_s):
        topic, start = options["topic"], int(options["from"])
        if exchange.answered:
            return
        if start < self.log.first(topic):
            exchange.respond(json_response(410, {"first": self.log.first(topic)}))
            return
        records = self.log.records(topic)[start:]
        if not records and self.loop.now() < end_s:
            self.loop.call_later(POLL_S, lambda: self._read(exchange, options, end_s))
            return
        body = struct.pack(">QQ", self.log.end(topic), self.log.first(topic))
        for key, value in records:
            record = bytes((len(key),)) + key + value
            body += _LENGTH.pack(len(record)) + record
        exchange.respond(HttpResponse(200, (), body))

    def _newest(self, exchange, options):
        items = [
            {
                "key": key.decode("utf-8", "replace"),
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (value, offset) in sorted(
                self.log.newest(options["topic"]).items()
            )
        ]
        end = self.log.end(options["topic"])
        fields = {"items": items, "morePages": False, "end": end}
        exchange.respond(json_response(200, fields))

    def put(self, topic, key, value):
        """Write a JSON record as operators and executors do; None deletes the key."""
        data = json.dumps(value).encode() if value is not None else b""
        self.log.append(topic, [(key.encode(), data)])

    # Executors

    def add_executor(self, name, service, cores_m, memory_mb, rack="r1", vm="", born=0):
        """Start an executor and register it, and add its VM."""
        executor = EmulatedExecutor(name, self._plan, self._record_run, born=born)
        instance = _Instance(executor, None, 0)
        instance.server = HttpServer(
            self.loop, self.net, lambda exchange: self._on_executor(instance, exchange)
        )
        instance.port = instance.server.listen(HOST, 0)
        self.instances[name] = instance
        fields = {
            "service": service,
            "address": f"{HOST}:{instance.port}",
            "zone": "z",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": cores_m, "memMb": memory_mb, "gpu": 0},
            "labels": ["a", rack],
            "clockMs": int(self.now_ms()),
            "sequence": 1,
            **({"born": born} if born else {}),
        }
        instance.entry = fields
        self.put(SERVERS, name, fields)
        vm = vm or f"m-{name}"
        self.machines[vm] = {
            "machine": vm,
            "pool": service,
            "state": "up",
            "zone": "z",
            "labels": ["a", rack],
            "id": name,
        }

    def restart_executor(self, name, born, same_port=True, register=True):
        """Start an executor again under its id, without any state; its runs are gone.

        Its clock starts anew, and its connections are closed. Unless ``register`` is
        set, its registration stays as it is until ``register_executor`` is called.
        """
        instance = self.instances[name]
        instance.executor.shut_down()
        instance.executor = EmulatedExecutor(
            name, self._plan, self._record_run, born=born
        )
        instance.clock_offset_ms = FIRST_CLOCK_MS - self.loop.now() * MS
        instance.server.close_all_except(None)
        if not same_port:
            instance.port = instance.server.listen(HOST, 0)
        if register:
            self.register_executor(name)

    def lose_power(self, name):
        """Stop an executor: its runs are gone, and its calls get no answer."""
        instance = self.instances[name]
        instance.executor.shut_down()
        instance.silent = True

    def restore_power(self, name, new_name):
        """Start and register the next incarnation of a stopped executor under an id.

        Earlier connections are reset once they are used. The registration of the former
        incarnation stays.
        """
        instance = self.instances[new_name] = self.instances[name]
        instance.executor = EmulatedExecutor(new_name, self._plan, self._record_run)
        instance.clock_offset_ms = FIRST_CLOCK_MS - self.loop.now() * MS
        instance.stale_sessions = tuple(instance.server.sessions)
        instance.silent = False
        for machine in self.machines.values():
            if machine["id"] == name:
                machine["id"] = new_name
        self.register_executor(new_name)

    def register_executor(self, name):
        """Write the registration of an executor's current incarnation."""
        instance = self.instances[name]
        instance.entry = {
            **instance.entry,
            "address": f"{HOST}:{instance.port}",
            "clockMs": int(self._clock_ms(instance)),
            "sequence": 1,
        }
        if instance.executor.born:
            instance.entry["born"] = instance.executor.born
        self.put(SERVERS, name, instance.entry)

    def _clock_ms(self, instance):
        return self.loop.now() * MS + instance.clock_offset_ms

    def _record_run(self, kind, executor, task, run):
        self.trace.append((kind, executor, task, run))

    def _on_executor(self, instance, exchange):
        instance.calls += 1
        if instance.silent:
            return
        if any(item.is_answering(exchange) for item in instance.stale_sessions):
            exchange.drop()
            return
        req = exchange.req
        if req.header("x-expect-instance") != instance.executor.name:
            exchange.respond(HttpResponse(421))
            return
        fields = json.loads(req.body)
        instance.requests.append((req.path, fields))
        now_ms, token = self._clock_ms(instance), fields["fencingToken"]
        if (fields.get("deadlineMs") or 0) > now_ms + MAX_LEASE_MS:
            fields["deadlineMs"] = now_ms + MAX_LEASE_MS
            self.shortened_leases.append(instance.executor.name)
        if req.path == "/api/hold":
            end_s = self.loop.now() + fields.get("waitMs", 0) / MS
            self._hold(instance, instance.executor, exchange, fields, end_s, True)
            return
        if req.path == "/api/run-start":
            reason = instance.executor.start(
                fields["task"], fields["run"], fields["deadlineMs"], token, now_ms
            )
        elif req.path == "/api/run-stop":
            reason = instance.executor.stop(
                fields["task"], fields["run"], token, now_ms
            )
        else:
            self.paces.append((fields["task"], fields["run"], fields["percent"]))
            reason = ""
        self._respond(instance, exchange, reason, {})

    def _respond(self, instance, exchange, reason, fields):
        if instance.loses_answers:
            return
        body = {"clockMs": int(self._clock_ms(instance)), **fields}
        if reason:
            body["reason"] = reason
        exchange.respond(json_response(409 if reason else 200, body))

    def _hold(self, instance, executor, exchange, fields, end_s, first):
        is_over = executor is not instance.executor
        if exchange.answered or instance.silent or is_over:
            return
        deadline = fields.get("deadlineMs") if first else None
        reason = executor.renew(
            deadline,
            fields["ackIndex"],
            fields["fencingToken"],
            self._clock_ms(instance),
        )
        if not reason and not executor.ends and self.loop.now() < end_s:

            def hold_on():
                self._hold(instance, executor, exchange, fields, end_s, False)

            self.loop.call_later(POLL_S, hold_on)
            return
        lists = {"running": executor.rows(), "finished": executor.ends[:500]}
        if executor.born:
            lists["born"] = executor.born
        self._respond(instance, exchange, reason, {} if reason else lists)

    # VMs

    def _on_vms(self, exchange):
        path = exchange.req.path
        if path == "/api/machines":
            items = list(self.machines.values())
            exchange.respond(json_response(200, {"machines": items, "nextToken": None}))
            return
        fields = json.loads(exchange.req.body)
        self.orders.append((path.rpartition("/")[2], fields))
        machine = self.machines.get(fields["machine"])
        if machine is None:
            exchange.respond(HttpResponse(400))
            return
        self._replace_executor(machine, fields.get("pool", machine["pool"]))
        exchange.respond(json_response(200, {}))

    def _replace_executor(self, machine, pool):
        """End the executor incarnation on a VM and start a new one in ``pool``."""
        old = machine["id"]
        instance = self.instances.get(old)
        if instance is not None:
            instance.silent = True
            instance.executor.shut_down()
            self.put("keyed.servers", old, None)
        name = f"{old}x" if old else f"i-{machine['machine']}"
        rack = machine["labels"][1]
        self.add_executor(name, pool, 16_000, 64_000, rack, machine["machine"])

    def close(self):
        """Stop listening."""
        self.net.close_listeners()


def _pairs(body):
    pairs, position = [], 0
    while position < len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        record = body[position : position + size]
        position += size
        pairs.append((record[1 : 1 + record[0]], record[1 + record[0] :]))
    return pairs
