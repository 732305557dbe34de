"""Stand-in for the platform's VM interface: a delayed VM list, and reboots.

``GET /vms`` lists the VMs as they were ``lag_ms`` ago. A VM that does not respond to
several polls is listed as failed; an entry VM that refuses connections counts as
removed and is not listed. ``POST /vms/NAME/reboot`` with ``{"fence": N}`` reboots an
endpoint VM when N is higher than every earlier fence of the VM.
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
    """A VM in the list; ``fence`` is the one of its last reboot, -1 before any."""

    vm: str
    kind: str
    zone: str
    rack: str
    address: str
    state: str = STATE_LIVE
    fence: int = -1


@attrs.define
class VmFaults:
    """Faults to inject.

    ``vms`` other than ``up`` makes every response a 503. ``lag_ms`` is the age of the
    list and ``reboot_ms`` the length of a reboot. ``lose_reboot_answers`` is the number
    of coming reboots whose connection is closed instead of a response.
    """

    vms: str = "up"
    lag_ms: int = 500
    reboot_ms: int = 500
    lose_reboot_answers: int = 0


@attrs.define(eq=False)
class _VmStatus:
    """The current state of one VM, before the delay of the list."""

    listed: ListedVm
    requester: Requester
    failed_polls: int = 0
    removed: bool = False
    highest_fence: int = -1


def json_response(value, status=200):
    """Return a response with a JSON body."""
    return HttpResponse(status, JSON_HEADERS, json.dumps(value).encode())


class VmStandin:
    """Polls VMs, serves a delayed list of them and reboots endpoint VMs."""

    def __init__(self, loop, net, vms):
        self._loop = loop
        self._vms = {
            item.vm: _VmStatus(item, Requester(loop, net, item.address)) for item in vms
        }
        self._history = deque()
        self.faults = VmFaults()
        loop.call_later(0, self._poll)

    def _poll(self):
        self._loop.call_later(POLL_S, self._poll)
        for vm in self._vms.values():
            self._probe(vm)
        snapshot = [
            attrs.asdict(vm.listed) for vm in self._vms.values() if not vm.removed
        ]
        self._history.append((self._loop.now(), snapshot))
        horizon = self._loop.now() - self.faults.lag_ms / 1000
        while len(self._history) > 1 and self._history[1][0] <= horizon:
            self._history.popleft()

    def _probe(self, vm):
        path = "/__state" if vm.listed.kind == KIND_ENDPOINT else "/__alive"
        req = HttpRequest("GET", path, ((b"host", b"vm"),))
        vm.requester.request(
            req, lambda result: self._on_probe(vm, result), CALL_TIMEOUT_S
        )

    def _on_probe(self, vm, result):
        if not isinstance(result, HttpResponse):
            vm.failed_polls += 1
            if vm.failed_polls >= FAILED_AFTER_POLLS:
                vm.listed.state = STATE_FAILED
                refused = REFUSED in result.detail
                vm.removed = refused and vm.listed.kind == KIND_ENTRY
            return
        vm.failed_polls = 0
        vm.removed = False
        vm.listed.state = STATE_LIVE
        if vm.listed.kind == KIND_ENDPOINT:
            state = json.loads(result.body)
            vm.listed.state = state["state"]
            vm.listed.fence = max(vm.listed.fence, state["fence"])

    def handle(self, exchange):
        """Respond to a request below ``/vms``."""
        if self.faults.vms != "up":
            exchange.respond(HttpResponse(503))
        elif exchange.req.method == "GET":
            exchange.respond(json_response(self._history[0][1]))
        else:
            self._reboot(exchange)

    def _reboot(self, exchange):
        parts = exchange.req.path.split("/")
        vm = self._vms.get(parts[2]) if len(parts) == 4 else None
        if vm is None or parts[3] != "reboot":
            exchange.respond(json_response({"error": "unknown VM or call"}, 404))
            return
        fence = json.loads(exchange.req.body)["fence"]
        if fence <= vm.highest_fence:
            exchange.respond(json_response({"fence": vm.highest_fence}, 409))
            return
        vm.highest_fence = fence
        self._send_reboot(vm, fence)
        if self.faults.lose_reboot_answers > 0:
            self.faults.lose_reboot_answers -= 1
            exchange.drop()
            return
        exchange.respond(json_response({"fence": fence}))

    def _send_reboot(self, vm, fence):
        body = json.dumps({"fence": fence, "ms": self.faults.reboot_ms}).encode()
        req = HttpRequest("POST", "/__reboot", ((b"host", b"vm"),), body)

        def done(result):
            if not result and vm.highest_fence == fence:
                self._loop.call_later(POLL_S, lambda: self._send_reboot(vm, fence))

        vm.requester.request(req, done, CALL_TIMEOUT_S)
