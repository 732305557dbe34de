"""Election of the node that schedules; pure state, times are in seconds.

A term is the period of one scheduler and is numbered by its epoch. The scheduler writes
``term`` records as heartbeats. A node that reads the topic without a gap for
TERM_TIMEOUT_S and sees none becomes a candidate (it "stands"): it appends a ``term``
record with the next epoch. Of several candidates for an epoch the store takes only the
first, since the numbers of their appends differ, and it rejects later appends of the
previous scheduler. A candidate is elected once it has read the topic up to its own
record, and schedules once no lease can be granted under an earlier term.

Load pattern: jobs are stored many times a second, on a slow store. A condition on the
end of the topic would fail again and again.
"""

import random

from ..chart import load_chart
from ..journal import event, log_event

TERM_TIMEOUT_S = 1.5  # three heartbeats and one long poll that returns nothing
TERM_JITTER_S = 0.3  # so that usually only one node is a candidate at a time
RESIGNED_JITTER_S = 0.06
# A scheduler sends bursts of hundreds of orders a second, each of 1 to 5 kB.
MIN_CORES = 1.0
MIN_LINK_MBPS = 100
SMALL_NODE_DELAY_S = 0.7  # a new term still begins within the lease of running tasks
SMALL_NODE_RESIGNED_DELAY_S = 0.4  # lets other nodes read the topic several times
BEAT_S = 0.4
CHART = load_chart("term")


def is_small(cfg):
    """Return whether a node with these NodeSettings is below the scheduler's minimum.

    Such a node schedules only when no other node does.
    """
    cores = cfg.core_share * cfg.cores
    return cores < MIN_CORES or cfg.link_mbps < MIN_LINK_MBPS


@event(623)
class TermChanged:
    """This node's state in the election changed."""

    state: str
    epoch: int
    why: str


class Term:
    """Election state of one node: follower, candidate or scheduler.

    ``term_ended`` is true when the newest term is over and no node schedules. A
    ``small`` node waits longer than other nodes before it becomes a candidate.
    """

    def __init__(self, node, incarnation, small=False):
        self._node = node
        self._incarnation = incarnation
        self._timer_started_at = None
        self._small = small
        self._jitter = random.Random(incarnation)
        self._timeout_s = 0.0
        self._heard_at = float("-inf")
        self.term_ended = False
        self.state = CHART.initial
        self.epoch = 0

    def transition(self, trigger, why):
        """Apply a trigger of the chart; return whether the state allows it."""
        next_state = CHART.next(self.state, trigger)
        if not next_state:
            return False
        self.state = next_state
        log_event(TermChanged(self.state, self.epoch, why))
        return True

    def on_term_record(self, record, now):
        """Update the epoch and restart the timer after reading a TermRecord."""
        self.epoch = max(self.epoch, record.epoch)
        from_previous_incarnation = (
            record.node == self._node and record.incarnation != self._incarnation
        )
        self.term_ended = record.resigned or from_previous_incarnation
        if record.incarnation != self._incarnation:
            self._heard_at = float("-inf") if self.term_ended else now
        self._restart_timer(now)

    def predecessor_holds_for_s(self, now):
        """Return for how many seconds another scheduler may still grant leases.

        It does so for TERM_TIMEOUT_S after it sent its newest stored append.
        """
        return max(0.0, self._heard_at + TERM_TIMEOUT_S - now)

    def on_store_unreachable(self):
        """Stop the timer: without reads, missing term records prove nothing."""
        self._timer_started_at = None

    def _restart_timer(self, now):
        self._timer_started_at = now
        if self.term_ended:
            self._timeout_s = self._jitter.uniform(0, RESIGNED_JITTER_S)
            self._timeout_s += SMALL_NODE_RESIGNED_DELAY_S if self._small else 0
        else:
            self._timeout_s = TERM_TIMEOUT_S + self._jitter.uniform(0, TERM_JITTER_S)
            self._timeout_s += SMALL_NODE_DELAY_S if self._small else 0

    def election_due(self, now):
        """Return whether to become a candidate now, after a successful read."""
        if self._timer_started_at is None:
            self._restart_timer(now)
        return (
            self.state == "follower" and now - self._timer_started_at >= self._timeout_s
        )

    def on_rejected(self, now, why):
        """Become a follower after a failed candidacy and restart the timer."""
        self._restart_timer(now)
        self.transition("refused", why)
