"""Slot tokens of one entry and their transfers to and from other entries.

Every endpoint has as many tokens as slots, dealt to the seats as homes. A token is
lent only by its home and returned only to it, so that the home knows how many each
peer holds. Transfers travel as running totals for a pair of incarnations: loss,
repetition and reordering of messages change nothing but the time they take.
"""

from .demand import Demand, Lender
from .messages import Ask, Query, Report, Tokens, TokensAck
from .tokens import deal, Debt, Pair, raise_totals, Reclaim, token_counts, unacked

TICK_S = 0.05
RESEND_S = 0.25
ASK_LIFETIME_S = 0.3
PAUSE_LIMIT_S = 2.0


class SlotLedger:
    """Slot tokens of one incarnation of a seat.

    ``clock()`` tells monotonic seconds. ``send(seat, incarnation, message)`` may lose
    the message. ``on_tokens()`` is called when tokens have become available.
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
        self._started = self._ticked = self._woken = clock()
        self._deadline_s = 0.0
        self._first = False
        self._vouchers = set()
        self._home = {}
        self._others = frozenset()
        self._stock = {}
        self._foreign = {}
        self._used = {}
        self._floor = {}
        self._pairs = {}
        self._cleared = {}
        self._knew_before = False
        self._reclaims = []
        self._demand = Demand()
        self._seats = 1
        self._debts = {}

    def configure(self, endpoints, seats, longest_deadline_s):
        """Take the slots of a bundle, {endpoint: slots}; seats never change."""
        self._deadline_s = max(self._deadline_s, longest_deadline_s)
        self._others = frozenset(seats) - {self.seat}
        self._seats = len(seats)
        home = {
            name: deal(name, slots, seats).get(self.seat, 0)
            for name, slots in endpoints.items()
        }
        if self.unlocked:
            for name in {*home, *self._home}:
                self._add(name, home.get(name, 0) - self._home.get(name, 0))
        self._home = home
        self._check_unlock()

    def available(self, endpoint):
        """Return how many requests may start on an endpoint now."""
        if self.halted():
            return 0
        return self._idle(endpoint)

    def in_use(self, endpoint):
        """Return how many tokens of an endpoint are held by requests."""
        return self._used.get(endpoint, 0)

    def take(self, endpoint):
        """Hold a token for a request; return whether there was one."""
        if self.available(endpoint) <= 0:
            return False
        self._used[endpoint] = self._used.get(endpoint, 0) + 1
        self._floor[endpoint] = min(self._floor.get(endpoint, 0), self._idle(endpoint))
        return True

    def give_back(self, endpoint):
        """Release the token of a request that can no longer be running."""
        self._used[endpoint] -= 1
        if self.halted():
            return
        for debt in self._open_debts():
            if endpoint in debt.ask.endpoints:
                self._serve(debt)

    def want(self, endpoints, count):
        """Set how many tokens are lacking on any of a tuple of endpoints."""
        self._demand.set(endpoints, count)
        self._ask()

    def tick(self):
        """Resend, return idle tokens, reclaim; call it every ``TICK_S`` seconds."""
        now = self._clock()
        halted = self.halted()
        self._ticked = now
        if halted:
            return
        self._check_unlock()
        self._reclaim()
        self._return_idle()
        self._ask()
        for seat, pair in self._pairs.items():
            if now >= pair.resend_at:
                self._resend(seat, pair)

    def prove_first(self):
        """Note the log's proof that the seat had no earlier incarnation."""
        self._first = True
        self._check_unlock()

    def halted(self):
        """Return whether this incarnation must not use tokens for now.

        After a pause longer than ``PAUSE_LIMIT_S`` it may have been replaced.
        """
        if self._pause_seen():
            self.suspended = True
            self._woken = self._ticked = self._clock()
            self._vouchers = set()
        return self.suspended or self.superseded

    def note_vacant(self, seats):
        """Note seats in which a fresh read of the log shows no member.

        Whoever held one is gone, and what it ran ends within the quarantine.
        """
        now = self._clock()
        for seat in self._others.intersection(seats):
            self._cleared.setdefault(seat, now)
        self._check_unlock()

    def confirm(self, seat, incarnation, sent_s, halted=False):
        """Note that a peer took this incarnation as current after ``sent_s``.

        Only the word of a peer met before the pause counts: it would know of a
        successor that has unlocked its home tokens in the meantime. Peers that are
        halted themselves count when all of them agree.
        """
        pair = self._pairs.get(seat)
        if not self.halted() or pair is None or sent_s < self._woken:
            return
        if pair.incarnation != incarnation or pair.met >= self._woken:
            return
        self._vouchers.add(seat)
        if not halted or self._vouchers >= self._others:
            self.suspended = False
            self._on_tokens()

    def supersede(self):
        """Stop using tokens: the seat has a newer incarnation."""
        self.superseded = True

    def learn(self, seat, incarnation):
        """Note the incarnation of a peer; a newer one replaces an older one."""
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
        self._debts = {
            key: debt for key, debt in self._debts.items() if debt.seat != seat
        }
        self._resend(seat, pair)

    def receive(self, seat, incarnation, message):
        """Take a message that ``incarnation`` of ``seat`` sent to this incarnation."""
        if self.halted():
            return
        self.learn(seat, incarnation)
        pair = self._pairs[seat]
        if incarnation == pair.incarnation:
            self._HANDLERS[type(message)](self, seat, pair, message)

    def _pause_seen(self):
        return bool(self._pairs) and self._clock() - self._ticked > PAUSE_LIMIT_S

    def _idle(self, endpoint):
        return self._stock.get(endpoint, 0) - self._used.get(endpoint, 0)

    def _add(self, endpoint, count):
        self._stock[endpoint] = self._stock.get(endpoint, 0) + count

    def _quarantine_s(self):
        """Seconds until no request of a dead incarnation can still be running."""
        return self._deadline_s + PAUSE_LIMIT_S

    def _check_unlock(self):
        if self.unlocked or not self._home or not self._others <= set(self._cleared):
            return
        first = self._first and not self._knew_before
        since = max([self._started, *self._cleared.values()])
        if not first and self._clock() < since + self._quarantine_s():
            return
        self.unlocked = True
        for name, count in self._home.items():
            self._add(name, count)
        for pair in self._pairs.values():
            self._add_all(pair.lent.all_outstanding(), -1)
        for reclaim in self._reclaims:
            self._add_all(reclaim.counts, -1)
        self._on_tokens()

    def _add_all(self, counts, sign):
        for name, count in counts.items():
            self._add(name, sign * count)

    def _reclaim(self):
        due = self._clock() - self._quarantine_s()
        ripe = [item for item in self._reclaims if item.since <= due]
        if not ripe:
            return
        self._reclaims = [item for item in self._reclaims if item.since > due]
        if self.unlocked:
            for item in ripe:
                self._add_all(item.counts, 1)
            self._on_tokens()

    def _return_idle(self):
        for seat, pair in self._pairs.items():
            changed = False
            for name, count in pair.borrowed.all_outstanding().items():
                spare = min(count, self._floor.get(name, 0), self._idle(name))
                if spare > 0:
                    self._return(pair, name, spare)
                    self._floor[name] -= spare
                    changed = True
            if changed:
                self._send_tokens(seat, pair)
        self._floor = {name: self._idle(name) for name in self._foreign}

    def _return(self, pair, endpoint, count):
        back = pair.borrowed.back
        back[endpoint] = back.get(endpoint, 0) + count
        self._foreign[endpoint] -= count
        self._add(endpoint, -count)

    def _lend(self, pair, endpoint, count):
        given = pair.lent.given
        given[endpoint] = given.get(endpoint, 0) + count
        self._add(endpoint, -count)

    def _ask(self):
        if self.halted():
            return
        for endpoints in self._demand.due(self._clock()):
            lenders = [
                Lender(seat, any(pair.lent.outstanding(name) for name in endpoints))
                for seat, pair in self._pairs.items()
            ]
            locked = not self.unlocked
            for item in self._demand.requests(endpoints, lenders, locked):
                incarnation = self._pairs[item.seat].incarnation
                self._send(item.seat, incarnation, item.message)

    def _open_debts(self):
        now = self._clock()
        for key, debt in list(self._debts.items()):
            if debt.expires <= now or debt.count <= 0:
                del self._debts[key]
        return list(self._debts.values())

    def _serve(self, debt):
        """Give what is idle to a peer: its own home tokens, then ours."""
        pair = self._pairs[debt.seat]
        served = False
        while debt.count > 0:
            name = self._returnable(pair, debt)
            if name is not None:
                self._return(pair, name, 1)
            else:
                name = self._lendable(pair, debt)
                if name is None:
                    break
                self._lend(pair, name, 1)
            debt.count -= 1
            served = True
        if served:
            self._send_tokens(debt.seat, pair)

    def _returnable(self, pair, debt):
        if self._keeps(debt.ask.endpoints):
            return None
        names = [
            name
            for name in debt.ask.endpoints
            if self._idle(name) > 0 and pair.borrowed.outstanding(name) > 0
        ]
        return max(names, key=self._idle, default=None)

    def _lendable(self, pair, debt):
        if not (self.unlocked and pair.reported):
            return None
        owed = debt.ask.locked and self._owes_share(pair, debt.ask.endpoints)
        names = [
            name
            for name in debt.ask.endpoints
            if self._idle_home(name) > 0 and (owed or not self._demand.lacks(name))
        ]
        return max(names, key=self._idle_home, default=None)

    def _idle_home(self, name):
        home = self._stock.get(name, 0) - self._foreign.get(name, 0)
        return min(self._idle(name), home)

    def _keeps(self, endpoints):
        """Return whether this newcomer may keep what it borrowed: a seat's share."""
        if self.unlocked or not any(map(self._demand.lacks, endpoints)):
            return False
        share = sum(self._home.get(name, 0) for name in endpoints)
        return sum(self._stock.get(name, 0) for name in endpoints) <= share

    def _owes_share(self, pair, endpoints):
        """Return whether a newcomer has less of the home tokens here than a seat."""
        lent = sum(map(pair.lent.outstanding, endpoints))
        return lent * self._seats < sum(self._home.get(name, 0) for name in endpoints)

    def _send_tokens(self, seat, pair):
        """Send the totals that the peer has not acknowledged."""
        lent = unacked(pair.lent.given, pair.lent.acked)
        returned = unacked(pair.borrowed.back, pair.borrowed.acked)
        if lent or returned:
            pair.resend_at = self._clock() + RESEND_S
            self._send(seat, pair.incarnation, Tokens(lent, returned))

    def _resend(self, seat, pair):
        if not pair.reported:
            pair.resend_at = self._clock() + RESEND_S
            self._send(seat, pair.incarnation, Query())
        self._send_tokens(seat, pair)

    def _on_ask(self, seat, pair, message):
        key = (seat, message.endpoints)
        old = self._debts.get(key)
        if old is not None and old.ask.sequence >= message.sequence:
            return
        expires = self._clock() + ASK_LIFETIME_S
        debt = Debt(seat, message, message.count, expires)
        self._debts[key] = debt
        self._serve(debt)

    def _on_moved(self, seat, pair, message):
        gained = raise_totals(pair.borrowed.given, message.lent)
        for name, count in gained.items():
            self._foreign[name] = self._foreign.get(name, 0) + count
            self._add(name, count)
        returned = message.returned if pair.reported else ()
        home = raise_totals(pair.lent.back, returned)
        if self.unlocked:
            self._add_all(home, 1)
        self._send(seat, pair.incarnation, TokensAck(message.lent, returned))
        if gained or home:
            self._demand.gained()
            self._on_tokens()

    def _on_ack(self, seat, pair, message):
        raise_totals(pair.lent.acked, message.lent)
        raise_totals(pair.borrowed.acked, message.returned)

    def _on_query(self, seat, pair, message):
        age_ms = int((self._clock() - self._started) * 1000)
        held = token_counts(pair.baseline)
        report = Report(age_ms, pair.known_before, held)
        self._send(seat, pair.incarnation, report)

    def _on_report(self, seat, pair, message):
        if pair.reported:
            return
        pair.reported = True
        raise_totals(pair.lent.given, message.held)
        raise_totals(pair.lent.acked, message.held)
        if seat not in self._cleared:
            self._knew_before = self._knew_before or message.known_before
            self._cleared[seat] = self._clock() - message.age_ms / 1000
            self._check_unlock()

    _HANDLERS = {
        Ask: _on_ask,
        Tokens: _on_moved,
        TokensAck: _on_ack,
        Query: _on_query,
        Report: _on_report,
    }
    MESSAGES = frozenset(_HANDLERS)
