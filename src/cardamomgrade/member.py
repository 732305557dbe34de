"""An entry's part in the fleet: its copy of the state and the records it owes."""

import time

import attrs

from .entry_events import (
    AppendFailed,
    AppendOwed,
    BadLogRecord,
    BundleInForce,
    EntryMember,
    FreshnessLost,
    FreshnessRegained,
    LogTruncated,
    SeatTaken,
)
from .feed import Appended, Feed
from .fleet import batches_to_ack, drains_to_confirm, LEASE_MS, may_send
from .journal import note
from .records import (
    BatchAcked,
    DrainConfirmed,
    MemberJoined,
    MemberLeft,
    STREAM_FLEET,
)
from .refusal import Reason, Refusal
from .replica import Replica

TICK_S = 0.1
APPEND_AGAIN_S = 2.0
LEAVE_TIMEOUT_S = 3.0


@attrs.define
class Seat:
    """The name, place and current incarnation of an entry."""

    name: str
    zone: str
    address: str
    incarnation: int = 0

    def renew(self, seen):
        """Take an incarnation above ``seen``, and above those of earlier processes."""
        self.incarnation = max(seen + 1, self.incarnation + 1, time.time_ns() // 10**6)


def owed_records(state, seat, held):
    """Return the records that a seat owes the log by a folded state.

    ``held(vm)`` tells how many requests the entry has in flight on a VM.
    """
    member = state.members.get(seat.name)
    if member is None or member.incarnation < seat.incarnation:
        return [MemberJoined(seat.name, seat.incarnation, seat.zone, seat.address)]
    if member.incarnation > seat.incarnation:
        return []
    who = (seat.name, seat.incarnation)
    owed = [BatchAcked(*who, batch.offset) for batch in batches_to_ack(state, *who)]
    owed.extend(
        DrainConfirmed(*who, batch.offset)
        for batch in drains_to_confirm(state, *who)
        if not any(held(vm) for vm in batch.vms)
    )
    return owed


class Member:
    """Follows the fleet stream and keeps the entry's duties towards it.

    ``on_change()`` is called when the state has changed, ``on_replaced()`` when a
    later incarnation has taken the seat, ``held(vm)`` counts requests in flight.
    """

    def __init__(self, loop, net, log, seat, **hooks):
        self._loop = loop
        self.seat = seat
        self._on_change = hooks["on_change"]
        self._on_replaced = hooks["on_replaced"]
        self._held = hooks["held"]
        self.replica = Replica()
        self.feed = Feed(
            loop,
            net,
            log,
            STREAM_FLEET,
            self._on_records,
            on_fresh=self.freshen,
            on_lost=self._on_lost,
            on_bad=lambda offset, detail: note(
                BadLogRecord(STREAM_FLEET, offset, detail)
            ),
        )
        self._fresh_at = None
        self._was_fresh = False
        self._was_member = False
        self._appended = {}
        self._leaving = False

    @property
    def state(self):
        """The folded FleetState."""
        return self.replica.state

    def start(self):
        """Begin to read; the seat is taken once the tail was seen."""
        self.feed.start()
        self._loop.call_every(TICK_S, self.tick)

    def freshen(self, sent_s):
        """Note that the tail was shown by a read sent at ``sent_s``."""
        self._fresh_at = max(sent_s, self._fresh_at or sent_s)
        if not self.seat.incarnation:
            member = self.state.members.get(self.seat.name)
            self.seat.renew(member.incarnation if member else 0)
        self.tick()

    def fresh(self):
        """Return whether the entry holds its lease by reading."""
        if self._fresh_at is None:
            return False
        return (self._loop.now() - self._fresh_at) * 1000 < LEASE_MS

    def is_member(self):
        """Return whether the folded state holds this incarnation as a member."""
        member = self.state.members.get(self.seat.name)
        return member is not None and member.incarnation == self.seat.incarnation

    def may_send(self, vm):
        """Return True when requests may be sent to a VM now, else a Refusal."""
        if not self.is_member():
            return Refusal(Reason.NOT_ACKNOWLEDGED, "no member")
        return may_send(self.state, vm, self.fresh())

    def tick(self):
        """Notice changes of freshness and append what is owed."""
        self._note_freshness()
        if self.seat.incarnation and not self._leaving and self._fresh_at is not None:
            self._settle()

    def _note_freshness(self):
        fresh = self.fresh()
        if fresh and not self._was_fresh:
            note(FreshnessRegained(self.state.offset))
        elif self._was_fresh and not fresh:
            note(FreshnessLost(round(self._loop.now() - self._fresh_at, 3)))
        self._was_fresh = fresh

    def _settle(self):
        now = self._loop.now()
        owed = owed_records(self.state, self.seat, self._held)
        self._appended = {
            record: since for record, since in self._appended.items() if record in owed
        }
        for record in owed:
            since = self._appended.get(record)
            if since is None or now - since >= APPEND_AGAIN_S:
                self._append(record, now)

    def _append(self, record, now):
        self._appended[record] = now
        name = type(record).__name__
        note(AppendOwed(name, getattr(record, "batch", -1)))

        def done(result):
            if not isinstance(result, Appended):
                note(AppendFailed(name, str(result)))

        self.feed.append(record, done)

    def _on_records(self, batch):
        version = self.state.bundle.version if self.state.bundle else None
        self.replica.take(batch)
        bundle = self.state.bundle
        if bundle is not None and bundle.version != version:
            note(BundleInForce(bundle.version, self.state.bundle_offset))
        self._check_seat()
        self._on_change()
        self.tick()

    def _check_seat(self):
        member = self.state.members.get(self.seat.name)
        if self.is_member() and not self._was_member:
            note(EntryMember(self.seat.incarnation))
        removed = self._was_member and member is None and not self._leaving
        self._was_member = self.is_member()
        if removed:
            self.seat.renew(self.seat.incarnation)
        if not self.seat.incarnation or self._leaving or member is None:
            return
        if member.incarnation > self.seat.incarnation:
            note(SeatTaken(self.seat.incarnation, member.incarnation))
            self._on_replaced()

    def _on_lost(self, earliest):
        note(LogTruncated(STREAM_FLEET, earliest))
        self.replica.lose(earliest)
        self.feed.next_offset = earliest

    def leave(self, on_done):
        """Append that the entry left; ``on_done(bool)`` tells if the log took it."""
        self._leaving = True
        if not self.is_member():
            on_done(False)
            return
        calls = [on_done]

        def done(result):
            if calls:
                calls.pop()(isinstance(result, Appended))

        self._loop.call_later(LEAVE_TIMEOUT_S, lambda: done(None))
        self.feed.append(MemberLeft(self.seat.name, self.seat.incarnation), done)
