"""Client of the platform's VM interface: its lagging VM list and reboots."""

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
    """A VM as the platform's list shows it; ``fence`` is of its last reboot."""

    vm: str
    kind: str
    zone: str
    rack: str
    address: str
    state: str
    fence: int


@attrs.frozen
class RebootTaken:
    """The platform took a reboot under ``fence``."""

    vm: str
    fence: int


def parse_list(body):
    """Return the ListedVm by name in the bytes of a VM list.

    Raises PlatformError when the bytes are no VM list.
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
    texts = [sys.intern(item[name]) for name in _TEXT_FIELDS]
    listed = ListedVm(*texts, item["fence"])
    if listed.kind not in KINDS or listed.state not in STATES:
        raise ValueError(f"unknown kind or state of {listed.vm}")
    if not isinstance(listed.fence, int) or isinstance(listed.fence, bool):
        raise ValueError(f"fence of {listed.vm} is no number")
    return listed


class Estate:
    """Asks the platform; each call reports its outcome exactly once.

    ``list_bytes`` is the size of the last VM list.
    """

    def __init__(self, loop, net, address):
        self._reads = Requester(loop, net, address, LIST_LIMIT_BYTES)
        self._calls = Requester(loop, net, address)
        self._host = ((b"host", address.encode()),)
        self.list_bytes = 0

    def list_vms(self, on_done):
        """Call ``on_done`` with a dict of ListedVm by name, or a Refusal."""

        def done(result):
            if not isinstance(result, HttpResponse) or result.status != 200:
                on_done(_no_answer(result))
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
        """Call ``on_done`` with RebootTaken or a Refusal.

        ``Reason.OUTDATED``: the platform knows a fence as high; ``UNAVAILABLE``: it
        did nothing; ``UNKNOWN``: it may have taken the call.
        """

        def done(result):
            if isinstance(result, HttpResponse) and result.status == 200:
                on_done(RebootTaken(vm, fence))
            elif isinstance(result, HttpResponse) and result.status == 409:
                on_done(Refusal(Reason.OUTDATED, f"{vm}: fence {fence} is not newer"))
            else:
                on_done(_no_answer(result))

        body = json.dumps({"fence": fence}).encode()
        headers = (*self._host, (b"content-type", b"application/json"))
        req = HttpRequest("POST", f"/vms/{vm}/reboot", headers, body)
        self._calls.request(req, done, REBOOT_TIMEOUT_S)


def _no_answer(result):
    if isinstance(result, HttpResponse):
        return Refusal(Reason.UNAVAILABLE, f"platform answered {result.status}")
    reason = Reason.UNKNOWN if result.sent else Reason.UNAVAILABLE
    return Refusal(reason, result.detail)
