"""Calls to former incarnations of executors, which the next incarnation may take.

An executor that starts again under its id takes calls that were sent to its former
incarnation, also late ones. It knows no fencing token then, so each incarnation gets
a higher one: what it answers shows that it refuses all calls to its former ones.

Pure state; times are in seconds of the monotonic clock.
"""

import attrs

from .records import ExecutorRecord

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

    ``stored`` maps the executors that earlier schedulers have known to their
    ExecutorRecords; ``store(name, record)`` stores one. The term begins at ``now``.
    """

    def __init__(self, now, stored, store):
        self._predecessor_until = now + LATE_CALL_S
        self._stored = dict(stored)
        self._store = store
        self._newest = {}

    def newest(self, name, born, now, wall_s):
        """Return the newest Incarnation of an executor, which was born at ``born``.

        ``born`` is in Unix ms, 0 where executors tell none: their ids do not return.
        ``wall_s`` is the Unix time.
        """
        known = self._newest.get(name)
        if known is None:
            until = self._predecessor_calls_until(name, born, now, wall_s)
            known = self._newest[name] = Incarnation(former_until=until)
        self._remember(name, born, known.number > 0)
        return known

    def stored_born(self, name):
        """Return the newest ``born`` that was stored of an executor, or 0."""
        stored = self._stored.get(name)
        return stored.born if stored is not None else 0

    def former_until(self, name, now, wall_s):
        """Return until when former calls may reach an executor without registration."""
        born = self.stored_born(name)
        return self._predecessor_calls_until(name, born, now, wall_s)

    def _predecessor_calls_until(self, name, born, now, wall_s):
        """Return until when calls of earlier terms to former incarnations may arrive.

        An executor that no earlier scheduler has known was never called, and one whose
        only incarnation it has known has no former ones.
        """
        stored = self._stored.get(name)
        if not born or stored is None or stored == ExecutorRecord(born, False):
            return float("-inf")
        began_at = now - (wall_s - born / MS) + CLOCK_ERROR_S
        return min(self._predecessor_until, began_at + UNNOTICED_S + LATE_CALL_S)

    def begin(self, name, now):
        """Note that a later incarnation began; calls to the known one end now."""
        known = self._newest.get(name)
        number = known.number + 1 if known is not None else 0
        self._newest[name] = Incarnation(number, now + LATE_CALL_S)

    def forget(self, name):
        """Forget what is stored of an executor that is gone."""
        if self._stored.pop(name, None) is not None:
            self._store(name, None)

    def unseen(self):
        """Return the executors that are stored and have not registered in this term."""
        return [name for name in self._stored if name not in self._newest]

    def _remember(self, name, born, restarted):
        stored = self._stored.get(name)
        if stored is not None and born:
            restarted = restarted or stored.restarted or stored.born != born
        record = ExecutorRecord(born, restarted)
        if born and record != stored:
            self._stored[name] = record
            self._store(name, record)
