"""Stand-in for an endpoint: runs every request that it receives and counts the runs.

Request headers: ``Work-Ms`` (run time), ``Status`` (status of the response). Paths
below ``/__`` are for the platform and for tests: ``/__state``, ``/__runs``,
``/__faults``, ``/__reboot``.
"""

import json
from collections import Counter

import attrs

from .server import HttpServer
from .standvms import json_response, STATE_LIVE, STATE_REBOOTING
from .wire import HttpResponse

DEFAULT_WORK_MS = 5
MODE_NORMAL = "normal"
MODE_HALF = "half"
MODE_WRONG_ID = "wrong-id"
MODE_FAIL = "fail"
MODE_BLACK_HOLE = "black-hole"
MODE_CLOSE_BEFORE = "close-before"
MODE_CLOSE_AFTER = "close-after"
MODES = (
    MODE_NORMAL,
    MODE_HALF,
    MODE_WRONG_ID,
    MODE_FAIL,
    MODE_BLACK_HOLE,
    MODE_CLOSE_BEFORE,
    MODE_CLOSE_AFTER,
)


@attrs.define
class EndpointCounts:
    """Counts since the process started.

    ``runs`` is by ``Load-Id``, or by request id without one; ``keys`` is by idempotency
    key. ``cut`` is the number of requests that a reboot interrupted.
    """

    runs: Counter = attrs.field(factory=Counter)
    keys: Counter = attrs.field(factory=Counter)
    started: int = 0
    finished: int = 0
    cut: int = 0
    in_flight: int = 0
    most_in_flight: int = 0
    reboots: int = 0


class EndpointStandin:
    """One endpoint that listens on ``address``, a (host, port) pair."""

    def __init__(self, loop, net, name, address):
        self._loop = loop
        self._net = net
        self._name = name
        self._address = address
        self._generation = 0
        self._state = STATE_LIVE
        self._fence = -1
        self._mode = MODE_NORMAL
        self._slow_ms = 0
        self.counts = EndpointCounts()
        self._server = HttpServer(loop, net, self._on_request)
        self._server.listen(*address)

    def _on_request(self, exchange):
        path = exchange.req.path
        if path == "/__state":
            view = {"state": self._state, "fence": self._fence}
            exchange.respond(json_response(view))
        elif path == "/__runs":
            exchange.respond(json_response(attrs.asdict(self.counts)))
        elif path == "/__faults":
            self._set_faults(exchange)
        elif path == "/__reboot":
            self._reboot(exchange)
        elif self._state == STATE_REBOOTING:
            exchange.drop()
        else:
            self._run(exchange)

    def _set_faults(self, exchange):
        faults = json.loads(exchange.req.body)
        mode = faults.get("mode", self._mode)
        if mode not in MODES:
            exchange.respond(json_response({"error": "mode", "allowed": MODES}, 400))
            return
        self._mode = mode
        self._slow_ms = faults.get("slow_ms", self._slow_ms)
        exchange.respond(json_response({"mode": mode, "slow_ms": self._slow_ms}))

    def _reboot(self, exchange):
        order = json.loads(exchange.req.body)
        if order["fence"] > self._fence:
            self.counts.cut += self.counts.in_flight
            self.counts.in_flight = 0
            self.counts.reboots += 1
            self._generation += 1
            self._fence = order["fence"]
            self._state = STATE_REBOOTING
            self._server.close_all_except(exchange)
            self._loop.call_later(order["ms"] / 1000, self._finish_reboot)
        exchange.respond(json_response({"fence": self._fence}))

    def _finish_reboot(self):
        self._state = STATE_LIVE

    def _run(self, exchange):
        if self._mode == MODE_BLACK_HOLE:
            return
        if self._mode == MODE_CLOSE_BEFORE:
            exchange.drop()
            return
        if self._mode == MODE_FAIL:
            exchange.respond(HttpResponse(500, (), b"failed\n"))
            return
        counts, generation = self.counts, self._generation
        request_id = exchange.req.header("request-id")
        counts.runs[exchange.req.header("load-id", request_id)] += 1
        key = exchange.req.header("idempotency-key")
        if key:
            counts.keys[key] += 1
        counts.started += 1
        counts.in_flight += 1
        counts.most_in_flight = max(counts.most_in_flight, counts.in_flight)
        work_ms = float(exchange.req.header("work-ms", str(DEFAULT_WORK_MS)))

        def finish():
            if generation == self._generation:
                counts.in_flight -= 1
                counts.finished += 1
                self._answer(exchange)

        self._loop.call_later((work_ms + self._slow_ms) / 1000, finish)

    def _answer(self, exchange):
        req = exchange.req
        if self._mode == MODE_CLOSE_AFTER:
            exchange.drop()
            return
        answered_id = req.header("request-id")
        if self._mode == MODE_WRONG_ID:
            answered_id = "another"
        headers = (
            (b"content-type", b"text/plain"),
            (b"request-id", answered_id.encode()),
            (b"endpoint", self._name.encode()),
        )
        body = f"{self._name} ran {answered_id}\n".encode() + req.body
        response = HttpResponse(int(req.header("status", "200")), headers, body)
        if self._mode == MODE_HALF:
            exchange.respond_partially(response)
            return
        exchange.respond(response)
