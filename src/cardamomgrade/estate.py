"""Client of the platform's VM interface: the VM list, which may lag, and reboots."""

import json
import sys

import attrs

from .client import Requester
from .errors import PlatformError
from .refusal import Reason, Refusal
from .wire import HttpRequest, HttpResponse

LIST_TIMEOUT_S = 2.0
REBOOT_TIMEOUT_S = 3.0
LIST_LIMIT_BYTES = 8 * 1024 * 1024
KINDS = ("endpoint", "entry")
STATES = ("live", "leaving", "rebooting", "failed")
_TEXT_FIELDS = ("vm", "kind", "zone", "rack", "address", "state")


@attrs.frozen
class ListedVm:
    """A VM in the platform's list; ``fence`` is that of its last reboot."""

    vm: str
    kind: str
    zone: str
    rack: str
    address: str
    state: str
    fence: int


@attrs.frozen
class RebootAccepted:
    """The platform accepted a reboot with ``fence``."""

    vm: str
    fence: int


def parse_list(body):
    """Return {name: ListedVm} of a VM list in JSON.

    Raises PlatformError when ``body`` is not a valid VM list.
    """
    try:
        items = json.loads(body)
        listed = [_parse_item(item) for item in items]
    except (ValueError, TypeError, KeyError) as exc:
        raise PlatformError(f"VM list: {exc!r}") from exc
    by_name = {item.vm: item for item in listed}
    if len(by_name) != len(listed):
        raise PlatformError("VM list: a VM is listed twice")
    return by_name


def _parse_item(item):
    text_values = [sys.intern(item[name]) for name in _TEXT_FIELDS]
    listed = ListedVm(*text_values, item["fence"])
    if listed.kind not in KINDS or listed.state not in STATES:
        raise ValueError(
            f"VM {listed.vm}: unknown kind {listed.kind!r} or state {listed.state!r}"
        )
    if not isinstance(listed.fence, int) or isinstance(listed.fence, bool):
        raise ValueError(f"VM {listed.vm}: fence is not an integer")
    return listed


class PlatformClient:
    """Client of the platform; each call reports its outcome exactly once.

    ``list_bytes`` is the size of the last VM list as received.
    """

    def __init__(self, loop, net, address):
        self._reads = Requester(loop, net, address, LIST_LIMIT_BYTES)
        self._reboots = Requester(loop, net, address)
        self._host = ((b"host", address.encode()),)
        self.list_bytes = 0

    def list_vms(self, on_done):
        """Request the VM list; call ``on_done`` with {name: ListedVm} or a Refusal."""

        def done(result):
            if not isinstance(result, HttpResponse) or result.status != 200:
                on_done(_failed_call(result))
                return
            self.list_bytes = len(result.body)
            try:
                listed = parse_list(result.body)
            except PlatformError as exc:
                listed = Refusal(Reason.BAD_VALUE, str(exc))
            on_done(listed)

        self._reads.request(
            HttpRequest("GET", "/vms", self._host), done, LIST_TIMEOUT_S
        )

    def reboot(self, vm, fence, on_done):
        """Request a reboot; call ``on_done`` with RebootAccepted or a Refusal.

        ``Reason.OUTDATED``: the platform has seen this or a higher fence;
        ``UNAVAILABLE``: the request had no effect; ``UNKNOWN``: it may have had one.
        """

        def done(result):
            if isinstance(result, HttpResponse) and result.status == 200:
                on_done(RebootAccepted(vm, fence))
            elif isinstance(result, HttpResponse) and result.status == 409:
                on_done(Refusal(Reason.OUTDATED, f"{vm}: fence {fence} is not newer"))
            else:
                on_done(_failed_call(result))

        body = json.dumps({"fence": fence}).encode()
        headers = (*self._host, (b"content-type", b"application/json"))
        req = HttpRequest("POST", f"/vms/{vm}/reboot", headers, body)
        self._reboots.request(req, done, REBOOT_TIMEOUT_S)


def _failed_call(result):
    if isinstance(result, HttpResponse):
        return Refusal(
            Reason.UNAVAILABLE, f"platform responded with status {result.status}"
        )
    reason = Reason.UNKNOWN if result.sent else Reason.UNAVAILABLE
    return Refusal(reason, result.detail)
