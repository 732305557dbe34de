"""Exchange of fleet records between peers, for entries that cannot reach the log."""

import attrs

from .journal import log_event
from .mesh_events import RecordsNotKept, RecordsPulled
from .messages import RawRecord, Records, RecordsMissing, RecordsWanted
from .records import STREAM_FLEET
from .ring import Ring

FETCH_DELAY_S = 0.2
FETCH_TIMEOUT_S = 1.0
MS_PER_S = 1000


@attrs.define(eq=False)
class _Fetch:
    """A fetch of records from a peer, up to the offset ``target``."""

    peer: str
    target: int
    planned_s: float
    expires_s: float


class CatchUp:
    """Serves recent records to peers and fetches missing ones from them.

    ``hooks`` is the MeshHooks of the entry. ``send(peer, message)`` returns whether
    there is a link to the peer.
    """

    def __init__(self, loop, hooks, send):
        self._loop = loop
        self._hooks = hooks
        self._send = send
        self._fetch = None
        self._missing_reported = {}
        self._ring = Ring()

    def store(self, raw):
        """Store raw fleet records [offset, time in ms, bytes] for peers."""
        self._ring.add([RawRecord(*item) for item in raw])

    def response_to(self, message):
        """Return the Records or RecordsMissing that answers a peer's RecordsWanted."""
        batch = self._ring.batch(message.offset)
        if batch is None:
            return RecordsMissing(message.stream, self._ring.earliest)
        return Records(message.stream, batch)

    def plan_fetch(self, peer, target):
        """Plan a fetch, as a peer has read the stream up to ``target``.

        It starts after FETCH_DELAY_S, in which the records usually arrive from the log;
        an entry that has read nothing yet fetches without that delay.
        """
        now = self._loop.now()
        if self._fetch is not None and now < self._fetch.expires_s:
            return
        delay_s = FETCH_DELAY_S if self._own_offset() else 0.0
        self._fetch = _Fetch(peer, target, now, now + delay_s + FETCH_TIMEOUT_S)
        self._loop.call_later(delay_s, self._request_records)

    def _own_offset(self):
        return self._hooks.status().offset

    def _request_records(self):
        fetch, own_offset = self._fetch, self._own_offset()
        if fetch is None:
            return
        fetch.expires_s = self._loop.now() + FETCH_TIMEOUT_S
        wanted = RecordsWanted(STREAM_FLEET, own_offset)
        if own_offset >= fetch.target or not self._send(fetch.peer, wanted):
            self._fetch = None

    def on_records(self, peer, message):
        """Pass on the records that a peer sent; request more until none are missing."""
        before = self._own_offset()
        raw = [[item.offset, item.time_ms, item.data] for item in message.records]
        self._hooks.on_raw(message.stream, raw)
        count = self._own_offset() - before
        fetch = self._fetch
        if fetch is None or fetch.peer != peer:
            return
        if count <= 0:
            self._fetch = None
            return
        behind_ms = int((self._loop.now() - fetch.planned_s) * MS_PER_S)
        log_event(RecordsPulled(peer, message.stream, before, count, behind_ms))
        self._request_records()

    def on_records_missing(self, peer, message):
        """End the fetch, as the peer no longer stores the requested records."""
        self._fetch = None
        if self._missing_reported.get(peer) != self._own_offset():
            self._missing_reported[peer] = self._own_offset()
            wanted = self._own_offset()
            log_event(RecordsNotKept(peer, message.stream, wanted, message.earliest))
        self._hooks.on_missing(message.stream, message.earliest)
