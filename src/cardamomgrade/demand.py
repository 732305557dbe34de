"""Slot tokens that an entry lacks: which peers it asks for them, and when."""

import itertools

import attrs

from .messages import Ask

ASK_DELAY_MIN_S = 0.005
ASK_DELAY_MAX_S = 0.16


@attrs.frozen
class Lender:
    """A peer to ask; ``owes`` is whether it holds home tokens of this entry."""

    seat: str
    owes: bool


@attrs.frozen
class PeerAsk:
    """An Ask message for the peer in ``seat``."""

    seat: str
    message: Ask


class TokenDemand:
    """Number of lacking tokens by group of endpoints; groups do not overlap.

    A count is divided among the peers. The delay between asks doubles from
    ASK_DELAY_MIN_S to ASK_DELAY_MAX_S until tokens arrive or a need ends.
    """

    def __init__(self):
        self._counts = {}
        self._endpoints = frozenset()
        self._sequence = itertools.count(1)
        self._due_s = 0.0
        self._delay_s = ASK_DELAY_MIN_S

    def set(self, endpoints, count):
        """Set how many tokens are lacking on a tuple of endpoints.

        Other groups that contain any of these endpoints are removed.
        """
        if endpoints not in self._counts:
            self._drop_overlaps(endpoints)
        if count > 0:
            self._counts[endpoints] = count
        elif self._counts.pop(endpoints, None) is not None:
            self._delay_s = ASK_DELAY_MIN_S
        if count <= 0 or not self._endpoints.issuperset(endpoints):
            self._endpoints = frozenset(itertools.chain.from_iterable(self._counts))

    def _drop_overlaps(self, endpoints):
        for key in list(self._counts):
            if not set(key).isdisjoint(endpoints):
                del self._counts[key]
                self._endpoints = frozenset(itertools.chain.from_iterable(self._counts))

    def is_lacking(self, endpoint):
        """Return whether requests are waiting for an endpoint."""
        return endpoint in self._endpoints

    def reset_delay(self):
        """Reset the delay between asks, as tokens have arrived."""
        self._delay_s = ASK_DELAY_MIN_S

    def due(self, now):
        """Return the groups to ask for now and start the delay until the next time.

        ``now`` is in seconds of the same clock at each call.
        """
        if not self._counts or now < self._due_s:
            return []
        self._due_s = now + self._delay_s
        self._delay_s = min(2 * self._delay_s, ASK_DELAY_MAX_S)
        return list(self._counts)

    def asks(self, endpoints, lenders, locked):
        """Return PeerAsks for a group, at most one more than tokens are lacking.

        Peers that owe tokens come first; the first of equal peers changes each time.
        ``lenders`` is a list of Lender, ``locked`` is passed on in the Ask.
        """
        if not lenders:
            return []
        count = self._counts[endpoints]
        start = next(self._sequence) % len(lenders)
        order = lenders[start:] + lenders[:start]
        order.sort(key=lambda lender: not lender.owes)
        per_peer = -(-count // len(lenders))
        return [
            PeerAsk(lender.seat, Ask(next(self._sequence), endpoints, per_peer, locked))
            for lender in order[: count + 1]
        ]
