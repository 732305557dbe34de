"""Links to all other entries for heartbeats, slot tokens and relayed log records."""

import random

from .catchup import CatchUp
from .errors import PeerError, RecordError
from .feed import Backoff
from .journal import log_event
from .link import Link
from .membership import (
    handed_on_proof,
    HEARTBEAT_S,
    Membership,
    NO_PROOF,
    PeerState,
)
from .mesh_events import (
    AppendRelayed,
    LinkRefused,
    log_change,
    SeatStuck,
    SeatSuperseded,
    SlotsHalted,
    SlotsResumed,
    SlotsUnlocked,
)
from .messages import (
    AppendRelay,
    Heartbeat,
    Records,
    RecordsMissing,
    RecordsWanted,
    Superseded,
)
from .net import parse_address
from .peering import PeerSession
from .records import decode_record, encode_record, STREAM_FLEET
from .slots import PAUSE_LIMIT_S, SlotLedger, TICK_S

PENDING_LINKS_LIMIT = 32  # unauthenticated links; connections beyond are refused
HALT_LIMIT_S = 10.0  # an entry that stays halted for longer has to restart
URGENT_PROOF_AGE_S = 1.5  # peers are asked for a newer proof beyond this age
PEER_REPORT_LIFETIME_S = 3.0
MS_PER_S = 1000


class Mesh:
    """The links of one entry; a context manager that closes them on exit.

    ``peers`` is a sequence of (name, ``ip:port``) and may include the entry itself.
    Of two entries, the one whose name sorts first dials the other.
    """

    def __init__(self, loop, net, identity, peers, hooks):
        self._loop = loop
        self._net = net
        self._identity = identity
        self._hooks = hooks
        self._addresses = {name: at for name, at in peers if name != identity.name}
        self._members = Membership(self._addresses)
        self._sessions = {}
        self._pending = set()
        self._backoffs = {}
        self._refusal_reasons = {}
        self._closed = False
        self._halted_since_s = None
        self._started_s = loop.now()
        self._unlocked = False
        self.catchup = CatchUp(loop, hooks, self._send)
        self.ledger = SlotLedger(
            identity.name,
            identity.incarnation,
            loop.now,
            self._send_slots,
            hooks.on_tokens,
        )

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.close()

    def start(self, address):
        """Listen on ``ip:port``, dial the peers and return the bound port."""
        port = self._net.listen(*parse_address(address), self._on_conn)
        for name in self._addresses:
            if self._identity.name < name:
                self._backoffs[name] = Backoff(random.Random())
                self._dial(name)
        self._loop.call_every(HEARTBEAT_S, self._send_heartbeats)
        self._loop.call_every(TICK_S, self._tick_ledger)
        return port

    def close(self):
        """Close all links."""
        self._closed = True
        for session in self._sessions.values():
            session.link.close()
        for link in self._pending:
            link.close()

    def alive(self):
        """Return a list of the names of the peers that are alive."""
        return self._members.alive()

    def peer_reports_outage(self, members, lease_ms):
        """Return whether an alive peer in ``members`` reports that its lease lapsed.

        ``members`` maps names to the Members in the log. A peer reports a lapsed
        lease when its latest heartbeat gives the age of its proof of the log's tail
        as more than ``lease_ms``, or as no proof. The report is valid while that
        heartbeat echoes a ping sent within the last ``PEER_REPORT_LIFETIME_S`` and
        this entry has read every record that the peer had read.
        """
        own, since_s = (
            self._hooks.status().offset,
            self._loop.now() - PEER_REPORT_LIFETIME_S,
        )
        for name in self._members.alive():
            session, member = self._sessions.get(name), members.get(name)
            if session is None or member is None:
                continue
            known = member.incarnation == session.link.incarnation
            if known and session.reports_outage(lease_ms, own, since_s):
                return True
        return False

    def links(self):
        """Return a list of the authenticated links."""
        return [session.link for session in self._sessions.values()]

    def relay(self, stream, record):
        """Ask the peer with the newest proof of the log's tail to append a record.

        Return False when no peer has a proof.
        """
        fresh = [
            session
            for session in self._sessions.values()
            if session.last_heartbeat is not None
            and session.last_heartbeat.age_ms != NO_PROOF
        ]
        if not fresh:
            return False
        best = min(fresh, key=lambda session: session.last_heartbeat.age_ms)
        best.link.send(AppendRelay(stream, encode_record(record)))
        return True

    def _dial(self, name):
        if self._closed:
            return
        host, port = parse_address(self._addresses[name])

        def opened(conn):
            self._attach(Link(self._loop, conn, self._identity, expected=name))

        def failed(exc):
            self._log_refusal(name, self._addresses[name], str(exc))
            self._redial(name)

        self._net.dial(host, port, opened, failed)

    def _redial(self, name):
        if name in self._backoffs:
            self._loop.call_later(self._backoffs[name].next(), lambda: self._dial(name))

    def _on_conn(self, conn):
        if self._closed or len(self._pending) >= PENDING_LINKS_LIMIT:
            conn.abort()
            return
        self._attach(Link(self._loop, conn, self._identity))

    def _attach(self, link):
        link.on_up = self._on_up
        link.on_down = self._on_down
        link.on_message = self._on_message
        self._pending.add(link)
        if link.closed:
            self._on_down(link, "closed")

    def _log_refusal(self, peer, address, reason):
        """Log why there is no link, unless the reason is the same as last time."""
        if self._refusal_reasons.get(peer) != reason:
            self._refusal_reasons[peer] = reason
            log_event(LinkRefused(peer, address, reason))

    def _on_down(self, link, reason):
        self._pending.discard(link)
        if link.up:
            self._drop_session(link.peer, link)
        else:
            self._log_refusal(link.peer, link.address, reason)
        self._redial(link.peer)

    def _drop_session(self, name, link):
        if name in self._sessions and self._sessions[name].link is link:
            del self._sessions[name]
            self._apply_change(self._members.mark_down(name, self._loop.now()))

    def _on_up(self, link):
        self._pending.discard(link)
        reason = self._rejection_reason(link)
        if reason is not None:
            self._log_refusal(link.peer, link.address, reason)
            link.close()
            self._redial(link.peer)
            return
        self._refusal_reasons.pop(link.peer, None)
        old = self._sessions.get(link.peer)
        if old is not None:
            if old.link.incarnation < link.incarnation:
                old.link.send(Superseded(link.incarnation))
            old.link.close()
        session = self._sessions[link.peer] = PeerSession(link)
        if link.peer in self._backoffs:
            self._backoffs[link.peer].reset()
        self._record_contact(link)
        self._send_heartbeat(session, self._needs_proof())

    def _rejection_reason(self, link):
        """Return why an authenticated link is rejected, or None.

        A peer with an old incarnation is sent ``Superseded``.
        """
        if link.peer not in self._addresses:
            return "peer is not in the settings"
        known = self._members.incarnation(link.peer)
        if link.incarnation < known:
            link.send(Superseded(known))
            return f"incarnation {link.incarnation} is older than the known {known}"
        return None

    def _record_contact(self, link):
        change = self._members.heard(link.peer, link.incarnation, self._loop.now())
        self.ledger.record_incarnation(link.peer, link.incarnation)
        self._apply_change(change)

    def _apply_change(self, change):
        if change is None:
            return
        log_change(change)
        if change.after is PeerState.DOWN and change.peer in self._sessions:
            self._sessions.pop(change.peer).link.close()
            self._redial(change.peer)

    def _send_heartbeats(self):
        if self._closed:
            return
        for session in list(self._sessions.values()):
            self._send_heartbeat(session, self._needs_proof())
        for change in self._members.sweep(self._loop.now()):
            self._apply_change(change)

    def _needs_proof(self):
        proof_s = self._hooks.status().proof_s
        return (
            self.ledger.halted()
            or proof_s is None
            or self._loop.now() - proof_s > URGENT_PROOF_AGE_S
        )

    def _send_heartbeat(self, session, urgent):
        now = self._loop.now()
        status = self._hooks.status()
        age_ms = NO_PROOF
        if status.proof_s is not None:
            age_ms = int((now - status.proof_s) * MS_PER_S) + 1
        echo = (
            session.last_heartbeat.sequence if session.last_heartbeat is not None else 0
        )
        session.link.send(
            Heartbeat(
                session.pings.send(now),
                echo,
                status.offset,
                status.claims,
                age_ms,
                self.ledger.halted(),
                urgent,
            )
        )

    def _tick_ledger(self):
        if self._closed:
            return
        self.ledger.tick()
        halted = self.ledger.halted()
        if halted and self._halted_since_s is None:
            self._halted_since_s = self._loop.now()
            log_event(SlotsHalted(int(PAUSE_LIMIT_S * MS_PER_S)))
        elif not halted and self._halted_since_s is not None:
            log_event(SlotsResumed(self._ms_since(self._halted_since_s)))
            self._halted_since_s = None
        elif halted and self._loop.now() > self._halted_since_s + HALT_LIMIT_S:
            self._halted_since_s = float("inf")
            log_event(
                SeatStuck(self._identity.incarnation, int(HALT_LIMIT_S * MS_PER_S))
            )
            self._hooks.on_superseded(self._identity.incarnation)
        if self.ledger.unlocked and not self._unlocked:
            self._unlocked = True
            log_event(SlotsUnlocked(self._ms_since(self._started_s)))

    def _ms_since(self, then):
        return int((self._loop.now() - then) * MS_PER_S)

    def _send(self, peer, message):
        """Send a message to a peer; return False when there is no link to it."""
        session = self._sessions.get(peer)
        if session is None:
            return False
        session.link.send(message)
        return True

    def _send_slots(self, seat, incarnation, message):
        session = self._sessions.get(seat)
        if session is not None and session.link.incarnation == incarnation:
            session.link.send(message)

    def _on_message(self, link, message):
        session = self._sessions.get(link.peer)
        if session is None or session.link is not link:
            return
        self._record_contact(link)
        handler = self._HANDLERS.get(type(message))
        if handler is not None:
            handler(self, session, message)
        elif type(message) in SlotLedger.MESSAGES:
            self.ledger.receive(link.peer, link.incarnation, message)
        else:
            raise PeerError(
                f"unexpected {type(message).__name__} on an authenticated link"
            )

    def _on_heartbeat(self, session, message):
        session.update(message)
        link = session.link
        if message.urgent:
            self._send_heartbeat(session, False)
        if session.echoed_ping_s is not None:
            self.ledger.confirm(
                link.peer, link.incarnation, session.echoed_ping_s, message.halted
            )
        self._adopt_proof(session)
        if message.offset > self._hooks.status().offset:
            self.catchup.plan_fetch(link.peer, message.offset)

    def _adopt_proof(self, session):
        if session.last_heartbeat is None:
            return
        own = self._hooks.status().offset
        proof_s = handed_on_proof(session.last_heartbeat, session.echoed_ping_s, own)
        if proof_s is not None:
            self._hooks.on_fresh(proof_s)

    def _on_records_wanted(self, session, message):
        if message.stream == STREAM_FLEET:
            session.link.send(self.catchup.response_to(message))

    def _on_records(self, session, message):
        self.catchup.on_records(session.link.peer, message)
        for other in list(self._sessions.values()):
            self._adopt_proof(other)

    def _on_records_missing(self, session, message):
        self.catchup.on_records_missing(session.link.peer, message)

    def _on_append(self, session, message):
        peer = session.link.peer
        try:
            record = decode_record(message.record)
        except RecordError as exc:
            raise PeerError(str(exc)) from exc
        if getattr(record, "entry", None) != peer:
            raise PeerError(
                f"relayed {type(record).__name__} does not have entry {peer!r}"
            )
        log_event(AppendRelayed(peer, message.stream, record.KIND))
        self._hooks.append(message.stream, record)

    def _on_superseded(self, session, message):
        if message.incarnation <= self._identity.incarnation:
            return
        peer = session.link.peer
        log_event(SeatSuperseded(peer, self._identity.incarnation, message.incarnation))
        self.ledger.supersede()
        self._hooks.on_superseded(message.incarnation)

    _HANDLERS = {
        Heartbeat: _on_heartbeat,
        RecordsWanted: _on_records_wanted,
        Records: _on_records,
        RecordsMissing: _on_records_missing,
        AppendRelay: _on_append,
        Superseded: _on_superseded,
    }
