"""Slot tokens of one entry, and their loans to and from the other entries.

An entry is one process of the front end. It holds a named seat; an incarnation is
the number of one start of the process in that seat.

A request needs a token of its endpoint to start. Each endpoint has as many tokens as
slots; ``deal`` assigns each token a home seat. A token is lent only by its home seat
and returned only to it, so that the home seat knows how many tokens each peer holds.
Messages carry running totals for a pair of incarnations, so lost, repeated or
reordered messages only delay a transfer.
"""

from .demand import Lender, TokenDemand
from .messages import Ask, Query, Report, Tokens, TokensAck
from .tokens import deal, Pair, PendingAsk, raise_totals, Reclaim, token_counts, unacked

TICK_S = 0.05
RESEND_S = 0.25
ASK_EXPIRY_S = 0.3
PAUSE_LIMIT_S = 2.0


class SlotLedger:
    """The slot tokens that one incarnation of a seat holds, lends and borrows.

    ``clock()`` returns monotonic seconds. ``send(seat, incarnation, message)`` may
    lose the message. ``on_tokens()`` is called when tokens have become available.

    Home tokens are unlocked, that is usable, only when no request of an earlier
    incarnation can still be running on one of them.
    """

    def __init__(self, seat, incarnation, clock, send, on_tokens=None):
        self.seat = seat
        self.incarnation = incarnation
        self.unlocked = False
        self.suspended = False
        self.superseded = False
        self._clock = clock
        self._send = send
        self._on_tokens = on_tokens or (lambda: None)
        self._started_at = self._ticked_at = self._resumed_at = clock()
        self._deadline_s = 0.0
        self._is_first_incarnation = False
        self._confirming_seats = set()
        self._home_counts = {}
        self._peer_seats = frozenset()
        self._held = {}
        self._borrowed = {}
        self._in_use = {}
        self._min_idle = {}
        self._pairs = {}
        self._cleared_at = {}
        self._known_before = False
        self._reclaims = []
        self._demand = TokenDemand()
        self._seat_count = 1
        self._pending_asks = {}

    def configure(self, endpoints, seats, longest_deadline_s):
        """Apply the slots of a bundle, {endpoint: slots}; ``seats`` never change.

        Of all longest deadlines passed so far, in seconds, the largest applies.
        """
        self._deadline_s = max(self._deadline_s, longest_deadline_s)
        self._peer_seats = frozenset(seats) - {self.seat}
        self._seat_count = len(seats)
        home = {
            name: deal(name, slots, seats).get(self.seat, 0)
            for name, slots in endpoints.items()
        }
        if self.unlocked:
            for name in {*home, *self._home_counts}:
                self._add_tokens(
                    name, home.get(name, 0) - self._home_counts.get(name, 0)
                )
        self._home_counts = home
        self._unlock_if_due()

    def available(self, endpoint):
        """Return the number of requests that may start on an endpoint now."""
        if self.halted():
            return 0
        return self._idle(endpoint)

    def in_use(self, endpoint):
        """Return the number of tokens that requests to an endpoint use."""
        return self._in_use.get(endpoint, 0)

    def take(self, endpoint):
        """Reserve a token for a request; return whether one was available."""
        if self.available(endpoint) <= 0:
            return False
        self._in_use[endpoint] = self._in_use.get(endpoint, 0) + 1
        self._min_idle[endpoint] = min(
            self._min_idle.get(endpoint, 0), self._idle(endpoint)
        )
        return True

    def give_back(self, endpoint):
        """Release the token of a request that can no longer be running.

        The token may go to a peer that has asked for one.
        """
        self._in_use[endpoint] -= 1
        if self.halted():
            return
        for pending in self._live_asks():
            if endpoint in pending.ask.endpoints:
                self._serve_ask(pending)

    def want(self, endpoints, count):
        """Set how many tokens are needed on any of a tuple of endpoints.

        Asks the peers for them.
        """
        self._demand.set(endpoints, count)
        self._send_asks()

    def tick(self):
        """Do the periodic work; to be called every ``TICK_S`` seconds.

        Unlocks the home tokens when due, takes back tokens lent to replaced peers,
        returns borrowed tokens that stayed idle, asks for needed tokens and repeats
        unacknowledged messages.
        """
        now = self._clock()
        halted = self.halted()
        self._ticked_at = now
        if halted:
            return
        self._unlock_if_due()
        self._reclaim_due()
        self._return_idle()
        self._send_asks()
        for seat, pair in self._pairs.items():
            if now >= pair.resend_at:
                self._resend_pending(seat, pair)

    def record_first_incarnation(self):
        """Record that the log shows no earlier incarnation of this seat."""
        self._is_first_incarnation = True
        self._unlock_if_due()

    def halted(self):
        """Return whether this incarnation must not use tokens now.

        It may have been replaced while it was paused for longer than
        ``PAUSE_LIMIT_S``; ``confirm`` lifts the suspension.
        """
        if self._detects_pause():
            self.suspended = True
            self._resumed_at = self._ticked_at = self._clock()
            self._confirming_seats = set()
        return self.suspended or self.superseded

    def record_vacant_seats(self, seats):
        """Record the seats that have no member according to a fresh read of the log.

        An earlier process of such a seat has ended, and its requests end within the
        quarantine.
        """
        now = self._clock()
        for seat in self._peer_seats.intersection(seats):
            self._cleared_at.setdefault(seat, now)
        self._unlock_if_due()

    def confirm(self, seat, incarnation, sent_s, halted=False):
        """Record that a peer accepted this incarnation as current after ``sent_s``.

        ``sent_s`` is a time of the clock in seconds; ``halted`` tells whether the
        peer is halted itself. Only a peer met before the pause counts: it would know
        of a successor that has unlocked its home tokens in the meantime. Halted peers
        count only when every peer has confirmed.
        """
        pair = self._pairs.get(seat)
        if not self.halted() or pair is None or sent_s < self._resumed_at:
            return
        if pair.incarnation != incarnation or pair.met_at >= self._resumed_at:
            return
        self._confirming_seats.add(seat)
        if not halted or self._confirming_seats >= self._peer_seats:
            self.suspended = False
            self._on_tokens()

    def supersede(self):
        """Stop using tokens for good, as the seat has a newer incarnation."""
        self.superseded = True

    def record_incarnation(self, seat, incarnation):
        """Record the incarnation of a peer; only a newer one has an effect.

        Tokens lent to the replaced incarnation are taken back after the quarantine.
        Tokens borrowed from it are owed to the new one.
        """
        old = self._pairs.get(seat) or Pair()
        if incarnation <= old.incarnation:
            return
        lent = old.lent.all_outstanding()
        if lent:
            self._reclaims.append(Reclaim(self._clock(), lent))
        held = old.borrowed.all_outstanding()
        pair = Pair(incarnation, self._clock(), old.incarnation > 0, baseline=held)
        pair.borrowed.given.update(held)
        self._pairs[seat] = pair
        self._pending_asks = {
            key: pending
            for key, pending in self._pending_asks.items()
            if pending.seat != seat
        }
        self._resend_pending(seat, pair)

    def receive(self, seat, incarnation, message):
        """Handle a message from ``incarnation`` of ``seat`` to this incarnation.

        Ignored while halted and from a replaced incarnation.
        """
        if self.halted():
            return
        self.record_incarnation(seat, incarnation)
        pair = self._pairs[seat]
        if incarnation == pair.incarnation:
            self._HANDLERS[type(message)](self, seat, pair, message)

    def _detects_pause(self):
        has_peers = bool(self._pairs or self._peer_seats)
        return has_peers and self._clock() - self._ticked_at > PAUSE_LIMIT_S

    def _idle(self, endpoint):
        return self._held.get(endpoint, 0) - self._in_use.get(endpoint, 0)

    def _add_tokens(self, endpoint, count):
        self._held[endpoint] = self._held.get(endpoint, 0) + count

    def _quarantine_s(self):
        """Return the seconds after which no request of an ended incarnation runs."""
        return self._deadline_s + PAUSE_LIMIT_S

    def _unlock_if_due(self):
        if (
            self.unlocked
            or not self._home_counts
            or not self._peer_seats <= set(self._cleared_at)
        ):
            return
        first = self._is_first_incarnation and not self._known_before
        since = max([self._started_at, *self._cleared_at.values()])
        if not first and self._clock() < since + self._quarantine_s():
            return
        self.unlocked = True
        for name, count in self._home_counts.items():
            self._add_tokens(name, count)
        for pair in self._pairs.values():
            self._add_counts(pair.lent.all_outstanding(), -1)
        for reclaim in self._reclaims:
            self._add_counts(reclaim.counts, -1)
        self._on_tokens()

    def _add_counts(self, counts, sign):
        for name, count in counts.items():
            self._add_tokens(name, sign * count)

    def _reclaim_due(self):
        latest = self._clock() - self._quarantine_s()
        expired = [item for item in self._reclaims if item.since <= latest]
        if not expired:
            return
        self._reclaims = [item for item in self._reclaims if item.since > latest]
        if self.unlocked:
            for item in expired:
                self._add_counts(item.counts, 1)
            self._on_tokens()

    def _return_idle(self):
        for seat, pair in self._pairs.items():
            changed = False
            for name, count in pair.borrowed.all_outstanding().items():
                spare = min(count, self._min_idle.get(name, 0), self._idle(name))
                if spare > 0:
                    self._return_tokens(pair, name, spare)
                    self._min_idle[name] -= spare
                    changed = True
            if changed:
                self._send_tokens(seat, pair)
        self._min_idle = {name: self._idle(name) for name in self._borrowed}

    def _return_tokens(self, pair, endpoint, count):
        returned = pair.borrowed.returned
        returned[endpoint] = returned.get(endpoint, 0) + count
        self._borrowed[endpoint] -= count
        self._add_tokens(endpoint, -count)

    def _lend_tokens(self, pair, endpoint, count):
        given = pair.lent.given
        given[endpoint] = given.get(endpoint, 0) + count
        self._add_tokens(endpoint, -count)

    def _send_asks(self):
        if self.halted():
            return
        for endpoints in self._demand.due(self._clock()):
            lenders = [
                Lender(seat, any(pair.lent.outstanding(name) for name in endpoints))
                for seat, pair in self._pairs.items()
            ]
            locked = not self.unlocked
            for item in self._demand.asks(endpoints, lenders, locked):
                incarnation = self._pairs[item.seat].incarnation
                self._send(item.seat, incarnation, item.message)

    def _live_asks(self):
        now = self._clock()
        for key, pending in list(self._pending_asks.items()):
            if pending.expires_at <= now or pending.count <= 0:
                del self._pending_asks[key]
        return list(self._pending_asks.values())

    def _serve_ask(self, pending):
        """Transfer idle tokens to a peer: its own home tokens first, then ours."""
        pair = self._pairs[pending.seat]
        served = False
        while pending.count > 0:
            name = self._returnable_endpoint(pair, pending)
            if name is not None:
                self._return_tokens(pair, name, 1)
            else:
                name = self._lendable_endpoint(pair, pending)
                if name is None:
                    break
                self._lend_tokens(pair, name, 1)
            pending.count -= 1
            served = True
        if served:
            self._send_tokens(pending.seat, pair)

    def _returnable_endpoint(self, pair, pending):
        if self._may_keep_borrowed(pending.ask.endpoints):
            return None
        names = [
            name
            for name in pending.ask.endpoints
            if self._idle(name) > 0 and pair.borrowed.outstanding(name) > 0
        ]
        return max(names, key=self._idle, default=None)

    def _lendable_endpoint(self, pair, pending):
        if not (self.unlocked and pair.reported):
            return None
        owed = pending.ask.locked and self._lent_below_share(
            pair, pending.ask.endpoints
        )
        names = [
            name
            for name in pending.ask.endpoints
            if self._idle_home(name) > 0 and (owed or not self._demand.is_lacking(name))
        ]
        return max(names, key=self._idle_home, default=None)

    def _idle_home(self, name):
        home = self._held.get(name, 0) - self._borrowed.get(name, 0)
        return min(self._idle(name), home)

    def _may_keep_borrowed(self, endpoints):
        """Return whether borrowed tokens may stay here while peers ask for them.

        While its home tokens are locked, this seat may use as many borrowed tokens as
        it has home tokens, if requests are waiting for them.
        """
        if self.unlocked or not any(map(self._demand.is_lacking, endpoints)):
            return False
        share = sum(self._home_counts.get(name, 0) for name in endpoints)
        return sum(self._held.get(name, 0) for name in endpoints) <= share

    def _lent_below_share(self, pair, endpoints):
        """Return whether the peer holds less than an equal share of our home tokens.

        The share is the number of home tokens divided by the number of seats. A peer
        whose own home tokens are locked gets that much even if requests wait here.
        """
        lent = sum(map(pair.lent.outstanding, endpoints))
        return lent * self._seat_count < sum(
            self._home_counts.get(name, 0) for name in endpoints
        )

    def _send_tokens(self, seat, pair):
        """Send the running totals that the peer has not acknowledged."""
        lent = unacked(pair.lent.given, pair.lent.acked)
        returned = unacked(pair.borrowed.returned, pair.borrowed.acked)
        if lent or returned:
            pair.resend_at = self._clock() + RESEND_S
            self._send(seat, pair.incarnation, Tokens(lent, returned))

    def _resend_pending(self, seat, pair):
        if not pair.reported:
            pair.resend_at = self._clock() + RESEND_S
            self._send(seat, pair.incarnation, Query())
        self._send_tokens(seat, pair)

    def _on_ask(self, seat, pair, message):
        key = (seat, message.endpoints)
        old = self._pending_asks.get(key)
        if old is not None and old.ask.sequence >= message.sequence:
            return
        expires_at = self._clock() + ASK_EXPIRY_S
        pending = PendingAsk(seat, message, message.count, expires_at)
        self._pending_asks[key] = pending
        self._serve_ask(pending)

    def _on_transfer(self, seat, pair, message):
        gained = raise_totals(pair.borrowed.given, message.lent)
        for name, count in gained.items():
            self._borrowed[name] = self._borrowed.get(name, 0) + count
            self._add_tokens(name, count)
        returned = message.returned if pair.reported else ()
        home = raise_totals(pair.lent.returned, returned)
        if self.unlocked:
            self._add_counts(home, 1)
        self._send(seat, pair.incarnation, TokensAck(message.lent, returned))
        if gained or home:
            self._demand.reset_delay()
            self._on_tokens()

    def _on_ack(self, seat, pair, message):
        raise_totals(pair.lent.acked, message.lent)
        raise_totals(pair.borrowed.acked, message.returned)

    def _on_query(self, seat, pair, message):
        age_ms = int((self._clock() - self._started_at) * 1000)
        held = token_counts(pair.baseline)
        report = Report(age_ms, pair.known_before, held)
        self._send(seat, pair.incarnation, report)

    def _on_report(self, seat, pair, message):
        if pair.reported:
            return
        pair.reported = True
        raise_totals(pair.lent.given, message.held)
        raise_totals(pair.lent.acked, message.held)
        if seat not in self._cleared_at:
            self._known_before = self._known_before or message.known_before
            self._cleared_at[seat] = self._clock() - message.age_ms / 1000
            self._unlock_if_due()

    _HANDLERS = {
        Ask: _on_ask,
        Tokens: _on_transfer,
        TokensAck: _on_ack,
        Query: _on_query,
        Report: _on_report,
    }
    MESSAGES = frozenset(_HANDLERS)
