"""An entry's part in the fleet: its seat and the records it owes the log."""

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
from .feed import Appended
from .fleet import batches_to_ack, drains_to_confirm, is_member, may_send
from .follower import Follower
from .journal import note
from .records import (
    BatchAcked,
    DrainConfirmed,
    MemberJoined,
    MemberLeft,
    STREAM_FLEET,
)
from .refusal import Reason, Refusal
from .replica import Step

TICK_S = 0.1
APPEND_AGAIN_S = 1.0
LEAVE_TIMEOUT_S = 3.0
ACK_HOLD_S = 5.0
MS_PER_S = 1000
NS_PER_MS = 10**6


def _time_ms():
    return time.time_ns() // NS_PER_MS


@attrs.define
class Seat:
    """The name, place and current incarnation of an entry.

    An incarnation is the time in ms at which it was taken, or one more than the
    last one that is known.
    """

    name: str
    zone: str
    address: str
    incarnation: int = attrs.field(factory=_time_ms)

    def renew(self, seen):
        """Take an incarnation above ``seen``."""
        self.incarnation = max(seen + 1, _time_ms())


def owed_records(state, seat, held):
    """Return the records that a seat owes the log by a folded state.

    ``held(vm)`` tells how many requests the entry has in flight on a VM.
    """
    member = state.members.get(seat.name)
    if member is None or member.incarnation < seat.incarnation:
        return [MemberJoined(seat.name, seat.incarnation, seat.zone, seat.address)]
    who = (seat.name, seat.incarnation)
    owed = [BatchAcked(*who, offset) for offset in batches_to_ack(state, *who)]
    owed.extend(
        DrainConfirmed(*who, offset)
        for offset in drains_to_confirm(state, *who)
        if not any(held(vm) for vm in state.batches[offset].vms)
    )
    return owed


class Member:
    """Follows the fleet stream and keeps the entry's duties towards it.

    ``on_change()`` is called when the state has changed, ``on_replaced()`` when a
    later incarnation has taken the seat, ``on_first()`` when the log shows that the
    seat had no incarnation before, ``on_vacant(seats)`` after a read that shows no
    members in other seats. ``held(vm)`` counts requests in flight,
    ``relay(record)`` asks a peer to append and tells whether one could, ``on_raw``
    is given raw records. ``outage(members)`` tells whether a peer that is a member
    has lost its lease on the log, ``departures`` contains the VMs that the platform
    shows as leaving.

    An entry that starts during an outage of the log cannot become a member. It may
    send while such a peer is alive. Every member that lost its lease therefore holds
    its acknowledgements back, after it has the lease again, until such an entry has
    heard of that and the longest deadline has passed.
    """

    def __init__(self, loop, net, log, seat, **hooks):
        self._loop = loop
        self.seat = seat
        self._on_change = hooks["on_change"]
        self._on_replaced = hooks["on_replaced"]
        self._on_first = hooks.get("on_first") or (lambda: None)
        self._on_vacant = hooks.get("on_vacant") or (lambda seats: None)
        self._held = hooks["held"]
        self._outage = hooks.get("outage") or (lambda members: False)
        self._departures = hooks.get("departures") or ()
        self._relay = hooks.get("relay") or (lambda record: False)
        self.follower = Follower(
            loop,
            net,
            log,
            self._on_results,
            on_fresh=self._on_fresh,
            # no record marks that moment; what waits would wait for the next one
            on_resumed=self._on_change,
            on_lost=self._on_lost,
            on_bad=lambda offset, detail: note(
                BadLogRecord(STREAM_FLEET, offset, detail)
            ),
            on_raw=hooks.get("on_raw"),
        )
        self._seat_seen = False
        self._was_fresh = False
        self._was_member = False
        self._bundle = None
        self._again_at = {}
        self._caught_up = False
        self._leaving = False
        self._ack_after = 0.0

    @property
    def state(self):
        """The folded FleetState."""
        return self.follower.state

    @property
    def leaving(self):
        """Whether the entry has begun to leave its seat."""
        return self._leaving

    def start(self):
        """Begin to read; the seat is taken once the tail was seen."""
        self.follower.start()
        self._loop.call_every(TICK_S, self.tick)

    def is_member(self):
        """Return whether the folded state holds this incarnation as a member."""
        return is_member(self.state, self.seat.name, self.seat.incarnation)

    def may_send(self, vm):
        """Return True when requests may be sent to a VM now, else a Refusal."""
        fresh = self.follower.fresh()
        if not self.is_member() and (fresh or not self._outage(self.state.members)):
            return Refusal(Reason.NOT_ACKNOWLEDGED, "the entry is no member")
        if self.follower.paused():
            return Refusal(Reason.NOT_SERVING, "the process stood still")
        if vm in self._departures:
            return Refusal(Reason.NOT_SERVING, f"{vm}: the platform shows it leaving")
        return may_send(self.state, vm, fresh)

    def tick(self):
        """Notice changes of freshness and append what is owed."""
        self.note_freshness()
        if self._caught_up and not self._leaving:
            self._settle()

    def note_freshness(self):
        """Notice a lease lost or regained; call it before a peer is told its age."""
        fresh = self.follower.fresh()
        if fresh and not self._was_fresh and self._caught_up:
            deadline_s = self.state.deadline_peak_ms / MS_PER_S
            self._ack_after = self._loop.now() + ACK_HOLD_S + deadline_s
        if fresh != self._was_fresh:
            event = FreshnessRegained if fresh else FreshnessLost
            note(event(self.state.offset))
        self._was_fresh = fresh

    def _settle(self):
        now = self._loop.now()
        owed = owed_records(self.state, self.seat, self._held)
        self._again_at = {
            record: due for record, due in self._again_at.items() if record in owed
        }
        for record in owed:
            if isinstance(record, BatchAcked) and not self._may_ack(now):
                continue
            if self._again_at.get(record, now) <= now:
                self._again_at[record] = float("inf")
                self._append(record)

    def _may_ack(self, now):
        return self.follower.fresh() and now >= self._ack_after

    def _append(self, record):
        name = type(record).__name__
        note(AppendOwed(name, getattr(record, "batch", -1)))

        def done(verdict):
            if isinstance(verdict, Refusal):
                note(AppendFailed(name, str(verdict)))
            self._again_at[record] = self._loop.now() + APPEND_AGAIN_S

        if not self.follower.feed.reachable and self._relay(record):
            self._again_at[record] = self._loop.now() + APPEND_AGAIN_S
        else:
            self.follower.submit(record, done)

    def freshen(self, sent_s):
        """Note a peer's proof that all of the log before ``sent_s`` was folded."""
        self.follower.freshen(sent_s)
        self._on_fresh()

    def _on_fresh(self):
        self.note_freshness()
        if not self._caught_up and self.follower.fresh():
            self._catch_up()
        if self.state.bundle is not None and self.follower.fresh():
            taken = {self.seat.name, *self.state.members}
            self._on_vacant(set(self.state.bundle.seats) - taken)
        self.tick()

    def _catch_up(self):
        self._caught_up = True
        if not self._seat_seen:
            self._on_first()
        member = self.state.members.get(self.seat.name)
        if member is not None and member.incarnation >= self.seat.incarnation:
            self.seat.renew(member.incarnation)

    def _on_lost(self, earliest):
        note(LogTruncated(STREAM_FLEET, earliest))
        self._seat_seen = True

    def _is_seat(self, item):
        if not isinstance(item, Step):
            return True
        record = item.logged.record
        return isinstance(record, MemberJoined) and record.entry == self.seat.name

    def _on_results(self, results):
        self._seat_seen = self._seat_seen or any(map(self._is_seat, results))
        if self.state.bundle is not self._bundle:
            self._bundle = self.state.bundle
            note(BundleInForce(self._bundle.version, self.state.bundle_offset))
        self._check_seat()
        self._on_change()
        self.tick()

    def _check_seat(self):
        if not self._caught_up or self._leaving:
            return
        member = self.state.members.get(self.seat.name)
        if self.is_member() and not self._was_member:
            note(EntryMember(self.seat.incarnation))
        removed = self._was_member and member is None
        self._was_member = self.is_member()
        if removed:
            self.seat.renew(self.seat.incarnation)
        elif member is not None and member.incarnation > self.seat.incarnation:
            note(SeatTaken(self.seat.incarnation, member.incarnation))
            self._on_replaced()

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
        record = MemberLeft(self.seat.name, self.seat.incarnation)
        self.follower.feed.append(record, done)
