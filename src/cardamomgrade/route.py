"""Matching of a caller's request to a service, with its deadline and key."""

import secrets

import attrs

from .claim import claim_key, KEY_LIMIT_CHARS
from .outcome import LocalReply, refused
from .retry import may_repeat
from .wire import end_to_end_headers, HttpRequest

DEADLINE_HEADER = "deadline-ms"
KEY_HEADER = "idempotency-key"
CALLER_HEADER = "caller"
REQUEST_ID_BYTES = 8
_REPLACED_HEADERS = (b"request-id", b"content-length", b"expect")


@attrs.define(eq=False)
class PendingRequest:
    """A caller's request from its arrival to its end; times are on the loop's clock.

    ``key`` is the digest of its idempotency key; ``owns_key`` is set when this request
    has claimed it. ``sent`` is set when any byte was sent to any endpoint, ``done``
    when it has ended. ``tried`` lists the Candidates it was sent to, and ``attempt`` is
    the one that runs. ``error_response`` is an endpoint's error response, kept while
    another endpoint is tried. ``queued`` is its place in the queue.
    """

    id: str
    exchange: object
    service: object
    caller: str
    received: float
    deadline: float
    repeatable: bool
    key: bytes | None = None
    owns_key: bool = False
    sent: bool = False
    done: bool = False
    caller_left: bool = False
    tried: list = attrs.field(factory=list)
    error_response: object = None
    queued: object = None
    attempt: object = None
    timer: object = None


def new_request_id(seat):
    """Return a random request id that starts with the seat's name."""
    return f"{seat}-{secrets.token_hex(REQUEST_ID_BYTES)}"


def find_service(bundle, path):
    """Return the service whose path is the longest prefix of ``path``, or None."""
    best = None
    for service in bundle.services.values():
        if _path_has_prefix(path, service.path) and (
            best is None or len(service.path) > len(best.path)
        ):
            best = service
    return best


def _path_has_prefix(path, prefix):
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or path[len(prefix) : len(prefix) + 1] in ("", "/")


def deadline_ms(service, req):
    """Return the shorter of the service's and the caller's deadline in ms.

    A Deadline-Ms header that is not a positive number of at most 9 digits gives a
    LocalReply.
    """
    text = req.header(DEADLINE_HEADER)
    if not text:
        return service.deadline_ms
    if not text.isascii() or not text.isdigit() or len(text) > 9 or not int(text):
        return refused(400, "Deadline-Ms is not a positive number of milliseconds")
    return min(service.deadline_ms, int(text))


def key_digest(service, req):
    """Return the digest of the request's idempotency key, or None without one.

    A repeated header or a key of the wrong length gives a LocalReply.
    """
    values = [value for name, value in req.headers if name == KEY_HEADER.encode()]
    if not values:
        return None
    if len(values) > 1 or not 0 < len(values[0]) <= KEY_LIMIT_CHARS:
        return refused(400, f"Idempotency-Key has not 1 to {KEY_LIMIT_CHARS} bytes")
    return claim_key(service.name, values[0].decode("latin-1"))


def admit_request(bundle, exchange, request_id, now):
    """Return the PendingRequest of an exchange, or the LocalReply that refuses it.

    A request with an idempotency key is never repeatable.
    """
    req = exchange.req
    service = find_service(bundle, req.path)
    if service is None:
        return refused(404, "no service has this path")
    limit_ms = deadline_ms(service, req)
    if isinstance(limit_ms, LocalReply):
        return limit_ms
    key = key_digest(service, req)
    if isinstance(key, LocalReply):
        return key
    return PendingRequest(
        request_id,
        exchange,
        service,
        req.header(CALLER_HEADER) or exchange.peer[0],
        now,
        now + limit_ms / 1000,
        key is None and may_repeat(service.retry, req.method),
        key,
    )


def forwarded_request(req, request_id, address):
    """Return the request as it is sent to the endpoint at ``address``."""
    headers = [
        pair
        for pair in end_to_end_headers(req.headers)
        if pair[0] not in _REPLACED_HEADERS
    ]
    if not req.header("host"):
        headers.append((b"host", address.encode()))
    headers.append((b"request-id", request_id.encode()))
    return HttpRequest(req.method, req.target, tuple(headers), req.body)
