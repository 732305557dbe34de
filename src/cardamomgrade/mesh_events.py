"""Numbered events of the links between entries (400 to 449)."""

import logging

from .journal import event, note

MS_PER_S = 1000


@event(400)
class PeerChanged:
    """A peer's state by its heartbeats has changed."""

    peer: str
    incarnation: int
    before: str
    after: str
    silent_ms: int


@event(401, logging.WARNING)
class LinkRefused:
    """A connection of a peer was refused or failed before it was authenticated."""

    peer: str
    address: str
    reason: str


@event(402)
class PeerReplaced:
    """A seat has a newer incarnation; what was lent to the older is quarantined."""

    peer: str
    before: int
    after: int


@event(403, logging.ERROR)
class SeatSuperseded:
    """A peer knows a newer incarnation of this seat; it uses no slots any more."""

    peer: str
    incarnation: int
    newer: int


@event(404)
class RecordsPulled:
    """Records that a peer handed on were taken in."""

    peer: str
    stream: str
    first: int
    count: int
    behind_ms: int


@event(405, logging.WARNING)
class RecordsNotKept:
    """A peer no longer keeps the records that were asked for."""

    peer: str
    stream: str
    wanted: int
    earliest: int


@event(406)
class AppendRelayed:
    """A record was appended on behalf of a peer."""

    peer: str
    stream: str
    kind: int


@event(407)
class SlotsUnlocked:
    """The home tokens of this seat may be used."""

    waited_ms: int


@event(408, logging.WARNING)
class SlotsHalted:
    """No slots are used after a pause until a peer takes this entry as current."""

    limit_ms: int


@event(409)
class SlotsResumed:
    """Slots are used again after a pause."""

    halted_ms: int


@event(410, logging.ERROR)
class SeatStuck:
    """No peer has taken this entry as current since a pause; it has to restart."""

    incarnation: int
    halted_ms: int


def note_change(change):
    """Log what a membership.Change tells."""
    if 0 < change.old_incarnation < change.incarnation:
        note(PeerReplaced(change.peer, change.old_incarnation, change.incarnation))
    if change.before is not change.after:
        note(
            PeerChanged(
                change.peer,
                change.incarnation,
                change.before.value,
                change.after.value,
                int(change.silent_s * MS_PER_S),
            )
        )
