"""Numbered events of the links between entries (400 to 449)."""

import logging

from .journal import event, log_event

MS_PER_S = 1000


@event(400)
class PeerChanged:
    """The state of a peer, derived from its heartbeats, has changed."""

    peer: str
    incarnation: int
    before: str
    after: str
    silent_ms: int


@event(401, logging.WARNING)
class LinkRefused:
    """A link to a peer was refused or failed before it was in use."""

    peer: str
    address: str
    reason: str


@event(402)
class PeerReplaced:
    """A seat has a newer incarnation; tokens lent to the older one are quarantined."""

    peer: str
    before: int
    after: int


@event(403, logging.ERROR)
class SeatSuperseded:
    """A peer reports a newer incarnation of this seat; this one stops using slots."""

    peer: str
    incarnation: int
    newer: int


@event(404)
class RecordsPulled:
    """Log records fetched from a peer have been read."""

    peer: str
    stream: str
    first: int
    count: int
    behind_ms: int


@event(405, logging.WARNING)
class RecordsNotKept:
    """A peer no longer keeps the records that this entry requested."""

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
    """The home tokens of this seat (its own share of the slots) may be used."""

    waited_ms: int


@event(408, logging.WARNING)
class SlotsHalted:
    """After a pause, no slots are used until a peer confirms this incarnation."""

    limit_ms: int


@event(409)
class SlotsResumed:
    """A peer has confirmed this incarnation after a pause; slots are used again."""

    halted_ms: int


@event(410, logging.ERROR)
class SeatStuck:
    """No peer has confirmed this incarnation since a pause; it has to restart."""

    incarnation: int
    halted_ms: int


def log_change(change):
    """Log the events that follow from a ``membership.Change``."""
    if 0 < change.old_incarnation < change.incarnation:
        log_event(PeerReplaced(change.peer, change.old_incarnation, change.incarnation))
    if change.before is not change.after:
        log_event(
            PeerChanged(
                change.peer,
                change.incarnation,
                change.before.value,
                change.after.value,
                int(change.silent_s * MS_PER_S),
            )
        )
