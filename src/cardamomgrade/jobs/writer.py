"""The scheduler's appends: one in flight at a time, numbered within its epoch.

Load pattern: the store performs appends but its answers are lost. Every append contains
a term record with its number, so that reading the topic acknowledges it as well as the
store's answer does, and long before the timeout.
"""

import random

import attrs

from ..journal import event, log_event
from .records import encode, KEY_TERM, TermRecord
from .store import Appended, AppendFate, WriterPosition
from .term import BEAT_S, TERM_TIMEOUT_S

WRITER_NAME = "scheduler"
APPEND_TIMEOUT_S = 0.6  # covers a store that answers 60 times slower than usual
APPEND_RETRY_S = 0.05
FIRST_SEQUENCE_LIMIT = 2**30
MAX_BATCH_BYTES = 512 * 1024  # a quarter of the store's limit for one call


@event(624)
class AppendRetried:
    """An append of the scheduler was not acknowledged; it is repeated until it is."""

    sequence: int
    fate: str
    detail: str


@attrs.define(eq=False)
class _Batch:
    items: list
    callbacks: list
    sequence: int
    sent_at: float
    boot_sent_at: float
    logged: bool = False


class Writer:
    """Stores records in order and calls back once they are acknowledged.

    Every append renews the term by a higher ``beat``, the number of the append; without
    other records one is sent each BEAT_S.
    """

    def __init__(self, loop, client, term, on_deposed, metrics):
        self._loop = loop
        self._metrics = metrics
        self._client = client
        self._epoch = term.epoch
        self._term = term
        self._on_deposed = on_deposed
        self._items = {}
        self._callbacks = []
        self._batch = None
        self._sequence = term.beat
        self._beat_at = loop.now()
        self._stored_at = float("-inf")
        self._closed = False
        self._timer = loop.call_later(BEAT_S, self._beat)

    def close(self):
        """Stop writing; drop records that were not sent."""
        self._closed = True
        self._timer.cancel()

    def store(self, items, on_stored=None):
        """Store (key, value) pairs; call ``on_stored()`` once all are acknowledged.

        A newer value replaces that of the same key if it has not been sent yet.
        """
        self._items.update(items)
        if on_stored is not None:
            self._callbacks.append(on_stored)
        self._flush()

    def holds_term(self):
        """Return whether no other node can schedule yet.

        A candidate waits for TERM_TIMEOUT_S after the newest record of this term, which
        was sent by this time or later. Counts the time of a suspended machine.
        """
        return self._loop.boot_now() - self._stored_at < TERM_TIMEOUT_S

    def drop_unsent(self, key):
        """Drop a record that was not sent yet; return whether there was one."""
        return self._items.pop(key, None) is not None

    def _beat(self):
        if self._closed:
            return
        self._timer = self._loop.call_later(BEAT_S, self._beat)
        if self._loop.now() - self._beat_at >= BEAT_S / 2:
            self.store([])

    def resign(self):
        """Store a term record that ends the term, and stop sending beats."""
        self._timer.cancel()
        self._term = attrs.evolve(self._term, resigned=True)
        self._items[KEY_TERM] = b""
        self._flush()

    def _flush(self):
        if self._closed or self._batch is not None:
            return
        now = self._loop.now()
        if not self._items and not self._callbacks and now - self._beat_at < BEAT_S / 2:
            return
        self._sequence += 1
        self._beat_at = now
        self._items.pop(KEY_TERM, None)
        term = encode(attrs.evolve(self._term, beat=self._sequence))
        items, size = [(KEY_TERM, term)], 0
        for key in list(self._items):
            value = self._items.pop(key)
            items.append((key, value))
            size += len(key) + len(value)
            if size > MAX_BATCH_BYTES:
                break
        callbacks = []
        if not self._items:
            callbacks, self._callbacks = self._callbacks, []
        self._batch = _Batch(
            items, callbacks, self._sequence, now, self._loop.boot_now()
        )
        self._send()

    def _send(self):
        if self._closed:
            return
        batch = self._batch
        position = WriterPosition(WRITER_NAME, self._epoch, batch.sequence)
        self._client.append(
            batch.items, self._on_answer, APPEND_TIMEOUT_S, writer=position
        )

    def on_term_read(self, sequence):
        """Acknowledge the append in flight if its term record was read in the topic."""
        if self._batch is not None and self._batch.sequence == sequence:
            self._client.cancel_append()
            self._acknowledged("read")

    def _acknowledged(self, how):
        batch, self._batch = self._batch, None
        self._stored_at = batch.boot_sent_at
        self._metrics.count("appends", by="scheduler", fate="done")
        self._metrics.count("append_acks", by="scheduler", how=how)
        self._metrics.time("scheduler_append", self._loop.now() - batch.sent_at)
        for callback in batch.callbacks:
            callback()
        self._flush()

    def _on_answer(self, result):
        if self._closed or self._batch is None:
            return
        if isinstance(result, Appended):
            self._acknowledged("answer")
            return
        if result.fate in (AppendFate.FENCED, AppendFate.OUT_OF_SEQUENCE):
            self._on_deposed(result.fate.value)
            return
        batch = self._batch
        self._metrics.count("appends", by="scheduler", fate=result.fate.value)
        if not batch.logged:
            batch.logged = True
            log_event(AppendRetried(batch.sequence, result.fate.value, result.detail))
        self._loop.call_later(APPEND_RETRY_S, lambda: self._send_again(batch))

    def _send_again(self, batch):
        if self._batch is batch:
            self._send()


def candidate_record(term, node, incarnation):
    """Return the TermRecord that a candidate for scheduler appends.

    Its first number is random: the store takes an append with the same epoch and number
    as a repetition, and would give a second candidate the answer of the first one.
    """
    first = random.randrange(1, FIRST_SEQUENCE_LIMIT)
    return TermRecord(term.epoch + 1, node, incarnation, first, False)
