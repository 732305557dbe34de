"""Interface between the mesh and its entry: status and callbacks."""

import attrs


@attrs.frozen
class MeshStatus:
    """What this entry has read of the log.

    ``offset`` and ``claims`` are the next offsets of the fleet and claims streams.
    ``proof_s`` is the monotonic time of the latest proof that the fleet stream had
    been read to its tail, or None.
    """

    offset: int
    claims: int
    proof_s: float | None


def _noop(*args):
    return None


@attrs.frozen
class MeshHooks:
    """Callbacks from the mesh to its entry.

    - ``status()`` returns a MeshStatus.
    - ``on_raw(stream, raw)`` receives raw records ``[offset, time in ms, bytes]`` that
      a peer relayed.
    - ``on_fresh(sent_s)`` receives a monotonic time at which the whole fleet stream
      had been read.
    - ``append(stream, record)`` appends a record to the log on behalf of a peer.
    - ``on_missing(stream, earliest)``: a peer no longer has the requested records,
      only those from ``earliest`` on.
    - ``on_superseded(incarnation)``: a newer incarnation holds the seat, or one has to
      take it because no peer has confirmed this one since a pause.
    - ``on_tokens()``: slots have become available.
    """

    status: object
    on_raw: object = _noop
    on_fresh: object = _noop
    append: object = _noop
    on_missing: object = _noop
    on_superseded: object = _noop
    on_tokens: object = _noop
