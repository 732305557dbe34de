"""What the mesh needs to know of its entry and tells it."""

import attrs


@attrs.frozen
class MeshStatus:
    """Next offsets of this entry, and when it last had proof of the fleet's tail.

    ``proof_s`` is a monotonic time or None.
    """

    offset: int
    claims: int
    proof_s: float | None


def _nothing(*args):
    return None


@attrs.frozen
class MeshHooks:
    """What the mesh asks of its entry.

    ``status()`` returns a MeshStatus. ``on_raw(stream, raw)`` takes raw records
    [offset, time in ms, bytes] handed on. ``on_fresh(sent_s)`` tells a time at which
    all of the fleet stream had been read. ``append(stream, record)`` appends for a
    peer. ``on_missing(stream, earliest)`` tells that a peer keeps no records before
    ``earliest``. ``on_superseded(incarnation)`` tells that a new incarnation has the
    seat or has to take it, as no peer has confirmed this one for some seconds.
    ``on_tokens()`` tells that slots have become available.
    """

    status: object
    on_raw: object = _nothing
    on_fresh: object = _nothing
    append: object = _nothing
    on_missing: object = _nothing
    on_superseded: object = _nothing
    on_tokens: object = _nothing
