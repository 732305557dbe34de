"""Failure detection by heartbeats, and proofs of freshness received from peers."""

from collections import OrderedDict
from enum import Enum, unique

import attrs

HEARTBEAT_S = 1.0
SUSPECT_AFTER_S = 3 * HEARTBEAT_S
DOWN_AFTER_S = 6 * HEARTBEAT_S
PINGS_MAX = 16
NO_PROOF = -1


@unique
class PeerState(Enum):
    """State of a peer; a suspect peer has missed heartbeats but is not down yet."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DOWN = "down"


@attrs.frozen
class Change:
    """A change of a peer's state or incarnation.

    ``silent_s`` is the time in seconds since its last message.
    """

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
    last_message_s: float = 0.0


class Membership:
    """States of the peers of one entry. The caller passes in monotonic seconds."""

    def __init__(self, peers):
        self._peers = {name: _Peer() for name in peers}
        self._last_sweep_s = None

    def state(self, name):
        """Return the PeerState of a peer."""
        return self._peers[name].state

    def incarnation(self, name):
        """Return the highest incarnation seen of a peer, or 0."""
        return self._peers[name].incarnation

    def alive(self):
        """Return the names of the peers that are alive."""
        return [
            name for name, peer in self._peers.items() if peer.state is PeerState.ALIVE
        ]

    def heard(self, name, incarnation, now):
        """Record a message of a peer; return a Change, or None if nothing changed.

        A message of an incarnation that has been replaced is ignored.
        """
        peer = self._peers[name]
        if incarnation < peer.incarnation:
            return None
        old, peer.incarnation, peer.last_message_s = peer.incarnation, incarnation, now
        return self._update(name, PeerState.ALIVE, old, 0.0)

    def mark_down(self, name, now):
        """Mark a peer whose link has closed as down; return a Change or None."""
        return self._set_state(name, PeerState.DOWN, now)

    def sweep(self, now):
        """Update the states by the time since each peer's last message; return Changes.

        A gap of SUSPECT_AFTER_S or more between two calls means that this process was
        paused; it is not counted as silence of the peers.
        """
        pause_s = now - self._last_sweep_s if self._last_sweep_s is not None else 0.0
        self._last_sweep_s = now
        if pause_s >= SUSPECT_AFTER_S:
            for peer in self._peers.values():
                peer.last_message_s += pause_s
        changes = [
            self._set_state(name, _state_after_silence(now - peer.last_message_s), now)
            for name, peer in self._peers.items()
            if peer.state in (PeerState.ALIVE, PeerState.SUSPECT)
        ]
        return [change for change in changes if change is not None]

    def _set_state(self, name, state, now):
        peer = self._peers[name]
        return self._update(name, state, peer.incarnation, now - peer.last_message_s)

    def _update(self, name, state, old, silent_s):
        peer = self._peers[name]
        before, peer.state = peer.state, state
        if before is state and old == peer.incarnation:
            return None
        return Change(name, before, state, old, peer.incarnation, silent_s)


def _state_after_silence(silent_s):
    if silent_s >= DOWN_AFTER_S:
        return PeerState.DOWN
    if silent_s >= SUSPECT_AFTER_S:
        return PeerState.SUSPECT
    return PeerState.ALIVE


class Pings:
    """Send times of the last PINGS_MAX heartbeats to one peer."""

    def __init__(self):
        self._sent = OrderedDict()
        self.sequence = 0

    def send(self, now):
        """Record a heartbeat sent at ``now``; return its sequence number."""
        self.sequence += 1
        self._sent[self.sequence] = now
        if len(self._sent) > PINGS_MAX:
            self._sent.popitem(last=False)
        return self.sequence

    def sent_s(self, sequence):
        """Return when a heartbeat was sent, or None if it is not recorded any more."""
        return self._sent.get(sequence)


def handed_on_proof(heartbeat, ping_sent_s, own_offset):
    """Return a time up to which this entry is proven to have read the log, or None.

    The peer sent ``heartbeat`` after it received the ping sent at ``ping_sent_s``, and
    its proof was ``age_ms`` old when it sent it. So the peer had read the whole log as
    of ``age_ms`` before the ping. The proof applies to this entry once it has read all
    that the peer had read (``own_offset`` has reached the peer's offset).
    """
    if ping_sent_s is None or heartbeat.age_ms == NO_PROOF:
        return None
    if own_offset < heartbeat.offset:
        return None
    return ping_sent_s - heartbeat.age_ms / 1000
