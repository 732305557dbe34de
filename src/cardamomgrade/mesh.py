"""Links to all other entries: heartbeats, slot tokens, records handed on."""

import random

from .catchup import CatchUp
from .errors import PeerError, RecordError
from .feed import Backoff
from .journal import note
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
    note_change,
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

PENDING_LIMIT = 32
HALT_LIMIT_S = 10.0
PROOF_WANTED_S = 1.5
WORD_LIFETIME_S = 3.0
MS_PER_S = 1000


class Mesh:
    """The links of one entry; a context manager that closes them.

    ``peers`` is a sequence of (name, ``ip:port``) and may hold the entry itself. Of
    two entries the one with the lower name dials.
    """

    def __init__(self, loop, net, identity, peers, hooks):
        self._loop = loop
        self._net = net
        self._me = identity
        self._hooks = hooks
        self._addresses = {name: at for name, at in peers if name != identity.name}
        self._members = Membership(self._addresses)
        self._sessions = {}
        self._pending = set()
        self._backoffs = {}
        self._refused = {}
        self._closed = False
        self._halted_s = None
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
        """Listen on ``ip:port`` and dial; return the bound port."""
        port = self._net.listen(*parse_address(address), self._on_conn)
        for name in self._addresses:
            if self._me.name < name:
                self._backoffs[name] = Backoff(random.Random())
                self._dial(name)
        self._loop.call_every(HEARTBEAT_S, self._beat)
        self._loop.call_every(TICK_S, self._tick)
        return port

    def close(self):
        """Close all links."""
        self._closed = True
        for session in self._sessions.values():
            session.link.close()
        for link in self._pending:
            link.close()

    def alive(self):
        """Return the names of the peers that are alive."""
        return self._members.alive()

    def outage_known(self, members, lease_ms):
        """Return whether an alive peer among ``members`` has lost its lease.

        ``members`` maps names to the log's members. Such a peer told in its last
        heartbeat that its proof of the log's tail is older than ``lease_ms``. Its
        word counts while it answers a ping sent less than ``WORD_LIFETIME_S`` ago,
        and once all that it had read has been read here.
        """
        own, since_s = self._hooks.status().offset, self._loop.now() - WORD_LIFETIME_S
        for name in self._members.alive():
            session, member = self._sessions.get(name), members.get(name)
            if session is None or member is None:
                continue
            known = member.incarnation == session.link.incarnation
            if known and session.says_outage(lease_ms, own, since_s):
                return True
        return False

    def links(self):
        """Return the links that are up."""
        return [session.link for session in self._sessions.values()]

    def relay(self, stream, record):
        """Ask the peer with the newest proof to append; return whether one could."""
        fresh = [
            session
            for session in self._sessions.values()
            if session.last is not None and session.last.age_ms != NO_PROOF
        ]
        if not fresh:
            return False
        best = min(fresh, key=lambda session: session.last.age_ms)
        best.link.send(AppendRelay(stream, encode_record(record)))
        return True

    def _dial(self, name):
        if self._closed:
            return
        host, port = parse_address(self._addresses[name])

        def opened(conn):
            self._watch(Link(self._loop, conn, self._me, expected=name))

        def failed(exc):
            self._refuse(name, self._addresses[name], str(exc))
            self._redial(name)

        self._net.dial(host, port, opened, failed)

    def _redial(self, name):
        if name in self._backoffs:
            self._loop.call_later(self._backoffs[name].next(), lambda: self._dial(name))

    def _on_conn(self, conn):
        if self._closed or len(self._pending) >= PENDING_LIMIT:
            conn.abort()
            return
        self._watch(Link(self._loop, conn, self._me))

    def _watch(self, link):
        link.on_up = self._on_up
        link.on_down = self._on_down
        link.on_message = self._on_message
        self._pending.add(link)
        if link.closed:
            self._on_down(link, "closed")

    def _refuse(self, peer, address, reason):
        """Log why there is no link, once for each reason in a row."""
        if self._refused.get(peer) != reason:
            self._refused[peer] = reason
            note(LinkRefused(peer, address, reason))

    def _on_down(self, link, reason):
        self._pending.discard(link)
        if link.up:
            self._end(link.peer, link)
        else:
            self._refuse(link.peer, link.address, reason)
        self._redial(link.peer)

    def _end(self, name, link):
        if name in self._sessions and self._sessions[name].link is link:
            del self._sessions[name]
            self._apply(self._members.closed(name, self._loop.now()))

    def _on_up(self, link):
        self._pending.discard(link)
        reason = self._unwanted(link)
        if reason is not None:
            self._refuse(link.peer, link.address, reason)
            link.close()
            self._redial(link.peer)
            return
        self._refused.pop(link.peer, None)
        old = self._sessions.get(link.peer)
        if old is not None:
            if old.link.incarnation < link.incarnation:
                old.link.send(Superseded(link.incarnation))
            old.link.close()
        session = self._sessions[link.peer] = PeerSession(link)
        if link.peer in self._backoffs:
            self._backoffs[link.peer].reset()
        self._heard(link)
        self._send_heartbeat(session, self._needs_proof())

    def _unwanted(self, link):
        """Return why a link is not taken, or None."""
        if link.peer not in self._addresses:
            return "not a peer of the settings"
        known = self._members.incarnation(link.peer)
        if link.incarnation < known:
            link.send(Superseded(known))
            return f"incarnation {link.incarnation} was replaced by {known}"
        return None

    def _heard(self, link):
        change = self._members.heard(link.peer, link.incarnation, self._loop.now())
        self.ledger.learn(link.peer, link.incarnation)
        self._apply(change)

    def _apply(self, change):
        if change is None:
            return
        note_change(change)
        if change.after is PeerState.DOWN and change.peer in self._sessions:
            self._sessions.pop(change.peer).link.close()
            self._redial(change.peer)

    def _beat(self):
        if self._closed:
            return
        for session in list(self._sessions.values()):
            self._send_heartbeat(session, self._needs_proof())
        for change in self._members.sweep(self._loop.now()):
            self._apply(change)

    def _needs_proof(self):
        proof_s = self._hooks.status().proof_s
        return (
            self.ledger.halted()
            or proof_s is None
            or self._loop.now() - proof_s > PROOF_WANTED_S
        )

    def _send_heartbeat(self, session, urgent):
        now = self._loop.now()
        status = self._hooks.status()
        age_ms = NO_PROOF
        if status.proof_s is not None:
            age_ms = int((now - status.proof_s) * MS_PER_S) + 1
        echo = session.last.sequence if session.last is not None else 0
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

    def _tick(self):
        if self._closed:
            return
        self.ledger.tick()
        halted = self.ledger.halted()
        if halted and self._halted_s is None:
            self._halted_s = self._loop.now()
            note(SlotsHalted(int(PAUSE_LIMIT_S * MS_PER_S)))
        elif not halted and self._halted_s is not None:
            note(SlotsResumed(self._ms_since(self._halted_s)))
            self._halted_s = None
        elif halted and self._loop.now() > self._halted_s + HALT_LIMIT_S:
            self._halted_s = float("inf")
            note(SeatStuck(self._me.incarnation, int(HALT_LIMIT_S * MS_PER_S)))
            self._hooks.on_superseded(self._me.incarnation)
        if self.ledger.unlocked and not self._unlocked:
            self._unlocked = True
            note(SlotsUnlocked(self._ms_since(self._started_s)))

    def _ms_since(self, then):
        return int((self._loop.now() - then) * MS_PER_S)

    def _send(self, peer, message):
        """Send to a peer; return whether there is a link to it."""
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
        self._heard(link)
        handler = self._HANDLERS.get(type(message))
        if handler is not None:
            handler(self, session, message)
        elif type(message) in SlotLedger.MESSAGES:
            self.ledger.receive(link.peer, link.incarnation, message)
        else:
            raise PeerError(f"{type(message).__name__} on a link that is up")

    def _on_heartbeat(self, session, message):
        session.take(message)
        link = session.link
        if message.urgent:
            self._send_heartbeat(session, False)
        if session.answers_s is not None:
            self.ledger.confirm(
                link.peer, link.incarnation, session.answers_s, message.halted
            )
        self._take_proof(session)
        if message.offset > self._hooks.status().offset:
            self.catchup.notice(link.peer, message.offset)

    def _take_proof(self, session):
        if session.last is None:
            return
        own = self._hooks.status().offset
        proof_s = handed_on_proof(session.last, session.answers_s, own)
        if proof_s is not None:
            self._hooks.on_fresh(proof_s)

    def _on_records_wanted(self, session, message):
        if message.stream == STREAM_FLEET:
            session.link.send(self.catchup.answer(message))

    def _on_records(self, session, message):
        self.catchup.take(session.link.peer, message)
        for other in list(self._sessions.values()):
            self._take_proof(other)

    def _on_records_missing(self, session, message):
        self.catchup.missing(session.link.peer, message)

    def _on_append(self, session, message):
        peer = session.link.peer
        try:
            record = decode_record(message.record)
        except RecordError as exc:
            raise PeerError(str(exc)) from exc
        if getattr(record, "entry", None) != peer:
            raise PeerError("relayed record is not about the peer itself")
        note(AppendRelayed(peer, message.stream, record.KIND))
        self._hooks.append(message.stream, record)

    def _on_superseded(self, session, message):
        if message.incarnation <= self._me.incarnation:
            return
        peer = session.link.peer
        note(SeatSuperseded(peer, self._me.incarnation, message.incarnation))
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
