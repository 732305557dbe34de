"""The decisions about recent requests, for the operators' explain view."""

from collections import OrderedDict

import attrs

from .entry_events import RequestAnswered
from .journal import note
from .refusal import Reason, Refusal

RECENT_REQUESTS = 1000
DECISIONS_A_REQUEST = 20


MS_PER_S = 1000


@attrs.frozen
class Decision:
    """One event about a request, with its number and name."""

    number: int
    name: str
    event: object


@attrs.frozen
class RequestStory:
    """The decisions about one request, oldest first."""

    request: str
    decisions: tuple


class Recent:
    """Logs, counts and keeps the events of the last requests by request id."""

    def __init__(self, metrics, limit=RECENT_REQUESTS):
        self._metrics = metrics
        self._limit = limit
        self._events = OrderedDict()

    def decide(self, item):
        """Log an event that has a ``request``, count it and keep it."""
        note(item)
        self._metrics.count(type(item).__name__)
        if isinstance(item, RequestAnswered):
            self._metrics.time("answer", item.ms / MS_PER_S)
        events = self._events.get(item.request)
        if events is None:
            events = self._events[item.request] = []
            if len(self._events) > self._limit:
                self._events.popitem(last=False)
        if len(events) < DECISIONS_A_REQUEST:
            events.append(item)

    def find(self, request):
        """Return the kept events of a request, oldest first."""
        return list(self._events.get(request, ()))

    def explain(self, request):
        """Return the RequestStory of a request, or a Refusal."""
        events = self.find(request)
        if not events:
            return Refusal(Reason.UNKNOWN, f"no recent request {request}")
        decisions = (
            Decision(item.NUMBER, type(item).__name__, item) for item in events
        )
        return RequestStory(request, tuple(decisions))
