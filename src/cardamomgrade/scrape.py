"""HTTP server for the metrics of a process; it requires no authentication."""

from .exposition import to_text
from .net import parse_address
from .server import HttpServer, plain_response, ServerLimits
from .wire import HttpResponse

LIMITS = ServerLimits(body_bytes=1024, connections=8)
CONTENT_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")


class ScrapeServer:
    """Serves GET requests for one path; ``gauges()`` returns current values by name."""

    def __init__(self, loop, net, metrics, gauges):
        self._metrics = metrics
        self._gauges = gauges
        self._path = ""
        self._server = HttpServer(loop, net, self._on_request, LIMITS)

    def listen(self, address, path):
        """Listen on ``ip:port``; return the port that was bound."""
        self._path = path
        return self._server.listen(*parse_address(address))

    def close(self):
        """Close all connections of scrapers."""
        self._server.close_all_except(None)

    def _on_request(self, exchange):
        if exchange.req.method != "GET" or exchange.req.path != self._path:
            exchange.respond(plain_response(404, "no such page"))
            return
        body = to_text(self._metrics, self._gauges())
        exchange.respond(HttpResponse(200, (CONTENT_TYPE,), body))
