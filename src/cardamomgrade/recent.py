"""The decisions about recent requests, for the operators' explain view."""

from collections import OrderedDict

from .journal import note

RECENT_REQUESTS = 1000
DECISIONS_A_REQUEST = 20


class Recent:
    """Keeps the events of the last requests by request id."""

    def __init__(self, limit=RECENT_REQUESTS):
        self._limit = limit
        self._events = OrderedDict()

    def decide(self, item):
        """Log an event that has a ``request`` and keep it."""
        note(item)
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
