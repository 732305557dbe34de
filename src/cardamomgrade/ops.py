"""HTTP server and client for operators: JSON views, protected by the shared key.

A request without valid credentials gets a 401 response with a nonce in the header
``WWW-Authenticate: Cardamom NONCE``. The client repeats the request with
``Authorization: Cardamom NONCE:HMAC``; the HMAC covers nonce, method and target.
"""

import json
from enum import Enum
from urllib.parse import parse_qsl, urlsplit

import attrs

from .auth import authorization, NonceBook, SCHEME
from .client import Requester
from .errors import PeerError
from .journal import event, log_event
from .net import Net, parse_address
from .refusal import Reason, Refusal
from .server import HttpServer, ServerLimits
from .wire import HttpRequest, HttpResponse

OPS_LIMITS = ServerLimits(body_bytes=4096, connections=32)
JSON_HEADER = (b"content-type", b"application/json")
_STATUSES = {
    Reason.UNAVAILABLE: 503,
    Reason.UNKNOWN: 404,
    Reason.BAD_VALUE: 400,
}


@event(250)
class OpsRefused:
    """An operator's request was refused because its credentials were not valid."""

    peer: str
    path: str


@event(251)
class OpsListening:
    """The server is listening on the operators' address."""

    address: str


@attrs.frozen
class Query:
    """The query parameters of a request as (name, value) pairs."""

    pairs: tuple = ()

    def get(self, name, default=""):
        """Return the first value of a parameter, or ``default``."""
        return next((value for key, value in self.pairs if key == name), default)


@attrs.frozen
class Health:
    """View of ``/health``; a process that answers is healthy."""

    status: str = "ok"


def to_json(value):
    """Convert attrs instances, enums, bytes and containers to plain data for JSON."""
    if isinstance(value, Refusal):
        return {"reason": value.reason.value, "detail": value.detail}
    if attrs.has(type(value)):
        names = [field.name for field in attrs.fields(type(value))]
        return {name: to_json(getattr(value, name)) for name in names}
    if isinstance(value, dict):
        return {str(key): to_json(item) for key, item in value.items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [to_json(item) for item in value]
    if isinstance(value, Enum):
        return value.value
    return value.hex() if isinstance(value, bytes) else value


def json_response(status, value, headers=()):
    """Return a response whose body is ``value`` as JSON."""
    body = json.dumps(to_json(value)).encode() + b"\n"
    return HttpResponse(status, (JSON_HEADER, *headers), body)


class OpsServer:
    """HTTP server for JSON views on the operators' address.

    ``views`` maps a path to a function that is given a Query and returns an attrs
    instance, a dict or a Refusal. A Refusal gives status 400, 404 or 503, depending
    on its reason.
    """

    def __init__(self, loop, address, key, views, net=None):
        self._loop = loop
        self._key = key
        self._views = {"/health": lambda query: Health(), **views}
        self._nonces = NonceBook()
        self._server = HttpServer(
            loop, net or Net(loop), self._on_request, OPS_LIMITS, _bad_request
        )
        host, port = parse_address(address)
        self.port = self._server.listen(host, port)
        log_event(OpsListening(f"{host}:{self.port}"))

    def _on_request(self, exchange):
        req = exchange.req
        header = req.header("authorization")
        now = self._loop.now()
        if self._nonces.admits(self._key, header, req.method, req.target, now):
            exchange.respond(self._response(req))
            return
        if header:
            log_event(OpsRefused(exchange.peer[0], req.path))
        challenge = f"{SCHEME} {self._nonces.issue(now)}".encode()
        refusal = Refusal(Reason.BAD_VALUE, "the shared key is needed")
        headers = ((b"www-authenticate", challenge),)
        exchange.respond(json_response(401, refusal, headers))

    def _response(self, req):
        view = self._views.get(req.path)
        if view is None:
            return json_response(404, Refusal(Reason.UNKNOWN, "no such page"))
        if req.method not in ("GET", "HEAD"):
            return json_response(405, Refusal(Reason.BAD_VALUE, "only GET"))
        pairs = parse_qsl(urlsplit(req.target).query, keep_blank_values=True)
        value = view(Query(tuple(pairs)))
        if isinstance(value, Refusal):
            return json_response(_STATUSES.get(value.reason, 400), value)
        return json_response(200, value)


def _bad_request(status, detail):
    return json_response(status, Refusal(Reason.BAD_VALUE, detail))


class OpsClient:
    """HTTP client for the views of one operators' address."""

    def __init__(self, loop, net, address, key):
        self._requester = Requester(loop, net, address)
        self._host = address.encode()
        self._key = key

    def get(self, target, on_done, timeout):
        """Request a view; call ``on_done`` with an HttpResponse, Failure or PeerError.

        ``timeout`` in seconds applies to each of the two requests, the one that gets
        the nonce and the authenticated one.
        """

        def challenged(result):
            if not isinstance(result, HttpResponse) or result.status != 401:
                on_done(result)
                return
            scheme, _, nonce = result.header("www-authenticate").partition(" ")
            if scheme != SCHEME:
                on_done(PeerError(f"no {SCHEME} nonce in the WWW-Authenticate header"))
                return
            value = authorization(self._key, nonce, "GET", target)
            self._send(target, on_done, timeout, (b"authorization", value.encode()))

        self._send(target, challenged, timeout)

    def _send(self, target, on_done, timeout, *headers):
        req = HttpRequest("GET", target, ((b"host", self._host), *headers))
        self._requester.request(req, on_done, timeout)
