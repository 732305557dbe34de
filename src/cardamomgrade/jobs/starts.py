"""State of one start order at an executor's agent, until the run ends."""

import attrs

from .former import LATE_CALL_S


@attrs.define(eq=False)
class PendingStart:
    """A start order until the run ends.

    ``accepted_at`` is when the executor confirmed it (monotonic seconds), or None, or
    by when it has taken effect if at all; ``order`` is None for one of another agent;
    ``deadline_ms`` is the lease deadline sent with it, or 0 to take a new one;
    ``maybe_received`` is set when an attempt had no answer and may have arrived;
    ``given_up_at`` is when the latest of these was given up.
    ``reported`` is set when the agent's incarnation listed the run, ``settled`` when it
    said itself that it accepted the order. ``attempt_ended_at`` is when the latest
    attempt had an answer or was given up, or None while it is in flight. ``assumed`` is
    set while ``accepted_at`` is no answer to the latest attempt, which may yet arrive.
    ``checked`` is set if the executor answered right before the order and has not shown
    since that it lacks the run, ``confirmed`` once the driver was told that it began.
    ``attempts`` counts the times that this agent sent it.
    """

    order: object
    accepted_at: float | None = None
    deadline_ms: int = 0
    maybe_received: bool = False
    given_up_at: float = float("-inf")
    reported: bool = False
    settled: bool = False
    attempt_ended_at: float | None = None
    assumed: bool = False
    checked: bool = False
    confirmed: bool = False
    attempts: int = 0

    @property
    def is_unanswered(self):
        """Whether this is another agent's order that may or may not have arrived."""
        return self.order is None and self.accepted_at is None

    @property
    def may_have_begun(self):
        """Whether the run may be, or have been, on the agent's incarnation."""
        return (
            self.order is None
            or self.accepted_at is not None
            or self.maybe_received
            or self.reported
        )

    @property
    def is_unreceived(self):
        """Whether each attempt was refused or not sent: no incarnation has the run."""
        is_in_flight = self.attempts > 0 and self.attempt_ended_at is None
        return not (is_in_flight or self.may_have_begun)

    def give_up_attempt(self, now):
        """Note that the latest attempt had no answer; it may be carried out late."""
        self.maybe_received = True
        self.given_up_at = now

    def is_settled(self, proven_at, now):
        """Return whether the agent's incarnation got it and no later one can.

        ``proven_at`` is when a request was sent that this incarnation answered: an
        attempt that was answered by then cannot reach the next one.
        """
        if now - self.given_up_at < LATE_CALL_S:
            return False
        if self.settled:
            return True
        ended_at = self.attempt_ended_at
        is_ended = ended_at is not None and ended_at <= proven_at
        return is_ended and self.accepted_at is not None

    def handed_over(self, now):
        """Return what the agent of the next incarnation knows about the order."""
        accepted_at = None if self.assumed else self.accepted_at
        return self.replaced(accepted_at, now)

    def replaced(self, accepted_at, now):
        """Return what a new agent knows; the attempt in flight is given up now."""
        in_flight = self.order is not None and self.attempt_ended_at is None
        return PendingStart(
            None,
            accepted_at,
            given_up_at=now if in_flight else self.given_up_at,
            attempt_ended_at=now,
        )

    def accept(self, now):
        """Note that the executor accepted the latest attempt."""
        self.accepted_at = now
        self.assumed = False

    def assume(self, accepted_at):
        """Note that the order has taken effect by now, unless that is known already."""
        if self.accepted_at is None:
            self.accepted_at = accepted_at
            self.assumed = True

    def is_absent(self, sent_at):
        """Return whether a report requested at ``sent_at`` that lacks it refutes it.

        The order was not carried out by then, though it may be later.
        """
        was_given_up = self.maybe_received and self.given_up_at < sent_at
        return was_given_up and self.accepted_at is None

    def report(self, sent_at):
        """Note that the incarnation lists the run, asked at ``sent_at``."""
        self.reported = True
        self.assume(sent_at)
