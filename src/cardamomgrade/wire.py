"""HTTP/1.1 messages, and the checks that client and server share."""

import attrs
import h11

from .errors import WireError

HEAD_LIMIT_BYTES = 16 * 1024
HEADER_LIMIT = 128  # parsed headers take up to 35 times the memory of the head
BODY_LIMIT_BYTES = 1024 * 1024
HEAD_END = b"\r\n\r\n"
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_BODILESS_STATUS = (204, 304)


@attrs.frozen
class HttpRequest:
    """A complete request; ``headers`` are (name, value) bytes, names in lower case."""

    method: str
    target: str
    headers: tuple = ()
    body: bytes = b""

    @property
    def path(self):
        """The request target without its query string."""
        return self.target.partition("?")[0]

    def header(self, name, default=""):
        """Return the first value of a header as text."""
        return find_header(self.headers, name, default)


@attrs.frozen
class HttpResponse:
    """A complete response; ``headers`` are (name, value) bytes, names in lower case."""

    status: int
    headers: tuple = ()
    body: bytes = b""

    def header(self, name, default=""):
        """Return the first value of a header as text."""
        return find_header(self.headers, name, default)


@attrs.frozen
class BadHead:
    """The status and detail with which a malformed request head is refused."""

    status: int
    detail: str


def find_header(headers, name, default=""):
    """Return the first value of header ``name`` as text, or ``default``."""
    wanted = name.lower().encode("ascii")
    for key, value in headers:
        if key == wanted:
            return value.decode("latin-1")
    return default


def end_to_end_headers(headers):
    """Return the headers that an intermediary forwards (RFC 9110, section 7.6.1)."""
    listed = set()
    for name, value in headers:
        if name == b"connection":
            listed.update(item.strip().lower() for item in value.split(b","))
    dropped = HOP_BY_HOP | listed
    return tuple(pair for pair in headers if pair[0] not in dropped)


def check_head(data):
    """Return a BadHead when the raw request head in ``data`` is ambiguous, else None.

    ``data`` starts at the request line and contains the complete head.
    """
    head = data[: data.index(HEAD_END)]
    lines = head.split(b"\r\n")
    if len(lines) - 1 > HEADER_LIMIT:
        return BadHead(431, "too many headers")
    if any(b"\r" in line or b"\n" in line for line in lines):
        return BadHead(400, "bare CR or LF in the head")
    if any(line[:1] in (b" ", b"\t") for line in lines[1:]):
        return BadHead(400, "folded header")
    names = [line.partition(b":")[0].lower() for line in lines[1:]]
    lengths = names.count(b"content-length")
    codings = names.count(b"transfer-encoding")
    if lengths > 1 or codings > 1:
        return BadHead(400, "repeated length or transfer coding")
    if lengths and codings:
        return BadHead(400, "both content-length and transfer-encoding")
    return None


def has_body(method, status):
    """Return whether a response with ``status`` to ``method`` carries a body."""
    return method != "HEAD" and status not in _BODILESS_STATUS


def request_bytes(req):
    """Return (h11 client connection, bytes) of a request.

    The connection is the one to parse the response with. Raises WireError when the
    request is not valid HTTP.
    """
    conn = h11.Connection(h11.CLIENT)
    headers = list(req.headers)
    if req.body or req.method in ("POST", "PUT", "PATCH"):
        headers = [pair for pair in headers if pair[0] != b"content-length"]
        headers.append((b"content-length", str(len(req.body)).encode()))
    try:
        head = conn.send(
            h11.Request(method=req.method, target=req.target, headers=headers)
        )
        body = conn.send(h11.Data(data=req.body)) if req.body else b""
        end = conn.send(h11.EndOfMessage())
    except h11.LocalProtocolError as exc:
        raise WireError(f"request is not valid HTTP: {exc}") from exc
    return conn, head + body + end


def response_headers(response):
    """Return the end-to-end headers of a response with its content-length.

    A 204 or 304 response gets no content-length.
    """
    headers = end_to_end_headers(response.headers)
    if response.status in _BODILESS_STATUS:
        return [pair for pair in headers if pair[0] != b"content-length"]
    if any(name == b"content-length" for name, _ in headers):
        return list(headers)
    return [*headers, (b"content-length", str(len(response.body)).encode())]
