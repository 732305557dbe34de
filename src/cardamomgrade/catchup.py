"""Fleet records from peers, for an entry that the log does not reach."""

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
    """Records that are being fetched from a peer up to an offset."""

    peer: str
    target: int
    noticed_s: float
    expires_s: float


class CatchUp:
    """Keeps records for peers and fetches those that this entry lacks.

    ``send(peer, message)`` returns whether there is a link to the peer.
    """

    def __init__(self, loop, hooks, send):
        self._loop = loop
        self._hooks = hooks
        self._send = send
        self._pull = None
        self._refused_by = {}
        self._ring = Ring()

    def keep(self, raw):
        """Keep raw fleet records [offset, time in ms, bytes] for peers."""
        self._ring.add([RawRecord(*item) for item in raw])

    def answer(self, message):
        """Return the answer to a peer's RecordsWanted."""
        batch = self._ring.batch(message.offset)
        if batch is None:
            return RecordsMissing(message.stream, self._ring.earliest)
        return Records(message.stream, batch)

    def notice(self, peer, target):
        """Note that a peer has read the stream up to ``target``.

        The log gets a moment to bring the records before they are fetched.
        """
        now = self._loop.now()
        if self._pull is not None and now < self._pull.expires_s:
            return
        delay_s = PULL_DELAY_S if self._offset() else 0.0
        self._pull = _Pull(peer, target, now, now + delay_s + PULL_TIMEOUT_S)
        self._loop.call_later(delay_s, self._fetch)

    def _offset(self):
        return self._hooks.status().offset

    def _fetch(self):
        pull, own = self._pull, self._offset()
        if pull is None:
            return
        pull.expires_s = self._loop.now() + PULL_TIMEOUT_S
        wanted = RecordsWanted(STREAM_FLEET, own)
        if own >= pull.target or not self._send(pull.peer, wanted):
            self._pull = None

    def take(self, peer, message):
        """Take records that a peer sent, and ask for more while some lack."""
        before = self._offset()
        raw = [[item.offset, item.time_ms, item.data] for item in message.records]
        self._hooks.on_raw(message.stream, raw)
        gained = self._offset() - before
        pull = self._pull
        if pull is None or pull.peer != peer:
            return
        if gained <= 0:
            self._pull = None
            return
        behind_ms = int((self._loop.now() - pull.noticed_s) * MS_PER_S)
        note(RecordsPulled(peer, message.stream, before, gained, behind_ms))
        self._fetch()

    def missing(self, peer, message):
        """Note that a peer no longer keeps the records that were asked for."""
        self._pull = None
        if self._refused_by.get(peer) != self._offset():
            self._refused_by[peer] = self._offset()
            wanted = self._offset()
            note(RecordsNotKept(peer, message.stream, wanted, message.earliest))
        self._hooks.on_missing(message.stream, message.earliest)
