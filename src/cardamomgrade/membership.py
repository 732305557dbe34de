"""Which peers are alive, by their heartbeats, and whose freshness counts here."""

from collections import OrderedDict
from enum import Enum, unique

import attrs

HEARTBEAT_S = 1.0
SUSPECT_AFTER_S = 3 * HEARTBEAT_S
DOWN_AFTER_S = 6 * HEARTBEAT_S
PINGS_KEPT = 16
NO_PROOF = -1


@unique
class PeerState(Enum):
    """What is believed of a peer; a suspect peer is not given up yet."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DOWN = "down"


@attrs.frozen
class Change:
    """A peer's state or incarnation before and after; ``silent_s`` since heard."""

    peer: str
    before: PeerState
    after: PeerState
    old_incarnation: int
    incarnation: int
    silent_s: float = 0.0


@attrs.define(eq=False)
class _Peer:
    state: PeerState = PeerState.UNKNOWN
    incarnation: int = 0
    heard: float = 0.0


class Membership:
    """The peers of one entry. Times are monotonic seconds given by the caller."""

    def __init__(self, peers):
        self._peers = {name: _Peer() for name in peers}
        self._swept = None

    def state(self, name):
        """Return the PeerState of a peer."""
        return self._peers[name].state

    def incarnation(self, name):
        """Return the highest incarnation that was met, or 0."""
        return self._peers[name].incarnation

    def alive(self):
        """Return the names of the peers that are alive."""
        return [
            name for name, peer in self._peers.items() if peer.state is PeerState.ALIVE
        ]

    def heard(self, name, incarnation, now):
        """Note a message; return a Change, or None when nothing has changed.

        A message of an incarnation that has been replaced is ignored.
        """
        peer = self._peers[name]
        if incarnation < peer.incarnation:
            return None
        old, peer.incarnation, peer.heard = peer.incarnation, incarnation, now
        return self._move(name, PeerState.ALIVE, old, 0.0)

    def closed(self, name, now):
        """Note that the link to a peer is closed; return a Change or None."""
        return self._settle(name, PeerState.DOWN, now)

    def sweep(self, now):
        """Return the Changes of peers that have been silent for too long.

        A gap between sweeps is a pause of this entry and no silence of its peers.
        """
        pause_s = now - self._swept if self._swept is not None else 0.0
        self._swept = now
        if pause_s >= SUSPECT_AFTER_S:
            for peer in self._peers.values():
                peer.heard += pause_s
        changes = [
            self._settle(name, _by_silence(now - peer.heard), now)
            for name, peer in self._peers.items()
            if peer.state in (PeerState.ALIVE, PeerState.SUSPECT)
        ]
        return [change for change in changes if change is not None]

    def _settle(self, name, state, now):
        peer = self._peers[name]
        return self._move(name, state, peer.incarnation, now - peer.heard)

    def _move(self, name, state, old, silent_s):
        peer = self._peers[name]
        before, peer.state = peer.state, state
        if before is state and old == peer.incarnation:
            return None
        return Change(name, before, state, old, peer.incarnation, silent_s)


def _by_silence(silent_s):
    if silent_s >= DOWN_AFTER_S:
        return PeerState.DOWN
    if silent_s >= SUSPECT_AFTER_S:
        return PeerState.SUSPECT
    return PeerState.ALIVE


class Pings:
    """The times at which the newest heartbeats to one peer were sent."""

    def __init__(self):
        self._sent = OrderedDict()
        self.sequence = 0

    def send(self, now):
        """Return the sequence of a heartbeat that is sent now."""
        self.sequence += 1
        self._sent[self.sequence] = now
        if len(self._sent) > PINGS_KEPT:
            self._sent.popitem(last=False)
        return self.sequence

    def sent_s(self, sequence):
        """Return when a heartbeat was sent, or None when it is not known."""
        return self._sent.get(sequence)


def handed_on_proof(heartbeat, ping_sent_s, own_offset):
    """Return a time at which this entry had read all of the log, or None.

    The peer sent ``heartbeat`` after it had got the ping sent at ``ping_sent_s``,
    and had its proof ``age_ms`` before that. It holds here once everything that the
    peer had read has been read here.
    """
    if ping_sent_s is None or heartbeat.age_ms == NO_PROOF:
        return None
    if own_offset < heartbeat.offset:
        return None
    return ping_sent_s - heartbeat.age_ms / 1000
