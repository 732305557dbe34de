"""A node's copy of all jobs, built from the records of the jobs topic."""

import time

import attrs

from ..errors import RecordError
from ..journal import event, log_event
from .records import (
    decode_append,
    decode_job,
    decode_known_executor,
    decode_learned,
    decode_load,
    decode_order,
    decode_progress,
    decode_share_load,
    decode_silent,
    decode_term,
    decode_upkeep,
    JobState,
    KEY_LEARNED,
    KEY_LOAD,
    KEY_SHARE_LOAD,
    KEY_TERM,
    PREFIX_APPEND,
    PREFIX_CANCEL,
    PREFIX_EXECUTOR,
    PREFIX_JOB,
    PREFIX_ORDER,
    PREFIX_PROGRESS,
    PREFIX_SILENT,
    PREFIX_UPKEEP,
    upkeep_name,
)

CALLER_PREFIXES = (PREFIX_JOB, PREFIX_CANCEL)
MS = 1000


@event(622)
class RecordSkipped:
    """A malformed record was ignored."""

    key: str
    offset: int
    detail: str


@attrs.define(eq=False)
class JobRow:
    """The records of one job; ``spec`` is None until its ``job/`` key is read."""

    spec: object = None
    cancelled: bool = False
    progress: object = None

    @property
    def state(self):
        """The JobState that callers are shown."""
        state = JobState.PENDING
        if self.progress is not None:
            state = JobState(self.progress.state)
        if self.cancelled and not state.final:
            return JobState.CANCELLED
        return state


@attrs.frozen
class StoredOrder:
    """An order for a VM, of the scheduler of ``epoch``, read at ``read_at`` (s)."""

    epoch: int
    read_at: float


class JobView:
    """The newest records by key: jobs, upkeeps, VM orders, durations and the term.

    ``upkeeps`` maps an ``upkeep_name`` to its UpkeepRecord, and ``orders`` a VM to the
    StoredOrder of its lease.
    ``silent`` maps an executor with a SilentRecord to a time of ``now`` by which its
    lease was granted for the last time. ``known_executors`` maps an executor to its
    ExecutorRecord.

    ``load`` is a LoadRecord and ``share_load`` a ShareLoadRecord, or None.

    Optional callbacks: ``on_job(spec)``, ``on_cancel(job)``,
    ``on_term(record, offset)``, ``on_stored(key)`` for every record of a ``job/`` or
    ``cancel/`` key that is read, but not for its deletion, and
    ``on_append(node, record)`` for every AppendRecord. ``on_cancel`` is also called
    after ``on_job`` for a job whose cancellation was read before it.
    """

    def __init__(self, now=time.monotonic):
        self._now = now
        self.rows = {}
        self.upkeeps = {}
        self.orders = {}
        self.silent = {}
        self.known_executors = {}
        self.learned = None
        self.load = None
        self.share_load = None
        self.term = None
        self.on_job = None
        self.on_cancel = None
        self.on_term = None
        self.on_stored = None
        self.on_append = None
        self._handlers = (
            (PREFIX_JOB, self._fold_job),
            (PREFIX_CANCEL, self._fold_cancel),
            (PREFIX_PROGRESS, self._fold_progress),
            (PREFIX_UPKEEP, self._fold_upkeep),
            (PREFIX_ORDER, self._fold_order),
            (PREFIX_APPEND, self._fold_append),
            (PREFIX_SILENT, self._fold_silent),
            (PREFIX_EXECUTOR, self._fold_executor),
        )

    def find(self, name):
        """Return the JobRow of an accepted job, or None."""
        row = self.rows.get(name)
        return row if row is not None and row.spec is not None else None

    def waiting(self, queue):
        """Return how many one-time jobs of a queue are pending."""
        return sum(
            row.spec is not None
            and row.spec.queue == queue
            and row.spec.repeat == 0
            and row.state is JobState.PENDING
            for row in self.rows.values()
        )

    def fold(self, entry):
        """Apply one Entry of the topic; a malformed one is logged and ignored."""
        try:
            if entry.key == KEY_TERM:
                self._fold_term(entry)
                return
            if entry.key == KEY_LEARNED:
                self.learned = decode_learned(entry.value)
                return
            if entry.key == KEY_LOAD:
                self.load = decode_load(entry.value)
                return
            if entry.key == KEY_SHARE_LOAD:
                self.share_load = decode_share_load(entry.value)
                return
            for prefix, fold in self._handlers:
                if entry.key.startswith(prefix):
                    fold(entry.key[len(prefix) :], entry.value)
                    break
            stored = entry.value and entry.key.startswith(CALLER_PREFIXES)
            if stored and self.on_stored is not None:
                self.on_stored(entry.key)
        except RecordError as exc:
            log_event(RecordSkipped(entry.key, entry.offset, str(exc)))

    def _fold_term(self, entry):
        record = decode_term(entry.value)
        if self.term is None or record.epoch >= self.term.epoch:
            self.term = record
            if self.on_term is not None:
                self.on_term(record, entry.offset)

    def _row(self, name):
        return self.rows.setdefault(name, JobRow())

    def _fold_job(self, name, value):
        if not value:
            self.rows.pop(name, None)
            return
        spec = decode_job(value)
        row = self._row(name)
        if row.spec is None:
            row.spec = spec
            if self.on_job is not None:
                self.on_job(row.spec)
            # A repeated submission has a higher offset than the cancellation, and after
            # the records expired only the newest record of each key is read.
            if row.cancelled and self.on_cancel is not None:
                self.on_cancel(name)

    def _fold_cancel(self, name, value):
        if not value:
            return
        self._row(name).cancelled = True
        if self.on_cancel is not None:
            self.on_cancel(name)

    def _fold_progress(self, name, value):
        if value:
            self._row(name).progress = decode_progress(value)

    def _fold_upkeep(self, name, value):
        if value:
            record = decode_upkeep(value)
            # Earlier versions kept one record of a VM, under its name alone.
            vm = name.removeprefix(upkeep_name(record.wave, ""))
            self.upkeeps[upkeep_name(record.wave, vm)] = record

    def _fold_order(self, name, value):
        if value:
            self.orders[name] = StoredOrder(decode_order(value).epoch, self._now())
        else:
            self.orders.pop(name, None)

    def _fold_append(self, name, value):
        if value and self.on_append is not None:
            self.on_append(name, decode_append(value))

    def _fold_silent(self, name, value):
        if value:
            # It was made earlier than it is read, so the last grant was earlier too.
            self.silent[name] = self._now() - decode_silent(value).age_ms / MS
        else:
            self.silent.pop(name, None)

    def _fold_executor(self, name, value):
        if value:
            self.known_executors[name] = decode_known_executor(value)
        else:
            self.known_executors.pop(name, None)
