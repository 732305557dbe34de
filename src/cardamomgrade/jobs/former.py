"""Calls to former incarnations of executors, which the next incarnation may take.

An executor that starts again under its id takes calls that were sent to its former
incarnation, also late ones. It knows no fencing token then, so each incarnation gets
a higher one: what it answers shows that it refuses all calls to its former ones.

Pure state; times are in seconds of the monotonic clock.
"""

import attrs

TOKENS_PER_TERM = 2**16  # all tokens of a term are below those of the next one
LATE_CALL_S = 12.0  # by then the platform has carried out a call that got no answer


@attrs.define(eq=False)
class Incarnation:
    """The newest known incarnation of an executor.

    ``number`` counts its incarnations in this term. Calls to its former ones may reach
    it until ``former_until``.
    """

    number: int = 0
    former_until: float = float("-inf")

    def fence(self, now):
        """Note an answer to a call whose token is above those of all former calls."""
        self.former_until = min(self.former_until, now)

    def is_fenced(self, now):
        """Return whether no call to a former incarnation can reach it any more."""
        return self.former_until <= now

    def token(self, epoch):
        """Return the fencing token of calls to it by the scheduler of an epoch."""
        return epoch * TOKENS_PER_TERM + min(self.number, TOKENS_PER_TERM - 1)


class Incarnations:
    """The newest incarnation of each executor that one term's scheduler has known."""

    def __init__(self):
        self._newest = {}

    def newest(self, name):
        """Return the newest Incarnation of an executor."""
        return self._newest.setdefault(name, Incarnation())

    def begin(self, name, now):
        """Note that a later incarnation began; calls to the known one end now."""
        number = self.newest(name).number + 1
        self._newest[name] = Incarnation(number, now + LATE_CALL_S)
