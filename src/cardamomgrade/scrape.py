"""Serves a process's metrics to scrapers, without credentials."""

from .exposition import to_text
from .net import parse_address
from .server import HttpServer, plain_response, ServerLimits
from .wire import HttpResponse

LIMITS = ServerLimits(body_bytes=1024, connections=8)
CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")


class ScrapeServer:
    """Answers GET of one path; ``gauges()`` returns numbers by name as of now."""

    def __init__(self, loop, net, recorded, gauges):
        self._recorded = recorded
        self._gauges = gauges
        self._path = ""
        self._server = HttpServer(loop, net, self._on_request, LIMITS)

    def listen(self, address, path):
        """Listen on ``ip:port``; return the port that was bound."""
        self._path = path
        return self._server.listen(*parse_address(address))

    def close(self):
        """Drop the scrapers' connections."""
        self._server.drop_others(None)

    def _on_request(self, exchange):
        if exchange.req.method != "GET" or exchange.req.path != self._path:
            exchange.respond(plain_response(404, "no such page"))
            return
        body = to_text(self._recorded, self._gauges())
        exchange.respond(HttpResponse(200, (CONTENT_TYPE,), body))
