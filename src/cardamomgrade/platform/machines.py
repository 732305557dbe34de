"""Client of the platform's interface to the VMs that run executors."""

import json
from urllib.parse import quote

from ..client import Failure, Requester, RequesterPool
from ..jobs.reports import ListedVm, VmOrderResult
from ..refusal import Reason, Refusal
from ..wire import HttpRequest
from .checks import is_int, is_name, is_text, parse_object

CALL_TIMEOUT_S = 1.0  # the platform answers in ms, but has slow phases of seconds
ORDER_CONNECTIONS = 8  # an order takes about 12 ms, hundreds may be due in a second
LIST_LIMIT_BYTES = 8 * 1024 * 1024
PAGES_LIMIT = 1000  # of one list, so that a token that repeats does not go on for ever
_CONFLICTS = {
    "fence": VmOrderResult.FENCED,
    "busy": VmOrderResult.BUSY,
    "wave": VmOrderResult.NOT_IN_WAVE,
}


def _decode_page(body):
    """Return (list of ListedVm, token of the next page or ""); raise ValueError."""
    fields = parse_object(body)
    items, token = fields.get("machines"), fields.get("nextToken")
    if token is None:
        token = ""
    if not isinstance(items, list) or not (is_text(token) or is_int(token)):
        raise ValueError("no list of machines, or a token that is no text")
    return [_listed_vm(item) for item in items], str(token)


def _listed_vm(item):
    if not isinstance(item, dict):
        raise ValueError("a machine is no table")
    executor = item.get("id") or ""
    texts = (item.get("pool"), item.get("state"), executor)
    if not is_name(item.get("machine")) or not all(map(is_text, texts)):
        raise ValueError("a machine lacks a field or has one of the wrong type")
    return ListedVm(item["machine"], *texts)


class MachinesClient:
    """Lists the VMs and orders upkeeps and moves under one scheduler's epoch."""

    def __init__(self, loop, net, address, node, epoch):
        self._lists = Requester(loop, net, address, LIST_LIMIT_BYTES)
        self._orders = RequesterPool(loop, net, address, ORDER_CONNECTIONS)
        self._host = (b"host", address.encode())
        self._headers = (
            self._host,
            (b"content-type", b"application/json"),
            (b"x-lease-holder", node.encode()),
            (b"x-fencing-token", str(epoch).encode()),
        )

    def close(self):
        """Drop the connections; calls in flight make no callback."""
        self._lists.close()
        self._orders.close()

    def list_vms(self, on_done):
        """Call ``on_done`` with a tuple of ListedVm, or a Refusal."""
        self._fetch_page("", [], on_done, PAGES_LIMIT)

    def _fetch_page(self, token, vms, on_done, pages_left):
        def done(res):
            if isinstance(res, Failure) or res.status != 200:
                detail = res.detail if isinstance(res, Failure) else res.status
                on_done(Refusal(Reason.UNAVAILABLE, f"VM list: {detail}"))
                return
            try:
                page, next_token = _decode_page(res.body)
            except ValueError as exc:
                on_done(Refusal(Reason.BAD_VALUE, f"VM list: {exc!r}"))
                return
            vms.extend(page)
            if next_token and not pages_left:
                on_done(Refusal(Reason.BAD_VALUE, "VM list: too many pages"))
            elif next_token:
                self._fetch_page(next_token, vms, on_done, pages_left - 1)
            else:
                on_done(tuple(vms))

        target = "/api/machines" + (f"?pageToken={quote(token)}" if token else "")
        req = HttpRequest("GET", target, (self._host,))
        self._lists.request(req, done, CALL_TIMEOUT_S)

    def upkeep(self, vm, wave, on_done):
        """Order the upkeep of a VM; call ``on_done(VmOrderResult)``."""
        fields = {"machine": vm, "wave": wave}
        self._order("/api/machine-upkeep", fields, on_done)

    def move(self, vm, pool, on_done):
        """Order that a VM joins another pool; call ``on_done(VmOrderResult)``."""
        self._order("/api/machine-move", {"machine": vm, "pool": pool}, on_done)

    def _order(self, path, fields, on_done):
        body = json.dumps(fields).encode()
        req = HttpRequest("POST", path, self._headers, body)
        self._orders.request(
            req, lambda res: on_done(_order_result(res)), CALL_TIMEOUT_S
        )


def _order_result(res):
    if isinstance(res, Failure):
        return VmOrderResult.NO_ANSWER if res.sent else VmOrderResult.NOT_DONE
    if res.status == 200:
        return VmOrderResult.DONE
    if res.status == 409:
        try:
            reason = parse_object(res.body).get("reason")
        except ValueError:
            reason = ""
        known = isinstance(reason, str)
        return _CONFLICTS.get(reason if known else "", VmOrderResult.REJECTED)
    if res.status in (429, 503):
        return VmOrderResult.NOT_DONE
    if res.status == 400:
        return VmOrderResult.REJECTED
    return VmOrderResult.NO_ANSWER
