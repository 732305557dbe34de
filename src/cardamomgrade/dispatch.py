"""Forwarding of requests from callers to endpoints, with queueing and retries."""

import random

from .backlog import QueuedRequest, would_miss_deadline
from .entry_events import (
    AttemptFailed,
    CallerLeft,
    RequestAnswered,
    RequestEnded,
    RequestQueued,
    RequestRouted,
)
from .errors import WireError
from .outcome import (
    LocalReply,
    not_run,
    Outcome,
    REQUEST_HEADER,
    response_for,
    unknown_outcome,
)
from .pool import EndpointPools
from .refusal import Reason, Refusal
from .retry import attempt_timeout_s, MAX_ATTEMPTS, RETRY_STATUS, RetryAllowance
from .route import admit_request, new_request_id
from .wire import BODY_LIMIT_BYTES, HttpResponse

URGENT = "urgent"
ROUTED_BY_LOAD = "least loaded of two"
ROUTED_AS_PROBE = "probe"


class Dispatcher:
    """Queues, sends, retries and answers the requests of one entry.

    ``fleet`` is the entry's Member, ``ledger`` grants slots, ``recent`` logs and keeps
    the events of each request and ``keys`` claims idempotency keys. ``body_limit``
    bounds the body of an endpoint's response, in bytes.
    """

    def __init__(
        self, loop, net, fleet, ledger, recent, keys, body_limit=BODY_LIMIT_BYTES
    ):
        self._loop = loop
        self._fleet = fleet
        self._recent = recent
        self._keys = keys
        self._pools = EndpointPools(
            loop, net, fleet, ledger, random.Random(), body_limit
        )
        self._pools.on_slot_free = self._send_queued_of
        self._retry_allowances = {}
        self._requests = set()
        self._closing = False
        self.held = self._pools.held
        self.sweep = self._pools.sweep
        self.connections = self._pools.connections

    @property
    def open_requests(self):
        """How many requests are queued or running, also those whose caller has left."""
        return len(self._requests)

    def update(self):
        """Apply the fleet's current state; called after each change of it."""
        self._pools.update()
        self.send_queued()

    def send_queued(self):
        """Send queued requests as far as endpoints and slots allow."""
        for name in self._pools.names():
            self._send_queued_of(name)

    def close(self):
        """Refuse new requests from now on; those accepted before go on."""
        self._closing = True

    def handle(self, exchange):
        """Handle a caller's request; ``exchange.respond()`` is called at most once."""
        request_id = new_request_id(self._fleet.seat.name)
        request = self._admit(exchange, request_id)
        if isinstance(request, LocalReply):
            self._send_reply(exchange, request_id, "", request)
            return
        self._requests.add(request)
        exchange.on_disconnect = lambda: self._on_caller_left(request)
        delay = request.deadline - self._loop.now()
        request.timer = self._loop.call_later(delay, lambda: self._on_deadline(request))
        if request.key is None:
            self._start_or_queue(request)
        else:
            self._keys.claim(
                request.key,
                request.id,
                lambda result: self._on_key_claimed(request, result),
            )

    def _admit(self, exchange, request_id):
        """Return a PendingRequest, or the LocalReply that refuses the request."""
        bundle = self._fleet.state.bundle
        if self._closing:
            return not_run(Refusal(Reason.UNAVAILABLE, "the entry is leaving"))
        if bundle is None:
            return not_run(Refusal(Reason.UNAVAILABLE, "no bundle is in force"))
        return admit_request(bundle, exchange, request_id, self._loop.now())

    def _on_key_claimed(self, request, result):
        """Go on with a request; ``result`` is True or the Refusal of its key."""
        request.owns_key = result is True
        if request.owns_key:
            self._start_or_queue(request)
        elif result.reason is Reason.DUPLICATE:
            self._end_with_reply(
                request,
                LocalReply(Outcome.DUPLICATE, result.reason.value, result.detail),
            )
        else:
            self._end_with_reply(request, not_run(result))

    def _start_or_queue(self, request):
        """Send a request now, or queue it."""
        if self._loop.now() >= request.deadline:
            self._on_deadline(request)
            return
        pool = self._pools.pool(request.service.pool)
        choice = Refusal(Reason.OVERLOADED, "others wait")
        if not pool.backlog.size:
            choice = self._pools.choose(request)
        if choice:
            self._start(request, choice)
        else:
            self._queue(request, pool, choice)

    def _queue(self, request, pool, refusal):
        service = request.service
        urgent = service.urgency == URGENT
        item = QueuedRequest(
            service.name, request.caller, urgent, request.deadline, request
        )
        throughput = pool.throughput()
        result = pool.backlog.offer(item, service.queue, throughput, self._loop.now())
        if not result:
            self._end_with_reply(
                request, not_run(result, pool.backlog.estimate_wait_s(item, throughput))
            )
            return
        request.queued = item
        waiting = pool.backlog.size
        self._recent.record(
            RequestQueued(request.id, service.name, waiting, refusal.detail)
        )
        if result.evicted is not None:
            evicted = result.evicted.payload
            evicted.queued = None
            detail = "other callers have fewer requests waiting"
            self._end_with_reply(evicted, not_run(Refusal(Reason.OVERLOADED, detail)))
        self._pools.request_slots(service.pool)

    def _send_queued_of(self, name):
        pool = self._pools.pool(name)
        before = pool.backlog.size
        while (item := pool.backlog.peek()) is not None:
            request = item.payload
            if would_miss_deadline(item, pool.throughput(), self._loop.now()):
                self._end_expired(request)
                continue
            choice = self._pools.choose(request)
            if not choice:
                break
            pool.backlog.pick()
            request.queued = None
            self._start(request, choice)
        if pool.backlog.size != before:
            self._pools.request_slots(name)

    def _start(self, request, choice):
        if not self._pools.reserve(request, choice):
            self._end_failed(request, Refusal(Reason.OVERLOADED, "no free slot"))
            return
        now, service = self._loop.now(), request.service
        if not request.tried:
            self._retry_allowance(service).count_request()
        request.tried.append(choice.candidate)
        refused = ", ".join(f"{item.count} {item.reason}" for item in choice.refused)
        self._recent.record(
            RequestRouted(
                request.id,
                service.name,
                choice.candidate.vm,
                len(request.tried),
                ROUTED_AS_PROBE if choice.probe else ROUTED_BY_LOAD,
                refused,
            )
        )
        request.attempt = self._pools.start(request, choice, self._on_attempt_done)
        if request.repeatable and len(request.tried) < MAX_ATTEMPTS:
            typical_s = self._pools.pool(service.pool).chooser.typical_s()
            delay = attempt_timeout_s(request.deadline - now, typical_s)
            attempt = request.attempt
            attempt.timer = self._loop.call_later(
                delay, lambda: self._on_attempt_timeout(attempt)
            )

    def _retry_allowance(self, service):
        allowance = self._retry_allowances.get(service.name)
        if allowance is None:
            allowance = self._retry_allowances[service.name] = RetryAllowance()
        return allowance

    def _on_attempt_timeout(self, attempt):
        """Move a request from a slow endpoint to another, if one is usable."""
        request = attempt.request
        if request.attempt is not attempt:
            return
        choice = self._choose_for_retry(request, attempt.call.sent)
        if choice:
            self._abort_attempt(attempt)
            self._start(request, choice)

    def _on_attempt_done(self, attempt, result):
        request = attempt.request
        request.attempt = None
        if isinstance(result, HttpResponse):
            self._pools.finish(attempt, result.status < 500, 0)
            self._on_response(request, attempt.vm, result)
        else:
            release_delay_s = request.service.deadline_ms / 1000 if result.sent else 0
            self._pools.finish(attempt, False, release_delay_s)
            self._recent.record(
                AttemptFailed(request.id, attempt.vm, result.sent, result.detail)
            )
            self._on_failure(request, result)
        self._send_queued_of(request.service.pool)

    def _on_response(self, request, vm, response):
        request.sent = True
        if response.status in RETRY_STATUS:
            choice = self._choose_for_retry(request, True)
            if choice:
                request.error_response = response
                self._start(request, choice)
                return
        self._forward_response(request, vm, response)

    def _on_failure(self, request, failure):
        request.sent = request.sent or failure.sent
        choice = self._choose_for_retry(request, failure.sent)
        if choice:
            self._start(request, choice)
        else:
            self._end_failed(request, Refusal(Reason.UNAVAILABLE, failure.detail))

    def _end_failed(self, request, refusal):
        """End a request that no endpoint has served.

        The caller gets a kept error response of an endpoint if there is one, else
        ``unknown`` once bytes were sent to an endpoint, else ``not-run``.
        """
        if request.error_response is not None:
            self._forward_response(request, request.tried[0].vm, request.error_response)
        elif request.sent:
            self._end_with_reply(request, unknown_outcome(refusal.detail))
        else:
            self._end_with_reply(request, not_run(refusal))

    def _choose_for_retry(self, request, sent):
        """Return a Choice of another endpoint for a request, or a Refusal.

        ``sent`` is whether the last attempt sent any byte. A request of which bytes
        were sent is sent again only when it is repeatable and the service's retry
        allowance has room.
        """
        if request.caller_left or self._loop.now() >= request.deadline:
            return Refusal(Reason.EXPIRED)
        if len(request.tried) >= MAX_ATTEMPTS:
            return Refusal(Reason.ALREADY_DONE, "enough endpoints were tried")
        if (sent or request.sent) and not request.repeatable:
            return Refusal(Reason.WRONG_STATE, "the request must not run twice")
        choice = self._pools.choose(request)
        if not choice or not sent:
            return choice
        allowed = self._retry_allowance(request.service).take_retry()
        if not allowed:
            self._pools.pool(request.service.pool).chooser.skip(choice)
            return allowed
        return choice

    def _abort_attempt(self, attempt):
        request, sent = attempt.request, attempt.call.sent
        request.sent = request.sent or sent
        request.attempt = None
        self._pools.abort(attempt)
        self._recent.record(AttemptFailed(request.id, attempt.vm, sent, "timed out"))

    def _on_deadline(self, request):
        """End a request at its deadline, unless it has ended before."""
        if not request.done:
            self._end_expired(request)
            self._send_queued_of(request.service.pool)

    def _end_expired(self, request):
        if request.attempt is not None:
            self._abort_attempt(request.attempt)
        refusal = Refusal(Reason.EXPIRED, "no answer before the deadline")
        self._end_failed(request, refusal)

    def _on_caller_left(self, request):
        """Remove a queued request; a running one goes on without its caller."""
        if request.done:
            return
        running = request.attempt is not None
        self._recent.record(CallerLeft(request.id, running))
        request.caller_left = True
        if not running:
            self._detach(request)

    def _forward_response(self, request, vm, response):
        self._detach(request)
        took_ms = round((self._loop.now() - request.received) * 1000, 1)
        self._recent.record(
            RequestAnswered(
                request.id, request.service.name, vm, response.status, took_ms
            )
        )
        headers = (*response.headers, (REQUEST_HEADER, request.id.encode()))
        try:
            request.exchange.respond(
                HttpResponse(response.status, headers, response.body)
            )
        except WireError as exc:
            self._recent.record(AttemptFailed(request.id, vm, True, str(exc)))

    def _end_with_reply(self, request, reply):
        """End a request with the entry's own reply."""
        self._detach(request)
        self._send_reply(request.exchange, request.id, request.service.name, reply)

    def _detach(self, request):
        """Release a request's timer, queue place and idempotency key.

        The key can be claimed again only when no byte was sent to an endpoint.
        """
        request.done = True
        request.timer.cancel()
        self._requests.discard(request)
        if request.queued is not None:
            self._pools.pool(request.service.pool).backlog.remove(request.queued)
            request.queued = None
        if request.key is None:
            return
        if request.owns_key and not request.sent:
            self._keys.release(request.key, request.id)
        else:
            self._keys.abandon(request.id)

    def _send_reply(self, exchange, request_id, service, reply):
        self._recent.record(
            RequestEnded(
                request_id,
                service,
                reply.outcome.value,
                reply.reason,
                reply.detail,
            )
        )
        exchange.respond(response_for(request_id, reply))
