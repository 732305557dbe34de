"""Replies that an entry generates itself, in place of an endpoint's response."""

import json
import math
from enum import Enum, unique

import attrs

from .refusal import Reason
from .wire import HttpResponse

OUTCOME_HEADER = b"cardamom-outcome"
REQUEST_HEADER = b"cardamom-request"
DEFAULT_RETRY_AFTER_S = 1


@unique
class Outcome(Enum):
    """Whether a request ran, as reported to its caller; the values are on the wire."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    DUPLICATE = "duplicate"
    REFUSED = "refused"


_STATUS = {Outcome.NOT_RUN: 503, Outcome.UNKNOWN: 504, Outcome.DUPLICATE: 409}


@attrs.frozen
class LocalReply:
    """A reply to a request that has no endpoint's response.

    ``status`` is the HTTP status of REFUSED and unused for other outcomes;
    ``retry_after_s`` is used for NOT_RUN only.
    """

    outcome: Outcome
    reason: str
    detail: str = ""
    status: int = 400
    retry_after_s: float = DEFAULT_RETRY_AFTER_S


def not_run(refusal, retry_after_s=DEFAULT_RETRY_AFTER_S):
    """Return the LocalReply of a request that did not run, from a Refusal."""
    return LocalReply(
        Outcome.NOT_RUN,
        refusal.reason.value,
        refusal.detail,
        retry_after_s=retry_after_s,
    )


def unknown_outcome(detail):
    """Return the LocalReply of a request that may have run.

    Bytes of it were sent to an endpoint, but no whole response came back.
    """
    return LocalReply(Outcome.UNKNOWN, Reason.UNKNOWN.value, detail)


def refused(status, detail):
    """Return the LocalReply of an invalid request; ``status`` is its HTTP status."""
    return LocalReply(Outcome.REFUSED, Reason.BAD_VALUE.value, detail, status)


@attrs.frozen
class Body:
    """The JSON body of an entry's own reply."""

    id: str
    outcome: str
    reason: str
    detail: str


def response_for(request_id, reply):
    """Return the HttpResponse of a LocalReply."""
    outcome = reply.outcome.value
    body = Body(request_id, outcome, reply.reason, reply.detail)
    headers = [
        (b"content-type", b"application/json"),
        (OUTCOME_HEADER, outcome.encode()),
        (REQUEST_HEADER, request_id.encode()),
    ]
    if reply.outcome is Outcome.NOT_RUN:
        delay = max(1, math.ceil(reply.retry_after_s))
        headers.append((b"retry-after", str(delay).encode()))
    status = _STATUS.get(reply.outcome, reply.status)
    data = json.dumps(attrs.asdict(body)).encode() + b"\n"
    return HttpResponse(status, tuple(headers), data)
