"""Calls to former incarnations of executors, which the next incarnation may take.

An executor that starts again under its id takes calls that were sent to its former
incarnation, also late ones. It knows no fencing token then, so each incarnation gets
a higher one: what it answers shows that it refuses all calls to its former ones.

Pure state; times are in seconds of the monotonic clock.
"""

import attrs

TOKENS_PER_TERM = 2**16  # all tokens of a term are below those of the next one
LATE_CALL_S = 12.0  # by then the platform has carried out a call that got no answer
UNNOTICED_S = 3.0  # for which a scheduler may not know that an executor started again
CLOCK_ERROR_S = 5.0  # by which the wall clocks of two machines may differ
MS = 1000


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

    def doubt(self, now):
        """Note that a call to it may have reached a later incarnation by now."""
        self.former_until = max(self.former_until, now)

    def is_fenced(self, now):
        """Return whether no call to a former incarnation can reach it any more."""
        return self.former_until <= now

    def token(self, epoch):
        """Return the fencing token of calls to it by the scheduler of an epoch."""
        return epoch * TOKENS_PER_TERM + min(self.number, TOKENS_PER_TERM - 1)


class Incarnations:
    """The newest incarnation of each executor that one term's scheduler has known.

    ``predecessor`` is whether another term came before, which began at ``now``.
    """

    def __init__(self, now, predecessor):
        sent_until = now if predecessor else float("-inf")
        self._predecessor_until = sent_until + LATE_CALL_S
        self._newest = {}
        self.ids_return = False

    def newest(self, name, born, now, wall_s):
        """Return the newest Incarnation of an executor, which was born at ``born``.

        ``born`` is in Unix ms, 0 where executors tell none: their ids do not return.
        ``wall_s`` is the Unix time. The predecessor may have called a former
        incarnation of one that began lately.
        """
        known = self._newest.get(name)
        if known is None:
            until = float("-inf")
            if born:
                began_at = now - (wall_s - born / MS) + CLOCK_ERROR_S
                noticed_at = began_at + UNNOTICED_S
                until = min(self._predecessor_until, noticed_at + LATE_CALL_S)
            known = self._newest[name] = Incarnation(former_until=until)
        self.ids_return = self.ids_return or born > 0
        return known

    def begin(self, name, now):
        """Note that a later incarnation began; calls to the known one end now."""
        known = self._newest.get(name)
        number = known.number + 1 if known is not None else 0
        self._newest[name] = Incarnation(number, now + LATE_CALL_S)
