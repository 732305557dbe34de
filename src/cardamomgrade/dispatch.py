"""Brings each caller's request to an endpoint and its answer back."""

import random

from .backlog import too_late, Waiting
from .entry_events import (
    AttemptFailed,
    CallerLeft,
    RequestAnswered,
    RequestEnded,
    RequestQueued,
    RequestRouted,
)
from .errors import WireError
from .lane import Lanes
from .outcome import (
    may_have_run,
    not_run,
    Outcome,
    REQUEST_HEADER,
    response_for,
    Verdict,
)
from .refusal import Reason, Refusal
from .retry import RETRY_STATUS, RetryAllowance, TRIES_LIMIT, try_timeout_s
from .route import new_request_id, open_job
from .wire import BODY_LIMIT_BYTES, HttpResponse

URGENT = "urgent"
REASON_CHOICE = "least loaded of two"
REASON_PROBE = "probe"


class Dispatcher:
    """Holds every request of the entry between its arrival and its answer.

    ``fleet`` is the entry's Member, ``ledger`` grants slots, ``recent`` keeps
    decisions and ``keys`` claims idempotency keys. ``body_limit`` bounds the body of
    an endpoint's answer, in bytes.
    """

    def __init__(
        self, loop, net, fleet, ledger, recent, keys, body_limit=BODY_LIMIT_BYTES
    ):
        self._loop = loop
        self._fleet = fleet
        self._recent = recent
        self._keys = keys
        self._lanes = Lanes(loop, net, fleet, ledger, random.Random(), body_limit)
        self._lanes.on_room = self._pump
        self._allowances = {}
        self._jobs = set()
        self._closing = False
        self.held = self._lanes.held
        self.sweep = self._lanes.sweep
        self.connections = self._lanes.connections

    @property
    def open_requests(self):
        """How many requests wait, run, or run on after their caller has left."""
        return len(self._jobs)

    def update(self):
        """Take the fleet's state over after it has changed."""
        self._lanes.update()
        self.pump()

    def pump(self):
        """Send what waits, as far as endpoints and slots allow."""
        for pool in self._lanes.pools():
            self._pump(pool)

    def close(self):
        """Refuse new requests from here on."""
        self._closing = True

    def handle(self, exchange):
        """Take a caller's request; its exchange is answered once."""
        request_id = new_request_id(self._fleet.seat.name)
        job = self._open(exchange, request_id)
        if isinstance(job, Verdict):
            self._tell(exchange, request_id, "", job)
            return
        self._jobs.add(job)
        exchange.on_gone = lambda: self._caller_left(job)
        delay = job.deadline - self._loop.now()
        job.timer = self._loop.call_later(delay, lambda: self._expire(job))
        if job.key is None:
            self._place(job)
        else:
            self._keys.claim(job.key, job.id, lambda result: self._keyed(job, result))

    def _open(self, exchange, request_id):
        bundle = self._fleet.state.bundle
        if self._closing:
            return not_run(Refusal(Reason.UNAVAILABLE, "the entry is leaving"))
        if bundle is None:
            return not_run(Refusal(Reason.UNAVAILABLE, "no bundle is in force"))
        return open_job(bundle, exchange, request_id, self._loop.now())

    def _keyed(self, job, result):
        job.owned = result is True
        if job.owned:
            self._place(job)
        elif result.reason is Reason.DUPLICATE:
            self._finish(
                job, Verdict(Outcome.DUPLICATE, result.reason.value, result.detail)
            )
        else:
            self._finish(job, not_run(result))

    def _place(self, job):
        """Send a request now, or queue it."""
        if self._loop.now() >= job.deadline:
            self._expire(job)
            return
        lane = self._lanes.lane(job.service.pool)
        choice = Refusal(Reason.OVERLOADED, "others wait")
        if not lane.backlog.size:
            choice = self._lanes.choose(job)
        if choice:
            self._start(job, choice)
        else:
            self._queue(job, lane, choice)

    def _queue(self, job, lane, refusal):
        service = job.service
        urgent = service.urgency == URGENT
        item = Waiting(service.name, job.caller, urgent, job.deadline, job)
        pace = lane.pace()
        result = lane.backlog.offer(item, service.queue, pace, self._loop.now())
        if not result:
            self._finish(job, not_run(result, lane.backlog.wait_s(item, pace)))
            return
        job.waiting = item
        waiting = lane.backlog.size
        self._recent.decide(
            RequestQueued(job.id, service.name, waiting, refusal.detail)
        )
        if result.evicted is not None:
            loser = result.evicted.payload
            loser.waiting = None
            detail = "other callers have fewer requests waiting"
            self._finish(loser, not_run(Refusal(Reason.OVERLOADED, detail)))
        self._lanes.want(service.pool)

    def _pump(self, pool):
        lane = self._lanes.lane(pool)
        before = lane.backlog.size
        while (item := lane.backlog.peek()) is not None:
            job = item.payload
            if too_late(item, lane.pace(), self._loop.now()):
                self._end_late(job)
                continue
            choice = self._lanes.choose(job)
            if not choice:
                break
            lane.backlog.pick()
            job.waiting = None
            self._start(job, choice)
        if lane.backlog.size != before:
            self._lanes.want(pool)

    def _start(self, job, choice):
        if not self._lanes.reserve(job, choice):
            self._give_up(job, Refusal(Reason.OVERLOADED, "no free slot"))
            return
        now, service = self._loop.now(), job.service
        if not job.tried:
            self._allowance(service).earn()
        job.tried.append(choice.candidate)
        refused = ", ".join(f"{item.count} {item.reason}" for item in choice.refused)
        self._recent.decide(
            RequestRouted(
                job.id,
                service.name,
                choice.candidate.vm,
                len(job.tried),
                REASON_PROBE if choice.probe else REASON_CHOICE,
                refused,
            )
        )
        job.attempt = self._lanes.start(job, choice, self._attempt_done)
        if job.repeatable and len(job.tried) < TRIES_LIMIT:
            typical_s = self._lanes.lane(service.pool).chooser.typical_s()
            delay = try_timeout_s(job.deadline - now, typical_s)
            attempt = job.attempt
            attempt.timer = self._loop.call_later(
                delay, lambda: self._attempt_slow(attempt)
            )

    def _allowance(self, service):
        allowance = self._allowances.get(service.name)
        if allowance is None:
            allowance = self._allowances[service.name] = RetryAllowance()
        return allowance

    def _attempt_slow(self, attempt):
        """Try a repeatable request elsewhere when its endpoint takes too long."""
        job = attempt.job
        if job.attempt is not attempt:
            return
        choice = self._other_choice(job, attempt.call.sent)
        if choice:
            self._abandon(attempt)
            self._start(job, choice)

    def _attempt_done(self, attempt, result):
        job = attempt.job
        job.attempt = None
        if isinstance(result, HttpResponse):
            self._lanes.finish(attempt, result.status < 500, 0)
            self._on_answer(job, attempt.vm, result)
        else:
            linger_s = job.service.deadline_ms / 1000 if result.sent else 0
            self._lanes.finish(attempt, False, linger_s)
            self._recent.decide(
                AttemptFailed(job.id, attempt.vm, result.sent, result.detail)
            )
            self._on_failure(job, result)
        self._pump(job.service.pool)

    def _on_answer(self, job, vm, response):
        job.sent = True
        if response.status in RETRY_STATUS:
            choice = self._other_choice(job, True)
            if choice:
                job.answer = response
                self._start(job, choice)
                return
        self._pass_on(job, vm, response)

    def _on_failure(self, job, failure):
        job.sent = job.sent or failure.sent
        choice = self._other_choice(job, failure.sent)
        if choice:
            self._start(job, choice)
        else:
            self._give_up(job, Refusal(Reason.UNAVAILABLE, failure.detail))

    def _give_up(self, job, refusal):
        """End a request with what is known of it."""
        if job.answer is not None:
            self._pass_on(job, job.tried[0].vm, job.answer)
        elif job.sent:
            self._finish(job, may_have_run(refusal.detail))
        else:
            self._finish(job, not_run(refusal))

    def _other_choice(self, job, sent):
        """Return a Choice of another endpoint for a request, or a Refusal.

        A request that was handed over is sent again only when it is repeatable and
        the service's retry allowance has room.
        """
        if job.gone or self._loop.now() >= job.deadline:
            return Refusal(Reason.EXPIRED)
        if len(job.tried) >= TRIES_LIMIT:
            return Refusal(Reason.ALREADY_DONE, "enough endpoints were tried")
        if (sent or job.sent) and not job.repeatable:
            return Refusal(Reason.WRONG_STATE, "the request must not run twice")
        choice = self._lanes.choose(job)
        if not choice or not sent:
            return choice
        allowed = self._allowance(job.service).spend()
        if not allowed:
            self._lanes.lane(job.service.pool).chooser.skip(choice)
            return allowed
        return choice

    def _abandon(self, attempt):
        job, sent = attempt.job, attempt.call.sent
        job.sent = job.sent or sent
        job.attempt = None
        self._lanes.abort(attempt)
        self._recent.decide(AttemptFailed(job.id, attempt.vm, sent, "timed out"))

    def _expire(self, job):
        """Answer a request whose deadline has passed."""
        if not job.done:
            self._end_late(job)
            self._pump(job.service.pool)

    def _end_late(self, job):
        if job.attempt is not None:
            self._abandon(job.attempt)
        refusal = Refusal(Reason.EXPIRED, "no answer before the deadline")
        self._give_up(job, refusal)

    def _caller_left(self, job):
        """Let a running request end by itself; take a waiting one back."""
        if job.done:
            return
        running = job.attempt is not None
        self._recent.decide(CallerLeft(job.id, running))
        job.gone = True
        if not running:
            self._close(job)

    def _pass_on(self, job, vm, response):
        self._close(job)
        took_ms = round((self._loop.now() - job.started) * 1000, 1)
        self._recent.decide(
            RequestAnswered(job.id, job.service.name, vm, response.status, took_ms)
        )
        headers = (*response.headers, (REQUEST_HEADER, job.id.encode()))
        try:
            job.exchange.respond(HttpResponse(response.status, headers, response.body))
        except WireError as exc:
            self._recent.decide(AttemptFailed(job.id, vm, True, str(exc)))

    def _finish(self, job, verdict):
        """Answer a request ourselves."""
        self._close(job)
        self._tell(job.exchange, job.id, job.service.name, verdict)

    def _close(self, job):
        """Drop everything that a request still has here."""
        job.done = True
        job.timer.cancel()
        self._jobs.discard(job)
        if job.waiting is not None:
            self._lanes.lane(job.service.pool).backlog.remove(job.waiting)
            job.waiting = None
        if job.key is None:
            return
        if job.owned and not job.sent:
            self._keys.release(job.key, job.id)
        else:
            self._keys.forget(job.id)

    def _tell(self, exchange, request_id, service, verdict):
        self._recent.decide(
            RequestEnded(
                request_id,
                service,
                verdict.outcome.value,
                verdict.reason,
                verdict.detail,
            )
        )
        exchange.respond(response_for(request_id, verdict))
