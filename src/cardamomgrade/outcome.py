"""The answers that an entry gives in place of an endpoint's."""

import json
import math
from enum import Enum, unique

import attrs

from .refusal import Reason
from .wire import HttpResponse

OUTCOME_HEADER = b"cardamom-outcome"
REQUEST_HEADER = b"cardamom-request"
RETRY_AFTER_S = 1


@unique
class Outcome(Enum):
    """What a caller is told about its request."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    DUPLICATE = "duplicate"
    REFUSED = "refused"


_STATUS = {Outcome.NOT_RUN: 503, Outcome.UNKNOWN: 504, Outcome.DUPLICATE: 409}


@attrs.frozen
class Verdict:
    """Why a request ends without an endpoint's answer.

    ``status`` is used for REFUSED only; ``retry_after_s`` for NOT_RUN only.
    """

    outcome: Outcome
    reason: str
    detail: str = ""
    status: int = 400
    retry_after_s: float = RETRY_AFTER_S


def not_run(refusal, retry_after_s=RETRY_AFTER_S):
    """Return the verdict that a request did not run, from a Refusal."""
    return Verdict(
        Outcome.NOT_RUN,
        refusal.reason.value,
        refusal.detail,
        retry_after_s=retry_after_s,
    )


def may_have_run(detail):
    """Return the verdict that bytes of a request were handed over."""
    return Verdict(Outcome.UNKNOWN, Reason.UNKNOWN.value, detail)


def refused(status, detail):
    """Return the verdict that a request is not acceptable."""
    return Verdict(Outcome.REFUSED, Reason.BAD_VALUE.value, detail, status)


@attrs.frozen
class Body:
    """The JSON body of an answer by an entry."""

    id: str
    outcome: str
    reason: str
    detail: str


def response_for(request_id, verdict):
    """Return the HttpResponse that tells a caller the verdict."""
    outcome = verdict.outcome.value
    body = Body(request_id, outcome, verdict.reason, verdict.detail)
    headers = [
        (b"content-type", b"application/json"),
        (OUTCOME_HEADER, outcome.encode()),
        (REQUEST_HEADER, request_id.encode()),
    ]
    if verdict.outcome is Outcome.NOT_RUN:
        delay = max(1, math.ceil(verdict.retry_after_s))
        headers.append((b"retry-after", str(delay).encode()))
    status = _STATUS.get(verdict.outcome, verdict.status)
    data = json.dumps(attrs.asdict(body)).encode() + b"\n"
    return HttpResponse(status, tuple(headers), data)
