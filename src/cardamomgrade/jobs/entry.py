"""Serves callers' requests: stores submissions and cancellations, returns job states.

A submission or cancellation succeeds only after the store has acknowledged its record,
or after the record was read from the store.
States and counts are returned only while the node's copy is at most STALE_S old.
"""

import time

import attrs

from ..journal import event, log_event
from ..metrics import BoundedLabel
from .admission import retry_after_s
from .calls import Answer, AnswerKind, CallKind
from .customers import NO_LIMITS
from .durations import Durations
from .quotas import excess_over
from .records import (
    AppendRecord,
    CancelRecord,
    encode,
    PREFIX_APPEND,
    PREFIX_CANCEL,
    PREFIX_JOB,
)
from .spec import JobSpec
from .store import Appended, AppendFate

STALE_S = 2.0  # no states or counts from an older copy; must stay below visible_ms
APPEND_TIMEOUT_S = 1.0  # a third of a caller's deadline
RETRY_AFTER_S = 1
FORBIDDEN = Answer(AnswerKind.FORBIDDEN, detail="the job is another customer's")
MS = 1000


@event(630)
class JobAnswered:
    """A caller's request on a job was answered.

    ``customer`` is the caller's, and ``age_ms`` the age of the node's copy of the jobs.
    """

    call: str
    job: str
    queue: str
    customer: str
    answer: str
    state: str
    age_ms: int
    took_ms: float
    detail: str


@event(645)
class CallRefused:
    """A call was refused before it was decoded, as its customer is not known.

    ``job`` is "" where the path has no id. The key is not logged, nor its digest.
    """

    job: str
    queue: str
    answer: str
    detail: str


@attrs.define(eq=False)
class _Pending:
    """A record to store, and the ``on_done`` callbacks that wait for it."""

    value: bytes
    callbacks: list


class AppendBatcher:
    """Stores records by one append at a time; records that wait share the next one.

    An append is stored as a whole or not at all, and its last record is an AppendRecord
    of its own. So reading that record acknowledges the append as well as the store's
    answer does. A caller's record that is read acknowledges that record alone, since
    another node may have stored it.
    """

    def __init__(self, loop, client, metrics, node, incarnation):
        self._loop = loop
        self._client = client
        self._metrics = metrics
        self._node = node
        self._incarnation = incarnation
        self._waiting = {}
        self._sent = {}
        self._in_flight = None
        self._number = 0
        self._sent_at = 0.0

    def store(self, key, value, on_done):
        """Store one record; ``on_done(Appended | AppendFailed)`` follows."""
        pending = self._waiting.setdefault(key, _Pending(value, []))
        pending.value = value
        pending.callbacks.append(on_done)
        self._flush()

    def holds(self, key):
        """Return whether a record of a key waits for the store."""
        return key in self._waiting or key in self._sent

    def on_key_read(self, key):
        """Answer the callers of a key of which a record was read.

        The append in flight goes on, also without callers: it may still be carried out,
        and it holds the other callers' records.
        """
        for records in (self._sent, self._waiting):
            pending = records.pop(key, None)
            if pending is not None:
                _answer(pending, Appended(0))

    def on_append_read(self, node, record):
        """Complete the append in flight if the AppendRecord read is the one in it."""
        if node == self._node and record == self._in_flight:
            self._client.cancel_append()
            self._finish(Appended(0), "read")

    def _finish(self, result, how):
        self._in_flight = None
        sent, self._sent = self._sent, {}
        fate = "done" if isinstance(result, Appended) else result.fate.value
        self._metrics.count("appends", by="entry", fate=fate)
        if isinstance(result, Appended):
            self._metrics.count("append_acks", by="entry", how=how)
        self._metrics.time("entry_append", self._loop.now() - self._sent_at)
        for pending in sent.values():
            _answer(pending, result)
        self._flush()

    def _flush(self):
        if self._in_flight is not None or not self._waiting:
            return
        self._number += 1
        record = self._in_flight = AppendRecord(self._incarnation, self._number)
        self._sent, self._waiting = self._waiting, {}
        self._sent_at = self._loop.now()
        items = [(key, pending.value) for key, pending in self._sent.items()]
        items.append((PREFIX_APPEND + self._node, encode(record)))

        def done(result):
            if self._in_flight is record:
                self._finish(result, "answer")

        self._client.append(items, done, APPEND_TIMEOUT_S)


def _answer(pending, result):
    for on_done in pending.callbacks:
        on_done(result)


class JobEntry:
    """Serves checked calls; ``on_done(Answer)`` is called once for each.

    ``sync(on_done)`` brings the view up to date before a job is reported as unknown.
    ``wall_ms()`` returns the wall clock in ms, and ``refuse_for_s`` is
    ``admission.retry_after_s`` or another function like it.
    """

    def __init__(
        self,
        loop,
        view,
        follower,
        batcher,
        sync,
        metrics,
        wall_ms=None,
        refuse_for_s=retry_after_s,
    ):
        self._loop = loop
        self._metrics = metrics
        self._customer_label = BoundedLabel()
        self._view = view
        self._follower = follower
        self._batcher = batcher
        self._sync = sync
        self._wall_ms = wall_ms or (lambda: int(time.time() * MS))
        self._refuse_for_s = refuse_for_s

    @property
    def fresh(self):
        """Whether this node's copy is recent enough to answer from."""
        return self._follower.loaded and self._follower.age() < STALE_S

    def serve(self, call, queue, on_done, limits=NO_LIMITS):
        """Serve a JobCall on a Queue; ``on_done(Answer)`` follows.

        ``limits`` are those of the customer that calls.
        """
        started = self._loop.now()

        def answer(result):
            now = self._loop.now()
            call_kind, kind = call.kind.value, result.kind.value
            self._metrics.count("answers", call=call_kind, answer=kind)
            if call.customer:
                label = self._customer_label.of(call.customer)
                self._metrics.count("customer_answers", customer=label, answer=kind)
            self._metrics.time(f"answer_{call_kind}", now - started)
            state = result.state.name.lower() if result.state is not None else ""
            log_event(
                JobAnswered(
                    call_kind,
                    call.job,
                    call.queue,
                    call.customer,
                    kind,
                    state,
                    int(min(self._follower.age(), 3600) * MS),
                    round((now - started) * MS, 1),
                    result.detail,
                )
            )
            on_done(result)

        if call.kind is CallKind.SUBMIT:
            self._submit(call, queue, limits, answer)
        elif not self.fresh:
            answer(unavailable("this node's copy of the jobs is too old"))
        elif call.kind is CallKind.COUNT:
            waiting = self._view.waiting(call.queue)
            answer(Answer(AnswerKind.DONE, waiting=waiting))
        else:
            self._find(call, answer)

    def note_refused(self, job, queue, result):
        """Count and log the Answer to a call whose customer is not known."""
        kind = result.kind.value
        self._metrics.count("answers", call="any", answer=kind)
        log_event(CallRefused(job, queue.name, kind, result.detail))

    def _submit(self, call, queue, limits, answer):
        row = self._view.find(call.job)
        if row is not None:
            answer(_known_answer(call, row))
            return
        if self._follower.failing:
            # An append would most likely time out.
            answer(unavailable("the store cannot be reached"))
            return
        refusal = self._refusal(call, queue, limits)
        if refusal is not None and not self._batcher.holds(PREFIX_JOB + call.job):
            self._refuse(call, refusal, answer)
        else:
            self._store_job(call, queue, answer)

    def _refusal(self, call, queue, limits):
        """Return the Answer that refuses a job, or None to store it."""
        detail = excess_over(limits, call.steps)
        if detail:
            return Answer(AnswerKind.BAD_REQUEST, detail=detail)
        wait_s = self._retry_after_s(call, queue)
        if wait_s:
            detail = "the work that waits takes longer than this job can wait"
            return Answer(AnswerKind.BUSY, retry_after_s=wait_s, detail=detail)
        return None

    def _retry_after_s(self, call, queue):
        durations = Durations()
        if self._view.learned is not None:
            durations.restore(self._view.learned)
        view = self._view
        return self._refuse_for_s(
            call, queue, durations, view.load, view.share_load, self._wall_ms()
        )

    def _refuse(self, call, refusal, answer):
        """Refuse a job, unless an earlier request that had no answer has stored it."""

        def synced(reached):
            row = self._view.find(call.job)
            if row is not None:
                answer(_known_answer(call, row))
            elif not reached:
                answer(unavailable("the store did not answer"))
            else:
                answer(refusal)

        self._sync(synced)

    def _store_job(self, call, queue, answer):
        spec = JobSpec(
            call.job,
            queue.name,
            queue.service,
            call.text,
            self._wall_ms(),
            call.steps,
            call.repeat,
            call.start_at_ms,
            call.interval_ms,
            queue.max_attempts,
            call.customer,
        )

        def stored(result):
            answer(_stored_answer(result))

        self._batcher.store(PREFIX_JOB + call.job, encode(spec), stored)

    def _find(self, call, answer):
        row = self._view.find(call.job)
        if row is not None:
            self._answer_known(call, row, answer)
            return

        def synced(reached):
            row = self._view.find(call.job)
            if row is not None:
                self._answer_known(call, row, answer)
            elif reached:
                answer(Answer(AnswerKind.NO_JOB))
            else:
                answer(unavailable("the store did not answer"))

        self._sync(synced)

    def _answer_known(self, call, row, answer):
        if _is_forbidden(call, row):
            answer(FORBIDDEN)
            return
        if call.kind is CallKind.STATUS:
            answer(Answer(AnswerKind.DONE, state=row.state))
            return
        if row.state.final:
            answer(Answer(AnswerKind.DONE))
            return

        def stored(result):
            answer(_stored_answer(result))

        value = encode(CancelRecord(self._wall_ms()))
        self._batcher.store(PREFIX_CANCEL + call.job, value, stored)


def unavailable(detail):
    """Return the Answer to a call that had no effect and may be repeated."""
    return Answer(AnswerKind.UNAVAILABLE, retry_after_s=RETRY_AFTER_S, detail=detail)


def _known_answer(call, row):
    """Return the Answer to a submission of a job that is stored already."""
    return FORBIDDEN if _is_forbidden(call, row) else Answer(AnswerKind.DONE)


def _is_forbidden(call, row):
    """Return whether the job is another customer's; a public queue's is anyone's."""
    owner = row.spec.customer
    return bool(owner and call.customer) and owner != call.customer


def _stored_answer(result):
    if isinstance(result, Appended):
        return Answer(AnswerKind.DONE)
    if result.fate is AppendFate.NOT_DONE:
        return unavailable(f"not stored: {result.detail}")
    return Answer(AnswerKind.UNKNOWN, detail=f"may be stored: {result.detail}")
