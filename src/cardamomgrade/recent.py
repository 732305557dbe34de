"""Events of recent requests, for the operators' explain view."""

from collections import OrderedDict

import attrs

from .entry_events import RequestAnswered
from .journal import log_event
from .refusal import Reason, Refusal

REQUESTS_LIMIT = 1000
EVENTS_PER_REQUEST_LIMIT = 20
MS_PER_S = 1000


@attrs.frozen
class Decision:
    """One event of a request, with its number and name."""

    number: int
    name: str
    event: object


@attrs.frozen
class RequestExplanation:
    """The events of one request, oldest first."""

    request: str
    decisions: tuple


class RequestHistory:
    """Logs and counts request events and keeps those of the last ``limit`` requests."""

    def __init__(self, metrics, limit=REQUESTS_LIMIT):
        self._metrics = metrics
        self._limit = limit
        self._events = OrderedDict()

    def record(self, item):
        """Log, count and keep an event that has a ``request`` id.

        Of each request the first EVENTS_PER_REQUEST_LIMIT events are kept.
        """
        log_event(item)
        self._metrics.count(type(item).__name__)
        if isinstance(item, RequestAnswered):
            self._metrics.time("answer", item.ms / MS_PER_S)
        events = self._events.get(item.request)
        if events is None:
            events = self._events[item.request] = []
            if len(self._events) > self._limit:
                self._events.popitem(last=False)
        if len(events) < EVENTS_PER_REQUEST_LIMIT:
            events.append(item)

    def find(self, request):
        """Return the kept events of a request, oldest first."""
        return list(self._events.get(request, ()))

    def explain(self, request):
        """Return the RequestExplanation of a request id, or a Refusal without one."""
        events = self.find(request)
        if not events:
            return Refusal(Reason.UNKNOWN, f"no recent request {request}")
        decisions = (
            Decision(item.NUMBER, type(item).__name__, item) for item in events
        )
        return RequestExplanation(request, tuple(decisions))
