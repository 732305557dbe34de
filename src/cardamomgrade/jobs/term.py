"""When a node stands for scheduler; pure state, times are seconds.

One node at a time schedules. It shows that it lives by ``term`` records; a node that
read the topic without a gap for TERM_TIMEOUT_S and saw none may stand. It does so by
an append that only succeeds when the topic still ends where this node has read to,
under an epoch of its own, so that of several candidates one wins and an old scheduler
can write no more.
"""

import random

from ..chart import load_chart
from ..journal import event, note

TERM_TIMEOUT_S = 1.5  # three beats and a read that waited in vain
TERM_JITTER_S = 0.3  # spreads candidates, so that the first mostly stands alone
RESIGNED_JITTER_S = 0.06
# an order is 1 to 5 kB, and a burst is hundreds of them a second
LEAST_CORES = 1.0
LEAST_LINK_MBPS = 100
SMALL_DELAY_S = 0.7  # the term still changes within the lease of what runs
SMALL_RESIGNED_DELAY_S = 0.4  # several reads of the topic by other nodes
BEAT_S = 0.4
CHART = load_chart("term")


def is_small(cfg):
    """Return whether a node of these NodeSettings should schedule only at need."""
    cores = cfg.core_share * cfg.cores
    return cores < LEAST_CORES or cfg.link_mbps < LEAST_LINK_MBPS


@event(623)
class TermChanged:
    """This node's part in the term changed."""

    state: str
    epoch: int
    why: str


class Term:
    """A node's part: follower, candidate or scheduler.

    ``handed_on`` tells that the newest term has ended and nobody schedules. A node
    that is ``small`` stands later than others, where there are any.
    """

    def __init__(self, node, incarnation, small=False):
        self._node = node
        self._incarnation = incarnation
        self._quiet_since = None
        self._small = small
        self._jitter = random.Random(incarnation)
        self._wait = 0.0
        self.handed_on = False
        self.state = CHART.initial
        self.epoch = 0

    def move(self, trigger, why):
        """Follow a transition of the chart; return whether it was possible."""
        following = CHART.next(self.state, trigger)
        if not following:
            return False
        self.state = following
        note(TermChanged(self.state, self.epoch, why))
        return True

    def seen(self, record, now):
        """Take note of a term record that was read."""
        self.epoch = max(self.epoch, record.epoch)
        own_past = record.node == self._node and record.incarnation != self._incarnation
        self.handed_on = record.resigned or own_past
        self._restart(now)

    def unreachable(self):
        """Take note that the store did not answer: silence proves nothing."""
        self._quiet_since = None

    def _restart(self, now):
        self._quiet_since = now
        if self.handed_on:
            self._wait = self._jitter.uniform(0, RESIGNED_JITTER_S)
            self._wait += SMALL_RESIGNED_DELAY_S if self._small else 0
        else:
            self._wait = TERM_TIMEOUT_S + self._jitter.uniform(0, TERM_JITTER_S)
            self._wait += SMALL_DELAY_S if self._small else 0

    def should_stand(self, now):
        """Return whether to stand now, after a good read."""
        if self._quiet_since is None:
            self._restart(now)
        return self.state == "follower" and now - self._quiet_since >= self._wait

    def refused(self, now, why):
        """Take note that this node's candidacy failed."""
        self._restart(now)
        self.move("refused", why)

    def outrun(self, why):
        """Take note that some other record came before this node's.

        Where jobs come many times a second that says nothing of a rival; the silence
        counts on, and the node stands again once it has read that record.
        """
        self.move("refused", why)
