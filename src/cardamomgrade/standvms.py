"""Stand-in of the platform's VM interface: a lagging list, and reboots.

``GET /vms`` lists the VMs as they were ``lag_ms`` ago. An entry VM that refuses
connections is taken for removed and listed no more; one that is silent is failed.
``POST /vms/NAME/reboot`` with ``{"fence": N}`` reboots an endpoint VM when N is higher
than any fence before.
"""

import json
from collections import deque

import attrs

from .client import Requester
from .wire import HttpRequest, HttpResponse

POLL_S = 0.2
REFUSED = "ECONNREFUSED"
CALL_TIMEOUT_S = 1.0
FAILED_AFTER_POLLS = 3
KIND_ENDPOINT = "endpoint"
KIND_ENTRY = "entry"
STATE_LIVE = "live"
STATE_LEAVING = "leaving"
STATE_REBOOTING = "rebooting"
STATE_FAILED = "failed"
JSON_HEADERS = ((b"content-type", b"application/json"),)


@attrs.define
class ListedVm:
    """A VM as the platform lists it; ``fence`` is that of its last reboot."""

    vm: str
    kind: str
    zone: str
    rack: str
    address: str
    state: str = STATE_LIVE
    fence: int = -1


@attrs.define
class VmFaults:
    """Faults in force; times in ms."""

    vms: str = "up"
    lag_ms: int = 500
    reboot_ms: int = 500
    lose_reboot_answers: int = 0


@attrs.define(eq=False)
class _Watch:
    """What the platform knows of one VM now."""

    listed: ListedVm
    requester: Requester
    misses: int = 0
    removed: bool = False
    highest_fence: int = -1


def json_response(value, status=200):
    """Return a response with a JSON body."""
    return HttpResponse(status, JSON_HEADERS, json.dumps(value).encode())


class VmStandin:
    """Watches VMs, lists them late and reboots endpoints on order."""

    def __init__(self, loop, net, vms):
        self._loop = loop
        self._watches = {
            item.vm: _Watch(item, Requester(loop, net, item.address)) for item in vms
        }
        self._history = deque()
        self.faults = VmFaults()
        loop.call_later(0, self._poll)

    def _poll(self):
        self._loop.call_later(POLL_S, self._poll)
        for watch in self._watches.values():
            self._probe(watch)
        snapshot = [
            attrs.asdict(watch.listed)
            for watch in self._watches.values()
            if not watch.removed
        ]
        self._history.append((self._loop.now(), snapshot))
        horizon = self._loop.now() - self.faults.lag_ms / 1000
        while len(self._history) > 1 and self._history[1][0] <= horizon:
            self._history.popleft()

    def _probe(self, watch):
        path = "/__state" if watch.listed.kind == KIND_ENDPOINT else "/__alive"
        req = HttpRequest("GET", path, ((b"host", b"vm"),))
        watch.requester.request(
            req, lambda result: self._probed(watch, result), CALL_TIMEOUT_S
        )

    def _probed(self, watch, result):
        if not isinstance(result, HttpResponse):
            watch.misses += 1
            if watch.misses >= FAILED_AFTER_POLLS:
                watch.listed.state = STATE_FAILED
                refused = REFUSED in result.detail
                watch.removed = refused and watch.listed.kind == KIND_ENTRY
            return
        watch.misses = 0
        watch.removed = False
        watch.listed.state = STATE_LIVE
        if watch.listed.kind == KIND_ENDPOINT:
            state = json.loads(result.body)
            watch.listed.state = state["state"]
            watch.listed.fence = max(watch.listed.fence, state["fence"])

    def handle(self, exchange):
        """Answer a call under ``/vms``."""
        if self.faults.vms != "up":
            exchange.respond(HttpResponse(503))
        elif exchange.req.method == "GET":
            exchange.respond(json_response(self._history[0][1]))
        else:
            self._reboot(exchange)

    def _reboot(self, exchange):
        parts = exchange.req.path.split("/")
        watch = self._watches.get(parts[2]) if len(parts) == 4 else None
        if watch is None or parts[3] != "reboot":
            exchange.respond(json_response({"error": "unknown VM or call"}, 404))
            return
        fence = json.loads(exchange.req.body)["fence"]
        if fence <= watch.highest_fence:
            exchange.respond(json_response({"fence": watch.highest_fence}, 409))
            return
        watch.highest_fence = fence
        self._send_reboot(watch, fence)
        if self.faults.lose_reboot_answers > 0:
            self.faults.lose_reboot_answers -= 1
            exchange.drop()
            return
        exchange.respond(json_response({"fence": fence}))

    def _send_reboot(self, watch, fence):
        body = json.dumps({"fence": fence, "ms": self.faults.reboot_ms}).encode()
        req = HttpRequest("POST", "/__reboot", ((b"host", b"vm"),), body)

        def done(result):
            if not result and watch.highest_fence == fence:
                self._loop.call_later(POLL_S, lambda: self._send_reboot(watch, fence))

        watch.requester.request(req, done, CALL_TIMEOUT_S)
