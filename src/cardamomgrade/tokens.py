"""Homes of slot tokens, and what a pair of entries has moved between them."""

import hashlib
import string

import attrs

from .messages import Ask, TokenCount


def deal(endpoint, slots, seats):
    """Return {seat: home tokens} of an endpoint, by rendezvous hash.

    The order of seats is hashed from the name without its number and rotated by the
    number, so that what remains is even over endpoints numbered in a row. More slots
    never mean fewer tokens for a seat: entries with different bundles in force
    together never count more than the larger number of slots.
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
    """Running totals by endpoint of one direction of a pair, and what was acked."""

    given: dict = attrs.field(factory=dict)
    back: dict = attrs.field(factory=dict)
    acked: dict = attrs.field(factory=dict)

    def outstanding(self, endpoint):
        """Return the tokens given and not yet back."""
        return self.given.get(endpoint, 0) - self.back.get(endpoint, 0)

    def all_outstanding(self):
        """Return {endpoint: count} of the tokens given and not yet back."""
        counts = {name: self.outstanding(name) for name in self.given}
        return {name: count for name, count in counts.items() if count}


@attrs.define(eq=False)
class Pair:
    """A ledger's state towards the current incarnation of one peer seat.

    ``lent`` are home tokens given to the peer, with the acks of ``given``.
    ``borrowed`` are the peer's home tokens here, with the acks of ``back``.
    """

    incarnation: int = 0
    met: float = 0.0
    known_before: bool = False
    reported: bool = False
    lent: Totals = attrs.field(factory=Totals)
    borrowed: Totals = attrs.field(factory=Totals)
    baseline: dict = attrs.field(factory=dict)
    resend_at: float = 0.0


@attrs.define(eq=False)
class Debt:
    """What a peer asked for and has not been given yet."""

    seat: str
    ask: Ask
    count: int
    expires: float


@attrs.define(eq=False)
class Reclaim:
    """Tokens lent to an incarnation that was found replaced at ``since``."""

    since: float
    counts: dict


def token_counts(counts):
    """Return {endpoint: count} as a tuple of TokenCount sorted by endpoint."""
    return tuple(TokenCount(name, count) for name, count in sorted(counts.items()))


def unacked(totals, acked):
    """Return the totals above what was acknowledged."""
    return token_counts(
        {name: total for name, total in totals.items() if total > acked.get(name, 0)}
    )


def raise_totals(totals, counts):
    """Raise running totals to those received and return {endpoint: gained}."""
    gained = {}
    for item in counts:
        known = totals.get(item.endpoint, 0)
        if item.count > known:
            totals[item.endpoint] = item.count
            gained[item.endpoint] = item.count - known
    return gained
