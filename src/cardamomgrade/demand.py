"""What an entry lacks in slot tokens, and whom it asks for them when."""

import itertools

import attrs

from .messages import Ask

ASK_MIN_S = 0.005
ASK_MAX_S = 0.16


@attrs.frozen
class Lender:
    """A peer to ask; ``owes`` when it holds home tokens of the asker."""

    seat: str
    owes: bool


@attrs.frozen
class Request:
    """An Ask for one peer."""

    seat: str
    message: Ask


class Demand:
    """Lacking tokens by group of endpoints; groups do not overlap.

    Asks are spread over the peers and become rarer while nothing is given.
    """

    def __init__(self):
        self._wants = {}
        self._wanted = frozenset()
        self._sequence = itertools.count(1)
        self._due_s = 0.0
        self._delay_s = ASK_MIN_S

    def set(self, endpoints, count):
        """Set the tokens lacking on a tuple of endpoints.

        It takes the place of what was lacking on any of these endpoints before.
        """
        if endpoints not in self._wants:
            self._drop_overlaps(endpoints)
        if count > 0:
            self._wants[endpoints] = count
        elif self._wants.pop(endpoints, None) is not None:
            self._delay_s = ASK_MIN_S
        if count <= 0 or not self._wanted.issuperset(endpoints):
            self._wanted = frozenset(itertools.chain.from_iterable(self._wants))

    def _drop_overlaps(self, endpoints):
        for key in list(self._wants):
            if not set(key).isdisjoint(endpoints):
                del self._wants[key]
                self._wanted = frozenset(itertools.chain.from_iterable(self._wants))

    def lacks(self, endpoint):
        """Return whether requests are waiting for an endpoint."""
        return endpoint in self._wanted

    def gained(self):
        """Note that tokens came: the next lack is asked for soon."""
        self._delay_s = ASK_MIN_S

    def due(self, now):
        """Return the groups to ask for now, and count it as asked."""
        if not self._wants or now < self._due_s:
            return []
        self._due_s = now + self._delay_s
        self._delay_s = min(2 * self._delay_s, ASK_MAX_S)
        return list(self._wants)

    def requests(self, endpoints, lenders, locked):
        """Return a Request for each peer to ask, those that owe tokens first."""
        if not lenders:
            return []
        count = self._wants[endpoints]
        turn = next(self._sequence) % len(lenders)
        order = lenders[turn:] + lenders[:turn]
        order.sort(key=lambda lender: not lender.owes)
        share = -(-count // len(lenders))
        return [
            Request(lender.seat, Ask(next(self._sequence), endpoints, share, locked))
            for lender in order[: count + 1]
        ]
