"""An entry's membership of the fleet: its seat and the records it has to append."""

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
from .journal import log_event
from .records import (
    BatchAcked,
    DrainConfirmed,
    MemberJoined,
    MemberLeft,
    STREAM_FLEET,
)
from .refusal import Reason, Refusal
from .replica import FoldedRecord

TICK_S = 0.1
APPEND_RETRY_S = 1.0
LEAVE_TIMEOUT_S = 3.0
ACK_DELAY_S = 5.0
MS_PER_S = 1000
NS_PER_MS = 10**6


def _time_ms():
    return time.time_ns() // NS_PER_MS


@attrs.define
class Seat:
    """An entry's name, zone, address and current incarnation.

    An incarnation numbers one occupation of the seat. It is the wall-clock time in ms
    at which it was chosen, or one more than the latest known incarnation if that is
    greater.
    """

    name: str
    zone: str
    address: str
    incarnation: int = attrs.field(factory=_time_ms)

    def renew(self, last_known):
        """Choose an incarnation greater than ``last_known``."""
        self.incarnation = max(last_known + 1, _time_ms())


def records_to_append(state, seat, held):
    """Return the list of records that a seat still has to append, given a FleetState.

    It is a MemberJoined until the state holds this incarnation, then a BatchAcked and
    a DrainConfirmed for each batch that waits for one. ``held(vm)`` returns the number
    of requests that the entry has in flight on a VM; a drain is confirmed only when it
    is 0 for every VM of the batch.
    """
    member = state.members.get(seat.name)
    if member is None or member.incarnation < seat.incarnation:
        return [MemberJoined(seat.name, seat.incarnation, seat.zone, seat.address)]
    identity = (seat.name, seat.incarnation)
    pending = [
        BatchAcked(*identity, offset) for offset in batches_to_ack(state, *identity)
    ]
    pending.extend(
        DrainConfirmed(*identity, offset)
        for offset in drains_to_confirm(state, *identity)
        if not any(held(vm) for vm in state.batches[offset].vms)
    )
    return pending


class Member:
    """Follows the fleet stream and appends the records that are due from the entry.

    Hooks, of which ``on_change``, ``on_replaced`` and ``held`` are required:

    - ``on_change()`` is called when the state has changed or requests may be sent
      again after a pause.
    - ``on_replaced()`` is called when a later incarnation has taken the seat.
    - ``on_first_incarnation()`` is called when the log shows no earlier incarnation of
      the seat.
    - ``on_vacant_seats(seats)`` gets the set of seats without a member, each time that
      the state is proven fresh while a bundle is in force.
    - ``on_raw(raw)`` gets each list of new raw records.
    - ``held(vm)`` returns the number of requests in flight on a VM.
    - ``relay(record)`` asks a peer to append a record; it returns whether a peer could.
    - ``outage(members)`` returns whether the lease on the log of a live peer in the
      dict ``members`` has lapsed.
    - ``leaving_vms`` is a container of the names of the VMs that the platform shows as
      leaving.

    The entry has a lease on the log, and its state is fresh, for LEASE_MS after a read
    that reached the tail. An entry that starts during an outage of the log cannot
    become a member, but may send requests while a live peer that is a member reports
    the outage. Each member that has regained its lease therefore delays its
    acknowledgements, until such an entry has learned that the outage is over and the
    longest deadline has passed.
    """

    def __init__(self, loop, net, log, seat, **hooks):
        self._loop = loop
        self.seat = seat
        self._on_change = hooks["on_change"]
        self._on_replaced = hooks["on_replaced"]
        self._on_first_incarnation = hooks.get("on_first_incarnation") or (lambda: None)
        self._on_vacant_seats = hooks.get("on_vacant_seats") or (lambda seats: None)
        self._in_flight = hooks["held"]
        self._outage_known = hooks.get("outage") or (lambda members: False)
        self._leaving_vms = hooks.get("leaving_vms") or ()
        self._relay = hooks.get("relay") or (lambda record: False)
        self.follower = Follower(
            loop,
            net,
            log,
            self._on_results,
            on_fresh=self._on_fresh,
            # No record marks the end of a pause; without this call, queued requests
            # would wait until the next record.
            on_resumed=self._on_change,
            on_truncated=self._on_truncated,
            on_unreadable=lambda offset, detail: log_event(
                BadLogRecord(STREAM_FLEET, offset, detail)
            ),
            on_raw=hooks.get("on_raw"),
        )
        self._seat_used_before = False
        self._was_fresh = False
        self._was_member = False
        self._bundle = None
        self._retry_at = {}
        self._caught_up = False
        self._leaving = False
        self._ack_after_s = 0.0

    @property
    def state(self):
        """The folded FleetState."""
        return self.follower.state

    @property
    def leaving(self):
        """Whether ``leave`` has been called."""
        return self._leaving

    def start(self):
        """Start reading; the entry joins once it has read up to the tail."""
        self.follower.start()
        self._loop.call_every(TICK_S, self.tick)

    def is_member(self):
        """Return whether this incarnation is a member in the folded state."""
        return is_member(self.state, self.seat.name, self.seat.incarnation)

    def may_send(self, vm):
        """Return True if requests may be sent to a VM now, else a Refusal."""
        fresh = self.follower.fresh()
        if not self.is_member() and (
            fresh or not self._outage_known(self.state.members)
        ):
            return Refusal(
                Reason.NOT_ACKNOWLEDGED, "the entry is not a member of the fleet"
            )
        if self.follower.paused():
            return Refusal(
                Reason.NOT_SERVING,
                "the process was paused and has not read the log since",
            )
        if vm in self._leaving_vms:
            return Refusal(
                Reason.NOT_SERVING, f"{vm}: the platform shows the VM as leaving"
            )
        return may_send(self.state, vm, fresh)

    def tick(self):
        """Update the freshness and append the records that are due."""
        self.update_freshness()
        if self._caught_up and not self._leaving:
            self._append_due()

    def update_freshness(self):
        """Log a lapsed or regained lease, and delay acknowledgements after the latter.

        Call it before the age of the proof of freshness is sent to a peer.
        """
        fresh = self.follower.fresh()
        if fresh and not self._was_fresh and self._caught_up:
            deadline_s = self.state.deadline_peak_ms / MS_PER_S
            self._ack_after_s = self._loop.now() + ACK_DELAY_S + deadline_s
        if fresh != self._was_fresh:
            event = FreshnessRegained if fresh else FreshnessLost
            log_event(event(self.state.offset))
        self._was_fresh = fresh

    def _append_due(self):
        now = self._loop.now()
        pending = records_to_append(self.state, self.seat, self._in_flight)
        self._retry_at = {
            record: due for record, due in self._retry_at.items() if record in pending
        }
        for record in pending:
            if isinstance(record, BatchAcked) and not self._may_ack(now):
                continue
            if self._retry_at.get(record, now) <= now:
                self._retry_at[record] = float("inf")
                self._append(record)

    def _may_ack(self, now):
        return self.follower.fresh() and now >= self._ack_after_s

    def _append(self, record):
        name = type(record).__name__
        log_event(AppendOwed(name, getattr(record, "batch", -1)))

        def done(outcome):
            if isinstance(outcome, Refusal):
                log_event(AppendFailed(name, str(outcome)))
            self._retry_at[record] = self._loop.now() + APPEND_RETRY_S

        if not self.follower.feed.reachable and self._relay(record):
            self._retry_at[record] = self._loop.now() + APPEND_RETRY_S
        else:
            self.follower.submit(record, done)

    def extend_lease(self, sent_s):
        """Extend the lease, as a peer's read sent at ``sent_s`` has reached the tail.

        The records before that tail must have been folded.
        """
        self.follower.extend_lease(sent_s)
        self._on_fresh()

    def _on_fresh(self):
        self.update_freshness()
        if not self._caught_up and self.follower.fresh():
            self._catch_up()
        if self.state.bundle is not None and self.follower.fresh():
            occupied = {self.seat.name, *self.state.members}
            self._on_vacant_seats(set(self.state.bundle.seats) - occupied)
        self.tick()

    def _catch_up(self):
        self._caught_up = True
        if not self._seat_used_before:
            self._on_first_incarnation()
        member = self.state.members.get(self.seat.name)
        if member is not None and member.incarnation >= self.seat.incarnation:
            self.seat.renew(member.incarnation)

    def _on_truncated(self, earliest):
        log_event(LogTruncated(STREAM_FLEET, earliest))
        self._seat_used_before = True

    def _shows_prior_use(self, item):
        if not isinstance(item, FoldedRecord):
            return True
        record = item.logged.record
        return isinstance(record, MemberJoined) and record.entry == self.seat.name

    def _on_results(self, results):
        self._seat_used_before = self._seat_used_before or any(
            map(self._shows_prior_use, results)
        )
        if self.state.bundle is not self._bundle:
            self._bundle = self.state.bundle
            log_event(BundleInForce(self._bundle.version, self.state.bundle_offset))
        self._check_seat()
        self._on_change()
        self.tick()

    def _check_seat(self):
        if not self._caught_up or self._leaving:
            return
        member = self.state.members.get(self.seat.name)
        if self.is_member() and not self._was_member:
            log_event(EntryMember(self.seat.incarnation))
        removed = self._was_member and member is None
        self._was_member = self.is_member()
        if removed:
            self.seat.renew(self.seat.incarnation)
        elif member is not None and member.incarnation > self.seat.incarnation:
            log_event(SeatTaken(self.seat.incarnation, member.incarnation))
            self._on_replaced()

    def leave(self, on_done):
        """Append a MemberLeft; call ``on_done(bool)`` once with whether it succeeded.

        The result is False if the entry is not a member or the log has not answered
        within LEAVE_TIMEOUT_S.
        """
        self._leaving = True
        if not self.is_member():
            on_done(False)
            return
        callbacks = [on_done]

        def done(result):
            if callbacks:
                callbacks.pop()(isinstance(result, Appended))

        self._loop.call_later(LEAVE_TIMEOUT_S, lambda: done(None))
        record = MemberLeft(self.seat.name, self.seat.incarnation)
        self.follower.feed.append(record, done)
