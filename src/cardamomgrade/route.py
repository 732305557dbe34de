"""What is derived from a caller's request before it is queued or sent."""

import secrets

import attrs

from .claim import claim_key, KEY_LIMIT_CHARS
from .outcome import refused, Verdict
from .retry import may_repeat
from .wire import end_to_end_headers, HttpRequest

DEADLINE_HEADER = "deadline-ms"
KEY_HEADER = "idempotency-key"
CALLER_HEADER = "caller"
ID_BYTES = 8
_REPLACED = (b"request-id", b"content-length", b"expect")


@attrs.define(eq=False)
class Job:
    """One request of a caller; times are seconds of the loop's clock.

    ``sent`` tells whether a byte of it was handed to any endpoint. ``answer`` is an
    endpoint's error answer, kept while another endpoint is tried.
    """

    id: str
    exchange: object
    service: object
    caller: str
    started: float
    deadline: float
    repeatable: bool
    key: bytes | None = None
    owned: bool = False
    sent: bool = False
    done: bool = False
    gone: bool = False
    tried: list = attrs.field(factory=list)
    answer: object = None
    waiting: object = None
    attempt: object = None
    timer: object = None


def new_request_id(seat):
    """Return an id that no other request has."""
    return f"{seat}-{secrets.token_hex(ID_BYTES)}"


def find_service(bundle, path):
    """Return the service with the longest prefix of ``path``, or None."""
    best = None
    for service in bundle.services.values():
        if _under(path, service.path) and (
            best is None or len(service.path) > len(best.path)
        ):
            best = service
    return best


def _under(path, prefix):
    if not path.startswith(prefix):
        return False
    return prefix.endswith("/") or path[len(prefix) : len(prefix) + 1] in ("", "/")


def deadline_ms(service, req):
    """Return the shorter of the service's and the caller's deadline, or a Verdict."""
    text = req.header(DEADLINE_HEADER)
    if not text:
        return service.deadline_ms
    if not text.isascii() or not text.isdigit() or len(text) > 9 or not int(text):
        return refused(400, "Deadline-Ms is not a positive number of milliseconds")
    return min(service.deadline_ms, int(text))


def key_of(service, req):
    """Return the digest of the request's idempotency key, None or a Verdict."""
    values = [value for name, value in req.headers if name == KEY_HEADER.encode()]
    if not values:
        return None
    if len(values) > 1 or not 0 < len(values[0]) <= KEY_LIMIT_CHARS:
        return refused(400, f"Idempotency-Key has not 1 to {KEY_LIMIT_CHARS} bytes")
    return claim_key(service.name, values[0].decode("latin-1"))


def open_job(bundle, exchange, request_id, now):
    """Return the Job of a request, or the Verdict that it is refused."""
    req = exchange.req
    service = find_service(bundle, req.path)
    if service is None:
        return refused(404, "no service has this path")
    limit_ms = deadline_ms(service, req)
    if isinstance(limit_ms, Verdict):
        return limit_ms
    key = key_of(service, req)
    if isinstance(key, Verdict):
        return key
    return Job(
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
        pair for pair in end_to_end_headers(req.headers) if pair[0] not in _REPLACED
    ]
    if not req.header("host"):
        headers.append((b"host", address.encode()))
    headers.append((b"request-id", request_id.encode()))
    return HttpRequest(req.method, req.target, tuple(headers), req.body)
