"""Exchange of fleet records between peers, for entries that cannot reach the log."""

import attrs

from .journal import note
from .mesh_events import RecordsNotKept, RecordsPulled
from .messages import RawRecord, Records, RecordsMissing, RecordsWanted
from .records import STREAM_FLEET
from .ring import Ring

PULL_DELAY_S = 0.2
PULL_TIMEOUT_S = 1.0
MS_PER_S = 1000


@attrs.define(eq=False)
class _Pull:
    """A fetch of records from a peer, up to the offset ``target``."""

    peer: str
    target: int
    noticed_s: float
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
        self._pull = None
        self._missing_reported = {}
        self._ring = Ring()

    def store(self, raw):
        """Store raw fleet records [offset, time in ms, bytes] for peers."""
        self._ring.add([RawRecord(*item) for item in raw])

    def answer(self, message):
        """Return the Records or RecordsMissing that answers a peer's RecordsWanted."""
        batch = self._ring.batch(message.offset)
        if batch is None:
            return RecordsMissing(message.stream, self._ring.earliest)
        return Records(message.stream, batch)

    def notice(self, peer, target):
        """Plan a fetch, as a peer has read the stream up to ``target``.

        It waits for PULL_DELAY_S, in which the records usually arrive from the log; an
        entry that has read nothing yet fetches without that delay.
        """
        now = self._loop.now()
        if self._pull is not None and now < self._pull.expires_s:
            return
        delay_s = PULL_DELAY_S if self._own_offset() else 0.0
        self._pull = _Pull(peer, target, now, now + delay_s + PULL_TIMEOUT_S)
        self._loop.call_later(delay_s, self._fetch)

    def _own_offset(self):
        return self._hooks.status().offset

    def _fetch(self):
        pull, own_offset = self._pull, self._own_offset()
        if pull is None:
            return
        pull.expires_s = self._loop.now() + PULL_TIMEOUT_S
        wanted = RecordsWanted(STREAM_FLEET, own_offset)
        if own_offset >= pull.target or not self._send(pull.peer, wanted):
            self._pull = None

    def take(self, peer, message):
        """Deliver the records that a peer sent; request more until none are missing."""
        before = self._own_offset()
        raw = [[item.offset, item.time_ms, item.data] for item in message.records]
        self._hooks.on_raw(message.stream, raw)
        count = self._own_offset() - before
        pull = self._pull
        if pull is None or pull.peer != peer:
            return
        if count <= 0:
            self._pull = None
            return
        behind_ms = int((self._loop.now() - pull.noticed_s) * MS_PER_S)
        note(RecordsPulled(peer, message.stream, before, count, behind_ms))
        self._fetch()

    def missing(self, peer, message):
        """End the fetch, as the peer no longer stores the requested records."""
        self._pull = None
        if self._missing_reported.get(peer) != self._own_offset():
            self._missing_reported[peer] = self._own_offset()
            wanted = self._own_offset()
            note(RecordsNotKept(peer, message.stream, wanted, message.earliest))
        self._hooks.on_missing(message.stream, message.earliest)
