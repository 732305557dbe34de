"""Home seats of slot tokens, and the state of loans between two entries."""

import hashlib
import string

import attrs

from .messages import Ask, TokenCount


def deal(endpoint, slots, seats):
    """Return {seat: number of home tokens} of an endpoint, by rendezvous hashing.

    The tokens that are left over from an equal division go to the first seats of an
    order. The order is hashed from the endpoint's name without its trailing number
    and rotated by that number, so that leftover tokens are spread evenly over
    endpoints with consecutive numbers. More slots never mean fewer tokens for a seat.
    So entries that use different bundles never have more home tokens in total than
    the larger number of slots.
    """
    prefix, number = _split_number(endpoint)
    order = sorted(seats, key=lambda seat: _score(prefix, seat))
    turn = number % len(order)
    base, extra = divmod(slots, len(order))
    return {
        seat: base + (rank < extra)
        for rank, seat in enumerate(order[turn:] + order[:turn])
    }


def _split_number(name):
    prefix = name.rstrip(string.digits)
    return prefix, int(name[len(prefix) :] or 0)


def _score(prefix, seat):
    text = f"{prefix}\n{seat}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


@attrs.define(eq=False)
class Totals:
    """Running totals by endpoint of the tokens lent in one direction of a pair.

    ``given`` counts tokens lent and ``returned`` those given back. ``acked`` holds
    the totals that the peer has acknowledged.
    """

    given: dict = attrs.field(factory=dict)
    returned: dict = attrs.field(factory=dict)
    acked: dict = attrs.field(factory=dict)

    def outstanding(self, endpoint):
        """Return the number of tokens given and not yet returned."""
        return self.given.get(endpoint, 0) - self.returned.get(endpoint, 0)

    def all_outstanding(self):
        """Return {endpoint: count} of the tokens given and not yet returned."""
        counts = {name: self.outstanding(name) for name in self.given}
        return {name: count for name, count in counts.items() if count}


@attrs.define(eq=False)
class Pair:
    """The loans between a ledger and the current incarnation of a peer seat.

    ``lent`` counts home tokens lent to the peer; its ``acked`` refers to ``given``.
    ``borrowed`` counts the peer's home tokens lent to this seat; its ``acked`` refers
    to ``returned``. ``met_at`` is the clock time in seconds at which the incarnation
    was first seen, ``known_before`` tells whether an earlier one of the seat had been
    seen, and ``baseline`` holds the tokens that were borrowed from that one.
    ``reported`` tells whether the peer's Report of the tokens it holds has arrived.
    """

    incarnation: int = 0
    met_at: float = 0.0
    known_before: bool = False
    reported: bool = False
    lent: Totals = attrs.field(factory=Totals)
    borrowed: Totals = attrs.field(factory=Totals)
    baseline: dict = attrs.field(factory=dict)
    resend_at: float = 0.0


@attrs.define(eq=False)
class PendingAsk:
    """An Ask of a peer with the ``count`` of tokens not yet transferred."""

    seat: str
    ask: Ask
    count: int
    expires_at: float


@attrs.define(eq=False)
class Reclaim:
    """Tokens lent to an incarnation that was found to be replaced.

    ``since`` is the time of that in clock seconds, ``counts`` is {endpoint: tokens}.
    """

    since: float
    counts: dict


def token_counts(counts):
    """Return {endpoint: count} as a tuple of TokenCount sorted by endpoint."""
    return tuple(TokenCount(name, count) for name, count in sorted(counts.items()))


def unacked(totals, acked):
    """Return the totals that are above the acknowledged ones, as TokenCounts."""
    return token_counts(
        {name: total for name, total in totals.items() if total > acked.get(name, 0)}
    )


def raise_totals(totals, counts):
    """Raise running totals to the received ``counts``; return {endpoint: increase}."""
    increases = {}
    for item in counts:
        known = totals.get(item.endpoint, 0)
        if item.count > known:
            totals[item.endpoint] = item.count
            increases[item.endpoint] = item.count - known
    return increases
